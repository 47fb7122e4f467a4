#include "job-progress.h"
#include "task.h"

guint
hzb_job_chunks (const HzbJobs *jobs, const HzbJob *job)
{
  return (job->n_tasks + jobs->chunk - 1) / jobs->chunk;
}

/* The bits end with the last byte that has any: most tasks of a large job have not finished for most of its life. */
static void
pack_finished (const HzbJob *job, guint first, guint n, HzbProgressRecord *record)
{
  record->finished = g_new0 (guchar, (n + 7) / 8);
  for (guint i = 0; i < n; i++)
    if (job->tasks[first + i].state >= HZB_TASK_FINISHED)
      {
        record->finished[i / 8] |= (guchar) (1u << (i % 8));
        record->finished_bytes = i / 8 + 1;
      }
}

void
hzb_job_pack_progress (const HzbJobs *jobs, const HzbJob *job, guint chunk, HzbProgressRecord *record)
{
  guint first = chunk * jobs->chunk;

  *record = (HzbProgressRecord){ .released = job->releasing };
  if (job->n_tasks > jobs->chunk)
    record->chunk_tasks = jobs->chunk;
  if (job->state == HZB_JOB_CANCELLED || chunk == 0)
    {
      /* A cancelled job's own record no longer says what its tasks use, so the progress says it. */
      record->team = g_strdup (job->spec->team);
      record->cpus = job->spec->cpus;
      record->gpus = job->spec->gpus;
    }
  pack_finished (job, first, MIN (jobs->chunk, job->n_tasks - first), record);
}

static gboolean
is_finished (const HzbProgressRecord *record, guint i)
{
  return i / 8 < record->finished_bytes && record->finished[i / 8] & (1u << (i % 8));
}

static void
mark_done (HzbJobs *jobs, HzbJob *job, guint first, const HzbProgressRecord *record)
{
  for (guint i = first; i < MIN (first + record->chunk_tasks, job->n_tasks); i++)
    {
      HzbTask *task = &job->tasks[i];
      if (is_finished (record, i - first) && (task->state == HZB_TASK_PENDING || task->state == HZB_TASK_UNCONFIRMED))
        hzb_task_set_state (jobs, task, HZB_TASK_DONE, NULL);
    }
}

/* Any part may be the newest, so the released mark of each holds for the tasks of all parts. */
static void
raise_released_mark (HzbJobs *jobs, HzbJob *job, guint released)
{
  job->released = job->releasing = MAX (job->released, released);
  for (guint i = 0; i < job->released; i++)
    if (job->tasks[i].state == HZB_TASK_PENDING)
      hzb_task_set_state (jobs, &job->tasks[i], HZB_TASK_UNCONFIRMED, NULL);
  job->cursor = MAX (job->cursor, job->released);
}

gboolean
hzb_job_apply_progress (HzbJobs *jobs, HzbJob *job, guint chunk, const HzbProgressRecord *record, gboolean *ours)
{
  guint size = record->chunk_tasks;

  if (chunk > job->n_tasks / size)
    return FALSE;
  *ours = job->n_tasks <= MIN (size, jobs->chunk) || size == jobs->chunk;
  mark_done (jobs, job, chunk * size, record);
  raise_released_mark (jobs, job, MIN (record->released, job->n_tasks));
  job->did_well = job->did_well || job->done > 0;
  return TRUE;
}
