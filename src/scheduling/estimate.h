/**
 * @file
 * SECTION: estimate
 *
 * The estimated workload of one machine, as a probability distribution.
 *
 * This is the recursion of the policy that M. Konovalov and R. Razumchik call MEM ("Using Inter-Arrival Times for
 * Scheduling in Non-Observable Queues", equations 2 to 4 and 6). The workload is a distribution over steps of
 * HZB_ESTIMATE_STEP_S seconds. Adding a task convolves the distribution with the discretised service time of the task.
 * Between two placements, the distribution is shifted down by the time that has passed, and mass that would fall below
 * zero is added at zero. After a convolution, the distribution is cut at the quantile HZB_TRUNCATION_QUANTILE; the mass
 * above it is added to the first step after the cut. The mean of the distribution is U of the rule U + h/v (search.h).
 *
 * Not in the paper: each heartbeat lists the tasks of the machine; hzb_estimate_reset() then replaces the distribution
 * by the value that follows from the list and from the run queues of the machine. It does so too when the tasks or run
 * queues have changed otherwise (HzbMachine.estimate_stale).
 */
#pragma once
#include "clock.h"

/** HZB_ESTIMATE_STEP_S: length of a step in seconds (the paper's Delta). */
#define HZB_ESTIMATE_STEP_S 1.0

/** HZB_TRUNCATION_QUANTILE: a distribution is truncated after the first step up to which the probabilities add up to
 * at least this. */
#define HZB_TRUNCATION_QUANTILE 0.95

/** HzbEstimate: the distribution. A zero-initialised estimate is valid and means that there is no work. */
typedef struct
{
  float *mass;              /**< (nullable) Probability of each step; owned. */
  guint length;             /**< Steps in use; 0: no work has been added yet. */
  guint capacity;           /**< Steps that were allocated. */
  struct timespec shifted;  /**< The time of the last call that shifted or reset the distribution. */
  double shift_remainder_s; /**< The part of the time until `shifted`, in seconds, that was shorter than a step; it is
                               left for the next shift. */
  double mean_s;            /**< The mean in seconds; below 0: it has to be recomputed. */
} HzbEstimate;

/** hzb_estimate_clear: frees what the estimate owns. */
void hzb_estimate_clear (HzbEstimate *estimate);

/** hzb_estimate_reset: sets the workload at `now` to the known value `queued_work_s`, in seconds. */
void hzb_estimate_reset (HzbEstimate *estimate, struct timespec now, double queued_work_s);

/** hzb_estimate_shift: reduces the workload by the time that has passed up to `now`. */
void hzb_estimate_shift (HzbEstimate *estimate, struct timespec now);

/** hzb_estimate_add_task: adds a task to the workload, with an exponential service time of mean `mean_s` seconds. */
void hzb_estimate_add_task (HzbEstimate *estimate, double mean_s);

/** hzb_estimate_mean: Returns: the expected workload in seconds (U) */
double hzb_estimate_mean (HzbEstimate *estimate);
