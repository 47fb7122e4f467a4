/* The user API: its creation and destruction, and the routing of requests by path. */
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

static void
handle_jobs (HzbUserApi *api, HzbHttpRequest *http_request)
{
  if (g_str_equal (http_request->method, "POST"))
    hzb_submissions_submit (api, http_request);
  else
    hzb_user_api_reply_error (http_request, 405, "POST a job here", 0);
}

/* @job_path: the part of the path after "/api/jobs/": the id of a job, which a slash and an action may follow */
static void
handle_job_path (HzbUserApi *api, HzbHttpRequest *http_request, const char *job_path)
{
  const char *action = strchr (job_path, '/');
  g_autofree char *uid = action ? g_strndup (job_path, (gsize) (action - job_path)) : g_strdup (job_path);

  if (!action && g_str_equal (http_request->method, "GET"))
    handle_job (api, http_request, uid, HZB_PENDING_REQUEST_STATUS);
  else if (!action)
    hzb_user_api_reply_error (http_request, 405, "GET a job here", 0);
  else if (!g_str_equal (action, hzb_path_cancel))
    hzb_user_api_reply_error (http_request, 404, "no such path", 0);
  else if (g_str_equal (http_request->method, "POST"))
    handle_job (api, http_request, uid, HZB_PENDING_REQUEST_CANCELLATION);
  else
    hzb_user_api_reply_error (http_request, 405, "POST here", 0);
}

void
hzb_user_api_request (HzbUserApi *api, HzbHttpRequest *http_request)
{
  const char *path = http_request->path;
  gboolean is_job_path = g_str_has_prefix (path, hzb_path_jobs) && path[strlen (hzb_path_jobs)] == '/';

  if (g_str_equal (path, hzb_path_jobs))
    handle_jobs (api, http_request);
  else if (is_job_path)
    handle_job_path (api, http_request, path + strlen (hzb_path_jobs) + 1);
  else
    hzb_user_api_reply_error (http_request, 404, "no such path", 0);
}
