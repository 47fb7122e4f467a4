#include "demand.h"

#include "rounding.h"

#include <math.h>

#define MOST_PER_REQUEST 50u /* machines by one call, as the cloud takes */
#define MOST_REQUESTS 8u     /* calls of one plan; the next plan waits for their answers */

/* A lack below this part of a machine, or below one unit, is not worth a machine where there are others already. */
#define WORTH_PART 0.25
#define WORTH_UNITS 1

/* Meeting one demand. */
typedef struct
{
  HzbAutoscaler *autoscaler;
  const HzbDemand *demand;
  struct timespec now;
  GArray *kinds;       /* HzbMachineKind */
  GArray *requests;    /* HzbScaleOutRequest, for all demands so far */
  double have;         /* units that there are, or that are being requested */
  double lowest_price; /* of a unit, with the time to boot */
} Plan;

/* Units of machines that are requested for the demands before this one, and that it can use too. */
static void
count_requested (Plan *plan)
{
  for (guint i = 0; i < plan->requests->len; i++)
    {
      const HzbScaleOutRequest *request = &g_array_index (plan->requests, HzbScaleOutRequest, i);
      HzbMachineKind kind = { request->type, request->zone, request->spot };
      if (hzb_demand_kind_fits (plan->demand, &kind))
        plan->have += request->count * hzb_demand_useful_units (plan->demand, request->type);
    }
}

static gboolean
is_wanted_at (const Plan *plan, double dearness)
{
  return plan->have + HZB_ROUNDING < hzb_demand_units (plan->demand, dearness);
}

static gboolean
can_be_kept (const Plan *plan, const HzbMachine *machine)
{
  return machine->scale_in_candidate && !machine->scale_in_requested
         && (machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_LEASED) && machine->type
         && hzb_demand_machine_fits (plan->demand, machine);
}

/* Scale-in candidates that are still here are kept before anything is rented. */
static void
keep_candidates (Plan *plan)
{
  GPtrArray *all = plan->autoscaler->machines->all;
  double lowest = hzb_demand_lowest_price (plan->autoscaler, plan->demand, FALSE);

  for (guint i = 0; i < all->len && is_wanted_at (plan, 1); i++)
    {
      HzbMachine *machine = all->pdata[i];
      if (!can_be_kept (plan, machine)
          || !is_wanted_at (plan, hzb_demand_unit_price (plan->demand, machine->type, machine->spot) / lowest))
        continue;
      machine->scale_in_candidate = FALSE;
      machine->idle_since = plan->now;
      plan->have += hzb_demand_useful_units (plan->demand, machine->type);
    }
}

/* Finds the cheapest kind that was neither requested in this round (@tried) nor refused lately. Returns: FALSE if there
 * is none */
static gboolean
cheapest_kind (const Plan *plan, GHashTable *tried, HzbMachineKind *best, double *least)
{
  *least = INFINITY;
  for (guint i = 0; i < plan->kinds->len; i++)
    {
      const HzbMachineKind *kind = &g_array_index (plan->kinds, HzbMachineKind, i);
      g_autofree char *name = hzb_machine_kind_name (kind->type, kind->zone, kind->spot);
      double price =
          hzb_demand_price_with_boot (kind->type, hzb_demand_unit_price (plan->demand, kind->type, kind->spot));
      if (!hzb_demand_kind_fits (plan->demand, kind) || !isfinite (price) || g_hash_table_contains (tried, name)
          || hzb_autoscaler_is_refused (plan->autoscaler, name, plan->now))
        continue;
      if (price < *least)
        {
          *least = price;
          *best = *kind;
        }
    }
  return isfinite (*least);
}

/* Requests machines of this kind. Returns: how many; 0: none is worth its price */
static guint
request_kind (Plan *plan, const HzbMachineKind *kind, double price)
{
  double units = hzb_demand_useful_units (plan->demand, kind->type);
  double lack = hzb_demand_units (plan->demand, price / plan->lowest_price) - plan->have;
  HzbScaleOutRequest request = { kind->type, kind->zone, kind->spot, 0 };

  if (lack < (plan->have > 0 ? MIN (WORTH_UNITS, units * WORTH_PART) : HZB_ROUNDING))
    return 0;
  request.count = (guint) CLAMP (ceil (lack / units - WORTH_PART), 1, MOST_PER_REQUEST);
  g_array_append_val (plan->requests, request);
  plan->have += request.count * units;
  return request.count;
}

/* Requests kinds from the cheapest on, until no more is wanted. If a request was as large as a call may be, a second
 * round follows once each kind was requested: otherwise a fleet with few kinds would grow by one call a second. It does
 * not begin earlier, since the cheapest kind may be the one that boots longest. */
static void
request_machines (Plan *plan)
{
  g_autoptr (GHashTable) tried = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gboolean more_wanted = FALSE;

  while (plan->requests->len < MOST_REQUESTS)
    {
      HzbMachineKind kind = { 0 };
      double price;
      guint count;
      if (!cheapest_kind (plan, tried, &kind, &price))
        {
          if (!more_wanted)
            return;
          more_wanted = FALSE;
          g_hash_table_remove_all (tried);
          continue;
        }
      count = request_kind (plan, &kind, price);
      if (!count)
        return; /* Still less is wanted of dearer kinds. */
      more_wanted = more_wanted || count == MOST_PER_REQUEST;
      g_hash_table_add (tried, hzb_machine_kind_name (kind.type, kind.zone, kind.spot));
    }
}

GArray *
hzb_autoscaler_scale_out (HzbAutoscaler *autoscaler, struct timespec now)
{
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (HzbScaleOutRequest));
  g_autoptr (GPtrArray) demands = hzb_demand_collect (autoscaler, now);
  g_autoptr (GArray) kinds = hzb_machine_kinds (autoscaler->machines);

  /* A controller may lead before the cloud has said which types there are. */
  for (guint i = 0; autoscaler->machines->types && i < demands->len; i++)
    {
      Plan plan = { autoscaler, demands->pdata[i], now, kinds, requests, 0, 0 };
      plan.have = hzb_demand_supply (autoscaler, plan.demand, now);
      plan.lowest_price = hzb_demand_lowest_price (autoscaler, plan.demand, TRUE);
      count_requested (&plan);
      keep_candidates (&plan);
      request_machines (&plan);
    }
  return requests;
}
