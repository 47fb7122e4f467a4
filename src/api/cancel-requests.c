/* Cancellations of users, and the moment from which a cancelled job may be called cancelled.
 *
 * A user whose cancellation is confirmed relies on it: none of the job's tasks may be started after that. So the answer
 * waits until no controller can act without the cancellation (cancellations.h); if that takes too long, the answer is
 * 503 with Retry-After. */
#include "user-api-private.h"

/* How long a request may wait for the acknowledgement of its cancellation before its user gets 503 with Retry-After. */
#define ACKNOWLEDGE_WITHIN_S 1.2
/* Requests that may wait on any node, and as part of the connections that the node may have: each holds one. */
#define LEAST_WAITING 512u
#define WAITING_PART 0.5

static const char not_acknowledged[] = "not every controller has acknowledged the cancellation";

static void
reply_status (HzbCheck *check, const HzbJob *job)
{
  HzbUserApi *api = check->api;
  guint done = job->done + job->finished, running = job->running + job->delegated_running;
  const char *status = hzb_job_status (job);

  if (job->state == HZB_JOB_DONE)
    done = job->n_tasks;
  if (job->state != HZB_JOB_ACCEPTED)
    running = 0;
  else if (!job->tasks || api->with.jobs->leaseholder)
    {
      /* This node does not own all tasks of the job. Only for display: the counts of the leader's last heartbeat. */
      hzb_peers_task_counts (api->with.peers, job->uid, &done, &running);
      status = running ? "running" : "queued";
    }
  hzb_http_request_respond (
      check->http_request, 200,
      hzb_job_status_encode (job->uid, status, check->question == HZB_QUESTION_STATUS, done, running), 0);
}

void
hzb_check_reply_final (HzbCheck *check, HzbJob *job)
{
  HzbUserApi *api = check->api;

  if (job->state != HZB_JOB_CANCELLED || hzb_cancellations_is_acknowledged (api->with.cancellations, job))
    {
      reply_status (check, job);
      hzb_check_free (check);
    }
  else if (!hzb_cancellations_request (api->with.cancellations, job)
           || api->unacknowledged.length >= (guint) hzb_user_api_queue_limit (api, LEAST_WAITING, WAITING_PART))
    hzb_check_give_up (check, not_acknowledged);
  else
    {
      check->deadline = hzb_time_plus (hzb_clock_now (api->with.node->clock), ACKNOWLEDGE_WITHIN_S);
      g_queue_push_tail (&api->unacknowledged, check);
    }
}

void
hzb_cancel_requests_tick (HzbUserApi *api)
{
  struct timespec now = hzb_clock_now (api->with.node->clock);
  GList *next;

  for (GList *link = api->unacknowledged.head; link; link = next)
    {
      HzbCheck *check = link->data;
      HzbJob *job = hzb_jobs_find (api->with.jobs, check->uid);
      gboolean acknowledged = job && hzb_cancellations_is_acknowledged (api->with.cancellations, job);

      next = link->next;
      if (job && !acknowledged && hzb_time_before (now, check->deadline))
        continue;
      g_queue_delete_link (&api->unacknowledged, link);
      if (!job)
        hzb_check_give_up (check, "not decided"); /* the job's record has moved to the archive meanwhile */
      else if (acknowledged)
        hzb_check_reply_final (check, job);
      else
        hzb_check_give_up (check, not_acknowledged);
    }
}

static void
on_cancelled (HzbKvResult result, const char *body, gpointer user)
{
  HzbCheck *check = user;
  HzbJobs *jobs = check->api->with.jobs;
  HzbJob *job = hzb_jobs_find (jobs, check->uid);

  if (result == HZB_KV_OK && job)
    {
      guint64 revision = 0;
      hzb_kv_commit_decode (body, &revision, NULL);
      hzb_jobs_apply_completion (jobs, check->uid, HZB_JOB_CANCELLED, job->n_tasks, revision);
      hzb_check_settle (check);
    }
  else if (result == HZB_KV_REFUSED)
    hzb_check_give_up (check, "the state service can't be asked");
  else
    hzb_check_queue (check); /* what became of the cancellation shows once the replica is up to date */
}

void
hzb_cancel_request_send (HzbCheck *check)
{
  HzbUserApi *api = check->api;
  HzbJob *job = hzb_jobs_find (api->with.jobs, check->uid);
  HzbKvTransaction *transaction;

  if (!hzb_time_before (hzb_clock_now (api->with.node->clock), check->deadline))
    {
      hzb_check_give_up (check, "not decided in time");
      return;
    }
  transaction = hzb_kv_transaction_new ();
  hzb_jobs_compare_not_terminal (transaction, check->uid);
  hzb_cancellation_record_put (check->uid, job->n_tasks, transaction);
  hzb_kv_client_commit (api->with.kv, HZB_KV_ACCEPT, transaction, on_cancelled, check);
}
