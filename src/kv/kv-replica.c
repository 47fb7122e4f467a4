/* The replica's state, its watch and its syncs. kv-replica-load.c has the load, which reads all records. */
#include "kv-replica.h"
#include "kv-protocol.h"
#include "kv-replica-private.h"

/* A replica is fresh if its last watch was answered, or its load ended, within the wait of a watch plus this time. The
 * slack allows for the transfer of the answer and for the interval between watches. */
#define FRESH_SLACK_S 2.0
#define WATCH_RETRY_DELAY_S 0.3 /* after a failed watch */
/* A lost watch is one without an answer. If more changes have accumulated than the store can send within the time limit
 * of a watch, every watch is lost. After this many lost watches, while the store answers other requests, the replica
 * reads all records again, in pages. */
#define MAX_CONSECUTIVE_LOST_WATCHES 5u
#define STORE_REACHABLE_S 2.0 /* a store that served a request within this time is reachable */
#define STORE_UNRESPONSIVE_S                                                                                           \
  (HZB_KV_REPLICA_WATCH_MS / 1000.0 + 1) /* a responsive store ends each watch within this time */

HzbKvReplica *
hzb_kv_replica_new (HzbKvClient *kv, HzbClock *clock, const char *prefix, double watch_interval_s,
                    const HzbKvReplicaCallbacks *callbacks, gpointer user)
{
  HzbKvReplica *kv_replica = g_new0 (HzbKvReplica, 1);
  kv_replica->kv = kv;
  kv_replica->clock = clock;
  kv_replica->prefix = g_strdup (prefix);
  kv_replica->watch_interval_s = watch_interval_s;
  kv_replica->callbacks = *callbacks;
  kv_replica->user = user;
  return kv_replica;
}

void
hzb_kv_replica_free (HzbKvReplica *kv_replica)
{
  g_free (kv_replica->prefix);
  g_free (kv_replica->load_cursor);
  g_free (kv_replica);
}

/* ---- state ---- */

HzbKvReplicaCall *
hzb_kv_replica_call_new (HzbKvReplica *kv_replica)
{
  HzbKvReplicaCall *call = g_new0 (HzbKvReplicaCall, 1);
  call->kv_replica = kv_replica;
  call->generation = kv_replica->generation;
  call->sent = hzb_clock_now (kv_replica->clock);
  return call;
}

gboolean
hzb_kv_replica_call_is_current (const HzbKvReplicaCall *call)
{
  return call->generation == call->kv_replica->generation;
}

void
hzb_kv_replica_set_state (HzbKvReplica *kv_replica, HzbKvReplicaState to)
{
  static const guint allowed_transitions[] = {
    [HZB_KV_REPLICA_EMPTY] = 1 << HZB_KV_REPLICA_LOADING | 1 << HZB_KV_REPLICA_EMPTY,
    [HZB_KV_REPLICA_LOADING] = 1 << HZB_KV_REPLICA_FOLLOWING | 1 << HZB_KV_REPLICA_EMPTY,
    [HZB_KV_REPLICA_FOLLOWING] = 1 << HZB_KV_REPLICA_EMPTY,
  };
  g_return_if_fail (allowed_transitions[kv_replica->state] & 1u << to);
  kv_replica->state = to;
  if (to == HZB_KV_REPLICA_EMPTY)
    {
      kv_replica->generation++;
      kv_replica->current_as_of = (struct timespec){ 0 };
      kv_replica->watch_in_flight = kv_replica->load_request_in_flight = FALSE;
      kv_replica->consecutive_lost_watches = 0;
    }
}

/* Skips changes up to the revision `applied`: the answer to a sync that was sent before a watch may repeat the changes
 * of that watch. */
guint64
hzb_kv_replica_apply_changes (HzbKvReplica *kv_replica, const GArray *changes, guint64 applied, guint64 revision)
{
  for (guint i = 0; i < changes->len; i++)
    {
      const HzbKvEntry *change = &g_array_index (changes, HzbKvEntry, i);
      if (change->version > applied)
        kv_replica->callbacks.apply (change, kv_replica->user);
    }
  return MAX (applied, revision);
}

/* Answers may arrive in another order than their requests were sent, so an earlier time never replaces a later one. */
void
hzb_kv_replica_advance_current_as_of (HzbKvReplica *kv_replica, struct timespec as_of)
{
  if (hzb_time_before (kv_replica->current_as_of, as_of))
    kv_replica->current_as_of = as_of;
}

void
hzb_kv_replica_reset (HzbKvReplica *kv_replica)
{
  hzb_kv_replica_set_state (kv_replica, HZB_KV_REPLICA_EMPTY);
  kv_replica->callbacks.reset (kv_replica->user);
}

/* ---- following ---- */

static void
handle_watch_failure (HzbKvReplica *kv_replica, HzbKvResult result)
{
  kv_replica->next_attempt = hzb_time_plus (hzb_clock_now (kv_replica->clock), WATCH_RETRY_DELAY_S);
  if (result != HZB_KV_UNKNOWN)
    return;
  /* If the store answers no request at all, the number of changes is not the cause. */
  if (hzb_kv_client_unresponsive_s (kv_replica->kv) > STORE_REACHABLE_S)
    kv_replica->consecutive_lost_watches = 0;
  else if (++kv_replica->consecutive_lost_watches >= MAX_CONSECUTIVE_LOST_WATCHES)
    hzb_kv_replica_reset (kv_replica);
}

static void
on_watched (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbKvReplicaCall *call = user;
  HzbKvReplica *kv_replica = call->kv_replica;
  guint64 revision = 0;
  g_autoptr (GArray) changes = NULL;

  if (!hzb_kv_replica_call_is_current (call))
    return;
  kv_replica->watch_in_flight = FALSE;
  changes = result == HZB_KV_OK ? hzb_kv_watch_decode (body, &revision) : NULL;
  if (result == HZB_KV_NOT_FOUND) /* the store no longer keeps all changes after the replica's revision */
    hzb_kv_replica_reset (kv_replica);
  else if (!changes)
    handle_watch_failure (kv_replica, result);
  else
    {
      kv_replica->revision = hzb_kv_replica_apply_changes (kv_replica, changes, kv_replica->revision, revision);
      hzb_kv_replica_advance_current_as_of (kv_replica, call->sent);
      kv_replica->last_watch = hzb_clock_now (kv_replica->clock);
      kv_replica->consecutive_lost_watches = 0;
    }
  hzb_kv_replica_tick (kv_replica);
}

static void
on_synced (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbKvReplicaCall *call = user;
  HzbKvReplica *kv_replica = call->kv_replica;
  guint64 revision = 0;
  g_autoptr (GArray) changes = NULL;

  if (!hzb_kv_replica_call_is_current (call))
    {
      call->done (FALSE, call->user);
      return;
    }
  changes = result == HZB_KV_OK ? hzb_kv_watch_decode (body, &revision) : NULL;
  if (changes)
    {
      kv_replica->revision = hzb_kv_replica_apply_changes (kv_replica, changes, kv_replica->revision, revision);
      hzb_kv_replica_advance_current_as_of (kv_replica, call->sent);
    }
  else if (result == HZB_KV_NOT_FOUND)
    hzb_kv_replica_reset (kv_replica); /* as in on_watched(): the next watch would get the same answer */
  call->done (changes != NULL, call->user);
}

void
hzb_kv_replica_sync (HzbKvReplica *kv_replica, HzbKvReplicaSyncFunc done, gpointer user)
{
  HzbKvReplicaCall *call;
  if (kv_replica->state != HZB_KV_REPLICA_FOLLOWING)
    {
      done (FALSE, user);
      return;
    }
  call = hzb_kv_replica_call_new (kv_replica);
  call->done = done;
  call->user = user;
  hzb_kv_client_changes (kv_replica->kv, kv_replica->prefix, kv_replica->revision, on_synced, call);
}

void
hzb_kv_replica_tick (HzbKvReplica *kv_replica)
{
  struct timespec now = hzb_clock_now (kv_replica->clock);
  if (hzb_time_before (now, kv_replica->next_attempt))
    return;
  if (kv_replica->state == HZB_KV_REPLICA_EMPTY && kv_replica->callbacks.may_load (kv_replica->user))
    hzb_kv_replica_begin_load (kv_replica);
  else if (kv_replica->state == HZB_KV_REPLICA_LOADING && !kv_replica->load_request_in_flight)
    hzb_kv_replica_continue_load (kv_replica);
  else if (kv_replica->state == HZB_KV_REPLICA_FOLLOWING && !kv_replica->watch_in_flight
           && !hzb_time_before (now, kv_replica->next_watch))
    {
      kv_replica->watch_in_flight = TRUE;
      kv_replica->next_watch = hzb_time_plus (now, kv_replica->watch_interval_s);
      hzb_kv_client_watch (kv_replica->kv, kv_replica->prefix, kv_replica->revision, HZB_KV_REPLICA_WATCH_MS,
                           on_watched, hzb_kv_replica_call_new (kv_replica));
    }
}

/* ---- queries ---- */

HzbKvReplicaState
hzb_kv_replica_state (const HzbKvReplica *kv_replica)
{
  return kv_replica->state;
}

guint64
hzb_kv_replica_revision (const HzbKvReplica *kv_replica)
{
  return kv_replica->revision;
}

gboolean
hzb_kv_replica_covers (const HzbKvReplica *kv_replica, guint64 revision)
{
  return revision <= (kv_replica->state == HZB_KV_REPLICA_LOADING ? kv_replica->load_revision : kv_replica->revision);
}

struct timespec
hzb_kv_replica_current_as_of (const HzbKvReplica *kv_replica)
{
  return kv_replica->current_as_of;
}

gboolean
hzb_kv_replica_is_fresh (const HzbKvReplica *kv_replica)
{
  return kv_replica->state == HZB_KV_REPLICA_FOLLOWING
         && hzb_time_between (kv_replica->last_watch, hzb_clock_now (kv_replica->clock))
                < HZB_KV_REPLICA_WATCH_MS / 1000.0 + FRESH_SLACK_S;
}

gboolean
hzb_kv_replica_store_unresponsive (const HzbKvReplica *kv_replica)
{
  return hzb_kv_client_unresponsive_s (kv_replica->kv) > STORE_UNRESPONSIVE_S;
}
