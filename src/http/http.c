#include "http.h"

#include "settings.h"
#include "user-protocol.h"

#define SOUP_VERSION_MIN_REQUIRED SOUP_VERSION_2_70
#include <glib-unix.h>
#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* ---- client ---- */

/* The connections of a while. */
typedef struct
{
  SoupSession *session; /* NULL: ended */
  guint live;           /* calls under way */
  guint lost;           /* calls that were given up, and that libsoup has not ended since */
  gboolean retired;     /* another serves what comes */
} Pool;

typedef struct
{
  HzbTransport parent;
  Pool *pool;
} Client;

#define MOST_LOST 8u /* each may hold a connection of the pool */

typedef struct
{
  Client *client;
  Pool *pool;
  gboolean over; /* its caller has been told */
  SoupMessage *message;
  guint timer;
  HzbReplyFunc done;
  gpointer user;
} Call;

static Pool *
pool_new (void)
{
  Pool *pool = g_new0 (Pool, 1);
  /* No proxy resolver: it would load GIO modules and ask D-Bus, and there are no names to look up. */
  pool->session = soup_session_new_with_options (SOUP_SESSION_PROXY_RESOLVER, NULL, SOUP_SESSION_MAX_CONNS, 64,
                                                 SOUP_SESSION_MAX_CONNS_PER_HOST, 24, SOUP_SESSION_IDLE_TIMEOUT, 30,
                                                 SOUP_SESSION_TIMEOUT, 0, NULL);
  return pool;
}

/* A retired pool ends with the last of its calls; what libsoup has lost may still come back to it. */
static void
pool_settle (Pool *pool)
{
  if (!pool->retired || pool->live)
    return;
  if (pool->session)
    {
      g_autoptr (SoupSession) session = g_steal_pointer (&pool->session);
      pool->live++; /* until all that ends with it has */
      soup_session_abort (session);
      pool->live--;
    }
  if (!pool->lost)
    g_free (pool);
}

/* Guards against libsoup 2.74, which does not always end a message that is cancelled (seen with transactions that the
 * key-value store took and never answered): whoever called would wait for ever, and with it all that waits its turn
 * behind. So the caller is told here, whatever libsoup does; and once it keeps several, new calls get a new pool. */
static gboolean
call_expired (gpointer data)
{
  Call *call = data;
  Client *client = call->client;
  Pool *pool = call->pool;
  HzbReplyFunc done = call->done;
  gpointer user = call->user;

  call->timer = 0;
  call->over = TRUE;
  pool->lost++;
  soup_session_cancel_message (pool->session, call->message,
                               SOUP_STATUS_CANCELLED); /* the call may be gone after this */
  done (0, "", 0, user);
  if (pool == client->pool && pool->lost >= MOST_LOST)
    {
      client->pool = pool_new ();
      pool->retired = TRUE;
    }
  pool->live--;
  pool_settle (pool);
  return G_SOURCE_REMOVE;
}

static void
call_done (SoupSession *session, SoupMessage *message, gpointer data)
{
  Call *call = data;
  Pool *pool = call->pool;
  /* Below 100 are libsoup's own codes: no answer came. */
  guint status = SOUP_STATUS_IS_TRANSPORT_ERROR (message->status_code) ? 0 : message->status_code;
  g_autoptr (SoupBuffer) body = soup_message_body_flatten (message->response_body); /* ends with a NUL */

  if (call->over)
    pool->lost--;
  else
    {
      g_source_remove (call->timer);
      call->done (status, body->data, body->length, call->user);
      pool->live--;
    }
  g_free (call);
  pool_settle (pool);
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
  call->pool->live++;
  call->message = soup_message_new (method, uri);
  call->done = done;
  call->user = user;
  if (body)
    soup_message_set_request (call->message, "application/json", SOUP_MEMORY_TAKE, body, strlen (body));
  /* A connection taken from the pool may be behind a cut; every call has its own end. */
  call->timer = g_timeout_add (timeout_ms, call_expired, call);
  soup_session_queue_message (call->pool->session, call->message, call_done, call); /* takes the message */
}

HzbTransport *
hzb_http_client_new (void)
{
  Client *client = g_new0 (Client, 1);
  client->parent.send = client_send;
  client->pool = pool_new ();
  return &client->parent;
}

/* Calls that are under way end with it. */
void
hzb_http_client_free (HzbTransport *transport)
{
  Client *client = (Client *) transport;
  Pool *pool = client->pool;
  pool->live++;
  soup_session_abort (pool->session);
  pool->live--;
  pool->retired = TRUE;
  pool_settle (pool);
  g_free (client);
}

/* ---- server ---- */

/* GLib looks at every source and polls every descriptor on every turn of its loop, so a worker's idle connection would
 * cost something at each report of every other: with 1,300 of them a report took eight times as long as with 50. So
 * idle connections are kept here, behind one descriptor (epoll), and libsoup has a connection only while a request is
 * on it: it is handed over when something comes, and taken back when the answer has been written. */
typedef enum
{
  CONNECTION_IDLE,   /* nothing has come since the last answer */
  CONNECTION_ASKING, /* libsoup has it and waits for the request */
  CONNECTION_ASKED,  /* the request has come in whole */
  CONNECTION_ENDED
} ConnectionState;

typedef struct
{
  HzbHttpServer *server;
  GSocketConnection *stream;
  GSocket *socket;
  GSocketAddress *remote;
  guint64 name; /* of its other end: the one thing libsoup tells of a connection that it was given */
  ConnectionState state;
  guint rounds;       /* sweeps in this state */
  gboolean too_large; /* its request has been refused for its body */
} Connection;

struct _HzbHttpServer
{
  SoupServer *soup;
  HzbHandler handler;
  gpointer user;
  GSocket *listener;
  int idle; /* epoll */
  guint idle_source, accept_source;
  GHashTable *connections; /* Connection, by its name */
  guint sweeper, crowd;    /* crowd: as many open connections are a lot */
  guint64 too_large;       /* requests whose body was over the limit */
};

/* Seconds between sweeps, and sweeps that a request has to come in whole, that an idle connection is kept, and
 * that it is kept when many are open. */
#define SWEEP_S 3
#define REQUEST_ROUNDS 5
#define IDLE_ROUNDS 30
#define IDLE_CROWDED_ROUNDS 4
#define EVENTS 64
#define BACKLOG 16384 /* all workers may come at once; the system takes fewer if it is set to (net.core.somaxconn) */

static void
connection_clear (gpointer data)
{
  Connection *connection = data;
  g_object_unref (connection->stream);
  g_object_unref (connection->socket);
  g_object_unref (connection->remote);
}

/* Held by the table, and by the message that is on it. */
static void
connection_unref (gpointer connection)
{
  g_rc_box_release_full (connection, connection_clear);
}

/* The only place where a connection changes its state. */
static gboolean
set_state (Connection *connection, ConnectionState to)
{
  static const char *const names[] = { "idle", "asking", "asked", "ended" };
  static const guint legal[] = {
    [CONNECTION_IDLE] = 1 << CONNECTION_ASKING | 1 << CONNECTION_ENDED,
    [CONNECTION_ASKING] = 1 << CONNECTION_ASKED | 1 << CONNECTION_ENDED,
    [CONNECTION_ASKED] = 1 << CONNECTION_IDLE | 1 << CONNECTION_ENDED,
    [CONNECTION_ENDED] = 0,
  };
  if (!(legal[connection->state] & 1u << to))
    {
      g_critical ("connection: illegal change %s -> %s", names[connection->state], names[to]);
      return FALSE;
    }
  g_debug ("connection: %s -> %s", names[connection->state], names[to]);
  connection->state = to;
  connection->rounds = 0;
  return TRUE;
}

static void
connection_end (Connection *connection)
{
  set_state (connection, CONNECTION_ENDED);
  g_io_stream_close (G_IO_STREAM (connection->stream), NULL, NULL);
  if (g_hash_table_lookup (connection->server->connections, &connection->name) == connection)
    g_hash_table_remove (connection->server->connections, &connection->name);
}

/* It is reported once: then libsoup has it until it is idle again. */
static void
watch_idle (Connection *connection, int operation)
{
  struct epoll_event event = { .events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT, .data.ptr = connection };
  if (epoll_ctl (connection->server->idle, operation, g_socket_get_fd (connection->socket), &event) != 0)
    connection_end (connection);
}

/* IPv4 address and port. */
static guint64
name_of (GSocketAddress *remote)
{
  guint64 name = 0;
  if (G_IS_INET_SOCKET_ADDRESS (remote))
    {
      GInetAddress *address = g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (remote));
      memcpy (&name, g_inet_address_to_bytes (address), MIN (4, g_inet_address_get_native_size (address)));
      name = name << 16 | g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (remote));
    }
  return name;
}

static void
hand_over (Connection *connection)
{
  HzbHttpServer *server = connection->server;
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (connection->socket, NULL);

  set_state (connection, CONNECTION_ASKING);
  if (!soup_server_accept_iostream (server->soup, G_IO_STREAM (connection->stream), local, connection->remote, NULL))
    connection_end (connection);
}

static gboolean
on_idle_events (gint fd, GIOCondition condition, gpointer user)
{
  HzbHttpServer *server = user;
  struct epoll_event events[EVENTS];
  int n = epoll_wait (server->idle, events, EVENTS, 0);

  for (int i = 0; i < n; i++)
    {
      Connection *connection = events[i].data.ptr;
      char byte;
      if (events[i].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)
          && recv (g_socket_get_fd (connection->socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
        connection_end (connection);
      else
        hand_over (connection);
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_connect (GSocket *listener, GIOCondition condition, gpointer user)
{
  HzbHttpServer *server = user;

  for (guint i = 0; i < EVENTS; i++)
    {
      g_autoptr (GSocket) socket = g_socket_accept (listener, NULL, NULL);
      GSocketAddress *remote;
      Connection *connection, *old;
      if (!socket)
        break;
      if (!(remote = g_socket_get_remote_address (socket, NULL)))
        continue; /* gone already */
      g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, TRUE, NULL);
      connection = g_rc_box_new0 (Connection);
      connection->server = server;
      connection->stream = g_socket_connection_factory_create_connection (socket);
      connection->socket = g_steal_pointer (&socket);
      connection->remote = remote;
      connection->name = name_of (remote);
      /* Guards against a machine that comes back at once and from the same port: what it left is over. */
      if ((old = g_hash_table_lookup (server->connections, &connection->name)) && old->state == CONNECTION_IDLE)
        connection_end (old);
      g_hash_table_replace (server->connections, &connection->name, connection);
      watch_idle (connection, EPOLL_CTL_ADD);
    }
  return G_SOURCE_CONTINUE;
}

void
hzb_http_request_respond (HzbHttpRequest *http_request, guint status, char *body, guint retry_after_s)
{
  if (http_request->done)
    http_request->done (http_request, status, http_request->done_user);
  http_request->reply (http_request, status, body, retry_after_s);
  g_free (body);
  g_free (http_request->method);
  g_free (http_request->path);
  g_free (http_request->body);
  g_free (http_request);
}

static void
soup_reply (HzbHttpRequest *http_request, guint status, const char *body, guint retry_after_s)
{
  HzbHttpServer *server = http_request->server;
  SoupMessage *message = http_request->impl;

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
  if (http_request->answered)
    *http_request->answered = TRUE;
  else
    soup_server_unpause_message (server->soup, message);
  g_object_unref (message);
}

/* The answer has been written. Requests are never pipelined, so nothing of a next one can have been read. */
static void
on_wrote_body (SoupMessage *message, gpointer user)
{
  SoupClientContext *client = user;
  Connection *connection = g_object_get_data (G_OBJECT (message), "hzb-connection");
  GIOStream *stolen;

  if (connection->state != CONNECTION_ASKED || !soup_message_is_keepalive (message)
      || !(stolen = soup_client_context_steal_connection (client)))
    return;                /* libsoup closes it */
  g_object_unref (stolen); /* a wrapper: the connection is ours all the time */
  if (set_state (connection, CONNECTION_IDLE))
    watch_idle (connection, EPOLL_CTL_MOD);
}

/* Guards against requests that are sent by half and connections that nobody uses: each holds a socket. */
static gboolean
sweep (gpointer user)
{
  HzbHttpServer *server = user;
  GHashTableIter iter;
  gpointer value;
  gboolean crowded = g_hash_table_size (server->connections) > server->crowd;

  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Connection *connection = value;
      if (g_socket_is_closed (connection->socket))
        {
          g_hash_table_iter_remove (&iter); /* by libsoup */
          continue;
        }
      connection->rounds++;
      if (connection->state == CONNECTION_IDLE && connection->rounds > (crowded ? IDLE_CROWDED_ROUNDS : IDLE_ROUNDS))
        {
          set_state (connection, CONNECTION_ENDED);
          g_io_stream_close (G_IO_STREAM (connection->stream), NULL, NULL);
          g_hash_table_iter_remove (&iter);
        }
      else if (connection->state == CONNECTION_ASKING && connection->rounds > REQUEST_ROUNDS)
        g_socket_shutdown (connection->socket, TRUE, TRUE, NULL); /* libsoup then ends it */
    }
  return G_SOURCE_CONTINUE;
}

static void
on_request (SoupServer *soup, SoupMessage *message, const char *path, GHashTable *query, SoupClientContext *client,
            gpointer user)
{
  HzbHttpServer *server = user;
  HzbHttpRequest *http_request;
  g_autoptr (SoupBuffer) body = soup_message_body_flatten (message->request_body);
  gboolean answered = FALSE;

  if (body->length > HZB_MAX_BODY)
    {
      /* libsoup takes what came before the connection was shut down for the whole request, see on_chunk(). */
      soup_message_set_status (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE);
      return;
    }
  http_request = g_new0 (HzbHttpRequest, 1);
  http_request->method = g_strdup (message->method);
  http_request->path = g_strdup (path);
  http_request->body = g_strndup (body->data, body->length);
  http_request->length = body->length;
  http_request->reply = soup_reply;
  http_request->server = server;
  http_request->impl = g_object_ref (message);
  http_request->answered = &answered;
  server->handler (http_request, server->user);
  if (!answered)
    {
      http_request->answered = NULL;
      soup_server_pause_message (soup, message);
    }
}

/* Counted, never cut silently. */
static void
refuse_size (HzbHttpServer *server, SoupMessage *message)
{
  static const char refusal[] = "{\"error\":\"the body is over 64 KiB\"}";
  server->too_large++;
  soup_message_set_status (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE);
  soup_message_set_response (message, "application/json", SOUP_MEMORY_STATIC, refusal, sizeof refusal - 1);
  soup_message_headers_replace (message->response_headers, "Connection", "close");
}

static void
on_whole (SoupMessage *message, gpointer user)
{
  Connection *connection = g_object_get_data (G_OBJECT (message), "hzb-connection");
  if (connection && connection->state == CONNECTION_ASKING)
    set_state (connection, CONNECTION_ASKED);
}

/* Guards against a body that does not say how long it is and never ends. */
static void
on_chunk (SoupMessage *message, SoupBuffer *chunk, gpointer user)
{
  Connection *connection = user;
  if (connection->too_large || message->request_body->length <= HZB_MAX_BODY)
    return;
  connection->too_large = TRUE;
  connection->server->too_large++;
  g_socket_shutdown (connection->socket, TRUE, TRUE, NULL); /* libsoup then ends it */
}

/* A body over the limit is refused from its headers, before it costs memory. */
static void
on_headers (SoupServer *soup, SoupMessage *message, const char *path, GHashTable *query, SoupClientContext *client,
            gpointer user)
{
  HzbHttpServer *server = user;
  guint64 name = name_of (soup_client_context_get_remote_address (client));
  Connection *connection = g_hash_table_lookup (server->connections, &name);

  if (connection)
    {
      connection->rounds = 0;
      g_object_set_data_full (G_OBJECT (message), "hzb-connection", g_rc_box_acquire (connection), connection_unref);
      g_signal_connect (message, "got-body", G_CALLBACK (on_whole), NULL);
      g_signal_connect (message, "wrote-body", G_CALLBACK (on_wrote_body), client);
    }
  if (soup_message_headers_get_encoding (message->request_headers) == SOUP_ENCODING_CONTENT_LENGTH
      && soup_message_headers_get_content_length (message->request_headers) > HZB_MAX_BODY)
    refuse_size (server, message);
  else if (connection && soup_message_headers_get_encoding (message->request_headers) == SOUP_ENCODING_CHUNKED)
    g_signal_connect (message, "got-chunk", G_CALLBACK (on_chunk), connection);
}

HzbHttpServer *
hzb_http_server_new (const char *addr, guint sockets, HzbHandler handler, gpointer user, GError **error)
{
  HzbHttpServer *server = g_new0 (HzbHttpServer, 1);
  g_autofree char *host = NULL;
  g_autoptr (GSocketAddress) address = NULL;
  guint16 port = 0;
  GSource *source;

  hzb_split_addr (addr, &host, &port);
  address = g_inet_socket_address_new_from_string (host, port);
  server->handler = handler;
  server->user = user;
  server->soup = soup_server_new (SOUP_SERVER_SERVER_HEADER, "hazelbank", NULL);
  server->connections = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, connection_unref);
  server->crowd = sockets / 2;
  server->sweeper = g_timeout_add_seconds (SWEEP_S, sweep, server);
  soup_server_add_early_handler (server->soup, NULL, on_headers, server, NULL);
  soup_server_add_handler (server->soup, NULL, on_request, server, NULL);
  server->idle = epoll_create1 (EPOLL_CLOEXEC);
  server->listener = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  if (!server->listener || !g_socket_bind (server->listener, address, TRUE, error))
    {
      hzb_http_server_free (server);
      return NULL;
    }
  g_socket_set_blocking (server->listener, FALSE);
  g_socket_set_listen_backlog (server->listener, BACKLOG);
  if (!g_socket_listen (server->listener, error))
    {
      hzb_http_server_free (server);
      return NULL;
    }
  source = g_socket_create_source (server->listener, G_IO_IN, NULL);
  g_source_set_callback (source, G_SOURCE_FUNC (on_connect), server, NULL);
  server->accept_source = g_source_attach (source, NULL);
  g_source_unref (source);
  server->idle_source = g_unix_fd_add (server->idle, G_IO_IN, on_idle_events, server);
  return server;
}

void
hzb_http_server_free (HzbHttpServer *server)
{
  g_source_remove (server->sweeper);
  if (server->accept_source)
    g_source_remove (server->accept_source);
  if (server->idle_source)
    g_source_remove (server->idle_source);
  g_clear_object (&server->listener);
  g_object_unref (server->soup);
  g_hash_table_unref (server->connections);
  if (server->idle >= 0)
    close (server->idle);
  g_free (server);
}

guint64
hzb_http_server_too_large (HzbHttpServer *server)
{
  return server->too_large;
}

guint
hzb_http_server_connections (HzbHttpServer *server)
{
  return g_hash_table_size (server->connections);
}
