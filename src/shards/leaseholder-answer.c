/* The leaseholder applies the leader's answer: the lease begins, is renewed or ends, and machines and tasks are
 * added to the shard. */
#include "leaseholder-private.h"

/* ---- machines ---- */

/* Activates the accepted jobs of the tasks that may be on the machine. Returns: whether this node has each of these
 * tasks, and none of them is in its shard yet */
static gboolean
prepare_held_tasks (HzbJobs *jobs, const HzbMachineLease *lease)
{
  gboolean acceptable = TRUE;

  for (guint i = 0; lease->held_tasks && i < lease->held_tasks->len; i++)
    {
      const HzbHeldTask *held = &g_array_index (lease->held_tasks, HzbHeldTask, i);
      HzbJob *job = held->uid ? hzb_jobs_find (jobs, held->uid) : NULL;
      const HzbTask *task;
      if (job && job->state == HZB_JOB_ACCEPTED)
        hzb_jobs_activate (jobs, job);
      task = hzb_tasks_find (jobs, held->uid, held->number);
      acceptable = acceptable && task && task->state == HZB_TASK_OTHER_OWNER;
    }
  return acceptable;
}

/* Returns the machine and the tasks that may be on it to the leader. Called if this node does not have one of these
 * tasks, because its job is terminal or this node's replica of the records does not show the job yet, or if one of the
 * tasks is already in the shard. */
static void
refuse_machine (HzbLeaseholder *leaseholder, const HzbMachineLease *lease)
{
  HzbShardEvent *event = hzb_shard_event_new ();
  event->machine = hzb_machine_return_new (lease->name, "it holds tasks of jobs that are not known here",
                                           lease->agent_epoch, lease->sequence);
  g_array_unref (event->machine->held_tasks);
  event->machine->held_tasks = g_array_ref (lease->held_tasks);
  hzb_leaseholder_push (leaseholder, event);
}

static void
place_held_task (HzbJobs *jobs, const HzbHeldTask *held, HzbMachine *machine)
{
  HzbTask *task = hzb_tasks_find (jobs, held->uid, held->number);

  hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
  task->attempt = held->attempt;
  hzb_task_set_state (jobs, task, held->running ? HZB_TASK_RUNNING : HZB_TASK_FETCHING, machine);
}

/* Adds a leased machine to the shard. If the machine was leased with tasks, it starts as unverified: this node draws no
 * conclusion about its tasks until it has received a heartbeat of the machine under the shard's fencing token. */
static void
receive_machine (HzbLeaseholder *leaseholder, const HzbMachineLease *lease)
{
  const HzbLeaseholderDependencies *dependencies = &leaseholder->dependencies;
  HzbMachine *machine;

  if (!prepare_held_tasks (dependencies->jobs, lease))
    {
      refuse_machine (leaseholder, lease);
      return;
    }
  machine = hzb_machines_add (dependencies->machines, lease->name, lease->addr, lease->type, lease->zone, lease->spot,
                              lease->held_tasks ? HZB_MACHINE_UNVERIFIED : HZB_MACHINE_BOOTING);
  hzb_machine_set_record_state (machine, HZB_MACHINE_RECORD_CURRENT);
  machine->known_to_cloud = TRUE;
  hzb_machine_set_fencing_token (machine, leaseholder->fencing_token);
  machine->agent_epoch = lease->agent_epoch;
  machine->sequence = lease->sequence;
  machine->last_heartbeat = hzb_clock_now (dependencies->node->clock);
  for (guint i = 0; lease->held_tasks && i < lease->held_tasks->len; i++)
    place_held_task (dependencies->jobs, &g_array_index (lease->held_tasks, HzbHeldTask, i), machine);
}

static void
apply_recall (HzbMachines *machines, const HzbRecall *recall)
{
  HzbMachine *machine = hzb_machines_find (machines, recall->machine);
  if (!machine)
    return;
  /* A scale-in candidate gets no new tasks. */
  machine->recall_requested = machine->scale_in_candidate = recall->requested;
  machine->recall_at_once = recall->at_once;
}

/* ---- tasks ---- */

static void
accept_delegated_task (HzbTask *task, gpointer jobs)
{
  if (task->state == HZB_TASK_OTHER_OWNER)
    hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
}

static void
complete_durable_task (HzbTask *task, gpointer jobs)
{
  if (task->state == HZB_TASK_FINISHED)
    hzb_task_set_state (jobs, task, HZB_TASK_DONE, NULL);
}

/* Adds delegated tasks to the shard. If a job is terminal, or this node's replica of the records does not show it yet,
 * its tasks are returned to the leader instead. */
static void
receive_tasks (HzbLeaseholder *leaseholder, const HzbTaskGroups *groups)
{
  HzbJobs *jobs = leaseholder->dependencies.jobs;
  g_autoptr (HzbTaskGroups) rejected = hzb_task_groups_new ();

  for (guint i = 0; i < groups->len; i++)
    {
      const HzbTaskGroup *group = &g_array_index (groups, HzbTaskGroup, i);
      HzbJob *job = hzb_jobs_find (jobs, group->uid);
      if (job && job->state == HZB_JOB_ACCEPTED)
        hzb_jobs_activate (jobs, job);
      if (!job || !job->tasks)
        hzb_task_groups_append_group (rejected, group);
    }
  if (rejected->len)
    hzb_leaseholder_push_returned (leaseholder, g_steal_pointer (&rejected));
  hzb_task_groups_foreach (groups, jobs, accept_delegated_task, jobs);
}

/* Sets the job to cancelled on this node, whose replica of the records may not show the cancellation yet. */
static void
apply_cancellation (HzbJobs *jobs, const char *uid)
{
  HzbJob *job = hzb_jobs_find (jobs, uid);
  if (job && job->state == HZB_JOB_ACCEPTED)
    job->state = HZB_JOB_CANCELLED;
}

/* ---- the answer ---- */

static void
apply_batch (HzbLeaseholder *leaseholder, const HzbShardBatch *batch)
{
  const HzbLeaseholderDependencies *dependencies = &leaseholder->dependencies;

  if (batch->cancelled_uid)
    apply_cancellation (dependencies->jobs, batch->cancelled_uid);
  if (batch->delegated)
    receive_tasks (leaseholder, batch->delegated);
  hzb_task_groups_foreach (batch->durable, dependencies->jobs, complete_durable_task, dependencies->jobs);
  if (batch->lease && !hzb_machines_find (dependencies->machines, batch->lease->name))
    receive_machine (leaseholder, batch->lease);
  if (batch->recall)
    apply_recall (dependencies->machines, batch->recall);
}

static void
apply_batches (HzbLeaseholder *leaseholder, const GPtrArray *batches)
{
  for (guint i = 0; i < batches->len; i++)
    {
      const HzbShardBatch *batch = batches->pdata[i];
      if (batch->message.number != leaseholder->last_batch_applied + 1)
        continue; /* the leader repeats the batch until it receives the acknowledgement */
      leaseholder->last_batch_applied++;
      apply_batch (leaseholder, batch);
    }
  if (!batches->len)
    return;
  hzb_dispatch_run (leaseholder->dependencies.dispatch, hzb_clock_now (leaseholder->dependencies.node->clock));
  hzb_leaseholder_poll_soon (leaseholder);
}

/* Adopts a higher fencing token of the shard for all its machines. This node draws no conclusion about the tasks of
 * a machine until it has received a heartbeat of the machine under this token. */
static void
raise_fencing_token (HzbLeaseholder *leaseholder, guint64 fencing_token)
{
  const GPtrArray *machines = leaseholder->dependencies.machines->all;

  leaseholder->fencing_token = leaseholder->dependencies.jobs->shard->fencing_token = fencing_token;
  for (guint i = 0; i < machines->len; i++)
    hzb_machine_set_fencing_token (machines->pdata[i], fencing_token);
}

/* Returns: whether the answer belongs to a poll of the current ownership epoch, and comes from the current leader */
static gboolean
answer_is_current (const HzbLeaseholder *leaseholder, const HzbShardAnswer *answer)
{
  HzbElection *election = leaseholder->dependencies.election;
  /* Guards against an answer to a poll that was sent before this node released its shard. The node would hold the
   * shard again, but without the machines and tasks that it was sent before, while the leader would assume that the
   * node still manages them. */
  return hzb_epoch_call_is_current (&leaseholder->poll_call) && !hzb_election_is_leader (election)
         && answer->term == hzb_election_leader_term (election);
}

/* Begins or renews the lease of the shard. Returns: FALSE if this node cannot hold a shard now */
static gboolean
accept_lease (HzbLeaseholder *leaseholder, guint64 fencing_token)
{
  const HzbLeaseholderDependencies *dependencies = &leaseholder->dependencies;

  if (hzb_ownership_state (dependencies->ownership) == HZB_OWNERSHIP_NONE
      && hzb_kv_replica_state (dependencies->kv_replica) == HZB_KV_REPLICA_FOLLOWING)
    {
      leaseholder->fencing_token = fencing_token;
      leaseholder->callbacks.begin_lease (fencing_token, leaseholder->callbacks.user);
      return TRUE;
    }
  if (!hzb_ownership_is_leaseholder (dependencies->ownership))
    return FALSE;
  if (fencing_token > leaseholder->fencing_token)
    raise_fencing_token (leaseholder, fencing_token);
  return TRUE;
}

void
hzb_leaseholder_apply_answer (HzbLeaseholder *leaseholder, const HzbShardAnswer *answer)
{
  hzb_cancellations_handle_response (leaseholder->dependencies.cancellations, answer->term, answer->acknowledged_uids);
  if (!answer_is_current (leaseholder, answer))
    return;
  if (answer->reclaimed)
    {
      leaseholder->callbacks.end_lease ("the leader has reclaimed the shard", leaseholder->callbacks.user);
      return;
    }
  if (!answer->fencing_token || !accept_lease (leaseholder, answer->fencing_token))
    return;
  leaseholder->last_answer = hzb_clock_now (leaseholder->dependencies.node->clock);
  /* The lease duration counts from when the poll was sent, because the answer may be old if this process was
   * stalled. */
  leaseholder->valid_until = hzb_time_plus (leaseholder->last_poll, answer->lease_s);
  hzb_outbox_acknowledge (&leaseholder->events, answer->last_event_applied);
  apply_batches (leaseholder, answer->batches);
}
