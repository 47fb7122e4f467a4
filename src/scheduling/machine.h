/**
 * @file
 * SECTION: machine
 *
 * A rented machine: its state as reported by the cloud and by its worker, its free resources, and the placement
 * constraints that decide which tasks may run on it.
 *
 * machines.h is the registry of machines. The tasks and run queues of a machine change through hzb_task_set_state()
 * (task.h) only.
 */
#pragma once
#include "estimate.h"
#include "job.h"
#include "machine-kind.h"
#include "sent-starts.h"

/** HzbMachineState: the life cycle of a machine, as this controller knows it. Changed by hzb_machine_set_state()
 * only. */
typedef enum
{
  HZB_MACHINE_BOOTING,    /**< Rented; its worker has not sent a heartbeat yet. */
  HZB_MACHINE_UNVERIFIED, /**< An earlier owner may have started tasks on it, and no heartbeat under this owner's
                             fencing token has arrived. */
  HZB_MACHINE_ACTIVE,     /**< Its last heartbeat was sent under this owner's fencing token, so it listed all tasks on
                             the machine. */
  HZB_MACHINE_LEASED,     /**< Part of a shard that is leased to another controller. */
  HZB_MACHINE_LEASE_EXPIRED, /**< The lease of its worker has expired, so no task runs on it. */
  HZB_MACHINE_DRAINING,      /**< It is being drained: it gets no new tasks. */
  HZB_MACHINE_RETURNING,     /**< Its return to the cloud was requested; the machine may run until the cloud confirms
                                the return. */
  HZB_MACHINE_GONE,          /**< The cloud has confirmed that the machine no longer exists. */
  HZB_MACHINE_N_STATES       /**< Number of states. */
} HzbMachineState;

/**
 * HzbMachineRecordState: the record of a machine in the key-value store. Changed by hzb_machine_set_record_state() only.
 *
 * Start commands are sent only while the record is current, so no command was ever sent to a machine before
 * HZB_MACHINE_RECORD_CURRENT, see hzb_machine_was_recorded().
 */
typedef enum
{
  HZB_MACHINE_RECORD_NONE,      /**< There is no durable record. */
  HZB_MACHINE_RECORD_WRITING,   /**< The first record is being written. */
  HZB_MACHINE_RECORD_CURRENT,   /**< The record is durable. */
  HZB_MACHINE_RECORD_OUTDATED,  /**< A record is durable, and lacks a change. */
  HZB_MACHINE_RECORD_REWRITING, /**< A record is durable, and a change is being written. */
  HZB_MACHINE_RECORD_N_STATES   /**< Number of states. */
} HzbMachineRecordState;

/** HzbSchedulingClass: the scheduling class of a waiting job. Higher classes are served first, see
 * scheduling-class.h. */
typedef enum
{
  HZB_SCHEDULING_CLASS_BEST_EFFORT,       /**< Work of a team without a guarantee, on leftover resources. */
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

/** HZB_UNCONFIRMED_TASKS_OF_LEADER: value of HzbMachine.unconfirmed_tasks_owner for a machine on which an earlier
 * leader may have started tasks. */
#define HZB_UNCONFIRMED_TASKS_OF_LEADER 0u

/** HZB_UNCONFIRMED_TASKS_OF_NONE: value of HzbMachine.unconfirmed_tasks_owner for a machine that cannot hold
 * unconfirmed tasks: this controller has already assigned to the machine all tasks that may be on it. */
#define HZB_UNCONFIRMED_TASKS_OF_NONE 255u

/** HzbMachine: a machine. The fields are grouped by subject. */
struct _HzbMachine
{
  /** `name` Identity
   * @{ */
  char *name;                 /**< Name of the machine in the cloud. */
  char *addr;                 /**< (nullable) Address of its worker, host:port. */
  char *type_name;            /**< Name of the machine type. */
  char *zone;                 /**< Name of the zone. */
  const HzbMachineType *type; /**< (nullable) Not owned; NULL: the list of types lacks the type or is not known. */
  gboolean spot;              /**< A spot instance, which the cloud may reclaim. */
  /** @} */

  /** `name` Life cycle
   * @{ */
  HzbMachineState state;  /**< Changed by hzb_machine_set_state() only. */
  struct timespec since;  /**< When the machine entered its current state. */
  struct timespec rented; /**< When it was rented; for a machine loaded from the records, when it first became known. */
  struct timespec idle_since; /**< Start of its idle time: when a heartbeat last found tasks on it, or it was added,
                                 reclaimed from a leaseholder or kept from scale-in. */
  gboolean known_to_cloud; /**< The machine was rented by this leader, has a record, or is in the cloud's inventory. A
                              machine known only by a heartbeat may no longer exist: the heartbeat may be a delayed
                              duplicate. */
  HzbMachineRecordState record_state; /**< Changed by hzb_machine_set_record_state() only. */
  guint page;                         /**< Number of the leader's record page that has the machine; 0: none. */
  gboolean drain;                     /**< An operator has requested a drain of the machine. */
  gboolean scale_in_requested;        /**< The machine is to be returned to the cloud. */
  gboolean scale_in_candidate;        /**< It gets no new tasks, because there are more machines than the work needs. */
  guint plans_in_surplus;             /**< Consecutive plans of the autoscaler in which the machine was surplus. */
  gboolean held_for_waiting_job;  /**< A waiting job will be placed on it, so it is not returned and does not become a
                                     scale-in candidate, see placement-check.h. */
  gboolean reserved_for_services; /**< It runs only replicas of services, so that a replica finds room at once. */
  /** @} */

  /** `name` Heartbeats of its worker, and the fencing token
   * @{ */
  guint64 agent_epoch; /**< Epoch of the worker's agent. An agent of a new epoch has no tasks of an earlier epoch. */
  guint64 sequence;    /**< Sequence number of the last heartbeat within the epoch. */
  guint64 expired_agent_epoch;           /**< All agent epochs up to this one have ended, so a heartbeat of one of
                                            them is a delayed one. */
  guint64 fencing_token;                 /**< The fencing token sent in responses to its worker. */
  guint64 first_exclusive_fencing_token; /**< From this fencing token on, only this owner has sent commands to the
                                            machine, so a heartbeat under such a token lists every task that can be
                                            on it. */
  gboolean verified;                     /**< A heartbeat under this owner's fencing token has arrived. */
  guint8 unconfirmed_tasks_owner; /**< While unverified: the owner whose unconfirmed tasks may be on it: the number (1
                                     and up) of a leaseholder whose shard was reclaimed,
                                     HZB_UNCONFIRMED_TASKS_OF_LEADER or HZB_UNCONFIRMED_TASKS_OF_NONE. */
  struct timespec last_heartbeat; /**< When its last heartbeat arrived. */
  struct timespec last_response;  /**< When its last heartbeat was answered, which may have renewed its lease. */
  guint ignored_responses;        /**< Heartbeats since the last one that showed the effect of a response. Each of them
                                     was sent under an older fencing token, or listed none of the tasks that the worker
                                     was told to start. */
  gboolean unreachable; /**< A one-way network partition is suspected: the machine gets no work until a heartbeat
                           shows the fencing token that was issued since. */
  struct timespec unreachable_since; /**< When the partition was first suspected. */
  guint heartbeat_count;             /**< Number of heartbeats processed, see HzbTask.last_heartbeat_round. */
  HzbSentStarts *sent_starts;        /**< Start commands of which its worker may still take a late copy. */
  guint quarantined;                 /**< Tasks in its last heartbeat that no record names and that are left running. */
  /** @} */

  /** `name` Lease to another controller
   * @{ */
  guint8 leaseholder;        /**< Number (1 and up) of the leaseholder that the machine is leased to; 0: none. */
  gboolean lease_sent;       /**< The machine was sent to the leaseholder. */
  gboolean recall_requested; /**< On the leader: the leaseholder was asked to return the machine. On the
                                leaseholder: the leader has asked for the machine. */
  gboolean recall_at_once;   /**< The machine is to be returned together with all tasks that are on it. */
  /** @} */

  /** `name` Tasks and used resources
   * @{ */
  guint listed_others; /**< Attempts in its last heartbeat that are not in `tasks`, such as exited ones. */
  GPtrArray *tasks;    /**< (element-type HzbTask) Tasks that are, or may be, on the machine; not owned. */
  GQueue run_queues[HZB_N_SCHEDULING_CLASSES]; /**< (element-type HzbTask) Tasks that wait for the machine, by
                                                  scheduling class, in FIFO order; not owned. */
  double cpus;                                 /**< CPUs used by tasks. */
  double gpus;                                 /**< GPUs used by tasks. */
  double memory_gb;                            /**< GB of memory used by tasks. */
  double service_cpus;        /**< The part of cpus used by replicas of services, which do not end by themselves. */
  double service_memory_gb;   /**< The part of memory_gb used by replicas. */
  double queued_service_cpus; /**< CPUs of the replicas in its run queues. */
  double queued_service_memory_gb; /**< GB of memory of the replicas in its run queues. */
  /** @} */

  /** `name` Cost of placing a task on the machine
   * @{ */
  HzbEstimate estimates[HZB_N_SCHEDULING_CLASSES]; /**< For each scheduling class, the work that a new task of the class
                                                      would wait for. */
  gboolean estimate_stale;                         /**< The estimates no longer match the tasks and run queues. */
  GHashTable *images;                              /**< Set of image names (GRefString) that are on the machine. */
  GHashTable *expected_images; /**< Set of image names (GRefString) that its tasks and run queues will fetch, as of the
                                  last heartbeat. */
  /** @} */

  /** `name` Task failures on the machine
   * @{ */
  GHashTable *failed_jobs; /**< Name of job -> number of failures since a task last succeeded, or ran for a while, on
                              the machine. */
  char *last_failed_job;   /**< (nullable) Name of the job whose task failed last on the machine. */
  struct timespec last_failure; /**< When that task failed. */
  /** @} */
};

/** hzb_machine_name: Returns: (transfer none): the name of the machine */
const char *hzb_machine_name (const HzbMachine *machine);

/**
 * hzb_machine_state_name: the name of a machine state in logs and in the admin API.
 *
 * Returns: (transfer none)
 */
const char *hzb_machine_state_name (HzbMachineState state);

/**
 * hzb_machine_set_record_state: an illegal change is logged, and nothing changes.
 */
void hzb_machine_set_record_state (HzbMachine *machine, HzbMachineRecordState to);

/** hzb_machine_note_record_change: a recorded field of the machine has changed, so its record has to be written. */
void hzb_machine_note_record_change (HzbMachine *machine);

/** hzb_machine_is_recorded: whether the record is durable and current, which a start command requires. */
gboolean hzb_machine_is_recorded (const HzbMachine *machine);

/** hzb_machine_was_recorded: whether any record of it was ever durable. If not, no start command was sent to it. */
gboolean hzb_machine_was_recorded (const HzbMachine *machine);

/** hzb_machine_needs_record: whether a record has to be written and is not being written. */
gboolean hzb_machine_needs_record (const HzbMachine *machine);

/**
 * hzb_machine_set_fencing_token: sets the fencing token that responses to the machine carry from now on.
 *
 * The tasks on the machine are unknown until a heartbeat under this fencing token arrives.
 */
void hzb_machine_set_fencing_token (HzbMachine *machine, guint64 fencing_token);

/**
 * hzb_machine_mark_unreachable: marks a machine whose worker does not seem to receive responses.
 * `fencing_token`: a new fencing token; the machine gets no work until a heartbeat shows this token
 * `now`: the current time
 */
void hzb_machine_mark_unreachable (HzbMachine *machine, guint64 fencing_token, struct timespec now);

/** hzb_machine_enqueue: appends the task to the machine's run queue for the job's scheduling class. Called by
 * hzb_task_set_state() only. */
void hzb_machine_enqueue (HzbMachine *machine, HzbTask *task);

/** hzb_machine_dequeue: removes the task from the machine's run queues. Called by hzb_task_set_state() only. */
void hzb_machine_dequeue (HzbMachine *machine, HzbTask *task);

/** hzb_machine_add_task: adds the task and its resources to the machine. Called by hzb_task_set_state() only. */
void hzb_machine_add_task (HzbMachine *machine, HzbTask *task);

/** hzb_machine_remove_task: removes the task and its resources from the machine. Called by hzb_task_set_state()
 * only. */
void hzb_machine_remove_task (HzbMachine *machine, HzbTask *task);

/** hzb_machine_count_queued_tasks: Returns: the number of tasks in all run queues of the machine */
guint hzb_machine_count_queued_tasks (const HzbMachine *machine);

/** hzb_machine_is_up_or_booting: whether the machine is up, or is booting and expected to finish. */
gboolean hzb_machine_is_up_or_booting (const HzbMachine *machine, struct timespec now);

/** hzb_machine_is_usable: whether this controller may start new tasks on the machine, regardless of the job. */
gboolean hzb_machine_is_usable (const HzbMachine *machine);

/** hzb_machine_speed: as hzb_machine_type_speed(), less the room of the service replicas on this machine, which do not
 * end by themselves. */
guint hzb_machine_speed (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_fits_replica: whether a replica fits beside the replicas that run or are queued on the machine, if all
 * other tasks were stopped. */
gboolean hzb_machine_fits_replica (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_matches_constraints: whether the machine meets the job's placement constraints on resources, machine
 * type, zone and spot instances. Controllers of every schema version evaluate these constraints alike. */
gboolean hzb_machine_matches_constraints (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_is_eligible: whether the machine meets the constraints (hzb_machine_matches_constraints()) and is not
 * reserved for services. A service may also run on a reserved machine. */
gboolean hzb_machine_is_eligible (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_has_room: whether one more task of the job fits beside the tasks on the machine. */
gboolean hzb_machine_has_room (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_has_room_for: whether `n_tasks` more tasks of the job fit beside the tasks on the machine. */
gboolean hzb_machine_has_room_for (const HzbMachine *machine, const HzbJobSpec *spec, guint n_tasks);

/**
 * hzb_machine_zone_is_eligible: whether the submission's `samePlace` and `spread` allow a task of the job to start in
 * the machine's zone.
 *
 * Every task of the job that is, or may be, on a machine counts. The zone of an unconfirmed task is not known.
 */
gboolean hzb_machine_zone_is_eligible (const HzbJob *job, const HzbMachine *machine);

/** hzb_machine_image_fetch_s: the cost of fetching the job's image for a task placed on the machine, as the number of
 * seconds of waiting for the machine that would cost the same; 0: the machine has the image. */
double hzb_machine_image_fetch_s (const HzbMachine *machine, const HzbJobSpec *spec);

/** hzb_machine_note_failure: counts a failure of a task of the job on the machine. */
void hzb_machine_note_failure (HzbMachine *machine, const HzbJob *job, struct timespec now);

/** hzb_machine_note_success: clears the failures counted on the machine, because a task succeeded, or ran for a while,
 * there. */
void hzb_machine_note_success (HzbMachine *machine);

/** hzb_machine_avoids_job: whether a task of this job was the last one to fail on the machine, a short time ago. The
 * job's tasks are then tried on other machines first. */
gboolean hzb_machine_avoids_job (const HzbMachine *machine, const HzbJob *job, struct timespec now);
