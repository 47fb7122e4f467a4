/**
 * SECTION: clock
 * @short_description: the only module that reads the time
 *
 * Instants are struct timespec; spans that enter arithmetic (estimates, ages) are seconds in a double, made here.
 */
#pragma once
#include <glib.h>
#include <time.h>

/** HzbClock: the system's clocks, or a manual clock for tests. */
typedef struct _HzbClock HzbClock;

/**
 * Makes a clock that reads the system's clocks.
 * @return (transfer full): the clock
 */
HzbClock *hzb_clock_new (void);

/**
 * Makes a clock that only moves with hzb_clock_advance().
 * @return (transfer full): the clock
 */
HzbClock *hzb_clock_new_manual (void);

/**
 * Frees a clock.
 * @param clock (transfer full)
 */
void hzb_clock_free (HzbClock *clock);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbClock, hzb_clock_free)

/**
 * Reads the steady clock: it never goes back, and says nothing about the time of day.
 * @param clock the clock
 * @return the instant
 */
struct timespec hzb_clock_now (HzbClock *clock);

/**
 * Reads the time of day, for what is recorded or shown. It may jump.
 * @param clock the clock
 * @return the instant, since 1970; of a manual clock the same as hzb_clock_now()
 */
struct timespec hzb_clock_wall (HzbClock *clock);

/**
 * Moves a manual clock on.
 * @param clock the clock
 * @param seconds by how much
 */
void hzb_clock_advance (HzbClock *clock, double seconds);

/**
 * Adds a span to an instant.
 * @param at the instant
 * @param seconds the span; may be negative
 * @return the sum
 */
struct timespec hzb_time_plus (struct timespec at, double seconds);

/**
 * Tells the span between two instants.
 * @param from the first
 * @param to the second
 * @return seconds; negative if the second is earlier
 */
double hzb_time_between (struct timespec from, struct timespec to);

/**
 * Compares two instants.
 * @param a an instant
 * @param b another
 * @return whether a is earlier than b
 */
gboolean hzb_time_before (struct timespec a, struct timespec b);

/**
 * Tells an instant from one that was never set.
 * @param at the instant
 * @return FALSE if all its members are 0
 */
gboolean hzb_time_is_set (struct timespec at);
