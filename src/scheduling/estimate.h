/* MEM's estimate of one machine's workload: a distribution over steps of STEP seconds.
 * Sending a task convolves it with the task's discretised service time, the time between arrivals
 * shifts it down, and what lies beyond 95% of the mass is cut. */
#pragma once
#include "clock.h"

#define HZB_STEP_S 1.0
#define HZB_CUT 0.95

typedef struct
{
  float *mass;
  guint length, room;
  struct timespec at; /* the shift has been done up to here */
  double shift_left;  /* seconds of gap that have not made a whole step yet */
  double mean;        /* cached; below 0: to be counted anew */
} HzbEstimate;

void hzb_estimate_clear (HzbEstimate *estimate);
void hzb_estimate_reset (HzbEstimate *estimate, struct timespec now, double queued_work_s);
void hzb_estimate_shift (HzbEstimate *estimate, struct timespec now);
void hzb_estimate_send (HzbEstimate *estimate, double mean_s); /* an exponential task of this mean */
double hzb_estimate_mean (HzbEstimate *estimate);              /* U, in seconds */
