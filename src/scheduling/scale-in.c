#include "demand.h"
#include "headroom.h"

#include <math.h>

/* Time constant of the smoothed demand, in calls of hzb_autoscaler_scale_in(), one a second. */
#define SMOOTHING_CALLS 12

/* A machine is surplus only if the supply without it still exceeds the wanted units by this factor and this many
 * units. */
#define SUPPLY_MARGIN_FACTOR 1.1
#define SUPPLY_MARGIN_UNITS 2

/* A machine becomes a scale-in candidate after it was surplus in this many plans in a row. */
#define MIN_PLANS_IN_SURPLUS 4

#define PRICE_TOLERANCE 1e-9 /* of prices of one CPU per hour */
#define MIN_CPUS 1e-3        /* avoids a division by zero */

/* Conditions for returning an empty machine: seconds since the machine was rented, because a returned machine is billed
 * for at least a minute, and idle seconds of a scale-in candidate. */
#define MIN_RENTED_S 55.0
#define MAX_CANDIDATE_IDLE_S 2.0

/* Conditions for returning a machine that does not finish booting. */
#define BOOT_OVERDUE_FACTOR 2.2
#define MIN_BOOT_OVERDUE_S 40.0
#define BOOT_OVERDUE_UNKNOWN_TYPE_S 300.0

/* ---- scale-in candidates ---- */

typedef struct
{
  HzbMachine *machine;
  double price; /* of one CPU, per hour */
} Candidate;

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a, *y = b;

  if (fabs (x->price - y->price) > PRICE_TOLERANCE)
    return x->price > y->price ? -1 : 1;
  return (int) x->machine->tasks->len - (int) y->machine->tasks->len;
}

static gboolean
may_become_candidate (const HzbMachine *machine)
{
  return (machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_LEASED) && !machine->scale_in_candidate
         && !machine->scale_in_requested && machine->type && !machine->reserved_for_services
         && !machine->held_for_waiting_job && machine->service_cpus <= 0;
}

/* Returns: (transfer full) (element-type Candidate): the machines that could be returned, the most expensive first */
static GArray *
list_candidates (const HzbMachines *machines)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));

  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      Candidate candidate = { machine, 0 };
      if (!may_become_candidate (machine))
        continue;
      candidate.price =
          (machine->spot ? machine->type->spot_price : machine->type->price) / MAX (machine->type->cpus, MIN_CPUS);
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

/* Supply and wanted units of each demand. */
typedef struct
{
  GPtrArray *demands; /* HzbDemand */
  double *supply;     /* units, by demand */
  double *wanted;     /* units, by demand, type and whether spot; stored, as these are few and machines are many */
  guint n_types;
  double smoothed_ratio; /* of the smoothed demand to the current one, at least 1, since jobs arrive in bursts */
} SupplyBalance;

static double *
wanted_units (const SupplyBalance *balance, guint demand, guint type, gboolean spot)
{
  return &balance->wanted[(demand * balance->n_types + type) * 2 + !!spot];
}

static void
compute_demand_balance (SupplyBalance *balance, const HzbAutoscaler *autoscaler, guint i, struct timespec now)
{
  const HzbDemand *demand = balance->demands->pdata[i];
  double lowest = hzb_demand_lowest_price (autoscaler, demand, FALSE);

  balance->supply[i] = hzb_demand_supply (autoscaler, demand, now);
  for (guint t = 0; t < balance->n_types; t++)
    for (gint spot = 0; spot < 2; spot++)
      *wanted_units (balance, i, t, spot) = hzb_demand_units (
          demand, hzb_demand_unit_price (demand, autoscaler->machines->types->pdata[t], spot) / lowest);
}

static void
compute_balance (SupplyBalance *balance, HzbAutoscaler *autoscaler, struct timespec now)
{
  double total = 0;

  for (guint i = 0; i < balance->demands->len; i++)
    {
      compute_demand_balance (balance, autoscaler, i, now);
      total += hzb_demand_units (balance->demands->pdata[i], 1);
    }
  autoscaler->smoothed_units += (total - autoscaler->smoothed_units) * (1 - exp (-1.0 / SMOOTHING_CALLS));
  balance->smoothed_ratio = MAX (1, autoscaler->smoothed_units / MAX (total, 1));
}

/* Whether no demand needs the machine. */
static gboolean
is_surplus (const SupplyBalance *balance, const HzbMachine *machine)
{
  for (guint i = 0; i < balance->demands->len; i++)
    {
      const HzbDemand *demand = balance->demands->pdata[i];
      double remaining, wanted;
      if (!hzb_demand_machine_fits (demand, machine))
        continue;
      remaining = balance->supply[i] - hzb_demand_useful_units (demand, machine->type);
      wanted = *wanted_units (balance, i, machine->type->index, machine->spot);
      if (!(remaining >= wanted * balance->smoothed_ratio * SUPPLY_MARGIN_FACTOR + SUPPLY_MARGIN_UNITS))
        return FALSE;
    }
  return TRUE;
}

static void
subtract_from_supply (SupplyBalance *balance, const HzbMachine *machine)
{
  for (guint i = 0; i < balance->demands->len; i++)
    if (hzb_demand_machine_fits (balance->demands->pdata[i], machine))
      balance->supply[i] -= hzb_demand_useful_units (balance->demands->pdata[i], machine->type);
}

/* Marks surplus machines as scale-in candidates, the most expensive first. They take no new tasks and are returned once
 * empty. The dispatch rule spreads work evenly, so otherwise each machine would stay half full while there is any
 * work. */
static void
mark_scale_in_candidates (HzbAutoscaler *autoscaler, struct timespec now)
{
  g_autoptr (GPtrArray) demands = hzb_demand_collect (autoscaler, now);
  guint n_types = autoscaler->machines->types ? autoscaler->machines->types->len : 0;
  g_autofree double *supply = g_new0 (double, demands->len + 1),
                    *wanted = g_new0 (double, demands->len *n_types * 2 + 1);
  SupplyBalance balance = { demands, supply, wanted, n_types, 1 };
  g_autoptr (GArray) candidates = NULL;

  if (!autoscaler->machines->types)
    return; /* A new leader may not have received the list of machine types from the cloud yet. */
  compute_balance (&balance, autoscaler, now);
  candidates = list_candidates (autoscaler->machines);
  for (guint k = 0; k < candidates->len; k++)
    {
      HzbMachine *machine = g_array_index (candidates, Candidate, k).machine;
      machine->plans_in_surplus = is_surplus (&balance, machine) ? machine->plans_in_surplus + 1 : 0;
      if (machine->plans_in_surplus < MIN_PLANS_IN_SURPLUS)
        continue;
      g_debug ("machine %s is a scale-in candidate: surplus in %u plans in a row", machine->name,
               machine->plans_in_surplus);
      machine->scale_in_candidate = TRUE;
      subtract_from_supply (&balance, machine);
    }
}

/* ---- return of machines ---- */

static gboolean
is_idle_for_long (const HzbAutoscaler *autoscaler, const HzbMachine *machine, struct timespec now)
{
  double idle = hzb_time_between (machine->idle_since, now);

  return machine->state == HZB_MACHINE_ACTIVE && machine->tasks->len == 0 && !machine->held_for_waiting_job
         && hzb_machine_count_queued_tasks (machine) == 0 && hzb_time_between (machine->rented, now) > MIN_RENTED_S
         && idle > (machine->scale_in_candidate ? MAX_CANDIDATE_IDLE_S : autoscaler->max_idle_s);
}

static gboolean
is_boot_overdue (const HzbMachine *machine, struct timespec now)
{
  double max_boot_s = machine->type ? MAX (MIN_BOOT_OVERDUE_S, BOOT_OVERDUE_FACTOR * machine->type->boot_s)
                                    : BOOT_OVERDUE_UNKNOWN_TYPE_S;

  return machine->state == HZB_MACHINE_BOOTING && hzb_time_between (machine->rented, now) > max_boot_s;
}

GPtrArray *
hzb_autoscaler_scale_in (HzbAutoscaler *autoscaler, struct timespec now)
{
  GPtrArray *to_return = g_ptr_array_new ();
  HzbHeadroom headroom = hzb_headroom_plan (autoscaler->jobs, autoscaler->machines);

  hzb_headroom_reserve (&headroom, autoscaler->jobs, autoscaler->machines);
  mark_scale_in_candidates (autoscaler, now);
  for (guint i = 0; i < autoscaler->machines->all->len; i++)
    {
      HzbMachine *machine = autoscaler->machines->all->pdata[i];
      if (machine->scale_in_requested || machine->reserved_for_services || machine->quarantined)
        continue;
      if (machine->scale_in_candidate && hzb_machine_count_queued_tasks (machine))
        hzb_machine_clear_run_queues (autoscaler->jobs, machine);
      if (is_idle_for_long (autoscaler, machine, now) || is_boot_overdue (machine, now))
        g_ptr_array_add (to_return, machine);
    }
  return to_return;
}
