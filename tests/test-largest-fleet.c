/* The largest fleets, 4,000 and 6,000 machines: no limit in the program is reached, and all rules hold while many
 * machines fail. CI runs the short form; -m slow plays more seeds and sizes, -m perf measures. */
#include "sim-faults.h"
#include "user-protocol.h"

#include <malloc.h>

#define MACHINES 4000u
#define MACHINES_LATER 6000u
#define UP_BY_S 30.0 /* from the first job on: eight calls a second for 50 machines each, and the time to boot */

static SimConfig
config_of (guint machines)
{
  SimConfig config = sim_config_large;
  config.machines = machines + machines / 20;
  config.team_max = 5000;
  config.check_interval_s = 2;
  return config;
}

static void
add_machines (Sim *sim, guint machines)
{
  for (guint i = 0; i < machines; i++)
    sim_add_machine (sim, i % 3 ? "small" : "big", i % 2 ? "za" : "zb", TRUE, g_rand_double_range (sim->rand, 1, 5));
}

/* So many machines, at work for some 20 s, with three jobs for every 40 machines. */
static Sim *
fleet_at_work (guint32 seed, guint machines, double run_s)
{
  SimConfig config = config_of (machines);
  Sim *sim = sim_new_with_config (seed, &config);
  add_machines (sim, machines);
  add_many_arrays (sim, machines * 3 / 40, 10, run_s);
  sim_run (sim, 30);
  expect_no_violation (sim, "a fleet at work", seed);
  g_assert_cmpint (sim_leader (sim), >=, 0);
  return sim;
}

static gboolean
a_leader_verified_all (const Sim *sim)
{
  for (guint i = 0; i < SIM_NODES; i++)
    if (sim->nodes[i].controller && hzb_ownership_state (sim->nodes[i].controller->ownership) == HZB_OWNERSHIP_READY)
      return TRUE;
  return FALSE;
}

/* Returns: after how many seconds all machines are verified by the leader. */
static double
run_until_all_verified (Sim *sim, double most_s)
{
  double began = sim->now;
  while (!a_leader_verified_all (sim) && sim->now < began + most_s)
    sim_run (sim, sim->now + 0.1);
  return sim->now - began;
}

static void
cancel_some (Sim *sim, guint every)
{
  for (guint i = 0; i < sim->jobs->len; i += every)
    {
      SimJob *job = sim->jobs->pdata[i];
      job->wants_cancel = TRUE;
      job->cancel_at = sim->now;
    }
}

static void
cut_machines (Sim *sim, const char *zone, guint every)
{
  for (guint i = 0; i < sim->machines->len; i++)
    {
      SimMachine *machine = sim->machines->pdata[i];
      machine->partitioned = zone ? g_str_equal (machine->zone, zone) : i % every == 0;
    }
}

static void
heal_machines (Sim *sim)
{
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->partitioned = FALSE;
}

static void
expect_messages_fit (const Sim *sim)
{
  g_assert_cmpuint (sim->oversized_requests, ==, 0);
  g_assert_cmpuint (sim->largest_request, <=, HZB_MAX_BODY);
}

static void
finish (Sim *sim, const char *what, guint32 seed)
{
  sim->kv_outage = FALSE;
  heal_controllers (sim, NULL);
  heal_machines (sim);
  start_all_controllers (sim, NULL);
  sim->faults_over_at = sim->now + 40;
  sim_run (sim, sim->now + 500);
  expect_messages_fit (sim);
  expect_all_finished (sim, what, seed);
  sim_free (sim);
}

/* The leader crashes under load; then a zone is partitioned and users cancel by the hundred; then every second machine
 * is partitioned, the key-value store has an outage, and all controllers crash. */
static void
play_failures (guint32 seed, guint machines)
{
  Sim *sim = fleet_at_work (seed, machines, 120);
  guint leader = (guint) sim_leader (sim);
  double answered;

  sim_crash (sim, leader);
  sim_run (sim, sim->now + 8);
  sim_start (sim, leader);
  answered = run_until_all_verified (sim, 30);
  g_test_message ("%u machines, seed %u: all were verified by the next leader %.1f s after the crash", machines, seed,
                  answered + 8);
  g_assert_cmpfloat (answered, <, 30);
  cut_machines (sim, "za", 0);
  cancel_some (sim, 3);
  sim_run (sim, sim->now + 15);
  cut_machines (sim, NULL, 2);
  sim_run (sim, sim->now + 10);
  sim->kv_outage = TRUE;
  sim_run (sim, sim->now + 8);
  sim->kv_outage = FALSE;
  crash_all_controllers (sim, NULL);
  sim_run (sim, sim->now + 20);
  expect_no_violation (sim, "failures", seed);
  finish (sim, "failures", seed);
}

static void
test_failures (void)
{
  play_failures (800, MACHINES);
  for (guint32 seed = 801; g_test_slow () && seed < 806; seed++)
    {
      play_failures (seed, MACHINES);
      play_failures (seed, MACHINES_LATER);
    }
}

/* The work comes while no machine is rented, and the cloud has just enough of one type. Returns: (transfer full): the
 * cluster, with its machines up. */
static Sim *
fleet_scaled_out_from_zero (guint32 seed, guint machines)
{
  SimConfig config = config_of (machines);
  Sim *sim;
  guint up = 0;
  config.machines = machines;
  config.cloud_rps = 8;
  sim = sim_new_with_config (seed, &config);
  sim->zone_without_capacity = "zb";
  add_many_arrays (sim, machines / 4, 5, 120);
  for (guint i = 0; i < sim->jobs->len; i++)
    ((SimJob *) sim->jobs->pdata[i])->type = "small";
  sim_run (sim, UP_BY_S);
  for (guint i = 0; i < sim->machines->len; i++)
    up += ((SimMachine *) sim->machines->pdata[i])->up;
  g_test_message ("%u machines, seed %u: %u are up after %g s, by %u calls", machines, seed, up, UP_BY_S,
                  sim->rental_calls);
  expect_no_violation (sim, "scale out from zero", seed);
  g_assert_cmpuint (up, >, machines * 9 / 10);
  return sim;
}

static void
test_scale_out_from_zero (void)
{
  sim_free (fleet_scaled_out_from_zero (810, MACHINES));
}

/* Runs until all jobs are terminal. The first seed is known to be red: see KNOWN-RED.txt. */
static void
test_scale_out_from_zero_to_completion (void)
{
  Sim *sim = fleet_scaled_out_from_zero (810, MACHINES);
  sim->faults_over_at = sim->now + 40;
  sim_run (sim, sim->now + 150); /* fails here, so that the known red test takes no longer than it has to */
  expect_no_violation (sim, "from none, full", 810);
  finish (sim, "scale out from zero", 810);
  for (guint32 seed = 811; g_test_slow () && seed < 816; seed++)
    {
      finish (fleet_scaled_out_from_zero (seed, MACHINES), "scale out from zero", seed);
      finish (fleet_scaled_out_from_zero (seed, MACHINES_LATER), "scale out from zero", seed);
    }
}

/* ---- messages ---- */

/* More jobs run than fit one heartbeat between controllers: every controller still shows the counts of all of them. */
static void
test_more_jobs_than_one_message (void)
{
  SimConfig config = config_of (300);
  Sim *sim = sim_new_with_config (820, &config);
  guint leader, jobs = 2200, running;
  add_machines (sim, 300);
  for (guint i = 0; i < jobs; i++)
    sim_add_job (sim, 1 + 0.005 * i, i % 2 ? "red" : "blue", 1, 0.25, 500);
  sim_run (sim, 60);
  running = tasks_running (sim);
  leader = (guint) MAX (sim_leader (sim), 0);
  g_assert_cmpuint (running, >, jobs * 9 / 10);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      HzbController *controller = sim->nodes[i].controller;
      guint shown = 0;
      for (guint k = 0; k < sim->jobs->len; k++)
        {
          const HzbJob *job = hzb_jobs_find (controller->jobs, ((SimJob *) sim->jobs->pdata[k])->uid);
          guint done, of_job;
          hzb_peers_task_counts (controller->peers, job->uid, &done, &of_job);
          shown += i == leader ? job->running + job->delegated_running : of_job;
        }
      g_test_message ("node %u shows %u of %u tasks", i, shown, running);
      g_assert_cmpuint (shown, >, running * 95 / 100);
      g_assert_cmpuint (shown, <=, running);
    }
  expect_messages_fit (sim);
  sim_free (sim);
}

/* ---- measurement ---- */

static void
measure (guint machines)
{
  static const char *const names[] = { "ticks", "heartbeats", "users", "peers", "responses" };
  Sim *sim = fleet_at_work (830, machines, 300);
  g_autoptr (GString) text = g_string_new (NULL);
  guint requests = sim->kv_requests, written = sim->kv_writes, leader;
  double answered, began = sim->now;

  sim->measures = TRUE;
  sim_run (sim, began + 60);
  for (guint i = 0; i < SIM_N_PARTS; i++)
    g_string_append_printf (text, " %s %.2f", names[i], (double) sim->spent_us[i] / 1e3 / 60);
  leader = (guint) sim_leader (sim);
  requests = sim->kv_requests - requests;
  written = sim->kv_writes - written;
  sim_crash (sim, leader);
  while (sim_leader (sim) < 0)
    sim_run (sim, sim->now + 0.1);
  answered = run_until_all_verified (sim, 60);
  g_test_message (
      "%u machines: ms of processor a second, all controllers:%s; key-value store %.1f requests, %.2f changes a "
      "second; largest request %.1f KiB, reply %.1f KiB; all machines verified by the next leader after %.1f s; heap %.1f MiB",
      machines, text->str, requests / 60.0, written / 60.0, (double) sim->largest_request / 1024,
      (double) sim->largest_reply / 1024, answered, (double) mallinfo2 ().uordblks / 1048576);
  sim_free (sim);
}

static void
test_measure (void)
{
  static const guint fleets[] = { 600, 1200, 2400, 4000, 6000 };
  for (guint i = 0; g_test_perf () && i < G_N_ELEMENTS (fleets); i++)
    measure (fleets[i]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/largest-fleet/failures", test_failures);
  g_test_add_func ("/largest-fleet/scale-out-from-zero", test_scale_out_from_zero);
  g_test_add_func ("/largest-fleet/scale-out-from-zero-to-completion", test_scale_out_from_zero_to_completion);
  g_test_add_func ("/largest-fleet/more-jobs-than-one-message", test_more_jobs_than_one_message);
  g_test_add_func ("/largest-fleet/measure", test_measure);
  return g_test_run ();
}
