/**
 * @file
 * SECTION: leaseholder
 * The leaseholder side of leased shards: polls the leader, and holds the shard that the leader has leased to this node.
 *
 * shard-leases.h is the leader's side. README.md explains the protocol between them.
 */
#pragma once
#include "cancellations.h"
#include "dispatch.h"
#include "election.h"
#include "kv-replica.h"
#include "machines.h"
#include "node.h"
#include "ownership.h"
#include "peers.h"

/** HzbLeaseholder: the state of a node that holds a leased shard, or polls the leader for one. */
typedef struct _HzbLeaseholder HzbLeaseholder;

/**
 * HzbLeaseholderDependencies: the modules that a leaseholder uses; none is owned, and each outlives the leaseholder.
 */
typedef struct
{
  HzbNode *node;            /**< this node: its settings, its clock and its transport */
  HzbElection *election;    /**< the known leader and its term */
  HzbOwnership *ownership;  /**< whether this node holds a shard */
  HzbKvReplica *kv_replica; /**< whether this node's replica of the records is up to date */
  HzbPeers *peers;          /**< creates the message of each poll, with the identity of this process and its number */
  HzbCancellations *cancellations; /**< which cancellations a poll asks the leader to acknowledge; applies the answer */
  HzbJobs *jobs;                   /**< jobs and tasks; HzbJobs.shard is the leased shard */
  HzbMachines *machines;           /**< the machines of the shard */
  HzbDispatch *dispatch;           /**< places tasks that the leader has delegated */
} HzbLeaseholderDependencies;

/** HzbLeaseholderCallbacks: callbacks to the controller that owns the leaseholder. */
typedef struct
{
  /** Called when the leader leases a shard with this fencing token to this node; makes the node a leaseholder. */
  void (*begin_lease) (guint64 fencing_token, gpointer user);
  /** Called when the lease of the shard must end; makes the node stop being a leaseholder, and logs the reason. */
  void (*end_lease) (const char *reason, gpointer user);
  gpointer user; /**< (not owned): user data of each callback */
} HzbLeaseholderCallbacks;

/**
 * hzb_leaseholder_new: Returns: (transfer full): a leaseholder without a shard; dependencies and callbacks are copied
 */
HzbLeaseholder *
hzb_leaseholder_new (const HzbLeaseholderDependencies *dependencies, const HzbLeaseholderCallbacks *callbacks);

/** hzb_leaseholder_free: frees the leaseholder; the machines and tasks of the shard are not changed. */
void hzb_leaseholder_free (HzbLeaseholder *leaseholder);

/**
 * hzb_leaseholder_tick: polls the leader when a poll is due. Returns machines that this node does not need or cannot
 * use, and tasks that have not started in time. Ends the lease when it has expired, when the leader's term has changed,
 * or when the leader has not answered for LEADER_RESPONSE_TIMEOUT_S (leaseholder.c).
 */
void hzb_leaseholder_tick (HzbLeaseholder *leaseholder, struct timespec now);

/**
 * hzb_leaseholder_clear: drops all events for the leader that it has not acknowledged. Afterwards the next event has
 * number 1, and the next batch from the leader (#HzbShardBatch) is expected to have number 1. Called when this node
 * becomes a leaseholder and when it stops being one.
 */
void hzb_leaseholder_clear (HzbLeaseholder *leaseholder);

/** hzb_leaseholder_lease_valid: Returns: whether this node holds a shard whose lease has not expired */
gboolean hzb_leaseholder_lease_valid (HzbLeaseholder *leaseholder);

/**
 * hzb_leaseholder_poll_soon: shortens the interval between the last poll and the next one to POLL_SOON_INTERVAL_S
 * (leaseholder-poll.c), because a module waits for the leader's answer.
 */
void hzb_leaseholder_poll_soon (HzbLeaseholder *leaseholder);

/**
 * hzb_leaseholder_report_finished: queues an event for the leader: the task has succeeded, after a run time of ran_s
 * seconds. The leader makes this result durable.
 */
void hzb_leaseholder_report_finished (HzbLeaseholder *leaseholder, const HzbTask *task, double ran_s);

/**
 * hzb_leaseholder_return_machine: removes the machine from this shard, and queues its return for the leader. The return
 * names all tasks that may be on the machine. Frees the HzbMachine, so the caller must not use the machine afterwards.
 *
 * The reason is sent to the leader, which logs it.
 */
void hzb_leaseholder_return_machine (HzbLeaseholder *leaseholder, HzbMachine *machine, const char *reason);
