/**
 * @file
 * SECTION: rounding
 *
 * Tolerances for amounts of CPUs, GPUs and GB, which are floating-point numbers.
 */
#pragma once
#include <math.h>

/** HZB_AMOUNT_TOLERANCE: tolerance for comparing sums of amounts, in the unit of the amounts: adding and subtracting
 * leaves rounding errors. */
#define HZB_AMOUNT_TOLERANCE 1e-6

/** HZB_QUOTIENT_TOLERANCE: added to the quotient of two amounts before it is rounded down to a whole number, so that a
 * rounding error does not lower the result by one. Also the tolerance for comparing the resources of one task with
 * those of an empty machine. */
#define HZB_QUOTIENT_TOLERANCE 1e-9

/** hzb_quotient_floor: how often `amount`, which is above 0, is contained in `total`, as a whole number. */
static inline double
hzb_quotient_floor (double total, double amount)
{
  return floor (total / amount + HZB_QUOTIENT_TOLERANCE);
}
