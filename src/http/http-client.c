#include "http-client.h"

#define SOUP_VERSION_MIN_REQUIRED SOUP_VERSION_2_70
#include <libsoup/soup.h>
#include <string.h>

#define MAX_CONNECTIONS 64
#define MAX_CONNECTIONS_PER_HOST 24
#define CONNECTION_IDLE_S 30
#define NO_TIMEOUT 0 /* turns libsoup's timeout off, because each call has its own timer */

#define MAX_ABANDONED_CALLS 8u /* per pool: each may occupy one of the pool's connections */

/* A set of connections and the calls made over them. A retired pool gets no new calls, and is freed when libsoup has
 * ended the last of its calls. */
typedef struct
{
  SoupSession *session; /* NULL: aborted, see pool_abort () */
  guint pending;        /* calls whose caller has not got a result */
  guint abandoned;      /* calls that reported a timeout to their caller, but that libsoup has not ended */
  gboolean retired;
} Pool;

typedef struct
{
  HzbTransport parent;
  Pool *pool; /* the pool for new calls */
} Client;

typedef struct
{
  Client *client;
  Pool *pool;
  SoupMessage *message;
  guint timer;
  gboolean abandoned;
  HzbReplyFunc done;
  gpointer user;
} Call;

static Pool *
pool_new (void)
{
  Pool *pool = g_new0 (Pool, 1);
  /* A proxy resolver would load GIO modules and call D-Bus. None is needed, since all addresses are IP addresses. */
  pool->session = soup_session_new_with_options (
      SOUP_SESSION_PROXY_RESOLVER, NULL, SOUP_SESSION_MAX_CONNS, MAX_CONNECTIONS, SOUP_SESSION_MAX_CONNS_PER_HOST,
      MAX_CONNECTIONS_PER_HOST, SOUP_SESSION_IDLE_TIMEOUT, CONNECTION_IDLE_S, SOUP_SESSION_TIMEOUT, NO_TIMEOUT, NULL);
  return pool;
}

/* Ends all calls of the pool. libsoup calls on_call_ended () for each of them, which would free a pool without pending
 * calls, so the number of pending calls is raised until the session is aborted. */
static void
pool_abort (Pool *pool)
{
  g_autoptr (SoupSession) session = g_steal_pointer (&pool->session);
  pool->pending++;
  soup_session_abort (session);
  pool->pending--;
}

/* Aborts a retired pool once no caller waits for a call of it, and frees the pool once libsoup has ended all calls. */
static void
pool_free_if_unused (Pool *pool)
{
  if (!pool->retired || pool->pending)
    return;
  if (pool->session)
    pool_abort (pool);
  if (!pool->abandoned)
    g_free (pool);
}

/* libsoup 2.74 does not always end a cancelled message; this happens with transactions that the key-value store
 * received and never answered. The caller of such a message, and every request that is queued behind it, would wait
 * without end. The client therefore reports the timeout to the caller itself, whether or not libsoup ends the message.
 * Each abandoned call may occupy a connection, so a pool with MAX_ABANDONED_CALLS of them is replaced. */
static gboolean
on_call_expired (gpointer data)
{
  Call *call = data;
  Client *client = call->client;
  Pool *pool = call->pool;
  HzbReplyFunc done = call->done;
  gpointer user = call->user;

  call->timer = 0;
  call->abandoned = TRUE;
  pool->abandoned++;
  /* The cancellation may free the call. */
  soup_session_cancel_message (pool->session, call->message, SOUP_STATUS_CANCELLED);
  done (0, "", 0, user);
  if (pool == client->pool && pool->abandoned >= MAX_ABANDONED_CALLS)
    {
      client->pool = pool_new ();
      pool->retired = TRUE;
    }
  pool->pending--;
  pool_free_if_unused (pool);
  return G_SOURCE_REMOVE;
}

/* Called when libsoup has ended a call, with or without a response. */
static void
on_call_ended (SoupSession *session, SoupMessage *message, gpointer data)
{
  Call *call = data;
  Pool *pool = call->pool;
  guint status = SOUP_STATUS_IS_TRANSPORT_ERROR (message->status_code) ? 0 : message->status_code;
  g_autoptr (SoupBuffer) body = soup_message_body_flatten (message->response_body); /* ends with a NUL */

  if (call->abandoned)
    pool->abandoned--;
  else
    {
      g_source_remove (call->timer);
      call->done (status, body->data, body->length, call->user);
      pool->pending--;
    }
  g_free (call);
  pool_free_if_unused (pool);
}

static void
client_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body,
             guint timeout_ms, HzbReplyFunc done, gpointer user)
{
  Client *client = (Client *) transport;
  g_autofree char *uri = g_strconcat ("http://", addr, path, NULL);
  Call *call = g_new0 (Call, 1);

  call->client = client;
  call->pool = client->pool;
  call->pool->pending++;
  call->message = soup_message_new (method, uri);
  call->done = done;
  call->user = user;
  if (body)
    soup_message_set_request (call->message, "application/json", SOUP_MEMORY_TAKE, body, strlen (body));
  /* The timer is needed because libsoup may send the request on a connection that a network partition has broken, where
   * no response arrives. */
  call->timer = g_timeout_add (timeout_ms, on_call_expired, call);
  soup_session_queue_message (call->pool->session, call->message, on_call_ended, call); /* takes the message */
}

HzbTransport *
hzb_http_client_new (void)
{
  Client *client = g_new0 (Client, 1);
  client->parent.send = client_send;
  client->pool = pool_new ();
  return &client->parent;
}

void
hzb_http_client_free (HzbTransport *transport)
{
  Client *client = (Client *) transport;
  Pool *pool = client->pool;

  pool->pending++;
  soup_session_abort (pool->session);
  pool->pending--;
  pool->retired = TRUE;
  pool_free_if_unused (pool);
  g_free (client);
}
