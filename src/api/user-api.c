/* Requests of users: the life of the module, and which function answers which path. */
#include "user-api-private.h"

#include <string.h>

HzbUserApi *
hzb_user_api_new (const HzbUserApiDependencies *dependencies, const HzbUserApiCallbacks *callbacks, gpointer user)
{
  HzbUserApi *api = g_new0 (HzbUserApi, 1);
  api->with = *dependencies;
  api->callbacks = *callbacks;
  api->callbacks_user = user;
  return api;
}

void
hzb_user_api_free (HzbUserApi *api)
{
  HzbCheck *check;
  HzbSubmission *submission;

  while ((check = g_queue_pop_head (&api->checks)) || (check = g_queue_pop_head (&api->unacknowledged)))
    {
      hzb_http_request_respond (check->http_request, 503, NULL, 1);
      hzb_check_free (check);
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
  hzb_checks_flush (api);
  hzb_cancel_requests_tick (api);
}

/* ---- answers ---- */

void
hzb_user_api_reply_error (HzbHttpRequest *http_request, guint status, const char *text, guint retry_after_s)
{
  hzb_http_request_respond (http_request, status, hzb_error_response_encode (text), retry_after_s);
}

void
hzb_user_api_reply_unavailable (HzbHttpRequest *http_request, const char *why)
{
  hzb_user_api_reply_error (http_request, 503, why, 1);
}

double
hzb_user_api_queue_limit (const HzbUserApi *api, guint least, double part)
{
  return MAX (least, part * api->with.node->settings->sockets);
}

/* ---- paths ---- */

static void
handle_job (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbQuestion question)
{
  HzbJob *job = hzb_jobs_find (api->with.jobs, uid);

  if (!hzb_job_uid_is_valid (uid))
    hzb_user_api_reply_error (http_request, 404, "no such job", 0);
  else if (job && job->state != HZB_JOB_ACCEPTED)
    hzb_check_reply_final (hzb_check_new (api, http_request, uid, question), job);
  else
    hzb_checks_add (api, http_request, uid, question, NULL);
}

static void
handle_all_jobs (HzbUserApi *api, HzbHttpRequest *http_request)
{
  if (g_str_equal (http_request->method, "POST"))
    hzb_submissions_submit (api, http_request);
  else
    hzb_user_api_reply_error (http_request, 405, "POST a job here", 0);
}

/* @rest: what follows the path of all jobs and a slash: a job, or a job and what to do with it */
static void
handle_below_jobs (HzbUserApi *api, HzbHttpRequest *http_request, const char *rest)
{
  const char *action = strchr (rest, '/');
  g_autofree char *uid = action ? g_strndup (rest, (gsize) (action - rest)) : g_strdup (rest);

  if (!action && g_str_equal (http_request->method, "GET"))
    handle_job (api, http_request, uid, HZB_QUESTION_STATUS);
  else if (!action)
    hzb_user_api_reply_error (http_request, 405, "GET a job here", 0);
  else if (!g_str_equal (action, hzb_path_cancel))
    hzb_user_api_reply_error (http_request, 404, "no such path", 0);
  else if (g_str_equal (http_request->method, "POST"))
    handle_job (api, http_request, uid, HZB_QUESTION_CANCELLATION);
  else
    hzb_user_api_reply_error (http_request, 405, "POST here", 0);
}

void
hzb_user_api_request (HzbUserApi *api, HzbHttpRequest *http_request)
{
  const char *path = http_request->path;
  gboolean below = g_str_has_prefix (path, hzb_path_jobs) && path[strlen (hzb_path_jobs)] == '/';

  if (g_str_equal (path, hzb_path_jobs))
    handle_all_jobs (api, http_request);
  else if (below)
    handle_below_jobs (api, http_request, path + strlen (hzb_path_jobs) + 1);
  else
    hzb_user_api_reply_error (http_request, 404, "no such path", 0);
}
