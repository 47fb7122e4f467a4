/* Reclaim notices: the cloud reclaims the machine soon. The machine gets no new tasks. A task with checkpoints is
 * stopped early enough to save one. A task that can neither save a checkpoint nor end before the machine is reclaimed
 * is stopped, so that it starts on another machine at once. A gang is stopped only if its task on the machine saves
 * checkpoints and is not expected to end before the machine is reclaimed. */
#include "task-table.h"
#include "worker-api-private.h"

#include <math.h>

/* Run time estimates are often wrong. A task without checkpoints is stopped only if its estimated remaining run time
 * exceeds the time until the machine is reclaimed, multiplied by this factor. */
#define ESTIMATE_ERROR_FACTOR 1.3
/* The latest time at which a checkpoint can begin is its duration before the machine is reclaimed. A task that saves
 * checkpoints is stopped unless its estimated end is at least this long before that time. */
#define CHECKPOINT_MARGIN_S 1

static void
drain_machine (HzbWorkerApi *api, HzbMachine *machine)
{
  if (machine->state != HZB_MACHINE_ACTIVE)
    return;
  hzb_machine_set_state (api->dependencies.machines, machine, HZB_MACHINE_DRAINING, "the cloud sent a reclaim notice");
  hzb_machine_clear_run_queues (api->dependencies.jobs, machine);
}

static double
remaining_s (const HzbTask *task, struct timespec now)
{
  if (task->job->spec->kind == HZB_JOB_SERVICE)
    return INFINITY;
  return hzb_job_mean_s (task->job) - (task->state == HZB_TASK_RUNNING ? hzb_time_between (task->since, now) : 0);
}

/* While a job awaits its verdict after a cold start, no command is sent for its tasks. */
static gboolean
is_stoppable (const HzbTask *task)
{
  return !task->stopping && (task->state == HZB_TASK_RUNNING || task->state == HZB_TASK_FETCHING)
         && task->job->state == HZB_JOB_ACCEPTED && !task->job->awaits_verdict;
}

static gboolean
saves_checkpoints (const HzbTask *task)
{
  return task->state == HZB_TASK_RUNNING && task->job->spec->checkpoint_interval_s > 0;
}

static gboolean
ends_in_time (const HzbTask *task, double until_reclaim_s, struct timespec now)
{
  double remaining = remaining_s (task, now);

  if (saves_checkpoints (task))
    return remaining <= until_reclaim_s - task->job->spec->checkpoint_duration_s - CHECKPOINT_MARGIN_S;
  return remaining <= ESTIMATE_ERROR_FACTOR * until_reclaim_s;
}

/* The tasks of a gang end together, so all are stopped. Each of their workers gets the stop command in the response to
 * the next heartbeat that the worker sends. This includes the worker that sent the reclaim notice: the task statuses of
 * its present heartbeat were applied before the notice. */
static void
stop_gang (HzbJob *job)
{
  HzbTask *task;

  for (guint k = 0; (task = hzb_task_table_next (job->tasks, &k));)
    if (hzb_task_on_machine (task))
      task->stopping = TRUE;
}

void
hzb_reclaim_notice_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  HzbMachine *machine = exchange->machine;
  double until_reclaim_s = exchange->heartbeat->notice_s;

  drain_machine (api, machine);
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      HzbTask *task = machine->tasks->pdata[i];
      const HzbJobSpec *spec = task->job->spec;

      if (!is_stoppable (task))
        continue;
      if (spec->kind == HZB_JOB_GANG)
        {
          if (saves_checkpoints (task) && remaining_s (task, exchange->now) > until_reclaim_s)
            stop_gang (task->job);
        }
      else if (!ends_in_time (task, until_reclaim_s, exchange->now))
        {
          task->stopping = TRUE;
          hzb_heartbeat_add_stop (exchange, task->job->uid, task->index, task->attempt, hzb_job_spec_grace_s (spec));
        }
    }
}
