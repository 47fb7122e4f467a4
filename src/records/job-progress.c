#include "job-progress.h"
#include "json.h"
#include "task.h"

#include <string.h>

guint
hzb_job_chunks (const HzbJobs *jobs, const HzbJob *job)
{
  return (job->n_tasks + jobs->chunk - 1) / jobs->chunk;
}

cJSON *
hzb_job_pack_progress (const HzbJobs *jobs, const HzbJob *job, guint chunk)
{
  cJSON *value = cJSON_CreateObject ();
  guint first = chunk * jobs->chunk, n = MIN (jobs->chunk, job->n_tasks - first), done = 0;
  g_autofree guchar *bits = g_new0 (guchar, (n + 7) / 8);
  guint top = 0;

  for (guint i = 0; i < n; i++)
    if (job->tasks[first + i].state >= HZB_TASK_FINISHED)
      {
        bits[i / 8] |= (guchar) (1u << (i % 8));
        top = i / 8 + 1;
        done++;
      }
  cJSON_AddNumberToObject (value, "released", job->releasing);
  if (job->n_tasks > jobs->chunk)
    cJSON_AddNumberToObject (value, "of", jobs->chunk);
  if (job->state == HZB_JOB_CANCELLED || chunk == 0)
    {
      /* Kept beside the bits: a cancelled job's own record no longer says what its tasks took. */
      cJSON_AddStringToObject (value, "team", job->spec->team);
      cJSON_AddNumberToObject (value, "cpus", job->spec->cpus);
      cJSON_AddNumberToObject (value, "gpus", job->spec->gpus);
    }
  if (done)
    {
      g_autofree char *text = g_base64_encode (bits, top);
      cJSON_AddStringToObject (value, "done", text);
    }
  return value;
}

gboolean
hzb_job_read_progress (HzbJobs *jobs, HzbJob *job, guint chunk, const cJSON *value, gboolean *ours)
{
  double of = hzb_json_number (value, "of", HZB_CHUNK_TASKS_SCHEMA_1);
  guint size = (guint) CLAMP (of, 1, HZB_MAX_TASKS), first;
  const char *text = hzb_json_text (value, "done");
  gsize length = 0;
  g_autofree guchar *bits = text && *text ? g_base64_decode (text, &length) : NULL;
  guint released = MIN ((guint) hzb_json_number (value, "released", 0), job->n_tasks);

  if (chunk > job->n_tasks / size)
    return FALSE;
  first = chunk * size;
  *ours = job->n_tasks <= MIN (size, jobs->chunk) || size == jobs->chunk;
  for (guint i = first; i < MIN (first + size, job->n_tasks); i++)
    {
      guint k = i - first;
      HzbTask *task = &job->tasks[i];
      if (k / 8 < length && bits[k / 8] & (1u << (k % 8))
          && (task->state == HZB_TASK_PENDING || task->state == HZB_TASK_UNCONFIRMED))
        hzb_task_set_state (jobs, task, HZB_TASK_DONE, NULL);
    }
  /* Any part may be the newest, so its mark holds for the tasks of all parts. */
  job->released = job->releasing = MAX (job->released, released);
  for (guint i = 0; i < job->released; i++)
    if (job->tasks[i].state == HZB_TASK_PENDING)
      hzb_task_set_state (jobs, &job->tasks[i], HZB_TASK_UNCONFIRMED, NULL);
  job->cursor = MAX (job->cursor, job->released);
  job->did_well = job->did_well || job->done > 0;
  return TRUE;
}
