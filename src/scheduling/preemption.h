/**
 * SECTION: preemption
 * @short_description: work that is stopped for more pressing work, or to empty a machine
 */
#pragma once
#include "dispatch.h"

/* Lower work of the team is stopped for a job that the team's limit keeps waiting. */
void hzb_preempt_within_team (HzbDispatch *dispatch, const HzbJob *preemptor, struct timespec now);
/* Stops lower work for tasks of this machine's list that have waited long enough. */
void hzb_preempt_on_machine (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands);
