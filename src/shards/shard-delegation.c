/* Which unstarted tasks go to a leaseholder that has room, and which of its machines come back for a service. */
#include "controller-private.h"
#include "scheduling-class.h"
#include "shard-leases-private.h"

#define MOST_PER_ANSWER 640u /* tasks: what thousands of machines start between two polls */

/* Such a job may run in any shard. Where all tasks have to be looked at together, or none may wait, the leader's it is. */
gboolean
hzb_job_is_delegable (const HzbJob *job)
{
  const HzbJobSpec *spec = job->spec;
  return job->state == HZB_JOB_ACCEPTED && spec->kind != HZB_JOB_GANG && spec->kind != HZB_JOB_SERVICE
         && !spec->same_zone && !spec->spread;
}

/* Some machine of the shard may hold such a task. */
static gboolean
shard_accepts (const HzbLeaseholderView *leaseholder, const HzbJobSpec *spec)
{
  for (guint i = 0; i < leaseholder->kinds->len; i++)
    {
      const HzbMachine *machine = leaseholder->kinds->pdata[i];
      /* It may have come back since the scan. */
      if (machine->state == HZB_MACHINE_LEASED && machine->leaseholder == leaseholder->id
          && hzb_machine_allowed (machine, spec))
        return TRUE;
    }
  return FALSE;
}

/* What waits for a list first, then what is in one; *at: how far those in lists have been looked for. */
static HzbTask *
next_to_delegate (HzbController *controller, HzbJob *job, guint *at, struct timespec now)
{
  HzbTask *task = job->pending ? hzb_job_next_pending (job, now) : NULL;
  for (; !task && job->queued && *at < job->n_tasks; (*at)++)
    if (job->tasks[*at].state == HZB_TASK_QUEUED && !hzb_time_before (now, job->tasks[*at].not_before))
      {
        task = &job->tasks[*at];
        hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
        g_queue_pop_tail (&job->retry); /* where it was just put */
      }
  return task;
}

/* A leaseholder with room is as an idle machine is to a list: unstarted tasks move there. */
void
hzb_shards_delegate (HzbShardLeases *shard_leases, HzbLeaseholderView *leaseholder, double room_cpus,
                     struct timespec now)
{
  HzbController *controller = shard_leases->controller;
  g_autoptr (GPtrArray) order = g_ptr_array_new ();
  cJSON *groups = NULL;
  guint n = 0;

  if (room_cpus <= 0 || !hzb_election_lease_valid (controller->election))
    return;
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      HzbJob *job = controller->jobs->active->pdata[i];
      if (hzb_job_is_delegable (job) && !job->awaits_verdict && (job->pending || job->queued) && !job->failures
          && !hzb_time_before (now, job->not_before))
        g_ptr_array_add (order, job);
    }
  g_ptr_array_sort (order, hzb_scheduling_classes_compare);
  for (guint i = 0; i < order->len && room_cpus > 0 && n < MOST_PER_ANSWER; i++)
    {
      HzbJob *job = order->pdata[i];
      guint at = 0;
      gboolean holds = shard_accepts (leaseholder, job->spec) && !(job->start_overdue && (job->queued || job->placed));
      if (holds && job->cursor >= job->released)
        job->release_requested = TRUE;
      while (holds && n < MOST_PER_ANSWER && job->spec->cpus <= room_cpus
             && hzb_dispatch_pace_allows (controller->dispatch, job)
             && hzb_dispatch_team_may_use (controller->dispatch, job))
        {
          HzbTask *task = next_to_delegate (controller, job, &at, now);
          if (!task)
            break;
          if (!hzb_task_set_state (controller->jobs, task, HZB_TASK_DELEGATED, NULL))
            continue;
          task->leaseholder = leaseholder->id;
          hzb_dispatch_note_started (controller->dispatch, job);
          room_cpus -= MAX (job->spec->cpus, 0.01);
          n++;
          if (job->start_overdue)
            holds = FALSE; /* only its first task goes before others */
          if (!groups)
            groups = cJSON_CreateObject ();
          hzb_tasks_add (groups, task);
        }
    }
  if (groups)
    {
      cJSON *body = cJSON_CreateObject ();
      cJSON_AddItemToObject (body, "tasks", groups);
      hzb_outbox_push (&leaseholder->out, body);
    }
}

/* Tasks of the team that could be stopped for a replica: on the leader's machines (0), or delegated to this leaseholder. */
static gboolean
team_has_lower_work (const HzbController *controller, int team, guint8 leaseholder)
{
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      const HzbJob *job = controller->jobs->active->pdata[i];
      if (job->team != team || job->spec->kind == HZB_JOB_SERVICE || job->spec->kind == HZB_JOB_GANG
          || job->state != HZB_JOB_ACCEPTED)
        continue;
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        {
          const HzbTask *task = &job->tasks[k];
          if (leaseholder ? task->state == HZB_TASK_DELEGATED && task->leaseholder == leaseholder
                          : hzb_task_on_machine (task))
            return TRUE;
        }
    }
  return FALSE;
}

/* Guards against a service whose team is at its limit with all of its other work delegated: the leader can stop only what
 * runs in its own shard, so the service would wait until that work ends. */
static gboolean
service_waits_for_delegated_work (const HzbController *controller, const HzbLeaseholderView *leaseholder)
{
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      const HzbJob *job = controller->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && job->spec->kind == HZB_JOB_SERVICE && (job->pending || job->queued)
          && !hzb_shard_fits (controller->shard, job->team, job->spec->cpus, job->spec->gpus)
          && !team_has_lower_work (controller, job->team, 0)
          && team_has_lower_work (controller, job->team, leaseholder->id))
        return TRUE;
    }
  return FALSE;
}

/* One machine at a time comes back with its tasks; which of them hold the team's the leader does not know. */
void
hzb_shards_recall_for_service (HzbShardLeases *shard_leases, const HzbLeaseholderView *leaseholder)
{
  const HzbController *controller = shard_leases->controller;
  HzbMachine *next = NULL;

  if (!service_waits_for_delegated_work (controller, leaseholder))
    return;
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      if (machine->state != HZB_MACHINE_LEASED || machine->leaseholder != leaseholder->id || !machine->lease_sent)
        continue;
      if (machine->recall_at_once)
        return; /* it is on its way */
      next = next ? next : machine;
    }
  if (next)
    next->recall_at_once = TRUE;
}
