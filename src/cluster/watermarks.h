/**
 * SECTION: watermarks
 * @short_description: tracks up to which revision an unavailable controller knows all cancellations or is fenced
 *
 * A watermark has a time and a revision. It states that since this time all controllers but one have known all
 * cancellations up to this revision. When the watermark is older than a minimum age, the remaining controller has
 * learned of these cancellations too or has fenced itself, which means that it answers no worker any more. From then on
 * these cancellations may be confirmed to users (docs/safety.md, "One controller is unavailable"). The highest revision
 * for which this has been proven is the fenced revision.
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
 * HZB_FENCED_AFTER_S: if a controller has received no cancellations for this many seconds, no worker executes its
 * commands any more. Such a controller answers workers until HZB_CANCELLATIONS_MAX_AGE_S after it last knew all
 * cancellations, workers drop responses that are older than 4 s, and clocks drift apart by less than 1 s.
 */
#define HZB_FENCED_AFTER_S (HZB_CANCELLATIONS_MAX_AGE_S + 4.0 + 1.0)

/** HzbWatermark: since the time `since`, all controllers but one have known all cancellations up to `revision`. */
typedef struct
{
  struct timespec since; /**< start, by the monotonic clock of this process */
  guint64 revision;      /**< revision of the key-value store */
} HzbWatermark;

/** HzbWatermarks: the watermarks that are not older than the minimum age, and the fenced revision. */
typedef struct
{
  GQueue marks;            /**< HzbWatermark, by ascending revision */
  double min_age_s;        /**< minimum age: a watermark older than this many seconds raises `fenced_revision` */
  guint64 fenced_revision; /**< highest revision proven by an older watermark, here or by a peer; never decreases */
} HzbWatermarks;

/** hzb_watermarks_init: starts without watermarks. A watermark takes effect when it is older than min_age_s seconds. */
void hzb_watermarks_init (HzbWatermarks *watermarks, double min_age_s);

/** hzb_watermarks_clear: frees the members of the structure, but not the structure. */
void hzb_watermarks_clear (HzbWatermarks *watermarks);

/**
 * hzb_watermarks_add: adds a watermark of this controller, or one that another controller has sent: since the time
 * `since`, all controllers but one have known all cancellations up to `revision`. Of two watermarks, one that has at
 * least the revision of the other and started no later implies the other, which is not kept. A watermark is also not
 * kept if its revision is not above the fenced revision, or if too many are kept already.
 */
void hzb_watermarks_add (HzbWatermarks *watermarks, struct timespec since, guint64 revision);

/**
 * hzb_watermarks_raise_fenced_revision: raises the fenced revision to that of another controller, unless the latter is
 * lower.
 */
void hzb_watermarks_raise_fenced_revision (HzbWatermarks *watermarks, guint64 revision);

/**
 * hzb_watermarks_advance: removes the watermarks that are older than the minimum age at the time `now`, and raises the
 * fenced revision to theirs.
 */
void hzb_watermarks_advance (HzbWatermarks *watermarks, struct timespec now);
