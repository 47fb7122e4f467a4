#include "demand.h"
#include "placement-check.h"
#include "rounding.h"

#include <math.h>

/* If there is any supply, a shortage below this fraction of a machine and below this many units is ignored. */
#define MIN_SHORTAGE_FRACTION 0.25
#define MIN_SHORTAGE_UNITS 1

/* The plan to meet one demand. */
typedef struct
{
  HzbAutoscaler *autoscaler;
  const HzbDemand *demand;
  struct timespec now;
  GArray *kinds;    /* HzbMachineKind; not owned */
  GArray *requests; /* HzbScaleOutRequest, for all demands so far; not owned */
  /* Units that count for this demand: those of machines that are up or booting, those requested, and those of kept
   * scale-in candidates. */
  double supply;
  double lowest_price; /* per hour, of a unit, including the cost of booting */
} Plan;

/* Adds to the supply the machines that are requested for earlier demands and that this demand can use too. */
static void
count_requested (Plan *plan)
{
  for (guint i = 0; i < plan->requests->len; i++)
    {
      const HzbScaleOutRequest *request = &g_array_index (plan->requests, HzbScaleOutRequest, i);
      if (hzb_demand_kind_fits (plan->demand, &request->kind))
        plan->supply += request->count * hzb_demand_useful_units (plan->demand, request->kind.type);
    }
}

/* Whether more units are wanted at a price that is @price_ratio times the lowest price of a unit. */
static gboolean
is_supply_short (const Plan *plan, double price_ratio)
{
  return plan->supply + HZB_AMOUNT_TOLERANCE < hzb_demand_units (plan->demand, price_ratio);
}

static gboolean
can_be_kept (const Plan *plan, const HzbMachine *machine)
{
  return machine->scale_in_candidate && !machine->scale_in_requested
         && (machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_LEASED) && machine->type
         && hzb_demand_machine_fits (plan->demand, machine);
}

/* Keeps scale-in candidates whose return to the cloud has not been requested yet: this is preferred to renting
 * machines. A kept machine has booted already, so its price is compared without the cost of booting. */
static void
keep_candidates (Plan *plan)
{
  GPtrArray *all = plan->autoscaler->machines->all;
  double lowest_without_boot = hzb_demand_lowest_price (plan->autoscaler, plan->demand, FALSE);

  for (guint i = 0; i < all->len && is_supply_short (plan, 1); i++)
    {
      HzbMachine *machine = all->pdata[i];
      if (!can_be_kept (plan, machine)
          || !is_supply_short (plan, hzb_demand_unit_price (plan->demand, machine->type, machine->spot)
                                         / lowest_without_boot))
        continue;
      machine->scale_in_candidate = FALSE;
      machine->idle_since = plan->now;
      plan->supply += hzb_demand_useful_units (plan->demand, machine->type);
    }
}

/* Finds the cheapest kind that was neither requested in this round (@requested_this_round) nor refused lately, and its
 * price. Returns: FALSE if there is none */
static gboolean
find_cheapest_kind (const Plan *plan, GHashTable *requested_this_round, HzbMachineKind *best, double *lowest)
{
  *lowest = INFINITY;
  for (guint i = 0; i < plan->kinds->len; i++)
    {
      const HzbMachineKind *kind = &g_array_index (plan->kinds, HzbMachineKind, i);
      g_autofree char *name = hzb_machine_kind_name (kind);
      double price =
          hzb_demand_price_with_boot (kind->type, hzb_demand_unit_price (plan->demand, kind->type, kind->spot));
      if (!hzb_demand_kind_fits (plan->demand, kind) || !isfinite (price)
          || g_hash_table_contains (requested_this_round, name)
          || hzb_autoscaler_is_refused (plan->autoscaler, kind, plan->now))
        continue;
      if (price < *lowest)
        {
          *lowest = price;
          *best = *kind;
        }
    }
  return isfinite (*lowest);
}

/* Requests machines of this kind. Returns: the number of machines; 0: no more units of this kind, or too few, are
 * wanted at this price */
static guint
request_kind (Plan *plan, const HzbMachineKind *kind, double price)
{
  double units = hzb_demand_useful_units (plan->demand, kind->type);
  double shortage = hzb_demand_units (plan->demand, price / plan->lowest_price) - plan->supply;
  HzbScaleOutRequest request = { *kind, 0 };

  if (shortage < (plan->supply > 0 ? MIN (MIN_SHORTAGE_UNITS, units * MIN_SHORTAGE_FRACTION) : HZB_AMOUNT_TOLERANCE))
    return 0;
  /* A last machine of which at most this fraction would be used is not requested, unless it is the only one. */
  request.count = (guint) CLAMP (ceil (shortage / units - MIN_SHORTAGE_FRACTION), 1, HZB_MAX_MACHINES_PER_REQUEST);
  g_array_append_val (plan->requests, request);
  plan->supply += request.count * units;
  return request.count;
}

/* Requests machines in rounds, each from the cheapest kind to the most expensive one, until no more units are wanted.
 * One call can request only HZB_MAX_MACHINES_PER_REQUEST machines. If a request was that large, another round follows: with
 * a single round in each run (at most once a second), a fleet with few kinds would grow too slowly. Every kind that is
 * not refused is requested once before any is requested again, since the cheapest kind may take longest to boot. */
static void
request_machines (Plan *plan)
{
  g_autoptr (GHashTable) requested_this_round = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gboolean maximum_reached = FALSE; /* whether a request of this round reached the maximum of one call */

  while (plan->requests->len < HZB_MAX_SCALE_OUT_REQUESTS)
    {
      HzbMachineKind kind = { 0 };
      double price;
      guint count;
      if (!find_cheapest_kind (plan, requested_this_round, &kind, &price))
        {
          /* The round is over. */
          if (!maximum_reached)
            return;
          maximum_reached = FALSE;
          g_hash_table_remove_all (requested_this_round);
          continue;
        }
      count = request_kind (plan, &kind, price);
      if (!count)
        return; /* At the higher prices of the remaining kinds, even fewer units are wanted. */
      maximum_reached = maximum_reached || count == HZB_MAX_MACHINES_PER_REQUEST;
      g_hash_table_add (requested_this_round, hzb_machine_kind_name (&kind));
    }
}

/* Requests machines for what the demands lack in units. */
static void
meet_demands (HzbAutoscaler *autoscaler, GArray *kinds, GArray *requests, struct timespec now)
{
  g_autoptr (GPtrArray) demands = hzb_demand_collect (autoscaler, now);

  for (guint i = 0; i < demands->len; i++)
    {
      Plan plan = { autoscaler, demands->pdata[i], now, kinds, requests, 0, 0 };
      plan.supply = hzb_demand_supply (autoscaler, plan.demand, now);
      plan.lowest_price = hzb_demand_lowest_price (autoscaler, plan.demand, TRUE);
      count_requested (&plan);
      keep_candidates (&plan);
      request_machines (&plan);
    }
}

GArray *
hzb_autoscaler_scale_out (HzbAutoscaler *autoscaler, struct timespec now)
{
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (HzbScaleOutRequest));
  g_autoptr (GArray) kinds = hzb_machine_kinds_new (autoscaler->machines->types);
  g_auto (HzbPlacementCheck) check = { 0 };

  if (!autoscaler->machines->types)
    return requests; /* A new leader may not have received the list of machine types from the cloud yet. */
  hzb_placement_check_init (&check, autoscaler, kinds, requests, now);
  hzb_placement_check_run (&check, HZB_PLACEMENT_PASS_ZONES);
  meet_demands (autoscaler, kinds, requests, now);
  hzb_placement_check_run (&check, HZB_PLACEMENT_PASS_OTHERS);
  return requests;
}
