/* Questions and cancellations of users, on every node. An answer that is not final is given only once the replica of the records is proven
 * to have everything up to the moment of the question. One request to the key-value store proves it for all that wait. */
#include "user-api.h"

#include "controller-private.h"
#include "json.h"
#include "kv-protocol.h"
#include "record-keys.h"
#include "user-api-private.h"
#include "user-protocol.h"

#include <string.h>

#define LEAST_QUEUE 512u /* questions that may wait on any node, and */
#define QUEUE_PART 0.5   /* of the connections that it may have: each that waits holds one */
#define CHECK_EVERY_S 0.03
/* How long a cancellation may wait for the owners' acknowledgements before its user gets 503 with Retry-After. */
#define CANCEL_ACKNOWLEDGE_S 1.2

static void flush_checks (HzbUserApi *api);
static void send_cancel (HzbUserApi *api, HzbCheck *check);

HzbUserApi *
hzb_user_api_new (HzbController *controller)
{
  HzbUserApi *api = g_new0 (HzbUserApi, 1);
  api->controller = controller;
  return api;
}

static void
check_free (HzbCheck *check)
{
  g_free (check->uid);
  g_free (check->refusal);
  g_free (check);
}

HzbBatch *
hzb_user_api_batch_new (HzbUserApi *api)
{
  HzbBatch *batch = g_new0 (HzbBatch, 1);
  batch->api = api;
  batch->entries = g_ptr_array_new ();
  return batch;
}

void
hzb_user_api_batch_free (HzbBatch *batch)
{
  g_ptr_array_unref (batch->entries);
  g_free (batch->key);
  cJSON_Delete (batch->record);
  g_free (batch);
}

void
hzb_user_api_free (HzbUserApi *api)
{
  HzbCheck *check;
  HzbSubmission *submission;
  while ((check = g_queue_pop_head (&api->checks)) || (check = g_queue_pop_head (&api->pending_cancellations)))
    {
      hzb_http_request_respond (check->http_request, 503, NULL, 1);
      check_free (check);
    }
  while ((submission = g_queue_pop_head (&api->submissions)))
    {
      hzb_http_request_respond (submission->http_request, 503, NULL, 1);
      hzb_submissions_free (submission);
    }
  g_free (api);
}

void
hzb_user_api_reply_unavailable (HzbHttpRequest *http_request, const char *why)
{
  hzb_http_request_respond (http_request, 503, hzb_error_response_encode (why), 1);
}

static guint
most_queued (const HzbUserApi *api)
{
  return MAX (LEAST_QUEUE, (guint) (QUEUE_PART * api->controller->settings->sockets));
}

static void
give_up (HzbCheck *check, const char *why)
{
  hzb_user_api_reply_unavailable (check->http_request, why);
  check_free (check);
}

/* Whether a transaction failed by the record of this job's end. */
gboolean
hzb_user_api_failed_by (const GPtrArray *failed, const char *uid)
{
  for (guint i = 0; failed && i < failed->len; i++)
    {
      const char *key = failed->pdata[i], *slash = strrchr (key, '/');
      if (slash && g_str_equal (slash + 1, uid))
        return TRUE;
    }
  return FALSE;
}

static void
reply_status (HzbUserApi *api, HzbHttpRequest *http_request, const HzbJob *job, guint status, gboolean counts)
{
  guint done = job->done + job->finished, running = job->running + job->delegated_running;
  const char *text = hzb_job_status (job);

  if (job->state == HZB_JOB_DONE)
    done = job->n_tasks;
  if (job->state != HZB_JOB_ACCEPTED)
    running = 0;
  else if (!job->tasks || api->controller->jobs->leaseholder)
    {
      /* Only for display: what the owner last told its peers. */
      hzb_peers_task_counts (api->controller->peers, job->uid, &done, &running);
      text = running ? "running" : "queued";
    }
  hzb_http_request_respond (http_request, status, hzb_job_status_encode (job->uid, text, counts, done, running), 0);
}

/* A job's final state, or one that is proven fresh. Of a cancelled one nothing is told before no owner can act without
 * its cancellation: whoever is told so counts on it. */
void
hzb_user_api_reply_final (HzbUserApi *api, HzbCheck *check, HzbJob *job)
{
  HzbController *controller = api->controller;

  if (job->state != HZB_JOB_CANCELLED || hzb_cancellations_acknowledged (controller->cancellations, job))
    {
      reply_status (api, check->http_request, job, 200, check->question == HZB_QUESTION_STATUS);
      check_free (check);
    }
  else if (!hzb_cancellations_request (controller->cancellations, job)
           || api->pending_cancellations.length >= most_queued (api))
    give_up (check, "not every controller has acknowledged the cancellation");
  else
    {
      check->deadline = hzb_time_plus (hzb_clock_now (controller->clock), CANCEL_ACKNOWLEDGE_S);
      g_queue_push_tail (&api->pending_cancellations, check);
    }
}

static void
check_pending_cancellations (HzbUserApi *api)
{
  HzbController *controller = api->controller;
  struct timespec now = hzb_clock_now (controller->clock);

  for (GList *l = api->pending_cancellations.head; l;)
    {
      GList *next = l->next;
      HzbCheck *check = l->data;
      HzbJob *job = hzb_jobs_find (controller->jobs, check->uid);
      if (!job || hzb_cancellations_acknowledged (controller->cancellations, job))
        {
          g_queue_delete_link (&api->pending_cancellations, l);
          if (job)
            hzb_user_api_reply_final (api, check, job);
          else
            give_up (check, "not decided"); /* its record has moved away meanwhile */
        }
      else if (!hzb_time_before (now, check->deadline))
        {
          g_queue_delete_link (&api->pending_cancellations, l);
          give_up (check, "not every controller has acknowledged the cancellation");
        }
      l = next;
    }
}

HzbCheck *
hzb_user_api_check_new (HzbHttpRequest *http_request, const char *uid, HzbQuestion question)
{
  HzbCheck *check = g_new0 (HzbCheck, 1);
  check->http_request = http_request;
  check->uid = g_strdup (uid);
  check->question = question;
  return check;
}

/* ---- reading ---- */

/* done gets a batch of this one check. */
static void
read_record (HzbUserApi *api, HzbCheck *check, const char *prefix, HzbKvFunc done)
{
  HzbBatch *batch = hzb_user_api_batch_new (api);
  g_autofree char *key = g_strconcat (prefix, check->uid, NULL);
  g_ptr_array_add (batch->entries, check);
  hzb_kv_client_get (api->controller->kv, HZB_KV_READ, key, done, batch);
}

/* Neither the replica of the records nor the place of old records has it. */
static void
settle_unknown (HzbUserApi *api, HzbCheck *check)
{
  if (check->question == HZB_QUESTION_SUBMISSION && check->refusal)
    hzb_http_request_respond (check->http_request, check->refusal_status, hzb_error_response_encode (check->refusal),
                              0);
  else if (check->question == HZB_QUESTION_SUBMISSION)
    hzb_user_api_reply_unavailable (check->http_request, "not decided"); /* a write without an answer may still come */
  else
    hzb_http_request_respond (check->http_request, 404, hzb_error_response_encode ("no such job"), 0);
  check_free (check);
}

static void
on_read_old (HzbKvResult result, const char *body, gpointer user)
{
  HzbBatch *batch = user;
  HzbUserApi *api = batch->api;
  HzbCheck *check = batch->entries->pdata[0];
  HzbKvEntry item = { 0 };

  if (result == HZB_KV_OK && hzb_kv_entry_decode (body, &item))
    {
      const char *state = hzb_json_text (item.value, "state");
      guint n = (guint) hzb_json_number (item.value, "n", 0);
      hzb_http_request_respond (check->http_request, 200,
                                hzb_job_status_encode (check->uid, state, check->question == HZB_QUESTION_STATUS,
                                                       g_strcmp0 (state, "done") == 0 ? n : 0, 0),
                                0);
      check_free (check);
      hzb_kv_entry_clear (&item);
    }
  else if (result == HZB_KV_NOT_FOUND)
    settle_unknown (api, check);
  else
    give_up (check, "the state service can't be asked");
  hzb_user_api_batch_free (batch);
}

/* The replica of the records, brought up to this moment, does not know the job; what is over moves away from it in one transaction, so
 * a job that was ever accepted is found in one of the two places, in this order. */
static void
read_old (HzbUserApi *api, HzbCheck *check)
{
  read_record (api, check, HZB_KEY_ARCHIVED, on_read_old);
}

/* The record is known to be the newest: what was asked can be answered. */
static void
settle (HzbUserApi *api, HzbCheck *check)
{
  HzbJob *job = hzb_jobs_find (api->controller->jobs, check->uid);

  if (check->question == HZB_QUESTION_CANCELLATION && job && job->state == HZB_JOB_ACCEPTED)
    {
      send_cancel (api, check);
      return;
    }
  if (!job)
    {
      read_old (api, check);
      return;
    }
  hzb_user_api_reply_final (api, check, job);
}

static void
on_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbBatch *batch = user;
  HzbUserApi *api = batch->api;
  HzbCheck *check = batch->entries->pdata[0];
  HzbKvEntry item = { 0 };

  if (result == HZB_KV_OK && hzb_kv_entry_decode (body, &item))
    {
      hzb_controller_apply_record (api->controller, &item);
      hzb_kv_entry_clear (&item);
      settle (api, check);
    }
  else if (result == HZB_KV_NOT_FOUND)
    read_old (api, check); /* it has moved away */
  else
    give_up (check, "the state service can't be asked");
  hzb_user_api_batch_free (batch);
}

void
hzb_user_api_read_check (HzbUserApi *api, HzbCheck *check)
{
  read_record (api, check, HZB_KEY_JOBS, on_read);
}

static void
on_synced (gboolean fresh, gpointer user)
{
  HzbBatch *batch = user;
  HzbUserApi *api = batch->api;

  api->checking = FALSE;
  for (guint i = 0; i < batch->entries->len; i++)
    {
      HzbCheck *check = batch->entries->pdata[i];
      if (fresh)
        settle (api, check);
      else
        give_up (check, "the state service can't be asked");
    }
  hzb_user_api_batch_free (batch);
  flush_checks (api);
}

/* All nodes together use no more than this part of the requests that the key-value store takes. */
#define CHECK_PART 0.5
#define CHECK_MOST_S 0.8 /* users wait 2 s for an answer */

static double
check_interval_s (const HzbController *controller)
{
  double all_nodes = controller->settings->size / (CHECK_PART * controller->settings->kv_rps);
  return CLAMP (all_nodes, CHECK_EVERY_S, CHECK_MOST_S);
}

/* One request proves for all questions that wait that the replica of the records has everything up to now, however many they are. */
static void
flush_checks (HzbUserApi *api)
{
  HzbController *controller = api->controller;
  struct timespec now = hzb_clock_now (controller->clock);
  HzbBatch *batch;
  HzbCheck *check;

  if (api->checking || !api->checks.length || hzb_time_before (now, api->next_check))
    return;
  api->next_check = hzb_time_plus (now, check_interval_s (controller));
  batch = hzb_user_api_batch_new (api);
  while ((check = g_queue_pop_head (&api->checks)))
    g_ptr_array_add (batch->entries, check);
  api->checking = TRUE;
  hzb_kv_replica_sync (controller->kv_replica, on_synced, batch);
}

void
hzb_user_api_queue_check (HzbUserApi *api, HzbCheck *check)
{
  g_queue_push_tail (&api->checks, check);
  flush_checks (api);
}

void
hzb_user_api_add_check (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbQuestion question,
                        const char *refusal, guint refusal_status)
{
  HzbCheck *check;

  if (hzb_kv_replica_store_unresponsive (api->controller->kv_replica))
    {
      hzb_user_api_reply_unavailable (http_request, "the state service does not answer");
      return;
    }
  if (api->checks.length >= most_queued (api))
    {
      hzb_http_request_respond (http_request, question == HZB_QUESTION_SUBMISSION ? 429 : 503,
                                hzb_error_response_encode ("too much is asked at once"), 2);
      return;
    }
  check = hzb_user_api_check_new (http_request, uid, question);
  check->refusal = g_strdup (refusal);
  check->refusal_status = refusal_status;
  check->deadline = hzb_time_plus (hzb_clock_now (api->controller->clock), 3);
  hzb_user_api_queue_check (api, check);
}

/* ---- cancelling ---- */

static void
on_cancelled (HzbKvResult result, const char *body, gpointer user)
{
  HzbBatch *batch = user;
  HzbUserApi *api = batch->api;
  HzbCheck *check = batch->entries->pdata[0];
  HzbJob *job = hzb_jobs_find (api->controller->jobs, check->uid);

  hzb_user_api_batch_free (batch);
  if (result == HZB_KV_OK && job)
    {
      guint64 revision = 0;
      cJSON *value = hzb_jobs_pack_final (HZB_JOB_CANCELLED, job->n_tasks);
      hzb_kv_commit_decode (body, &revision, NULL);
      hzb_jobs_apply (api->controller->jobs, check->uid, value, revision);
      cJSON_Delete (value);
      settle (api, check);
    }
  else if (result == HZB_KV_REFUSED)
    give_up (check, "the state service can't be asked");
  else
    hzb_user_api_queue_check (api, check);
}

static void
send_cancel (HzbUserApi *api, HzbCheck *check)
{
  HzbJob *job = hzb_jobs_find (api->controller->jobs, check->uid);
  g_autofree char *key = g_strconcat (HZB_KEY_JOBS, check->uid, NULL);
  HzbBatch *batch;
  HzbKvTransaction *transaction;

  if (!hzb_time_before (hzb_clock_now (api->controller->clock), check->deadline))
    {
      hzb_user_api_reply_unavailable (check->http_request, "not decided in time");
      check_free (check);
      return;
    }
  batch = hzb_user_api_batch_new (api);
  transaction = hzb_kv_transaction_new ();
  g_ptr_array_add (batch->entries, check);
  hzb_jobs_compare_not_terminal (transaction, check->uid);
  hzb_kv_transaction_put (transaction, key, hzb_jobs_pack_final (HZB_JOB_CANCELLED, job->n_tasks), 0);
  hzb_kv_client_commit (api->controller->kv, HZB_KV_ACCEPT, transaction, on_cancelled, batch);
}

static void
handle_question (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbQuestion question)
{
  HzbJob *job = hzb_jobs_find (api->controller->jobs, uid);

  if (!hzb_job_uid_is_valid (uid))
    hzb_http_request_respond (http_request, 404, hzb_error_response_encode ("no such job"), 0);
  else if (job && job->state != HZB_JOB_ACCEPTED)
    hzb_user_api_reply_final (api, hzb_user_api_check_new (http_request, uid, question), job);
  else
    hzb_user_api_add_check (api, http_request, uid, question, NULL, 0);
}

void
hzb_user_api_request (HzbUserApi *api, HzbHttpRequest *http_request)
{
  const char *rest;
  gboolean post = g_str_equal (http_request->method, "POST"), get = g_str_equal (http_request->method, "GET");

  if (g_str_equal (http_request->path, hzb_path_jobs))
    {
      if (post)
        hzb_submissions_submit (api, http_request);
      else
        hzb_http_request_respond (http_request, 405, hzb_error_response_encode ("POST a job here"), 0);
      return;
    }
  rest = http_request->path + strlen (hzb_path_jobs);
  if (g_str_has_prefix (http_request->path, hzb_path_jobs) && *rest == '/')
    {
      const char *slash = strchr (rest + 1, '/');
      g_autofree char *uid = slash ? g_strndup (rest + 1, (gsize) (slash - rest - 1)) : g_strdup (rest + 1);
      if (!slash && get)
        handle_question (api, http_request, uid, HZB_QUESTION_STATUS);
      else if (slash && g_str_equal (slash, hzb_path_cancel) && post)
        handle_question (api, http_request, uid, HZB_QUESTION_CANCELLATION);
      else if (!slash || g_str_equal (slash, hzb_path_cancel))
        hzb_http_request_respond (http_request, 405, hzb_error_response_encode (slash ? "POST here" : "GET a job here"),
                                  0);
      else
        hzb_http_request_respond (http_request, 404, hzb_error_response_encode ("no such path"), 0);
      return;
    }
  hzb_http_request_respond (http_request, 404, hzb_error_response_encode ("no such path"), 0);
}

void
hzb_user_api_tick (HzbUserApi *api)
{
  hzb_submissions_flush (api);
  flush_checks (api);
  check_pending_cancellations (api);
}
