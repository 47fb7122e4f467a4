/**
 * SECTION: block-leases-private
 * @short_description: what the leader's side of leased blocks shares among its files
 *
 * block-leases.c exchanges messages with lessees, block-machines.c decides which machine is in whose block, and
 * block-delegation.c which tasks go there.
 */
#pragma once
#include "block-leases.h"
#include "block-messages.h"
#include "outbox.h"
#include "settings.h"

/** HzbLesseeView: the leader's view of one lessee. */
typedef struct
{
  HzbLeases *leases;
  guint8 id; /* 1 and up, the peer's place in the settings */
  const HzbPeer *peer;
  char *incarnation;
  guint64 token; /* 0: holds no block */
  struct timespec requests, steady_since;
  HzbOutbox out;
  guint64 acknowledged; /* it has taken the messages up to this number */
  guint64 in_number;
  GHashTable *running, *leaving; /* uid -> count, as it last said */
  double ran_s;                  /* of the task that the event at hand is about */
  gboolean holds;
  GPtrArray *kinds; /* as of the last survey: one HzbMachine of each kind in its block */
} HzbLesseeView;

/* HzbLeases: */
struct _HzbLeases
{
  HzbController *controller;
  GArray *lessees; /* HzbLesseeView */
  guint tokens;    /* numbers used in this term */
  struct timespec next_hand_over;
  double *cpus; /* of each block, the leader's own first; as of the last survey, and of what was leased since */
  /* Of the last survey: */
  struct timespec surveyed;
  guint generation;                /* of the machines: later removals make kinds stale */
  gboolean gang_waits;             /* a gang needs machines of all blocks */
  gboolean only_leader_work_waits; /* what waits may run in the leader's block only */
};

/** hzb_leases_lessee: Returns: (nullable): the lessee of this number; 0 is the leader itself */
static inline HzbLesseeView *
hzb_leases_lessee (HzbLeases *leases, guint8 id)
{
  return id ? &g_array_index (leases->lessees, HzbLesseeView, id - 1) : NULL;
}

/**
 * hzb_blocks_survey: looks at all machines and jobs, unless that was done a moment ago: which block has how many CPUs and which
 * kinds of machines, what lessees have to be told of machines that are theirs, or are asked back.
 */
void hzb_blocks_survey (HzbLeases *leases, struct timespec now);

/** hzb_blocks_delegate: moves unstarted tasks to a lessee that has room for so many CPUs' worth. */
void hzb_blocks_delegate (HzbLeases *leases, HzbLesseeView *lessee, double room_cpus, struct timespec now);

/** hzb_blocks_recall_for_service: asks a machine back whose work keeps a service of the same team from starting. */
void hzb_blocks_recall_for_service (HzbLeases *leases, const HzbLesseeView *lessee);
