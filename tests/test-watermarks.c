/* Watermarks: the revision up to which an unavailable controller has learned of all cancellations or has fenced itself.
 * */
#include "watermarks.h"

#define MIN_AGE_S 15.0

static struct timespec
time_at (double seconds)
{
  return hzb_time_plus ((struct timespec){ .tv_sec = 1000 }, seconds);
}

/* A watermark raises the fenced revision when it is older than the minimum age, and not before. */
static void
test_minimum_age (void)
{
  HzbWatermarks watermarks;

  hzb_watermarks_init (&watermarks, MIN_AGE_S);
  hzb_watermarks_add (&watermarks, time_at (0), 10);
  hzb_watermarks_add (&watermarks, time_at (1), 12);
  hzb_watermarks_advance (&watermarks, time_at (MIN_AGE_S));
  g_assert_cmpuint (watermarks.fenced_revision, ==, 0);
  hzb_watermarks_advance (&watermarks, time_at (MIN_AGE_S + 0.5));
  g_assert_cmpuint (watermarks.fenced_revision, ==, 10);
  hzb_watermarks_advance (&watermarks, time_at (MIN_AGE_S + 1.5));
  g_assert_cmpuint (watermarks.fenced_revision, ==, 12);
  g_assert_cmpuint (watermarks.marks.length, ==, 0);
  hzb_watermarks_clear (&watermarks);
}

/* A watermark that another one implies is not kept, in whichever order the two are added. */
static void
test_implied (void)
{
  HzbWatermarks watermarks;

  hzb_watermarks_init (&watermarks, MIN_AGE_S);
  hzb_watermarks_add (&watermarks, time_at (5), 10);
  hzb_watermarks_add (&watermarks, time_at (6), 10); /* younger and of the same revision: implied */
  g_assert_cmpuint (watermarks.marks.length, ==, 1);
  hzb_watermarks_add (&watermarks, time_at (4), 11); /* older and of a higher revision: implies the first */
  g_assert_cmpuint (watermarks.marks.length, ==, 1);
  hzb_watermarks_add (&watermarks, time_at (3), 9); /* older and of a lower revision: both are kept */
  g_assert_cmpuint (watermarks.marks.length, ==, 2);
  hzb_watermarks_advance (&watermarks, time_at (MIN_AGE_S + 3.5));
  g_assert_cmpuint (watermarks.fenced_revision, ==, 9);
  hzb_watermarks_advance (&watermarks, time_at (MIN_AGE_S + 4.5));
  g_assert_cmpuint (watermarks.fenced_revision, ==, 11);
  hzb_watermarks_clear (&watermarks);
}

/* The fenced revision of another controller takes effect immediately, and the fenced revision never decreases. */
static void
test_raise (void)
{
  HzbWatermarks watermarks;

  hzb_watermarks_init (&watermarks, MIN_AGE_S);
  hzb_watermarks_raise_fenced_revision (&watermarks, 20);
  hzb_watermarks_raise_fenced_revision (&watermarks, 18);
  g_assert_cmpuint (watermarks.fenced_revision, ==, 20);
  hzb_watermarks_add (&watermarks, time_at (0), 20);
  g_assert_cmpuint (watermarks.marks.length, ==, 0);
  hzb_watermarks_clear (&watermarks);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/watermarks/minimum-age", test_minimum_age);
  g_test_add_func ("/watermarks/implied", test_implied);
  g_test_add_func ("/watermarks/raise", test_raise);
  return g_test_run ();
}
