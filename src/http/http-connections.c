#include "http-connections.h"

#include "address.h"

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections are swept for those that hold a socket without need. The other limits are in sweeps without progress. */
#define SWEEP_S 3
#define REQUEST_SWEEPS 5
#define IDLE_SWEEPS 30
#define CROWDED_IDLE_SWEEPS 4 /* when many connections are open */

#define MOST_EVENTS 64 /* in one turn of the main loop */
#define BACKLOG 16384 /* all workers may connect at once; the system takes fewer if it is set to (net.core.somaxconn) */

typedef enum
{
  CONNECTION_IDLE,       /* no byte has arrived since the last response */
  CONNECTION_RECEIVING,  /* handed over, until the request has arrived in whole */
  CONNECTION_RESPONDING, /* handed over, until the response has been written */
  CONNECTION_ENDED
} ConnectionState;

static const char *const state_names[] = {
  [CONNECTION_IDLE] = "idle",
  [CONNECTION_RECEIVING] = "receiving",
  [CONNECTION_RESPONDING] = "responding",
  [CONNECTION_ENDED] = "ended",
};

struct _HzbHttpConnection
{
  HzbHttpConnections *connections; /* not owned */
  GSocketConnection *stream;
  GSocket *socket;
  GSocketAddress *remote;
  guint64 remote_key; /* see key_of () */
  ConnectionState state;
  guint sweeps; /* without progress */
  gboolean cut_off;
};

struct _HzbHttpConnections
{
  HzbHttpHandOver hand_over;
  gpointer user;
  GSocket *listener;
  int idle_epoll; /* the idle connections */
  guint idle_source, accept_source, sweep_source;
  GHashTable *table; /* HzbHttpConnection, by its remote_key */
  guint crowd;       /* more open connections than this are many */
};

HzbHttpConnection *
hzb_http_connection_ref (HzbHttpConnection *connection)
{
  return g_rc_box_acquire (connection);
}

static void
connection_clear (gpointer data)
{
  HzbHttpConnection *connection = data;
  g_object_unref (connection->stream);
  g_object_unref (connection->socket);
  g_object_unref (connection->remote);
}

void
hzb_http_connection_unref (gpointer connection)
{
  g_rc_box_release_full (connection, connection_clear);
}

/* The only function that changes the state of a connection. Returns: FALSE if the change is not allowed */
static gboolean
set_state (HzbHttpConnection *connection, ConnectionState to)
{
  static const guint allowed[] = {
    [CONNECTION_IDLE] = 1 << CONNECTION_RECEIVING | 1 << CONNECTION_ENDED,
    [CONNECTION_RECEIVING] = 1 << CONNECTION_RESPONDING | 1 << CONNECTION_ENDED,
    [CONNECTION_RESPONDING] = 1 << CONNECTION_IDLE | 1 << CONNECTION_ENDED,
    [CONNECTION_ENDED] = 0,
  };
  if (!(allowed[connection->state] & 1u << to))
    {
      g_critical (
          "connection: illegal change %s -> %s; the state stays as it is. This is a fault of the program: report it "
          "with this log",
          state_names[connection->state], state_names[to]);
      return FALSE;
    }
  g_debug ("connection: %s -> %s", state_names[connection->state], state_names[to]);
  connection->state = to;
  connection->sweeps = 0;
  return TRUE;
}

/* The table keeps the connection. */
static void
close_connection (HzbHttpConnection *connection)
{
  set_state (connection, CONNECTION_ENDED);
  g_io_stream_close (G_IO_STREAM (connection->stream), NULL, NULL);
}

/* A later connection from the same address may have replaced this one in the table. */
static void
end_connection (HzbHttpConnection *connection)
{
  GHashTable *table = connection->connections->table;
  close_connection (connection);
  if (g_hash_table_lookup (table, &connection->remote_key) == connection)
    g_hash_table_remove (table, &connection->remote_key);
}

/* Waits for the next bytes, which are reported once: libsoup then has the connection until the response is written. */
static void
watch_idle (HzbHttpConnection *connection, int operation)
{
  struct epoll_event event = { .events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT, .data.ptr = connection };
  if (epoll_ctl (connection->connections->idle_epoll, operation, g_socket_get_fd (connection->socket), &event) != 0)
    end_connection (connection);
}

/* IPv4 address and port of the other side: all that libsoup tells of a connection that was handed to it. */
static guint64
key_of (GSocketAddress *remote)
{
  guint64 key = 0;
  if (G_IS_INET_SOCKET_ADDRESS (remote))
    {
      GInetAddress *address = g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (remote));
      memcpy (&key, g_inet_address_to_bytes (address), MIN (4, g_inet_address_get_native_size (address)));
      key = key << 16 | g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (remote));
    }
  return key;
}

static void
hand_over_connection (HzbHttpConnection *connection)
{
  HzbHttpConnections *connections = connection->connections;
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (connection->socket, NULL);

  set_state (connection, CONNECTION_RECEIVING);
  if (!connections->hand_over (G_IO_STREAM (connection->stream), local, connection->remote, connections->user))
    end_connection (connection);
}

/* A connection that is closed or broken, and on which no unread byte is left. */
static gboolean
is_closed_by_remote (const HzbHttpConnection *connection, guint32 events)
{
  char byte;
  return events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)
         && recv (g_socket_get_fd (connection->socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

static gboolean
on_idle_events (gint fd, GIOCondition condition, gpointer user)
{
  HzbHttpConnections *connections = user;
  struct epoll_event events[MOST_EVENTS];
  int n = epoll_wait (connections->idle_epoll, events, MOST_EVENTS, 0);

  for (int i = 0; i < n; i++)
    {
      HzbHttpConnection *connection = events[i].data.ptr;
      if (is_closed_by_remote (connection, events[i].events))
        end_connection (connection);
      else
        hand_over_connection (connection);
    }
  return G_SOURCE_CONTINUE;
}

static void
add_connection (HzbHttpConnections *connections, GSocket *socket)
{
  GSocketAddress *remote = g_socket_get_remote_address (socket, NULL);
  HzbHttpConnection *connection, *earlier;

  if (!remote)
    return; /* the other side has closed it already */
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, TRUE, NULL);
  connection = g_rc_box_new0 (HzbHttpConnection);
  connection->connections = connections;
  connection->stream = g_socket_connection_factory_create_connection (socket);
  connection->socket = g_object_ref (socket);
  connection->remote = remote;
  connection->remote_key = key_of (remote);
  /* A machine that restarted may connect from the same port again: its earlier connection is dead. */
  earlier = g_hash_table_lookup (connections->table, &connection->remote_key);
  if (earlier && earlier->state == CONNECTION_IDLE)
    end_connection (earlier);
  g_hash_table_replace (connections->table, &connection->remote_key, connection);
  watch_idle (connection, EPOLL_CTL_ADD);
}

static gboolean
on_connect (GSocket *listener, GIOCondition condition, gpointer user)
{
  for (guint i = 0; i < MOST_EVENTS; i++)
    {
      g_autoptr (GSocket) socket = g_socket_accept (listener, NULL, NULL);
      if (!socket)
        break;
      add_connection (user, socket);
    }
  return G_SOURCE_CONTINUE;
}

/* Returns: TRUE if the connection is closed and has to leave the table */
static gboolean
sweep_connection (HzbHttpConnection *connection, gboolean crowded)
{
  if (g_socket_is_closed (connection->socket))
    return TRUE; /* by libsoup */
  connection->sweeps++;
  if (connection->state == CONNECTION_IDLE && connection->sweeps > (crowded ? CROWDED_IDLE_SWEEPS : IDLE_SWEEPS))
    {
      close_connection (connection);
      return TRUE;
    }
  if (connection->state == CONNECTION_RECEIVING && connection->sweeps > REQUEST_SWEEPS)
    g_socket_shutdown (connection->socket, TRUE, TRUE, NULL); /* libsoup then closes it */
  return FALSE;
}

/* Requests that never arrive in whole, and connections without requests, would hold sockets until none is left. */
static gboolean
on_sweep (gpointer user)
{
  HzbHttpConnections *connections = user;
  gboolean crowded = g_hash_table_size (connections->table) > connections->crowd;
  GHashTableIter iter;
  gpointer connection;

  g_hash_table_iter_init (&iter, connections->table);
  while (g_hash_table_iter_next (&iter, NULL, &connection))
    if (sweep_connection (connection, crowded))
      g_hash_table_iter_remove (&iter);
  return G_SOURCE_CONTINUE;
}

/* Returns: (transfer full) (nullable): a socket that listens; NULL, with the error, if that is not possible */
static GSocket *
listen_at (const char *addr, GError **error)
{
  g_autoptr (GSocket) listener =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  g_autoptr (GSocketAddress) address = NULL;
  g_autofree char *host = NULL;
  guint16 port = 0;

  hzb_split_addr (addr, &host, &port);
  address = g_inet_socket_address_new_from_string (host, port);
  if (!listener || !g_socket_bind (listener, address, TRUE, error))
    return NULL;
  g_socket_set_blocking (listener, FALSE);
  g_socket_set_listen_backlog (listener, BACKLOG);
  return g_socket_listen (listener, error) ? g_steal_pointer (&listener) : NULL;
}

HzbHttpConnections *
hzb_http_connections_new (const char *addr, guint sockets, HzbHttpHandOver hand_over, gpointer user, GError **error)
{
  GSocket *listener = listen_at (addr, error);
  HzbHttpConnections *connections;
  g_autoptr (GSource) accept_source = NULL;

  if (!listener)
    return NULL;
  connections = g_new0 (HzbHttpConnections, 1);
  connections->hand_over = hand_over;
  connections->user = user;
  connections->listener = listener;
  connections->table = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, hzb_http_connection_unref);
  connections->crowd = sockets / 2;
  connections->idle_epoll = epoll_create1 (EPOLL_CLOEXEC);
  connections->sweep_source = g_timeout_add_seconds (SWEEP_S, on_sweep, connections);
  accept_source = g_socket_create_source (listener, G_IO_IN, NULL);
  g_source_set_callback (accept_source, G_SOURCE_FUNC (on_connect), connections, NULL);
  connections->accept_source = g_source_attach (accept_source, NULL);
  connections->idle_source = g_unix_fd_add (connections->idle_epoll, G_IO_IN, on_idle_events, connections);
  return connections;
}

void
hzb_http_connections_free (HzbHttpConnections *connections)
{
  if (!connections)
    return;
  g_source_remove (connections->sweep_source);
  g_source_remove (connections->accept_source);
  g_source_remove (connections->idle_source);
  g_object_unref (connections->listener);
  g_hash_table_unref (connections->table);
  if (connections->idle_epoll >= 0)
    close (connections->idle_epoll);
  g_free (connections);
}

guint
hzb_http_connections_count (const HzbHttpConnections *connections)
{
  return g_hash_table_size (connections->table);
}

HzbHttpConnection *
hzb_http_connections_find (HzbHttpConnections *connections, GSocketAddress *remote)
{
  guint64 key = key_of (remote);
  return g_hash_table_lookup (connections->table, &key);
}

void
hzb_http_connection_headers_received (HzbHttpConnection *connection)
{
  connection->sweeps = 0;
}

void
hzb_http_connection_request_received (HzbHttpConnection *connection)
{
  if (connection->state == CONNECTION_RECEIVING)
    set_state (connection, CONNECTION_RESPONDING);
}

gboolean
hzb_http_connection_is_responding (const HzbHttpConnection *connection)
{
  return connection->state == CONNECTION_RESPONDING;
}

void
hzb_http_connection_take_back (HzbHttpConnection *connection)
{
  if (set_state (connection, CONNECTION_IDLE))
    watch_idle (connection, EPOLL_CTL_MOD);
}

gboolean
hzb_http_connection_cut_off (HzbHttpConnection *connection)
{
  if (connection->cut_off)
    return FALSE;
  connection->cut_off = TRUE;
  g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
  return TRUE;
}
