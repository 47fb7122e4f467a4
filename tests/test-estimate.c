/* Compares HzbEstimate with a slow reference model, which computes whole distributions in long double without caching
 * or early termination. */
#include "estimate.h"

#include <math.h>

#define N_STEPS 3000

typedef struct
{
  long double mass[N_STEPS];
  double remainder_s;
} ReferenceEstimate;

static void
reference_send (ReferenceEstimate *reference, double mean)
{
  static long double service[N_STEPS], out[N_STEPS];
  long double rate = HZB_ESTIMATE_STEP_S / mean, sum = 0, total = 0;
  int last = -1, cut = -1;
  for (int j = 0; j < N_STEPS; j++)
    {
      service[j] = 0;
      out[j] = 0;
    }
  for (int j = 0; last < 0; j++)
    {
      service[j] = j == 0 ? 1 - expl (-0.5L * rate) : expl (-(j - 0.5L) * rate) - expl (-(j + 0.5L) * rate);
      sum += service[j];
      if (sum > HZB_TRUNCATION_QUANTILE)
        last = j;
    }
  service[last + 1] = 1 - sum;
  for (int i = 0; i < N_STEPS; i++)
    for (int j = 0; j <= last + 1 && i + j < N_STEPS; j++)
      out[i + j] += reference->mass[i] * service[j];
  for (int k = 0; k < N_STEPS && cut < 0; k++)
    {
      total += out[k];
      if (total >= HZB_TRUNCATION_QUANTILE)
        cut = k;
    }
  for (int k = 0; k < N_STEPS; k++)
    reference->mass[k] = k <= cut ? out[k] : k == cut + 1 ? 1 - total : 0;
}

static void
reference_shift (ReferenceEstimate *reference, double elapsed_s)
{
  int steps = (int) floor ((elapsed_s + reference->remainder_s) / HZB_ESTIMATE_STEP_S);
  reference->remainder_s = elapsed_s + reference->remainder_s - steps * HZB_ESTIMATE_STEP_S;
  for (int s = 0; s < steps; s++)
    {
      reference->mass[0] += reference->mass[1];
      for (int k = 1; k + 1 < N_STEPS; k++)
        reference->mass[k] = reference->mass[k + 1];
      reference->mass[N_STEPS - 1] = 0;
    }
}

static long double
reference_mean (const ReferenceEstimate *reference)
{
  long double mean = 0;
  for (int k = 0; k < N_STEPS; k++)
    mean += k * reference->mass[k];
  return mean * HZB_ESTIMATE_STEP_S;
}

/* The mean equals that of the reference model after random sequences of shifts and sent tasks. */
static void
test_against_reference (void)
{
  for (guint32 seed = 1; seed <= 40; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      g_autoptr (HzbClock) clock = hzb_clock_new_manual ();
      HzbEstimate estimate = { 0 };
      static ReferenceEstimate reference;
      double queued_work_s = g_rand_int_range (rand, 0, 60);
      memset (&reference, 0, sizeof reference);
      reference.mass[(int) queued_work_s] = 1;
      hzb_estimate_reset (&estimate, hzb_clock_now (clock), queued_work_s);
      for (int i = 0; i < 25; i++)
        {
          if (g_rand_boolean (rand))
            {
              /* multiples of 1/8 s are exact in both models */
              double elapsed_s = g_rand_int_range (rand, 0, 60) / 8.0;
              hzb_clock_advance (clock, elapsed_s);
              hzb_estimate_shift (&estimate, hzb_clock_now (clock));
              reference_shift (&reference, elapsed_s);
            }
          else
            {
              double mean = g_rand_double_range (rand, 0.2, 20);
              hzb_estimate_add_task (&estimate, mean);
              reference_send (&reference, mean);
            }
          g_assert_cmpfloat_with_epsilon (hzb_estimate_mean (&estimate), (double) reference_mean (&reference),
                                          0.02 + 0.002 * (double) reference_mean (&reference));
        }
      hzb_estimate_clear (&estimate);
    }
}

/* A known workload that is not a whole number of steps keeps its mean. */
static void
test_fraction_keeps_mean (void)
{
  g_autoptr (HzbClock) clock = hzb_clock_new_manual ();
  HzbEstimate estimate = { 0 };
  hzb_estimate_reset (&estimate, hzb_clock_now (clock), 7.25);
  g_assert_cmpfloat_with_epsilon (hzb_estimate_mean (&estimate), 7.25, 1e-5);
  estimate.mean_s = -1; /* drops the cached mean, so that it is computed from the distribution */
  g_assert_cmpfloat_with_epsilon (hzb_estimate_mean (&estimate), 7.25, 1e-5);
  hzb_estimate_clear (&estimate);
}

/* The length of the distribution is bounded for any workload, and a long shift removes all work. */
static void
test_bounded (void)
{
  g_autoptr (HzbClock) clock = hzb_clock_new_manual ();
  HzbEstimate estimate = { 0 };
  hzb_estimate_reset (&estimate, hzb_clock_now (clock), 1e7);
  for (int i = 0; i < 50; i++)
    hzb_estimate_add_task (&estimate, 1e5);
  g_assert_cmpuint (estimate.length, <=, 1024);
  g_assert_true (isfinite (hzb_estimate_mean (&estimate)));
  hzb_clock_advance (clock, 1e6);
  hzb_estimate_shift (&estimate, hzb_clock_now (clock));
  g_assert_cmpfloat (hzb_estimate_mean (&estimate), ==, 0);
  hzb_estimate_clear (&estimate);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/estimate/reference-model", test_against_reference);
  g_test_add_func ("/estimate/fraction-keeps-mean", test_fraction_keeps_mean);
  g_test_add_func ("/estimate/bounded", test_bounded);
  return g_test_run ();
}
