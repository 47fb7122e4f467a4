#include "verdicts.h"

/* ---- how the leadership began ---- */

static HzbStartKind
start (HzbStartReason *reason, HzbStartKind kind, HzbStartReason why)
{
  *reason = why;
  return kind;
}

/* A roster that names a process which is alive proves that not all controllers have ended. That all have ended can't
 * be proven while a peer is unresponsive: the peer may be alive behind a partition. A change of leader that is taken
 * for a cold start costs time and breaks no rule, since in a cold start the leader only holds commands back. */
HzbStartKind
hzb_start_decide (const HzbStartEvidence *evidence, HzbStartReason *reason)
{
  if (evidence->unfinished)
    return start (reason, HZB_START_COLD, HZB_START_REASON_UNFINISHED);
  if (!evidence->has_flush_record)
    return start (reason, HZB_START_CHANGE_OF_LEADER, HZB_START_REASON_NO_EARLIER_LEADER);
  if (!evidence->has_roster)
    return start (reason, HZB_START_CHANGE_OF_LEADER, HZB_START_REASON_NO_ROSTER);
  if (evidence->self_on_roster)
    return start (reason, HZB_START_CHANGE_OF_LEADER, HZB_START_REASON_SELF_SURVIVED);
  if (evidence->peer_on_roster)
    return start (reason, HZB_START_CHANGE_OF_LEADER, HZB_START_REASON_PEER_SURVIVED);
  if (evidence->all_peers_contacted)
    return start (reason, HZB_START_COLD, HZB_START_REASON_ALL_ENDED);
  if (evidence->patience_over)
    return start (reason, HZB_START_COLD, HZB_START_REASON_ALL_REACHABLE_ENDED);
  return start (reason, HZB_START_UNDECIDED, HZB_START_REASON_PEERS_AWAITED);
}

const char *
hzb_start_reason_name (HzbStartReason reason)
{
  static const char *const names[HZB_START_N_REASONS] = {
    [HZB_START_REASON_PEERS_AWAITED] = "peers-awaited",
    [HZB_START_REASON_NO_EARLIER_LEADER] = "no-earlier-leader",
    [HZB_START_REASON_NO_ROSTER] = "no-roster",
    [HZB_START_REASON_SELF_SURVIVED] = "self-survived",
    [HZB_START_REASON_PEER_SURVIVED] = "peer-survived",
    [HZB_START_REASON_ALL_ENDED] = "all-ended",
    [HZB_START_REASON_ALL_REACHABLE_ENDED] = "all-reachable-ended",
    [HZB_START_REASON_UNFINISHED] = "unfinished",
  };
  return names[reason];
}

/* ---- jobs ---- */

static HzbJobVerdict
job_verdict (HzbJobReason *reason, HzbJobVerdict verdict, HzbJobReason why)
{
  *reason = why;
  return verdict;
}

HzbJobVerdict
hzb_job_verdict_decide (const HzbJobEvidence *evidence, HzbJobReason *reason)
{
  if (evidence->cancelled)
    return job_verdict (reason, HZB_JOB_VERDICT_CANCEL, HZB_JOB_REASON_CANCELLED);
  if (evidence->results >= evidence->tasks)
    return job_verdict (reason, HZB_JOB_VERDICT_FINISH, HZB_JOB_REASON_ALL_RESULTS);
  if (!evidence->released)
    return job_verdict (reason, HZB_JOB_VERDICT_RESUME, HZB_JOB_REASON_NEVER_STARTED);
  if (evidence->barrier)
    return job_verdict (reason, HZB_JOB_VERDICT_HOLD, HZB_JOB_REASON_BARRIER);
  if (!evidence->unconfirmed)
    return job_verdict (reason, HZB_JOB_VERDICT_RESUME, HZB_JOB_REASON_ALL_FOUND);
  if (evidence->machines_awaited)
    return job_verdict (reason, HZB_JOB_VERDICT_HOLD, HZB_JOB_REASON_MACHINES_AWAITED);
  return job_verdict (reason, HZB_JOB_VERDICT_RESUME, HZB_JOB_REASON_ACCOUNTED);
}

/* The released mark, a cancellation and the results are on record themselves. What machines have answered is not:
 * the next leader could not decide the same from it. */
gboolean
hzb_job_reason_needs_record (HzbJobReason reason)
{
  return reason == HZB_JOB_REASON_ALL_FOUND || reason == HZB_JOB_REASON_ACCOUNTED;
}

static const char *const job_verdict_names[HZB_JOB_N_VERDICTS] = {
  [HZB_JOB_VERDICT_HOLD] = "hold",
  [HZB_JOB_VERDICT_RESUME] = "resume",
  [HZB_JOB_VERDICT_FINISH] = "finish",
  [HZB_JOB_VERDICT_CANCEL] = "cancel",
};

const char *
hzb_job_verdict_name (HzbJobVerdict verdict)
{
  return job_verdict_names[verdict];
}

gboolean
hzb_job_verdict_from_name (const char *name, HzbJobVerdict *verdict)
{
  for (guint i = 0; name && i < HZB_JOB_N_VERDICTS; i++)
    if (g_str_equal (job_verdict_names[i], name))
      {
        *verdict = (HzbJobVerdict) i;
        return TRUE;
      }
  return FALSE;
}

const char *
hzb_job_reason_name (HzbJobReason reason)
{
  static const char *const names[HZB_JOB_N_REASONS] = {
    [HZB_JOB_REASON_MACHINES_AWAITED] = "machines-awaited",
    [HZB_JOB_REASON_BARRIER] = "barrier",
    [HZB_JOB_REASON_NEVER_STARTED] = "never-started",
    [HZB_JOB_REASON_ALL_FOUND] = "all-found",
    [HZB_JOB_REASON_ACCOUNTED] = "accounted",
    [HZB_JOB_REASON_ALL_RESULTS] = "all-results",
    [HZB_JOB_REASON_CANCELLED] = "cancelled",
  };
  return names[reason];
}

/* ---- tasks ---- */

static HzbTaskVerdict
task_verdict (HzbTaskReason *reason, HzbTaskVerdict verdict, HzbTaskReason why)
{
  *reason = why;
  return verdict;
}

/* A running task is stopped, an exited one is reaped. */
static HzbTaskVerdict
dispose (const HzbTaskEvidence *evidence, HzbTaskReason *reason, HzbTaskReason why)
{
  return task_verdict (reason, evidence->shown == HZB_SHOWN_ALIVE ? HZB_TASK_VERDICT_STOP : HZB_TASK_VERDICT_REAP, why);
}

/* A task is not stopped only because this node knows no record of its job: the transaction that accepts the job may
 * be carried out late, and the completion record of an old job is in the archive. */
static HzbTaskVerdict
decide_unrecorded (const HzbTaskEvidence *evidence, HzbTaskReason *reason)
{
  if (evidence->record == HZB_RECORD_ABSENT_UNPROVEN)
    return task_verdict (reason, HZB_TASK_VERDICT_QUARANTINE, HZB_TASK_REASON_RECORD_MAY_COME);
  if (evidence->operator_decision == HZB_OPERATOR_KEEPS)
    return task_verdict (reason, HZB_TASK_VERDICT_QUARANTINE, HZB_TASK_REASON_KEPT_BY_OPERATOR);
  if (evidence->operator_decision == HZB_OPERATOR_UNDECIDED && !evidence->operator_time_over)
    return task_verdict (reason, HZB_TASK_VERDICT_QUARANTINE, HZB_TASK_REASON_OPERATOR_AWAITED);
  return dispose (evidence, reason, HZB_TASK_REASON_NO_RECORD);
}

static HzbTaskVerdict
decide_unshown (const HzbTaskEvidence *evidence, HzbTaskReason *reason)
{
  if (evidence->standing == HZB_STANDING_DURABLE || evidence->standing == HZB_STANDING_RESULT)
    return task_verdict (reason, HZB_TASK_VERDICT_ADOPT, HZB_TASK_REASON_RESULT_DURABLE);
  if (evidence->machines_awaited)
    return task_verdict (reason, HZB_TASK_VERDICT_AWAIT, HZB_TASK_REASON_MACHINE_UNRESPONSIVE);
  if (evidence->record == HZB_RECORD_OVER)
    return task_verdict (reason, HZB_TASK_VERDICT_AWAIT, HZB_TASK_REASON_JOB_OVER);
  if (!evidence->job_decided)
    return task_verdict (reason, HZB_TASK_VERDICT_AWAIT, HZB_TASK_REASON_JOB_UNDECIDED);
  return task_verdict (reason, HZB_TASK_VERDICT_RESTART, HZB_TASK_REASON_NOWHERE);
}

/* A command that is not given now costs nothing: the worker shows the task again with its next heartbeat. */
static HzbTaskVerdict
once_decided (const HzbTaskEvidence *evidence, HzbTaskReason *reason, HzbTaskReason why)
{
  if (!evidence->job_decided)
    return task_verdict (reason, HZB_TASK_VERDICT_AWAIT, HZB_TASK_REASON_JOB_UNDECIDED);
  return dispose (evidence, reason, why);
}

HzbTaskVerdict
hzb_task_verdict_decide (const HzbTaskEvidence *evidence, HzbTaskReason *reason)
{
  if (evidence->record == HZB_RECORD_ABSENT_UNPROVEN || evidence->record == HZB_RECORD_ABSENT)
    return decide_unrecorded (evidence, reason);
  if (evidence->shown == HZB_SHOWN_NOT)
    return decide_unshown (evidence, reason);
  /* This does not wait for the job's verdict: its completion is durable, and cancelled work has to stop in time. */
  if (evidence->record == HZB_RECORD_OVER)
    return dispose (evidence, reason, HZB_TASK_REASON_JOB_OVER);
  if (evidence->standing == HZB_STANDING_DURABLE)
    return once_decided (evidence, reason, HZB_TASK_REASON_RESULT_DURABLE);
  if (evidence->standing == HZB_STANDING_RESULT)
    return task_verdict (reason, HZB_TASK_VERDICT_AWAIT, HZB_TASK_REASON_RESULT_FOUND);
  if (evidence->standing == HZB_STANDING_ELSEWHERE)
    return once_decided (evidence, reason, HZB_TASK_REASON_SUPERSEDED);
  if (evidence->shown == HZB_SHOWN_RESULT)
    return task_verdict (reason, HZB_TASK_VERDICT_ADOPT, HZB_TASK_REASON_RESULT_FOUND);
  if (evidence->shown == HZB_SHOWN_ALIVE)
    return task_verdict (reason, HZB_TASK_VERDICT_ADOPT, HZB_TASK_REASON_FOUND_RUNNING);
  if (evidence->standing == HZB_STANDING_HERE)
    return task_verdict (reason, HZB_TASK_VERDICT_RESTART, HZB_TASK_REASON_ENDED_WITHOUT_RESULT);
  return once_decided (evidence, reason, HZB_TASK_REASON_ENDED_WITHOUT_RESULT);
}

const char *
hzb_task_verdict_name (HzbTaskVerdict verdict)
{
  static const char *const names[HZB_TASK_N_VERDICTS] = {
    [HZB_TASK_VERDICT_ADOPT] = "adopt",     [HZB_TASK_VERDICT_AWAIT] = "await",
    [HZB_TASK_VERDICT_RESTART] = "restart", [HZB_TASK_VERDICT_REAP] = "reap",
    [HZB_TASK_VERDICT_STOP] = "stop",       [HZB_TASK_VERDICT_QUARANTINE] = "quarantine",
  };
  return names[verdict];
}

const char *
hzb_task_reason_name (HzbTaskReason reason)
{
  static const char *const names[HZB_TASK_N_REASONS] = {
    [HZB_TASK_REASON_FOUND_RUNNING] = "found-running",
    [HZB_TASK_REASON_RESULT_FOUND] = "result-found",
    [HZB_TASK_REASON_RESULT_DURABLE] = "result-durable",
    [HZB_TASK_REASON_MACHINE_UNRESPONSIVE] = "machine-silent",
    [HZB_TASK_REASON_NOWHERE] = "nowhere",
    [HZB_TASK_REASON_ENDED_WITHOUT_RESULT] = "ended-without-result",
    [HZB_TASK_REASON_SUPERSEDED] = "superseded",
    [HZB_TASK_REASON_JOB_OVER] = "job-over",
    [HZB_TASK_REASON_JOB_UNDECIDED] = "job-undecided",
    [HZB_TASK_REASON_RECORD_MAY_COME] = "record-may-come",
    [HZB_TASK_REASON_OPERATOR_AWAITED] = "operator-awaited",
    [HZB_TASK_REASON_KEPT_BY_OPERATOR] = "kept-by-operator",
    [HZB_TASK_REASON_NO_RECORD] = "no-record",
  };
  return names[reason];
}
