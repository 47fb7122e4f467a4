/**
 * SECTION: block-leases
 * @short_description: blocks leased to other controllers, the leader's side
 *
 * lessee.h is the other side. block-leases.c explains the protocol.
 */
#pragma once
#include "http.h"
#include "machines.h"

typedef struct _HzbController HzbController;
typedef struct _HzbLeases HzbLeases;

HzbLeases *hzb_leases_new (HzbController *controller);
void hzb_leases_free (HzbLeases *leases);

/** hzb_leases_reset: forgets all lessees; called when leadership begins or ends. */
void hzb_leases_reset (HzbLeases *leases);

/** hzb_leases_tick: reclaims the blocks of lessees that stopped polling. */
void hzb_leases_tick (HzbLeases *leases, struct timespec now);

/** hzb_leases_request: answers the poll of a lessee. */
void hzb_leases_request (HzbLeases *leases, HzbExchange *exchange, const cJSON *root);

/** hzb_leases_lease_idle: a machine without tasks has reported. Returns: (nullable): the node that it is leased to now. */
const char *hzb_leases_lease_idle (HzbLeases *leases, HzbMachine *machine);

/** hzb_leases_hand_over: a machine with tasks has just reported. Returns: (nullable): the node that has it from now on. */
const char *hzb_leases_hand_over (HzbLeases *leases, HzbMachine *machine);

/** hzb_leases_lessee_name: Returns: (nullable): the node that the machine is leased to. */
const char *hzb_leases_lessee_name (HzbLeases *leases, const HzbMachine *machine);

/** hzb_job_is_delegable: it may run in any block. */
gboolean hzb_job_is_delegable (const HzbJob *job);

/** hzb_leases_next_token: a token of this term that was never used before. */
guint64 hzb_leases_next_token (HzbLeases *leases);

/** hzb_leases_announce_durable: a task that a lessee has finished is durable; its worker may forget it. */
void hzb_leases_announce_durable (HzbLeases *leases, HzbTask *task);

/** hzb_leases_announce_cancellation: queues the news for every lessee, once for each job. */
void hzb_leases_announce_cancellation (HzbLeases *leases, HzbJob *job);

/** hzb_leases_all_acknowledged: every lessee that was delegated a task of this cancelled job has acknowledged the news. */
gboolean hzb_leases_all_acknowledged (HzbLeases *leases, const HzbJob *job);

/** hzb_leases_pack: all blocks, for the administration API. Returns: (transfer full) */
cJSON *hzb_leases_pack (HzbLeases *leases);
