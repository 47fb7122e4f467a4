#include "kv-client.h"
#include "kv-protocol.h"

#include <string.h>

#define CALL_MS 2500
#define READ_CALL_MS 1700 /* a user waits for it, and not for longer than two seconds */
#define LEASE_CALL_MS 1500
#define RANGE_CALL_MS 4000
#define RANGE_ROWS 500u
#define WATCH_SLACK_MS 2000 /* beyond the time that a watch waits */
#define RATE_PAUSE_S 0.2    /* after an answer that says that the shared rate is used up */
/* The service counts all nodes together; half of each budget a node leaves the owner room. */
#define REQUESTS_PART 0.5
#define WRITES_PART 0.6
#define READ_OVERDUE_S 0.4 /* a read that has waited so long goes before acceptances, every other time */
#define EXPIRE_EVERY_S 0.05

typedef struct
{
  HzbKvClient *client;
  HzbKvPriority priority;
  const char *method;
  char *path, *body;
  guint writes, timeout_ms;
  struct timespec queued, deadline;
  HzbKvFunc done;
  gpointer user;
} Request;

struct _HzbKvClient
{
  HzbTransport *transport;
  HzbClock *clock;
  const HzbSettings *settings;
  GQueue waiting[HZB_KV_N_PRIORITIES];
  double requests, writes; /* what the budget holds now */
  struct timespec filled, served, not_before, next_expiry;
  gboolean ever_served, logged_malformed;
};

HzbKvClient *
hzb_kv_client_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings)
{
  HzbKvClient *client = g_new0 (HzbKvClient, 1);
  client->transport = transport;
  client->clock = clock;
  client->settings = settings;
  client->filled = hzb_clock_now (clock);
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
  return client->ever_served ? hzb_time_between (client->served, hzb_clock_now (client->clock)) : 1e9;
}

static void
on_reply (guint status, const char *body, gsize length, gpointer user)
{
  Request *request = user;
  HzbKvClient *client = request->client;
  struct timespec now = hzb_clock_now (client->clock);
  HzbKvResult result;

  if (status == 429 && hzb_time_before (now, request->deadline))
    {
      /* Over the shared rate: nothing was done, so it goes to the head of its queue. */
      client->not_before = hzb_time_plus (now, RATE_PAUSE_S);
      g_queue_push_head (&client->waiting[request->priority], request);
      return;
    }
  if (status == 200 || status == 404 || status == 409 || status == 410)
    {
      client->served = now;
      client->ever_served = TRUE;
    }
  result = status == 200                    ? HZB_KV_OK
           : status == 409                  ? HZB_KV_CONFLICT
           : status == 404 || status == 410 ? HZB_KV_NOT_FOUND
           : status == 0 || status >= 500   ? (status == 503 ? HZB_KV_REFUSED : HZB_KV_UNKNOWN)
                                            : HZB_KV_REFUSED;
  /* Once: whoever sent it will try again, and a log full of it helps nobody. */
  if (status == 400 && !client->logged_malformed)
    g_warning ("store: %s %s with %u changes and %u bytes is refused: %s (more of these are not logged)",
               request->method, request->path, request->writes, (guint) (request->body ? strlen (request->body) : 0),
               body);
  client->logged_malformed = client->logged_malformed || status == 400;
  request->done (result, body, request->user);
  request_free (request);
}

static void
send_now (HzbKvClient *client, Request *request)
{
  client->requests -= 1;
  client->writes -= request->writes;
  /* The body stays with the request: one that is answered 429 is sent once more. */
  hzb_send (client->transport, request->method, client->settings->kv_addr, request->path, g_strdup (request->body),
            request->timeout_ms, on_reply, request);
}

static void
refill_budgets (HzbKvClient *client, struct timespec now)
{
  double gap = hzb_time_between (client->filled, now);
  double rps = client->settings->kv_rps * REQUESTS_PART;
  double write_rps = client->settings->kv_write_rps * WRITES_PART;

  client->filled = now;
  client->requests = MIN (client->requests + gap * rps, rps);
  client->writes = MIN (client->writes + gap * write_rps, MAX (write_rps, client->settings->kv_txn_ops));
}

/* Guards against requests that wait behind others for longer than their callers do, of whatever priority these are: a
 * caller that is told nothing waits for ever, and with it all that waits its turn there. */
static void
give_up_expired (HzbKvClient *client, struct timespec now)
{
  GQueue expired = G_QUEUE_INIT;
  Request *request;

  if (hzb_time_before (now, client->next_expiry))
    return;
  client->next_expiry = hzb_time_plus (now, EXPIRE_EVERY_S);
  for (guint i = 0; i < HZB_KV_N_PRIORITIES; i++)
    for (GList *l = client->waiting[i].head, *next; l; l = next)
      {
        next = l->next;
        request = l->data;
        if (!hzb_time_before (request->deadline, now))
          continue;
        g_queue_delete_link (&client->waiting[i], l);
        g_queue_push_tail (&expired, request);
      }
  while ((request = g_queue_pop_head (&expired)))
    {
      request->done (HZB_KV_REFUSED, "", request->user);
      request_free (request);
    }
}

static gboolean
may_send_request (const HzbKvClient *client, struct timespec now)
{
  return client->requests >= 1 && !hzb_time_before (now, client->not_before);
}

/* Guards against a service that takes few requests, all of which would go to acceptances: one at a time, so that neither
 * keeps the other waiting. */
static void
send_overdue_read (HzbKvClient *client, struct timespec now)
{
  const Request *request = g_queue_peek_head (&client->waiting[HZB_KV_READ]);
  if (request && !request->writes && may_send_request (client, now)
      && hzb_time_between (request->queued, now) > READ_OVERDUE_S)
    send_now (client, g_queue_pop_head (&client->waiting[HZB_KV_READ]));
}

/* A lower priority never overtakes in what both need. What changes nothing does not wait for the budget of changes: more
 * acceptances, ends or cancellations than that allows would keep every question of a user waiting. */
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
    while ((request = g_queue_peek_head (&client->waiting[i])) && may_send_request (client, now))
      {
        if (request->writes && (writes_wait || client->writes < request->writes))
          {
            writes_wait = TRUE;
            break;
          }
        send_now (client, g_queue_pop_head (&client->waiting[i]));
      }
}

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
  add (client, priority, "GET", hzb_kv_get_path (key), NULL, 0, priority == HZB_KV_READ ? READ_CALL_MS : CALL_MS, done,
       user);
}

void
hzb_kv_client_range (HzbKvClient *client, const char *prefix, const char *after, HzbKvFunc done, gpointer user)
{
  add (client, HZB_KV_READ, "GET", hzb_kv_range_path (prefix, after, RANGE_ROWS), NULL, 0, RANGE_CALL_MS, done, user);
}

void
hzb_kv_client_commit (HzbKvClient *client, HzbKvPriority priority, HzbKvTransaction *transaction, HzbKvFunc done,
                      gpointer user)
{
  guint writes = hzb_kv_transaction_changes (transaction);
  char *body = hzb_kv_transaction_encode (transaction);
  hzb_kv_transaction_free (transaction);
  add (client, priority, "POST", g_strdup (hzb_path_transaction), body, writes,
       priority == HZB_KV_READ ? READ_CALL_MS : CALL_MS, done, user);
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
  add (client, HZB_KV_READ, "GET", hzb_kv_watch_path (prefix, after, 0), NULL, 0, READ_CALL_MS, done, user);
}

void
hzb_kv_client_grant_lease (HzbKvClient *client, guint ttl_ms, HzbKvFunc done, gpointer user)
{
  add (client, HZB_KV_LEASE, "POST", g_strdup (hzb_path_leases), hzb_kv_lease_encode (ttl_ms), 0, LEASE_CALL_MS, done,
       user);
}

void
hzb_kv_client_renew_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user)
{
  add (client, HZB_KV_LEASE, "POST", hzb_kv_lease_renew_path (lease), NULL, 0, LEASE_CALL_MS, done, user);
}

void
hzb_kv_client_revoke_lease (HzbKvClient *client, guint64 lease, HzbKvFunc done, gpointer user)
{
  add (client, HZB_KV_LEASE, "DELETE", hzb_kv_lease_revoke_path (lease), NULL, 0, LEASE_CALL_MS, done, user);
}
