#include "verdicts.h"

/* ---- the kind of start ---- */

static HzbStartKind
start_kind (HzbStartReason *reason, HzbStartKind kind, HzbStartReason deciding_reason)
{
  *reason = deciding_reason;
  return kind;
}

/* A living process that is on the roster proves that not all controllers have ended. While a peer is unresponsive, it
 * can't be proven that all have ended: the peer may be alive behind a partition. Treating a failover as a cold start
 * breaks no rule and costs only time, since the leader only delays commands in a cold start. */
HzbStartKind
hzb_start_decide (const HzbStartEvidence *evidence, HzbStartReason *reason)
{
  if (evidence->unfinished)
    return start_kind (reason, HZB_START_COLD, HZB_START_REASON_UNFINISHED);
  if (!evidence->has_flush_record)
    return start_kind (reason, HZB_START_FAILOVER, HZB_START_REASON_NO_EARLIER_LEADER);
  if (!evidence->has_roster)
    return start_kind (reason, HZB_START_FAILOVER, HZB_START_REASON_NO_ROSTER);
  if (evidence->self_on_roster)
    return start_kind (reason, HZB_START_FAILOVER, HZB_START_REASON_SELF_SURVIVED);
  if (evidence->peer_on_roster)
    return start_kind (reason, HZB_START_FAILOVER, HZB_START_REASON_PEER_SURVIVED);
  if (evidence->all_peers_contacted)
    return start_kind (reason, HZB_START_COLD, HZB_START_REASON_ALL_ENDED);
  if (evidence->peer_wait_over)
    return start_kind (reason, HZB_START_COLD, HZB_START_REASON_ALL_REACHABLE_ENDED);
  return start_kind (reason, HZB_START_UNDECIDED, HZB_START_REASON_PEERS_AWAITED);
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

/* ---- verdicts on jobs ---- */

static HzbJobVerdict
job_verdict (HzbJobReason *reason, HzbJobVerdict verdict, HzbJobReason deciding_reason)
{
  *reason = deciding_reason;
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

/* The released mark, a cancellation and the results are on record themselves, so the next leader reaches the same
 * verdict from them. The answers of the machines are not on record: the next leader could reach another verdict. */
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

/* ---- verdicts on tasks ---- */

static HzbTaskVerdict
task_verdict (HzbTaskReason *reason, HzbTaskVerdict verdict, HzbTaskReason deciding_reason)
{
  *reason = deciding_reason;
  return verdict;
}

/* Returns: stop for a running task, reap for an exited one. */
static HzbTaskVerdict
decide_removal (const HzbTaskEvidence *evidence, HzbTaskReason *reason, HzbTaskReason deciding_reason)
{
  return task_verdict (reason, evidence->reported == HZB_REPORTED_ALIVE ? HZB_TASK_VERDICT_STOP : HZB_TASK_VERDICT_REAP,
                       deciding_reason);
}

/* That this node has no record of the job is not a sufficient reason to stop its task: the transaction that accepts the
 * job may be carried out late, and the completion record of an old job is among the archived completions. */
static HzbTaskVerdict
decide_unrecorded (const HzbTaskEvidence *evidence, HzbTaskReason *reason)
{
  if (evidence->record == HZB_RECORD_ABSENT_UNPROVEN)
    return task_verdict (reason, HZB_TASK_VERDICT_QUARANTINE, HZB_TASK_REASON_ABSENCE_UNPROVEN);
  if (evidence->operator_decision == HZB_OPERATOR_KEEP)
    return task_verdict (reason, HZB_TASK_VERDICT_QUARANTINE, HZB_TASK_REASON_KEPT_BY_OPERATOR);
  if (evidence->operator_decision == HZB_OPERATOR_UNDECIDED && !evidence->operator_wait_over)
    return task_verdict (reason, HZB_TASK_VERDICT_QUARANTINE, HZB_TASK_REASON_OPERATOR_AWAITED);
  return decide_removal (evidence, reason, HZB_TASK_REASON_NO_RECORD);
}

static HzbTaskVerdict
decide_unreported (const HzbTaskEvidence *evidence, HzbTaskReason *reason)
{
  if (evidence->known == HZB_KNOWN_RESULT_DURABLE || evidence->known == HZB_KNOWN_RESULT)
    return task_verdict (reason, HZB_TASK_VERDICT_ADOPT, HZB_TASK_REASON_RESULT_DURABLE);
  if (evidence->machines_awaited)
    return task_verdict (reason, HZB_TASK_VERDICT_AWAIT, HZB_TASK_REASON_MACHINE_UNRESPONSIVE);
  if (evidence->record == HZB_RECORD_TERMINAL)
    return task_verdict (reason, HZB_TASK_VERDICT_AWAIT, HZB_TASK_REASON_JOB_TERMINAL);
  if (!evidence->job_decided)
    return task_verdict (reason, HZB_TASK_VERDICT_AWAIT, HZB_TASK_REASON_JOB_UNDECIDED);
  return task_verdict (reason, HZB_TASK_VERDICT_RESTART, HZB_TASK_REASON_NOWHERE);
}

/* Withholding the command until the job is decided loses nothing: the worker reports the task again with its next
 * heartbeat. */
static HzbTaskVerdict
decide_removal_once_job_decided (const HzbTaskEvidence *evidence, HzbTaskReason *reason, HzbTaskReason deciding_reason)
{
  if (!evidence->job_decided)
    return task_verdict (reason, HZB_TASK_VERDICT_AWAIT, HZB_TASK_REASON_JOB_UNDECIDED);
  return decide_removal (evidence, reason, deciding_reason);
}

HzbTaskVerdict
hzb_task_verdict_decide (const HzbTaskEvidence *evidence, HzbTaskReason *reason)
{
  if (evidence->record == HZB_RECORD_ABSENT_UNPROVEN || evidence->record == HZB_RECORD_ABSENT)
    return decide_unrecorded (evidence, reason);
  if (evidence->reported == HZB_NOT_REPORTED)
    return decide_unreported (evidence, reason);
  /* Tasks of a terminal job are removed without waiting for the job's verdict: the job's completion is durable, and
   * cancelled work has to stop in time. */
  if (evidence->record == HZB_RECORD_TERMINAL)
    return decide_removal (evidence, reason, HZB_TASK_REASON_JOB_TERMINAL);
  if (evidence->known == HZB_KNOWN_RESULT_DURABLE)
    return decide_removal_once_job_decided (evidence, reason, HZB_TASK_REASON_RESULT_DURABLE);
  if (evidence->known == HZB_KNOWN_RESULT)
    return task_verdict (reason, HZB_TASK_VERDICT_AWAIT, HZB_TASK_REASON_RESULT_FOUND);
  if (evidence->known == HZB_KNOWN_PLACED_ELSEWHERE)
    return decide_removal_once_job_decided (evidence, reason, HZB_TASK_REASON_SUPERSEDED);
  if (evidence->reported == HZB_REPORTED_RESULT)
    return task_verdict (reason, HZB_TASK_VERDICT_ADOPT, HZB_TASK_REASON_RESULT_FOUND);
  if (evidence->reported == HZB_REPORTED_ALIVE)
    return task_verdict (reason, HZB_TASK_VERDICT_ADOPT, HZB_TASK_REASON_FOUND_RUNNING);
  if (evidence->known == HZB_KNOWN_PLACED_HERE)
    return task_verdict (reason, HZB_TASK_VERDICT_RESTART, HZB_TASK_REASON_ENDED_WITHOUT_RESULT);
  return decide_removal_once_job_decided (evidence, reason, HZB_TASK_REASON_ENDED_WITHOUT_RESULT);
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
    [HZB_TASK_REASON_JOB_TERMINAL] = "job-over",
    [HZB_TASK_REASON_JOB_UNDECIDED] = "job-undecided",
    [HZB_TASK_REASON_ABSENCE_UNPROVEN] = "record-may-come",
    [HZB_TASK_REASON_OPERATOR_AWAITED] = "operator-awaited",
    [HZB_TASK_REASON_KEPT_BY_OPERATOR] = "kept-by-operator",
    [HZB_TASK_REASON_NO_RECORD] = "no-record",
  };
  return names[reason];
}
