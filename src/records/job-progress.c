#include "job-progress.h"
#include "task-table.h"
#include "task.h"

guint
hzb_job_count_chunks (const HzbJobs *jobs, const HzbJob *job)
{
  return (job->n_tasks + jobs->chunk_tasks - 1) / jobs->chunk_tasks;
}

/* Packs one bit for each of the `n` tasks from index `first` on; 1: the task has finished. Sets `finished_bytes` to the
 * number of bytes up to and including the last one that has a bit set. This keeps the record short: for most of a large
 * job's run time, most of its tasks have not finished. */
static void
pack_finished (const HzbJob *job, guint first, guint n, HzbProgressRecord *record)
{
  record->finished = g_new0 (guchar, (n + 7) / 8);
  for (guint i = 0; i < n; i++)
    if (hzb_task_table_state (job->tasks, first + i) >= HZB_TASK_FINISHED)
      {
        record->finished[i / 8] |= (guchar) (1u << (i % 8));
        record->finished_bytes = i / 8 + 1;
      }
}

void
hzb_job_pack_progress (const HzbJobs *jobs, const HzbJob *job, guint chunk_number, HzbProgressRecord *record)
{
  guint first = chunk_number * jobs->chunk_tasks;

  /* The record makes the mark `releasing` durable; job->released is raised to it when the flush is durable. */
  *record = (HzbProgressRecord){ .released = job->releasing };
  if (job->n_tasks > jobs->chunk_tasks)
    record->chunk_tasks = jobs->chunk_tasks;
  if (job->state == HZB_JOB_CANCELLED || chunk_number == 0)
    {
      /* A cancelled job's own record no longer states the resources of its tasks, so the progress record states
       * them. */
      record->team = g_strdup (job->spec->team);
      record->cpus = job->spec->cpus;
      record->gpus = job->spec->gpus;
    }
  pack_finished (job, first, MIN (jobs->chunk_tasks, job->n_tasks - first), record);
}

static gboolean
is_finished (const HzbProgressRecord *record, guint i)
{
  return i / 8 < record->finished_bytes && record->finished[i / 8] & (1u << (i % 8));
}

/* Sets the pending and unconfirmed tasks that the record shows as finished to HZB_TASK_DONE: their results are durable.
 * HZB_TASK_FINISHED would mean that the result is not durable yet. */
static void
mark_done (HzbJobs *jobs, HzbJob *job, guint first, const HzbProgressRecord *record)
{
  for (guint i = first; i < MIN (first + record->chunk_tasks, job->n_tasks); i++)
    {
      HzbTaskState state = hzb_task_table_state (job->tasks, i);
      if (is_finished (record, i - first) && (state == HZB_TASK_PENDING || state == HZB_TASK_UNCONFIRMED))
        hzb_job_load_task (jobs, job, i, HZB_TASK_DONE);
    }
}

/* Any chunk may have been written last, so the released mark of each chunk applies to the tasks of all chunks. */
static void
raise_released_mark (HzbJobs *jobs, HzbJob *job, guint released)
{
  job->released = job->releasing = MAX (job->released, released);
  for (guint i = 0; i < job->released; i++)
    if (hzb_task_table_state (job->tasks, i) == HZB_TASK_PENDING)
      hzb_job_load_task (jobs, job, i, HZB_TASK_UNCONFIRMED);
  job->cursor = MAX (job->cursor, job->released);
}

gboolean
hzb_job_apply_progress (HzbJobs *jobs, HzbJob *job, guint chunk_number, const HzbProgressRecord *record,
                        gboolean *has_current_layout)
{
  guint chunk_tasks = record->chunk_tasks;

  if (chunk_number > job->n_tasks / chunk_tasks)
    return FALSE;
  *has_current_layout = job->n_tasks <= MIN (chunk_tasks, jobs->chunk_tasks) || chunk_tasks == jobs->chunk_tasks;
  mark_done (jobs, job, chunk_number * chunk_tasks, record);
  raise_released_mark (jobs, job, MIN (record->released, job->n_tasks));
  job->proven_runnable = job->proven_runnable || job->done > 0;
  return TRUE;
}
