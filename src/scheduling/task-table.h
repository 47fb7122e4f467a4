/**
 * @file
 * SECTION: task-table
 *
 * The tasks of one job on the controller that owns them.
 *
 * A job may have 100,000 tasks, most of which were never placed or are done. Such a task is at rest: its state says
 * all that is known of it, and the table stores the state alone, in three bits. Every other task is tracked: it has an
 * HzbTask. The memory of a table therefore grows with its tracked tasks.
 *
 * hzb_task_table_get() tracks a task that is at rest. An HzbTask stays valid until hzb_task_table_compact(), which
 * stops tracking the tasks that are at rest by then. The controller calls it at the end of each tick, so a pointer that
 * is kept for longer has to be to a task that is on a machine or waits in a queue.
 */
#pragma once
#include "job.h"

/**
 * hzb_task_table_new: creates the table of a job; all its tasks are at rest in their initial state.
 * `job`: (transfer none): outlives the table
 * `initial`: HZB_TASK_PENDING on the leader, HZB_TASK_OTHER_OWNER on a leaseholder
 * `since`: when the tasks entered that state
 *
 * Returns: (transfer full)
 */
HzbTaskTable *hzb_task_table_new (HzbJob *job, HzbTaskState initial, struct timespec since);

/** hzb_task_table_free: frees the table and its tracked tasks. `table`: (transfer full) */
void hzb_task_table_free (HzbTaskTable *table);

/** hzb_task_table_state: the state of the task with this index, tracked or not. */
HzbTaskState hzb_task_table_state (const HzbTaskTable *table, guint index);

/**
 * hzb_task_table_get: the task with this index, which is tracked from now on.
 *
 * Returns: (transfer none)
 */
HzbTask *hzb_task_table_get (HzbTaskTable *table, guint index);

/**
 * hzb_task_table_next: iterates over the tracked tasks by ascending index. The states of tasks may change meanwhile.
 * `index`: (inout): the first index to examine; the index after the returned task's on return
 *
 * Returns: (transfer none) (nullable): NULL: there is no further one
 */
HzbTask *hzb_task_table_next (const HzbTaskTable *table, guint *index);

/** hzb_task_table_is_at_rest: whether the task is not tracked. */
gboolean hzb_task_table_is_at_rest (const HzbTaskTable *table, guint index);

/**
 * hzb_task_table_set_resting_state: changes the state of a task that is at rest, and leaves it at rest. Called by task.c
 * only, which keeps the counts.
 * `state`: the initial state of the table, HZB_TASK_UNCONFIRMED (for the tasks of an earlier leader) or HZB_TASK_DONE
 */
void hzb_task_table_set_resting_state (HzbTaskTable *table, guint index, HzbTaskState state);

/** hzb_task_table_note_settled: the task may be at rest; hzb_task_table_compact() examines it. */
void hzb_task_table_note_settled (HzbTaskTable *table, const HzbTask *task);

/** hzb_task_table_compact: stops tracking the tasks that are at rest. Their HzbTasks are freed. */
void hzb_task_table_compact (HzbTaskTable *table);

/** hzb_task_table_tracked: number of tracked tasks. */
guint hzb_task_table_tracked (const HzbTaskTable *table);

/** hzb_task_table_bytes: the memory of a table for `n_tasks` tasks, none of which is tracked. */
gsize hzb_task_table_bytes (guint n_tasks);
