/**
 * SECTION: shard-leases
 * @short_description: shards leased to other controllers, the leader's side
 *
 * leaseholder.h is the other side. shard-leases.c explains the protocol.
 */
#pragma once
#include "http-request.h"
#include "machines.h"

typedef struct _HzbController HzbController;
typedef struct _HzbShardLeases HzbShardLeases;

HzbShardLeases *hzb_shard_leases_new (HzbController *controller);
void hzb_shard_leases_free (HzbShardLeases *shard_leases);

/** hzb_shard_leases_reset: forgets all leaseholders; called when leadership begins or ends. */
void hzb_shard_leases_reset (HzbShardLeases *shard_leases);

/** hzb_shard_leases_tick: reclaims the shards of leaseholders that stopped polling. */
void hzb_shard_leases_tick (HzbShardLeases *shard_leases, struct timespec now);

/** hzb_shard_leases_request: answers the poll of a leaseholder. */
void hzb_shard_leases_request (HzbShardLeases *shard_leases, HzbHttpRequest *http_request, const cJSON *root);

/** hzb_shard_leases_lease_idle: a machine without tasks has reported. Returns: (nullable): the node that it is leased to now. */
const char *hzb_shard_leases_lease_idle (HzbShardLeases *shard_leases, HzbMachine *machine);

/** hzb_shard_leases_hand_over: a machine with tasks has just reported. Returns: (nullable): the node that has it from now on. */
const char *hzb_shard_leases_hand_over (HzbShardLeases *shard_leases, HzbMachine *machine);

/** hzb_shard_leases_leaseholder_name: Returns: (nullable): the node that the machine is leased to. */
const char *hzb_shard_leases_leaseholder_name (HzbShardLeases *shard_leases, const HzbMachine *machine);

/** hzb_job_is_delegable: it may run in any shard. */
gboolean hzb_job_is_delegable (const HzbJob *job);

/** hzb_shard_leases_next_fencing_token: a fencing token of this term that was never used before. */
guint64 hzb_shard_leases_next_fencing_token (HzbShardLeases *shard_leases);

/** hzb_shard_leases_announce_durable: a task that a leaseholder has finished is durable; its worker may forget it. */
void hzb_shard_leases_announce_durable (HzbShardLeases *shard_leases, HzbTask *task);

/** hzb_shard_leases_announce_cancellation: queues the news for every leaseholder, once for each job. */
void hzb_shard_leases_announce_cancellation (HzbShardLeases *shard_leases, HzbJob *job);

/** hzb_shard_leases_all_acknowledged: every leaseholder that was delegated a task of this cancelled job has acknowledged the news. */
gboolean hzb_shard_leases_all_acknowledged (HzbShardLeases *shard_leases, const HzbJob *job);

/** hzb_shard_leases_pack: all shards, for the administration API. Returns: (transfer full) */
cJSON *hzb_shard_leases_pack (HzbShardLeases *shard_leases);
