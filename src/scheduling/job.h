/**
 * @file
 * SECTION: job
 *
 * A job and its tasks, as data.
 *
 * Each controller holds an HzbJob for each job that it has read from the replicated records. The controller that owns
 * tasks of the job (the leader, or a leaseholder) also keeps the state and the machine of each task. jobs.h is the
 * registry of jobs; task.h has the one function that changes the state of a task.
 */
#pragma once
#include "clock.h"
#include "user-protocol.h"

typedef struct _HzbMachine HzbMachine;     /**< A machine, see machine.h. */
typedef struct _HzbJob HzbJob;             /**< A job. */
typedef struct _HzbTaskTable HzbTaskTable; /**< The tasks of a job, see task-table.h. */

/** HzbJobState: the state of a job according to the replicated records. */
typedef enum
{
  HZB_JOB_ACCEPTED,  /**< The job is recorded as accepted and is not terminal. */
  HZB_JOB_CANCELLED, /**< Terminal: the record of its cancellation exists. */
  HZB_JOB_DONE       /**< Terminal: the record of its completion exists. */
} HzbJobState;

/**
 * HzbTaskState: the state of a task, as far as this controller knows.
 *
 * The order matters: in the states from HZB_TASK_RESERVED to HZB_TASK_CHECKPOINTING a task takes resources of a
 * machine, see hzb_task_on_machine().
 */
typedef enum
{
  HZB_TASK_PENDING,       /**< On no machine and in no run queue. */
  HZB_TASK_QUEUED,        /**< In a machine's run queue; no start command was sent. */
  HZB_TASK_UNCONFIRMED,   /**< May run on a machine that has not sent a heartbeat under the current fencing token. */
  HZB_TASK_OTHER_OWNER,   /**< On a leaseholder only: the task is in another controller's shard. */
  HZB_TASK_DELEGATED,     /**< On the leader only: the task is in a leased shard, whose leaseholder may run it. */
  HZB_TASK_RESERVED,      /**< Resources of a machine are reserved for it; the start command has not been sent. */
  HZB_TASK_STARTING,      /**< The start command was sent; no newer heartbeat has been received. */
  HZB_TASK_FETCHING,      /**< Its machine fetches the image. */
  HZB_TASK_WAITING,       /**< Gangs only: the task is on its machine and waits for the other tasks of the gang. */
  HZB_TASK_RUNNING,       /**< The task runs. */
  HZB_TASK_CHECKPOINTING, /**< The task was told to stop and saves a checkpoint. */
  HZB_TASK_FINISHED,      /**< Its result is known but not yet durable. */
  HZB_TASK_DONE,          /**< Its result is durable. */
  HZB_TASK_N_STATES       /**< Number of states. */
} HzbTaskState;

/** HzbTask: one tracked task of a job, on the controller that owns it. A task without an HzbTask is at rest, see
 * task-table.h. */
typedef struct
{
  HzbJob *job;                 /**< The job it belongs to; not owned. */
  HzbMachine *machine;         /**< (nullable) The machine that it is on, or in whose run queue it is; not owned. */
  guint index;                 /**< Its index in the job, from 0. */
  guint8 state;                /**< An HzbTaskState, changed by hzb_task_set_state() only. */
  guint8 failed_attempts;      /**< Failed attempts in a row, which determine the back-off. */
  guint8 leaseholder;          /**< The leaseholder (1 and up) that it was delegated to; 0: none. */
  gboolean stopping : 1;       /**< It is to be stopped, or a stop command was sent. */
  gboolean in_retry_queue : 1; /**< `retry_link` is in the job's retry queue. Only in HZB_TASK_PENDING. */
  guint last_heartbeat_round;  /**< HzbMachine.heartbeat_count of the last heartbeat that listed the task. */
  guint64 attempt;             /**< Number of its current start; unique within the job. */
  struct timespec since;       /**< When it entered its state. */
  struct timespec not_before;  /**< Back-off after a failure: the task does not start before this time. */
  GList retry_link;            /**< Its link in the retry queue; `data` is the task itself. */
} HzbTask;

/** HzbJob: a job. The fields are grouped by the module that maintains them. */
struct _HzbJob
{
  /** `name` Identity, fixed once the acceptance record was read
   * @{ */
  char *uid;                /**< Its name. */
  HzbJobSpec *spec;         /**< (nullable) The submission; NULL: the job is terminal, and this controller owns none of
                               its tasks. */
  guint n_tasks;            /**< Number of tasks. */
  int team;                 /**< Index into the settings' teams; -1: the settings do not name its team. */
  struct timespec accepted; /**< When it was accepted, time of day. */
  /** @} */

  /** `name` State in the replicated records, maintained by jobs.c on every controller
   * @{ */
  HzbJobState state;   /**< Accepted, cancelled or done. */
  guint64 version;     /**< Revision of its completion record; 0: there is none. */
  GSList *acceptances; /**< (element-type HzbAcceptance) While not terminal: all acceptance records that name it. */
  guint n_acceptances; /**< Number of acceptance records that name it, terminal or not. */
  guint last_load;     /**< HzbJobs.load_number of the last full load that included it. */
  gboolean cancel_acknowledged; /**< Cancelled, and every controller that can issue commands knows of the
                                   cancellation. */
  gboolean archiving;           /**< Its record is being moved to the archive of completed jobs. */
  /** @} */

  /** `name` State of its tasks, on their owner only; counted by hzb_task_set_state()
   * @{ */
  HzbTaskTable *tasks;     /**< (nullable) Owned. NULL: this controller owns none of them. */
  guint cursor;            /**< Tasks from this index on have never been placed. */
  guint next_resolved;     /**< Pending tasks from this index on, up to `resolved_end`, go before the retry queue: they
                              were unconfirmed, and no machine has them. */
  guint resolved_end;      /**< See `next_resolved`. */
  GQueue retry;            /**< (element-type HzbTask) Tasks that returned to HZB_TASK_PENDING from another state; the
                              links are HzbTask.retry_link. */
  guint pending;           /**< Tasks in HZB_TASK_PENDING, released or not. */
  guint queued;            /**< Tasks in HZB_TASK_QUEUED. */
  guint unconfirmed;       /**< Tasks in HZB_TASK_UNCONFIRMED. */
  guint other_owner;       /**< Tasks in HZB_TASK_OTHER_OWNER. */
  guint placed;            /**< Tasks on a machine, or delegated to a leaseholder. */
  guint running;           /**< Of the placed tasks, those running or checkpointing on this controller's machines. */
  guint delegated_running; /**< Of the delegated tasks, those that leaseholders report as running. */
  guint delegated_on_recalled_machines; /**< Of the delegated tasks, those on machines that the leader has recalled. */
  guint finished;                       /**< Tasks in HZB_TASK_FINISHED. */
  guint done;                           /**< Tasks in HZB_TASK_DONE. */
  guint64 last_attempt;                 /**< The last attempt number that was assigned. */
  gboolean awaits_verdict; /**< After a cold start: no command is issued for it until its verdict is durable, see
                              reconciliation.h. */
  gboolean announced_to_leaseholders; /**< The leader has announced its cancellation to the leaseholders. */
  /** @} */

  /** `name` Progress records, on the leader only; maintained by src/records
   * @{ */
  guint released;             /**< The durable released mark: only tasks below this index may have been started. */
  guint releasing;            /**< The released mark that is being written; never below `released`. */
  gboolean release_requested; /**< The machines have capacity for more tasks than are released. */
  gboolean dirty;             /**< Its progress changed since it was last written. */
  gboolean completing;        /**< Its completion record is being written. */
  gboolean on_pages;          /**< Its progress is recorded on the leader's pages, each of which is a value of the
                                   key-value store that several jobs share. */
  gboolean
      has_schema_1_chunks; /**< Its progress is recorded in the large chunks of schema version 1, which stay while a
                                   controller of that version runs. */
  /** @} */

  /** `name` Scheduling order, maintained by hzb_scheduling_classes_update()
   * @{ */
  guint8 scheduling_class;  /**< An HzbSchedulingClass (machine.h). */
  gboolean guaranteed;      /**< It fits its team's guarantee, together with the team's older jobs. */
  gboolean start_overdue;   /**< No task was started within 120 seconds of acceptance: its first task goes before
                                   other work. Never set for gangs. */
  gboolean blocks_machines; /**< A waiting gang that could start if other work ended, see hzb_gang_update_blocking(). */
  double mean_s;            /**< Expected run time of a task in seconds; 0: the user's estimate is used. */
  struct timespec since;    /**< When it was accepted, on the monotonic clock. */
  /** @} */

  /** `name` Failure history, which decides where and how fast its tasks are retried
   * @{ */
  guint failures;                      /**< Failures in a row, without a success or a long run in between. */
  char *first_failed_machine;          /**< (nullable) Name of the first machine on which a task failed; owned. */
  gboolean failed_on_several_machines; /**< Tasks have failed on more than one machine. */
  gboolean proven_runnable;            /**< A task has succeeded, or has run for a while. */
  struct timespec not_before;          /**< Back-off after failures: no task of the job starts before this time. */
  /** @} */

  /** `name` Waiting, on the leader only; maintained by job-waiting.c
   * @{ */
  guint begun_tasks;             /**< Tasks that ran, or had run, when the job was last examined. */
  struct timespec waiting_since; /**< No more tasks have begun since then; unset: not examined. */
  guint32 returned_by;           /**< Bit for each leaseholder that has lately returned a task unstarted. */
  struct timespec returned_at;   /**< When a leaseholder last did so. */
  /** @} */

  /** `name` Scale-out, on the leader only
   * @{ */
  /** (nullable) For a job with `samePlace`: the zone in which machines are rented for it, see placement-check.h.
   * Interned. */
  const char *planned_zone;
  /** @} */

  /** `name` Starvation, maintained by hzb_headroom_reserve()
   * @{ */
  guint started_tasks;           /**< Tasks that had started when that function last examined the job. */
  struct timespec starved_since; /**< No more tasks have started since then, although the team's limit allows it; unset:
                                    not examined. */
  /** @} */
};

/** hzb_job_clear_owner_state: frees the job's tasks and resets all other fields that only the owner of tasks keeps. */
void hzb_job_clear_owner_state (HzbJob *job);

/**
 * hzb_task_state_name: the name of a task's state in logs.
 *
 * Returns: (transfer none)
 */
const char *hzb_task_state_name (HzbTaskState state);

/** hzb_task_on_machine: whether the task takes resources of a machine. */
gboolean hzb_task_on_machine (const HzbTask *task);

/**
 * hzb_task_remaining_s: how many seconds the task is expected to run from `now` on, if it runs on this controller's
 * machine.
 *
 * Returns: 0 for a replica of a service: it keeps its resources permanently, so no other work waits for it to finish
 */
double hzb_task_remaining_s (const HzbTask *task, struct timespec now);

/**
 * hzb_job_status: the status that users are told.
 *
 * Returns: (transfer none): "queued", "running", "cancelled" or "done"
 */
const char *hzb_job_status (const HzbJob *job);

/** hzb_job_mean_s: the expected run time of one task in seconds, at least 0.1. */
double hzb_job_mean_s (const HzbJob *job);

/**
 * hzb_job_take_pending: takes a task that may start now off the job's pending tasks: first those that were unconfirmed,
 * then those that returned to pending from another state, then those that were never placed.
 *
 * Sets HzbJob.release_requested if the job has pending tasks but none of them is released.
 *
 * Returns: (transfer none) (nullable): NULL if no task may start now
 */
HzbTask *hzb_job_take_pending (HzbJob *job, struct timespec now);

/** hzb_job_put_back: returns a task that hzb_job_take_pending() took, so that it is the next to be taken. */
void hzb_job_put_back (HzbJob *job, HzbTask *task);

/** hzb_job_leave_retry_queue: takes the task off its job's retry queue, if it is there. */
void hzb_job_leave_retry_queue (HzbTask *task);

/** hzb_job_join_retry_queue: appends the task, which is pending, to its job's retry queue, unless it is there. */
void hzb_job_join_retry_queue (HzbTask *task);

/** hzb_job_spec_grace_s: seconds that a task of this job is given to save a checkpoint when it is stopped: the
 * duration of a checkpoint and one more second; 0: the job has no checkpoints. */
double hzb_job_spec_grace_s (const HzbJobSpec *spec);
