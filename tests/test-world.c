/* Seeded schedules of failures through the real controllers, with the rules checked after every step. */
#include "troubles.h"

#include <string.h>

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

/* A job that fails on every machine for a while is not left waiting after that, though other work there goes on and on. */
static void
test_all_fail_a_while (void)
{
  for (guint32 seed = 60; seed < 64; seed++)
    {
      World *w = world_new (seed);
      WorldJob *job;
      world_add_job (w, 1, "blue", 6, 1, 260);
      w->size.machines = 2;
      world_run (w, 20);
      job = world_add_job (w, 20, "red", 4, 1, 5);
      job->bad = TRUE;
      world_run (w, 60);
      job->bad = FALSE;
      w->calm_at = 60;
      world_run (w, 160);
      g_assert_true (job->told_done);
      world_run (w, 500);
      expect_all_over (w, "all fail a while", seed);
      world_free (w);
    }
}

/* A team without guarantee or limit takes what others leave, beyond what any of them may use, and no more: a huge array
 * and a swarm of single tasks beside work of teams that have a guarantee. */
static void
test_guest_team (void)
{
  for (guint32 seed = 64; seed < 68; seed++)
    {
      World *w = world_new (seed);
      WorldJob *huge = world_add_job (w, 2, "guest", 200, 0.5, 40), *late;
      huge->lane = "sweep";
      for (guint i = 0; i < 30; i++)
        world_add_job (w, 10 + 0.3 * i, "guest", 1, 0.5, 4)->lane = "single";
      world_run (w, 30);
      g_assert_cmpfloat (0.5 * world_running (w, huge, NULL), >, w->size.team_max);
      late = world_add_job (w, 30, "red", 6, 1, 5); /* urgent, within its team's guarantee */
      for (guint i = 0; i < 4; i++)
        world_add_job (w, 32 + i, i % 2 ? "red" : "blue", 4, 1, 8);
      world_run (w, 80); /* other work is stopped for it after a part of what its aim allows */
      g_assert_true (late->told_done);
      w->calm_at = 60;
      world_run (w, 300);
      expect_all_over (w, "guest team", seed);
      world_free (w);
    }
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

/* All machines of a small fleet hang, again and again: the lead passes on once for that, not every time. */
static void
test_machines_hang (void)
{
  World *w = world_new (58);
  guint64 term;
  for (guint i = 0; i < 4; i++)
    world_add_job (w, 1, i % 2 ? "red" : "blue", 6, 3, 60)->type = "small";
  world_run (w, 25);
  term = hzb_election_term (w->nodes[world_leader (w)].c->election);
  for (guint k = 0; k < 4; k++)
    {
      for (guint i = 0; i < w->machines->len; i++)
        ((WorldMachine *) w->machines->pdata[i])->hung = TRUE;
      world_run (w, w->now + 9);
      for (guint i = 0; i < w->machines->len; i++)
        ((WorldMachine *) w->machines->pdata[i])->hung = FALSE;
      world_run (w, w->now + 9);
    }
  g_assert_cmpint (world_leader (w), !=, -1);
  g_assert_cmpuint (hzb_election_term (w->nodes[world_leader (w)].c->election), <=, term + 1);
  world_run (w, 600);
  expect_all_over (w, "machines hang", 58);
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
  g_test_add_func ("/world/notice", test_notice);
  g_test_add_func ("/world/bad-job", test_bad_job);
  g_test_add_func ("/world/all-fail-a-while", test_all_fail_a_while);
  g_test_add_func ("/world/guest-team", test_guest_team);
  g_test_add_func ("/world/cancel-in-flight", test_cancel_in_flight);
  g_test_add_func ("/world/surprise-machine", test_surprise_machine);
  g_test_add_func ("/world/gang-loses-machine", test_gang_loses_machine);
  g_test_add_func ("/world/cut-off-but-for-workers", test_cut_off_but_for_workers);
  g_test_add_func ("/world/back-at-once", test_back_at_once);
  g_test_add_func ("/world/earlier-process", test_earlier_process);
  g_test_add_func ("/world/leader-loses-workers", test_leader_loses_workers);
  g_test_add_func ("/world/machines-hang", test_machines_hang);
  g_test_add_func ("/world/administration", test_administration);
  return g_test_run ();
}
