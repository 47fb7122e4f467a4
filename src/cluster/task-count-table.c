#include "task-count-table.h"

/* Each job takes about 35 bytes of a heartbeat. */
#define MAX_JOBS_PER_HEARTBEAT 1000u
/* Lifetime of counts that come in partial lists: the leader lists each unfinished job within this time, unless there
 * are more than 30,000 unfinished jobs. */
#define COUNTS_MAX_AGE_S 30.0

typedef struct
{
  guint done, running;
  struct timespec received;
} ReceivedCounts;

struct _HzbTaskCountTable
{
  GHashTable *by_uid; /* job uid -> ReceivedCounts */
  guint next_job;     /* on the leader: index of the first job in the next heartbeat, modulo the number of jobs */
};

HzbTaskCountTable *
hzb_task_count_table_new (void)
{
  HzbTaskCountTable *table = g_new0 (HzbTaskCountTable, 1);
  table->by_uid = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return table;
}

void
hzb_task_count_table_free (HzbTaskCountTable *table)
{
  g_hash_table_unref (table->by_uid);
  g_free (table);
}

void
hzb_task_count_table_advance (HzbTaskCountTable *table)
{
  table->next_job += MAX_JOBS_PER_HEARTBEAT;
}

/* A receiver keeps the counts of jobs that a partial list does not contain. So a partial list also contains jobs
 * without done or running tasks, to replace their earlier counts. */
void
hzb_task_count_table_fill_heartbeat (const HzbTaskCountTable *table, const HzbJobs *jobs, HzbPeerHeartbeat *heartbeat)
{
  const GPtrArray *active = jobs->active;
  gboolean partial = active->len > MAX_JOBS_PER_HEARTBEAT;
  guint first = partial ? table->next_job % active->len : 0;

  heartbeat->partial_counts = partial;
  for (guint i = 0; i < MIN (active->len, MAX_JOBS_PER_HEARTBEAT); i++)
    {
      const HzbJob *job = active->pdata[(first + i) % active->len];
      guint done = job->done + job->finished, running = job->running + job->delegated_running;
      if (done || running || partial)
        hzb_peer_heartbeat_add_counts (heartbeat, job->uid, done, running);
    }
}

static gboolean
is_outdated (gpointer uid, gpointer counts, gpointer now)
{
  return hzb_time_between (((const ReceivedCounts *) counts)->received, *(const struct timespec *) now)
         > COUNTS_MAX_AGE_S;
}

void
hzb_task_count_table_apply_heartbeat (HzbTaskCountTable *table, const HzbPeerHeartbeat *heartbeat, struct timespec now)
{
  if (heartbeat->partial_counts)
    g_hash_table_foreach_remove (table->by_uid, is_outdated, &now);
  else
    g_hash_table_remove_all (table->by_uid);
  for (guint i = 0; i < heartbeat->counts->len; i++)
    {
      const HzbTaskCounts *counts = &g_array_index (heartbeat->counts, HzbTaskCounts, i);
      const ReceivedCounts received = { counts->done, counts->running, now };
      g_hash_table_replace (table->by_uid, g_strdup (counts->uid), g_memdup2 (&received, sizeof received));
    }
}

void
hzb_task_count_table_get (const HzbTaskCountTable *table, const char *uid, guint *done, guint *running)
{
  const ReceivedCounts *counts = g_hash_table_lookup (table->by_uid, uid);
  *done = counts ? counts->done : 0;
  *running = counts ? counts->running : 0;
}
