/* What other modules may do now: which commands go to workers, whether machines may be rented. Commands are only
 * held back: a worker shows the task again with its next heartbeat, so a command that is not given now costs nothing
 * but time. */
#include "reconciliation-private.h"

#define HEARTBEATS_BEFORE_SCALE_OUT 2
#define SCALE_OUT_SLACK_S 2.0

/* ---- jobs and machines ---- */

gboolean
hzb_reconciliation_may_resolve (const HzbReconciliation *reconciliation, const HzbJob *job)
{
  return !job->awaits_verdict || job->state != HZB_JOB_ACCEPTED;
}

/* Before two heartbeats of each worker could have come, the leader does not know which work is running already, and
 * would rent machines for it. */
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

/* ---- tasks in heartbeats ---- */

HzbTaskVerdict
hzb_reconciliation_judge_unrecorded (HzbReconciliation *reconciliation, const HzbMachine *machine,
                                     const HzbTaskStatus *task_status, struct timespec now)
{
  HzbTaskReason reason;
  HzbTaskVerdict verdict = hzb_quarantine_judge (reconciliation->quarantine, machine, task_status, now, &reason);

  if (verdict == HZB_TASK_VERDICT_STOP)
    {
      if (!hzb_start_pacing_allows (&reconciliation->pacing, HZB_START_PACING_OTHER))
        return HZB_TASK_VERDICT_AWAIT;
      hzb_start_pacing_take_token (&reconciliation->pacing);
    }
  reconciliation->verdicts[verdict][reason]++;
  return verdict;
}

static HzbTaskStanding
standing_of (const HzbTask *task, const HzbMachine *machine, guint64 attempt)
{
  if (!task)
    return HZB_STANDING_NOWHERE;
  if (task->state == HZB_TASK_DONE)
    return HZB_STANDING_DURABLE;
  if (task->state == HZB_TASK_FINISHED)
    return HZB_STANDING_RESULT;
  if (!hzb_task_on_machine (task) && task->state != HZB_TASK_DELEGATED)
    return HZB_STANDING_NOWHERE;
  return task->machine == machine && task->attempt == attempt ? HZB_STANDING_HERE : HZB_STANDING_ELSEWHERE;
}

/* A replica of a service has no result, however it ended. */
static HzbTaskShown
shown_by (const HzbTaskStatus *task_status, const HzbJob *job)
{
  if (task_status->state != HZB_TASK_STATUS_EXITED)
    return HZB_SHOWN_ALIVE;
  if (task_status->exit_cause == HZB_EXIT_DONE && job->spec && job->spec->kind != HZB_JOB_SERVICE)
    return HZB_SHOWN_RESULT;
  return HZB_SHOWN_ENDED;
}

/* A task that goes on where it is was adopted, and counted, when it was first seen. A task that waits has no verdict
 * yet. */
static gboolean
is_counted (HzbTaskVerdict verdict, HzbTaskStanding standing)
{
  return verdict != HZB_TASK_VERDICT_AWAIT && !(verdict == HZB_TASK_VERDICT_ADOPT && standing != HZB_STANDING_NOWHERE);
}

HzbTaskVerdict
hzb_reconciliation_judge (HzbReconciliation *reconciliation, const HzbMachine *machine, const HzbJob *job,
                          const HzbTask *task, const HzbTaskStatus *task_status)
{
  HzbTaskEvidence evidence = {
    .record = job->state == HZB_JOB_ACCEPTED ? HZB_RECORD_OPEN : HZB_RECORD_OVER,
    .standing = standing_of (task, machine, task_status->attempt),
    .shown = shown_by (task_status, job),
    .job_decided = !job->awaits_verdict,
  };
  HzbTaskReason reason;
  HzbTaskVerdict verdict = hzb_task_verdict_decide (&evidence, &reason);

  if (is_counted (verdict, evidence.standing))
    reconciliation->verdicts[verdict][reason]++;
  return verdict;
}

/* ---- what the archive counts ---- */

/* Commands are counted by second, for the first minute of a cold start. */
static void
count (HzbReconciliation *reconciliation, HzbArchiveKind kind, guint n)
{
  double elapsed_s = hzb_reconciliation_elapsed_s (reconciliation);

  if (reconciliation->state < HZB_RECONCILIATION_COLLECTING || reconciliation->state >= HZB_RECONCILIATION_COMPLETE)
    return;
  if (elapsed_s >= 0 && elapsed_s < HZB_ARCHIVE_SECONDS)
    reconciliation->commands[kind][(guint) elapsed_s] += n;
}

void
hzb_reconciliation_note_commands (HzbReconciliation *reconciliation, const GArray *commands)
{
  static const HzbArchiveKind kinds[] = {
    [HZB_COMMAND_START] = HZB_ARCHIVE_STARTS,
    [HZB_COMMAND_STOP] = HZB_ARCHIVE_STOPS,
    [HZB_COMMAND_REAP] = HZB_ARCHIVE_REAPS,
  };
  for (guint i = 0; i < commands->len; i++)
    count (reconciliation, kinds[g_array_index (commands, HzbCommand, i).kind], 1);
}

void
hzb_reconciliation_note_scale_out (HzbReconciliation *reconciliation, guint machines)
{
  count (reconciliation, HZB_ARCHIVE_SCALE_OUTS, machines);
}
