/**
 * @file
 * SECTION: task
 *
 * The one place where a task changes its state, its machine, and what its team uses.
 *
 * hzb_task_set_state() keeps these counts in step: the job's counters, the machine's tasks, run queues and room, and
 * the team's use in the shard. Everything else in this header goes through it.
 */
#pragma once
#include "jobs.h"
#include "machine.h"

/**
 * hzb_task_set_state: moves a task to another state, another machine, or both.
 * `jobs`: the registry of the task's job, whose shard counts the use of teams
 * `task`: the task
 * `to`: its new state
 * `machine`: (nullable): where it is from now on, or in whose run queue
 *
 * Returns: FALSE if the state machine does not allow the change; the refusal is logged, and nothing changes
 */
gboolean hzb_task_set_state (HzbJobs *jobs, HzbTask *task, HzbTaskState to, HzbMachine *machine);

/**
 * hzb_job_resolve_unconfirmed: unconfirmed tasks of a job become pending.
 * `leaseholder`: 0: the tasks that an earlier leader may have started; 1 and up: those in the reclaimed shard of that
 * leaseholder
 *
 * The caller guarantees that every machine that might hold one of them has sent a heartbeat under the current fencing
 * token, or is gone: otherwise a task could run twice.
 */
void hzb_job_resolve_unconfirmed (HzbJobs *jobs, HzbJob *job, guint leaseholder);

/**
 * hzb_machine_lose_tasks: all tasks on the machine become pending, and its run queues are emptied.
 *
 * The caller guarantees that the tasks are gone for certain.
 */
void hzb_machine_lose_tasks (HzbJobs *jobs, HzbMachine *machine);

/** hzb_machine_clear_run_queues: the tasks in the machine's run queues, none of which was started, become pending. */
void hzb_machine_clear_run_queues (HzbJobs *jobs, HzbMachine *machine);
