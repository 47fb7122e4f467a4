/* One line of a complete heartbeat: the status of one task.
 *
 * A task that no record names may still get a record by a late write, or by an operator's decision; a task of a job whose
 * verdict after a cold start is not durable gets no command. Both are left alone. */
#include "worker-api-private.h"

/* A task that runs for so long shows that it can run. */
#define RUNS_WELL_AFTER_S 5.0
/* The replica of the records may lag behind the key-value store: so long after a leader or leaseholder began to decide, a
 * task that no record names is stopped. */
#define STOP_UNRECORDED_AFTER_S 15.0

gboolean
hzb_task_status_is_current (const HzbHeartbeatExchange *exchange, const HzbTask *task, const HzbTaskStatus *task_status)
{
  return hzb_task_on_machine (task) && task->machine == exchange->machine && task->attempt == task_status->attempt;
}

gboolean
hzb_task_ran_well (const HzbTask *task, struct timespec now)
{
  return hzb_time_between (task->since, now) > RUNS_WELL_AFTER_S;
}

static HzbTaskState
task_state_of (HzbReportedTaskState reported)
{
  static const HzbTaskState states[] = {
    [HZB_TASK_STATUS_FETCHING] = HZB_TASK_FETCHING, [HZB_TASK_STATUS_WAITING] = HZB_TASK_WAITING,
    [HZB_TASK_STATUS_RUNNING] = HZB_TASK_RUNNING,   [HZB_TASK_STATUS_CHECKPOINTING] = HZB_TASK_CHECKPOINTING,
    [HZB_TASK_STATUS_EXITED] = HZB_TASK_RUNNING, /* not used: an exit has no state on the machine */
  };
  return states[reported];
}

static HzbTask *
reported_task (const HzbJob *job, const HzbTaskStatus *task_status)
{
  return job && job->tasks && task_status->task < job->n_tasks ? &job->tasks[task_status->task] : NULL;
}

/* ---- a task that no record names ---- */

static void
apply_unrecorded (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, const HzbTaskStatus *task_status)
{
  gboolean stop =
      hzb_time_between (hzb_ownership_start_time (api->with.ownership), exchange->now) > STOP_UNRECORDED_AFTER_S;

  if (api->with.node->settings->reconciliation.enabled && !hzb_ownership_is_leaseholder (api->with.ownership))
    {
      HzbTaskVerdict verdict =
          hzb_reconciliation_judge_unrecorded (api->with.reconciliation, exchange->machine, task_status, exchange->now);
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
    hzb_task_set_state (api->with.jobs, task, HZB_TASK_PENDING, NULL);
  hzb_heartbeat_add_reap (exchange, job->uid, task_status->task, task_status->attempt);
}

/* An earlier owner had started the task on this machine. */
static void
take_over_task (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task, const HzbTaskStatus *task_status)
{
  HzbJob *job = task->job;

  if (task->state == HZB_TASK_QUEUED)
    hzb_task_set_state (api->with.jobs, task, HZB_TASK_PENDING, NULL);
  task->attempt = task_status->attempt;
  job->last_attempt = MAX (job->last_attempt, task_status->attempt);
  hzb_task_set_state (api->with.jobs, task, task_state_of (task_status->state), exchange->machine);
  task->last_heartbeat_round = exchange->machine->heartbeat_count;
}

/* The task is on this machine by what this node knows, perhaps by another attempt. */
static void
update_task (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task, const HzbTaskStatus *task_status)
{
  HzbMachine *machine = exchange->machine;

  if (task->attempt != task_status->attempt && task->last_heartbeat_round != machine->heartbeat_count)
    task->attempt = task_status->attempt; /* the worker refused this node's attempt: the earlier attempt still runs */
  task->last_heartbeat_round = machine->heartbeat_count;
  if (task->attempt == task_status->attempt)
    hzb_task_set_state (api->with.jobs, task, task_state_of (task_status->state), machine);
}

static void
stop_misplaced (HzbHeartbeatExchange *exchange, const HzbTask *task, const HzbTaskStatus *task_status)
{
  g_critical (
      "task %s/%u runs on %s, but this node has it as %s%s%s: the attempt on %s is stopped; a task may run twice, "
      "report this with the logs of all controllers",
      task->job->uid, task->index, exchange->machine->name, hzb_task_state_name (task->state),
      task->machine ? " on " : "", task->machine ? task->machine->name : "", exchange->machine->name);
  hzb_heartbeat_add_stop (exchange, task->job->uid, task->index, task_status->attempt, 0);
}

/* Returns: FALSE if the task must not be on this machine */
static gboolean
place_task (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task, const HzbTaskStatus *task_status)
{
  switch ((HzbTaskState) task->state)
    {
    case HZB_TASK_UNCONFIRMED:
    case HZB_TASK_PENDING:
    case HZB_TASK_QUEUED:
      take_over_task (api, exchange, task, task_status);
      return TRUE;
    case HZB_TASK_OTHER_OWNER:
    case HZB_TASK_DELEGATED:
      g_critical (
          "task %s/%u runs on %s, but it belongs to another controller's shard: a task may run twice, report this "
          "with the logs of all controllers",
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
note_running_well (HzbMachine *machine, const HzbTask *task, const HzbTaskStatus *task_status, struct timespec now)
{
  if (task_status->state != HZB_TASK_STATUS_RUNNING || !hzb_task_ran_well (task, now))
    return;
  task->job->proven_runnable = TRUE;
  task->job->failures = 0;
  hzb_machine_note_success (machine);
}

static void
apply_recorded (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbJob *job, const HzbTaskStatus *task_status)
{
  HzbMachine *machine = exchange->machine;
  HzbTask *task = reported_task (job, task_status);

  if (task && hzb_task_status_is_current (exchange, task, task_status))
    task->last_heartbeat_round = machine->heartbeat_count;
  if (task_status->state == HZB_TASK_STATUS_EXITED)
    {
      apply_exit (api, exchange, job, task, task_status);
      return;
    }
  if (task && !place_task (api, exchange, task, task_status))
    return;
  note_image (machine, job, task_status);
  if (task)
    note_running_well (machine, task, task_status, exchange->now);
  if (job->state != HZB_JOB_ACCEPTED)
    hzb_heartbeat_add_stop (exchange, job->uid, task_status->task, task_status->attempt, 0);
  else if (task && task->stopping && task_status->state != HZB_TASK_STATUS_CHECKPOINTING)
    hzb_heartbeat_add_stop (exchange, job->uid, task_status->task, task_status->attempt,
                            hzb_job_spec_grace_s (job->spec));
}

/* After a cold start the job's verdict is not durable yet. No command is given before that: the worker lists the task again
 * with its next heartbeat. */
static void
apply_undecided (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbJob *job, const HzbTaskStatus *task_status)
{
  guint commands_before = exchange->commands->len;
  HzbTaskVerdict verdict = hzb_reconciliation_judge (api->with.reconciliation, exchange->machine, job,
                                                     reported_task (job, task_status), task_status);

  apply_recorded (api, exchange, job, task_status);
  if (verdict != HZB_TASK_VERDICT_STOP && verdict != HZB_TASK_VERDICT_REAP)
    g_array_set_size (exchange->commands, commands_before);
}

void
hzb_task_status_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, const HzbTaskStatus *task_status)
{
  HzbJob *job = hzb_jobs_find (api->with.jobs, task_status->uid);
  gboolean terminal = job && job->state != HZB_JOB_ACCEPTED;

  /* A machine that was handed over with its tasks may bring a result of a job that this leaseholder has no task of. */
  if (job && !terminal && !job->tasks && hzb_ownership_is_leaseholder (api->with.ownership))
    hzb_jobs_activate (api->with.jobs, job);
  if (!job || (!terminal && !reported_task (job, task_status)))
    apply_unrecorded (api, exchange, task_status);
  else if (job->awaits_verdict)
    apply_undecided (api, exchange, job, task_status);
  else
    apply_recorded (api, exchange, job, task_status);
}
