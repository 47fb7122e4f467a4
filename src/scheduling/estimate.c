#include "estimate.h"

#include <math.h>
#include <string.h>

/* Beyond this many steps a machine is simply full; the mass is kept in the last one. */
#define MAX_STEPS 1024u

void
hzb_estimate_clear (HzbEstimate *e)
{
  g_clear_pointer (&e->mass, g_free);
  e->length = e->room = 0;
}

static void
reserve (HzbEstimate *e, guint length)
{
  if (length <= e->room)
    return;
  e->room = MAX (16, length + length / 2);
  e->mass = g_renew (float, e->mass, e->room);
}

void
hzb_estimate_reset (HzbEstimate *e, struct timespec now, double queued_work_s)
{
  guint at = (guint) MIN (MAX_STEPS - 1, floor (queued_work_s / HZB_STEP_S));
  double part = queued_work_s / HZB_STEP_S - floor (queued_work_s / HZB_STEP_S);

  if (at == MAX_STEPS - 1)
    part = 0;
  /* Booked work that is no whole number of steps is shared between the two next to it: the mean stays. */
  reserve (e, at + 2);
  memset (e->mass, 0, (at + 2) * sizeof (float));
  e->mass[at] = (float) (1 - part);
  e->mass[at + 1] = (float) part;
  e->length = part > 0 ? at + 2 : at + 1;
  e->at = now;
  e->shift_left = 0;
  e->mean = queued_work_s < MAX_STEPS * HZB_STEP_S ? queued_work_s : -1;
}

void
hzb_estimate_shift (HzbEstimate *e, struct timespec now)
{
  double gap = hzb_time_between (e->at, now) + e->shift_left;
  guint steps;

  if (gap < HZB_STEP_S || e->length == 0)
    return;
  steps = (guint) MIN (gap / HZB_STEP_S, MAX_STEPS);
  e->shift_left = gap - steps * HZB_STEP_S;
  e->at = now;
  e->mean = -1;
  if (steps >= e->length)
    {
      e->length = 1;
      e->mass[0] = 1;
      return;
    }
  for (guint i = 1; i <= steps; i++)
    e->mass[0] += e->mass[i];
  memmove (e->mass + 1, e->mass + 1 + steps, (e->length - 1 - steps) * sizeof (float));
  e->length -= steps;
}

void
hzb_estimate_send (HzbEstimate *e, double mean_s)
{
  double rate = HZB_STEP_S / MAX (mean_s, 1e-3); /* v Δ over the mean size */
  /* J: the first step by which more than the cut of the service time's mass has come; the rest lies at J + 1 */
  double reach = -log (1 - HZB_CUT) / rate - 0.5;
  guint last = (guint) CLAMP (floor (reach) + 1, 0, 400);
  guint n = last + 2, length;
  g_autofree float *service = g_new (float, n), *out = NULL;
  double sum = 0, total = 0;

  for (guint j = 0; j <= last; j++)
    {
      double f = j == 0 ? 1 - exp (-0.5 * rate) : exp (-(j - 0.5) * rate) - exp (-(j + 0.5) * rate);
      service[j] = (float) f;
      sum += f;
    }
  service[last + 1] = (float) (1 - sum);
  if (e->length == 0)
    {
      reserve (e, 1);
      e->length = 1;
      e->mass[0] = 1;
    }
  length = MIN (e->length + n - 1, MAX_STEPS);
  out = g_new0 (float, length);
  for (guint i = 0; i < e->length; i++)
    if (e->mass[i] > 1e-7f)
      for (guint j = 0; j < n; j++)
        out[MIN (i + j, length - 1)] += e->mass[i] * service[j];
  /* Cut where 95% lies below; the rest goes to the next step, as the service time's rest does. */
  for (guint k = 0; k < length; k++)
    {
      total += out[k];
      if (total >= HZB_CUT && k + 1 < length)
        {
          out[k + 1] = (float) MAX (0, 1 - total);
          length = k + 2;
          break;
        }
    }
  reserve (e, length);
  memcpy (e->mass, out, length * sizeof (float));
  e->length = length;
  e->mean = -1;
}

double
hzb_estimate_mean (HzbEstimate *e)
{
  if (e->length && e->mean < 0)
    {
      double mean = 0;
      for (guint k = 1; k < e->length; k++)
        mean += (double) k * e->mass[k];
      e->mean = mean * HZB_STEP_S;
    }
  return e->length ? e->mean : 0;
}
