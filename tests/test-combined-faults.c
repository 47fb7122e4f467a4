/* Combinations of faults: most violations of rules that were ever found took two faults at the same time. */
#include "sim-faults.h"

#include <string.h>

/* ---- the key-value store refuses the leader alone, then all controllers ---- */

typedef enum
{
  REFUSED_PLAIN,                /* nothing else happens */
  REFUSED_CANCEL_BEFORE_OUTAGE, /* the users cancel in the second between the two */
  REFUSED_CONFIRMER_CRASHES,    /* the controllers that confirmed cancellations crash */
  REFUSED_RESTART_IN_OUTAGE,    /* a follower restarts in the outage */
  REFUSED_TWO_CONTROLLERS,      /* a follower is refused together with the leader */
  REFUSED_LATE_TRANSACTIONS,    /* transactions get no response and are carried out late */
  REFUSED_STATUS_QUERY,         /* the users learn of the cancellation by polling the status */
  REFUSED_SECOND_LEADER,        /* a failover has taken place before */
  REFUSED_AND_CUT_FROM_PEERS,   /* the leader is cut off from its peers as well */
  N_REFUSED
} RefusedVariant;

static void
cancel_some (Sim *sim, gpointer data)
{
  for (guint i = 0; i < sim->jobs->len; i += 2)
    ((SimJob *) sim->jobs->pdata[i])->wants_cancel = TRUE;
}

static void
restart_follower (Sim *sim, gpointer data)
{
  guint node_index = (guint) (sim_leader (sim) + 1) % SIM_NODES;
  sim_crash (sim, node_index);
  sim_start (sim, node_index);
}

static guint
confirmed_cancelled (Sim *sim)
{
  guint n = 0;
  for (guint i = 0; i < sim->jobs->len; i++)
    n += ((SimJob *) sim->jobs->pdata[i])->confirmed_cancelled;
  return n;
}

/* Cancellations are confirmed as long as peers can reach the leader; and no cancelled task runs on, although the
 * outage is longer than cancel_s. Returns: how many were confirmed before the end of the outage. */
static guint
play_leader_refused (guint32 seed, RefusedVariant variant)
{
  Sim *sim = sim_new (seed);
  guint leader, confirmed;
  for (guint i = 0; i < 8; i++)
    {
      SimJob *job = sim_add_job (sim, 1 + 0.2 * i, i % 4 < 2 ? "red" : "blue", 4, 1.5, 70);
      job->polls_only = variant == REFUSED_STATUS_QUERY;
    }
  sim_run (sim, 25);
  if (variant == REFUSED_SECOND_LEADER)
    {
      leader = (guint) MAX (sim_leader (sim), 0);
      sim_crash (sim, leader);
      sim_run (sim, sim->now + 9);
      sim_start (sim, leader);
      sim_run (sim, sim->now + 3);
    }
  g_assert_cmpint (sim_leader (sim), !=, -1);
  leader = (guint) sim_leader (sim);
  sim->nodes[leader].refused_by_kv = TRUE;
  sim->nodes[leader].cut_off_from_peers = variant == REFUSED_AND_CUT_FROM_PEERS;
  if (variant == REFUSED_TWO_CONTROLLERS)
    sim->nodes[(leader + 1) % SIM_NODES].refused_by_kv = TRUE;
  if (variant == REFUSED_LATE_TRANSACTIONS)
    sim->late_transaction_chance = 0.4;
  sim_run (sim, sim->now + (variant == REFUSED_CANCEL_BEFORE_OUTAGE ? 0.9 : 0.05));
  cancel_some (sim, NULL);
  sim_run (sim, sim->now + 1.8);
  sim->kv_outage = TRUE;
  sim->late_transaction_chance = 0;
  if (variant == REFUSED_CONFIRMER_CRASHES)
    for (guint i = 0; i < SIM_NODES; i++)
      if (i != leader)
        sim_crash (sim, i);
  sim_run (sim, sim->now + 6);
  if (variant == REFUSED_RESTART_IN_OUTAGE)
    restart_follower (sim, NULL);
  confirmed = confirmed_cancelled (sim);
  sim_run (sim, sim->now + 6);
  heal_controllers (sim, NULL);
  sim_run (sim, sim->now + 34); /* cancel_s is 30 */
  sim->kv_outage = FALSE;
  start_all_controllers (sim, NULL);
  sim->faults_over_at = sim->now + 5;
  sim_run (sim, sim->now + 250);
  expect_all_finished (sim, "leader refused then kv outage", seed);
  sim_free (sim);
  return confirmed;
}

static void
test_leader_refused_then_kv_outage (void)
{
  guint confirmed[N_REFUSED] = { 0 };
  for (guint variant = 0; variant < N_REFUSED; variant++)
    for (guint32 seed = 200; seed < 210; seed++)
      confirmed[variant] += play_leader_refused (seed, variant);
  /* The rule must not hold merely because no cancellation is confirmed: peers can reach the leader though the
   * key-value store refuses it. */
  g_assert_cmpuint (confirmed[REFUSED_PLAIN], >, 20);
  g_assert_cmpuint (confirmed[REFUSED_STATUS_QUERY], >, 15);
  g_assert_cmpuint (confirmed[REFUSED_AND_CUT_FROM_PEERS], ==, 0);
}

/* Without faults a cancellation is confirmed about as soon as it is recorded, by any controller. */
static void
test_cancellation_confirmed_at_once (void)
{
  for (guint32 seed = 220; seed < 224; seed++)
    {
      Sim *sim = sim_new (seed);
      double cancelled_at, last = 0;
      for (guint i = 0; i < 8; i++)
        sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 6, 1.5, 60);
      sim_run (sim, 20);
      cancelled_at = sim->now;
      cancel_some (sim, NULL);
      sim_run (sim, 27);
      g_assert_cmpuint (confirmed_cancelled (sim), ==, 4);
      for (guint i = 0; i < sim->jobs->len; i += 2)
        last = MAX (last, ((SimJob *) sim->jobs->pdata[i])->cancel_confirmed_at);
      g_assert_cmpfloat (last - cancelled_at, <, 5); /* users poll every 1 to 3 s */
      sim_run (sim, 300);
      expect_all_finished (sim, "cancellation confirmed at once", seed);
      sim_free (sim);
    }
}

static int
a_leaseholder (Sim *sim)
{
  for (guint i = 0; i < SIM_NODES; i++)
    if (sim->nodes[i].controller && hzb_ownership_is_leaseholder (sim->nodes[i].controller->ownership)
        && sim->nodes[i].controller->machines->all->len >= 1)
      return (int) i;
  return -1;
}

static void
add_short_tasks (Sim *sim)
{
  for (guint i = 0; i < 8; i++)
    sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 40, 1, 10)->type = "small";
}

/* For so many seconds from now: no owner holds tasks of a job whose cancellation is confirmed without knowing of the
 * cancellation. */
static void
expect_no_unaware_owner (Sim *sim, double seconds)
{
  for (double until = sim->now + seconds; sim->now < until; sim_run (sim, sim->now + 0.02))
    for (guint i = 0; i < sim->jobs->len; i++)
      for (guint node = 0; node < SIM_NODES; node++)
        {
          const SimJob *job = sim->jobs->pdata[i];
          HzbController *controller = sim->nodes[node].controller;
          const HzbJob *known = controller && job->confirmed_cancelled
                                        && hzb_ownership_state (controller->ownership) != HZB_OWNERSHIP_NONE
                                    ? hzb_jobs_find (controller->jobs, job->uid)
                                    : NULL;
          if (known && known->tasks && known->state == HZB_JOB_ACCEPTED
              && known->pending + known->queued + known->placed)
            g_error ("%s is called cancelled, and node-%u holds %u tasks of it at %.2f", job->uid, node,
                     known->pending + known->queued + known->placed, sim->now);
        }
}

/* A leaseholder that the key-value store refuses does not see a cancellation in its replica. The cancellation is
 * confirmed only after the leader has passed it on to the leaseholder, so no task starts afterwards. */
static void
test_leaseholder_misses_cancellation (void)
{
  guint confirmed = 0;
  for (guint32 seed = 230; seed < 242; seed++)
    {
      Sim *sim = sim_new (seed);
      int leaseholder;
      add_short_tasks (sim);
      while ((leaseholder = a_leaseholder (sim)) < 0 && sim->now < 40)
        sim_run (sim, sim->now + 0.5);
      g_assert_cmpint (leaseholder, !=, -1);
      sim->nodes[leaseholder].refused_by_kv = TRUE;
      sim_run (sim, sim->now + 0.3);
      cancel_all (sim);
      expect_no_unaware_owner (sim, 5);
      confirmed += confirmed_cancelled (sim);
      heal_controllers (sim, NULL);
      sim_run (sim, sim->now + 200);
      expect_all_finished (sim, "leaseholder misses cancellation", seed);
      sim_free (sim);
    }
  g_assert_cmpuint (confirmed, >, 24); /* of 96 jobs, some of which are done before */
}

/* The leader crashes while a leaseholder is isolated from everything but its machines, and goes on for a while. A
 * cancellation is not confirmed while the next leader can't rule out that the leaseholder starts tasks of the job. */
static void
test_isolated_leaseholder_after_leader_crash (void)
{
  for (guint32 seed = 242; seed < 254; seed++)
    {
      Sim *sim = sim_new (seed);
      int leaseholder, leader;
      add_short_tasks (sim);
      while ((leaseholder = a_leaseholder (sim)) < 0 && sim->now < 40)
        sim_run (sim, sim->now + 0.5);
      g_assert_cmpint (leaseholder, !=, -1);
      leader = sim_leader (sim);
      sim->nodes[leaseholder].refused_by_kv = sim->nodes[leaseholder].cut_off_from_peers = TRUE;
      sim_crash (sim, (guint) leader);
      cancel_all (sim);
      expect_no_unaware_owner (sim, 15);
      heal_controllers (sim, NULL);
      start_all_controllers (sim, NULL);
      sim_run (sim, sim->now + 200);
      expect_all_finished (sim, "isolated leaseholder after leader crash", seed);
      sim_free (sim);
    }
}

/* ---- two or three random faults, within seconds of each other ---- */

static void
cut_off_leader (Sim *sim, gpointer data)
{
  SimNode *node = &sim->nodes[MAX (sim_leader (sim), 0)];
  node->cut_off_from_kv = node->cut_off_from_peers = TRUE;
}

static void
refuse_leader_by_kv (Sim *sim, gpointer data)
{
  sim->nodes[MAX (sim_leader (sim), 0)].refused_by_kv = TRUE;
}

static void
begin_kv_outage (Sim *sim, gpointer data)
{
  sim->kv_outage = TRUE;
}

static void
delay_transactions (Sim *sim, gpointer data)
{
  sim->late_transaction_chance = 0.4;
}

static void
copy_heartbeats (Sim *sim, gpointer data)
{
  sim->heartbeat_copy_chance = 0.4;
}

static void
slow_links (Sim *sim, gpointer data)
{
  sim->delay_chance = 0.05;
  sim->loss_chance = 0.03;
}

static void
partition_some_one_way (Sim *sim, gpointer data)
{
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->one_way_partitioned = g_rand_int_range (sim->rand, 0, 4) == 0;
}

static void
partition_some_workers (Sim *sim, gpointer data)
{
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->partitioned = g_rand_int_range (sim->rand, 0, 4) == 0;
}

/* Users cancel jobs that run, and machines hang. */
static void
cancel_and_hang_machines (Sim *sim, gpointer data)
{
  cancel_some (sim, NULL);
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->hung = g_rand_int_range (sim->rand, 0, 3) == 0;
}

static void
start_one (Sim *sim, gpointer data)
{
  guint node_index = (guint) g_rand_int_range (sim->rand, 0, SIM_NODES);
  if (!sim->nodes[node_index].controller)
    sim_start (sim, node_index);
}

static void
crash_leader (Sim *sim, gpointer data)
{
  guint node_index = (guint) MAX (sim_leader (sim), 0);
  sim_crash (sim, node_index);
  if (g_rand_boolean (sim->rand))
    sim_start (sim, node_index);
}

static void
crash_leader_again (Sim *sim, gpointer data)
{
  guint left = GPOINTER_TO_UINT (data);
  start_all_controllers (sim, NULL);
  crash_leader (sim, NULL);
  if (left)
    sim_schedule (sim, sim->now + g_rand_double_range (sim->rand, 3, 8), crash_leader_again,
                  GUINT_TO_POINTER (left - 1));
}

static void
stop_all_beyond_lease (Sim *sim, gpointer data)
{
  for (guint i = 0; i < SIM_NODES; i++)
    sim_crash (sim, i);
  /* The controllers are down for longer than a lease; one starts first. */
  sim_schedule (sim, sim->now + g_rand_double_range (sim->rand, 11, 16), start_one, NULL);
  sim_schedule (sim, sim->now + g_rand_double_range (sim->rand, 17, 22), start_all_controllers, NULL);
}

static void
fail_over_ten_times (Sim *sim, gpointer data)
{
  crash_leader_again (sim, GUINT_TO_POINTER (9)); /* ten failovers in all */
}

/* A zone with a controller is partitioned: its workers reach that controller only, and the controller reaches its
 * workers and the key-value store only. */
static void
partition_zone (Sim *sim, gpointer data)
{
  sim->nodes[0].cut_off_from_peers = TRUE;
  for (guint i = 0; i < sim->machines->len; i++)
    {
      SimMachine *machine = sim->machines->pdata[i];
      machine->partitioned = g_str_equal (machine->zone, "za") && machine->node != 0;
    }
}

static void
end_all_faults (Sim *sim, gpointer data)
{
  sim->kv_outage = FALSE;
  sim->late_transaction_chance = sim->heartbeat_copy_chance = sim->delay_chance = sim->loss_chance =
      sim->peer_copy_chance = 0;
  heal_controllers (sim, NULL);
  start_all_controllers (sim, NULL);
  for (guint i = 0; i < sim->machines->len; i++)
    {
      SimMachine *machine = sim->machines->pdata[i];
      machine->partitioned = machine->hung = machine->one_way_partitioned = machine->faulty = FALSE;
    }
}

static void (*const faults[]) (Sim *sim, gpointer data) = {
  cut_off_leader,
  refuse_leader_by_kv,
  begin_kv_outage,
  delay_transactions,
  copy_heartbeats,
  slow_links,
  partition_some_one_way,
  partition_some_workers,
  cancel_some,
  crash_leader,
  crash_all_controllers,
  fail_over_ten_times,
  cancel_and_hang_machines,
  partition_zone,
  crash_random_controller,
  cut_off_leader_at_random,
  stop_all_beyond_lease,
};

static void
test_random_combinations (void)
{
  for (guint32 seed = 300; seed < 348; seed++)
    {
      Sim *sim = sim_new (seed);
      double at = g_rand_double_range (sim->rand, 18, 30);
      guint n = 2 + seed % 2;
      for (guint i = 0; i < 12; i++)
        {
          SimJob *job =
              sim_add_job (sim, 1 + 0.5 * i, i % 2 ? "red" : "blue", (guint) g_rand_int_range (sim->rand, 1, 9),
                           g_rand_int_range (sim->rand, 1, 4), g_rand_double_range (sim->rand, 5, 50));
          job->zone = i % 5 == 4 ? "zb" : NULL;
          job->type = i % 3 ? "small" : NULL;
          job->polls_only = i % 4 == 2;
        }
      for (guint i = 0; i < n; i++)
        sim_schedule (sim, at + g_rand_double_range (sim->rand, 0, 4),
                      faults[g_rand_int_range (sim->rand, 0, G_N_ELEMENTS (faults))], NULL);
      sim_schedule (sim, at + g_rand_double_range (sim->rand, 4, 45), end_all_faults, NULL);
      sim_schedule (sim, 122, end_all_faults, NULL);
      sim_run (sim, 125);
      sim->faults_over_at = sim->now;
      sim_run (sim, 600);
      expect_all_finished (sim, "random combinations", seed);
      sim_free (sim);
    }
}

/* Users cancel a job just as its last task ends, and the transactions of both are delayed: a job has one completion
 * only, and no user ever gets another answer. */
static void
test_cancellation_races_completion (void)
{
  for (guint32 seed = 700; seed < 708; seed++)
    {
      Sim *sim = sim_new (seed);
      guint done = 0, cancelled = 0;
      for (guint i = 0; i < 30; i++)
        sim_add_job (sim, 1 + 1.5 * i, i % 2 ? "red" : "blue", 2, 1, 6);
      sim_run (sim, 20);
      sim->delay_chance = 0.3;
      while (sim->now < 90)
        {
          sim_run (sim, sim->now + 0.1);
          for (guint i = 0; i < sim->jobs->len; i++)
            {
              SimJob *job = sim->jobs->pdata[i];
              if (job->finished[0] && job->finished[1] && job->cancel_at <= 0)
                {
                  job->wants_cancel = g_rand_boolean (sim->rand);
                  job->cancel_at = sim->now;
                }
            }
        }
      sim->delay_chance = 0;
      sim_schedule (sim, 100, crash_all_controllers, NULL); /* the records are read again */
      sim->faults_over_at = 120;
      sim_run (sim, 300);
      for (guint i = 0; i < sim->jobs->len; i++)
        {
          done += ((SimJob *) sim->jobs->pdata[i])->confirmed_done;
          cancelled += ((SimJob *) sim->jobs->pdata[i])->confirmed_cancelled;
        }
      g_assert_cmpuint (done, >, 0);
      g_assert_cmpuint (cancelled, >, 0);
      expect_all_finished (sim, "cancellation races completion", seed);
      sim_free (sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/combined-faults/leader-refused-then-kv-outage", test_leader_refused_then_kv_outage);
  g_test_add_func ("/combined-faults/cancellation-confirmed-at-once", test_cancellation_confirmed_at_once);
  g_test_add_func ("/combined-faults/leaseholder-misses-cancellation", test_leaseholder_misses_cancellation);
  g_test_add_func ("/combined-faults/isolated-leaseholder-after-leader-crash",
                   test_isolated_leaseholder_after_leader_crash);
  g_test_add_func ("/combined-faults/random-combinations", test_random_combinations);
  g_test_add_func ("/combined-faults/cancellation-races-completion", test_cancellation_races_completion);
  return g_test_run ();
}
