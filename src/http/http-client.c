#include "http-client.h"

#define SOUP_VERSION_MIN_REQUIRED SOUP_VERSION_2_70
#include <libsoup/soup.h>
#include <string.h>

#define MOST_CONNECTIONS 64
#define MOST_CONNECTIONS_PER_HOST 24
#define CONNECTION_IDLE_S 30
#define NO_TIMEOUT 0 /* each call has a timer of its own */

#define MOST_ABANDONED_CALLS 8u /* each may hold a connection of the pool */

/* Connections, and the calls that were made over them. A pool that is retired gets no new calls, and is freed when
 * libsoup has ended the last of its calls. */
typedef struct
{
  SoupSession *session; /* NULL: aborted */
  guint pending;        /* calls whose caller waits */
  guint abandoned;      /* calls whose caller was told that no response came, and that libsoup has not ended yet */
  gboolean retired;
} Pool;

typedef struct
{
  HzbTransport parent;
  Pool *pool; /* for new calls */
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
  /* No proxy resolver: it would load GIO modules and call D-Bus, and there are no host names to look up. */
  pool->session = soup_session_new_with_options (
      SOUP_SESSION_PROXY_RESOLVER, NULL, SOUP_SESSION_MAX_CONNS, MOST_CONNECTIONS, SOUP_SESSION_MAX_CONNS_PER_HOST,
      MOST_CONNECTIONS_PER_HOST, SOUP_SESSION_IDLE_TIMEOUT, CONNECTION_IDLE_S, SOUP_SESSION_TIMEOUT, NO_TIMEOUT, NULL);
  return pool;
}

/* Ends all calls of the pool. The pool counts as in use meanwhile, so that the last call does not free it. */
static void
pool_abort (Pool *pool)
{
  g_autoptr (SoupSession) session = g_steal_pointer (&pool->session);
  pool->pending++;
  soup_session_abort (session);
  pool->pending--;
}

/* Frees a retired pool once no call of it is left. */
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

/* libsoup 2.74 does not always end a message that is cancelled (seen with transactions that the key-value store
 * received and never answered). Its caller would wait for ever, and so would every request that is queued behind that
 * call. So this client ends the call here, whatever libsoup does; and since each abandoned call may hold a connection,
 * a pool with several of them is replaced. */
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
  /* This may free the call. */
  soup_session_cancel_message (pool->session, call->message, SOUP_STATUS_CANCELLED);
  done (0, "", 0, user);
  if (pool == client->pool && pool->abandoned >= MOST_ABANDONED_CALLS)
    {
      client->pool = pool_new ();
      pool->retired = TRUE;
    }
  pool->pending--;
  pool_free_if_unused (pool);
  return G_SOURCE_REMOVE;
}

/* libsoup has ended the call, with or without a response. */
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
  /* The connection that libsoup takes may be one that a network partition has cut. */
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
