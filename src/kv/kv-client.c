/* Requests wait in a queue for each priority until the budgets allow them, see hzb_kv_client_pump(). */
#include "kv-client.h"
#include "kv-protocol.h"

#include <string.h>

/* How long a request waits in its queue, and then as long again for its answer. The key-value store usually answers in
 * under 10 ms, and now and then in a few hundred, so an answer that takes longer than these is lost, or the store is
 * out. */
#define CALL_TIMEOUT_MS 2500       /* a transaction or a read that no user waits for */
#define READ_CALL_TIMEOUT_MS 1700  /* a user waits for it, and for two seconds at most */
#define LEASE_CALL_TIMEOUT_MS 1500 /* a lost renewal has to leave time for another one before the lease expires */
#define RANGE_CALL_TIMEOUT_MS 4000 /* a page of records is large, and to read it again costs as much */
#define WATCH_SLACK_MS 2000        /* beyond the time that a watch waits, for its answer to come through */

/* The key-value store allows 1,000 rows and 512 KiB in an answer; this stays well below, since a lost page is read
 * again whole. */
#define RANGE_ROWS 500u

/* The store counts the requests and changes of all controllers together (state.rps and state.write_rps in the settings)
 * and answers 429 beyond that. A controller takes only a part, so that followers leave room for the leader, which
 * writes most. */
#define REQUESTS_PART 0.5
#define WRITES_PART 0.6
#define BUDGET_BURST_S 1.0       /* the store allows bursts of one second's worth */
#define RATE_LIMITED_PAUSE_S 0.2 /* after a 429, for the store's count to go down */

#define READ_OVERDUE_S 0.4     /* a read that has waited so long goes before acceptances, every other time */
#define EXPIRE_INTERVAL_S 0.05 /* how often the queues are searched for expired requests, which costs a look at each */
#define NEVER_SERVED_S 1e9     /* stands for a time without an answer since the start */

/* A request, in its queue or sent. */
typedef struct
{
  HzbKvClient *client;
  HzbKvPriority priority;
  const char *method;
  char *path, *body;
  guint writes; /* keys that it changes */
  guint timeout_ms;
  struct timespec queued;
  struct timespec deadline; /* by which it is given up in the queue, and not sent again after a 429 */
  HzbKvFunc done;
  gpointer user;
} Request;

struct _HzbKvClient
{
  HzbTransport *transport;
  HzbClock *clock;
  const HzbSettings *settings;
  GQueue waiting[HZB_KV_N_PRIORITIES]; /* Request */
  double request_budget, write_budget; /* how many may be sent now; leases may overdraw the first */
  struct timespec budgets_filled;
  struct timespec last_served; /* unset: never */
  struct timespec not_before;  /* no request that counts goes before it, after a 429 */
  struct timespec next_expiry;
  gboolean ever_served;
  gboolean logged_malformed;
};

HzbKvClient *
hzb_kv_client_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings)
{
  HzbKvClient *client = g_new0 (HzbKvClient, 1);
  client->transport = transport;
  client->clock = clock;
  client->settings = settings;
  client->budgets_filled = hzb_clock_now (clock);
  return client;
}

static void
request_free (Request *request)
{
  g_free (request->path);
  g_free (request->body);
  g_free (request);
}

void
hzb_kv_client_free (HzbKvClient *client)
{
  for (guint i = 0; i < HZB_KV_N_PRIORITIES; i++)
    g_queue_clear_full (&client->waiting[i], (GDestroyNotify) request_free);
  g_free (client);
}

double
hzb_kv_client_unresponsive_s (HzbKvClient *client)
{
  return client->ever_served ? hzb_time_between (client->last_served, hzb_clock_now (client->clock)) : NEVER_SERVED_S;
}

/* ---- answers ---- */

static HzbKvResult
result_of_status (guint status)
{
  switch (status)
    {
    case 200:
      return HZB_KV_OK;
    case 409:
      return HZB_KV_CONFLICT;
    case 404:
    case 410:
      return HZB_KV_NOT_FOUND;
    case 503:
      return HZB_KV_REFUSED; /* the one server error that says that nothing was done */
    default:
      return status == 0 || status >= 500 ? HZB_KV_UNKNOWN : HZB_KV_REFUSED;
    }
}

/* Guards against a log full of one message: whoever sent a malformed request sends it again after a pause. */
static void
warn_malformed_once (HzbKvClient *client, const Request *request, const char *body)
{
  if (client->logged_malformed)
    return;
  client->logged_malformed = TRUE;
  g_warning (
      "the key-value store refuses %s %s with %u changes and %u bytes as malformed: %s. Nothing was written, and "
      "the request is repeated. Compare its size with the limits in the settings (state.txn_ops, state.value_kb). "
      "Further refusals are not logged.",
      request->method, request->path, request->writes, (guint) (request->body ? strlen (request->body) : 0), body);
}

/* Over the shared rate: nothing was done, so the request goes to the head of its queue again. */
static void
requeue_rate_limited (HzbKvClient *client, Request *request, struct timespec now)
{
  client->not_before = hzb_time_plus (now, RATE_LIMITED_PAUSE_S);
  g_queue_push_head (&client->waiting[request->priority], request);
}

static void
on_reply (guint status, const char *body, gsize length, gpointer user)
{
  Request *request = user;
  HzbKvClient *client = request->client;
  struct timespec now = hzb_clock_now (client->clock);
  HzbKvResult result = result_of_status (status);

  if (status == 429 && hzb_time_before (now, request->deadline))
    {
      requeue_rate_limited (client, request, now);
      return;
    }
  if (result == HZB_KV_OK || result == HZB_KV_CONFLICT || result == HZB_KV_NOT_FOUND)
    {
      client->last_served = now;
      client->ever_served = TRUE;
    }
  if (status == 400)
    warn_malformed_once (client, request, body);
  request->done (result, body, request->user);
  request_free (request);
}

/* ---- sending ---- */

static void
send_now (HzbKvClient *client, Request *request)
{
  client->request_budget -= 1;
  client->write_budget -= request->writes;
  /* The body stays with the request, which is sent again if it is answered 429. */
  hzb_send (client->transport, request->method, client->settings->kv_addr, request->path, g_strdup (request->body),
            request->timeout_ms, on_reply, request);
}

static void
refill_budgets (HzbKvClient *client, struct timespec now)
{
  double gap_s = hzb_time_between (client->budgets_filled, now);
  double rps = client->settings->kv_rps * REQUESTS_PART;
  double write_rps = client->settings->kv_write_rps * WRITES_PART;
  /* The largest transaction has to fit, else it would wait for ever. */
  double max_writes = MAX (write_rps * BUDGET_BURST_S, client->settings->kv_txn_ops);

  client->budgets_filled = now;
  client->request_budget = MIN (client->request_budget + gap_s * rps, rps * BUDGET_BURST_S);
  client->write_budget = MIN (client->write_budget + gap_s * write_rps, max_writes);
}

static void
take_expired (GQueue *waiting, GQueue *expired, struct timespec now)
{
  for (GList *l = waiting->head, *next; l; l = next)
    {
      Request *request = l->data;
      next = l->next;
      if (!hzb_time_before (request->deadline, now))
        continue;
      g_queue_delete_link (waiting, l);
      g_queue_push_tail (expired, request);
    }
}

/* Guards against requests that wait behind others for longer than their callers do, whatever the priority of these. A
 * caller that gets no result waits for ever, and so do all requests that the caller queues. The callers get their
 * results only once all queues have been searched, since they may add requests. */
static void
give_up_expired (HzbKvClient *client, struct timespec now)
{
  GQueue expired = G_QUEUE_INIT;
  Request *request;

  if (hzb_time_before (now, client->next_expiry))
    return;
  client->next_expiry = hzb_time_plus (now, EXPIRE_INTERVAL_S);
  for (guint i = 0; i < HZB_KV_N_PRIORITIES; i++)
    take_expired (&client->waiting[i], &expired, now);
  while ((request = g_queue_pop_head (&expired)))
    {
      request->done (HZB_KV_REFUSED, "", request->user);
      request_free (request);
    }
}

static gboolean
may_send_request (const HzbKvClient *client, struct timespec now)
{
  return client->request_budget >= 1 && !hzb_time_before (now, client->not_before);
}

/* Guards against a key-value store that takes few requests, all of which would go to acceptances. Only one read goes
 * before them at a time, so that neither keeps the other waiting. */
static void
send_overdue_read (HzbKvClient *client, struct timespec now)
{
  const Request *request = g_queue_peek_head (&client->waiting[HZB_KV_READ]);
  if (request && !request->writes && may_send_request (client, now)
      && hzb_time_between (request->queued, now) > READ_OVERDUE_S)
    send_now (client, g_queue_pop_head (&client->waiting[HZB_KV_READ]));
}

/* Sends from one queue what the budgets allow. @writes_wait: (inout): a request of a higher priority waits for the
 * budget of changes, which must not be used up before it. */
static void
send_from (HzbKvClient *client, GQueue *waiting, gboolean *writes_wait, struct timespec now)
{
  const Request *request;

  while ((request = g_queue_peek_head (waiting)) && may_send_request (client, now))
    {
      if (request->writes && (*writes_wait || client->write_budget < request->writes))
        {
          *writes_wait = TRUE;
          return;
        }
      send_now (client, g_queue_pop_head (waiting));
    }
}

/* A lower priority never overtakes a higher one in a budget that both need. A request that changes nothing does not
 * wait for the budget of changes: else more acceptances, completions or cancellations than that allows would keep every
 * user's question waiting. Requests for leases and watches wait for no budget, though they use it up: leadership
 * depends on them. */
void
hzb_kv_client_pump (HzbKvClient *client)
{
  struct timespec now = hzb_clock_now (client->clock);
  gboolean writes_wait = FALSE;
  Request *request;

  refill_budgets (client, now);
  give_up_expired (client, now);
  while ((request = g_queue_pop_head (&client->waiting[HZB_KV_LEASE])))
    send_now (client, request);
  send_overdue_read (client, now);
  for (guint i = HZB_KV_LEASE + 1; i < HZB_KV_N_PRIORITIES; i++)
    send_from (client, &client->waiting[i], &writes_wait, now);
}

/* Takes @path and @body. */
static void
add (HzbKvClient *client, HzbKvPriority priority, const char *method, char *path, char *body, guint writes,
     guint timeout_ms, HzbKvFunc done, gpointer user)
{
  Request *request = g_new0 (Request, 1);
  request->client = client;
  request->priority = priority;
  request->method = method;
  request->path = path;
  request->body = body;
  request->writes = writes;
  request->timeout_ms = timeout_ms;
  request->queued = hzb_clock_now (client->clock);
  request->deadline = hzb_time_plus (request->queued, timeout_ms / 1000.0);
  request->done = done;
  request->user = user;
  g_queue_push_tail (&client->waiting[priority], request);
  hzb_kv_client_pump (client);
}

void
hzb_kv_client_get (HzbKvClient *client, HzbKvPriority priority, const char *key, HzbKvFunc done, gpointer user)
{
  add (client, priority, "GET", hzb_kv_get_path (key), NULL, 0,
       priority == HZB_KV_READ ? READ_CALL_TIMEOUT_MS : CALL_TIMEOUT_MS, done, user);
}

void
hzb_kv_client_range (HzbKvClient *client, const char *prefix, const char *after, HzbKvFunc done, gpointer user)
{
  add (client, HZB_KV_READ, "GET", hzb_kv_range_path (prefix, after, RANGE_ROWS), NULL, 0, RANGE_CALL_TIMEOUT_MS, done,
       user);
}

void
hzb_kv_client_commit (HzbKvClient *client, HzbKvPriority priority, HzbKvTransaction *transaction, HzbKvFunc done,
                      gpointer user)
{
  guint writes = hzb_kv_transaction_changes (transaction);
  char *body = hzb_kv_transaction_encode (transaction);
  hzb_kv_transaction_free (transaction);
  add (client, priority, "POST", g_strdup (hzb_path_transaction), body, writes,
       priority == HZB_KV_READ ? READ_CALL_TIMEOUT_MS : CALL_TIMEOUT_MS, done, user);
}

void
hzb_kv_client_watch (HzbKvClient *client, const char *prefix, guint64 after, guint wait_ms, HzbKvFunc done,
                     gpointer user)
{
  add (client, HZB_KV_LEASE, "GET", hzb_kv_watch_path (prefix, after, wait_ms), NULL, 0, wait_ms + WATCH_SLACK_MS, done,
       user);
}

void
hzb_kv_client_changes (HzbKvClient *client, const char *prefix, guint64 after, HzbKvFunc done, gpointer user)
{
  add (client, HZB_KV_READ, "GET", hzb_kv_watch_path (prefix, after, 0), NULL, 0, READ_CALL_TIMEOUT_MS, done, user);
}

void
hzb_kv_client_grant_lease (HzbKvClient *client, guint ttl_ms, HzbKvFunc done, gpointer user)
{
  add (client, HZB_KV_LEASE, "POST", g_strdup (hzb_path_leases), hzb_kv_lease_encode (ttl_ms), 0, LEASE_CALL_TIMEOUT_MS,
       done, user);
}

void
hzb_kv_client_renew_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user)
{
  add (client, HZB_KV_LEASE, "POST", hzb_kv_lease_renew_path (lease), NULL, 0, LEASE_CALL_TIMEOUT_MS, done, user);
}

void
hzb_kv_client_revoke_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user)
{
  add (client, HZB_KV_LEASE, "DELETE", hzb_kv_lease_revoke_path (lease), NULL, 0, LEASE_CALL_TIMEOUT_MS, done, user);
}
