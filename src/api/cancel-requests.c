/* Cancellations that users request, and when they are confirmed.
 *
 * A confirmed cancellation guarantees that none of the job's tasks is started afterwards. So the response waits until
 * every controller that can still act knows of the cancellation (cancellations.h). If that takes too long, the user
 * gets 503 with Retry-After. */
#include "user-api-private.h"

/* A request whose cancellation is not acknowledged in this time is answered with 503 and Retry-After. */
#define ACKNOWLEDGEMENT_TIMEOUT_S 1.2
/* Each waiting request holds a connection. So the number of waiting requests is limited to a fraction of the
 * connections that the node may have open; the limit is at least MIN_WAITING_LIMIT. */
#define MIN_WAITING_LIMIT 512u
#define MAX_WAITING_CONNECTION_FRACTION 0.5

static const char not_acknowledged[] = "not every controller has acknowledged the cancellation";

static void
send_job_status (HzbPendingRequest *request, const HzbJob *job)
{
  HzbUserApi *api = request->api;
  guint done = job->done + job->finished, running = job->running + job->delegated_running;
  const char *status = hzb_job_status (job);

  if (job->state == HZB_JOB_DONE)
    done = job->n_tasks;
  if (job->state != HZB_JOB_ACCEPTED)
    running = 0;
  else if (!job->tasks || api->dependencies.jobs->leaseholder)
    {
      /* This node does not own all tasks of the job, so it shows the counts of the leader's last heartbeat. */
      hzb_peers_task_counts (api->dependencies.peers, job->uid, &done, &running);
      status = running ? "running" : "queued";
    }
  hzb_http_request_respond (
      request->http_request, 200,
      hzb_job_status_encode (job->uid, status, request->kind == HZB_PENDING_REQUEST_STATUS, done, running), 0);
}

void
hzb_pending_request_reply_job_status (HzbPendingRequest *request, HzbJob *job)
{
  HzbUserApi *api = request->api;

  if (job->state != HZB_JOB_CANCELLED || hzb_cancellations_is_acknowledged (api->dependencies.cancellations, job))
    {
      send_job_status (request, job);
      hzb_pending_request_free (request);
    }
  else if (!hzb_cancellations_request (api->dependencies.cancellations, job)
           || api->unacknowledged_cancellations.length
                  >= (guint) hzb_user_api_queue_limit (api, MIN_WAITING_LIMIT, MAX_WAITING_CONNECTION_FRACTION))
    hzb_pending_request_reply_unavailable (request, not_acknowledged);
  else
    {
      request->deadline = hzb_time_plus (hzb_clock_now (api->dependencies.node->clock), ACKNOWLEDGEMENT_TIMEOUT_S);
      g_queue_push_tail (&api->unacknowledged_cancellations, request);
    }
}

void
hzb_cancel_requests_tick (HzbUserApi *api)
{
  struct timespec now = hzb_clock_now (api->dependencies.node->clock);
  GList *next;

  for (GList *link = api->unacknowledged_cancellations.head; link; link = next)
    {
      HzbPendingRequest *request = link->data;
      HzbJob *job = hzb_jobs_find (api->dependencies.jobs, request->uid);
      gboolean acknowledged = job && hzb_cancellations_is_acknowledged (api->dependencies.cancellations, job);

      next = link->next;
      if (job && !acknowledged && hzb_time_before (now, request->deadline))
        continue;
      g_queue_delete_link (&api->unacknowledged_cancellations, link);
      if (!job)
        hzb_pending_request_reply_unavailable (request, "not decided"); /* the job's record has been archived since */
      else if (acknowledged)
        hzb_pending_request_reply_job_status (request, job);
      else
        hzb_pending_request_reply_unavailable (request, not_acknowledged);
    }
}

static void
on_cancellation_committed (HzbKvResult result, const char *body, gpointer user)
{
  HzbPendingRequest *request = user;
  HzbJobs *jobs = request->api->dependencies.jobs;
  HzbJob *job = hzb_jobs_find (jobs, request->uid);

  if (result == HZB_KV_OK && job)
    {
      guint64 revision = 0;
      hzb_kv_commit_decode (body, &revision, NULL);
      hzb_jobs_apply_completion (jobs, request->uid, HZB_JOB_CANCELLED, job->n_tasks, revision);
      hzb_pending_request_resolve (request);
    }
  else if (result == HZB_KV_REFUSED)
    hzb_pending_request_reply_unavailable (request, "the state service can't be asked");
  else
    hzb_pending_request_queue (request); /* the replica shows the outcome of the cancellation once it is up to date */
}

void
hzb_cancel_request_send (HzbPendingRequest *request)
{
  HzbUserApi *api = request->api;
  HzbJob *job = hzb_jobs_find (api->dependencies.jobs, request->uid);
  HzbKvTransaction *transaction;

  if (!hzb_time_before (hzb_clock_now (api->dependencies.node->clock), request->deadline))
    {
      hzb_pending_request_reply_unavailable (request, "not decided in time");
      return;
    }
  transaction = hzb_kv_transaction_new ();
  hzb_jobs_compare_not_terminal (transaction, request->uid);
  hzb_cancellation_record_put (request->uid, job->n_tasks, transaction);
  hzb_kv_client_commit (api->dependencies.kv, HZB_KV_ACCEPT, transaction, on_cancellation_committed, request);
}
