/**
 * @file
 * SECTION: job
 *
 * A job and its tasks, as data.
 *
 * Each controller holds an HzbJob for each job that it has read from the replicated records. The controller that owns
 * tasks of the job (the leader, or a leaseholder) also keeps where each task is. jobs.h is the registry of jobs; task.h
 * has the one function that changes the state of a task.
 */
#pragma once
#include "clock.h"
#include "user-protocol.h"

typedef struct _HzbMachine HzbMachine; /**< A machine, see machine.h. */
typedef struct _HzbJob HzbJob;         /**< A job. */

/** HzbJobState: what the replicated records say of a job. */
typedef enum
{
  HZB_JOB_ACCEPTED,  /**< The job is recorded as accepted and is not terminal. */
  HZB_JOB_CANCELLED, /**< Terminal: the record of its cancellation exists. */
  HZB_JOB_DONE       /**< Terminal: the record of its completion exists. */
} HzbJobState;

/**
 * HzbTaskState: where a task is, as far as this controller knows.
 *
 * The order matters: the states from HZB_TASK_RESERVED to HZB_TASK_CHECKPOINTING are those in which a task takes room
 * on a machine, see hzb_task_on_machine().
 */
typedef enum
{
  HZB_TASK_PENDING,       /**< On no machine and in no run queue. */
  HZB_TASK_QUEUED,        /**< In a machine's run queue; no start command was sent. */
  HZB_TASK_UNCONFIRMED,   /**< May run on a machine that has not sent a heartbeat under the current fencing token. */
  HZB_TASK_OTHER_OWNER,   /**< On a leaseholder only: the task is in another controller's shard. */
  HZB_TASK_DELEGATED,     /**< On the leader only: the task is in a leased shard, whose leaseholder may run it. */
  HZB_TASK_RESERVED,      /**< Room on a machine is reserved for it; the start command has not been sent. */
  HZB_TASK_STARTING,      /**< The start command was sent; no newer heartbeat has come yet. */
  HZB_TASK_FETCHING,      /**< Its machine fetches the image. */
  HZB_TASK_WAITING,       /**< Of a gang: it is on its machine and waits for the other tasks. */
  HZB_TASK_RUNNING,       /**< It runs. */
  HZB_TASK_CHECKPOINTING, /**< It was told to stop and saves its progress. */
  HZB_TASK_FINISHED,      /**< Its result is known but not yet durable. */
  HZB_TASK_DONE,          /**< Its result is durable. */
  HZB_TASK_N_STATES       /**< Number of states. */
} HzbTaskState;

/** HzbTask: one task of a job, on the controller that owns it. */
typedef struct
{
  HzbJob *job;                /**< The job it belongs to; not owned. */
  HzbMachine *machine;        /**< (nullable) Where it is, or in whose run queue; not owned. */
  guint index;                /**< Its number in the job, from 0. */
  guint8 state;               /**< An HzbTaskState, changed by hzb_task_set_state() only. */
  guint8 tries;               /**< Failed attempts in a row, which the back-off is computed from. */
  guint8 leaseholder;         /**< The leaseholder (1 and up) that it was delegated to; 0: none. */
  gboolean stopping : 1;      /**< It is to be stopped, or a stop command was sent. */
  guint seen;                 /**< HzbMachine.round of the last heartbeat that named it. */
  guint64 attempt;            /**< Number of its current start; never used twice in a job. */
  struct timespec since;      /**< When it entered its state. */
  struct timespec not_before; /**< Back-off after a failure: it does not start earlier. */
} HzbTask;

/** HzbJob: a job. The fields are grouped by who keeps them. */
struct _HzbJob
{
  /** `name` Identity, fixed once the acceptance record was read
   * @{ */
  char *uid;                /**< Its name. */
  HzbJobSpec *spec;         /**< (nullable) What the user asked for; NULL: terminal, and no tasks of it are here. */
  guint n_tasks;            /**< Number of tasks. */
  int team;                 /**< Index into the settings' teams; -1: the settings do not name its team. */
  struct timespec accepted; /**< When it was accepted, time of day. */
  /** @} */

  /** `name` What the replicated records say of it, kept by jobs.c on every controller
   * @{ */
  HzbJobState state;   /**< Accepted, or how it ended. */
  guint64 version;     /**< Revision of its completion record; 0: there is none. */
  GSList *acceptances; /**< (element-type HzbAcceptance) While not terminal: all acceptance records that name it. */
  guint named;         /**< How many acceptance records name it, terminal or not. */
  guint load;          /**< HzbJobs.load of the last full reading that showed it. */
  gboolean cancel_acknowledged; /**< Cancelled, and no controller can act without knowing that. */
  gboolean archiving;           /**< Its record is being moved to the archive of completed jobs. */
  /** @} */

  /** `name` Where its tasks are, on their owner only; counted by hzb_task_set_state()
   * @{ */
  HzbTask *tasks;          /**< (nullable) One for each task; NULL: this controller owns none of them. */
  guint cursor;            /**< Tasks from here on have never been placed. */
  GQueue retry;            /**< (element-type HzbTask) Tasks that are pending again after they were elsewhere. */
  guint pending;           /**< Tasks in HZB_TASK_PENDING, released or not. */
  guint queued;            /**< Tasks in HZB_TASK_QUEUED. */
  guint unconfirmed;       /**< Tasks in HZB_TASK_UNCONFIRMED. */
  guint other_owner;       /**< Tasks in HZB_TASK_OTHER_OWNER. */
  guint placed;            /**< Tasks on a machine, or delegated to a leaseholder. */
  guint running;           /**< Of these, running or checkpointing on machines of this controller's own. */
  guint delegated_running; /**< Running on machines of leaseholders, as these say. */
  guint delegated_on_recalled_machines; /**< Of the delegated tasks, those on machines that the leader has recalled. */
  guint finished;                       /**< Tasks in HZB_TASK_FINISHED. */
  guint done;                           /**< Tasks in HZB_TASK_DONE. */
  guint64 next_attempt;                 /**< The last attempt number given out. */
  gboolean awaits_verdict; /**< After a cold start: no command is given for it until its verdict is durable, see
                              reconciliation.h. */
  gboolean announced_to_leaseholders; /**< The leader has announced its cancellation to the leaseholders. */
  /** @} */

  /** `name` What of it is recorded, on the leader only; kept by src/records
   * @{ */
  guint released;             /**< Tasks below this number may have been started: this mark is durable. */
  guint releasing;            /**< The mark that is being written; at least released. */
  gboolean release_requested; /**< A machine could take more tasks than are released. */
  gboolean dirty;             /**< Its progress changed since it was written last. */
  gboolean completing;        /**< Its completion record is being written. */
  gboolean on_pages;          /**< Its progress is on the leader's pages. */
  gboolean
      has_schema_1_parts; /**< Its progress is in the large parts of schema version 1, which stay while a controller of that
                       version runs. */
  /** @} */

  /** `name` Its place in the order of service, kept by hzb_scheduling_classes_update()
   * @{ */
  guint8 scheduling_class; /**< An HzbSchedulingClass (machine.h). */
  gboolean guaranteed;     /**< It fits its team's guarantee, together with the team's older jobs. */
  gboolean start_overdue;  /**< No task has started for long: its first task goes before other work. */
  double mean_s;           /**< Best guess of a task's run time in seconds; 0: the user's estimate holds. */
  struct timespec since;   /**< When it was accepted, on the steady clock. */
  /** @} */

  /** `name` How it has fared, which decides where and how fast its tasks are tried
   * @{ */
  guint failures;                      /**< Failures in a row, without a task doing well in between. */
  char *failed_on;                     /**< (nullable) Name of the first machine on which a task failed. */
  gboolean failed_on_several_machines; /**< Tasks have failed on more than one machine. */
  gboolean did_well;                   /**< A task has succeeded, or has run for a while. */
  struct timespec not_before;          /**< Back-off after failures: nothing of it starts earlier. */
  /** @} */

  /** `name` Whether it waits in vain, kept by hzb_headroom_reserve()
   * @{ */
  guint begun;                 /**< Tasks that had begun when that function last examined the job. */
  struct timespec waits_since; /**< No more tasks have begun since then, although the team's limit allows it; unset: not
                                  examined. */
  /** @} */
};

/** hzb_job_clear_owner_state: forgets where the job's tasks are, and all else that only their owner keeps. */
void hzb_job_clear_owner_state (HzbJob *job);

/**
 * hzb_task_state_name: the name of a task's state in logs.
 *
 * Returns: (transfer none)
 */
const char *hzb_task_state_name (HzbTaskState state);

/** hzb_task_on_machine: whether the task takes room on a machine. */
gboolean hzb_task_on_machine (const HzbTask *task);

/**
 * hzb_task_remaining_s: how many seconds the task is expected to run from `now` on, if it runs on this controller's
 * machine.
 *
 * Returns: 0 for a replica of a service: it takes its room for good and leaves no work that others would wait for
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
 * hzb_job_take_pending: takes a task that may start now off the job's waiting tasks, those that waited again first.
 *
 * If only the released mark is in the way, HzbJob.release_requested is set.
 *
 * Returns: (transfer none) (nullable): NULL if no task may start now
 */
HzbTask *hzb_job_take_pending (HzbJob *job, struct timespec now);

/** hzb_job_spec_grace_s: seconds that a task of this job is given to save a checkpoint when it is stopped; 0: it has no
 * checkpoints. */
double hzb_job_spec_grace_s (const HzbJobSpec *spec);
