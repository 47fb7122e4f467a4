#include "http.h"

#include "settings.h"
#include "wire.h"

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
  SoupMessage *message;
  GCancellable *cancellable;
  guint timer;
  HzbReplyFunc done;
  gpointer user;
} Call;

static gboolean
call_expired (gpointer data)
{
  Call *call = data;
  call->timer = 0;
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_REMOVE;
}

static void
call_done (GObject *session, GAsyncResult *result, gpointer data)
{
  Call *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (SOUP_SESSION (session), result, &error);
  guint status = error ? 0 : soup_message_get_status (call->message);
  gsize length = 0;
  const char *data_in = bytes ? g_bytes_get_data (bytes, &length) : NULL;
  g_autofree char *body = g_strndup (data_in ? data_in : "", length); /* parsers want the closing NUL */

  if (call->timer)
    g_source_remove (call->timer);
  call->done (status, body, length, call->user);
  g_object_unref (call->message);
  g_object_unref (call->cancellable);
  g_free (call);
}

static void
client_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body,
             guint timeout_ms, HzbReplyFunc done, gpointer user)
{
  Client *client = (Client *) transport;
  g_autofree char *uri = g_strconcat ("http://", addr, path, NULL);
  Call *call = g_new0 (Call, 1);

  call->message = soup_message_new (method, uri);
  call->cancellable = g_cancellable_new ();
  call->done = done;
  call->user = user;
  if (body)
    {
      g_autoptr (GBytes) bytes = g_bytes_new_take (body, strlen (body));
      soup_message_set_request_body_from_bytes (call->message, "application/json", bytes);
    }
  /* A connection taken from the pool may be behind a cut; every call has its own end. */
  call->timer = g_timeout_add (timeout_ms, call_expired, call);
  soup_session_send_and_read_async (client->session, call->message, G_PRIORITY_DEFAULT, call->cancellable,
                                    call_done, call);
}

HzbTransport *
hzb_http_client_new (void)
{
  Client *client = g_new0 (Client, 1);
  client->parent.send = client_send;
  /* No proxy resolver: it would load GIO modules and ask D-Bus, and there are no names to look up. */
  client->session = soup_session_new_with_options ("proxy-resolver", NULL, "max-conns", 64, "max-conns-per-host", 24,
                                                   "idle-timeout", 30, "timeout", 0, NULL);
  return &client->parent;
}

/* ---- server ---- */

struct _HzbHttpServer
{
  SoupServer *soup;
  HzbHandler handler;
  gpointer user;
};

void
hzb_exchange_reply (HzbExchange *exchange, guint status, char *body, guint retry_after_s)
{
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
  SoupServerMessage *message = exchange->impl;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);

  soup_server_message_set_status (message, status, NULL);
  if (retry_after_s)
    {
      char text[16];
      g_snprintf (text, sizeof text, "%u", retry_after_s);
      soup_message_headers_replace (headers, "Retry-After", text);
    }
  if (body)
    soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY, body, strlen (body));
  soup_server_message_unpause (message);
  g_object_unref (message);
}

static void
on_request (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *query, gpointer user)
{
  HzbHttpServer *server = user;
  HzbExchange *exchange;
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  gsize length = 0;
  const char *data = g_bytes_get_data (bytes, &length);

  exchange = g_new0 (HzbExchange, 1);
  exchange->method = g_strdup (soup_server_message_get_method (message));
  exchange->path = g_strdup (path);
  exchange->body = g_strndup (data ? data : "", length);
  exchange->length = length;
  exchange->reply = soup_reply;
  exchange->impl = g_object_ref (message);
  soup_server_message_pause (message);
  server->handler (exchange, server->user);
}

/* A body over the limit is refused from its headers, before it costs memory. */
static void
on_headers (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *query, gpointer user)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  static const char refusal[] = "{\"error\":\"the body is over 64 KiB\"}";

  if (soup_message_headers_get_encoding (headers) == SOUP_ENCODING_CONTENT_LENGTH
      && soup_message_headers_get_content_length (headers) > HZB_MAX_BODY && g_str_has_prefix (path, hzb_path_jobs))
    {
      soup_server_message_set_status (message, 400, NULL);
      soup_server_message_set_response (message, "application/json", SOUP_MEMORY_STATIC, refusal, sizeof refusal - 1);
      soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection", "close");
    }
}

HzbHttpServer *
hzb_http_server_new (const char *addr, HzbHandler handler, gpointer user, GError **error)
{
  HzbHttpServer *server = g_new0 (HzbHttpServer, 1);
  g_autofree char *host = NULL;
  g_autoptr (GSocketAddress) address = NULL;
  guint16 port = 0;

  hzb_split_addr (addr, &host, &port);
  address = g_inet_socket_address_new_from_string (host, port);
  server->handler = handler;
  server->user = user;
  server->soup = soup_server_new ("server-header", "hazelbank", NULL);
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
  g_object_unref (server->soup);
  g_free (server);
}
