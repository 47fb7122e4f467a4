/**
 * SECTION: kv-replica-private
 * @short_description: internals shared by kv-replica.c (state, watch, sync) and kv-replica-load.c (the load of all
 * records)
 */
#pragma once
#include "kv-replica.h"

/** HzbKvLoadStep: the steps of a load. Pages and changes alternate until the last page. */
typedef enum
{
  HZB_KV_LOAD_PAGE,        /**< reads the next page of keys */
  HZB_KV_LOAD_CHANGES,     /**< reads the changes since the previous step */
  HZB_KV_LOAD_LAST_CHANGES /**< reads the changes after the last page, which ends the load */
} HzbKvLoadStep;

/** _HzbKvReplica: the state of the replica, of its watch and of its load. */
struct _HzbKvReplica
{
  HzbKvClient *kv;                 /**< (not owned) */
  HzbClock *clock;                 /**< (not owned) */
  char *prefix;                    /**< of the keys that the replica follows; owned */
  HzbKvReplicaCallbacks callbacks; /**< of the module that created the replica */
  gpointer user;                   /**< (nullable) (not owned): passed to the callbacks */

  HzbKvReplicaState state; /**< changed by hzb_kv_replica_set_state() only */
  guint64 generation; /**< raised when the replica becomes empty; answers to requests sent before that are ignored */
  guint64 revision;   /**< see hzb_kv_replica_revision() */
  struct timespec current_as_of; /**< see hzb_kv_replica_current_as_of() */
  struct timespec next_attempt;  /**< set after a failure: neither the load nor the watch sends a request before it */

  /* The watch. */
  gboolean watch_in_flight;       /**< a watch is open */
  guint consecutive_lost_watches; /**< watches without an answer since the last answered one */
  double watch_interval_s;        /**< minimum time between the openings of two watches, in seconds */
  struct timespec next_watch;     /**< no watch is opened before it */
  struct timespec last_watch;     /**< when the last watch was answered, or the load ended */

  /* The load in progress. */
  HzbKvLoadStep load_step;         /**< the current step, or the next one if no request is in flight */
  gboolean load_request_in_flight; /**< the request of this step has been sent */
  guint64 load_revision; /**< revision of the first page or of the latest changes read; 0: no page has been received */
  char *load_cursor;     /**< (nullable): the last key of the last page; NULL: the next page is the first; owned */
};

/** HzbKvReplicaCall: the context of a request that was sent. Freed with g_free(). */
typedef struct
{
  HzbKvReplica *kv_replica;  /**< (not owned): the sender */
  guint64 generation;        /**< generation of the replica when the request was sent */
  struct timespec sent;      /**< time of sending */
  HzbKvReplicaSyncFunc done; /**< (nullable): callback of a sync; NULL for other requests */
  gpointer user;             /**< (nullable) (not owned): passed to `done` */
} HzbKvReplicaCall;

/**
 * hzb_kv_replica_call_new: Returns: (transfer full): the context of a request that is sent now, in the current
 * generation
 */
HzbKvReplicaCall *hzb_kv_replica_call_new (HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_call_is_current: Returns: whether the answer to the call may be used, because the replica has not been
 * reset since the call was sent
 */
gboolean hzb_kv_replica_call_is_current (const HzbKvReplicaCall *call);

/**
 * hzb_kv_replica_set_state: changes the state; no other function does. The transitions are EMPTY to LOADING to
 * FOLLOWING, and from each state to EMPTY. Any other transition is refused and logged.
 */
void hzb_kv_replica_set_state (HzbKvReplica *kv_replica, HzbKvReplicaState to);

/**
 * hzb_kv_replica_apply_changes: passes each change that is new to the `apply` callback, in the order of revisions.
 * - `changes`: (element-type HzbKvEntry): from the answer to a watch, a sync or a load's request for changes
 * - `applied`: changes up to this revision have been applied before
 * - `revision`: of the answer
 *
 * Returns: the revision up to which all changes are applied now
 */
guint64
hzb_kv_replica_apply_changes (HzbKvReplica *kv_replica, const GArray *changes, guint64 applied, guint64 revision);

/** hzb_kv_replica_advance_current_as_of: notes that all changes recorded by the time `as_of` have been applied. */
void hzb_kv_replica_advance_current_as_of (HzbKvReplica *kv_replica, struct timespec as_of);

/** hzb_kv_replica_begin_load: starts to read all records. The replica must be in state %HZB_KV_REPLICA_EMPTY. */
void hzb_kv_replica_begin_load (HzbKvReplica *kv_replica);

/** hzb_kv_replica_continue_load: sends the request of the current step. No request of the load may be in flight. */
void hzb_kv_replica_continue_load (HzbKvReplica *kv_replica);
