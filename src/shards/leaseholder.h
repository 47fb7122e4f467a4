/**
 * @file
 * SECTION: leaseholder
 * The shard that the leader has leased to this node.
 *
 * shard-leases.h is the other side. README.md explains the protocol between them.
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

/** HzbLeaseholder: this node as a leaseholder, or as one that asks the leader for a shard. */
typedef struct _HzbLeaseholder HzbLeaseholder;

/** HzbLeaseholderDependencies: what the module works with; none of it is owned, and all of it outlives the module. */
typedef struct
{
  HzbNode *node;                   /**< this node: its settings, its clock and its transport */
  HzbElection *election;           /**< who leads */
  HzbOwnership *ownership;         /**< whether this node holds a shard */
  HzbKvReplica *kv_replica;        /**< whether this node follows the records */
  HzbPeers *peers;                 /**< begins each poll */
  HzbCancellations *cancellations; /**< has a part in each poll and answer */
  HzbJobs *jobs;                   /**< jobs and tasks; also the shard that is held */
  HzbMachines *machines;           /**< the machines of the shard */
  HzbDispatch *dispatch;           /**< places tasks once they have come */
} HzbLeaseholderDependencies;

/** HzbLeaseholderCallbacks: calls upwards, to what puts this node together. */
typedef struct
{
  /** The leader leases a shard with this fencing token to this node: makes the node a leaseholder. */
  void (*begin_lease) (guint64 fencing_token, gpointer user);
  /** The shard lease has ended: makes the node a leaseholder no more; why is for the log. */
  void (*end_lease) (const char *why, gpointer user);
  gpointer user; /**< (not owned): passed to each callback */
} HzbLeaseholderCallbacks;

/** hzb_leaseholder_new: Returns: (transfer full): without a shard; dependencies and callbacks are copied */
HzbLeaseholder *
hzb_leaseholder_new (const HzbLeaseholderDependencies *dependencies, const HzbLeaseholderCallbacks *callbacks);

/** hzb_leaseholder_free: frees the module; the machines and tasks of the shard stay as they are. */
void hzb_leaseholder_free (HzbLeaseholder *leaseholder);

/** hzb_leaseholder_tick: polls the leader, returns what is not needed, and ends the lease when it has expired. */
void hzb_leaseholder_tick (HzbLeaseholder *leaseholder, struct timespec now);

/** hzb_leaseholder_clear: drops all that waits for the leader; called when this node becomes a leaseholder, and stops being one. */
void hzb_leaseholder_clear (HzbLeaseholder *leaseholder);

/** hzb_leaseholder_valid: Returns: whether this node holds a shard whose lease has not expired */
gboolean hzb_leaseholder_valid (HzbLeaseholder *leaseholder);

/** hzb_leaseholder_poll_soon: something waits for the leader's answer: the next poll is brought forward. */
void hzb_leaseholder_poll_soon (HzbLeaseholder *leaseholder);

/** hzb_leaseholder_report_finished: queues the task's result for the leader, which makes it durable; it ran for ran_s seconds. */
void hzb_leaseholder_report_finished (HzbLeaseholder *leaseholder, const HzbTask *task, double ran_s);

/**
 * hzb_leaseholder_return_machine: removes the machine from this shard, and queues the return for the leader with the names of all
 * tasks that may be on it.
 *
 * why goes over the wire.
 */
void hzb_leaseholder_return_machine (HzbLeaseholder *leaseholder, HzbMachine *machine, const char *why);
