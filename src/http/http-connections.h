/**
 * SECTION: http-connections
 * @short_description: the connections to a server; private to src/http
 *
 * GLib checks every source and polls every descriptor on every turn of its main loop, so a worker's idle connection
 * would add to the cost of every other worker's heartbeat: with 1,300 idle connections a heartbeat took eight times as
 * long as with 50. So idle connections are kept here, behind one epoll descriptor, and libsoup has a connection only
 * while a request is on it: the connection is handed over when bytes arrive, and taken back when the response has been
 * written.
 */
#pragma once
#include <gio/gio.h>

/** HzbHttpConnections: a listening socket and the connections that were accepted at it. */
typedef struct _HzbHttpConnections HzbHttpConnections;

/** HzbHttpConnection: a connection, with a count of references. */
typedef struct _HzbHttpConnection HzbHttpConnection;

/**
 * HzbHttpHandOver: has to read and answer a request that arrives on a connection.
 * @param stream the connection (transfer none)
 * @param local address of this side (transfer none) (nullable)
 * @param remote address of the other side (transfer none)
 * @param user what was given with the function
 * @return FALSE: the connection can't be served, and is closed
 */
typedef gboolean (*HzbHttpHandOver) (GIOStream *stream, GSocketAddress *local, GSocketAddress *remote, gpointer user);

/**
 * Listens at an address and accepts connections.
 * @param addr IPv4 address and port
 * @param sockets connections that the process may have open
 * @param hand_over gets each connection on which a request arrives
 * @param user for hand_over
 * @param error (out) (optional) of GIO
 * @return (transfer full) (nullable): NULL on an error
 */
HzbHttpConnections *
hzb_http_connections_new (const char *addr, guint sockets, HzbHttpHandOver hand_over, gpointer user, GError **error);

/**
 * Stops listening and closes the idle connections.
 * @param connections (transfer full) (nullable)
 */
void hzb_http_connections_free (HzbHttpConnections *connections);

/**
 * Counts the connections.
 * @param connections the connections
 * @return their number
 */
guint hzb_http_connections_count (const HzbHttpConnections *connections);

/**
 * Finds the connection to an address.
 * @param connections the connections
 * @param remote address of the other side
 * @return (transfer none) (nullable): NULL if there is none
 */
HzbHttpConnection *hzb_http_connections_find (HzbHttpConnections *connections, GSocketAddress *remote);

/**
 * Takes a reference.
 * @param connection the connection
 * @return (transfer full): the connection
 */
HzbHttpConnection *hzb_http_connection_ref (HzbHttpConnection *connection);

/**
 * Drops a reference.
 * @param connection (transfer full) a #HzbHttpConnection
 */
void hzb_http_connection_unref (gpointer connection);

/**
 * To be called when the headers of a request have arrived: the body gets its full time.
 * @param connection the connection
 */
void hzb_http_connection_headers_received (HzbHttpConnection *connection);

/**
 * To be called when a request has arrived in whole.
 * @param connection the connection
 */
void hzb_http_connection_request_received (HzbHttpConnection *connection);

/**
 * Asks whether a request has arrived in whole whose response is not written yet.
 * @param connection the connection
 * @return whether it has
 */
gboolean hzb_http_connection_is_responding (const HzbHttpConnection *connection);

/**
 * Takes a connection back once the response has been written.
 * @param connection the connection
 */
void hzb_http_connection_take_back (HzbHttpConnection *connection);

/**
 * Cuts a connection off in the midst of a request. Whoever reads the request then finds the connection closed.
 * @param connection the connection
 * @return FALSE if the connection was cut off before
 */
gboolean hzb_http_connection_cut_off (HzbHttpConnection *connection);
