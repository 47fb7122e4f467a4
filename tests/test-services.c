/* Services: replicas that run until their job is cancelled, wherever their machines go. */
#include "troubles.h"

#include <string.h>

/* Replicas run until their job is cancelled, through machines that stop, notices and replicas that end by themselves; a
 * service is never done. */
static void
test_service (void)
{
  for (guint32 seed = 400; seed < 406; seed++)
    {
      World *w = world_new (seed);
      WorldJob *calm = add_service (w, 3, "red", 4, 1, 120), *ends = add_service (w, 4, "blue", 3, 1, 120);
      WorldMachine *m;
      ends->run_s = 9;
      for (guint i = 0; i < 6; i++)
        world_add_job (w, 1 + i, i % 2 ? "red" : "blue", 5, 2, 12);
      world_run (w, 50);
      g_assert_cmpfloat (calm->missed_s, <, 0.1 * calm->wanted_s);
      g_assert_cmpfloat (ends->missed_s, <, 0.6 * ends->wanted_s);
      m = machine_with_tasks (w);
      if (seed % 2)
        {
          m->failed = TRUE;
          g_ptr_array_set_size (m->tasks, 0);
        }
      else
        m->taken_at = w->now + 8;
      w->calm_at = w->now + 15;
      world_run (w, 118);
      g_assert_false (calm->told_done || ends->told_done);
      g_assert_cmpfloat (calm->missed_s, <, 0.4 * calm->wanted_s);
      world_run (w, 300);
      g_assert_true (calm->told_cancelled && ends->told_cancelled);
      expect_all_over (w, "service", seed);
      world_free (w);
    }
}

/* Production goes first: a fleet full of lower work makes room at once, and of a team at its limit lower work stops. */
static void
test_service_preempts (void)
{
  World *w = world_new (410);
  WorldJob *service;
  for (guint i = 0; i < 8; i++)
    world_add_job (w, 1 + 0.1 * i, i % 2 ? "red" : "blue", 6, 4, 200);
  world_run (w, 40);
  service = add_service (w, 40, "red", 4, 2, 120);
  world_run (w, 110);
  g_assert_cmpfloat (service->wanted_s, >, 200);
  g_assert_cmpfloat (service->missed_s, <, 0.3 * service->wanted_s);
  world_free (w);
}

/* Room that is kept for replicas does not stand empty while other work waits for long. */
static void
test_kept_room (void)
{
  World *w = world_new (412);
  add_service (w, 2, "red", 2, 1, 260);
  for (guint i = 0; i < 10; i++)
    {
      WorldJob *job = world_add_job (w, 8 + 0.1 * i, i % 2 ? "red" : "blue", 8, 2, 60);
      job->spot = FALSE;
      job->type = "big";
    }
  w->size.machines = 3;
  w->calm_at = 20;
  world_run (w, 900);
  expect_all_over (w, "kept room", 412);
  world_free (w);
}

/* The only machines that suit are lent and full of long work: they come back with it, and it gives way. */
static void
test_kept_machine_comes_back (void)
{
  for (guint32 seed = 413; seed < 417; seed++)
    {
      World *w = world_new (seed);
      WorldJob *service;
      guint lent = 0;
      HzbController *c;
      for (guint i = 0; i < 8; i++)
        {
          WorldJob *job = world_add_job (w, 1 + 0.1 * i, i % 2 ? "red" : "blue", 6, 2, 300);
          job->spot = FALSE;
          job->zone = i % 4 < 2 ? "za" : "zb";
        }
      world_run (w, 30);
      c = w->nodes[world_leader (w)].c;
      for (guint i = 0; i < c->machines->all->len; i++)
        lent += ((HzbMachine *) c->machines->all->pdata[i])->state == HZB_MACHINE_LENT;
      g_assert_cmpuint (lent, >, 0);
      w->size.machines = 0; /* no more are to be had */
      service = add_service (w, 30, "red", 4, 1, 120);
      world_run (w, 110);
      g_assert_cmpfloat (service->missed_s, <, 0.05 * service->wanted_s);
      expect_no_fault (w, "kept machine comes back", seed);
      world_free (w);
    }
}

/* What is wrong with a service gets its documented answer and is never accepted, on this node. */
static void
expect_refusals (World *w, guint node, guint uid)
{
  static const struct
  {
    const char *field, *value;
    guint status;
  } wrong[] = {
    { "expectS", "5", 400 },           { "expectS", NULL, 400 },       { "pieces", "0", 400 },
    { "pieces", "1.5", 400 },          { "shape", "\"standin\"", 400 }, { "urgency", NULL, 400 },
    { "spread", "1", 400 },            { "flavors", "7", 400 },        { "flavors", "[\"huge\"]", 422 },
    { "yard", "\"nowhere\"", 422 },  { "owner", "\"nobody\"", 422 }, { "pieces", "25", 422 },
    { "cpus", "9", 422 },              { "gpus", "1", 422 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (wrong); i++, uid++)
    {
      g_autofree char *path = g_strdup_printf ("/api/jobs/run-%06u", uid);
      g_assert_cmpuint (submit_changed (w, node, uid, wrong[i].field, wrong[i].value), ==, wrong[i].status);
      g_assert_nonnull (strstr (last_body, "\"error\""));
      g_assert_cmpuint (ask (w, (node + 1) % WORLD_NODES, "GET", path, "", NULL), ==, 404);
    }
}

/* Odd requests get their answer and are never accepted, on every node. */
static void
test_odd_requests (void)
{
  World *w = world_new (411);
  WorldJob *job = world_add_job (w, 1, "red", 4, 2, 8);
  guint retry = 0;
  g_autofree char *path = NULL;
  /* Right after a start nothing is decided yet, but what is malformed. */
  g_assert_cmpuint (submit_service (w, 0, 1, "red", 0, 1, "0", NULL), ==, 400);
  world_run (w, 25);
  for (guint node = 0; node < WORLD_NODES; node++)
    {
      guint uid = 10 * (node + 1);
      expect_refusals (w, node, 200 + 100 * node);
      g_assert_cmpuint (submit_service (w, node, uid, "red", 30, 1, "0", NULL), ==, 422); /* all replicas: over the limit of 24 */
      g_assert_cmpuint (submit_service (w, node, uid + 1, "red", 2, 20, "0", NULL), ==, 422); /* fits no machine */
      g_assert_cmpuint (submit_service (w, node, uid + 2, "nobody", 2, 1, "0", NULL), ==, 422);
      g_assert_cmpuint (submit_service (w, node, uid + 3, "red", 2, 1, "\"long\"", NULL), ==, 400);
      g_assert_cmpuint (submit_service (w, node, uid + 4, "red", 2, 1, "-1", NULL), ==, 400);
      g_assert_cmpuint (ask (w, node, "GET", "/api/jobs/run-000010", "", NULL), ==, 404);
      g_assert_cmpuint (submit_service (w, node, uid + 5, "red", 2, 1, "0", NULL), ==, 201);
      g_assert_cmpuint (submit_service (w, (node + 1) % WORLD_NODES, uid + 5, "red", 2, 1, "0", NULL), ==, 200); /* a repeat */
    }
  world_run (w, w->now + 20);
  g_assert_true (job->told_done);
  path = g_strdup_printf ("/api/jobs/%s/cancel", job->uid);
  g_assert_cmpuint (ask (w, 1, "POST", path, "", NULL), ==, 200);
  w->outage = TRUE;
  world_run (w, w->now + 6);
  for (guint node = 0; node < WORLD_NODES; node++)
    {
      g_assert_cmpuint (submit_service (w, node, 90, "red", 30, 1, "0", &retry), ==, 503);
      g_assert_cmpuint (retry, >, 0);
      g_assert_cmpuint (submit_service (w, node, 91, "red", 2, 1, "0", &retry), ==, 503);
      g_assert_cmpuint (ask (w, node, "POST", path, "", NULL), ==, 200); /* done, and told so before */
    }
  world_free (w);
}

static gboolean
alive (const WorldMachine *m)
{
  return !m->gone && !m->failed;
}

static double
cpus_rented (World *w)
{
  double cpus = 0;
  for (guint i = 0; i < w->machines->len; i++)
    cpus += alive (w->machines->pdata[i]) ? ((WorldMachine *) w->machines->pdata[i])->cpus : 0;
  return cpus;
}

/* A day of services alone: they get machines, no more than they and what is kept for them need, for as long as they run;
 * nothing of them is left in the holder's records afterwards. */
static void
test_services_alone (void)
{
  for (guint32 seed = 470; seed < 474; seed++)
    {
      World *w = world_new (seed);
      WorldJob *services[3];
      for (guint i = 0; i < 3; i++)
        services[i] = add_service (w, 2 + 10 * i, i % 2 ? "red" : "blue", 2 + i, 1, 150);
      world_run (w, 60);
      for (guint t = 60; t < 150; t += 10)
        {
          world_run (w, t);
          /* the replicas, what is kept in two zones, and in each part of a machine */
          g_assert_cmpfloat (cpus_rented (w), <=, 9 + 2 * 5 + 2 * 8);
        }
      for (guint i = 0; i < 3; i++)
        g_assert_cmpfloat (services[i]->missed_s, <, 0.05 * services[i]->wanted_s);
      w->calm_at = 30;
      world_run (w, 400);
      expect_all_over (w, "services alone", seed);
      g_assert_cmpfloat (cpus_rented (w), ==, 0);
      g_assert_cmpuint (world_largest_record (w, "hzb/x/progress/"), ==, 0);
      world_free (w);
    }
}

/* More services than there is room for: what fits runs, and what is cancelled makes room for the others. */
static void
test_services_beyond_room (void)
{
  for (guint32 seed = 480; seed < 484; seed++)
    {
      World *w = world_new (seed);
      WorldJob *first, *second, *batch = world_add_job (w, 1, "blue", 4, 1, 30);
      double cpus;
      w->size.machines = 3;
      first = add_service (w, 3, "red", 10, 2, 120);
      second = add_service (w, 4, "blue", 10, 2, 260);
      first->spread = second->spread = FALSE;
      world_run (w, 110);
      cpus = 2 * (world_running (w, first, NULL) + world_running (w, second, NULL));
      g_assert_cmpfloat (cpus, >=, cpus_rented (w) - 2);
      world_run (w, 160);
      g_assert_true (first->told_cancelled);
      g_assert_cmpuint (2 * world_running (w, second, NULL), >=, MIN (20, cpus_rented (w) - 2));
      world_run (w, 255);
      g_assert_cmpuint (ask (w, 0, "GET", "/api/jobs/run-100002", "", NULL), ==, 200);
      w->calm_at = 300;
      world_run (w, 450);
      g_assert_true (batch->told_done);
      expect_all_over (w, "services beyond room", seed);
      world_free (w);
    }
}

/* Many services come and go, as over months: how they ended moves out of what every node mirrors, each node still answers
 * for all of them, and the holder's pages name none. */
static void
test_services_over_months (void)
{
  WorldSize size = world_size_little;
  World *w;
  guint kept = 0;
  size.keep_ended = 4;
  w = world_new_sized (490, &size);
  for (guint i = 0; i < 80; i++)
    {
      double at = 1 + 2 * i;
      add_service (w, at, i % 2 ? "red" : "blue", 1, 1, at + 6);
    }
  world_at (w, 70, crash_all, NULL);
  world_run (w, 400);
  for (guint node = 0; node < WORLD_NODES; node++)
    {
      kept = g_hash_table_size (w->nodes[node].c->jobs->by_uid);
      g_assert_cmpuint (kept, ==, size.keep_ended);
    }
  for (guint i = 0; i < w->jobs->len; i += 7)
    {
      g_autofree char *path = g_strdup_printf ("/api/jobs/%s", ((WorldJob *) w->jobs->pdata[i])->uid);
      g_assert_cmpuint (ask (w, i % WORLD_NODES, "GET", path, "", NULL), ==, 200);
      g_assert_nonnull (strstr (last_body, "cancelled"));
    }
  g_assert_cmpuint (world_largest_record (w, "hzb/x/progress/"), ==, 0);
  expect_all_over (w, "services over months", 490);
  world_free (w);
}

/* A service is cancelled while a replica of it moves, or while a machine of it hangs and goes on later, and now and then
 * the leader ends as well. */
static void
test_cancelled_as_it_moves (void)
{
  for (guint32 seed = 500; seed < 512; seed++)
    {
      World *w = world_new (seed);
      WorldJob *service = add_service (w, 2, "red", 4, 2, 60);
      WorldMachine *m;
      add_service (w, 4, "blue", 2, 1, 200);
      world_run (w, 60 - g_rand_double_range (w->rand, 0, 3));
      m = machine_with_tasks (w);
      if (seed % 2)
        m->taken_at = w->now + 5;
      else
        m->hung = TRUE;
      if (seed % 3 == 0)
        world_at (w, w->now + g_rand_double_range (w->rand, 0, 3), crash_one, NULL);
      world_run (w, 60 + g_rand_double_range (w->rand, 2, 14));
      m->hung = FALSE; /* it goes on, within its lease or after it */
      start_all (w, NULL);
      world_run (w, 120);
      g_assert_true (service->told_cancelled);
      g_assert_cmpuint (world_running (w, service, NULL), ==, 0);
      w->calm_at = 130;
      world_run (w, 330);
      expect_all_over (w, "cancelled as it moves", seed);
      world_free (w);
    }
}

/* One of two zones goes: half of the replicas stay, the others wait, as spread asks; they come back with the zone. */
static void
test_zone_of_service_goes (void)
{
  for (guint32 seed = 520; seed < 524; seed++)
    {
      World *w = world_new (seed);
      WorldJob *service = add_service (w, 2, "red", 4, 2, 200);
      world_run (w, 40);
      g_assert_cmpuint (world_running (w, service, "za"), ==, 2);
      g_assert_cmpuint (world_running (w, service, "zb"), ==, 2);
      w->closed_zone = "za";
      for (guint i = 0; i < w->machines->len; i++)
        {
          WorldMachine *m = w->machines->pdata[i];
          if (!g_str_equal (m->zone, "za"))
            continue;
          m->failed = TRUE;
          g_ptr_array_set_size (m->tasks, 0);
        }
      for (guint t = 41; t < 120; t++)
        {
          world_run (w, t);
          g_assert_cmpuint (world_running (w, service, "zb"), ==, 2);
        }
      w->closed_zone = NULL;
      world_run (w, 190);
      g_assert_cmpuint (world_running (w, service, "za"), ==, 2);
      w->calm_at = 190;
      world_run (w, 330);
      expect_all_over (w, "zone of a service goes", seed);
      world_free (w);
    }
}

/* All replicas in one zone: when one loses its machine it comes back beside the others; when all do, anywhere. */
static void
test_service_in_one_zone (void)
{
  for (guint32 seed = 530; seed < 536; seed++)
    {
      World *w = world_new (seed);
      WorldJob *service = add_service (w, 2, "red", 6, 2, 200);
      WorldMachine *m;
      service->spread = FALSE;
      service->same_zone = TRUE;
      world_run (w, 40);
      g_assert_cmpuint (MAX (world_running (w, service, "za"), world_running (w, service, "zb")), ==, 6);
      m = machine_with_tasks (w);
      for (guint i = 0; i < w->machines->len; i++)
        {
          WorldMachine *other = w->machines->pdata[i];
          if (seed % 2 ? other != m : !g_str_equal (other->zone, m->zone))
            continue;
          other->failed = TRUE;
          g_ptr_array_set_size (other->tasks, 0);
        }
      if (seed % 2 == 0)
        w->closed_zone = m->zone;
      world_run (w, 120);
      g_assert_cmpuint (MAX (world_running (w, service, "za"), world_running (w, service, "zb")), ==, 6);
      w->calm_at = 120;
      world_run (w, 330);
      expect_all_over (w, "service in one zone", seed);
      world_free (w);
    }
}

/* Replicas that end as soon as they start: they are tried ever more seldom, no machine is given up for them, all else goes
 * on, and the service is known and can be cancelled. */
static void
test_replicas_end_at_once (void)
{
  for (guint32 seed = 540; seed < 544; seed++)
    {
      World *w = world_new (seed);
      WorldJob *ends = add_service (w, 3, "red", 3, 1, 150), *sound = add_service (w, 4, "blue", 3, 1, 150);
      guint before;
      ends->run_s = seed % 2 ? 0.01 : 1e9;
      ends->bad = seed % 2 == 0;
      for (guint i = 0; i < 6; i++)
        world_add_job (w, 5 + 4 * i, i % 2 ? "red" : "blue", 4, 1, 10);
      world_run (w, 60);
      before = w->started;
      world_run (w, 120);
      g_test_message ("%u starts in a minute", w->started - before);
      g_assert_cmpuint (w->started - before, <=, 3 * 60 / 8);
      world_run (w, 148);
      g_assert_cmpuint (w->started - before, >=, 1);
      g_assert_cmpfloat (sound->missed_s, <, 0.05 * sound->wanted_s);
      world_run (w, 300);
      expect_all_over (w, "replicas end at once", seed);
      world_free (w);
    }
}

/* The leader ends just after it has released a service's replicas, and spot machines can't be reached from then on: the next
 * leader waits for ordinary ones only, since the service may run on no other. What may run on spot machines waits for those. */
static void
test_takeover_waits_for_allowed_kinds (void)
{
  for (guint32 seed = 550; seed < 558; seed++)
    {
      World *w = world_new (seed);
      WorldJob *service, *batch = world_add_job (w, 1, "blue", 10, 1, 200);
      HzbController *c;
      HzbJob *known = NULL;
      guint leader;
      double since;
      add_service (w, 2, "red", 3, 1, 400); /* so that there are ordinary machines */
      world_run (w, 40);
      service = add_service (w, 40, "red", 4, 1, 400);
      leader = (guint) world_leader (w);
      c = w->nodes[leader].c;
      while (!known || !known->released)
        {
          world_run (w, w->now + 0.05);
          known = hzb_jobs_find (c->jobs, service->uid);
        }
      world_crash (w, leader);
      for (guint i = 0; i < w->machines->len; i++)
        {
          WorldMachine *m = w->machines->pdata[i];
          m->cut = m->spot;
        }
      since = w->now;
      while (world_leader (w) < 0 || w->nodes[world_leader (w)].c->hold < HZB_HOLD_RECOVERING)
        world_run (w, w->now + 0.1);
      since = w->now;
      world_run (w, since + 8); /* workers give a leader up after 4 s */
      g_assert_cmpuint (world_running (w, service, NULL), ==, 4);
      c = w->nodes[world_leader (w)].c;
      g_assert_cmpint (c->hold, ==, HZB_HOLD_RECOVERING);
      g_assert_cmpuint (hzb_jobs_find (c->jobs, batch->uid)->unknown, >, 0);
      world_start (w, leader);
      world_run (w, w->now + 5);
      for (guint i = 0; i < w->machines->len; i++)
        ((WorldMachine *) w->machines->pdata[i])->cut = FALSE;
      world_run (w, 600);
      expect_all_over (w, "takeover waits for allowed kinds", seed);
      world_free (w);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/world/service", test_service);
  g_test_add_func ("/world/service-preempts", test_service_preempts);
  g_test_add_func ("/world/kept-room", test_kept_room);
  g_test_add_func ("/world/kept-machine-comes-back", test_kept_machine_comes_back);
  g_test_add_func ("/world/odd-requests", test_odd_requests);
  g_test_add_func ("/world/services-alone", test_services_alone);
  g_test_add_func ("/world/services-beyond-room", test_services_beyond_room);
  g_test_add_func ("/world/services-over-months", test_services_over_months);
  g_test_add_func ("/world/cancelled-as-it-moves", test_cancelled_as_it_moves);
  g_test_add_func ("/world/zone-of-service-goes", test_zone_of_service_goes);
  g_test_add_func ("/world/service-in-one-zone", test_service_in_one_zone);
  g_test_add_func ("/world/replicas-end-at-once", test_replicas_end_at_once);
  g_test_add_func ("/world/takeover-waits-for-allowed-kinds", test_takeover_waits_for_allowed_kinds);
  return g_test_run ();
}
