/* One controller is unavailable: down, stalled or partitioned. Cancellations are confirmed nevertheless, but not before
 * that controller must have fenced itself. */
#include "sim-faults.h"

#include <string.h>

#define CONFIRMED_WITHIN_S 45.0 /* 15 s after all other controllers know the cancellations; users poll every 5 s */

static guint
other_node (guint node)
{
  return (node + 1) % SIM_NODES;
}

static Sim *
new_cluster_with_jobs (guint32 seed)
{
  Sim *sim = sim_new (seed);
  for (guint i = 0; i < 10; i++)
    sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 3, 1, 400);
  sim_run (sim, 25);
  return sim;
}

/* Returns: when the last cancellation was confirmed; G_MAXDOUBLE if a cancellation is unconfirmed at the time `until`
 * */
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

/* Restarts the leader unless it is the unavailable controller. Called repeatedly, so that the leader changes before an
 * unresponsive machine is returned to the cloud. */
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
run_with_unavailable_controller (guint32 seed, gboolean leads, gboolean stalled)
{
  Sim *sim = new_cluster_with_jobs (seed);
  guint leader = (guint) MAX (sim_leader (sim), 0), unavailable = leads ? leader : other_node (leader);
  double cancelled_at, confirmed_at;

  /* Some machines are unresponsive all the time, so that no leader can confirm that their tasks have stopped. */
  for (guint i = 0; i < sim->machines->len; i += 3)
    ((SimMachine *) sim->machines->pdata[i])->hung = TRUE;
  sim->nodes[unavailable].paused = stalled;
  sim->nodes[unavailable].cut_off_from_kv = sim->nodes[unavailable].cut_off_from_peers = !stalled;
  sim_run (sim, 32);
  for (guint i = 1; i < 12; i++)
    sim_schedule (sim, sim->now + 7.0 * i, restart_other_leader, GUINT_TO_POINTER (unavailable));
  cancel_all_jobs (sim);
  cancelled_at = sim->now;
  confirmed_at = run_until_all_confirmed (sim, cancelled_at + 90);
  g_test_message ("seed %u, %s %s: all confirmed after %.1f s", seed, leads ? "leader" : "leaseholder",
                  stalled ? "stalled" : "partitioned", confirmed_at - cancelled_at);
  expect_no_violation (sim, "cancellation confirmed without it", seed);
  g_assert_cmpfloat (confirmed_at - cancelled_at, <, CONFIRMED_WITHIN_S);
  sim_run (sim, cancelled_at + 95);
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
test_cancellation_confirmed_without_controller (void)
{
  for (guint32 seed = 700; seed < 706; seed++)
    {
      run_with_unavailable_controller (seed, FALSE, TRUE);
      run_with_unavailable_controller (seed, TRUE, TRUE);
      run_with_unavailable_controller (seed, FALSE, FALSE);
      run_with_unavailable_controller (seed, TRUE, FALSE);
    }
}

/* The key-value store refuses a single controller. That controller learns of cancellations from its peers, so no
 * confirmation has to wait for it. */
static void
test_refused_by_kv_learns_from_peers (void)
{
  for (guint32 seed = 710; seed < 716; seed++)
    {
      Sim *sim = new_cluster_with_jobs (seed);
      guint refused = other_node ((guint) MAX (sim_leader (sim), 0));
      guint64 replicated_revision;
      sim->nodes[refused].refused_by_kv = TRUE;
      sim_run (sim, 30);
      replicated_revision = hzb_kv_replica_revision (sim->nodes[refused].controller->kv_replica);
      cancel_all_jobs (sim);
      sim_run (sim, 48);
      for (guint i = 0; i < sim->jobs->len; i++)
        {
          const SimJob *job = sim->jobs->pdata[i];
          const HzbJob *known = hzb_jobs_find (sim->nodes[refused].controller->jobs, job->uid);
          g_assert_cmpint (known->state, ==, HZB_JOB_CANCELLED);
          g_assert_cmpuint (known->version, >, replicated_revision); /* learned from a peer, not from the replica */
        }
      sim_run (sim, 300);
      expect_all_finished (sim, "refused by kv learns from peers", seed);
      sim_free (sim);
    }
}

/* Guards against a stalled leader that renews a worker's lease after it resumes: the first heartbeat of a worker
 * arrives before the leader's timers have run. The other controllers rely on the leader having fenced itself. */
static void
test_resumed_leader_is_self_fenced (void)
{
  for (guint32 seed = 720; seed < 726; seed++)
    {
      Sim *sim = new_cluster_with_jobs (seed);
      guint leader = (guint) MAX (sim_leader (sim), 0);
      SimMachine *machine = run_until_machine_is (sim, HZB_MACHINE_ACTIVE);
      g_assert_cmpuint (send_heartbeat_to (sim, leader, machine, machine->agent_epoch, machine->sequence + 1, ""), ==,
                        200);
      machine->partitioned = TRUE; /* so that no other controller renews the machine's lease */
      sim->nodes[leader].paused = TRUE;
      sim_run (sim, sim->now + HZB_CANCELLATIONS_MAX_AGE_S + 1);
      g_assert_true (hzb_election_is_leader (sim->nodes[leader].controller->election));
      machine->sequence += 2;
      g_assert_cmpuint (send_heartbeat_to (sim, leader, machine, machine->agent_epoch, machine->sequence + 1, ""), ==,
                        503);
      sim_resume (sim, leader);
      sim_run (sim, sim->now + 20);
      expect_no_violation (sim, "resumed leader is self fenced", seed);
      sim_free (sim);
    }
}

/* Guards against cancelled tasks that run on after the first response of a new leader. The leader has no state of the
 * machine yet, but its response renews the machine's lease. If the response had no kill command, a machine that sends
 * one heartbeat between two partitions would run cancelled tasks until the renewed lease expires. */
static void
test_first_response_stops_cancelled_work (void)
{
  for (guint32 seed = 740; seed < 746; seed++)
    {
      Sim *sim = new_cluster_with_jobs (seed);
      SimMachine *machine = run_until_machine_is (sim, HZB_MACHINE_ACTIVE);
      guint64 old_token = machine->fencing_token;
      guint leader;
      g_autofree char *uid = g_strdup (((SimTask *) machine->tasks->pdata[0])->uid);
      g_autofree char *task_status = g_strdup_printf ("{\"piece\":\"%s/0\",\"try\":1,\"status\":\"running\"}", uid);
      for (guint i = 0; i < sim->machines->len; i++)
        ((SimMachine *) sim->machines->pdata[i])->partitioned = TRUE;
      cancel_all_jobs (sim);
      sim_run (sim, sim->now + 3);
      leader = (guint) MAX (sim_leader (sim), 0);
      sim_crash (sim, leader);
      sim_start (sim, leader);
      sim_run (sim, sim->now + 8);
      g_assert_cmpint (sim_leader (sim), >=, 0);
      g_assert_cmpuint (machine->fencing_token, ==, old_token);
      g_assert_cmpuint (
          send_heartbeat_to_leader (sim, machine, machine->agent_epoch, machine->sequence + 5, task_status), ==, 200);
      g_assert_nonnull (strstr (last_response_body, "\"kill\""));
      g_assert_nonnull (strstr (last_response_body, uid));
      sim_free (sim);
    }
}

/* The key-value store is down for all controllers. They exchange heartbeats that show that no controller knows further
 * cancellations. So they keep answering workers, no agent epoch ends and no work is lost, however long the outage
 * lasts. */
static void
test_kv_outage_keeps_agent_epochs (void)
{
  for (guint32 seed = 730; seed < 734; seed++)
    {
      Sim *sim = new_cluster_with_jobs (seed);
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
  g_test_add_func ("/unavailable-controller/cancellation-confirmed-without-it",
                   test_cancellation_confirmed_without_controller);
  g_test_add_func ("/unavailable-controller/refused-by-kv-learns-from-peers", test_refused_by_kv_learns_from_peers);
  g_test_add_func ("/unavailable-controller/resumed-leader-is-self-fenced", test_resumed_leader_is_self_fenced);
  g_test_add_func ("/unavailable-controller/first-response-stops-cancelled-work",
                   test_first_response_stops_cancelled_work);
  g_test_add_func ("/unavailable-controller/kv-outage-keeps-agent-epochs", test_kv_outage_keeps_agent_epochs);
  return g_test_run ();
}
