/* Decides which commands may be sent to workers and whether machines may be rented. Commands are only withheld, never
 * lost: a worker reports its tasks again with its next heartbeat, so a withheld command costs only time. */
#include "reconciliation-private.h"

#define HEARTBEATS_BEFORE_SCALE_OUT 2
#define SCALE_OUT_SLACK_S 2.0 /* added to the time for these heartbeats */

/* ---- unconfirmed tasks and scale-out ---- */

gboolean
hzb_reconciliation_may_resolve_unconfirmed (const HzbReconciliation *reconciliation, const HzbJob *job)
{
  return !job->awaits_verdict || job->state != HZB_JOB_ACCEPTED;
}

/* Until each worker has had time for two heartbeats, the leader does not know which tasks are already running, and
 * would rent machines for them. */
gboolean
hzb_reconciliation_may_scale_out (HzbReconciliation *reconciliation, struct timespec now)
{
  double heartbeat_interval_s = reconciliation->dependencies.node->settings->heartbeat_interval_s;

  if (reconciliation->state == HZB_RECONCILIATION_DETECTING)
    return FALSE;
  if (reconciliation->state == HZB_RECONCILIATION_COLLECTING
      && hzb_time_between (reconciliation->began, now)
             < HEARTBEATS_BEFORE_SCALE_OUT * heartbeat_interval_s + SCALE_OUT_SLACK_S)
    return FALSE;
  return hzb_start_pacing_take_scale_out_token (&reconciliation->pacing);
}

/* ---- verdicts on tasks in heartbeats ---- */

HzbTaskVerdict
hzb_reconciliation_decide_unrecorded_task (HzbReconciliation *reconciliation, const HzbMachine *machine,
                                           const HzbTaskStatus *task_status, struct timespec now)
{
  HzbTaskReason reason;
  HzbTaskVerdict verdict = hzb_quarantine_decide_task (reconciliation->quarantine, machine, task_status, now, &reason);

  if (verdict == HZB_TASK_VERDICT_STOP)
    {
      /* Start pacing also limits the stops of tasks that no record names. */
      if (!hzb_start_pacing_allows (&reconciliation->pacing, HZB_START_PACING_OTHER))
        return HZB_TASK_VERDICT_AWAIT;
      hzb_start_pacing_take_token (&reconciliation->pacing);
    }
  reconciliation->verdict_counts[verdict][reason]++;
  return verdict;
}

static HzbLeaderEvidence
leader_evidence (const HzbTask *task, const HzbMachine *machine, guint64 attempt)
{
  if (!task)
    return HZB_KNOWN_UNPLACED;
  if (task->state == HZB_TASK_DONE)
    return HZB_KNOWN_RESULT_DURABLE;
  if (task->state == HZB_TASK_FINISHED)
    return HZB_KNOWN_RESULT;
  if (!hzb_task_on_machine (task) && task->state != HZB_TASK_DELEGATED)
    return HZB_KNOWN_UNPLACED;
  return task->machine == machine && task->attempt == attempt ? HZB_KNOWN_PLACED_HERE : HZB_KNOWN_PLACED_ELSEWHERE;
}

/* A replica of a service never has a result, whatever the cause of its exit. */
static HzbHeartbeatEvidence
heartbeat_evidence (const HzbTaskStatus *task_status, const HzbJob *job)
{
  if (task_status->state != HZB_TASK_STATUS_EXITED)
    return HZB_REPORTED_ALIVE;
  if (task_status->exit_cause == HZB_EXIT_DONE && job->spec && job->spec->kind != HZB_JOB_SERVICE)
    return HZB_REPORTED_RESULT;
  return HZB_REPORTED_ENDED;
}

/* Returns: whether the verdict is counted. A task that the leader has already placed was counted when it was adopted,
 * and is not counted again with each heartbeat. An awaited task is counted when its final verdict is known. */
static gboolean
is_counted (HzbTaskVerdict verdict, HzbLeaderEvidence known)
{
  return verdict != HZB_TASK_VERDICT_AWAIT && !(verdict == HZB_TASK_VERDICT_ADOPT && known != HZB_KNOWN_UNPLACED);
}

HzbTaskVerdict
hzb_reconciliation_decide_task (HzbReconciliation *reconciliation, const HzbMachine *machine, const HzbJob *job,
                                const HzbTask *task, const HzbTaskStatus *task_status)
{
  HzbTaskEvidence evidence = {
    .record = job->state == HZB_JOB_ACCEPTED ? HZB_RECORD_OPEN : HZB_RECORD_TERMINAL,
    .known = leader_evidence (task, machine, task_status->attempt),
    .reported = heartbeat_evidence (task_status, job),
    .job_decided = !job->awaits_verdict,
  };
  HzbTaskReason reason;
  HzbTaskVerdict verdict = hzb_task_verdict_decide (&evidence, &reason);

  if (is_counted (verdict, evidence.known))
    reconciliation->verdict_counts[verdict][reason]++;
  return verdict;
}

/* ---- counts for the archive ---- */

/* Counts commands by second, for the first HZB_ARCHIVE_SECONDS seconds of a cold start. */
static void
count_commands (HzbReconciliation *reconciliation, HzbArchiveCommandKind kind, guint n)
{
  double elapsed_s = hzb_reconciliation_elapsed_s (reconciliation);

  if (reconciliation->state < HZB_RECONCILIATION_COLLECTING || reconciliation->state >= HZB_RECONCILIATION_COMPLETE)
    return;
  if (elapsed_s >= 0 && elapsed_s < HZB_ARCHIVE_SECONDS)
    reconciliation->command_counts[kind][(guint) elapsed_s] += n;
}

void
hzb_reconciliation_count_commands (HzbReconciliation *reconciliation, const GArray *commands)
{
  static const HzbArchiveCommandKind kinds[] = {
    [HZB_COMMAND_START] = HZB_ARCHIVE_STARTS,
    [HZB_COMMAND_STOP] = HZB_ARCHIVE_STOPS,
    [HZB_COMMAND_REAP] = HZB_ARCHIVE_REAPS,
  };
  for (guint i = 0; i < commands->len; i++)
    count_commands (reconciliation, kinds[g_array_index (commands, HzbCommand, i).kind], 1);
}

void
hzb_reconciliation_count_scale_out (HzbReconciliation *reconciliation, guint machines)
{
  count_commands (reconciliation, HZB_ARCHIVE_SCALE_OUTS, machines);
}
