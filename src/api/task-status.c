/* Applies the status of one task in a complete heartbeat.
 *
 * Tasks of two kinds may get no command for the time being: a task without a record, because a delayed write or an
 * operator's decision may still create the record; and, after a cold start, a task whose job has no durable verdict
 * yet. */
#include "task-table.h"
#include "worker-api-private.h"

/* A task that has run for longer than this has started successfully. */
#define SUCCESSFUL_START_S 5.0
/* The replica of the records may lag behind the key-value store. A task without a record is stopped only after the
 * leader or leaseholder has owned its shard for this long. */
#define UNRECORDED_TASK_GRACE_S 15.0

gboolean
hzb_task_status_is_current (const HzbHeartbeatExchange *exchange, const HzbTask *task, const HzbTaskStatus *task_status)
{
  return hzb_task_on_machine (task) && task->machine == exchange->machine && task->attempt == task_status->attempt;
}

gboolean
hzb_task_started_successfully (const HzbTask *task, struct timespec now)
{
  return hzb_time_between (task->since, now) > SUCCESSFUL_START_S;
}

static HzbTaskState
task_state_of (HzbReportedTaskState reported)
{
  static const HzbTaskState states[] = {
    [HZB_TASK_STATUS_FETCHING] = HZB_TASK_FETCHING, [HZB_TASK_STATUS_WAITING] = HZB_TASK_WAITING,
    [HZB_TASK_STATUS_RUNNING] = HZB_TASK_RUNNING,   [HZB_TASK_STATUS_CHECKPOINTING] = HZB_TASK_CHECKPOINTING,
    [HZB_TASK_STATUS_EXITED] = HZB_TASK_RUNNING, /* not used: an exited task has no state on the machine */
  };
  return states[reported];
}

static HzbTask *
find_reported_task (const HzbJob *job, const HzbTaskStatus *task_status)
{
  return job && job->tasks && task_status->task < job->n_tasks ? hzb_task_table_get (job->tasks, task_status->task)
                                                               : NULL;
}

/* ---- a task without a record ---- */

static void
apply_unrecorded (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, const HzbTaskStatus *task_status)
{
  gboolean stop = hzb_time_between (hzb_ownership_start_time (api->dependencies.ownership), exchange->now)
                  > UNRECORDED_TASK_GRACE_S;

  if (api->dependencies.node->settings->reconciliation.enabled
      && !hzb_ownership_is_leaseholder (api->dependencies.ownership))
    {
      HzbTaskVerdict verdict = hzb_reconciliation_decide_unrecorded_task (
          api->dependencies.reconciliation, exchange->machine, task_status, exchange->now);
      stop = verdict == HZB_TASK_VERDICT_STOP || verdict == HZB_TASK_VERDICT_REAP;
      exchange->machine->quarantined += !stop;
    }
  if (!stop)
    return;
  if (task_status->state == HZB_TASK_STATUS_EXITED)
    hzb_heartbeat_add_reap (exchange, task_status->uid, task_status->task, task_status->attempt);
  else
    hzb_heartbeat_add_stop (exchange, task_status->uid, task_status->task, task_status->attempt, 0);
}

/* ---- a task of a recorded job ---- */

static void
apply_exit (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, const HzbJob *job, HzbTask *task,
            const HzbTaskStatus *task_status)
{
  if (task && job->state == HZB_JOB_ACCEPTED)
    {
      hzb_task_exit_apply (api, exchange, task, task_status);
      return;
    }
  if (task && hzb_task_status_is_current (exchange, task, task_status))
    hzb_task_set_state (api->dependencies.jobs, task, HZB_TASK_PENDING, NULL);
  hzb_heartbeat_add_reap (exchange, job->uid, task_status->task, task_status->attempt);
}

/* Adopts a task that an earlier owner of the shard has started on this machine. */
static void
adopt_task (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task, const HzbTaskStatus *task_status)
{
  HzbJob *job = task->job;

  if (task->state == HZB_TASK_QUEUED)
    hzb_task_set_state (api->dependencies.jobs, task, HZB_TASK_PENDING, NULL);
  task->attempt = task_status->attempt;
  job->last_attempt = MAX (job->last_attempt, task_status->attempt);
  hzb_task_set_state (api->dependencies.jobs, task, task_state_of (task_status->state), exchange->machine);
  task->last_heartbeat_round = exchange->machine->heartbeat_count;
}

/* Updates a task that this node tracks on this machine. The worker may list another attempt of it. */
static void
update_task (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task, const HzbTaskStatus *task_status)
{
  HzbMachine *machine = exchange->machine;

  if (task->attempt != task_status->attempt && task->last_heartbeat_round != machine->heartbeat_count)
    task->attempt = task_status->attempt; /* an earlier attempt still runs, so the worker refused the newer one */
  task->last_heartbeat_round = machine->heartbeat_count;
  if (task->attempt == task_status->attempt)
    hzb_task_set_state (api->dependencies.jobs, task, task_state_of (task_status->state), machine);
}

static void
stop_misplaced (HzbHeartbeatExchange *exchange, const HzbTask *task, const HzbTaskStatus *task_status)
{
  g_critical (
      "task %s/%u runs on machine %s, but this node has it in state %s%s%s: stopping the attempt on machine %s; the "
      "task may run twice at the same time: report this with the logs of all controllers",
      task->job->uid, task->index, exchange->machine->name, hzb_task_state_name (task->state),
      task->machine ? " on machine " : "", task->machine ? task->machine->name : "", exchange->machine->name);
  hzb_heartbeat_add_stop (exchange, task->job->uid, task->index, task_status->attempt, 0);
}

/* Updates the task from the status, if the task may be on this machine.
 *
 * Returns: FALSE if the task must not be on this machine */
static gboolean
apply_placement (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task, const HzbTaskStatus *task_status)
{
  switch ((HzbTaskState) task->state)
    {
    case HZB_TASK_UNCONFIRMED:
    case HZB_TASK_PENDING:
    case HZB_TASK_QUEUED:
      adopt_task (api, exchange, task, task_status);
      return TRUE;
    case HZB_TASK_OTHER_OWNER:
    case HZB_TASK_DELEGATED:
      g_critical (
          "task %s/%u runs on machine %s, but it belongs to another controller's shard: the task may run twice at the "
          "same time: report this with the logs of all controllers",
          task->job->uid, task->index, exchange->machine->name);
      return FALSE;
    default:
      if (hzb_task_on_machine (task) && task->machine == exchange->machine)
        {
          update_task (api, exchange, task, task_status);
          return TRUE;
        }
      stop_misplaced (exchange, task, task_status);
      return FALSE;
    }
}

static void
note_image (HzbMachine *machine, const HzbJob *job, const HzbTaskStatus *task_status)
{
  if (job->spec && task_status->state != HZB_TASK_STATUS_FETCHING
      && !g_hash_table_contains (machine->images, job->spec->image))
    g_hash_table_add (machine->images, g_ref_string_acquire (job->spec->image));
}

static void
note_successful_start (HzbMachine *machine, const HzbTask *task, const HzbTaskStatus *task_status, struct timespec now)
{
  if (task_status->state != HZB_TASK_STATUS_RUNNING || !hzb_task_started_successfully (task, now))
    return;
  task->job->proven_runnable = TRUE;
  task->job->failures = 0;
  hzb_machine_note_success (machine);
}

static void
apply_recorded (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbJob *job, const HzbTaskStatus *task_status)
{
  HzbMachine *machine = exchange->machine;
  HzbTask *task = find_reported_task (job, task_status);

  if (task && hzb_task_status_is_current (exchange, task, task_status))
    task->last_heartbeat_round = machine->heartbeat_count;
  if (task_status->state == HZB_TASK_STATUS_EXITED)
    {
      apply_exit (api, exchange, job, task, task_status);
      return;
    }
  if (task && !apply_placement (api, exchange, task, task_status))
    return;
  note_image (machine, job, task_status);
  if (task)
    note_successful_start (machine, task, task_status, exchange->now);
  if (job->state != HZB_JOB_ACCEPTED)
    hzb_heartbeat_add_stop (exchange, job->uid, task_status->task, task_status->attempt, 0);
  else if (task && task->stopping && task_status->state != HZB_TASK_STATUS_CHECKPOINTING)
    hzb_heartbeat_add_stop (exchange, job->uid, task_status->task, task_status->attempt,
                            hzb_job_spec_grace_s (job->spec));
}

/* Applies the status of a task whose job waits for its verdict after a cold start. Until the verdict is durable, no
 * command is sent; the worker lists the task again in its next heartbeat. */
static void
apply_awaiting_verdict (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbJob *job,
                        const HzbTaskStatus *task_status)
{
  guint commands_before = exchange->commands->len;
  HzbTaskVerdict verdict = hzb_reconciliation_decide_task (api->dependencies.reconciliation, exchange->machine, job,
                                                           find_reported_task (job, task_status), task_status);

  apply_recorded (api, exchange, job, task_status);
  if (verdict != HZB_TASK_VERDICT_STOP && verdict != HZB_TASK_VERDICT_REAP)
    g_array_set_size (exchange->commands, commands_before);
}

void
hzb_task_status_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, const HzbTaskStatus *task_status)
{
  HzbJob *job = hzb_jobs_find (api->dependencies.jobs, task_status->uid);
  gboolean terminal = job && job->state != HZB_JOB_ACCEPTED;

  /* A machine that was handed over with its tasks may report a result of a job of which this leaseholder has no
   * task. */
  if (job && !terminal && !job->tasks && hzb_ownership_is_leaseholder (api->dependencies.ownership))
    hzb_jobs_activate (api->dependencies.jobs, job);
  if (!job || (!terminal && !find_reported_task (job, task_status)))
    apply_unrecorded (api, exchange, task_status);
  else if (job->awaits_verdict)
    apply_awaiting_verdict (api, exchange, job, task_status);
  else
    apply_recorded (api, exchange, job, task_status);
}
