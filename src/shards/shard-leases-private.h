/**
 * @file
 * SECTION: shard-leases-private
 * What the files of the leader's side of leased shards share.
 *
 * shard-leases.c keeps the leaseholders and reclaims shards, shard-requests.c answers polls, shard-events.c applies what
 * leaseholders report, shard-machines.c decides which machine is in whose shard, and shard-delegation.c which tasks go there.
 */
#pragma once
#include "settings.h"
#include "shard-leases.h"
#include "shard-poll-messages.h"

/**
 * HZB_SHARDS_MISSED_POLLS_S: the leader reclaims a shard when its leaseholder has not polled for so many seconds. The node then has
 * to poll steadily for a while before the leader leases it machines again.
 */
#define HZB_SHARDS_MISSED_POLLS_S 4.0

/** HzbLeaseholderView: the leader's view of one other node, which may hold a shard. */
typedef struct
{
  HzbShardLeases *shard_leases; /**< (not owned): all of them */
  guint8 id;                    /**< 1 and up: the peer's place in the settings */
  const HzbPeer *peer;          /**< (not owned): its name and address */
  char *incarnation;            /**< (nullable): the process that polled last; NULL: none has in this term */
  guint64 fencing_token;        /**< of the shard that is leased to it; 0: none is */
  gboolean holds;               /**< it has polled with that fencing token, so it knows of its shard */
  struct timespec last_poll;    /**< unset: it has not polled in this term */
  struct timespec steady_since; /**< since when it has polled without interruption */
  HzbOutbox batches;            /**< (element-type HzbShardBatch): what it has not acknowledged */
  guint64 acknowledged;         /**< it has taken the batches up to this number */
  guint64 events_taken;         /**< its events up to this number were applied */
  GHashTable *running;          /**< uid -> count: tasks that run in its shard, as of its last poll */
  GHashTable *leaving; /**< uid -> count: tasks on machines that it is about to give back, as of its last poll */
  GPtrArray *kinds;    /**< (element-type HzbMachine): one machine of each kind in its shard, as of the last scan */
} HzbLeaseholderView;

/** _HzbShardLeases: the module's state; all but modules and leaseholders is of the present term. */
struct _HzbShardLeases
{
  HzbShardLeasesDependencies modules; /**< what it works with */
  GPtrArray *leaseholders;            /**< (element-type HzbLeaseholderView), by their ids */
  guint fencing_tokens;               /**< numbers of fencing tokens that were used in this term */
  struct timespec next_hand_over;     /**< no machine is handed over with its tasks before */
  double *cpus; /**< of each shard, by id, the leader's own at 0; as of the last scan and the leases since */
  struct timespec scanned_at;      /**< unset: never in this term */
  guint generation;                /**< of the machines at the last scan; kinds is stale once it has changed */
  gboolean gang_waits;             /**< at the last scan a gang waited, which needs the machines of all shards */
  gboolean only_leader_work_waits; /**< at the last scan all that waited had to run in the leader's shard */
};

/** hzb_shard_leases_leaseholder: Returns: (transfer none) (nullable): the leaseholder of this id; NULL for 0, the leader */
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

/** hzb_shards_is_delegated_to: Returns: whether the leaseholder may run the task */
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
 * hzb_shards_reclaim: takes the leaseholder's shard back. Its machines become unverified under a higher fencing token, its
 * tasks unconfirmed.
 */
void hzb_shards_reclaim (HzbLeaseholderView *leaseholder, const char *why);

/** hzb_shards_apply_event: applies the next event of a leaseholder. */
void hzb_shards_apply_event (HzbLeaseholderView *leaseholder, const HzbShardEvent *event);

/** hzb_shards_apply_counts: takes over how many tasks of each job run in the shard, and are about to leave it. */
void hzb_shards_apply_counts (HzbLeaseholderView *leaseholder, const HzbShardPoll *poll);

/** hzb_shards_clear_counts: no task runs in the shard, or is about to leave it, any more. */
void hzb_shards_clear_counts (HzbLeaseholderView *leaseholder);

/**
 * hzb_shards_scan: examines all machines and jobs, unless that was done a moment ago: how many CPUs and which kinds of
 * machines each shard has, and which machines the leader has to send to leaseholders, or recall.
 */
void hzb_shards_scan (HzbShardLeases *shard_leases, struct timespec now);

/** hzb_shards_delegate: delegates unstarted tasks to a leaseholder that has room for room_cpus CPUs' worth. */
void hzb_shards_delegate (HzbLeaseholderView *leaseholder, double room_cpus, struct timespec now);

/**
 * hzb_shards_recall_for_service: recalls a machine if its work may be what keeps a service of the same team from
 * starting.
 */
void hzb_shards_recall_for_service (const HzbLeaseholderView *leaseholder);
