/**
 * SECTION: old-ends
 * @short_description: moves the records of jobs that ended long ago to where no node replicas of the records them
 *
 * The leader's part. Whoever is asked about such a job reads its one record (user-api.c).
 */
#pragma once
#include "jobs.h"

typedef struct _HzbController HzbController;
typedef struct _HzbOldEnds HzbOldEnds;

HzbOldEnds *hzb_old_ends_new (HzbController *controller);
void hzb_old_ends_free (HzbOldEnds *old_ends);

/** hzb_old_ends_reset: called when ownership begins or ends; answers to what was sent before are dropped. */
void hzb_old_ends_reset (HzbOldEnds *old_ends);

/** hzb_old_ends_tick: sends the next transaction if one is due. Cheap to call often. */
void hzb_old_ends_tick (HzbOldEnds *old_ends, struct timespec now);
