/* Large fleets: how many candidates a decision examines, and that the rules hold while many machines fail together.
 * Bounds are counts; no test here measures time. */
#include "sim-faults.h"
#include "support.h"
#include "worker-protocol.h"

#define MACHINES 1800u

/* ---- what a decision costs ---- */

static guint
examined_for_heartbeats (guint machines, guint jobs, guint *of_a_run)
{
  Bench b;
  g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
  struct timespec now;
  guint before;

  bench_up (&b, 7);
  now = hzb_clock_now (b.clock);
  for (guint i = 0; i < b.shard->n_teams; i++)
    b.shard->cpus_allowed[i] = 1e9;
  for (guint i = 0; i < machines; i++)
    bench_machine (&b, "small", i % 2 ? "za" : "zb", TRUE);
  for (guint i = 0; i < jobs; i++)
    bench_job (&b, i % 2 ? "red" : "blue", HZB_PRIORITY_NORMAL, 200, 1, 30);
  for (guint i = 0; i < 20; i++) /* until every run queue is full */
    hzb_dispatch_run (b.dispatch, now);
  before = b.dispatch->n_examined;
  hzb_dispatch_run (b.dispatch, now);
  *of_a_run = b.dispatch->n_examined - before;
  before = b.dispatch->n_examined;
  for (guint i = 0; i < 20; i++)
    hzb_dispatch_start_tasks (b.dispatch, b.machines->all->pdata[i], now, commands);
  before = b.dispatch->n_examined - before;
  g_assert_cmpuint (commands->len, ==, 20 * 4);
  bench_down (&b);
  return before;
}

/* A heartbeat examines a sample of run queues and a dispatch run a bounded number of machines, however large the fleet
 * is. */
static void
test_cost_of_decisions (void)
{
  static const guint fleets[] = { 40, 400, 1200, MACHINES };
  for (guint i = 0; i < G_N_ELEMENTS (fleets); i++)
    {
      guint run, heartbeats = examined_for_heartbeats (fleets[i], 200, &run);
      g_test_message ("%u machines: %u candidates examined for 20 reports, %u for a run", fleets[i], heartbeats, run);
      /* Four starts for each heartbeat, each after at most two scans of 32 run queues. */
      g_assert_cmpuint (heartbeats, <=, 20 * (4 + 1) * 2 * 32);
      g_assert_cmpuint (run, <=, 20000 + 400 * 8 + 200 * 8);
      /* An examination of every machine for every waiting job would exceed the bound on large fleets. */
      if (fleets[i] >= 400)
        g_assert_cmpuint (200 * fleets[i], >, 20000 + 400 * 8 + 200 * 8);
    }
}

/* ---- the simulated cluster ---- */

static guint
alive (Sim *sim)
{
  guint n = 0;
  for (guint i = 0; i < sim->machines->len; i++)
    n += !((SimMachine *) sim->machines->pdata[i])->terminated && !((SimMachine *) sim->machines->pdata[i])->crashed;
  return n;
}

/* Half of the machines crash within three seconds. */
static void
test_half_of_machines_crash (void)
{
  Sim *sim = large_fleet (11, MACHINES, 150, 60);
  guint rentals;
  for (guint i = 0; i < sim->machines->len; i += 2)
    {
      SimMachine *machine = sim->machines->pdata[i];
      machine->crashed = TRUE;
      g_ptr_array_set_size (machine->tasks, 0);
      if (i % 600 == 0)
        sim_run (sim, sim->now + 0.5);
    }
  rentals = sim->rental_calls;
  sim_run (sim, sim->now + 60);
  expect_no_violation (sim, "half of machines crash", 0);
  /* No burst of rental calls: one plan a second, and no more machines than are missing. */
  g_assert_cmpuint (sim->rental_calls - rentals, <, 60);
  g_assert_cmpuint (alive (sim), <=, MACHINES);
  sim_run (sim, 400);
  expect_all_finished (sim, "half of machines crash", 0);
  sim_free (sim);
}

/* The leader crashes while 300 machines are unresponsive: work on the other machines goes on, and new work starts at
 * once. */
static void
test_failover_with_unresponsive_machines (void)
{
  Sim *sim = large_fleet (12, MACHINES, 150, 200);
  guint started, cut = 0, written, at = (guint) MAX (sim_leader (sim), 0);
  double began;
  for (guint i = 0; i < sim->machines->len && cut < 300; i++)
    {
      SimMachine *machine = sim->machines->pdata[i];
      machine->partitioned = machine->up && i % 5 == 0;
      cut += machine->partitioned;
    }
  sim_crash (sim, at);
  began = sim->now;
  add_many_arrays (sim, 20, 5, 10);
  started = sim->tasks_started;
  written = sim->kv_writes;
  sim_run (sim, began + 25); /* no lease has expired and no machine can have been returned */
  expect_no_violation (sim, "failover with unresponsive machines", 0);
  g_assert_cmpint (sim_leader (sim), !=, -1);
  g_assert_cmpuint (sim->tasks_started - started, >, 100);
  /* Progress is written once a second, and pages that something waits for at once. If pages were written at each
   * heartbeat it would be 600 changes (tried by hand). */
  g_assert_cmpuint (sim->kv_writes - written, <, 25 * 10);
  sim_start (sim, at);
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->partitioned = FALSE;
  sim_run (sim, 700);
  expect_all_finished (sim, "failover with unresponsive machines", 0);
  sim_free (sim);
}

/* All controllers restart with the records of a day. */
static void
test_full_restart (void)
{
  Sim *sim = large_fleet (13, MACHINES, 200, 100);
  guint rows, requests, work = tasks_running (sim);
  double began;
  for (guint i = 0; i < SIM_NODES; i++)
    sim_crash (sim, i);
  sim_run (sim, sim->now + 1);
  rows = sim->kv_rows_read;
  requests = sim->kv_requests;
  for (guint i = 0; i < SIM_NODES; i++)
    sim_start (sim, i);
  began = sim->now;
  sim_run (sim, began + 8);
  g_assert_cmpint (sim_leader (sim), !=, -1);
  for (guint i = 0; i < SIM_NODES; i++)
    g_assert_true (hzb_controller_ready (sim->nodes[i].controller));
  /* Each controller reads all records once, and the leader also the part that only an owner reads. */
  g_assert_cmpuint (sim->kv_rows_read - rows, <=, (SIM_NODES + 1) * g_hash_table_size (sim->kv) + 20);
  g_assert_cmpuint (sim->kv_requests - requests, <, 1500);
  sim_run (sim, began + 24);
  /* No running task was lost: no lease has expired. */
  for (guint i = 0; i < sim->machines->len; i++)
    g_assert_cmpuint (((SimMachine *) sim->machines->pdata[i])->agent_epoch, ==, 1);
  g_assert_cmpuint (tasks_running (sim), >, work / 2);
  expect_no_violation (sim, "full restart", 0);
  sim_run (sim, 700);
  expect_all_finished (sim, "full restart", 0);
  sim_free (sim);
}

/* The leader stalls for longer than its lease while its clock runs on; another controller leads meanwhile. */
static void
test_stalled_leader (void)
{
  Sim *sim = large_fleet (14, 900, 120, 40);
  int old = sim_leader (sim);
  g_assert_cmpint (old, !=, -1);
  sim->nodes[old].paused = TRUE;
  sim_run (sim, sim->now + 22);
  sim_resume (sim, (guint) old);
  sim_run (sim, sim->now + 3);
  g_assert_false (hzb_election_is_leader (sim->nodes[old].controller->election));
  g_assert_cmpint (sim_leader (sim), !=, -1);
  /* The same with a leaseholder. */
  old = (sim_leader (sim) + 1) % SIM_NODES;
  sim->nodes[old].paused = TRUE;
  sim_run (sim, sim->now + 13);
  sim_resume (sim, (guint) old);
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
