/* Exits of tasks: the result is accepted, or the task becomes pending again. Also the back-off of failing tasks and
 * jobs, and the scale-in of faulty machines. */
#include "worker-api-private.h"

#define MAX_COUNTED_FAILED_ATTEMPTS 10 /* limit of the count of a task's consecutive failed attempts */
#define MAX_BACKOFF_S 60               /* longest back-off of a job; a failed task's is TASK_BACKOFF_S times this */
#define MAX_DOUBLINGS 6                /* a back-off doubles up to this many times */
#define TASK_BACKOFF_S 0.5             /* back-off of a failed task, doubled for each consecutive failed attempt */
#define REPLICA_BACKOFF_S 0.2          /* back-off of a failed replica of a service */
#define REFUSED_START_BACKOFF_S 1      /* back-off of a task that a worker refused to start */
#define QUICK_EXIT_BACKOFF_S 0.5       /* back-off after a quick exit of a replica, doubled for each failed attempt */
#define MAX_QUICK_EXIT_BACKOFF_S 30.0  /* longest back-off of a replica that exits soon after its start */

static gboolean
is_service (const HzbJob *job)
{
  return job->spec->kind == HZB_JOB_SERVICE;
}

static guint8
incremented_failed_attempts (const HzbTask *task)
{
  return (guint8) MIN (task->failed_attempts + 1, MAX_COUNTED_FAILED_ATTEMPTS);
}

/* ---- failures ---- */

static void
record_failed_machine (HzbJob *job, const HzbMachine *machine)
{
  if (!job->first_failed_machine)
    job->first_failed_machine = g_strdup (machine->name);
  job->failed_on_several_machines =
      job->failed_on_several_machines || !g_str_equal (job->first_failed_machine, machine->name);
}

static void
request_scale_in (HzbMachine *machine)
{
  if (!machine->scale_in_requested)
    g_message (
        "machine %s is quarantined because the tasks started on it fail: it gets no new tasks and is returned to the "
        "cloud once it has no tasks; if several machines are quarantined, check the logs of their workers",
        machine->name);
  machine->scale_in_requested = TRUE;
}

static void
back_off_job (HzbJob *job, struct timespec now)
{
  job->failures++;
  job->not_before = hzb_time_plus (now, MIN (MAX_BACKOFF_S, 1 << MIN (job->failures, MAX_DOUBLINGS)));
}

/* Handles the exit of a task with an error. started_successfully: before the exit, the task had run long enough for
 * hzb_task_started_successfully(). */
static void
handle_error_exit (HzbWorkerApi *api, HzbMachine *machine, HzbTask *task, gboolean started_successfully,
                   struct timespec now)
{
  HzbJob *job = task->job;
  gboolean is_last_failed_job = g_strcmp0 (machine->last_failed_job, job->uid) == 0;

  task->failed_attempts = incremented_failed_attempts (task);
  record_failed_machine (job, machine);
  /* If the task failed after a successful start, a successful start no longer proves that the job can succeed; only a
   * completed task does. */
  job->proven_runnable = job->proven_runnable && (!started_successfully || job->done + job->finished > 0);
  hzb_machine_note_failure (machine, job, now);
  if (hzb_machine_is_faulty (machine, api->dependencies.jobs))
    request_scale_in (machine);
  /* Several failed replicas on one machine say no more about the service than a single one, so only the first of them
   * puts the service into back-off. */
  else if (!job->proven_runnable && !(is_service (job) && is_last_failed_job))
    back_off_job (job, now);
  /* Until a service has failed on several machines, its replicas count as sound, so a failed replica is retried on
   * another machine after a short back-off. The back-off of the replica stays short after that, too: only
   * back_off_job() delays a service that fails on every machine. */
  task->not_before = hzb_time_plus (
      now, is_service (job) ? REPLICA_BACKOFF_S
                            : MIN (MAX_BACKOFF_S, 1 << MIN (task->failed_attempts, MAX_DOUBLINGS)) * TASK_BACKOFF_S);
}

/* Applies the failure of a task, or the refusal of its start. With any other cause, the function does nothing. */
static void
apply_failure (HzbWorkerApi *api, HzbMachine *machine, HzbTask *task, HzbExitCause cause, gboolean started_successfully,
               struct timespec now)
{
  if (cause == HZB_EXIT_ERROR)
    handle_error_exit (api, machine, task, started_successfully, now);
  else if (cause == HZB_EXIT_REFUSED_FULL || cause == HZB_EXIT_REFUSED_UNKNOWN || cause == HZB_EXIT_REFUSED_IN_USE)
    {
      g_message ("task %s/%u: the worker of machine %s refused to start the task (HzbExitCause %d); retry in %d s",
                 task->job->uid, task->index, machine->name, cause, REFUSED_START_BACKOFF_S);
      task->not_before = hzb_time_plus (now, REFUSED_START_BACKOFF_S);
    }
}

/* Without a back-off, a replica that exits soon after its start would be started again at every heartbeat. A replica
 * that had run long enough for hzb_task_started_successfully() is started again at once. */
static void
back_off_exited_replica (HzbTask *replica, gboolean started_successfully, struct timespec now)
{
  double backoff_s = 0;

  replica->failed_attempts = started_successfully ? 0 : incremented_failed_attempts (replica);
  if (!started_successfully)
    backoff_s =
        MIN (MAX_QUICK_EXIT_BACKOFF_S, QUICK_EXIT_BACKOFF_S * (1 << MIN (replica->failed_attempts, MAX_DOUBLINGS)));
  replica->not_before = hzb_time_plus (now, backoff_s);
}

/* ---- results ---- */

/* The result of the current attempt is accepted. The result of another attempt is accepted only while this node has no
 * attempt of the task on a machine and has not delegated the task. */
static gboolean
accepts_result (const HzbTask *task, gboolean is_current)
{
  return is_current || task->state == HZB_TASK_UNCONFIRMED || task->state == HZB_TASK_PENDING
         || task->state == HZB_TASK_QUEUED || task->state == HZB_TASK_OTHER_OWNER;
}

/* The leader records the completion of the job if this was the job's last missing result. Otherwise the leader records
 * the progress of the job, which accept_result() has marked as dirty, when its page is due. A leaseholder sends the
 * result to the leader, which records it. */
static void
persist_result (HzbWorkerApi *api, HzbTask *task, double ran_s)
{
  HzbJob *job = task->job;

  if (hzb_ownership_is_leaseholder (api->dependencies.ownership))
    hzb_leaseholder_report_finished (api->dependencies.leaseholder, task, ran_s);
  else if (job->finished + job->done == job->n_tasks)
    hzb_records_complete_job (api->dependencies.records, job);
  else
    hzb_records_flush_if_due (api->dependencies.records);
}

static void
accept_result (HzbWorkerApi *api, HzbMachine *machine, HzbTask *task, gboolean is_current, struct timespec now)
{
  HzbJob *job = task->job;
  /* 0: the run time is not known; hzb_jobs_record_run_time() ignores it. */
  double ran_s = is_current && task->state == HZB_TASK_RUNNING ? hzb_time_between (task->since, now) : 0;

  /* hzb_task_set_state() allows no direct change from these two states to HZB_TASK_FINISHED. */
  if (task->state == HZB_TASK_QUEUED || task->state == HZB_TASK_OTHER_OWNER)
    hzb_task_set_state (api->dependencies.jobs, task, HZB_TASK_PENDING, NULL);
  hzb_jobs_record_run_time (api->dependencies.jobs, job, ran_s);
  hzb_task_set_state (api->dependencies.jobs, task, HZB_TASK_FINISHED, NULL);
  job->dirty = TRUE;
  job->failures = 0;
  job->proven_runnable = TRUE;
  hzb_machine_note_success (machine);
  persist_result (api, task, ran_s);
}

/* The worker keeps the result until it gets a reap command for the task. The command is sent only after the result is
 * durable. While this node has another attempt of the task on a machine, the result of this attempt is not accepted and
 * gets no reap command. */
static void
handle_result (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task, const HzbTaskStatus *task_status,
               gboolean is_current)
{
  if (task->state == HZB_TASK_DONE)
    hzb_heartbeat_add_reap (exchange, task->job->uid, task->index, task_status->attempt);
  else if (accepts_result (task, is_current))
    accept_result (api, exchange->machine, task, is_current, exchange->now);
}

static void
handle_exit_without_result (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task,
                            const HzbTaskStatus *task_status, gboolean is_current)
{
  if (is_current)
    {
      gboolean started_successfully =
          task->state == HZB_TASK_RUNNING && hzb_task_started_successfully (task, exchange->now);
      hzb_task_set_state (api->dependencies.jobs, task, HZB_TASK_PENDING, NULL);
      apply_failure (api, exchange->machine, task, task_status->exit_cause, started_successfully, exchange->now);
      if (task_status->exit_cause == HZB_EXIT_DONE)
        back_off_exited_replica (task, started_successfully, exchange->now);
    }
  hzb_heartbeat_add_reap (exchange, task->job->uid, task->index, task_status->attempt);
}

void
hzb_task_exit_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task, const HzbTaskStatus *task_status)
{
  gboolean is_current = hzb_task_status_is_current (exchange, task, task_status);

  /* A replica of a service has no result: it is started again after any exit. */
  if (task_status->exit_cause == HZB_EXIT_DONE && !is_service (task->job))
    handle_result (api, exchange, task, task_status, is_current);
  else
    handle_exit_without_result (api, exchange, task, task_status, is_current);
}
