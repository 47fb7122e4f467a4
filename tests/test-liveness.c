/* Liveness under faults: users keep getting responses about each accepted job. A status query about it never gets 404.
 * Some query gets a conclusive response within 75 s once the faults are over, and within 90 s while most other users
 * get conclusive responses. */
#include "sim-faults.h"

/* The bound while leaders crash one after another: a failover takes some 5 s, and a third of the queries go to a node
 * that is down. */
#define MAX_RESPONSE_GAP_S 45.0

/* `longest_job`: (out): the job with the longest gap; unchanged if no job has a gap */
static double
longest_response_gap_s (const Sim *sim, const SimJob **longest_job)
{
  double longest = 0;
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const SimJob *job = sim->jobs->pdata[i];
      if (job->longest_response_gap_s > longest)
        {
          longest = job->longest_response_gap_s;
          *longest_job = job;
        }
    }
  return longest;
}

static void
crash_and_restart_leader (Sim *sim, gpointer data)
{
  int leader = sim_leader (sim);
  if (leader >= 0)
    sim_crash (sim, (guint) leader);
  sim_schedule (sim, sim->now + 5, start_all_controllers, NULL);
}

static void
resume_machine (Sim *sim, gpointer machine)
{
  ((SimMachine *) machine)->hung = FALSE;
}

/* In a large fleet some machine hangs every second or two. */
static void
hang_random_machine (Sim *sim, gpointer data)
{
  SimMachine *machine = sim->machines->pdata[g_rand_int_range (sim->rand, 0, (gint32) sim->machines->len)];
  machine->hung = TRUE;
  sim_schedule (sim, sim->now + 34.5, resume_machine, machine);
}

/* Leaders crash one after another. Meanwhile machines hang, and users cancel a third of the jobs. */
static void
run_repeated_failover (guint32 seed, guint machines)
{
  Sim *sim = start_large_fleet (seed, machines, machines / 12, 150);
  const SimJob *job = NULL;
  double until = 150, longest;
  for (double at = 26; at < until; at += g_rand_double_range (sim->rand, 9, 16))
    sim_schedule (sim, at, crash_and_restart_leader, NULL);
  for (double at = 25; at < until; at += 1.5)
    sim_schedule (sim, at, hang_random_machine, NULL);
  for (guint i = 0; i < sim->jobs->len; i += 3)
    {
      SimJob *cancelled = sim->jobs->pdata[i];
      cancelled->wants_cancel = TRUE;
      cancelled->cancel_at = g_rand_double_range (sim->rand, 30, 60);
    }
  sim_run (sim, until + 10);
  longest = longest_response_gap_s (sim, &job);
  g_test_message ("%u machines, seed %u: the longest time without a response is %.1f s, about %s:\n%s", machines, seed,
                  longest, job ? job->uid : "none", job ? job->response_history->str : "");
  expect_no_violation (sim, "repeated failover", seed);
  g_assert_cmpfloat (longest, <, MAX_RESPONSE_GAP_S);
  start_all_controllers (sim, NULL);
  sim_run (sim, 700);
  expect_all_finished (sim, "repeated failover", seed);
  sim_free (sim);
}

static void
test_repeated_failover (void)
{
  for (guint32 seed = 300; seed < 303; seed++)
    run_repeated_failover (seed, 600);
  run_repeated_failover (303, 1500);
}

static gboolean
any_leader_is_loading (const Sim *sim)
{
  for (guint i = 0; i < SIM_NODES; i++)
    if (sim->nodes[i].controller && hzb_ownership_state (sim->nodes[i].controller->ownership) == HZB_OWNERSHIP_LOADING)
      return TRUE;
  return FALSE;
}

/* Jobs are cancelled while no controller leads, and an outage of the key-value store keeps the next leader from loading
 * its records for longer than cancel_s. The cancellations are confirmed, since every controller knows them, and no task
 * of these jobs keeps running. */
static void
test_cancellation_while_leader_loads (void)
{
  guint confirmed = 0;
  for (guint32 seed = 320; seed < 328; seed++)
    {
      Sim *sim = sim_new (seed);
      guint leader;
      for (guint i = 0; i < 8; i++)
        sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 4, 1.5, 120);
      sim_run (sim, 20);
      leader = (guint) MAX (sim_leader (sim), 0);
      sim_crash (sim, leader);
      sim_start (sim, leader);
      cancel_all_jobs (sim);
      while (!any_leader_is_loading (sim) && sim->now < 40)
        sim_run (sim, sim->now + 0.001);
      g_assert_true (any_leader_is_loading (sim));
      sim->kv_outage = TRUE;
      sim_run (sim, sim->now + sim->config.cancel_s + 15);
      g_assert_true (any_leader_is_loading (sim));
      for (guint i = 0; i < sim->jobs->len; i++)
        confirmed += ((SimJob *) sim->jobs->pdata[i])->confirmed_cancelled;
      g_test_message ("seed %u: %u cancellations confirmed up to this seed", seed, confirmed);
      sim->kv_outage = FALSE;
      sim_run (sim, sim->now + 500);
      expect_all_finished (sim, "cancellation while leader loads", seed);
      sim_free (sim);
    }
  g_assert_cmpuint (confirmed, >, 8);
}

/* One controller is down and no machine is reachable, so more cancellations than fit into one message cannot be
 * acknowledged. A cancellation that can be acknowledged must not wait behind them. */
static void
test_more_cancellations_than_one_message (void)
{
  for (guint32 seed = 340; seed < 344; seed++)
    {
      Sim *sim = sim_new (seed);
      SimJob *job;
      g_autofree char *path = NULL;
      guint follower, confirmed = 0, status = 0;
      for (guint i = 0; i < 90; i++)
        sim_add_job (sim, 1 + 0.1 * i, i % 2 ? "red" : "blue", 1, 0.25, 300);
      sim_run (sim, 25);
      for (guint i = 0; i < sim->machines->len; i++)
        ((SimMachine *) sim->machines->pdata[i])->partitioned = TRUE;
      cancel_all_jobs (sim);
      sim_crash (sim, (guint) MAX (sim_leader (sim), 0));
      while (sim_leader (sim) < 0 && sim->now < 40)
        sim_run (sim, sim->now + 0.1);
      job = sim_add_job (sim, sim->now, "red", 1, 0.25, 300);
      path = g_strdup_printf ("/api/jobs/%s/cancel", job->uid);
      while (!job->accepted && sim->now < 40)
        sim_run (sim, sim->now + 0.1);
      g_assert_true (job->accepted);
      follower = (guint) sim_leader (sim);
      for (guint i = 0; i < SIM_NODES; i++)
        if (sim->nodes[i].controller && (int) i != sim_leader (sim))
          follower = i;
      job->cancel_requested = TRUE;
      status = user_request (sim, follower, "POST", path, "", NULL);
      for (guint i = 0; i < 90; i++)
        confirmed += ((SimJob *) sim->jobs->pdata[i])->confirmed_cancelled;
      g_test_message ("seed %u: status %u at %.1f s, %u other cancellations confirmed", seed, status, sim->now,
                      confirmed);
      g_assert_cmpuint (confirmed, <, 90 - 64);
      g_assert_cmpuint (status, ==, 200);
      start_all_controllers (sim, NULL);
      for (guint i = 0; i < sim->machines->len; i++)
        ((SimMachine *) sim->machines->pdata[i])->partitioned = FALSE;
      sim_run (sim, 200);
      expect_all_finished (sim, "more cancellations than one message", seed);
      sim_free (sim);
    }
}

/* ---- messages between controllers ---- */

static guint
count_leaseholders (const Sim *sim)
{
  guint n = 0;
  for (guint i = 0; i < SIM_NODES; i++)
    n += sim->nodes[i].controller && hzb_ownership_is_leaseholder (sim->nodes[i].controller->ownership);
  return n;
}

static void
set_leader_cut_off_from_peers (Sim *sim, gboolean cut)
{
  sim->nodes[MAX (sim_leader (sim), 0)].cut_off_from_peers = cut;
}

/* Hundreds of machines with dozens of tasks each become unresponsive at the same time, while the leader is repeatedly
 * cut off from the leaseholders for 2.5 s. The events of a leaseholder then do not fit into one request, and no
 * shard may be lost because of that. */
static void
test_more_events_than_one_message (void)
{
  Sim *sim = sim_new_with_config (350, &sim_config_large);
  for (guint i = 0; i < 300; i++)
    sim_add_machine (sim, "big", i % 2 ? "za" : "zb", TRUE, g_rand_double_range (sim->rand, 1, 5));
  for (guint i = 0; i < 60; i++)
    sim_add_job (sim, 1 + 0.1 * i, i % 2 ? "red" : "blue", 150, 0.25, 300);
  sim_run (sim, 40);
  g_assert_cmpuint (count_leaseholders (sim), ==, SIM_NODES - 1);
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->partitioned = i % 3 > 0;
  for (guint i = 0; i < 60; i++) /* unresponsive after three missed heartbeats of 5 s */
    {
      set_leader_cut_off_from_peers (sim, i % 8 < 5);
      sim_run (sim, sim->now + 0.5);
    }
  set_leader_cut_off_from_peers (sim, FALSE);
  g_assert_cmpuint (count_leaseholders (sim), ==, SIM_NODES - 1);
  g_assert_cmpuint (sim->oversized_requests, ==, 0);
  expect_no_violation (sim, "more events than one message", 350);
  sim_free (sim);
}

/* ---- random faults ---- */

static void
pause_random_node (Sim *sim, gpointer data)
{
  guint node_index = (guint) g_rand_int_range (sim->rand, 0, SIM_NODES);
  if (sim->nodes[node_index].controller)
    sim->nodes[node_index].paused = TRUE;
}

static void
resume_all_nodes (Sim *sim, gpointer data)
{
  for (guint i = 0; i < SIM_NODES; i++)
    if (sim->nodes[i].paused)
      sim_resume (sim, i);
}

static void
partition_random_zone (Sim *sim, gpointer data)
{
  const char *zone = g_rand_boolean (sim->rand) ? "za" : "zb";
  for (guint i = 0; i < sim->machines->len; i++)
    {
      SimMachine *machine = sim->machines->pdata[i];
      machine->partitioned = g_str_equal (machine->zone, zone);
    }
}

static void
heal_network (Sim *sim, gpointer data)
{
  heal_controllers (sim, NULL);
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->partitioned = FALSE;
}

static void
cancel_random_jobs (Sim *sim, gpointer data)
{
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      SimJob *job = sim->jobs->pdata[i];
      if (job->accepted && !job->wants_cancel && g_rand_double (sim->rand) < 0.2)
        {
          job->wants_cancel = TRUE;
          job->cancel_at = sim->now;
        }
    }
}

/* Overlapping outages of the key-value store all end with the first end. During an outage no response can be proven
 * fresh, so a longer outage would exceed the test's bound on the time without a conclusive response. */
static void
begin_kv_outage (Sim *sim, gpointer data)
{
  sim->kv_outage = TRUE;
}

static void
end_kv_outage (Sim *sim, gpointer data)
{
  sim->kv_outage = FALSE;
}

static void
toggle_late_transactions (Sim *sim, gpointer data)
{
  sim->late_transaction_chance = sim->late_transaction_chance > 0 ? 0 : 0.2;
}

/* Schedules one random fault at the time `at`, and its end. Returns: the time of the end. */
static double
schedule_random_fault (Sim *sim, double at)
{
  double until = at + g_rand_double_range (sim->rand, 4, 45);
  switch (g_rand_int_range (sim->rand, 0, 8))
    {
    case 0:
    case 1:
      sim_schedule (sim, at, crash_and_restart_leader, NULL);
      break;
    case 2:
      until = at + g_rand_double_range (sim->rand, 10, 75);
      sim_schedule (sim, at, pause_random_node, NULL);
      sim_schedule (sim, until, resume_all_nodes, NULL);
      break;
    case 3:
      sim_schedule (sim, at, cut_off_leader_at_random, NULL);
      sim_schedule (sim, until, heal_network, NULL);
      break;
    case 4:
      sim_schedule (sim, at, begin_kv_outage, NULL);
      sim_schedule (sim, until, end_kv_outage, NULL);
      break;
    case 5:
      sim_schedule (sim, at, partition_random_zone, NULL);
      sim_schedule (sim, until, heal_network, NULL);
      break;
    case 6:
      sim_schedule (sim, at, toggle_late_transactions, NULL);
      sim_schedule (sim, until, toggle_late_transactions, NULL);
      break;
    default:
      sim_schedule (sim, at, crash_all_controllers, NULL);
      break;
    }
  return until;
}

static void
run_random_faults (guint32 seed, guint machines)
{
  SimConfig config = sim_config_large;
  Sim *sim;
  const SimJob *job = NULL;
  double end = 0, longest;
  config.machines = machines;
  config.retained_changes = 600;
  config.range_page_rows = 100;
  config.max_replicated_completed = 150;
  sim = sim_new_with_config (seed, &config);
  for (guint i = 0; i < machines; i++)
    sim_add_machine (sim, i % 3 ? "small" : "big", i % 2 ? "za" : "zb", TRUE, g_rand_double_range (sim->rand, 1, 5));
  for (guint i = 0; i < 40; i++)
    sim_add_job (sim, 1 + 0.5 * i, i % 2 ? "red" : "blue", (guint) g_rand_int_range (sim->rand, 10, 60), 1, 60);
  for (guint i = 0; i < 500; i++) /* one task each, four jobs a second, a quarter of them cancelled */
    sim_add_job (sim, 5 + 0.25 * i, i % 2 ? "red" : "blue", 1, 1, 8)->wants_cancel = i % 4 == 0;
  for (guint i = 0; i < 9; i++)
    end = MAX (end, schedule_random_fault (sim, g_rand_double_range (sim->rand, 20, 140)));
  for (guint i = 0; i < 3; i++)
    sim_schedule (sim, g_rand_double_range (sim->rand, 20, 140), cancel_random_jobs, NULL);
  for (double at = 20; at < 150; at += 600.0 / machines)
    sim_schedule (sim, at, hang_random_machine, NULL);
  end = MAX (end, 190);
  sim_run (sim, end + 1);
  sim->kv_outage = FALSE;
  sim->late_transaction_chance = 0;
  heal_network (sim, NULL);
  resume_all_nodes (sim, NULL);
  start_all_controllers (sim, NULL);
  sim_run (sim, end + 90);
  longest = longest_response_gap_s (sim, &job);
  g_test_message ("%u machines, seed %u: the longest time without a response is %.1f s, about %s", machines, seed,
                  longest, job ? job->uid : "none");
  sim_check_unanswered_jobs (sim);
  expect_no_violation (sim, "random faults", seed);
  sim_run (sim, end + 500);
  expect_all_finished (sim, "random faults", seed);
  sim_free (sim);
}

static void
test_random_faults (void)
{
  /* With -m slow, which is run by hand: 40 schedules. */
  for (guint32 seed = 360; seed < (g_test_slow () ? 400 : 363); seed++)
    run_random_faults (seed, 600);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/liveness/repeated-failover", test_repeated_failover);
  g_test_add_func ("/liveness/cancellation-while-leader-loads", test_cancellation_while_leader_loads);
  g_test_add_func ("/liveness/more-cancellations-than-one-message", test_more_cancellations_than_one_message);
  g_test_add_func ("/liveness/more-events-than-one-message", test_more_events_than_one_message);
  g_test_add_func ("/liveness/random-faults", test_random_faults);
  return g_test_run ();
}
