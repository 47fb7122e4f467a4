/**
 * @file
 * SECTION: demand
 *
 * What machines are needed for, and what there is for it.
 *
 * Jobs that the same kinds of machines can run form one demand. It is counted in units: GPUs where the jobs use any,
 * and CPUs otherwise.
 */
#pragma once
#include "autoscaler.h"

/** HzbMachineKind: a kind of machines that the cloud rents out. */
typedef struct
{
  const HzbMachineType *type; /**< Not owned. */
  const char *zone;           /**< Not owned. */
  gboolean spot;              /**< Spot instances. */
} HzbMachineKind;

/** HzbDemandPart: one job's part of a demand, in units. */
typedef struct
{
  double work_s;   /**< Unit-seconds of work left. */
  double at_once;  /**< Units that it can use at the same time. */
  double within_s; /**< Seconds within which all its tasks should have started; 0: now. */
  double unit;     /**< Units of one task. */
} HzbDemandPart;

/** HzbDemand: work that the same kinds of machines can run. */
typedef struct
{
  const HzbJobSpec *spec; /**< One of its jobs: which kinds hold a task is the same for all. Not owned. */
  const char *zone;       /**< (nullable) The only zone; NULL: any. Not owned. */
  char *name;             /**< Names the kinds; owned. */
  gboolean gpus;          /**< The unit is the GPU. */
  gboolean services;      /**< Room kept for replicas (headroom.h), on machines that the cloud does not take back. */
  GArray *parts;          /**< (element-type HzbDemandPart) Owned. */
  double memory_per_cpu;  /**< GB for each CPU that the most demanding job needs. */
} HzbDemand;

/** hzb_demand_collect: Returns: (transfer full) (element-type HzbDemand): all demands, in the order in which they are
 * to be met */
GPtrArray *hzb_demand_collect (const HzbAutoscaler *autoscaler, struct timespec now);

/** hzb_machine_kinds: Returns: (transfer full) (element-type HzbMachineKind): all kinds; valid until the types change
 */
GArray *hzb_machine_kinds (const HzbMachines *machines);

/** hzb_demand_kind_fits: whether machines of this kind can run the work. */
gboolean hzb_demand_kind_fits (const HzbDemand *demand, const HzbMachineKind *kind);

/** hzb_demand_machine_fits: whether the machine, whose type is known, can run the work. */
gboolean hzb_demand_machine_fits (const HzbDemand *demand, const HzbMachine *machine);

/**
 * hzb_demand_units: units that are worth having at a price of `dearness` times the lowest one.
 *
 * Dearer machines are wanted only for work that the cheap ones would leave waiting for longer.
 */
double hzb_demand_units (const HzbDemand *demand, double dearness);

/** hzb_demand_useful_units: units of an empty machine of this type that the work can use. */
double hzb_demand_useful_units (const HzbDemand *demand, const HzbMachineType *type);

/** hzb_demand_unit_price: price of one useful unit; INFINITY: the type has none. */
double hzb_demand_unit_price (const HzbDemand *demand, const HzbMachineType *type, gboolean spot);

/** hzb_demand_price_with_boot: a price that includes the time a machine takes to boot, which is paid and brings
 * nothing. */
double hzb_demand_price_with_boot (const HzbMachineType *type, double price);

/** hzb_demand_lowest_price: the lowest price of a unit on any kind. `with_boot`: including the time to boot */
double hzb_demand_lowest_price (const HzbAutoscaler *autoscaler, const HzbDemand *demand, gboolean with_boot);

/** hzb_demand_supply: units that there are for this work, or will be once machines have booted. Scale-in candidates do
 * not count. */
double hzb_demand_supply (const HzbAutoscaler *autoscaler, const HzbDemand *demand, struct timespec now);
