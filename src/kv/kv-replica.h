/**
 * SECTION: kv-replica
 * @short_description: this controller's replica of the records that every controller follows
 *
 * Reads all records under one prefix, in pages, and then follows their changes with a watch. It keeps none of them:
 * each record is handed, in the order of changes, to the module that made the replica (#HzbKvReplicaCallbacks), which knows
 * what they mean.
 *
 * Two promises: while the replica follows, each change is handed over once and in order; and everything up to
 * hzb_kv_replica_revision() has been handed over. hzb_kv_replica_current_as_of() tells how old that knowledge is.
 */
#pragma once
#include "kv-client.h"
#include "kv-protocol.h"

/** HzbKvReplicaState: how far the replica has come. */
typedef enum
{
  HZB_KV_REPLICA_EMPTY,    /**< nothing was read yet, or too much was missed */
  HZB_KV_REPLICA_LOADING,  /**< all records are being read */
  HZB_KV_REPLICA_FOLLOWING /**< a watch brings each change */
} HzbKvReplicaState;

/** HzbKvReplica: the reading or the watch of one prefix. */
typedef struct _HzbKvReplica HzbKvReplica;

/** HzbKvReplicaCallbacks: what the module that made the replica does. Each gets its `user`. */
typedef struct
{
  /** Whether a reading may begin now; if not, hzb_kv_replica_tick() asks again. */
  gboolean (*may_load) (gpointer user);
  /** A reading of all records begins: what its records do not show by the end does not exist any more. */
  void (*load_begin) (gpointer user);
  /** A record as it is now, or its removal (a value of NULL). During a reading a record may be handed over more than
   * once, each time as it is by then. The entry is valid during the call. */
  void (*apply) (const HzbKvEntry *item, gpointer user);
  /** The reading is complete: everything up to the revision was handed over. */
  void (*load_end) (guint64 revision, gpointer user);
  /** Too much was missed: all records will be read anew. What is known stays, and may be out of date. */
  void (*lost) (gpointer user);
} HzbKvReplicaCallbacks;

/**
 * HzbKvReplicaSyncFunc: the end of a hzb_kv_replica_sync().
 * - `fresh`: everything that was recorded before the call was handed over; FALSE: that could not be achieved, and
 *   nothing is known
 * - `user`: as given with the call
 */
typedef void (*HzbKvReplicaSyncFunc) (gboolean fresh, gpointer user);

/**
 * hzb_kv_replica_new:
 * - `kv`: (transfer none): outlives the replica, as do the clock and what `user` is
 * - `prefix`: of the keys
 * - `watch_interval_s`: in seconds; watches are opened no more often than this, and what changes meanwhile comes with
 *   the next one
 * - `funcs`: copied
 * - `user`: (nullable): handed to `funcs`
 *
 * Returns: (transfer full): empty; the first hzb_kv_replica_tick() begins the reading
 */
HzbKvReplica *hzb_kv_replica_new (HzbKvClient *kv, HzbClock *clock, const char *prefix, double watch_interval_s,
                                  const HzbKvReplicaCallbacks *funcs, gpointer user);

/** hzb_kv_replica_free: no answer to a request of the replica may come after it. */
void hzb_kv_replica_free (HzbKvReplica *kv_replica);

/** hzb_kv_replica_tick: starts whatever is to be done next: a reading, or the next watch. Cheap to call often. */
void hzb_kv_replica_tick (HzbKvReplica *kv_replica);

/** hzb_kv_replica_state: Returns: how far the replica has come */
HzbKvReplicaState hzb_kv_replica_state (const HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_revision: Returns: all changes up to this revision were applied; 0 before the first reading was
 * complete
 */
guint64 hzb_kv_replica_revision (const HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_covers: Returns: whatever has changed up to `revision` was applied, or a page of the reading under way
 * will show what is left of it
 */
gboolean hzb_kv_replica_covers (const HzbKvReplica *kv_replica, guint64 revision);

/**
 * hzb_kv_replica_is_fresh: Returns: the replica follows, and a watch has ended lately, so little can have been missed
 */
gboolean hzb_kv_replica_is_fresh (const HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_current_as_of: Returns: whatever had been recorded by then has been applied: the time at which the
 * request was sent whose answer brought the replica up to date last. Unset before the first reading was complete, and
 * while all is read anew.
 */
struct timespec hzb_kv_replica_current_as_of (const HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_sync: brings the replica up to this moment.
 * - `done`: called once: at once, with FALSE, unless the replica follows; else within 3.4 s (see
 *   hzb_kv_client_changes())
 * - `user`: (nullable): handed to `done`
 */
void hzb_kv_replica_sync (HzbKvReplica *kv_replica, HzbKvReplicaSyncFunc done, gpointer user);

/** hzb_kv_replica_reset: all records are read anew. Answers to earlier requests are not taken any more. */
void hzb_kv_replica_reset (HzbKvReplica *kv_replica);

/** HZB_KV_REPLICA_WATCH_MS: how long a watch waits for a change before it is renewed. */
#define HZB_KV_REPLICA_WATCH_MS 2000

/**
 * hzb_kv_replica_store_unresponsive: Returns: the key-value store has not answered for longer than a watch takes. A
 * request that needs it is better refused at once.
 */
gboolean hzb_kv_replica_store_unresponsive (const HzbKvReplica *kv_replica);
