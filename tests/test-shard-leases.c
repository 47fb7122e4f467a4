/* Shards that the leader leases to other controllers, under failures of leaseholders, the leader, machines and the
 * network. */
#include "sim-faults.h"

#include <string.h>

static SimMachine *
find_leased_machine_with_tasks (Sim *sim, HzbController *controller)
{
  for (guint i = 0; i < sim->machines->len; i++)
    {
      SimMachine *machine = sim->machines->pdata[i];
      HzbMachine *leader_view = machine->tasks->len ? hzb_machines_find (controller->machines, machine->name) : NULL;
      if (leader_view && leader_view->state == HZB_MACHINE_LEASED)
        return machine;
    }
  return NULL;
}

/* Submits jobs for several machines, and runs until the leader has leased one. Returns: a leased machine with tasks. */
static SimMachine *
run_until_leased (Sim *sim)
{
  SimMachine *machine = NULL;
  for (guint i = 0; i < 10; i++)
    {
      SimJob *job = sim_add_job (sim, 1 + 0.3 * i, i % 2 ? "red" : "blue", 8, 3, 25);
      job->type = "small"; /* a small machine type, so that the jobs need many machines */
    }
  while (!machine && sim->now < 60)
    {
      sim_run (sim, sim->now + 0.5);
      if (sim_leader (sim) >= 0)
        machine = find_leased_machine_with_tasks (sim, sim->nodes[sim_leader (sim)].controller);
    }
  g_assert_nonnull (machine);
  return machine;
}

static guint
leaseholder_node_index (Sim *sim, const SimMachine *machine)
{
  HzbController *controller = sim->nodes[sim_leader (sim)].controller;
  const char *name = hzb_shard_leases_leaseholder_name (controller->shard_leases,
                                                        hzb_machines_find (controller->machines, machine->name));
  return (guint) (name[strlen (name) - 1] - '0');
}

/* A leaseholder crashes. The leader must reclaim its shard before the workers' leases expire, so that their tasks
 * keep running. */
static void
test_leaseholder_crash (void)
{
  Sim *sim = sim_new (40);
  SimMachine *machine = run_until_leased (sim);
  guint64 agent_epoch = machine->agent_epoch;
  guint tasks = machine->tasks->len;
  sim_crash (sim, leaseholder_node_index (sim, machine));
  sim_run (sim, sim->now + 9);
  g_assert_cmpuint (machine->agent_epoch, ==, agent_epoch); /* the worker's lease did not expire */
  g_assert_cmpuint (machine->tasks->len, >=, tasks > 0);
  start_all_controllers (sim, NULL);
  sim_run (sim, 600);
  expect_all_finished (sim, "leaseholder crash", 40);
  sim_free (sim);
}

/* A leaseholder is partitioned from its peers but not from its machines, and keeps using its fencing token while the
 * leader reclaims the shard. Guards against a task that starts twice: no task of the shard may start on another
 * machine until every machine of the shard has sent a heartbeat to the leader. */
static void
test_leaseholder_cut_off_from_leader (void)
{
  for (guint32 seed = 41; seed < 47; seed++)
    {
      Sim *sim = sim_new (seed);
      SimMachine *machine = run_until_leased (sim);
      guint node_index = leaseholder_node_index (sim, machine);
      HzbController *controller = sim->nodes[sim_leader (sim)].controller;
      guint64 fencing_token = hzb_machines_find (controller->machines, machine->name)->fencing_token,
              worker_fencing_token = machine->fencing_token;
      HzbMachine *leader_view;
      sim->nodes[node_index].cut_off_from_peers = TRUE;
      sim_run (sim, sim->now + 6);
      leader_view = hzb_machines_find (controller->machines, machine->name);
      g_assert_nonnull (leader_view);
      /* A worker that has received the leader's higher fencing token rejects commands of the old leaseholder. */
      g_assert_cmpint (leader_view->state, !=, HZB_MACHINE_LEASED);
      g_assert_cmpuint (leader_view->fencing_token, >, MAX (fencing_token, worker_fencing_token));
      sim_run (sim, sim->now + 14);
      sim->nodes[node_index].cut_off_from_peers = FALSE;
      sim_run (sim, 600);
      expect_all_finished (sim, "leaseholder cut off from leader", seed);
      sim_free (sim);
    }
}

/* The leader crashes while machines are leased. Guards against a task that starts twice: the new leader must receive
 * a heartbeat of every machine, leased or not, before it starts a task that may run on that machine. */
static void
test_leader_crash (void)
{
  for (guint32 seed = 47; seed < 53; seed++)
    {
      Sim *sim = sim_new (seed);
      run_until_leased (sim);
      sim_crash (sim, (guint) sim_leader (sim));
      sim_run (sim, sim->now + g_rand_double_range (sim->rand, 0.5, 12));
      start_all_controllers (sim, NULL);
      sim_run (sim, 600);
      expect_all_finished (sim, "leader crash", seed);
      sim_free (sim);
    }
}

/* After a failover the new leader owns every machine and none is idle, so it hands machines over to leaseholders
 * with their running tasks. The leader or a leaseholder crashes during the hand-over. Guards against tasks that are
 * lost or started twice. */
static void
test_hand_over_of_working_machines (void)
{
  for (guint32 seed = 110; seed < 118; seed++)
    {
      Sim *sim = sim_new (seed);
      guint handed_over = 0;
      int leader;
      for (guint i = 0; i < 12; i++)
        sim_add_job (sim, 1 + 0.3 * i, i % 2 ? "red" : "blue", 8, 3, 60)->type = "small";
      sim_run (sim, 30);
      leader = sim_leader (sim);
      sim_crash (sim, (guint) leader);
      sim_run (sim, 38);
      sim_start (sim, (guint) leader);
      for (guint k = 0; k < 40; k++)
        {
          HzbController *controller;
          sim_run (sim, sim->now + 0.5);
          controller = sim->nodes[MAX (sim_leader (sim), 0)].controller;
          for (guint i = 0; i < sim->machines->len && sim_leader (sim) >= 0; i++)
            {
              const SimMachine *machine = sim->machines->pdata[i];
              const HzbMachine *leader_view = hzb_machines_find (controller->machines, machine->name);
              handed_over += leader_view && leader_view->state == HZB_MACHINE_LEASED && machine->tasks->len
                             && machine->agent_epoch == 1;
            }
          if (handed_over && k > 10 + seed % 4)
            break;
        }
      g_assert_cmpuint (handed_over, >, 0);
      if (seed % 3 == 0)
        sim_crash (sim, (guint) (sim_leader (sim) + 1) % SIM_NODES);
      else if (seed % 3 == 1)
        sim_crash (sim, (guint) sim_leader (sim));
      sim_run (sim, sim->now + 7);
      start_all_controllers (sim, NULL);
      sim_run (sim, 900);
      expect_all_finished (sim, "hand over of working machines", seed);
      sim_free (sim);
    }
}

/* Leased shards under load, with random failures of controllers, machines and the network. */
static void
test_random_failures (void)
{
  for (guint32 seed = 60; seed < 72; seed++)
    {
      Sim *sim = sim_new (seed);
      run_until_leased (sim);
      sim->loss_chance = seed % 3 ? 0.03 : 0;
      sim->delay_chance = seed % 2 ? 0.05 : 0;
      for (guint i = 0; i < 3; i++)
        {
          double at = sim->now + g_rand_double_range (sim->rand, 0, 50);
          sim_schedule (sim, at, crash_random_controller, NULL);
          sim_schedule (sim, at + g_rand_double_range (sim->rand, 1, 8), start_all_controllers, NULL);
          sim_schedule (sim, sim->now + g_rand_double_range (sim->rand, 0, 50), fail_random_machine, NULL);
          at = sim->now + g_rand_double_range (sim->rand, 0, 40);
          sim_schedule (sim, at, cut_off_leader_at_random, NULL);
          sim_schedule (sim, at + g_rand_double_range (sim->rand, 2, 15), heal_controllers, NULL);
        }
      sim_run (sim, sim->now + 60);
      start_all_controllers (sim, NULL);
      heal_controllers (sim, NULL);
      sim->loss_chance = sim->delay_chance = 0;
      sim_run (sim, sim->now + 500);
      expect_all_finished (sim, "random failures", seed);
      sim_free (sim);
    }
}

/* The leader must not lease machines while all waiting tasks have to run in its own shard: the machines would be
 * idle in the leaseholder's shard. */
static void
test_no_lease_for_leader_only_work (void)
{
  Sim *sim = sim_new (74);
  for (guint i = 0; i < 8; i++)
    sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 4, 3, 25)->spread = TRUE;
  for (guint k = 0; k < 12; k++)
    {
      HzbController *controller;
      sim_run (sim, sim->now + 2);
      controller = sim->nodes[MAX (sim_leader (sim), 0)].controller;
      for (guint i = 0; i < controller->machines->all->len; i++)
        g_assert_cmpint (((HzbMachine *) controller->machines->all->pdata[i])->state, !=, HZB_MACHINE_LEASED);
    }
  sim_run (sim, 400);
  expect_all_finished (sim, "no lease for leader only work", 74);
  sim_free (sim);
}

/* The leader refuses connections for a while, and its next response to a lease renewal is delayed until the
 * leaseholder has released the shard. The late response must not make the node a leaseholder again, because it no
 * longer has the tasks and machines that it was sent before. */
static void
test_late_renewal_after_release (void)
{
  for (guint32 seed = 90; seed < 106; seed++)
    {
      Sim *sim = sim_new (seed);
      int leaseholder = -1;
      guint leader;
      for (guint i = 0; i < 10; i++)
        sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 40, 1, 10)->type = "small";
      while (leaseholder < 0 && sim->now < 40)
        {
          sim_run (sim, sim->now + 0.5);
          for (guint i = 0; i < SIM_NODES; i++)
            if (hzb_ownership_is_leaseholder (sim->nodes[i].controller->ownership)
                && sim->nodes[i].controller->machines->all->len >= 1)
              leaseholder = (int) i;
        }
      g_assert_cmpint (leaseholder, !=, -1);
      leader = (guint) MAX (sim_leader (sim), 0);
      sim_run (sim, sim->now + g_rand_double_range (sim->rand, 0, 2));
      sim->nodes[leaseholder].peer_response_delay_s = 1.35;
      sim->nodes[leader].refuses_peers = TRUE;
      sim_run (sim, sim->now + 3.6);
      sim->nodes[leader].refuses_peers = FALSE;
      sim_run (sim, sim->now + 4);
      sim->nodes[leaseholder].peer_response_delay_s = 0;
      for (guint i = 0; i < sim->jobs->len; i++)
        {
          SimJob *job = sim->jobs->pdata[i];
          job->wants_cancel = seed % 2 == 1;
          job->cancel_at = sim->now;
        }
      sim->faults_over_at = sim->now + 10;
      sim_run (sim, sim->now + 250);
      expect_all_finished (sim, "late renewal after release", seed);
      sim_free (sim);
    }
}

/* Guards against a gang that waits for leased machines: the leader does not know which tasks run there, and these tasks
 * do not end before the gang has waited for longer than any job may (90 s). The gang is to be spread over both zones. */
static void
test_gang_beside_leased_machines (void)
{
  for (guint32 seed = 60; seed < 64; seed++)
    {
      SimConfig config = sim_config_small;
      Sim *sim;
      SimJob *long_job, *gang;
      config.machines = 24;
      sim = sim_new_with_config (seed, &config);
      long_job = sim_add_job (sim, 1, "red", 6, 4, 600);
      long_job->type = "small";
      while (sim->now < 60 && (sim_leader (sim) < 0 || sim_count_running_tasks (sim, long_job, NULL) < 6))
        sim_run (sim, sim->now + 0.5);
      g_assert_nonnull (find_leased_machine_with_tasks (sim, sim->nodes[sim_leader (sim)].controller));
      gang = sim_add_job (sim, sim->now + 1, "blue", 4, 3, 10);
      gang->gang = gang->spread = TRUE;
      sim_run (sim, sim->now + 91);
      if (!gang->first_start_at)
        g_test_message ("seed %u: the gang has not started", seed);
      g_assert_cmpfloat (gang->first_start_at, >, 0);
      g_assert_cmpuint (sim->violations->len, ==, 0);
      sim_free (sim);
    }
}

/* Guards against a task that is delegated again and again to a shard whose machines cannot hold it: their free CPUs add up
 * to those of the task, but no machine has as many. */
static void
test_task_that_no_leased_machine_holds (void)
{
  for (guint32 seed = 70; seed < 74; seed++)
    {
      SimConfig config = sim_config_small;
      Sim *sim;
      SimJob *long_jobs[2], *job;
      config.machines = 24;
      sim = sim_new_with_config (seed, &config);
      for (guint i = 0; i < 2; i++)
        {
          long_jobs[i] = sim_add_job (sim, 1 + i, i ? "red" : "blue", 4, 5, 600);
          long_jobs[i]->type = "big"; /* leaves 3 CPUs of a machine */
        }
      while (sim->now < 60
             && sim_count_running_tasks (sim, long_jobs[0], NULL) + sim_count_running_tasks (sim, long_jobs[1], NULL)
                    < 8)
        sim_run (sim, sim->now + 0.5);
      g_assert_nonnull (find_leased_machine_with_tasks (sim, sim->nodes[sim_leader (sim)].controller));
      job = sim_add_job (sim, sim->now + 1, "blue", 1, 4, 10);
      job->type = "big";
      sim_run (sim, sim->now + 91);
      if (!job->first_start_at)
        g_test_message ("seed %u: the job has not started", seed);
      g_assert_cmpfloat (job->first_start_at, >, 0);
      sim_free (sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/shard-leases/leaseholder-crash", test_leaseholder_crash);
  g_test_add_func ("/shard-leases/leaseholder-cut-off-from-leader", test_leaseholder_cut_off_from_leader);
  g_test_add_func ("/shard-leases/leader-crash", test_leader_crash);
  g_test_add_func ("/shard-leases/hand-over-of-working-machines", test_hand_over_of_working_machines);
  g_test_add_func ("/shard-leases/no-lease-for-leader-only-work", test_no_lease_for_leader_only_work);
  g_test_add_func ("/shard-leases/random-failures", test_random_failures);
  g_test_add_func ("/shard-leases/late-renewal-after-release", test_late_renewal_after_release);
  g_test_add_func ("/shard-leases/gang-beside-leased-machines", test_gang_beside_leased_machines);
  g_test_add_func ("/shard-leases/task-that-no-leased-machine-holds", test_task_that_no_leased_machine_holds);
  return g_test_run ();
}
