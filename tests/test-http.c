/* The server on loopback: what idle connections cost, and that each can be used again and again. */
#include "http-client.h"
#include "http-server.h"

#include <gio/gio.h>
#include <string.h>

#define CLIENTS 300u

static guint polled, served;
static guint16 port;
static GQueue unanswered; /* HzbHttpRequest */

static gint
count_polled (GPollFD *fds, guint n, gint timeout)
{
  polled = n;
  return g_poll (fds, n, timeout);
}

static void
serve (HzbHttpRequest *http_request, gpointer user)
{
  served++;
  if (g_str_has_suffix (http_request->path, "/silent"))
    {
      g_queue_push_tail (&unanswered, http_request);
      return;
    }
  hzb_http_request_respond (http_request, g_str_equal (http_request->path, "/unable") ? 503 : 200, g_strdup ("{}"), 0);
}

static HzbHttpServer *
server_up (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GInetAddress) host = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new (host, 0), given = NULL;
  g_autoptr (GSocket) socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autofree char *addr = NULL;
  HzbHttpServer *server;

  /* A port that is free. */
  g_assert_true (g_socket_bind (socket, any, FALSE, NULL));
  given = g_socket_get_local_address (socket, NULL);
  port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (given));
  g_socket_close (socket, NULL);
  addr = g_strdup_printf ("127.0.0.1:%u", port);
  server = hzb_http_server_new (addr, 2 * CLIENTS, serve, NULL, &error);
  g_assert_no_error (error);
  g_main_context_set_poll_func (NULL, count_polled);
  served = 0;
  return server;
}

static GSocketConnection *
connect_to (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  GSocketConnection *connection = g_socket_client_connect_to_host (client, "127.0.0.1", port, NULL, &error);
  g_assert_no_error (error);
  g_socket_set_blocking (g_socket_connection_get_socket (connection), FALSE);
  return connection;
}

static void
say (GSocketConnection *connection, const char *text)
{
  g_autoptr (GError) error = NULL;
  g_socket_send (g_socket_connection_get_socket (connection), text, strlen (text), NULL, &error);
  g_assert_no_error (error);
}

/* Turns of the loop until something has come in whole: the status, or 0 when the other end has closed. */
static guint
hear (GSocketConnection *connection)
{
  GSocket *socket = g_socket_connection_get_socket (connection);
  GString *text = g_string_new (NULL);
  guint status = 0;
  for (guint turns = 0; turns < 10000 && !g_str_has_suffix (text->str, "}"); turns++)
    {
      char part[512];
      gssize n;
      g_main_context_iteration (NULL, FALSE);
      n = g_socket_receive (socket, part, sizeof part, NULL, NULL);
      if (n == 0)
        break;
      if (n > 0)
        g_string_append_len (text, part, n);
    }
  if (g_str_has_prefix (text->str, "HTTP/1.1 "))
    status = (guint) g_ascii_strtoull (text->str + 9, NULL, 10);
  g_string_free (text, TRUE);
  return status;
}

static void
turn_until (HzbHttpServer *server, guint connections)
{
  for (guint i = 0; i < 100000 && hzb_http_server_connections (server) != connections; i++)
    g_main_context_iteration (NULL, FALSE);
  g_assert_cmpuint (hzb_http_server_connections (server), ==, connections);
}

#define REPORT "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"

/* GLib looks at all it polls on every turn: what lies idle must not be among it. */
static void
test_idle_costs_nothing (void)
{
  HzbHttpServer *server = server_up ();
  g_autoptr (GPtrArray) clients = g_ptr_array_new_with_free_func (g_object_unref);
  for (guint i = 0; i < CLIENTS; i++)
    g_ptr_array_add (clients, connect_to ());
  for (guint round = 0; round < 3; round++)
    for (guint i = 0; i < CLIENTS; i++)
      {
        say (clients->pdata[i], REPORT);
        g_assert_cmpuint (hear (clients->pdata[i]), ==, 200);
      }
  g_assert_cmpuint (served, ==, 3 * CLIENTS);
  g_assert_cmpuint (hzb_http_server_connections (server), ==, CLIENTS);
  g_main_context_iteration (NULL, FALSE);
  g_assert_cmpuint (polled, <, 10);
  /* All at once. */
  for (guint i = 0; i < CLIENTS; i++)
    say (clients->pdata[i], REPORT);
  for (guint i = 0; i < CLIENTS; i++)
    g_assert_cmpuint (hear (clients->pdata[i]), ==, 200);
  for (guint i = 0; i < CLIENTS; i++)
    g_io_stream_close (clients->pdata[i], NULL, NULL);
  turn_until (server, 0);
  hzb_http_server_free (server);
}

static void
test_ends (void)
{
  HzbHttpServer *server = server_up ();
  g_autoptr (GSocketConnection) a = connect_to (), b = connect_to (), controller = connect_to (), chunked = NULL;
  g_autofree char *body = g_strnfill (70000, 'x'), *part = g_strnfill (10000, 'x');
  /* In pieces. */
  say (a, "POST /hello HTTP/1.1\r\nHost: x\r\nConte");
  for (guint i = 0; i < 50; i++)
    g_main_context_iteration (NULL, FALSE);
  say (a, "nt-Length: 2\r\n\r\n{");
  for (guint i = 0; i < 50; i++)
    g_main_context_iteration (NULL, FALSE);
  g_assert_cmpuint (served, ==, 0);
  say (a, "}");
  g_assert_cmpuint (hear (a), ==, 200);
  say (a, REPORT);
  g_assert_cmpuint (hear (a), ==, 200);
  /* What a node can't answer ends the connection, and so does one who says so. */
  say (b, "GET /unable HTTP/1.1\r\nHost: x\r\n\r\n");
  g_assert_cmpuint (hear (b), ==, 503);
  g_assert_cmpuint (hear (b), ==, 0);
  say (controller, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  g_assert_cmpuint (hear (controller), ==, 200);
  g_assert_cmpuint (hear (controller), ==, 0);
  /* Too much is refused, and does not come to the handler. */
  say (a, "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n");
  say (a, body);
  g_assert_cmpuint (hear (a), ==, 413);
  g_assert_cmpuint (served, ==, 4);
  g_assert_cmpuint (hzb_http_server_too_large (server), ==, 1);
  /* Also one that does not say how long it is. */
  chunked = connect_to ();
  say (chunked, "POST /hello HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (guint i = 0; i < 8; i++)
    {
      say (chunked, "2710\r\n"); /* 10,000 */
      say (chunked, part);
      say (chunked, "\r\n");
    }
  g_assert_cmpuint (hear (chunked), ==, 0);
  g_assert_cmpuint (served, ==, 4);
  g_assert_cmpuint (hzb_http_server_too_large (server), ==, 2);
  hzb_http_server_free (server);
}

typedef struct
{
  guint ended, last;
} Ended;

static void
on_end (guint status, const char *body, gsize length, gpointer user)
{
  Ended *ended = user;
  ended->ended++;
  ended->last = status;
}

static gboolean
give_up (gpointer data)
{
  *(gboolean *) data = TRUE;
  return G_SOURCE_REMOVE;
}

/* Every call ends, once, whatever its other end does: also one that is taken and never answered, on a connection that was
 * used before, and many of them; and the next one is served. */
static void
test_every_call_ends (void)
{
  HzbHttpServer *server = server_up ();
  HzbTransport *client = hzb_http_client_new ();
  g_autofree char *addr = g_strdup_printf ("127.0.0.1:%u", port);
  for (guint round = 0; round < 12; round++)
    {
      Ended calls[10] = { { 0, 0 } };
      guint ended = 0;
      gboolean late = FALSE;
      guint timer = g_timeout_add_seconds (10, give_up, &late);
      for (guint i = 0; i < 10; i++)
        hzb_send (client, i % 3 ? "POST" : "GET", addr, i % 2 ? "/multi/silent" : "/multi",
                  i % 3 ? g_strdup ("{\"when\":[]}") : NULL, i % 2 ? 60 : 5000, on_end, &calls[i]);
      while (ended < 10 && !late)
        {
          g_main_context_iteration (NULL, TRUE);
          ended = 0;
          for (guint i = 0; i < 10; i++)
            ended += calls[i].ended;
        }
      g_assert_false (late);
      g_source_remove (timer);
      for (guint i = 0; i < 10; i++)
        {
          g_assert_cmpuint (calls[i].ended, ==, 1);
          g_assert_cmpuint (calls[i].last, ==, i % 2 ? 0 : 200);
        }
    }
  hzb_http_client_free (client);
  while (unanswered.length)
    hzb_http_request_respond (g_queue_pop_head (&unanswered), 200, g_strdup ("{}"), 0);
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
  g_test_add_func ("/http/idle-costs-nothing", test_idle_costs_nothing);
  g_test_add_func ("/http/ends", test_ends);
  g_test_add_func ("/http/every-call-ends", test_every_call_ends);
  return g_test_run ();
}
