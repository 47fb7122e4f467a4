/**
 * @file
 * SECTION: rounding
 *
 * Tolerances for amounts of CPUs, GPUs and GB, which are floating-point numbers.
 */
#pragma once

/** HZB_AMOUNT_TOLERANCE: tolerance for comparing sums of amounts, in the unit of the amounts: adding and subtracting
 * leaves rounding errors. */
#define HZB_AMOUNT_TOLERANCE 1e-6

/** HZB_QUOTIENT_TOLERANCE: added to the quotient of two amounts before it is rounded down to a whole number, so that a
 * rounding error does not lower the result by one. Also the tolerance for comparing the resources of one task with
 * those of an empty machine. */
#define HZB_QUOTIENT_TOLERANCE 1e-9
