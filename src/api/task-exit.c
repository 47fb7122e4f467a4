/* A task has exited: its result is taken, or the task runs again. Also the back-off of tasks, jobs and machines that fail. */
#include "worker-api-private.h"

#define MAX_TRIES 10           /* beyond it the pause grows no more */
#define MAX_PAUSE_S 60         /* of a job, and before it is halved, of a task */
#define MAX_DOUBLINGS 6        /* of a pause */
#define TASK_PAUSE_S 0.5       /* before a failed task is tried again; doubles */
#define REPLICA_PAUSE_S 0.2    /* before a failed replica of a service is tried again */
#define REFUSED_PAUSE_S 1      /* before a task that a worker refused is tried again */
#define QUICK_EXIT_PAUSE_S 0.5 /* of a replica that exits soon after its start; doubles */
#define QUICK_EXIT_MOST_S 30.0

static gboolean
is_service (const HzbJob *job)
{
  return job->spec->kind == HZB_JOB_SERVICE;
}

static guint8
one_more_try (const HzbTask *task)
{
  return (guint8) MIN (task->failed_attempts + 1, MAX_TRIES);
}

/* ---- failures ---- */

static void
note_failed_on (HzbJob *job, const HzbMachine *machine)
{
  if (!job->first_failed_machine)
    job->first_failed_machine = g_strdup (machine->name);
  job->failed_on_several_machines =
      job->failed_on_several_machines || !g_str_equal (job->first_failed_machine, machine->name);
}

static void
scale_in_faulty (HzbMachine *machine)
{
  if (!machine->scale_in_requested)
    g_message (
        "machine %s fails what it starts and is set aside (quarantined): it gets no new tasks and is returned to the "
        "cloud once it is empty; look at its worker's log if several machines do the same",
        machine->name);
  machine->scale_in_requested = TRUE;
}

static void
pause_job (HzbJob *job, struct timespec now)
{
  job->failures++;
  job->not_before = hzb_time_plus (now, MIN (MAX_PAUSE_S, 1 << MIN (job->failures, MAX_DOUBLINGS)));
}

/* The heartbeat shows that the task exited with an error. */
static void
note_error (HzbWorkerApi *api, HzbMachine *machine, HzbTask *task, gboolean ran_well, struct timespec now)
{
  HzbJob *job = task->job;
  gboolean same_job = g_strcmp0 (machine->last_failed_job, job->uid) == 0;

  task->failed_attempts = one_more_try (task);
  note_failed_on (job, machine);
  /* That tasks run for a while proves nothing about a job whose tasks fail after that. */
  job->proven_runnable = job->proven_runnable && (!ran_well || job->done + job->finished > 0);
  hzb_machine_note_failure (machine, job, now);
  if (hzb_machine_is_faulty (machine, api->with.jobs))
    scale_in_faulty (machine);
  /* One machine that fails all replicas of a service says no more about the service than one that fails a single replica. */
  else if (!job->proven_runnable && !(is_service (job) && same_job))
    pause_job (job, now);
  /* A replica is sound until its service fails on several machines: it is tried elsewhere at once. */
  task->not_before = hzb_time_plus (
      now, is_service (job) ? REPLICA_PAUSE_S
                            : MIN (MAX_PAUSE_S, 1 << MIN (task->failed_attempts, MAX_DOUBLINGS)) * TASK_PAUSE_S);
}

static void
note_failure (HzbWorkerApi *api, HzbMachine *machine, HzbTask *task, HzbExitCause cause, gboolean ran_well,
              struct timespec now)
{
  if (cause == HZB_EXIT_ERROR)
    note_error (api, machine, task, ran_well, now);
  else if (cause == HZB_EXIT_REFUSED_FULL || cause == HZB_EXIT_REFUSED_UNKNOWN || cause == HZB_EXIT_REFUSED_IN_USE)
    {
      g_message (
          "task %s/%u: the worker of machine %s refused to start it (HzbExitCause %d); it is tried again in %d s",
          task->job->uid, task->index, machine->name, cause, REFUSED_PAUSE_S);
      task->not_before = hzb_time_plus (now, REFUSED_PAUSE_S);
    }
}

/* A replica that exits by itself as soon as it runs would otherwise be started at every heartbeat. A replica that ran well is
 * started again at once. */
static void
pause_exited_replica (HzbTask *replica, gboolean ran_well, struct timespec now)
{
  double pause_s = 0;

  replica->failed_attempts = ran_well ? 0 : one_more_try (replica);
  if (!ran_well)
    pause_s = MIN (QUICK_EXIT_MOST_S, QUICK_EXIT_PAUSE_S * (1 << MIN (replica->failed_attempts, MAX_DOUBLINGS)));
  replica->not_before = hzb_time_plus (now, pause_s);
}

/* ---- results ---- */

static gboolean
result_counts (const HzbTask *task, gboolean current)
{
  return current || task->state == HZB_TASK_UNCONFIRMED || task->state == HZB_TASK_PENDING
         || task->state == HZB_TASK_QUEUED || task->state == HZB_TASK_OTHER_OWNER;
}

/* The leader makes the result durable; a leaseholder passes it on to the leader. */
static void
make_durable (HzbWorkerApi *api, HzbTask *task, double ran_s)
{
  HzbJob *job = task->job;

  if (hzb_ownership_is_leaseholder (api->with.ownership))
    hzb_leaseholder_report_finished (api->with.leaseholder, task, ran_s);
  else if (job->finished + job->done == job->n_tasks)
    hzb_records_complete_job (api->with.records, job);
  else
    hzb_records_flush_if_due (api->with.records);
}

static void
take_result (HzbWorkerApi *api, HzbMachine *machine, HzbTask *task, gboolean current, struct timespec now)
{
  HzbJob *job = task->job;
  double ran_s = current && task->state == HZB_TASK_RUNNING ? hzb_time_between (task->since, now) : 0;

  if (task->state == HZB_TASK_QUEUED || task->state == HZB_TASK_OTHER_OWNER)
    hzb_task_set_state (api->with.jobs, task, HZB_TASK_PENDING, NULL);
  hzb_jobs_record_run_time (api->with.jobs, job, ran_s);
  hzb_task_set_state (api->with.jobs, task, HZB_TASK_FINISHED, NULL);
  job->dirty = TRUE;
  job->failures = 0;
  job->proven_runnable = TRUE;
  hzb_machine_note_success (machine);
  make_durable (api, task, ran_s);
}

/* The worker keeps the result until a response has the reap command for the task: not before the result is durable, or
 * the other attempt at the task has ended. */
static void
handle_result (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task, const HzbTaskStatus *task_status,
               gboolean current)
{
  if (task->state == HZB_TASK_DONE)
    hzb_heartbeat_add_reap (exchange, task->job->uid, task->index, task_status->attempt);
  else if (result_counts (task, current))
    take_result (api, exchange->machine, task, current, exchange->now);
}

static void
handle_exit_without_result (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task,
                            const HzbTaskStatus *task_status, gboolean current)
{
  if (current)
    {
      gboolean ran_well = task->state == HZB_TASK_RUNNING && hzb_task_ran_well (task, exchange->now);
      hzb_task_set_state (api->with.jobs, task, HZB_TASK_PENDING, NULL);
      note_failure (api, exchange->machine, task, task_status->exit_cause, ran_well, exchange->now);
      if (task_status->exit_cause == HZB_EXIT_DONE)
        pause_exited_replica (task, ran_well, exchange->now);
    }
  hzb_heartbeat_add_reap (exchange, task->job->uid, task->index, task_status->attempt);
}

void
hzb_task_exit_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task, const HzbTaskStatus *task_status)
{
  gboolean current = hzb_task_status_is_current (exchange, task, task_status);

  /* A replica of a service has no result: whatever it exits with, it runs again. */
  if (task_status->exit_cause == HZB_EXIT_DONE && !is_service (task->job))
    handle_result (api, exchange, task, task_status, current);
  else
    handle_exit_without_result (api, exchange, task, task_status, current);
}
