/**
 * @file
 * SECTION: start-pacing
 *
 * Limits the rate of commands after a cold start.
 *
 * A token bucket with reserves for higher scheduling classes: the fewer tokens are left, the more urgent a task must be
 * to take one. The module reads no clock and does no I/O. A token is needed for each start and each delegation of a
 * task by the dispatcher, and for each stop by the quarantine. (These tokens are unrelated to fencing tokens.)
 */
#pragma once
#include "clock.h"

/** HzbStartPacingClass: the class of a command, which decides how many tokens it has to leave in the bucket. */
typedef enum
{
  HZB_START_PACING_OTHER,      /**< Stops of tasks that no record names, and work without a guarantee. */
  HZB_START_PACING_GUARANTEED, /**< Work within a team's guarantee. */
  HZB_START_PACING_URGENT,     /**< Urgent work and services. */
  HZB_START_PACING_N_CLASSES   /**< Number of classes. */
} HzbStartPacingClass;

/** HzbStartPacingLimits: the limits after a cold start. */
typedef struct
{
  double per_s;              /**< Commands per second. */
  guint starts_per_response; /**< Commands after which a response to a worker gets no more starts; 0: no limit. */
  double scale_outs_per_s;   /**< Scale-out requests to the cloud per second. */
  double duration_s;         /**< Seconds after which the limits end. */
} HzbStartPacingLimits;

/** HzbStartPacing: the state of the token buckets. A zeroed struct sets no limits. */
typedef struct
{
  HzbStartPacingLimits limits; /**< The limits; valid while active. */
  gboolean active;             /**< Whether the limits apply. */
  struct timespec began;       /**< When the limits began. */
  struct timespec refilled;    /**< When the buckets were last refilled. */
  double tokens;               /**< Commands that may be sent now. */
  double scale_out_tokens;     /**< Scale-out requests that may be sent now. */
  double lag_s;                /**< Lateness of timers in seconds when the buckets were last refilled. */
  guint commands_in_response;  /**< Commands sent since the current response began: starts, delegations and stops. */
} HzbStartPacing;

/** hzb_start_pacing_begin: applies the limits from `now` on. `limits`: copied */
void hzb_start_pacing_begin (HzbStartPacing *pacing, const HzbStartPacingLimits *limits, struct timespec now);

/** hzb_start_pacing_end: removes all limits. */
void hzb_start_pacing_end (HzbStartPacing *pacing);

/** hzb_start_pacing_tick: refills the buckets, and removes the limits once their duration is over. `lag_s`: lateness of
 * timers in seconds */
void hzb_start_pacing_tick (HzbStartPacing *pacing, double lag_s, struct timespec now);

/** hzb_start_pacing_begin_response: resets the count of commands, at the beginning of a response to one worker. */
void hzb_start_pacing_begin_response (HzbStartPacing *pacing);

/** hzb_start_pacing_response_full: whether the current response has reached the limit of commands in one response. */
gboolean hzb_start_pacing_response_full (const HzbStartPacing *pacing);

/** hzb_start_pacing_allows: whether one more command of this class may be sent now. */
gboolean hzb_start_pacing_allows (const HzbStartPacing *pacing, HzbStartPacingClass class);

/** hzb_start_pacing_take_token: takes the token of a command that was sent, and counts it in the current response. */
void hzb_start_pacing_take_token (HzbStartPacing *pacing);

/** hzb_start_pacing_take_scale_out_token: takes the token of a scale-out request.
 *
 * Returns: FALSE if there is no token left, so that no request may be sent now
 */
gboolean hzb_start_pacing_take_scale_out_token (HzbStartPacing *pacing);
