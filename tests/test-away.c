/* One controller is away, for whatever cause: cancellations are told all the same, and never before it must have stopped
 * acting without them. */
#include "sim-faults.h"

#include <string.h>

#define TOLD_WITHIN_S 45.0 /* users are told by then: 15 s after all others know, and a question every 5 s */

static guint
any_other (guint node)
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

/* When the last user was told; G_MAXDOUBLE: some never was. */
static double
run_until_all_are_told (Sim *sim, double until)
{
  double all_told = G_MAXDOUBLE;
  while (sim->now < until && all_told > sim->now)
    {
      guint told = 0;
      sim_run (sim, sim->now + 0.5);
      for (guint i = 0; i < sim->jobs->len; i++)
        told += ((SimJob *) sim->jobs->pdata[i])->told_cancelled;
      if (told == sim->jobs->len)
        all_told = sim->now;
    }
  return all_told;
}

/* The others follow one another as leaders, faster than a silent machine is given up. */
static void
end_other_leader (Sim *sim, gpointer away)
{
  int leader = sim_leader (sim);
  if (leader >= 0 && (guint) leader != GPOINTER_TO_UINT (away))
    {
      sim_crash (sim, (guint) leader);
      sim_start (sim, (guint) leader);
    }
}

static void
play_away (guint32 seed, gboolean leads, gboolean frozen)
{
  Sim *sim = cluster_at_work (seed);
  guint leader = (guint) MAX (sim_leader (sim), 0), away = leads ? leader : any_other (leader);
  double began, told;

  /* Some machines are silent all along, so that nothing can be proven of them. */
  for (guint i = 0; i < sim->machines->len; i += 3)
    ((SimMachine *) sim->machines->pdata[i])->hung = TRUE;
  sim->nodes[away].paused = frozen;
  sim->nodes[away].cut_store = sim->nodes[away].cut_peers = !frozen;
  sim_run (sim, 32);
  for (guint i = 1; i < 12; i++)
    sim_at (sim, sim->now + 7.0 * i, end_other_leader, GUINT_TO_POINTER (away));
  cancel_all (sim);
  began = sim->now;
  told = run_until_all_are_told (sim, began + 90);
  g_test_message ("seed %u, %s %s: all told after %.1f s", seed, leads ? "leader" : "lessee",
                  frozen ? "frozen" : "cut off", told - began);
  expect_no_fault (sim, "one is away", seed);
  g_assert_cmpfloat (told - began, <, TOLD_WITHIN_S);
  sim_run (sim, began + 95);
  if (frozen)
    sim_wake (sim, away);
  heal (sim, NULL);
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->hung = FALSE;
  start_all (sim, NULL);
  sim_run (sim, 300);
  expect_all_over (sim, "one is away", seed);
  sim_free (sim);
}

static void
test_one_is_away (void)
{
  for (guint32 seed = 700; seed < 706; seed++)
    {
      play_away (seed, FALSE, TRUE);
      play_away (seed, TRUE, TRUE);
      play_away (seed, FALSE, FALSE);
      play_away (seed, TRUE, FALSE);
    }
}

/* The key-value store refuses one controller alone: it learns of cancellations from its peers, so nobody waits for it. */
static void
test_refused_alone (void)
{
  for (guint32 seed = 710; seed < 716; seed++)
    {
      Sim *sim = cluster_at_work (seed);
      guint refused = any_other ((guint) MAX (sim_leader (sim), 0));
      guint64 before;
      sim->nodes[refused].refused = TRUE;
      sim_run (sim, 30);
      before = hzb_kv_replica_revision (sim->nodes[refused].controller->kv_replica);
      cancel_all (sim);
      sim_run (sim, 48);
      for (guint i = 0; i < sim->jobs->len; i++)
        {
          const SimJob *job = sim->jobs->pdata[i];
          const HzbJob *known = hzb_jobs_find (sim->nodes[refused].controller->jobs, job->uid);
          g_assert_cmpint (known->state, ==, HZB_JOB_CANCELLED);
          g_assert_cmpuint (known->version, >, before); /* not by its own replica of the records */
        }
      sim_run (sim, 300);
      expect_all_over (sim, "refused alone", seed);
      sim_free (sim);
    }
}

/* Guards against a controller that stood still: what comes first on waking finds it as it was, before it has looked at its
 * clock. The others count on it that it renews no worker's lease any more. */
static void
test_waking (void)
{
  for (guint32 seed = 720; seed < 726; seed++)
    {
      Sim *sim = cluster_at_work (seed);
      guint leader = (guint) MAX (sim_leader (sim), 0);
      SimMachine *machine = run_until (sim, HZB_MACHINE_ACTIVE);
      g_assert_cmpuint (report_to (sim, leader, machine, machine->agent_epoch, machine->sequence + 1, ""), ==, 200);
      machine->cut = TRUE; /* no other controller has answered it */
      sim->nodes[leader].paused = TRUE;
      sim_run (sim, sim->now + HZB_CANCELLATIONS_KNOWN_S + 1);
      g_assert_true (hzb_election_leading (sim->nodes[leader].controller->election));
      machine->sequence += 2;
      g_assert_cmpuint (report_to (sim, leader, machine, machine->agent_epoch, machine->sequence + 1, ""), ==, 503);
      sim_wake (sim, leader);
      sim_run (sim, sim->now + 20);
      expect_no_fault (sim, "waking", seed);
      sim_free (sim);
    }
}

/* Guards against the first answer of a new leader: it knows nothing of the machine yet, but it renews its lease. A machine that
 * reports once between two cuts would run cancelled work for another lease. */
static void
test_first_answer_stops_cancelled_work (void)
{
  for (guint32 seed = 740; seed < 746; seed++)
    {
      Sim *sim = cluster_at_work (seed);
      SimMachine *machine = run_until (sim, HZB_MACHINE_ACTIVE);
      guint64 before = machine->fencing_token;
      guint leader;
      g_autofree char *uid = g_strdup (((SimTask *) machine->tasks->pdata[0])->uid);
      g_autofree char *task_status = g_strdup_printf ("{\"piece\":\"%s/0\",\"try\":1,\"status\":\"running\"}", uid);
      for (guint i = 0; i < sim->machines->len; i++)
        ((SimMachine *) sim->machines->pdata[i])->cut = TRUE;
      cancel_all (sim);
      sim_run (sim, sim->now + 3);
      leader = (guint) MAX (sim_leader (sim), 0);
      sim_crash (sim, leader);
      sim_start (sim, leader);
      sim_run (sim, sim->now + 8);
      g_assert_cmpint (sim_leader (sim), >=, 0);
      g_assert_cmpuint (machine->fencing_token, ==, before);
      g_assert_cmpuint (report_again (sim, machine, machine->agent_epoch, machine->sequence + 5, task_status), ==, 200);
      g_assert_nonnull (strstr (last_body, "\"kill\""));
      g_assert_nonnull (strstr (last_body, uid));
      sim_free (sim);
    }
}

/* An outage of the key-value store for all is no reason to answer no workers: controllers prove to each other that none knows
 * more, so no lease ends and no work is lost, however long it lasts. */
static void
test_outage (void)
{
  for (guint32 seed = 730; seed < 734; seed++)
    {
      Sim *sim = cluster_at_work (seed);
      sim->outage = TRUE;
      sim_run (sim, 25 + 4 * sim->size.lease_s);
      for (guint i = 0; i < sim->machines->len; i++)
        g_assert_cmpuint (((SimMachine *) sim->machines->pdata[i])->agent_epoch, ==, 1);
      sim->outage = FALSE;
      sim_run (sim, 700);
      expect_all_over (sim, "outage", seed);
      sim_free (sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/away/one-is-away", test_one_is_away);
  g_test_add_func ("/away/refused-alone", test_refused_alone);
  g_test_add_func ("/away/waking", test_waking);
  g_test_add_func ("/away/first-answer-stops-cancelled-work", test_first_answer_stops_cancelled_work);
  g_test_add_func ("/away/outage", test_outage);
  return g_test_run ();
}
