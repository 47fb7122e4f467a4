#include "preemption.h"
#include "search.h"

#include <math.h>
#include <string.h>

/* What lower-priority work on a machine counts for a task that could have it stopped. */
#define PREEMPTIBLE_PART 0.3
/* Where the least goes first, the largest would wait for as long as smaller ones keep coming. Users want the largest
 * to begin within four minutes: after half of that the first task of any job goes before all but urgent work. */
#define OVERDUE_AFTER_S 120.0
#define OVERDUE_LEVEL 5u

HzbDispatch *
hzb_dispatch_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings, GRand *rand)
{
  HzbDispatch *d = g_new0 (HzbDispatch, 1);
  guint n_ahead = settings->teams->len * HZB_N_LEVELS;
  d->jobs = jobs;
  d->machines = machines;
  d->settings = settings;
  d->rand = rand;
  d->ahead_cpus = g_new0 (double, n_ahead);
  d->ahead_gpus = g_new0 (double, n_ahead);
  d->h = 0.5;
  d->list_ahead_s = 8;
  d->sample = 8;
  d->usable = g_ptr_array_new ();
  for (guint c = 0; c < HZB_N_LEVELS; c++)
    {
      d->waiting[c] = g_ptr_array_new ();
      d->machines_with_lists[c] = g_ptr_array_new ();
    }
  return d;
}

void
hzb_dispatch_free (HzbDispatch *d)
{
  for (guint c = 0; c < HZB_N_LEVELS; c++)
    {
      g_ptr_array_unref (d->waiting[c]);
      g_ptr_array_unref (d->machines_with_lists[c]);
    }
  g_ptr_array_unref (d->usable);
  g_free (d->ahead_cpus);
  g_free (d->ahead_gpus);
  g_free (d);
}

void
hzb_dispatch_clear_indexes (HzbDispatch *d)
{
  g_ptr_array_set_size (d->usable, 0);
  for (guint c = 0; c < HZB_N_LEVELS; c++)
    {
      g_ptr_array_set_size (d->waiting[c], 0);
      g_ptr_array_set_size (d->machines_with_lists[c], 0);
    }
}

void
hzb_dispatch_note_lag (HzbDispatch *d, double late_s)
{
  gboolean lagging;

  d->lag_s += (CLAMP (late_s, 0, 5) - d->lag_s) * 0.1;
  lagging = d->lagging ? d->lag_s > 0.05 : d->lag_s > 0.25;
  if (lagging != d->lagging)
    g_message ("dispatch: timers are %.2f s late, %s", d->lag_s,
               lagging ? "machines are sampled" : "full searches again");
  d->lagging = lagging;
}

double
hzb_job_mean_s (const HzbJob *job)
{
  return MAX (job->mean_s > 0 ? job->mean_s : job->spec->estimate_s, 0.1);
}

double
hzb_spec_grace_s (const HzbSpec *spec)
{
  return spec->checkpoint_s > 0 ? spec->save_s + 1 : 0;
}

void
hzb_dispatch_reset_estimates (HzbDispatch *d, HzbMachine *m, struct timespec now)
{
  double booked[HZB_N_LEVELS] = { 0 };

  if (!m->type)
    return;
  g_hash_table_remove_all (m->expected);
  for (guint i = 0; i < m->tasks->len; i++)
    {
      const HzbTask *task = m->tasks->pdata[i];
      if (!g_hash_table_contains (m->images, task->job->spec->image))
        g_hash_table_add (m->expected, g_ref_string_acquire (task->job->spec->image));
    }
  for (guint i = 0; i < m->tasks->len; i++)
    {
      const HzbTask *task = m->tasks->pdata[i];
      guint level = task->job->level, v = MAX (1, hzb_machine_speed (m, task->job->spec));
      double work = hzb_task_remaining_s (task, now) / v;
      for (guint c = 0; c < HZB_N_LEVELS; c++)
        booked[c] += c <= level ? work : work * PREEMPTIBLE_PART;
    }
  for (guint level = 0; level < HZB_N_LEVELS; level++)
    for (GList *l = m->lists[level].head; l; l = l->next)
      {
        const HzbTask *task = l->data;
        double work = hzb_job_mean_s (task->job) / MAX (1, hzb_type_speed (m->type, task->job->spec));
        for (guint c = 0; c <= level; c++)
          booked[c] += work;
      }
  for (guint c = 0; c < HZB_N_LEVELS; c++)
    hzb_estimate_reset (&m->estimates[c], now, booked[c]);
  m->estimate_stale = FALSE;
}

/* A leader has leased most machines: samples are taken of those that can be chosen. */
static void
index_usable_machines (HzbDispatch *d)
{
  g_ptr_array_set_size (d->usable, 0);
  for (guint i = 0; i < d->machines->all->len; i++)
    if (hzb_machine_usable (d->machines->all->pdata[i]))
      g_ptr_array_add (d->usable, d->machines->all->pdata[i]);
}

HzbMachine *
hzb_dispatch_choose (HzbDispatch *d, HzbJob *job, struct timespec now)
{
  g_auto (HzbSearch) search = { 0 };
  index_usable_machines (d);
  hzb_search_begin (&search, d, job, now);
  hzb_search_look (&search, d->lagging ? d->sample : 0);
  return hzb_search_best (&search);
}

/* Seconds that the tasks of this class and higher ones in the machine's list will take it. */
static double
listed_s (const HzbMachine *m, guint level)
{
  double work = 0;
  for (guint c = level; c < HZB_N_LEVELS; c++)
    for (GList *l = m->lists[c].head; l; l = l->next)
      {
        const HzbTask *task = l->data;
        work += hzb_job_mean_s (task->job) / MAX (1, hzb_type_speed (m->type, task->job->spec));
      }
  return work;
}

static void
put_on_list (HzbDispatch *d, HzbTask *task, HzbMachine *m, struct timespec now)
{
  guint level = task->job->level;
  double mean = hzb_job_mean_s (task->job) / MAX (1, hzb_type_speed (m->type, task->job->spec));

  hzb_task_set_state (d->jobs, task, HZB_TASK_LISTED, m);
  if (!g_hash_table_contains (m->images, task->job->spec->image))
    g_hash_table_add (m->expected, g_ref_string_acquire (task->job->spec->image));
  for (guint c = 0; c <= level; c++)
    {
      hzb_estimate_shift (&m->estimates[c], now);
      hzb_estimate_send (&m->estimates[c], mean);
    }
}

double
hzb_job_slack_s (const HzbSettings *settings, const HzbJob *job, struct timespec now, double *aim)
{
  double mean = hzb_job_mean_s (job), age = hzb_time_between (job->since, now), least = INFINITY, allows = 120;

  for (guint i = 0; i < settings->objectives->len; i++)
    {
      const HzbObjective *o = settings->objectives->pdata[i];
      double by;
      if (g_strcmp0 (o->job_class, job->spec->job_class) != 0)
        continue;
      if (g_str_equal (o->kind, "finished"))
        by = o->within_s - 1.3 * mean;
      else if (g_str_equal (o->kind, "wait"))
        by = o->within_s;
      else if (g_str_equal (o->kind, "deadline") && job->spec->deadline_s > 0)
        by = job->spec->deadline_s * MAX (o->times, 1) - 1.3 * mean;
      else
        continue;
      if (by > age && by - age < least)
        {
          least = by - age;
          allows = by;
        }
    }
  if (aim)
    *aim = allows;
  return isfinite (least) ? least : MAX (120 - 1.3 * mean, 10);
}

/* High priorities come first, then what a team is guaranteed, then what will miss its aim unless it starts
 * soon, then the rest by priority. */
static guint
level_of (const HzbSettings *settings, const HzbJob *job, struct timespec now)
{
  double aim, slack = hzb_job_slack_s (settings, job, now, &aim);
  switch (job->spec->priority)
    {
    case HZB_PRIORITY_PRODUCTION:
      return 7;
    case HZB_PRIORITY_HIGH:
      return job->guaranteed ? 6 : 5;
    default:
      if (job->guaranteed)
        return job->spec->priority == HZB_PRIORITY_NORMAL ? 4 : 3;
      /* Once pressing it stays so, or it would move back and forth as an aim is passed. */
      if (job->level == 2 || slack < 0.25 * aim)
        return 2;
      return job->spec->priority == HZB_PRIORITY_NORMAL ? 1 : 0;
    }
}

void
hzb_dispatch_update_levels (HzbDispatch *d, struct timespec now)
{
  guint n = d->settings->teams->len;
  g_autofree double *cpus = g_new0 (double, n), *gpus = g_new0 (double, n);

  for (guint i = 0; i < d->jobs->active->len; i++) /* by age */
    {
      HzbJob *job = d->jobs->active->pdata[i];
      const HzbTeam *team = d->settings->teams->pdata[job->team];
      guint level;
      if (job->state != HZB_JOB_ACCEPTED)
        continue;
      job->mean_s = hzb_jobs_mean_s (d->jobs, job);
      /* Within its team's guarantee when it fits there together with the team's earlier unfinished jobs. */
      cpus[job->team] += job->spec->cpus * job->n_tasks;
      gpus[job->team] += job->spec->gpus * job->n_tasks;
      job->guaranteed = cpus[job->team] <= team->cpus + 1e-6 && gpus[job->team] <= team->gpus + 1e-6;
      level = level_of (d->settings, job, now);
      job->start_overdue = !(job->placed || job->finished || job->done || job->unknown || job->spec->gang)
                           && hzb_time_between (job->since, now) > OVERDUE_AFTER_S;
      if (job->start_overdue)
        level = MAX (level, OVERDUE_LEVEL);
      if (level != job->level)
        {
          /* What waits in lists goes through them anew. */
          for (guint k = 0; job->listed && k < job->n_tasks; k++)
            if (job->tasks[k].state == HZB_TASK_LISTED)
              hzb_task_set_state (d->jobs, &job->tasks[k], HZB_TASK_PENDING, NULL);
          job->level = (guint8) level;
        }
    }
}

/* Of a job that has to begin only one task goes first. */
static gboolean
overdue_start_placed (const HzbJob *job)
{
  return job->start_overdue && (job->listed || job->placed);
}

static double
work_left (const HzbJob *job)
{
  return (job->pending + job->listed + job->unknown + 0.5 * job->placed) * hzb_job_mean_s (job)
         * MAX (job->spec->cpus, 0.1);
}

/* Within a class first come, first served, except where many wait: of batch work the job with least left goes
 * first, since the aims count jobs that are over in time. What gets late is moved to a higher class. */
gint
hzb_dispatch_order (gconstpointer a, gconstpointer b)
{
  const HzbJob *x = *(HzbJob *const *) a, *y = *(HzbJob *const *) b;
  int order = (int) y->level - (int) x->level;
  if (order)
    return order;
  if (x->level <= 2)
    {
      double left = work_left (x), right = work_left (y);
      if (left != right)
        return left < right ? -1 : 1;
    }
  if (hzb_time_before (x->accepted, y->accepted))
    return -1;
  return hzb_time_before (y->accepted, x->accepted) ? 1 : strcmp (x->uid, y->uid);
}

/* ---- gangs ---- */

/* A gang starts when there is room for all of it at once. */
static gboolean
place_gang (HzbDispatch *d, HzbJob *job, struct timespec now)
{
  const HzbSpec *spec = job->spec;
  GPtrArray *all = d->machines->all;
  g_autofree guint *taken = g_new0 (guint, all->len);
  g_autoptr (GPtrArray) zones = g_ptr_array_new ();
  const HzbBlock *block = d->jobs->block;
  guint n = job->n_tasks, half = (n + 1) / 2;

  if (job->pending != n || job->released < n || hzb_time_before (now, job->not_before))
    return FALSE;
  if (!hzb_block_fits (block, job->team, spec->cpus * n, spec->gpus * n))
    return FALSE;
  for (guint i = 0; i < all->len; i++)
    {
      HzbMachine *m = all->pdata[i];
      gboolean known = FALSE;
      for (guint z = 0; z < zones->len; z++)
        known = known || g_str_equal (zones->pdata[z], m->zone);
      if (!known)
        g_ptr_array_add (zones, m->zone);
    }
  /* samePlace: each zone by itself; otherwise all zones together. */
  for (guint z = 0; z < (spec->same_zone ? zones->len : 1); z++)
    {
      guint left = n;
      g_autoptr (GHashTable) in_zone = g_hash_table_new (g_str_hash, g_str_equal);
      memset (taken, 0, all->len * sizeof *taken);
      while (left)
        {
          HzbMachine *best = NULL;
          guint at = 0;
          double least = INFINITY;
          for (guint i = 0; i < all->len; i++)
            {
              HzbMachine *m = all->pdata[i];
              guint here = GPOINTER_TO_UINT (g_hash_table_lookup (in_zone, m->zone));
              double cost;
              if (!hzb_machine_usable (m) || !hzb_machine_allowed (m, spec)
                  || (spec->same_zone && !g_str_equal (zones->pdata[z], m->zone)) || (spec->spread && here >= half)
                  || m->cpus + spec->cpus * (taken[i] + 1) > m->type->cpus + 1e-6
                  || m->gpus + spec->gpus * (taken[i] + 1) > m->type->gpus + 1e-6
                  || m->memory + spec->memory_gb * (taken[i] + 1) > m->type->memory_gb + 1e-6)
                continue;
              hzb_estimate_shift (&m->estimates[job->level], now);
              cost = hzb_estimate_mean (&m->estimates[job->level]) + hzb_fetch_s (m, spec);
              if (cost < least)
                {
                  least = cost;
                  best = m;
                  at = i;
                }
            }
          if (!best)
            break;
          taken[at]++;
          left--;
          g_hash_table_insert (in_zone, best->zone,
                               GUINT_TO_POINTER (GPOINTER_TO_UINT (g_hash_table_lookup (in_zone, best->zone)) + 1));
        }
      if (!left)
        {
          guint next = 0;
          job->next_attempt++;
          for (guint i = 0; i < all->len; i++)
            for (guint k = 0; k < taken[i]; k++)
              {
                HzbTask *task = &job->tasks[next++];
                task->attempt = job->next_attempt;
                hzb_task_set_state (d->jobs, task, HZB_TASK_BOOKED, all->pdata[i]);
              }
          job->cursor = n;
          return TRUE;
        }
    }
  return FALSE;
}

/* A gang that waits halts list starts of lower classes on machines it could use. */
static gboolean
halted_by_gang (HzbDispatch *d, const HzbMachine *m, guint level, struct timespec now)
{
  for (guint i = 0; d->gang_waits && i < d->jobs->active->len; i++)
    {
      const HzbJob *job = d->jobs->active->pdata[i];
      if (job->spec->gang && job->state == HZB_JOB_ACCEPTED && job->pending == job->n_tasks && job->level >= level
          && !hzb_time_before (now, job->not_before) && hzb_machine_allowed (m, job->spec)
          && hzb_time_between (job->since, now) > 5)
        return TRUE;
    }
  return FALSE;
}

/* Some machine of any block could take it. */
static gboolean
has_machine (HzbDispatch *d, const HzbSpec *spec)
{
  for (guint i = 0; i < d->machines->all->len; i++)
    {
      const HzbMachine *m = d->machines->all->pdata[i];
      if ((m->state == HZB_MACHINE_LEASED || hzb_machine_usable (m)) && hzb_machine_allowed (m, spec))
        return TRUE;
    }
  return FALSE;
}

/* How many machines a run looks at in full searches: what more there is to place is placed by samples. */
#define LOOKS_PER_RUN 20000u

static void
index_machines_with_lists (HzbDispatch *d)
{
  for (guint c = 0; c < HZB_N_LEVELS; c++)
    g_ptr_array_set_size (d->machines_with_lists[c], 0);
  for (guint i = 0; i < d->machines->all->len; i++)
    {
      HzbMachine *m = d->machines->all->pdata[i];
      for (guint c = 0; c < HZB_N_LEVELS; c++)
        if (m->lists[c].length)
          g_ptr_array_add (d->machines_with_lists[c], m);
    }
  d->generation = d->machines->generation;
}

/* Tasks of one job to lists: only as many as the team may use, since what waits for its limit holds nobody up. */
static void
list_tasks (HzbDispatch *d, HzbJob *job, double *cpus, double *gpus, guint *budget, guint *examined,
            struct timespec now)
{
  const HzbBlock *block = d->jobs->block;
  const HzbSpec *spec = job->spec;
  g_auto (HzbSearch) search = { 0 };
  gboolean sampled = d->lagging || *examined < d->usable->len;

  hzb_search_begin (&search, d, job, now);
  if (!sampled)
    {
      *examined -= d->usable->len;
      hzb_search_look (&search, 0);
    }
  while (*budget && hzb_block_fits (block, job->team, cpus[job->team] + spec->cpus, gpus[job->team] + spec->gpus))
    {
      HzbTask *task;
      HzbMachine *m;
      if (sampled)
        hzb_search_look (&search, d->sample);
      m = overdue_start_placed (job) ? NULL : hzb_search_best (&search);
      /* No machine, or even the least loaded has work for a while: it waits here, where what comes later and is
       * more pressing can still go first. Only what a machine could take is asked for, and so released. */
      if (!m || listed_s (m, job->level) > d->list_ahead_s || !(task = hzb_job_next_pending (job, now)))
        break;
      put_on_list (d, task, m, now);
      hzb_search_sent (&search);
      cpus[job->team] += spec->cpus;
      gpus[job->team] += spec->gpus;
      (*budget)--;
      if (job->failures >= 4)
        break;
    }
}

void
hzb_dispatch_run (HzbDispatch *d, struct timespec now)
{
  g_autoptr (GPtrArray) order = g_ptr_array_new ();
  const HzbBlock *block = d->jobs->block;
  guint n = block->n_teams;
  g_autofree double *cpus = g_new0 (double, n), *gpus = g_new0 (double, n);
  guint budget = d->lagging ? 50 : 400, examined = LOOKS_PER_RUN;

  hzb_dispatch_update_levels (d, now);
  index_usable_machines (d);
  for (guint i = 0; i < d->usable->len; i++)
    {
      HzbMachine *m = d->usable->pdata[i];
      if (m->estimate_stale)
        hzb_dispatch_reset_estimates (d, m, now);
    }
  memset (d->ahead_cpus, 0, n * HZB_N_LEVELS * sizeof (double));
  memset (d->ahead_gpus, 0, n * HZB_N_LEVELS * sizeof (double));
  d->gang_waits = FALSE;
  d->least_cpus = INFINITY;
  for (guint c = 0; c < HZB_N_LEVELS; c++)
    g_ptr_array_set_size (d->waiting[c], 0);
  for (guint i = 0; i < d->jobs->active->len; i++)
    {
      HzbJob *job = d->jobs->active->pdata[i];
      guint at, waiting;
      if (job->state != HZB_JOB_ACCEPTED || !(job->pending || job->listed))
        continue;
      g_ptr_array_add (order, job);
      d->gang_waits = d->gang_waits || job->spec->gang;
      d->least_cpus = MIN (d->least_cpus, job->spec->cpus);
      /* What can't start now keeps nothing from others: they would wait for it, and it perhaps for a machine that is
       * rented only once their work is over. */
      if (hzb_time_before (now, job->not_before) || job->failures || !has_machine (d, job->spec))
        continue;
      at = (guint) job->team * HZB_N_LEVELS + job->level;
      waiting = job->start_overdue ? 1 : job->pending + job->listed;
      d->ahead_cpus[at] += waiting * job->spec->cpus;
      d->ahead_gpus[at] += waiting * job->spec->gpus;
    }
  g_ptr_array_sort (order, hzb_dispatch_order);
  for (guint i = 0; i < order->len; i++)
    {
      HzbJob *job = order->pdata[i];
      if (!job->spec->gang)
        g_ptr_array_add (d->waiting[job->level], job);
    }
  for (guint i = 0; i < order->len && budget; i++)
    {
      HzbJob *job = order->pdata[i];
      const HzbSpec *spec = job->spec;
      /* What of this class or a higher one waits in lists comes before; lower work does not. */
      cpus[job->team] += job->listed * spec->cpus;
      gpus[job->team] += job->listed * spec->gpus;
      if (!job->pending || hzb_time_before (now, job->not_before)
          || (job->failures >= 4 && job->placed + job->listed > 0))
        continue; /* a job that failed wherever it started is tried with one task at a time */
      if (spec->gang)
        {
          place_gang (d, job, now);
          continue;
        }
      if (!hzb_block_fits (block, job->team, cpus[job->team] + spec->cpus, gpus[job->team] + spec->gpus))
        {
          if (spec->priority >= HZB_PRIORITY_HIGH)
            hzb_preempt_within_team (d, job, now);
          continue;
        }
      list_tasks (d, job, cpus, gpus, &budget, &examined, now);
    }
  index_machines_with_lists (d);
}

/* ---- at a report ---- */

/* Guards against a team's limit being filled, as it frees up, by whichever machine reports first: what its
 * more pressing tasks wait for is kept for them. */
gboolean
hzb_dispatch_team_may_use (HzbDispatch *d, const HzbJob *job)
{
  const double *cpus = d->ahead_cpus + job->team * HZB_N_LEVELS, *gpus = d->ahead_gpus + job->team * HZB_N_LEVELS;
  double kept_cpus = 0, kept_gpus = 0;
  for (guint c = job->level + 1; c < HZB_N_LEVELS; c++)
    {
      kept_cpus += cpus[c];
      kept_gpus += gpus[c];
    }
  return hzb_block_fits (d->jobs->block, job->team, job->spec->cpus + kept_cpus, job->spec->gpus + kept_gpus);
}

void
hzb_dispatch_note_started (HzbDispatch *d, const HzbJob *job)
{
  guint at = (guint) job->team * HZB_N_LEVELS + job->level;
  d->ahead_cpus[at] = MAX (0, d->ahead_cpus[at] - job->spec->cpus);
  d->ahead_gpus[at] = MAX (0, d->ahead_gpus[at] - job->spec->gpus);
}

/* Something that waits could fit. */
static gboolean
has_some_room (const HzbDispatch *d, const HzbMachine *m)
{
  return m->cpus + d->least_cpus <= m->type->cpus + 1e-6;
}

static gboolean
may_start (HzbDispatch *d, const HzbTask *task, const HzbMachine *m)
{
  return task->job->state == HZB_JOB_ACCEPTED && hzb_dispatch_team_may_use (d, task->job)
         && hzb_zone_allowed (task->job, m);
}

static void
start (HzbDispatch *d, HzbTask *task, HzbMachine *m, GArray *commands)
{
  HzbCommand order = { HZB_COMMAND_START, task->job->uid, task->index, 0, 0 };

  if (task->state == HZB_TASK_LISTED && task->machine != m)
    hzb_task_set_state (d->jobs, task, HZB_TASK_PENDING, NULL); /* moved: it was never sent there */
  if (task->state == HZB_TASK_PENDING)
    {
      g_queue_remove (&task->job->retry, task);
      hzb_task_set_state (d->jobs, task, HZB_TASK_LISTED, m);
    }
  if (!task->job->spec->gang)
    task->attempt = ++task->job->next_attempt;
  order.attempt = task->attempt;
  if (hzb_task_set_state (d->jobs, task, HZB_TASK_STARTING, m))
    {
      hzb_dispatch_note_started (d, task->job);
      g_array_append_val (commands, order);
    }
}

#define MOVE_SAMPLE 32u /* machines whose lists are looked at for one move */

/* The unstarted task that the machine should take from another's list: of a sample, that of the most loaded. */
static HzbTask *
find_task_to_move (HzbDispatch *d, HzbMachine *m, guint level, gboolean cached, struct timespec now)
{
  GPtrArray *machines_with_lists = d->machines_with_lists[level];
  guint n = machines_with_lists->len, most_looks = MIN (n, d->lagging ? d->sample : MOVE_SAMPLE);
  guint first = most_looks < n ? (guint) g_rand_int_range (d->rand, 0, (gint32) n) : 0;
  guint step = most_looks ? n / most_looks : 1;
  HzbTask *best = NULL;
  double most = -1;

  for (guint i = 0; i < most_looks; i++)
    {
      HzbMachine *other = machines_with_lists->pdata[(first + i * step) % n];
      guint examined = 0;
      double u;
      if (other == m || !other->lists[level].length)
        continue;
      d->examined++;
      u = hzb_estimate_mean (&other->estimates[level]);
      if (u <= most)
        continue;
      for (GList *l = other->lists[level].head; l && examined < 8; l = l->next, examined++)
        {
          HzbTask *task = l->data;
          const HzbSpec *spec = task->job->spec;
          /* A replica is there sooner where its image is, even if that machine reports later. */
          gboolean waits = spec->service && g_hash_table_contains (other->images, spec->image)
                           && hzb_time_between (task->since, now) < 2 * d->settings->report_s;
          if (((cached || waits) && !g_hash_table_contains (m->images, spec->image)) || !hzb_machine_allowed (m, spec)
              || !hzb_machine_has_room (m, spec) || hzb_machine_avoids (m, task->job, now) || !may_start (d, task, m))
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
start_waiting (HzbDispatch *d, HzbMachine *m, guint level, struct timespec now, GArray *commands)
{
  GPtrArray *waiting = d->waiting[level];

  for (guint cached = 2; cached-- > 0;)
    for (guint i = 0; i < waiting->len && has_some_room (d, m); i++)
      {
        HzbJob *job = waiting->pdata[i];
        HzbTask *task;
        /* The order is that of the last run: what has changed since is looked at here. */
        if (!job->pending || job->state != HZB_JOB_ACCEPTED || job->level != level || job->failures
            || !hzb_machine_has_room (m, job->spec) || !hzb_machine_allowed (m, job->spec)
            || hzb_time_before (now, job->not_before) || hzb_machine_avoids (m, job, now)
            || (cached && !g_hash_table_contains (m->images, job->spec->image)) || !hzb_dispatch_team_may_use (d, job))
          continue;
        while (!overdue_start_placed (job) && hzb_machine_has_room (m, job->spec)
               && (task = hzb_job_next_pending (job, now)))
          {
            if (!may_start (d, task, m))
              {
                g_queue_push_head (&job->retry, task);
                break;
              }
            start (d, task, m, commands);
          }
      }
}

void
hzb_dispatch_start_tasks (HzbDispatch *d, HzbMachine *m, struct timespec now, GArray *commands)
{
  if (!hzb_machine_usable (m))
    return;
  /* Places held for gangs come first: they were counted as taken when they were booked. */
  for (guint i = 0; i < m->tasks->len; i++)
    {
      HzbTask *task = m->tasks->pdata[i];
      if (task->state == HZB_TASK_BOOKED)
        {
          start (d, task, m, commands);
          i = G_MAXUINT; /* the array was changed */
        }
    }
  if (d->generation != d->machines->generation)
    index_machines_with_lists (d); /* some of them may be no more */
  for (gint level = HZB_N_LEVELS - 1; level >= 0 && has_some_room (d, m); level--)
    {
      gboolean held_up = FALSE;
      if (halted_by_gang (d, m, (guint) level, now))
        break;
      for (GList *l = m->lists[level].head; l;)
        {
          HzbTask *task = l->data;
          l = l->next;
          if (!may_start (d, task, m))
            continue;
          if (!hzb_machine_has_room (m, task->job->spec))
            {
              held_up = TRUE; /* first come: nothing of this class or a lower one goes past it */
              break;
            }
          start (d, task, m, commands);
        }
      if (held_up)
        break;
      for (guint cached = 2; cached-- > 0 && d->machines_with_lists[level]->len;)
        {
          HzbTask *task;
          while (has_some_room (d, m) && (task = find_task_to_move (d, m, (guint) level, cached == 1, now)))
            start (d, task, m, commands);
        }
      start_waiting (d, m, (guint) level, now, commands);
    }
  hzb_preempt_on_machine (d, m, now, commands);
}
