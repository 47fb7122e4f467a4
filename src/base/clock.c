#include "clock.h"

#include <math.h>

#define NSEC_PER_SEC 1000000000L
#define MANUAL_CLOCK_START_S 1000 /* not 0, because hzb_time_is_set () takes the instant 0 for one that was never set */

struct _HzbClock
{
  gboolean manual;
  struct timespec now; /* current time of a manual clock; otherwise the last monotonic time that was read */
};

HzbClock *
hzb_clock_new (void)
{
  return g_new0 (HzbClock, 1);
}

HzbClock *
hzb_clock_new_manual (void)
{
  HzbClock *clock = g_new0 (HzbClock, 1);
  clock->manual = TRUE;
  clock->now.tv_sec = MANUAL_CLOCK_START_S;
  return clock;
}

void
hzb_clock_free (HzbClock *clock)
{
  g_free (clock);
}

struct timespec
hzb_clock_now (HzbClock *clock)
{
  if (!clock->manual)
    clock_gettime (CLOCK_MONOTONIC, &clock->now);
  return clock->now;
}

struct timespec
hzb_clock_wall (HzbClock *clock)
{
  struct timespec at = clock->now;
  if (!clock->manual)
    clock_gettime (CLOCK_REALTIME, &at);
  return at;
}

void
hzb_clock_advance (HzbClock *clock, double seconds)
{
  g_return_if_fail (clock->manual);
  clock->now = hzb_time_plus (clock->now, seconds);
}

struct timespec
hzb_time_plus (struct timespec at, double seconds)
{
  double whole = floor (seconds);
  at.tv_sec += (time_t) whole;
  at.tv_nsec += (long) ((seconds - whole) * NSEC_PER_SEC);
  if (at.tv_nsec >= NSEC_PER_SEC)
    {
      at.tv_nsec -= NSEC_PER_SEC;
      at.tv_sec++;
    }
  return at;
}

double
hzb_time_between (struct timespec from, struct timespec to)
{
  return (double) (to.tv_sec - from.tv_sec) + (double) (to.tv_nsec - from.tv_nsec) / NSEC_PER_SEC;
}

gboolean
hzb_time_before (struct timespec a, struct timespec b)
{
  return a.tv_sec < b.tv_sec || (a.tv_sec == b.tv_sec && a.tv_nsec < b.tv_nsec);
}

gboolean
hzb_time_is_set (struct timespec at)
{
  return at.tv_sec != 0 || at.tv_nsec != 0;
}
