#include "http.h"

#include "settings.h"
#include "wire.h"

#define SOUP_VERSION_MIN_REQUIRED SOUP_VERSION_2_70
#include <libsoup/soup.h>
#include <string.h>

/* ---- client ---- */

typedef struct
{
  HzbTransport parent;
  SoupSession *session;
} Client;

typedef struct
{
  SoupSession *session;
  SoupMessage *message;
  guint timer;
  HzbReplyFunc done;
  gpointer user;
} Call;

static gboolean
call_expired (gpointer data)
{
  Call *call = data;
  call->timer = 0;
  soup_session_cancel_message (call->session, call->message, SOUP_STATUS_CANCELLED);
  return G_SOURCE_REMOVE;
}

static void
call_done (SoupSession *session, SoupMessage *message, gpointer data)
{
  Call *call = data;
  /* Below 100 are libsoup's own codes: no answer came. */
  guint status = SOUP_STATUS_IS_TRANSPORT_ERROR (message->status_code) ? 0 : message->status_code;
  g_autoptr (SoupBuffer) body = soup_message_body_flatten (message->response_body); /* ends with a NUL */

  if (call->timer)
    g_source_remove (call->timer);
  call->done (status, body->data, body->length, call->user);
  g_free (call);
}

static void
client_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body,
             guint timeout_ms, HzbReplyFunc done, gpointer user)
{
  Client *client = (Client *) transport;
  g_autofree char *uri = g_strconcat ("http://", addr, path, NULL);
  Call *call = g_new0 (Call, 1);

  call->session = client->session;
  call->message = soup_message_new (method, uri);
  call->done = done;
  call->user = user;
  if (body)
    soup_message_set_request (call->message, "application/json", SOUP_MEMORY_TAKE, body, strlen (body));
  /* A connection taken from the pool may be behind a cut; every call has its own end. */
  call->timer = g_timeout_add (timeout_ms, call_expired, call);
  soup_session_queue_message (client->session, call->message, call_done, call); /* takes the message */
}

HzbTransport *
hzb_http_client_new (void)
{
  Client *client = g_new0 (Client, 1);
  client->parent.send = client_send;
  /* No proxy resolver: it would load GIO modules and ask D-Bus, and there are no names to look up. */
  client->session = soup_session_new_with_options (SOUP_SESSION_PROXY_RESOLVER, NULL, SOUP_SESSION_MAX_CONNS, 64,
                                                   SOUP_SESSION_MAX_CONNS_PER_HOST, 24, SOUP_SESSION_IDLE_TIMEOUT, 30,
                                                   SOUP_SESSION_TIMEOUT, 0, NULL);
  return &client->parent;
}

/* ---- server ---- */

/* What a connection is at: libsoup tells when it begins to wait for a request, and sets no limit to it. */
typedef struct
{
  GSocket *socket;
  guint rounds;   /* sweeps it has been waiting for */
  gboolean begun; /* the headers have come */
} Waiting;

struct _HzbHttpServer
{
  SoupServer *soup;
  HzbHandler handler;
  gpointer user;
  GHashTable *waiting; /* SoupMessage -> Waiting, requests that have not come in whole */
  guint sweeper, crowd; /* crowd: as many open connections are a lot */
};

/* Seconds between sweeps, and sweeps that a request has to come in whole, that an idle connection is kept, and
 * that it is kept when many are open. */
#define SWEEP_S 3
#define REQUEST_ROUNDS 5
#define IDLE_ROUNDS 30
#define IDLE_CROWDED_ROUNDS 4

void
hzb_exchange_reply (HzbExchange *exchange, guint status, char *body, guint retry_after_s)
{
  if (exchange->done)
    exchange->done (exchange, status, exchange->done_user);
  exchange->reply (exchange, status, body, retry_after_s);
  g_free (body);
  g_free (exchange->method);
  g_free (exchange->path);
  g_free (exchange->body);
  g_free (exchange);
}

static void
soup_reply (HzbExchange *exchange, guint status, const char *body, guint retry_after_s)
{
  HzbHttpServer *server = exchange->server;
  SoupMessage *message = exchange->impl;

  soup_message_set_status (message, status);
  if (retry_after_s)
    {
      char text[16];
      g_snprintf (text, sizeof text, "%u", retry_after_s);
      soup_message_headers_replace (message->response_headers, "Retry-After", text);
    }
  if (body)
    soup_message_set_response (message, "application/json", SOUP_MEMORY_COPY, body, strlen (body));
  /* What this node can't answer another may: the next try should not come over the same connection. */
  if (status == 503)
    soup_message_headers_replace (message->response_headers, "Connection", "close");
  if (exchange->answered)
    *exchange->answered = TRUE;
  else
    soup_server_unpause_message (server->soup, message);
  g_object_unref (message);
}

static void
waiting_free (gpointer data)
{
  g_object_unref (((Waiting *) data)->socket);
  g_free (data);
}

static void
on_started (SoupServer *soup, SoupMessage *message, SoupClientContext *client, gpointer user)
{
  HzbHttpServer *server = user;
  Waiting *waiting = g_new0 (Waiting, 1);
  waiting->socket = g_object_ref (soup_client_context_get_gsocket (client));
  g_hash_table_replace (server->waiting, message, waiting);
}

static void
on_over (SoupServer *soup, SoupMessage *message, SoupClientContext *client, gpointer user)
{
  g_hash_table_remove (((HzbHttpServer *) user)->waiting, message);
}

/* Guards against requests that are sent by half and connections that nobody uses: each holds a socket. */
static gboolean
sweep (gpointer user)
{
  HzbHttpServer *server = user;
  GHashTableIter iter;
  gpointer value;
  gboolean crowded = g_hash_table_size (server->waiting) > server->crowd;

  g_hash_table_iter_init (&iter, server->waiting);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Waiting *waiting = value;
      if (++waiting->rounds > (waiting->begun ? REQUEST_ROUNDS : crowded ? IDLE_CROWDED_ROUNDS : IDLE_ROUNDS))
        g_socket_shutdown (waiting->socket, TRUE, TRUE, NULL); /* libsoup then ends it */
    }
  return G_SOURCE_CONTINUE;
}

static void
on_request (SoupServer *soup, SoupMessage *message, const char *path, GHashTable *query, SoupClientContext *client,
            gpointer user)
{
  HzbHttpServer *server = user;
  HzbExchange *exchange = g_new0 (HzbExchange, 1);
  g_autoptr (SoupBuffer) body = soup_message_body_flatten (message->request_body);
  gboolean answered = FALSE;

  g_hash_table_remove (server->waiting, message);
  exchange->method = g_strdup (message->method);
  exchange->path = g_strdup (path);
  exchange->body = g_strndup (body->data, body->length);
  exchange->length = body->length;
  exchange->reply = soup_reply;
  exchange->server = server;
  exchange->impl = g_object_ref (message);
  exchange->answered = &answered;
  server->handler (exchange, server->user);
  if (!answered)
    {
      exchange->answered = NULL;
      soup_server_pause_message (soup, message);
    }
}

static void
refuse_size (SoupMessage *message)
{
  static const char refusal[] = "{\"error\":\"the body is over 64 KiB\"}";
  soup_message_set_status (message, 400);
  soup_message_set_response (message, "application/json", SOUP_MEMORY_STATIC, refusal, sizeof refusal - 1);
  soup_message_headers_replace (message->response_headers, "Connection", "close");
}

/* A body over the limit is refused from its headers, before it costs memory. */
static void
on_headers (SoupServer *soup, SoupMessage *message, const char *path, GHashTable *query, SoupClientContext *client,
            gpointer user)
{
  HzbHttpServer *server = user;
  Waiting *waiting = g_hash_table_lookup (server->waiting, message);

  if (waiting)
    {
      waiting->begun = TRUE;
      waiting->rounds = 0;
    }
  if (soup_message_headers_get_encoding (message->request_headers) == SOUP_ENCODING_CONTENT_LENGTH
      && soup_message_headers_get_content_length (message->request_headers) > HZB_MAX_BODY)
    refuse_size (message);
}

HzbHttpServer *
hzb_http_server_new (const char *addr, guint sockets, HzbHandler handler, gpointer user, GError **error)
{
  HzbHttpServer *server = g_new0 (HzbHttpServer, 1);
  g_autofree char *host = NULL;
  g_autoptr (GSocketAddress) address = NULL;
  guint16 port = 0;

  hzb_split_addr (addr, &host, &port);
  address = g_inet_socket_address_new_from_string (host, port);
  server->handler = handler;
  server->user = user;
  server->soup = soup_server_new (SOUP_SERVER_SERVER_HEADER, "hazelbank", NULL);
  server->waiting = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, waiting_free);
  server->crowd = sockets / 2;
  server->sweeper = g_timeout_add_seconds (SWEEP_S, sweep, server);
  g_signal_connect (server->soup, "request-started", G_CALLBACK (on_started), server);
  g_signal_connect (server->soup, "request-finished", G_CALLBACK (on_over), server);
  g_signal_connect (server->soup, "request-aborted", G_CALLBACK (on_over), server);
  soup_server_add_early_handler (server->soup, NULL, on_headers, server, NULL);
  soup_server_add_handler (server->soup, NULL, on_request, server, NULL);
  if (!soup_server_listen (server->soup, address, 0, error))
    {
      hzb_http_server_free (server);
      return NULL;
    }
  return server;
}

void
hzb_http_server_free (HzbHttpServer *server)
{
  g_source_remove (server->sweeper);
  g_object_unref (server->soup);
  g_hash_table_unref (server->waiting);
  g_free (server);
}
