/**
 * @file
 * SECTION: dispatch
 *
 * The dispatcher, which decides which task starts on which machine.
 *
 * A run puts waiting tasks into the run queues of the machines that the placement rule chooses (search.h), and reserves
 * room for gangs (gang.h). The response to a machine's heartbeat then carries start commands for the tasks that fit.
 * The dispatcher does no I/O, and the caller passes the current time.
 */
#pragma once
#include "dispatch-state.h"

/**
 * hzb_dispatch_choose_machine: applies the placement rule (search.h): chooses the machine with the lowest cost among
 * those that may run a task of the job. While lagging, only a sample of machines is examined.
 *
 * Returns: (transfer none) (nullable): NULL if no examined machine may run the task
 */
HzbMachine *hzb_dispatch_choose_machine (HzbDispatch *dispatch, HzbJob *job, struct timespec now);

/** hzb_dispatch_run: puts waiting tasks into run queues and reserves room for gangs. Called several times a second. */
void hzb_dispatch_run (HzbDispatch *dispatch, struct timespec now);

/**
 * hzb_dispatch_start_tasks: starts and preempts tasks on a machine that has just sent a heartbeat.
 * `commands`: (element-type HzbCommand): the commands for the machine are appended to it; the names in them are owned
 * by the jobs
 */
void hzb_dispatch_start_tasks (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands);

/**
 * hzb_dispatch_consolidate: empties lightly used scale-in candidates, so that they can be returned: marks the tasks
 * with checkpoints on such a machine as stopping if the other machines have spare CPUs for them, beyond those that
 * waiting tasks need. The responses to the next heartbeats carry the stop commands.
 */
void hzb_dispatch_consolidate (HzbDispatch *dispatch, struct timespec now);
