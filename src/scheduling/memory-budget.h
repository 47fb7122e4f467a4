/**
 * @file
 * SECTION: memory-budget
 *
 * Whether a job may be accepted in view of the memory that a controller may use.
 *
 * Every controller keeps all jobs, and any controller may become the leader, so the budget is for a leader with all
 * tasks at rest (task-table.h). It is an estimate, well below the limit of the platform. A job may take a small part of
 * what is left, so a large job is refused while small ones are still accepted.
 */
#pragma once
#include "jobs.h"

/** HzbMemoryBudget: the memory of the unfinished jobs. Zero-initialised before its first use. */
typedef struct
{
  gsize used_bytes;           /**< By the jobs that are not terminal, as of the last count, and those accepted since. */
  struct timespec next_count; /**< Time of the next count. */
} HzbMemoryBudget;

/**
 * hzb_memory_budget_take: takes the memory of a job that is about to be accepted.
 * `jobs`: counted at most once a second
 * `n_tasks`: number of the job's tasks
 *
 * Returns: FALSE if the job takes too large a part of what is left; nothing was taken. TRUE if the settings state no
 * limit
 */
gboolean hzb_memory_budget_take (HzbMemoryBudget *budget, const HzbJobs *jobs, guint n_tasks);
