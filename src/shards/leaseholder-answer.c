/* The leaseholder applies the leader's answer: its lease begins, goes on or ends, and machines and tasks join the shard. */
#include "leaseholder-private.h"

/* ---- machines ---- */

/* Returns: whether every task that may be on the machine is of a job that is known here, and is nowhere else in the shard */
static gboolean
knows_all_held (HzbJobs *jobs, const HzbMachineLease *lease)
{
  gboolean known = TRUE;

  for (guint i = 0; lease->holds && i < lease->holds->len; i++)
    {
      const HzbHeldTask *held = &g_array_index (lease->holds, HzbHeldTask, i);
      HzbJob *job = held->uid ? hzb_jobs_find (jobs, held->uid) : NULL;
      const HzbTask *task;
      if (job && job->state == HZB_JOB_ACCEPTED)
        hzb_jobs_activate (jobs, job);
      task = hzb_tasks_find (jobs, held->uid, held->number);
      known = known && task && task->state == HZB_TASK_OTHER_OWNER;
    }
  return known;
}

/* The machine holds a task of a job that this node's replica of the records does not show yet, or that is terminal. The
 * machine goes back to the leader with the tasks that came with it. */
static void
refuse_machine (HzbLeaseholder *leaseholder, const HzbMachineLease *lease)
{
  HzbShardEvent *event = hzb_shard_event_new ();
  event->machine = hzb_machine_return_new (lease->name, "it holds tasks of jobs that are not known here",
                                           lease->agent_epoch, lease->sequence);
  g_array_unref (event->machine->lost);
  event->machine->lost = g_array_ref (lease->holds);
  hzb_leaseholder_push (leaseholder, event);
}

static void
put_on_machine (HzbJobs *jobs, const HzbHeldTask *held, HzbMachine *machine)
{
  HzbTask *task = hzb_tasks_find (jobs, held->uid, held->number);

  hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
  g_queue_remove (&task->job->retry, task);
  task->attempt = held->attempt;
  hzb_task_set_state (jobs, task, held->runs ? HZB_TASK_RUNNING : HZB_TASK_FETCHING, machine);
}

/* This node concludes nothing from a machine that came with tasks until a heartbeat under the shard's fencing token
 * has come. */
static void
receive_machine (HzbLeaseholder *leaseholder, const HzbMachineLease *lease)
{
  const HzbLeaseholderDependencies *modules = &leaseholder->modules;
  HzbMachine *machine;

  if (!knows_all_held (modules->jobs, lease))
    {
      refuse_machine (leaseholder, lease);
      return;
    }
  machine = hzb_machines_add (modules->machines, lease->name, lease->addr, lease->type, lease->zone, lease->spot,
                              lease->holds ? HZB_MACHINE_UNVERIFIED : HZB_MACHINE_BOOTING);
  machine->recorded = machine->known_to_cloud = TRUE;
  hzb_machine_set_fencing_token (machine, leaseholder->fencing_token);
  machine->agent_epoch = lease->agent_epoch;
  machine->sequence = lease->sequence;
  machine->last_heartbeat = hzb_clock_now (modules->node->clock);
  for (guint i = 0; lease->holds && i < lease->holds->len; i++)
    put_on_machine (modules->jobs, &g_array_index (lease->holds, HzbHeldTask, i), machine);
}

static void
apply_recall (HzbMachines *machines, const HzbRecall *recall)
{
  HzbMachine *machine = hzb_machines_find (machines, recall->machine);
  if (!machine)
    return;
  machine->recall_requested = machine->scale_in_candidate = recall->back;
  machine->recall_at_once = recall->at_once;
}

/* ---- tasks ---- */

static void
task_delegated (HzbTask *task, gpointer jobs)
{
  if (task->state == HZB_TASK_OTHER_OWNER)
    hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
}

static void
task_durable (HzbTask *task, gpointer jobs)
{
  if (task->state == HZB_TASK_FINISHED)
    hzb_task_set_state (jobs, task, HZB_TASK_DONE, NULL);
}

/* Tasks of jobs that this node's replica of the records does not show yet, or that are terminal, go back. */
static void
receive_tasks (HzbLeaseholder *leaseholder, const HzbTaskGroups *groups)
{
  HzbJobs *jobs = leaseholder->modules.jobs;
  g_autoptr (HzbTaskGroups) unknown = hzb_task_groups_new ();

  for (guint i = 0; i < groups->len; i++)
    {
      const HzbTaskGroup *group = &g_array_index (groups, HzbTaskGroup, i);
      HzbJob *job = hzb_jobs_find (jobs, group->uid);
      if (job && job->state == HZB_JOB_ACCEPTED)
        hzb_jobs_activate (jobs, job);
      if (!job || !job->tasks)
        hzb_task_groups_add_group (unknown, group);
    }
  if (unknown->len)
    hzb_leaseholder_push_returned (leaseholder, g_steal_pointer (&unknown));
  hzb_task_groups_foreach (groups, jobs, task_delegated, jobs);
}

/* This node's replica of the records may not show the cancellation yet. */
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
  const HzbLeaseholderDependencies *modules = &leaseholder->modules;

  if (batch->cancelled_uid)
    apply_cancellation (modules->jobs, batch->cancelled_uid);
  if (batch->delegated)
    receive_tasks (leaseholder, batch->delegated);
  hzb_task_groups_foreach (batch->durable, modules->jobs, task_durable, modules->jobs);
  if (batch->lease && !hzb_machines_find (modules->machines, batch->lease->name))
    receive_machine (leaseholder, batch->lease);
  if (batch->recall)
    apply_recall (modules->machines, batch->recall);
}

static void
apply_batches (HzbLeaseholder *leaseholder, const GPtrArray *batches)
{
  for (guint i = 0; i < batches->len; i++)
    {
      const HzbShardBatch *batch = batches->pdata[i];
      if (batch->message.number != leaseholder->batches_taken + 1)
        continue; /* the leader repeats the batch, since the acknowledgement has not reached it yet */
      leaseholder->batches_taken++;
      apply_batch (leaseholder, batch);
    }
  if (!batches->len)
    return;
  hzb_dispatch_run (leaseholder->modules.dispatch, hzb_clock_now (leaseholder->modules.node->clock));
  hzb_leaseholder_poll_soon (leaseholder);
}

/* The leader raised the shard's fencing token: nothing is concluded from its machines until they have reported under it. */
static void
raise_fencing_token (HzbLeaseholder *leaseholder, guint64 fencing_token)
{
  const GPtrArray *machines = leaseholder->modules.machines->all;

  leaseholder->fencing_token = leaseholder->modules.jobs->shard->fencing_token = fencing_token;
  for (guint i = 0; i < machines->len; i++)
    hzb_machine_set_fencing_token (machines->pdata[i], fencing_token);
}

/* Returns: whether the answer is to a poll of the present ownership, and from the present leader */
static gboolean
answer_counts (const HzbLeaseholder *leaseholder, const HzbShardAnswer *answer)
{
  HzbElection *election = leaseholder->modules.election;
  /* Guards against an answer to a poll that was sent before this node gave its shard up. The node would hold the shard again
   * without what it had been sent before, and the leader would believe that all of the shard is looked after. */
  return hzb_epoch_call_is_current (&leaseholder->poll) && !hzb_election_leading (election)
         && answer->term == hzb_election_leader_term (election);
}

/* This node begins to hold the shard, or goes on holding it. Returns: FALSE if this node cannot hold a shard now */
static gboolean
take_lease (HzbLeaseholder *leaseholder, guint64 fencing_token)
{
  const HzbLeaseholderDependencies *modules = &leaseholder->modules;

  if (hzb_ownership_state (modules->ownership) == HZB_OWNERSHIP_NONE
      && hzb_kv_replica_state (modules->kv_replica) == HZB_KV_REPLICA_FOLLOWING)
    {
      leaseholder->fencing_token = fencing_token;
      leaseholder->callbacks.begin_lease (fencing_token, leaseholder->callbacks.user);
      return TRUE;
    }
  if (!hzb_ownership_is_leaseholder (modules->ownership))
    return FALSE;
  if (fencing_token > leaseholder->fencing_token)
    raise_fencing_token (leaseholder, fencing_token);
  return TRUE;
}

void
hzb_leaseholder_apply_answer (HzbLeaseholder *leaseholder, const HzbShardAnswer *answer)
{
  hzb_cancellations_handle_response (leaseholder->modules.cancellations, answer->term, answer->acknowledged_uids);
  if (!answer_counts (leaseholder, answer))
    return;
  if (answer->end)
    {
      leaseholder->callbacks.end_lease ("the leader has reclaimed the shard", leaseholder->callbacks.user);
      return;
    }
  if (!answer->fencing_token || !take_lease (leaseholder, answer->fencing_token))
    return;
  leaseholder->last_answer = hzb_clock_now (leaseholder->modules.node->clock);
  /* The lease counts from when the poll was sent: the answer may be old if this process was stalled in between. */
  leaseholder->valid_until = hzb_time_plus (leaseholder->last_poll, answer->lease_s);
  hzb_outbox_acknowledge (&leaseholder->events, answer->have);
  apply_batches (leaseholder, answer->batches);
}
