/**
 * @file
 * SECTION: preemption
 *
 * Preemption: stops running tasks to make room for waiting tasks.
 *
 * A task may preempt tasks of a lower priority. If it is within its own team's guarantee, it may also preempt tasks
 * that another team runs beyond the guarantee of that other team. Gangs, services and jobs that await a verdict are
 * never preempted.
 */
#pragma once
#include "dispatch-state.h"

/**
 * hzb_preempt_within_team: marks tasks of the same team and of lower priority to be stopped for a job that waits
 * because its team's limit is used up.
 * `preemptor`: the waiting job
 *
 * The stop commands go out with the responses to the next heartbeats of the machines.
 */
void hzb_preempt_within_team (HzbDispatch *dispatch, const HzbJob *preemptor, struct timespec now);

/**
 * hzb_preempt_on_machine: stops tasks on the machine for tasks in its run queues that have waited long enough.
 * `commands`: (element-type HzbCommand): the stop commands are appended to it
 *
 * Only tasks of the scheduling classes above HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK preempt others.
 */
void hzb_preempt_on_machine (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands);
