/**
 * SECTION: kv-replica-private
 * @short_description: what kv-replica.c (state, watch, sync) and kv-replica-load.c (the reading of all
 * records) share.
 */
#pragma once
#include "kv-replica.h"

/** HzbKvLoadStep: what the reading of all records does next. */
typedef enum
{
  HZB_KV_LOAD_PAGE,        /**< reads the keys after the last one read */
  HZB_KV_LOAD_CHANGES,     /**< reads what has changed meanwhile */
  HZB_KV_LOAD_LAST_CHANGES /**< the same, after the last page: the last step */
} HzbKvLoadStep;

/** _HzbKvReplica: the state of the replica, of its watch, and of the reading of all records. */
struct _HzbKvReplica
{
  HzbKvClient *kv;             /**< (not owned) */
  HzbClock *clock;             /**< (not owned) */
  char *prefix;                /**< of the keys */
  HzbKvReplicaCallbacks funcs; /**< of the module that made the replica */
  gpointer user;               /**< (nullable) (not owned): handed to them */

  HzbKvReplicaState state; /**< changed by hzb_kv_replica_set_state() only */
  guint64 generation;      /**< raised when all is read anew: answers to earlier requests are not taken any more */
  guint64 revision;        /**< see hzb_kv_replica_revision() */
  struct timespec current_as_of; /**< see hzb_kv_replica_current_as_of() */
  struct timespec next_step;     /**< no reading and no watch goes on before it: a pause after a failure */

  /* The watch. */
  gboolean watching;          /**< one is open */
  guint lost_watches;         /**< in a row */
  double watch_interval_s;    /**< between the openings of two watches */
  struct timespec next_watch; /**< none is opened before it */
  struct timespec last_watch; /**< when the last one was answered, or the reading ended */

  /* The reading under way. */
  HzbKvLoadStep load_step; /**< the step that is under way, or comes next */
  gboolean load_asked;     /**< the request of this step is on its way */
  guint64 load_revision;   /**< of its first page, or of the changes that were read since; 0: there was no page yet */
  char *load_cursor;       /**< (nullable): the last key read */
};

/** HzbKvReplicaCall: a request on its way, and what it was made for. Freed with g_free(). */
typedef struct
{
  HzbKvReplica *kv_replica;  /**< the sender */
  guint64 generation;        /**< of the replica as it was sent */
  struct timespec sent;      /**< when it was sent */
  HzbKvReplicaSyncFunc done; /**< (nullable): of a sync, as is the next */
  gpointer user;             /**< (nullable): handed to the callback */
} HzbKvReplicaCall;

/** hzb_kv_replica_call_new: Returns: (transfer full): sent now, in the replica's generation */
HzbKvReplicaCall *hzb_kv_replica_call_new (HzbKvReplica *kv_replica);

/** hzb_kv_replica_is_current: the answer to the call may be taken: the replica has not been reset since. */
gboolean hzb_kv_replica_is_current (const HzbKvReplicaCall *call);

/**
 * hzb_kv_replica_set_state: the one place where the state changes: EMPTY, LOADING, FOLLOWING, and back to EMPTY from
 * each.
 */
void hzb_kv_replica_set_state (HzbKvReplica *kv_replica, HzbKvReplicaState to);

/**
 * hzb_kv_replica_apply_changes: hands over each change once, and in order.
 * - `changes`: (element-type HzbKvEntry): as a watch or a sync brought them
 * - `applied`: up to this revision they were handed over before
 * - `revision`: of the answer that brought them
 *
 * Returns: the revision up to which all is applied now
 */
guint64
hzb_kv_replica_apply_changes (HzbKvReplica *kv_replica, const GArray *changes, guint64 applied, guint64 revision);

/** hzb_kv_replica_note_current: everything that was recorded by `as_of` has been applied. */
void hzb_kv_replica_note_current (HzbKvReplica *kv_replica, struct timespec as_of);

/** hzb_kv_replica_begin_load: reads all records anew; the replica is empty. */
void hzb_kv_replica_begin_load (HzbKvReplica *kv_replica);

/** hzb_kv_replica_continue_load: makes the request of the next step; none of the reading is on its way. */
void hzb_kv_replica_continue_load (HzbKvReplica *kv_replica);
