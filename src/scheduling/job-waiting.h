/**
 * @file
 * SECTION: job-waiting
 *
 * For how long a job has waited since a task of it last began to run, on the leader.
 *
 * The leader counts a delegated task as placed, although its leaseholder may have no machine with room for it and will
 * return the task unstarted. So only tasks that run, or have run, count here. A job whose tasks were returned unstarted
 * again and again stays with the leader for a while, where machines can be rented for it (placement-check.h).
 */
#pragma once
#include "job.h"
#include "shard.h"

/** hzb_job_update_waiting: notes whether more tasks of the job have begun to run than at the last call. Called about once a
 * second for each active job. `shard`: the leader's; time in which the team's limit allows no more task does not count */
void hzb_job_update_waiting (HzbJob *job, const HzbShard *shard, struct timespec now);

/** hzb_job_waiting_s: Returns: for how many seconds the job has had tasks to start and none has begun to run */
double hzb_job_waiting_s (const HzbJob *job, struct timespec now);

/** hzb_job_note_returned: notes that a leaseholder has returned a task of the job unstarted. */
void hzb_job_note_returned (HzbJob *job, struct timespec now);

/** hzb_job_is_kept_by_leader: whether the job must not be delegated now, since leaseholders could not start its tasks. */
gboolean hzb_job_is_kept_by_leader (const HzbJob *job);
