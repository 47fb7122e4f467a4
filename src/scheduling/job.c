#include "job.h"

#include "task-table.h"

/* A running task is expected to continue for at least this fraction of the mean run time, however long it has run. */
#define MIN_REMAINING_FRACTION 0.15

#define MIN_MEAN_S 0.1

/* State names in log messages, which the unit tests compare. */
static const char *const state_names[HZB_TASK_N_STATES] = {
  [HZB_TASK_PENDING] = "pending",
  [HZB_TASK_QUEUED] = "listed",
  [HZB_TASK_UNCONFIRMED] = "unknown",
  [HZB_TASK_OTHER_OWNER] = "other-owner",
  [HZB_TASK_DELEGATED] = "delegated",
  [HZB_TASK_RESERVED] = "booked",
  [HZB_TASK_STARTING] = "starting",
  [HZB_TASK_FETCHING] = "fetching",
  [HZB_TASK_WAITING] = "waiting",
  [HZB_TASK_RUNNING] = "running",
  [HZB_TASK_CHECKPOINTING] = "saving",
  [HZB_TASK_FINISHED] = "finished",
  [HZB_TASK_DONE] = "done",
};

void
hzb_job_clear_owner_state (HzbJob *job)
{
  g_queue_init (&job->retry); /* the links belong to the tasks */
  g_clear_pointer (&job->tasks, hzb_task_table_free);
  job->other_owner = job->delegated_running = job->delegated_on_recalled_machines = 0;
  job->next_resolved = job->resolved_end = 0;
  job->cursor = job->pending = job->queued = job->unconfirmed = job->placed = job->running = 0;
  job->finished = job->done = job->released = job->releasing = 0;
  job->dirty = job->completing = job->on_pages = job->has_schema_1_chunks = job->release_requested = FALSE;
  job->announced_to_leaseholders = FALSE;
  job->blocks_machines = FALSE;
  job->failures = job->started_tasks = 0;
  job->failed_on_several_machines = job->proven_runnable = job->awaits_verdict = FALSE;
  g_clear_pointer (&job->first_failed_machine, g_free);
  job->starved_since = (struct timespec){ 0 };
  job->planned_zone = NULL;
  job->begun_tasks = job->returned_by = 0;
  job->waiting_since = job->returned_at = (struct timespec){ 0 };
}

const char *
hzb_task_state_name (HzbTaskState state)
{
  return state_names[state];
}

gboolean
hzb_task_on_machine (const HzbTask *task)
{
  return task->state >= HZB_TASK_RESERVED && task->state <= HZB_TASK_CHECKPOINTING;
}

double
hzb_task_remaining_s (const HzbTask *task, struct timespec now)
{
  double mean = hzb_job_mean_s (task->job);

  if (task->job->spec->kind == HZB_JOB_SERVICE)
    return 0;
  if (task->state == HZB_TASK_RUNNING)
    return MAX (mean - hzb_time_between (task->since, now), MIN_REMAINING_FRACTION * mean);
  return mean;
}

const char *
hzb_job_status (const HzbJob *job)
{
  switch (job->state)
    {
    case HZB_JOB_DONE:
      return "done";
    case HZB_JOB_CANCELLED:
      return "cancelled";
    default:
      return job->running + job->delegated_running > 0 ? "running" : "queued";
    }
}

double
hzb_job_mean_s (const HzbJob *job)
{
  return MAX (job->mean_s > 0 ? job->mean_s : job->spec->estimate_s, MIN_MEAN_S);
}

void
hzb_job_leave_retry_queue (HzbTask *task)
{
  if (!task->in_retry_queue)
    return;
  g_queue_unlink (&task->job->retry, &task->retry_link);
  task->in_retry_queue = FALSE;
}

void
hzb_job_join_retry_queue (HzbTask *task)
{
  if (task->in_retry_queue)
    return;
  g_queue_push_tail_link (&task->job->retry, &task->retry_link);
  task->in_retry_queue = TRUE;
}

void
hzb_job_put_back (HzbJob *job, HzbTask *task)
{
  if (task->index + 1 == job->next_resolved && job->next_resolved <= job->resolved_end)
    {
      job->next_resolved--; /* resolved tasks go before the retry queue */
      return;
    }
  hzb_job_leave_retry_queue (task);
  g_queue_push_head_link (&job->retry, &task->retry_link);
  task->in_retry_queue = TRUE;
}

/* Takes a task off the retry queue whose back-off has passed. Examines each entry of the queue once. Returns:
 * (nullable): NULL if there is none */
static HzbTask *
take_retry (HzbJob *job, struct timespec now)
{
  for (guint n = job->retry.length; n > 0; n--)
    {
      HzbTask *task = g_queue_peek_head (&job->retry);
      hzb_job_leave_retry_queue (task);
      if (!hzb_time_before (now, task->not_before))
        return task;
      hzb_job_join_retry_queue (task);
    }
  return NULL;
}

/* Advances @next past the next pending task below @end that is not in the retry queue. Returns: (nullable): that task;
 * NULL if there is none */
static HzbTask *
take_in_order (const HzbJob *job, guint *next, guint end)
{
  while (*next < end)
    {
      guint index = (*next)++;
      HzbTask *task;
      if (hzb_task_table_state (job->tasks, index) != HZB_TASK_PENDING)
        continue;
      task = hzb_task_table_get (job->tasks, index);
      if (!task->in_retry_queue)
        return task;
    }
  return NULL;
}

HzbTask *
hzb_job_take_pending (HzbJob *job, struct timespec now)
{
  HzbTask *task = take_in_order (job, &job->next_resolved, job->resolved_end);

  if (!task)
    task = take_retry (job, now);
  if (!task)
    task = take_in_order (job, &job->cursor, job->released);
  if (!task)
    job->release_requested = job->released < job->n_tasks;
  return task;
}

double
hzb_job_spec_grace_s (const HzbJobSpec *spec)
{
  return spec->checkpoint_interval_s > 0 ? spec->checkpoint_duration_s + 1 : 0;
}
