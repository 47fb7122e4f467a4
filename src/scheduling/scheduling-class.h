/**
 * @file
 * SECTION: scheduling-class
 *
 * The order in which waiting work is served.
 *
 * Each job has a scheduling class (HzbSchedulingClass), from its priority, its team's guarantee, and how soon its
 * service-level objective would be missed. Higher classes are served first; within a class
 * hzb_scheduling_classes_compare() decides.
 */
#pragma once
#include "jobs.h"
#include "machine.h"

/** hzb_scheduling_classes_update: sets the scheduling class of every active job, and its expected run time. */
void hzb_scheduling_classes_update (HzbJobs *jobs, const HzbSettings *settings, struct timespec now);

/** hzb_scheduling_classes_compare: sorts an array of pointers to HzbJob in the order of service. */
gint hzb_scheduling_classes_compare (gconstpointer a, gconstpointer b);

/**
 * hzb_job_slack_s:
 * `aim`: (out) (nullable): the seconds that the nearest objective which is not yet missed allows in all, from
 * acceptance to start
 *
 * A job whose class has no objective is treated as if it had one of two minutes.
 *
 * Returns: seconds from now within which the job's tasks have to start so that this objective is met
 */
double hzb_job_slack_s (const HzbSettings *settings, const HzbJob *job, struct timespec now, double *aim);

/**
 * hzb_job_overdue_start_placed: whether the start of the job is overdue and its first task has its place.
 *
 * Only that task goes before other work, so no more of the job's tasks are placed for now.
 */
gboolean hzb_job_overdue_start_placed (const HzbJob *job);
