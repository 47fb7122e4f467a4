#include "store.h"

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
  HzbStore *store;
  HzbStorePriority priority;
  const char *method;
  char *path, *body;
  guint writes, timeout_ms;
  struct timespec queued, deadline;
  HzbStoreFunc done;
  gpointer user;
} Request;

struct _HzbStore
{
  HzbTransport *transport;
  HzbClock *clock;
  const HzbSettings *settings;
  GQueue waiting[HZB_STORE_N_PRIORITIES];
  double requests, writes; /* what the budget holds now */
  struct timespec filled, served, not_before, next_expiry;
  gboolean ever_served, told_malformed;
};

HzbStore *
hzb_store_new (HzbTransport *transport, HzbClock *clock, const HzbSettings *settings)
{
  HzbStore *store = g_new0 (HzbStore, 1);
  store->transport = transport;
  store->clock = clock;
  store->settings = settings;
  store->filled = hzb_clock_now (clock);
  return store;
}

static void
request_free (Request *request)
{
  g_free (request->path);
  g_free (request->body);
  g_free (request);
}

void
hzb_store_free (HzbStore *store)
{
  for (guint i = 0; i < HZB_STORE_N_PRIORITIES; i++)
    g_queue_clear_full (&store->waiting[i], (GDestroyNotify) request_free);
  g_free (store);
}

double
hzb_store_silence (HzbStore *store)
{
  return store->ever_served ? hzb_time_between (store->served, hzb_clock_now (store->clock)) : 1e9;
}

static void
on_reply (guint status, const char *body, gsize length, gpointer user)
{
  Request *request = user;
  HzbStore *store = request->store;
  struct timespec now = hzb_clock_now (store->clock);
  HzbStoreResult result;

  if (status == 429 && hzb_time_before (now, request->deadline))
    {
      /* Over the shared rate: nothing was done, so it goes to the head of its queue. */
      store->not_before = hzb_time_plus (now, RATE_PAUSE_S);
      g_queue_push_head (&store->waiting[request->priority], request);
      return;
    }
  if (status == 200 || status == 404 || status == 409 || status == 410)
    {
      store->served = now;
      store->ever_served = TRUE;
    }
  result = status == 200                    ? HZB_STORE_OK
           : status == 409                  ? HZB_STORE_CONFLICT
           : status == 404 || status == 410 ? HZB_STORE_ABSENT
           : status == 0 || status >= 500   ? (status == 503 ? HZB_STORE_REFUSED : HZB_STORE_UNKNOWN)
                                            : HZB_STORE_REFUSED;
  /* Once: whoever sent it will try again, and a log full of it helps nobody. */
  if (status == 400 && !store->told_malformed)
    g_warning ("store: %s %s with %u changes and %u bytes is refused: %s (more of these are not logged)",
               request->method, request->path, request->writes, (guint) (request->body ? strlen (request->body) : 0),
               body);
  store->told_malformed = store->told_malformed || status == 400;
  request->done (result, body, request->user);
  request_free (request);
}

static void
send_now (HzbStore *store, Request *request)
{
  store->requests -= 1;
  store->writes -= request->writes;
  /* The body stays with the request: one that is answered 429 is sent once more. */
  hzb_send (store->transport, request->method, store->settings->store_addr, request->path, g_strdup (request->body),
            request->timeout_ms, on_reply, request);
}

static void
refill_budgets (HzbStore *store, struct timespec now)
{
  double gap = hzb_time_between (store->filled, now);
  double rps = store->settings->store_rps * REQUESTS_PART;
  double write_rps = store->settings->store_write_rps * WRITES_PART;

  store->filled = now;
  store->requests = MIN (store->requests + gap * rps, rps);
  store->writes = MIN (store->writes + gap * write_rps, MAX (write_rps, store->settings->store_txn_ops));
}

/* Guards against requests that wait behind others for longer than their callers do, of whatever priority these are: a
 * caller that is told nothing waits for ever, and with it all that waits its turn there. */
static void
give_up_expired (HzbStore *store, struct timespec now)
{
  GQueue expired = G_QUEUE_INIT;
  Request *request;

  if (hzb_time_before (now, store->next_expiry))
    return;
  store->next_expiry = hzb_time_plus (now, EXPIRE_EVERY_S);
  for (guint i = 0; i < HZB_STORE_N_PRIORITIES; i++)
    for (GList *l = store->waiting[i].head, *next; l; l = next)
      {
        next = l->next;
        request = l->data;
        if (!hzb_time_before (request->deadline, now))
          continue;
        g_queue_delete_link (&store->waiting[i], l);
        g_queue_push_tail (&expired, request);
      }
  while ((request = g_queue_pop_head (&expired)))
    {
      request->done (HZB_STORE_REFUSED, "", request->user);
      request_free (request);
    }
}

static gboolean
may_send_request (const HzbStore *store, struct timespec now)
{
  return store->requests >= 1 && !hzb_time_before (now, store->not_before);
}

/* Guards against a service that takes few requests, all of which would go to acceptances: one at a time, so that neither
 * keeps the other waiting. */
static void
send_overdue_read (HzbStore *store, struct timespec now)
{
  const Request *request = g_queue_peek_head (&store->waiting[HZB_STORE_READ]);
  if (request && !request->writes && may_send_request (store, now)
      && hzb_time_between (request->queued, now) > READ_OVERDUE_S)
    send_now (store, g_queue_pop_head (&store->waiting[HZB_STORE_READ]));
}

/* A lower priority never overtakes in what both need. What changes nothing does not wait for the budget of changes: more
 * acceptances, ends or cancellations than that allows would keep every question of a user waiting. */
void
hzb_store_pump (HzbStore *store)
{
  struct timespec now = hzb_clock_now (store->clock);
  gboolean writes_wait = FALSE;
  Request *request;

  refill_budgets (store, now);
  give_up_expired (store, now);
  while ((request = g_queue_pop_head (&store->waiting[HZB_STORE_LEASE])))
    send_now (store, request);
  send_overdue_read (store, now);
  for (guint i = HZB_STORE_LEASE + 1; i < HZB_STORE_N_PRIORITIES; i++)
    while ((request = g_queue_peek_head (&store->waiting[i])) && may_send_request (store, now))
      {
        if (request->writes && (writes_wait || store->writes < request->writes))
          {
            writes_wait = TRUE;
            break;
          }
        send_now (store, g_queue_pop_head (&store->waiting[i]));
      }
}

static void
add (HzbStore *store, HzbStorePriority priority, const char *method, char *path, char *body, guint writes,
     guint timeout_ms, HzbStoreFunc done, gpointer user)
{
  Request *request = g_new0 (Request, 1);
  request->store = store;
  request->priority = priority;
  request->method = method;
  request->path = path;
  request->body = body;
  request->writes = writes;
  request->timeout_ms = timeout_ms;
  request->queued = hzb_clock_now (store->clock);
  request->deadline = hzb_time_plus (request->queued, timeout_ms / 1000.0);
  request->done = done;
  request->user = user;
  g_queue_push_tail (&store->waiting[priority], request);
  hzb_store_pump (store);
}

void
hzb_store_get (HzbStore *store, HzbStorePriority priority, const char *key, HzbStoreFunc done, gpointer user)
{
  add (store, priority, "GET", hzb_wire_get_path (key), NULL, 0, priority == HZB_STORE_READ ? READ_CALL_MS : CALL_MS,
       done, user);
}

void
hzb_store_range (HzbStore *store, const char *prefix, const char *after, HzbStoreFunc done, gpointer user)
{
  add (store, HZB_STORE_READ, "GET", hzb_wire_range_path (prefix, after, RANGE_ROWS), NULL, 0, RANGE_CALL_MS, done,
       user);
}

void
hzb_store_txn (HzbStore *store, HzbStorePriority priority, cJSON *txn, HzbStoreFunc done, gpointer user)
{
  guint writes = hzb_wire_txn_writes (txn);
  char *body = cJSON_PrintUnformatted (txn);
  cJSON_Delete (txn);
  add (store, priority, "POST", g_strdup (hzb_path_txn), body, writes,
       priority == HZB_STORE_READ ? READ_CALL_MS : CALL_MS, done, user);
}

void
hzb_store_watch (HzbStore *store, const char *prefix, guint64 after, guint wait_ms, HzbStoreFunc done, gpointer user)
{
  add (store, HZB_STORE_LEASE, "GET", hzb_wire_watch_path (prefix, after, wait_ms), NULL, 0, wait_ms + WATCH_SLACK_MS,
       done, user);
}

void
hzb_store_news (HzbStore *store, const char *prefix, guint64 after, HzbStoreFunc done, gpointer user)
{
  add (store, HZB_STORE_READ, "GET", hzb_wire_watch_path (prefix, after, 0), NULL, 0, READ_CALL_MS, done, user);
}

void
hzb_store_lease (HzbStore *store, guint ttl_ms, HzbStoreFunc done, gpointer user)
{
  add (store, HZB_STORE_LEASE, "POST", g_strdup (hzb_path_leases), hzb_wire_lease (ttl_ms), 0, LEASE_CALL_MS, done,
       user);
}

void
hzb_store_renew (HzbStore *store, guint64 lease, HzbStoreFunc done, gpointer user)
{
  add (store, HZB_STORE_LEASE, "POST", hzb_wire_renew_path (lease), NULL, 0, LEASE_CALL_MS, done, user);
}

void
hzb_store_end_lease (HzbStore *store, guint64 lease, HzbStoreFunc done, gpointer user)
{
  add (store, HZB_STORE_LEASE, "DELETE", hzb_wire_end_lease_path (lease), NULL, 0, LEASE_CALL_MS, done, user);
}
