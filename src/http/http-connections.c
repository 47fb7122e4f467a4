#include "http-connections.h"

#include "address.h"

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* A sweep closes idle connections and incomplete requests that occupy a socket without making progress. Progress is a
 * change of state or the arrival of the headers of a request; the limits count the sweeps since the last progress. */
#define SWEEP_S 3
#define MAX_REQUEST_SWEEPS 5
#define MAX_IDLE_SWEEPS 30
#define MAX_CROWDED_IDLE_SWEEPS 4 /* while more connections are open than `crowded_threshold` */

#define MAX_EVENTS 64 /* handled in one iteration of the main loop */
#define BACKLOG 16384 /* all workers may connect at the same time; net.core.somaxconn may lower the backlog */

typedef enum
{
  CONNECTION_IDLE,       /* no byte has arrived since the last response */
  CONNECTION_RECEIVING,  /* handed over to libsoup; the request has not arrived completely */
  CONNECTION_RESPONDING, /* handed over to libsoup; the response has not been written completely */
  CONNECTION_ENDED       /* closed by close_connection (); when libsoup closes a connection, its state stays */
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
  guint64 remote_key; /* see address_key () */
  ConnectionState state;
  guint sweeps;     /* number of sweeps since the last progress, see SWEEP_S */
  gboolean aborted; /* set by hzb_http_connection_abort (), which shuts the socket down but does not change the state */
};

struct _HzbHttpConnections
{
  HzbHttpHandOver hand_over;
  gpointer user;
  GSocket *listener;
  int idle_epoll; /* epoll descriptor that watches the idle connections; the reason is in http-connections.h */
  guint idle_source, accept_source, sweep_source;
  GHashTable *table;       /* HzbHttpConnection by remote_key */
  guint crowded_threshold; /* with more open connections than this, idle ones are closed sooner */
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

/* The only function that changes the state of a connection.
 * Returns: FALSE, with the state unchanged, if the transition is not allowed */
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
      g_autofree char *remote = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (connection->remote));
      g_critical ("connection from %s: illegal change %s -> %s; the change is refused: please report this with the log "
                  "before it",
                  remote, state_names[connection->state], state_names[to]);
      return FALSE;
    }
  g_debug ("connection with socket %d: %s -> %s", g_socket_get_fd (connection->socket), state_names[connection->state],
           state_names[to]);
  connection->state = to;
  connection->sweeps = 0;
  return TRUE;
}

/* Closes a connection. The caller removes it from the table. */
static void
close_connection (HzbHttpConnection *connection)
{
  set_state (connection, CONNECTION_ENDED);
  g_io_stream_close (G_IO_STREAM (connection->stream), NULL, NULL);
}

/* Closes a connection and removes it from the table. If a later connection from the same address has replaced it in the
 * table, the later connection stays there. */
static void
close_and_remove_connection (HzbHttpConnection *connection)
{
  GHashTable *table = connection->connections->table;
  close_connection (connection);
  if (g_hash_table_lookup (table, &connection->remote_key) == connection)
    g_hash_table_remove (table, &connection->remote_key);
}

/* Watches an idle connection for the next bytes. epoll reports them once (EPOLLONESHOT), because libsoup then reads
 * from the connection until the response has been written. */
static void
watch_idle (HzbHttpConnection *connection, int operation)
{
  struct epoll_event event = { .events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT, .data.ptr = connection };
  if (epoll_ctl (connection->connections->idle_epoll, operation, g_socket_get_fd (connection->socket), &event) != 0)
    close_and_remove_connection (connection);
}

/* Combines the IPv4 address and the port of the remote side into a key. libsoup identifies a connection that was handed
 * to it only by its remote address. */
static guint64
address_key (GSocketAddress *remote)
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
    close_and_remove_connection (connection);
}

/* Returns: whether the connection is closed or broken and has no unread bytes left */
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
  struct epoll_event events[MAX_EVENTS];
  int n = epoll_wait (connections->idle_epoll, events, MAX_EVENTS, 0);

  for (int i = 0; i < n; i++)
    {
      HzbHttpConnection *connection = events[i].data.ptr;
      if (is_closed_by_remote (connection, events[i].events))
        close_and_remove_connection (connection);
      else
        hand_over_connection (connection);
    }
  return G_SOURCE_CONTINUE;
}

static void
add_connection (HzbHttpConnections *connections, GSocket *socket)
{
  GSocketAddress *remote = g_socket_get_remote_address (socket, NULL);
  HzbHttpConnection *connection, *previous;

  if (!remote)
    return; /* the remote side has already closed the connection */
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, TRUE, NULL);
  connection = g_rc_box_new0 (HzbHttpConnection);
  connection->connections = connections;
  connection->stream = g_socket_connection_factory_create_connection (socket);
  connection->socket = g_object_ref (socket);
  connection->remote = remote;
  connection->remote_key = address_key (remote);
  /* A machine that restarted may connect from the same port again. Its previous connection is then dead. If that one is
   * idle, it is closed here; otherwise it is only replaced in the table: libsoup is serving it or has closed it. */
  previous = g_hash_table_lookup (connections->table, &connection->remote_key);
  if (previous && previous->state == CONNECTION_IDLE)
    close_and_remove_connection (previous);
  g_hash_table_replace (connections->table, &connection->remote_key, connection);
  watch_idle (connection, EPOLL_CTL_ADD);
}

static gboolean
on_connect (GSocket *listener, GIOCondition condition, gpointer user)
{
  for (guint i = 0; i < MAX_EVENTS; i++)
    {
      g_autoptr (GSocket) socket = g_socket_accept (listener, NULL, NULL);
      if (!socket)
        break;
      add_connection (user, socket);
    }
  return G_SOURCE_CONTINUE;
}

/* Closes an idle connection that is over its limit, and shuts down the socket of an incomplete request that is over its
 * limit. A connection that is responding has no limit.
 * Returns: TRUE if the connection is closed and must be removed from the table */
static gboolean
sweep_connection (HzbHttpConnection *connection, gboolean crowded)
{
  if (g_socket_is_closed (connection->socket))
    return TRUE; /* libsoup closed it */
  connection->sweeps++;
  if (connection->state == CONNECTION_IDLE
      && connection->sweeps > (crowded ? MAX_CROWDED_IDLE_SWEEPS : MAX_IDLE_SWEEPS))
    {
      close_connection (connection);
      return TRUE;
    }
  if (connection->state == CONNECTION_RECEIVING && connection->sweeps > MAX_REQUEST_SWEEPS)
    g_socket_shutdown (connection->socket, TRUE, TRUE, NULL); /* libsoup then closes the connection */
  return FALSE;
}

/* Without sweeps, incomplete requests and unused connections would occupy sockets until none is left. */
static gboolean
on_sweep (gpointer user)
{
  HzbHttpConnections *connections = user;
  gboolean crowded = g_hash_table_size (connections->table) > connections->crowded_threshold;
  GHashTableIter iter;
  gpointer connection;

  g_hash_table_iter_init (&iter, connections->table);
  while (g_hash_table_iter_next (&iter, NULL, &connection))
    if (sweep_connection (connection, crowded))
      g_hash_table_iter_remove (&iter);
  return G_SOURCE_CONTINUE;
}

/* Returns: (transfer full) (nullable): a socket that listens on the address; NULL, with the error, if that fails */
static GSocket *
listen_on (const char *addr, GError **error)
{
  g_autoptr (GSocket) listener =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  g_autoptr (GSocketAddress) address = NULL;
  g_autofree char *host = NULL;
  guint16 port = 0;

  hzb_address_split (addr, &host, &port);
  address = g_inet_socket_address_new_from_string (host, port);
  if (!listener || !g_socket_bind (listener, address, TRUE, error))
    return NULL;
  g_socket_set_blocking (listener, FALSE);
  g_socket_set_listen_backlog (listener, BACKLOG);
  return g_socket_listen (listener, error) ? g_steal_pointer (&listener) : NULL;
}

HzbHttpConnections *
hzb_http_connections_new (const char *addr, guint socket_limit, HzbHttpHandOver hand_over, gpointer user,
                          GError **error)
{
  GSocket *listener = listen_on (addr, error);
  HzbHttpConnections *connections;
  g_autoptr (GSource) accept_source = NULL;

  if (!listener)
    return NULL;
  connections = g_new0 (HzbHttpConnections, 1);
  connections->hand_over = hand_over;
  connections->user = user;
  connections->listener = listener;
  connections->table = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, hzb_http_connection_unref);
  connections->crowded_threshold = socket_limit / 2;
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
  guint64 key = address_key (remote);
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
  /* hzb_http_connections_find () may have returned a later connection from the same address, which is still idle. */
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
hzb_http_connection_abort (HzbHttpConnection *connection)
{
  if (connection->aborted)
    return FALSE;
  connection->aborted = TRUE;
  g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
  return TRUE;
}
