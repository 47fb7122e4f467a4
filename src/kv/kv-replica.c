/* The reading and the watch of one prefix.
 *
 * A reading goes page by page. A page that did not come is asked for again, and what has been read stays. Between two pages come the
 * changes since the one before, so that it does not matter how long a reading takes: the key-value store keeps only its last 10,000
 * changes. After the last page come the changes once more, and then all is as of one revision. */
#include "kv-replica.h"
#include "kv-protocol.h"

#define FRESH_SLACK_S 2.0 /* beyond the time that a watch waits: for its answer, and for the interval between watches */
#define RELOAD_PAUSE_S 0.4  /* after a page that did not come: an outage may last for minutes */
#define REWATCH_PAUSE_S 0.3 /* after a watch that failed */
/* Guards against changes that never come in time because there are too many of them: after so many watches without an answer,
 * though the store answers other requests, all records are read anew in pages. */
#define MAX_LOST_WATCHES 5u
#define SERVED_LATELY_S 2.0 /* the store has answered some request since: it is reachable */
#define STORE_UNRESPONSIVE_S                                                                                           \
  (HZB_KV_REPLICA_WATCH_MS / 1000.0 + 1) /* a store that answers ends each watch within that time */

/* What the reading of all records does next. */
typedef enum
{
  LOAD_PAGE,        /* the keys after the last one read */
  LOAD_CHANGES,     /* what has changed meanwhile */
  LOAD_LAST_CHANGES /* the same, after the last page: the last step */
} LoadStep;

struct _HzbKvReplica
{
  HzbKvClient *kv;
  HzbClock *clock;
  char *prefix;
  HzbKvReplicaFuncs funcs;
  gpointer user;

  HzbKvReplicaState state;       /* changed by set_state() only */
  guint64 generation;            /* raised when all is read anew: answers to earlier requests are not taken any more */
  guint64 revision;              /* see hzb_kv_replica_revision() */
  struct timespec current_as_of; /* see hzb_kv_replica_current_as_of() */
  struct timespec next_step;     /* no reading and no watch goes on before it: a pause after a failure */

  /* The watch. */
  gboolean watching;  /* one is open */
  guint lost_watches; /* in a row */
  double watch_interval_s;
  struct timespec next_watch;
  struct timespec last_watch; /* when the last one was answered, or the reading ended */

  /* The reading under way. */
  LoadStep load_step;
  gboolean load_asked;   /* the request of this step is on its way */
  guint64 load_revision; /* of its first page, or of the changes that were read since; 0: there was no page yet */
  char *load_cursor;     /* (nullable): the last key read */
};

/* A request on its way, and what it was made for. */
typedef struct
{
  HzbKvReplica *kv_replica;
  guint64 generation;
  struct timespec sent;
  HzbKvReplicaSyncFunc done; /* of a sync, as is the next */
  gpointer user;
} Call;

static void step (HzbKvReplica *kv_replica);
static void ask_for_load (HzbKvReplica *kv_replica);

static Call *
call_new (HzbKvReplica *kv_replica)
{
  Call *call = g_new0 (Call, 1);
  call->kv_replica = kv_replica;
  call->generation = kv_replica->generation;
  call->sent = hzb_clock_now (kv_replica->clock);
  return call;
}

/* Guards against answers that outlive what they were asked for: those of an earlier reading, or from before a reset. */
static gboolean
is_current (const Call *call)
{
  return call->generation == call->kv_replica->generation;
}

/* The one place where the state changes: empty -> loading -> following, and back to empty from each. */
static void
set_state (HzbKvReplica *kv_replica, HzbKvReplicaState to)
{
  static const guint legal[] = {
    [HZB_KV_REPLICA_EMPTY] = 1 << HZB_KV_REPLICA_LOADING | 1 << HZB_KV_REPLICA_EMPTY,
    [HZB_KV_REPLICA_LOADING] = 1 << HZB_KV_REPLICA_FOLLOWING | 1 << HZB_KV_REPLICA_EMPTY,
    [HZB_KV_REPLICA_FOLLOWING] = 1 << HZB_KV_REPLICA_EMPTY,
  };
  g_return_if_fail (legal[kv_replica->state] & 1u << to);
  kv_replica->state = to;
  if (to == HZB_KV_REPLICA_EMPTY)
    {
      kv_replica->generation++;
      kv_replica->current_as_of = (struct timespec){ 0 };
      kv_replica->watching = kv_replica->load_asked = FALSE;
      kv_replica->lost_watches = 0;
    }
}

static void
apply_page (HzbKvReplica *kv_replica, const GArray *items)
{
  for (guint i = 0; i < items->len; i++)
    kv_replica->funcs.apply (&g_array_index (items, HzbKvEntry, i), kv_replica->user);
}

/* Each change is applied once, and in order: a sync that was sent before a watch may bring again what the watch has brought.
 * Returns: the revision up to which all is applied now. */
static guint64
apply_changes (HzbKvReplica *kv_replica, const GArray *items, guint64 applied, guint64 revision)
{
  for (guint i = 0; i < items->len; i++)
    {
      const HzbKvEntry *item = &g_array_index (items, HzbKvEntry, i);
      if (item->version > applied)
        kv_replica->funcs.apply (item, kv_replica->user);
    }
  return MAX (applied, revision);
}

/* Answers may come in another order than their requests were sent in. */
static void
note_current (HzbKvReplica *kv_replica, struct timespec as_of)
{
  if (hzb_time_before (kv_replica->current_as_of, as_of))
    kv_replica->current_as_of = as_of;
}

/* ---- reading all ---- */

static void
ask_again_later (HzbKvReplica *kv_replica)
{
  kv_replica->next_step = hzb_time_plus (hzb_clock_now (kv_replica->clock), RELOAD_PAUSE_S);
}

static void
finish_load (HzbKvReplica *kv_replica, struct timespec as_of)
{
  kv_replica->revision = MAX (kv_replica->revision, kv_replica->load_revision);
  set_state (kv_replica, HZB_KV_REPLICA_FOLLOWING);
  note_current (kv_replica, as_of);
  kv_replica->last_watch = hzb_clock_now (kv_replica->clock);
  kv_replica->funcs.load_end (kv_replica->revision, kv_replica->user);
  g_message ("the replica of the records is complete, at revision %" G_GUINT64_FORMAT, kv_replica->revision);
  step (kv_replica);
}

/* A page was applied: @more tells whether there are pages after it. */
static void
advance_load (HzbKvReplica *kv_replica, const GArray *items, gboolean more)
{
  if (more)
    {
      g_free (kv_replica->load_cursor);
      kv_replica->load_cursor = g_strdup (g_array_index (items, HzbKvEntry, items->len - 1).key);
    }
  kv_replica->load_step = more ? LOAD_CHANGES : LOAD_LAST_CHANGES;
  ask_for_load (kv_replica);
}

static void
on_page (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree Call *call = user;
  HzbKvReplica *kv_replica = call->kv_replica;
  gboolean more = FALSE;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!is_current (call))
    return;
  kv_replica->load_asked = FALSE;
  items = result == HZB_KV_OK ? hzb_kv_range_decode (body, &more, &revision) : NULL;
  if (!items)
    {
      ask_again_later (kv_replica);
      return;
    }
  if (!kv_replica->load_revision)
    kv_replica->load_revision = revision;
  apply_page (kv_replica, items);
  more = more && items->len;
  if (!more && kv_replica->load_revision == revision)
    finish_load (kv_replica, call->sent); /* nothing has changed since the first page */
  else
    advance_load (kv_replica, items, more);
}

static void
on_load_changes (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree Call *call = user;
  HzbKvReplica *kv_replica = call->kv_replica;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!is_current (call))
    return;
  kv_replica->load_asked = FALSE;
  if (result == HZB_KV_NOT_FOUND)
    {
      g_message (
          "the key-value store does not keep the changes since the last page any more; all records are read anew, and "
          "nothing needs to be done");
      set_state (kv_replica, HZB_KV_REPLICA_EMPTY);
      ask_again_later (kv_replica);
      return;
    }
  items = result == HZB_KV_OK ? hzb_kv_watch_decode (body, &revision) : NULL;
  if (!items)
    {
      ask_again_later (kv_replica);
      return;
    }
  kv_replica->load_revision = apply_changes (kv_replica, items, kv_replica->load_revision, revision);
  if (kv_replica->load_step == LOAD_LAST_CHANGES)
    {
      finish_load (kv_replica, call->sent);
      return;
    }
  kv_replica->load_step = LOAD_PAGE;
  ask_for_load (kv_replica);
}

static void
ask_for_load (HzbKvReplica *kv_replica)
{
  kv_replica->load_asked = TRUE;
  if (kv_replica->load_step == LOAD_PAGE)
    hzb_kv_client_range (kv_replica->kv, kv_replica->prefix, kv_replica->load_cursor, on_page, call_new (kv_replica));
  else
    hzb_kv_client_changes (kv_replica->kv, kv_replica->prefix, kv_replica->load_revision, on_load_changes,
                           call_new (kv_replica));
}

static void
begin_load (HzbKvReplica *kv_replica)
{
  set_state (kv_replica, HZB_KV_REPLICA_LOADING);
  kv_replica->funcs.load_begin (kv_replica->user);
  g_clear_pointer (&kv_replica->load_cursor, g_free);
  kv_replica->load_revision = 0;
  kv_replica->load_step = LOAD_PAGE;
  ask_for_load (kv_replica);
}

void
hzb_kv_replica_reset (HzbKvReplica *kv_replica)
{
  set_state (kv_replica, HZB_KV_REPLICA_EMPTY);
  kv_replica->funcs.lost (kv_replica->user);
}

/* ---- following ---- */

static void
watch_failed (HzbKvReplica *kv_replica, HzbKvResult result)
{
  kv_replica->next_step = hzb_time_plus (hzb_clock_now (kv_replica->clock), REWATCH_PAUSE_S);
  if (result != HZB_KV_UNKNOWN)
    return;
  if (hzb_kv_client_unresponsive_s (kv_replica->kv) > SERVED_LATELY_S)
    kv_replica->lost_watches = 0; /* the store answers nothing at all, so the number of changes is not the cause */
  else if (++kv_replica->lost_watches >= MAX_LOST_WATCHES)
    hzb_kv_replica_reset (kv_replica);
}

static void
on_watched (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree Call *call = user;
  HzbKvReplica *kv_replica = call->kv_replica;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!is_current (call))
    return;
  kv_replica->watching = FALSE;
  items = result == HZB_KV_OK ? hzb_kv_watch_decode (body, &revision) : NULL;
  if (result == HZB_KV_NOT_FOUND)
    hzb_kv_replica_reset (kv_replica);
  else if (!items)
    watch_failed (kv_replica, result);
  else
    {
      kv_replica->revision = apply_changes (kv_replica, items, kv_replica->revision, revision);
      note_current (kv_replica, call->sent);
      kv_replica->last_watch = hzb_clock_now (kv_replica->clock);
      kv_replica->lost_watches = 0;
    }
  step (kv_replica);
}

static void
on_synced (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree Call *call = user;
  HzbKvReplica *kv_replica = call->kv_replica;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!is_current (call))
    {
      call->done (FALSE, call->user);
      return;
    }
  items = result == HZB_KV_OK ? hzb_kv_watch_decode (body, &revision) : NULL;
  if (items)
    {
      kv_replica->revision = apply_changes (kv_replica, items, kv_replica->revision, revision);
      note_current (kv_replica, call->sent);
    }
  else if (result == HZB_KV_NOT_FOUND)
    hzb_kv_replica_reset (kv_replica); /* else the watch would get the same answer a moment later */
  call->done (items != NULL, call->user);
}

void
hzb_kv_replica_sync (HzbKvReplica *kv_replica, HzbKvReplicaSyncFunc done, gpointer user)
{
  Call *call;
  if (kv_replica->state != HZB_KV_REPLICA_FOLLOWING)
    {
      done (FALSE, user);
      return;
    }
  call = call_new (kv_replica);
  call->done = done;
  call->user = user;
  hzb_kv_client_changes (kv_replica->kv, kv_replica->prefix, kv_replica->revision, on_synced, call);
}

static void
step (HzbKvReplica *kv_replica)
{
  struct timespec now = hzb_clock_now (kv_replica->clock);
  if (hzb_time_before (now, kv_replica->next_step))
    return;
  if (kv_replica->state == HZB_KV_REPLICA_EMPTY && kv_replica->funcs.may_load (kv_replica->user))
    begin_load (kv_replica);
  else if (kv_replica->state == HZB_KV_REPLICA_LOADING && !kv_replica->load_asked)
    ask_for_load (kv_replica);
  else if (kv_replica->state == HZB_KV_REPLICA_FOLLOWING && !kv_replica->watching
           && !hzb_time_before (now, kv_replica->next_watch))
    {
      kv_replica->watching = TRUE;
      kv_replica->next_watch = hzb_time_plus (now, kv_replica->watch_interval_s);
      hzb_kv_client_watch (kv_replica->kv, kv_replica->prefix, kv_replica->revision, HZB_KV_REPLICA_WATCH_MS,
                           on_watched, call_new (kv_replica));
    }
}

void
hzb_kv_replica_tick (HzbKvReplica *kv_replica)
{
  step (kv_replica);
}

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

HzbKvReplica *
hzb_kv_replica_new (HzbKvClient *kv, HzbClock *clock, const char *prefix, double watch_interval_s,
                    const HzbKvReplicaFuncs *funcs, gpointer user)
{
  HzbKvReplica *kv_replica = g_new0 (HzbKvReplica, 1);
  kv_replica->kv = kv;
  kv_replica->clock = clock;
  kv_replica->prefix = g_strdup (prefix);
  kv_replica->watch_interval_s = watch_interval_s;
  kv_replica->funcs = *funcs;
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

gboolean
hzb_kv_replica_store_unresponsive (const HzbKvReplica *kv_replica)
{
  return hzb_kv_client_unresponsive_s (kv_replica->kv) > STORE_UNRESPONSIVE_S;
}
