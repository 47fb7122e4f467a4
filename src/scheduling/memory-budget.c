#include "memory-budget.h"

#include "task-table.h"

#define COUNT_INTERVAL_S 1.0

/* Of the memory of the process; the rest is for running tasks, machines, connections and messages. */
#define JOBS_FRACTION 0.5
#define BYTES_PER_MB (1024.0 * 1024.0)

/* One job may take one part in so many of what is left. */
#define PARTS_LEFT 16

/* A job without its tasks: its submission, its entry in the registry, and its share of an acceptance record. */
#define JOB_BYTES 2048u

static gsize
job_bytes (guint n_tasks)
{
  return JOB_BYTES + hzb_task_table_bytes (n_tasks);
}

static void
count_jobs (HzbMemoryBudget *budget, const HzbJobs *jobs)
{
  GHashTableIter iter;
  gpointer value;

  budget->used_bytes = 0;
  g_hash_table_iter_init (&iter, jobs->by_uid);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HzbJob *job = value;
      if (job->state == HZB_JOB_ACCEPTED)
        budget->used_bytes += job_bytes (job->n_tasks);
    }
}

gboolean
hzb_memory_budget_take (HzbMemoryBudget *budget, const HzbJobs *jobs, guint n_tasks)
{
  double limit = jobs->settings->mem_mb * BYTES_PER_MB * JOBS_FRACTION;
  struct timespec now = hzb_clock_now (jobs->clock);

  if (limit <= 0)
    return TRUE;
  if (!hzb_time_before (now, budget->next_count))
    {
      count_jobs (budget, jobs);
      budget->next_count = hzb_time_plus (now, COUNT_INTERVAL_S);
    }
  if ((double) job_bytes (n_tasks) > (limit - (double) budget->used_bytes) / PARTS_LEFT)
    return FALSE;
  budget->used_bytes += job_bytes (n_tasks);
  return TRUE;
}
