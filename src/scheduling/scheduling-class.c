#include "scheduling-class.h"

#include "rounding.h"
#include "task-table.h"
#include "task.h"

#include <math.h>
#include <string.h>

/* In the classes where the job with the least work goes first, a large job would starve while smaller ones keep
 * arriving. Users want even the largest job to start within four minutes, so after half of that time the first task of
 * any job other than a gang goes before all other work except urgent work. */
#define START_OVERDUE_AFTER_S 120.0
#define MIN_OVERDUE_CLASS HZB_SCHEDULING_CLASS_URGENT

/* An objective is at risk if less than this fraction of the time that it allows is left. */
#define AT_RISK_FRACTION 0.25

/* For objectives about the end of a job, the expected run time is multiplied by this factor, since the estimated mean
 * may be too low. */
#define RUN_TIME_SAFETY_FACTOR 1.3

/* For a job without an objective that can still be met: the seconds within which it should end, see hzb_job_slack_s(),
 * and the minimum of its slack in seconds. */
#define DEFAULT_START_LIMIT_S 120.0
#define MIN_SLACK_S 10

/* Fraction of a placed task's work that counts as remaining. */
#define PLACED_REMAINING_FRACTION 0.5

/* A task that requests fewer CPUs counts as if it requested this many when the remaining work of jobs is compared. */
#define MIN_CPUS 0.1

/* ---- service-level objectives ---- */

static gboolean
objective_applies (const HzbObjective *objective, const HzbJob *job)
{
  return g_strcmp0 (objective->job_class, job->spec->job_class) == 0;
}

/* Returns: the seconds after its acceptance within which the job's tasks must start for the objective to be met;
 * -INFINITY: the objective sets no limit on the start */
static double
objective_start_limit_s (const HzbObjective *objective, const HzbJob *job)
{
  if (g_str_equal (objective->kind, "finished"))
    return objective->within_s - RUN_TIME_SAFETY_FACTOR * hzb_job_mean_s (job);
  if (g_str_equal (objective->kind, "wait"))
    return objective->within_s;
  if (g_str_equal (objective->kind, "deadline") && job->spec->deadline_s > 0)
    return job->spec->deadline_s * MAX (objective->deadline_factor, 1) - RUN_TIME_SAFETY_FACTOR * hzb_job_mean_s (job);
  return -INFINITY;
}

static gboolean
has_objective (const HzbSettings *settings, const HzbJob *job)
{
  for (guint i = 0; i < settings->objectives->len; i++)
    if (objective_applies (settings->objectives->pdata[i], job))
      return TRUE;
  return FALSE;
}

/* The slack of a job that has no objective, or has missed all of them. Without an objective the slack shrinks as the
 * job waits, so that the autoscaler rents more machines for it: otherwise the fleet would stay as small as for a job
 * that has just been accepted. For a job that has missed all its objectives, the slack does not shrink. */
static double
slack_without_objective_s (const HzbSettings *settings, const HzbJob *job, double age)
{
  double waited = has_objective (settings, job) ? 0 : age;
  return MAX (DEFAULT_START_LIMIT_S - RUN_TIME_SAFETY_FACTOR * hzb_job_mean_s (job) - waited, MIN_SLACK_S);
}

double
hzb_job_slack_s (const HzbSettings *settings, const HzbJob *job, struct timespec now, double *start_limit_s)
{
  double age = hzb_time_between (job->since, now), min_slack = INFINITY, limit = DEFAULT_START_LIMIT_S;

  for (guint i = 0; i < settings->objectives->len; i++)
    {
      const HzbObjective *objective = settings->objectives->pdata[i];
      double objective_limit =
          objective_applies (objective, job) ? objective_start_limit_s (objective, job) : -INFINITY;
      if (objective_limit > age && objective_limit - age < min_slack)
        {
          min_slack = objective_limit - age;
          limit = objective_limit;
        }
    }
  if (start_limit_s)
    *start_limit_s = limit;
  return isfinite (min_slack) ? min_slack : slack_without_objective_s (settings, job, age);
}

static gboolean
objective_is_at_risk (const HzbSettings *settings, const HzbJob *job, struct timespec now)
{
  double start_limit_s, slack = hzb_job_slack_s (settings, job, now, &start_limit_s);

  /* A job stays in this class: otherwise it would move back and forth as it misses one objective after the other. */
  return job->scheduling_class == HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK
         || (slack < AT_RISK_FRACTION * start_limit_s && has_objective (settings, job));
}

/* ---- guarantees of teams ---- */

static gboolean
has_guarantee (const HzbTeam *team)
{
  return team->cpus > 0 || team->gpus > 0;
}

static gboolean
any_team_has_guarantee (const HzbSettings *settings)
{
  for (guint i = 0; i < settings->teams->len; i++)
    if (has_guarantee (settings->teams->pdata[i]))
      return TRUE;
  return FALSE;
}

/* ---- scheduling classes ---- */

static gboolean
is_start_overdue (const HzbJob *job, struct timespec now)
{
  return !(job->placed || job->finished || job->done || job->unconfirmed || job->spec->kind == HZB_JOB_GANG)
         && hzb_time_between (job->since, now) > START_OVERDUE_AFTER_S;
}

/* Returns: the scheduling class of the job, without regard to an overdue start. High priorities come first, then work
 * within guarantees, then work whose objective is at risk, then the other work by priority. Work of teams without a
 * guarantee comes last if other teams have one (@best_effort). */
static HzbSchedulingClass
base_scheduling_class (const HzbSettings *settings, const HzbJob *job, gboolean best_effort, struct timespec now)
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
  HzbTask *task;

  if (scheduling_class == job->scheduling_class)
    return;
  /* Queued tasks are placed again, in run queues of the new class. */
  for (guint k = 0; job->queued && (task = hzb_task_table_next (job->tasks, &k));)
    if (task->state == HZB_TASK_QUEUED)
      hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
  job->scheduling_class = (guint8) scheduling_class;
}

void
hzb_scheduling_classes_update (HzbJobs *jobs, const HzbSettings *settings, struct timespec now)
{
  guint n_teams = settings->teams->len;
  g_autofree double *cpus = g_new0 (double, n_teams),
                    *gpus = g_new0 (double, n_teams); /* by team: requested by its jobs examined so far */
  g_autoptr (GHashTable) overdue_best_effort = g_hash_table_new (g_str_hash, g_str_equal); /* set of job classes */
  gboolean any_guarantee = any_team_has_guarantee (settings);

  for (guint i = 0; i < jobs->active->len; i++) /* The oldest job is first. */
    {
      HzbJob *job = jobs->active->pdata[i];
      const HzbTeam *team = settings->teams->pdata[job->team];
      gboolean best_effort = any_guarantee && !has_guarantee (team);
      HzbSchedulingClass scheduling_class;
      if (job->state != HZB_JOB_ACCEPTED)
        continue;
      job->mean_s = hzb_jobs_expected_run_time_s (jobs, job);
      cpus[job->team] += job->spec->cpus * job->n_tasks;
      gpus[job->team] += job->spec->gpus * job->n_tasks;
      job->guaranteed =
          cpus[job->team] <= team->cpus + HZB_AMOUNT_TOLERANCE && gpus[job->team] <= team->gpus + HZB_AMOUNT_TOLERANCE;
      scheduling_class = base_scheduling_class (settings, job, best_effort, now);
      /* For teams without a guarantee, only one overdue job of each job class at a time goes first: otherwise many
       * small jobs of such a team would go before all other work. */
      job->start_overdue =
          is_start_overdue (job, now) && (!best_effort || g_hash_table_add (overdue_best_effort, job->spec->job_class));
      if (job->start_overdue)
        scheduling_class = MAX (scheduling_class, MIN_OVERDUE_CLASS);
      set_scheduling_class (jobs, job, scheduling_class);
    }
}

gboolean
hzb_job_overdue_start_placed (const HzbJob *job)
{
  return job->start_overdue && (job->queued || job->placed);
}

/* ---- order within a scheduling class ---- */

/* Returns: CPU-seconds of work that the job has left */
static double
remaining_work (const HzbJob *job)
{
  return (job->pending + job->queued + job->unconfirmed + PLACED_REMAINING_FRACTION * job->placed)
         * hzb_job_mean_s (job) * MAX (job->spec->cpus, MIN_CPUS);
}

/* The order is first come, first served. Only in the classes up to HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK, where many
 * jobs wait, the job with the least remaining work goes first, since objectives count the jobs that end in time. A job
 * that is about to miss its objective moves to a higher class. */
gint
hzb_scheduling_classes_compare (gconstpointer a, gconstpointer b)
{
  const HzbJob *x = *(HzbJob *const *) a, *y = *(HzbJob *const *) b;

  if (x->scheduling_class != y->scheduling_class)
    return (int) y->scheduling_class - (int) x->scheduling_class;
  if (x->scheduling_class <= HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK)
    {
      double x_work = remaining_work (x), y_work = remaining_work (y);
      if (x_work != y_work)
        return x_work < y_work ? -1 : 1;
    }
  if (hzb_time_before (x->accepted, y->accepted))
    return -1;
  return hzb_time_before (y->accepted, x->accepted) ? 1 : strcmp (x->uid, y->uid);
}
