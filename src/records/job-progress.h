/**
 * SECTION: job-progress
 * @short_description: converts a job's progress between the job in memory and its progress records
 *
 * A job's progress is recorded in chunks. A chunk is a slice of the job's tasks whose progress is stored together, and
 * fits into a value of the key-value store. A chunk states which of its tasks have finished, and the job's released
 * mark: the job's tasks with a lower number may have been started.
 * records-codec.h defines the stored form.
 */
#pragma once
#include "jobs.h"
#include "records-codec.h"

/**
 * hzb_job_count_chunks: Returns: the number of chunks of the job's progress, at the chunk size that this version of the
 * controller writes
 */
guint hzb_job_count_chunks (const HzbJobs *jobs, const HzbJob *job);

/**
 * hzb_job_pack_progress: fills the progress record of one chunk.
 * - `job`: owned by this controller, with its tasks and specification in memory
 * - `chunk_number`: number of the chunk, below hzb_job_count_chunks()
 * - `record`: (out caller-allocates): the caller clears it with hzb_progress_record_clear()
 */
void hzb_job_pack_progress (const HzbJobs *jobs, const HzbJob *job, guint chunk_number, HzbProgressRecord *record);

/**
 * hzb_job_apply_progress: applies the record of a chunk to the job in memory: tasks that the chunk shows as finished
 * become done, and the other pending tasks of the job below the released mark become unconfirmed.
 * - `job`: with its tasks in memory
 * - `chunk_number`: number of the chunk, at the chunk size that `record` states
 * - `has_current_layout`: (out): whether this version of the controller would divide the job into the same chunks;
 *   unset if FALSE is returned
 *
 * Returns: FALSE, without a change, if the job has no such chunk
 */
gboolean hzb_job_apply_progress (HzbJobs *jobs, HzbJob *job, guint chunk_number, const HzbProgressRecord *record,
                                 gboolean *has_current_layout);
