/**
 * @file
 * SECTION: scheduling-class
 *
 * The order in which waiting jobs are scheduled.
 *
 * The scheduling class of a job (HzbSchedulingClass) follows from its priority, its team's guarantee, and the time left
 * until its service-level objective is missed. Jobs of higher classes are scheduled first; within a class,
 * hzb_scheduling_classes_compare() determines the order.
 */
#pragma once
#include "jobs.h"
#include "machine.h"

/** hzb_scheduling_classes_update: updates the scheduling class and the expected run time of every accepted active job.
 */
void hzb_scheduling_classes_update (HzbJobs *jobs, const HzbSettings *settings, struct timespec now);

/** hzb_scheduling_classes_compare: compares two elements of an array of pointers to HzbJob by their scheduling
 * order. */
gint hzb_scheduling_classes_compare (gconstpointer a, gconstpointer b);

/**
 * hzb_job_slack_s: the time left for the job's tasks to start, by the nearest objective that is not missed yet.
 * `start_limit_s`: (out) (nullable): the total seconds from acceptance to start that this objective allows
 *
 * A job without such an objective is treated as if it had to end within two minutes of its acceptance or, if its class
 * has objectives that are all missed or do not limit the start, within two minutes of `now`. Its slack is then at least
 * 10 seconds, and `start_limit_s` is set to two minutes.
 *
 * Returns: seconds from now within which the job's tasks have to start so that the objective is met
 */
double hzb_job_slack_s (const HzbSettings *settings, const HzbJob *job, struct timespec now, double *start_limit_s);

/**
 * hzb_job_overdue_start_placed: whether the start of the job is overdue and a task of it is already queued or placed.
 *
 * Only the first task of such a job goes before other work, so no more of its tasks are placed until that task starts.
 */
gboolean hzb_job_overdue_start_placed (const HzbJob *job);
