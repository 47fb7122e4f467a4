#include "demand.h"

#include "rounding.h"

#include <math.h>

#define MAX_MACHINES_PER_REQUEST 50u /* the maximum that the cloud accepts in one call */
#define MAX_REQUESTS 8u              /* calls of one plan; the next plan waits for their responses */

/* If there is any supply, a shortage below this fraction of a machine and below this many units is ignored. */
#define MIN_SHORTAGE_FRACTION 0.25
#define MIN_SHORTAGE_UNITS 1

/* The plan to meet one demand. */
typedef struct
{
  HzbAutoscaler *autoscaler;
  const HzbDemand *demand;
  struct timespec now;
  GArray *kinds;       /* HzbMachineKind; not owned */
  GArray *requests;    /* HzbScaleOutRequest, for all demands so far; not owned */
  double supply;       /* units that exist or are being requested */
  double lowest_price; /* per hour, of a unit, including the cost of booting */
} Plan;

/* Adds to the supply the machines that are requested for earlier demands and that this demand can use too. */
static void
count_requested (Plan *plan)
{
  for (guint i = 0; i < plan->requests->len; i++)
    {
      const HzbScaleOutRequest *request = &g_array_index (plan->requests, HzbScaleOutRequest, i);
      HzbMachineKind kind = { request->type, request->zone, request->spot };
      if (hzb_demand_kind_fits (plan->demand, &kind))
        plan->supply += request->count * hzb_demand_useful_units (plan->demand, request->type);
    }
}

/* Whether more units are wanted at a price of @price_ratio times the lowest one. */
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

/* Keeps scale-in candidates that have not been returned yet, before any machine is rented. */
static void
keep_candidates (Plan *plan)
{
  GPtrArray *all = plan->autoscaler->machines->all;
  double lowest = hzb_demand_lowest_price (plan->autoscaler, plan->demand, FALSE);

  for (guint i = 0; i < all->len && is_supply_short (plan, 1); i++)
    {
      HzbMachine *machine = all->pdata[i];
      if (!can_be_kept (plan, machine)
          || !is_supply_short (plan, hzb_demand_unit_price (plan->demand, machine->type, machine->spot) / lowest))
        continue;
      machine->scale_in_candidate = FALSE;
      machine->idle_since = plan->now;
      plan->supply += hzb_demand_useful_units (plan->demand, machine->type);
    }
}

/* Finds the cheapest kind that was neither requested in this round (@requested) nor refused lately, and its price.
 * Returns: FALSE if there is none */
static gboolean
find_cheapest_kind (const Plan *plan, GHashTable *requested, HzbMachineKind *best, double *lowest)
{
  *lowest = INFINITY;
  for (guint i = 0; i < plan->kinds->len; i++)
    {
      const HzbMachineKind *kind = &g_array_index (plan->kinds, HzbMachineKind, i);
      g_autofree char *name = hzb_machine_kind_name (kind->type, kind->zone, kind->spot);
      double price =
          hzb_demand_price_with_boot (kind->type, hzb_demand_unit_price (plan->demand, kind->type, kind->spot));
      if (!hzb_demand_kind_fits (plan->demand, kind) || !isfinite (price) || g_hash_table_contains (requested, name)
          || hzb_autoscaler_is_refused (plan->autoscaler, name, plan->now))
        continue;
      if (price < *lowest)
        {
          *lowest = price;
          *best = *kind;
        }
    }
  return isfinite (*lowest);
}

/* Requests machines of this kind. Returns: the number of machines; 0: no machine is worth its price */
static guint
request_kind (Plan *plan, const HzbMachineKind *kind, double price)
{
  double units = hzb_demand_useful_units (plan->demand, kind->type);
  double shortage = hzb_demand_units (plan->demand, price / plan->lowest_price) - plan->supply;
  HzbScaleOutRequest request = { kind->type, kind->zone, kind->spot, 0 };

  if (shortage < (plan->supply > 0 ? MIN (MIN_SHORTAGE_UNITS, units * MIN_SHORTAGE_FRACTION) : HZB_AMOUNT_TOLERANCE))
    return 0;
  request.count = (guint) CLAMP (ceil (shortage / units - MIN_SHORTAGE_FRACTION), 1, MAX_MACHINES_PER_REQUEST);
  g_array_append_val (plan->requests, request);
  plan->supply += request.count * units;
  return request.count;
}

/* Requests machines in rounds, each from the cheapest kind to the most expensive one, until no more units are wanted.
 * If a request reached the maximum of one call, another round follows: otherwise a fleet with few kinds would grow by
 * at most one call per kind and second. The next round begins only after every kind was requested, since the cheapest
 * kind may be the one that takes longest to boot. */
static void
request_machines (Plan *plan)
{
  g_autoptr (GHashTable) requested = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gboolean more_wanted = FALSE;

  while (plan->requests->len < MAX_REQUESTS)
    {
      HzbMachineKind kind = { 0 };
      double price;
      guint count;
      if (!find_cheapest_kind (plan, requested, &kind, &price))
        {
          if (!more_wanted)
            return;
          more_wanted = FALSE;
          g_hash_table_remove_all (requested);
          continue;
        }
      count = request_kind (plan, &kind, price);
      if (!count)
        return; /* Even fewer units are wanted of more expensive kinds. */
      more_wanted = more_wanted || count == MAX_MACHINES_PER_REQUEST;
      g_hash_table_add (requested, hzb_machine_kind_name (kind.type, kind.zone, kind.spot));
    }
}

GArray *
hzb_autoscaler_scale_out (HzbAutoscaler *autoscaler, struct timespec now)
{
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (HzbScaleOutRequest));
  g_autoptr (GPtrArray) demands = hzb_demand_collect (autoscaler, now);
  g_autoptr (GArray) kinds = hzb_machine_kinds (autoscaler->machines);

  /* A new leader may not have received the list of machine types from the cloud yet. */
  for (guint i = 0; autoscaler->machines->types && i < demands->len; i++)
    {
      Plan plan = { autoscaler, demands->pdata[i], now, kinds, requests, 0, 0 };
      plan.supply = hzb_demand_supply (autoscaler, plan.demand, now);
      plan.lowest_price = hzb_demand_lowest_price (autoscaler, plan.demand, TRUE);
      count_requested (&plan);
      keep_candidates (&plan);
      request_machines (&plan);
    }
  return requests;
}
