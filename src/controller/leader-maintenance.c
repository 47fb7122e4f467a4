#include "leader-maintenance.h"

#include "controller-private.h"

#define SOCKETS_PART 0.9  /* of a node's sockets, for the machines that report to it */
#define LEASE_SLACK_S 1.0 /* beyond the lease and the drift of clocks */

static void
check_leases (HzbController *controller, struct timespec now)
{
  double over = controller->settings->lease_s * 1.002 + LEASE_SLACK_S;

  if (!hzb_election_lease_valid (controller->election))
    return; /* a newer owner could have renewed them */
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      if ((machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_DRAINING) && machine->verified
          && hzb_time_between (machine->last_answer, now) > over)
        {
          hzb_machine_lose_tasks (controller->jobs, machine);
          machine->expired_agent_epoch = machine->agent_epoch;
          hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_LEASE_EXPIRED, "its lease is over");
        }
      else if (machine->state == HZB_MACHINE_ACTIVE
               && hzb_time_between (machine->last_heartbeat, now) > 3 * controller->settings->heartbeat_interval_s
               && hzb_machine_queued_tasks (machine))
        hzb_machine_clear_run_queues (controller->jobs, machine); /* others may take what waits for a quiet machine */
    }
}

/* Guards against a gang that waits for ever: a machine that takes no new tasks any more, since it is spare or goes back, is
 * not told of the places that are held there. */
static void
release_useless_reservations (HzbController *controller, HzbJob *job)
{
  for (guint k = 0; job->placed > job->running && k < job->n_tasks; k++)
    {
      HzbTask *task = &job->tasks[k];
      if (task->state == HZB_TASK_RESERVED && !hzb_machine_usable (task->machine))
        hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
    }
}

/* A gang that has lost a task starts anew once all its tasks are gone: those that wait for the others are told
 * so, those that run notice it themselves. When one is done, all are, even one whose machine is lost. */
static void
maintain_gang (HzbController *controller, HzbJob *job)
{
  gboolean over = job->finished + job->done > 0;

  release_useless_reservations (controller, job);
  if (!job->pending || job->pending == job->n_tasks)
    return;
  for (guint k = 0; k < job->n_tasks; k++)
    {
      HzbTask *task = &job->tasks[k];
      if (over && task->state == HZB_TASK_PENDING && !job->placed)
        hzb_task_set_state (controller->jobs, task, HZB_TASK_FINISHED, NULL);
      else if (task->state == HZB_TASK_RESERVED)
        hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
      else if (!over && (task->state == HZB_TASK_FETCHING || task->state == HZB_TASK_WAITING))
        task->stopping = TRUE;
    }
}

static void
maintain_jobs (HzbController *controller, struct timespec now)
{
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      HzbJob *job = controller->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED)
        {
          if (job->spec->kind == HZB_JOB_GANG)
            maintain_gang (controller, job);
          if (job->finished + job->done == job->n_tasks)
            hzb_records_complete_job (controller->records, job);
          continue;
        }
      hzb_shard_leases_announce_cancellation (controller->shard_leases, job);
      for (guint k = 0; job->queued && k < job->n_tasks; k++)
        if (job->tasks[k].state == HZB_TASK_QUEUED)
          hzb_task_set_state (controller->jobs, &job->tasks[k], HZB_TASK_PENDING, NULL);
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        if (job->tasks[k].state == HZB_TASK_RESERVED)
          hzb_task_set_state (controller->jobs, &job->tasks[k], HZB_TASK_PENDING, NULL);
      if (!job->placed && !job->unconfirmed && !job->completing)
        {
          hzb_records_drop_job (controller->records, job);
          hzb_jobs_retire (controller->jobs, job);
          i--;
        }
    }
}

/* What the log says of the fleet; sums of CPUs. */
typedef struct
{
  guint up, leased, booting, other; /* machines */
  double up_cpus, scale_in_candidate_cpus, booting_cpus;
  double held_cpus, running_cpus, waiting_cpus; /* of tasks */
} FleetSummary;

static void
count_machine (FleetSummary *summary, const HzbMachine *machine)
{
  if ((machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_LEASED) && machine->type)
    {
      summary->up++;
      summary->leased += machine->state == HZB_MACHINE_LEASED;
      summary->up_cpus += machine->type->cpus;
      summary->scale_in_candidate_cpus += machine->scale_in_candidate ? machine->type->cpus : 0;
    }
  else if (machine->state == HZB_MACHINE_BOOTING && machine->type)
    {
      summary->booting++;
      summary->booting_cpus += machine->type->cpus;
    }
  else
    summary->other++;
}

/* Guards against connections that are refused for want of sockets, which looks like silent machines. */
static void
warn_of_few_sockets (const HzbController *controller, const FleetSummary *summary)
{
  guint reports_here = summary->up - summary->leased + summary->booting + summary->other;
  if (reports_here > SOCKETS_PART * controller->settings->sockets)
    g_warning (
        "%u machines report to this node, and cluster.resources.sockets is %u: more sockets or controllers are needed",
        reports_here, controller->settings->sockets);
}

/* One line that tells an operator how the fleet stands, leased machines included. */
static void
log_summary (HzbController *controller)
{
  FleetSummary summary = { 0 };

  for (guint i = 0; i < controller->machines->all->len; i++)
    count_machine (&summary, controller->machines->all->pdata[i]);
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      const HzbJob *job = controller->jobs->active->pdata[i];
      if (job->state != HZB_JOB_ACCEPTED)
        continue;
      summary.waiting_cpus += (job->pending + job->queued) * job->spec->cpus;
      summary.held_cpus += job->placed * job->spec->cpus;
      summary.running_cpus += (job->running + job->delegated_running) * job->spec->cpus;
    }
  g_message (
      "fleet: %u up, %u of them leased (%g CPUs: %g held, %g running; %g spare), %u booting (%g CPUs), %u other; %g CPUs' "
      "worth wait; timers are %.0f ms late",
      summary.up, summary.leased, summary.up_cpus, summary.held_cpus, summary.running_cpus,
      summary.scale_in_candidate_cpus, summary.booting, summary.booting_cpus, summary.other, summary.waiting_cpus,
      controller->dispatch->lag_s * 1e3);
  if (controller->settings->sockets)
    warn_of_few_sockets (controller, &summary);
}

/* A task waits only for machines that could have been told to start it: a replica, say, for no spot machine. */
static void
resolve_unconfirmed (HzbController *controller)
{
  g_autoptr (GPtrArray) of_shards = NULL;

  if (hzb_ownership_state (controller->ownership) != HZB_OWNERSHIP_RECOVERING
      && !hzb_jobs_any_unconfirmed (controller->jobs))
    return;
  of_shards = hzb_machines_unverified_kinds (controller->machines, controller->settings->peers->len + 1);
  for (guint shard = 0; shard < of_shards->len; shard++)
    {
      const GPtrArray *unverified = of_shards->pdata[shard];
      for (guint i = 0; i < controller->jobs->active->len; i++)
        {
          HzbJob *job = controller->jobs->active->pdata[i];
          if (job->unconfirmed && hzb_reconciliation_may_resolve (controller->reconciliation, job)
              && !hzb_job_may_run_on_unverified (job, unverified))
            hzb_job_resolve_unconfirmed (controller->jobs, job, shard);
        }
      if (shard == HZB_UNCONFIRMED_TASKS_OF_LEADER
          && hzb_ownership_state (controller->ownership) == HZB_OWNERSHIP_RECOVERING && !unverified->len)
        hzb_controller_recovered (controller);
    }
}

void
hzb_leader_maintenance_tick (HzbController *controller, struct timespec now)
{
  hzb_reconciliation_tick (controller->reconciliation, now);
  if (!hzb_time_before (now, controller->machines->next_scan))
    {
      controller->machines->next_scan = hzb_time_plus (now, hzb_machines_scan_interval_s (controller->machines));
      resolve_unconfirmed (controller);
      check_leases (controller, now);
    }
  maintain_jobs (controller, now);
  if (!hzb_time_before (now, controller->next_plan))
    {
      controller->next_plan = hzb_time_plus (now, 1);
      hzb_dispatch_consolidate (controller->dispatch, now);
    }
  if (!hzb_time_before (now, controller->next_summary))
    {
      controller->next_summary = hzb_time_plus (now, 10);
      log_summary (controller);
    }
  if (!hzb_time_before (now, controller->dispatch->next_run))
    {
      controller->dispatch->next_run = hzb_time_plus (now, 0.2);
      hzb_dispatch_run (controller->dispatch, now);
      hzb_records_flush_soon (controller->records); /* of jobs that could start now */
    }
  hzb_records_flush_soon (controller->records);
}
