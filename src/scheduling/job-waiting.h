/**
 * @file
 * SECTION: job-waiting
 *
 * For how long a job has waited since a task of it last began to run, on the leader.
 *
 * The leader counts a delegated task as placed, although its leaseholder may have no machine with room for it and will
 * return the task unstarted. So only tasks that run, or have run, count here. A leaseholder that has returned a task of the
 * job gets none of its tasks for a while: other leaseholders may have room, or the leader, for which machines can be rented
 * (placement-check.h).
 */
#pragma once
#include "job.h"
#include "shard.h"

/** hzb_job_update_waiting: notes whether more tasks of the job have begun to run than at the last call. Called about once a
 * second for each active job. `shard`: the leader's; time in which the team's limit allows no more task does not count */
void hzb_job_update_waiting (HzbJob *job, const HzbShard *shard, struct timespec now);

/** hzb_job_waiting_s: Returns: for how many seconds the job has had tasks to start and none has begun to run */
double hzb_job_waiting_s (const HzbJob *job, struct timespec now);

/** hzb_job_note_returned: notes that a leaseholder has returned a task of the job unstarted. `leaseholder`: its number */
void hzb_job_note_returned (HzbJob *job, guint leaseholder, struct timespec now);

/** hzb_job_avoids_leaseholder: whether the leaseholder could not start a task of the job lately, and the job has waited for
 * long. `leaseholder`: its number */
gboolean hzb_job_avoids_leaseholder (const HzbJob *job, guint leaseholder, struct timespec now);

/** hzb_job_was_returned: whether any leaseholder could not start a task of the job lately. */
gboolean hzb_job_was_returned (const HzbJob *job);
