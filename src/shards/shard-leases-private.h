/**
 * @file
 * SECTION: shard-leases-private
 * The state and the functions that are shared by the files of the leader's side of leased shards.
 *
 * shard-leases.c keeps the leaseholders and reclaims shards, shard-requests.c answers polls, shard-events.c applies the
 * events that leaseholders report, shard-machines.c assigns machines to shards, and shard-delegation.c delegates tasks
 * to leaseholders.
 */
#pragma once
#include "settings.h"
#include "shard-leases.h"
#include "shard-poll-messages.h"

/**
 * HZB_SHARDS_POLL_TIMEOUT_S: the leader reclaims a shard when its leaseholder has not polled for this number of
 * seconds. The node must then poll without interruption for MIN_STEADY_POLLING_S (shard-machines.c) before the leader
 * leases machines to it again.
 */
#define HZB_SHARDS_POLL_TIMEOUT_S 4.0

/** HzbLeaseholderView: the leader's view of one other node, which may hold a leased shard. */
typedef struct
{
  HzbShardLeases *shard_leases;    /**< (not owned): the object that owns this view */
  guint8 id;                       /**< from 1 on: the position of the peer in the settings */
  const HzbPeer *peer;             /**< (not owned): name and address of the node */
  char *incarnation;               /**< (nullable): the process that polled last; NULL: none has polled in this term */
  guint64 fencing_token;           /**< fencing token of the shard that is leased to the node; 0: none */
  gboolean lease_confirmed;        /**< the node has polled with that fencing token, so it holds the shard */
  struct timespec last_poll;       /**< when the node last polled; unset: not in this term */
  struct timespec steady_since;    /**< the start of the node's polling without interruption */
  HzbOutbox batches;               /**< (element-type HzbShardBatch): the batches that the node has not acknowledged */
  guint64 last_batch_acknowledged; /**< number of the last batch that the node has acknowledged; 0: none */
  guint64 last_event_applied;      /**< number of the node's last event that was applied; 0: none */
  GHashTable *running_counts;      /**< job uid -> number of tasks that run in the shard, as of the last poll */
  GHashTable *recalled_counts; /**< job uid -> number of tasks on recalled machines of the shard, as of the last poll */
  /**
   * (element-type HzbMachine) (elements not owned): one machine of the shard for each combination of machine type, zone
   * and spot flag, as of the last scan. Recalled machines are left out.
   */
  GPtrArray *machine_kinds;
} HzbLeaseholderView;

/**
 * _HzbShardLeases: the leader's view of all leaseholders. All members except dependencies, leaseholders and
 * next_hand_over belong to the current term.
 */
struct _HzbShardLeases
{
  HzbShardLeasesDependencies dependencies; /**< the modules that shard leases use */
  GPtrArray *leaseholders;                 /**< (element-type HzbLeaseholderView): in the order of their ids */
  guint fencing_token_count;               /**< how many fencing tokens were created in this term */
  struct timespec next_hand_over; /**< the earliest time at which the leader may lease a machine with its tasks again */
  /**
   * CPUs of each shard, indexed by the id of its leaseholder; index 0 is the leader's own shard. Counted at the last
   * scan, and updated by each lease after it.
   */
  double *shard_cpus;
  struct timespec scanned_at; /**< when the last scan took place; unset: not in this term */
  /** HzbMachines.generation at the last scan; once HzbMachines has another, machine_kinds may have freed machines. */
  guint generation;
  gboolean gang_waiting;             /**< at the last scan a gang was waiting, which needs the machines of all shards */
  gboolean only_leader_work_waiting; /**< at the last scan all waiting tasks had to run in the leader's shard */
};

/**
 * hzb_shard_leases_leaseholder: Returns: (transfer none) (nullable): the leaseholder with this id; NULL for 0, which is
 * the leader
 */
static inline HzbLeaseholderView *
hzb_shard_leases_leaseholder (const HzbShardLeases *shard_leases, guint8 id)
{
  return id ? shard_leases->leaseholders->pdata[id - 1] : NULL;
}

/** hzb_shards_push: queues batch (transfer full) for the leaseholder. */
static inline void
hzb_shards_push (HzbLeaseholderView *leaseholder, HzbShardBatch *batch)
{
  hzb_outbox_push (&leaseholder->batches, &batch->message);
}

/** hzb_shards_is_delegated_to: Returns: whether the task is delegated to the leaseholder */
static inline gboolean
hzb_shards_is_delegated_to (const HzbTask *task, const HzbLeaseholderView *leaseholder)
{
  return task->state == HZB_TASK_DELEGATED && task->leaseholder == leaseholder->id;
}

/** hzb_shards_is_leased_to: Returns: whether the machine is in the leaseholder's shard */
static inline gboolean
hzb_shards_is_leased_to (const HzbMachine *machine, const HzbLeaseholderView *leaseholder)
{
  return machine->state == HZB_MACHINE_LEASED && machine->leaseholder == leaseholder->id;
}

/**
 * hzb_shards_reclaim: reclaims the leaseholder's shard. Each machine of the shard becomes unverified: it gets a new,
 * higher fencing token, and must send a heartbeat under this token before it gets work. Each task that is delegated to
 * the leaseholder becomes unconfirmed: it may still run on a machine of the shard. The reason is logged.
 */
void hzb_shards_reclaim (HzbLeaseholderView *leaseholder, const char *reason);

/** hzb_shards_apply_event: applies an event of the leaseholder; the caller checks that events come in order. */
void hzb_shards_apply_event (HzbLeaseholderView *leaseholder, const HzbShardEvent *event);

/**
 * hzb_shards_apply_counts: stores the poll's numbers of tasks by job: those that run, and those on recalled machines.
 */
void hzb_shards_apply_counts (HzbLeaseholderView *leaseholder, const HzbShardPoll *poll);

/**
 * hzb_shards_clear_counts: resets the leaseholder's numbers of running tasks and of tasks on recalled machines to 0.
 */
void hzb_shards_clear_counts (HzbLeaseholderView *leaseholder);

/**
 * hzb_shards_scan: examines all machines and jobs, unless the last scan is more recent than
 * hzb_machines_scan_interval_s() and no machine was removed since. Counts the CPUs of each shard, collects its kinds of
 * machines, sends the lease of each leased machine whose record is durable to its leaseholder, and recalls machines.
 */
void hzb_shards_scan (HzbShardLeases *shard_leases, struct timespec now);

/** hzb_shards_delegate: delegates unstarted tasks to a leaseholder, up to requested_cpus CPUs in total. */
void hzb_shards_delegate (HzbLeaseholderView *leaseholder, double requested_cpus, struct timespec now);

/**
 * hzb_shards_recall_for_service: marks one machine of the shard for recall with its tasks, if a service waits because
 * its team's quota is used by tasks that are delegated to the leaseholder.
 */
void hzb_shards_recall_for_service (const HzbLeaseholderView *leaseholder);
