#include "task.h"

#include "jobs.h"
#include "machines.h"

static const char *const state_names[] = { "pending", "listed",   "unknown",  "other-owner", "delegated",
                                           "booked",  "starting", "fetching", "waiting",     "running",
                                           "saving",  "finished", "done" };

const char *
hzb_task_state_name (HzbTaskState state)
{
  return state_names[state];
}

gboolean
hzb_task_on_machine (const HzbTask *task)
{
  return task->state >= HZB_TASK_RESERVED && task->state <= HZB_TASK_CHECKPOINTING;
}

#define B(s) (1u << HZB_TASK_##s)
#define SEEN (B (FETCHING) | B (WAITING) | B (RUNNING) | B (CHECKPOINTING))

static const guint legal[HZB_TASK_N_STATES] = {
  [HZB_TASK_OTHER_OWNER] = B (PENDING),
  [HZB_TASK_DELEGATED] = B (PENDING) | B (UNCONFIRMED) | B (STARTING) | B (FINISHED),
  [HZB_TASK_PENDING] =
      B (OTHER_OWNER) | B (DELEGATED) | B (QUEUED) | B (RESERVED) | B (UNCONFIRMED) | B (DONE) | SEEN | B (FINISHED),
  [HZB_TASK_QUEUED] = B (PENDING) | B (RESERVED) | B (STARTING),
  [HZB_TASK_UNCONFIRMED] = B (PENDING) | SEEN | B (FINISHED) | B (DONE),
  [HZB_TASK_RESERVED] = B (PENDING) | B (STARTING),
  [HZB_TASK_STARTING] = B (PENDING) | SEEN | B (FINISHED) | B (OTHER_OWNER) | B (DELEGATED),
  [HZB_TASK_FETCHING] = B (PENDING) | SEEN | B (FINISHED) | B (OTHER_OWNER) | B (DELEGATED),
  [HZB_TASK_WAITING] = B (PENDING) | SEEN | B (FINISHED) | B (OTHER_OWNER) | B (DELEGATED),
  [HZB_TASK_RUNNING] = B (PENDING) | SEEN | B (FINISHED) | B (OTHER_OWNER) | B (DELEGATED),
  [HZB_TASK_CHECKPOINTING] = B (PENDING) | SEEN | B (FINISHED) | B (OTHER_OWNER) | B (DELEGATED),
  [HZB_TASK_FINISHED] = B (DONE),
  [HZB_TASK_DONE] = 0,
};

static void
count (HzbJob *job, HzbTaskState state, int sign)
{
  guint by = (guint) sign;
  switch (state)
    {
    case HZB_TASK_PENDING:
      job->pending += by;
      break;
    case HZB_TASK_QUEUED:
      job->queued += by;
      break;
    case HZB_TASK_UNCONFIRMED:
      job->unconfirmed += by;
      break;
    case HZB_TASK_OTHER_OWNER:
      job->other_owner += by;
      break;
    case HZB_TASK_FINISHED:
      job->finished += by;
      break;
    case HZB_TASK_DONE:
      job->done += by;
      break;
    default:
      job->placed += by;
      if (state == HZB_TASK_RUNNING || state == HZB_TASK_CHECKPOINTING)
        job->running += by;
      break;
    }
}

/* It counts against its team: it runs, or nobody can be sure that it does not. */
static gboolean
holds_room (const HzbTask *task)
{
  return hzb_task_on_machine (task) || task->state == HZB_TASK_UNCONFIRMED || task->state == HZB_TASK_DELEGATED;
}

/* The only place where a task changes its state, its machine, and what its team has in use. */
gboolean
hzb_task_set_state (HzbJobs *jobs, HzbTask *task, HzbTaskState to, HzbMachine *machine)
{
  HzbJob *job = task->job;
  const HzbJobSpec *spec = job->spec;
  gboolean held = holds_room (task), holds;

  if (task->state == to && task->machine == machine)
    return TRUE;
  if (!(legal[task->state] & 1u << to))
    {
      g_critical ("task %s/%u: illegal change %s -> %s", job->uid, task->index, state_names[task->state],
                  state_names[to]);
      return FALSE;
    }
  g_debug ("task %s/%u: %s -> %s%s%s", job->uid, task->index, state_names[task->state], state_names[to],
           machine ? " on " : "", machine ? hzb_machine_name (machine) : "");
  if (task->state == HZB_TASK_QUEUED)
    hzb_machine_dequeue (task->machine, task);
  if (hzb_task_on_machine (task) && task->machine)
    hzb_machine_remove (task->machine, task);
  count (job, task->state, -1);
  count (job, to, 1);
  if (task->state != to)
    task->since = hzb_clock_now (jobs->clock);
  task->state = (guint8) to;
  task->machine = machine;
  holds = holds_room (task);
  if (to == HZB_TASK_QUEUED)
    hzb_machine_enqueue (machine, task);
  if (hzb_task_on_machine (task) && machine)
    hzb_machine_add (machine, task);
  if (holds && !held)
    hzb_shard_reserve (jobs->shard, job->team, spec->cpus, spec->gpus);
  else if (held && !holds)
    hzb_shard_release (jobs->shard, job->team, spec->cpus, spec->gpus);
  if (to == HZB_TASK_PENDING)
    {
      task->stopping = FALSE;
      g_queue_push_tail (&job->retry, task);
    }
  return TRUE;
}

HzbTask *
hzb_job_next_pending (HzbJob *job, struct timespec now)
{
  for (guint n = job->retry.length; n > 0; n--)
    {
      HzbTask *task = g_queue_pop_head (&job->retry);
      if (task->state != HZB_TASK_PENDING)
        continue; /* placed meanwhile by other means */
      if (hzb_time_before (now, task->not_before))
        {
          g_queue_push_tail (&job->retry, task);
          continue;
        }
      return task;
    }
  for (; job->cursor < job->released; job->cursor++)
    if (job->tasks[job->cursor].state == HZB_TASK_PENDING)
      return &job->tasks[job->cursor++];
  job->release_requested = job->released < job->n_tasks;
  return NULL;
}
