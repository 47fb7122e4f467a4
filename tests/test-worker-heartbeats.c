/* Delayed and duplicated heartbeats of workers, one-way partitions, and fencing tokens, in a simulated cluster. */
#include "sim-faults.h"

#include <string.h>

/* A machine is partitioned one way: its heartbeats arrive, but no response reaches it. Its lease expires although every
 * heartbeat was answered. The machine must get no further work and be returned to the cloud, and its tasks must run on
 * other machines. Even seeds use a machine of the leader, odd seeds a leased machine. */
static void
test_one_way_partition (void)
{
  for (guint32 seed = 80; seed < 84; seed++)
    {
      Sim *sim = sim_new (seed);
      HzbMachineState state = seed % 2 ? HZB_MACHINE_LEASED : HZB_MACHINE_ACTIVE;
      SimMachine *machine;
      const HzbMachine *known;
      double began;
      add_arrays (sim, 10);
      machine = run_until_machine_is (sim, state);
      began = sim->now;
      machine->one_way_partitioned = TRUE;
      sim_run (sim, began + 16);
      g_assert_cmpuint (machine->agent_epoch, >, 1);
      known = hzb_machines_find (sim->nodes[sim_leader (sim)].controller->machines, machine->name);
      g_assert_true (!known || !hzb_machine_is_usable (known));
      sim_run (sim, began + 50);
      g_assert_true (machine->terminated);
      sim_run (sim, 500);
      expect_all_finished (sim, "one way partition", seed);
      sim_free (sim);
    }
}

/* During a one-way partition that is shorter than a lease, the machine is not returned and its tasks are not lost. */
static void
test_short_one_way_partition (void)
{
  Sim *sim = sim_new (84);
  SimMachine *machine;
  add_arrays (sim, 10);
  machine = run_until_machine_is (sim, HZB_MACHINE_ACTIVE);
  machine->one_way_partitioned = TRUE;
  sim_run (sim, sim->now + 3);
  machine->one_way_partitioned = FALSE;
  sim_run (sim, sim->now + 15);
  g_assert_cmpuint (machine->agent_epoch, ==, 1);
  g_assert_false (machine->terminated);
  sim_run (sim, 400);
  expect_all_finished (sim, "short one way partition", 84);
  sim_free (sim);
}

/* A machine is partitioned one way when the leader crashes: it sends heartbeats, but never with the new leader's
 * fencing token. The new leader must not wait for it indefinitely. */
static void
test_one_way_partition_during_failover (void)
{
  Sim *sim = sim_new (85);
  SimMachine *machine;
  int leader;
  add_arrays (sim, 10);
  machine = run_until_machine_is (sim, HZB_MACHINE_ACTIVE);
  leader = sim_leader (sim);
  machine->one_way_partitioned = TRUE;
  sim_crash (sim, (guint) leader);
  sim_run (sim, sim->now + 25);
  g_assert_cmpint (sim_leader (sim), !=, -1);
  g_assert_cmpint (hzb_ownership_state (sim->nodes[sim_leader (sim)].controller->ownership), ==, HZB_OWNERSHIP_READY);
  g_assert_true (machine->terminated);
  sim_start (sim, (guint) leader);
  sim_run (sim, 400);
  expect_all_finished (sim, "one way partition during failover", 85);
  sim_free (sim);
}

/* Delayed and duplicated heartbeats are refused. If they were applied, their empty task lists would make running tasks
 * pending, and the tasks would be started a second time. */
static void
test_late_heartbeat (void)
{
  Sim *sim = sim_new (11);
  SimMachine *machine;
  guint started;
  sim_add_job (sim, 1, "red", 6, 2, 60);
  machine = run_until_machine_is (sim, HZB_MACHINE_ACTIVE);
  sim_run (sim, 25);
  started = sim->tasks_started;
  g_assert_cmpuint (send_heartbeat_to_leader (sim, machine, machine->agent_epoch, 1, ""), ==, 503);
  g_assert_cmpuint (send_heartbeat_to_leader (sim, machine, machine->agent_epoch, machine->sequence, ""), ==, 503);
  sim_run (sim, 32);
  g_assert_cmpuint (sim->tasks_started, ==, started);
  sim_run (sim, 200);
  expect_all_finished (sim, "late heartbeat", 11);
  sim_free (sim);
}

/* Once a machine's lease has certainly expired, a heartbeat of the same agent epoch must not make the machine active
 * again, whatever its sequence number. A heartbeat from an unknown machine may be a delayed copy from a terminated
 * machine, so an unknown machine must get no work. */
static void
test_late_copy_does_not_revive_expired_epoch (void)
{
  Sim *sim = sim_new (86);
  SimMachine *machine, terminated = { .name = (char *) "i-900001", .type = (char *) "big", .zone = (char *) "za" };
  HzbController *controller;
  add_arrays (sim, 10);
  machine = run_until_machine_is (sim, HZB_MACHINE_ACTIVE);
  controller = sim->nodes[sim_leader (sim)].controller;
  machine->partitioned = TRUE;
  sim_run (sim, sim->now + 13);
  g_assert_cmpint (hzb_machines_find (controller->machines, machine->name)->state, ==, HZB_MACHINE_LEASE_EXPIRED);
  g_assert_cmpuint (send_heartbeat_to_leader (sim, machine, 1, 100000, ""), ==, 503);
  g_assert_cmpint (hzb_machines_find (controller->machines, machine->name)->state, ==, HZB_MACHINE_LEASE_EXPIRED);
  g_assert_cmpuint (send_heartbeat_to_leader (sim, &terminated, 1, 1, ""), ==, 200);
  g_assert_nonnull (strstr (last_response_body, "\"orders\":[]"));
  g_assert_false (hzb_machine_is_usable (hzb_machines_find (controller->machines, terminated.name)));
  machine->partitioned = FALSE;
  sim_run (sim, 600);
  expect_all_finished (sim, "late copy does not revive expired epoch", 86);
  sim_free (sim);
}

/* Delayed copies of heartbeats, and with odd seeds also of messages between controllers, arrive at any controller while
 * controllers and machines fail. */
static void
test_late_copies_under_failures (void)
{
  for (guint32 seed = 90; seed < 98; seed++)
    {
      Sim *sim = sim_new (seed);
      sim->heartbeat_copy_chance = 0.4;
      sim->peer_copy_chance = seed % 2 ? 0.4 : 0;
      add_arrays (sim, 12);
      for (guint i = 0; i < 3; i++)
        {
          sim_schedule (sim, g_rand_double_range (sim->rand, 10, 60), crash_random_controller, NULL);
          sim_schedule (sim, g_rand_double_range (sim->rand, 10, 60), fail_random_machine, NULL);
          sim_schedule (sim, g_rand_double_range (sim->rand, 15, 70), start_all_controllers, NULL);
        }
      if (seed % 4 == 3)
        sim_schedule (sim, g_rand_double_range (sim->rand, 15, 50), crash_all_controllers, NULL);
      sim_schedule (sim, 75, start_all_controllers, NULL);
      sim_run (sim, 80);
      sim->heartbeat_copy_chance = sim->peer_copy_chance = 0;
      sim_run (sim, 650);
      expect_all_finished (sim, "late copies under failures", seed);
      sim_free (sim);
    }
}

/* A worker's heartbeat has a fencing token of a later term than the leader's, so another leader was elected: the leader
 * must step down. */
static void
test_newer_fencing_token (void)
{
  Sim *sim = sim_new (12);
  SimMachine *machine;
  HzbController *controller;
  sim_add_job (sim, 1, "red", 2, 2, 30);
  sim_run (sim, 20);
  machine = find_machine_with_tasks (sim);
  controller = sim->nodes[sim_leader (sim)].controller;
  machine->fencing_token += hzb_fencing_token (7, 0);
  g_assert_cmpuint (send_heartbeat_to_leader (sim, machine, machine->agent_epoch, machine->sequence + 1, ""), ==, 503);
  g_assert_false (hzb_election_is_leader (controller->election));
  machine->fencing_token -= hzb_fencing_token (7, 0);
  sim_run (sim, 120);
  expect_all_finished (sim, "newer fencing token", 12);
  sim_free (sim);
}

/* Commands with an older fencing token may still be in flight to a worker whose heartbeat has that token. The leader
 * responds to the heartbeat, which renews the lease, but does not apply the task statuses in it and sends no
 * commands. */
static void
test_older_fencing_token (void)
{
  Sim *sim = sim_new (18);
  HzbController *controller;
  SimMachine machine = { .name = (char *) "i-900000", .type = (char *) "big", .zone = (char *) "za" };
  sim_add_job (sim, 1, "red", 30, 2, 30);
  sim_run (sim, 12);
  controller = sim->nodes[sim_leader (sim)].controller;
  g_assert_cmpuint (
      send_heartbeat_to_leader (sim, &machine, 1, 1,
                                "{\"piece\":\"run-555555/0\",\"try\":1,\"status\":\"ended\",\"cause\":\"error\"}"),
      ==, 200);
  g_assert_nonnull (strstr (last_response_body, "\"orders\":[]"));
  g_assert_cmpint (hzb_machines_find (controller->machines, "i-900000")->state, ==, HZB_MACHINE_BOOTING);
  machine.fencing_token = hzb_fencing_token (hzb_election_term (controller->election), 0);
  g_assert_cmpuint (
      send_heartbeat_to_leader (sim, &machine, 1, 2,
                                "{\"piece\":\"run-555555/0\",\"try\":1,\"status\":\"ended\",\"cause\":\"error\"}"),
      ==, 200);
  g_assert_cmpint (hzb_machines_find (controller->machines, "i-900000")->state, ==, HZB_MACHINE_ACTIVE);
  sim_free (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/worker-heartbeats/one-way-partition", test_one_way_partition);
  g_test_add_func ("/worker-heartbeats/short-one-way-partition", test_short_one_way_partition);
  g_test_add_func ("/worker-heartbeats/one-way-partition-during-failover", test_one_way_partition_during_failover);
  g_test_add_func ("/worker-heartbeats/late-heartbeat", test_late_heartbeat);
  g_test_add_func ("/worker-heartbeats/late-copy-does-not-revive-expired-epoch",
                   test_late_copy_does_not_revive_expired_epoch);
  g_test_add_func ("/worker-heartbeats/late-copies-under-failures", test_late_copies_under_failures);
  g_test_add_func ("/worker-heartbeats/newer-fencing-token", test_newer_fencing_token);
  g_test_add_func ("/worker-heartbeats/older-fencing-token", test_older_fencing_token);
  return g_test_run ();
}
