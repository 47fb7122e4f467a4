/**
 * SECTION: verdicts
 * @short_description: decides how a leadership starts, and what happens to jobs and tasks after a cold start
 *
 * Pure functions from evidence to verdicts: they do no I/O, read no clock and keep no state. Every decision of the
 * reconciliation is made here, so that it can be compared with a plain model (tests/test-reconciliation.c).
 */
#pragma once
#include <glib.h>

/* ---- the kind of start ---- */

/** HzbStartKind: how a leadership starts. */
typedef enum
{
  HZB_START_UNDECIDED, /**< a peer that may have survived has sent no heartbeat yet */
  HZB_START_FAILOVER,  /**< some controller has survived, or there is no evidence that all have ended */
  HZB_START_COLD       /**< every controller of the last leadership has ended */
} HzbStartKind;

/** HzbStartReason: the evidence that decided the kind of start. */
typedef enum
{
  HZB_START_REASON_PEERS_AWAITED,       /**< undecided: some peers have sent no heartbeat yet */
  HZB_START_REASON_NO_EARLIER_LEADER,   /**< failover: the key-value store has no flush record, so there is nothing to
                                           reconcile */
  HZB_START_REASON_NO_ROSTER,           /**< failover: the last leader recorded no roster, since it ran an earlier
                                           version or had reconciliation switched off */
  HZB_START_REASON_SELF_SURVIVED,       /**< failover: this process is on the roster */
  HZB_START_REASON_PEER_SURVIVED,       /**< failover: a peer that sent a heartbeat is on the roster */
  HZB_START_REASON_ALL_ENDED,           /**< cold: all peers sent a heartbeat, and none of them is on the roster */
  HZB_START_REASON_ALL_REACHABLE_ENDED, /**< cold: some peers stay unresponsive, and none of the others is on the
                                           roster */
  HZB_START_REASON_UNFINISHED,          /**< cold: an earlier reconciliation was not completed */
  HZB_START_N_REASONS                   /**< number of reasons */
} HzbStartReason;

/** HzbStartEvidence: what a new leader knows about the controller processes of the last leadership. */
typedef struct
{
  gboolean has_flush_record;    /**< the key-value store has a flush record: some leader has written one */
  gboolean has_roster;          /**< the flush record has a roster */
  gboolean self_on_roster;      /**< this process was alive under the last leader */
  gboolean peer_on_roster;      /**< a peer that is alive now was alive under the last leader */
  gboolean all_peers_contacted; /**< no peer is unresponsive */
  gboolean peer_wait_over;      /**< the leader no longer waits for unresponsive peers */
  gboolean unfinished;          /**< the key-value store has the record of an unfinished reconciliation, and no leader
                                   without reconciliation has led since */
} HzbStartEvidence;

/**
 * hzb_start_decide: tells a cold start from a failover.
 * `reason`: (out): the evidence that decided
 *
 * Returns: the kind of start; undecided until more peers have sent a heartbeat or the wait for them is over
 */
HzbStartKind hzb_start_decide (const HzbStartEvidence *evidence, HzbStartReason *reason);

/** hzb_start_reason_name: Returns: the reason's name in logs, archives and the administration API */
const char *hzb_start_reason_name (HzbStartReason reason);

/* ---- verdicts on jobs ---- */

/** HzbJobVerdict: what happens to a job. */
typedef enum
{
  HZB_JOB_VERDICT_HOLD,   /**< not decided yet: some machine may hold a task of the job */
  HZB_JOB_VERDICT_RESUME, /**< the tasks that were found continue, the others start again */
  HZB_JOB_VERDICT_FINISH, /**< every task has its result */
  HZB_JOB_VERDICT_CANCEL, /**< the job was cancelled: its tasks that were found are stopped */
  HZB_JOB_N_VERDICTS      /**< number of verdicts */
} HzbJobVerdict;

/** HzbJobReason: the evidence that decided the verdict on a job. Recorded as a number, so the order must not change. */
typedef enum
{
  HZB_JOB_REASON_MACHINES_AWAITED, /**< hold: an unverified machine may hold a task of the job */
  HZB_JOB_REASON_BARRIER,          /**< hold: the settings require all machines to be accounted for before any job
                                      continues */
  HZB_JOB_REASON_NEVER_STARTED,    /**< resume: no task was released, so none can run */
  HZB_JOB_REASON_ALL_FOUND,        /**< resume: every task that may have run was found */
  HZB_JOB_REASON_ACCOUNTED,        /**< resume: every machine that may hold the other tasks has answered or is gone */
  HZB_JOB_REASON_ALL_RESULTS,      /**< finish: every task has its result */
  HZB_JOB_REASON_CANCELLED,        /**< cancel: the job was cancelled */
  HZB_JOB_N_REASONS                /**< number of reasons */
} HzbJobReason;

/** HzbJobEvidence: what the key-value store and the heartbeats say about a job. */
typedef struct
{
  gboolean cancelled;        /**< the job's cancellation is on record */
  guint tasks;               /**< number of tasks of the job */
  guint released;            /**< the released mark on record: only tasks below this number may have been started */
  guint placed;              /**< number of tasks that were found on machines that have answered; only recorded with
                                the verdict, which does not depend on it */
  guint results;             /**< number of tasks with a result, durable or not */
  guint unconfirmed;         /**< number of tasks that may run on a machine that has not answered */
  gboolean machines_awaited; /**< a machine that has not answered may hold a task of the job */
  gboolean barrier;          /**< the settings require all machines to be accounted for, and some are not */
} HzbJobEvidence;

/**
 * hzb_job_verdict_decide: decides what happens to a job.
 * `reason`: (out): the evidence that decided
 *
 * Returns: the verdict on the job
 */
HzbJobVerdict hzb_job_verdict_decide (const HzbJobEvidence *evidence, HzbJobReason *reason);

/** hzb_job_verdict_name: Returns: the verdict's name in records and the administration API */
const char *hzb_job_verdict_name (HzbJobVerdict verdict);

/**
 * hzb_job_verdict_from_name: reads a verdict from its name.
 * `name`: (nullable): as hzb_job_verdict_name() returns it
 * `verdict`: (out): set only if the name is known
 *
 * Returns: %FALSE if no verdict has this name
 */
gboolean hzb_job_verdict_from_name (const char *name, HzbJobVerdict *verdict);

/** hzb_job_reason_name: Returns: the reason's name in logs and the administration API */
const char *hzb_job_reason_name (HzbJobReason reason);

/** hzb_job_reason_needs_record: Returns: whether the verdict rests on evidence that is not durable, so that the verdict
 * itself has to be recorded */
gboolean hzb_job_reason_needs_record (HzbJobReason reason);

/* ---- verdicts on tasks ---- */

/** HzbTaskVerdict: what happens to a task, whether or not a heartbeat reports it. */
typedef enum
{
  HZB_TASK_VERDICT_ADOPT,      /**< the task continues, or its result is accepted */
  HZB_TASK_VERDICT_AWAIT,      /**< nothing is done yet */
  HZB_TASK_VERDICT_RESTART,    /**< the task starts again: no machine holds it, or it ended without a result */
  HZB_TASK_VERDICT_REAP,       /**< the worker may drop the exited task */
  HZB_TASK_VERDICT_STOP,       /**< the worker is to stop the task */
  HZB_TASK_VERDICT_QUARANTINE, /**< no record names the task: it gets no command */
  HZB_TASK_N_VERDICTS          /**< number of verdicts */
} HzbTaskVerdict;

/** HzbTaskReason: the evidence that decided the verdict on a task. */
typedef enum
{
  HZB_TASK_REASON_FOUND_RUNNING,        /**< adopt: a machine that has answered runs it */
  HZB_TASK_REASON_RESULT_FOUND,         /**< adopt or await: its result is known and not durable yet */
  HZB_TASK_REASON_RESULT_DURABLE,       /**< reap, or adopt if no heartbeat reports the task: its result is durable */
  HZB_TASK_REASON_MACHINE_UNRESPONSIVE, /**< await: an unresponsive machine may hold it */
  HZB_TASK_REASON_NOWHERE,              /**< restart: no machine can hold it */
  HZB_TASK_REASON_ENDED_WITHOUT_RESULT, /**< restart, or reap if the leader has not placed it on this machine */
  HZB_TASK_REASON_SUPERSEDED,           /**< stop or reap: the leader has another attempt of the task, or has placed it
                                           on another machine */
  HZB_TASK_REASON_JOB_TERMINAL,         /**< stop or reap, or await if no heartbeat reports the task: its job is
                                           terminal */
  HZB_TASK_REASON_JOB_UNDECIDED,        /**< await: its job has no durable verdict, so no command is sent */
  HZB_TASK_REASON_ABSENCE_UNPROVEN,     /**< quarantine: it is not proven that no record names the task */
  HZB_TASK_REASON_OPERATOR_AWAITED,     /**< quarantine: it is proven that no record names the task, and an operator
                                           still has time to decide */
  HZB_TASK_REASON_KEPT_BY_OPERATOR,     /**< quarantine: it is proven that no record names the task, and an operator
                                           wants it kept */
  HZB_TASK_REASON_NO_RECORD,            /**< stop or reap: it is proven that no record names the task, and no operator
                                           wants it kept */
  HZB_TASK_N_REASONS                    /**< number of reasons */
} HzbTaskReason;

/** HzbRecordEvidence: what the key-value store says about a task's job. */
typedef enum
{
  HZB_RECORD_OPEN,            /**< the job is accepted and not terminal */
  HZB_RECORD_TERMINAL,        /**< the job is done or cancelled */
  HZB_RECORD_ABSENT_UNPROVEN, /**< this node's replica has no record of the job; a record may still exist */
  HZB_RECORD_ABSENT           /**< proven: neither the replica nor the archived completions have a record of the job,
                                 and no late write can add one */
} HzbRecordEvidence;

/** HzbLeaderEvidence: where the leader has placed a task, or whether it knows the task's result. */
typedef enum
{
  HZB_KNOWN_UNPLACED,         /**< the task is pending or unconfirmed, or the leader does not know it */
  HZB_KNOWN_PLACED_HERE,      /**< this attempt is on the machine whose heartbeat reports it */
  HZB_KNOWN_PLACED_ELSEWHERE, /**< another attempt of the task is placed, or this attempt is on another machine */
  HZB_KNOWN_RESULT,           /**< the task's result is known and not durable yet */
  HZB_KNOWN_RESULT_DURABLE    /**< the task's result is durable */
} HzbLeaderEvidence;

/** HzbHeartbeatEvidence: what a worker's heartbeat says about a task. */
typedef enum
{
  HZB_REPORTED_ALIVE,  /**< the task has not exited */
  HZB_REPORTED_RESULT, /**< the task has exited with a result */
  HZB_REPORTED_ENDED,  /**< the task has exited without a result */
  HZB_NOT_REPORTED     /**< no heartbeat reports the task */
} HzbHeartbeatEvidence;

/** HzbOperatorDecision: an operator's decision about a quarantined task. */
typedef enum
{
  HZB_OPERATOR_UNDECIDED, /**< no decision yet */
  HZB_OPERATOR_KEEP,      /**< the task continues, under later leaders too */
  HZB_OPERATOR_STOP       /**< the task is stopped */
} HzbOperatorDecision;

/** HzbTaskEvidence: what is known about a task. */
typedef struct
{
  HzbRecordEvidence record;              /**< the key-value store's evidence about the task's job */
  HzbLeaderEvidence known;               /**< the leader's evidence about the task */
  HzbHeartbeatEvidence reported;         /**< the heartbeat's evidence about the task */
  gboolean machines_awaited;             /**< used if no heartbeat reports the task: some machine may hold it */
  gboolean job_decided;                  /**< the verdict on the task's job is durable */
  HzbOperatorDecision operator_decision; /**< used if no record names the task */
  gboolean operator_wait_over;           /**< used if no record names the task: the time to decide is over */
} HzbTaskEvidence;

/**
 * hzb_task_verdict_decide: decides what happens to a task.
 * `reason`: (out): the evidence that decided
 *
 * Returns: the verdict on the task
 */
HzbTaskVerdict hzb_task_verdict_decide (const HzbTaskEvidence *evidence, HzbTaskReason *reason);

/** hzb_task_verdict_name: Returns: the verdict's name in logs, archives and the administration API */
const char *hzb_task_verdict_name (HzbTaskVerdict verdict);

/** hzb_task_reason_name: Returns: the reason's name in logs, archives and the administration API */
const char *hzb_task_reason_name (HzbTaskReason reason);
