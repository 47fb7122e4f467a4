#include "demand.h"

#include "headroom.h"
#include "rounding.h"
#include "scheduling-class.h"
#include "task-table.h"

#include <string.h>

/* Bounds on the time within which all tasks of a job should have started. */
#define MIN_START_WITHIN_S 10
#define MAX_START_WITHIN_S 150

/* Fraction of a placed task's work that counts as done: on average, a running task is half done. */
#define PLACED_DONE_FRACTION 0.5

/* The state of hzb_demand_collect(). */
typedef struct
{
  const HzbAutoscaler *autoscaler;
  struct timespec now;
  GPtrArray *all;                /* HzbDemand, collected so far */
  double *cpus_left, *gpus_left; /* by team: the part of the team's limit that the jobs examined so far do not use */
} Collection;

static void
demand_free (gpointer data)
{
  HzbDemand *demand = data;

  g_free (demand->name);
  g_free (demand->occupied_units);
  g_array_unref (demand->job_demands);
  g_free (demand);
}

static HzbDemand *
demand_new (const HzbJobSpec *spec, const char *zone, char *name, const GPtrArray *types)
{
  HzbDemand *demand = g_new0 (HzbDemand, 1);

  demand->spec = spec;
  demand->zone = zone;
  demand->name = name;
  demand->job_demands = g_array_new (FALSE, FALSE, sizeof (HzbJobDemand));
  demand->occupied_units = g_new0 (double, types ? types->len : 0);
  return demand;
}

/* ---- kinds of machines ---- */

/* Returns: (transfer full): the names of all types that hold a task, each followed by a comma */
static char *
list_fitting_types (const HzbMachines *machines, const HzbJobSpec *spec)
{
  GString *names = g_string_new (NULL);

  for (guint t = 0; machines->types && t < machines->types->len; t++)
    {
      const HzbMachineType *type = machines->types->pdata[t];
      if (hzb_machine_type_holds (type, spec))
        g_string_append_printf (names, "%s,", type->name);
    }
  return g_string_free (names, FALSE);
}

/* CPUs of the machines in the zone whose type holds a task. */
static double
cpus_in_zone (const HzbMachines *machines, const HzbJobSpec *spec, const char *zone)
{
  double cpus = 0;

  for (guint i = 0; i < machines->all->len; i++)
    {
      const HzbMachine *machine = machines->all->pdata[i];
      if (machine->type && !machine->scale_in_requested && g_str_equal (machine->zone, zone)
          && hzb_machine_type_holds (machine->type, spec))
        cpus += machine->type->cpus;
    }
  return cpus;
}

/* Returns: (transfer none) (nullable): the zone of a task that is on a machine; NULL: there is none */
static const char *
zone_of_placed_tasks (const HzbJob *job)
{
  const HzbTask *task;

  for (guint k = 0; job->placed && (task = hzb_task_table_next (job->tasks, &k));)
    if (hzb_task_on_machine (task))
      return task->machine->zone;
  return NULL;
}

/* Returns: (transfer none) (nullable): the only zone in which machines are of use for the job; NULL: any. For a job
 * with `samePlace` it is the zone of its placed tasks, or the planned one. If there is none, it is the zone with the
 * most CPUs on machines that hold a task, or the first zone of the first fitting type if there are no such machines. */
static const char *
find_required_zone (const HzbMachines *machines, const HzbJob *job)
{
  const HzbJobSpec *spec = job->spec;
  const char *best = NULL;
  double best_cpus = -1;

  if (spec->zone || !spec->same_zone)
    return spec->zone;
  if ((best = zone_of_placed_tasks (job)) || (best = job->planned_zone))
    return best;
  for (guint t = 0; machines->types && t < machines->types->len; t++)
    {
      const HzbMachineType *type = machines->types->pdata[t];
      for (guint z = 0; hzb_machine_type_holds (type, spec) && type->zones[z]; z++)
        {
          double cpus = cpus_in_zone (machines, spec, type->zones[z]);
          if (cpus > best_cpus)
            {
              best_cpus = cpus;
              best = type->zones[z];
            }
        }
    }
  return best;
}

gboolean
hzb_demand_kind_fits (const HzbDemand *demand, const HzbMachineKind *kind)
{
  return hzb_machine_type_holds (kind->type, demand->spec) && ((demand->spec->spot && !demand->services) || !kind->spot)
         && (!demand->zone || g_str_equal (demand->zone, kind->zone));
}

gboolean
hzb_demand_machine_fits (const HzbDemand *demand, const HzbMachine *machine)
{
  HzbMachineKind kind = { machine->type, machine->zone, machine->spot };

  return hzb_demand_kind_fits (demand, &kind);
}

/* ---- collection of demands ---- */

double
hzb_demand_start_within_s (const HzbAutoscaler *autoscaler, const HzbJob *job, struct timespec now)
{
  double slack = hzb_job_slack_s (autoscaler->settings, job, now, NULL);

  if (job->spec->kind == HZB_JOB_GANG || job->spec->kind == HZB_JOB_SERVICE)
    return 0; /* All tasks are needed at the same time. */
  return CLAMP (autoscaler->start_slack_fraction * slack, MIN_START_WITHIN_S, MAX_START_WITHIN_S);
}

/* Number of tasks on scale-in candidates and on machines that the leader has recalled from a leaseholder. These
 * machines take no new tasks. Such a task ends there or is moved, and needs no other machine until then. */
static guint
tasks_on_leaving_machines (const HzbJob *job)
{
  guint n = MIN (job->delegated_on_recalled_machines, job->placed);
  const HzbTask *task;

  for (guint k = 0; job->placed && (task = hzb_task_table_next (job->tasks, &k));)
    n += hzb_task_on_machine (task) && task->machine->scale_in_candidate;
  return MIN (n, job->placed);
}

/* Returns: how many of `tasks` can run at the same time within what is left of the team's limit */
static double
limit_to_quota (const Collection *collection, const HzbJob *job, double tasks)
{
  const HzbJobSpec *spec = job->spec;

  if (spec->cpus > 0)
    tasks = MIN (tasks, hzb_quotient_floor (collection->cpus_left[job->team], spec->cpus));
  if (spec->gpus > 0)
    tasks = MIN (tasks, hzb_quotient_floor (collection->gpus_left[job->team], spec->gpus));
  return tasks;
}

/* Returns: (transfer none): the demand for the kinds of machines that can hold a task of the job. Jobs share a demand
 * only if the same kinds fit them: a large task cannot run on small machines. */
static HzbDemand *
find_or_add_demand (Collection *collection, const HzbJob *job)
{
  const HzbJobSpec *spec = job->spec;
  const HzbMachines *machines = collection->autoscaler->machines;
  g_autofree char *types = list_fitting_types (machines, spec);
  const char *zone = find_required_zone (machines, job);
  g_autofree char *name = g_strdup_printf ("%s%s%s%s%s", types, zone ? "@" : "", zone ? zone : "",
                                           spec->spot ? "" : "!ordinary", spec->gpus > 0 ? "!gpus" : "");
  HzbDemand *demand;

  for (guint i = 0; i < collection->all->len; i++)
    {
      demand = collection->all->pdata[i];
      if (g_str_equal (demand->name, name))
        return demand;
    }
  demand = demand_new (spec, zone, g_steal_pointer (&name), machines->types);
  demand->gpus = spec->gpus > 0;
  g_ptr_array_add (collection->all, demand);
  return demand;
}

static void
add_job_demand (Collection *collection, const HzbJob *job, double tasks, double placed, double runnable)
{
  const HzbAutoscaler *autoscaler = collection->autoscaler;
  const GPtrArray *types = autoscaler->machines->types;
  HzbDemand *demand = find_or_add_demand (collection, job);
  double task_units = hzb_demand_task_units (demand, job->spec, types);
  HzbJobDemand job_demand = { .task_units = task_units, .max_units = runnable * task_units };

  job_demand.unit_seconds_left = (tasks - placed * PLACED_DONE_FRACTION) * task_units * hzb_job_mean_s (job);
  job_demand.start_within_s = hzb_demand_start_within_s (autoscaler, job, collection->now);
  hzb_demand_add_job (demand, job->spec, types, &job_demand);
}

static void
collect_job (Collection *collection, const HzbJob *job)
{
  const HzbJobSpec *spec = job->spec;
  double placed = job->placed - tasks_on_leaving_machines (job), tasks, runnable;

  /* Tasks on leaving machines need no other room, but count against the team's limit. */
  collection->cpus_left[job->team] -= (job->placed - placed) * spec->cpus;
  collection->gpus_left[job->team] -= (job->placed - placed) * spec->gpus;
  tasks = job->pending + job->queued + job->unconfirmed + placed;
  /* A job that has failed, and of which no task has succeeded or run for a while, runs one task at a time. Its demand
   * covers at most one task in addition to the placed ones. */
  if (job->failures && !job->proven_runnable)
    tasks = MIN (tasks, placed + 1);
  runnable = limit_to_quota (collection, job, tasks);
  if (runnable < 1)
    return;
  collection->cpus_left[job->team] -= runnable * spec->cpus;
  if (spec->kind == HZB_JOB_SERVICE && spec->gpus <= 0)
    return; /* collect_services() adds the demand of all services together. */
  collection->gpus_left[job->team] -= runnable * spec->gpus;
  add_job_demand (collection, job, tasks, placed, runnable);
}

/* Adds a demand for the replicas of services in each zone of the headroom plan. Replicas do not end, so they need their
 * room permanently, in addition to the headroom that is kept free. */
static void
collect_services (Collection *collection)
{
  const HzbAutoscaler *autoscaler = collection->autoscaler;
  HzbHeadroom headroom = hzb_headroom_plan (autoscaler->jobs, autoscaler->machines);
  const GPtrArray *types = autoscaler->machines->types;
  g_autofree char *names = headroom.spec ? list_fitting_types (autoscaler->machines, headroom.spec) : NULL;

  for (guint z = 0; z < headroom.n_zones; z++)
    {
      const HzbHeadroomZone *zone = &headroom.zones[z];
      HzbDemand *demand =
          demand_new (headroom.spec, zone->zone, g_strdup_printf ("%s@%s!ordinary!services", names, zone->zone), types);
      HzbJobDemand job_demand = { .max_units = zone->placed + zone->waiting + zone->free,
                                  .task_units = headroom.spec->cpus };

      demand->services = TRUE;
      hzb_demand_add_job (demand, headroom.spec, types, &job_demand);
      g_ptr_array_add (collection->all, demand);
    }
}

/* Sorts demands by decreasing length of their names. The name lists the types that hold a task, and the constraints on
 * the choice among them. */
static gint
compare_name_lengths (gconstpointer a, gconstpointer b)
{
  const HzbDemand *x = *(HzbDemand *const *) a, *y = *(HzbDemand *const *) b;
  return (int) strlen (y->name) - (int) strlen (x->name);
}

GPtrArray *
hzb_demand_collect (const HzbAutoscaler *autoscaler, struct timespec now)
{
  const HzbShard *shard = autoscaler->jobs->shard;
  guint n_teams = autoscaler->settings->teams->len;
  g_autofree double *cpus_left = g_memdup2 (shard->cpus_allowed, n_teams * sizeof (double));
  g_autofree double *gpus_left = g_memdup2 (shard->gpus_allowed, n_teams * sizeof (double));
  Collection collection = { autoscaler, now, g_ptr_array_new_with_free_func (demand_free), cpus_left, gpus_left };

  for (guint i = 0; i < autoscaler->jobs->active->len; i++)
    {
      const HzbJob *job = autoscaler->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && (job->placed || !hzb_time_before (now, job->not_before)))
        collect_job (&collection, job);
    }
  collect_services (&collection);
  g_ptr_array_sort (collection.all, compare_name_lengths);
  return collection.all;
}
