/**
 * SECTION: completed-job-archive
 * @short_description: moves the records of jobs that completed long ago to the archive, which no
 * controller replicates.
 *
 * The leader's part. A month of completed jobs would not fit the memory of a controller. A question about an archived
 * job is answered from its one record in the archive (src/api/user-api.c).
 */
#pragma once
#include "election.h"
#include "jobs.h"
#include "kv-client.h"
#include "node.h"
#include "ownership.h"

/** HzbCompletedJobArchive: when the next records move, and whether some are on the way. */
typedef struct _HzbCompletedJobArchive HzbCompletedJobArchive;

/**
 * HzbCompletedJobArchiveDependencies: the modules that the archive works with. None is owned; all outlive the archive.
 */
typedef struct
{
  const HzbNode *node;     /**< settings */
  HzbKvClient *kv;         /**< where the records lie */
  HzbJobs *jobs;           /**< which of them are archivable */
  HzbElection *election;   /**< the term, on which every transaction is conditional */
  HzbOwnership *ownership; /**< whose epochs show which answers are late */
} HzbCompletedJobArchiveDependencies;

/** hzb_completed_job_archive_new: `dependencies`: copied. Returns: (transfer full) */
HzbCompletedJobArchive *hzb_completed_job_archive_new (const HzbCompletedJobArchiveDependencies *dependencies);

/** hzb_completed_job_archive_free: no answer to a transaction may come after it. */
void hzb_completed_job_archive_free (HzbCompletedJobArchive *archive);

/**
 * hzb_completed_job_archive_reset: called when an ownership begins or ends; answers to what was sent before are
 * dropped.
 */
void hzb_completed_job_archive_reset (HzbCompletedJobArchive *archive);

/**
 * hzb_completed_job_archive_tick: sends the next transaction if one is due. Only while leading; cheap to call often.
 */
void hzb_completed_job_archive_tick (HzbCompletedJobArchive *archive, struct timespec now);
