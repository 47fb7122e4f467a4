#include "estimate.h"

#include <math.h>
#include <string.h>

/* A machine with more work than this many steps is simply full: the mass beyond is kept in the last step. */
#define MAX_STEPS 1024u

/* The same for the service time of one task. */
#define MAX_SERVICE_STEPS 400

#define LEAST_MEAN_S 1e-3

/* Less mass than this changes nothing in the result. */
#define NEGLIGIBLE_MASS 1e-7f

void
hzb_estimate_clear (HzbEstimate *estimate)
{
  g_clear_pointer (&estimate->mass, g_free);
  estimate->length = estimate->room = 0;
}

static void
reserve (HzbEstimate *estimate, guint length)
{
  if (length <= estimate->room)
    return;
  estimate->room = MAX (16, length + length / 2);
  estimate->mass = g_renew (float, estimate->mass, estimate->room);
}

/* All mass is at step 0: there is no work. */
static void
set_to_zero_work (HzbEstimate *estimate)
{
  estimate->length = 1;
  estimate->mass[0] = 1;
}

void
hzb_estimate_reset (HzbEstimate *estimate, struct timespec now, double queued_work_s)
{
  guint at = (guint) MIN (MAX_STEPS - 1, floor (queued_work_s / HZB_STEP_S));
  double part = queued_work_s / HZB_STEP_S - floor (queued_work_s / HZB_STEP_S);

  if (at == MAX_STEPS - 1)
    part = 0;
  /* Work that is no whole number of steps is shared between the two steps next to it, which keeps the mean. */
  reserve (estimate, at + 2);
  memset (estimate->mass, 0, (at + 2) * sizeof (float));
  estimate->mass[at] = (float) (1 - part);
  estimate->mass[at + 1] = (float) part;
  estimate->length = part > 0 ? at + 2 : at + 1;
  estimate->at = now;
  estimate->shift_left = 0;
  estimate->mean = queued_work_s < MAX_STEPS * HZB_STEP_S ? queued_work_s : -1;
}

void
hzb_estimate_shift (HzbEstimate *estimate, struct timespec now)
{
  double gap = hzb_time_between (estimate->at, now) + estimate->shift_left;
  guint steps;

  if (gap < HZB_STEP_S || estimate->length == 0)
    return;
  steps = (guint) MIN (gap / HZB_STEP_S, MAX_STEPS);
  estimate->shift_left = gap - steps * HZB_STEP_S;
  estimate->at = now;
  estimate->mean = -1;
  if (steps >= estimate->length)
    {
      set_to_zero_work (estimate);
      return;
    }
  for (guint i = 1; i <= steps; i++)
    estimate->mass[0] += estimate->mass[i];
  memmove (estimate->mass + 1, estimate->mass + 1 + steps, (estimate->length - 1 - steps) * sizeof (float));
  estimate->length -= steps;
}

/* The discretised exponential service time, cut. Returns: (transfer full): the mass of each of @n_steps steps */
static float *
service_time (double mean_s, guint *n_steps)
{
  double rate = HZB_STEP_S / MAX (mean_s, LEAST_MEAN_S); /* v * Delta over the mean size, in the paper's terms */
  /* The paper's J: the first step by which more than the cut of the mass has come. The rest lies at J + 1. */
  double reach = -log (1 - HZB_CUT) / rate - 0.5;
  guint last = (guint) CLAMP (floor (reach) + 1, 0, MAX_SERVICE_STEPS);
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

/* Puts all mass beyond the cut into the step after it. Returns: the number of steps that are left */
static guint
cut (float *mass, guint length)
{
  double total = 0;

  for (guint k = 0; k < length; k++)
    {
      total += mass[k];
      if (total >= HZB_CUT && k + 1 < length)
        {
          mass[k + 1] = (float) MAX (0, 1 - total);
          return k + 2;
        }
    }
  return length;
}

void
hzb_estimate_send (HzbEstimate *estimate, double mean_s)
{
  guint n_service, length;
  g_autofree float *service = service_time (mean_s, &n_service), *sum = NULL;

  if (estimate->length == 0)
    {
      reserve (estimate, 1);
      set_to_zero_work (estimate);
    }
  length = MIN (estimate->length + n_service - 1, MAX_STEPS);
  sum = convolve (estimate, service, n_service, length);
  length = cut (sum, length);
  reserve (estimate, length);
  memcpy (estimate->mass, sum, length * sizeof (float));
  estimate->length = length;
  estimate->mean = -1;
}

double
hzb_estimate_mean (HzbEstimate *estimate)
{
  if (estimate->length && estimate->mean < 0)
    {
      double mean = 0;
      for (guint k = 1; k < estimate->length; k++)
        mean += (double) k * estimate->mass[k];
      estimate->mean = mean * HZB_STEP_S;
    }
  return estimate->length ? estimate->mean : 0;
}
