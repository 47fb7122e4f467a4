/**
 * SECTION: http-request
 * @short_description: a request to this controller, which waits for its response
 *
 * The server makes one for each request that it receives; so do tests, with a reply function of their own.
 */
#pragma once
#include <glib.h>
#include <time.h>

/** HzbHttpRequest: a request whose response is pending. hzb_http_request_respond() has to be called once. */
typedef struct _HzbHttpRequest HzbHttpRequest;

/** HzbHttpRequest: its members. */
struct _HzbHttpRequest
{
  char *method; /**< such as GET (owned) */
  char *path;   /**< without the query (owned) */
  char *body;   /**< ends with a NUL (owned) */
  gsize length; /**< bytes of the body */

  /** Sends the response; takes nothing. Called once, by hzb_http_request_respond(). */
  void (*reply) (HzbHttpRequest *self, guint status, const char *body, guint retry_after_s);
  gpointer impl;   /**< for the reply function */
  gpointer server; /**< for the reply function (not owned) */
  gboolean *
      responded; /**< set by the server while the handler runs: becomes TRUE with the response (not owned) (nullable) */

  struct timespec began; /**< when the handler got it; for the handler's use */
  guint kind;            /**< an HzbMetricKind (metrics.h); for the handler's use */
  /** Set by the handler, called just before the response is sent (nullable). */
  void (*done) (HzbHttpRequest *self, guint status, gpointer user);
  gpointer done_user; /**< for done */
};

/**
 * Sends the response to a request.
 * @param http_request (transfer full)
 * @param status the response's status
 * @param body (transfer full) (nullable) JSON
 * @param retry_after_s what the Retry-After header says, in seconds; 0: no such header
 */
void hzb_http_request_respond (HzbHttpRequest *http_request, guint status, char *body, guint retry_after_s);

/**
 * HzbHandler: gets the requests that a server receives.
 * @param http_request (transfer full) to be answered now or later
 * @param user what was given with the function
 */
typedef void (*HzbHandler) (HzbHttpRequest *http_request, gpointer user);
