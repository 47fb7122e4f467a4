/**
 * @file
 * SECTION: start-pacing
 *
 * How fast commands may be given after a cold start.
 *
 * A token bucket with a reserve for higher scheduling classes: the less is left in it, the more urgent a task has to
 * be. It reads no clock and does no I/O. The dispatcher asks it before each start and before each task that it
 * delegates, the quarantine before each stop. (These tokens have nothing to do with fencing tokens.)
 */
#pragma once
#include "clock.h"

/** HzbStartPacingClass: who may use how much of what is left in the bucket. */
typedef enum
{
  HZB_START_PACING_OTHER,      /**< Stops of tasks that no record names, and work without a guarantee. */
  HZB_START_PACING_GUARANTEED, /**< Work within a team's guarantee. */
  HZB_START_PACING_URGENT,     /**< Urgent work and services. */
  HZB_START_PACING_N_CLASSES   /**< Number of classes. */
} HzbStartPacingClass;

/** HzbStartPacingLimits: what is allowed. */
typedef struct
{
  double per_s;            /**< Commands a second. */
  guint per_answer;        /**< Starts in one answer to a worker; 0: no limit. */
  double scale_outs_per_s; /**< Scale-out requests to the cloud a second. */
  double duration_s;       /**< Seconds after which the limits end by themselves. */
} HzbStartPacingLimits;

/** HzbStartPacing: the state of the buckets. A zeroed one limits nothing. */
typedef struct
{
  HzbStartPacingLimits limits; /**< While active. */
  gboolean active;             /**< FALSE: nothing is limited. */
  struct timespec began;       /**< When the limits began. */
  struct timespec filled;      /**< When the buckets were last filled. */
  double tokens;               /**< Commands that may be given at once. */
  double scale_out_tokens;     /**< Scale-out requests that may be sent at once. */
  double lag_s;                /**< How late timers fired when the buckets were last filled. */
  guint in_answer;             /**< Starts in the present answer. */
} HzbStartPacing;

/** hzb_start_pacing_begin: commands are limited from now on. `limits`: copied */
void hzb_start_pacing_begin (HzbStartPacing *pacing, const HzbStartPacingLimits *limits, struct timespec now);

/** hzb_start_pacing_end: nothing is limited from now on. */
void hzb_start_pacing_end (HzbStartPacing *pacing);

/** hzb_start_pacing_tick: fills the buckets, and ends the limits once their time is over. `lag_s`: how many seconds
 * late timers fire */
void hzb_start_pacing_tick (HzbStartPacing *pacing, double lag_s, struct timespec now);

/** hzb_start_pacing_begin_answer: an answer to one worker begins. */
void hzb_start_pacing_begin_answer (HzbStartPacing *pacing);

/** hzb_start_pacing_answer_full: whether the present answer has as many starts as one worker should get at once. */
gboolean hzb_start_pacing_answer_full (const HzbStartPacing *pacing);

/** hzb_start_pacing_allows: whether one more command of this class may be given now. */
gboolean hzb_start_pacing_allows (const HzbStartPacing *pacing, HzbStartPacingClass class);

/** hzb_start_pacing_take: a command was given. */
void hzb_start_pacing_take (HzbStartPacing *pacing);

/** hzb_start_pacing_take_scale_out: Returns: FALSE if the cloud should not be asked now; otherwise the request is counted
 */
gboolean hzb_start_pacing_take_scale_out (HzbStartPacing *pacing);
