/**
 * SECTION: completed-job-archive
 * @short_description: moves the records of jobs that completed long ago to the archive, which no
 * controller replicates
 *
 * Only the leader moves records. The archive exists because the completed jobs of a month would not fit into the memory
 * of a controller. The archive has a single record for each job, from which the user API answers a query about an
 * archived job (src/api/user-api.c).
 */
#pragma once
#include "election.h"
#include "jobs.h"
#include "kv-client.h"
#include "node.h"
#include "ownership.h"

/**
 * HzbCompletedJobArchive: moves records to the archive in transactions of the key-value store, of which at most one is
 * in flight.
 */
typedef struct _HzbCompletedJobArchive HzbCompletedJobArchive;

/**
 * HzbCompletedJobArchiveDependencies: the modules that the archive uses. The archive owns none of them, and all of them
 * outlive it.
 */
typedef struct
{
  const HzbNode *node;     /**< settings */
  HzbKvClient *kv;         /**< the store that has the records */
  HzbJobs *jobs;           /**< provide the list of jobs whose records can be archived */
  HzbElection *election;   /**< leader's term, on which every transaction is conditional */
  HzbOwnership *ownership; /**< its epochs show which answers belong to requests of an earlier epoch */
} HzbCompletedJobArchiveDependencies;

/**
 * hzb_completed_job_archive_new: `dependencies`: copied. Returns: (transfer full): an archive object that has no
 * transaction in flight
 */
HzbCompletedJobArchive *hzb_completed_job_archive_new (const HzbCompletedJobArchiveDependencies *dependencies);

/** hzb_completed_job_archive_free: frees the archive. No answer to a transaction may arrive afterwards. */
void hzb_completed_job_archive_free (HzbCompletedJobArchive *archive);

/**
 * hzb_completed_job_archive_reset: called when this node gains or loses leadership. Answers to transactions that were
 * sent before are ignored.
 */
void hzb_completed_job_archive_reset (HzbCompletedJobArchive *archive);

/**
 * hzb_completed_job_archive_tick: sends the next transaction if one is due. Called only while this node leads; cheap to
 * call often.
 */
void hzb_completed_job_archive_tick (HzbCompletedJobArchive *archive, struct timespec now);
