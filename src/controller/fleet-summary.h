/**
 * SECTION: fleet-summary
 * @short_description: one line in the log that tells an operator how the fleet stands
 */
#pragma once
#include "dispatch.h"

/** hzb_fleet_summary_log: logs a line about the leader's machines and jobs, leased shards included, and warns if the node has
 * hardly any sockets left for workers. */
void hzb_fleet_summary_log (const HzbMachines *machines, const HzbJobs *jobs, const HzbDispatch *dispatch,
                            const HzbSettings *settings);
