/**
 * SECTION: job-progress
 * @short_description: the durable form of how far a job has come
 *
 * A job's progress is recorded in parts, each of which fits a value of the key-value store: which tasks are done, and up to
 * which number tasks may have been started.
 */
#pragma once
#include "jobs.h"

/** hzb_job_chunks: how many parts there are. */
guint hzb_job_chunks (const HzbJobs *jobs, const HzbJob *job);

/** hzb_job_pack_progress: the record of one part. Returns: (transfer full) */
cJSON *hzb_job_pack_progress (const HzbJobs *jobs, const HzbJob *job, guint chunk);

/**
 * hzb_job_read_progress:
 * @ours: (out): the part is one of those that this version would write
 *
 * Returns: FALSE if the value makes no sense for the job.
 */
gboolean hzb_job_read_progress (HzbJobs *jobs, HzbJob *job, guint chunk, const cJSON *value, gboolean *ours);
