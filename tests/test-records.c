/* What is durable, and what is told of it. */
#include "troubles.h"

#include <string.h>

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

/* Records of jobs that ended long ago are not mirrored, and still answer: users go on asking, submit again and cancel,
 * while nodes end and one misses so much that it has to read all anew. */
static void
test_old_ones_move (void)
{
  WorldSize size = world_size_little;
  size.keep_ended = 4;
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
            hzb_controller_lose_mirror (w->nodes[1].c); /* as when the changes since are not kept any more */
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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/world/done-is-durable-first", test_done_is_durable_first);
  g_test_add_func ("/world/late-flush", test_late_flush);
  g_test_add_func ("/world/few-changes", test_few_changes);
  g_test_add_func ("/world/nothing-forgotten", test_nothing_forgotten);
  g_test_add_func ("/world/old-ones-move", test_old_ones_move);
  return g_test_run ();
}
