/* Which machine is in whose shard. A machine is leased as it comes up or stands idle, handed over with its tasks while the leader
 * is overloaded, and recalled when it is a scale-in candidate or the leader needs it. */
#include "shard-leases-private.h"

#include <string.h>

/* The leader leases machines only to a leaseholder that has polled without interruption for STEADY_S, and lately. */
#define STEADY_S 3.0
#define LATELY_S 1.5
/* A machine with more tasks is not handed over: one message has to name all of them when the machine comes back. */
#define MAX_TASKS_HANDED_OVER 400u
/* A machine with tasks is handed over only to a shard that has less than this part of the leader's CPUs. */
#define HAND_OVER_CPUS_PART 0.7
/* Each hand-over keeps its machine from work for about a second, so hand-overs are paced. In a large fleet they follow each other
 * faster, so that every machine could be handed over within HAND_OVER_ALL_MACHINES_S. */
#define HAND_OVER_INTERVAL_S 0.25
#define HAND_OVER_ALL_MACHINES_S 10.0
/* The leader hands machines with tasks over only while its timers fire so late on average. */
#define OVERLOADED_LAG_S 0.015

static gboolean
gang_waits (const HzbJobs *jobs)
{
  for (guint i = 0; i < jobs->active->len; i++)
    {
      const HzbJob *job = jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && job->spec->kind == HZB_JOB_GANG && !job->finished)
        return TRUE;
    }
  return FALSE;
}

/* Guards against machines that stand idle in other shards while the only work that waits is bound to the leader's. */
static gboolean
only_leader_work_waits (const HzbJobs *jobs)
{
  gboolean any = FALSE;
  for (guint i = 0; i < jobs->active->len; i++)
    {
      const HzbJob *job = jobs->active->pdata[i];
      if (job->state != HZB_JOB_ACCEPTED || !(job->pending || job->queued))
        continue;
      if (hzb_job_is_delegable (job))
        return FALSE;
      any = TRUE;
    }
  return any;
}

/* ---- the periodic scan ---- */

static void
push_lease (HzbLeaseholderView *leaseholder, HzbMachineLease *lease)
{
  HzbShardBatch *batch = hzb_shard_batch_new ();
  batch->lease = lease;
  hzb_shards_push (leaseholder, batch);
}

/* A leaseholder may start tasks on a machine as soon as it knows of the lease, so the machine has to be on record before. */
static void
send_lease_once_recorded (HzbLeaseholderView *leaseholder, HzbMachine *machine)
{
  if (machine->lease_sent || !machine->recorded)
    return;
  machine->lease_sent = TRUE;
  push_lease (leaseholder, hzb_machine_lease_new (machine));
}

/* Scale-in candidates are recalled, and left with the leaseholder if there is work for them after all. */
static void
recall_or_keep (HzbLeaseholderView *leaseholder, HzbMachine *machine, gboolean recall_all)
{
  gboolean back = recall_all || machine->scale_in_candidate || machine->scale_in_requested
                  || machine->reserved_for_services || machine->recall_at_once;
  HzbShardBatch *batch;

  if (machine->recall_requested == back || !machine->lease_sent)
    return;
  machine->recall_requested = back;
  batch = hzb_shard_batch_new ();
  /* Replicas wait for room on the machine. Its tasks come back with it, so that the leader can stop them. */
  batch->recall = hzb_recall_new (machine->name, back, machine->reserved_for_services || machine->recall_at_once);
  hzb_shards_push (leaseholder, batch);
}

static void
scan_machine (HzbShardLeases *shard_leases, HzbMachine *machine)
{
  HzbLeaseholderView *leaseholder =
      machine->state == HZB_MACHINE_LEASED ? hzb_shard_leases_leaseholder (shard_leases, machine->leaseholder) : NULL;

  if (machine->type && leaseholder)
    shard_leases->cpus[machine->leaseholder] += machine->type->cpus;
  else if (machine->type && machine->state == HZB_MACHINE_ACTIVE)
    shard_leases->cpus[0] += machine->type->cpus;
  if (!leaseholder)
    return;
  send_lease_once_recorded (leaseholder, machine);
  if (leaseholder->holds)
    recall_or_keep (leaseholder, machine, shard_leases->gang_waits || !*shard_leases->modules.leasing_enabled);
  if (!machine->recall_requested)
    hzb_machines_add_kind (leaseholder->kinds, machine);
}

static gboolean
scan_is_recent (const HzbShardLeases *shard_leases, struct timespec now)
{
  const HzbMachines *machines = shard_leases->modules.machines;
  return hzb_time_is_set (shard_leases->scanned_at) && shard_leases->generation == machines->generation
         && hzb_time_between (shard_leases->scanned_at, now) < hzb_machines_scan_interval_s (machines);
}

/* A scan examines every machine, which would be too much at every heartbeat and poll. */
void
hzb_shards_scan (HzbShardLeases *shard_leases, struct timespec now)
{
  const HzbMachines *machines = shard_leases->modules.machines;

  if (scan_is_recent (shard_leases, now))
    return;
  shard_leases->scanned_at = now;
  shard_leases->generation = machines->generation;
  shard_leases->gang_waits = gang_waits (shard_leases->modules.jobs);
  shard_leases->only_leader_work_waits = only_leader_work_waits (shard_leases->modules.jobs);
  memset (shard_leases->cpus, 0, (shard_leases->leaseholders->len + 1) * sizeof *shard_leases->cpus);
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    g_ptr_array_set_size (((HzbLeaseholderView *) shard_leases->leaseholders->pdata[i])->kinds, 0);
  for (guint i = 0; i < machines->all->len; i++)
    scan_machine (shard_leases, machines->all->pdata[i]);
}

/* ---- leasing ---- */

static gboolean
may_be_leased_machines (const HzbLeaseholderView *leaseholder, struct timespec now)
{
  return hzb_time_is_set (leaseholder->last_poll) && hzb_time_between (leaseholder->last_poll, now) <= LATELY_S
         && hzb_time_between (leaseholder->steady_since, now) >= STEADY_S;
}

/* The leaseholder whose shard has the fewest CPUs, if these are fewer than @part of the CPUs that the leader would be left with;
 * NULL if there is none. */
static HzbLeaseholderView *
smallest_leaseholder (HzbShardLeases *shard_leases, const HzbMachine *machine, double part, struct timespec now)
{
  const double *cpus = shard_leases->cpus;
  double least;
  HzbLeaseholderView *smallest = NULL;

  hzb_shards_scan (shard_leases, now);
  /* A machine that works for the leader is leased only if that makes the shards more equal. */
  least = part * (machine->state == HZB_MACHINE_ACTIVE ? cpus[0] - machine->type->cpus : cpus[0]);
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      HzbLeaseholderView *leaseholder = shard_leases->leaseholders->pdata[i];
      if (may_be_leased_machines (leaseholder, now) && cpus[leaseholder->id] < least)
        {
          least = cpus[leaseholder->id];
          smallest = leaseholder;
        }
    }
  return smallest;
}

static gboolean
may_lease (const HzbShardLeases *shard_leases, const HzbMachine *machine)
{
  return *shard_leases->modules.leasing_enabled && machine->type && !machine->scale_in_requested
         && !machine->scale_in_candidate && !machine->reserved_for_services && !machine->unreachable
         && machine->known_to_cloud && hzb_ownership_leader_loaded (shard_leases->modules.ownership)
         && !shard_leases->gang_waits && !shard_leases->only_leader_work_waits;
}

static void
lease_to (HzbLeaseholderView *leaseholder, HzbMachine *machine)
{
  HzbShardLeases *shard_leases = leaseholder->shard_leases;

  if (!leaseholder->fencing_token || machine->fencing_token >= leaseholder->fencing_token)
    leaseholder->fencing_token = hzb_shard_leases_next_fencing_token (shard_leases);
  if (machine->state == HZB_MACHINE_ACTIVE)
    shard_leases->cpus[0] -= machine->type->cpus;
  shard_leases->cpus[leaseholder->id] += machine->type->cpus;
  machine->leaseholder = leaseholder->id;
  machine->lease_sent = FALSE;
  hzb_machine_set_state (shard_leases->modules.machines, machine, HZB_MACHINE_LEASED, leaseholder->peer->node);
}

/* Shards are kept at about the same size. The leader delegates to each as much work as it has room for, so the work that
 * waits is spread evenly as well. */
const char *
hzb_shard_leases_lease_idle (HzbShardLeases *shard_leases, HzbMachine *machine)
{
  struct timespec now = hzb_clock_now (shard_leases->modules.node->clock);
  HzbLeaseholderView *leaseholder;

  hzb_shards_scan (shard_leases, now);
  if ((machine->state != HZB_MACHINE_BOOTING && machine->state != HZB_MACHINE_ACTIVE) || machine->tasks->len
      || hzb_machine_queued_tasks (machine) || machine->quarantined || !may_lease (shard_leases, machine))
    return NULL;
  leaseholder = smallest_leaseholder (shard_leases, machine, 1, now);
  if (!leaseholder)
    return NULL;
  lease_to (leaseholder, machine);
  return leaseholder->peer->node;
}

/* ---- handing over machines with their tasks ---- */

static gboolean
task_may_move (const HzbTask *task)
{
  return !task->stopping && !task->job->awaits_verdict && task->state != HZB_TASK_RESERVED
         && task->state != HZB_TASK_CHECKPOINTING && hzb_job_is_delegable (task->job);
}

/* The end of the failover's recovery is not waited for: the heartbeat just received from this machine shows all that is
 * on it. */
static gboolean
may_hand_over (const HzbShardLeases *shard_leases, const HzbMachine *machine, struct timespec now)
{
  if (shard_leases->modules.dispatch->lag_s < OVERLOADED_LAG_S || hzb_time_before (now, shard_leases->next_hand_over)
      || machine->tasks->len > MAX_TASKS_HANDED_OVER || machine->state != HZB_MACHINE_ACTIVE || !machine->verified
      || !machine->recorded || machine->ignored_answers || machine->quarantined || !may_lease (shard_leases, machine)
      || !hzb_election_lease_valid (shard_leases->modules.election))
    return FALSE;
  for (guint i = 0; i < machine->tasks->len; i++)
    if (!task_may_move (machine->tasks->pdata[i]))
      return FALSE;
  return TRUE;
}

/* The tasks of the machine count as delegated from now on. Returns: (transfer full) (element-type HzbHeldTask): them */
static GArray *
delegate_tasks_of (HzbLeaseholderView *leaseholder, HzbMachine *machine)
{
  HzbJobs *jobs = leaseholder->shard_leases->modules.jobs;
  GArray *held = hzb_held_tasks_new ();

  hzb_machine_clear_run_queues (jobs, machine);
  while (machine->tasks->len)
    {
      HzbTask *task = machine->tasks->pdata[machine->tasks->len - 1];
      guint before = machine->tasks->len;
      hzb_held_tasks_add (held, task);
      task->leaseholder = leaseholder->id;
      hzb_task_set_state (jobs, task, HZB_TASK_DELEGATED, NULL);
      g_return_val_if_fail (machine->tasks->len < before, held);
    }
  return held;
}

/* After a failover the leader has every machine, and under load hardly any machine is ever without tasks. Such a machine goes
 * to a leaseholder with the names of all tasks that may be on it, those started in the last answer included. The
 * leaseholder concludes nothing from the machine until the machine has reported under the shard's fencing token. */
const char *
hzb_shard_leases_hand_over (HzbShardLeases *shard_leases, HzbMachine *machine)
{
  struct timespec now = hzb_clock_now (shard_leases->modules.node->clock);
  HzbLeaseholderView *leaseholder;
  HzbMachineLease *lease;

  hzb_shards_scan (shard_leases, now);
  if (!may_hand_over (shard_leases, machine, now))
    return NULL;
  leaseholder = smallest_leaseholder (shard_leases, machine, HAND_OVER_CPUS_PART, now);
  /* A machine whose fencing token is not below the shard's would raise the shard's. All machines of the shard would
   * then be of no use until their next heartbeats. */
  if (!leaseholder || (leaseholder->fencing_token && machine->fencing_token >= leaseholder->fencing_token))
    return NULL;
  shard_leases->next_hand_over = hzb_time_plus (
      now, MIN (HAND_OVER_INTERVAL_S, HAND_OVER_ALL_MACHINES_S / shard_leases->modules.machines->all->len));
  lease = hzb_machine_lease_new (machine);
  lease->holds = delegate_tasks_of (leaseholder, machine);
  lease_to (leaseholder, machine);
  machine->lease_sent = TRUE;
  push_lease (leaseholder, lease);
  return leaseholder->peer->node;
}
