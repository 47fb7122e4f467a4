#include "dispatch.h"

#include "gang.h"
#include "preemption.h"
#include "rounding.h"
#include "scheduling-class.h"
#include "worker-protocol.h"

/* Bounds of one search for a task to move: the number of machines sampled, and of tasks examined in the run queue of
 * each. */
#define MOVE_SAMPLE 32u
#define MOVE_TASKS_PER_QUEUE 8u

/* The passes over candidate tasks: tasks whose image the machine has are started before others. */
typedef enum
{
  IMAGE_PRESENT,
  ANY_IMAGE,
  N_IMAGE_PASSES
} ImagePass;

/* The response to one heartbeat. */
typedef struct
{
  HzbDispatch *dispatch;
  HzbMachine *machine;
  struct timespec now;
  GArray *commands; /* (element-type HzbCommand) not owned */
} HeartbeatResponse;

/* Whether the machine has free CPUs for the smallest waiting task. */
static gboolean
fits_smallest_waiting_task (const HeartbeatResponse *response)
{
  return response->machine->cpus + response->dispatch->min_waiting_cpus
         <= response->machine->type->cpus + HZB_AMOUNT_TOLERANCE;
}

static gboolean
may_start (const HeartbeatResponse *response, const HzbTask *task)
{
  HzbDispatch *dispatch = response->dispatch;

  if (!hzb_dispatch_pacing_allows (dispatch, task->job)
      || (dispatch->pacing && hzb_start_pacing_response_full (dispatch->pacing)))
    return FALSE;
  return task->job->state == HZB_JOB_ACCEPTED && !task->job->awaits_verdict
         && hzb_dispatch_team_limit_allows (dispatch, task->job)
         && hzb_machine_zone_is_eligible (task->job, response->machine);
}

static void
start_task (const HeartbeatResponse *response, HzbTask *task)
{
  HzbJobs *jobs = response->dispatch->jobs;
  HzbJob *job = task->job;
  HzbCommand command = { HZB_COMMAND_START, job->uid, task->index, 0, 0 };

  if (task->state == HZB_TASK_QUEUED && task->machine != response->machine)
    hzb_task_set_state (jobs, task, HZB_TASK_PENDING,
                        NULL); /* The task moves; no start command was sent to the other machine. */
  if (task->state == HZB_TASK_PENDING)
    hzb_task_set_state (jobs, task, HZB_TASK_QUEUED, response->machine);
  if (job->spec->kind != HZB_JOB_GANG)
    task->attempt = ++job->last_attempt;
  command.attempt = task->attempt;
  if (hzb_task_set_state (jobs, task, HZB_TASK_STARTING, response->machine))
    {
      hzb_dispatch_note_started (response->dispatch, job);
      g_array_append_val (response->commands, command);
    }
}

/* ---- starts that the worker does not list ---- */

/* Repeats the start commands of tasks that the heartbeat does not list. The worker ignores the command if it has the
 * attempt. */
static void
repeat_starts (const HeartbeatResponse *response)
{
  const HzbMachine *machine = response->machine;

  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      const HzbCommand command = { HZB_COMMAND_START, task->job->uid, task->index, task->attempt, 0 };
      if (task->state == HZB_TASK_STARTING && task->last_heartbeat_round != machine->heartbeat_count && !task->stopping
          && task->job->state == HZB_JOB_ACCEPTED && !task->job->awaits_verdict)
        g_array_append_val (response->commands, command);
    }
}

/* ---- gang reservations ---- */

static HzbTask *
next_reserved_task (const HzbMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      HzbTask *task = machine->tasks->pdata[i];
      /* Reservations of a cancelled gang may not have been released yet. */
      if (task->state == HZB_TASK_RESERVED && task->job->state == HZB_JOB_ACCEPTED)
        return task;
    }
  return NULL;
}

/* Starts the reserved tasks, without a check for room: each has taken its resources of the machine since it was
 * reserved. */
static void
start_reserved_tasks (const HeartbeatResponse *response)
{
  HzbTask *task;

  while ((task = next_reserved_task (response->machine)))
    start_task (response, task);
}

/* ---- the machine's own run queue ---- */

/* Starts tasks of the class in FIFO order. Returns: FALSE if a task does not fit yet: no later task of this class and
 * no task of a lower class may start before it */
static gboolean
start_queued_tasks (const HeartbeatResponse *response, guint scheduling_class)
{
  for (GList *l = response->machine->run_queues[scheduling_class].head; l;)
    {
      HzbTask *task = l->data;
      l = l->next; /* start_task() removes the task from the queue */
      if (!may_start (response, task))
        continue;
      if (!hzb_machine_has_room (response->machine, task->job->spec))
        return FALSE;
      start_task (response, task);
    }
  return TRUE;
}

/* ---- tasks in other machines' run queues ---- */

/* Whether the task is a replica that should stay queued on a machine that has its image: it starts sooner there, even
 * if that machine sends its heartbeat later. The task waits for at most two heartbeat intervals. */
static gboolean
replica_waits_for_image (const HeartbeatResponse *response, const HzbTask *task, const HzbMachine *other)
{
  const HzbJobSpec *spec = task->job->spec;
  return spec->kind == HZB_JOB_SERVICE && g_hash_table_contains (other->images, spec->image)
         && hzb_time_between (task->since, response->now) < 2 * response->dispatch->settings->heartbeat_interval_s;
}

static gboolean
may_move (const HeartbeatResponse *response, const HzbTask *task, const HzbMachine *from, ImagePass pass)
{
  const HzbMachine *machine = response->machine;
  const HzbJobSpec *spec = task->job->spec;

  if ((pass == IMAGE_PRESENT || replica_waits_for_image (response, task, from))
      && !g_hash_table_contains (machine->images, spec->image))
    return FALSE;
  return hzb_machine_is_eligible (machine, spec) && hzb_machine_has_room (machine, spec)
         && !hzb_machine_avoids_job (machine, task->job, response->now) && may_start (response, task);
}

static HzbTask *
first_movable_task (const HeartbeatResponse *response, HzbMachine *from, guint scheduling_class, ImagePass pass)
{
  guint examined = 0;

  for (GList *l = from->run_queues[scheduling_class].head; l && examined < MOVE_TASKS_PER_QUEUE;
       l = l->next, examined++)
    if (may_move (response, l->data, from, pass))
      return l->data;
  return NULL;
}

/* Finds a task to move to this machine from the run queue of the most loaded machine of a sample. */
static HzbTask *
find_task_to_move (const HeartbeatResponse *response, guint scheduling_class, ImagePass pass)
{
  HzbDispatch *dispatch = response->dispatch;
  GPtrArray *candidates = dispatch->machines_with_queues[scheduling_class];
  guint n = candidates->len, n_sampled = MIN (n, dispatch->lagging ? dispatch->sample_size : MOVE_SAMPLE);
  guint first = n_sampled < n ? (guint) g_rand_int_range (dispatch->rand, 0, (gint32) n) : 0;
  guint step = n_sampled ? n / n_sampled : 1;
  HzbTask *best = NULL;
  double best_workload = -1;

  for (guint i = 0; i < n_sampled; i++)
    {
      HzbMachine *other = candidates->pdata[(first + i * step) % n];
      HzbTask *task;
      double workload;
      if (other == response->machine || !other->run_queues[scheduling_class].length)
        continue;
      dispatch->n_examined++;
      workload = hzb_estimate_mean (&other->estimates[scheduling_class]);
      if (workload <= best_workload)
        continue;
      task = first_movable_task (response, other, scheduling_class, pass);
      if (!task)
        continue;
      best = task;
      best_workload = workload;
    }
  return best;
}

static void
start_moved_tasks (const HeartbeatResponse *response, guint scheduling_class)
{
  const GPtrArray *candidates = response->dispatch->machines_with_queues[scheduling_class];
  HzbTask *task;

  for (ImagePass pass = IMAGE_PRESENT; pass < N_IMAGE_PASSES && candidates->len; pass++)
    while (fits_smallest_waiting_task (response) && (task = find_task_to_move (response, scheduling_class, pass)))
      start_task (response, task);
}

/* ---- tasks in no run queue ---- */

/* The index of waiting jobs dates from the last run, so conditions that may have changed since are checked here. */
static gboolean
may_start_waiting_job (const HeartbeatResponse *response, const HzbJob *job, guint scheduling_class, ImagePass pass)
{
  const HzbMachine *machine = response->machine;

  return job->pending && job->state == HZB_JOB_ACCEPTED && job->scheduling_class == scheduling_class && !job->failures
         && hzb_machine_has_room (machine, job->spec) && hzb_machine_is_eligible (machine, job->spec)
         && !hzb_time_before (response->now, job->not_before) && !hzb_machine_avoids_job (machine, job, response->now)
         && (pass == ANY_IMAGE || g_hash_table_contains (machine->images, job->spec->image))
         && hzb_dispatch_team_limit_allows (response->dispatch, job);
}

static void
start_waiting_tasks_of_job (const HeartbeatResponse *response, HzbJob *job)
{
  HzbTask *task;

  while (!hzb_job_overdue_start_placed (job) && hzb_machine_has_room (response->machine, job->spec)
         && (task = hzb_job_take_pending (job, response->now)))
    {
      if (!may_start (response, task))
        {
          hzb_job_put_back (job, task);
          return;
        }
      start_task (response, task);
    }
}

static void
start_waiting_tasks (const HeartbeatResponse *response, guint scheduling_class)
{
  GPtrArray *waiting = response->dispatch->waiting[scheduling_class];

  for (ImagePass pass = IMAGE_PRESENT; pass < N_IMAGE_PASSES; pass++)
    for (guint i = 0; i < waiting->len && fits_smallest_waiting_task (response); i++)
      if (may_start_waiting_job (response, waiting->pdata[i], scheduling_class, pass))
        start_waiting_tasks_of_job (response, waiting->pdata[i]);
}

/* Returns: FALSE if no task of a lower class may start on the machine now */
static gboolean
start_tasks_of_class (const HeartbeatResponse *response, guint scheduling_class)
{
  if (hzb_gang_blocks_machine (response->dispatch, response->machine, scheduling_class, response->now)
      || !start_queued_tasks (response, scheduling_class))
    return FALSE;
  start_moved_tasks (response, scheduling_class);
  start_waiting_tasks (response, scheduling_class);
  return TRUE;
}

void
hzb_dispatch_start_tasks (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands)
{
  HeartbeatResponse response = { dispatch, machine, now, commands };

  if (!hzb_machine_is_usable (machine))
    return;
  if (dispatch->pacing)
    hzb_start_pacing_begin_response (dispatch->pacing);
  repeat_starts (&response);
  start_reserved_tasks (&response);
  if (dispatch->generation != dispatch->machines->generation)
    hzb_dispatch_index_queues (dispatch); /* Machines in the index may have been freed. */
  for (guint next = HZB_N_SCHEDULING_CLASSES; next > 0 && fits_smallest_waiting_task (&response); next--)
    if (!start_tasks_of_class (&response, next - 1))
      break;
  hzb_preempt_on_machine (dispatch, machine, now, commands);
}
