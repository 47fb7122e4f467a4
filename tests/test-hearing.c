/* Reports that come late, again or from machines that hear nothing, and tokens. */
#include "troubles.h"

#include <string.h>

/* A machine whose reports arrive while nothing reaches it, the leader's own and a lent one: its lease ends though every
 * report was answered; it gets no work that it does not carry out, its tasks run elsewhere, and it goes back. */
static void
test_deaf_machine (void)
{
  for (guint32 seed = 80; seed < 84; seed++)
    {
      World *w = world_new (seed);
      HzbMachineState state = seed % 2 ? HZB_MACHINE_LENT : HZB_MACHINE_ACTIVE;
      WorldMachine *m;
      const HzbMachine *known;
      double began;
      some_work (w, 10);
      m = run_until (w, state);
      began = w->now;
      m->deaf = TRUE;
      world_run (w, began + 16);
      g_assert_cmpuint (m->session, >, 1);
      known = hzb_machines_find (w->nodes[world_leader (w)].c->machines, m->name);
      g_assert_true (!known || !hzb_machine_usable (known));
      world_run (w, began + 50);
      g_assert_true (m->gone);
      world_run (w, 500);
      expect_all_over (w, "deaf machine", seed);
      world_free (w);
    }
}

/* A short deafness costs no machine and no task. */
static void
test_short_deafness (void)
{
  World *w = world_new (84);
  WorldMachine *m;
  some_work (w, 10);
  m = run_until (w, HZB_MACHINE_ACTIVE);
  m->deaf = TRUE;
  world_run (w, w->now + 3);
  m->deaf = FALSE;
  world_run (w, w->now + 15);
  g_assert_cmpuint (m->session, ==, 1);
  g_assert_false (m->gone);
  world_run (w, 400);
  expect_all_over (w, "short deafness", 84);
  world_free (w);
}

/* A takeover does not wait for ever for a machine that never shows the new token though it reports all the time. */
static void
test_deaf_at_takeover (void)
{
  World *w = world_new (85);
  WorldMachine *m;
  int leader;
  some_work (w, 10);
  m = run_until (w, HZB_MACHINE_ACTIVE);
  leader = world_leader (w);
  m->deaf = TRUE;
  world_crash (w, (guint) leader);
  world_run (w, w->now + 25);
  g_assert_cmpint (world_leader (w), !=, -1);
  g_assert_cmpint (w->nodes[world_leader (w)].c->hold, ==, HZB_HOLD_FULL);
  g_assert_true (m->gone);
  world_start (w, (guint) leader);
  world_run (w, 400);
  expect_all_over (w, "deaf at takeover", 85);
  world_free (w);
}

/* A report that comes late, or again, says nothing new: its empty list does not free tasks that run. */
static void
test_late_report (void)
{
  World *w = world_new (11);
  WorldMachine *m;
  guint started;
  world_add_job (w, 1, "red", 6, 2, 60);
  m = run_until (w, HZB_MACHINE_ACTIVE);
  world_run (w, 25);
  started = w->started;
  g_assert_cmpuint (report_again (w, m, m->session, 1, ""), ==, 503);
  g_assert_cmpuint (report_again (w, m, m->session, m->seq, ""), ==, 503);
  world_run (w, 32);
  g_assert_cmpuint (w->started, ==, started);
  world_run (w, 200);
  expect_all_over (w, "late report", 11);
  world_free (w);
}

/* Once a machine's lease is over for certain, a report of that session makes it look alive no more, whatever its number;
 * and a report alone, as a copy of one long gone may be, makes no machine that gets work. */
static void
test_late_copies_revive_nothing (void)
{
  World *w = world_new (86);
  WorldMachine *m, gone = { .name = (char *) "i-900001", .type = (char *) "big", .zone = (char *) "za" };
  HzbController *c;
  some_work (w, 10);
  m = run_until (w, HZB_MACHINE_ACTIVE);
  c = w->nodes[world_leader (w)].c;
  m->cut = TRUE;
  world_run (w, w->now + 13);
  g_assert_cmpint (hzb_machines_find (c->machines, m->name)->state, ==, HZB_MACHINE_SILENT);
  g_assert_cmpuint (report_again (w, m, 1, 100000, ""), ==, 503);
  g_assert_cmpint (hzb_machines_find (c->machines, m->name)->state, ==, HZB_MACHINE_SILENT);
  g_assert_cmpuint (report_again (w, &gone, 1, 1, ""), ==, 200);
  g_assert_nonnull (strstr (last_body, "\"orders\":[]"));
  g_assert_false (hzb_machine_usable (hzb_machines_find (c->machines, gone.name)));
  m->cut = FALSE;
  world_run (w, 600);
  expect_all_over (w, "late copies revive nothing", 86);
  world_free (w);
}

/* Copies of reports and of messages between nodes come late, to any node, while leaders and machines change. */
static void
test_late_copies (void)
{
  for (guint32 seed = 90; seed < 98; seed++)
    {
      World *w = world_new (seed);
      w->copies = 0.4;
      w->peer_copies = seed % 2 ? 0.4 : 0;
      some_work (w, 12);
      for (guint i = 0; i < 3; i++)
        {
          world_at (w, g_rand_double_range (w->rand, 10, 60), crash_one, NULL);
          world_at (w, g_rand_double_range (w->rand, 10, 60), hurt_machine, NULL);
          world_at (w, g_rand_double_range (w->rand, 15, 70), start_all, NULL);
        }
      if (seed % 4 == 3)
        world_at (w, g_rand_double_range (w->rand, 15, 50), crash_all, NULL);
      world_at (w, 75, start_all, NULL);
      world_run (w, 80);
      w->copies = w->peer_copies = 0;
      world_run (w, 650);
      expect_all_over (w, "late copies", seed);
      world_free (w);
    }
}

/* A worker that has seen a newer token: whoever answers it with less has been replaced, and gives way. */
static void
test_newer_token (void)
{
  World *w = world_new (12);
  WorldMachine *m;
  HzbController *c;
  world_add_job (w, 1, "red", 2, 2, 30);
  world_run (w, 20);
  m = machine_with_tasks (w);
  c = w->nodes[world_leader (w)].c;
  m->token += hzb_token (7, 0);
  g_assert_cmpuint (report_again (w, m, m->session, m->seq + 1, ""), ==, 503);
  g_assert_false (hzb_election_leading (c->election));
  m->token -= hzb_token (7, 0);
  world_run (w, 120);
  expect_all_over (w, "newer token", 12);
  world_free (w);
}

/* A report sent under an older token may still be overtaken by that token's orders: it is answered, so that the
 * lease lives, but nothing is concluded from it and nothing ordered. */
static void
test_older_token (void)
{
  World *w = world_new (18);
  HzbController *c;
  WorldMachine m = { .name = (char *) "i-900000", .type = (char *) "big", .zone = (char *) "za" };
  world_add_job (w, 1, "red", 30, 2, 30);
  world_run (w, 12);
  c = w->nodes[world_leader (w)].c;
  g_assert_cmpuint (report_again (w, &m, 1, 1, "{\"piece\":\"run-555555/0\",\"try\":1,\"status\":\"ended\",\"cause\":\"error\"}"), ==, 200);
  g_assert_nonnull (strstr (last_body, "\"orders\":[]"));
  g_assert_cmpint (hzb_machines_find (c->machines, "i-900000")->state, ==, HZB_MACHINE_BOOTING);
  m.token = hzb_token (hzb_election_term (c->election), 0);
  g_assert_cmpuint (report_again (w, &m, 1, 2, "{\"piece\":\"run-555555/0\",\"try\":1,\"status\":\"ended\",\"cause\":\"error\"}"), ==, 200);
  g_assert_cmpint (hzb_machines_find (c->machines, "i-900000")->state, ==, HZB_MACHINE_ACTIVE);
  world_free (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/world/deaf-machine", test_deaf_machine);
  g_test_add_func ("/world/short-deafness", test_short_deafness);
  g_test_add_func ("/world/deaf-at-takeover", test_deaf_at_takeover);
  g_test_add_func ("/world/late-report", test_late_report);
  g_test_add_func ("/world/late-copies-revive-nothing", test_late_copies_revive_nothing);
  g_test_add_func ("/world/late-copies", test_late_copies);
  g_test_add_func ("/world/newer-token", test_newer_token);
  g_test_add_func ("/world/older-token", test_older_token);
  return g_test_run ();
}
