/**
 * @file
 * SECTION: task
 *
 * State changes of tasks.
 *
 * hzb_task_set_state() is the only function that changes the state or the machine of a task. It keeps the derived
 * counts consistent: the job's counters, the machine's tasks, run queues and used resources, and the team's use in the
 * shard. The other functions of this header call it.
 */
#pragma once
#include "jobs.h"
#include "machine.h"

/**
 * hzb_task_set_state: moves a task to another state, another machine, or both.
 * `jobs`: the registry of the task's job, whose shard counts the use of teams
 * `task`: the task
 * `to`: its new state
 * `machine`: (nullable): the machine that it is on from now on, or in whose run queue it is
 *
 * Returns: FALSE if the state machine does not allow the change; the refusal is logged, and nothing changes
 */
gboolean hzb_task_set_state (HzbJobs *jobs, HzbTask *task, HzbTaskState to, HzbMachine *machine);

/**
 * hzb_job_load_task: sets a task to the state that a progress record shows. A task that is at rest stays at rest, so the
 * tasks of a large job that are done, or that an earlier leader may have started, take no memory of their own.
 * `to`: HZB_TASK_DONE, from HZB_TASK_PENDING or HZB_TASK_UNCONFIRMED; or HZB_TASK_UNCONFIRMED, from HZB_TASK_PENDING
 */
void hzb_job_load_task (HzbJobs *jobs, HzbJob *job, guint index, HzbTaskState to);

/**
 * hzb_job_resolve_unconfirmed: returns unconfirmed tasks of a job to HZB_TASK_PENDING.
 * `leaseholder`: 0: the tasks that an earlier leader may have started; 1 and up: those in the reclaimed shard of that
 * leaseholder
 *
 * The caller guarantees that every machine that might hold one of them has sent a heartbeat under the current fencing
 * token, or is gone: otherwise a task could run twice.
 */
void hzb_job_resolve_unconfirmed (HzbJobs *jobs, HzbJob *job, guint leaseholder);

/**
 * hzb_machine_requeue_tasks: returns all tasks on the machine to HZB_TASK_PENDING and empties its run queues.
 *
 * The caller guarantees that none of the tasks can still run.
 */
void hzb_machine_requeue_tasks (HzbJobs *jobs, HzbMachine *machine);

/** hzb_machine_clear_run_queues: returns the tasks in the machine's run queues, none of which was started, to
 * HZB_TASK_PENDING. */
void hzb_machine_clear_run_queues (HzbJobs *jobs, HzbMachine *machine);
