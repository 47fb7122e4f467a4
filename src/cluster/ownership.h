/**
 * SECTION: ownership
 * @short_description: whether this controller owns a shard, as leader or as leaseholder
 *
 * The state machine of a controller's ownership. hzb_ownership_set_state() is the one function that changes the state;
 * only the controller calls it. Each ownership has an epoch of its own, so that an answer to a request of an earlier
 * ownership is recognised and dropped: see #HzbEpochCall.
 */
#pragma once
#include "clock.h"

/**
 * HzbOwnershipState: what this controller owns. The states of the leader come last, in the order in which it goes
 * through them.
 */
typedef enum
{
  HZB_OWNERSHIP_NONE,        /**< no shard */
  HZB_OWNERSHIP_LEASEHOLDER, /**< a shard that the leader leased to this controller */
  HZB_OWNERSHIP_LOADING,     /**< elected; reads the records of progress and machines */
  HZB_OWNERSHIP_RECOVERING,  /**< leader; some machines have not answered under its term yet */
  HZB_OWNERSHIP_READY,       /**< leader; every machine on record has answered under its term, or is gone */
  HZB_OWNERSHIP_N_STATES     /**< how many states there are */
} HzbOwnershipState;

/** HzbOwnership: opaque. */
typedef struct _HzbOwnership HzbOwnership;

/**
 * hzb_ownership_new: owning nothing, in epoch 0. The clock is not owned.
 *
 * Returns: (transfer full)
 */
HzbOwnership *hzb_ownership_new (HzbClock *clock);

/** hzb_ownership_free: no #HzbEpochCall of it may be in flight. */
void hzb_ownership_free (HzbOwnership *ownership);

/** hzb_ownership_state: Returns: the state now */
HzbOwnershipState hzb_ownership_state (const HzbOwnership *ownership);

/** hzb_ownership_is_leaseholder: this controller decides about a shard that the leader leased to it. */
gboolean hzb_ownership_is_leaseholder (const HzbOwnership *ownership);

/** hzb_ownership_leader_loaded: this controller was elected, and has read the records of the leader before. */
gboolean hzb_ownership_leader_loaded (const HzbOwnership *ownership);

/** hzb_ownership_epoch: Returns: a number that rises whenever an ownership begins or ends */
guint64 hzb_ownership_epoch (const HzbOwnership *ownership);

/**
 * hzb_ownership_since:
 *
 * Returns: when this controller began to decide: as leaseholder, or once it had read the leader's records
 */
struct timespec hzb_ownership_since (const HzbOwnership *ownership);

/**
 * hzb_ownership_begin_epoch: from now on, answers to earlier requests are dropped. To be called before each change of
 * state that begins or ends an ownership.
 */
void hzb_ownership_begin_epoch (HzbOwnership *ownership);

/** hzb_ownership_set_state: Returns: FALSE if the change is not allowed; it is logged then, and the state remains */
gboolean hzb_ownership_set_state (HzbOwnership *ownership, HzbOwnershipState to, const char *why);

/** HzbEpochCall: a request in flight, with the epoch in which it was sent. Freed with g_free(). */
typedef struct
{
  const HzbOwnership *ownership; /**< (not owned) */
  guint64 epoch;                 /**< in which the request was sent */
  gpointer module;               /**< (not owned): the module that sent the request */
  gpointer data;                 /**< (nullable): whatever the module needs with the answer */
} HzbEpochCall;

/** hzb_epoch_call_init: for an #HzbEpochCall that is a member of a larger structure. */
void hzb_epoch_call_init (HzbEpochCall *call, const HzbOwnership *ownership, gpointer module, gpointer data);

/** hzb_epoch_call_new: Returns: (transfer full): sent in the epoch of now */
HzbEpochCall *hzb_epoch_call_new (const HzbOwnership *ownership, gpointer module, gpointer data);

/**
 * hzb_epoch_call_is_current: the ownership in which the request was sent still lasts. If not, the answer must be
 * dropped.
 */
gboolean hzb_epoch_call_is_current (const HzbEpochCall *call);
