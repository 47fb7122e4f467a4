#include "mirror.h"

#define FRESH_SLACK_S 2.0   /* beyond the time that a watch takes */
#define RELOAD_PAUSE_S 0.4  /* after a page that did not come */
#define REWATCH_PAUSE_S 0.3 /* after a watch that failed */
/* Guards against news that never come in time, being too many: after so many watches without an answer, though the
 * service answers other calls, all is read anew in pages. */
#define MAX_LOST_WATCHES 5u
#define SERVED_LATELY_S 2.0

/* What the reading of all records does next. */
typedef enum
{
  LOAD_PAGE,        /* the keys after the last one read */
  LOAD_CHANGES,     /* what has changed meanwhile */
  LOAD_LAST_CHANGES /* the same, after the last page: then all is as of one revision */
} LoadStep;

struct _HzbMirror
{
  HzbKvClient *kv;
  HzbClock *clock;
  char *prefix;
  HzbMirrorFuncs funcs;
  gpointer user;

  HzbMirrorState state; /* changed by set_state() only */
  guint64 generation;   /* raised when all is read anew: what was asked before that is not taken any more */
  guint64 revision;
  gboolean watching;
  guint lost_watches; /* in a row */
  double watch_interval_s;
  struct timespec next_watch;
  struct timespec current_as_of; /* see hzb_mirror_current_as_of() */
  struct timespec last_watch, next_step;
  /* of the reading under way: */
  LoadStep load_step;
  gboolean load_asked;
  guint64 load_revision; /* of its first page, or of the changes that were read since; 0: there was no page yet */
  char *load_cursor;     /* the last key read */
};

/* A request, and what it was asked for. */
typedef struct
{
  HzbMirror *mirror;
  guint64 generation;
  struct timespec sent;
  HzbSyncFunc done; /* of a sync */
  gpointer user;
} Call;

static void step (HzbMirror *mirror);
static void ask_for_load (HzbMirror *mirror);

static Call *
call_new (HzbMirror *mirror)
{
  Call *call = g_new0 (Call, 1);
  call->mirror = mirror;
  call->generation = mirror->generation;
  call->sent = hzb_clock_now (mirror->clock);
  return call;
}

/* Guards against replies that outlive what they were asked for: of an earlier reading, or of before everything was lost. */
static gboolean
is_current (const Call *call)
{
  return call->generation == call->mirror->generation;
}

/* Allowed: empty -> loading -> following, and back to empty from both. */
static void
set_state (HzbMirror *mirror, HzbMirrorState to)
{
  static const guint legal[] = {
    [HZB_MIRROR_EMPTY] = 1 << HZB_MIRROR_LOADING | 1 << HZB_MIRROR_EMPTY,
    [HZB_MIRROR_LOADING] = 1 << HZB_MIRROR_FOLLOWING | 1 << HZB_MIRROR_EMPTY,
    [HZB_MIRROR_FOLLOWING] = 1 << HZB_MIRROR_EMPTY,
  };
  g_return_if_fail (legal[mirror->state] & 1u << to);
  mirror->state = to;
  if (to == HZB_MIRROR_EMPTY)
    {
      mirror->generation++;
      mirror->current_as_of = (struct timespec){ 0 };
      mirror->watching = mirror->load_asked = FALSE;
      mirror->lost_watches = 0;
    }
}

static void
apply_page (HzbMirror *mirror, const GArray *items)
{
  for (guint i = 0; i < items->len; i++)
    mirror->funcs.apply (&g_array_index (items, HzbKvEntry, i), mirror->user);
}

/* Each change once, in their order: what a watch has brought, a sync that was sent before it may bring again.
 * Returns: up to where they go. */
static guint64
apply_changes (HzbMirror *mirror, const GArray *items, guint64 applied, guint64 revision)
{
  for (guint i = 0; i < items->len; i++)
    {
      const HzbKvEntry *item = &g_array_index (items, HzbKvEntry, i);
      if (item->version > applied)
        mirror->funcs.apply (item, mirror->user);
    }
  return MAX (applied, revision);
}

/* Answers may come in another order than the requests went out. */
static void
note_current (HzbMirror *mirror, struct timespec as_of)
{
  if (hzb_time_before (mirror->current_as_of, as_of))
    mirror->current_as_of = as_of;
}

/* ---- reading all ---- */

static void
ask_again_later (HzbMirror *mirror)
{
  mirror->next_step = hzb_time_plus (hzb_clock_now (mirror->clock), RELOAD_PAUSE_S);
}

static void
finish_load (HzbMirror *mirror, struct timespec as_of)
{
  mirror->revision = MAX (mirror->revision, mirror->load_revision);
  set_state (mirror, HZB_MIRROR_FOLLOWING);
  note_current (mirror, as_of);
  mirror->last_watch = hzb_clock_now (mirror->clock);
  mirror->funcs.load_end (mirror->revision, mirror->user);
  g_message ("the mirror has been read, at revision %" G_GUINT64_FORMAT, mirror->revision);
  step (mirror);
}

static void
on_page (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree Call *call = user;
  HzbMirror *mirror = call->mirror;
  gboolean more = FALSE;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!is_current (call))
    return;
  mirror->load_asked = FALSE;
  items = result == HZB_KV_OK ? hzb_wire_parse_range (body, &more, &revision) : NULL;
  if (!items)
    {
      ask_again_later (mirror);
      return;
    }
  if (!mirror->load_revision)
    mirror->load_revision = revision;
  apply_page (mirror, items);
  more = more && items->len;
  if (!more && mirror->load_revision == revision)
    {
      finish_load (mirror, call->sent);
      return;
    }
  if (more)
    {
      g_free (mirror->load_cursor);
      mirror->load_cursor = g_strdup (g_array_index (items, HzbKvEntry, items->len - 1).key);
    }
  mirror->load_step = more ? LOAD_CHANGES : LOAD_LAST_CHANGES;
  ask_for_load (mirror);
}

static void
on_load_changes (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree Call *call = user;
  HzbMirror *mirror = call->mirror;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!is_current (call))
    return;
  mirror->load_asked = FALSE;
  if (result == HZB_KV_NOT_FOUND)
    {
      g_message ("the changes since a page are not kept any more: all records are read anew");
      set_state (mirror, HZB_MIRROR_EMPTY);
      ask_again_later (mirror);
      return;
    }
  items = result == HZB_KV_OK ? hzb_wire_parse_watch (body, &revision) : NULL;
  if (!items)
    {
      ask_again_later (mirror);
      return;
    }
  mirror->load_revision = apply_changes (mirror, items, mirror->load_revision, revision);
  if (mirror->load_step == LOAD_LAST_CHANGES)
    {
      finish_load (mirror, call->sent);
      return;
    }
  mirror->load_step = LOAD_PAGE;
  ask_for_load (mirror);
}

/* Page by page. What did not come is asked for again, and what has been read stays. Between two pages come the changes
 * since the one before, so that it does not matter how long reading all takes: the service keeps only so many. */
static void
ask_for_load (HzbMirror *mirror)
{
  mirror->load_asked = TRUE;
  if (mirror->load_step == LOAD_PAGE)
    hzb_kv_client_range (mirror->kv, mirror->prefix, mirror->load_cursor, on_page, call_new (mirror));
  else
    hzb_kv_client_changes (mirror->kv, mirror->prefix, mirror->load_revision, on_load_changes, call_new (mirror));
}

static void
begin_load (HzbMirror *mirror)
{
  set_state (mirror, HZB_MIRROR_LOADING);
  mirror->funcs.load_begin (mirror->user);
  g_clear_pointer (&mirror->load_cursor, g_free);
  mirror->load_revision = 0;
  mirror->load_step = LOAD_PAGE;
  ask_for_load (mirror);
}

void
hzb_mirror_reset (HzbMirror *mirror)
{
  set_state (mirror, HZB_MIRROR_EMPTY);
  mirror->funcs.lost (mirror->user);
}

/* ---- following ---- */

static void
watch_failed (HzbMirror *mirror, HzbKvResult result)
{
  mirror->next_step = hzb_time_plus (hzb_clock_now (mirror->clock), REWATCH_PAUSE_S);
  if (result != HZB_KV_UNKNOWN)
    return;
  if (hzb_kv_client_unresponsive_s (mirror->kv) > SERVED_LATELY_S)
    mirror->lost_watches = 0; /* nothing comes through */
  else if (++mirror->lost_watches >= MAX_LOST_WATCHES)
    hzb_mirror_reset (mirror);
}

static void
on_watched (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree Call *call = user;
  HzbMirror *mirror = call->mirror;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!is_current (call))
    return;
  mirror->watching = FALSE;
  items = result == HZB_KV_OK ? hzb_wire_parse_watch (body, &revision) : NULL;
  if (result == HZB_KV_NOT_FOUND)
    hzb_mirror_reset (mirror);
  else if (!items)
    watch_failed (mirror, result);
  else
    {
      mirror->revision = apply_changes (mirror, items, mirror->revision, revision);
      note_current (mirror, call->sent);
      mirror->last_watch = hzb_clock_now (mirror->clock);
      mirror->lost_watches = 0;
    }
  step (mirror);
}

static void
on_synced (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree Call *call = user;
  HzbMirror *mirror = call->mirror;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!is_current (call))
    {
      call->done (FALSE, call->user);
      return;
    }
  items = result == HZB_KV_OK ? hzb_wire_parse_watch (body, &revision) : NULL;
  if (items)
    {
      mirror->revision = apply_changes (mirror, items, mirror->revision, revision);
      note_current (mirror, call->sent);
    }
  else if (result == HZB_KV_NOT_FOUND)
    hzb_mirror_reset (mirror); /* the watch would find the same a moment later */
  call->done (items != NULL, call->user);
}

/* A watch that does not wait brings all that has changed up to now. */
void
hzb_mirror_sync (HzbMirror *mirror, HzbSyncFunc done, gpointer user)
{
  Call *call;
  if (mirror->state != HZB_MIRROR_FOLLOWING)
    {
      done (FALSE, user);
      return;
    }
  call = call_new (mirror);
  call->done = done;
  call->user = user;
  hzb_kv_client_changes (mirror->kv, mirror->prefix, mirror->revision, on_synced, call);
}

static void
step (HzbMirror *mirror)
{
  struct timespec now = hzb_clock_now (mirror->clock);
  if (hzb_time_before (now, mirror->next_step))
    return;
  if (mirror->state == HZB_MIRROR_EMPTY && mirror->funcs.may_load (mirror->user))
    begin_load (mirror);
  else if (mirror->state == HZB_MIRROR_LOADING && !mirror->load_asked)
    ask_for_load (mirror);
  else if (mirror->state == HZB_MIRROR_FOLLOWING && !mirror->watching && !hzb_time_before (now, mirror->next_watch))
    {
      mirror->watching = TRUE;
      mirror->next_watch = hzb_time_plus (now, mirror->watch_interval_s);
      hzb_kv_client_watch (mirror->kv, mirror->prefix, mirror->revision, HZB_MIRROR_WATCH_MS, on_watched,
                           call_new (mirror));
    }
}

void
hzb_mirror_tick (HzbMirror *mirror)
{
  step (mirror);
}

HzbMirrorState
hzb_mirror_state (const HzbMirror *mirror)
{
  return mirror->state;
}

guint64
hzb_mirror_revision (const HzbMirror *mirror)
{
  return mirror->revision;
}

gboolean
hzb_mirror_covers (const HzbMirror *mirror, guint64 revision)
{
  return revision <= (mirror->state == HZB_MIRROR_LOADING ? mirror->load_revision : mirror->revision);
}

struct timespec
hzb_mirror_current_as_of (const HzbMirror *mirror)
{
  return mirror->current_as_of;
}

gboolean
hzb_mirror_is_fresh (const HzbMirror *mirror)
{
  return mirror->state == HZB_MIRROR_FOLLOWING
         && hzb_time_between (mirror->last_watch, hzb_clock_now (mirror->clock))
                < HZB_MIRROR_WATCH_MS / 1000.0 + FRESH_SLACK_S;
}

HzbMirror *
hzb_mirror_new (HzbKvClient *kv, HzbClock *clock, const char *prefix, double watch_interval_s,
                const HzbMirrorFuncs *funcs, gpointer user)
{
  HzbMirror *mirror = g_new0 (HzbMirror, 1);
  mirror->kv = kv;
  mirror->clock = clock;
  mirror->prefix = g_strdup (prefix);
  mirror->watch_interval_s = watch_interval_s;
  mirror->funcs = *funcs;
  mirror->user = user;
  return mirror;
}

void
hzb_mirror_free (HzbMirror *mirror)
{
  g_free (mirror->prefix);
  g_free (mirror->load_cursor);
  g_free (mirror);
}
