/**
 * SECTION: pacing
 * @short_description: how fast commands may be given after a cold start
 *
 * A fencing token bucket with a reserve for higher scheduling classes: the less is left, the more pressing a task has to be. It reads no
 * clock and does no I/O. The dispatcher asks it before each start and
 * before each task that it delegates, the quarantine before each stop.
 */
#pragma once
#include "clock.h"

/** HzbStartPacingClass: who may use how much of what is left. */
typedef enum
{
  HZB_START_PACING_OTHER,      /* stops of nobody's tasks, and work without a guarantee */
  HZB_START_PACING_GUARANTEED, /* within a team's guarantee */
  HZB_START_PACING_URGENT,     /* urgent work and services */
  HZB_START_PACING_N_CLASSES
} HzbStartPacingClass;

typedef struct
{
  double per_s;         /* commands */
  guint per_answer;     /* starts in one answer to a worker; 0: no limit */
  double rentals_per_s; /* calls to the cloud */
  double duration_s;
} HzbStartPacingLimits;

typedef struct
{
  HzbStartPacingLimits limits;
  gboolean active;
  struct timespec began, filled;
  double tokens, rental_tokens;
  double lag_s;
  guint in_answer;
} HzbStartPacing;

/** hzb_start_pacing_begin: from now on, for as long as the limits say. */
void hzb_start_pacing_begin (HzbStartPacing *pacing, const HzbStartPacingLimits *limits, struct timespec now);

/** hzb_start_pacing_end: no limit from now on. */
void hzb_start_pacing_end (HzbStartPacing *pacing);

/** hzb_start_pacing_tick: fills the buckets; ends by itself once its time is over. @lag_s: how late timers fire. */
void hzb_start_pacing_tick (HzbStartPacing *pacing, double lag_s, struct timespec now);

/** hzb_start_pacing_begin_answer: what is started from here on goes to one worker. */
void hzb_start_pacing_begin_answer (HzbStartPacing *pacing);

/** hzb_start_pacing_answer_full: this worker has got as many starts as it should at once. */
gboolean hzb_start_pacing_answer_full (const HzbStartPacing *pacing);

/** hzb_start_pacing_allows: one more command of this class may be given now. */
gboolean hzb_start_pacing_allows (const HzbStartPacing *pacing, HzbStartPacingClass class);

/** hzb_start_pacing_take: one was given. */
void hzb_start_pacing_take (HzbStartPacing *pacing);

/** hzb_start_pacing_take_rental: Returns: FALSE if the cloud should not be called now; else the call is counted. */
gboolean hzb_start_pacing_take_rental (HzbStartPacing *pacing);
