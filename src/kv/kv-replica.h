/**
 * SECTION: kv-replica
 * @short_description: this controller's replica of the records that every controller follows
 *
 * The replica reads all records under one prefix in pages (the load), and then follows their changes with a watch. It
 * stores no records itself: it passes each record, in the order of changes, to the module that created the replica
 * (#HzbKvReplicaCallbacks).
 *
 * The replica guarantees that, while it follows, each change is passed on once and in order, and that all changes up to
 * hzb_kv_replica_revision() have been passed on. hzb_kv_replica_current_as_of() says how old that state is.
 */
#pragma once
#include "kv-client.h"
#include "kv-protocol.h"

/** HzbKvReplicaState: the state of the replica. */
typedef enum
{
  HZB_KV_REPLICA_EMPTY,    /**< no record has been read yet, or all records have to be read again */
  HZB_KV_REPLICA_LOADING,  /**< the load is reading all records */
  HZB_KV_REPLICA_FOLLOWING /**< a watch delivers each change */
} HzbKvReplicaState;

/** HzbKvReplica: the load and the watch of one prefix. */
typedef struct _HzbKvReplica HzbKvReplica;

/** HzbKvReplicaCallbacks: the functions of the module that created the replica. Each gets the `user` of that module. */
typedef struct
{
  /** Returns: whether a load may begin now; if not, hzb_kv_replica_tick() calls it again. */
  gboolean (*may_load) (gpointer user);
  /** A load begins. A record that has not been passed to `apply` when the load ends does not exist any more. */
  void (*load_begin) (gpointer user);
  /** A record was read or has changed; a value of NULL means that it was removed. During a load a record may be passed
   * more than once, each time with the value that the page or the change just read gives. The entry is valid during the
   * call. */
  void (*apply) (const HzbKvEntry *item, gpointer user);
  /** The load is complete: all changes up to the revision have been passed on. */
  void (*load_end) (guint64 revision, gpointer user);
  /** The replica was reset, so all records will be read again. Until then the records passed on may be out of date. */
  void (*reset) (gpointer user);
} HzbKvReplicaCallbacks;

/**
 * HzbKvReplicaSyncFunc: receives the result of hzb_kv_replica_sync().
 * - `fresh`: TRUE: all changes that were recorded before the call have been passed on; FALSE: the sync failed, and the
 *   replica may or may not be up to date
 * - `user`: as given with the call
 */
typedef void (*HzbKvReplicaSyncFunc) (gboolean fresh, gpointer user);

/**
 * hzb_kv_replica_new: creates a replica of the records under a prefix.
 * - `kv`: (transfer none): outlives the replica, as do the clock and `user`
 * - `prefix`: of the keys; copied
 * - `watch_interval_s`: minimum time between the openings of two watches, in seconds; a watch also delivers the changes
 *   that were made before it was opened
 * - `callbacks`: copied
 * - `user`: (nullable) (not owned): passed to `callbacks`
 *
 * Returns: (transfer full): a replica in state %HZB_KV_REPLICA_EMPTY; hzb_kv_replica_tick() begins the load
 */
HzbKvReplica *hzb_kv_replica_new (HzbKvClient *kv, HzbClock *clock, const char *prefix, double watch_interval_s,
                                  const HzbKvReplicaCallbacks *callbacks, gpointer user);

/** hzb_kv_replica_free: frees the replica. No answer to one of its requests may arrive afterwards. */
void hzb_kv_replica_free (HzbKvReplica *kv_replica);

/** hzb_kv_replica_tick: begins or continues the load, or opens the next watch, if that is due. Cheap to call often. */
void hzb_kv_replica_tick (HzbKvReplica *kv_replica);

/** hzb_kv_replica_state: Returns: the state of the replica */
HzbKvReplicaState hzb_kv_replica_state (const HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_revision: Returns: the revision up to which all changes have been applied; 0 before the end of the
 * first load
 */
guint64 hzb_kv_replica_revision (const HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_covers: Returns: whether all changes up to `revision` have been applied; during a load, whether each
 * of them either has been applied or concerns a key on a page that has not been read yet, which will include the change
 */
gboolean hzb_kv_replica_covers (const HzbKvReplica *kv_replica, guint64 revision);

/**
 * hzb_kv_replica_is_fresh: Returns: TRUE if the replica is in state %HZB_KV_REPLICA_FOLLOWING and, less than 4 s ago,
 * either a watch was answered or the load ended, so that only recent changes can be missing
 */
gboolean hzb_kv_replica_is_fresh (const HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_current_as_of: Returns: a time such that all changes recorded by then have been applied: the time of
 * sending of the latest request whose answer brought the replica up to date. Zero before the end of the first load, and
 * from a reset until the end of the next load.
 */
struct timespec hzb_kv_replica_current_as_of (const HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_sync: reads and applies all changes that were recorded before this call.
 * - `done`: called exactly once: at once with FALSE if the replica does not follow, otherwise within 3.4 s (see
 *   hzb_kv_client_changes())
 * - `user`: (nullable) (not owned): passed to `done`
 */
void hzb_kv_replica_sync (HzbKvReplica *kv_replica, HzbKvReplicaSyncFunc done, gpointer user);

/** hzb_kv_replica_reset: makes the replica read all records again. Answers to earlier requests are ignored. */
void hzb_kv_replica_reset (HzbKvReplica *kv_replica);

/** HZB_KV_REPLICA_WATCH_MS: time that a watch waits for a change before the store ends it, in milliseconds. */
#define HZB_KV_REPLICA_WATCH_MS 2000

/**
 * hzb_kv_replica_store_unresponsive: Returns: whether the key-value store has served no request of this controller for
 * more than 3 s, see hzb_kv_client_unresponsive_s(). A responsive store ends a watch sooner than that. Callers should
 * then refuse at once a request that needs the store.
 */
gboolean hzb_kv_replica_store_unresponsive (const HzbKvReplica *kv_replica);
