#include "estimate.h"

#include <math.h>
#include <string.h>

/* Maximum length of a distribution. A machine with more work than this is full in any case, so the mass of longer
 * workloads is kept in the last step. */
#define MAX_STEPS 1024u

/* Maximum length of the service time distribution of one task. */
#define MAX_SERVICE_STEPS 400

#define MIN_MEAN_S 1e-3

/* Steps with less mass than this are skipped, since they do not change the result. */
#define NEGLIGIBLE_MASS 1e-7f

void
hzb_estimate_clear (HzbEstimate *estimate)
{
  g_clear_pointer (&estimate->mass, g_free);
  estimate->length = estimate->capacity = 0;
}

static void
reserve (HzbEstimate *estimate, guint length)
{
  if (length <= estimate->capacity)
    return;
  estimate->capacity = MAX (16, length + length / 2);
  estimate->mass = g_renew (float, estimate->mass, estimate->capacity);
}

/* Puts all mass at step 0, which means that there is no work. */
static void
set_no_work (HzbEstimate *estimate)
{
  estimate->length = 1;
  estimate->mass[0] = 1;
}

void
hzb_estimate_reset (HzbEstimate *estimate, struct timespec now, double queued_work_s)
{
  guint step = (guint) MIN (MAX_STEPS - 1, floor (queued_work_s / HZB_ESTIMATE_STEP_S));
  double fraction = queued_work_s / HZB_ESTIMATE_STEP_S - floor (queued_work_s / HZB_ESTIMATE_STEP_S);

  if (step == MAX_STEPS - 1)
    fraction = 0;
  /* If the work is not a whole number of steps, the mass is divided between the two nearest steps so that the mean is
   * exact. */
  reserve (estimate, step + 2);
  memset (estimate->mass, 0, (step + 2) * sizeof (float));
  estimate->mass[step] = (float) (1 - fraction);
  estimate->mass[step + 1] = (float) fraction;
  estimate->length = fraction > 0 ? step + 2 : step + 1;
  estimate->shifted = now;
  estimate->shift_remainder_s = 0;
  estimate->mean_s = queued_work_s < MAX_STEPS * HZB_ESTIMATE_STEP_S ? queued_work_s : -1;
}

void
hzb_estimate_shift (HzbEstimate *estimate, struct timespec now)
{
  double elapsed_s = hzb_time_between (estimate->shifted, now) + estimate->shift_remainder_s;
  guint steps;

  if (elapsed_s < HZB_ESTIMATE_STEP_S || estimate->length == 0)
    return;
  steps = (guint) MIN (elapsed_s / HZB_ESTIMATE_STEP_S, MAX_STEPS);
  estimate->shift_remainder_s = elapsed_s - steps * HZB_ESTIMATE_STEP_S;
  estimate->shifted = now;
  estimate->mean_s = -1;
  if (steps >= estimate->length)
    {
      set_no_work (estimate);
      return;
    }
  for (guint i = 1; i <= steps; i++)
    estimate->mass[0] += estimate->mass[i];
  memmove (estimate->mass + 1, estimate->mass + 1 + steps, (estimate->length - 1 - steps) * sizeof (float));
  estimate->length -= steps;
}

/* Discretises and truncates an exponential service time. Returns: (transfer full): the mass of each of @n_steps
 * steps */
static float *
discretize_service_time (double mean_s, guint *n_steps)
{
  double rate = HZB_ESTIMATE_STEP_S / MAX (mean_s, MIN_MEAN_S); /* v * Delta over the mean size, in the paper's terms */
  /* The paper's J is the first step with more than HZB_TRUNCATION_QUANTILE of the mass at or below it. The remaining
   * mass is put at J + 1. */
  double quantile_steps = -log (1 - HZB_TRUNCATION_QUANTILE) / rate - 0.5;
  guint last = (guint) CLAMP (floor (quantile_steps) + 1, 0, MAX_SERVICE_STEPS);
  float *service = g_new (float, last + 2);
  double sum = 0;

  for (guint j = 0; j <= last; j++)
    {
      double mass = j == 0 ? 1 - exp (-0.5 * rate) : exp (-(j - 0.5) * rate) - exp (-(j + 0.5) * rate);
      service[j] = (float) mass;
      sum += mass;
    }
  service[last + 1] = (float) (1 - sum);
  *n_steps = last + 2;
  return service;
}

/* Returns: (transfer full): the mass of each of @length steps of the sum of the workload and a service time */
static float *
convolve (const HzbEstimate *estimate, const float *service, guint n_service, guint length)
{
  float *sum = g_new0 (float, length);

  for (guint i = 0; i < estimate->length; i++)
    if (estimate->mass[i] > NEGLIGIBLE_MASS)
      for (guint j = 0; j < n_service; j++)
        sum[MIN (i + j, length - 1)] += estimate->mass[i] * service[j];
  return sum;
}

/* Truncates the distribution at HZB_TRUNCATION_QUANTILE and puts the remaining mass into the next step. Returns: the
 * new number of steps */
static guint
truncate_mass (float *mass, guint length)
{
  double total = 0;

  for (guint k = 0; k < length; k++)
    {
      total += mass[k];
      if (total >= HZB_TRUNCATION_QUANTILE && k + 1 < length)
        {
          mass[k + 1] = (float) MAX (0, 1 - total);
          return k + 2;
        }
    }
  return length;
}

void
hzb_estimate_add_task (HzbEstimate *estimate, double mean_s)
{
  guint n_service, length;
  g_autofree float *service = discretize_service_time (mean_s, &n_service), *sum = NULL;

  if (estimate->length == 0)
    {
      reserve (estimate, 1);
      set_no_work (estimate);
    }
  length = MIN (estimate->length + n_service - 1, MAX_STEPS);
  sum = convolve (estimate, service, n_service, length);
  length = truncate_mass (sum, length);
  reserve (estimate, length);
  memcpy (estimate->mass, sum, length * sizeof (float));
  estimate->length = length;
  estimate->mean_s = -1;
}

double
hzb_estimate_mean (HzbEstimate *estimate)
{
  if (estimate->length && estimate->mean_s < 0)
    {
      double mean = 0;
      for (guint k = 1; k < estimate->length; k++)
        mean += (double) k * estimate->mass[k];
      estimate->mean_s = mean * HZB_ESTIMATE_STEP_S;
    }
  return estimate->length ? estimate->mean_s : 0;
}
