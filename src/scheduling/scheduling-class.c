#include "scheduling-class.h"

#include "task.h"

#include <math.h>
#include <string.h>

/* Where the least goes first, the largest would wait for as long as smaller ones keep coming. Users want the largest
 * to begin within four minutes: after half of that the first task of any job goes before all but urgent work. */
#define OVERDUE_AFTER_S 120.0
#define OVERDUE_CLASS HZB_SCHEDULING_CLASS_URGENT
#define PRESSING_PART 0.25 /* of what the aim allows: with less left the job is pressing */
#define NO_AIM_ALLOWS_S 120.0

double
hzb_job_slack_s (const HzbSettings *settings, const HzbJob *job, struct timespec now, double *aim)
{
  double mean = hzb_job_mean_s (job), age = hzb_time_between (job->since, now), least = INFINITY,
         allows = NO_AIM_ALLOWS_S;
  gboolean any_aim = FALSE;

  for (guint i = 0; i < settings->objectives->len; i++)
    {
      const HzbObjective *objective = settings->objectives->pdata[i];
      double by;
      if (g_strcmp0 (objective->job_class, job->spec->job_class) != 0)
        continue;
      any_aim = TRUE;
      if (g_str_equal (objective->kind, "finished"))
        by = objective->within_s - 1.3 * mean;
      else if (g_str_equal (objective->kind, "wait"))
        by = objective->within_s;
      else if (g_str_equal (objective->kind, "deadline") && job->spec->deadline_s > 0)
        by = job->spec->deadline_s * MAX (objective->times, 1) - 1.3 * mean;
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
  if (isfinite (least))
    return least;
  /* Guards against a fleet that stays as small as for a job that just came, however long one without an aim waits. One
   * that has missed all its aims is in no such hurry. */
  return MAX (NO_AIM_ALLOWS_S - 1.3 * mean - (any_aim ? 0 : age), 10);
}

static gboolean
has_aim (const HzbSettings *settings, const HzbJob *job)
{
  for (guint i = 0; i < settings->objectives->len; i++)
    if (g_strcmp0 (((HzbObjective *) settings->objectives->pdata[i])->job_class, job->spec->job_class) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
is_pressing (const HzbSettings *settings, const HzbJob *job, struct timespec now)
{
  double aim, slack = hzb_job_slack_s (settings, job, now, &aim);
  /* Once pressing it stays so, or it would move back and forth as an aim is passed. */
  return job->scheduling_class == HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK
         || (slack < PRESSING_PART * aim && has_aim (settings, job));
}

/* High priorities come first, then what a team is guaranteed, then what will miss its aim unless it starts
 * soon, then the rest by priority; last the work of teams that are guaranteed nothing. */
static HzbSchedulingClass
scheduling_class_of (const HzbSettings *settings, const HzbJob *job, gboolean guest, struct timespec now)
{
  gboolean normal = job->spec->priority == HZB_PRIORITY_NORMAL;
  switch (job->spec->priority)
    {
    case HZB_PRIORITY_PRODUCTION:
      return HZB_SCHEDULING_CLASS_PRODUCTION;
    case HZB_PRIORITY_HIGH:
      return job->guaranteed ? HZB_SCHEDULING_CLASS_GUARANTEED_URGENT : HZB_SCHEDULING_CLASS_URGENT;
    default:
      if (guest)
        return HZB_SCHEDULING_CLASS_BEST_EFFORT;
      if (job->guaranteed)
        return normal ? HZB_SCHEDULING_CLASS_GUARANTEED_NORMAL : HZB_SCHEDULING_CLASS_GUARANTEED_IDLE;
      if (is_pressing (settings, job, now))
        return HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK;
      return normal ? HZB_SCHEDULING_CLASS_NORMAL : HZB_SCHEDULING_CLASS_IDLE;
    }
}

static gboolean
has_guarantee (const HzbTeam *team)
{
  return team->cpus > 0 || team->gpus > 0;
}

static gboolean
any_has_guarantee (const HzbSettings *settings)
{
  for (guint i = 0; i < settings->teams->len; i++)
    if (has_guarantee (settings->teams->pdata[i]))
      return TRUE;
  return FALSE;
}

static gboolean
is_start_overdue (const HzbJob *job, struct timespec now)
{
  return !(job->placed || job->finished || job->done || job->unconfirmed || job->spec->kind == HZB_JOB_GANG)
         && hzb_time_between (job->since, now) > OVERDUE_AFTER_S;
}

static void
set_scheduling_class (HzbJobs *jobs, HzbJob *job, HzbSchedulingClass scheduling_class)
{
  if (scheduling_class == job->scheduling_class)
    return;
  /* What waits in lists goes through them anew. */
  for (guint k = 0; job->queued && k < job->n_tasks; k++)
    if (job->tasks[k].state == HZB_TASK_QUEUED)
      hzb_task_set_state (jobs, &job->tasks[k], HZB_TASK_PENDING, NULL);
  job->scheduling_class = (guint8) scheduling_class;
}

void
hzb_scheduling_classes_update (HzbJobs *jobs, const HzbSettings *settings, struct timespec now)
{
  guint n = settings->teams->len;
  g_autofree double *cpus = g_new0 (double, n), *gpus = g_new0 (double, n);
  g_autoptr (GHashTable) overdue_guests = g_hash_table_new (g_str_hash, g_str_equal); /* classes */
  gboolean any_guarantee = any_has_guarantee (settings);

  for (guint i = 0; i < jobs->active->len; i++) /* by age */
    {
      HzbJob *job = jobs->active->pdata[i];
      const HzbTeam *team = settings->teams->pdata[job->team];
      gboolean guest = any_guarantee && !has_guarantee (team);
      HzbSchedulingClass scheduling_class;
      if (job->state != HZB_JOB_ACCEPTED)
        continue;
      job->mean_s = hzb_jobs_mean_s (jobs, job);
      /* Within its team's guarantee when it fits there together with the team's earlier unfinished jobs. */
      cpus[job->team] += job->spec->cpus * job->n_tasks;
      gpus[job->team] += job->spec->gpus * job->n_tasks;
      job->guaranteed = cpus[job->team] <= team->cpus + 1e-6 && gpus[job->team] <= team->gpus + 1e-6;
      scheduling_class = scheduling_class_of (settings, job, guest, now);
      /* Guards against a guest's swarm of small jobs that goes before all other work once it has waited: one job of
       * each class at a time does. */
      job->start_overdue =
          is_start_overdue (job, now) && (!guest || g_hash_table_add (overdue_guests, job->spec->job_class));
      if (job->start_overdue)
        scheduling_class = MAX (scheduling_class, OVERDUE_CLASS);
      set_scheduling_class (jobs, job, scheduling_class);
    }
}

/* Of a job that has to begin only one task goes first. */
gboolean
hzb_job_overdue_start_placed (const HzbJob *job)
{
  return job->start_overdue && (job->queued || job->placed);
}

static double
work_left (const HzbJob *job)
{
  return (job->pending + job->queued + job->unconfirmed + 0.5 * job->placed) * hzb_job_mean_s (job)
         * MAX (job->spec->cpus, 0.1);
}

/* Within a class first come, first served, except where many wait: of batch work the job with least left goes
 * first, since the aims count jobs that are over in time. What gets late is moved to a higher class. */
gint
hzb_scheduling_classes_compare (gconstpointer a, gconstpointer b)
{
  const HzbJob *x = *(HzbJob *const *) a, *y = *(HzbJob *const *) b;
  int order = (int) y->scheduling_class - (int) x->scheduling_class;
  if (order)
    return order;
  if (x->scheduling_class <= HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK)
    {
      double left = work_left (x), right = work_left (y);
      if (left != right)
        return left < right ? -1 : 1;
    }
  if (hzb_time_before (x->accepted, y->accepted))
    return -1;
  return hzb_time_before (y->accepted, x->accepted) ? 1 : strcmp (x->uid, y->uid);
}
