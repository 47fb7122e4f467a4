/* The cloud takes a machine back soon. The machine gets no new tasks, tasks with checkpoints save one in time, and a task that
 * can neither save a checkpoint nor end before then is stopped, so that it starts elsewhere at once. */
#include "worker-api-private.h"

#include <math.h>

/* Run time estimates are often wrong: a task without checkpoints is given up only if its estimate exceeds the notice by
 * this factor. */
#define HOPELESS_FACTOR 1.3
/* A task that saves checkpoints runs on only if it should end this long before the last moment at which a checkpoint could
 * begin. */
#define CHECKPOINT_SLACK_S 1

static void
drain (HzbWorkerApi *api, HzbMachine *machine)
{
  if (machine->state != HZB_MACHINE_ACTIVE)
    return;
  hzb_machine_set_state (api->with.machines, machine, HZB_MACHINE_DRAINING, "the cloud takes it back");
  hzb_machine_clear_run_queues (api->with.jobs, machine);
}

static double
remaining_s (const HzbTask *task, struct timespec now)
{
  if (task->job->spec->kind == HZB_JOB_SERVICE)
    return INFINITY;
  return hzb_job_mean_s (task->job) - (task->state == HZB_TASK_RUNNING ? hzb_time_between (task->since, now) : 0);
}

static gboolean
may_be_stopped (const HzbTask *task)
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
ends_in_time (const HzbTask *task, double notice_s, struct timespec now)
{
  double left_s = remaining_s (task, now);

  if (saves_checkpoints (task))
    return left_s <= notice_s - task->job->spec->checkpoint_duration_s - CHECKPOINT_SLACK_S;
  return left_s <= HOPELESS_FACTOR * notice_s;
}

/* The tasks of a gang end together, so all are stopped, each with the answer to the next heartbeat of its own machine. */
static void
stop_gang (HzbJob *job)
{
  for (guint k = 0; k < job->n_tasks; k++)
    if (hzb_task_on_machine (&job->tasks[k]))
      job->tasks[k].stopping = TRUE;
}

void
hzb_reclaim_notice_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  HzbMachine *machine = exchange->machine;
  double notice_s = exchange->heartbeat->notice_s;

  drain (api, machine);
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      HzbTask *task = machine->tasks->pdata[i];
      const HzbJobSpec *spec = task->job->spec;

      if (!may_be_stopped (task))
        continue;
      if (spec->kind == HZB_JOB_GANG)
        {
          if (saves_checkpoints (task) && remaining_s (task, exchange->now) > notice_s)
            stop_gang (task->job);
        }
      else if (!ends_in_time (task, notice_s, exchange->now))
        {
          task->stopping = TRUE;
          hzb_heartbeat_add_stop (exchange, task->job->uid, task->index, task->attempt, hzb_job_spec_grace_s (spec));
        }
    }
}
