/**
 * SECTION: lessee
 * @short_description: the shard that the leader has leased to this node
 */
#pragma once
#include "machines.h"

typedef struct _HzbController HzbController;
typedef struct _HzbLessee HzbLessee;

HzbLessee *hzb_lessee_new (HzbController *controller);
void hzb_lessee_free (HzbLessee *lessee);

/** hzb_lessee_tick: polls the leader, returns what is not needed, and lets the shard go when the lease is over. */
void hzb_lessee_tick (HzbLessee *lessee, struct timespec now);

/** hzb_lessee_clear: called when ownership as a lessee begins or ends. */
void hzb_lessee_clear (HzbLessee *lessee);

/** hzb_lessee_valid: the lease has not run out. */
gboolean hzb_lessee_valid (HzbLessee *lessee);

/** hzb_lessee_poll_soon: something waits for the leader's answer. */
void hzb_lessee_poll_soon (HzbLessee *lessee);

/** hzb_lessee_report_finished: queues the result for the leader, which makes it durable. */
void hzb_lessee_report_finished (HzbLessee *lessee, const HzbTask *task, double ran_s);

/** hzb_lessee_return_machine: the machine leaves this shard, with the names of all tasks that may be on it. */
void hzb_lessee_return_machine (HzbLessee *lessee, HzbMachine *machine, const char *why);
