/* Steps of answering a heartbeat that can be played without a controller: whether a heartbeat is complete, and what a reclaim
 * notice stops. */
#include "support.h"
#include "worker-api-private.h"

/* A worker API that has a bench's modules and no others. */
typedef struct
{
  Bench bench;
  HzbWorkerApi api;
  HzbHeartbeatExchange exchange;
  HzbWorkerHeartbeat heartbeat;
} Play;

static void
play_up (Play *play)
{
  memset (play, 0, sizeof *play);
  bench_up (&play->bench, 1);
  play->api.with.jobs = play->bench.jobs;
  play->api.with.machines = play->bench.machines;
  play->api.with.dispatch = play->bench.dispatch;
  play->heartbeat.notice_s = -1;
  play->heartbeat.task_statuses = g_array_new (FALSE, TRUE, sizeof (HzbTaskStatus));
  play->exchange.heartbeat = &play->heartbeat;
  play->exchange.machine = bench_machine (&play->bench, "big", "za", TRUE);
  play->exchange.now = hzb_clock_now (play->bench.clock);
  play->exchange.commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
}

static void
play_down (Play *play)
{
  g_array_unref (play->exchange.commands);
  g_array_unref (play->heartbeat.task_statuses);
  bench_down (&play->bench);
}

static void
test_complete_under_our_token (void)
{
  Play play;
  play_up (&play);
  play.exchange.machine->first_exclusive_fencing_token = 5;
  play.exchange.machine->fencing_token = 7;
  for (guint64 token = 0; token < 10; token++)
    {
      play.heartbeat.fencing_token = token;
      g_assert_true (hzb_heartbeat_is_complete (&play.exchange) == (token >= 5 && token <= 7));
    }
  play_down (&play);
}

/* Without a fencing token, only the heartbeat of a machine that no leader has recorded, and that holds nothing, is complete. */
static void
test_complete_of_new_machine (void)
{
  HzbTaskStatus status = { 0 };
  Play play;
  play_up (&play);
  play.exchange.machine->first_exclusive_fencing_token = play.exchange.machine->fencing_token = 7;
  g_assert_false (hzb_heartbeat_is_complete (&play.exchange)); /* the machine is active */
  play.exchange.machine =
      hzb_machines_add (play.bench.machines, "i-new", "10.1.0.2:1", "big", "za", TRUE, HZB_MACHINE_BOOTING);
  play.exchange.machine->first_exclusive_fencing_token = play.exchange.machine->fencing_token = 7;
  play.exchange.machine->known_to_cloud = FALSE;
  g_assert_false (hzb_heartbeat_is_complete (&play.exchange)); /* perhaps a copy of a heartbeat from long ago */
  play.exchange.machine->known_to_cloud = TRUE;
  g_assert_true (hzb_heartbeat_is_complete (&play.exchange));
  g_array_append_val (play.heartbeat.task_statuses, status);
  g_assert_false (hzb_heartbeat_is_complete (&play.exchange));
  play_down (&play);
}

/* A job of one task that runs on the machine and is expected to need so long. */
static HzbTask *
running_task (Play *play, double estimate_s, double checkpoint_interval_s)
{
  HzbJob *job = bench_job (&play->bench, "red", HZB_PRIORITY_NORMAL, 1, 1, estimate_s);
  HzbTask *task = hzb_job_take_pending (job, play->exchange.now);

  job->spec->checkpoint_interval_s = checkpoint_interval_s;
  job->spec->checkpoint_duration_s = 2;
  g_assert_true (hzb_task_set_state (play->bench.jobs, task, HZB_TASK_QUEUED, play->exchange.machine));
  g_assert_true (hzb_task_set_state (play->bench.jobs, task, HZB_TASK_STARTING, play->exchange.machine));
  g_assert_true (hzb_task_set_state (play->bench.jobs, task, HZB_TASK_RUNNING, play->exchange.machine));
  return task;
}

static void
test_reclaim_notice (void)
{
  HzbTask *short_one, *a_bit_long, *hopeless, *saves_at_the_end, *saves;
  Play play;
  play_up (&play);
  short_one = running_task (&play, 10, 0);
  a_bit_long = running_task (&play, 35, 0); /* below 1.3 times the notice: its estimate may be wrong */
  hopeless = running_task (&play, 60, 0);
  saves_at_the_end = running_task (&play, 25, 5);
  saves = running_task (&play, 28, 5); /* too late to begin a checkpoint if it should not end by itself */
  play.heartbeat.notice_s = 30;
  hzb_reclaim_notice_apply (&play.api, &play.exchange);
  g_assert_cmpint (play.exchange.machine->state, ==, HZB_MACHINE_DRAINING);
  g_assert_false (short_one->stopping);
  g_assert_false (a_bit_long->stopping);
  g_assert_false (saves_at_the_end->stopping);
  g_assert_true (hopeless->stopping);
  g_assert_true (saves->stopping);
  g_assert_cmpuint (play.exchange.commands->len, ==, 2);
  for (guint i = 0; i < play.exchange.commands->len; i++)
    g_assert_cmpint (g_array_index (play.exchange.commands, HzbCommand, i).kind, ==, HZB_COMMAND_STOP);
  /* A task that is being stopped gets no second command from the notice of the next heartbeat. */
  hzb_reclaim_notice_apply (&play.api, &play.exchange);
  g_assert_cmpuint (play.exchange.commands->len, ==, 2);
  play_down (&play);
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
