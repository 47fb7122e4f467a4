/**
 * SECTION: http-server
 * @short_description: receives HTTP requests at an address and hands them to a handler
 */
#pragma once
#include "http-request.h"

/** HzbHttpServer: a server that receives requests at one address. */
typedef struct _HzbHttpServer HzbHttpServer;

/**
 * Makes a server and starts to listen.
 * @param addr IPv4 address and port, such as 10.0.0.1:8080
 * @param socket_limit number of connections that the process may have open; while more than half of this number are
 * open here, idle connections are closed after a shorter time
 * @param handler gets the requests whose body has at most HZB_MAX_BODY_BYTES bytes (user-protocol.h); the server
 * rejects other requests with status 413, or closes the connection if the body is chunked
 * @param user user data for the handler
 * @param error (out) (optional) a GIO error if the server can't listen on the address
 * @return (transfer full) (nullable): the server; NULL on an error
 */
HzbHttpServer *
hzb_http_server_new (const char *addr, guint socket_limit, HzbHttpHandler handler, gpointer user, GError **error);

/**
 * Frees a server and closes its connections. hzb_http_request_respond() must have been called for every request that
 * the handler got.
 * @param server (transfer full) the server
 */
void hzb_http_server_free (HzbHttpServer *server);

/**
 * Counts the open connections.
 * @param server the server
 * @return their number; a closed connection may count for a few more seconds, until a periodic check removes it
 */
guint hzb_http_server_count_connections (HzbHttpServer *server);

/**
 * Counts the requests that were rejected because their body was too large.
 * @param server the server
 * @return their number since the server was made
 */
guint64 hzb_http_server_count_oversized (HzbHttpServer *server);
