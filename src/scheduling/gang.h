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
 * hzb_gang_update_blocking: decides whether a gang blocks machines until the next run of the dispatcher.
 *
 * It does only if it could start once other work on the machines has ended: its team's limit allows all its tasks, and
 * the machines that are up or booting hold them all. Otherwise other work would wait for a gang that cannot start.
 */
void hzb_gang_update_blocking (HzbDispatch *dispatch, HzbJob *job, struct timespec now);

/**
 * hzb_gang_blocks_machine: whether tasks of `scheduling_class` must not start on the machine, because a gang of that
 * class or a higher one waits for room there. Such tasks would take each bit of room that becomes free, and the whole
 * gang would never fit.
 */
gboolean
hzb_gang_blocks_machine (HzbDispatch *dispatch, const HzbMachine *machine, guint scheduling_class, struct timespec now);
