/* The user API: its creation and destruction, and the routing of requests by path. */
#include "path-pattern.h"
#include "user-api-private.h"

#include <string.h>

HzbUserApi *
hzb_user_api_new (const HzbUserApiDependencies *dependencies, const HzbUserApiCallbacks *callbacks, gpointer user)
{
  HzbUserApi *api = g_new0 (HzbUserApi, 1);
  api->dependencies = *dependencies;
  api->callbacks = *callbacks;
  api->callbacks_user = user;
  return api;
}

void
hzb_user_api_free (HzbUserApi *api)
{
  HzbPendingRequest *request;
  HzbSubmission *submission;

  while ((request = g_queue_pop_head (&api->pending_requests))
         || (request = g_queue_pop_head (&api->unacknowledged_cancellations)))
    {
      hzb_http_request_respond (request->http_request, 503, NULL, 1);
      hzb_pending_request_free (request);
    }
  while ((submission = g_queue_pop_head (&api->submissions)))
    {
      hzb_http_request_respond (submission->http_request, 503, NULL, 1);
      hzb_submission_free (submission);
    }
  g_free (api);
}

void
hzb_user_api_tick (HzbUserApi *api)
{
  hzb_submissions_flush (api);
  hzb_pending_requests_flush (api);
  hzb_cancel_requests_tick (api);
}

/* ---- responses ---- */

void
hzb_user_api_reply_error (HzbHttpRequest *http_request, guint status, const char *text, guint retry_after_s)
{
  hzb_http_request_respond (http_request, status, hzb_error_response_encode (text), retry_after_s);
}

void
hzb_user_api_reply_unavailable (HzbHttpRequest *http_request, const char *reason)
{
  hzb_user_api_reply_error (http_request, 503, reason, 1);
}

double
hzb_user_api_queue_limit (const HzbUserApi *api, guint min_limit, double connection_fraction)
{
  return MAX (min_limit, connection_fraction * api->dependencies.node->settings->sockets);
}

/* ---- paths ---- */

static void
handle_job (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbPendingRequestKind kind)
{
  HzbJob *job = hzb_jobs_find (api->dependencies.jobs, uid);

  if (!hzb_job_uid_is_valid (uid))
    hzb_user_api_reply_error (http_request, 404, "no such job", 0);
  else if (job && job->state != HZB_JOB_ACCEPTED)
    hzb_pending_request_reply_job_status (hzb_pending_request_new (api, http_request, uid, kind), job);
  else
    hzb_pending_requests_add (api, http_request, uid, kind, NULL);
}

typedef struct
{
  const char *pattern;
  const char *method;
  const char *expected_method; /* text of the response to another method */
  void (*handle) (HzbUserApi *api, HzbHttpRequest *http_request, char **parameters);
} Route;

static void
submit (HzbUserApi *api, HzbHttpRequest *http_request, char **parameters)
{
  hzb_submissions_submit (api, http_request);
}

static void
report_status (HzbUserApi *api, HzbHttpRequest *http_request, char **parameters)
{
  handle_job (api, http_request, parameters[0], HZB_PENDING_REQUEST_STATUS);
}

static void
cancel (HzbUserApi *api, HzbHttpRequest *http_request, char **parameters)
{
  handle_job (api, http_request, parameters[0], HZB_PENDING_REQUEST_CANCELLATION);
}

static const Route routes[] = {
  { hzb_path_jobs, "POST", "POST a job here", submit },
  { hzb_path_job, "GET", "GET a job here", report_status },
  { hzb_path_job_cancel, "POST", "POST here", cancel },
};

void
hzb_user_api_request (HzbUserApi *api, HzbHttpRequest *http_request)
{
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      g_auto (GStrv) parameters = hzb_path_parse (http_request->path, routes[i].pattern);
      if (!parameters)
        continue;
      if (g_str_equal (http_request->method, routes[i].method))
        routes[i].handle (api, http_request, parameters);
      else
        hzb_user_api_reply_error (http_request, 405, routes[i].expected_method, 0);
      return;
    }
  hzb_user_api_reply_error (http_request, 404, "no such path", 0);
}
