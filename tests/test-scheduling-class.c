/* Tests of scheduling classes, slack, and the order of jobs. */
#include "scheduling-class.h"

#include "support.h"

static void
add_objective (Bench *b, const char *kind, double within_s, double times)
{
  HzbObjective *objective = g_new0 (HzbObjective, 1);
  objective->kind = g_strdup (kind);
  objective->job_class = g_strdup ("lane"); /* the class of bench_add_job() */
  objective->within_s = within_s;
  objective->deadline_factor = times;
  g_ptr_array_add (b->settings->objectives, objective);
}

static double
slack (Bench *b, const HzbJob *job, double *start_limit_s)
{
  return hzb_job_slack_s (b->settings, job, hzb_clock_now (b->clock), start_limit_s);
}

/* The class follows from the priority and from the team's guarantee (8 CPUs), which the team's oldest jobs use
 * first. */
static void
test_priority_and_guarantee (void)
{
  Bench b;
  HzbJob *within, *beyond, *idle, *urgent, *production;
  bench_init (&b, 1);
  within = bench_add_job (&b, "red", HZB_PRIORITY_NORMAL, 4, 2, 10);
  hzb_clock_advance (b.clock, 1);
  beyond = bench_add_job (&b, "red", HZB_PRIORITY_NORMAL, 1, 1, 10);
  idle = bench_add_job (&b, "red", HZB_PRIORITY_IDLE, 1, 1, 10);
  urgent = bench_add_job (&b, "red", HZB_PRIORITY_HIGH, 1, 1, 10);
  production = bench_add_job (&b, "red", HZB_PRIORITY_PRODUCTION, 1, 1, 10);
  g_assert_cmpint (within->scheduling_class, ==, HZB_SCHEDULING_CLASS_GUARANTEED_NORMAL);
  g_assert_cmpint (beyond->scheduling_class, ==, HZB_SCHEDULING_CLASS_NORMAL);
  g_assert_cmpint (idle->scheduling_class, ==, HZB_SCHEDULING_CLASS_IDLE);
  g_assert_cmpint (urgent->scheduling_class, ==, HZB_SCHEDULING_CLASS_URGENT);
  g_assert_cmpint (production->scheduling_class, ==, HZB_SCHEDULING_CLASS_PRODUCTION);
  bench_clear (&b);
}

/* A job that has waited for two minutes without a start moves to the urgent class until its first task is queued. */
static void
test_overdue (void)
{
  Bench b;
  HzbJob *job;
  bench_init (&b, 1);
  job = bench_add_job (&b, "red", HZB_PRIORITY_IDLE, 50, 1, 10);
  hzb_clock_advance (b.clock, 119);
  hzb_scheduling_classes_update (b.jobs, b.settings, hzb_clock_now (b.clock));
  g_assert_cmpint (job->scheduling_class, ==, HZB_SCHEDULING_CLASS_IDLE);
  hzb_clock_advance (b.clock, 2);
  hzb_scheduling_classes_update (b.jobs, b.settings, hzb_clock_now (b.clock));
  g_assert_cmpint (job->scheduling_class, ==, HZB_SCHEDULING_CLASS_URGENT);
  g_assert_false (hzb_job_overdue_start_placed (job));
  hzb_task_set_state (b.jobs, hzb_job_take_pending (job, hzb_clock_now (b.clock)), HZB_TASK_QUEUED,
                      bench_add_machine (&b, "big", "za", FALSE));
  g_assert_true (hzb_job_overdue_start_placed (job));
  bench_clear (&b);
}

/* Of two objectives, the nearest one that is not missed yet determines the slack. */
static void
test_slack (void)
{
  Bench b;
  HzbJob *job;
  double start_limit_s = 0;
  bench_init (&b, 1);
  job = bench_add_job (&b, "red", HZB_PRIORITY_NORMAL, 50, 1, 10);
  g_assert_cmpfloat_with_epsilon (slack (&b, job, &start_limit_s), 120 - 1.3 * 10, 1e-9); /* without an objective */
  g_assert_cmpfloat_with_epsilon (start_limit_s, 120, 1e-9);
  add_objective (&b, "wait", 30, 0);
  add_objective (&b, "finished", 100, 0);
  hzb_clock_advance (b.clock, 5);
  g_assert_cmpfloat_with_epsilon (slack (&b, job, &start_limit_s), 25, 1e-9);
  g_assert_cmpfloat_with_epsilon (start_limit_s, 30, 1e-9);
  hzb_clock_advance (b.clock, 30);
  g_assert_cmpfloat_with_epsilon (slack (&b, job, &start_limit_s), 100 - 1.3 * 10 - 35, 1e-9);
  g_assert_cmpfloat_with_epsilon (start_limit_s, 100 - 1.3 * 10, 1e-9);
  hzb_clock_advance (b.clock, 70); /* both are missed */
  g_assert_cmpfloat_with_epsilon (slack (&b, job, &start_limit_s), 120 - 1.3 * 10, 1e-9);
  bench_clear (&b);
}

/* A job whose objective is at risk moves to a higher class, and stays there after the objective is missed. */
static void
test_objective_at_risk (void)
{
  Bench b;
  HzbJob *job;
  bench_init (&b, 1);
  add_objective (&b, "wait", 100, 0);
  job = bench_add_job (&b, "red", HZB_PRIORITY_NORMAL, 50, 1, 10);
  for (guint at = 1; at < 115; at++)
    {
      hzb_clock_advance (b.clock, 1);
      hzb_scheduling_classes_update (b.jobs, b.settings, hzb_clock_now (b.clock));
      g_assert_cmpint (job->scheduling_class, ==,
                       at > 75 ? HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK : HZB_SCHEDULING_CLASS_NORMAL);
    }
  bench_clear (&b);
}

/* Within the normal class, the job with the least remaining work goes first; within the urgent class, the oldest
 * job. */
static void
test_order_within_class (void)
{
  Bench b;
  HzbJob *large, *small, *old, *young;
  bench_init (&b, 1);
  large = bench_add_job (&b, "red", HZB_PRIORITY_NORMAL, 50, 1, 10);
  small = bench_add_job (&b, "red", HZB_PRIORITY_NORMAL, 20, 1, 10);
  old = bench_add_job (&b, "red", HZB_PRIORITY_HIGH, 50, 1, 10);
  young = bench_add_job (&b, "red", HZB_PRIORITY_HIGH, 20, 1, 10);
  g_assert_cmpint (hzb_scheduling_classes_compare (&small, &large), <, 0);
  g_assert_cmpint (hzb_scheduling_classes_compare (&large, &small), >, 0);
  g_assert_cmpint (hzb_scheduling_classes_compare (&old, &young), <, 0);
  g_assert_cmpint (hzb_scheduling_classes_compare (&young, &small), <, 0);
  bench_clear (&b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/scheduling-class/priority-and-guarantee", test_priority_and_guarantee);
  g_test_add_func ("/scheduling-class/overdue", test_overdue);
  g_test_add_func ("/scheduling-class/slack", test_slack);
  g_test_add_func ("/scheduling-class/objective-at-risk", test_objective_at_risk);
  g_test_add_func ("/scheduling-class/order-within-class", test_order_within_class);
  return g_test_run ();
}
