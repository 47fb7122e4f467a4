/**
 * @file
 * SECTION: preemption
 *
 * Stops lower work for tasks that are kept waiting.
 *
 * A task may preempt work of a lower priority, and, if it is within its team's guarantee, work with which another team
 * exceeds its own. Gangs, services, and jobs that await a verdict are never preempted.
 */
#pragma once
#include "dispatch-state.h"

/**
 * hzb_preempt_within_team: the limit of the job's team keeps the job waiting: lower work of the same team is to be
 * stopped.
 *
 * The stop commands go out with the answers to the next heartbeats of the machines.
 */
void hzb_preempt_within_team (HzbDispatch *dispatch, const HzbJob *preemptor, struct timespec now);

/**
 * hzb_preempt_on_machine: stops lower work for tasks in the machine's run queues that have waited long enough.
 * `commands`: (element-type HzbCommand): the stop commands are appended to it
 */
void hzb_preempt_on_machine (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands);
