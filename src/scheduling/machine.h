/**
 * @file
 * SECTION: machine
 *
 * A machine: what the cloud and its worker say of it, the room on it, and what may run there.
 *
 * machines.h is the registry of machines. The tasks and run queues of a machine change through hzb_task_set_state()
 * (task.h) only.
 */
#pragma once
#include "estimate.h"
#include "job.h"
#include "machine-type.h"

/** HzbMachineState: how far this controller may rely on a machine. Changed by hzb_machine_set_state() only. */
typedef enum
{
  HZB_MACHINE_BOOTING,    /**< Rented; its worker has not sent a heartbeat. */
  HZB_MACHINE_UNVERIFIED, /**< An earlier owner may have started tasks on it; it has not shown our fencing token. */
  HZB_MACHINE_ACTIVE,     /**< Its last heartbeat was sent under our fencing token, so the tasks in it were complete. */
  HZB_MACHINE_LEASED,     /**< In a shard that is leased to another controller. */
  HZB_MACHINE_LEASE_EXPIRED, /**< Its worker's lease has expired: it has no tasks. */
  HZB_MACHINE_DRAINING,      /**< It takes no more tasks. */
  HZB_MACHINE_RETURNING,     /**< The cloud was asked to take it back; until it confirms, the machine may run. */
  HZB_MACHINE_GONE,          /**< The cloud has confirmed that it is gone. */
  HZB_MACHINE_N_STATES       /**< Number of states. */
} HzbMachineState;

/** HzbSchedulingClass: the class of waiting work. Higher classes are served first, see scheduling-class.h. */
typedef enum
{
  HZB_SCHEDULING_CLASS_BEST_EFFORT,       /**< Work of a team without a guarantee, which takes what others leave. */
  HZB_SCHEDULING_CLASS_IDLE,              /**< Idle priority, beyond the team's guarantee. */
  HZB_SCHEDULING_CLASS_NORMAL,            /**< Normal priority, beyond the team's guarantee. */
  HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK, /**< Will miss its service-level objective unless it starts soon. */
  HZB_SCHEDULING_CLASS_GUARANTEED_IDLE,   /**< Idle priority, within the team's guarantee. */
  HZB_SCHEDULING_CLASS_GUARANTEED_NORMAL, /**< Normal priority, within the team's guarantee. */
  HZB_SCHEDULING_CLASS_URGENT,            /**< High priority, beyond the team's guarantee. */
  HZB_SCHEDULING_CLASS_GUARANTEED_URGENT, /**< High priority, within the team's guarantee. */
  HZB_SCHEDULING_CLASS_PRODUCTION,        /**< Production priority. */
  HZB_N_SCHEDULING_CLASSES                /**< Number of classes. */
} HzbSchedulingClass;

/** HZB_UNCONFIRMED_TASKS_OF_LEADER: value of HzbMachine.unconfirmed_tasks_of for tasks that an earlier leader may have
 * started. */
#define HZB_UNCONFIRMED_TASKS_OF_LEADER 0u

/** HZB_UNCONFIRMED_TASKS_OF_NONE: value of HzbMachine.unconfirmed_tasks_of for a machine that can hold only tasks bound
 * to itself. */
#define HZB_UNCONFIRMED_TASKS_OF_NONE 255u

/** HzbMachine: a machine. The fields are grouped by what they are about. */
struct _HzbMachine
{
  /** `name` Identity
   * @{ */
  char *name;                 /**< Its name in the cloud. */
  char *addr;                 /**< (nullable) Address of its worker, host:port. */
  char *type_name;            /**< Name of its type. */
  char *zone;                 /**< Its zone. */
  const HzbMachineType *type; /**< (nullable) NULL: the list of types does not have it, or is not known yet. */
  gboolean spot;              /**< A spot instance: cheaper, and the cloud may take it back. */
  /** @} */

  /** `name` Life cycle
   * @{ */
  HzbMachineState state;      /**< Changed by hzb_machine_set_state() only. */
  struct timespec since;      /**< When it entered its state. */
  struct timespec rented;     /**< When it was rented; of a machine found in the records, when it was first known. */
  struct timespec idle_since; /**< When it last had no tasks. */
  gboolean known_to_cloud;    /**< It was rented by this leader, is on record, or is in the cloud's inventory. A machine
                                 known only by a heartbeat may be long gone: that heartbeat may be a delayed copy. */
  gboolean recorded;          /**< It is on record durably, as every machine must be before its first start command. */
  gboolean recording;         /**< Its record is being written. */
  guint page;                 /**< Number of the leader's page that records it; 0: none. */
  gboolean drain;             /**< An operator drains it. */
  gboolean scale_in_requested;    /**< It is to be returned to the cloud. */
  gboolean scale_in_candidate;    /**< It takes no new tasks, since there are more machines than work. */
  guint plans_in_surplus;         /**< For how many plans of the autoscaler in a row it has been beyond the need. */
  gboolean reserved_for_services; /**< It takes only replicas of services, which so find room at once. */
  /** @} */

  /** `name` Its worker's heartbeats, and whether they can be relied on
   * @{ */
  guint64 agent_epoch;         /**< Epoch of the worker's agent; a new one has none of the tasks of the one before. */
  guint64 sequence;            /**< Number of its last heartbeat within the epoch. */
  guint64 expired_agent_epoch; /**< This agent epoch has ended for certain: a heartbeat of it is late. */
  guint64 fencing_token;       /**< The fencing token in answers to it. */
  guint64 first_exclusive_fencing_token; /**< From this fencing token on only this owner has given it commands, so that
                                            a heartbeat under such a token lists every task that can be on it. */
  gboolean verified;                     /**< A heartbeat under our fencing token has come. */
  guint8 unconfirmed_tasks_of; /**< While unverified: whose unconfirmed tasks may be on it: a leaseholder's (1 and up)
                                  whose shard was reclaimed, HZB_UNCONFIRMED_TASKS_OF_LEADER or
                                  HZB_UNCONFIRMED_TASKS_OF_NONE. */
  struct timespec last_heartbeat; /**< When its last heartbeat came. */
  struct timespec last_answer;    /**< When a heartbeat of it was last answered, which may have renewed its lease. */
  guint ignored_answers;          /**< Heartbeats in a row that show none of the starts that they should. */
  gboolean unreachable; /**< A one-way partition is suspected: the machine gets no work until a heartbeat shows the
                           fencing token that was raised since. */
  struct timespec unreachable_since; /**< When that was first suspected. */
  guint round;                       /**< Counts its heartbeats, see HzbTask.seen. */
  guint quarantined;                 /**< Tasks in its last heartbeat that no record names, and which are left alone. */
  /** @} */

  /** `name` Leasing it to another controller
   * @{ */
  guint8 leaseholder;        /**< The leaseholder (1 and up) that has it; 0: none. */
  gboolean lease_sent;       /**< The leaseholder was sent the machine. */
  gboolean recall_requested; /**< On the leader: the leaseholder was asked to return it. On the leaseholder: the leader
                                wants it back. */
  gboolean recall_at_once;   /**< The return is to include all tasks that are on it. */
  /** @} */

  /** `name` Tasks and room
   * @{ */
  GPtrArray *tasks; /**< (element-type HzbTask) The tasks on it, or that may be on it; not owned. */
  GQueue run_queues[HZB_N_SCHEDULING_CLASSES]; /**< (element-type HzbTask) Tasks that wait for it, first come, first
                                                  served in a class. */
  double cpus;                                 /**< CPUs that tasks take. */
  double gpus;                                 /**< GPUs that tasks take. */
  double memory;                               /**< GB of memory that tasks take. */
  double service_cpus;             /**< Of cpus, those of replicas of services, which do not end by themselves. */
  double service_memory_gb;        /**< Of memory, that of replicas. */
  double queued_service_cpus;      /**< CPUs of the replicas in its run queues. */
  double queued_service_memory_gb; /**< GB of memory of the replicas in its run queues. */
  /** @} */

  /** `name` What placing a task there costs
   * @{ */
  HzbEstimate estimates[HZB_N_SCHEDULING_CLASSES]; /**< For each class, the work that a new task of the class would wait
                                                      behind. */
  gboolean estimate_stale;                         /**< estimates no longer match the tasks and queues. */
  GHashTable *images;                              /**< Set of image names (GRefString) that its worker has. */
  GHashTable
      *expected; /**< Set of image names (GRefString) that its tasks and queues will bring, as of the last heartbeat. */
  /** @} */

  /** `name` Failures of tasks there
   * @{ */
  GHashTable *failed_jobs;      /**< Name of job -> number of failures, since a task last did well there. */
  char *last_failed_job;        /**< (nullable) The job whose task failed there last. */
  struct timespec last_failure; /**< When that was. */
  /** @} */
};

/** hzb_machine_name: Returns: (transfer none): the machine's name */
const char *hzb_machine_name (const HzbMachine *machine);

/**
 * hzb_machine_state_name: the name of a machine's state, in logs and in the admin API.
 *
 * Returns: (transfer none)
 */
const char *hzb_machine_state_name (HzbMachineState state);

/**
 * hzb_machine_set_fencing_token: from now on the machine is answered under this fencing token.
 *
 * Nothing is known of the machine until a heartbeat under that fencing token comes.
 */
void hzb_machine_set_fencing_token (HzbMachine *machine, guint64 fencing_token);

/**
 * hzb_machine_mark_unreachable: answers do not seem to arrive at the machine.
 * `fencing_token`: one that was not used before; the machine gets no work until a heartbeat shows it
 */
void hzb_machine_mark_unreachable (HzbMachine *machine, guint64 fencing_token, struct timespec now);

/** hzb_machine_enqueue: appends the task to the run queue of its job's scheduling class. For hzb_task_set_state() only.
 */
void hzb_machine_enqueue (HzbMachine *machine, HzbTask *task);

/** hzb_machine_dequeue: removes the task from whichever run queue has it. For hzb_task_set_state() only. */
void hzb_machine_dequeue (HzbMachine *machine, HzbTask *task);

/** hzb_machine_add: the task takes room on the machine from now on. For hzb_task_set_state() only. */
void hzb_machine_add (HzbMachine *machine, HzbTask *task);

/** hzb_machine_remove: the task takes no room on the machine any more. For hzb_task_set_state() only. */
void hzb_machine_remove (HzbMachine *machine, HzbTask *task);

/** hzb_machine_queued_tasks: number of tasks in all its run queues. */
guint hzb_machine_queued_tasks (const HzbMachine *machine);

/** hzb_machine_usable: whether this controller may start new tasks on the machine at all. */
gboolean hzb_machine_usable (const HzbMachine *machine);

/** hzb_machine_type_holds: whether an empty machine of this type could hold a task of the job, and the job's list of types has
 * it. */
gboolean hzb_machine_type_holds (const HzbMachineType *type, const HzbJobSpec *spec);

/** hzb_machine_type_speed: v of the rule U + h/v (search.h): how many tasks of the job an empty machine of this type holds at
 * the same time. */
guint hzb_machine_type_speed (const HzbMachineType *type, const HzbJobSpec *spec);

/** hzb_machine_speed: v for this machine: as hzb_machine_type_speed(), without the room that replicas of services take for
 * good. */
guint hzb_machine_speed (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_takes_replica: whether a replica fits beside the replicas that are there or queued, if all other work
 * were stopped. */
gboolean hzb_machine_takes_replica (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_is_of_allowed_kind: whether the job may run there by type, zone and kind (spot or not), which every
 * controller of every schema version judges alike. */
gboolean hzb_machine_is_of_allowed_kind (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_allowed: as hzb_machine_is_of_allowed_kind(), and the machine is not reserved for other work. */
gboolean hzb_machine_allowed (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_has_room: whether one more task of the job fits now. */
gboolean hzb_machine_has_room (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_has_room_for: whether `n_tasks` more tasks of the job fit now. */
gboolean hzb_machine_has_room_for (const HzbMachine *machine, const HzbJobSpec *spec, guint n_tasks);

/**
 * hzb_zone_allowed: whether a task of the job may start on the machine by the submission's `samePlace` and `spread`.
 *
 * All of the job's tasks that are or may be on machines count. While any of them is unconfirmed, its zone is not known.
 */
gboolean hzb_zone_allowed (const HzbJob *job, const HzbMachine *machine);

/** hzb_fetch_s: what fetching the image costs a task that is sent there, in weighted seconds; 0: the machine has the
 * image. */
double hzb_fetch_s (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_note_failure: a task of the job failed there. */
void hzb_machine_note_failure (HzbMachine *machine, const HzbJob *job, struct timespec now);

/** hzb_machine_note_success: a task did well there, so earlier failures are forgotten. */
void hzb_machine_note_success (HzbMachine *machine);

/** hzb_machine_avoids: a task of this job failed there last, not long ago: its tasks are tried on other machines first.
 */
gboolean hzb_machine_avoids (const HzbMachine *machine, const HzbJob *job, struct timespec now);
