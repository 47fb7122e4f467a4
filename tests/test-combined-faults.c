/* Combinations of faults. Most violations of the rules that were found so far needed two faults at the same time. */
#include "sim-faults.h"

#include <string.h>

/* ---- cancellations while the key-value store refuses some or all controllers ---- */

/* What happens besides the two faults of test_leader_refused_then_kv_outage(). */
typedef enum
{
  REFUSED_PLAIN,              /* nothing */
  REFUSED_LATE_CANCELLATION,  /* users cancel 0.9 s after the refusal of the leader has begun, instead of 0.05 s */
  REFUSED_FOLLOWERS_CRASH,    /* all other controllers crash, and with them those that confirmed cancellations */
  REFUSED_RESTART_IN_OUTAGE,  /* a follower restarts in the outage */
  REFUSED_TWO_CONTROLLERS,    /* the key-value store refuses a follower together with the leader */
  REFUSED_LATE_TRANSACTIONS,  /* some transactions get no response and are carried out late */
  REFUSED_STATUS_QUERIES,     /* users request the cancellation once, and then only query the status */
  REFUSED_AFTER_FAILOVER,     /* a failover has taken place before */
  REFUSED_CUT_OFF_FROM_PEERS, /* the leader is cut off from its peers as well */
  N_REFUSED_VARIANTS
} RefusedVariant;

static void
cancel_every_second_job (Sim *sim, gpointer data)
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
count_confirmed_cancellations (Sim *sim)
{
  guint n = 0;
  for (guint i = 0; i < sim->jobs->len; i++)
    n += ((SimJob *) sim->jobs->pdata[i])->confirmed_cancelled;
  return n;
}

/* The key-value store refuses the leader, users cancel jobs, and then the store refuses all controllers for longer than
 * cancel_s. Guards against tasks that run on after the cancellation of their job was confirmed. Returns: the number of
 * cancellations that were confirmed by 6 s after the start of the outage */
static guint
run_leader_refused (guint32 seed, RefusedVariant variant)
{
  Sim *sim = sim_new (seed);
  guint leader, n_confirmed;
  for (guint i = 0; i < 8; i++)
    {
      SimJob *job = sim_add_job (sim, 1 + 0.2 * i, i % 4 < 2 ? "red" : "blue", 4, 1.5, 70);
      job->polls_only = variant == REFUSED_STATUS_QUERIES;
    }
  sim_run (sim, 25);
  if (variant == REFUSED_AFTER_FAILOVER)
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
  sim->nodes[leader].cut_off_from_peers = variant == REFUSED_CUT_OFF_FROM_PEERS;
  if (variant == REFUSED_TWO_CONTROLLERS)
    sim->nodes[(leader + 1) % SIM_NODES].refused_by_kv = TRUE;
  if (variant == REFUSED_LATE_TRANSACTIONS)
    sim->late_transaction_chance = 0.4;
  sim_run (sim, sim->now + (variant == REFUSED_LATE_CANCELLATION ? 0.9 : 0.05));
  cancel_every_second_job (sim, NULL);
  sim_run (sim, sim->now + 1.8);
  sim->kv_outage = TRUE;
  sim->late_transaction_chance = 0;
  if (variant == REFUSED_FOLLOWERS_CRASH)
    for (guint i = 0; i < SIM_NODES; i++)
      if (i != leader)
        sim_crash (sim, i);
  sim_run (sim, sim->now + 6);
  if (variant == REFUSED_RESTART_IN_OUTAGE)
    restart_follower (sim, NULL);
  n_confirmed = count_confirmed_cancellations (sim);
  sim_run (sim, sim->now + 6);
  heal_controllers (sim, NULL);
  sim_run (sim, sim->now + 34); /* longer than cancel_s, which is 30 s */
  sim->kv_outage = FALSE;
  start_all_controllers (sim, NULL);
  sim->faults_over_at = sim->now + 5;
  sim_run (sim, sim->now + 250);
  expect_all_finished (sim, "leader refused then kv outage", seed);
  sim_free (sim);
  return n_confirmed;
}

/* Guards against two faults while the key-value store refuses first the leader and then all controllers: tasks of a job
 * run on after its cancellation was confirmed, or cancellations are not confirmed although peers can reach the
 * leader. */
static void
test_leader_refused_then_kv_outage (void)
{
  guint n_confirmed[N_REFUSED_VARIANTS] = { 0 };
  for (guint variant = 0; variant < N_REFUSED_VARIANTS; variant++)
    for (guint32 seed = 200; seed < 210; seed++)
      n_confirmed[variant] += run_leader_refused (seed, variant);
  /* Without confirmed cancellations the runs would prove nothing. The leader can confirm some as long as peers reach
   * it, although the key-value store refuses it. */
  g_assert_cmpuint (n_confirmed[REFUSED_PLAIN], >, 20);
  g_assert_cmpuint (n_confirmed[REFUSED_STATUS_QUERIES], >, 15);
  g_assert_cmpuint (n_confirmed[REFUSED_CUT_OFF_FROM_PEERS], ==, 0);
}

/* Guards against late confirmations: without faults any controller has to confirm a cancellation about as soon as it is
 * recorded. */
static void
test_cancellation_confirmed_at_once (void)
{
  for (guint32 seed = 220; seed < 224; seed++)
    {
      Sim *sim = sim_new (seed);
      double cancelled_at, last_confirmed_at = 0;
      for (guint i = 0; i < 8; i++)
        sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 6, 1.5, 60);
      sim_run (sim, 20);
      cancelled_at = sim->now;
      cancel_every_second_job (sim, NULL);
      sim_run (sim, 27);
      g_assert_cmpuint (count_confirmed_cancellations (sim), ==, 4);
      for (guint i = 0; i < sim->jobs->len; i += 2)
        last_confirmed_at = MAX (last_confirmed_at, ((SimJob *) sim->jobs->pdata[i])->cancel_confirmed_at);
      g_assert_cmpfloat (last_confirmed_at - cancelled_at, <, 5); /* users query the status every 1 to 3 s */
      sim_run (sim, 300);
      expect_all_finished (sim, "cancellation confirmed at once", seed);
      sim_free (sim);
    }
}

/* Returns: the first node whose controller is a leaseholder and has a machine; -1: none */
static int
find_leaseholder (Sim *sim)
{
  for (guint i = 0; i < SIM_NODES; i++)
    if (sim->nodes[i].controller && hzb_ownership_is_leaseholder (sim->nodes[i].controller->ownership)
        && sim->nodes[i].controller->machines->all->len >= 1)
      return (int) i;
  return -1;
}

/* Eight jobs, each of 40 tasks of 10 s, so that tasks start all the time. */
static void
add_jobs_with_short_tasks (Sim *sim)
{
  for (guint i = 0; i < 8; i++)
    sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 40, 1, 10)->type = "small";
}

/* Runs the cluster for duration_s. Fails if an owner (the leader or a leaseholder) that does not know of a confirmed
 * cancellation holds tasks of the cancelled job. */
static void
expect_owners_know_cancellations (Sim *sim, double duration_s)
{
  for (double end = sim->now + duration_s; sim->now < end; sim_run (sim, sim->now + 0.02))
    for (guint i = 0; i < sim->jobs->len; i++)
      for (guint node = 0; node < SIM_NODES; node++)
        {
          const SimJob *job = sim->jobs->pdata[i];
          HzbController *controller = sim->nodes[node].controller;
          const HzbJob *controller_job = controller && job->confirmed_cancelled
                                                 && hzb_ownership_state (controller->ownership) != HZB_OWNERSHIP_NONE
                                             ? hzb_jobs_find (controller->jobs, job->uid)
                                             : NULL;
          if (controller_job && controller_job->tasks && controller_job->state == HZB_JOB_ACCEPTED
              && controller_job->pending + controller_job->queued + controller_job->placed)
            g_error ("%s: the cancellation is confirmed, but node-%u does not know of it and holds %u tasks at %.2f s",
                     job->uid, node, controller_job->pending + controller_job->queued + controller_job->placed,
                     sim->now);
        }
}

/* Guards against tasks that start after the cancellation of their job was confirmed: the key-value store refuses a
 * leaseholder, so that its replica lacks the cancellation. The cancellation may be confirmed only after the leader has
 * passed it on to the leaseholder. */
static void
test_leaseholder_misses_cancellation (void)
{
  guint n_confirmed = 0;
  for (guint32 seed = 230; seed < 242; seed++)
    {
      Sim *sim = sim_new (seed);
      int leaseholder;
      add_jobs_with_short_tasks (sim);
      while ((leaseholder = find_leaseholder (sim)) < 0 && sim->now < 40)
        sim_run (sim, sim->now + 0.5);
      g_assert_cmpint (leaseholder, !=, -1);
      sim->nodes[leaseholder].refused_by_kv = TRUE;
      sim_run (sim, sim->now + 0.3);
      cancel_all_jobs (sim);
      expect_owners_know_cancellations (sim, 5);
      n_confirmed += count_confirmed_cancellations (sim);
      heal_controllers (sim, NULL);
      sim_run (sim, sim->now + 200);
      expect_all_finished (sim, "leaseholder misses cancellation", seed);
      sim_free (sim);
    }
  g_assert_cmpuint (n_confirmed, >, 24); /* of 96 jobs, some of which complete before they are cancelled */
}

/* The leader crashes while a leaseholder reaches nothing but its machines, on which it goes on starting tasks for a
 * while. Guards against a cancellation that is confirmed although the next leader can't rule out that this leaseholder
 * starts tasks of the job. */
static void
test_isolated_leaseholder_after_leader_crash (void)
{
  for (guint32 seed = 242; seed < 254; seed++)
    {
      Sim *sim = sim_new (seed);
      int leaseholder, leader;
      add_jobs_with_short_tasks (sim);
      while ((leaseholder = find_leaseholder (sim)) < 0 && sim->now < 40)
        sim_run (sim, sim->now + 0.5);
      g_assert_cmpint (leaseholder, !=, -1);
      leader = sim_leader (sim);
      sim->nodes[leaseholder].refused_by_kv = sim->nodes[leaseholder].cut_off_from_peers = TRUE;
      sim_crash (sim, (guint) leader);
      cancel_all_jobs (sim);
      expect_owners_know_cancellations (sim, 15);
      heal_controllers (sim, NULL);
      start_all_controllers (sim, NULL);
      sim_run (sim, sim->now + 200);
      expect_all_finished (sim, "isolated leaseholder after leader crash", seed);
      sim_free (sim);
    }
}

/* ---- random combinations of two or three faults ---- */

static void
cut_off_leader (Sim *sim, gpointer data)
{
  SimNode *node = &sim->nodes[MAX (sim_leader (sim), 0)];
  node->cut_off_from_kv = node->cut_off_from_peers = TRUE;
}

static void
begin_kv_refusal_of_leader (Sim *sim, gpointer data)
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
duplicate_heartbeats (Sim *sim, gpointer data)
{
  sim->heartbeat_copy_chance = 0.4;
}

static void
delay_and_drop_messages (Sim *sim, gpointer data)
{
  sim->delay_chance = 0.05;
  sim->loss_chance = 0.03;
}

static void
partition_some_workers_one_way (Sim *sim, gpointer data)
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

/* Users cancel every second job, and some machines hang. */
static void
cancel_and_hang_machines (Sim *sim, gpointer data)
{
  cancel_every_second_job (sim, NULL);
  for (guint i = 0; i < sim->machines->len; i++)
    ((SimMachine *) sim->machines->pdata[i])->hung = g_rand_int_range (sim->rand, 0, 3) == 0;
}

/* Starts a random controller if its process is down. */
static void
start_random_controller (Sim *sim, gpointer data)
{
  guint node_index = (guint) g_rand_int_range (sim->rand, 0, SIM_NODES);
  if (!sim->nodes[node_index].controller)
    sim_start (sim, node_index);
}

/* Crashes the leader; in half of the cases its process restarts at once. */
static void
crash_leader (Sim *sim, gpointer data)
{
  guint node_index = (guint) MAX (sim_leader (sim), 0);
  sim_crash (sim, node_index);
  if (g_rand_boolean (sim->rand))
    sim_start (sim, node_index);
}

/* Crashes the leader now and then again, 3 to 8 s apart. @data: the number of further crashes */
static void
crash_leader_repeatedly (Sim *sim, gpointer data)
{
  guint n_remaining = GPOINTER_TO_UINT (data);
  start_all_controllers (sim, NULL);
  crash_leader (sim, NULL);
  if (n_remaining)
    sim_schedule (sim, sim->now + g_rand_double_range (sim->rand, 3, 8), crash_leader_repeatedly,
                  GUINT_TO_POINTER (n_remaining - 1));
}

static void
stop_all_controllers_beyond_lease (Sim *sim, gpointer data)
{
  for (guint i = 0; i < SIM_NODES; i++)
    sim_crash (sim, i);
  /* All controllers are down for longer than a lease (10 s), and then one starts before the others. */
  sim_schedule (sim, sim->now + g_rand_double_range (sim->rand, 11, 16), start_random_controller, NULL);
  sim_schedule (sim, sim->now + g_rand_double_range (sim->rand, 17, 22), start_all_controllers, NULL);
}

static void
fail_over_ten_times (Sim *sim, gpointer data)
{
  crash_leader_repeatedly (sim, GUINT_TO_POINTER (9)); /* nine further crashes: ten failovers in all */
}

/* A zone with one controller is partitioned: its workers reach this controller only, and the controller reaches these
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
  begin_kv_refusal_of_leader,
  begin_kv_outage,
  delay_transactions,
  duplicate_heartbeats,
  delay_and_drop_messages,
  partition_some_workers_one_way,
  partition_some_workers,
  cancel_every_second_job,
  crash_leader,
  crash_all_controllers,
  fail_over_ten_times,
  cancel_and_hang_machines,
  partition_zone,
  crash_random_controller,
  cut_off_leader_at_random,
  stop_all_controllers_beyond_lease,
};

/* Guards against violations and stuck jobs that only several faults together cause: two or three random faults begin
 * within 4 s and end together, after 122 s at the latest. Every job has to finish afterwards. */
static void
test_random_combinations (void)
{
  for (guint32 seed = 300; seed < 348; seed++)
    {
      Sim *sim = sim_new (seed);
      double faults_at = g_rand_double_range (sim->rand, 18, 30);
      guint n_faults = 2 + seed % 2;
      for (guint i = 0; i < 12; i++)
        {
          SimJob *job =
              sim_add_job (sim, 1 + 0.5 * i, i % 2 ? "red" : "blue", (guint) g_rand_int_range (sim->rand, 1, 9),
                           g_rand_int_range (sim->rand, 1, 4), g_rand_double_range (sim->rand, 5, 50));
          job->zone = i % 5 == 4 ? "zb" : NULL;
          job->type = i % 3 ? "small" : NULL;
          job->polls_only = i % 4 == 2;
        }
      for (guint i = 0; i < n_faults; i++)
        sim_schedule (sim, faults_at + g_rand_double_range (sim->rand, 0, 4),
                      faults[g_rand_int_range (sim->rand, 0, G_N_ELEMENTS (faults))], NULL);
      sim_schedule (sim, faults_at + g_rand_double_range (sim->rand, 4, 45), end_all_faults, NULL);
      sim_schedule (sim, 122, end_all_faults, NULL);
      sim_run (sim, 125);
      sim->faults_over_at = sim->now;
      sim_run (sim, 600);
      expect_all_finished (sim, "random combinations", seed);
      sim_free (sim);
    }
}

/* ---- race of cancellation and completion ---- */

/* Guards against jobs with two outcomes: users cancel a job just as its last task ends, and messages are delayed. A job
 * has to have one outcome, and its user must never be told another one. */
static void
test_cancellation_races_completion (void)
{
  for (guint32 seed = 700; seed < 708; seed++)
    {
      Sim *sim = sim_new (seed);
      guint n_done = 0, n_cancelled = 0;
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
      sim_schedule (sim, 100, crash_all_controllers, NULL); /* the new processes read the records again */
      sim->faults_over_at = 120;
      sim_run (sim, 300);
      for (guint i = 0; i < sim->jobs->len; i++)
        {
          n_done += ((SimJob *) sim->jobs->pdata[i])->confirmed_done;
          n_cancelled += ((SimJob *) sim->jobs->pdata[i])->confirmed_cancelled;
        }
      g_assert_cmpuint (n_done, >, 0);
      g_assert_cmpuint (n_cancelled, >, 0);
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
