/**
 * SECTION: kv-client
 * @short_description: client of the consensus-backed key-value store
 *
 * Requests and changes have a budget each, shared out by priority. A request that waits longer than its time for its
 * turn is given up unsent. Whatever becomes of a request, its callback is called exactly once, with a result that says
 * what the caller may conclude (#HzbKvResult).
 *
 * The times below hold as long as the store does not answer 429, its rate being used up. A request that gets 429 is
 * sent again as long as its time lasts, so its callback is called after twice that time at the latest.
 *
 * Callbacks are called from the main loop when an answer has come or the request has timed out, or from within
 * hzb_kv_client_pump() when a request is given up; that in turn may happen within any call that makes a request, and
 * then for requests of others. A callback may make new requests.
 */
#pragma once
#include "clock.h"
#include "kv-protocol.h"
#include "settings.h"
#include "transport.h"

/** HzbKvPriority: whose turn it is when the budgets do not suffice for all; the first goes first. */
typedef enum
{
  HZB_KV_LEASE,       /**< leadership and watches; they wait for no budget */
  HZB_KV_ACCEPT,      /**< acceptances, completions and cancellations of jobs */
  HZB_KV_READ,        /**< reads, mostly such that a user waits for */
  HZB_KV_RECORD,      /**< the leader's records of progress and machines */
  HZB_KV_N_PRIORITIES /**< how many priorities there are */
} HzbKvPriority;

/** HzbKvResult: what became of a request, and what its caller may conclude. */
typedef enum
{
  /** 200: it was carried out; the body is the store's answer, to be decoded by kv-protocol.h. */
  HZB_KV_OK,
  /**
   * 409: a comparison failed, so this request has changed nothing. The body names the keys, see hzb_kv_commit_decode().
   */
  HZB_KV_CONFLICT,
  /** 404, 410: the key or the lease does not exist, or the changes after that revision are not kept any more. */
  HZB_KV_NOT_FOUND,
  /** It was not carried out and never will be: the store refused it (503, 400, 429), or it expired unsent. The body may
   * be empty. The caller may repeat it, after a pause. */
  HZB_KV_REFUSED,
  /** There was no answer in time, or a server error: it may have been carried out, or may still be carried out later.
   * The caller has to find out (by reading), or to make a later execution fail (by a comparison). */
  HZB_KV_UNKNOWN
} HzbKvResult;

/**
 * HzbKvFunc: called once for each request.
 * - `body`: (transfer none): the body of the answer, valid during the call; empty if there is none
 * - `user`: as given with the request
 */
typedef void (*HzbKvFunc) (HzbKvResult result, const char *body, gpointer user);

/** HzbKvClient: the queues and budgets of one controller. */
typedef struct _HzbKvClient HzbKvClient;

/** hzb_kv_client_new: the arguments are not owned, and outlive the client. Returns: (transfer full) */
HzbKvClient *hzb_kv_client_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings);

/** hzb_kv_client_free: requests that wait are dropped without their callbacks; no answer may come after it. */
void hzb_kv_client_free (HzbKvClient *client);

/**
 * hzb_kv_client_pump: sends what the budgets allow by now, and gives up what has waited too long. Called with every
 * tick of the controller.
 */
void hzb_kv_client_pump (HzbKvClient *client);

/**
 * hzb_kv_client_get: reads one key.
 * - `done`: %HZB_KV_OK: the body is for hzb_kv_entry_decode(); %HZB_KV_NOT_FOUND: the key does not exist; else nothing
 *   is known
 *
 * `done` is called within 1.7 s of waiting and 1.7 s of the call at %HZB_KV_READ, and 2.5 s each at other priorities.
 */
void hzb_kv_client_get (HzbKvClient *client, HzbKvPriority priority, const char *key, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_range: reads a page of the keys with a prefix, in their order.
 * - `after`: (nullable): the page begins after this key; NULL: with the first key
 * - `done`: %HZB_KV_OK: the body is for hzb_kv_range_decode(); else no page has come and the caller asks again, after a
 *   pause
 *
 * `done` is called within 4 s of waiting and 4 s of the call.
 */
void hzb_kv_client_range (HzbKvClient *client, const char *prefix, const char *after, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_commit: a compare-and-swap.
 * - `transaction`: (transfer full): what is compared and changed
 * - `done`: %HZB_KV_OK: all changes were made, at the revision that hzb_kv_commit_decode() gives; %HZB_KV_CONFLICT and
 *   %HZB_KV_REFUSED: none was made, nor will be; %HZB_KV_UNKNOWN: all may have been made, or may still be made at any
 *   later time, as long as the comparisons hold
 *
 * `done` is called within 1.7 s of waiting and 1.7 s of the call at %HZB_KV_READ, and 2.5 s each at other priorities.
 */
void hzb_kv_client_commit (HzbKvClient *client, HzbKvPriority priority, HzbKvTransaction *transaction, HzbKvFunc done,
                           gpointer user);

/**
 * hzb_kv_client_watch: waits for changes after a revision. Sent at once.
 * - `wait_ms`: after so long without a change the store answers with none
 * - `done`: %HZB_KV_OK: the body is for hzb_kv_watch_decode(); %HZB_KV_NOT_FOUND: the changes are not kept any more, so
 *   everything has to be read anew; else nothing is known, and the same watch can be opened again
 *
 * `done` is called within `wait_ms` and 2 s of the call.
 */
void hzb_kv_client_watch (HzbKvClient *client, const char *prefix, guint64 after, guint wait_ms, HzbKvFunc done,
                          gpointer user);

/**
 * hzb_kv_client_changes: the changes after a revision, without waiting for one.
 * - `done`: as for hzb_kv_client_watch(); with %HZB_KV_OK everything recorded before this call is in the answer or was
 *   recorded up to `after`
 *
 * `done` is called within 1.7 s of waiting and 1.7 s of the call.
 */
void hzb_kv_client_changes (HzbKvClient *client, const char *prefix, guint64 after, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_grant_lease: a new lease. Sent at once.
 * - `ttl_ms`: how long it lasts without a renewal
 * - `done`: %HZB_KV_OK: the body is for hzb_kv_lease_decode(); %HZB_KV_UNKNOWN: there may be a lease whose number is
 *   not known, which expires by itself; else there is none
 *
 * `done` is called within 1.5 s of the call.
 */
void hzb_kv_client_grant_lease (HzbKvClient *client, guint ttl_ms, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_renew_lease: the lease lasts for its full time from when the store gets this. Sent at once.
 * - `done`: %HZB_KV_OK: it was renewed, some time after this call; %HZB_KV_NOT_FOUND: it has expired, and the keys
 *   attached to it are gone; else it may have been renewed or not
 *
 * `done` is called within 1.5 s of the call.
 */
void hzb_kv_client_renew_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_revoke_lease: ends the lease, with the keys attached to it. Sent at once.
 * - `done`: %HZB_KV_OK and %HZB_KV_NOT_FOUND: it has ended; else it ends at its expiry at the latest
 *
 * `done` is called within 1.5 s of the call.
 */
void hzb_kv_client_revoke_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user);

/**
 * hzb_kv_client_unresponsive_s: Returns: seconds since the store last answered as one that serves this controller (200,
 * 404, 409 or 410); a very large number if it never did
 */
double hzb_kv_client_unresponsive_s (HzbKvClient *client);
