/**
 * @file
 * SECTION: gang
 *
 * Gang scheduling: reserves room for jobs whose tasks all start together.
 */
#pragma once
#include "dispatch-state.h"

/**
 * hzb_gang_place: reserves room for all tasks of a gang, or for none if there is not room for all at the same time.
 *
 * Returns: whether room was reserved
 */
gboolean hzb_gang_place (HzbDispatch *dispatch, HzbJob *job, struct timespec now);

/**
 * hzb_gang_blocks_machine: whether the machine is kept free for a gang of `scheduling_class` or above that waits for
 * room. Tasks of `scheduling_class` or below then must not start there: they would take the room that becomes free, and
 * there would never be enough for the whole gang.
 */
gboolean
hzb_gang_blocks_machine (HzbDispatch *dispatch, const HzbMachine *machine, guint scheduling_class, struct timespec now);
