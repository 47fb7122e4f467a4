/**
 * SECTION: http-connections
 * @short_description: the connections that clients opened to a server; private to src/http
 *
 * GLib checks every source and polls every descriptor in each iteration of its main loop, so each idle connection of a
 * worker would add to the cost of every other worker's heartbeat: with 1,300 idle connections a heartbeat took eight
 * times as long as with 50. This module therefore watches all idle connections with a single epoll descriptor. libsoup
 * has a connection only while it serves a request: this module hands the connection over when bytes arrive, and takes
 * it back when the response has been written.
 */
#pragma once
#include <gio/gio.h>

/** HzbHttpConnections: a listening socket and the connections that it accepted. */
typedef struct _HzbHttpConnections HzbHttpConnections;

/** HzbHttpConnection: a reference-counted connection. */
typedef struct _HzbHttpConnection HzbHttpConnection;

/**
 * HzbHttpHandOver: gets a connection on which bytes have arrived, and has to read and answer the request.
 * @param stream the connection (transfer none)
 * @param local address of this side (transfer none) (nullable)
 * @param remote address of the other side (transfer none)
 * @param user user data of the function
 * @return FALSE if the connection can't be served; the caller then closes it
 */
typedef gboolean (*HzbHttpHandOver) (GIOStream *stream, GSocketAddress *local, GSocketAddress *remote, gpointer user);

/**
 * Listens on an address and accepts connections.
 * @param addr IPv4 address and port
 * @param socket_limit number of connections that the process may have open; while more than half of this number are
 * open here, idle connections are closed after a shorter time; with a limit of 0 always after the shorter time
 * @param hand_over called with each connection on which a request arrives
 * @param user user data for hand_over
 * @param error (out) (optional) a GIO error
 * @return (transfer full) (nullable): the connections; NULL on an error
 */
HzbHttpConnections *hzb_http_connections_new (const char *addr, guint socket_limit, HzbHttpHandOver hand_over,
                                              gpointer user, GError **error);

/**
 * Stops listening and closes the idle connections.
 * @param connections (transfer full) (nullable) the connections
 */
void hzb_http_connections_free (HzbHttpConnections *connections);

/**
 * Counts the open connections.
 * @param connections the connections
 * @return their number; a connection that libsoup has closed counts until the next sweep, a few seconds later
 */
guint hzb_http_connections_count (const HzbHttpConnections *connections);

/**
 * Finds the connection from a remote address.
 * @param connections the connections
 * @param remote address of the other side
 * @return (transfer none) (nullable): the connection; NULL if there is none
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
 * Restarts the time limit of a request. To be called when the headers have arrived, so that the body gets the full
 * time.
 * @param connection the connection
 */
void hzb_http_connection_headers_received (HzbHttpConnection *connection);

/**
 * Marks a connection as responding. To be called when a request has arrived completely.
 * @param connection the connection
 */
void hzb_http_connection_request_received (HzbHttpConnection *connection);

/**
 * Checks whether a request has arrived completely and its response has not been written yet.
 * @param connection the connection
 * @return whether the connection is responding
 */
gboolean hzb_http_connection_is_responding (const HzbHttpConnection *connection);

/**
 * Makes a connection idle again. To be called when libsoup has written the response and given up the connection.
 * @param connection the connection
 */
void hzb_http_connection_take_back (HzbHttpConnection *connection);

/**
 * Aborts a request that has not arrived completely: shuts down the socket of the connection, so that further reads of
 * the request find the connection closed.
 * @param connection the connection
 * @return FALSE if the connection was aborted before
 */
gboolean hzb_http_connection_abort (HzbHttpConnection *connection);
