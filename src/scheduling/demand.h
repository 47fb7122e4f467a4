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

/** HzbJobDemand: what one job contributes to a demand. */
typedef struct
{
  double unit_seconds_left; /**< Work left: units multiplied by seconds of run time. */
  double max_units;         /**< Units that the job can use at the same time. */
  double start_within_s;    /**< Seconds within which all tasks of the job should have started; 0: now. */
  double task_units;        /**< Units of one task. */
} HzbJobDemand;

/** HzbDemand: work that the same kinds of machines can run. */
typedef struct
{
  const HzbJobSpec *spec; /**< Spec of one job of the demand. Not owned. All jobs of a demand fit the same machine
                             types, so this spec decides for all of them. */
  const char *zone;       /**< (nullable) The only allowed zone; NULL: any. Not owned. */
  char *name;             /**< Key of the demand; owned. Lists the fitting machine types, the zone if only one is
                             allowed, and flags for ordinary machines only, for GPUs and for services. */
  gboolean gpus;          /**< The unit is the GPU. */
  gboolean services;      /**< Whether the demand is the room kept for replicas of services (headroom.h). Spot machines
                             do not fit such a demand, because the cloud may reclaim them. */
  GArray *job_demands;    /**< (element-type HzbJobDemand) Owned. */
  double wanted_units;    /**< Sum of HzbJobDemand.max_units. */
  double *occupied_units; /**< By HzbMachineType.index: the units of machines of the type that `wanted_units` would
                             occupy, unused ones included: a machine has units that no further task can use, if
                             tasks do not divide it or need more of another resource. Owned. */
} HzbDemand;

/** hzb_demand_collect: Returns: (transfer full) (element-type HzbDemand): all demands, in the order in which they are
 * to be met */
GPtrArray *hzb_demand_collect (const HzbAutoscaler *autoscaler, struct timespec now);

/** hzb_demand_start_within_s: Returns: the seconds from `now` within which all tasks of the job should have started; 0:
 * all of its tasks are needed at once */
double hzb_demand_start_within_s (const HzbAutoscaler *autoscaler, const HzbJob *job, struct timespec now);

/** hzb_demand_kind_fits: whether machines of this kind can run the work. */
gboolean hzb_demand_kind_fits (const HzbDemand *demand, const HzbMachineKind *kind);

/** hzb_demand_machine_fits: whether the machine, whose type must be known, can run the work. */
gboolean hzb_demand_machine_fits (const HzbDemand *demand, const HzbMachine *machine);

/** hzb_demand_add_job: adds the units of a job.
 * `spec`: the job's spec; its tasks fit the same machine types as all jobs of the demand
 * `types`: (nullable) (element-type HzbMachineType): all machine types
 * `job_demand`: copied */
void
hzb_demand_add_job (HzbDemand *demand, const HzbJobSpec *spec, const GPtrArray *types, const HzbJobDemand *job_demand);

/** hzb_demand_task_units: Returns: the units of one task. A task that asks for none counts as the part of a machine that
 * it takes where the most of its kind fit.
 * `types`: (nullable) (element-type HzbMachineType): all machine types */
double hzb_demand_task_units (const HzbDemand *demand, const HzbJobSpec *spec, const GPtrArray *types);

/**
 * hzb_demand_units: the number of units that are worth their price.
 * `price_ratio`: the price of a unit, divided by the lowest price of a unit
 *
 * The time within which the tasks of a job should have started is multiplied by the cube root of `price_ratio`.
 * Expensive machines are therefore wanted only for work that would start even later on the cheaper machines.
 */
double hzb_demand_units (const HzbDemand *demand, double price_ratio);

/** hzb_demand_useful_units: the useful units of an empty machine of this type, which are those that the work can use, on
 * average over the jobs. CPUs that are left over beside its tasks, or for whose tasks the machine lacks memory, are not
 * useful. */
double hzb_demand_useful_units (const HzbDemand *demand, const HzbMachineType *type);

/** hzb_demand_unit_price: price per hour of one useful unit (hzb_demand_useful_units()); INFINITY: the type has no
 * useful unit. */
double hzb_demand_unit_price (const HzbDemand *demand, const HzbMachineType *type, gboolean spot);

/**
 * hzb_demand_price_with_boot: a price per hour that includes the cost of booting a machine, which is paid for but runs
 * no tasks until it is up.
 * `price`: the price per hour of a unit or a machine of this type, without that cost
 *
 * The cost of booting is spread over a fixed time of use.
 */
double hzb_demand_price_with_boot (const HzbMachineType *type, double price);

/** hzb_demand_lowest_price: the lowest price per hour of a unit on any kind that fits; INFINITY: no kind fits.
 * `with_boot`: whether the price includes the cost of booting, see hzb_demand_price_with_boot() */
double hzb_demand_lowest_price (const HzbAutoscaler *autoscaler, const HzbDemand *demand, gboolean with_boot);

/** hzb_demand_supply: units of the machines for this work that are up or are expected to finish booting. Scale-in
 * candidates do not count. */
double hzb_demand_supply (const HzbAutoscaler *autoscaler, const HzbDemand *demand, struct timespec now);
