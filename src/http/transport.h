/**
 * SECTION: transport
 * @short_description: how a controller sends requests, so that tests can put a simulated network in its place
 */
#pragma once
#include <glib.h>

/**
 * HzbReplyFunc: gets the response to a request. Called exactly once for each request.
 * @param status of the response; 0: none came, and the request may or may not have been carried out
 * @param body of the response, ends with a NUL (transfer none)
 * @param length bytes of the body
 * @param user what was given with the function
 */
typedef void (*HzbReplyFunc) (guint status, const char *body, gsize length, gpointer user);

/** HzbTransport: sends requests. hzb_http_client_new() makes the real one. */
typedef struct _HzbTransport HzbTransport;

/** HzbTransport: what every transport begins with. */
struct _HzbTransport
{
  /** Behind hzb_send(). */
  void (*send) (HzbTransport *self, const char *method, const char *addr, const char *path, char *body,
                guint timeout_ms, HzbReplyFunc done, gpointer user);
};

/**
 * Sends a request.
 * @param transport by which
 * @param method such as GET
 * @param addr address and port of the receiver, such as 10.0.0.1:8080
 * @param path with the query
 * @param body (transfer full) (nullable) JSON
 * @param timeout_ms a response that takes longer counts as none, in milliseconds
 * @param done gets the response
 * @param user for done
 */
static inline void
hzb_send (HzbTransport *transport, const char *method, const char *addr, const char *path, char *body, guint timeout_ms,
          HzbReplyFunc done, gpointer user)
{
  transport->send (transport, method, addr, path, body, timeout_ms, done, user);
}
