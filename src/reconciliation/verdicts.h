/**
 * SECTION: verdicts
 * @short_description: what becomes of jobs and tasks after a cold start
 *
 * Pure functions from evidence to verdicts: no I/O, no clock, no state. Everything that the reconciliation decides is
 * decided here, so that it can be compared with a plain model (tests/test-reconciliation.c).
 */
#pragma once
#include <glib.h>

/** HzbStartKind: how this leadership began. */
typedef enum
{
  HZB_START_UNDECIDED,        /* a peer that may have survived was not heard yet */
  HZB_START_CHANGE_OF_LEADER, /* some controller has survived, or nothing says that none has */
  HZB_START_COLD              /* every controller of the last leadership has ended */
} HzbStartKind;

typedef enum
{
  HZB_START_REASON_PEERS_AWAITED,
  HZB_START_REASON_NO_EARLIER_LEADER,   /* the store has no flush record: there is nothing to reconcile */
  HZB_START_REASON_NO_ROSTER,           /* the last leader recorded none: an earlier version, or switched off */
  HZB_START_REASON_SELF_SURVIVED,       /* this process is on the roster */
  HZB_START_REASON_PEER_SURVIVED,       /* a peer that was heard is on it */
  HZB_START_REASON_ALL_ENDED,           /* all peers were heard, and none is */
  HZB_START_REASON_ALL_REACHABLE_ENDED, /* some peers stay silent; none that was heard is */
  HZB_START_REASON_UNFINISHED,          /* an earlier reconciliation was not completed */
  HZB_START_N_REASONS
} HzbStartReason;

/** HzbStartEvidence: */
typedef struct
{
  gboolean has_flush_record, has_roster;
  gboolean self_on_roster, peer_on_roster; /* of the processes that are alive */
  gboolean all_peers_heard, patience_over;
  gboolean unfinished; /* the store has an unfinished reconciliation, and nobody without one has led since */
} HzbStartEvidence;

/** hzb_start_decide: tells a cold start from a change of leader. */
HzbStartKind hzb_start_decide (const HzbStartEvidence *evidence, HzbStartReason *reason);
const char *hzb_start_reason_name (HzbStartReason reason);

/** HzbJobVerdict: the fate of a job. */
typedef enum
{
  HZB_JOB_VERDICT_HOLD,   /* not decided yet: some machine may hold a task of it */
  HZB_JOB_VERDICT_RESUME, /* what was found goes on, the rest starts again */
  HZB_JOB_VERDICT_FINISH, /* every task has its result */
  HZB_JOB_VERDICT_CANCEL, /* it was cancelled: what was found is stopped */
  HZB_JOB_N_VERDICTS
} HzbJobVerdict;

typedef enum
{
  HZB_JOB_REASON_MACHINES_AWAITED,
  HZB_JOB_REASON_BARRIER,       /* all machines are accounted for; this one's would be, the operator wants all jobs' */
  HZB_JOB_REASON_NEVER_STARTED, /* nothing of it was released: nothing of it can run */
  HZB_JOB_REASON_ALL_FOUND,     /* every task that may have run was found */
  HZB_JOB_REASON_ACCOUNTED,     /* every machine that may hold the others has answered or is gone */
  HZB_JOB_REASON_ALL_RESULTS,
  HZB_JOB_REASON_CANCELLED,
  HZB_JOB_N_REASONS
} HzbJobReason;

/** HzbJobEvidence: what is known of a job, from the store and from reports. */
typedef struct
{
  gboolean cancelled;
  guint tasks, released;     /* as recorded: only tasks below the mark may have been started */
  guint found, results;      /* on machines that have answered; with a result, durable or not */
  guint unconfirmed;         /* may run on a machine that has not answered */
  gboolean machines_awaited; /* such a machine may hold a task of this job */
  gboolean barrier;          /* the operator wants all machines accounted for, and some are not */
} HzbJobEvidence;

/** hzb_job_verdict_decide: */
HzbJobVerdict hzb_job_verdict_decide (const HzbJobEvidence *evidence, HzbJobReason *reason);
const char *hzb_job_verdict_name (HzbJobVerdict verdict);
const char *hzb_job_reason_name (HzbJobReason reason);

/** hzb_job_verdict_from_name: Returns: FALSE if there is no such verdict */
gboolean hzb_job_verdict_from_name (const char *name, HzbJobVerdict *verdict);

/** hzb_job_reason_needs_record: the verdict rests on more than what is durable anyway, so it has to be recorded. */
gboolean hzb_job_reason_needs_record (HzbJobReason reason);

/** HzbTaskVerdict: the fate of what one line of a report shows, or of a task that no report shows. */
typedef enum
{
  HZB_TASK_VERDICT_ADOPT,      /* it goes on, or its result is taken */
  HZB_TASK_VERDICT_AWAIT,      /* nothing is done yet */
  HZB_TASK_VERDICT_RESTART,    /* it is nowhere, or ended without a result */
  HZB_TASK_VERDICT_REAP,       /* the worker may forget it */
  HZB_TASK_VERDICT_STOP,       /* the worker is to end it */
  HZB_TASK_VERDICT_QUARANTINE, /* nobody knows whose it is: it is left alone */
  HZB_TASK_N_VERDICTS
} HzbTaskVerdict;

typedef enum
{
  HZB_TASK_REASON_FOUND_RUNNING,
  HZB_TASK_REASON_RESULT_FOUND,
  HZB_TASK_REASON_RESULT_DURABLE,
  HZB_TASK_REASON_MACHINE_SILENT,
  HZB_TASK_REASON_NOWHERE,
  HZB_TASK_REASON_ENDED_WITHOUT_RESULT,
  HZB_TASK_REASON_SUPERSEDED, /* another attempt of the task is where it should be */
  HZB_TASK_REASON_JOB_OVER,
  HZB_TASK_REASON_JOB_UNDECIDED,    /* its job has no durable verdict yet: no command is given */
  HZB_TASK_REASON_RECORD_MAY_COME,  /* no record names it, which is not proven, or may change */
  HZB_TASK_REASON_OPERATOR_AWAITED, /* proven, and an operator has time to decide */
  HZB_TASK_REASON_KEPT_BY_OPERATOR,
  HZB_TASK_REASON_NO_RECORD, /* proven, and nobody wants it kept */
  HZB_TASK_N_REASONS
} HzbTaskReason;

/** HzbRecordEvidence: what the key-value store says of a job. */
typedef enum
{
  HZB_RECORD_OPEN,            /* accepted, not over */
  HZB_RECORD_OVER,            /* done or cancelled */
  HZB_RECORD_ABSENT_UNPROVEN, /* not in this node's replica */
  HZB_RECORD_ABSENT /* neither in the replica of the records nor among old ends, both proven, and no late write can come */
} HzbRecordEvidence;

/** HzbTaskStanding: where the owner has the task. */
typedef enum
{
  HZB_STANDING_NOWHERE,   /* it waits, or nobody knows where it is */
  HZB_STANDING_HERE,      /* this attempt, on the machine that reports */
  HZB_STANDING_ELSEWHERE, /* another attempt, or another machine */
  HZB_STANDING_RESULT,    /* its result is known, and not durable */
  HZB_STANDING_DURABLE    /* its result is durable */
} HzbTaskStanding;

typedef enum
{
  HZB_SHOWN_ALIVE,
  HZB_SHOWN_RESULT,
  HZB_SHOWN_ENDED, /* without a result */
  HZB_SHOWN_NOT    /* no report shows it */
} HzbTaskShown;

typedef enum
{
  HZB_OPERATOR_SILENT,
  HZB_OPERATOR_KEEPS,
  HZB_OPERATOR_STOPS
} HzbOperatorDecision;

/** HzbTaskEvidence: */
typedef struct
{
  HzbRecordEvidence record;
  HzbTaskStanding standing;
  HzbTaskShown shown;
  gboolean machines_awaited; /* for tasks that are not shown: some machine may hold it */
  gboolean job_decided;      /* its job's verdict is durable */
  HzbOperatorDecision operator_decision;
  gboolean operator_time_over;
} HzbTaskEvidence;

/** hzb_task_verdict_decide: */
HzbTaskVerdict hzb_task_verdict_decide (const HzbTaskEvidence *evidence, HzbTaskReason *reason);
const char *hzb_task_verdict_name (HzbTaskVerdict verdict);
const char *hzb_task_reason_name (HzbTaskReason reason);
