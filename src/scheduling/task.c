#include "task.h"

#define STATE(name) (1u << HZB_TASK_##name)

/* The states that a heartbeat can show. */
#define REPORTED (STATE (FETCHING) | STATE (WAITING) | STATE (RUNNING) | STATE (CHECKPOINTING))

/* From a machine, a task can also be handed to another owner together with the machine. */
#define FROM_MACHINE (STATE (PENDING) | REPORTED | STATE (FINISHED) | STATE (OTHER_OWNER) | STATE (DELEGATED))

/* For each state, the set of states that may follow. */
static const guint allowed_next[HZB_TASK_N_STATES] = {
  [HZB_TASK_OTHER_OWNER] = STATE (PENDING),
  [HZB_TASK_DELEGATED] = STATE (PENDING) | STATE (UNCONFIRMED) | STATE (STARTING) | STATE (FINISHED),
  [HZB_TASK_PENDING] = STATE (OTHER_OWNER) | STATE (DELEGATED) | STATE (QUEUED) | STATE (RESERVED) | STATE (UNCONFIRMED)
                       | STATE (DONE) | REPORTED | STATE (FINISHED),
  [HZB_TASK_QUEUED] = STATE (PENDING) | STATE (RESERVED) | STATE (STARTING),
  [HZB_TASK_UNCONFIRMED] = STATE (PENDING) | REPORTED | STATE (FINISHED) | STATE (DONE),
  [HZB_TASK_RESERVED] = STATE (PENDING) | STATE (STARTING),
  [HZB_TASK_STARTING] = FROM_MACHINE,
  [HZB_TASK_FETCHING] = FROM_MACHINE,
  [HZB_TASK_WAITING] = FROM_MACHINE,
  [HZB_TASK_RUNNING] = FROM_MACHINE,
  [HZB_TASK_CHECKPOINTING] = FROM_MACHINE,
  [HZB_TASK_FINISHED] = STATE (DONE),
  [HZB_TASK_DONE] = 0,
};

/* The job's counter of tasks in this state. Every state without a counter of its own counts as placed. */
static guint *
counter_of (HzbJob *job, HzbTaskState state)
{
  switch (state)
    {
    case HZB_TASK_PENDING:
      return &job->pending;
    case HZB_TASK_QUEUED:
      return &job->queued;
    case HZB_TASK_UNCONFIRMED:
      return &job->unconfirmed;
    case HZB_TASK_OTHER_OWNER:
      return &job->other_owner;
    case HZB_TASK_FINISHED:
      return &job->finished;
    case HZB_TASK_DONE:
      return &job->done;
    default:
      return &job->placed;
    }
}

static gboolean
counts_as_running (HzbTaskState state)
{
  return state == HZB_TASK_RUNNING || state == HZB_TASK_CHECKPOINTING;
}

static void
move_between_counters (HzbJob *job, HzbTaskState from, HzbTaskState to)
{
  (*counter_of (job, from))--;
  job->running -= counts_as_running (from);
  (*counter_of (job, to))++;
  job->running += counts_as_running (to);
}

/* The task counts against its team's limit: it runs, or the controller cannot be sure that it does not. */
static gboolean
counts_against_team (const HzbTask *task)
{
  return hzb_task_on_machine (task) || task->state == HZB_TASK_UNCONFIRMED || task->state == HZB_TASK_DELEGATED;
}

static void
leave_machine (HzbTask *task)
{
  if (task->state == HZB_TASK_QUEUED)
    hzb_machine_dequeue (task->machine, task);
  if (hzb_task_on_machine (task) && task->machine)
    hzb_machine_remove (task->machine, task);
}

static void
enter_machine (HzbTask *task)
{
  if (task->state == HZB_TASK_QUEUED)
    hzb_machine_enqueue (task->machine, task);
  if (hzb_task_on_machine (task) && task->machine)
    hzb_machine_add (task->machine, task);
}

static void
update_team_use (HzbShard *shard, const HzbTask *task, gboolean counted_before)
{
  const HzbJob *job = task->job;
  gboolean counted = counts_against_team (task);

  if (counted && !counted_before)
    hzb_shard_reserve (shard, job->team, job->spec->cpus, job->spec->gpus);
  else if (counted_before && !counted)
    hzb_shard_release (shard, job->team, job->spec->cpus, job->spec->gpus);
}

gboolean
hzb_task_set_state (HzbJobs *jobs, HzbTask *task, HzbTaskState to, HzbMachine *machine)
{
  HzbJob *job = task->job;
  gboolean counted_before = counts_against_team (task);

  if (task->state == to && task->machine == machine)
    return TRUE;
  if (!(allowed_next[task->state] & 1u << to))
    {
      g_critical (
          "task %s/%u: illegal change %s -> %s; the change is refused: please report this with the log before it",
          job->uid, task->index, hzb_task_state_name (task->state), hzb_task_state_name (to));
      return FALSE;
    }
  g_debug ("task %s/%u: %s -> %s%s%s", job->uid, task->index, hzb_task_state_name (task->state),
           hzb_task_state_name (to), machine ? " on " : "", machine ? hzb_machine_name (machine) : "");
  leave_machine (task);
  move_between_counters (job, task->state, to);
  if (task->state != to)
    task->since = hzb_clock_now (jobs->clock);
  task->state = (guint8) to;
  task->machine = machine;
  enter_machine (task);
  update_team_use (jobs->shard, task, counted_before);
  if (to == HZB_TASK_PENDING)
    {
      task->stopping = FALSE;
      g_queue_push_tail (&job->retry, task);
    }
  return TRUE;
}

void
hzb_job_resolve_unconfirmed (HzbJobs *jobs, HzbJob *job, guint leaseholder)
{
  for (guint k = 0; job->unconfirmed && k < job->n_tasks; k++)
    if (job->tasks[k].state == HZB_TASK_UNCONFIRMED && job->tasks[k].leaseholder == leaseholder)
      {
        hzb_task_set_state (jobs, &job->tasks[k], HZB_TASK_PENDING, NULL);
        job->tasks[k].leaseholder = 0;
      }
}

void
hzb_machine_lose_tasks (HzbJobs *jobs, HzbMachine *machine)
{
  while (machine->tasks->len)
    {
      guint before = machine->tasks->len;
      hzb_task_set_state (jobs, machine->tasks->pdata[before - 1], HZB_TASK_PENDING, NULL);
      g_return_if_fail (machine->tasks->len < before);
    }
  /* What rounding has left over in the sums goes, too. */
  machine->cpus = machine->gpus = machine->memory = machine->service_cpus = machine->service_memory_gb = 0;
  hzb_machine_clear_run_queues (jobs, machine);
}

void
hzb_machine_clear_run_queues (HzbJobs *jobs, HzbMachine *machine)
{
  for (guint i = 0; i < HZB_N_SCHEDULING_CLASSES; i++)
    while (machine->run_queues[i].length)
      hzb_task_set_state (jobs, g_queue_peek_head (&machine->run_queues[i]), HZB_TASK_PENDING, NULL);
  machine->estimate_stale = TRUE;
}
