/* The leader's periodic work on the jobs and machines that it owns. */
#include "controller-private.h"
#include "fleet-summary.h"
#include "task-table.h"

#define LEASE_MARGIN_S 1.0       /* added to a worker's lease and the drift of clocks */
#define CLOCK_DRIFT_FACTOR 1.002 /* the controller's clock may run faster than a worker's by this factor */
#define MAX_MISSED_HEARTBEATS 3  /* after that the tasks in a machine's run queues are placed on other machines */
#define SUMMARY_INTERVAL_S 10.0

/* ---- leases of workers ---- */

/* The worker's lease has certainly expired, so the worker has ended all its tasks, even if it has missed messages of
 * the leader. */
static void
expire_lease (HzbController *controller, HzbMachine *machine)
{
  hzb_machine_requeue_tasks (controller->jobs, machine);
  machine->expired_agent_epoch = machine->agent_epoch;
  hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_LEASE_EXPIRED, "its worker's lease has expired");
}

static void
check_worker_leases (HzbController *controller, struct timespec now)
{
  const HzbSettings *settings = controller->settings;
  double expires_after_s = settings->lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S;

  if (!hzb_election_is_lease_valid (controller->election))
    return; /* a newer leader may have renewed the workers' leases */
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      gboolean may_run_tasks = machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_DRAINING;
      if (may_run_tasks && machine->verified && hzb_time_between (machine->last_response, now) > expires_after_s)
        expire_lease (controller, machine);
      else if (machine->state == HZB_MACHINE_ACTIVE
               && hzb_time_between (machine->last_heartbeat, now)
                      > MAX_MISSED_HEARTBEATS * settings->heartbeat_interval_s
               && hzb_machine_count_queued_tasks (machine))
        hzb_machine_clear_run_queues (controller->jobs, machine);
    }
}

/* ---- unconfirmed tasks ---- */

/* An earlier owner may have started an unconfirmed task. The task becomes pending once no unverified machine can have
 * received the command to start it. For example, a task that may not run on spot machines does not wait for unverified
 * spot machines.
 * `owner`: HZB_UNCONFIRMED_TASKS_OF_LEADER, or the number (1 and up) of the leaseholder whose shard was reclaimed */
static void
resolve_unconfirmed_of_owner (HzbController *controller, guint owner, const GPtrArray *unverified_kinds)
{
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      HzbJob *job = controller->jobs->active->pdata[i];
      if (job->unconfirmed && hzb_reconciliation_may_resolve_unconfirmed (controller->reconciliation, job)
          && !hzb_job_may_run_on_unverified (job, unverified_kinds))
        hzb_job_resolve_unconfirmed (controller->jobs, job, owner);
    }
}

static void
resolve_unconfirmed (HzbController *controller)
{
  g_autoptr (GPtrArray) kinds_by_owner = NULL;

  if (hzb_ownership_state (controller->ownership) != HZB_OWNERSHIP_RECOVERING
      && !hzb_jobs_any_unconfirmed (controller->jobs))
    return;
  /* The possible owners are the leader and one leaseholder for each peer. */
  kinds_by_owner = hzb_machines_list_unverified_kinds (controller->machines, controller->settings->peers->len + 1);
  for (guint owner = 0; owner < kinds_by_owner->len; owner++)
    {
      const GPtrArray *unverified_kinds = kinds_by_owner->pdata[owner];
      resolve_unconfirmed_of_owner (controller, owner, unverified_kinds);
      if (owner == HZB_UNCONFIRMED_TASKS_OF_LEADER && !unverified_kinds->len
          && hzb_ownership_state (controller->ownership) == HZB_OWNERSHIP_RECOVERING)
        hzb_controller_finish_recovery (controller);
    }
}

/* ---- jobs ---- */

/* Makes all tasks of the job that are in this state pending. `state`: HZB_TASK_QUEUED or HZB_TASK_RESERVED */
static void
withdraw_tasks (HzbController *controller, HzbJob *job, HzbTaskState state)
{
  HzbTask *task;

  for (guint i = 0; (task = hzb_task_table_next (job->tasks, &i));)
    if (task->state == state)
      hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
}

/* A machine that is to be returned takes no new tasks, so it gets no start commands for the reservations on it. Without
 * this function a gang with such a reservation would wait forever. */
static void
release_unusable_reservations (HzbController *controller, HzbJob *job)
{
  HzbTask *task;

  for (guint i = 0; job->placed > job->running && (task = hzb_task_table_next (job->tasks, &i));)
    if (task->state == HZB_TASK_RESERVED && !hzb_machine_is_usable (task->machine))
      hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
}

/* A gang that has lost a task starts again once none of its tasks is on a machine. Tasks that wait for the others are
 * stopped; running tasks notice the loss themselves. A task whose machine fetches the image is stopped once it has it:
 * the machine would give the fetch up, and a fetch that takes longer than a task waits for the others would begin anew
 * each time. Once the result of one task is known (HZB_TASK_FINISHED) or also
 * durable (HZB_TASK_DONE), all tasks count as finished, even a task whose machine was lost. */
static void
maintain_gang (HzbController *controller, HzbJob *job)
{
  gboolean any_result_known = job->finished + job->done > 0;

  release_unusable_reservations (controller, job);
  if (!job->pending || job->pending == job->n_tasks)
    return;
  for (guint i = 0; i < job->n_tasks; i++)
    {
      HzbTask *task;
      gboolean finishes = any_result_known && !job->placed && hzb_task_table_state (job->tasks, i) == HZB_TASK_PENDING;
      if (!finishes && hzb_task_table_is_at_rest (job->tasks, i))
        continue;
      task = hzb_task_table_get (job->tasks, i);
      if (finishes)
        hzb_task_set_state (controller->jobs, task, HZB_TASK_FINISHED, NULL);
      else if (task->state == HZB_TASK_RESERVED)
        hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
      else if (!any_result_known && task->state == HZB_TASK_WAITING)
        task->stopping = TRUE;
    }
}

static void
maintain_accepted_job (HzbController *controller, HzbJob *job)
{
  if (job->spec->kind == HZB_JOB_GANG)
    maintain_gang (controller, job);
  if (job->finished + job->done == job->n_tasks)
    hzb_records_complete_job (controller->records, job);
}

/* Returns: TRUE if the job was deactivated, since none of its tasks is on a machine any more */
static gboolean
maintain_cancelled_job (HzbController *controller, HzbJob *job)
{
  hzb_shard_leases_announce_cancellation (controller->shard_leases, job);
  if (job->queued)
    withdraw_tasks (controller, job, HZB_TASK_QUEUED);
  if (job->placed)
    withdraw_tasks (controller, job, HZB_TASK_RESERVED);
  if (job->placed || job->unconfirmed || job->completing)
    return FALSE;
  hzb_records_drop_job (controller->records, job);
  hzb_jobs_deactivate (controller->jobs, job);
  return TRUE;
}

static void
maintain_jobs (HzbController *controller)
{
  GPtrArray *active = controller->jobs->active;

  for (guint i = 0; i < active->len;)
    {
      HzbJob *job = active->pdata[i];
      gboolean deactivated = FALSE;
      if (job->state == HZB_JOB_ACCEPTED)
        maintain_accepted_job (controller, job);
      else
        deactivated = maintain_cancelled_job (controller, job);
      i += !deactivated; /* hzb_jobs_deactivate() removes the job from the array */
    }
}

/* ---- the leader's tick ---- */

static void
scan_when_due (HzbController *controller, struct timespec now)
{
  if (hzb_time_before (now, controller->machines->next_scan))
    return;
  controller->machines->next_scan = hzb_time_plus (now, hzb_machines_scan_interval_s (controller->machines));
  resolve_unconfirmed (controller);
  check_worker_leases (controller, now);
}

static void
log_summary_when_due (HzbController *controller, struct timespec now)
{
  if (hzb_time_before (now, controller->next_summary))
    return;
  controller->next_summary = hzb_time_plus (now, SUMMARY_INTERVAL_S);
  hzb_fleet_summary_log (controller->machines, controller->jobs, controller->dispatch, controller->settings);
}

void
hzb_leader_maintenance_tick (HzbController *controller, struct timespec now)
{
  hzb_reconciliation_tick (controller->reconciliation, now);
  scan_when_due (controller, now);
  maintain_jobs (controller);
  hzb_controller_consolidate_when_due (controller, now);
  log_summary_when_due (controller, now);
  if (!hzb_time_before (now, controller->dispatch->next_run))
    {
      hzb_controller_dispatch (controller, now);
      /* The dispatcher may have requested the release of tasks (HzbJob.release_requested). The tasks can start once a
       * flush has written the released marks of their jobs. */
      hzb_records_flush_if_due (controller->records);
    }
  hzb_records_flush_if_due (controller->records);
}
