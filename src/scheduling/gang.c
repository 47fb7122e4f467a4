#include "gang.h"

#include <math.h>
#include <string.h>

/* A gang starts when there is room for all of it at once. */
gboolean
hzb_gang_place (HzbDispatch *dispatch, HzbJob *job, struct timespec now)
{
  const HzbJobSpec *spec = job->spec;
  GPtrArray *all = dispatch->machines->all;
  g_autofree guint *taken = g_new0 (guint, all->len);
  g_autoptr (GPtrArray) zones = g_ptr_array_new ();
  const HzbShard *shard = dispatch->jobs->shard;
  guint n = job->n_tasks, half = (n + 1) / 2;

  if (job->pending != n || job->released < n || hzb_time_before (now, job->not_before))
    return FALSE;
  if (!hzb_shard_fits (shard, job->team, spec->cpus * n, spec->gpus * n))
    return FALSE;
  for (guint i = 0; i < all->len; i++)
    {
      HzbMachine *machine = all->pdata[i];
      gboolean known = FALSE;
      for (guint z = 0; z < zones->len; z++)
        known = known || g_str_equal (zones->pdata[z], machine->zone);
      if (!known)
        g_ptr_array_add (zones, machine->zone);
    }
  /* samePlace: each zone by itself; otherwise all zones together. */
  for (guint z = 0; z < (spec->same_zone ? zones->len : 1); z++)
    {
      guint left = n;
      g_autoptr (GHashTable) in_zone = g_hash_table_new (g_str_hash, g_str_equal);
      memset (taken, 0, all->len * sizeof *taken);
      while (left)
        {
          HzbMachine *best = NULL;
          guint at = 0;
          double least = INFINITY;
          for (guint i = 0; i < all->len; i++)
            {
              HzbMachine *machine = all->pdata[i];
              guint here = GPOINTER_TO_UINT (g_hash_table_lookup (in_zone, machine->zone));
              double cost;
              if (!hzb_machine_usable (machine) || !hzb_machine_allowed (machine, spec)
                  || (spec->same_zone && !g_str_equal (zones->pdata[z], machine->zone))
                  || (spec->spread && here >= half)
                  || machine->cpus + spec->cpus * (taken[i] + 1) > machine->type->cpus + 1e-6
                  || machine->gpus + spec->gpus * (taken[i] + 1) > machine->type->gpus + 1e-6
                  || machine->memory + spec->memory_gb * (taken[i] + 1) > machine->type->memory_gb + 1e-6)
                continue;
              hzb_estimate_shift (&machine->estimates[job->scheduling_class], now);
              cost = hzb_estimate_mean (&machine->estimates[job->scheduling_class]) + hzb_fetch_s (machine, spec);
              if (cost < least)
                {
                  least = cost;
                  best = machine;
                  at = i;
                }
            }
          if (!best)
            break;
          taken[at]++;
          left--;
          g_hash_table_insert (in_zone, best->zone,
                               GUINT_TO_POINTER (GPOINTER_TO_UINT (g_hash_table_lookup (in_zone, best->zone)) + 1));
        }
      if (!left)
        {
          guint next = 0;
          job->next_attempt++;
          for (guint i = 0; i < all->len; i++)
            for (guint k = 0; k < taken[i]; k++)
              {
                HzbTask *task = &job->tasks[next++];
                task->attempt = job->next_attempt;
                hzb_task_set_state (dispatch->jobs, task, HZB_TASK_RESERVED, all->pdata[i]);
              }
          job->cursor = n;
          return TRUE;
        }
    }
  return FALSE;
}

/* A gang that waits halts list starts of lower classes on machines it could use. */
gboolean
hzb_gang_blocks_machine (HzbDispatch *dispatch, const HzbMachine *machine, guint scheduling_class, struct timespec now)
{
  for (guint i = 0; dispatch->gang_waits && i < dispatch->jobs->active->len; i++)
    {
      const HzbJob *job = dispatch->jobs->active->pdata[i];
      if (job->spec->kind == HZB_JOB_GANG && job->state == HZB_JOB_ACCEPTED && job->pending == job->n_tasks
          && job->scheduling_class >= scheduling_class && !hzb_time_before (now, job->not_before)
          && hzb_machine_allowed (machine, job->spec) && hzb_time_between (job->since, now) > 5)
        return TRUE;
    }
  return FALSE;
}
