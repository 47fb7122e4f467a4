/**
 * SECTION: scheduling-class
 * @short_description: the order in which waiting work is served
 *
 * Each job has a scheduling class, from its priority, its team's guarantee and how soon its aim would be missed. Higher scheduling classes are
 * served first; within a scheduling class hzb_scheduling_classes_compare() decides.
 */
#pragma once
#include "jobs.h"
#include "machine.h"

/** hzb_scheduling_classes_update: sets the scheduling class of every job of the owner, and its expected run time. */
void hzb_scheduling_classes_update (HzbJobs *jobs, const HzbSettings *settings, struct timespec now);

/** hzb_scheduling_classes_compare: sorts an array of #HzbJob, the first to be served first. */
gint hzb_scheduling_classes_compare (gconstpointer a, gconstpointer b);

/**
 * hzb_job_slack_s:
 * @aim: (out) (nullable): what the nearest aim that is not yet missed allows in all
 *
 * Returns: how long from now the job's tasks may start so that this aim is met. A job without aims is treated as if it had one of two minutes.
 */
double hzb_job_slack_s (const HzbSettings *settings, const HzbJob *job, struct timespec now, double *aim);

/** hzb_job_overdue_start_placed: of a job whose start is overdue only one task goes first, and it has its place. */
gboolean hzb_job_overdue_start_placed (const HzbJob *job);
