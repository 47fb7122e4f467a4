#include "dispatch-state.h"

#define DEFAULT_H 0.5
#define DEFAULT_QUEUE_AHEAD_S 8
#define DEFAULT_SAMPLE 8

/* When the controller counts as overloaded. The two thresholds differ so that it does not go back and forth. */
#define LAG_SMOOTHING 0.1
#define MOST_LAG_S 5 /* of one timer */
#define LAGGING_ABOVE_S 0.25
#define LAGGING_UNTIL_BELOW_S 0.05

/* Part of the work of lower classes that counts for a task, which could have that work stopped. */
#define PREEMPTIBLE_PART 0.3

HzbDispatch *
hzb_dispatch_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings, GRand *rand)
{
  HzbDispatch *dispatch = g_new0 (HzbDispatch, 1);
  guint n_ahead = settings->teams->len * HZB_N_SCHEDULING_CLASSES;

  dispatch->jobs = jobs;
  dispatch->machines = machines;
  dispatch->settings = settings;
  dispatch->rand = rand;
  dispatch->ahead_cpus = g_new0 (double, n_ahead);
  dispatch->ahead_gpus = g_new0 (double, n_ahead);
  dispatch->h = DEFAULT_H;
  dispatch->queue_ahead_s = DEFAULT_QUEUE_AHEAD_S;
  dispatch->sample = DEFAULT_SAMPLE;
  dispatch->usable = g_ptr_array_new ();
  for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    {
      dispatch->waiting[class_index] = g_ptr_array_new ();
      dispatch->machines_with_queues[class_index] = g_ptr_array_new ();
    }
  return dispatch;
}

void
hzb_dispatch_free (HzbDispatch *dispatch)
{
  for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    {
      g_ptr_array_unref (dispatch->waiting[class_index]);
      g_ptr_array_unref (dispatch->machines_with_queues[class_index]);
    }
  g_ptr_array_unref (dispatch->usable);
  g_free (dispatch->ahead_cpus);
  g_free (dispatch->ahead_gpus);
  g_free (dispatch);
}

/* ---- indexes ---- */

void
hzb_dispatch_clear_indexes (HzbDispatch *dispatch)
{
  g_ptr_array_set_size (dispatch->usable, 0);
  for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    {
      g_ptr_array_set_size (dispatch->waiting[class_index], 0);
      g_ptr_array_set_size (dispatch->machines_with_queues[class_index], 0);
    }
}

void
hzb_dispatch_index_usable (HzbDispatch *dispatch)
{
  GPtrArray *all = dispatch->machines->all;

  g_ptr_array_set_size (dispatch->usable, 0);
  for (guint i = 0; i < all->len; i++)
    if (hzb_machine_usable (all->pdata[i]))
      g_ptr_array_add (dispatch->usable, all->pdata[i]);
}

void
hzb_dispatch_index_queues (HzbDispatch *dispatch)
{
  GPtrArray *all = dispatch->machines->all;

  for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    g_ptr_array_set_size (dispatch->machines_with_queues[class_index], 0);
  for (guint i = 0; i < all->len; i++)
    {
      HzbMachine *machine = all->pdata[i];
      for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
        if (machine->run_queues[class_index].length)
          g_ptr_array_add (dispatch->machines_with_queues[class_index], machine);
    }
  dispatch->generation = dispatch->machines->generation;
}

/* ---- load of this controller ---- */

void
hzb_dispatch_note_lag (HzbDispatch *dispatch, double late_s)
{
  gboolean lagging;

  dispatch->lag_s += (CLAMP (late_s, 0, MOST_LAG_S) - dispatch->lag_s) * LAG_SMOOTHING;
  lagging = dispatch->lag_s > (dispatch->lagging ? LAGGING_UNTIL_BELOW_S : LAGGING_ABOVE_S);
  if (lagging != dispatch->lagging)
    g_message (
        "dispatch: timers are %.2f s late, %s", dispatch->lag_s,
        lagging
            ? "so machines are sampled instead of searched; if this stays, this controller needs more processor time"
            : "so all machines are searched again");
  dispatch->lagging = lagging;
}

/* ---- estimates ---- */

/* The images that tasks on the machine will bring, but that its worker does not have yet. */
static void
reset_expected_images (HzbMachine *machine)
{
  g_hash_table_remove_all (machine->expected);
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (!g_hash_table_contains (machine->images, task->job->spec->image))
        g_hash_table_add (machine->expected, g_ref_string_acquire (task->job->spec->image));
    }
}

/* Adds, for each scheduling class, the seconds of work on the machine that a new task of that class waits behind. */
static void
add_work_on_machine (const HzbMachine *machine, double work_s[HZB_N_SCHEDULING_CLASSES], struct timespec now)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      guint v = MAX (1, hzb_machine_speed (machine, task->job->spec));
      double work = hzb_task_remaining_s (task, now) / v;
      for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
        work_s[class_index] += class_index <= task->job->scheduling_class ? work : work * PREEMPTIBLE_PART;
    }
}

/* The same of the work in its run queues, where no higher class waits for a lower one. */
static void
add_work_in_queues (const HzbMachine *machine, double work_s[HZB_N_SCHEDULING_CLASSES])
{
  for (guint scheduling_class = 0; scheduling_class < HZB_N_SCHEDULING_CLASSES; scheduling_class++)
    for (GList *l = machine->run_queues[scheduling_class].head; l; l = l->next)
      {
        const HzbTask *task = l->data;
        double work = hzb_job_mean_s (task->job) / MAX (1, hzb_machine_type_speed (machine->type, task->job->spec));
        for (guint class_index = 0; class_index <= scheduling_class; class_index++)
          work_s[class_index] += work;
      }
}

void
hzb_dispatch_reset_estimates (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now)
{
  double work_s[HZB_N_SCHEDULING_CLASSES] = { 0 };

  if (!machine->type)
    return;
  reset_expected_images (machine);
  add_work_on_machine (machine, work_s, now);
  add_work_in_queues (machine, work_s);
  for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    hzb_estimate_reset (&machine->estimates[class_index], now, work_s[class_index]);
  machine->estimate_stale = FALSE;
}

/* ---- what a team may use, and how fast ---- */

/* A team's limit must not be filled, as it frees up, by whichever machine sends a heartbeat first: what the team's
 * higher classes wait for is kept for them. */
gboolean
hzb_dispatch_team_may_use (HzbDispatch *dispatch, const HzbJob *job)
{
  const double *cpus = dispatch->ahead_cpus + job->team * HZB_N_SCHEDULING_CLASSES;
  const double *gpus = dispatch->ahead_gpus + job->team * HZB_N_SCHEDULING_CLASSES;
  double kept_cpus = 0, kept_gpus = 0;

  for (guint class_index = job->scheduling_class + 1; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    {
      kept_cpus += cpus[class_index];
      kept_gpus += gpus[class_index];
    }
  return hzb_shard_fits (dispatch->jobs->shard, job->team, job->spec->cpus + kept_cpus, job->spec->gpus + kept_gpus);
}

void
hzb_dispatch_note_started (HzbDispatch *dispatch, const HzbJob *job)
{
  guint at = (guint) job->team * HZB_N_SCHEDULING_CLASSES + job->scheduling_class;

  dispatch->ahead_cpus[at] = MAX (0, dispatch->ahead_cpus[at] - job->spec->cpus);
  dispatch->ahead_gpus[at] = MAX (0, dispatch->ahead_gpus[at] - job->spec->gpus);
  if (dispatch->pacing)
    hzb_start_pacing_take (dispatch->pacing);
}

static HzbStartPacingClass
pacing_class_of (guint scheduling_class)
{
  if (scheduling_class >= HZB_SCHEDULING_CLASS_URGENT)
    return HZB_START_PACING_URGENT;
  if (scheduling_class >= HZB_SCHEDULING_CLASS_GUARANTEED_IDLE)
    return HZB_START_PACING_GUARANTEED;
  return HZB_START_PACING_OTHER;
}

gboolean
hzb_dispatch_pace_allows (const HzbDispatch *dispatch, const HzbJob *job)
{
  return !dispatch->pacing || hzb_start_pacing_allows (dispatch->pacing, pacing_class_of (job->scheduling_class));
}
