/**
 * SECTION: old-ends
 * @short_description: moves the records of jobs that completed long ago to where no node replicas of the records them
 *
 * The leader's part. Whoever is asked about such a job reads its one record (user-api.c).
 */
#pragma once
#include "jobs.h"

typedef struct _HzbController HzbController;
typedef struct _HzbCompletedJobArchive HzbCompletedJobArchive;

HzbCompletedJobArchive *hzb_completed_job_archive_new (HzbController *controller);
void hzb_completed_job_archive_free (HzbCompletedJobArchive *completed_job_archive);

/** hzb_completed_job_archive_reset: called when ownership begins or ends; answers to what was sent before are dropped. */
void hzb_completed_job_archive_reset (HzbCompletedJobArchive *completed_job_archive);

/** hzb_completed_job_archive_tick: sends the next transaction if one is due. Cheap to call often. */
void hzb_completed_job_archive_tick (HzbCompletedJobArchive *completed_job_archive, struct timespec now);
