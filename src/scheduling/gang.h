/**
 * @file
 * SECTION: gang
 *
 * Room for gangs, whose tasks all start together.
 */
#pragma once
#include "dispatch-state.h"

/**
 * hzb_gang_place: reserves room for all tasks of a gang, if there is room for all of them at the same time.
 *
 * Returns: whether room was reserved
 */
gboolean hzb_gang_place (HzbDispatch *dispatch, HzbJob *job, struct timespec now);

/**
 * hzb_gang_blocks_machine: whether a gang waits for room that this machine may have to offer. Work of
 * `scheduling_class` or below then must not start there, or there would never be room for all of the gang.
 */
gboolean
hzb_gang_blocks_machine (HzbDispatch *dispatch, const HzbMachine *machine, guint scheduling_class, struct timespec now);
