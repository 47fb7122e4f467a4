/**
 * SECTION: known-marks
 * @short_description: up to which revision a controller that is away must have stopped acting without cancellations
 *
 * A mark says that from some time on all controllers but one have known all cancellations up to a revision. Once it is old
 * enough, the one that is away has learnt of them or answers no worker any more, so they may be told (docs/safety.md, "One
 * controller is away"). Reads no clock.
 */
#pragma once
#include "clock.h"

/** HzbWatermark: */
typedef struct
{
  struct timespec since;
  guint64 revision;
} HzbWatermark;

typedef struct
{
  GQueue marks;            /* HzbWatermark, rising, of the last @after_s */
  double after_s;          /* a mark so old has done its part */
  guint64 fenced_revision; /* the highest of those; never falls */
} HzbWatermarks;

void hzb_watermarks_init (HzbWatermarks *known, double after_s);
void hzb_watermarks_clear (HzbWatermarks *known);

/** hzb_watermarks_add: from @since on all but one have known all up to @revision, as this or another controller saw it. */
void hzb_watermarks_add (HzbWatermarks *known, struct timespec since, guint64 revision);

/** hzb_watermarks_raise: another controller has seen marks up to this revision grow old enough. */
void hzb_watermarks_raise (HzbWatermarks *known, guint64 revision);

/** hzb_watermarks_advance: takes out the marks that are old enough by now. */
void hzb_watermarks_advance (HzbWatermarks *known, struct timespec now);
