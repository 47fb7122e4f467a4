/**
 * SECTION: ownership
 * @short_description: whether this node owns a shard, as leader or as leaseholder
 *
 * The state machine of a node's ownership. Each ownership has an epoch of its own, so that an answer to a request of an earlier
 * one can be dropped. hzb_ownership_set_state() is the one function that changes the state; the controller calls it.
 */
#pragma once
#include "clock.h"

typedef enum
{
  HZB_OWNERSHIP_NONE,
  HZB_OWNERSHIP_LEASEHOLDER, /* holds a shard that the leader leased to it */
  HZB_OWNERSHIP_LOADING,     /* elected; reads progress and machines */
  HZB_OWNERSHIP_RECOVERING,  /* some machines have not answered under the leader's term */
  HZB_OWNERSHIP_READY,
  HZB_OWNERSHIP_N_STATES
} HzbOwnershipState;

typedef struct _HzbOwnership HzbOwnership;

/** hzb_ownership_new: Returns: (transfer full): owning nothing */
HzbOwnership *hzb_ownership_new (HzbClock *clock);

void hzb_ownership_free (HzbOwnership *ownership);

HzbOwnershipState hzb_ownership_state (const HzbOwnership *ownership);

/** hzb_ownership_is_leaseholder: this node decides about a shard that the leader leased to it. */
gboolean hzb_ownership_is_leaseholder (const HzbOwnership *ownership);

/** hzb_ownership_leader_loaded: this node was elected and has read the records of the leader before. */
gboolean hzb_ownership_leader_loaded (const HzbOwnership *ownership);

/** hzb_ownership_epoch: raised whenever an ownership begins or ends. */
guint64 hzb_ownership_epoch (const HzbOwnership *ownership);

/** hzb_ownership_since: when this node began to decide, as leaseholder or once the leader's records had been read. */
struct timespec hzb_ownership_since (const HzbOwnership *ownership);

/**
 * hzb_ownership_begin_epoch: from now on answers to requests of before are dropped. Called before each change that begins or
 * ends an ownership.
 */
void hzb_ownership_begin_epoch (HzbOwnership *ownership);

/** hzb_ownership_set_state: Returns: FALSE if the change is not allowed; it is logged, and nothing changes */
gboolean hzb_ownership_set_state (HzbOwnership *ownership, HzbOwnershipState to, const char *why);

/** HzbEpochCall: a request in flight, with the epoch in which it was sent. Freed with g_free(). */
typedef struct
{
  const HzbOwnership *ownership;
  guint64 epoch;
  gpointer module; /* (not owned): the sender */
  gpointer data;   /* the sender's */
} HzbEpochCall;

/** hzb_epoch_call_init: for a call that is part of a larger one. */
void hzb_epoch_call_init (HzbEpochCall *call, const HzbOwnership *ownership, gpointer module, gpointer data);

/** hzb_epoch_call_new: Returns: (transfer full) */
HzbEpochCall *hzb_epoch_call_new (const HzbOwnership *ownership, gpointer module, gpointer data);

/** hzb_epoch_call_is_current: the ownership in which it was sent still lasts. */
gboolean hzb_epoch_call_is_current (const HzbEpochCall *call);
