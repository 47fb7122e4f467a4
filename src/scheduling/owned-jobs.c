#include "jobs.h"
#include "task-table.h"

#include <math.h>
#include <string.h>

/* Correction of run time estimates, see hzb_jobs_record_run_time(). A bias is the logarithm of run time over estimate.
 * Each task that ends with a known run time gives one observation. All tasks of a job share the error of its estimate,
 * so each observation is weighted by 1 / n_tasks. A bias whose absolute value is at most the threshold may be chance
 * and is not applied. */
#define BIAS_SMOOTHING 0.08     /* weight of an observation in the moving average, for a job with one task */
#define BIAS_THRESHOLD 0.35     /* run time over estimate of 1.4, or its inverse */
#define MAX_OBSERVED_BIAS 2.0   /* bound for one observation */
#define MAX_BIASED_CLASSES 200u /* further classes get no correction, to bound memory */

/* When a job is activated, the time since its acceptance counts as waiting time, but at most this many seconds. */
#define MAX_WAIT_S 86400

/* In each shard, the attempt numbers of a job begin after the fencing token shifted left by this many bits. A fencing
 * token is never used for two shards or two owners, so an attempt number isn't either (unless a job has 2^17 attempts
 * in one shard). */
#define ATTEMPT_BITS 17

/* ---- ownership of tasks ---- */

static void
stop_tracking_tasks (HzbJob *job)
{
  hzb_job_clear_owner_state (job);
  if (job->state != HZB_JOB_ACCEPTED)
    g_clear_pointer (&job->spec, hzb_job_spec_free);
}

void
hzb_jobs_end_ownership (HzbJobs *jobs)
{
  for (guint i = 0; i < jobs->active->len; i++)
    stop_tracking_tasks (jobs->active->pdata[i]);
  g_ptr_array_set_size (jobs->active, 0);
  jobs->shard = NULL;
  jobs->leaseholder = FALSE;
}

static gint
compare_acceptance_times (gconstpointer a, gconstpointer b)
{
  const HzbJob *x = *(HzbJob *const *) a, *y = *(HzbJob *const *) b;
  if (hzb_time_before (x->accepted, y->accepted))
    return -1;
  if (hzb_time_before (y->accepted, x->accepted))
    return 1;
  return strcmp (x->uid, y->uid);
}

/* On the leader, all tasks of a job begin as pending. On a leaseholder, each task belongs to another owner until the
 * leader delegates it to this leaseholder. */
static void
create_tasks (HzbJobs *jobs, HzbJob *job, struct timespec now)
{
  job->tasks = hzb_task_table_new (job, jobs->leaseholder ? HZB_TASK_OTHER_OWNER : HZB_TASK_PENDING, now);
  if (jobs->leaseholder)
    {
      job->other_owner = job->n_tasks;
      /* A leaseholder starts only what is delegated to it, so neither the cursor nor the marks may hold anything
       * back. */
      job->cursor = job->released = job->releasing = job->n_tasks;
    }
  else
    {
      job->pending = job->n_tasks;
      /* Gangs and services need all their tasks at the same time, so request their release at once, without waiting for
       * capacity. */
      job->release_requested = job->spec->kind == HZB_JOB_GANG || job->spec->kind == HZB_JOB_SERVICE;
    }
}

/* Creates the tasks of the job and appends it to the active jobs, out of their order. Returns: FALSE if it is active
 * already, or cannot be */
static gboolean
activate (HzbJobs *jobs, HzbJob *job)
{
  struct timespec now = hzb_clock_now (jobs->clock);
  double waited;

  if (job->tasks || !job->spec || job->team < 0)
    return FALSE;
  create_tasks (jobs, job, now);
  job->last_attempt = jobs->shard->fencing_token << ATTEMPT_BITS;
  waited = hzb_time_between (job->accepted, hzb_clock_wall (jobs->clock));
  job->since = hzb_time_plus (now, -CLAMP (waited, 0, MAX_WAIT_S));
  g_message (
      "job %s (class %s, team %s): activated; %u tasks of %g CPUs and %g GB each, expected run time %g s, image %s",
      job->uid, job->spec->job_class, job->spec->team, job->n_tasks, job->spec->cpus, job->spec->memory_gb,
      job->spec->estimate_s, job->spec->image);
  g_ptr_array_add (jobs->active, job);
  return TRUE;
}

void
hzb_jobs_activate (HzbJobs *jobs, HzbJob *job)
{
  GPtrArray *active = jobs->active;

  if (!activate (jobs, job))
    return;
  /* Most jobs are younger than all active ones, so the job's place is looked for from the end. */
  for (guint i = active->len - 1; i > 0 && compare_acceptance_times (&active->pdata[i - 1], &active->pdata[i]) > 0; i--)
    {
      active->pdata[i] = active->pdata[i - 1];
      active->pdata[i - 1] = job;
    }
}

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
        activate (jobs, job);
    }
  g_ptr_array_sort (jobs->active, compare_acceptance_times);
}

void
hzb_jobs_deactivate (HzbJobs *jobs, HzbJob *job)
{
  g_ptr_array_remove (jobs->active, job);
  stop_tracking_tasks (job);
}

gboolean
hzb_jobs_any_unconfirmed (HzbJobs *jobs)
{
  for (guint i = 0; i < jobs->active->len; i++)
    if (((HzbJob *) jobs->active->pdata[i])->unconfirmed)
      return TRUE;
  return FALSE;
}

void
hzb_jobs_compact_tasks (HzbJobs *jobs)
{
  for (guint i = 0; i < jobs->active->len; i++)
    hzb_task_table_compact (((HzbJob *) jobs->active->pdata[i])->tasks);
}

/* ---- run times ---- */

/* Returns: (transfer none) (nullable): the bias of the job class, an exponential moving average of the logarithm of run
 * time over estimate; NULL: the class has no bias, and cannot get one because of MAX_BIASED_CLASSES */
static double *
find_or_add_bias (HzbJobs *jobs, const char *job_class)
{
  double *bias = g_hash_table_lookup (jobs->estimate_biases, job_class);

  if (bias || g_hash_table_size (jobs->estimate_biases) >= MAX_BIASED_CLASSES)
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
  bias = find_or_add_bias (jobs, job->spec->job_class);
  if (bias)
    *bias += (CLAMP (log (seconds / job->spec->estimate_s), -MAX_OBSERVED_BIAS, MAX_OBSERVED_BIAS) - *bias)
             * BIAS_SMOOTHING / job->n_tasks;
}

double
hzb_jobs_expected_run_time_s (const HzbJobs *jobs, const HzbJob *job)
{
  const double *bias = g_hash_table_lookup (jobs->estimate_biases, job->spec->job_class);
  return job->spec->estimate_s * (bias && fabs (*bias) > BIAS_THRESHOLD ? exp (*bias) : 1);
}
