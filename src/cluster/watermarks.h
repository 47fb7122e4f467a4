/**
 * SECTION: watermarks
 * @short_description: up to which revision an unavailable controller must have stopped acting without cancellations
 *
 * A watermark says that, from some time on, all controllers but one have known all cancellations up to a revision. Once
 * the watermark is old enough, the remaining controller has learned of them too or has fenced itself, which means that
 * it answers no worker any more. From then on these cancellations may be confirmed to users (docs/safety.md, "One
 * controller is unavailable").
 *
 * This module reads no clock and sends nothing: the caller passes the time.
 */
#pragma once
#include "clock.h"

/**
 * HZB_CANCELLATIONS_MAX_AGE_S: a controller answers workers only while it knows all cancellations that were recorded
 * until this many seconds ago.
 */
#define HZB_CANCELLATIONS_MAX_AGE_S 10.0

/**
 * HZB_FENCED_AFTER_S: seconds after which a controller that learns of nothing can no longer get a command through to a
 * worker: its knowledge may be HZB_CANCELLATIONS_MAX_AGE_S old, workers drop answers after 4 s, and clocks drift apart by
 * less than 1 s.
 */
#define HZB_FENCED_AFTER_S (HZB_CANCELLATIONS_MAX_AGE_S + 4.0 + 1.0)

/** HzbWatermark: all controllers but one have known all cancellations up to a revision since a point in time. */
typedef struct
{
  struct timespec since; /**< steady clock of this process */
  guint64 revision;      /**< of the key-value store */
} HzbWatermark;

/** HzbWatermarks: the watermarks that are not old enough yet, and what the older ones have proven. */
typedef struct
{
  GQueue marks;            /**< HzbWatermark, by rising revision */
  double after_s;          /**< age in seconds at which a watermark raises `ref` fenced_revision */
  guint64 fenced_revision; /**< highest revision of a watermark that grew old enough; never falls */
} HzbWatermarks;

/** hzb_watermarks_init: starts without watermarks. A watermark counts once it is older than after_s seconds. */
void hzb_watermarks_init (HzbWatermarks *watermarks, double after_s);

/** hzb_watermarks_clear: frees what the structure holds, but not the structure. */
void hzb_watermarks_clear (HzbWatermarks *watermarks);

/**
 * hzb_watermarks_add: since the given time all controllers but one have known all cancellations up to the revision, as
 * seen by this or another controller. A watermark that another one implies is not kept.
 */
void hzb_watermarks_add (HzbWatermarks *watermarks, struct timespec since, guint64 revision);

/** hzb_watermarks_raise: another controller has seen a watermark of this revision grow old enough. */
void hzb_watermarks_raise (HzbWatermarks *watermarks, guint64 revision);

/**
 * hzb_watermarks_advance: removes the watermarks that are old enough by now, and raises the fenced revision to theirs.
 */
void hzb_watermarks_advance (HzbWatermarks *watermarks, struct timespec now);
