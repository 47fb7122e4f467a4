/**
 * SECTION: http-request
 * @short_description: a request that this controller received and has to answer
 *
 * The server creates an HzbHttpRequest for each request that it receives. Tests create requests with their own reply
 * function.
 */
#pragma once
#include <glib.h>
#include <time.h>

/** HzbHttpRequest: a request whose response is pending, until hzb_http_request_respond() is called once. */
typedef struct _HzbHttpRequest HzbHttpRequest;

/** HzbHttpRequest: the data of a request, and the functions that are called to respond to it. */
struct _HzbHttpRequest
{
  char *method; /**< method, such as GET (owned) */
  char *path;   /**< path without the query (owned) */
  char *body;   /**< body, ends with a NUL (owned) */
  gsize length; /**< size of the body without the NUL, in bytes */

  /** Sends the response, without taking ownership of an argument. Called once, by hzb_http_request_respond(). */
  void (*reply) (HzbHttpRequest *self, guint status, const char *body, guint retry_after_s);
  gpointer impl;   /**< data of the reply function; for an HTTP server the SoupMessage, which the function unrefs */
  gpointer server; /**< data of the reply function (not owned); for an HTTP server the HzbHttpServer */
  /** While the handler runs, points to a flag that the server's reply function sets; otherwise NULL (not owned). */
  gboolean *responded;

  struct timespec received_at; /**< when the handler got the request; set and used by the handler only */
  guint kind;                  /**< an HzbMetricKind (metrics.h); set and used by the handler only */
  /** Called just before the response is sent; set by the handler (nullable). */
  void (*on_response) (HzbHttpRequest *self, guint status, gpointer user);
  gpointer on_response_data; /**< user data for on_response */
};

/**
 * Sends the response to a request and frees the request.
 * @param http_request (transfer full) the request
 * @param status HTTP status of the response
 * @param body (transfer full) (nullable) JSON body; NULL: none
 * @param retry_after_s value of the Retry-After header, in seconds; 0: the response has no such header
 */
void hzb_http_request_respond (HzbHttpRequest *http_request, guint status, char *body, guint retry_after_s);

/**
 * HzbHttpHandler: gets each request that a server receives.
 * @param http_request (transfer full) the request, which may be answered during the call or later
 * @param user user data of the function
 */
typedef void (*HzbHttpHandler) (HzbHttpRequest *http_request, gpointer user);
