#include "dispatch.h"

#include "gang.h"
#include "preemption.h"
#include "scheduling-class.h"
#include "search.h"

#include <math.h>
#include <string.h>

/* Bounds of one run, so that it does not hold up the main loop. What more there is to place goes into the next run, or
 * is placed by samples of machines instead of full searches. */
#define TASKS_PER_RUN 400u
#define TASKS_PER_RUN_LAGGING 50u
#define CANDIDATES_PER_RUN 20000u

/* From so many failures in a row on, a job is tried with one task at a time. */
#define MANY_FAILURES 4u

/* One run of the dispatcher. */
typedef struct
{
  HzbDispatch *dispatch;
  struct timespec now;
  double *cpus, *gpus;   /* by team: what tasks in run queues take that go before those still to be placed */
  guint tasks_left;      /* that this run may still place */
  guint candidates_left; /* that this run may still examine in full searches */
} Run;

HzbMachine *
hzb_dispatch_choose (HzbDispatch *dispatch, HzbJob *job, struct timespec now)
{
  g_auto (HzbSearch) search = { 0 };

  hzb_dispatch_index_usable (dispatch);
  hzb_search_begin (&search, dispatch, job, now);
  hzb_search_examine (&search, dispatch->lagging ? dispatch->sample : 0);
  return hzb_search_best (&search);
}

/* Expected seconds that the machine needs for the tasks of this class and higher ones in its run queues. */
static double
queued_s (const HzbMachine *machine, guint scheduling_class)
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
    g_hash_table_add (machine->expected, g_ref_string_acquire (task->job->spec->image));
  for (guint class_index = 0; class_index <= scheduling_class; class_index++)
    {
      hzb_estimate_shift (&machine->estimates[class_index], now);
      hzb_estimate_send (&machine->estimates[class_index], mean);
    }
}

/* ---- what waits ---- */

/* Some machine, in whichever shard, could take the job's tasks. */
static gboolean
has_machine (const HzbDispatch *dispatch, const HzbJobSpec *spec)
{
  for (guint i = 0; i < dispatch->machines->all->len; i++)
    {
      const HzbMachine *machine = dispatch->machines->all->pdata[i];
      if ((machine->state == HZB_MACHINE_LEASED || hzb_machine_usable (machine)) && hzb_machine_allowed (machine, spec))
        return TRUE;
    }
  return FALSE;
}

static void
clear_waiting (HzbDispatch *dispatch)
{
  gsize n_ahead = (gsize) dispatch->jobs->shard->n_teams * HZB_N_SCHEDULING_CLASSES;

  memset (dispatch->ahead_cpus, 0, n_ahead * sizeof (double));
  memset (dispatch->ahead_gpus, 0, n_ahead * sizeof (double));
  dispatch->gang_waits = FALSE;
  dispatch->least_cpus = INFINITY;
  for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    g_ptr_array_set_size (dispatch->waiting[class_index], 0);
}

/* Keeps the team's limit for the job's waiting tasks, see hzb_dispatch_team_may_use(). A job that cannot start now
 * keeps nothing: the team's other work would wait for it, and the job perhaps for a machine that is rented only once
 * that work is done. */
static void
keep_limit_for (HzbDispatch *dispatch, const HzbJob *job, struct timespec now)
{
  guint at, waiting;

  if (hzb_time_before (now, job->not_before) || job->failures || !has_machine (dispatch, job->spec))
    return;
  at = (guint) job->team * HZB_N_SCHEDULING_CLASSES + job->scheduling_class;
  waiting = job->start_overdue ? 1 : job->pending + job->queued;
  dispatch->ahead_cpus[at] += waiting * job->spec->cpus;
  dispatch->ahead_gpus[at] += waiting * job->spec->gpus;
}

/* Finds the jobs that wait. Returns: (transfer full) (element-type HzbJob): in the order of service */
static GPtrArray *
index_waiting_jobs (HzbDispatch *dispatch, struct timespec now)
{
  GPtrArray *order = g_ptr_array_new ();

  clear_waiting (dispatch);
  for (guint i = 0; i < dispatch->jobs->active->len; i++)
    {
      HzbJob *job = dispatch->jobs->active->pdata[i];
      if (job->state != HZB_JOB_ACCEPTED || job->awaits_verdict || !(job->pending || job->queued))
        continue;
      g_ptr_array_add (order, job);
      dispatch->gang_waits = dispatch->gang_waits || job->spec->kind == HZB_JOB_GANG;
      dispatch->least_cpus = MIN (dispatch->least_cpus, job->spec->cpus);
      keep_limit_for (dispatch, job, now);
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

/* ---- placing it ---- */

static gboolean
team_limit_allows_one_more (const Run *run, const HzbJob *job)
{
  return hzb_shard_fits (run->dispatch->jobs->shard, job->team, run->cpus[job->team] + job->spec->cpus,
                         run->gpus[job->team] + job->spec->gpus);
}

/* Takes one of the job's tasks and puts it into the run queue of the best machine that the search has found. A task
 * that no machine could start for a while stays where it is, so that more pressing work which comes later can still go
 * first, and so that no more tasks are released than machines could take. Returns: FALSE if no task was placed */
static gboolean
queue_one (const Run *run, HzbJob *job, HzbSearch *search)
{
  HzbMachine *machine = hzb_job_overdue_start_placed (job) ? NULL : hzb_search_best (search);
  HzbTask *task;

  if (!machine || queued_s (machine, job->scheduling_class) > run->dispatch->queue_ahead_s)
    return FALSE;
  task = hzb_job_take_pending (job, run->now);
  if (!task)
    return FALSE;
  put_into_run_queue (run->dispatch, task, machine, run->now);
  hzb_search_note_sent (search);
  return TRUE;
}

/* Puts tasks of one job into run queues: only as many as the team may use, since tasks that wait for their team's limit
 * should hold up no others. */
static void
queue_tasks (Run *run, HzbJob *job)
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
        hzb_search_examine (&search, dispatch->sample);
      if (!queue_one (run, job, &search))
        break;
      run->cpus[job->team] += job->spec->cpus;
      run->gpus[job->team] += job->spec->gpus;
      run->tasks_left--;
      if (job->failures >= MANY_FAILURES)
        break;
    }
}

static void
place_job (Run *run, HzbJob *job)
{
  if (!job->pending || hzb_time_before (run->now, job->not_before)
      || (job->failures >= MANY_FAILURES && job->placed + job->queued > 0))
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
  Run run = {
    dispatch, now, cpus, gpus, dispatch->lagging ? TASKS_PER_RUN_LAGGING : TASKS_PER_RUN, CANDIDATES_PER_RUN
  };

  for (guint i = 0; i < order->len && run.tasks_left; i++)
    {
      HzbJob *job = order->pdata[i];
      /* Tasks of this class and higher ones that are in run queues come before; lower work does not. */
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
