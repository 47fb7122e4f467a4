#include "demand.h"
#include "headroom.h"

#include <math.h>

/* The usual demand is smoothed over about this many calls, one a second. */
#define SMOOTHING_CALLS 12

/* Units of a demand that may be given up are those beyond what is wanted, by this factor and this many units. */
#define KEEP_FACTOR 1.1
#define KEEP_UNITS 2

/* A machine becomes a candidate when it was one too many in so many plans in a row. */
#define PLANS_IN_SURPLUS 4

#define EQUAL_PRICES 1e-9
#define LEAST_CPUS 1e-3 /* guards a division */

/* When an empty machine is returned. One that is deleted costs a minute at least. */
#define PAID_IN_ANY_CASE_S 55.0
#define CANDIDATE_IDLE_S 2.0

/* When a machine that does not come up is returned. */
#define BOOT_OVERDUE_FACTOR 2.2
#define BOOT_OVERDUE_LEAST_S 40.0
#define BOOT_OVERDUE_UNKNOWN_TYPE_S 300.0

/* ---- scale-in candidates ---- */

typedef struct
{
  HzbMachine *machine;
  double price; /* of a CPU */
} Candidate;

static gint
dearest_first (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a, *y = b;

  if (fabs (x->price - y->price) > EQUAL_PRICES)
    return x->price > y->price ? -1 : 1;
  return (int) x->machine->tasks->len - (int) y->machine->tasks->len;
}

static gboolean
may_become_candidate (const HzbMachine *machine)
{
  return (machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_LEASED) && !machine->scale_in_candidate
         && !machine->scale_in_requested && machine->type && !machine->reserved_for_services
         && machine->service_cpus <= 0;
}

/* Returns: (transfer full) (element-type Candidate): the machines that could be given up, the dearest first */
static GArray *
machines_by_price (const HzbMachines *machines)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));

  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      Candidate candidate = { machine, 0 };
      if (!may_become_candidate (machine))
        continue;
      candidate.price =
          (machine->spot ? machine->type->spot_price : machine->type->price) / MAX (machine->type->cpus, LEAST_CPUS);
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, dearest_first);
  return candidates;
}

/* What there is and what is wanted of each demand. */
typedef struct
{
  GPtrArray *demands; /* HzbDemand */
  double *have;       /* units, by demand */
  double *want;       /* units, by demand, type and whether spot: there are few of these but many machines */
  guint n_types;
  double usual_factor; /* by how much the usual demand exceeds the present one, 1 at least: jobs come in lumps */
} Balance;

static double *
wanted (const Balance *balance, guint demand, guint type, gboolean spot)
{
  return &balance->want[(demand * balance->n_types + type) * 2 + !!spot];
}

static void
weigh_demand (Balance *balance, const HzbAutoscaler *autoscaler, guint i, struct timespec now)
{
  const HzbDemand *demand = balance->demands->pdata[i];
  double lowest = hzb_demand_lowest_price (autoscaler, demand, FALSE);

  balance->have[i] = hzb_demand_supply (autoscaler, demand, now);
  for (guint t = 0; t < balance->n_types; t++)
    for (gint spot = 0; spot < 2; spot++)
      *wanted (balance, i, t, spot) = hzb_demand_units (
          demand, hzb_demand_unit_price (demand, autoscaler->machines->types->pdata[t], spot) / lowest);
}

static void
weigh (Balance *balance, HzbAutoscaler *autoscaler, struct timespec now)
{
  double total = 0;

  for (guint i = 0; i < balance->demands->len; i++)
    {
      weigh_demand (balance, autoscaler, i, now);
      total += hzb_demand_units (balance->demands->pdata[i], 1);
    }
  autoscaler->usual += (total - autoscaler->usual) * (1 - exp (-1.0 / SMOOTHING_CALLS));
  balance->usual_factor = MAX (1, autoscaler->usual / MAX (total, 1));
}

/* No demand needs the machine. */
static gboolean
is_surplus (const Balance *balance, const HzbMachine *machine)
{
  for (guint i = 0; i < balance->demands->len; i++)
    {
      const HzbDemand *demand = balance->demands->pdata[i];
      double left, want;
      if (!hzb_demand_machine_fits (demand, machine))
        continue;
      left = balance->have[i] - hzb_demand_useful_units (demand, machine->type);
      want = *wanted (balance, i, machine->type->index, machine->spot);
      if (!(left >= want * balance->usual_factor * KEEP_FACTOR + KEEP_UNITS))
        return FALSE;
    }
  return TRUE;
}

static void
take_from_supply (Balance *balance, const HzbMachine *machine)
{
  for (guint i = 0; i < balance->demands->len; i++)
    if (hzb_demand_machine_fits (balance->demands->pdata[i], machine))
      balance->have[i] -= hzb_demand_useful_units (balance->demands->pdata[i], machine->type);
}

/* Machines beyond what is wanted take no new tasks, the dearest first; once empty they are returned. The rule of
 * dispatch spreads work evenly, so otherwise each machine would stay half full for as long as there is any work. */
static void
mark_scale_in_candidates (HzbAutoscaler *autoscaler, struct timespec now)
{
  g_autoptr (GPtrArray) demands = hzb_demand_collect (autoscaler, now);
  guint n_types = autoscaler->machines->types ? autoscaler->machines->types->len : 0;
  g_autofree double *have = g_new0 (double, demands->len + 1), *want = g_new0 (double, demands->len *n_types * 2 + 1);
  Balance balance = { demands, have, want, n_types, 1 };
  g_autoptr (GArray) candidates = NULL;

  if (!autoscaler->machines->types)
    return; /* A controller may lead before the cloud has said which types there are. */
  weigh (&balance, autoscaler, now);
  candidates = machines_by_price (autoscaler->machines);
  for (guint k = 0; k < candidates->len; k++)
    {
      HzbMachine *machine = g_array_index (candidates, Candidate, k).machine;
      machine->plans_in_surplus = is_surplus (&balance, machine) ? machine->plans_in_surplus + 1 : 0;
      if (machine->plans_in_surplus < PLANS_IN_SURPLUS)
        continue;
      g_debug ("machine %s is a scale-in candidate", machine->name);
      machine->scale_in_candidate = TRUE;
      take_from_supply (&balance, machine);
    }
}

/* ---- what is returned ---- */

static gboolean
is_idle_for_long (const HzbAutoscaler *autoscaler, const HzbMachine *machine, struct timespec now)
{
  double idle = hzb_time_between (machine->idle_since, now);

  return machine->state == HZB_MACHINE_ACTIVE && machine->tasks->len == 0 && hzb_machine_queued_tasks (machine) == 0
         && hzb_time_between (machine->rented, now) > PAID_IN_ANY_CASE_S
         && idle > (machine->scale_in_candidate ? CANDIDATE_IDLE_S : autoscaler->idle_s);
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
