/**
 * SECTION: http-server
 * @short_description: receives HTTP requests at an address and hands them to a handler
 */
#pragma once
#include "http-request.h"

/** HzbHttpServer: an address at which requests are received. */
typedef struct _HzbHttpServer HzbHttpServer;

/**
 * Makes a server that listens.
 * @param addr IPv4 address and port, such as 10.0.0.1:8080
 * @param sockets connections that the process may have open; from half as many on, idle ones are closed sooner
 * @param handler gets the requests whose body has at most HZB_MAX_BODY bytes (user-protocol.h); the server refuses
 *   others with status 413
 * @param user for the handler
 * @param error (out) (optional) of GIO: the address can't be listened at
 * @return (transfer full) (nullable): NULL on an error
 */
HzbHttpServer *hzb_http_server_new (const char *addr, guint sockets, HzbHandler handler, gpointer user, GError **error);

/**
 * Frees a server and closes its connections. No request may be pending.
 * @param server (transfer full)
 */
void hzb_http_server_free (HzbHttpServer *server);

/**
 * Counts the open connections.
 * @param server the server
 * @return their number; one that the other side closed counts until the server notices, a few seconds later at most
 */
guint hzb_http_server_connections (HzbHttpServer *server);

/**
 * Counts the requests that were refused for the size of their body.
 * @param server the server
 * @return their number since the start
 */
guint64 hzb_http_server_too_large (HzbHttpServer *server);
