/**
 * @file
 * SECTION: shard-leases
 * Shards leased to other controllers, the leader's side.
 *
 * leaseholder.h is the other side. README.md explains the protocol between them.
 */
#pragma once
#include "cancellations.h"
#include "dispatch.h"
#include "election.h"
#include "http-request.h"
#include "machines.h"
#include "node.h"
#include "ownership.h"
#include "records.h"

/** HzbShardLeases: the leader's view of all leaseholders. It exists on every node, and is used while the node leads. */
typedef struct _HzbShardLeases HzbShardLeases;

/** HzbShardLeasesDependencies: what the module works with; none of it is owned, and all of it outlives the module. */
typedef struct
{
  HzbNode *node;                   /**< this node: its settings and its clock */
  HzbElection *election;           /**< whether the node leads, and its term */
  HzbOwnership *ownership;         /**< whether the leader has read its records */
  HzbCancellations *cancellations; /**< answers its part of each poll */
  HzbJobs *jobs;                   /**< jobs and tasks; also the leader's own shard */
  HzbMachines *machines;           /**< all machines, those of leased shards included */
  HzbDispatch *dispatch;           /**< what a team may use, and how late the leader's timers fire */
  HzbRecords *records;             /**< makes results durable */
  const gboolean
      *leasing_enabled; /**< FALSE: no machine is leased, and leased ones are recalled; an operator sets it */
} HzbShardLeasesDependencies;

/** hzb_shard_leases_new: Returns: (transfer full): without leaseholders; dependencies is copied */
HzbShardLeases *hzb_shard_leases_new (const HzbShardLeasesDependencies *dependencies);

/** hzb_shard_leases_free: frees the module; the machines and tasks stay as they are. */
void hzb_shard_leases_free (HzbShardLeases *shard_leases);

/** hzb_shard_leases_reset: forgets all leaseholders; called when leadership begins. */
void hzb_shard_leases_reset (HzbShardLeases *shard_leases);

/** hzb_shard_leases_tick: reclaims the shards of leaseholders that stopped polling. */
void hzb_shard_leases_tick (HzbShardLeases *shard_leases, struct timespec now);

/**
 * hzb_shard_leases_handle_poll: answers the poll root of a leaseholder. The answer has status 503 while this node does not lead or
 * has not read its records, and if the poll names no known node or no process.
 */
void hzb_shard_leases_handle_poll (HzbShardLeases *shard_leases, HzbHttpRequest *http_request, const cJSON *root);

/**
 * hzb_shard_leases_lease_idle: a machine without tasks has sent a heartbeat: leases it if a shard is smaller than the leader's.
 *
 * Returns: (transfer none) (nullable): the node that it is leased to now
 */
const char *hzb_shard_leases_lease_idle (HzbShardLeases *shard_leases, HzbMachine *machine);

/**
 * hzb_shard_leases_hand_over: a machine with tasks has just sent a heartbeat: leases it with its tasks if the leader is overloaded.
 *
 * Returns: (transfer none) (nullable): the node that has it from now on
 */
const char *hzb_shard_leases_hand_over (HzbShardLeases *shard_leases, HzbMachine *machine);

/** hzb_shard_leases_leaseholder_name: Returns: (transfer none) (nullable): the node that the machine is leased to */
const char *hzb_shard_leases_leaseholder_name (HzbShardLeases *shard_leases, const HzbMachine *machine);

/** hzb_job_is_delegable: Returns: whether the job may run in any shard */
gboolean hzb_job_is_delegable (const HzbJob *job);

/** hzb_shard_leases_next_fencing_token: Returns: a fencing token of this term that was never used before */
guint64 hzb_shard_leases_next_fencing_token (HzbShardLeases *shard_leases);

/** hzb_shard_leases_announce_durable: a task that a leaseholder has finished is durable; its worker may forget it. */
void hzb_shard_leases_announce_durable (HzbShardLeases *shard_leases, HzbTask *task);

/** hzb_shard_leases_announce_cancellation: queues the cancellation for every leaseholder, once for each job. */
void hzb_shard_leases_announce_cancellation (HzbShardLeases *shard_leases, HzbJob *job);

/**
 * hzb_shard_leases_all_acknowledged: Returns: whether every leaseholder to which a task of this cancelled job is delegated has
 * acknowledged the cancellation
 */
gboolean hzb_shard_leases_all_acknowledged (HzbShardLeases *shard_leases, const HzbJob *job);

/** hzb_shard_leases_encode_status: Returns: (transfer full): all shards, the leader's own first, as the administration API shows them */
cJSON *hzb_shard_leases_encode_status (HzbShardLeases *shard_leases);
