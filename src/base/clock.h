/**
 * SECTION: clock
 * @short_description: reads the system's clocks
 *
 * No other module reads the time. An instant is a struct timespec. A time span, such as an estimate or an age, is a
 * number of seconds in a double.
 */
#pragma once
#include <glib.h>
#include <time.h>

/** HzbClock: the clocks of the system, or a manual clock for tests. */
typedef struct _HzbClock HzbClock;

/**
 * Makes a clock that reads the system's clocks.
 * @return (transfer full): the clock
 */
HzbClock *hzb_clock_new (void);

/**
 * Makes a manual clock, which moves only with hzb_clock_advance().
 * @return (transfer full): the clock
 */
HzbClock *hzb_clock_new_manual (void);

/**
 * Frees a clock.
 * @param clock (transfer full) the clock
 */
void hzb_clock_free (HzbClock *clock);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbClock, hzb_clock_free)

/**
 * Reads the monotonic clock, which never goes back and is not related to the time of day.
 * @param clock the clock
 * @return the instant
 */
struct timespec hzb_clock_now (HzbClock *clock);

/**
 * Reads the wall clock, for times that are recorded or shown. The wall clock may jump.
 * @param clock the clock
 * @return the instant, since 1970 (UTC); for a manual clock, the same as hzb_clock_now()
 */
struct timespec hzb_clock_wall (HzbClock *clock);

/**
 * Moves a manual clock forward.
 * @param clock the clock
 * @param seconds the time span to add, in seconds
 */
void hzb_clock_advance (HzbClock *clock, double seconds);

/**
 * Adds a time span to an instant.
 * @param at the instant
 * @param seconds the time span, in seconds; may be negative
 * @return the resulting instant
 */
struct timespec hzb_time_plus (struct timespec at, double seconds);

/**
 * Computes the time span between two instants.
 * @param from the first instant
 * @param to the second instant
 * @return the time span, in seconds; negative if `to` is earlier than `from`
 */
double hzb_time_between (struct timespec from, struct timespec to);

/**
 * Compares two instants.
 * @param a the first instant
 * @param b the second instant
 * @return whether a is earlier than b
 */
gboolean hzb_time_before (struct timespec a, struct timespec b);

/**
 * Checks whether an instant was ever set.
 * @param at the instant
 * @return FALSE if all members of the instant are 0
 */
gboolean hzb_time_is_set (struct timespec at);
