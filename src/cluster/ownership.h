/**
 * SECTION: ownership
 * @short_description: tracks whether this controller owns a shard, as leader or as leaseholder
 *
 * The state machine of a controller's ownership. hzb_ownership_set_state() is the one function that changes the state;
 * only the controller module calls it. Each ownership has an epoch, so that responses to requests of an earlier
 * ownership are recognised and dropped: see #HzbEpochCall.
 */
#pragma once
#include "clock.h"

/**
 * HzbOwnershipState: what this controller owns. The states of the leader come last, in the order in which the leader
 * passes through them.
 */
typedef enum
{
  HZB_OWNERSHIP_NONE,        /**< no shard */
  HZB_OWNERSHIP_LEASEHOLDER, /**< a shard that the leader leased to this controller */
  HZB_OWNERSHIP_LOADING,     /**< elected; reads the records of task progress and of machines */
  HZB_OWNERSHIP_RECOVERING,  /**< leader; some machines on record have not answered under its term yet */
  HZB_OWNERSHIP_READY,       /**< leader; every machine on record has answered under its term, or is gone */
  HZB_OWNERSHIP_N_STATES     /**< number of states */
} HzbOwnershipState;

/** HzbOwnership: opaque. */
typedef struct _HzbOwnership HzbOwnership;

/**
 * hzb_ownership_new: creates an ownership in state HZB_OWNERSHIP_NONE and epoch 0. The clock is not owned.
 *
 * Returns: (transfer full)
 */
HzbOwnership *hzb_ownership_new (HzbClock *clock);

/** hzb_ownership_free: frees the ownership. No #HzbEpochCall that refers to it may be in flight. */
void hzb_ownership_free (HzbOwnership *ownership);

/** hzb_ownership_state: Returns: the current state */
HzbOwnershipState hzb_ownership_state (const HzbOwnership *ownership);

/** hzb_ownership_is_leaseholder: Returns: TRUE if this controller schedules a shard that the leader leased to it */
gboolean hzb_ownership_is_leaseholder (const HzbOwnership *ownership);

/**
 * hzb_ownership_is_loaded_leader:
 *
 * Returns: TRUE if this controller was elected and has read the previous leader's records
 */
gboolean hzb_ownership_is_loaded_leader (const HzbOwnership *ownership);

/** hzb_ownership_epoch: Returns: a number that increases whenever an ownership begins or ends */
guint64 hzb_ownership_epoch (const HzbOwnership *ownership);

/**
 * hzb_ownership_start_time:
 *
 * Returns: when this controller started to schedule: as leaseholder, or as leader after reading the records
 */
struct timespec hzb_ownership_start_time (const HzbOwnership *ownership);

/**
 * hzb_ownership_begin_epoch: starts a new epoch, so that responses to earlier requests are dropped. To be called before
 * each change of state that begins or ends an ownership.
 */
void hzb_ownership_begin_epoch (HzbOwnership *ownership);

/**
 * hzb_ownership_set_state: changes the state and logs the change with the reason.
 *
 * Returns: FALSE if the change is not allowed; this is logged as a fault, and the state remains
 */
gboolean hzb_ownership_set_state (HzbOwnership *ownership, HzbOwnershipState to, const char *reason);

/**
 * HzbEpochCall: the context of a request in flight, for the handling of its response: the epoch in which the request
 * was sent, the module that sent it, and data of that module. Free with g_free().
 */
typedef struct
{
  const HzbOwnership *ownership; /**< (not owned) */
  guint64 epoch;                 /**< epoch in which the request was sent */
  gpointer module;               /**< (not owned): the module that sent the request */
  gpointer data;                 /**< (nullable): for the module's handling of the response; not freed with the call */
} HzbEpochCall;

/**
 * hzb_epoch_call_init: initialises a call, usually a member of a larger structure, and stores the current epoch in it.
 */
void hzb_epoch_call_init (HzbEpochCall *call, const HzbOwnership *ownership, gpointer module, gpointer data);

/** hzb_epoch_call_new: Returns: (transfer full): a call with the current epoch */
HzbEpochCall *hzb_epoch_call_new (const HzbOwnership *ownership, gpointer module, gpointer data);

/**
 * hzb_epoch_call_is_current:
 *
 * Returns: TRUE if the ownership in which the request was sent still lasts; otherwise the response must be dropped
 */
gboolean hzb_epoch_call_is_current (const HzbEpochCall *call);
