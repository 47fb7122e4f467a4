/* Blocks leased to other controllers, while these, the leader or the network fail. */
#include "troubles.h"

#include <string.h>

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

/* Work that only the leader's block may have waits: machines are not lent, to stand idle elsewhere. */
static void
test_own_work (void)
{
  World *w = world_new (74);
  for (guint i = 0; i < 8; i++)
    world_add_job (w, 1 + 0.2 * i, i % 2 ? "red" : "blue", 4, 3, 25)->spread = TRUE;
  for (guint k = 0; k < 12; k++)
    {
      HzbController *c;
      world_run (w, w->now + 2);
      c = w->nodes[MAX (world_leader (w), 0)].c;
      for (guint i = 0; i < c->machines->all->len; i++)
        g_assert_cmpint (((HzbMachine *) c->machines->all->pdata[i])->state, !=, HZB_MACHINE_LENT);
    }
  world_run (w, 400);
  expect_all_over (w, "own work", 74);
  world_free (w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/world/lessee-ends", test_lessee_ends);
  g_test_add_func ("/world/lessee-cut-off", test_lessee_cut_off);
  g_test_add_func ("/world/leader-of-lessees-ends", test_leader_of_lessees_ends);
  g_test_add_func ("/world/hand-over", test_hand_over);
  g_test_add_func ("/world/own-work", test_own_work);
  g_test_add_func ("/world/leases-and-failures", test_leases_and_failures);
  return g_test_run ();
}
