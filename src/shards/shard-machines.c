/* Which machine is in whose shard: leased as they come up or stand idle, handed over with their work while the leader is late,
 * asked back when they are spare or needed here. */
#include "controller-private.h"
#include "shard-leases-private.h"

#include <string.h>

#define STEADY_S 3.0          /* a leaseholder is leased machines again once it has polled for so long */
#define MOST_HANDED_OVER 400u /* tasks on a machine that changes hands: they have to fit a message when it comes back */
#define UNLEVEL 0.7           /* a shard this much smaller than the leader's gets machines that work */
#define HAND_OVER_EVERY_S 0.25 /* each costs its machine a second or so; of a large fleet more often: */
#define HAND_OVER_ALL_S 10.0   /* as many machines as there are in so long */
#define LATE_S 0.015           /* only a leader whose timers are so late on average hands working machines over */

static gboolean
gang_waits (const HzbController *controller)
{
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      const HzbJob *job = controller->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && job->spec->kind == HZB_JOB_GANG && !job->finished)
        return TRUE;
    }
  return FALSE;
}

/* Guards against machines that stand idle in other shards while the only work that waits is bound to the leader's. */
static gboolean
only_leader_work_waits (const HzbController *controller)
{
  gboolean any = FALSE;
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      const HzbJob *job = controller->jobs->active->pdata[i];
      if (job->state != HZB_JOB_ACCEPTED || !(job->pending || job->queued))
        continue;
      if (hzb_job_is_delegable (job))
        return FALSE;
      any = TRUE;
    }
  return any;
}

static void
push_lease (HzbLeaseholderView *leaseholder, const HzbMachineLease *lease)
{
  hzb_outbox_push (&leaseholder->out, hzb_machine_lease_encode (lease));
}

/* A leaseholder may start tasks on a machine as soon as it knows of it, so the machine is on record before. */
static void
tell_of_leased_machine (HzbLeaseholderView *leaseholder, HzbMachine *machine)
{
  g_autoptr (HzbMachineLease) lease = NULL;

  if (machine->lease_sent || !machine->recorded)
    return;
  machine->lease_sent = TRUE;
  lease = hzb_machine_lease_new (machine);
  push_lease (leaseholder, lease);
}

/* Machines that are spare are asked back, and left where they are when there is work for them after all. */
static void
recall_or_keep (HzbLeaseholderView *leaseholder, HzbMachine *machine, gboolean all)
{
  gboolean back = all || machine->scale_in_candidate || machine->scale_in_requested || machine->reserved_for_services
                  || machine->recall_at_once;
  /* Replicas wait for its room: what runs there comes along, and can be stopped here. */
  HzbRecall recall = { machine->name, back, machine->reserved_for_services || machine->recall_at_once };

  if (machine->recall_requested == back || !machine->lease_sent)
    return;
  machine->recall_requested = back;
  hzb_outbox_push (&leaseholder->out, hzb_recall_encode (&recall));
}

static void
scan_machine (HzbShardLeases *shard_leases, HzbMachine *machine)
{
  const HzbController *controller = shard_leases->controller;
  HzbLeaseholderView *leaseholder =
      machine->state == HZB_MACHINE_LEASED ? hzb_shard_leases_leaseholder (shard_leases, machine->leaseholder) : NULL;

  if (machine->type && leaseholder)
    shard_leases->cpus[machine->leaseholder] += machine->type->cpus;
  else if (machine->type && machine->state == HZB_MACHINE_ACTIVE)
    shard_leases->cpus[0] += machine->type->cpus;
  if (!leaseholder)
    return;
  tell_of_leased_machine (leaseholder, machine);
  if (leaseholder->holds)
    recall_or_keep (leaseholder, machine, shard_leases->gang_waits || !controller->lease_shards);
  if (!machine->recall_requested)
    hzb_machines_add_kind (leaseholder->kinds, machine);
}

/* Not at every report or poll: it looks at every machine. */
void
hzb_shards_scan (HzbShardLeases *shard_leases, struct timespec now)
{
  const HzbController *controller = shard_leases->controller;

  if (hzb_time_is_set (shard_leases->scanned_at) && shard_leases->generation == controller->machines->generation
      && hzb_time_between (shard_leases->scanned_at, now) < hzb_machines_scan_interval_s (controller->machines))
    return;
  shard_leases->scanned_at = now;
  shard_leases->generation = controller->machines->generation;
  shard_leases->gang_waits = gang_waits (controller);
  shard_leases->only_leader_work_waits = only_leader_work_waits (controller);
  memset (shard_leases->cpus, 0, (shard_leases->leaseholders->len + 1) * sizeof *shard_leases->cpus);
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    g_ptr_array_set_size (g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i).kinds, 0);
  for (guint i = 0; i < controller->machines->all->len; i++)
    scan_machine (shard_leases, controller->machines->all->pdata[i]);
}

/* The leaseholder whose shard has the fewest CPUs, if fewer than the leader would then have times so much; or NULL. */
static HzbLeaseholderView *
smallest_leaseholder (HzbShardLeases *shard_leases, const HzbMachine *machine, double part, struct timespec now)
{
  const double *cpus = shard_leases->cpus;
  double own, least;
  HzbLeaseholderView *best = NULL;

  hzb_shards_scan (shard_leases, now);
  own = cpus[0];
  /* One that works here already is leased only where that makes the shards more level. */
  least = part * (machine->state == HZB_MACHINE_ACTIVE ? own - machine->type->cpus : own);
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      HzbLeaseholderView *leaseholder = &g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i);
      if (!hzb_time_is_set (leaseholder->requests) || hzb_time_between (leaseholder->requests, now) > 1.5
          || hzb_time_between (leaseholder->steady_since, now) < STEADY_S)
        continue;
      if (cpus[leaseholder->id] < least)
        {
          least = cpus[leaseholder->id];
          best = leaseholder;
        }
    }
  return best;
}

static gboolean
may_lease (const HzbShardLeases *shard_leases, const HzbMachine *machine)
{
  const HzbController *controller = shard_leases->controller;
  return controller->lease_shards && machine->type && !machine->scale_in_requested && !machine->scale_in_candidate
         && !machine->reserved_for_services && !machine->unreachable && machine->known_to_cloud
         && hzb_ownership_leader_loaded (controller->ownership) && !shard_leases->gang_waits
         && !shard_leases->only_leader_work_waits;
}

static void
lease_to (HzbShardLeases *shard_leases, HzbLeaseholderView *leaseholder, HzbMachine *machine)
{
  if (!leaseholder->fencing_token || machine->fencing_token >= leaseholder->fencing_token)
    leaseholder->fencing_token = hzb_shard_leases_next_fencing_token (shard_leases);
  if (machine->state == HZB_MACHINE_ACTIVE)
    shard_leases->cpus[0] -= machine->type->cpus;
  shard_leases->cpus[leaseholder->id] += machine->type->cpus;
  machine->leaseholder = leaseholder->id;
  machine->lease_sent = FALSE;
  hzb_machine_set_state (shard_leases->controller->machines, machine, HZB_MACHINE_LEASED, leaseholder->peer->node);
}

/* Shards are kept level: the leader feeds each with work as it has room, so waiting work is level as well. */
const char *
hzb_shard_leases_lease_idle (HzbShardLeases *shard_leases, HzbMachine *machine)
{
  HzbController *controller = shard_leases->controller;
  HzbLeaseholderView *best;

  hzb_shards_scan (shard_leases, hzb_clock_now (controller->clock));
  if ((machine->state != HZB_MACHINE_BOOTING && machine->state != HZB_MACHINE_ACTIVE) || machine->tasks->len
      || hzb_machine_queued_tasks (machine) || machine->quarantined || !may_lease (shard_leases, machine))
    return NULL;
  best = smallest_leaseholder (shard_leases, machine, 1, hzb_clock_now (controller->clock));
  if (!best)
    return NULL;
  lease_to (shard_leases, best, machine);
  return best->peer->node;
}

/* After a takeover the leader has every machine, and under load hardly one is ever without tasks. Such a machine goes
 * to a leaseholder with the names of all tasks that may be on it, those asked for in the last answer included; they count
 * as delegated. The leaseholder concludes nothing until the machine has reported under the shard's fencing token. */
const char *
hzb_shard_leases_hand_over (HzbShardLeases *shard_leases, HzbMachine *machine)
{
  HzbController *controller = shard_leases->controller;
  struct timespec now = hzb_clock_now (controller->clock);
  HzbLeaseholderView *best;
  g_autoptr (HzbMachineLease) lease = NULL;

  hzb_shards_scan (shard_leases, now);
  /* Nothing waits for the takeover to be over: this machine has just shown all that is on it. */
  if (controller->dispatch->lag_s < LATE_S || hzb_time_before (now, shard_leases->next_hand_over)
      || machine->tasks->len > MOST_HANDED_OVER || machine->state != HZB_MACHINE_ACTIVE || !machine->verified
      || !machine->recorded || machine->ignored_answers || machine->quarantined || !may_lease (shard_leases, machine)
      || !hzb_election_lease_valid (controller->election))
    return NULL;
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (task->stopping || task->job->awaits_verdict || task->state == HZB_TASK_RESERVED
          || task->state == HZB_TASK_CHECKPOINTING || task->job->spec->kind == HZB_JOB_GANG
          || task->job->spec->kind == HZB_JOB_SERVICE || task->job->spec->same_zone || task->job->spec->spread
          || task->job->state != HZB_JOB_ACCEPTED)
        return NULL;
    }
  best = smallest_leaseholder (shard_leases, machine, UNLEVEL, now);
  /* A higher fencing token for the shard would have all its machines wait for their next reports. */
  if (!best || (best->fencing_token && machine->fencing_token >= best->fencing_token))
    return NULL;
  shard_leases->next_hand_over =
      hzb_time_plus (now, MIN (HAND_OVER_EVERY_S, HAND_OVER_ALL_S / controller->machines->all->len));
  hzb_machine_clear_run_queues (controller->jobs, machine);
  lease = hzb_machine_lease_new (machine);
  lease->holds = hzb_held_tasks_new ();
  while (machine->tasks->len)
    {
      HzbTask *task = machine->tasks->pdata[machine->tasks->len - 1];
      guint before = machine->tasks->len;
      hzb_held_tasks_add (lease->holds, task);
      task->leaseholder = best->id;
      hzb_task_set_state (controller->jobs, task, HZB_TASK_DELEGATED, NULL);
      g_return_val_if_fail (machine->tasks->len < before, NULL);
    }
  lease_to (shard_leases, best, machine);
  machine->lease_sent = TRUE;
  push_lease (best, lease);
  return best->peer->node;
}
