#include "task.h"

#include "log.h"
#include "task-table.h"

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

/* Puts the task where hzb_job_take_pending() and hzb_task_table_compact() look for it in its new state. */
static void
note_entered (HzbTask *task)
{
  if (task->state == HZB_TASK_PENDING)
    {
      task->stopping = FALSE;
      hzb_job_join_retry_queue (task);
    }
  else if (task->state == HZB_TASK_DONE || task->state == HZB_TASK_OTHER_OWNER)
    hzb_task_table_note_settled (task->job->tasks, task);
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
  if (hzb_log_is_debug_enabled ())
    g_debug ("task %s/%u: %s -> %s%s%s", job->uid, task->index, hzb_task_state_name (task->state),
             hzb_task_state_name (to), machine ? " on " : "", machine ? hzb_machine_name (machine) : "");
  hzb_job_leave_retry_queue (task);
  leave_machine (task);
  move_between_counters (job, task->state, to);
  if (task->state != to)
    task->since = hzb_clock_now (jobs->clock);
  task->state = (guint8) to;
  task->machine = machine;
  enter_machine (task);
  update_team_use (jobs->shard, task, counted_before);
  note_entered (task);
  return TRUE;
}

/* Changes the state of a task that is at rest, and keeps the counts as hzb_task_set_state() does. Such a task is on no
 * machine. */
static void
set_resting_state (HzbJobs *jobs, HzbJob *job, guint index, HzbTaskState from, HzbTaskState to)
{
  g_return_if_fail (allowed_transitions[from] & 1u << to);
  move_between_counters (job, from, to);
  hzb_task_table_set_resting_state (job->tasks, index, to);
  if (from == HZB_TASK_UNCONFIRMED)
    hzb_shard_release (jobs->shard, job->team, job->spec->cpus, job->spec->gpus);
  if (to == HZB_TASK_UNCONFIRMED)
    hzb_shard_reserve (jobs->shard, job->team, job->spec->cpus, job->spec->gpus);
}

void
hzb_job_load_task (HzbJobs *jobs, HzbJob *job, guint index, HzbTaskState to)
{
  HzbTaskState from = hzb_task_table_state (job->tasks, index);

  if (from == to)
    return;
  if (hzb_task_table_is_at_rest (job->tasks, index))
    set_resting_state (jobs, job, index, from, to);
  else
    hzb_task_set_state (jobs, hzb_task_table_get (job->tasks, index), to, NULL);
}

static void
resolve_tracked (HzbJobs *jobs, HzbJob *job, guint leaseholder)
{
  HzbTask *task;

  for (guint k = 0; job->unconfirmed && (task = hzb_task_table_next (job->tasks, &k));)
    if (task->state == HZB_TASK_UNCONFIRMED && task->leaseholder == leaseholder)
      {
        hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
        task->leaseholder = 0;
      }
}

/* A task that becomes pending at rest is not in the retry queue, so it has to be in the range of resolved tasks. */
static void
resolve_at_rest (HzbJobs *jobs, HzbJob *job)
{
  for (guint k = 0; job->unconfirmed && k < job->n_tasks; k++)
    if (hzb_task_table_is_at_rest (job->tasks, k) && hzb_task_table_state (job->tasks, k) == HZB_TASK_UNCONFIRMED)
      {
        set_resting_state (jobs, job, k, HZB_TASK_UNCONFIRMED, HZB_TASK_PENDING);
        if (job->next_resolved >= job->resolved_end)
          job->next_resolved = k; /* the range was empty */
        job->next_resolved = MIN (job->next_resolved, k);
        job->resolved_end = MAX (job->resolved_end, k + 1);
      }
}

void
hzb_job_resolve_unconfirmed (HzbJobs *jobs, HzbJob *job, guint leaseholder)
{
  resolve_tracked (jobs, job, leaseholder);
  if (!leaseholder)
    resolve_at_rest (jobs, job);
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
