#include "autoscaler.h"
#include "headroom.h"
#include "scheduling-class.h"

#include <math.h>
#include <string.h>

typedef struct
{
  struct timespec until;
  double pause;
} Refusal;

/* One job's part of what machines are needed for. */
typedef struct
{
  double work_s;   /* unit-seconds left */
  double at_once;  /* units that can be in use at once */
  double within_s; /* how soon its tasks should all have started */
  double unit;     /* of one task */
} Part;

/* Work that the same machines may do. Its unit is the CPU, or the GPU where it uses any. */
typedef struct
{
  const HzbJobSpec *spec; /* one of its jobs: what holds it, zone and kind are the same for all */
  const char *zone;       /* the only one; NULL: any */
  char *name;
  gboolean gpus;
  gboolean services; /* room kept for replicas, on machines that the cloud doesn't take back */
  GArray *parts;     /* Part */
  double memory_per_cpu;
} Demand;

HzbAutoscaler *
hzb_autoscaler_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings)
{
  HzbAutoscaler *autoscaler = g_new0 (HzbAutoscaler, 1);
  autoscaler->jobs = jobs;
  autoscaler->machines = machines;
  autoscaler->settings = settings;
  autoscaler->idle_s = 40;
  autoscaler->patience = 0.6;
  autoscaler->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return autoscaler;
}

void
hzb_autoscaler_free (HzbAutoscaler *autoscaler)
{
  g_hash_table_unref (autoscaler->refused);
  g_free (autoscaler);
}

static char *
offer_name (const HzbMachineType *type, const char *zone, gboolean spot)
{
  return g_strdup_printf ("%s %s %s", type->name, zone, spot ? "spot" : "ordinary");
}

void
hzb_autoscaler_note_refused (HzbAutoscaler *autoscaler, const HzbScaleOutRequest *rental, struct timespec now)
{
  char *name = offer_name (rental->type, rental->zone, rental->spot);
  Refusal *refusal = g_hash_table_lookup (autoscaler->refused, name);
  if (!refusal)
    {
      refusal = g_new0 (Refusal, 1);
      g_hash_table_insert (autoscaler->refused, g_strdup (name), refusal);
    }
  refusal->pause = CLAMP (refusal->pause * 1.5, 6, 30);
  refusal->until = hzb_time_plus (now, refusal->pause);
  g_free (name);
}

void
hzb_autoscaler_note_granted (HzbAutoscaler *autoscaler, const HzbScaleOutRequest *rental)
{
  g_autofree char *name = offer_name (rental->type, rental->zone, rental->spot);
  g_hash_table_remove (autoscaler->refused, name);
}

static void
demand_free (gpointer data)
{
  g_free (((Demand *) data)->name);
  g_array_unref (((Demand *) data)->parts);
  g_free (data);
}

static gint
by_choice (gconstpointer a, gconstpointer b)
{
  /* What fits fewer machines is served first: what is rented for it can serve the others too. */
  const Demand *x = *(Demand *const *) a, *y = *(Demand *const *) b;
  return (int) strlen (y->name) - (int) strlen (x->name);
}

/* Within what time from now all of a job's tasks should have been started. */
static double
start_within_s (HzbAutoscaler *autoscaler, const HzbJob *job, struct timespec now)
{
  double slack = hzb_job_slack_s (autoscaler->settings, job, now, NULL);
  return CLAMP (autoscaler->patience * slack, 10, 150);
}

static char *
types_holding (HzbAutoscaler *autoscaler, const HzbJobSpec *spec)
{
  GString *names = g_string_new (NULL);
  for (guint t = 0; autoscaler->machines->types && t < autoscaler->machines->types->len; t++)
    if (hzb_type_holds (autoscaler->machines->types->pdata[t], spec))
      g_string_append_printf (names, "%s,", ((HzbMachineType *) autoscaler->machines->types->pdata[t])->name);
  return g_string_free (names, FALSE);
}

/* All tasks of the job go to one zone: the one that has most machines for it, or else the first that could. */
static const char *
zone_for (HzbAutoscaler *autoscaler, const HzbJobSpec *spec)
{
  const char *best = NULL;
  double most = -1;

  if (spec->zone || !spec->same_zone)
    return spec->zone;
  for (guint t = 0; autoscaler->machines->types && t < autoscaler->machines->types->len; t++)
    {
      const HzbMachineType *type = autoscaler->machines->types->pdata[t];
      for (guint z = 0; hzb_type_holds (type, spec) && type->zones[z]; z++)
        {
          double cpus = 0;
          for (guint k = 0; k < autoscaler->machines->all->len; k++)
            {
              const HzbMachine *machine = autoscaler->machines->all->pdata[k];
              if (machine->type && !machine->scale_in_requested && g_str_equal (machine->zone, type->zones[z])
                  && hzb_type_holds (machine->type, spec))
                cpus += machine->type->cpus;
            }
          if (cpus > most)
            {
              most = cpus;
              best = type->zones[z];
            }
        }
    }
  return best;
}

/* Tasks on machines that take no more: they end there, or are moved, and need no other machine until then. */
static guint
leaving (const HzbJob *job)
{
  guint n = MIN (job->delegated_leaving, job->placed);
  for (guint k = 0; job->placed && k < job->n_tasks; k++)
    n += hzb_task_on_machine (&job->tasks[k]) && job->tasks[k].machine->scale_in_candidate;
  return MIN (n, job->placed);
}

/* Replicas never end: the room that they take is taken for good, and a little more is kept. */
static void
add_services (HzbAutoscaler *autoscaler, GPtrArray *all)
{
  HzbHeadroom headroom = hzb_headroom_plan (autoscaler->jobs, autoscaler->machines);
  g_autofree char *types = headroom.spec ? types_holding (autoscaler, headroom.spec) : NULL;

  for (guint z = 0; z < headroom.n_zones; z++)
    {
      Demand *demand = g_new0 (Demand, 1);
      Part part = { 0, headroom.zones[z].placed + headroom.zones[z].waiting + headroom.zones[z].free, 0,
                    headroom.spec->cpus };
      demand->spec = headroom.spec;
      demand->zone = headroom.zones[z].zone;
      demand->name = g_strdup_printf ("%s@%s!ordinary!services", types, demand->zone);
      demand->services = TRUE;
      demand->parts = g_array_new (FALSE, FALSE, sizeof (Part));
      if (headroom.spec->cpus > 0)
        demand->memory_per_cpu = headroom.spec->memory_gb / headroom.spec->cpus;
      g_array_append_val (demand->parts, part);
      g_ptr_array_add (all, demand);
    }
}

static GPtrArray *
collect_demand (HzbAutoscaler *autoscaler, struct timespec now)
{
  GPtrArray *all = g_ptr_array_new_with_free_func (demand_free);
  guint n = autoscaler->settings->teams->len;
  g_autofree double *cpus_left = g_new0 (double, n), *gpus_left = g_new0 (double, n);

  for (guint i = 0; i < n; i++)
    {
      cpus_left[i] = autoscaler->jobs->shard->cpus_allowed[i];
      gpus_left[i] = autoscaler->jobs->shard->gpus_allowed[i];
    }
  for (guint i = 0; i < autoscaler->jobs->active->len; i++)
    {
      HzbJob *job = autoscaler->jobs->active->pdata[i];
      const HzbJobSpec *spec = job->spec;
      g_autofree char *types = NULL, *name = NULL;
      Demand *demand = NULL;
      Part part;
      double tasks, placed, at_once, unit;
      const char *zone;
      if (job->state != HZB_JOB_ACCEPTED || (hzb_time_before (now, job->not_before) && !job->placed))
        continue;
      placed = job->placed - leaving (job);
      cpus_left[job->team] -= (job->placed - placed) * spec->cpus; /* they count all the same */
      gpus_left[job->team] -= (job->placed - placed) * spec->gpus;
      tasks = job->pending + job->queued + job->unconfirmed + placed;
      /* Guards against machines that are rented for a job that fails wherever it starts: it is tried one task at a time. */
      if (job->failures && !job->did_well)
        tasks = MIN (tasks, placed + 1);
      at_once = tasks;
      if (spec->cpus > 0)
        at_once = MIN (at_once, floor (cpus_left[job->team] / spec->cpus + 1e-9));
      if (spec->gpus > 0)
        at_once = MIN (at_once, floor (gpus_left[job->team] / spec->gpus + 1e-9));
      if (at_once < 1)
        continue;
      if (spec->kind == HZB_JOB_SERVICE && spec->gpus <= 0)
        {
          cpus_left[job->team] -= at_once * spec->cpus;
          continue; /* with all services, see add_services() */
        }
      cpus_left[job->team] -= at_once * spec->cpus;
      gpus_left[job->team] -= at_once * spec->gpus;
      /* By what holds a task, not by what it names: a large task is not served by small machines. */
      types = types_holding (autoscaler, spec);
      zone = zone_for (autoscaler, spec);
      name = g_strdup_printf ("%s%s%s%s%s", types, zone ? "@" : "", zone ? zone : "", spec->spot ? "" : "!ordinary",
                              spec->gpus > 0 ? "!gpus" : "");
      for (guint k = 0; k < all->len && !demand; k++)
        if (g_str_equal (((Demand *) all->pdata[k])->name, name))
          demand = all->pdata[k];
      if (!demand)
        {
          demand = g_new0 (Demand, 1);
          demand->spec = spec;
          demand->zone = zone;
          demand->name = g_steal_pointer (&name);
          demand->gpus = spec->gpus > 0;
          demand->parts = g_array_new (FALSE, FALSE, sizeof (Part));
          g_ptr_array_add (all, demand);
        }
      unit = demand->gpus ? spec->gpus : spec->cpus;
      part.unit = unit;
      part.at_once = at_once * unit;
      /* A task that runs is half over on the whole; a gang's tasks are needed together. */
      part.work_s = (tasks - placed * 0.5) * unit * hzb_job_mean_s (job);
      part.within_s =
          spec->kind == HZB_JOB_GANG || spec->kind == HZB_JOB_SERVICE ? 0 : start_within_s (autoscaler, job, now);
      g_array_append_val (demand->parts, part);
      if (spec->cpus > 0)
        demand->memory_per_cpu = MAX (demand->memory_per_cpu, spec->memory_gb / spec->cpus);
    }
  add_services (autoscaler, all);
  g_ptr_array_sort (all, by_choice);
  return all;
}

/* Units that are worth having at a price of so many times the lowest: dearer machines are taken only for
 * work that the cheap ones would leave waiting for longer. */
static double
demanded_units (const Demand *demand, double dearness)
{
  double sum = 0, slack = cbrt (MAX (dearness, 1)), least = 0;
  for (guint i = 0; i < demand->parts->len; i++)
    {
      const Part *part = &g_array_index (demand->parts, Part, i);
      sum += part->within_s > 0 ? MIN (part->at_once, part->work_s / (part->within_s * slack)) : part->at_once;
      least = MAX (least, part->unit);
    }
  /* However little work there is, it needs room for its largest task, at any price. */
  return MAX (sum, least);
}

/* What of a machine this work can use. */
static double
useful_units (const HzbMachineType *type, const Demand *demand)
{
  double cpus = type->cpus;
  if (demand->gpus)
    return type->gpus;
  if (demand->memory_per_cpu > 0)
    cpus = MIN (cpus, type->memory_gb / demand->memory_per_cpu);
  return cpus;
}

static gboolean
kind_fits (const HzbMachineType *type, const char *zone, gboolean spot, const Demand *demand)
{
  return hzb_type_holds (type, demand->spec) && ((demand->spec->spot && !demand->services) || !spot)
         && (!demand->zone || g_str_equal (demand->zone, zone));
}

static double
unit_price (const HzbMachineType *type, gboolean spot, const Demand *demand)
{
  double units = useful_units (type, demand);
  return units > 0 ? (spot ? type->spot_price : type->price) / units : INFINITY;
}

/* Boot time is paid and brings nothing. */
static double
with_boot (const HzbMachineType *type, double price)
{
  return price * (1 + type->boot_s / 80);
}

static double
cheapest (HzbAutoscaler *autoscaler, const Demand *demand, gboolean boot)
{
  double least = INFINITY;
  for (guint t = 0; t < autoscaler->machines->types->len; t++)
    {
      const HzbMachineType *type = autoscaler->machines->types->pdata[t];
      for (guint z = 0; type->zones[z]; z++)
        for (gint spot = 0; spot < 2; spot++)
          if (kind_fits (type, type->zones[z], spot, demand))
            {
              double price = unit_price (type, spot, demand);
              least = MIN (least, boot ? with_boot (type, price) : price);
            }
    }
  return least;
}

/* What there is for this work, and will be soon. */
static double
supply (HzbAutoscaler *autoscaler, const Demand *demand, struct timespec now)
{
  double have = 0;
  for (guint k = 0; k < autoscaler->machines->all->len; k++)
    {
      const HzbMachine *machine = autoscaler->machines->all->pdata[k];
      if (!machine->type || machine->scale_in_requested || machine->scale_in_candidate
          || !kind_fits (machine->type, machine->zone, machine->spot, demand)
          || (machine->reserved_for_services && !demand->services))
        continue;
      if (machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_UNVERIFIED
          || machine->state == HZB_MACHINE_LEASED
          || (machine->state == HZB_MACHINE_BOOTING
              && hzb_time_between (machine->rented, now) < MAX (30, 2.5 * machine->type->boot_s)))
        have += useful_units (machine->type, demand) - (demand->services || demand->gpus ? 0 : machine->service_cpus);
    }
  return have;
}

#define MOST_PER_RENTAL 50u      /* machines by one call, as the cloud takes */
#define MOST_RENTALS_PER_PLAN 8u /* calls of one plan; the next plan waits for their answers */

GArray *
hzb_autoscaler_scale_out (HzbAutoscaler *autoscaler, struct timespec now)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (HzbScaleOutRequest));
  g_autoptr (GPtrArray) all = collect_demand (autoscaler, now);
  GPtrArray *types = autoscaler->machines->types;

  for (guint i = 0; types && i < all->len; i++)
    {
      const Demand *demand = all->pdata[i];
      double have = supply (autoscaler, demand, now), least_price = cheapest (autoscaler, demand, TRUE);
      g_autoptr (GHashTable) tried = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      gboolean more_wanted = FALSE; /* a kind was asked for with as many as one call takes */

      for (guint k = 0; k < out->len; k++)
        {
          const HzbScaleOutRequest *r = &g_array_index (out, HzbScaleOutRequest, k);
          if (kind_fits (r->type, r->zone, r->spot, demand))
            have += r->count * useful_units (r->type, demand);
        }
      /* Spare machines that are still here come back before anything is rented. */
      for (guint k = 0; k < autoscaler->machines->all->len && have + 1e-6 < demanded_units (demand, 1); k++)
        {
          HzbMachine *machine = autoscaler->machines->all->pdata[k];
          if (machine->scale_in_candidate && !machine->scale_in_requested
              && (machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_LEASED) && machine->type
              && kind_fits (machine->type, machine->zone, machine->spot, demand)
              && have + 1e-6 < demanded_units (demand, unit_price (machine->type, machine->spot, demand)
                                                           / cheapest (autoscaler, demand, FALSE)))
            {
              machine->scale_in_candidate = FALSE;
              machine->idle_since = now;
              have += useful_units (machine->type, demand);
            }
        }
      while (out->len < MOST_RENTALS_PER_PLAN)
        {
          const HzbMachineType *best = NULL;
          const char *best_zone = NULL;
          gboolean best_spot = FALSE;
          double least = INFINITY, units, lack;
          HzbScaleOutRequest rental;
          for (guint t = 0; t < types->len; t++)
            {
              const HzbMachineType *type = types->pdata[t];
              for (guint z = 0; type->zones[z]; z++)
                for (gint spot = 0; spot < 2; spot++)
                  {
                    g_autofree char *name = offer_name (type, type->zones[z], spot);
                    const Refusal *refusal = g_hash_table_lookup (autoscaler->refused, name);
                    double cost = with_boot (type, unit_price (type, spot, demand));
                    if (!kind_fits (type, type->zones[z], spot, demand) || !isfinite (cost)
                        || g_hash_table_contains (tried, name) || (refusal && hzb_time_before (now, refusal->until)))
                      continue;
                    if (cost < least)
                      {
                        least = cost;
                        best = type;
                        best_zone = type->zones[z];
                        best_spot = spot;
                      }
                  }
            }
          /* Guards against a fleet that grows by one call a second where it has few kinds of machines: once each kind was asked
           * for, they are asked for once more. Not before, since the cheapest kind may be the one that boots longest. */
          if (!best && more_wanted)
            {
              more_wanted = FALSE;
              g_hash_table_remove_all (tried);
              continue;
            }
          if (!best)
            break;
          units = useful_units (best, demand);
          lack = demanded_units (demand, least / least_price) - have;
          if (lack < (have > 0 ? MIN (1, units * 0.25) : 1e-6))
            break; /* what is dearer is wanted still less */
          rental = (HzbScaleOutRequest){ best, best_zone, best_spot,
                                         (guint) CLAMP (ceil (lack / units - 0.25), 1, MOST_PER_RENTAL) };
          g_array_append_val (out, rental);
          more_wanted = more_wanted || rental.count == MOST_PER_RENTAL;
          g_hash_table_add (tried, offer_name (best, best_zone, best_spot));
          have += rental.count * units;
        }
    }
  return out;
}

typedef struct
{
  HzbMachine *machine;
  double price;
} Candidate;

static gint
dearest_first (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a, *y = b;
  if (fabs (x->price - y->price) > 1e-9)
    return x->price > y->price ? -1 : 1;
  return (int) x->machine->tasks->len - (int) y->machine->tasks->len;
}

/* Machines beyond what is wanted take no new tasks, the dearest first; once empty they go back. Spreading work
 * evenly, as the dispatch rule does, would keep every one of them half full for as long as there is any work. */
static void
mark_scale_in_candidates (HzbAutoscaler *autoscaler, struct timespec now)
{
  g_autoptr (GPtrArray) all = collect_demand (autoscaler, now);
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  guint kinds = autoscaler->machines->types ? 2 * autoscaler->machines->types->len : 0;
  g_autofree double *have = g_new0 (double, all->len + 1), *want = g_new0 (double, all->len *kinds + 1);
  double total = 0, ease = 1 - exp (-1.0 / 12);

  if (!autoscaler->machines->types)
    return; /* a node may lead before the cloud has told it of the types */
  for (guint i = 0; i < all->len; i++)
    {
      const Demand *demand = all->pdata[i];
      double least = cheapest (autoscaler, demand, FALSE);
      have[i] = supply (autoscaler, demand, now);
      total += demanded_units (demand, 1);
      /* There are few kinds of machines, but many machines: what is wanted is counted once a kind. */
      for (guint k = 0; k < kinds; k++)
        want[i * kinds + k] = demanded_units (
            demand, unit_price (autoscaler->machines->types->pdata[k / 2], (k % 2) != 0, demand) / least);
    }
  autoscaler->usual += (total - autoscaler->usual) * ease; /* called once a second */
  for (guint i = 0; i < autoscaler->machines->all->len; i++)
    {
      HzbMachine *machine = autoscaler->machines->all->pdata[i];
      Candidate c = { machine, 0 };
      if ((machine->state != HZB_MACHINE_ACTIVE && machine->state != HZB_MACHINE_LEASED) || machine->scale_in_candidate
          || machine->scale_in_requested || !machine->type || machine->reserved_for_services
          || machine->service_cpus > 0)
        continue;
      c.price = (machine->spot ? machine->type->spot_price : machine->type->price) / MAX (machine->type->cpus, 1e-3);
      g_array_append_val (candidates, c);
    }
  g_array_sort (candidates, dearest_first);
  for (guint k = 0; k < candidates->len; k++)
    {
      HzbMachine *machine = g_array_index (candidates, Candidate, k).machine;
      gboolean surplus = TRUE;
      for (guint i = 0; i < all->len && surplus; i++)
        {
          const Demand *demand = all->pdata[i];
          if (!kind_fits (machine->type, machine->zone, machine->spot, demand))
            continue;
          /* More than the present need if there usually is more: jobs come in lumps. */
          surplus = have[i] - useful_units (machine->type, demand)
                    >= want[i * kinds + 2 * machine->type->index + !!machine->spot]
                               * MAX (1, autoscaler->usual / MAX (total, 1)) * 1.1
                           + 2;
        }
      if (!surplus)
        {
          machine->plans_in_surplus = 0;
          continue;
        }
      if (++machine->plans_in_surplus < 4)
        continue;
      g_debug ("machine %s is spare", machine->name);
      machine->scale_in_candidate = TRUE;
      for (guint i = 0; i < all->len; i++)
        if (kind_fits (machine->type, machine->zone, machine->spot, all->pdata[i]))
          have[i] -= useful_units (machine->type, all->pdata[i]);
    }
}

#define PAID_IN_ANY_CASE_S 55.0 /* a machine that is deleted costs a minute at least */
#define SPARE_IDLE_S 2.0
#define BOOT_OVERDUE_FACTOR 2.2
#define BOOT_OVERDUE_LEAST_S 40.0
#define BOOT_OVERDUE_UNKNOWN_TYPE_S 300.0

static gboolean
is_idle_for_long (const HzbAutoscaler *autoscaler, const HzbMachine *machine, struct timespec now)
{
  double idle = hzb_time_between (machine->idle_since, now);
  return machine->state == HZB_MACHINE_ACTIVE && machine->tasks->len == 0 && hzb_machine_queued_tasks (machine) == 0
         && hzb_time_between (machine->rented, now) > PAID_IN_ANY_CASE_S
         && idle > (machine->scale_in_candidate ? SPARE_IDLE_S : autoscaler->idle_s);
}

static gboolean
never_came_up (const HzbMachine *machine, struct timespec now)
{
  double overdue = machine->type ? MAX (BOOT_OVERDUE_LEAST_S, BOOT_OVERDUE_FACTOR * machine->type->boot_s)
                                 : BOOT_OVERDUE_UNKNOWN_TYPE_S;
  return machine->state == HZB_MACHINE_BOOTING && hzb_time_between (machine->rented, now) > overdue;
}

GPtrArray *
hzb_autoscaler_scale_in (HzbAutoscaler *autoscaler, struct timespec now)
{
  GPtrArray *out = g_ptr_array_new ();
  HzbHeadroom headroom = hzb_headroom_plan (autoscaler->jobs, autoscaler->machines);

  hzb_headroom_reserve (&headroom, autoscaler->jobs, autoscaler->machines);
  mark_scale_in_candidates (autoscaler, now);
  for (guint i = 0; i < autoscaler->machines->all->len; i++)
    {
      HzbMachine *machine = autoscaler->machines->all->pdata[i];
      if (machine->scale_in_requested || machine->reserved_for_services || machine->quarantined)
        continue;
      if (machine->scale_in_candidate && hzb_machine_queued_tasks (machine))
        hzb_machine_clear_run_queues (autoscaler->jobs, machine);
      if (is_idle_for_long (autoscaler, machine, now) || never_came_up (machine, now))
        g_ptr_array_add (out, machine);
    }
  return out;
}
