#include "job-waiting.h"

/* A leaseholder that returned a task may have room again after this many seconds. Short enough to try each leaseholder
 * several times within the 90 seconds that a job may wait. */
#define RETURNED_FOR_S 20.0

/* A job that has waited for less is delegated again at once: tasks are also returned since others went before them. */
#define AVOID_AFTER_S 30.0

#define MAX_LEASEHOLDERS 32u /* whose returns are told apart; those of others are not noted */

static gboolean
may_begin_more (const HzbJob *job, const HzbShard *shard, guint begun)
{
  return begun < job->n_tasks && hzb_shard_fits (shard, job->team, job->spec->cpus, job->spec->gpus);
}

/* Whether a delegated task has not begun. It counts against the team's limit already. */
static gboolean
has_unstarted_delegated_task (const HzbJob *job)
{
  return hzb_job_was_returned (job) && job->placed > job->running + job->delegated_running;
}

void
hzb_job_update_waiting (HzbJob *job, const HzbShard *shard, struct timespec now)
{
  guint begun = job->running + job->delegated_running + job->finished + job->done;

  if (begun > job->begun_tasks || hzb_time_between (job->returned_at, now) > RETURNED_FOR_S)
    job->returned_by = 0;
  if (begun > job->begun_tasks || !hzb_time_is_set (job->waiting_since)
      || !(may_begin_more (job, shard, begun) || has_unstarted_delegated_task (job)))
    job->waiting_since = now;
  job->begun_tasks = begun;
}

double
hzb_job_waiting_s (const HzbJob *job, struct timespec now)
{
  return hzb_time_is_set (job->waiting_since) ? hzb_time_between (job->waiting_since, now) : 0;
}

void
hzb_job_note_returned (HzbJob *job, guint leaseholder, struct timespec now)
{
  if (leaseholder >= MAX_LEASEHOLDERS)
    return;
  job->returned_by |= 1u << leaseholder;
  job->returned_at = now;
}

gboolean
hzb_job_avoids_leaseholder (const HzbJob *job, guint leaseholder, struct timespec now)
{
  return leaseholder < MAX_LEASEHOLDERS && (job->returned_by & 1u << leaseholder)
         && hzb_job_waiting_s (job, now) >= AVOID_AFTER_S;
}

gboolean
hzb_job_was_returned (const HzbJob *job)
{
  return job->returned_by != 0;
}
