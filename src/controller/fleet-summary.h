/**
 * SECTION: fleet-summary
 * @short_description: a log line that summarises the state of the fleet for operators
 */
#pragma once
#include "dispatch.h"

/**
 * hzb_fleet_summary_log: logs a line about all machines and jobs, leased shards included. Logs a warning too if the
 * workers that send heartbeats to this node use almost all of its connections. Called on the leader.
 */
void hzb_fleet_summary_log (const HzbMachines *machines, const HzbJobs *jobs, const HzbDispatch *dispatch,
                            const HzbSettings *settings);
