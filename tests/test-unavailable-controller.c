/* One controller is unavailable: down, stalled or cut off. Cancellations are confirmed all the same, but not before
 * that controller must have stopped acting without them. */
#include "sim-faults.h"

#include <string.h>

#define CONFIRMED_WITHIN_S 45.0 /* 15 s after all other controllers know, and users poll every 5 s */

static guint
other_node (guint node)
{
  return (node + 1) % SIM_NODES;
}

static Sim *
cluster_at_work (guint32 seed)
{
  Sim *sim = sim_new (seed);
  for (guint i = 0; i < 10; i++)
    sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 3, 1, 400);
  sim_run (sim, 25);
  return sim;
}

/* Returns: when the last cancellation was confirmed; G_MAXDOUBLE if one was not. */
static double
run_until_all_confirmed (Sim *sim, double until)
{
  double all_confirmed = G_MAXDOUBLE;
  while (sim->now < until && all_confirmed > sim->now)
    {
      guint confirmed = 0;
      sim_run (sim, sim->now + 0.5);
      for (guint i = 0; i < sim->jobs->len; i++)
        confirmed += ((SimJob *) sim->jobs->pdata[i])->confirmed_cancelled;
      if (confirmed == sim->jobs->len)
        all_confirmed = sim->now;
    }
  return all_confirmed;
}

/* The available controllers follow one another as leaders, faster than an unresponsive machine is returned. */
static void
restart_other_leader (Sim *sim, gpointer unavailable)
{
  int leader = sim_leader (sim);
  if (leader >= 0 && (guint) leader != GPOINTER_TO_UINT (unavailable))
    {
      sim_crash (sim, (guint) leader);
      sim_start (sim, (guint) leader);
    }
}

static void
play_unavailable (guint32 seed, gboolean leads, gboolean stalled)
{
  Sim *sim = cluster_at_work (seed);
  guint leader = (guint) MAX (sim_leader (sim), 0), unavailable = leads ? leader : other_node (leader);
  double began, confirmed_at;

  /* Some machines are unresponsive all along, so that no leader can prove anything about their tasks. */
  for (guint i = 0; i < sim->machines->len; i += 3)
    ((SimMachine *) sim->machines->pdata[i])->hung = TRUE;
  sim->nodes[unavailable].paused = stalled;
  sim->nodes[unavailable].cut_off_from_kv = sim->nodes[unavailable].cut_off_from_peers = !stalled;
  sim_run (sim, 32);
  for (guint i = 1; i < 12; i++)
    sim_schedule (sim, sim->now + 7.0 * i, restart_other_leader, GUINT_TO_POINTER (unavailable));
  cancel_all (sim);
  began = sim->now;
  confirmed_at = run_until_all_confirmed (sim, began + 90);
  g_test_message ("seed %u, %s %s: all confirmed after %.1f s", seed, leads ? "leader" : "leaseholder",
                  stalled ? "stalled" : "cut off", confirmed_at - began);
  expect_no_violation (sim, "cancellation confirmed without it", seed);
  g_assert_cmpfloat (confirmed_at - began, <, CONFIRMED_WITHIN_S);
  sim_run (sim, began + 95);
  if (stalled)
    sim_resume (sim, unavailable);
  heal_controllers (sim, NULL);
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->hung = FALSE;
  start_all_controllers (sim, NULL);
  sim_run (sim, 300);
  expect_all_finished (sim, "cancellation confirmed without it", seed);
  sim_free (sim);
}

static void
test_cancellation_confirmed_without_it (void)
{
  for (guint32 seed = 700; seed < 706; seed++)
    {
      play_unavailable (seed, FALSE, TRUE);
      play_unavailable (seed, TRUE, TRUE);
      play_unavailable (seed, FALSE, FALSE);
      play_unavailable (seed, TRUE, FALSE);
    }
}

/* The key-value store refuses one controller alone: the controller learns of cancellations from its peers, so no
 * confirmation waits for it. */
static void
test_refused_by_kv_learns_from_peers (void)
{
  for (guint32 seed = 710; seed < 716; seed++)
    {
      Sim *sim = cluster_at_work (seed);
      guint refused = other_node ((guint) MAX (sim_leader (sim), 0));
      guint64 before;
      sim->nodes[refused].refused_by_kv = TRUE;
      sim_run (sim, 30);
      before = hzb_kv_replica_revision (sim->nodes[refused].controller->kv_replica);
      cancel_all (sim);
      sim_run (sim, 48);
      for (guint i = 0; i < sim->jobs->len; i++)
        {
          const SimJob *job = sim->jobs->pdata[i];
          const HzbJob *known = hzb_jobs_find (sim->nodes[refused].controller->jobs, job->uid);
          g_assert_cmpint (known->state, ==, HZB_JOB_CANCELLED);
          g_assert_cmpuint (known->version, >, before); /* learned from a peer, not by its own replica of the records */
        }
      sim_run (sim, 300);
      expect_all_finished (sim, "refused by kv learns from peers", seed);
      sim_free (sim);
    }
}

/* Guards against a controller that was stalled: the first heartbeat after it resumes reaches it before its timers have
 * run. The other controllers rely on it that it renews no worker's lease any more. */
static void
test_resumed_leader_is_self_fenced (void)
{
  for (guint32 seed = 720; seed < 726; seed++)
    {
      Sim *sim = cluster_at_work (seed);
      guint leader = (guint) MAX (sim_leader (sim), 0);
      SimMachine *machine = run_until_machine_is (sim, HZB_MACHINE_ACTIVE);
      g_assert_cmpuint (heartbeat_to (sim, leader, machine, machine->agent_epoch, machine->sequence + 1, ""), ==, 200);
      machine->partitioned = TRUE; /* no other controller renews its lease */
      sim->nodes[leader].paused = TRUE;
      sim_run (sim, sim->now + HZB_CANCELLATIONS_MAX_AGE_S + 1);
      g_assert_true (hzb_election_leading (sim->nodes[leader].controller->election));
      machine->sequence += 2;
      g_assert_cmpuint (heartbeat_to (sim, leader, machine, machine->agent_epoch, machine->sequence + 1, ""), ==, 503);
      sim_resume (sim, leader);
      sim_run (sim, sim->now + 20);
      expect_no_violation (sim, "resumed leader is self fenced", seed);
      sim_free (sim);
    }
}

/* Guards against the first response of a new leader: the leader knows nothing of the machine yet, but the response
 * renews the machine's lease. Without a kill command a machine that sends one heartbeat between two partitions would
 * run cancelled tasks for another lease. */
static void
test_first_response_stops_cancelled_work (void)
{
  for (guint32 seed = 740; seed < 746; seed++)
    {
      Sim *sim = cluster_at_work (seed);
      SimMachine *machine = run_until_machine_is (sim, HZB_MACHINE_ACTIVE);
      guint64 before = machine->fencing_token;
      guint leader;
      g_autofree char *uid = g_strdup (((SimTask *) machine->tasks->pdata[0])->uid);
      g_autofree char *task_status = g_strdup_printf ("{\"piece\":\"%s/0\",\"try\":1,\"status\":\"running\"}", uid);
      for (guint i = 0; i < sim->machines->len; i++)
        ((SimMachine *) sim->machines->pdata[i])->partitioned = TRUE;
      cancel_all (sim);
      sim_run (sim, sim->now + 3);
      leader = (guint) MAX (sim_leader (sim), 0);
      sim_crash (sim, leader);
      sim_start (sim, leader);
      sim_run (sim, sim->now + 8);
      g_assert_cmpint (sim_leader (sim), >=, 0);
      g_assert_cmpuint (machine->fencing_token, ==, before);
      g_assert_cmpuint (heartbeat_to_leader (sim, machine, machine->agent_epoch, machine->sequence + 5, task_status),
                        ==, 200);
      g_assert_nonnull (strstr (last_response_body, "\"kill\""));
      g_assert_nonnull (strstr (last_response_body, uid));
      sim_free (sim);
    }
}

/* In an outage of the key-value store for all controllers they prove to each other that none knows more. They go on
 * answering workers, so no agent epoch ends and no work is lost, however long the outage lasts. */
static void
test_kv_outage_keeps_agent_epochs (void)
{
  for (guint32 seed = 730; seed < 734; seed++)
    {
      Sim *sim = cluster_at_work (seed);
      sim->kv_outage = TRUE;
      sim_run (sim, 25 + 4 * sim->config.lease_s);
      for (guint i = 0; i < sim->machines->len; i++)
        g_assert_cmpuint (((SimMachine *) sim->machines->pdata[i])->agent_epoch, ==, 1);
      sim->kv_outage = FALSE;
      sim_run (sim, 700);
      expect_all_finished (sim, "kv outage keeps agent epochs", seed);
      sim_free (sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/unavailable-controller/cancellation-confirmed-without-it", test_cancellation_confirmed_without_it);
  g_test_add_func ("/unavailable-controller/refused-by-kv-learns-from-peers", test_refused_by_kv_learns_from_peers);
  g_test_add_func ("/unavailable-controller/resumed-leader-is-self-fenced", test_resumed_leader_is_self_fenced);
  g_test_add_func ("/unavailable-controller/first-response-stops-cancelled-work",
                   test_first_response_stops_cancelled_work);
  g_test_add_func ("/unavailable-controller/kv-outage-keeps-agent-epochs", test_kv_outage_keeps_agent_epochs);
  return g_test_run ();
}
