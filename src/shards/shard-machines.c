/* Assigns machines to shards. A machine is leased while it boots or when it is idle, handed over with its tasks
 * while the leader is overloaded, and recalled when it is a scale-in candidate or the leader needs it. */
#include "shard-leases-private.h"

#include <string.h>

/* The leader leases machines only to a leaseholder that has polled without interruption for MIN_STEADY_POLLING_S,
 * and whose last poll is not older than MAX_POLL_AGE_S. */
#define MIN_STEADY_POLLING_S 3.0
#define MAX_POLL_AGE_S 1.5
/* A machine with more tasks is not handed over, because a single message must name all of them when the machine is
 * returned. */
#define MAX_TASKS_HANDED_OVER 400u
/* A machine with tasks is handed over only to a shard with less than this fraction of the leader's CPUs. */
#define HAND_OVER_MAX_CPUS_FRACTION 0.7
/* A handed-over machine starts no tasks for about a second, so hand-overs are rate limited. In a large fleet the
 * interval is shorter, so that all machines could be handed over within MAX_HAND_OVER_ALL_S. */
#define HAND_OVER_INTERVAL_S 0.25
#define MAX_HAND_OVER_ALL_S 10.0
/* The leader is overloaded, and hands over machines with tasks, while its timers fire at least this late on average. */
#define MIN_OVERLOAD_LAG_S 0.015

/* Returns: whether there is an accepted gang of which no task is in HZB_TASK_FINISHED. The gang waits or runs. */
static gboolean
has_waiting_gang (const HzbJobs *jobs)
{
  for (guint i = 0; i < jobs->active->len; i++)
    {
      const HzbJob *job = jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && job->spec->kind == HZB_JOB_GANG && !job->finished)
        return TRUE;
    }
  return FALSE;
}

/* Returns: whether tasks are waiting, and all of them have to run in the leader's shard. Machines leased in this
 * state would be idle in the other shards. */
static gboolean
has_only_leader_work_waiting (const HzbJobs *jobs)
{
  gboolean any_waiting = FALSE;
  for (guint i = 0; i < jobs->active->len; i++)
    {
      const HzbJob *job = jobs->active->pdata[i];
      if (job->state != HZB_JOB_ACCEPTED || !(job->pending || job->queued))
        continue;
      if (hzb_job_is_delegable (job))
        return FALSE;
      any_waiting = TRUE;
    }
  return any_waiting;
}

/* ---- the periodic scan ---- */

static void
push_lease (HzbLeaseholderView *leaseholder, HzbMachineLease *lease)
{
  HzbShardBatch *batch = hzb_shard_batch_new ();
  batch->lease = lease;
  hzb_shards_push (leaseholder, batch);
}

/* Sends the lease only after the machine is recorded, because the leaseholder may start tasks on it as soon as it
 * receives the lease. */
static void
send_lease_if_recorded (HzbLeaseholderView *leaseholder, HzbMachine *machine)
{
  if (machine->lease_sent || !hzb_machine_is_recorded (machine))
    return;
  machine->lease_sent = TRUE;
  push_lease (leaseholder, hzb_machine_lease_new (machine));
}

/* Recalls the machine if it is a scale-in candidate or the leader needs it, and withdraws the recall when the reason
 * no longer holds. */
static void
update_recall (HzbLeaseholderView *leaseholder, HzbMachine *machine, gboolean recall_all)
{
  gboolean requested = recall_all || machine->scale_in_candidate || machine->scale_in_requested
                       || machine->reserved_for_services || machine->recall_at_once;
  HzbShardBatch *batch;

  if (machine->recall_requested == requested || !machine->lease_sent)
    return;
  machine->recall_requested = requested;
  batch = hzb_shard_batch_new ();
  /* If the machine is reserved for services, replicas wait for it: it is returned with its tasks, so that the leader
   * can stop them. */
  batch->recall = hzb_recall_new (machine->name, requested, machine->reserved_for_services || machine->recall_at_once);
  hzb_shards_push (leaseholder, batch);
}

static void
scan_machine (HzbShardLeases *shard_leases, HzbMachine *machine)
{
  HzbLeaseholderView *leaseholder =
      machine->state == HZB_MACHINE_LEASED ? hzb_shard_leases_leaseholder (shard_leases, machine->leaseholder) : NULL;

  if (machine->type && leaseholder)
    shard_leases->shard_cpus[machine->leaseholder] += machine->type->cpus;
  else if (machine->type && machine->state == HZB_MACHINE_ACTIVE)
    shard_leases->shard_cpus[0] += machine->type->cpus;
  if (!leaseholder)
    return;
  send_lease_if_recorded (leaseholder, machine);
  if (leaseholder->lease_confirmed)
    update_recall (leaseholder, machine, shard_leases->gang_waiting || !*shard_leases->dependencies.leasing_enabled);
  if (!machine->recall_requested)
    hzb_machines_add_kind (leaseholder->machine_kinds, machine);
}

static gboolean
scan_is_recent (const HzbShardLeases *shard_leases, struct timespec now)
{
  const HzbMachines *machines = shard_leases->dependencies.machines;
  return hzb_time_is_set (shard_leases->scanned_at) && shard_leases->generation == machines->generation
         && hzb_time_between (shard_leases->scanned_at, now) < hzb_machines_scan_interval_s (machines);
}

/* A scan examines every machine, which is too expensive for every heartbeat and poll, so scans are rate limited. */
void
hzb_shards_scan (HzbShardLeases *shard_leases, struct timespec now)
{
  const HzbMachines *machines = shard_leases->dependencies.machines;

  if (scan_is_recent (shard_leases, now))
    return;
  shard_leases->scanned_at = now;
  shard_leases->generation = machines->generation;
  shard_leases->gang_waiting = has_waiting_gang (shard_leases->dependencies.jobs);
  shard_leases->only_leader_work_waiting = has_only_leader_work_waiting (shard_leases->dependencies.jobs);
  memset (shard_leases->shard_cpus, 0, (shard_leases->leaseholders->len + 1) * sizeof *shard_leases->shard_cpus);
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    g_ptr_array_set_size (((HzbLeaseholderView *) shard_leases->leaseholders->pdata[i])->machine_kinds, 0);
  for (guint i = 0; i < machines->all->len; i++)
    scan_machine (shard_leases, machines->all->pdata[i]);
}

/* ---- leasing ---- */

static gboolean
is_polling_steadily (const HzbLeaseholderView *leaseholder, struct timespec now)
{
  return hzb_time_is_set (leaseholder->last_poll) && hzb_time_between (leaseholder->last_poll, now) <= MAX_POLL_AGE_S
         && hzb_time_between (leaseholder->steady_since, now) >= MIN_STEADY_POLLING_S;
}

/* Returns: (nullable): the leaseholder whose shard has the fewest CPUs, if these are less than @max_fraction of the
 * CPUs that the leader would keep; NULL if there is none */
static HzbLeaseholderView *
smallest_leaseholder (HzbShardLeases *shard_leases, const HzbMachine *machine, double max_fraction, struct timespec now)
{
  const double *cpus = shard_leases->shard_cpus;
  double cpus_limit;
  HzbLeaseholderView *smallest = NULL;

  hzb_shards_scan (shard_leases, now);
  /* An active machine of the leader is leased only if this reduces the difference between the shards. */
  cpus_limit = max_fraction * (machine->state == HZB_MACHINE_ACTIVE ? cpus[0] - machine->type->cpus : cpus[0]);
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      HzbLeaseholderView *leaseholder = shard_leases->leaseholders->pdata[i];
      if (is_polling_steadily (leaseholder, now) && cpus[leaseholder->id] < cpus_limit)
        {
          cpus_limit = cpus[leaseholder->id];
          smallest = leaseholder;
        }
    }
  return smallest;
}

static gboolean
can_lease_machine (const HzbShardLeases *shard_leases, const HzbMachine *machine)
{
  return *shard_leases->dependencies.leasing_enabled && machine->type && !machine->scale_in_requested
         && !machine->scale_in_candidate && !machine->reserved_for_services && !machine->unreachable
         && machine->known_to_cloud && hzb_ownership_is_loaded_leader (shard_leases->dependencies.ownership)
         && !shard_leases->gang_waiting && !shard_leases->only_leader_work_waiting;
}

static void
lease_machine_to (HzbLeaseholderView *leaseholder, HzbMachine *machine)
{
  HzbShardLeases *shard_leases = leaseholder->shard_leases;

  if (!leaseholder->fencing_token || machine->fencing_token >= leaseholder->fencing_token)
    leaseholder->fencing_token = hzb_shard_leases_next_fencing_token (shard_leases);
  if (machine->state == HZB_MACHINE_ACTIVE)
    shard_leases->shard_cpus[0] -= machine->type->cpus;
  shard_leases->shard_cpus[leaseholder->id] += machine->type->cpus;
  machine->leaseholder = leaseholder->id;
  machine->lease_sent = FALSE;
  hzb_machine_set_state (shard_leases->dependencies.machines, machine, HZB_MACHINE_LEASED, leaseholder->peer->node);
}

/* Leasing keeps the shards at about the same size. The leader delegates as many tasks to each shard as it has CPUs
 * for, so the waiting tasks are spread evenly as well. */
const char *
hzb_shard_leases_lease_idle (HzbShardLeases *shard_leases, HzbMachine *machine)
{
  struct timespec now = hzb_clock_now (shard_leases->dependencies.node->clock);
  HzbLeaseholderView *leaseholder;

  hzb_shards_scan (shard_leases, now);
  if ((machine->state != HZB_MACHINE_BOOTING && machine->state != HZB_MACHINE_ACTIVE) || machine->tasks->len
      || hzb_machine_count_queued_tasks (machine) || machine->quarantined || !can_lease_machine (shard_leases, machine))
    return NULL;
  leaseholder = smallest_leaseholder (shard_leases, machine, 1, now);
  if (!leaseholder)
    return NULL;
  lease_machine_to (leaseholder, machine);
  return leaseholder->peer->node;
}

/* ---- hand-over of machines with their tasks ---- */

static gboolean
can_hand_over_task (const HzbTask *task)
{
  return !task->stopping && !task->job->awaits_verdict && task->state != HZB_TASK_RESERVED
         && task->state != HZB_TASK_CHECKPOINTING && hzb_job_is_delegable (task->job);
}

/* A hand-over does not wait for the end of the recovery after a failover, because the heartbeat just received from
 * this machine shows all tasks on it. */
static gboolean
can_hand_over_machine (const HzbShardLeases *shard_leases, const HzbMachine *machine, struct timespec now)
{
  if (shard_leases->dependencies.dispatch->lag_s < MIN_OVERLOAD_LAG_S
      || hzb_time_before (now, shard_leases->next_hand_over) || machine->tasks->len > MAX_TASKS_HANDED_OVER
      || machine->state != HZB_MACHINE_ACTIVE || !machine->verified || !hzb_machine_is_recorded (machine)
      || machine->ignored_responses || machine->quarantined || !can_lease_machine (shard_leases, machine)
      || !hzb_election_is_lease_valid (shard_leases->dependencies.election))
    return FALSE;
  for (guint i = 0; i < machine->tasks->len; i++)
    if (!can_hand_over_task (machine->tasks->pdata[i]))
      return FALSE;
  return TRUE;
}

/* Sets all tasks on the machine to delegated. Returns: (transfer full) (element-type HzbHeldTask): these tasks */
static GArray *
delegate_machine_tasks (HzbLeaseholderView *leaseholder, HzbMachine *machine)
{
  HzbJobs *jobs = leaseholder->shard_leases->dependencies.jobs;
  GArray *held_tasks = hzb_held_tasks_new ();

  hzb_machine_clear_run_queues (jobs, machine);
  while (machine->tasks->len)
    {
      HzbTask *task = machine->tasks->pdata[machine->tasks->len - 1];
      guint before = machine->tasks->len;
      hzb_held_tasks_add (held_tasks, task);
      task->leaseholder = leaseholder->id;
      hzb_task_set_state (jobs, task, HZB_TASK_DELEGATED, NULL);
      /* prevents an endless loop if the change of state was rejected */
      g_return_val_if_fail (machine->tasks->len < before, held_tasks);
    }
  return held_tasks;
}

/* After a failover the leader holds every machine, and under load hardly any machine is without tasks. So machines are
 * leased with tasks as well: the lease names all tasks that may be on the machine, including those started in the last
 * answer to its heartbeat. The leaseholder draws no conclusion about these tasks until the machine has sent a heartbeat
 * under the shard's fencing token. */
const char *
hzb_shard_leases_hand_over (HzbShardLeases *shard_leases, HzbMachine *machine)
{
  struct timespec now = hzb_clock_now (shard_leases->dependencies.node->clock);
  HzbLeaseholderView *leaseholder;
  HzbMachineLease *lease;

  hzb_shards_scan (shard_leases, now);
  if (!can_hand_over_machine (shard_leases, machine, now))
    return NULL;
  leaseholder = smallest_leaseholder (shard_leases, machine, HAND_OVER_MAX_CPUS_FRACTION, now);
  /* Leasing a machine whose fencing token is not below the shard's would raise the fencing token of the shard. No
   * machine of the shard could then be used until its next heartbeat. */
  if (!leaseholder || (leaseholder->fencing_token && machine->fencing_token >= leaseholder->fencing_token))
    return NULL;
  shard_leases->next_hand_over = hzb_time_plus (
      now, MIN (HAND_OVER_INTERVAL_S, MAX_HAND_OVER_ALL_S / shard_leases->dependencies.machines->all->len));
  lease = hzb_machine_lease_new (machine);
  lease->held_tasks = delegate_machine_tasks (leaseholder, machine);
  lease_machine_to (leaseholder, machine);
  machine->lease_sent = TRUE;
  push_lease (leaseholder, lease);
  return leaseholder->peer->node;
}
