#include "job-waiting.h"

/* Tasks that are returned unstarted at least this many seconds after the first ones were delegated in vain. A shorter time
 * would not tell two attempts from the parts of one. */
#define REPEATED_RETURN_S 5.0

/* The job is delegated again after this many seconds, as the leader may have no suitable machines either. */
#define KEPT_BY_LEADER_S 60.0

static gboolean
may_begin_more (const HzbJob *job, const HzbShard *shard, guint begun)
{
  return begun < job->n_tasks && hzb_shard_fits (shard, job->team, job->spec->cpus, job->spec->gpus);
}

/* Whether a delegated task has not begun. It counts against the team's limit already. */
static gboolean
has_unstarted_delegated_task (const HzbJob *job)
{
  return hzb_time_is_set (job->first_returned) && job->placed > job->running + job->delegated_running;
}

void
hzb_job_update_waiting (HzbJob *job, const HzbShard *shard, struct timespec now)
{
  guint begun = job->running + job->delegated_running + job->finished + job->done;

  if (begun > job->begun_tasks)
    job->first_returned = job->kept_since = (struct timespec){ 0 };
  if (begun > job->begun_tasks || !hzb_time_is_set (job->waiting_since)
      || !(may_begin_more (job, shard, begun) || has_unstarted_delegated_task (job)))
    job->waiting_since = now;
  job->begun_tasks = begun;
  if (hzb_time_is_set (job->kept_since) && hzb_time_between (job->kept_since, now) > KEPT_BY_LEADER_S)
    job->first_returned = job->kept_since = (struct timespec){ 0 };
}

double
hzb_job_waiting_s (const HzbJob *job, struct timespec now)
{
  return hzb_time_is_set (job->waiting_since) ? hzb_time_between (job->waiting_since, now) : 0;
}

void
hzb_job_note_returned (HzbJob *job, struct timespec now)
{
  if (!hzb_time_is_set (job->first_returned))
    job->first_returned = now;
  else if (!hzb_time_is_set (job->kept_since) && hzb_time_between (job->first_returned, now) >= REPEATED_RETURN_S)
    {
      job->kept_since = now;
      g_message (
          "job %s: leaseholders return its tasks unstarted, since no machine of theirs has room; its tasks start on "
          "the leader's machines for a while",
          job->uid);
    }
}

gboolean
hzb_job_is_kept_by_leader (const HzbJob *job)
{
  return hzb_time_is_set (job->kept_since);
}
