/* Each priority has a queue. A request waits in its queue until the budgets allow it, see hzb_kv_client_pump(). */
#include "kv-client.h"
#include "kv-protocol.h"

#include <string.h>

/* Timeouts. A request may wait in its queue for its timeout, and after it was sent, for its answer for the same time
 * again. The key-value store usually answers in under 10 ms and occasionally in a few hundred. If an answer takes
 * longer than the timeout, the answer is lost or the store is unavailable. */
#define CALL_TIMEOUT_MS 2500       /* transactions and reads at the other priorities */
#define READ_CALL_TIMEOUT_MS 1700  /* at HZB_KV_READ; less than two seconds, the longest time that a user waits */
#define LEASE_CALL_TIMEOUT_MS 1500 /* after a lost renewal, another one must fit in before the lease expires */
#define RANGE_CALL_TIMEOUT_MS 4000 /* a page is large, and a retry would transfer all of it again */
#define WATCH_SLACK_MS 2000        /* added to the wait of a watch, for the transfer of its answer */

/* The key-value store allows 1,000 rows and 512 KiB in an answer. The client requests fewer rows, since a lost page has
 * to be read again as a whole. */
#define RANGE_ROWS 500u

/* The store limits the requests and changes per second of all controllers together (state.rps and state.write_rps in
 * the settings) and answers 429 above these limits. Each controller uses only a fraction of them, so that the followers
 * leave capacity for the leader, which writes most. */
#define REQUEST_RATE_FRACTION 0.5
#define WRITE_RATE_FRACTION 0.6
#define BUDGET_BURST_S 1.0       /* the store allows bursts as large as the limit for one second */
#define RATE_LIMITED_PAUSE_S 0.2 /* after a 429, until the request rate that the store measures has fallen */

#define READ_OVERDUE_S 0.4 /* a read that has waited longer may go before the acceptances, see send_overdue_read() */
#define EXPIRE_INTERVAL_S 0.05 /* between two searches for expired requests; a search visits every queued request */
#define NEVER_SERVED_S 1e9     /* reported while the store has never served a request */

/* A request that waits in its queue or has been sent. */
typedef struct
{
  HzbKvClient *client;
  HzbKvPriority priority;
  const char *method;
  char *path, *body;
  guint writes; /* number of keys that the request changes */
  guint timeout_ms;
  struct timespec queued;
  struct timespec deadline; /* a request still queued then fails, and one that gets 429 later is not sent again */
  HzbKvFunc done;
  gpointer user;
} Request;

struct _HzbKvClient
{
  HzbTransport *transport;
  HzbClock *clock;
  const HzbSettings *settings;
  GQueue waiting[HZB_KV_N_PRIORITIES]; /* Request */
  double request_budget; /* requests that may be sent now; negative if requests at HZB_KV_LEASE have overdrawn it */
  double write_budget;   /* changes that may be sent now; negative in the same case */
  struct timespec budgets_filled;
  struct timespec last_served;        /* valid if ever_served */
  struct timespec rate_limited_until; /* set by a 429: before it, only requests at HZB_KV_LEASE are sent */
  struct timespec next_expiry_search; /* see EXPIRE_INTERVAL_S */
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
      return HZB_KV_REFUSED; /* unlike other server errors, 503 states that nothing was done */
    default:
      return status == 0 || status >= 500 ? HZB_KV_UNKNOWN : HZB_KV_REFUSED;
    }
}

/* Logs only the first malformed request: its caller repeats the request after a pause, which would fill the log. */
static void
warn_malformed_once (HzbKvClient *client, const Request *request, const char *body)
{
  if (client->logged_malformed)
    return;
  client->logged_malformed = TRUE;
  g_warning (
      "key-value store rejected %s %s (%u changes, %u bytes) as malformed: %s. Nothing was written; the request is "
      "repeated. Compare its size with the limits in the settings (state.txn_ops, state.value_kb). Later rejections of "
      "malformed requests are not logged.",
      request->method, request->path, request->writes, (guint) (request->body ? strlen (request->body) : 0), body);
}

/* 429: the shared rate limit is exceeded and the store did nothing, so the request returns to the head of its queue. */
static void
requeue_rate_limited (HzbKvClient *client, Request *request, struct timespec now)
{
  client->rate_limited_until = hzb_time_plus (now, RATE_LIMITED_PAUSE_S);
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
  /* The request keeps its body, since it is sent again after a 429. */
  hzb_transport_send (client->transport, request->method, client->settings->kv_addr, request->path,
                      g_strdup (request->body), request->timeout_ms, on_reply, request);
}

static void
refill_budgets (HzbKvClient *client, struct timespec now)
{
  double gap_s = hzb_time_between (client->budgets_filled, now);
  double rps = client->settings->kv_rps * REQUEST_RATE_FRACTION;
  double write_rps = client->settings->kv_write_rps * WRITE_RATE_FRACTION;
  /* The budget must be able to hold the largest transaction, which would otherwise never be sent. */
  double max_writes = MAX (write_rps * BUDGET_BURST_S, client->settings->kv_txn_ops);

  client->budgets_filled = now;
  client->request_budget = MIN (client->request_budget + gap_s * rps, rps * BUDGET_BURST_S);
  client->write_budget = MIN (client->write_budget + gap_s * write_rps, max_writes);
}

static void
collect_expired (GQueue *waiting, GQueue *expired, struct timespec now)
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

/* Fails the requests that have waited in their queue until their deadline, at every priority. A caller that got no
 * result would wait without end, and so would all work that the caller has postponed until the result. Callbacks run
 * after all queues have been searched, since a callback may add requests to the queues. */
static void
fail_expired (HzbKvClient *client, struct timespec now)
{
  GQueue expired = G_QUEUE_INIT;
  Request *request;

  if (hzb_time_before (now, client->next_expiry_search))
    return;
  client->next_expiry_search = hzb_time_plus (now, EXPIRE_INTERVAL_S);
  for (guint i = 0; i < HZB_KV_N_PRIORITIES; i++)
    collect_expired (&client->waiting[i], &expired, now);
  while ((request = g_queue_pop_head (&expired)))
    {
      request->done (HZB_KV_REFUSED, "", request->user);
      request_free (request);
    }
}

static gboolean
may_send_request (const HzbKvClient *client, struct timespec now)
{
  return client->request_budget >= 1 && !hzb_time_before (now, client->rate_limited_until);
}

/* When the key-value store allows few requests per second, the acceptances of jobs could use the whole request budget
 * and starve the reads. So an overdue read is sent before the acceptances, but only one in each call of
 * hzb_kv_client_pump(), so that the reads don't starve the acceptances. */
static void
send_overdue_read (HzbKvClient *client, struct timespec now)
{
  const Request *request = g_queue_peek_head (&client->waiting[HZB_KV_READ]);
  if (request && !request->writes && may_send_request (client, now)
      && hzb_time_between (request->queued, now) > READ_OVERDUE_S)
    send_now (client, g_queue_pop_head (&client->waiting[HZB_KV_READ]));
}

/* Sends the requests of one queue that the budgets allow.
 * @writes_blocked: (inout): a request of a higher priority waits for the write budget, so no later request may use that
 * budget. */
static void
send_from_queue (HzbKvClient *client, GQueue *waiting, gboolean *writes_blocked, struct timespec now)
{
  const Request *request;

  while ((request = g_queue_peek_head (waiting)) && may_send_request (client, now))
    {
      if (request->writes && (*writes_blocked || client->write_budget < request->writes))
        {
          *writes_blocked = TRUE;
          return;
        }
      send_now (client, g_queue_pop_head (waiting));
    }
}

/* A request never overtakes one of a higher priority that waits for the same budget, except for an overdue read, see
 * send_overdue_read(). A read does not wait for the write budget: otherwise a backlog of acceptances, completions or
 * cancellations would delay the queries of all users. Requests at HZB_KV_LEASE are sent without waiting for a budget,
 * since leadership depends on them, but they are counted in the budgets. */
void
hzb_kv_client_pump (HzbKvClient *client)
{
  struct timespec now = hzb_clock_now (client->clock);
  gboolean writes_blocked = FALSE;
  Request *request;

  refill_budgets (client, now);
  fail_expired (client, now);
  while ((request = g_queue_pop_head (&client->waiting[HZB_KV_LEASE])))
    send_now (client, request);
  send_overdue_read (client, now);
  for (guint i = HZB_KV_LEASE + 1; i < HZB_KV_N_PRIORITIES; i++)
    send_from_queue (client, &client->waiting[i], &writes_blocked, now);
}

/* Queues a request and sends what the budgets allow. Takes ownership of @path and @body. */
static void
enqueue_request (HzbKvClient *client, HzbKvPriority priority, const char *method, char *path, char *body, guint writes,
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
  enqueue_request (client, priority, "GET", hzb_kv_get_path (key), NULL, 0,
                   priority == HZB_KV_READ ? READ_CALL_TIMEOUT_MS : CALL_TIMEOUT_MS, done, user);
}

void
hzb_kv_client_range (HzbKvClient *client, const char *prefix, const char *after, HzbKvFunc done, gpointer user)
{
  enqueue_request (client, HZB_KV_READ, "GET", hzb_kv_range_path (prefix, after, RANGE_ROWS), NULL, 0,
                   RANGE_CALL_TIMEOUT_MS, done, user);
}

void
hzb_kv_client_commit (HzbKvClient *client, HzbKvPriority priority, HzbKvTransaction *transaction, HzbKvFunc done,
                      gpointer user)
{
  guint writes = hzb_kv_transaction_count_changes (transaction);
  char *body = hzb_kv_transaction_encode (transaction);
  hzb_kv_transaction_free (transaction);
  enqueue_request (client, priority, "POST", g_strdup (hzb_path_transaction), body, writes,
                   priority == HZB_KV_READ ? READ_CALL_TIMEOUT_MS : CALL_TIMEOUT_MS, done, user);
}

void
hzb_kv_client_watch (HzbKvClient *client, const char *prefix, guint64 after, guint wait_ms, HzbKvFunc done,
                     gpointer user)
{
  enqueue_request (client, HZB_KV_LEASE, "GET", hzb_kv_watch_path (prefix, after, wait_ms), NULL, 0,
                   wait_ms + WATCH_SLACK_MS, done, user);
}

void
hzb_kv_client_changes (HzbKvClient *client, const char *prefix, guint64 after, HzbKvFunc done, gpointer user)
{
  enqueue_request (client, HZB_KV_READ, "GET", hzb_kv_watch_path (prefix, after, 0), NULL, 0, READ_CALL_TIMEOUT_MS,
                   done, user);
}

void
hzb_kv_client_grant_lease (HzbKvClient *client, guint ttl_ms, HzbKvFunc done, gpointer user)
{
  enqueue_request (client, HZB_KV_LEASE, "POST", g_strdup (hzb_path_leases), hzb_kv_lease_grant_encode (ttl_ms), 0,
                   LEASE_CALL_TIMEOUT_MS, done, user);
}

void
hzb_kv_client_renew_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user)
{
  enqueue_request (client, HZB_KV_LEASE, "POST", hzb_kv_lease_renew_path (lease), NULL, 0, LEASE_CALL_TIMEOUT_MS, done,
                   user);
}

void
hzb_kv_client_revoke_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user)
{
  enqueue_request (client, HZB_KV_LEASE, "DELETE", hzb_kv_lease_revoke_path (lease), NULL, 0, LEASE_CALL_TIMEOUT_MS,
                   done, user);
}
