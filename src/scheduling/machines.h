/**
 * @file
 * SECTION: machines
 *
 * The registry of machines, and the one function that changes the state of a machine.
 *
 * The leader has every machine in it; a leaseholder has those of its shard.
 */
#pragma once
#include "machine.h"
#include "task.h"

/** HzbMachines: the machines that this controller knows. */
typedef struct
{
  GHashTable *by_name; /**< Name -> HzbMachine. */
  GPtrArray *all;      /**< (element-type HzbMachine) Owned, in the order in which they became known. */
  GPtrArray *types;    /**< (element-type HzbMachineType) (nullable) Owned; NULL until the cloud has named its types. */
  guint generation;    /**< Counts removals. When it has changed, pointers that were kept are looked up anew. */
  HzbClock *clock;     /**< Not owned. */
  const HzbSettings *settings; /**< Not owned. */
  struct timespec next_scan;   /**< When the leader examines every machine again; unset: at once. */
} HzbMachines;

/**
 * hzb_machines_new:
 * `clock`: (transfer none): outlives the registry
 * `settings`: (transfer none): outlives the registry
 *
 * Returns: (transfer full): an empty registry
 */
HzbMachines *hzb_machines_new (HzbClock *clock, const HzbSettings *settings);

/** hzb_machines_free: `machines`: (transfer full) */
void hzb_machines_free (HzbMachines *machines);

/** hzb_machines_clear: forgets all machines, at the end of an ownership. */
void hzb_machines_clear (HzbMachines *machines);

/** hzb_machines_set_types: replaces the list of types. `types`: (transfer full) (element-type HzbMachineType) */
void hzb_machines_set_types (HzbMachines *machines, GPtrArray *types);

/** hzb_machines_type: Returns: (transfer none) (nullable): the type of that name */
const HzbMachineType *hzb_machines_type (HzbMachines *machines, const char *name);

/** hzb_machines_find: Returns: (transfer none) (nullable): the machine of that name */
HzbMachine *hzb_machines_find (HzbMachines *machines, const char *name);

/**
 * hzb_machines_add: adds a machine that is not yet known.
 * `name`: its name
 * `addr`: (nullable): address of its worker
 * `type`: name of its type
 * `zone`: its zone
 * `spot`: whether it is a spot instance
 * `state`: the state that it begins in
 *
 * Returns: (transfer none): the machine
 */
HzbMachine *hzb_machines_add (HzbMachines *machines, const char *name, const char *addr, const char *type,
                              const char *zone, gboolean spot, HzbMachineState state);

/** hzb_machines_remove: frees a machine that is HZB_MACHINE_GONE and has no tasks. */
void hzb_machines_remove (HzbMachines *machines, HzbMachine *machine);

/**
 * hzb_machine_set_state: the only place where a machine changes its state.
 * `why`: for the log
 *
 * Returns: FALSE if the state machine does not allow the change; the refusal is logged, and nothing changes
 */
gboolean hzb_machine_set_state (HzbMachines *machines, HzbMachine *machine, HzbMachineState to, const char *why);

/**
 * hzb_machine_unverify: the machine comes back from a leaseholder or from an earlier owner, and becomes
 * HZB_MACHINE_UNVERIFIED.
 * `fencing_token`: the new token, under which it has to send a heartbeat first
 * `why`: for the log
 */
void hzb_machine_unverify (HzbMachines *machines, HzbMachine *machine, guint64 fencing_token, const char *why);

/**
 * hzb_machine_seems_faulty: whether the machine fails what it starts, and not because of the jobs: a job that has done
 * well elsewhere failed there, or several jobs did that have not failed elsewhere.
 */
gboolean hzb_machine_seems_faulty (const HzbMachine *machine, HzbJobs *jobs);

/**
 * hzb_machines_unverified_kinds: which kinds of machines may hold unconfirmed tasks.
 * `n_shards`: HzbMachine.unconfirmed_tasks_of of the last shard asked for, plus one
 *
 * Machines count that have neither answered under our fencing token nor are gone. Of each type, zone and kind one
 * stands for all: there are few of these, and many machines and jobs. Examines every machine once, for all shards.
 *
 * Returns: (transfer full) (element-type GPtrArray): for each shard an array of HzbMachine
 */
GPtrArray *hzb_machines_unverified_kinds (const HzbMachines *machines, guint n_shards);

/** hzb_machines_add_kind: adds the machine to the array unless it has one of the same type, zone and kind. */
void hzb_machines_add_kind (GPtrArray *kinds, HzbMachine *machine);

/**
 * hzb_job_may_run_on_unverified: whether one of these machines may hold an unconfirmed task of the job.
 * `unverified_kinds`: (element-type HzbMachine): of one shard, from hzb_machines_unverified_kinds()
 */
gboolean hzb_job_may_run_on_unverified (const HzbJob *job, const GPtrArray *unverified_kinds);

/**
 * hzb_machines_scan_interval_s: how many seconds to wait between two scans of all machines.
 *
 * The interval grows with the fleet, so that what scans cost in a second does not.
 */
double hzb_machines_scan_interval_s (const HzbMachines *machines);
