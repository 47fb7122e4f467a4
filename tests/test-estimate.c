/* The estimate equals a slow, plain model: whole distributions in long double, without caching or early ends. */
#include "estimate.h"

#include <math.h>

#define N 3000

typedef struct
{
  long double mass[N];
  double left;
} Plain;

static void
plain_send (Plain *p, double mean)
{
  static long double service[N], out[N];
  long double rate = HZB_STEP_S / mean, sum = 0, total = 0;
  int last = -1, cut = -1;
  for (int j = 0; j < N; j++)
    {
      service[j] = 0;
      out[j] = 0;
    }
  for (int j = 0; last < 0; j++)
    {
      service[j] = j == 0 ? 1 - expl (-0.5L * rate) : expl (-(j - 0.5L) * rate) - expl (-(j + 0.5L) * rate);
      sum += service[j];
      if (sum > HZB_CUT)
        last = j;
    }
  service[last + 1] = 1 - sum;
  for (int i = 0; i < N; i++)
    for (int j = 0; j <= last + 1 && i + j < N; j++)
      out[i + j] += p->mass[i] * service[j];
  for (int k = 0; k < N && cut < 0; k++)
    {
      total += out[k];
      if (total >= HZB_CUT)
        cut = k;
    }
  for (int k = 0; k < N; k++)
    p->mass[k] = k <= cut ? out[k] : k == cut + 1 ? 1 - total : 0;
}

static void
plain_shift (Plain *p, double gap)
{
  int steps = (int) floor ((gap + p->left) / HZB_STEP_S);
  p->left = gap + p->left - steps * HZB_STEP_S;
  for (int s = 0; s < steps; s++)
    {
      p->mass[0] += p->mass[1];
      for (int k = 1; k + 1 < N; k++)
        p->mass[k] = p->mass[k + 1];
      p->mass[N - 1] = 0;
    }
}

static long double
plain_mean (const Plain *p)
{
  long double mean = 0;
  for (int k = 0; k < N; k++)
    mean += k * p->mass[k];
  return mean * HZB_STEP_S;
}

static void
test_against_plain (void)
{
  for (guint32 seed = 1; seed <= 40; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      g_autoptr (HzbClock) clock = hzb_clock_new_manual ();
      HzbEstimate e = { 0 };
      static Plain p;
      double queued_work_s = g_rand_int_range (rand, 0, 60);
      memset (&p, 0, sizeof p);
      p.mass[(int) queued_work_s] = 1;
      hzb_estimate_reset (&e, hzb_clock_now (clock), queued_work_s);
      for (int i = 0; i < 25; i++)
        {
          if (g_rand_boolean (rand))
            {
              /* eighths of a second are exact in both models */
              double gap = g_rand_int_range (rand, 0, 60) / 8.0;
              hzb_clock_advance (clock, gap);
              hzb_estimate_shift (&e, hzb_clock_now (clock));
              plain_shift (&p, gap);
            }
          else
            {
              double mean = g_rand_double_range (rand, 0.2, 20);
              hzb_estimate_send (&e, mean);
              plain_send (&p, mean);
            }
          g_assert_cmpfloat_with_epsilon (hzb_estimate_mean (&e), (double) plain_mean (&p),
                                          0.02 + 0.002 * (double) plain_mean (&p));
        }
      hzb_estimate_clear (&e);
    }
}

static void
test_fraction_keeps_mean (void)
{
  g_autoptr (HzbClock) clock = hzb_clock_new_manual ();
  HzbEstimate e = { 0 };
  hzb_estimate_reset (&e, hzb_clock_now (clock), 7.25);
  g_assert_cmpfloat_with_epsilon (hzb_estimate_mean (&e), 7.25, 1e-5);
  e.mean = -1; /* the mean is computed from the distribution, not remembered */
  g_assert_cmpfloat_with_epsilon (hzb_estimate_mean (&e), 7.25, 1e-5);
  hzb_estimate_clear (&e);
}

static void
test_bounded (void)
{
  g_autoptr (HzbClock) clock = hzb_clock_new_manual ();
  HzbEstimate e = { 0 };
  hzb_estimate_reset (&e, hzb_clock_now (clock), 1e7);
  for (int i = 0; i < 50; i++)
    hzb_estimate_send (&e, 1e5);
  g_assert_cmpuint (e.length, <=, 1024);
  g_assert_true (isfinite (hzb_estimate_mean (&e)));
  hzb_clock_advance (clock, 1e6);
  hzb_estimate_shift (&e, hzb_clock_now (clock));
  g_assert_cmpfloat (hzb_estimate_mean (&e), ==, 0);
  hzb_estimate_clear (&e);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/estimate/plain-model", test_against_plain);
  g_test_add_func ("/estimate/fraction-keeps-mean", test_fraction_keeps_mean);
  g_test_add_func ("/estimate/bounded", test_bounded);
  return g_test_run ();
}
