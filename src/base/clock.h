/* The only part that reads time. Instants are struct timespec; spans that enter arithmetic
 * (estimates, ages) are seconds in a double, made here. */
#pragma once
#include <glib.h>
#include <time.h>

typedef struct _HzbClock HzbClock;

HzbClock *hzb_clock_new (void);
HzbClock *hzb_clock_new_manual (void);
void hzb_clock_free (HzbClock *clock);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbClock, hzb_clock_free)

struct timespec hzb_clock_now (HzbClock *clock);  /* steady */
struct timespec hzb_clock_wall (HzbClock *clock); /* time of day */
void hzb_clock_advance (HzbClock *clock, double seconds);

struct timespec hzb_time_plus (struct timespec at, double seconds);
double hzb_time_between (struct timespec from, struct timespec to);
gboolean hzb_time_before (struct timespec a, struct timespec b);
gboolean hzb_time_is_set (struct timespec at);
