/**
 * @file
 * SECTION: shard-leases
 * The leader's side of leased shards: leases machines and delegates tasks to other controllers, and reclaims their
 * shards.
 *
 * leaseholder.h is the leaseholder's side. README.md explains the protocol between them.
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

/** HzbShardLeases: the leader's view of all leaseholders. Every node has one, and uses it only while the node leads. */
typedef struct _HzbShardLeases HzbShardLeases;

/**
 * HzbShardLeasesDependencies: the modules that shard leases use; none is owned, and each outlives the HzbShardLeases.
 */
typedef struct
{
  HzbNode *node;                   /**< this node: its settings and its clock */
  HzbElection *election;           /**< whether the node leads, and its term */
  HzbOwnership *ownership;         /**< whether the leader has loaded its records */
  HzbCancellations *cancellations; /**< acknowledges the cancellations that a poll names */
  HzbJobs *jobs;                   /**< jobs and tasks; HzbJobs.shard is the leader's own shard */
  HzbMachines *machines;           /**< all machines, those of leased shards included */
  HzbDispatch *dispatch;           /**< quotas and start pacing, and how late the leader's timers fire */
  HzbRecords *records;             /**< makes results durable */
  const gboolean *leasing_enabled; /**< FALSE: no machine is leased, leased machines are recalled; set by an operator */
} HzbShardLeasesDependencies;

/**
 * hzb_shard_leases_new: Returns: (transfer full): a view of every peer in the settings, none of which holds a shard;
 * dependencies is copied
 */
HzbShardLeases *hzb_shard_leases_new (const HzbShardLeasesDependencies *dependencies);

/** hzb_shard_leases_free: frees shard_leases; the machines and tasks are not changed. */
void hzb_shard_leases_free (HzbShardLeases *shard_leases);

/** hzb_shard_leases_reset: drops the state of all leaseholders; called when the leadership of this node begins. */
void hzb_shard_leases_reset (HzbShardLeases *shard_leases);

/** hzb_shard_leases_tick: reclaims the shards of leaseholders that have stopped polling. */
void hzb_shard_leases_tick (HzbShardLeases *shard_leases, struct timespec now);

/**
 * hzb_shard_leases_handle_poll: answers a leaseholder's poll, the decoded JSON message root. The HTTP status is 503
 * while this node does not lead or has not loaded its records, and if the poll names no known node or no incarnation.
 */
void hzb_shard_leases_handle_poll (HzbShardLeases *shard_leases, HzbHttpRequest *http_request, const cJSON *root);

/**
 * hzb_shard_leases_lease_idle: leases a machine without tasks that has just sent a heartbeat, if a leaseholder's shard
 * has fewer CPUs than the leader's. A node without a shard counts as 0 CPUs.
 *
 * Returns: (transfer none) (nullable): the name of the node that the machine is leased to; NULL if it was not leased
 */
const char *hzb_shard_leases_lease_idle (HzbShardLeases *shard_leases, HzbMachine *machine);

/**
 * hzb_shard_leases_hand_over: leases a machine that has just sent a heartbeat together with its tasks, if the leader is
 * overloaded.
 *
 * Returns: (transfer none) (nullable): the name of the node that the machine is leased to; NULL if it was not handed
 * over
 */
const char *hzb_shard_leases_hand_over (HzbShardLeases *shard_leases, HzbMachine *machine);

/**
 * hzb_shard_leases_leaseholder_name: Returns: (transfer none) (nullable): the name of the node that the machine is
 * leased to; NULL if it is not leased
 */
const char *hzb_shard_leases_leaseholder_name (HzbShardLeases *shard_leases, const HzbMachine *machine);

/** hzb_job_is_delegable: Returns: whether the job is accepted and its tasks may be delegated to leaseholders */
gboolean hzb_job_is_delegable (const HzbJob *job);

/** hzb_shard_leases_next_fencing_token: Returns: a new fencing token of this term, higher than all earlier ones */
guint64 hzb_shard_leases_next_fencing_token (HzbShardLeases *shard_leases);

/**
 * hzb_shard_leases_announce_durable: queues a message to the task's leaseholder: the result of the task is durable, so
 * the worker may drop it. Clears HzbTask.leaseholder. Has no effect if the task has no leaseholder.
 */
void hzb_shard_leases_announce_durable (HzbShardLeases *shard_leases, HzbTask *task);

/**
 * hzb_shard_leases_announce_cancellation: queues the cancellation of the job for every leaseholder; repeated calls have
 * no effect.
 */
void hzb_shard_leases_announce_cancellation (HzbShardLeases *shard_leases, HzbJob *job);

/**
 * hzb_shard_leases_cancellation_acknowledged: Returns: whether every leaseholder that has a delegated task of this
 * cancelled job has acknowledged the cancellation
 */
gboolean hzb_shard_leases_cancellation_acknowledged (HzbShardLeases *shard_leases, const HzbJob *job);

/**
 * hzb_shard_leases_encode_status: Returns: (transfer full): the status of all shards for the administration API, the
 * leader's own shard first
 */
cJSON *hzb_shard_leases_encode_status (HzbShardLeases *shard_leases);
