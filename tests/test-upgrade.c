/* Lower limits of the state service, and two versions side by side. The records of version 1 that are read
 * here were written for the purpose, as that version's code wrote them; what a process of version 1 does not say is taken
 * out of the messages of a node that stands for one. */
#include "troubles.h"

#include <string.h>

/* ---- two versions ---- */

static void
set_old (World *w, guint node, gboolean old)
{
  world_crash (w, node);
  w->nodes[node].old = old;
  world_start (w, node);
}

/* While one node is of version 1, silent or just restarted, no service is taken and nothing is written that it would
 * misread; afterwards it is, and a return to version 1 is refused. */
static void
test_rollout (void)
{
  for (guint32 seed = 420; seed < 426; seed++)
    {
      World *w = world_new (seed);
      guint retry = 0;
      HzbController *c;
      for (guint i = 0; i < WORLD_NODES; i++)
        set_old (w, i, TRUE);
      for (guint i = 0; i < 8; i++)
        world_add_job (w, 1 + 3 * i, i % 2 ? "red" : "blue", 5, 1.5, 20)->wants_cancel = i % 3 == 2;
      world_run (w, 15);
      for (guint i = 0; i < WORLD_NODES; i++)
        {
          g_assert_cmpuint (submit_service (w, 2, 50, "red", 2, 1, "0", &retry), ==, 503);
          g_assert_cmpuint (retry, >, 0);
          g_assert_cmpint (hzb_election_format (w->nodes[2].c->election), ==, 1);
          set_old (w, i, FALSE);
          if (seed % 3 == 1 && i == 1)
            set_old (w, 2, TRUE); /* it dies before its turn and comes back old */
          if (seed % 3 == 2 && i == 0)
            {
              w->outage = TRUE;
              world_run (w, w->now + 7);
              w->outage = FALSE;
            }
          world_run (w, w->now + 6);
        }
      world_run (w, w->now + 8);
      for (guint i = 0; i < WORLD_NODES; i++)
        g_assert_cmpint (hzb_election_format (w->nodes[i].c->election), ==, 2);
      g_assert_cmpuint (submit_service (w, 1, 50, "red", 2, 1, "0", NULL), ==, 201);
      g_assert_cmpuint (ask (w, 0, "POST", "/api/jobs/run-000050/cancel", "", NULL), ==, 200);
      /* The lead still passes on, by the key of format 2. */
      crash_one (w, NULL);
      world_run (w, w->now + 10);
      start_all (w, NULL);
      world_run (w, w->now + 10);
      g_assert_cmpint (world_leader (w), !=, -1);
      c = w->nodes[world_leader (w)].c;
      set_old (w, (guint) (world_leader (w) + 1) % WORLD_NODES, TRUE);
      world_run (w, w->now + 5);
      g_assert_false (hzb_peers_all_format (c->peers, 2));
      set_old (w, (guint) (world_leader (w) + 1) % WORLD_NODES, FALSE);
      world_run (w, w->now + 200);
      expect_all_over (w, "rollout", seed);
      world_free (w);
    }
}

/* Upgrades through deaths, cuts, outages and cancellations, with services from their end on, and limits that fall. */
static void
test_rollout_and_troubles (void)
{
  for (guint32 seed = 430; seed < 442; seed++)
    {
      World *w = world_new (seed);
      for (guint i = 0; i < WORLD_NODES; i++)
        set_old (w, i, TRUE);
      for (guint i = 0; i < 12; i++)
        {
          WorldJob *job = world_add_job (w, 1 + 4 * i, i % 2 ? "red" : "blue", (guint) g_rand_int_range (w->rand, 1, 9), 1.5, 20);
          job->wants_cancel = i % 3 == 2;
          job->zone = i % 5 == 4 ? "zb" : NULL;
        }
      for (guint i = 0; i < 3; i++)
        add_service (w, 30 + 8 * i, i % 2 ? "red" : "blue", 2 + i, 1, 130);
      world_run (w, 14);
      for (guint i = 0; i < WORLD_NODES; i++)
        {
          double at = w->now + g_rand_double_range (w->rand, 0, 4);
          world_at (w, at, seed % 2 ? cut_leader : crash_one, NULL);
          world_at (w, at + g_rand_double_range (w->rand, 2, 8), heal, NULL);
          world_at (w, at + g_rand_double_range (w->rand, 2, 8), start_all, NULL);
          if (seed % 4 == 3)
            {
              world_at (w, at, flip_outage, NULL);
              world_at (w, at + 3, flip_outage, NULL);
            }
          set_old (w, i, FALSE);
          world_run (w, w->now + g_rand_double_range (w->rand, 4, 10));
        }
      world_run (w, 60);
      w->most_value = 2048;
      w->most_changes = 8; /* as the settings of the world say, of 8 */
      world_at (w, 70, crash_one, NULL);
      world_at (w, 76, start_all, NULL);
      world_at (w, 85, hurt_machine, NULL);
      world_at (w, 95, crash_all, NULL);
      world_run (w, 110);
      start_all (w, NULL);
      w->outage = FALSE;
      w->calm_at = 125;
      world_run (w, 500);
      expect_all_over (w, "rollout and troubles", seed);
      world_free (w);
    }
}

/* The steps of a rollout in any order: two nodes at once, one that ends before its turn and comes back old after a new one
 * has led, a step inside an outage; with cancellations, repeats and questions all along, and a service that asks from the
 * beginning. */
static void
test_rollout_at_random (void)
{
  for (guint32 seed = 470; seed < 486; seed++)
    {
      World *w = world_new (seed);
      guint order[WORLD_NODES] = { 0, 1, 2 }, retry = 0, second = seed % 3 == 1;
      for (guint i = 0; i < WORLD_NODES; i++)
        set_old (w, i, TRUE);
      for (guint i = WORLD_NODES - 1; i > 0; i--)
        {
          guint k = (guint) g_rand_int_range (w->rand, 0, (gint32) i + 1), swap = order[i];
          order[i] = order[k];
          order[k] = swap;
        }
      for (guint i = 0; i < 16; i++)
        world_add_job (w, 1 + 3 * i, i % 2 ? "red" : "blue", 1 + i % 7, 1.5, 15)->wants_cancel = i % 3 == 1;
      add_service (w, 8, "red", 3, 1, 120);
      world_run (w, 14);
      g_assert_cmpuint (submit_service (w, 0, 50, "blue", 2, 1, "0", &retry), ==, 503);
      g_assert_cmpuint (retry, >, 0);
      for (guint i = 0; i < WORLD_NODES; i++)
        {
          w->outage = seed % 4 == 2 && i == 1;
          set_old (w, order[i], FALSE);
          if (second && i == 0)
            set_old (w, order[++i], FALSE); /* two at once */
          world_run (w, w->now + g_rand_double_range (w->rand, 1, 5));
          w->outage = FALSE;
          world_run (w, w->now + g_rand_double_range (w->rand, 5, 9));
          if (i + 1 < WORLD_NODES && seed % 2)
            {
              int leader = world_leader (w);
              set_old (w, order[WORLD_NODES - 1], TRUE); /* old once more, whoever led meanwhile */
              if (leader >= 0 && !w->nodes[leader].old)
                set_old (w, (guint) leader, FALSE); /* and then leads, perhaps */
              world_run (w, w->now + 8);
              g_assert_cmpint (hzb_election_format (w->nodes[order[0]].c->election), ==, 1);
            }
        }
      world_run (w, w->now + 12);
      for (guint i = 0; i < WORLD_NODES; i++)
        g_assert_cmpint (hzb_election_format (w->nodes[i].c->election), ==, 2);
      w->calm_at = w->now;
      world_run (w, 300);
      g_assert_cmpuint (w->refused_services, >, 0);
      expect_all_over (w, "rollout at random", seed);
      world_free (w);
    }
}

typedef enum
{
  FALL_AT_TAKEOVER,
  FALL_AT_HAND_OVER,
  FALL_AT_A_STEP,
  FALL_AFTER_A_RESTART,
  FALL_N
} Fall;

/* The limits fall to 2 KiB and 5 changes, and the rate to a third, at the worst moments. Nothing that is sent since the
 * start is larger, so nothing is refused; services, a large job and machines on many pages go on. */
static void
test_limits_fall (void)
{
  for (guint32 seed = 490; seed < 490 + 2 * FALL_N; seed++)
    {
      WorldSize size = world_size_little;
      World *w;
      Fall fall = (Fall) (seed % FALL_N);
      size.txn_ops = 24;
      size.next_txn_ops = 5;
      size.next_write_rps = 20;
      w = world_new_sized (seed, &size);
      world_add_job (w, 1, "red", 900, 0.25, 5)->lane = "large";
      for (guint i = 0; i < 24; i++)
        world_add_job (w, 1 + 1.5 * i, i % 2 ? "red" : "blue", 1 + i % 5, 1, 8)->wants_cancel = i % 4 == 3;
      add_service (w, 6, "blue", 3, 1, 120);
      if (fall == FALL_AT_A_STEP)
        for (guint i = 0; i < WORLD_NODES; i++)
          set_old (w, i, TRUE);
      world_run (w, 25);
      if (fall == FALL_AT_TAKEOVER)
        {
          world_crash (w, (guint) MAX (world_leader (w), 0));
          world_run (w, 25 + g_rand_double_range (w->rand, 3.5, 6));
        }
      else if (fall == FALL_AT_HAND_OVER)
        run_until (w, HZB_MACHINE_LENT);
      else if (fall == FALL_AT_A_STEP)
        {
          set_old (w, 0, FALSE);
          set_old (w, 1, FALSE);
          world_run (w, 25 + g_rand_double_range (w->rand, 3, 7));
        }
      else
        {
          for (guint i = 0; i < WORLD_NODES; i++)
            world_crash (w, i);
          start_all (w, NULL);
          world_run (w, 25 + g_rand_double_range (w->rand, 0, 3));
        }
      w->most_value = 2048;
      w->most_changes = 5;
      w->write_rate = 20;
      start_all (w, NULL);
      for (guint i = 0; i < WORLD_NODES; i++)
        if (w->nodes[i].old)
          set_old (w, i, FALSE);
      world_run (w, 60);
      crash_one (w, NULL);
      world_run (w, 66);
      start_all (w, NULL);
      w->calm_at = 80;
      world_run (w, 420);
      expect_all_over (w, "limits fall", seed);
      world_free (w);
    }
}

/* What version 1 wrote is read and, where it is too large, written anew in small pages, with no moment at which a node
 * that starts would read less. */
static void
test_large_records (void)
{
  for (guint32 seed = 450; seed < 454; seed++)
    {
      World *w = world_new (seed);
      g_autoptr (GString) accepted = g_string_new ("{"), progress = g_string_new ("{"), machines = g_string_new ("{");
      for (guint i = 0; i < WORLD_NODES; i++)
        world_crash (w, i);
      for (guint i = 0; i < 40; i++)
        {
          WorldJob *job = world_add_job (w, 1e6, i % 2 ? "red" : "blue", 4, 1, 4);
          job->submitted = job->accepted = TRUE;
          job->answered_at = 30;
          job->finished[0] = job->finished[1] = 1;
          g_string_append_printf (accepted,
                                  "%s\"%s\":{\"state\":\"accepted\",\"at\":%u,\"spec\":{\"uid\":\"%s\",\"lane\":\"batch\",\"owner\":\"%s\","
                                  "\"shape\":\"sweep\",\"urgency\":\"normal\",\"pieces\":4,\"cpus\":1,\"gpus\":0,\"ramGb\":1,"
                                  "\"bundle\":\"img\",\"sizeGb\":0.5,\"samePlace\":false,\"spread\":false,\"loaners\":true,"
                                  "\"expectS\":4,\"snapshotEveryS\":0,\"snapshotS\":0}}",
                                  i ? "," : "", job->uid, i, job->uid, job->team);
          /* tasks 0 and 1 are done, all were released */
          g_string_append_printf (progress, "%s\"%s/0\":{\"released\":4,\"team\":\"%s\",\"cpus\":1,\"gpus\":0,\"done\":\"Aw==\"}",
                                  i ? "," : "", job->uid, job->team);
        }
      for (guint i = 0; i < 30; i++)
        g_string_append_printf (machines, "%s\"i-9%05u\":{\"addr\":\"10.1.0.1:1\",\"type\":\"small\",\"zone\":\"za\",\"spot\":true,\"at\":5}",
                                i ? "," : "", i);
      g_string_append (accepted, "}");
      g_string_append (progress, "}");
      g_string_append (machines, "}");
      world_put_record (w, "hzb/a/accepted/main/node-0-00000001-1", accepted->str);
      world_put_record (w, "hzb/a/term", "{\"term\":3,\"node\":\"node-0\"}");
      world_put_record (w, "hzb/x/flush", "{\"n\":17}");
      world_put_record (w, "hzb/x/machines/000002", machines->str);
      world_put_record (w, "hzb/x/progress/main/000001", progress->str);
      g_assert_cmpuint (world_largest_record (w, "hzb/x/progress/"), >, 2048);
      g_assert_cmpuint (world_largest_record (w, "hzb/x/machines/"), >, 2048);
      w->most_value = 2048;
      w->most_changes = 8;
      w->nodes[1].old = seed % 2;
      start_all (w, NULL);
      for (guint i = 0; i < w->jobs->len; i++)
        {
          WorldJob *job = w->jobs->pdata[i];
          job->submit_at = 0;
          job->answered_at = 1;
        }
      if (seed >= 452)
        world_at (w, 4.5, crash_all, NULL); /* in the midst of it */
      world_run (w, 60);
      g_assert_cmpuint (world_largest_record (w, "hzb/x/progress/"), <=, 2048);
      g_assert_cmpuint (world_largest_record (w, "hzb/x/machines/"), <=, 2048);
      world_run (w, 400);
      for (guint i = 0; i < w->jobs->len; i++)
        {
          WorldJob *job = w->jobs->pdata[i];
          const HzbJob *known = hzb_jobs_find (w->nodes[0].c->jobs, job->uid);
          g_assert_cmpint (known->state, ==, HZB_JOB_DONE);
        }
      g_assert_cmpuint (w->started, <=, 80 + 40); /* what was done is not done again; a crash may lose a start */
      expect_no_fault (w, "large records", seed);
      world_free (w);
    }
}

/* What the version in production wrote (format 2, commit 0357c99), as its code writes it: a service that it took with an
 * estimate goes on, a repeat of it is known, a job that was half done is finished, one that is over stays so. */
static void
test_records_of_production (void)
{
  static const char *const records[][2] = {
    { "hzb/a/accepted/main/node-1-0a0b0c0d0e0f1011-1",
      "{\"run-000777\":{\"state\":\"accepted\",\"at\":5.25,\"spec\":{\"uid\":\"run-000777\",\"lane\":\"web\",\"owner\":\"red\","
      "\"shape\":\"standing\",\"urgency\":\"production\",\"pieces\":2,\"cpus\":1,\"gpus\":0,\"ramGb\":1,\"bundle\":\"img\","
      "\"sizeGb\":0.5,\"samePlace\":false,\"spread\":true,\"loaners\":false,\"expectS\":5,\"snapshotEveryS\":0,\"snapshotS\":0}}}" },
    { "hzb/a/jobs/main/run-000778", "{\"state\":\"cancelled\",\"n\":3}" },
    { "hzb/o/ended/main/run-000779", "{\"state\":\"done\",\"n\":4}" },
    { "hzb/a/term", "{\"term\":7,\"node\":\"node-1\"}" },
    { "hzb/a/format", "{\"format\":2}" },
    { "hzb/a/leader", "{\"node\":\"(none of version 1)\",\"term\":5}" },
    { "hzb/x/flush", "{\"n\":31,\"term\":7,\"clear\":212}" },
    { "hzb/x/machines/000002", "{\"i-900001\":{\"type\":\"big\",\"zone\":\"za\",\"spot\":false,\"at\":5}}" },
    { "hzb/x/progress/main/000001", "{\"run-000777/0\":{\"released\":2,\"team\":\"red\",\"cpus\":1,\"gpus\":0}}" },
  };
  World *w = world_new (465);
  const HzbJob *service;
  for (guint i = 0; i < WORLD_NODES; i++)
    world_crash (w, i);
  for (guint i = 0; i < G_N_ELEMENTS (records); i++)
    world_put_record (w, records[i][0], records[i][1]);
  start_all (w, NULL);
  world_run (w, 60);
  for (guint i = 0; i < WORLD_NODES; i++)
    {
      g_assert_cmpint (hzb_election_format (w->nodes[i].c->election), ==, 2);
      g_assert_cmpuint (submit_service (w, i, 777, "red", 2, 1, "5", NULL), ==, 200);
      g_assert_cmpuint (submit_service (w, i, 778, "red", 2, 1, "0", NULL), ==, 200);
      g_assert_nonnull (strstr (last_body, "cancelled"));
      g_assert_cmpuint (ask (w, i, "GET", "/api/jobs/run-000779", "", NULL), ==, 200);
      g_assert_nonnull (strstr (last_body, "done"));
      g_assert_cmpuint (submit_service (w, i, 780, "red", 2, 1, "5", NULL), ==, 400);
    }
  g_assert_cmpint (world_leader (w), !=, -1);
  service = hzb_jobs_find (w->nodes[world_leader (w)].c->jobs, "run-000777");
  g_assert_cmpuint (service->placed, ==, 2);
  g_assert_cmpuint (ask (w, 0, "POST", "/api/jobs/run-000777/cancel", "", NULL), ==, 200);
  expect_no_fault (w, "records of production", 465);
  world_free (w);
}

/* The state service calls every larger value malformed, also beyond what the settings say: the node neither loops nor
 * stops serving, and goes on once it can. */
static void
test_malformed (void)
{
  World *w = world_new (460);
  WorldJob *late;
  guint before;
  for (guint i = 0; i < 6; i++)
    world_add_job (w, 1 + 0.2 * i, i % 2 ? "red" : "blue", 10, 1, 15);
  late = world_add_job (w, 12, "red", 2, 1, 5);
  world_run (w, 10);
  w->most_value = 100;
  world_run (w, 11);
  before = w->requests;
  world_run (w, 41);
  g_assert_cmpuint (w->requests - before, <, 30 * 40);
  g_assert_cmpint (world_leader (w), !=, -1);
  g_assert_false (late->accepted);
  g_assert_cmpuint (w->broken->len, >, 0);
  for (guint i = 0; i < w->broken->len; i++)
    g_assert_true (g_str_has_prefix (w->broken->pdata[i], "too_large"));
  g_ptr_array_set_size (w->broken, 0);
  w->most_value = 2048;
  world_run (w, 300);
  expect_all_over (w, "malformed", 460);
  world_free (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/world/rollout", test_rollout);
  g_test_add_func ("/world/rollout-and-troubles", test_rollout_and_troubles);
  g_test_add_func ("/world/rollout-at-random", test_rollout_at_random);
  g_test_add_func ("/world/limits-fall", test_limits_fall);
  g_test_add_func ("/world/records-of-production", test_records_of_production);
  g_test_add_func ("/world/malformed", test_malformed);
  g_test_add_func ("/world/large-records", test_large_records);
  return g_test_run ();
}
