/**
 * SECTION: job-progress
 * @short_description: how far a job has come, between the job in memory and its durable form
 *
 * A job's progress is recorded in parts (chunks), each of which fits a value of the key-value store: which tasks have
 * finished, and up to which number tasks may have been started (the released mark). The stored form is the business of
 * records-codec.h.
 */
#pragma once
#include "jobs.h"
#include "records-codec.h"

/** hzb_job_chunks: Returns: how many parts the job's progress has, at the part size that this version writes */
guint hzb_job_chunks (const HzbJobs *jobs, const HzbJob *job);

/**
 * hzb_job_pack_progress: the durable form of one part.
 * - `job`: with tasks and a specification, owned by this controller
 * - `chunk`: below hzb_job_chunks()
 * - `record`: (out caller-allocates): to be cleared by the caller
 */
void hzb_job_pack_progress (const HzbJobs *jobs, const HzbJob *job, guint chunk, HzbProgressRecord *record);

/**
 * hzb_job_apply_progress: takes over what a part says: a task that the part shows as finished is done, and the other
 * tasks below its released mark become unconfirmed.
 * - `job`: with tasks
 * - `chunk`: the part's number, at the part size that `record` states
 * - `ours`: (out): the part is one of those that this version would write
 *
 * Returns: FALSE, with nothing changed, if the job has no such part
 */
gboolean
hzb_job_apply_progress (HzbJobs *jobs, HzbJob *job, guint chunk, const HzbProgressRecord *record, gboolean *ours);
