#include "task.h"

#define STATE(name) (1u << HZB_TASK_##name)

/* The states that a heartbeat can report. */
#define REPORTED_STATES (STATE (FETCHING) | STATE (WAITING) | STATE (RUNNING) | STATE (CHECKPOINTING))

/* The states that may follow HZB_TASK_STARTING or a reported state. A task can also pass to another owner, together
 * with its machine. */
#define STATES_AFTER_START                                                                                             \
  (STATE (PENDING) | REPORTED_STATES | STATE (FINISHED) | STATE (OTHER_OWNER) | STATE (DELEGATED))

/* For each state, the set of states that may follow. */
static const guint allowed_transitions[HZB_TASK_N_STATES] = {
  [HZB_TASK_OTHER_OWNER] = STATE (PENDING),
  [HZB_TASK_DELEGATED] = STATE (PENDING) | STATE (UNCONFIRMED) | STATE (STARTING) | STATE (FINISHED),
  [HZB_TASK_PENDING] = STATE (OTHER_OWNER) | STATE (DELEGATED) | STATE (QUEUED) | STATE (RESERVED) | STATE (UNCONFIRMED)
                       | STATE (DONE) | REPORTED_STATES | STATE (FINISHED),
  [HZB_TASK_QUEUED] = STATE (PENDING) | STATE (RESERVED) | STATE (STARTING),
  [HZB_TASK_UNCONFIRMED] = STATE (PENDING) | REPORTED_STATES | STATE (FINISHED) | STATE (DONE),
  [HZB_TASK_RESERVED] = STATE (PENDING) | STATE (STARTING),
  [HZB_TASK_STARTING] = STATES_AFTER_START,
  [HZB_TASK_FETCHING] = STATES_AFTER_START,
  [HZB_TASK_WAITING] = STATES_AFTER_START,
  [HZB_TASK_RUNNING] = STATES_AFTER_START,
  [HZB_TASK_CHECKPOINTING] = STATES_AFTER_START,
  [HZB_TASK_FINISHED] = STATE (DONE),
  [HZB_TASK_DONE] = 0,
};

/* Returns: the job's counter of tasks in this state. States without a counter of their own count as placed. */
static guint *
state_counter (HzbJob *job, HzbTaskState state)
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
  (*state_counter (job, from))--;
  job->running -= counts_as_running (from);
  (*state_counter (job, to))++;
  job->running += counts_as_running (to);
}

/* Whether the task counts against its team's limit: it takes resources of a machine, or this controller cannot rule out
 * that it runs. */
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
    hzb_machine_remove_task (task->machine, task);
}

static void
enter_machine (HzbTask *task)
{
  if (task->state == HZB_TASK_QUEUED)
    hzb_machine_enqueue (task->machine, task);
  if (hzb_task_on_machine (task) && task->machine)
    hzb_machine_add_task (task->machine, task);
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
  if (!(allowed_transitions[task->state] & 1u << to))
    {
      g_critical (
          "task %s/%u: illegal change %s -> %s; the task keeps its state: please report this with the log before it",
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
hzb_machine_requeue_tasks (HzbJobs *jobs, HzbMachine *machine)
{
  while (machine->tasks->len)
    {
      guint n_before = machine->tasks->len;
      hzb_task_set_state (jobs, machine->tasks->pdata[n_before - 1], HZB_TASK_PENDING, NULL);
      g_return_if_fail (machine->tasks->len < n_before);
    }
  /* Clears the rounding errors that the sums have accumulated. */
  machine->cpus = machine->gpus = machine->memory_gb = machine->service_cpus = machine->service_memory_gb = 0;
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
