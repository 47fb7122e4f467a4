/**
 * SECTION: leader-maintenance
 * @short_description: what the leader does over time with the jobs and machines that it owns
 */
#pragma once
#include "clock.h"
#include "controller.h"

/** hzb_leader_maintenance_tick: expires workers' leases, resolves unconfirmed tasks, ends jobs, places tasks and writes records. */
void hzb_leader_maintenance_tick (HzbController *controller, struct timespec now);
