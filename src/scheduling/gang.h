/**
 * SECTION: gang
 * @short_description: places for gangs, whose tasks all start together
 */
#pragma once
#include "dispatch.h"

/** hzb_gang_place: books a place for each task if there is room for all of them at once. Returns: whether there was. */
gboolean hzb_gang_place (HzbDispatch *dispatch, HzbJob *job, struct timespec now);

/** hzb_gang_blocks_machine: a gang that waits halts starts of this scheduling class and lower ones on machines it could use. */
gboolean
hzb_gang_blocks_machine (HzbDispatch *dispatch, const HzbMachine *machine, guint scheduling_class, struct timespec now);
