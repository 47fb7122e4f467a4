/* Delegates unstarted tasks to leaseholders with free CPUs, and selects machines to recall for a service. */
#include "job-waiting.h"
#include "scheduling-class.h"
#include "shard-leases-private.h"
#include "task-table.h"

/* A shard of thousands of machines starts about this many tasks between two polls. */
#define MAX_TASKS_PER_ANSWER 640u

/* Jobs whose tasks have to be placed together run only in the leader's shard, and so do services, whose replicas
 * must not wait for another node. */
gboolean
hzb_job_is_delegable (const HzbJob *job)
{
  const HzbJobSpec *spec = job->spec;
  return job->state == HZB_JOB_ACCEPTED && spec->kind != HZB_JOB_GANG && spec->kind != HZB_JOB_SERVICE
         && !spec->same_zone && !spec->spread;
}

/* ---- delegating tasks ---- */

/* The state of the delegation to one leaseholder in one answer. */
typedef struct
{
  HzbLeaseholderView *leaseholder;
  struct timespec now;
  double remaining_cpus; /* CPUs that may still be delegated */
  guint n_tasks;         /* number of tasks delegated so far */
  HzbTaskGroups *tasks;
} Delegation;

static gboolean
shard_has_allowed_machine (const HzbLeaseholderView *leaseholder, const HzbJobSpec *spec)
{
  for (guint i = 0; i < leaseholder->machine_kinds->len; i++)
    {
      const HzbMachine *machine = leaseholder->machine_kinds->pdata[i];
      /* The machine may have been returned since the scan that collected it. */
      if (hzb_shards_is_leased_to (machine, leaseholder) && hzb_machine_is_eligible (machine, spec))
        return TRUE;
    }
  return FALSE;
}

/* Prefers a task that is in no run queue. If there is none, removes a queued task from its run queue; the search begins
 * at *@next_index, which is advanced. Returns: (nullable): the task; NULL if the job has no task left to delegate */
static HzbTask *
take_next_task (HzbJobs *jobs, HzbJob *job, guint *next_index, struct timespec now)
{
  HzbTask *task = job->pending ? hzb_job_take_pending (job, now) : NULL;

  while (!task && job->queued && (task = hzb_task_table_next (job->tasks, next_index)))
    if (task->state != HZB_TASK_QUEUED || hzb_time_before (now, task->not_before))
      task = NULL;
  if (task && task->state == HZB_TASK_QUEUED)
    {
      hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
      hzb_job_leave_retry_queue (task);
    }
  return task;
}

static gboolean
has_tasks_to_delegate (const HzbJob *job, struct timespec now)
{
  return hzb_job_is_delegable (job) && !job->awaits_verdict && (job->pending || job->queued) && !job->failures
         && !hzb_time_before (now, job->not_before);
}

/* Returns: (transfer container) (element-type HzbJob): jobs with tasks to delegate, in scheduling order */
static GPtrArray *
jobs_to_delegate (const HzbJobs *jobs, struct timespec now)
{
  GPtrArray *ordered_jobs = g_ptr_array_new ();
  for (guint i = 0; i < jobs->active->len; i++)
    if (has_tasks_to_delegate (jobs->active->pdata[i], now))
      g_ptr_array_add (ordered_jobs, jobs->active->pdata[i]);
  g_ptr_array_sort (ordered_jobs, hzb_scheduling_classes_compare);
  return ordered_jobs;
}

static gboolean
can_delegate (const Delegation *delegation, const HzbJob *job)
{
  HzbDispatch *dispatch = delegation->leaseholder->shard_leases->dependencies.dispatch;
  return delegation->n_tasks < MAX_TASKS_PER_ANSWER && job->spec->cpus <= delegation->remaining_cpus
         && hzb_dispatch_pacing_allows (dispatch, job) && hzb_dispatch_team_limit_allows (dispatch, job);
}

static void
delegate_job_tasks (Delegation *delegation, HzbJob *job)
{
  const HzbShardLeasesDependencies *dependencies = &delegation->leaseholder->shard_leases->dependencies;
  guint next_index = 0;

  if (!shard_has_allowed_machine (delegation->leaseholder, job->spec)
      || hzb_job_avoids_leaseholder (job, delegation->leaseholder->id, delegation->now)
      || (job->start_overdue && (job->queued || job->placed)))
    return;
  if (job->cursor >= job->released)
    job->release_requested = TRUE;
  while (can_delegate (delegation, job))
    {
      HzbTask *task = take_next_task (dependencies->jobs, job, &next_index, delegation->now);
      if (!task)
        return;
      if (!hzb_task_set_state (dependencies->jobs, task, HZB_TASK_DELEGATED, NULL))
        continue;
      task->leaseholder = delegation->leaseholder->id;
      hzb_dispatch_note_started (dependencies->dispatch, job);
      hzb_task_groups_add (delegation->tasks, task);
      delegation->remaining_cpus -= MAX (job->spec->cpus, 0.01);
      delegation->n_tasks++;
      if (job->start_overdue)
        return; /* only the first task of an overdue job has priority over other jobs */
    }
}

/* Queued tasks are delegated as well: a leaseholder with free CPUs can take them from run queues, as an idle machine
 * can. */
void
hzb_shards_delegate (HzbLeaseholderView *leaseholder, double requested_cpus, struct timespec now)
{
  const HzbShardLeasesDependencies *dependencies = &leaseholder->shard_leases->dependencies;
  g_autoptr (GPtrArray) ordered_jobs = NULL;
  g_autoptr (HzbTaskGroups) tasks = NULL;
  Delegation delegation = { leaseholder, now, requested_cpus, 0, NULL };
  HzbShardBatch *batch;

  if (requested_cpus <= 0 || !hzb_election_is_lease_valid (dependencies->election))
    return;
  ordered_jobs = jobs_to_delegate (dependencies->jobs, now);
  tasks = delegation.tasks = hzb_task_groups_new ();
  for (guint i = 0; i < ordered_jobs->len && delegation.remaining_cpus > 0 && delegation.n_tasks < MAX_TASKS_PER_ANSWER;
       i++)
    delegate_job_tasks (&delegation, ordered_jobs->pdata[i]);
  if (!tasks->len)
    return;
  batch = hzb_shard_batch_new ();
  batch->delegated = g_steal_pointer (&tasks);
  hzb_shards_push (leaseholder, batch);
}

/* ---- recall for a service ---- */

/* Returns: whether the team has tasks that could be preempted for a service replica: tasks that are delegated to
 * @leaseholder (nullable), or tasks on the leader's machines if @leaseholder is NULL */
static gboolean
team_has_preemptible_work (const HzbJobs *jobs, int team, const HzbLeaseholderView *leaseholder)
{
  for (guint i = 0; i < jobs->active->len; i++)
    {
      const HzbJob *job = jobs->active->pdata[i];
      const HzbTask *task;
      if (job->team != team || job->spec->kind == HZB_JOB_SERVICE || job->spec->kind == HZB_JOB_GANG
          || job->state != HZB_JOB_ACCEPTED)
        continue;
      for (guint k = 0; job->placed && (task = hzb_task_table_next (job->tasks, &k));)
        if (leaseholder ? hzb_shards_is_delegated_to (task, leaseholder) : hzb_task_on_machine (task))
          return TRUE;
    }
  return FALSE;
}

/* Returns: whether a service waits because its team has reached its quota while all other tasks of the team are
 * delegated. The leader can preempt only tasks in its own shard, so the service would wait until the delegated tasks
 * end. */
static gboolean
service_waits_for_delegated_work (const HzbLeaseholderView *leaseholder)
{
  const HzbJobs *jobs = leaseholder->shard_leases->dependencies.jobs;

  for (guint i = 0; i < jobs->active->len; i++)
    {
      const HzbJob *job = jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && job->spec->kind == HZB_JOB_SERVICE && (job->pending || job->queued)
          && !hzb_shard_fits (jobs->shard, job->team, job->spec->cpus, job->spec->gpus)
          && !team_has_preemptible_work (jobs, job->team, NULL)
          && team_has_preemptible_work (jobs, job->team, leaseholder))
        return TRUE;
    }
  return FALSE;
}

/* Machines are recalled one at a time, each with its tasks, since the leader does not know which machines hold tasks
 * of the team. */
void
hzb_shards_recall_for_service (const HzbLeaseholderView *leaseholder)
{
  const HzbMachines *machines = leaseholder->shard_leases->dependencies.machines;
  HzbMachine *candidate = NULL;

  if (!service_waits_for_delegated_work (leaseholder))
    return;
  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (!hzb_shards_is_leased_to (machine, leaseholder) || !machine->lease_sent)
        continue;
      if (machine->recall_at_once)
        return; /* this machine is already being recalled */
      candidate = candidate ? candidate : machine;
    }
  if (candidate)
    candidate->recall_at_once = TRUE;
}
