#include "http-server.h"

#include "http-connections.h"
#include "user-protocol.h"

#define SOUP_VERSION_MIN_REQUIRED SOUP_VERSION_2_70
#include <libsoup/soup.h>
#include <string.h>

struct _HzbHttpServer
{
  SoupServer *soup;
  HzbHttpHandler handler;
  gpointer user;
  HzbHttpConnections *connections;
  guint64 oversized; /* number of requests whose body was over the limit */
};

#define CONNECTION_KEY "hzb-connection" /* key of the object data of a SoupMessage */

/* Returns: (transfer none) (nullable): the connection on which the message arrived */
static HzbHttpConnection *
connection_of (SoupMessage *message)
{
  return g_object_get_data (G_OBJECT (message), CONNECTION_KEY);
}

/* ---- responses ---- */

static void
set_retry_after (SoupMessage *message, guint retry_after_s)
{
  char text[16];
  g_snprintf (text, sizeof text, "%u", retry_after_s);
  soup_message_headers_replace (message->response_headers, "Retry-After", text);
}

/* The reply function of the requests that request_new () makes. */
static void
reply (HzbHttpRequest *http_request, guint status, const char *body, guint retry_after_s)
{
  HzbHttpServer *server = http_request->server;
  SoupMessage *message = http_request->impl;

  soup_message_set_status (message, status);
  if (retry_after_s)
    set_retry_after (message, retry_after_s);
  if (body)
    soup_message_set_response (message, "application/json", SOUP_MEMORY_COPY, body, strlen (body));
  /* Another controller may be able to answer. Closing the connection makes the load balancer choose a controller
   * again. */
  if (status == SOUP_STATUS_SERVICE_UNAVAILABLE)
    soup_message_headers_replace (message->response_headers, "Connection", "close");
  if (http_request->responded)
    *http_request->responded = TRUE;
  else
    soup_server_unpause_message (server->soup, message);
  g_object_unref (message);
}

/* Takes the connection back when the response has been written. Requests are never pipelined, so libsoup has not read
 * any byte of a next request. */
static void
on_wrote_body (SoupMessage *message, gpointer user)
{
  SoupClientContext *client = user;
  HzbHttpConnection *connection = connection_of (message);
  GIOStream *stolen;

  if (!hzb_http_connection_is_responding (connection) || !soup_message_is_keepalive (message)
      || !(stolen = soup_client_context_steal_connection (client)))
    return;                /* libsoup closes the connection */
  g_object_unref (stolen); /* only libsoup's wrapper: HzbHttpConnections keeps the connection itself */
  hzb_http_connection_take_back (connection);
}

/* ---- requests whose body is over the limit ---- */

/* Rejects a request whose Content-Length is over the limit, before its body takes memory. */
static void
reject_oversized (HzbHttpServer *server, SoupMessage *message)
{
  static const char body[] = "{\"error\":\"the body is over 64 KiB\"}";
  server->oversized++;
  soup_message_set_status (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE);
  soup_message_set_response (message, "application/json", SOUP_MEMORY_STATIC, body, sizeof body - 1);
  soup_message_headers_replace (message->response_headers, "Connection", "close");
}

/* Aborts the connection when a chunked body exceeds the limit: its length is not known in advance, and it may be
 * endless. */
static void
on_got_chunk (SoupMessage *message, SoupBuffer *chunk, gpointer user)
{
  HzbHttpServer *server = user;
  if (message->request_body->length > HZB_MAX_BODY_BYTES && hzb_http_connection_abort (connection_of (message)))
    server->oversized++;
}

/* ---- requests ---- */

static void
on_got_body (SoupMessage *message, gpointer user)
{
  hzb_http_connection_request_received (connection_of (message));
}

/* Called when the headers of a request have arrived. */
static void
on_headers (SoupServer *soup, SoupMessage *message, const char *path, GHashTable *query, SoupClientContext *client,
            gpointer user)
{
  HzbHttpServer *server = user;
  SoupEncoding encoding = soup_message_headers_get_encoding (message->request_headers);
  HzbHttpConnection *connection =
      hzb_http_connections_find (server->connections, soup_client_context_get_remote_address (client));

  if (connection)
    {
      hzb_http_connection_headers_received (connection);
      g_object_set_data_full (G_OBJECT (message), CONNECTION_KEY, hzb_http_connection_ref (connection),
                              hzb_http_connection_unref);
      g_signal_connect (message, "got-body", G_CALLBACK (on_got_body), NULL);
      g_signal_connect (message, "wrote-body", G_CALLBACK (on_wrote_body), client);
    }
  if (encoding == SOUP_ENCODING_CONTENT_LENGTH
      && soup_message_headers_get_content_length (message->request_headers) > HZB_MAX_BODY_BYTES)
    reject_oversized (server, message);
  else if (connection && encoding == SOUP_ENCODING_CHUNKED)
    g_signal_connect (message, "got-chunk", G_CALLBACK (on_got_chunk), server);
}

/* Returns: (transfer full): a request whose response is sent with the message */
static HzbHttpRequest *
request_new (HzbHttpServer *server, SoupMessage *message, const char *path, const SoupBuffer *body)
{
  HzbHttpRequest *http_request = g_new0 (HzbHttpRequest, 1);
  http_request->method = g_strdup (message->method);
  http_request->path = g_strdup (path);
  http_request->body = g_strndup (body->data, body->length);
  http_request->length = body->length;
  http_request->reply = reply;
  http_request->server = server;
  http_request->impl = g_object_ref (message);
  return http_request;
}

/* Called when a request has arrived completely. */
static void
on_request (SoupServer *soup, SoupMessage *message, const char *path, GHashTable *query, SoupClientContext *client,
            gpointer user)
{
  HzbHttpServer *server = user;
  HzbHttpRequest *http_request;
  g_autoptr (SoupBuffer) body = soup_message_body_flatten (message->request_body);
  gboolean responded = FALSE;

  if (body->length > HZB_MAX_BODY_BYTES)
    {
      /* on_got_chunk () has aborted the connection, and libsoup takes the body received so far for the whole body. */
      soup_message_set_status (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE);
      return;
    }
  http_request = request_new (server, message, path, body);
  http_request->responded = &responded;
  server->handler (http_request, server->user);
  if (!responded)
    {
      http_request->responded = NULL;
      soup_server_pause_message (soup, message);
    }
}

static gboolean
serve_connection (GIOStream *stream, GSocketAddress *local, GSocketAddress *remote, gpointer user)
{
  HzbHttpServer *server = user;
  return soup_server_accept_iostream (server->soup, stream, local, remote, NULL);
}

HzbHttpServer *
hzb_http_server_new (const char *addr, guint socket_limit, HzbHttpHandler handler, gpointer user, GError **error)
{
  HzbHttpServer *server = g_new0 (HzbHttpServer, 1);

  server->handler = handler;
  server->user = user;
  server->soup = soup_server_new (SOUP_SERVER_SERVER_HEADER, "hazelbank", NULL);
  soup_server_add_early_handler (server->soup, NULL, on_headers, server, NULL);
  soup_server_add_handler (server->soup, NULL, on_request, server, NULL);
  server->connections = hzb_http_connections_new (addr, socket_limit, serve_connection, server, error);
  if (!server->connections)
    {
      hzb_http_server_free (server);
      return NULL;
    }
  return server;
}

void
hzb_http_server_free (HzbHttpServer *server)
{
  /* The SoupServer is freed first, because it may still return connections to HzbHttpConnections. */
  g_object_unref (server->soup);
  hzb_http_connections_free (server->connections);
  g_free (server);
}

guint64
hzb_http_server_count_oversized (HzbHttpServer *server)
{
  return server->oversized;
}

guint
hzb_http_server_count_connections (HzbHttpServer *server)
{
  return hzb_http_connections_count (server->connections);
}
