/* Tests of the HTTP server and client over loopback: idle connections, the end of connections, and the end of calls. */
#include "http-client.h"
#include "http-server.h"

#include <gio/gio.h>
#include <string.h>

#define N_CLIENTS 300u

static guint n_polled;             /* descriptors that the main loop polled last */
static guint n_handled;            /* requests that the handler got */
static guint16 port;               /* of the server */
static GQueue unanswered_requests; /* HzbHttpRequest */

static gint
poll_and_count (GPollFD *fds, guint n, gint timeout)
{
  n_polled = n;
  return g_poll (fds, n, timeout);
}

static void
handle_request (HzbHttpRequest *http_request, gpointer user)
{
  n_handled++;
  if (g_str_has_suffix (http_request->path, "/silent"))
    {
      g_queue_push_tail (&unanswered_requests, http_request);
      return;
    }
  hzb_http_request_respond (http_request, g_str_equal (http_request->path, "/unable") ? 503 : 200, g_strdup ("{}"), 0);
}

static HzbHttpServer *
start_server (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GInetAddress) host = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any_port = g_inet_socket_address_new (host, 0), local = NULL;
  g_autoptr (GSocket) socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autofree char *addr = NULL;
  HzbHttpServer *server;

  /* Binding to port 0 finds a free port. */
  g_assert_true (g_socket_bind (socket, any_port, FALSE, NULL));
  local = g_socket_get_local_address (socket, NULL);
  port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_socket_close (socket, NULL);
  addr = g_strdup_printf ("127.0.0.1:%u", port);
  server = hzb_http_server_new (addr, 2 * N_CLIENTS, handle_request, NULL, &error);
  g_assert_no_error (error);
  g_main_context_set_poll_func (NULL, poll_and_count);
  n_handled = 0;
  return server;
}

static GSocketConnection *
connect_client (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  GSocketConnection *connection = g_socket_client_connect_to_host (client, "127.0.0.1", port, NULL, &error);
  g_assert_no_error (error);
  g_socket_set_blocking (g_socket_connection_get_socket (connection), FALSE);
  return connection;
}

static void
send_text (GSocketConnection *connection, const char *text)
{
  g_autoptr (GError) error = NULL;
  g_socket_send (g_socket_connection_get_socket (connection), text, strlen (text), NULL, &error);
  g_assert_no_error (error);
}

/* Runs the main loop until a complete response has arrived or the server has closed the connection.
 * Returns: the status of the response; 0 if there is none */
static guint
receive_status (GSocketConnection *connection)
{
  GSocket *socket = g_socket_connection_get_socket (connection);
  GString *text = g_string_new (NULL);
  guint status = 0;
  for (guint iteration = 0; iteration < 10000 && !g_str_has_suffix (text->str, "}"); iteration++)
    {
      char chunk[512];
      gssize n;
      g_main_context_iteration (NULL, FALSE);
      n = g_socket_receive (socket, chunk, sizeof chunk, NULL, NULL);
      if (n == 0)
        break;
      if (n > 0)
        g_string_append_len (text, chunk, n);
    }
  if (g_str_has_prefix (text->str, "HTTP/1.1 "))
    status = (guint) g_ascii_strtoull (text->str + 9, NULL, 10);
  g_string_free (text, TRUE);
  return status;
}

static void
run_until_connection_count (HzbHttpServer *server, guint connections)
{
  for (guint i = 0; i < 100000 && hzb_http_server_count_connections (server) != connections; i++)
    g_main_context_iteration (NULL, FALSE);
  g_assert_cmpuint (hzb_http_server_count_connections (server), ==, connections);
}

#define HEARTBEAT_REQUEST "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"

/* GLib checks every polled descriptor in each iteration of the main loop, so it must not poll idle connections. */
static void
test_idle_connections_not_polled (void)
{
  HzbHttpServer *server = start_server ();
  g_autoptr (GPtrArray) clients = g_ptr_array_new_with_free_func (g_object_unref);
  for (guint i = 0; i < N_CLIENTS; i++)
    g_ptr_array_add (clients, connect_client ());
  for (guint round = 0; round < 3; round++)
    for (guint i = 0; i < N_CLIENTS; i++)
      {
        send_text (clients->pdata[i], HEARTBEAT_REQUEST);
        g_assert_cmpuint (receive_status (clients->pdata[i]), ==, 200);
      }
  g_assert_cmpuint (n_handled, ==, 3 * N_CLIENTS);
  g_assert_cmpuint (hzb_http_server_count_connections (server), ==, N_CLIENTS);
  g_main_context_iteration (NULL, FALSE);
  g_assert_cmpuint (n_polled, <, 10);
  /* All clients send a request at the same time. */
  for (guint i = 0; i < N_CLIENTS; i++)
    send_text (clients->pdata[i], HEARTBEAT_REQUEST);
  for (guint i = 0; i < N_CLIENTS; i++)
    g_assert_cmpuint (receive_status (clients->pdata[i]), ==, 200);
  for (guint i = 0; i < N_CLIENTS; i++)
    g_io_stream_close (clients->pdata[i], NULL, NULL);
  run_until_connection_count (server, 0);
  hzb_http_server_free (server);
}

/* Requests that arrive in pieces are served, connections are closed after status 503 and "Connection: close", and
 * oversized bodies are rejected without a call of the handler. */
static void
test_connection_ends (void)
{
  HzbHttpServer *server = start_server ();
  g_autoptr (GSocketConnection) client = connect_client (), unavailable = connect_client (),
                                closing = connect_client (), chunked = NULL;
  g_autofree char *body = g_strnfill (70000, 'x'), *chunk = g_strnfill (10000, 'x');
  /* A request arrives in pieces. */
  send_text (client, "POST /hello HTTP/1.1\r\nHost: x\r\nConte");
  for (guint i = 0; i < 50; i++)
    g_main_context_iteration (NULL, FALSE);
  send_text (client, "nt-Length: 2\r\n\r\n{");
  for (guint i = 0; i < 50; i++)
    g_main_context_iteration (NULL, FALSE);
  g_assert_cmpuint (n_handled, ==, 0);
  send_text (client, "}");
  g_assert_cmpuint (receive_status (client), ==, 200);
  send_text (client, HEARTBEAT_REQUEST);
  g_assert_cmpuint (receive_status (client), ==, 200);
  /* The server closes a connection after status 503, and when the client asks for it. */
  send_text (unavailable, "GET /unable HTTP/1.1\r\nHost: x\r\n\r\n");
  g_assert_cmpuint (receive_status (unavailable), ==, 503);
  g_assert_cmpuint (receive_status (unavailable), ==, 0);
  send_text (closing, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  g_assert_cmpuint (receive_status (closing), ==, 200);
  g_assert_cmpuint (receive_status (closing), ==, 0);
  /* A Content-Length over the limit is rejected, and the handler does not get the request. */
  send_text (client, "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n");
  send_text (client, body);
  g_assert_cmpuint (receive_status (client), ==, 413);
  g_assert_cmpuint (n_handled, ==, 4);
  g_assert_cmpuint (hzb_http_server_count_oversized (server), ==, 1);
  /* A chunked body over the limit, whose length is not announced, is rejected too. */
  chunked = connect_client ();
  send_text (chunked, "POST /hello HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (guint i = 0; i < 8; i++)
    {
      send_text (chunked, "2710\r\n"); /* size of the chunk: 10,000 bytes */
      send_text (chunked, chunk);
      send_text (chunked, "\r\n");
    }
  g_assert_cmpuint (receive_status (chunked), ==, 0);
  g_assert_cmpuint (n_handled, ==, 4);
  g_assert_cmpuint (hzb_http_server_count_oversized (server), ==, 2);
  hzb_http_server_free (server);
}

typedef struct
{
  guint n_ended; /* how often the call has ended */
  guint status;  /* of the last end */
} CallResult;

static void
on_call_ended (guint status, const char *body, gsize length, gpointer user)
{
  CallResult *result = user;
  result->n_ended++;
  result->status = status;
}

static gboolean
on_deadline (gpointer data)
{
  *(gboolean *) data = TRUE;
  return G_SOURCE_REMOVE;
}

/* Each call ends exactly once, even if the server receives it and never responds, on a connection that was used before,
 * and with many such calls. Calls that follow are served. Guards against libsoup not ending a cancelled message. */
static void
test_every_call_ends (void)
{
  HzbHttpServer *server = start_server ();
  HzbTransport *client = hzb_http_client_new ();
  g_autofree char *addr = g_strdup_printf ("127.0.0.1:%u", port);
  for (guint round = 0; round < 12; round++)
    {
      CallResult results[10] = { { 0, 0 } };
      guint n_ended = 0;
      gboolean timed_out = FALSE;
      guint timer = g_timeout_add_seconds (10, on_deadline, &timed_out);
      for (guint i = 0; i < 10; i++)
        hzb_transport_send (client, i % 3 ? "POST" : "GET", addr, i % 2 ? "/multi/silent" : "/multi",
                            i % 3 ? g_strdup ("{\"when\":[]}") : NULL, i % 2 ? 60 : 5000, on_call_ended, &results[i]);
      while (n_ended < 10 && !timed_out)
        {
          g_main_context_iteration (NULL, TRUE);
          n_ended = 0;
          for (guint i = 0; i < 10; i++)
            n_ended += results[i].n_ended;
        }
      g_assert_false (timed_out);
      g_source_remove (timer);
      for (guint i = 0; i < 10; i++)
        {
          g_assert_cmpuint (results[i].n_ended, ==, 1);
          g_assert_cmpuint (results[i].status, ==, i % 2 ? 0 : 200);
        }
    }
  hzb_http_client_free (client);
  while (unanswered_requests.length)
    hzb_http_request_respond (g_queue_pop_head (&unanswered_requests), 200, g_strdup ("{}"), 0);
  while (g_main_context_iteration (NULL, FALSE))
    continue;
  hzb_http_server_free (server);
}

int
main (int argc, char **argv)
{
  g_setenv ("GIO_USE_VFS", "local", TRUE);
  g_setenv ("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/idle-costs-nothing", test_idle_connections_not_polled);
  g_test_add_func ("/http/ends", test_connection_ends);
  g_test_add_func ("/http/every-call-ends", test_every_call_ends);
  return g_test_run ();
}
