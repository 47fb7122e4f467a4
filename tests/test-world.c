/* Seeded schedules of failures through the real controllers, with the rules checked after every step. */
#include "world.h"

#include <string.h>

static void
expect_no_fault (World *w, const char *what, guint32 seed)
{
  for (guint i = 0; i < w->broken->len && i < 5; i++)
    g_test_message ("%s", (char *) w->broken->pdata[i]);
  if (w->broken->len)
    g_error ("%s, seed %u: %s", what, seed, (char *) w->broken->pdata[0]);
}

/* Also that nothing is forgotten and no one starved. */
static void
expect_all_over (World *w, const char *what, guint32 seed)
{
  world_check_end (w);
  expect_no_fault (w, what, seed);
  for (guint i = 0; i < w->jobs->len; i++)
    {
      const WorldJob *job = w->jobs->pdata[i];
      if (!job->told_done && !job->told_cancelled && !job->bad)
        g_error ("%s, seed %u: %s is not over", what, seed, job->uid);
    }
}

static void
some_jobs (World *w)
{
  static const char *const teams[] = { "red", "blue" };
  for (guint i = 0; i < 10; i++)
    {
      WorldJob *job = world_add_job (w, 1 + i * 4, teams[i % 2], (guint) g_rand_int_range (w->rand, 1, 14),
                                     g_rand_int_range (w->rand, 1, 4), g_rand_double_range (w->rand, 2, 10));
      job->wants_cancel = i % 4 == 3;
      job->spot = i % 3 != 0;
      job->zone = i % 5 == 0 ? "zb" : NULL;
      job->type = i % 7 == 0 ? "big" : NULL;
    }
}

static void
test_quiet (void)
{
  World *w = world_new (1);
  some_jobs (w);
  world_run (w, 150);
  expect_all_over (w, "quiet", 1);
  g_assert_cmpuint (w->ran, >, 20);
  world_free (w);
}

static void
crash_one (World *w, gpointer data)
{
  int leader = world_leader (w);
  guint at = leader >= 0 && g_rand_boolean (w->rand) ? (guint) leader : (guint) g_rand_int_range (w->rand, 0, WORLD_NODES);
  world_crash (w, at);
  if (g_rand_boolean (w->rand))
    world_start (w, at); /* within a fraction of a second */
}

static void
start_all (World *w, gpointer data)
{
  for (guint i = 0; i < WORLD_NODES; i++)
    if (!w->nodes[i].c)
      world_start (w, i);
}

static void
crash_all (World *w, gpointer data)
{
  for (guint i = 0; i < WORLD_NODES; i++)
    world_crash (w, i);
  world_at (w, w->now + g_rand_double_range (w->rand, 0.2, 6), start_all, NULL);
}

static void
flip_outage (World *w, gpointer data)
{
  w->outage = !w->outage;
}

static void
cut_leader (World *w, gpointer data)
{
  int leader = world_leader (w);
  Node *node = &w->nodes[MAX (leader, 0)];
  switch (g_rand_int_range (w->rand, 0, 4))
    {
    case 0:
      node->cut_store = TRUE;
      break;
    case 1:
      node->refused = TRUE;
      break;
    case 2:
      node->cut_workers = TRUE;
      break;
    default:
      node->cut_store = node->cut_peers = TRUE;
      break;
    }
}

static void
heal (World *w, gpointer data)
{
  for (guint i = 0; i < WORLD_NODES; i++)
    w->nodes[i].cut_store = w->nodes[i].refused = w->nodes[i].cut_workers = w->nodes[i].cut_peers = FALSE;
}

static void
hurt_machine (World *w, gpointer data)
{
  WorldMachine *m;
  if (!w->machines->len)
    return;
  m = w->machines->pdata[g_rand_int_range (w->rand, 0, (gint32) w->machines->len)];
  switch (g_rand_int_range (w->rand, 0, 4))
    {
    case 0:
      m->cut = !m->cut;
      break;
    case 1:
      m->hung = !m->hung;
      break;
    case 2:
      m->sick = !m->sick;
      break;
    default:
      m->failed = TRUE; /* stopped with all that was on it */
      g_ptr_array_set_size (m->tasks, 0);
      break;
    }
}

static void
surprise (World *w, gpointer data)
{
  world_add_machine (w, "big", "za", FALSE, 0.5);
}

static void
test_failures (void)
{
  for (guint32 seed = 1; seed <= 24; seed++)
    {
      World *w = world_new (seed);
      some_jobs (w);
      w->lose = seed % 3 ? 0.02 : 0;
      w->late = seed % 2 ? 0.02 : 0;
      w->boot_never = TRUE;
      for (guint i = 0; i < 4; i++)
        {
          world_at (w, g_rand_double_range (w->rand, 5, 60), crash_one, NULL);
          world_at (w, g_rand_double_range (w->rand, 5, 60), hurt_machine, NULL);
          world_at (w, g_rand_double_range (w->rand, 5, 60), hurt_machine, NULL);
          world_at (w, g_rand_double_range (w->rand, 10, 80), start_all, NULL);
        }
      world_at (w, g_rand_double_range (w->rand, 5, 50), surprise, NULL);
      if (seed % 4 == 0)
        world_at (w, g_rand_double_range (w->rand, 10, 50), crash_all, NULL);
      if (seed % 2)
        {
          double at = g_rand_double_range (w->rand, 10, 50);
          world_at (w, at, flip_outage, NULL);
          world_at (w, at + g_rand_double_range (w->rand, 1, 15), flip_outage, NULL);
        }
      if (seed % 3 == 1)
        {
          double at = g_rand_double_range (w->rand, 10, 50);
          world_at (w, at, cut_leader, NULL);
          world_at (w, at + g_rand_double_range (w->rand, 2, 25), heal, NULL);
        }
      world_at (w, 85, start_all, NULL);
      world_at (w, 85, heal, NULL);
      world_run (w, 100);
      w->lose = w->late = 0;
      world_run (w, 450);
      expect_all_over (w, "failures", seed);
      world_free (w);
    }
}

/* A machine that an earlier holder used stays silent towards the new one: its tasks start nowhere else until the
 * cloud has confirmed its return, although other machines are free. */
static void
test_silent_machine (void)
{
  World *w = world_new (5);
  WorldJob *job = world_add_job (w, 1, "red", 4, 2, 60);
  WorldMachine *m = NULL;
  int leader;
  world_run (w, 20);
  for (guint i = 0; i < w->machines->len && !m; i++)
    if (((WorldMachine *) w->machines->pdata[i])->tasks->len)
      m = w->machines->pdata[i];
  g_assert_nonnull (m);
  g_assert_false (job->told_done);
  leader = world_leader (w);
  m->cut = TRUE;
  world_crash (w, (guint) leader);
  world_run (w, 29);
  g_assert_cmpint (world_leader (w), !=, -1);
  g_assert_false (m->gone);
  world_run (w, 45);
  g_assert_true (m->gone);
  world_start (w, (guint) leader);
  world_run (w, 250);
  expect_all_over (w, "silent machine", 5);
  world_free (w);
}

/* A quick restart of the leader is a new incarnation: it ends the old lease and leads with a higher term. */
static void
test_quick_restart (void)
{
  World *w = world_new (6);
  int leader;
  guint64 term;
  world_add_job (w, 1, "red", 6, 2, 40);
  world_run (w, 15);
  leader = world_leader (w);
  term = hzb_election_term (w->nodes[leader].c->election);
  world_crash (w, (guint) leader);
  world_start (w, (guint) leader);
  world_run (w, 18);
  g_assert_cmpint (world_leader (w), !=, -1);
  g_assert_cmpuint (hzb_election_term (w->nodes[world_leader (w)].c->election), >, term);
  world_run (w, 150);
  expect_all_over (w, "quick restart", 6);
  world_free (w);
}

/* While the state service is away, workers' leases live and running tasks are kept. */
static void
test_outage_keeps_tasks (void)
{
  World *w = world_new (8);
  guint started;
  WorldJob *kept = world_add_job (w, 1, "red", 6, 2, 60);
  world_add_job (w, 1, "blue", 60, 2, 6);
  world_run (w, 20);
  g_assert_cmpuint (w->started, >=, 6);
  w->outage = TRUE;
  world_run (w, 27);
  started = w->started;
  world_run (w, 45);
  /* Nothing starts once the leadership can't be proven any more. */
  g_assert_cmpuint (w->started, ==, started);
  for (guint i = 0; i < w->machines->len; i++)
    g_assert_cmpuint (((WorldMachine *) w->machines->pdata[i])->session, ==, 1);
  w->outage = FALSE;
  world_run (w, 200);
  g_assert_true (kept->told_done);
  expect_all_over (w, "outage", 8);
  world_free (w);
}

static WorldMachine *
own_machine_with_tasks (World *w, HzbMachineState state)
{
  HzbController *c = w->nodes[MAX (world_leader (w), 0)].c;
  for (guint i = 0; c && i < w->machines->len; i++)
    {
      WorldMachine *m = w->machines->pdata[i];
      const HzbMachine *known = hzb_machines_find (c->machines, m->name);
      if (m->tasks->len && !m->gone && known && known->state == state)
        return m;
    }
  return NULL;
}

static void
some_work (World *w, guint jobs)
{
  for (guint i = 0; i < jobs; i++)
    world_add_job (w, 1 + 0.3 * i, i % 2 ? "red" : "blue", 8, 3, 20)->type = "small";
}

static WorldMachine *
run_until (World *w, HzbMachineState state)
{
  WorldMachine *m = NULL;
  while (!m && w->now < 60)
    {
      world_run (w, w->now + 0.5);
      m = own_machine_with_tasks (w, state);
    }
  g_assert_nonnull (m);
  return m;
}

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

/* The cloud will take a machine: a task that can neither save nor end before then starts elsewhere at once, one that is
 * nearly over runs on, and the machine goes back as soon as it is empty. */
static void
test_notice (void)
{
  World *w = world_new (87);
  WorldJob *brief = world_add_job (w, 1, "red", 1, 3, 10), *lengthy = world_add_job (w, 1, "red", 1, 3, 200);
  WorldMachine *m;
  double at;
  brief->type = lengthy->type = "big"; /* 8 CPUs: they share one */
  m = run_until (w, HZB_MACHINE_ACTIVE);
  while (m->tasks->len < 2 && w->now < 30)
    world_run (w, w->now + 0.5);
  g_assert_cmpuint (m->tasks->len, ==, 2);
  world_run (w, w->now + 3);
  m->taken_at = w->now + 40;
  at = w->now;
  world_run (w, at + 4);
  g_assert_cmpuint (m->tasks->len, ==, 1);
  g_assert_cmpstr (((WorldTask *) m->tasks->pdata[0])->uid, ==, brief->uid);
  world_run (w, at + 25);
  g_assert_true (brief->told_done);
  g_assert_true (m->gone);
  world_run (w, 500);
  expect_all_over (w, "notice", 87);
  world_free (w);
}

/* A job that fails wherever it starts is tried ever more slowly, and others go on. */
static void
test_bad_job (void)
{
  World *w = world_new (9);
  WorldJob *bad = world_add_job (w, 1, "red", 10, 1, 5), *good;
  bad->bad = TRUE;
  good = world_add_job (w, 5, "blue", 10, 2, 5);
  world_run (w, 120);
  g_assert_true (good->told_done);
  g_assert_cmpuint (w->started, <, 120);
  expect_no_fault (w, "bad job", 9);
  world_free (w);
}

static WorldMachine *
machine_with_tasks (World *w)
{
  for (guint i = 0; i < w->machines->len; i++)
    if (((WorldMachine *) w->machines->pdata[i])->tasks->len)
      return w->machines->pdata[i];
  return NULL;
}

static char last_body[400];

static void
keep_status (HzbExchange *exchange, guint status, const char *body, guint retry)
{
  guint *out = exchange->impl;
  *out = status;
  g_strlcpy (last_body, body ? body : "", sizeof last_body);
}

static guint
report_again (World *w, WorldMachine *m, guint64 session, guint64 seq, const char *pieces)
{
  HzbExchange *exchange = g_new0 (HzbExchange, 1);
  guint status = 0;
  exchange->method = g_strdup ("POST");
  exchange->path = g_strdup ("/hello");
  exchange->body = g_strdup_printf ("{\"host\":\"%s\",\"addr\":\"10.1.0.1:1\",\"flavor\":\"%s\",\"yard\":\"%s\","
                                    "\"loaners\":false,\"tenure\":%u,\"tick\":%u,\"baton\":%" G_GUINT64_FORMAT ",\"pieces\":[%s]}",
                                    m->name, m->type, m->zone, (guint) session, (guint) seq, m->token, pieces);
  exchange->length = strlen (exchange->body);
  exchange->reply = keep_status;
  exchange->impl = &status;
  hzb_controller_request (exchange, w->nodes[world_leader (w)].c);
  return status;
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

/* A cancellation while starts are on their way: told only once durable, and soon nothing of the job is left. */
static void
test_cancel_in_flight (void)
{
  World *w = world_new (13);
  WorldJob *job = world_add_job (w, 1, "red", 12, 2, 200);
  while (!machine_with_tasks (w) && w->now < 60)
    world_run (w, w->now + 0.1);
  job->wants_cancel = TRUE;
  w->late = 0.1;
  w->lose = 0.1;
  world_run (w, 60);
  w->late = w->lose = 0;
  world_run (w, 90);
  g_assert_true (job->told_cancelled);
  g_assert_null (machine_with_tasks (w));
  expect_no_fault (w, "cancel in flight", 13);
  world_free (w);
}

/* While the state service is away a finished job is not called done, and its results are kept by the workers. */
static void
test_done_is_durable_first (void)
{
  World *w = world_new (14);
  WorldJob *job = world_add_job (w, 1, "red", 4, 2, 15);
  WorldMachine *m;
  guint ended = 0;
  world_run (w, 15);
  g_assert_nonnull (machine_with_tasks (w));
  w->outage = TRUE;
  world_run (w, 45);
  g_assert_false (job->told_done);
  for (guint i = 0; i < w->machines->len; i++)
    {
      m = w->machines->pdata[i];
      for (guint k = 0; k < m->tasks->len; k++)
        ended += g_str_equal (((WorldTask *) m->tasks->pdata[k])->why, "done");
    }
  g_assert_cmpuint (ended, ==, 4);
  w->outage = FALSE;
  world_run (w, 60);
  g_assert_true (job->told_done);
  expect_all_over (w, "durable first", 14);
  world_free (w);
}

/* Many transactions come late. The world checks that no record of progress ever goes back, as one would if an
 * older set of results overwrote a newer one of the same term. */
static void
test_late_flush (void)
{
  for (guint32 seed = 30; seed < 38; seed++)
    {
      World *w = world_new (seed);
      for (guint i = 0; i < 5; i++)
        world_add_job (w, 1 + i, i % 2 ? "red" : "blue", 25, 1, 4);
      world_run (w, 12);
      w->late = 0.3;
      world_run (w, 40);
      w->late = 0;
      world_run (w, 200);
      expect_all_over (w, "late flush", seed);
      world_free (w);
    }
}

/* The state service takes few changes: what is refused with 429 is sent once more, whole, and neither a new job nor a
 * new machine waits for the records of all the others. */
static void
test_few_changes (void)
{
  World *w = world_new (19);
  WorldJob *late;
  guint before;
  for (guint i = 0; i < 24; i++)
    world_add_job (w, 1 + 0.1 * i, i % 2 ? "red" : "blue", 10, 1, 4)->type = "small";
  w->write_rate = 10;
  world_run (w, 40);
  before = w->written;
  late = world_add_job (w, 40, "red", 3, 1, 2); /* urgent */
  world_run (w, 55);
  g_assert_true (late->told_done);
  g_assert_cmpuint (w->written - before, <, 100);
  world_run (w, 500);
  expect_all_over (w, "few changes", 19);
  world_free (w);
}

/* A rental carried out late, or by nobody known, is used or goes back. */
static void
test_surprise_machine (void)
{
  World *w = world_new (16);
  WorldMachine *idle = world_add_machine (w, "small", "za", FALSE, 1);
  world_run (w, 150);
  g_assert_true (idle->gone);
  expect_no_fault (w, "surprise", 16);
  world_free (w);
}

static void
test_gang_loses_machine (void)
{
  World *w = world_new (17);
  WorldJob *job = world_add_job (w, 1, "red", 6, 2, 30);
  WorldMachine *m;
  job->gang = TRUE;
  world_run (w, 25);
  m = machine_with_tasks (w);
  g_assert_nonnull (m);
  m->gone = TRUE; /* taken with no notice */
  m->gone_at = w->now;
  g_ptr_array_set_size (m->tasks, 0);
  world_run (w, 260);
  expect_all_over (w, "gang", 17);
  world_free (w);
}

static WorldMachine *
lent_machine_with_tasks (World *w, HzbController *c)
{
  for (guint i = 0; i < w->machines->len; i++)
    {
      WorldMachine *m = w->machines->pdata[i];
      HzbMachine *known = m->tasks->len ? hzb_machines_find (c->machines, m->name) : NULL;
      if (known && known->state == HZB_MACHINE_LENT)
        return m;
    }
  return NULL;
}

/* Enough work for several machines: some are lent, and tasks run on them. */
static WorldMachine *
run_until_lent (World *w)
{
  WorldMachine *m = NULL;
  for (guint i = 0; i < 10; i++)
    {
      WorldJob *job = world_add_job (w, 1 + 0.3 * i, i % 2 ? "red" : "blue", 8, 3, 25);
      job->type = "small"; /* so that there are many machines */
    }
  while (!m && w->now < 60)
    {
      world_run (w, w->now + 0.5);
      if (world_leader (w) >= 0)
        m = lent_machine_with_tasks (w, w->nodes[world_leader (w)].c);
    }
  g_assert_nonnull (m);
  return m;
}

static guint
node_of_lessee (World *w, const WorldMachine *m)
{
  HzbController *c = w->nodes[world_leader (w)].c;
  const char *name = hzb_leases_lessee (c->leases, hzb_machines_find (c->machines, m->name));
  return (guint) (name[strlen (name) - 1] - '0');
}

/* A lessee ends: its block goes back to the leader, and what runs on its machines runs on. */
static void
test_lessee_ends (void)
{
  World *w = world_new (40);
  WorldMachine *m = run_until_lent (w);
  guint64 session = m->session;
  guint tasks = m->tasks->len;
  world_crash (w, node_of_lessee (w, m));
  world_run (w, w->now + 9);
  g_assert_cmpuint (m->session, ==, session); /* its lease lived */
  g_assert_cmpuint (m->tasks->len, >=, tasks > 0);
  start_all (w, NULL);
  world_run (w, 600);
  expect_all_over (w, "lessee ends", 40);
  world_free (w);
}

/* A lessee is cut off from the leader but not from its machines: it goes on under its token, while the leader takes
 * the block back. Nothing of it starts elsewhere until every machine has answered the leader. */
static void
test_lessee_cut_off (void)
{
  for (guint32 seed = 41; seed < 47; seed++)
    {
      World *w = world_new (seed);
      WorldMachine *m = run_until_lent (w);
      guint at = node_of_lessee (w, m);
      HzbController *c = w->nodes[world_leader (w)].c;
      guint64 token = hzb_machines_find (c->machines, m->name)->token, seen = m->token;
      HzbMachine *known;
      w->nodes[at].cut_peers = TRUE;
      world_run (w, w->now + 6);
      known = hzb_machines_find (c->machines, m->name);
      g_assert_nonnull (known);
      /* Nothing that the old lessee sends is obeyed once the machine has heard the leader. */
      g_assert_cmpint (known->state, !=, HZB_MACHINE_LENT);
      g_assert_cmpuint (known->token, >, MAX (token, seen));
      world_run (w, w->now + 14);
      w->nodes[at].cut_peers = FALSE;
      world_run (w, 600);
      expect_all_over (w, "lessee cut off", seed);
      world_free (w);
    }
}

/* The leader ends: the next one hears every machine, lent or not, before it starts what might run. */
static void
test_leader_of_lessees_ends (void)
{
  for (guint32 seed = 47; seed < 53; seed++)
    {
      World *w = world_new (seed);
      run_until_lent (w);
      world_crash (w, (guint) world_leader (w));
      world_run (w, w->now + g_rand_double_range (w->rand, 0.5, 12));
      start_all (w, NULL);
      world_run (w, 600);
      expect_all_over (w, "leader of lessees ends", seed);
      world_free (w);
    }
}

/* After a takeover the new leader has every machine, and none is without tasks: working ones are handed over, with
 * their tasks, which run on; whoever ends in the midst of that. */
static void
test_hand_over (void)
{
  for (guint32 seed = 110; seed < 118; seed++)
    {
      World *w = world_new (seed);
      guint handed = 0;
      int leader;
      for (guint i = 0; i < 12; i++)
        world_add_job (w, 1 + 0.3 * i, i % 2 ? "red" : "blue", 8, 3, 60)->type = "small";
      world_run (w, 30);
      leader = world_leader (w);
      world_crash (w, (guint) leader);
      world_run (w, 38);
      world_start (w, (guint) leader);
      for (guint k = 0; k < 40; k++)
        {
          HzbController *c;
          world_run (w, w->now + 0.5);
          c = w->nodes[MAX (world_leader (w), 0)].c;
          for (guint i = 0; i < w->machines->len && world_leader (w) >= 0; i++)
            {
              const WorldMachine *m = w->machines->pdata[i];
              const HzbMachine *known = hzb_machines_find (c->machines, m->name);
              handed += known && known->state == HZB_MACHINE_LENT && m->tasks->len && m->session == 1;
            }
          if (handed && k > 10 + seed % 4)
            break;
        }
      g_assert_cmpuint (handed, >, 0);
      if (seed % 3 == 0)
        world_crash (w, (guint) (world_leader (w) + 1) % WORLD_NODES);
      else if (seed % 3 == 1)
        world_crash (w, (guint) world_leader (w));
      world_run (w, w->now + 7);
      start_all (w, NULL);
      world_run (w, 900);
      expect_all_over (w, "hand over", seed);
      world_free (w);
    }
}

/* Much work, leased blocks, and everything fails. */
static void
test_leases_and_failures (void)
{
  for (guint32 seed = 60; seed < 72; seed++)
    {
      World *w = world_new (seed);
      run_until_lent (w);
      w->lose = seed % 3 ? 0.03 : 0;
      w->late = seed % 2 ? 0.05 : 0;
      for (guint i = 0; i < 3; i++)
        {
          double at = w->now + g_rand_double_range (w->rand, 0, 50);
          world_at (w, at, crash_one, NULL);
          world_at (w, at + g_rand_double_range (w->rand, 1, 8), start_all, NULL);
          world_at (w, w->now + g_rand_double_range (w->rand, 0, 50), hurt_machine, NULL);
          at = w->now + g_rand_double_range (w->rand, 0, 40);
          world_at (w, at, cut_leader, NULL);
          world_at (w, at + g_rand_double_range (w->rand, 2, 15), heal, NULL);
        }
      world_run (w, w->now + 60);
      start_all (w, NULL);
      heal (w, NULL);
      w->lose = w->late = 0;
      world_run (w, w->now + 500);
      expect_all_over (w, "leases and failures", seed);
      world_free (w);
    }
}

static guint
ask_admin (World *w, guint at, const char *method, const char *path, const char *body)
{
  HzbExchange *exchange = g_new0 (HzbExchange, 1);
  static guint status;
  status = 0;
  exchange->method = g_strdup (method);
  exchange->path = g_strconcat ("/admin/v1/", path, NULL);
  exchange->body = g_strdup (body);
  exchange->length = strlen (body);
  exchange->reply = keep_status;
  exchange->impl = &status;
  hzb_controller_request (exchange, w->nodes[at].c);
  world_run (w, w->now + 0.3);
  return status;
}

static void
submit_at (World *w, guint at, guint *status)
{
  HzbExchange *exchange = g_new0 (HzbExchange, 1);
  exchange->method = g_strdup ("GET");
  exchange->path = g_strdup ("/api/jobs/run-100000");
  exchange->body = g_strdup ("");
  exchange->reply = keep_status;
  exchange->impl = status;
  hzb_controller_request (exchange, w->nodes[at].c);
}

/* A controller that loses the state service and the other controllers, but not its workers: it soon stops answering
 * them, so that they go on elsewhere with their leases alive, and tells users at once that it can't say. */
static void
test_cut_off_but_for_workers (void)
{
  for (guint32 seed = 52; seed < 56; seed++)
    {
      World *w = world_new (seed);
      WorldMachine *m;
      guint at, status = 0;
      some_work (w, 10);
      m = run_until (w, HZB_MACHINE_LENT);
      at = seed % 2 ? (guint) world_leader (w) : m->node;
      w->nodes[at].cut_store = w->nodes[at].cut_peers = TRUE;
      world_run (w, w->now + 5);
      submit_at (w, at, &status);
      g_assert_cmpuint (status, ==, 503); /* in this very moment */
      world_run (w, w->now + 4);
      g_assert_cmpint (w->nodes[at].c->hold, ==, HZB_HOLD_NONE);
      g_assert_false (hzb_controller_ready (w->nodes[at].c));
      world_run (w, w->now + 8);
      for (guint i = 0; i < w->machines->len; i++)
        g_assert_cmpuint (((WorldMachine *) w->machines->pdata[i])->session, ==, 1);
      heal (w, NULL);
      world_run (w, 500);
      expect_all_over (w, "cut off but for workers", seed);
      world_free (w);
    }
}

static void
restart_now (World *w, gpointer data)
{
  guint at = GPOINTER_TO_UINT (data);
  world_crash (w, at);
  world_start (w, at);
}

/* Each node is back within a fraction of a second, again and again, in elections, leases and flushes; what its earlier
 * processes sent comes late. */
static void
test_back_at_once (void)
{
  for (guint32 seed = 100; seed < 106; seed++)
    {
      World *w = world_new (seed);
      double at;
      w->peer_copies = 0.3;
      some_work (w, 12);
      for (at = 2; at < 50; at += g_rand_double_range (w->rand, 0.3, 9))
        world_at (w, at, restart_now, GUINT_TO_POINTER ((guint) g_rand_int_range (w->rand, 0, WORLD_NODES)));
      world_run (w, 55);
      w->peer_copies = 0;
      world_run (w, 600);
      expect_all_over (w, "back at once", seed);
      world_free (w);
    }
}

/* A message of an earlier process does not count as the new one's: no block is taken back for it. */
static void
test_earlier_process (void)
{
  World *w = world_new (57);
  HzbController *c, *leader;
  HzbExchange *exchange;
  guint status[3] = { 0 }, at;
  g_autofree char *old = NULL, *text[3] = { NULL };
  some_work (w, 4);
  world_run (w, 12);
  at = (guint) (world_leader (w) + 1) % WORLD_NODES;
  old = g_strdup (w->nodes[at].c->incarnation);
  restart_now (w, GUINT_TO_POINTER (at));
  world_run (w, 20);
  c = w->nodes[at].c;
  leader = w->nodes[world_leader (w)].c;
  text[0] = g_strdup_printf ("{\"node\":\"node-%u\",\"incarnation\":\"%s\",\"born\":1,\"number\":99999}", at, old);
  text[1] = g_strdup_printf ("{\"node\":\"node-%u\",\"incarnation\":\"%s\",\"born\":1,\"number\":1}", at, c->incarnation);
  text[2] = g_strdup ("{\"node\":\"node-9\",\"incarnation\":\"x\",\"born\":1,\"number\":1}");
  for (guint i = 0; i < 3; i++)
    {
      exchange = g_new0 (HzbExchange, 1);
      exchange->method = g_strdup ("POST");
      exchange->path = g_strdup ("/peer/v1/block");
      exchange->body = g_strdup (text[i]);
      exchange->length = strlen (text[i]);
      exchange->reply = keep_status;
      exchange->impl = &status[i];
      hzb_controller_peer_request (exchange, leader);
      g_assert_cmpuint (status[i], ==, 400);
    }
  world_run (w, 300);
  expect_all_over (w, "earlier process", 57);
  world_free (w);
}

static guint
count_unanswered (World *w, guint at)
{
  guint n = 0;
  g_autofree guint *status = g_new0 (guint, w->jobs->len);
  for (guint i = 0; i < w->jobs->len; i++)
    {
      HzbExchange *exchange = g_new0 (HzbExchange, 1);
      exchange->method = g_strdup ("GET");
      exchange->path = g_strdup_printf ("/api/jobs/%s", ((WorldJob *) w->jobs->pdata[i])->uid);
      exchange->body = g_strdup ("");
      exchange->reply = keep_status;
      exchange->impl = &status[i];
      hzb_controller_request (exchange, w->nodes[at].c);
    }
  world_run (w, w->now + 2);
  for (guint i = 0; i < w->jobs->len; i++)
    n += status[i] != 200;
  return n;
}

/* After all nodes have ended and begun anew with a whole day's records, each answers for every job. */
static void
test_nothing_forgotten (void)
{
  World *w = world_new (58);
  for (guint i = 0; i < 90; i++)
    world_add_job (w, 1 + 0.4 * i, i % 2 ? "red" : "blue", 2, 1, 3)->wants_cancel = i % 9 == 0;
  world_run (w, 45);
  crash_all (w, NULL);
  world_run (w, 55);
  for (guint i = 0; i < WORLD_NODES; i++)
    g_assert_cmpuint (count_unanswered (w, i), ==, 0);
  world_run (w, 400);
  expect_all_over (w, "nothing forgotten", 58);
  for (guint i = 0; i < WORLD_NODES; i++)
    g_assert_cmpuint (count_unanswered (w, i), ==, 0);
  world_free (w);
}

/* The leader loses the workers, and nothing else: another leads before the workers' leases are over. */
static void
test_leader_loses_workers (void)
{
  World *w = world_new (51);
  guint leader;
  for (guint i = 0; i < 6; i++)
    world_add_job (w, 1, i % 2 ? "red" : "blue", 6, 3, 80)->type = "small";
  world_run (w, 25);
  leader = (guint) world_leader (w);
  w->nodes[leader].cut_workers = TRUE;
  world_run (w, 40);
  g_assert_cmpint (world_leader (w), !=, leader);
  for (guint i = 0; i < w->machines->len; i++)
    g_assert_cmpuint (((WorldMachine *) w->machines->pdata[i])->session, ==, 1);
  w->nodes[leader].cut_workers = FALSE;
  world_run (w, 500);
  expect_all_over (w, "leader loses workers", 51);
  world_free (w);
}

/* Operators: settings are checked, refused when another has changed them, and apply on all nodes; a machine is
 * drained, also by a later leader. */
static void
test_administration (void)
{
  World *w = world_new (50);
  WorldMachine *m;
  g_autofree char *path = NULL;
  int leader;
  world_add_job (w, 1, "red", 6, 2, 60);
  world_run (w, 20);
  leader = world_leader (w);
  g_assert_cmpuint (ask_admin (w, 0, "GET", "settings", ""), ==, 200);
  g_assert_nonnull (strstr (last_body, "\"version\":0"));
  g_assert_cmpuint (ask_admin (w, 0, "PUT", "settings", "{\"version\":0,\"settings\":{\"dispatchH\":1.5}}"), ==, 400);
  g_assert_nonnull (strstr (last_body, "dispatchH: expected a number from 0 to 1"));
  g_assert_cmpuint (ask_admin (w, 0, "PUT", "settings", "{\"version\":0,\"settings\":{\"speed\":1}}"), ==, 400);
  g_assert_cmpuint (ask_admin (w, 0, "PUT", "settings", "{\"settings\":{}}"), ==, 400);
  g_assert_cmpuint (ask_admin (w, 0, "PUT", "settings", "{\"version\":0,\"settings\":{\"dispatchH\":0.25}}"), ==, 200);
  for (guint i = 0; i < WORLD_NODES; i++)
    g_assert_cmpfloat (w->nodes[i].c->dispatch->h, ==, 0.25);
  g_assert_cmpuint (ask_admin (w, 1, "PUT", "settings", "{\"version\":0,\"settings\":{\"dispatchH\":0.75}}"), ==, 409);
  g_assert_cmpuint (ask_admin (w, 1, "DELETE", "settings", ""), ==, 405);
  g_assert_cmpuint (ask_admin (w, 1, "GET", "nonsense", ""), ==, 404);
  g_assert_cmpuint (ask_admin (w, 1, "GET", "metrics", ""), ==, 200);
  g_assert_cmpuint (ask_admin (w, (guint) leader, "GET", "blocks", ""), ==, 200);
  g_assert_cmpuint (ask_admin (w, (guint) leader, "GET", "tenants/main/teams", ""), ==, 200);
  g_assert_cmpuint (ask_admin (w, (guint) leader, "GET", "tenants/main/jobs/run-100000", ""), ==, 200);
  g_assert_cmpuint (ask_admin (w, ((guint) leader + 1) % WORLD_NODES, "GET", "machines", ""), ==, 421);
  m = machine_with_tasks (w);
  path = g_strdup_printf ("machines/%s/drain", m->name);
  g_assert_cmpuint (ask_admin (w, (guint) leader, "POST", "machines/i-777777/drain", ""), ==, 404);
  g_assert_cmpuint (ask_admin (w, (guint) leader, "POST", path, ""), ==, 200);
  world_run (w, w->now + 2);
  world_crash (w, (guint) leader);
  world_start (w, (guint) leader);
  world_run (w, 250);
  g_assert_true (m->gone);
  for (guint i = 0; i < WORLD_NODES; i++) /* a new process has them too */
    g_assert_cmpfloat (w->nodes[i].c->dispatch->h, ==, 0.25);
  expect_all_over (w, "administration", 50);
  world_free (w);
}

/* Records of jobs that ended long ago are not mirrored, and still answer: users go on asking, submit again and cancel,
 * while nodes end and one misses so much that it has to read all anew. */
static void
test_old_ones_move (void)
{
  static const WorldSize size = { 12, 2, 24, 8, 1.5, 10, 30, 200, 60, 8, 6, 5, 4, 0 };
  for (guint32 seed = 130; seed < 134; seed++)
    {
      World *w = world_new_sized (seed, &size);
      guint moved = 0;
      GHashTableIter iter;
      gpointer key;
      for (guint i = 0; i < 40; i++)
        world_add_job (w, 1 + 2 * i, i % 2 ? "red" : "blue", 2, 1, 3)->wants_cancel = i % 4 == 3;
      for (guint i = 0; i < 5; i++)
        {
          world_at (w, g_rand_double_range (w->rand, 20, 110), crash_one, NULL);
          world_at (w, g_rand_double_range (w->rand, 20, 110), start_all, NULL);
        }
      world_run (w, 60);
      if (seed % 2)
        {
          w->nodes[1].cut_store = TRUE; /* a while, in which much moves */
          world_run (w, 85);
          w->nodes[1].cut_store = FALSE;
          if (w->nodes[1].c)
            w->nodes[1].c->mirror = HZB_MIRROR_EMPTY; /* as when the changes since are not kept any more */
        }
      world_run (w, 112);
      start_all (w, NULL);
      world_run (w, 250);
      g_hash_table_iter_init (&iter, w->kv);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        {
          moved += g_str_has_prefix (key, HZB_KEY_ENDED);
          if (g_str_has_prefix (key, HZB_KEY_ENDED)) /* in one place only */
            {
              g_autofree char *other = g_strconcat (HZB_KEY_JOBS, (char *) key + strlen (HZB_KEY_ENDED), NULL);
              g_assert_false (g_hash_table_contains (w->kv, other));
            }
        }
      g_assert_cmpuint (moved, ==, 40 - size.keep_ended);
      for (guint i = 0; i < WORLD_NODES; i++)
        g_assert_cmpuint (g_hash_table_size (w->nodes[i].c->jobs->by_uid), ==, size.keep_ended);
      /* Users come back long after, and one asks about what was never submitted. */
      world_run (w, 300);
      expect_all_over (w, "old ones move", seed);
      world_free (w);
    }
}

static void
expect_broken (World *w, const char *rule, WorldJob *job, guint status, const char *state)
{
  world_told (w, job, status, state);
  g_assert_cmpuint (w->broken->len, ==, 1);
  g_assert_true (g_str_has_prefix (w->broken->pdata[0], rule));
  g_ptr_array_set_size (w->broken, 0);
}

static gboolean
has_broken (World *w, const char *rule, const char *text)
{
  for (guint i = 0; i < w->broken->len; i++)
    if (g_str_has_prefix (w->broken->pdata[i], rule) && strstr (w->broken->pdata[i], text))
      return TRUE;
  return FALSE;
}

/* The checks themselves: each can fail. */
static void
test_checks_can_fail (void)
{
  World *w = world_new (10);
  WorldJob *job = world_add_job (w, 1e6, "red", 30, 2, 50);
  WorldMachine *a = world_add_machine (w, "big", "za", FALSE, 1e6), *b = world_add_machine (w, "big", "za", FALSE, 1e6);
  world_put_task (w, a, job, 0, 1)->state = 2;
  world_check (w);
  g_assert_cmpuint (w->broken->len, ==, 0);
  world_put_task (w, b, job, 0, 2)->state = 2;
  world_check (w);
  g_assert_true (g_str_has_prefix (w->broken->pdata[0], "ran_twice"));
  g_ptr_array_set_size (w->broken, 0);
  g_ptr_array_set_size (b->tasks, 0);
  for (guint i = 1; i < 13; i++)
    world_put_task (w, a, job, i, 1)->state = 2;
  world_check (w);
  g_assert_true (g_str_has_prefix (w->broken->pdata[0], "quota"));
  g_ptr_array_set_size (w->broken, 0);
  g_ptr_array_set_size (a->tasks, 1);
  job->told_cancelled = TRUE;
  world_check (w);
  g_assert_cmpuint (w->broken->len, ==, 0);
  job->cancelled_at = w->now - 31;
  world_check (w);
  g_assert_true (g_str_has_prefix (w->broken->pdata[0], "ran_cancelled"));
  g_ptr_array_set_size (w->broken, 0);
  g_ptr_array_set_size (a->tasks, 0);
  expect_broken (w, "invented", world_add_job (w, 1e6, "red", 1, 1, 1), 200, "queued");
  job = world_add_job (w, 1e6, "red", 2, 1, 1);
  job->submitted = TRUE;
  world_told (w, job, 201, "queued");
  g_assert_cmpuint (w->broken->len, ==, 0);
  expect_broken (w, "forgotten", job, 404, NULL);
  expect_broken (w, "not_done", job, 200, "done");
  expect_broken (w, "went_back", job, 200, "running"); /* it was called done */
  job = world_add_job (w, 1e6, "red", 2, 1, 1);
  job->submitted = TRUE;
  expect_broken (w, "went_back", job, 200, "cancelled"); /* its user did not ask for that */
  job = world_add_job (w, 1e6, "red", 2, 1, 1);
  job->zone = "zb";
  {
    g_autofree char *piece = g_strdup_printf ("%s/0", job->uid);
    world_start_task (w, a, piece, 9); /* a is in za */
    g_assert_true (g_str_has_prefix (w->broken->pdata[0], "wrong_place"));
  }
  job->zone = NULL;
  g_ptr_array_set_size (w->broken, 0);
  /* At a day's end. */
  for (guint i = 0; i < w->jobs->len; i++)
    ((WorldJob *) w->jobs->pdata[i])->team = g_strdup ("blue");
  job = world_add_job (w, 1e6, "red", 4, 1, 1);
  job->submitted = job->accepted = job->told_done = TRUE;
  job->began_at = job->answered_at = 1;
  w->now = 70;
  world_check_end (w);
  for (guint i = 0; i < w->broken->len; i++)
    g_assert_null (strstr (w->broken->pdata[i], job->uid));
  g_ptr_array_set_size (w->broken, 0);
  w->now = 80;
  world_check_end (w);
  g_assert_true (has_broken (w, "forgotten", job->uid));
  job->submit_at = 0;
  job->began_at = 300;
  job->told_done = FALSE;
  world_check_end (w);
  g_assert_true (has_broken (w, "starved", job->uid));
  g_assert_true (has_broken (w, "starved", "of team red 0 of 1 jobs"));
  g_assert_true (has_broken (w, "starved", "of class batch 0 of"));
  g_assert_true (has_broken (w, "starved", "of the largest of class batch 0 of"));
  world_free (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/world/checks-can-fail", test_checks_can_fail);
  g_test_add_func ("/world/quiet", test_quiet);
  g_test_add_func ("/world/failures", test_failures);
  g_test_add_func ("/world/silent-machine", test_silent_machine);
  g_test_add_func ("/world/quick-restart", test_quick_restart);
  g_test_add_func ("/world/outage-keeps-tasks", test_outage_keeps_tasks);
  g_test_add_func ("/world/bad-job", test_bad_job);
  g_test_add_func ("/world/notice", test_notice);
  g_test_add_func ("/world/deaf-machine", test_deaf_machine);
  g_test_add_func ("/world/short-deafness", test_short_deafness);
  g_test_add_func ("/world/deaf-at-takeover", test_deaf_at_takeover);
  g_test_add_func ("/world/late-copies-revive-nothing", test_late_copies_revive_nothing);
  g_test_add_func ("/world/late-copies", test_late_copies);
  g_test_add_func ("/world/cut-off-but-for-workers", test_cut_off_but_for_workers);
  g_test_add_func ("/world/back-at-once", test_back_at_once);
  g_test_add_func ("/world/earlier-process", test_earlier_process);
  g_test_add_func ("/world/nothing-forgotten", test_nothing_forgotten);
  g_test_add_func ("/world/late-report", test_late_report);
  g_test_add_func ("/world/newer-token", test_newer_token);
  g_test_add_func ("/world/older-token", test_older_token);
  g_test_add_func ("/world/cancel-in-flight", test_cancel_in_flight);
  g_test_add_func ("/world/done-is-durable-first", test_done_is_durable_first);
  g_test_add_func ("/world/late-flush", test_late_flush);
  g_test_add_func ("/world/few-changes", test_few_changes);
  g_test_add_func ("/world/surprise-machine", test_surprise_machine);
  g_test_add_func ("/world/gang-loses-machine", test_gang_loses_machine);
  g_test_add_func ("/world/leader-loses-workers", test_leader_loses_workers);
  g_test_add_func ("/world/administration", test_administration);
  g_test_add_func ("/world/old-ones-move", test_old_ones_move);
  g_test_add_func ("/world/lessee-ends", test_lessee_ends);
  g_test_add_func ("/world/lessee-cut-off", test_lessee_cut_off);
  g_test_add_func ("/world/leader-of-lessees-ends", test_leader_of_lessees_ends);
  g_test_add_func ("/world/hand-over", test_hand_over);
  g_test_add_func ("/world/leases-and-failures", test_leases_and_failures);
  return g_test_run ();
}
