#include "scheduling-class.h"

#include "rounding.h"
#include "task.h"

#include <math.h>
#include <string.h>

/* Where the job with the least work goes first, the largest job would wait for as long as smaller ones keep coming.
 * Users want the largest to begin within four minutes: after half of that the first task of any job goes before all but
 * urgent work. */
#define OVERDUE_AFTER_S 120.0
#define OVERDUE_CLASS HZB_SCHEDULING_CLASS_URGENT

/* With less left than this part of what the objective allows, the objective is at risk. */
#define AT_RISK_PART 0.25

/* Objectives about the end of a job have to allow for its run time, and something for a mean that is too low. */
#define RUN_TIME_RESERVE 1.3

#define NO_OBJECTIVE_ALLOWS_S 120.0
#define LEAST_SLACK_S 10

/* Part of a placed task's work that counts as left. */
#define PLACED_PART 0.5
#define LEAST_CPUS 0.1

/* ---- service-level objectives ---- */

static gboolean
is_for_class_of (const HzbObjective *objective, const HzbJob *job)
{
  return g_strcmp0 (objective->job_class, job->spec->job_class) == 0;
}

/* Seconds after its acceptance by which the tasks of the job must start for the objective to be met; -INFINITY: the
 * objective does not depend on that. */
static double
start_by_s (const HzbObjective *objective, const HzbJob *job)
{
  if (g_str_equal (objective->kind, "finished"))
    return objective->within_s - RUN_TIME_RESERVE * hzb_job_mean_s (job);
  if (g_str_equal (objective->kind, "wait"))
    return objective->within_s;
  if (g_str_equal (objective->kind, "deadline") && job->spec->deadline_s > 0)
    return job->spec->deadline_s * MAX (objective->times, 1) - RUN_TIME_RESERVE * hzb_job_mean_s (job);
  return -INFINITY;
}

static gboolean
has_objective (const HzbSettings *settings, const HzbJob *job)
{
  for (guint i = 0; i < settings->objectives->len; i++)
    if (is_for_class_of (settings->objectives->pdata[i], job))
      return TRUE;
  return FALSE;
}

/* A job without an objective asks for more machines the longer it waits: otherwise the fleet would stay as small as for
 * a job that just came. A job that has missed all its objectives is in no such hurry. */
static double
slack_without_objective_s (const HzbSettings *settings, const HzbJob *job, double age)
{
  double waited = has_objective (settings, job) ? 0 : age;
  return MAX (NO_OBJECTIVE_ALLOWS_S - RUN_TIME_RESERVE * hzb_job_mean_s (job) - waited, LEAST_SLACK_S);
}

double
hzb_job_slack_s (const HzbSettings *settings, const HzbJob *job, struct timespec now, double *aim)
{
  double age = hzb_time_between (job->since, now), least = INFINITY, allows = NO_OBJECTIVE_ALLOWS_S;

  for (guint i = 0; i < settings->objectives->len; i++)
    {
      const HzbObjective *objective = settings->objectives->pdata[i];
      double by = is_for_class_of (objective, job) ? start_by_s (objective, job) : -INFINITY;
      if (by > age && by - age < least)
        {
          least = by - age;
          allows = by;
        }
    }
  if (aim)
    *aim = allows;
  return isfinite (least) ? least : slack_without_objective_s (settings, job, age);
}

static gboolean
objective_is_at_risk (const HzbSettings *settings, const HzbJob *job, struct timespec now)
{
  double aim, slack = hzb_job_slack_s (settings, job, now, &aim);

  /* Once at risk it stays so, or the job would move back and forth as it misses one objective after the other. */
  return job->scheduling_class == HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK
         || (slack < AT_RISK_PART * aim && has_objective (settings, job));
}

/* ---- guarantees ---- */

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

/* ---- the class of a job ---- */

static gboolean
is_start_overdue (const HzbJob *job, struct timespec now)
{
  return !(job->placed || job->finished || job->done || job->unconfirmed || job->spec->kind == HZB_JOB_GANG)
         && hzb_time_between (job->since, now) > OVERDUE_AFTER_S;
}

/* High priorities come first, then work within guarantees, then work whose objective is at risk, then the rest by
 * priority, and last the work of teams without a guarantee where others have one (@best_effort). */
static HzbSchedulingClass
class_without_overdue (const HzbSettings *settings, const HzbJob *job, gboolean best_effort, struct timespec now)
{
  gboolean normal = job->spec->priority == HZB_PRIORITY_NORMAL;

  if (job->spec->priority == HZB_PRIORITY_PRODUCTION)
    return HZB_SCHEDULING_CLASS_PRODUCTION;
  if (job->spec->priority == HZB_PRIORITY_HIGH)
    return job->guaranteed ? HZB_SCHEDULING_CLASS_GUARANTEED_URGENT : HZB_SCHEDULING_CLASS_URGENT;
  if (best_effort)
    return HZB_SCHEDULING_CLASS_BEST_EFFORT;
  if (job->guaranteed)
    return normal ? HZB_SCHEDULING_CLASS_GUARANTEED_NORMAL : HZB_SCHEDULING_CLASS_GUARANTEED_IDLE;
  if (objective_is_at_risk (settings, job, now))
    return HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK;
  return normal ? HZB_SCHEDULING_CLASS_NORMAL : HZB_SCHEDULING_CLASS_IDLE;
}

static void
set_scheduling_class (HzbJobs *jobs, HzbJob *job, HzbSchedulingClass scheduling_class)
{
  if (scheduling_class == job->scheduling_class)
    return;
  /* Queued tasks are placed again, in run queues of the new class. */
  for (guint k = 0; job->queued && k < job->n_tasks; k++)
    if (job->tasks[k].state == HZB_TASK_QUEUED)
      hzb_task_set_state (jobs, &job->tasks[k], HZB_TASK_PENDING, NULL);
  job->scheduling_class = (guint8) scheduling_class;
}

void
hzb_scheduling_classes_update (HzbJobs *jobs, const HzbSettings *settings, struct timespec now)
{
  guint n_teams = settings->teams->len;
  g_autofree double *cpus = g_new0 (double, n_teams), *gpus = g_new0 (double, n_teams);    /* of the jobs so far */
  g_autoptr (GHashTable) overdue_best_effort = g_hash_table_new (g_str_hash, g_str_equal); /* job classes */
  gboolean any_guarantee = any_has_guarantee (settings);

  for (guint i = 0; i < jobs->active->len; i++) /* The oldest job comes first. */
    {
      HzbJob *job = jobs->active->pdata[i];
      const HzbTeam *team = settings->teams->pdata[job->team];
      gboolean best_effort = any_guarantee && !has_guarantee (team);
      HzbSchedulingClass scheduling_class;
      if (job->state != HZB_JOB_ACCEPTED)
        continue;
      job->mean_s = hzb_jobs_mean_s (jobs, job);
      cpus[job->team] += job->spec->cpus * job->n_tasks;
      gpus[job->team] += job->spec->gpus * job->n_tasks;
      job->guaranteed = cpus[job->team] <= team->cpus + HZB_ROUNDING && gpus[job->team] <= team->gpus + HZB_ROUNDING;
      scheduling_class = class_without_overdue (settings, job, best_effort, now);
      /* Of a team without a guarantee only one overdue job of each class at a time goes first, or a swarm of its small
       * jobs would go before all other work. */
      job->start_overdue =
          is_start_overdue (job, now) && (!best_effort || g_hash_table_add (overdue_best_effort, job->spec->job_class));
      if (job->start_overdue)
        scheduling_class = MAX (scheduling_class, OVERDUE_CLASS);
      set_scheduling_class (jobs, job, scheduling_class);
    }
}

gboolean
hzb_job_overdue_start_placed (const HzbJob *job)
{
  return job->start_overdue && (job->queued || job->placed);
}

/* ---- the order within a class ---- */

/* CPU-seconds of work that the job has left. */
static double
work_left (const HzbJob *job)
{
  return (job->pending + job->queued + job->unconfirmed + PLACED_PART * job->placed) * hzb_job_mean_s (job)
         * MAX (job->spec->cpus, LEAST_CPUS);
}

/* First come, first served, except in the classes where many jobs wait: there the job with the least work left goes
 * first, since objectives count the jobs that end in time. A job that gets late moves to a higher class. */
gint
hzb_scheduling_classes_compare (gconstpointer a, gconstpointer b)
{
  const HzbJob *x = *(HzbJob *const *) a, *y = *(HzbJob *const *) b;

  if (x->scheduling_class != y->scheduling_class)
    return (int) y->scheduling_class - (int) x->scheduling_class;
  if (x->scheduling_class <= HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK)
    {
      double left_of_x = work_left (x), left_of_y = work_left (y);
      if (left_of_x != left_of_y)
        return left_of_x < left_of_y ? -1 : 1;
    }
  if (hzb_time_before (x->accepted, y->accepted))
    return -1;
  return hzb_time_before (y->accepted, x->accepted) ? 1 : strcmp (x->uid, y->uid);
}
