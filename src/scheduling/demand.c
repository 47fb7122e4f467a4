#include "demand.h"

#include "headroom.h"
#include "rounding.h"
#include "scheduling-class.h"

#include <math.h>
#include <string.h>

/* Bounds of the time within which all tasks of a job should have started. */
#define LEAST_START_WITHIN_S 10
#define MOST_START_WITHIN_S 150

/* Part of a placed task's work that counts as done: on the whole, a task that runs is half over. */
#define RUNNING_PART_DONE 0.5

/* A machine that boots counts until it has taken this many times as long as its type needs. */
#define BOOT_FACTOR 2.5
#define BOOT_LEAST_S 30

/* Seconds of use over which the price of the boot time is spread. */
#define BOOT_SPREAD_S 80

/* The demands while they are collected. */
typedef struct
{
  const HzbAutoscaler *autoscaler;
  struct timespec now;
  GPtrArray *all;                /* HzbDemand */
  double *cpus_left, *gpus_left; /* by team: of its limit, after the jobs so far */
} Collection;

static void
demand_free (gpointer data)
{
  HzbDemand *demand = data;

  g_free (demand->name);
  g_array_unref (demand->parts);
  g_free (demand);
}

static HzbDemand *
demand_new (const HzbJobSpec *spec, const char *zone, char *name)
{
  HzbDemand *demand = g_new0 (HzbDemand, 1);

  demand->spec = spec;
  demand->zone = zone;
  demand->name = name;
  demand->parts = g_array_new (FALSE, FALSE, sizeof (HzbDemandPart));
  return demand;
}

/* ---- which kinds of machines ---- */

GArray *
hzb_machine_kinds (const HzbMachines *machines)
{
  GArray *kinds = g_array_new (FALSE, FALSE, sizeof (HzbMachineKind));

  for (guint t = 0; machines->types && t < machines->types->len; t++)
    {
      const HzbMachineType *type = machines->types->pdata[t];
      for (guint z = 0; type->zones[z]; z++)
        for (gint spot = 0; spot < 2; spot++)
          {
            HzbMachineKind kind = { type, type->zones[z], spot };
            g_array_append_val (kinds, kind);
          }
    }
  return kinds;
}

/* Returns: (transfer full): the names of all types that hold a task, each with a comma behind it */
static char *
types_holding (const HzbMachines *machines, const HzbJobSpec *spec)
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

/* CPUs of the machines in the zone that hold a task. */
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

/* Returns: (nullable): the only zone for the job's tasks. With `samePlace` it is the one that has the most machines for
 * them, or else the first that could have any. */
static const char *
zone_for (const HzbMachines *machines, const HzbJobSpec *spec)
{
  const char *best = NULL;
  double most = -1;

  if (spec->zone || !spec->same_zone)
    return spec->zone;
  for (guint t = 0; machines->types && t < machines->types->len; t++)
    {
      const HzbMachineType *type = machines->types->pdata[t];
      for (guint z = 0; hzb_machine_type_holds (type, spec) && type->zones[z]; z++)
        {
          double cpus = cpus_in_zone (machines, spec, type->zones[z]);
          if (cpus > most)
            {
              most = cpus;
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

/* ---- collecting ---- */

/* Within how many seconds from now all tasks of the job should have started. */
static double
start_within_s (const Collection *collection, const HzbJob *job)
{
  const HzbAutoscaler *autoscaler = collection->autoscaler;
  double slack = hzb_job_slack_s (autoscaler->settings, job, collection->now, NULL);

  if (job->spec->kind == HZB_JOB_GANG || job->spec->kind == HZB_JOB_SERVICE)
    return 0; /* All tasks are needed together. */
  return CLAMP (autoscaler->patience * slack, LEAST_START_WITHIN_S, MOST_START_WITHIN_S);
}

/* Tasks on machines that take no more: they end there or are moved, and need no other machine until then. */
static guint
tasks_on_leaving_machines (const HzbJob *job)
{
  guint n = MIN (job->delegated_on_recalled_machines, job->placed);

  for (guint k = 0; job->placed && k < job->n_tasks; k++)
    n += hzb_task_on_machine (&job->tasks[k]) && job->tasks[k].machine->scale_in_candidate;
  return MIN (n, job->placed);
}

/* Of so many tasks, how many the rest of the team's limit lets run at the same time. */
static double
allowed_by_limit (const Collection *collection, const HzbJob *job, double tasks)
{
  const HzbJobSpec *spec = job->spec;

  if (spec->cpus > 0)
    tasks = MIN (tasks, floor (collection->cpus_left[job->team] / spec->cpus + HZB_QUOTIENT_ROUNDING));
  if (spec->gpus > 0)
    tasks = MIN (tasks, floor (collection->gpus_left[job->team] / spec->gpus + HZB_QUOTIENT_ROUNDING));
  return tasks;
}

/* Returns: (transfer none): the demand for the kinds of machines that hold a task of the job. The kinds count, not what
 * the job says of them: a large task is not served by small machines. */
static HzbDemand *
demand_for (Collection *collection, const HzbJobSpec *spec)
{
  const HzbMachines *machines = collection->autoscaler->machines;
  g_autofree char *types = types_holding (machines, spec);
  const char *zone = zone_for (machines, spec);
  g_autofree char *name = g_strdup_printf ("%s%s%s%s%s", types, zone ? "@" : "", zone ? zone : "",
                                           spec->spot ? "" : "!ordinary", spec->gpus > 0 ? "!gpus" : "");
  HzbDemand *demand;

  for (guint i = 0; i < collection->all->len; i++)
    {
      demand = collection->all->pdata[i];
      if (g_str_equal (demand->name, name))
        return demand;
    }
  demand = demand_new (spec, zone, g_steal_pointer (&name));
  demand->gpus = spec->gpus > 0;
  g_ptr_array_add (collection->all, demand);
  return demand;
}

static void
add_part (Collection *collection, const HzbJob *job, double tasks, double placed, double at_once)
{
  const HzbJobSpec *spec = job->spec;
  HzbDemand *demand = demand_for (collection, spec);
  double unit = demand->gpus ? spec->gpus : spec->cpus;
  HzbDemandPart part = { .unit = unit, .at_once = at_once * unit };

  part.work_s = (tasks - placed * RUNNING_PART_DONE) * unit * hzb_job_mean_s (job);
  part.within_s = start_within_s (collection, job);
  g_array_append_val (demand->parts, part);
  if (spec->cpus > 0)
    demand->memory_per_cpu = MAX (demand->memory_per_cpu, spec->memory_gb / spec->cpus);
}

static void
collect_job (Collection *collection, const HzbJob *job)
{
  const HzbJobSpec *spec = job->spec;
  double placed = job->placed - tasks_on_leaving_machines (job), tasks, at_once;

  /* Tasks on leaving machines need no room, but count against the team's limit all the same. */
  collection->cpus_left[job->team] -= (job->placed - placed) * spec->cpus;
  collection->gpus_left[job->team] -= (job->placed - placed) * spec->gpus;
  tasks = job->pending + job->queued + job->unconfirmed + placed;
  /* A job that has only failed so far is tried one task at a time, and gets no more machines than that takes. */
  if (job->failures && !job->did_well)
    tasks = MIN (tasks, placed + 1);
  at_once = allowed_by_limit (collection, job, tasks);
  if (at_once < 1)
    return;
  collection->cpus_left[job->team] -= at_once * spec->cpus;
  if (spec->kind == HZB_JOB_SERVICE && spec->gpus <= 0)
    return; /* collect_services() has all of these together. */
  collection->gpus_left[job->team] -= at_once * spec->gpus;
  add_part (collection, job, tasks, placed, at_once);
}

/* Replicas never end: the room that they take is taken for good, and a little more is kept free. */
static void
collect_services (Collection *collection)
{
  const HzbAutoscaler *autoscaler = collection->autoscaler;
  HzbHeadroom headroom = hzb_headroom_plan (autoscaler->jobs, autoscaler->machines);
  g_autofree char *types = headroom.spec ? types_holding (autoscaler->machines, headroom.spec) : NULL;

  for (guint z = 0; z < headroom.n_zones; z++)
    {
      const HzbHeadroomZone *zone = &headroom.zones[z];
      HzbDemand *demand =
          demand_new (headroom.spec, zone->zone, g_strdup_printf ("%s@%s!ordinary!services", types, zone->zone));
      HzbDemandPart part = { .at_once = zone->placed + zone->waiting + zone->free, .unit = headroom.spec->cpus };

      demand->services = TRUE;
      if (headroom.spec->cpus > 0)
        demand->memory_per_cpu = headroom.spec->memory_gb / headroom.spec->cpus;
      g_array_append_val (demand->parts, part);
      g_ptr_array_add (collection->all, demand);
    }
}

/* The demand with the longest name first. The name lists the types that hold a task, and what limits the choice among
 * them. */
static gint
longest_name_first (gconstpointer a, gconstpointer b)
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
  g_ptr_array_sort (collection.all, longest_name_first);
  return collection.all;
}

/* ---- how many units, at what price ---- */

double
hzb_demand_units (const HzbDemand *demand, double dearness)
{
  double sum = 0, slack = cbrt (MAX (dearness, 1)), largest_task = 0;

  for (guint i = 0; i < demand->parts->len; i++)
    {
      const HzbDemandPart *part = &g_array_index (demand->parts, HzbDemandPart, i);
      sum += part->within_s > 0 ? MIN (part->at_once, part->work_s / (part->within_s * slack)) : part->at_once;
      largest_task = MAX (largest_task, part->unit);
    }
  /* However little work there is, it needs room for its largest task, at any price. */
  return MAX (sum, largest_task);
}

double
hzb_demand_useful_units (const HzbDemand *demand, const HzbMachineType *type)
{
  double cpus = type->cpus;

  if (demand->gpus)
    return type->gpus;
  if (demand->memory_per_cpu > 0)
    cpus = MIN (cpus, type->memory_gb / demand->memory_per_cpu);
  return cpus;
}

double
hzb_demand_unit_price (const HzbDemand *demand, const HzbMachineType *type, gboolean spot)
{
  double units = hzb_demand_useful_units (demand, type);

  return units > 0 ? (spot ? type->spot_price : type->price) / units : INFINITY;
}

double
hzb_demand_price_with_boot (const HzbMachineType *type, double price)
{
  return price * (1 + type->boot_s / BOOT_SPREAD_S);
}

double
hzb_demand_lowest_price (const HzbAutoscaler *autoscaler, const HzbDemand *demand, gboolean with_boot)
{
  g_autoptr (GArray) kinds = hzb_machine_kinds (autoscaler->machines);
  double least = INFINITY;

  for (guint i = 0; i < kinds->len; i++)
    {
      const HzbMachineKind *kind = &g_array_index (kinds, HzbMachineKind, i);
      double price;
      if (!hzb_demand_kind_fits (demand, kind))
        continue;
      price = hzb_demand_unit_price (demand, kind->type, kind->spot);
      least = MIN (least, with_boot ? hzb_demand_price_with_boot (kind->type, price) : price);
    }
  return least;
}

/* ---- what there is ---- */

static gboolean
is_or_will_be_up (const HzbMachine *machine, struct timespec now)
{
  switch (machine->state)
    {
    case HZB_MACHINE_ACTIVE:
    case HZB_MACHINE_UNVERIFIED:
    case HZB_MACHINE_LEASED:
      return TRUE;
    case HZB_MACHINE_BOOTING:
      return hzb_time_between (machine->rented, now) < MAX (BOOT_LEAST_S, BOOT_FACTOR * machine->type->boot_s);
    default:
      return FALSE;
    }
}

double
hzb_demand_supply (const HzbAutoscaler *autoscaler, const HzbDemand *demand, struct timespec now)
{
  double have = 0;

  for (guint i = 0; i < autoscaler->machines->all->len; i++)
    {
      const HzbMachine *machine = autoscaler->machines->all->pdata[i];
      if (!machine->type || machine->scale_in_requested || machine->scale_in_candidate
          || !hzb_demand_machine_fits (demand, machine) || (machine->reserved_for_services && !demand->services)
          || !is_or_will_be_up (machine, now))
        continue;
      have += hzb_demand_useful_units (demand, machine->type)
              - (demand->services || demand->gpus ? 0 : machine->service_cpus);
    }
  return have;
}
