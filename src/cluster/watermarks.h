/**
 * SECTION: watermarks
 * @short_description: the revision up to which an unavailable controller can't act without knowing the cancellations
 *
 * A watermark states that all controllers but one have known all cancellations up to a revision since a point in time.
 * When the watermark reaches a minimum age, the remaining controller has learned of these cancellations too or has
 * fenced itself, which means that it answers no worker any more. From then on these cancellations may be confirmed to
 * users (docs/safety.md, "One controller is unavailable").
 *
 * This module reads no clock and sends nothing: the caller passes the time.
 */
#pragma once
#include "clock.h"

/**
 * HZB_CANCELLATIONS_MAX_AGE_S: a controller answers workers only if it knows all cancellations that were recorded up to
 * this many seconds ago.
 */
#define HZB_CANCELLATIONS_MAX_AGE_S 10.0

/**
 * HZB_FENCED_AFTER_S: seconds after which no worker executes a command of a controller that has received no
 * cancellations meanwhile: such a controller answers workers for HZB_CANCELLATIONS_MAX_AGE_S, workers drop responses
 * that are older than 4 s, and clocks drift apart by less than 1 s.
 */
#define HZB_FENCED_AFTER_S (HZB_CANCELLATIONS_MAX_AGE_S + 4.0 + 1.0)

/** HzbWatermark: all controllers but one have known all cancellations up to a revision since a point in time. */
typedef struct
{
  struct timespec since; /**< monotonic clock of this process */
  guint64 revision;      /**< revision of the key-value store */
} HzbWatermark;

/** HzbWatermarks: the watermarks below the minimum age, and the fenced revision that older watermarks have proven. */
typedef struct
{
  GQueue marks;            /**< HzbWatermark, by ascending revision */
  double min_age_s;        /**< a watermark older than this many seconds raises `ref` fenced_revision */
  guint64 fenced_revision; /**< highest revision of a watermark that reached the minimum age; never decreases */
} HzbWatermarks;

/** hzb_watermarks_init: starts without watermarks. A watermark takes effect when it is older than min_age_s seconds. */
void hzb_watermarks_init (HzbWatermarks *watermarks, double min_age_s);

/** hzb_watermarks_clear: frees the members of the structure, but not the structure. */
void hzb_watermarks_clear (HzbWatermarks *watermarks);

/**
 * hzb_watermarks_add: adds the watermark that all controllers but one have known all cancellations up to the revision
 * since the given time, as this or another controller has found. A watermark that another watermark implies is not
 * kept.
 */
void hzb_watermarks_add (HzbWatermarks *watermarks, struct timespec since, guint64 revision);

/** hzb_watermarks_raise: raises the fenced revision to that of another controller, unless it is lower. */
void hzb_watermarks_raise (HzbWatermarks *watermarks, guint64 revision);

/**
 * hzb_watermarks_advance: removes the watermarks that are older than the minimum age at the time `now`, and raises the
 * fenced revision to theirs.
 */
void hzb_watermarks_advance (HzbWatermarks *watermarks, struct timespec now);
