/**
 * SECTION: job-progress
 * @short_description: converts a job's progress between the job in memory and its progress records
 *
 * A job's progress is recorded in parts (chunks), each of which fits into a value of the key-value store. A part states
 * which of its tasks have finished, and the number below which tasks may have been started (the released mark).
 * records-codec.h defines the stored form.
 */
#pragma once
#include "jobs.h"
#include "records-codec.h"

/**
 * hzb_job_count_chunks: Returns: the number of parts of the job's progress, at the part size that this version writes
 */
guint hzb_job_count_chunks (const HzbJobs *jobs, const HzbJob *job);

/**
 * hzb_job_pack_progress: fills the progress record of one part.
 * - `job`: owned by this controller, with its tasks and specification in memory
 * - `chunk`: number of the part, below hzb_job_count_chunks()
 * - `record`: (out caller-allocates): the caller clears it with hzb_progress_record_clear()
 */
void hzb_job_pack_progress (const HzbJobs *jobs, const HzbJob *job, guint chunk, HzbProgressRecord *record);

/**
 * hzb_job_apply_progress: applies the record of a part to the job in memory: tasks that the part shows as finished
 * become done, and the other pending tasks of the job below the released mark become unconfirmed.
 * - `job`: with its tasks in memory
 * - `chunk`: number of the part, at the part size that `record` states
 * - `has_current_layout`: (out): whether this version would divide the job into the same parts; unset if FALSE is
 *   returned
 *
 * Returns: FALSE, without a change, if the job has no such part
 */
gboolean hzb_job_apply_progress (HzbJobs *jobs, HzbJob *job, guint chunk, const HzbProgressRecord *record,
                                 gboolean *has_current_layout);
