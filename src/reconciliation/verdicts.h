/**
 * SECTION: verdicts
 * @short_description: what becomes of jobs and tasks after a cold start
 *
 * Pure functions from evidence to verdicts: no I/O, no clock, no state. Everything that the reconciliation decides is
 * decided here, so that it can be compared with a plain model (tests/test-reconciliation.c).
 */
#pragma once
#include <glib.h>

/* ---- how a leadership began ---- */

/** HzbStartKind: how this leadership began. */
typedef enum
{
  HZB_START_UNDECIDED,        /**< a peer that may have survived has sent no heartbeat yet */
  HZB_START_CHANGE_OF_LEADER, /**< some controller has survived, or nothing says that none has */
  HZB_START_COLD              /**< every controller of the last leadership has ended */
} HzbStartKind;

/** HzbStartReason: the evidence that decided about the kind of start. */
typedef enum
{
  HZB_START_REASON_PEERS_AWAITED,       /**< undecided: some peers have sent no heartbeat yet */
  HZB_START_REASON_NO_EARLIER_LEADER,   /**< the key-value store has no flush record: there is nothing to reconcile */
  HZB_START_REASON_NO_ROSTER,           /**< the last leader recorded no roster: an earlier version, or switched off */
  HZB_START_REASON_SELF_SURVIVED,       /**< this process is on the roster */
  HZB_START_REASON_PEER_SURVIVED,       /**< a peer that sent a heartbeat is on the roster */
  HZB_START_REASON_ALL_ENDED,           /**< all peers sent a heartbeat, and none is on the roster */
  HZB_START_REASON_ALL_REACHABLE_ENDED, /**< some peers stay unresponsive; no other one is on the roster */
  HZB_START_REASON_UNFINISHED,          /**< an earlier reconciliation was not completed */
  HZB_START_N_REASONS                   /**< how many reasons there are */
} HzbStartReason;

/** HzbStartEvidence: what a new leader knows about the processes before it. */
typedef struct
{
  gboolean has_flush_record;    /**< some leader has written one */
  gboolean has_roster;          /**< the flush record has a roster */
  gboolean self_on_roster;      /**< this process was alive under the last leader */
  gboolean peer_on_roster;      /**< a peer that is alive was alive under the last leader */
  gboolean all_peers_contacted; /**< no peer is unresponsive */
  gboolean patience_over;       /**< unresponsive peers are not waited for any more */
  gboolean
      unfinished; /**< an unfinished reconciliation is on record, and no leader without reconciliation has led since */
} HzbStartEvidence;

/**
 * hzb_start_decide: tells a cold start from a change of leader.
 * `reason`: (out): the evidence that decided
 *
 * Returns: the kind of start; undecided until more peers have sent a heartbeat or patience is over
 */
HzbStartKind hzb_start_decide (const HzbStartEvidence *evidence, HzbStartReason *reason);

/** hzb_start_reason_name: Returns: the reason's name in logs, archives and the administration API */
const char *hzb_start_reason_name (HzbStartReason reason);

/* ---- jobs ---- */

/** HzbJobVerdict: the fate of a job. */
typedef enum
{
  HZB_JOB_VERDICT_HOLD,   /**< not decided yet: some machine may hold a task of the job */
  HZB_JOB_VERDICT_RESUME, /**< what was found goes on, the rest starts again */
  HZB_JOB_VERDICT_FINISH, /**< every task has its result */
  HZB_JOB_VERDICT_CANCEL, /**< the job was cancelled: what was found is stopped */
  HZB_JOB_N_VERDICTS      /**< how many verdicts there are */
} HzbJobVerdict;

/** HzbJobReason: the evidence that decided about a job. Recorded as a number, so the order must not change. */
typedef enum
{
  HZB_JOB_REASON_MACHINES_AWAITED, /**< hold: an unverified machine may hold a task of the job */
  HZB_JOB_REASON_BARRIER,          /**< hold: the operator wants all machines accounted for before any job goes on */
  HZB_JOB_REASON_NEVER_STARTED,    /**< resume: no task was released, so none can run */
  HZB_JOB_REASON_ALL_FOUND,        /**< resume: every task that may have run was found */
  HZB_JOB_REASON_ACCOUNTED,        /**< resume: every machine that may hold the other tasks has answered or is gone */
  HZB_JOB_REASON_ALL_RESULTS,      /**< finish */
  HZB_JOB_REASON_CANCELLED,        /**< cancel */
  HZB_JOB_N_REASONS                /**< how many reasons there are */
} HzbJobReason;

/** HzbJobEvidence: what is known of a job, from the key-value store and from heartbeats. */
typedef struct
{
  gboolean cancelled;        /**< its cancellation is on record */
  guint tasks;               /**< how many it has */
  guint released;            /**< on record: only tasks below this mark may have been started */
  guint found;               /**< tasks on machines that have answered */
  guint results;             /**< tasks with a result, durable or not */
  guint unconfirmed;         /**< tasks that may run on a machine that has not answered */
  gboolean machines_awaited; /**< such a machine may hold a task of this job */
  gboolean barrier;          /**< the operator wants all machines accounted for, and some are not */
} HzbJobEvidence;

/**
 * hzb_job_verdict_decide:
 * `reason`: (out): the evidence that decided
 *
 * Returns: the fate of the job
 */
HzbJobVerdict hzb_job_verdict_decide (const HzbJobEvidence *evidence, HzbJobReason *reason);

/** hzb_job_verdict_name: Returns: the verdict's name in records and the administration API */
const char *hzb_job_verdict_name (HzbJobVerdict verdict);

/**
 * hzb_job_verdict_from_name:
 * `name`: (nullable)
 * `verdict`: (out)
 *
 * Returns: %FALSE if there is no such verdict
 */
gboolean hzb_job_verdict_from_name (const char *name, HzbJobVerdict *verdict);

/** hzb_job_reason_name: Returns: the reason's name in logs and the administration API */
const char *hzb_job_reason_name (HzbJobReason reason);

/** hzb_job_reason_needs_record: Returns: whether the verdict rests on more than what is durable anyway, and has to be
 * recorded */
gboolean hzb_job_reason_needs_record (HzbJobReason reason);

/* ---- tasks ---- */

/** HzbTaskVerdict: the fate of a task that a heartbeat shows, or that no heartbeat shows. */
typedef enum
{
  HZB_TASK_VERDICT_ADOPT,      /**< the task goes on, or its result is taken */
  HZB_TASK_VERDICT_AWAIT,      /**< nothing is done yet */
  HZB_TASK_VERDICT_RESTART,    /**< the task is nowhere, or ended without a result */
  HZB_TASK_VERDICT_REAP,       /**< the worker may forget the exited task */
  HZB_TASK_VERDICT_STOP,       /**< the worker is to end the task */
  HZB_TASK_VERDICT_QUARANTINE, /**< no record names the task: it is left alone */
  HZB_TASK_N_VERDICTS          /**< how many verdicts there are */
} HzbTaskVerdict;

/** HzbTaskReason: the evidence that decided about a task. */
typedef enum
{
  HZB_TASK_REASON_FOUND_RUNNING,        /**< adopt: a machine that has answered runs it */
  HZB_TASK_REASON_RESULT_FOUND,         /**< adopt or await: its result is known and not durable yet */
  HZB_TASK_REASON_RESULT_DURABLE,       /**< reap, or adopt if no heartbeat shows the task */
  HZB_TASK_REASON_MACHINE_UNRESPONSIVE, /**< await: an unresponsive machine may hold it */
  HZB_TASK_REASON_NOWHERE,              /**< restart: no machine can hold it */
  HZB_TASK_REASON_ENDED_WITHOUT_RESULT, /**< restart, or reap if the leader does not have it there */
  HZB_TASK_REASON_SUPERSEDED,           /**< stop or reap: another attempt of the task is where it should be */
  HZB_TASK_REASON_JOB_OVER,             /**< stop or reap: its job is terminal */
  HZB_TASK_REASON_JOB_UNDECIDED,        /**< await: its job has no durable verdict, so no command is given */
  HZB_TASK_REASON_RECORD_MAY_COME,      /**< quarantine: that no record names it is not proven */
  HZB_TASK_REASON_OPERATOR_AWAITED,     /**< quarantine: proven, and an operator has time to decide */
  HZB_TASK_REASON_KEPT_BY_OPERATOR,     /**< quarantine: proven, and an operator wants it kept */
  HZB_TASK_REASON_NO_RECORD,            /**< stop or reap: proven, and no operator wants it kept */
  HZB_TASK_N_REASONS                    /**< how many reasons there are */
} HzbTaskReason;

/** HzbRecordEvidence: what the key-value store says of a task's job. */
typedef enum
{
  HZB_RECORD_OPEN,            /**< accepted, not terminal */
  HZB_RECORD_OVER,            /**< done or cancelled */
  HZB_RECORD_ABSENT_UNPROVEN, /**< not in this node's replica */
  HZB_RECORD_ABSENT /**< neither in the replica nor among archived completions, both proven, and no late write can come */
} HzbRecordEvidence;

/** HzbTaskStanding: where the leader has the task. */
typedef enum
{
  HZB_STANDING_NOWHERE,   /**< it is pending, or unconfirmed */
  HZB_STANDING_HERE,      /**< this attempt, on the machine that shows it */
  HZB_STANDING_ELSEWHERE, /**< another attempt, or another machine */
  HZB_STANDING_RESULT,    /**< its result is known, and not durable */
  HZB_STANDING_DURABLE    /**< its result is durable */
} HzbTaskStanding;

/** HzbTaskShown: what the heartbeat shows of the task. */
typedef enum
{
  HZB_SHOWN_ALIVE,  /**< it runs */
  HZB_SHOWN_RESULT, /**< it has ended with a result */
  HZB_SHOWN_ENDED,  /**< it has ended without a result */
  HZB_SHOWN_NOT     /**< no heartbeat shows it */
} HzbTaskShown;

/** HzbOperatorDecision: what an operator wants done with a quarantined task. */
typedef enum
{
  HZB_OPERATOR_UNDECIDED, /**< no decision yet */
  HZB_OPERATOR_KEEPS,     /**< the task goes on, under later leaders too */
  HZB_OPERATOR_STOPS      /**< the task is stopped */
} HzbOperatorDecision;

/** HzbTaskEvidence: what is known of a task. */
typedef struct
{
  HzbRecordEvidence record;              /**< of its job */
  HzbTaskStanding standing;              /**< at the leader */
  HzbTaskShown shown;                    /**< by the heartbeat */
  gboolean machines_awaited;             /**< for tasks that are not shown: some machine may hold it */
  gboolean job_decided;                  /**< its job's verdict is durable */
  HzbOperatorDecision operator_decision; /**< for tasks that no record names */
  gboolean operator_time_over;           /**< for tasks that no record names: operators had their time */
} HzbTaskEvidence;

/**
 * hzb_task_verdict_decide:
 * `reason`: (out): the evidence that decided
 *
 * Returns: the fate of the task
 */
HzbTaskVerdict hzb_task_verdict_decide (const HzbTaskEvidence *evidence, HzbTaskReason *reason);

/** hzb_task_verdict_name: Returns: the verdict's name in logs, archives and the administration API */
const char *hzb_task_verdict_name (HzbTaskVerdict verdict);

/** hzb_task_reason_name: Returns: the reason's name in logs, archives and the administration API */
const char *hzb_task_reason_name (HzbTaskReason reason);
