#include "gang.h"

#include "task-table.h"

#include <math.h>
#include <string.h>

/* Seconds that a gang must have waited before it blocks machines for other work. */
#define BLOCK_AFTER_S 5

/* A tentative placement of a gang. */
typedef struct
{
  HzbDispatch *dispatch;
  HzbJob *job;
  struct timespec now;
  const char *zone;      /* (nullable): the only zone that may be used; NULL: any zone */
  guint *n_tasks;        /* by index of the machine: tasks of the gang placed on it */
  GHashTable *n_by_zone; /* name of the zone -> tasks of the gang placed in it */
} Placement;

/* Returns: (transfer container) (element-type utf8): the zones that have machines */
static GPtrArray *
list_zones (const HzbMachines *machines)
{
  GPtrArray *zones = g_ptr_array_new ();

  for (guint i = 0; i < machines->all->len; i++)
    {
      const HzbMachine *machine = machines->all->pdata[i];
      if (!g_ptr_array_find_with_equal_func (zones, machine->zone, g_str_equal, NULL))
        g_ptr_array_add (zones, machine->zone);
    }
  return zones;
}

static guint
tasks_in_zone (const Placement *placement, const char *zone)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (placement->n_by_zone, zone));
}

static gboolean
fits_one_more (const Placement *placement, const HzbMachine *machine, guint n_placed)
{
  const HzbJobSpec *spec = placement->job->spec;
  guint max_in_zone = (placement->job->n_tasks + 1) / 2; /* the limit for a job with `spread` */

  return hzb_machine_is_usable (machine) && hzb_machine_is_eligible (machine, spec)
         && (!placement->zone || g_str_equal (placement->zone, machine->zone))
         && (!spec->spread || tasks_in_zone (placement, machine->zone) < max_in_zone)
         && hzb_machine_has_room_for (machine, spec, n_placed + 1);
}

/* Expected seconds until a task that is sent to the machine could start. */
static double
start_delay_s (const Placement *placement, HzbMachine *machine)
{
  HzbEstimate *estimate = &machine->estimates[placement->job->scheduling_class];

  hzb_estimate_shift (estimate, placement->now);
  return hzb_estimate_mean (estimate) + hzb_machine_image_fetch_s (machine, placement->job->spec);
}

/* Places one more task on the machine where it can start soonest. Returns: FALSE if no machine has room */
static gboolean
place_next_task (Placement *placement)
{
  GPtrArray *all = placement->dispatch->machines->all;
  HzbMachine *best = NULL;
  guint best_index = 0;
  double min_delay = INFINITY;

  for (guint i = 0; i < all->len; i++)
    {
      double delay;
      if (!fits_one_more (placement, all->pdata[i], placement->n_tasks[i]))
        continue;
      delay = start_delay_s (placement, all->pdata[i]);
      if (delay < min_delay)
        {
          min_delay = delay;
          best = all->pdata[i];
          best_index = i;
        }
    }
  if (!best)
    return FALSE;
  placement->n_tasks[best_index]++;
  g_hash_table_insert (placement->n_by_zone, best->zone, GUINT_TO_POINTER (tasks_in_zone (placement, best->zone) + 1));
  return TRUE;
}

/* Searches for room for all tasks of the gang, in one zone or, if @zone is NULL, in all zones. Returns: whether there
 * is room; @n_tasks then has the number of tasks by index of the machine */
static gboolean
find_placement (HzbDispatch *dispatch, HzbJob *job, const char *zone, guint *n_tasks, struct timespec now)
{
  g_autoptr (GHashTable) n_by_zone = g_hash_table_new (g_str_hash, g_str_equal);
  Placement placement = { dispatch, job, now, zone, n_tasks, n_by_zone };

  memset (n_tasks, 0, dispatch->machines->all->len * sizeof *n_tasks);
  for (guint n_left = job->n_tasks; n_left; n_left--)
    if (!place_next_task (&placement))
      return FALSE;
  return TRUE;
}

/* Reserves the room. All tasks of a gang start under the same attempt number, by which workers identify its members. */
static void
reserve_placement (HzbDispatch *dispatch, HzbJob *job, const guint *n_tasks)
{
  GPtrArray *all = dispatch->machines->all;
  guint next = 0;

  job->last_attempt++;
  for (guint i = 0; i < all->len; i++)
    for (guint k = 0; k < n_tasks[i]; k++)
      {
        HzbTask *task = hzb_task_table_get (job->tasks, next++);
        task->attempt = job->last_attempt;
        hzb_task_set_state (dispatch->jobs, task, HZB_TASK_RESERVED, all->pdata[i]);
      }
  job->cursor = job->n_tasks;
}

gboolean
hzb_gang_place (HzbDispatch *dispatch, HzbJob *job, struct timespec now)
{
  const HzbJobSpec *spec = job->spec;
  guint n = job->n_tasks;
  g_autofree guint *n_tasks = g_new0 (guint, dispatch->machines->all->len);
  g_autoptr (GPtrArray) zones = NULL;

  if (job->pending != n || job->released < n || hzb_time_before (now, job->not_before)
      || !hzb_shard_fits (dispatch->jobs->shard, job->team, spec->cpus * n, spec->gpus * n))
    return FALSE;
  zones = list_zones (dispatch->machines);
  /* With `samePlace` each zone is tried separately, otherwise all zones together. */
  for (guint z = 0; z < (spec->same_zone ? zones->len : 1); z++)
    if (find_placement (dispatch, job, spec->same_zone ? zones->pdata[z] : NULL, n_tasks, now))
      {
        reserve_placement (dispatch, job, n_tasks);
        return TRUE;
      }
  return FALSE;
}

/* ---- blocking of machines ---- */

/* Whether the machine, once it is up and its tasks have ended, can take tasks of the job. */
static gboolean
may_take_tasks (const HzbMachine *machine, const HzbJobSpec *spec, struct timespec now)
{
  return machine->type && hzb_machine_is_up_or_booting (machine, now) && !machine->scale_in_requested
         && !machine->scale_in_candidate && !machine->unreachable && hzb_machine_is_eligible (machine, spec);
}

/* Returns: how many tasks of the gang the machines of the zone (nullable: of all zones) hold if no other work runs on
 * them but replicas of services, at most @max */
static guint
count_held (const HzbMachines *machines, const HzbJobSpec *spec, const char *zone, guint max, struct timespec now)
{
  guint n = 0;

  for (guint i = 0; i < machines->all->len && n < max; i++)
    {
      const HzbMachine *machine = machines->all->pdata[i];
      if ((!zone || g_str_equal (machine->zone, zone)) && may_take_tasks (machine, spec, now))
        n += MIN (hzb_machine_speed (machine, spec), max - n);
    }
  return n;
}

static gboolean
fits_on_machines (const HzbMachines *machines, const HzbJob *job, struct timespec now)
{
  const HzbJobSpec *spec = job->spec;
  guint n = job->n_tasks, total = 0;
  g_autoptr (GPtrArray) zones = NULL;

  if (!spec->same_zone && !spec->spread)
    return count_held (machines, spec, NULL, n, now) == n;
  zones = list_zones (machines);
  for (guint z = 0; z < zones->len; z++)
    {
      guint held = count_held (machines, spec, zones->pdata[z], spec->spread ? (n + 1) / 2 : n, now);
      total = spec->same_zone ? MAX (total, held) : total + held;
    }
  return total >= n;
}

void
hzb_gang_update_blocking (HzbDispatch *dispatch, HzbJob *job, struct timespec now)
{
  const HzbJobSpec *spec = job->spec;

  job->blocks_machines =
      job->pending == job->n_tasks && hzb_time_between (job->since, now) > BLOCK_AFTER_S
      && hzb_shard_fits (dispatch->jobs->shard, job->team, spec->cpus * job->n_tasks, spec->gpus * job->n_tasks)
      && fits_on_machines (dispatch->machines, job, now);
}

gboolean
hzb_gang_blocks_machine (HzbDispatch *dispatch, const HzbMachine *machine, guint scheduling_class, struct timespec now)
{
  for (guint i = 0; dispatch->gang_waits && i < dispatch->jobs->active->len; i++)
    {
      const HzbJob *job = dispatch->jobs->active->pdata[i];
      if (job->blocks_machines && job->state == HZB_JOB_ACCEPTED && job->pending == job->n_tasks
          && job->scheduling_class >= scheduling_class && !hzb_time_before (now, job->not_before)
          && hzb_machine_is_eligible (machine, job->spec))
        return TRUE;
    }
  return FALSE;
}
