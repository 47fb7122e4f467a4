/**
 * @file
 * SECTION: demand
 *
 * Demand for machines, and the supply for each demand.
 *
 * Jobs that the same kinds of machines can run form one demand. Demand and supply are counted in units: GPUs where the
 * jobs use any, and CPUs otherwise.
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

/** HzbJobDemand: the share of one job in a demand, in units. */
typedef struct
{
  double work_unit_s;    /**< Unit-seconds of work left. */
  double max_units;      /**< Units that the job can use at the same time. */
  double start_within_s; /**< Seconds within which all its tasks should have started; 0: now. */
  double task_units;     /**< Units of one task. */
} HzbJobDemand;

/** HzbDemand: work that the same kinds of machines can run. */
typedef struct
{
  const HzbJobSpec *spec; /**< One of its jobs; the same types hold a task of each of its jobs. Not owned. */
  const char *zone;       /**< (nullable) The only allowed zone; NULL: any. Not owned. */
  char *name;             /**< Identifies the kinds of machines; owned. */
  gboolean gpus;          /**< The unit is the GPU. */
  gboolean services;      /**< Room kept for replicas (headroom.h), on machines that the cloud does not take back. */
  GArray *job_demands;    /**< (element-type HzbJobDemand) Owned. */
  double memory_per_cpu;  /**< GB for each CPU, the maximum over its jobs; 0: memory is no constraint. */
} HzbDemand;

/** hzb_demand_collect: Returns: (transfer full) (element-type HzbDemand): all demands, in the order in which they are
 * to be met */
GPtrArray *hzb_demand_collect (const HzbAutoscaler *autoscaler, struct timespec now);

/** hzb_machine_kinds: Returns: (transfer full) (element-type HzbMachineKind): all kinds of machines; valid until the
 * list of machine types changes */
GArray *hzb_machine_kinds (const HzbMachines *machines);

/** hzb_demand_kind_fits: whether machines of this kind can run the work. */
gboolean hzb_demand_kind_fits (const HzbDemand *demand, const HzbMachineKind *kind);

/** hzb_demand_machine_fits: whether the machine, whose type must be known, can run the work. */
gboolean hzb_demand_machine_fits (const HzbDemand *demand, const HzbMachine *machine);

/**
 * hzb_demand_units: the number of units that are worth their price.
 * `price_ratio`: the price of a unit, divided by the lowest price of a unit
 *
 * More expensive machines are wanted only for work that the cheapest ones would leave waiting for longer.
 */
double hzb_demand_units (const HzbDemand *demand, double price_ratio);

/** hzb_demand_useful_units: units of an empty machine of this type that the work can use. */
double hzb_demand_useful_units (const HzbDemand *demand, const HzbMachineType *type);

/** hzb_demand_unit_price: price of one useful unit; INFINITY: the type has no useful unit. */
double hzb_demand_unit_price (const HzbDemand *demand, const HzbMachineType *type, gboolean spot);

/** hzb_demand_price_with_boot: the price, increased by the cost of the time that a machine takes to boot, in which it
 * is paid for but runs no tasks. */
double hzb_demand_price_with_boot (const HzbMachineType *type, double price);

/** hzb_demand_lowest_price: the lowest price of a unit on any kind that fits; INFINITY: no kind fits. `with_boot`:
 * including the time to boot */
double hzb_demand_lowest_price (const HzbAutoscaler *autoscaler, const HzbDemand *demand, gboolean with_boot);

/** hzb_demand_supply: units of the machines for this work that are up or are expected to finish booting. Scale-in
 * candidates do not count. */
double hzb_demand_supply (const HzbAutoscaler *autoscaler, const HzbDemand *demand, struct timespec now);
