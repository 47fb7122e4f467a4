#include "dispatch.h"

#include "gang.h"
#include "preemption.h"
#include "rounding.h"
#include "scheduling-class.h"
#include "worker-protocol.h"

/* Bounds of one search for a task to move: machines sampled, and tasks examined in the run queue of each. */
#define MOVE_SAMPLE 32u
#define MOVE_TASKS_PER_QUEUE 8u

/* Tasks whose image the machine has go before others. */
typedef enum
{
  IMAGE_IS_THERE,
  ANY_IMAGE,
  N_IMAGE_PASSES
} ImagePass;

/* The answer to one heartbeat. */
typedef struct
{
  HzbDispatch *dispatch;
  HzbMachine *machine;
  struct timespec now;
  GArray *commands; /* HzbCommand */
} Answer;

/* The smallest waiting task could fit. */
static gboolean
has_some_room (const Answer *answer)
{
  return answer->machine->cpus + answer->dispatch->least_cpus <= answer->machine->type->cpus + HZB_ROUNDING;
}

static gboolean
may_start (const Answer *answer, const HzbTask *task)
{
  HzbDispatch *dispatch = answer->dispatch;

  if (!hzb_dispatch_pace_allows (dispatch, task->job)
      || (dispatch->pacing && hzb_start_pacing_answer_full (dispatch->pacing)))
    return FALSE;
  return task->job->state == HZB_JOB_ACCEPTED && !task->job->awaits_verdict
         && hzb_dispatch_team_may_use (dispatch, task->job) && hzb_zone_allowed (task->job, answer->machine);
}

static void
start (const Answer *answer, HzbTask *task)
{
  HzbJobs *jobs = answer->dispatch->jobs;
  HzbJob *job = task->job;
  HzbCommand command = { HZB_COMMAND_START, job->uid, task->index, 0, 0 };

  if (task->state == HZB_TASK_QUEUED && task->machine != answer->machine)
    hzb_task_set_state (jobs, task, HZB_TASK_PENDING,
                        NULL); /* It moves: no start command was sent to the other machine. */
  if (task->state == HZB_TASK_PENDING)
    {
      g_queue_remove (&job->retry, task);
      hzb_task_set_state (jobs, task, HZB_TASK_QUEUED, answer->machine);
    }
  if (job->spec->kind != HZB_JOB_GANG)
    task->attempt = ++job->next_attempt;
  command.attempt = task->attempt;
  if (hzb_task_set_state (jobs, task, HZB_TASK_STARTING, answer->machine))
    {
      hzb_dispatch_note_started (answer->dispatch, job);
      g_array_append_val (answer->commands, command);
    }
}

/* ---- reservations of gangs ---- */

static HzbTask *
next_reserved (const HzbMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      HzbTask *task = machine->tasks->pdata[i];
      /* The reservations of a gang that was cancelled may not have been given up yet. */
      if (task->state == HZB_TASK_RESERVED && task->job->state == HZB_JOB_ACCEPTED)
        return task;
    }
  return NULL;
}

/* They come first: their room has been taken since it was reserved. */
static void
start_reserved (const Answer *answer)
{
  HzbTask *task;

  while ((task = next_reserved (answer->machine)))
    start (answer, task);
}

/* ---- the machine's own run queue ---- */

/* Returns: FALSE if a task does not fit yet. First come, first served: no task of this class or below passes it. */
static gboolean
start_from_run_queue (const Answer *answer, guint scheduling_class)
{
  for (GList *l = answer->machine->run_queues[scheduling_class].head; l;)
    {
      HzbTask *task = l->data;
      l = l->next; /* start() takes the task off the queue */
      if (!may_start (answer, task))
        continue;
      if (!hzb_machine_has_room (answer->machine, task->job->spec))
        return FALSE;
      start (answer, task);
    }
  return TRUE;
}

/* ---- tasks in other machines' run queues ---- */

/* A replica starts sooner where its image is, even if that machine sends its heartbeat later. */
static gboolean
replica_waits_for_image (const Answer *answer, const HzbTask *task, const HzbMachine *other)
{
  const HzbJobSpec *spec = task->job->spec;
  return spec->kind == HZB_JOB_SERVICE && g_hash_table_contains (other->images, spec->image)
         && hzb_time_between (task->since, answer->now) < 2 * answer->dispatch->settings->heartbeat_interval_s;
}

static gboolean
may_move (const Answer *answer, const HzbTask *task, const HzbMachine *from, ImagePass pass)
{
  const HzbMachine *machine = answer->machine;
  const HzbJobSpec *spec = task->job->spec;

  if ((pass == IMAGE_IS_THERE || replica_waits_for_image (answer, task, from))
      && !g_hash_table_contains (machine->images, spec->image))
    return FALSE;
  return hzb_machine_allowed (machine, spec) && hzb_machine_has_room (machine, spec)
         && !hzb_machine_avoids (machine, task->job, answer->now) && may_start (answer, task);
}

static HzbTask *
first_that_may_move (const Answer *answer, HzbMachine *from, guint scheduling_class, ImagePass pass)
{
  guint examined = 0;

  for (GList *l = from->run_queues[scheduling_class].head; l && examined < MOVE_TASKS_PER_QUEUE;
       l = l->next, examined++)
    if (may_move (answer, l->data, from, pass))
      return l->data;
  return NULL;
}

/* The task that the machine should take over from another's run queue: of a sample, that of the most loaded. */
static HzbTask *
find_task_to_move (const Answer *answer, guint scheduling_class, ImagePass pass)
{
  HzbDispatch *dispatch = answer->dispatch;
  GPtrArray *candidates = dispatch->machines_with_queues[scheduling_class];
  guint n = candidates->len, most = MIN (n, dispatch->lagging ? dispatch->sample : MOVE_SAMPLE);
  guint first = most < n ? (guint) g_rand_int_range (dispatch->rand, 0, (gint32) n) : 0;
  guint step = most ? n / most : 1;
  HzbTask *best = NULL;
  double best_workload = -1;

  for (guint i = 0; i < most; i++)
    {
      HzbMachine *other = candidates->pdata[(first + i * step) % n];
      HzbTask *task;
      double workload;
      if (other == answer->machine || !other->run_queues[scheduling_class].length)
        continue;
      dispatch->examined++;
      workload = hzb_estimate_mean (&other->estimates[scheduling_class]);
      if (workload <= best_workload)
        continue;
      task = first_that_may_move (answer, other, scheduling_class, pass);
      if (!task)
        continue;
      best = task;
      best_workload = workload;
    }
  return best;
}

static void
start_moved (const Answer *answer, guint scheduling_class)
{
  const GPtrArray *candidates = answer->dispatch->machines_with_queues[scheduling_class];
  HzbTask *task;

  for (ImagePass pass = IMAGE_IS_THERE; pass < N_IMAGE_PASSES && candidates->len; pass++)
    while (has_some_room (answer) && (task = find_task_to_move (answer, scheduling_class, pass)))
      start (answer, task);
}

/* ---- tasks in no run queue ---- */

/* The list of waiting jobs is that of the last run, so what may have changed since is examined here. */
static gboolean
may_take_waiting (const Answer *answer, const HzbJob *job, guint scheduling_class, ImagePass pass)
{
  const HzbMachine *machine = answer->machine;

  return job->pending && job->state == HZB_JOB_ACCEPTED && job->scheduling_class == scheduling_class && !job->failures
         && hzb_machine_has_room (machine, job->spec) && hzb_machine_allowed (machine, job->spec)
         && !hzb_time_before (answer->now, job->not_before) && !hzb_machine_avoids (machine, job, answer->now)
         && (pass == ANY_IMAGE || g_hash_table_contains (machine->images, job->spec->image))
         && hzb_dispatch_team_may_use (answer->dispatch, job);
}

static void
start_waiting_of_job (const Answer *answer, HzbJob *job)
{
  HzbTask *task;

  while (!hzb_job_overdue_start_placed (job) && hzb_machine_has_room (answer->machine, job->spec)
         && (task = hzb_job_take_pending (job, answer->now)))
    {
      if (!may_start (answer, task))
        {
          g_queue_push_head (&job->retry, task);
          return;
        }
      start (answer, task);
    }
}

static void
start_waiting (const Answer *answer, guint scheduling_class)
{
  GPtrArray *waiting = answer->dispatch->waiting[scheduling_class];

  for (ImagePass pass = IMAGE_IS_THERE; pass < N_IMAGE_PASSES; pass++)
    for (guint i = 0; i < waiting->len && has_some_room (answer); i++)
      if (may_take_waiting (answer, waiting->pdata[i], scheduling_class, pass))
        start_waiting_of_job (answer, waiting->pdata[i]);
}

/* Returns: FALSE if lower classes must not start anything on the machine now */
static gboolean
start_class (const Answer *answer, guint scheduling_class)
{
  if (hzb_gang_blocks_machine (answer->dispatch, answer->machine, scheduling_class, answer->now)
      || !start_from_run_queue (answer, scheduling_class))
    return FALSE;
  start_moved (answer, scheduling_class);
  start_waiting (answer, scheduling_class);
  return TRUE;
}

void
hzb_dispatch_start_tasks (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands)
{
  Answer answer = { dispatch, machine, now, commands };

  if (!hzb_machine_usable (machine))
    return;
  if (dispatch->pacing)
    hzb_start_pacing_begin_answer (dispatch->pacing);
  start_reserved (&answer);
  if (dispatch->generation != dispatch->machines->generation)
    hzb_dispatch_index_queues (dispatch); /* Machines of the index may have been freed. */
  for (guint next = HZB_N_SCHEDULING_CLASSES; next > 0 && has_some_room (&answer); next--)
    if (!start_class (&answer, next - 1))
      break;
  hzb_preempt_on_machine (dispatch, machine, now, commands);
}
