#include "dispatch.h"

#include "gang.h"
#include "preemption.h"
#include "scheduling-class.h"
#include "search.h"

#include <math.h>
#include <string.h>

/* Bounds of one run, so that it does not block the main loop. Tasks beyond the first two bounds wait for the next run;
 * beyond the third, samples of machines replace full searches. */
#define TASKS_PER_RUN 400u
#define TASKS_PER_RUN_LAGGING 50u
#define CANDIDATES_PER_RUN 20000u

/* After this many consecutive failures, only one task of the job is queued or placed at a time. */
#define SINGLE_TASK_MIN_FAILURES 4u

/* The state of one run of the dispatcher. */
typedef struct
{
  HzbDispatch *dispatch;
  struct timespec now;
  double *cpus, *gpus;   /* by team: resources of queued tasks that are served before the next task to be placed */
  guint tasks_left;      /* number of tasks that this run may still place */
  guint candidates_left; /* number of machines that this run may still examine in full searches */
} DispatchRun;

HzbMachine *
hzb_dispatch_choose_machine (HzbDispatch *dispatch, HzbJob *job, struct timespec now)
{
  g_auto (HzbSearch) search = { 0 };

  hzb_dispatch_index_usable (dispatch);
  hzb_search_begin (&search, dispatch, job, now);
  hzb_search_examine (&search, dispatch->lagging ? dispatch->sample_size : 0);
  return hzb_search_best (&search);
}

/* Expected seconds of work of the tasks of this and higher classes in the run queues of the machine. */
static double
queued_work_s (const HzbMachine *machine, guint scheduling_class)
{
  double work = 0;

  for (guint class_index = scheduling_class; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    for (GList *l = machine->run_queues[class_index].head; l; l = l->next)
      {
        const HzbTask *task = l->data;
        work += hzb_job_mean_s (task->job) / MAX (1, hzb_machine_type_speed (machine->type, task->job->spec));
      }
  return work;
}

static void
put_into_run_queue (HzbDispatch *dispatch, HzbTask *task, HzbMachine *machine, struct timespec now)
{
  guint scheduling_class = task->job->scheduling_class;
  double mean = hzb_job_mean_s (task->job) / MAX (1, hzb_machine_type_speed (machine->type, task->job->spec));

  hzb_task_set_state (dispatch->jobs, task, HZB_TASK_QUEUED, machine);
  if (!g_hash_table_contains (machine->images, task->job->spec->image))
    g_hash_table_add (machine->expected_images, g_ref_string_acquire (task->job->spec->image));
  for (guint class_index = 0; class_index <= scheduling_class; class_index++)
    {
      hzb_estimate_shift (&machine->estimates[class_index], now);
      hzb_estimate_add_task (&machine->estimates[class_index], mean);
    }
}

/* ---- index of waiting jobs ---- */

/* Whether any machine, in this shard or a leased one, is eligible for the job. */
static gboolean
has_eligible_machine (const HzbDispatch *dispatch, const HzbJobSpec *spec)
{
  for (guint i = 0; i < dispatch->machines->all->len; i++)
    {
      const HzbMachine *machine = dispatch->machines->all->pdata[i];
      if ((machine->state == HZB_MACHINE_LEASED || hzb_machine_is_usable (machine))
          && hzb_machine_is_eligible (machine, spec))
        return TRUE;
    }
  return FALSE;
}

static void
clear_waiting_index (HzbDispatch *dispatch)
{
  gsize n_entries = (gsize) dispatch->jobs->shard->n_teams * HZB_N_SCHEDULING_CLASSES;

  memset (dispatch->waiting_cpus_by_class, 0, n_entries * sizeof (double));
  memset (dispatch->waiting_gpus_by_class, 0, n_entries * sizeof (double));
  dispatch->gang_waits = FALSE;
  dispatch->min_waiting_cpus = INFINITY;
  for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    g_ptr_array_set_size (dispatch->waiting[class_index], 0);
}

/* Reserves resources within the team's limit for the job's waiting tasks, see hzb_dispatch_team_limit_allows(). Nothing
 * is reserved for a job that cannot start now: the team's other jobs would wait for that job, which may itself wait for
 * a machine that is rented only after those jobs have ended. */
static void
reserve_team_limit (HzbDispatch *dispatch, const HzbJob *job, struct timespec now)
{
  guint index, waiting;

  if (hzb_time_before (now, job->not_before) || job->failures || !has_eligible_machine (dispatch, job->spec))
    return;
  index = (guint) job->team * HZB_N_SCHEDULING_CLASSES + job->scheduling_class;
  waiting = job->start_overdue ? 1 : job->pending + job->queued;
  dispatch->waiting_cpus_by_class[index] += waiting * job->spec->cpus;
  dispatch->waiting_gpus_by_class[index] += waiting * job->spec->gpus;
}

/* Rebuilds the index of waiting jobs. Returns: (transfer full) (element-type HzbJob): all of them, in the order of
 * service */
static GPtrArray *
index_waiting_jobs (HzbDispatch *dispatch, struct timespec now)
{
  GPtrArray *order = g_ptr_array_new ();

  clear_waiting_index (dispatch);
  for (guint i = 0; i < dispatch->jobs->active->len; i++)
    {
      HzbJob *job = dispatch->jobs->active->pdata[i];
      if (job->state != HZB_JOB_ACCEPTED || job->awaits_verdict || !(job->pending || job->queued))
        continue;
      g_ptr_array_add (order, job);
      if (job->spec->kind == HZB_JOB_GANG)
        {
          dispatch->gang_waits = TRUE;
          hzb_gang_update_blocking (dispatch, job, now);
        }
      dispatch->min_waiting_cpus = MIN (dispatch->min_waiting_cpus, job->spec->cpus);
      reserve_team_limit (dispatch, job, now);
    }
  g_ptr_array_sort (order, hzb_scheduling_classes_compare);
  for (guint i = 0; i < order->len; i++)
    {
      HzbJob *job = order->pdata[i];
      if (job->spec->kind != HZB_JOB_GANG)
        g_ptr_array_add (dispatch->waiting[job->scheduling_class], job);
    }
  return order;
}

/* ---- placement ---- */

static gboolean
team_limit_allows_one_more (const DispatchRun *run, const HzbJob *job)
{
  return hzb_shard_fits (run->dispatch->jobs->shard, job->team, run->cpus[job->team] + job->spec->cpus,
                         run->gpus[job->team] + job->spec->gpus);
}

/* Puts one of the job's pending tasks into the run queue of the best machine of the search. If that run queue is
 * already filled far enough ahead, the task stays pending, so that more urgent work that arrives later can still go
 * first, and so that no more tasks are released than machines could take. Returns: FALSE if no task was queued */
static gboolean
queue_next_task (const DispatchRun *run, HzbJob *job, HzbSearch *search)
{
  HzbMachine *machine = hzb_job_overdue_start_placed (job) ? NULL : hzb_search_best (search);
  HzbTask *task;

  if (!machine || queued_work_s (machine, job->scheduling_class) > run->dispatch->queue_ahead_s)
    return FALSE;
  task = hzb_job_take_pending (job, run->now);
  if (!task)
    return FALSE;
  put_into_run_queue (run->dispatch, task, machine, run->now);
  hzb_search_note_queued (search);
  return TRUE;
}

/* Puts tasks of one job into run queues, but only as many as the team's limit allows, so that tasks that wait for the
 * limit do not delay other tasks in the run queues. */
static void
queue_tasks (DispatchRun *run, HzbJob *job)
{
  HzbDispatch *dispatch = run->dispatch;
  g_auto (HzbSearch) search = { 0 };
  gboolean sampled = dispatch->lagging || run->candidates_left < dispatch->usable->len;

  hzb_search_begin (&search, dispatch, job, run->now);
  if (!sampled)
    {
      run->candidates_left -= dispatch->usable->len;
      hzb_search_examine (&search, 0);
    }
  while (run->tasks_left && team_limit_allows_one_more (run, job))
    {
      if (sampled)
        hzb_search_examine (&search, dispatch->sample_size);
      if (!queue_next_task (run, job, &search))
        break;
      run->cpus[job->team] += job->spec->cpus;
      run->gpus[job->team] += job->spec->gpus;
      run->tasks_left--;
      if (job->failures >= SINGLE_TASK_MIN_FAILURES)
        break;
    }
}

static void
place_job (DispatchRun *run, HzbJob *job)
{
  if (!job->pending || hzb_time_before (run->now, job->not_before)
      || (job->failures >= SINGLE_TASK_MIN_FAILURES && job->placed + job->queued > 0))
    return;
  if (job->spec->kind == HZB_JOB_GANG)
    hzb_gang_place (run->dispatch, job, run->now);
  else if (team_limit_allows_one_more (run, job))
    queue_tasks (run, job);
  else if (job->spec->priority >= HZB_PRIORITY_HIGH)
    hzb_preempt_within_team (run->dispatch, job, run->now);
}

static void
place_in_order (HzbDispatch *dispatch, const GPtrArray *order, struct timespec now)
{
  guint n_teams = dispatch->jobs->shard->n_teams;
  g_autofree double *cpus = g_new0 (double, n_teams), *gpus = g_new0 (double, n_teams);
  DispatchRun run = {
    .dispatch = dispatch,
    .now = now,
    .cpus = cpus,
    .gpus = gpus,
    .tasks_left = dispatch->lagging ? TASKS_PER_RUN_LAGGING : TASKS_PER_RUN,
    .candidates_left = CANDIDATES_PER_RUN,
  };

  for (guint i = 0; i < order->len && run.tasks_left; i++)
    {
      HzbJob *job = order->pdata[i];
      /* Queued tasks of this class and of higher classes are served first; those of lower classes are not counted. */
      cpus[job->team] += job->queued * job->spec->cpus;
      gpus[job->team] += job->queued * job->spec->gpus;
      place_job (&run, job);
    }
}

static void
refresh_stale_estimates (HzbDispatch *dispatch, struct timespec now)
{
  for (guint i = 0; i < dispatch->usable->len; i++)
    {
      HzbMachine *machine = dispatch->usable->pdata[i];
      if (machine->estimate_stale)
        hzb_dispatch_reset_estimates (dispatch, machine, now);
    }
}

void
hzb_dispatch_run (HzbDispatch *dispatch, struct timespec now)
{
  g_autoptr (GPtrArray) order = NULL;

  hzb_scheduling_classes_update (dispatch->jobs, dispatch->settings, now);
  hzb_dispatch_index_usable (dispatch);
  refresh_stale_estimates (dispatch, now);
  order = index_waiting_jobs (dispatch, now);
  place_in_order (dispatch, order, now);
  hzb_dispatch_index_queues (dispatch);
}
