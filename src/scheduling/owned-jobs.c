#include "jobs.h"

#include <math.h>
#include <string.h>

/* How estimates of run times are corrected, see hzb_jobs_record_run_time(). The estimate of one job is wrong in one way
 * for all its tasks, so a job counts as one observation. A smaller bias than the threshold may be chance. */
#define BIAS_SMOOTHING 0.08
#define BIAS_THRESHOLD 0.35 /* of the logarithm of the ratio: a factor of 1.4 */
#define MAX_BIAS 2.0        /* of one observation */
#define MAX_CLASSES 200u    /* classes beyond these are not learned, to bound memory */

#define LONGEST_WAIT_S 86400

/* The fencing tokens of shards are never used twice, so neither are attempts that begin with this multiple of the
 * fencing token. */
#define ATTEMPT_BITS 17

/* ---- ownership ---- */

void
hzb_jobs_begin_ownership (HzbJobs *jobs, HzbShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  jobs->shard = shard;
  if (jobs->leaseholder)
    return;
  g_hash_table_iter_init (&iter, jobs->by_uid);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbJob *job = value;
      if (job->state == HZB_JOB_ACCEPTED)
        hzb_jobs_activate (jobs, job);
    }
}

static void
forget_owner_state (HzbJob *job)
{
  hzb_job_clear_owner_state (job);
  if (job->state != HZB_JOB_ACCEPTED)
    g_clear_pointer (&job->spec, hzb_job_spec_free);
}

void
hzb_jobs_end_ownership (HzbJobs *jobs)
{
  for (guint i = 0; i < jobs->active->len; i++)
    forget_owner_state (jobs->active->pdata[i]);
  g_ptr_array_set_size (jobs->active, 0);
  jobs->shard = NULL;
  jobs->leaseholder = FALSE;
}

static gint
by_age (gconstpointer a, gconstpointer b)
{
  const HzbJob *x = *(HzbJob *const *) a, *y = *(HzbJob *const *) b;
  if (hzb_time_before (x->accepted, y->accepted))
    return -1;
  if (hzb_time_before (y->accepted, x->accepted))
    return 1;
  return strcmp (x->uid, y->uid);
}

/* On the leader all tasks of a job begin as pending; on a leaseholder they are another owner's until they are
 * delegated. */
static void
create_tasks (HzbJobs *jobs, HzbJob *job, struct timespec now)
{
  job->tasks = g_new0 (HzbTask, job->n_tasks);
  for (guint i = 0; i < job->n_tasks; i++)
    {
      HzbTask *task = &job->tasks[i];
      task->job = job;
      task->index = i;
      task->since = now;
      task->state = jobs->leaseholder ? HZB_TASK_OTHER_OWNER : HZB_TASK_PENDING;
    }
  if (jobs->leaseholder)
    {
      job->other_owner = job->n_tasks;
      job->cursor = job->released = job->releasing = job->n_tasks;
    }
  else
    {
      job->pending = job->n_tasks;
      /* Gangs and services need all their tasks at the same time. */
      job->release_requested = job->spec->kind == HZB_JOB_GANG || job->spec->kind == HZB_JOB_SERVICE;
    }
}

void
hzb_jobs_activate (HzbJobs *jobs, HzbJob *job)
{
  struct timespec now = hzb_clock_now (jobs->clock);
  double waited;

  if (job->tasks || !job->spec || job->team < 0)
    return;
  create_tasks (jobs, job, now);
  job->next_attempt = jobs->shard->fencing_token << ATTEMPT_BITS;
  waited = hzb_time_between (job->accepted, hzb_clock_wall (jobs->clock));
  job->since = hzb_time_plus (now, -CLAMP (waited, 0, LONGEST_WAIT_S));
  g_message ("job %s (%s, %s): %u tasks of %g CPUs, %g GB, %g s expected, image %s", job->uid, job->spec->job_class,
             job->spec->team, job->n_tasks, job->spec->cpus, job->spec->memory_gb, job->spec->estimate_s,
             job->spec->image);
  g_ptr_array_add (jobs->active, job);
  g_ptr_array_sort (jobs->active, by_age);
}

void
hzb_jobs_retire (HzbJobs *jobs, HzbJob *job)
{
  g_ptr_array_remove (jobs->active, job);
  forget_owner_state (job);
}

gboolean
hzb_jobs_any_unconfirmed (HzbJobs *jobs)
{
  for (guint i = 0; i < jobs->active->len; i++)
    if (((HzbJob *) jobs->active->pdata[i])->unconfirmed)
      return TRUE;
  return FALSE;
}

/* ---- run times ---- */

/* (nullable): the learned bias of the job class: an average of the logarithm of run time over estimate. */
static double *
bias_to_learn (HzbJobs *jobs, const char *job_class)
{
  double *bias = g_hash_table_lookup (jobs->estimate_biases, job_class);

  if (bias || g_hash_table_size (jobs->estimate_biases) >= MAX_CLASSES)
    return bias;
  bias = g_new0 (double, 1);
  g_hash_table_insert (jobs->estimate_biases, g_strdup (job_class), bias);
  return bias;
}

void
hzb_jobs_record_run_time (HzbJobs *jobs, HzbJob *job, double seconds)
{
  double *bias;

  if (!job->spec || job->spec->kind == HZB_JOB_SERVICE || seconds <= 0 || job->spec->estimate_s <= 0)
    return;
  bias = bias_to_learn (jobs, job->spec->job_class);
  if (bias)
    *bias +=
        (CLAMP (log (seconds / job->spec->estimate_s), -MAX_BIAS, MAX_BIAS) - *bias) * BIAS_SMOOTHING / job->n_tasks;
}

double
hzb_jobs_mean_s (const HzbJobs *jobs, const HzbJob *job)
{
  const double *bias = g_hash_table_lookup (jobs->estimate_biases, job->spec->job_class);
  return job->spec->estimate_s * (bias && fabs (*bias) > BIAS_THRESHOLD ? exp (*bias) : 1);
}
