/**
 * @file
 * SECTION: estimate
 *
 * The estimated workload of one machine, as a probability distribution.
 *
 * The recursion of MEM, the policy of M. Konovalov and R. Razumchik ("Using Inter-Arrival Times for Scheduling in
 * Non-Observable Queues", equations 2 to 4 and 6). The workload is a distribution over steps of HZB_STEP_S seconds.
 * Sending a task convolves it with the discretised service time of the task; the time between two decisions shifts it
 * down, and what falls below zero gathers at zero; a result is cut where HZB_CUT of its mass lies below, and the rest
 * goes one step further. The mean of the distribution is U of the rule U + h/v (search.h).
 *
 * Not in the paper: when a heartbeat says what the machine works on, hzb_estimate_reset() starts anew from that.
 */
#pragma once
#include "clock.h"

/** HZB_STEP_S: seconds of a step (the paper's Delta). */
#define HZB_STEP_S 1.0

/** HZB_CUT: a distribution is cut where this part of its mass lies below. */
#define HZB_CUT 0.95

/** HzbEstimate: the distribution. A zeroed one is valid, and says that there is no work. */
typedef struct
{
  float *mass;        /**< (nullable) Probability of each step; owned. */
  guint length;       /**< Steps of mass that hold; 0: no work has been sent yet. */
  guint room;         /**< Steps that were allocated. */
  struct timespec at; /**< The time up to which the shift has been done. */
  double shift_left;  /**< Seconds before at that did not make a whole step. */
  double mean;        /**< The mean in seconds; below 0: it has to be computed anew. */
} HzbEstimate;

/** hzb_estimate_clear: frees what the estimate owns. */
void hzb_estimate_clear (HzbEstimate *estimate);

/** hzb_estimate_reset: the workload is known to be `queued_work_s` seconds now. */
void hzb_estimate_reset (HzbEstimate *estimate, struct timespec now, double queued_work_s);

/** hzb_estimate_shift: the machine has worked up to `now`. */
void hzb_estimate_shift (HzbEstimate *estimate, struct timespec now);

/** hzb_estimate_send: a task is sent to the machine, with an exponential service time of mean `mean_s` seconds. */
void hzb_estimate_send (HzbEstimate *estimate, double mean_s);

/** hzb_estimate_mean: U: the expected workload in seconds. */
double hzb_estimate_mean (HzbEstimate *estimate);
