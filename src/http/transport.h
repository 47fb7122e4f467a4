/**
 * SECTION: transport
 * @short_description: interface through which requests are sent; implemented by http-client, and in tests by a
 * simulated network
 */
#pragma once
#include <glib.h>

/**
 * HzbReplyFunc: gets the response to a request. Called exactly once for each request.
 * @param status HTTP status; 0: no response was received, and the request may or may not have been executed
 * @param body body of the response, ends with a NUL (transfer none); never NULL; its content has no meaning if the
 * status is 0
 * @param length size of the body without the NUL, in bytes
 * @param user user data of the function
 */
typedef void (*HzbReplyFunc) (guint status, const char *body, gsize length, gpointer user);

/** HzbTransport: sends requests. hzb_http_client_new() makes a transport that uses HTTP. */
typedef struct _HzbTransport HzbTransport;

/** HzbTransport: the function that an implementation provides. The struct of each implementation begins with an
 * HzbTransport. */
struct _HzbTransport
{
  /** Implements hzb_transport_send(). */
  void (*send) (HzbTransport *self, const char *method, const char *addr, const char *path, char *body,
                guint timeout_ms, HzbReplyFunc done, gpointer user);
};

/**
 * Sends a request.
 * @param transport the transport
 * @param method HTTP method, such as GET
 * @param addr address and port of the receiver, such as 10.0.0.1:8080
 * @param path path with the query
 * @param body (transfer full) (nullable) JSON body; NULL: none
 * @param timeout_ms time after which the request fails with status 0, in milliseconds
 * @param done called with the response, or with status 0, after hzb_transport_send() has returned
 * @param user user data for done
 */
static inline void
hzb_transport_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body,
                    guint timeout_ms, HzbReplyFunc done, gpointer user)
{
  transport->send (transport, method, addr, path, body, timeout_ms, done, user);
}
