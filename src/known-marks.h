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

/** HzbSinceMark: */
typedef struct
{
  struct timespec since;
  guint64 revision;
} HzbSinceMark;

typedef struct
{
  GQueue marks;              /* HzbSinceMark, rising, of the last @after_s */
  double after_s;            /* a mark so old has done its part */
  guint64 withheld_revision; /* the highest of those; never falls */
} HzbKnownMarks;

void hzb_known_marks_init (HzbKnownMarks *known, double after_s);
void hzb_known_marks_clear (HzbKnownMarks *known);

/** hzb_known_marks_add: from @since on all but one have known all up to @revision, as this or another controller saw it. */
void hzb_known_marks_add (HzbKnownMarks *known, struct timespec since, guint64 revision);

/** hzb_known_marks_raise: another controller has seen marks up to this revision grow old enough. */
void hzb_known_marks_raise (HzbKnownMarks *known, guint64 revision);

/** hzb_known_marks_advance: takes out the marks that are old enough by now. */
void hzb_known_marks_advance (HzbKnownMarks *known, struct timespec now);
