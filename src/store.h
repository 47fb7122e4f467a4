/**
 * SECTION: store
 * @short_description: client of the state service
 *
 * Requests and changes have a budget each, shared out by priority. What waits longer than its time is given up unsent.
 * Whatever becomes of a request, its caller is told once.
 */
#pragma once
#include "clock.h"
#include "http.h"
#include "settings.h"
#include "wire.h"

typedef enum
{
  HZB_STORE_LEASE,  /* leadership */
  HZB_STORE_ACCEPT, /* acceptance and cancellation */
  HZB_STORE_READ,   /* what a user waits for */
  HZB_STORE_RECORD, /* progress, machines */
  HZB_STORE_N_PRIORITIES
} HzbStorePriority;

/* What an answer means for the caller. */
typedef enum
{
  HZB_STORE_OK,
  HZB_STORE_CONFLICT, /* 409 */
  HZB_STORE_ABSENT,   /* 404, 410 */
  HZB_STORE_REFUSED,  /* not carried out */
  HZB_STORE_UNKNOWN   /* may have been, or may still be carried out */
} HzbStoreResult;

typedef void (*HzbStoreFunc) (HzbStoreResult result, const char *body, gpointer user);

typedef struct _HzbStore HzbStore;

HzbStore *hzb_store_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings);
void hzb_store_free (HzbStore *store);

/** hzb_store_pump: sends what the budgets allow by now, and gives up what has waited too long. */
void hzb_store_pump (HzbStore *store);

/** hzb_store_get: reads one key. */
void hzb_store_get (HzbStore *store, HzbStorePriority priority, const char *key, HzbStoreFunc done, gpointer user);

/** hzb_store_range: reads a page of the keys with a prefix, those that come after @after (nullable). */
void hzb_store_range (HzbStore *store, const char *prefix, const char *after, HzbStoreFunc done, gpointer user);

/** hzb_store_txn: a transaction. Takes @txn. */
void hzb_store_txn (HzbStore *store, HzbStorePriority priority, cJSON *txn, HzbStoreFunc done, gpointer user);

/** hzb_store_watch: waits for changes after a revision. */
void
hzb_store_watch (HzbStore *store, const char *prefix, guint64 after, guint wait_ms, HzbStoreFunc done, gpointer user);

/** hzb_store_news: the changes after a revision, without waiting for one. */
void hzb_store_news (HzbStore *store, const char *prefix, guint64 after, HzbStoreFunc done, gpointer user);

void hzb_store_lease (HzbStore *store, guint ttl_ms, HzbStoreFunc done, gpointer user);
void hzb_store_renew (HzbStore *store, guint64 lease, HzbStoreFunc done, gpointer user);
void hzb_store_end_lease (HzbStore *store, guint64 lease, HzbStoreFunc done, gpointer user);

/** hzb_store_silence: seconds since the service last answered as one that serves us; large when it never did. */
double hzb_store_silence (HzbStore *store);
