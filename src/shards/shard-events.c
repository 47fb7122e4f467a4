/* The leader applies a leaseholder's events and task counts. */
#include "job-waiting.h"
#include "shard-leases-private.h"

/* ---- finished tasks, and tasks that are returned unstarted ---- */

/* The user data of the callbacks for single tasks. */
typedef struct
{
  HzbLeaseholderView *leaseholder;
  double ran_s; /* run time of each task that the event reports as finished, in seconds */
} EventContext;

static void
record_result (HzbTask *task, const EventContext *context)
{
  const HzbShardLeasesDependencies *dependencies = &context->leaseholder->shard_leases->dependencies;

  task->job->proven_runnable = TRUE;
  hzb_jobs_record_run_time (dependencies->jobs, task->job, context->ran_s);
  hzb_task_set_state (dependencies->jobs, task, HZB_TASK_FINISHED, NULL);
  task->job->dirty = TRUE;
  if (task->job->finished + task->job->done == task->job->n_tasks)
    hzb_records_complete_job (dependencies->records, task->job);
  else
    hzb_records_flush_if_due (dependencies->records);
}

static void
apply_finished_task (HzbTask *task, gpointer user)
{
  const EventContext *context = user;
  HzbLeaseholderView *leaseholder = context->leaseholder;

  if (task->state == HZB_TASK_DONE)
    {
      /* The leaseholder reports the task again after a failover. The result is durable already, so the worker may
       * drop it. */
      task->leaseholder = leaseholder->id;
      hzb_shard_leases_announce_durable (leaseholder->shard_leases, task);
    }
  else if (task->state == HZB_TASK_FINISHED)
    /* The machine was handed over while it still kept the result of the task. Once the result is durable, the leader
     * announces this to the task's leaseholder. */
    task->leaseholder = leaseholder->id;
  else if (hzb_shards_is_delegated_to (task, leaseholder))
    record_result (task, context);
}

static void
apply_returned_task (HzbTask *task, gpointer user)
{
  const EventContext *context = user;
  const HzbShardLeasesDependencies *dependencies = &context->leaseholder->shard_leases->dependencies;

  if (!hzb_shards_is_delegated_to (task, context->leaseholder))
    return;
  hzb_task_set_state (dependencies->jobs, task, HZB_TASK_PENDING, NULL);
  task->leaseholder = 0;
  hzb_job_note_returned (task->job, context->leaseholder->id, hzb_clock_now (dependencies->node->clock));
}

/* ---- returned machines ---- */

/* Adopts the leaseholder's last heartbeat of the machine, so that delayed duplicates of earlier heartbeats are
 * rejected here. */
static void
update_heartbeat_sequence (HzbMachine *machine, const HzbMachineReturn *returned)
{
  if (returned->agent_epoch < machine->agent_epoch)
    return;
  if (returned->agent_epoch > machine->agent_epoch)
    machine->sequence = returned->sequence;
  else
    machine->sequence = MAX (machine->sequence, returned->sequence);
  machine->agent_epoch = returned->agent_epoch;
}

/* Sets the task to starting on the returned machine. The task cannot be on any other machine, so its state is
 * resolved by the next heartbeat of this machine, or by the end of the machine. */
static void
attach_held_task (HzbLeaseholderView *leaseholder, HzbMachine *machine, const HzbHeldTask *held)
{
  HzbJobs *jobs = leaseholder->shard_leases->dependencies.jobs;
  HzbTask *task = hzb_tasks_find (jobs, held->uid, held->number);

  if (!task || !hzb_shards_is_delegated_to (task, leaseholder))
    return;
  task->attempt = held->attempt;
  task->leaseholder = 0;
  hzb_task_set_state (jobs, task, HZB_TASK_STARTING, machine);
}

static void
accept_returned_machine (HzbLeaseholderView *leaseholder, const HzbMachineReturn *returned)
{
  HzbShardLeases *shard_leases = leaseholder->shard_leases;
  HzbMachines *machines = shard_leases->dependencies.machines;
  HzbMachine *machine = hzb_machines_find (machines, returned->name);

  if (!machine || !hzb_shards_is_leased_to (machine, leaseholder))
    return;
  hzb_machine_unverify (machines, machine, hzb_shard_leases_next_fencing_token (shard_leases), returned->reason);
  machine->unconfirmed_tasks_owner = HZB_UNCONFIRMED_TASKS_OF_NONE;
  machine->idle_since = hzb_clock_now (shard_leases->dependencies.node->clock);
  if (returned->scale_in_requested)
    machine->scale_in_requested = TRUE;
  update_heartbeat_sequence (machine, returned);
  for (guint i = 0; i < returned->held_tasks->len; i++)
    attach_held_task (leaseholder, machine, &g_array_index (returned->held_tasks, HzbHeldTask, i));
}

void
hzb_shards_apply_event (HzbLeaseholderView *leaseholder, const HzbShardEvent *event)
{
  HzbJobs *jobs = leaseholder->shard_leases->dependencies.jobs;
  EventContext context = { leaseholder, event->ran_s };

  hzb_task_groups_foreach (event->finished, jobs, apply_finished_task, &context);
  hzb_task_groups_foreach (event->returned, jobs, apply_returned_task, &context);
  if (event->machine)
    accept_returned_machine (leaseholder, event->machine);
}

/* ---- counts of tasks by job ---- */

/* Returns: (transfer none): the counter of the job at the offset @member in HzbJob, a sum over all leaseholders */
static guint *
job_counter (HzbJob *job, glong member)
{
  return &G_STRUCT_MEMBER (guint, job, member);
}

static void
subtract_count (HzbJobs *jobs, glong member, const char *uid, guint count)
{
  HzbJob *job = hzb_jobs_find (jobs, uid);
  if (job && *job_counter (job, member) >= count)
    *job_counter (job, member) -= count;
}

static void
clear_counts (HzbJobs *jobs, GHashTable *counts, glong member)
{
  GHashTableIter iter;
  gpointer uid, count;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &uid, &count))
    subtract_count (jobs, member, uid, GPOINTER_TO_UINT (count));
  g_hash_table_remove_all (counts);
}

/* Replaces the counts of a leaseholder by the reported ones. If the poll is partial, jobs that it does not name keep
 * their counts. */
static void
apply_counts (HzbJobs *jobs, GHashTable *counts, glong member, const GArray *reported, gboolean partial)
{
  if (!partial)
    clear_counts (jobs, counts, member);
  for (guint i = 0; i < reported->len; i++)
    {
      const HzbJobCount *item = &g_array_index (reported, HzbJobCount, i);
      HzbJob *job = hzb_jobs_find (jobs, item->uid);
      if (!job || !job->tasks)
        continue;
      subtract_count (jobs, member, item->uid, GPOINTER_TO_UINT (g_hash_table_lookup (counts, item->uid)));
      *job_counter (job, member) += item->count;
      g_hash_table_insert (counts, g_strdup (item->uid), GUINT_TO_POINTER (item->count));
    }
}

void
hzb_shards_apply_counts (HzbLeaseholderView *leaseholder, const HzbShardPoll *poll)
{
  HzbJobs *jobs = leaseholder->shard_leases->dependencies.jobs;
  apply_counts (jobs, leaseholder->running_counts, G_STRUCT_OFFSET (HzbJob, delegated_running), poll->running_counts,
                poll->partial_counts);
  apply_counts (jobs, leaseholder->recalled_counts, G_STRUCT_OFFSET (HzbJob, delegated_on_recalled_machines),
                poll->recalled_counts, poll->partial_counts);
}

void
hzb_shards_clear_counts (HzbLeaseholderView *leaseholder)
{
  HzbJobs *jobs = leaseholder->shard_leases->dependencies.jobs;
  clear_counts (jobs, leaseholder->running_counts, G_STRUCT_OFFSET (HzbJob, delegated_running));
  clear_counts (jobs, leaseholder->recalled_counts, G_STRUCT_OFFSET (HzbJob, delegated_on_recalled_machines));
}
