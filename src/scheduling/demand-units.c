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
