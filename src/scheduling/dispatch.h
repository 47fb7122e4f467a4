/**
 * @file
 * SECTION: dispatch
 *
 * Decides which task starts on which machine.
 *
 * A run puts waiting tasks into the run queues of the machines that the rule chooses (search.h), and reserves room for
 * gangs (gang.h). The answer to a machine's heartbeat then carries the start commands that fit. No I/O; the caller says
 * what time it is.
 */
#pragma once
#include "dispatch-state.h"

/**
 * hzb_dispatch_choose: the rule: the machine with the least U + h/v among those that may hold the task.
 *
 * Returns: (transfer none) (nullable): NULL if no machine may
 */
HzbMachine *hzb_dispatch_choose (HzbDispatch *dispatch, HzbJob *job, struct timespec now);

/** hzb_dispatch_run: waiting tasks go into run queues, and gangs get reservations. Called several times a second. */
void hzb_dispatch_run (HzbDispatch *dispatch, struct timespec now);

/**
 * hzb_dispatch_start_tasks: the commands for a machine that has just sent a heartbeat.
 * `commands`: (element-type HzbCommand): they are appended to it; their names point into the jobs
 */
void hzb_dispatch_start_tasks (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands);

/**
 * hzb_dispatch_consolidate: tasks that can save a checkpoint are to leave half-empty machines that are scale-in
 * candidates, where other machines have room that no task waits for. They are stopped with the answers to the next
 * heartbeats.
 */
void hzb_dispatch_consolidate (HzbDispatch *dispatch, struct timespec now);
