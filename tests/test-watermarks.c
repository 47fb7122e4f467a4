/* Watermarks: which revisions an unavailable controller must have learned of, or have stopped acting without. */
#include "watermarks.h"

#define AFTER_S 15.0

static struct timespec
at (double seconds)
{
  return hzb_time_plus ((struct timespec){ .tv_sec = 1000 }, seconds);
}

/* A watermark counts once it is older than the wait, and not before. */
static void
test_grows_old (void)
{
  HzbWatermarks watermarks;

  hzb_watermarks_init (&watermarks, AFTER_S);
  hzb_watermarks_add (&watermarks, at (0), 10);
  hzb_watermarks_add (&watermarks, at (1), 12);
  hzb_watermarks_advance (&watermarks, at (AFTER_S));
  g_assert_cmpuint (watermarks.fenced_revision, ==, 0);
  hzb_watermarks_advance (&watermarks, at (AFTER_S + 0.5));
  g_assert_cmpuint (watermarks.fenced_revision, ==, 10);
  hzb_watermarks_advance (&watermarks, at (AFTER_S + 1.5));
  g_assert_cmpuint (watermarks.fenced_revision, ==, 12);
  g_assert_cmpuint (watermarks.marks.length, ==, 0);
  hzb_watermarks_clear (&watermarks);
}

/* A watermark that another one implies is not kept, in whatever order the two come. */
static void
test_implied (void)
{
  HzbWatermarks watermarks;

  hzb_watermarks_init (&watermarks, AFTER_S);
  hzb_watermarks_add (&watermarks, at (5), 10);
  hzb_watermarks_add (&watermarks, at (6), 10); /* younger, and of no higher revision */
  g_assert_cmpuint (watermarks.marks.length, ==, 1);
  hzb_watermarks_add (&watermarks, at (4), 11); /* older, and of a higher revision */
  g_assert_cmpuint (watermarks.marks.length, ==, 1);
  hzb_watermarks_add (&watermarks, at (3), 9); /* older, and of a lower revision: says something else */
  g_assert_cmpuint (watermarks.marks.length, ==, 2);
  hzb_watermarks_advance (&watermarks, at (AFTER_S + 3.5));
  g_assert_cmpuint (watermarks.fenced_revision, ==, 9);
  hzb_watermarks_advance (&watermarks, at (AFTER_S + 4.5));
  g_assert_cmpuint (watermarks.fenced_revision, ==, 11);
  hzb_watermarks_clear (&watermarks);
}

/* What another controller has proven counts at once, and the proven revision never falls. */
static void
test_raise (void)
{
  HzbWatermarks watermarks;

  hzb_watermarks_init (&watermarks, AFTER_S);
  hzb_watermarks_raise (&watermarks, 20);
  hzb_watermarks_raise (&watermarks, 18);
  g_assert_cmpuint (watermarks.fenced_revision, ==, 20);
  hzb_watermarks_add (&watermarks, at (0), 20);
  g_assert_cmpuint (watermarks.marks.length, ==, 0);
  hzb_watermarks_clear (&watermarks);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/watermarks/grows-old", test_grows_old);
  g_test_add_func ("/watermarks/implied", test_implied);
  g_test_add_func ("/watermarks/raise", test_raise);
  return g_test_run ();
}
