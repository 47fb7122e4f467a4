/* Steps of handling a heartbeat that need no controller: whether a heartbeat is complete, and which tasks a reclaim
 * notice stops. */
#include "support.h"
#include "worker-api-private.h"

/* A worker API that has only the modules of a bench, and one heartbeat from a machine of that bench. */
typedef struct
{
  Bench bench;
  HzbWorkerApi api;
  HzbHeartbeatExchange exchange;
  HzbWorkerHeartbeat heartbeat;
} HeartbeatFixture;

static void
fixture_set_up (HeartbeatFixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  bench_init (&fixture->bench, 1);
  fixture->api.dependencies.jobs = fixture->bench.jobs;
  fixture->api.dependencies.machines = fixture->bench.machines;
  fixture->api.dependencies.dispatch = fixture->bench.dispatch;
  fixture->heartbeat.notice_s = -1;
  fixture->heartbeat.task_statuses = g_array_new (FALSE, TRUE, sizeof (HzbTaskStatus));
  fixture->exchange.heartbeat = &fixture->heartbeat;
  fixture->exchange.machine = bench_add_machine (&fixture->bench, "big", "za", TRUE);
  fixture->exchange.now = hzb_clock_now (fixture->bench.clock);
  fixture->exchange.commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
}

static void
fixture_tear_down (HeartbeatFixture *fixture)
{
  g_array_unref (fixture->exchange.commands);
  g_array_unref (fixture->heartbeat.task_statuses);
  bench_clear (&fixture->bench);
}

static void
test_complete_under_our_token (void)
{
  HeartbeatFixture fixture;
  fixture_set_up (&fixture);
  fixture.exchange.machine->first_exclusive_fencing_token = 5;
  fixture.exchange.machine->fencing_token = 7;
  for (guint64 token = 0; token < 10; token++)
    {
      fixture.heartbeat.fencing_token = token;
      g_assert_true (hzb_heartbeat_is_complete (&fixture.exchange) == (token >= 5 && token <= 7));
    }
  fixture_tear_down (&fixture);
}

/* A heartbeat without a fencing token is complete only if no leader has recorded the machine, the cloud knows the
 * machine, and the heartbeat lists no task. */
static void
test_complete_of_new_machine (void)
{
  HzbTaskStatus status = { 0 };
  HeartbeatFixture fixture;
  fixture_set_up (&fixture);
  fixture.exchange.machine->first_exclusive_fencing_token = fixture.exchange.machine->fencing_token = 7;
  g_assert_false (hzb_heartbeat_is_complete (&fixture.exchange)); /* the machine is active */
  fixture.exchange.machine =
      hzb_machines_add (fixture.bench.machines, "i-new", "10.1.0.2:1", "big", "za", TRUE, HZB_MACHINE_BOOTING);
  fixture.exchange.machine->first_exclusive_fencing_token = fixture.exchange.machine->fencing_token = 7;
  fixture.exchange.machine->known_to_cloud = FALSE;
  /* The heartbeat may be a delayed copy from a machine that is long gone. */
  g_assert_false (hzb_heartbeat_is_complete (&fixture.exchange));
  fixture.exchange.machine->known_to_cloud = TRUE;
  g_assert_true (hzb_heartbeat_is_complete (&fixture.exchange));
  g_array_append_val (fixture.heartbeat.task_statuses, status);
  g_assert_false (hzb_heartbeat_is_complete (&fixture.exchange));
  fixture_tear_down (&fixture);
}

/* Returns: the only task of a new job, running on the machine, with this estimated run time in seconds.
 * @checkpoint_interval_s 0: the task saves no checkpoints */
static HzbTask *
running_task (HeartbeatFixture *fixture, double estimate_s, double checkpoint_interval_s)
{
  HzbJob *job = bench_add_job (&fixture->bench, "red", HZB_PRIORITY_NORMAL, 1, 1, estimate_s);
  HzbTask *task = hzb_job_take_pending (job, fixture->exchange.now);

  job->spec->checkpoint_interval_s = checkpoint_interval_s;
  job->spec->checkpoint_duration_s = 2;
  g_assert_true (hzb_task_set_state (fixture->bench.jobs, task, HZB_TASK_QUEUED, fixture->exchange.machine));
  g_assert_true (hzb_task_set_state (fixture->bench.jobs, task, HZB_TASK_STARTING, fixture->exchange.machine));
  g_assert_true (hzb_task_set_state (fixture->bench.jobs, task, HZB_TASK_RUNNING, fixture->exchange.machine));
  return task;
}

static void
test_reclaim_notice (void)
{
  HzbTask *short_task, *within_estimate_error, *long_task, *checkpointed_short_task, *checkpointed_long_task;
  HeartbeatFixture fixture;
  fixture_set_up (&fixture);
  short_task = running_task (&fixture, 10, 0);
  within_estimate_error = running_task (&fixture, 35, 0); /* below 1.3 times the notice: the estimate may be wrong */
  long_task = running_task (&fixture, 60, 0);
  checkpointed_short_task = running_task (&fixture, 25, 5);
  /* Saving a checkpoint takes 2 s, so it must begin 28 s after the notice at the latest. If the task did not end at
   * that time, as estimated, no time would be left for a checkpoint. */
  checkpointed_long_task = running_task (&fixture, 28, 5);
  fixture.heartbeat.notice_s = 30;
  hzb_reclaim_notice_apply (&fixture.api, &fixture.exchange);
  g_assert_cmpint (fixture.exchange.machine->state, ==, HZB_MACHINE_DRAINING);
  g_assert_false (short_task->stopping);
  g_assert_false (within_estimate_error->stopping);
  g_assert_false (checkpointed_short_task->stopping);
  g_assert_true (long_task->stopping);
  g_assert_true (checkpointed_long_task->stopping);
  g_assert_cmpuint (fixture.exchange.commands->len, ==, 2);
  for (guint i = 0; i < fixture.exchange.commands->len; i++)
    g_assert_cmpint (g_array_index (fixture.exchange.commands, HzbCommand, i).kind, ==, HZB_COMMAND_STOP);
  /* The notice in the next heartbeat adds no second stop command for a task that is being stopped. */
  hzb_reclaim_notice_apply (&fixture.api, &fixture.exchange);
  g_assert_cmpuint (fixture.exchange.commands->len, ==, 2);
  fixture_tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/worker-heartbeat/complete-under-our-token", test_complete_under_our_token);
  g_test_add_func ("/worker-heartbeat/complete-of-new-machine", test_complete_of_new_machine);
  g_test_add_func ("/worker-heartbeat/reclaim-notice", test_reclaim_notice);
  return g_test_run ();
}
