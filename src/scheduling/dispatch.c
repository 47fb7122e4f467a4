#include "gang.h"
#include "preemption.h"
#include "scheduling-class.h"
#include "search.h"
#include "worker-protocol.h"

#include <math.h>
#include <string.h>

/* What lower-priority work on a machine counts for a task that could have it stopped. */
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
  dispatch->h = 0.5;
  dispatch->queue_ahead_s = 8;
  dispatch->sample = 8;
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
hzb_dispatch_note_lag (HzbDispatch *dispatch, double late_s)
{
  gboolean lagging;

  dispatch->lag_s += (CLAMP (late_s, 0, 5) - dispatch->lag_s) * 0.1;
  lagging = dispatch->lagging ? dispatch->lag_s > 0.05 : dispatch->lag_s > 0.25;
  if (lagging != dispatch->lagging)
    g_message ("dispatch: timers are %.2f s late, %s", dispatch->lag_s,
               lagging ? "machines are sampled" : "full searches again");
  dispatch->lagging = lagging;
}

void
hzb_dispatch_reset_estimates (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now)
{
  double queued_work_s[HZB_N_SCHEDULING_CLASSES] = { 0 };

  if (!machine->type)
    return;
  g_hash_table_remove_all (machine->expected);
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (!g_hash_table_contains (machine->images, task->job->spec->image))
        g_hash_table_add (machine->expected, g_ref_string_acquire (task->job->spec->image));
    }
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      guint scheduling_class = task->job->scheduling_class, v = MAX (1, hzb_machine_speed (machine, task->job->spec));
      double work = hzb_task_remaining_s (task, now) / v;
      for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
        queued_work_s[class_index] += class_index <= scheduling_class ? work : work * PREEMPTIBLE_PART;
    }
  for (guint scheduling_class = 0; scheduling_class < HZB_N_SCHEDULING_CLASSES; scheduling_class++)
    for (GList *l = machine->run_queues[scheduling_class].head; l; l = l->next)
      {
        const HzbTask *task = l->data;
        double work = hzb_job_mean_s (task->job) / MAX (1, hzb_type_speed (machine->type, task->job->spec));
        for (guint class_index = 0; class_index <= scheduling_class; class_index++)
          queued_work_s[class_index] += work;
      }
  for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    hzb_estimate_reset (&machine->estimates[class_index], now, queued_work_s[class_index]);
  machine->estimate_stale = FALSE;
}

/* A leader has leased most machines: samples are taken of those that can be chosen. */
static void
index_usable_machines (HzbDispatch *dispatch)
{
  g_ptr_array_set_size (dispatch->usable, 0);
  for (guint i = 0; i < dispatch->machines->all->len; i++)
    if (hzb_machine_usable (dispatch->machines->all->pdata[i]))
      g_ptr_array_add (dispatch->usable, dispatch->machines->all->pdata[i]);
}

HzbMachine *
hzb_dispatch_choose (HzbDispatch *dispatch, HzbJob *job, struct timespec now)
{
  g_auto (HzbSearch) search = { 0 };
  index_usable_machines (dispatch);
  hzb_search_begin (&search, dispatch, job, now);
  hzb_search_look (&search, dispatch->lagging ? dispatch->sample : 0);
  return hzb_search_best (&search);
}

/* Seconds that the tasks of this class and higher ones in the machine's list will take it. */
static double
queued_s (const HzbMachine *machine, guint scheduling_class)
{
  double work = 0;
  for (guint class_index = scheduling_class; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    for (GList *l = machine->run_queues[class_index].head; l; l = l->next)
      {
        const HzbTask *task = l->data;
        work += hzb_job_mean_s (task->job) / MAX (1, hzb_type_speed (machine->type, task->job->spec));
      }
  return work;
}

static void
put_on_list (HzbDispatch *dispatch, HzbTask *task, HzbMachine *machine, struct timespec now)
{
  guint scheduling_class = task->job->scheduling_class;
  double mean = hzb_job_mean_s (task->job) / MAX (1, hzb_type_speed (machine->type, task->job->spec));

  hzb_task_set_state (dispatch->jobs, task, HZB_TASK_QUEUED, machine);
  if (!g_hash_table_contains (machine->images, task->job->spec->image))
    g_hash_table_add (machine->expected, g_ref_string_acquire (task->job->spec->image));
  for (guint class_index = 0; class_index <= scheduling_class; class_index++)
    {
      hzb_estimate_shift (&machine->estimates[class_index], now);
      hzb_estimate_send (&machine->estimates[class_index], mean);
    }
}

/* Some machine of any shard could take it. */
static gboolean
has_machine (HzbDispatch *dispatch, const HzbJobSpec *spec)
{
  for (guint i = 0; i < dispatch->machines->all->len; i++)
    {
      const HzbMachine *machine = dispatch->machines->all->pdata[i];
      if ((machine->state == HZB_MACHINE_LEASED || hzb_machine_usable (machine)) && hzb_machine_allowed (machine, spec))
        return TRUE;
    }
  return FALSE;
}

/* How many machines a run looks at in full searches: what more there is to place is placed by samples. */
#define LOOKS_PER_RUN 20000u

static void
index_machines_with_lists (HzbDispatch *dispatch)
{
  for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    g_ptr_array_set_size (dispatch->machines_with_queues[class_index], 0);
  for (guint i = 0; i < dispatch->machines->all->len; i++)
    {
      HzbMachine *machine = dispatch->machines->all->pdata[i];
      for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
        if (machine->run_queues[class_index].length)
          g_ptr_array_add (dispatch->machines_with_queues[class_index], machine);
    }
  dispatch->generation = dispatch->machines->generation;
}

/* Tasks of one job to lists: only as many as the team may use, since what waits for its limit holds nobody up. */
static void
queue_tasks (HzbDispatch *dispatch, HzbJob *job, double *cpus, double *gpus, guint *budget, guint *examined,
             struct timespec now)
{
  const HzbShard *shard = dispatch->jobs->shard;
  const HzbJobSpec *spec = job->spec;
  g_auto (HzbSearch) search = { 0 };
  gboolean sampled = dispatch->lagging || *examined < dispatch->usable->len;

  hzb_search_begin (&search, dispatch, job, now);
  if (!sampled)
    {
      *examined -= dispatch->usable->len;
      hzb_search_look (&search, 0);
    }
  while (*budget && hzb_shard_fits (shard, job->team, cpus[job->team] + spec->cpus, gpus[job->team] + spec->gpus))
    {
      HzbTask *task;
      HzbMachine *machine;
      if (sampled)
        hzb_search_look (&search, dispatch->sample);
      machine = hzb_job_overdue_start_placed (job) ? NULL : hzb_search_best (&search);
      /* No machine, or even the least loaded has work for a while: it waits here, where what comes later and is
       * more pressing can still go first. Only what a machine could take is asked for, and so released. */
      if (!machine || queued_s (machine, job->scheduling_class) > dispatch->queue_ahead_s
          || !(task = hzb_job_next_pending (job, now)))
        break;
      put_on_list (dispatch, task, machine, now);
      hzb_search_sent (&search);
      cpus[job->team] += spec->cpus;
      gpus[job->team] += spec->gpus;
      (*budget)--;
      if (job->failures >= 4)
        break;
    }
}

void
hzb_dispatch_run (HzbDispatch *dispatch, struct timespec now)
{
  g_autoptr (GPtrArray) order = g_ptr_array_new ();
  const HzbShard *shard = dispatch->jobs->shard;
  guint n = shard->n_teams;
  g_autofree double *cpus = g_new0 (double, n), *gpus = g_new0 (double, n);
  guint budget = dispatch->lagging ? 50 : 400, examined = LOOKS_PER_RUN;

  hzb_scheduling_classes_update (dispatch->jobs, dispatch->settings, now);
  index_usable_machines (dispatch);
  for (guint i = 0; i < dispatch->usable->len; i++)
    {
      HzbMachine *machine = dispatch->usable->pdata[i];
      if (machine->estimate_stale)
        hzb_dispatch_reset_estimates (dispatch, machine, now);
    }
  memset (dispatch->ahead_cpus, 0, n * HZB_N_SCHEDULING_CLASSES * sizeof (double));
  memset (dispatch->ahead_gpus, 0, n * HZB_N_SCHEDULING_CLASSES * sizeof (double));
  dispatch->gang_waits = FALSE;
  dispatch->least_cpus = INFINITY;
  for (guint class_index = 0; class_index < HZB_N_SCHEDULING_CLASSES; class_index++)
    g_ptr_array_set_size (dispatch->waiting[class_index], 0);
  for (guint i = 0; i < dispatch->jobs->active->len; i++)
    {
      HzbJob *job = dispatch->jobs->active->pdata[i];
      guint at, waiting;
      if (job->state != HZB_JOB_ACCEPTED || job->awaits_verdict || !(job->pending || job->queued))
        continue;
      g_ptr_array_add (order, job);
      dispatch->gang_waits = dispatch->gang_waits || job->spec->kind == HZB_JOB_GANG;
      dispatch->least_cpus = MIN (dispatch->least_cpus, job->spec->cpus);
      /* What can't start now keeps nothing from others: they would wait for it, and it perhaps for a machine that is
       * rented only once their work is over. */
      if (hzb_time_before (now, job->not_before) || job->failures || !has_machine (dispatch, job->spec))
        continue;
      at = (guint) job->team * HZB_N_SCHEDULING_CLASSES + job->scheduling_class;
      waiting = job->start_overdue ? 1 : job->pending + job->queued;
      dispatch->ahead_cpus[at] += waiting * job->spec->cpus;
      dispatch->ahead_gpus[at] += waiting * job->spec->gpus;
    }
  g_ptr_array_sort (order, hzb_scheduling_classes_compare);
  for (guint i = 0; i < order->len; i++)
    {
      HzbJob *job = order->pdata[i];
      if (job->spec->kind != HZB_JOB_GANG)
        g_ptr_array_add (dispatch->waiting[job->scheduling_class], job);
    }
  for (guint i = 0; i < order->len && budget; i++)
    {
      HzbJob *job = order->pdata[i];
      const HzbJobSpec *spec = job->spec;
      /* What of this class or a higher one waits in lists comes before; lower work does not. */
      cpus[job->team] += job->queued * spec->cpus;
      gpus[job->team] += job->queued * spec->gpus;
      if (!job->pending || hzb_time_before (now, job->not_before)
          || (job->failures >= 4 && job->placed + job->queued > 0))
        continue; /* a job that failed wherever it started is tried with one task at a time */
      if (spec->kind == HZB_JOB_GANG)
        {
          hzb_gang_place (dispatch, job, now);
          continue;
        }
      if (!hzb_shard_fits (shard, job->team, cpus[job->team] + spec->cpus, gpus[job->team] + spec->gpus))
        {
          if (spec->priority >= HZB_PRIORITY_HIGH)
            hzb_preempt_within_team (dispatch, job, now);
          continue;
        }
      queue_tasks (dispatch, job, cpus, gpus, &budget, &examined, now);
    }
  index_machines_with_lists (dispatch);
}

/* ---- at a report ---- */

/* Guards against a team's limit being filled, as it frees up, by whichever machine reports first: what its
 * more pressing tasks wait for is kept for them. */
gboolean
hzb_dispatch_team_may_use (HzbDispatch *dispatch, const HzbJob *job)
{
  const double *cpus = dispatch->ahead_cpus + job->team * HZB_N_SCHEDULING_CLASSES,
               *gpus = dispatch->ahead_gpus + job->team * HZB_N_SCHEDULING_CLASSES;
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

/* Something that waits could fit. */
static gboolean
has_some_room (const HzbDispatch *dispatch, const HzbMachine *machine)
{
  return machine->cpus + dispatch->least_cpus <= machine->type->cpus + 1e-6;
}

static HzbStartPacingClass
pacing_class (guint scheduling_class)
{
  return scheduling_class >= HZB_SCHEDULING_CLASS_URGENT            ? HZB_START_PACING_URGENT
         : scheduling_class >= HZB_SCHEDULING_CLASS_GUARANTEED_IDLE ? HZB_START_PACING_GUARANTEED
                                                                    : HZB_START_PACING_OTHER;
}

gboolean
hzb_dispatch_pace_allows (const HzbDispatch *dispatch, const HzbJob *job)
{
  return !dispatch->pacing || hzb_start_pacing_allows (dispatch->pacing, pacing_class (job->scheduling_class));
}

static gboolean
may_start (HzbDispatch *dispatch, const HzbTask *task, const HzbMachine *machine)
{
  if (!hzb_dispatch_pace_allows (dispatch, task->job)
      || (dispatch->pacing && hzb_start_pacing_answer_full (dispatch->pacing)))
    return FALSE;
  return task->job->state == HZB_JOB_ACCEPTED && !task->job->awaits_verdict
         && hzb_dispatch_team_may_use (dispatch, task->job) && hzb_zone_allowed (task->job, machine);
}

static void
start (HzbDispatch *dispatch, HzbTask *task, HzbMachine *machine, GArray *commands)
{
  HzbCommand order = { HZB_COMMAND_START, task->job->uid, task->index, 0, 0 };

  if (task->state == HZB_TASK_QUEUED && task->machine != machine)
    hzb_task_set_state (dispatch->jobs, task, HZB_TASK_PENDING, NULL); /* moved: it was never sent there */
  if (task->state == HZB_TASK_PENDING)
    {
      g_queue_remove (&task->job->retry, task);
      hzb_task_set_state (dispatch->jobs, task, HZB_TASK_QUEUED, machine);
    }
  if (task->job->spec->kind != HZB_JOB_GANG)
    task->attempt = ++task->job->next_attempt;
  order.attempt = task->attempt;
  if (hzb_task_set_state (dispatch->jobs, task, HZB_TASK_STARTING, machine))
    {
      hzb_dispatch_note_started (dispatch, task->job);
      g_array_append_val (commands, order);
    }
}

#define MOVE_SAMPLE 32u /* machines whose lists are looked at for one move */

/* The unstarted task that the machine should take from another's list: of a sample, that of the most loaded. */
static HzbTask *
find_task_to_move (HzbDispatch *dispatch, HzbMachine *machine, guint scheduling_class, gboolean cached,
                   struct timespec now)
{
  GPtrArray *machines_with_queues = dispatch->machines_with_queues[scheduling_class];
  guint n = machines_with_queues->len, most_looks = MIN (n, dispatch->lagging ? dispatch->sample : MOVE_SAMPLE);
  guint first = most_looks < n ? (guint) g_rand_int_range (dispatch->rand, 0, (gint32) n) : 0;
  guint step = most_looks ? n / most_looks : 1;
  HzbTask *best = NULL;
  double most = -1;

  for (guint i = 0; i < most_looks; i++)
    {
      HzbMachine *other = machines_with_queues->pdata[(first + i * step) % n];
      guint examined = 0;
      double u;
      if (other == machine || !other->run_queues[scheduling_class].length)
        continue;
      dispatch->examined++;
      u = hzb_estimate_mean (&other->estimates[scheduling_class]);
      if (u <= most)
        continue;
      for (GList *l = other->run_queues[scheduling_class].head; l && examined < 8; l = l->next, examined++)
        {
          HzbTask *task = l->data;
          const HzbJobSpec *spec = task->job->spec;
          /* A replica is there sooner where its image is, even if that machine reports later. */
          gboolean waits = spec->kind == HZB_JOB_SERVICE && g_hash_table_contains (other->images, spec->image)
                           && hzb_time_between (task->since, now) < 2 * dispatch->settings->heartbeat_interval_s;
          if (((cached || waits) && !g_hash_table_contains (machine->images, spec->image))
              || !hzb_machine_allowed (machine, spec) || !hzb_machine_has_room (machine, spec)
              || hzb_machine_avoids (machine, task->job, now) || !may_start (dispatch, task, machine))
            continue;
          best = task;
          most = u;
          break;
        }
    }
  return best;
}

/* A machine with room and nothing in any list for it takes what still waits for a list. */
static void
start_waiting (HzbDispatch *dispatch, HzbMachine *machine, guint scheduling_class, struct timespec now,
               GArray *commands)
{
  GPtrArray *waiting = dispatch->waiting[scheduling_class];

  for (guint cached = 2; cached-- > 0;)
    for (guint i = 0; i < waiting->len && has_some_room (dispatch, machine); i++)
      {
        HzbJob *job = waiting->pdata[i];
        HzbTask *task;
        /* The order is that of the last run: what has changed since is looked at here. */
        if (!job->pending || job->state != HZB_JOB_ACCEPTED || job->scheduling_class != scheduling_class
            || job->failures || !hzb_machine_has_room (machine, job->spec) || !hzb_machine_allowed (machine, job->spec)
            || hzb_time_before (now, job->not_before) || hzb_machine_avoids (machine, job, now)
            || (cached && !g_hash_table_contains (machine->images, job->spec->image))
            || !hzb_dispatch_team_may_use (dispatch, job))
          continue;
        while (!hzb_job_overdue_start_placed (job) && hzb_machine_has_room (machine, job->spec)
               && (task = hzb_job_next_pending (job, now)))
          {
            if (!may_start (dispatch, task, machine))
              {
                g_queue_push_head (&job->retry, task);
                break;
              }
            start (dispatch, task, machine, commands);
          }
      }
}

void
hzb_dispatch_start_tasks (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands)
{
  if (!hzb_machine_usable (machine))
    return;
  if (dispatch->pacing)
    hzb_start_pacing_begin_answer (dispatch->pacing);
  /* Places held for gangs come first: they were counted as taken when they were booked. Guards against one that was
   * cancelled since, and whose places the owner has not given up yet. */
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      HzbTask *task = machine->tasks->pdata[i];
      if (task->state == HZB_TASK_RESERVED && task->job->state == HZB_JOB_ACCEPTED)
        {
          start (dispatch, task, machine, commands);
          i = G_MAXUINT; /* the array was changed */
        }
    }
  if (dispatch->generation != dispatch->machines->generation)
    index_machines_with_lists (dispatch); /* some of them may be no more */
  for (gint scheduling_class = HZB_N_SCHEDULING_CLASSES - 1; scheduling_class >= 0 && has_some_room (dispatch, machine);
       scheduling_class--)
    {
      gboolean held_up = FALSE;
      if (hzb_gang_blocks_machine (dispatch, machine, (guint) scheduling_class, now))
        break;
      for (GList *l = machine->run_queues[scheduling_class].head; l;)
        {
          HzbTask *task = l->data;
          l = l->next;
          if (!may_start (dispatch, task, machine))
            continue;
          if (!hzb_machine_has_room (machine, task->job->spec))
            {
              held_up = TRUE; /* first come: nothing of this class or a lower one goes past it */
              break;
            }
          start (dispatch, task, machine, commands);
        }
      if (held_up)
        break;
      for (guint cached = 2; cached-- > 0 && dispatch->machines_with_queues[scheduling_class]->len;)
        {
          HzbTask *task;
          while (has_some_room (dispatch, machine)
                 && (task = find_task_to_move (dispatch, machine, (guint) scheduling_class, cached == 1, now)))
            start (dispatch, task, machine, commands);
        }
      start_waiting (dispatch, machine, (guint) scheduling_class, now, commands);
    }
  hzb_preempt_on_machine (dispatch, machine, now, commands);
}
