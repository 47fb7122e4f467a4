/**
 * @file
 * SECTION: machine-codec
 *
 * The record of a machine in the key-value store.
 */
#pragma once
#include "machine.h"

#include <cjson/cJSON.h>

/**
 * hzb_machine_record_encode: the entry of a machine on the leader's page of machines.
 * `wall`: now, time of day
 *
 * Its address is not recorded: the worker states it in every heartbeat.
 *
 * Returns: (transfer full)
 */
cJSON *hzb_machine_record_encode (const HzbMachine *machine, struct timespec wall);
