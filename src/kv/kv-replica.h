/**
 * SECTION: replica
 * @short_description: this node's copy of the records that every controller follows
 *
 * Reads all records under one prefix, then follows their changes with a watch. What the records mean is the business of
 * whoever made the replica of the records: it is handed each record, in the order of changes, through #HzbKvReplicaFuncs.
 */
#pragma once
#include "kv-client.h"
#include "kv-protocol.h"

typedef enum
{
  HZB_KV_REPLICA_EMPTY,    /* nothing was read yet, or too much was missed */
  HZB_KV_REPLICA_LOADING,  /* all records are being read */
  HZB_KV_REPLICA_FOLLOWING /* a watch brings each change */
} HzbKvReplicaState;

typedef struct _HzbKvReplica HzbKvReplica;

/** HzbKvReplicaFuncs: what the replica of the records's owner does. */
typedef struct
{
  gboolean (*may_load) (gpointer user); /* FALSE: not now, ask again */
  void (*load_begin) (gpointer user);
  void (*apply) (const HzbKvEntry *item, gpointer user);
  void (*load_end) (guint64 revision, gpointer user);
  void (*lost) (gpointer user); /* too much was missed: all will be read anew */
} HzbKvReplicaFuncs;

/** HzbSyncFunc: @fresh is FALSE if the replica of the records could not be brought up to this moment. */
typedef void (*HzbSyncFunc) (gboolean fresh, gpointer user);

/**
 * hzb_kv_replica_new:
 * @watch_interval_s: watches are opened no more often than this; what changes meanwhile comes with the next one
 */
HzbKvReplica *hzb_kv_replica_new (HzbKvClient *kv, HzbClock *clock, const char *prefix, double watch_interval_s,
                                  const HzbKvReplicaFuncs *funcs, gpointer user);
void hzb_kv_replica_free (HzbKvReplica *kv_replica);

/** hzb_kv_replica_tick: starts whatever is to be done next: reading all, or the next watch. */
void hzb_kv_replica_tick (HzbKvReplica *kv_replica);

HzbKvReplicaState hzb_kv_replica_state (const HzbKvReplica *kv_replica);

/** hzb_kv_replica_revision: all changes up to this revision were applied; 0 before the first reading was complete. */
guint64 hzb_kv_replica_revision (const HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_covers: whatever has changed up to this revision was applied, or a page of the reading under way will show
 * what is left of it.
 */
gboolean hzb_kv_replica_covers (const HzbKvReplica *kv_replica, guint64 revision);

/** hzb_kv_replica_is_fresh: a watch has ended lately, so little can have been missed. */
gboolean hzb_kv_replica_is_fresh (const HzbKvReplica *kv_replica);

/**
 * hzb_kv_replica_current_as_of: whatever had been recorded by then is in the replica of the records: when the request was sent whose answer
 * brought it up to date last. Not set before the first reading was complete, or while all is read anew.
 */
struct timespec hzb_kv_replica_current_as_of (const HzbKvReplica *kv_replica);

/** hzb_kv_replica_sync: brings the replica of the records up to this moment, then calls @done. */
void hzb_kv_replica_sync (HzbKvReplica *kv_replica, HzbSyncFunc done, gpointer user);

/** hzb_kv_replica_reset: drops what is known; all is read anew. */
void hzb_kv_replica_reset (HzbKvReplica *kv_replica);

/** HZB_KV_REPLICA_WATCH_MS: how long a watch waits for a change before it is renewed. */
#define HZB_KV_REPLICA_WATCH_MS 2000

/**
 * hzb_kv_replica_store_unresponsive: the key-value store has not answered for longer than a watch takes. What has to be read or
 * written there is better refused at once.
 */
gboolean hzb_kv_replica_store_unresponsive (const HzbKvReplica *kv_replica);
