/**
 * SECTION: kv-client
 * @short_description: client of the consensus-backed key-value store
 *
 * The client has one budget for requests and one for changed keys, which limit both to a fraction of what the store
 * allows per second (state.rps and state.write_rps in the settings). When a budget does not suffice for all queued
 * requests, those with a higher priority are sent first. A request that waits in its queue for longer than its timeout
 * fails without being sent. Every request gets exactly one callback, with a result that says what the caller may
 * conclude (#HzbKvResult).
 *
 * Each function that makes a request states the longest time from its call until the callback. A request that waits for
 * the budgets may spend its timeout in the queue and then the same time waiting for its answer, so the stated time is
 * twice the timeout. For a request that is sent at once, the stated time is one timeout. It is exceeded only if the
 * store answers 429 because its rate limit is exceeded: the client sends the request again until the request's
 * deadline, and the callback is called after twice the timeout at the latest.
 *
 * Callbacks run from the main loop when an answer has arrived or a request has timed out. hzb_kv_client_pump() also
 * runs the callbacks of requests that expired in their queue. Every function that makes a request calls it, so such a
 * function may run callbacks of other requests before it returns. A callback may make new requests.
 */
#pragma once
#include "clock.h"
#include "kv-protocol.h"
#include "settings.h"
#include "transport.h"

/**
 * HzbKvPriority: the order in which requests are sent when a budget does not suffice for all; lower values go first.
 */
typedef enum
{
  HZB_KV_LEASE,       /**< leases, watches and elections; sent without waiting for a budget */
  HZB_KV_ACCEPT,      /**< acceptances, completions and cancellations of jobs */
  HZB_KV_READ,        /**< reads of keys, pages and changes; a user waits for most of them */
  HZB_KV_RECORD,      /**< the leader's records of progress and machines */
  HZB_KV_N_PRIORITIES /**< number of priorities */
} HzbKvPriority;

/** HzbKvResult: the outcome of a request, and what its caller may conclude. */
typedef enum
{
  /** 200: the request was carried out; the body is the store's answer, which kv-protocol.h decodes. */
  HZB_KV_OK,
  /**
   * 409: a comparison failed, so the request changed nothing. The body names the keys whose comparison failed, see
   * hzb_kv_commit_decode().
   */
  HZB_KV_CONFLICT,
  /** 404, 410: the key or the lease does not exist, or the store no longer keeps all changes after the revision
   * given to hzb_kv_client_watch() or hzb_kv_client_changes(). */
  HZB_KV_NOT_FOUND,
  /** The request was not carried out and never will be: the store refused it (503, 400, 429), or it expired before it
   * was sent. The body may be empty. The caller may repeat the request after a pause. */
  HZB_KV_REFUSED,
  /** No answer arrived in time, or the answer was a server error: the request may have been carried out, or may still
   * be carried out later. The caller has to read from the store whether it was, or to change a key that the request
   * compares, so that a later execution of the request fails the comparison. */
  HZB_KV_UNKNOWN
} HzbKvResult;

/**
 * HzbKvFunc: receives the result of a request; called exactly once for each request.
 * - `result`: the outcome
 * - `body`: (transfer none): the body of the answer, valid during the call; empty if there is none
 * - `user`: as given with the request
 */
typedef void (*HzbKvFunc) (HzbKvResult result, const char *body, gpointer user);

/** HzbKvClient: the queues and budgets of one controller. */
typedef struct _HzbKvClient HzbKvClient;

/**
 * hzb_kv_client_new: creates a client with its own queues and budgets. The client does not own the arguments, which
 * have to outlive it.
 *
 * Returns: (transfer full): a client without requests
 */
HzbKvClient *hzb_kv_client_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings);

/**
 * hzb_kv_client_free: drops the queued requests without calling their callbacks. The transport must not deliver an
 * answer afterwards.
 */
void hzb_kv_client_free (HzbKvClient *client);

/**
 * hzb_kv_client_pump: refills the budgets, sends the queued requests that they allow, and fails the requests that have
 * expired in their queue. The controller calls it with every tick.
 */
void hzb_kv_client_pump (HzbKvClient *client);

/**
 * hzb_kv_client_get: reads one key.
 * - `done`: %HZB_KV_OK: hzb_kv_entry_decode() decodes the body; %HZB_KV_NOT_FOUND: the key does not exist; other
 *   results say nothing about the key
 *
 * `done` is called within 3.4 s of the call at %HZB_KV_READ, and within 5 s at other priorities.
 */
void hzb_kv_client_get (HzbKvClient *client, HzbKvPriority priority, const char *key, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_range: reads a page of the keys with a prefix, in the order of the keys.
 * - `after`: (nullable): the page begins after this key; NULL: with the first key
 * - `done`: %HZB_KV_OK: hzb_kv_range_decode() decodes the body; other results bring no page, and the caller repeats the
 *   request after a pause
 *
 * `done` is called within 8 s of the call.
 */
void hzb_kv_client_range (HzbKvClient *client, const char *prefix, const char *after, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_commit: executes a compare-and-swap transaction.
 * - `transaction`: (transfer full): the comparisons and the changes
 * - `done`: %HZB_KV_OK: all changes were made, at the revision that hzb_kv_commit_decode() gives; %HZB_KV_CONFLICT and
 *   %HZB_KV_REFUSED: no change was made or will be made; %HZB_KV_UNKNOWN: all changes may have been made, or may still
 *   be made at any later time as long as the comparisons hold
 *
 * `done` is called within 3.4 s of the call at %HZB_KV_READ, and within 5 s at other priorities.
 */
void hzb_kv_client_commit (HzbKvClient *client, HzbKvPriority priority, HzbKvTransaction *transaction, HzbKvFunc done,
                           gpointer user);

/**
 * hzb_kv_client_watch: waits for changes after a revision. The request is sent at once.
 * - `wait_ms`: if nothing changes for this long, in milliseconds, the store answers without changes
 * - `done`: %HZB_KV_OK: hzb_kv_watch_decode() decodes the body; %HZB_KV_NOT_FOUND: the store no longer keeps the
 *   changes, so all records have to be read again; other results say nothing, and the caller may open the same watch
 *   again
 *
 * `done` is called within `wait_ms` plus 2 s of the call.
 */
void hzb_kv_client_watch (HzbKvClient *client, const char *prefix, guint64 after, guint wait_ms, HzbKvFunc done,
                          gpointer user);

/**
 * hzb_kv_client_changes: reads the changes after a revision, without waiting for one.
 * - `done`: as for hzb_kv_client_watch(); with %HZB_KV_OK, the answer has every change that was recorded before this
 *   call and after the revision `after`
 *
 * `done` is called within 3.4 s of the call.
 */
void hzb_kv_client_changes (HzbKvClient *client, const char *prefix, guint64 after, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_grant_lease: requests a new lease. The request is sent at once.
 * - `ttl_ms`: time to live without a renewal, in milliseconds
 * - `done`: %HZB_KV_OK: hzb_kv_lease_grant_decode() decodes the body; %HZB_KV_UNKNOWN: a lease with an unknown number
 *   may exist, which expires by itself; other results: no lease was granted
 *
 * `done` is called within 1.5 s of the call.
 */
void hzb_kv_client_grant_lease (HzbKvClient *client, guint ttl_ms, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_renew_lease: extends the lease to its full time to live from the moment at which the store receives the
 * request. The request is sent at once.
 * - `done`: %HZB_KV_OK: the lease was renewed at some time after this call; %HZB_KV_NOT_FOUND: the lease has expired,
 *   and the keys attached to it are deleted; other results: the lease may have been renewed or not
 *
 * `done` is called within 1.5 s of the call.
 */
void hzb_kv_client_renew_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_revoke_lease: ends the lease and deletes the keys attached to it. The request is sent at once.
 * - `done`: %HZB_KV_OK and %HZB_KV_NOT_FOUND: the lease has ended; other results: it ends at its expiry at the latest
 *
 * `done` is called within 1.5 s of the call.
 */
void hzb_kv_client_revoke_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_unresponsive_s: Returns: seconds since the store last served a request of this controller, that is,
 * answered with 200, 404, 409 or 410; 1e9 if it never did
 */
double hzb_kv_client_unresponsive_s (HzbKvClient *client);
