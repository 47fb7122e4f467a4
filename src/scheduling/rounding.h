/**
 * @file
 * SECTION: rounding
 *
 * Tolerances for amounts of CPUs, GPUs and GB, which are floating point numbers.
 */
#pragma once

/** HZB_ROUNDING: adding and subtracting amounts leaves errors: sums are compared with this tolerance. */
#define HZB_ROUNDING 1e-6

/** HZB_QUOTIENT_ROUNDING: the tolerance for how many times one amount fits into another. */
#define HZB_QUOTIENT_ROUNDING 1e-9
