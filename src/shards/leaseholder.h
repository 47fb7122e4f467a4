/**
 * SECTION: leaseholder
 * @short_description: the shard that the leader has leased to this node
 */
#pragma once
#include "machines.h"

typedef struct _HzbController HzbController;
typedef struct _HzbLeaseholder HzbLeaseholder;

HzbLeaseholder *hzb_leaseholder_new (HzbController *controller);
void hzb_leaseholder_free (HzbLeaseholder *leaseholder);

/** hzb_leaseholder_tick: polls the leader, returns what is not needed, and lets the shard go when the lease is over. */
void hzb_leaseholder_tick (HzbLeaseholder *leaseholder, struct timespec now);

/** hzb_leaseholder_clear: called when ownership as a leaseholder begins or ends. */
void hzb_leaseholder_clear (HzbLeaseholder *leaseholder);

/** hzb_leaseholder_valid: the lease has not run out. */
gboolean hzb_leaseholder_valid (HzbLeaseholder *leaseholder);

/** hzb_leaseholder_poll_soon: something waits for the leader's answer. */
void hzb_leaseholder_poll_soon (HzbLeaseholder *leaseholder);

/** hzb_leaseholder_report_finished: queues the result for the leader, which makes it durable. */
void hzb_leaseholder_report_finished (HzbLeaseholder *leaseholder, const HzbTask *task, double ran_s);

/** hzb_leaseholder_return_machine: the machine leaves this shard, with the names of all tasks that may be on it. */
void hzb_leaseholder_return_machine (HzbLeaseholder *leaseholder, HzbMachine *machine, const char *why);
