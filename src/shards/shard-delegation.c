/* Which unstarted tasks are delegated to a leaseholder that has room, and which of its machines come back for a service. */
#include "scheduling-class.h"
#include "shard-leases-private.h"

#define MAX_TASKS_PER_ANSWER 640u /* as many as thousands of machines start between two polls */

/* The leader runs all jobs whose tasks have to be considered together, and services, whose replicas must not wait for another
 * node. */
gboolean
hzb_job_is_delegable (const HzbJob *job)
{
  const HzbJobSpec *spec = job->spec;
  return job->state == HZB_JOB_ACCEPTED && spec->kind != HZB_JOB_GANG && spec->kind != HZB_JOB_SERVICE
         && !spec->same_zone && !spec->spread;
}

/* ---- delegating tasks ---- */

/* The delegation to one leaseholder in one answer. */
typedef struct
{
  HzbLeaseholderView *leaseholder;
  struct timespec now;
  double room_cpus; /* that is left */
  guint n;          /* tasks so far */
  HzbTaskGroups *tasks;
} Delegation;

static gboolean
shard_accepts (const HzbLeaseholderView *leaseholder, const HzbJobSpec *spec)
{
  for (guint i = 0; i < leaseholder->kinds->len; i++)
    {
      const HzbMachine *machine = leaseholder->kinds->pdata[i];
      /* The machine may have come back since the scan. */
      if (hzb_shards_is_leased_to (machine, leaseholder) && hzb_machine_allowed (machine, spec))
        return TRUE;
    }
  return FALSE;
}

/* Takes tasks that are in no run queue first, then those in one; *@at: up to which task the latter were looked for. */
static HzbTask *
next_to_delegate (HzbJobs *jobs, HzbJob *job, guint *at, struct timespec now)
{
  HzbTask *task = job->pending ? hzb_job_take_pending (job, now) : NULL;
  for (; !task && job->queued && *at < job->n_tasks; (*at)++)
    if (job->tasks[*at].state == HZB_TASK_QUEUED && !hzb_time_before (now, job->tasks[*at].not_before))
      {
        task = &job->tasks[*at];
        hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
        g_queue_pop_tail (&job->retry); /* where the change of state has just put the task */
      }
  return task;
}

static gboolean
has_tasks_to_delegate (const HzbJob *job, struct timespec now)
{
  return hzb_job_is_delegable (job) && !job->awaits_verdict && (job->pending || job->queued) && !job->failures
         && !hzb_time_before (now, job->not_before);
}

/* Returns: (transfer container) (element-type HzbJob): in the order in which they are served */
static GPtrArray *
jobs_to_delegate (const HzbJobs *jobs, struct timespec now)
{
  GPtrArray *order = g_ptr_array_new ();
  for (guint i = 0; i < jobs->active->len; i++)
    if (has_tasks_to_delegate (jobs->active->pdata[i], now))
      g_ptr_array_add (order, jobs->active->pdata[i]);
  g_ptr_array_sort (order, hzb_scheduling_classes_compare);
  return order;
}

static gboolean
has_room_for (const Delegation *delegation, const HzbJob *job)
{
  HzbDispatch *dispatch = delegation->leaseholder->shard_leases->modules.dispatch;
  return delegation->n < MAX_TASKS_PER_ANSWER && job->spec->cpus <= delegation->room_cpus
         && hzb_dispatch_pace_allows (dispatch, job) && hzb_dispatch_team_may_use (dispatch, job);
}

static void
delegate_tasks_of (Delegation *delegation, HzbJob *job)
{
  const HzbShardLeasesDependencies *modules = &delegation->leaseholder->shard_leases->modules;
  guint at = 0;

  if (!shard_accepts (delegation->leaseholder, job->spec) || (job->start_overdue && (job->queued || job->placed)))
    return;
  if (job->cursor >= job->released)
    job->release_requested = TRUE;
  while (has_room_for (delegation, job))
    {
      HzbTask *task = next_to_delegate (modules->jobs, job, &at, delegation->now);
      if (!task)
        return;
      if (!hzb_task_set_state (modules->jobs, task, HZB_TASK_DELEGATED, NULL))
        continue;
      task->leaseholder = delegation->leaseholder->id;
      hzb_dispatch_note_started (modules->dispatch, job);
      hzb_task_groups_add (delegation->tasks, task);
      delegation->room_cpus -= MAX (job->spec->cpus, 0.01);
      delegation->n++;
      if (job->start_overdue)
        return; /* only the first task of such a job goes before other jobs */
    }
}

/* A leaseholder with room is to the leader what an idle machine is to a run queue: unstarted tasks move there. */
void
hzb_shards_delegate (HzbLeaseholderView *leaseholder, double room_cpus, struct timespec now)
{
  const HzbShardLeasesDependencies *modules = &leaseholder->shard_leases->modules;
  g_autoptr (GPtrArray) order = NULL;
  g_autoptr (HzbTaskGroups) tasks = NULL;
  Delegation delegation = { leaseholder, now, room_cpus, 0, NULL };
  HzbShardBatch *batch;

  if (room_cpus <= 0 || !hzb_election_lease_valid (modules->election))
    return;
  order = jobs_to_delegate (modules->jobs, now);
  tasks = delegation.tasks = hzb_task_groups_new ();
  for (guint i = 0; i < order->len && delegation.room_cpus > 0 && delegation.n < MAX_TASKS_PER_ANSWER; i++)
    delegate_tasks_of (&delegation, order->pdata[i]);
  if (!tasks->len)
    return;
  batch = hzb_shard_batch_new ();
  batch->delegated = g_steal_pointer (&tasks);
  hzb_shards_push (leaseholder, batch);
}

/* ---- machines that come back for a service ---- */

/* The team has tasks that could be stopped for a replica: delegated to @leaseholder, or on the leader's machines if it is NULL. */
static gboolean
team_has_lower_work (const HzbJobs *jobs, int team, const HzbLeaseholderView *leaseholder)
{
  for (guint i = 0; i < jobs->active->len; i++)
    {
      const HzbJob *job = jobs->active->pdata[i];
      if (job->team != team || job->spec->kind == HZB_JOB_SERVICE || job->spec->kind == HZB_JOB_GANG
          || job->state != HZB_JOB_ACCEPTED)
        continue;
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        {
          const HzbTask *task = &job->tasks[k];
          if (leaseholder ? hzb_shards_is_delegated_to (task, leaseholder) : hzb_task_on_machine (task))
            return TRUE;
        }
    }
  return FALSE;
}

/* Guards against a service whose team is at its limit while all of the team's other work is delegated: the leader can stop only
 * what runs in its own shard, so the service would wait until that work ends. */
static gboolean
service_waits_for_delegated_work (const HzbLeaseholderView *leaseholder)
{
  const HzbJobs *jobs = leaseholder->shard_leases->modules.jobs;

  for (guint i = 0; i < jobs->active->len; i++)
    {
      const HzbJob *job = jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && job->spec->kind == HZB_JOB_SERVICE && (job->pending || job->queued)
          && !hzb_shard_fits (jobs->shard, job->team, job->spec->cpus, job->spec->gpus)
          && !team_has_lower_work (jobs, job->team, NULL) && team_has_lower_work (jobs, job->team, leaseholder))
        return TRUE;
    }
  return FALSE;
}

/* One machine at a time comes back with its tasks: the leader does not know which machines hold tasks of the team. */
void
hzb_shards_recall_for_service (const HzbLeaseholderView *leaseholder)
{
  const HzbMachines *machines = leaseholder->shard_leases->modules.machines;
  HzbMachine *next = NULL;

  if (!service_waits_for_delegated_work (leaseholder))
    return;
  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (!hzb_shards_is_leased_to (machine, leaseholder) || !machine->lease_sent)
        continue;
      if (machine->recall_at_once)
        return; /* that machine is already on its way back */
      next = next ? next : machine;
    }
  if (next)
    next->recall_at_once = TRUE;
}
