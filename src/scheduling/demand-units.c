/* Units and prices of a demand, and the supply for it. */
#include "demand.h"

#include <math.h>

/* Seconds of use over which the cost of the boot time is spread. */
#define BOOT_COST_SPREAD_S 80

/* ---- units and prices ---- */

double
hzb_demand_units (const HzbDemand *demand, double price_ratio)
{
  double sum = 0, time_factor = cbrt (MAX (price_ratio, 1)), largest_task = 0;

  for (guint i = 0; i < demand->job_demands->len; i++)
    {
      const HzbJobDemand *job_demand = &g_array_index (demand->job_demands, HzbJobDemand, i);
      sum +=
          job_demand->start_within_s > 0
              ? MIN (job_demand->max_units, job_demand->unit_seconds_left / (job_demand->start_within_s * time_factor))
              : job_demand->max_units;
      largest_task = MAX (largest_task, job_demand->task_units);
    }
  /* Any amount of work needs room for its largest task, at any price. */
  return MAX (sum, largest_task);
}

/* Units of an empty machine of the type, useful or not. */
static double
units_of_type (const HzbDemand *demand, const HzbMachineType *type)
{
  return demand->gpus ? type->gpus : type->cpus;
}

double
hzb_demand_task_units (const HzbDemand *demand, const HzbJobSpec *spec, const GPtrArray *types)
{
  double asked = demand->gpus ? spec->gpus : spec->cpus, least = INFINITY;

  for (guint t = 0; asked <= 0 && types && t < types->len; t++)
    {
      guint per_machine = hzb_machine_type_speed (types->pdata[t], spec);
      if (per_machine)
        least = MIN (least, units_of_type (demand, types->pdata[t]) / per_machine);
    }
  return isfinite (least) ? least : asked;
}

void
hzb_demand_add_job (HzbDemand *demand, const HzbJobSpec *spec, const GPtrArray *types, const HzbJobDemand *job_demand)
{
  double n_tasks = job_demand->task_units > 0 ? job_demand->max_units / job_demand->task_units : 0;

  demand->wanted_units += job_demand->max_units;
  for (guint t = 0; types && t < types->len; t++)
    {
      const HzbMachineType *type = types->pdata[t];
      guint per_machine = hzb_machine_type_speed (type, spec);
      if (per_machine)
        demand->occupied_units[type->index] += n_tasks / per_machine * units_of_type (demand, type);
    }
  g_array_append_val (demand->job_demands, *job_demand);
}

double
hzb_demand_useful_units (const HzbDemand *demand, const HzbMachineType *type)
{
  double units = units_of_type (demand, type), occupied = demand->occupied_units[type->index];

  return occupied > demand->wanted_units ? units * demand->wanted_units / occupied : units;
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
  return price * (1 + type->boot_s / BOOT_COST_SPREAD_S);
}

double
hzb_demand_lowest_price (const HzbAutoscaler *autoscaler, const HzbDemand *demand, gboolean with_boot)
{
  g_autoptr (GArray) kinds = hzb_machine_kinds_new (autoscaler->machines->types);
  double lowest = INFINITY;

  for (guint i = 0; i < kinds->len; i++)
    {
      const HzbMachineKind *kind = &g_array_index (kinds, HzbMachineKind, i);
      double price;
      if (!hzb_demand_kind_fits (demand, kind))
        continue;
      price = hzb_demand_unit_price (demand, kind->type, kind->spot);
      lowest = MIN (lowest, with_boot ? hzb_demand_price_with_boot (kind->type, price) : price);
    }
  return lowest;
}

/* ---- supply ---- */

double
hzb_demand_supply (const HzbAutoscaler *autoscaler, const HzbDemand *demand, struct timespec now)
{
  double supply = 0;

  for (guint i = 0; i < autoscaler->machines->all->len; i++)
    {
      const HzbMachine *machine = autoscaler->machines->all->pdata[i];
      if (!machine->type || machine->scale_in_requested || machine->scale_in_candidate
          || !hzb_demand_machine_fits (demand, machine) || (machine->reserved_for_services && !demand->services)
          || !hzb_machine_is_up_or_booting (machine, now))
        continue;
      supply += hzb_demand_useful_units (demand, machine->type)
                - (demand->services || demand->gpus ? 0 : machine->service_cpus);
    }
  return supply;
}
