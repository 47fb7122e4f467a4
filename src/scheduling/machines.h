/**
 * @file
 * SECTION: machines
 *
 * The registry of machines, and the only function that changes the state of a machine.
 *
 * The registry of the leader has all machines, that of a leaseholder the machines of its shard.
 */
#pragma once
#include "machine.h"
#include "task.h"

/** HzbMachines: the registry of the machines that this controller knows. */
typedef struct
{
  GHashTable *by_name; /**< Name -> HzbMachine; not owned. */
  GPtrArray *all;      /**< (element-type HzbMachine) Owned, in the order in which they were added. */
  GPtrArray *types; /**< (element-type HzbMachineType) (nullable) Owned; NULL until the cloud has listed its types. */
  guint generation; /**< Incremented when machines are removed; pointers kept from earlier generations may dangle. */
  HzbClock *clock;  /**< Not owned. */
  const HzbSettings *settings; /**< Not owned. */
  struct timespec next_scan;   /**< When the leader next examines every machine; unset: at once. */
} HzbMachines;

/**
 * hzb_machines_new:
 * `clock`: (transfer none): must outlive the registry
 * `settings`: (transfer none): must outlive the registry
 *
 * Returns: (transfer full): an empty registry
 */
HzbMachines *hzb_machines_new (HzbClock *clock, const HzbSettings *settings);

/** hzb_machines_free: `machines`: (transfer full) */
void hzb_machines_free (HzbMachines *machines);

/** hzb_machines_clear: removes and frees all machines, when this controller stops owning a shard. */
void hzb_machines_clear (HzbMachines *machines);

/** hzb_machines_set_types: replaces the list of machine types. `types`: (transfer full) (element-type
 * HzbMachineType) */
void hzb_machines_set_types (HzbMachines *machines, GPtrArray *types);

/** hzb_machines_find_type: Returns: (transfer none) (nullable): the machine type of that name; NULL: unknown */
const HzbMachineType *hzb_machines_find_type (HzbMachines *machines, const char *name);

/** hzb_machines_find: Returns: (transfer none) (nullable): the machine of that name; NULL: unknown */
HzbMachine *hzb_machines_find (HzbMachines *machines, const char *name);

/**
 * hzb_machines_add: adds a machine whose name is not in the registry.
 * `name`: name of the machine
 * `addr`: (nullable): address of its worker, host:port; NULL: not known yet
 * `type`: name of the machine type
 * `zone`: name of the zone
 * `spot`: whether the machine is a spot instance
 * `state`: the initial state
 *
 * Returns: (transfer none): the new machine
 */
HzbMachine *hzb_machines_add (HzbMachines *machines, const char *name, const char *addr, const char *type,
                              const char *zone, gboolean spot, HzbMachineState state);

/** hzb_machines_remove: removes and frees a machine that is HZB_MACHINE_GONE and has no tasks. */
void hzb_machines_remove (HzbMachines *machines, HzbMachine *machine);

/**
 * hzb_machine_set_state: changes the state of a machine. No other function changes it.
 * `to`: the new state
 * `reason`: reason of the change, for the log
 *
 * Returns: FALSE if the transition is not allowed; the refusal is logged, and the state stays
 */
gboolean hzb_machine_set_state (HzbMachines *machines, HzbMachine *machine, HzbMachineState to, const char *reason);

/**
 * hzb_machine_unverify: makes a machine that this controller takes over from a leaseholder or an earlier owner
 * HZB_MACHINE_UNVERIFIED.
 * `fencing_token`: the new fencing token, under which the machine has to send a heartbeat before it gets work
 * `reason`: reason of the change, for the log
 */
void hzb_machine_unverify (HzbMachines *machines, HzbMachine *machine, guint64 fencing_token, const char *reason);

/**
 * hzb_machine_is_faulty: whether repeated task failures are attributed to the machine and not to the jobs.
 * `jobs`: the registry of jobs
 *
 * The machine is faulty if several failures are counted on it, and the failed tasks belong to at least one job that is
 * known to be runnable (a task of the job has succeeded or run for a while), or to several jobs that are not known to
 * fail on other machines. Jobs that fail on several machines and are not known to be runnable do not count.
 */
gboolean hzb_machine_is_faulty (const HzbMachine *machine, HzbJobs *jobs);

/**
 * hzb_machines_list_unverified_kinds: lists, by shard, the kinds of machines that may hold unconfirmed tasks.
 * `n_shards`: the largest HzbMachine.unconfirmed_tasks_owner to list, plus one
 *
 * A machine counts until it has sent a heartbeat under this owner's fencing token or is gone. Machines of the same
 * type, zone and spot flag are of one kind, which is listed by one of its machines: there are few kinds, but many
 * machines and jobs. Examines every machine once, for all shards.
 *
 * Returns: (transfer full) (element-type GPtrArray): for each shard an array of HzbMachine, which are not owned
 */
GPtrArray *hzb_machines_list_unverified_kinds (const HzbMachines *machines, guint n_shards);

/** hzb_machines_add_kind: appends the machine to the array unless the array has a machine of the same type, zone and
 * spot flag. `kinds`: (element-type HzbMachine): one machine of each kind, not owned */
void hzb_machines_add_kind (GPtrArray *kinds, HzbMachine *machine);

/**
 * hzb_job_may_run_on_unverified: whether one of these machines may hold an unconfirmed task of the job.
 * `unverified_kinds`: (element-type HzbMachine): one machine of each kind, for one shard, from
 * hzb_machines_list_unverified_kinds()
 */
gboolean hzb_job_may_run_on_unverified (const HzbJob *job, const GPtrArray *unverified_kinds);

/**
 * hzb_machines_scan_interval_s: the number of seconds between two scans of all machines.
 *
 * The interval is proportional to the number of machines, so that scans use a constant fraction of processor time.
 */
double hzb_machines_scan_interval_s (const HzbMachines *machines);
