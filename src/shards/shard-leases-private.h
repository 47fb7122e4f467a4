/**
 * SECTION: shard-leases-private
 * @short_description: what the leader's side of leased shards shares among its files
 *
 * shard-leases.c exchanges messages with leaseholders, shard-machines.c decides which machine is in whose shard, and
 * shard-delegation.c which tasks go there.
 */
#pragma once
#include "outbox.h"
#include "settings.h"
#include "shard-leases.h"
#include "shard-messages.h"

/** HzbLeaseholderView: the leader's view of one leaseholder. */
typedef struct
{
  HzbShardLeases *shard_leases;
  guint8 id; /* 1 and up, the peer's place in the settings */
  const HzbPeer *peer;
  char *incarnation;
  guint64 fencing_token; /* 0: holds no shard */
  struct timespec requests, steady_since;
  HzbOutbox out;
  guint64 acknowledged; /* it has taken the messages up to this number */
  guint64 in_number;
  GHashTable *running, *leaving; /* uid -> count, as it last said */
  double ran_s;                  /* of the task that the event at hand is about */
  gboolean holds;
  GPtrArray *kinds; /* as of the last scan: one HzbMachine of each kind in its shard */
} HzbLeaseholderView;

/* HzbShardLeases: */
struct _HzbShardLeases
{
  HzbController *controller;
  GArray *leaseholders; /* HzbLeaseholderView */
  guint fencing_tokens; /* numbers used in this term */
  struct timespec next_hand_over;
  double *cpus; /* of each shard, the leader's own first; as of the last scan, and of what was leased since */
  /* Of the last scan: */
  struct timespec scanned_at;
  guint generation;                /* of the machines: later removals make kinds stale */
  gboolean gang_waits;             /* a gang needs machines of all shards */
  gboolean only_leader_work_waits; /* what waits may run in the leader's shard only */
};

/** hzb_shard_leases_leaseholder: Returns: (nullable): the leaseholder of this number; 0 is the leader itself */
static inline HzbLeaseholderView *
hzb_shard_leases_leaseholder (HzbShardLeases *shard_leases, guint8 id)
{
  return id ? &g_array_index (shard_leases->leaseholders, HzbLeaseholderView, id - 1) : NULL;
}

/**
 * hzb_shards_scan: looks at all machines and jobs, unless that was done a moment ago: which shard has how many CPUs and which
 * kinds of machines, what leaseholders have to be told of machines that are theirs, or are asked back.
 */
void hzb_shards_scan (HzbShardLeases *shard_leases, struct timespec now);

/** hzb_shards_delegate: moves unstarted tasks to a leaseholder that has room for so many CPUs' worth. */
void hzb_shards_delegate (HzbShardLeases *shard_leases, HzbLeaseholderView *leaseholder, double room_cpus,
                          struct timespec now);

/** hzb_shards_recall_for_service: asks a machine back whose work keeps a service of the same team from starting. */
void hzb_shards_recall_for_service (HzbShardLeases *shard_leases, const HzbLeaseholderView *leaseholder);
