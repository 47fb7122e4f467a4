/* Large fleets: the number of candidates that a scheduling decision examines, and the rules of the protocol while many
 * machines fail together. The bounds are counts; no test here measures time. */
#include "sim-faults.h"
#include "support.h"
#include "worker-protocol.h"

#define MACHINES 1800u

/* ---- cost of scheduling decisions ---- */

/* A run examines at most 20,000 candidates in full searches. After that it examines samples of 8 machines: one sample
 * for each of at most 400 tasks that it places, and one for each of 200 jobs whose next task finds no machine. */
#define MAX_EXAMINED_PER_RUN (20000 + 400 * 8 + 200 * 8)

/* Returns: the number of candidates that are examined for 20 heartbeats, one each from 20 machines of a fleet with
 * waiting tasks. @examined_per_run: set to the number that one run of the dispatcher examines */
static guint
count_examined_for_heartbeats (guint n_machines, guint n_jobs, guint *examined_per_run)
{
  Bench b;
  g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
  struct timespec now;
  guint n_examined;

  bench_init (&b, 7);
  now = hzb_clock_now (b.clock);
  for (guint i = 0; i < b.shard->n_teams; i++)
    b.shard->cpus_allowed[i] = 1e9;
  for (guint i = 0; i < n_machines; i++)
    bench_add_machine (&b, "small", i % 2 ? "za" : "zb", TRUE);
  for (guint i = 0; i < n_jobs; i++)
    bench_add_job (&b, i % 2 ? "red" : "blue", HZB_PRIORITY_NORMAL, 200, 1, 30);
  for (guint i = 0; i < 20; i++) /* fills all run queues */
    hzb_dispatch_run (b.dispatch, now);
  n_examined = b.dispatch->n_examined;
  hzb_dispatch_run (b.dispatch, now);
  *examined_per_run = b.dispatch->n_examined - n_examined;
  n_examined = b.dispatch->n_examined;
  for (guint i = 0; i < 20; i++)
    hzb_dispatch_start_tasks (b.dispatch, b.machines->all->pdata[i], now, commands);
  n_examined = b.dispatch->n_examined - n_examined;
  g_assert_cmpuint (commands->len, ==, 20 * 4);
  bench_clear (&b);
  return n_examined;
}

/* Guards against decisions whose cost grows with the fleet: a heartbeat examines a sample of run queues, and a run of
 * the dispatcher a bounded number of machines. */
static void
test_cost_of_decisions (void)
{
  static const guint fleets[] = { 40, 400, 1200, MACHINES };
  for (guint i = 0; i < G_N_ELEMENTS (fleets); i++)
    {
      guint run, heartbeats = count_examined_for_heartbeats (fleets[i], 200, &run);
      g_test_message ("%u machines: %u candidates examined for 20 heartbeats, %u for a run of the dispatcher",
                      fleets[i], heartbeats, run);
      /* Each heartbeat starts four tasks after at most two scans of 32 run queues each; one search may find no task. */
      g_assert_cmpuint (heartbeats, <=, 20 * (4 + 1) * 2 * 32);
      g_assert_cmpuint (run, <=, MAX_EXAMINED_PER_RUN);
      /* The bound is strict enough: examining every machine for every waiting job would exceed it on large fleets. */
      if (fleets[i] >= 400)
        g_assert_cmpuint (200 * fleets[i], >, MAX_EXAMINED_PER_RUN);
    }
}

/* ---- the simulated cluster ---- */

/* Returns: the number of machines that have neither crashed nor been returned */
static guint
count_alive_machines (Sim *sim)
{
  guint n = 0;
  for (guint i = 0; i < sim->machines->len; i++)
    n += !((SimMachine *) sim->machines->pdata[i])->terminated && !((SimMachine *) sim->machines->pdata[i])->crashed;
  return n;
}

/* Guards against a burst of rental calls, surplus machines and lost work when half of the machines crash within
 * 1.5 s. */
static void
test_half_of_machines_crash (void)
{
  Sim *sim = start_large_fleet (11, MACHINES, 150, 60);
  guint rental_calls_before;
  for (guint i = 0; i < sim->machines->len; i += 2)
    {
      SimMachine *machine = sim->machines->pdata[i];
      machine->crashed = TRUE;
      g_ptr_array_set_size (machine->tasks, 0);
      if (i % 600 == 0)
        sim_run (sim, sim->now + 0.5);
    }
  rental_calls_before = sim->rental_calls;
  sim_run (sim, sim->now + 60);
  expect_no_violation (sim, "half of machines crash", 0);
  /* The leader plans rentals once a second, and rents no more machines than are missing. */
  g_assert_cmpuint (sim->rental_calls - rental_calls_before, <, 60);
  g_assert_cmpuint (count_alive_machines (sim), <=, MACHINES);
  sim_run (sim, 400);
  expect_all_finished (sim, "half of machines crash", 0);
  sim_free (sim);
}

/* The leader crashes while 300 machines are unresponsive. Guards against a next leader that waits for these machines:
 * work on the other machines has to go on, and new work has to start at once. */
static void
test_failover_with_unresponsive_machines (void)
{
  Sim *sim = start_large_fleet (12, MACHINES, 150, 200);
  guint started_before, n_partitioned = 0, changes_before, leader = (guint) MAX (sim_leader (sim), 0);
  double crashed_at;
  for (guint i = 0; i < sim->machines->len && n_partitioned < 300; i++)
    {
      SimMachine *machine = sim->machines->pdata[i];
      machine->partitioned = machine->up && i % 5 == 0;
      n_partitioned += machine->partitioned;
    }
  sim_crash (sim, leader);
  crashed_at = sim->now;
  add_many_arrays (sim, 20, 5, 10);
  started_before = sim->tasks_started;
  changes_before = sim->kv_writes;
  sim_run (sim, crashed_at + 25); /* no lease (26.5 s) has expired, so no machine can have been returned */
  expect_no_violation (sim, "failover with unresponsive machines", 0);
  g_assert_cmpint (sim_leader (sim), !=, -1);
  g_assert_cmpuint (sim->tasks_started - started_before, >, 100);
  /* Pages of progress are written once a second, and at once if something waits for them. Writing them at each
   * heartbeat would take 600 changes. */
  g_assert_cmpuint (sim->kv_writes - changes_before, <, 25 * 10);
  sim_start (sim, leader);
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->partitioned = FALSE;
  sim_run (sim, 700);
  expect_all_finished (sim, "failover with unresponsive machines", 0);
  sim_free (sim);
}

/* Guards against a restart of all controllers that reads records repeatedly or loses running tasks. */
static void
test_full_restart (void)
{
  Sim *sim = start_large_fleet (13, MACHINES, 200, 100);
  guint rows_before, requests_before, running_before = count_running_tasks (sim);
  double restarted_at;
  for (guint i = 0; i < SIM_NODES; i++)
    sim_crash (sim, i);
  sim_run (sim, sim->now + 1);
  rows_before = sim->kv_rows_read;
  requests_before = sim->kv_requests;
  for (guint i = 0; i < SIM_NODES; i++)
    sim_start (sim, i);
  restarted_at = sim->now;
  sim_run (sim, restarted_at + 8);
  g_assert_cmpint (sim_leader (sim), !=, -1);
  for (guint i = 0; i < SIM_NODES; i++)
    g_assert_true (hzb_controller_is_ready (sim->nodes[i].controller));
  /* Each controller reads all records once, and the leader then those that only an owner reads. */
  g_assert_cmpuint (sim->kv_rows_read - rows_before, <=, (SIM_NODES + 1) * g_hash_table_size (sim->kv) + 20);
  g_assert_cmpuint (sim->kv_requests - requests_before, <, 1500);
  sim_run (sim, restarted_at + 24);
  /* No lease has expired, so no running task was lost. */
  for (guint i = 0; i < sim->machines->len; i++)
    g_assert_cmpuint (((SimMachine *) sim->machines->pdata[i])->agent_epoch, ==, 1);
  g_assert_cmpuint (count_running_tasks (sim), >, running_before / 2);
  expect_no_violation (sim, "full restart", 0);
  sim_run (sim, 700);
  expect_all_finished (sim, "full restart", 0);
  sim_free (sim);
}

/* Guards against a leader that goes on leading after a stall: its process stalls for longer than its lease while its
 * clock runs on, and another controller leads meanwhile. The same holds for a leaseholder. */
static void
test_stalled_leader (void)
{
  Sim *sim = start_large_fleet (14, 900, 120, 40);
  int stalled_node = sim_leader (sim);
  g_assert_cmpint (stalled_node, !=, -1);
  sim->nodes[stalled_node].paused = TRUE;
  sim_run (sim, sim->now + 22);
  sim_resume (sim, (guint) stalled_node);
  sim_run (sim, sim->now + 3);
  g_assert_false (hzb_election_is_leader (sim->nodes[stalled_node].controller->election));
  g_assert_cmpint (sim_leader (sim), !=, -1);
  /* Then the process of a leaseholder stalls. */
  stalled_node = (sim_leader (sim) + 1) % SIM_NODES;
  sim->nodes[stalled_node].paused = TRUE;
  sim_run (sim, sim->now + 13);
  sim_resume (sim, (guint) stalled_node);
  sim_run (sim, sim->now + 30);
  expect_no_violation (sim, "stalled leader", 0);
  sim_run (sim, 500);
  expect_all_finished (sim, "stalled leader", 0);
  sim_free (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/scale/cost-of-decisions", test_cost_of_decisions);
  g_test_add_func ("/scale/half-of-machines-crash", test_half_of_machines_crash);
  g_test_add_func ("/scale/failover-with-unresponsive-machines", test_failover_with_unresponsive_machines);
  g_test_add_func ("/scale/full-restart", test_full_restart);
  g_test_add_func ("/scale/stalled-leader", test_stalled_leader);
  return g_test_run ();
}
