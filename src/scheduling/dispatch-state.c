#include "dispatch-state.h"

#define DEFAULT_H 0.5
#define DEFAULT_QUEUE_AHEAD_S 8
#define DEFAULT_SAMPLE_SIZE 8

/* The smoothed timer lag: the weight of the latest timer, and the cap on the lag of one timer. */
#define LAG_SMOOTHING 0.1
#define MAX_LAG_S 5

/* Thresholds of the smoothed timer lag. They differ (hysteresis) so that the lagging flag does not oscillate. */
#define LAGGING_ABOVE_S 0.25
#define LAGGING_UNTIL_BELOW_S 0.05

/* Fraction of the work of lower classes that counts as wait for a task, because the task could preempt that work. */
#define PREEMPTIBLE_WORK_FRACTION 0.3

HzbDispatch *
hzb_dispatch_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings, GRand *rand)
{
  HzbDispatch *dispatch = g_new0 (HzbDispatch, 1);
  guint n_entries = settings->teams->len * HZB_N_SCHEDULING_CLASSES;

  dispatch->jobs = jobs;
  dispatch->machines = machines;
  dispatch->settings = settings;
  dispatch->rand = rand;
  dispatch->waiting_cpus_by_class = g_new0 (double, n_entries);
  dispatch->waiting_gpus_by_class = g_new0 (double, n_entries);
  dispatch->h = DEFAULT_H;
  dispatch->queue_ahead_s = DEFAULT_QUEUE_AHEAD_S;
  dispatch->sample_size = DEFAULT_SAMPLE_SIZE;
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
  g_free (dispatch->waiting_cpus_by_class);
  g_free (dispatch->waiting_gpus_by_class);
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
    if (hzb_machine_is_usable (all->pdata[i]))
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

  dispatch->lag_s += (CLAMP (late_s, 0, MAX_LAG_S) - dispatch->lag_s) * LAG_SMOOTHING;
  lagging = dispatch->lag_s > (dispatch->lagging ? LAGGING_UNTIL_BELOW_S : LAGGING_ABOVE_S);
  if (lagging != dispatch->lagging)
    g_message (
        "dispatch: timers are %.2f s late, %s", dispatch->lag_s,
        lagging
            ? "so samples of machines replace full searches; if this persists, this controller needs more processor "
              "time"
            : "so full searches of all machines resume");
  dispatch->lagging = lagging;
}

/* ---- estimates ---- */

/* Rebuilds the set of images that the tasks on the machine will fetch: those that the machine does not have yet. */
static void
reset_expected_images (HzbMachine *machine)
{
  g_hash_table_remove_all (machine->expected_images);
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (!g_hash_table_contains (machine->images, task->job->spec->image))
        g_hash_table_add (machine->expected_images, g_ref_string_acquire (task->job->spec->image));
    }
}

/* Adds, for each scheduling class, the seconds of work of the tasks on the machine that a new task would wait for. */
static void
add_work_on_machine (const HzbMachine *machine, double work_s[HZB_N_SCHEDULING_CLASSES], struct timespec now)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      guint speed = MAX (1, hzb_machine_speed (machine, task->job->spec));
      double work = hzb_task_remaining_s (task, now) / speed;
      for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
        work_s[class_index] += class_index <= task->job->scheduling_class ? work : work * PREEMPTIBLE_WORK_FRACTION;
    }
}

/* Adds, for each scheduling class, the seconds of work in the machine's run queues that a new task would wait for.
 * Tasks of a higher class do not wait for queued tasks of a lower class. */
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

/* ---- team limits and start pacing ---- */

/* Resources that the team's higher classes wait for are reserved within the team's limit. Otherwise, whenever a part of
 * the limit becomes free, the machine that sends the next heartbeat could take that part for work of a lower class. */
gboolean
hzb_dispatch_team_limit_allows (HzbDispatch *dispatch, const HzbJob *job)
{
  const double *cpus = dispatch->waiting_cpus_by_class + job->team * HZB_N_SCHEDULING_CLASSES;
  const double *gpus = dispatch->waiting_gpus_by_class + job->team * HZB_N_SCHEDULING_CLASSES;
  double higher_class_cpus = 0, higher_class_gpus = 0;

  for (guint class_index = job->scheduling_class + 1; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    {
      higher_class_cpus += cpus[class_index];
      higher_class_gpus += gpus[class_index];
    }
  return hzb_shard_fits (dispatch->jobs->shard, job->team, job->spec->cpus + higher_class_cpus,
                         job->spec->gpus + higher_class_gpus);
}

void
hzb_dispatch_note_started (HzbDispatch *dispatch, const HzbJob *job)
{
  guint index = (guint) job->team * HZB_N_SCHEDULING_CLASSES + job->scheduling_class;

  dispatch->waiting_cpus_by_class[index] = MAX (0, dispatch->waiting_cpus_by_class[index] - job->spec->cpus);
  dispatch->waiting_gpus_by_class[index] = MAX (0, dispatch->waiting_gpus_by_class[index] - job->spec->gpus);
  if (dispatch->pacing)
    hzb_start_pacing_take_token (dispatch->pacing);
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
hzb_dispatch_pacing_allows (const HzbDispatch *dispatch, const HzbJob *job)
{
  return !dispatch->pacing || hzb_start_pacing_allows (dispatch->pacing, pacing_class_of (job->scheduling_class));
}
