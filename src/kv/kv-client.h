/**
 * SECTION: store
 * @short_description: client of the key-value store
 *
 * Requests and changes have a budget each, shared out by priority. What waits longer than its time is given up unsent.
 * Whatever becomes of a request, its caller is told once.
 */
#pragma once
#include "clock.h"
#include "kv-protocol.h"
#include "settings.h"
#include "transport.h"

typedef enum
{
  HZB_KV_LEASE,  /* leadership */
  HZB_KV_ACCEPT, /* acceptance and cancellation */
  HZB_KV_READ,   /* what a user waits for */
  HZB_KV_RECORD, /* progress, machines */
  HZB_KV_N_PRIORITIES
} HzbKvPriority;

/* What an answer means for the caller. */
typedef enum
{
  HZB_KV_OK,
  HZB_KV_CONFLICT,  /* 409 */
  HZB_KV_NOT_FOUND, /* 404, 410 */
  HZB_KV_REFUSED,   /* not carried out */
  HZB_KV_UNKNOWN    /* may have been, or may still be carried out */
} HzbKvResult;

typedef void (*HzbKvFunc) (HzbKvResult result, const char *body, gpointer user);

typedef struct _HzbKvClient HzbKvClient;

HzbKvClient *hzb_kv_client_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings);
void hzb_kv_client_free (HzbKvClient *client);

/** hzb_kv_client_pump: sends what the budgets allow by now, and gives up what has waited too long. */
void hzb_kv_client_pump (HzbKvClient *client);

/** hzb_kv_client_get: reads one key. */
void hzb_kv_client_get (HzbKvClient *client, HzbKvPriority priority, const char *key, HzbKvFunc done, gpointer user);

/** hzb_kv_client_range: reads a page of the keys with a prefix, those that come after @after (nullable). */
void hzb_kv_client_range (HzbKvClient *client, const char *prefix, const char *after, HzbKvFunc done, gpointer user);

/** hzb_kv_client_commit: a transaction. Takes @txn. */
void hzb_kv_client_commit (HzbKvClient *client, HzbKvPriority priority, HzbKvTransaction *transaction, HzbKvFunc done,
                           gpointer user);

/** hzb_kv_client_watch: waits for changes after a revision. */
void hzb_kv_client_watch (HzbKvClient *client, const char *prefix, guint64 after, guint wait_ms, HzbKvFunc done,
                          gpointer user);

/** hzb_kv_client_changes: the changes after a revision, without waiting for one. */
void hzb_kv_client_changes (HzbKvClient *client, const char *prefix, guint64 after, HzbKvFunc done, gpointer user);

void hzb_kv_client_grant_lease (HzbKvClient *client, guint ttl_ms, HzbKvFunc done, gpointer user);
void hzb_kv_client_renew_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user);
void hzb_kv_client_revoke_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user);

/** hzb_kv_client_unresponsive_s: seconds since the service last answered as one that serves us; large when it never did. */
double hzb_kv_client_unresponsive_s (HzbKvClient *client);
