#include "mirror.h"

#define FRESH_SLACK_S 2.0   /* beyond the time that a watch takes */
#define RELOAD_PAUSE_S 0.4  /* after a reading that failed */
#define REWATCH_PAUSE_S 0.3 /* after a watch that failed */

struct _HzbMirror
{
  HzbStore *store;
  HzbClock *clock;
  char *prefix;
  HzbMirrorFuncs funcs;
  gpointer user;

  HzbMirrorState state; /* changed by set_state() only */
  guint64 revision;
  gboolean watching;
  double watch_interval_s;
  struct timespec next_watch;
  struct timespec last_watch, next_step;
  /* of the reading under way: */
  guint64 load_revision; /* of its first page: changes since then are brought by the watch */
  char *load_cursor;     /* the last key read */
};

static void step (HzbMirror *mirror);

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
}

static void
apply_all (HzbMirror *mirror, const GArray *items)
{
  for (guint i = 0; i < items->len; i++)
    mirror->funcs.apply (&g_array_index (items, HzbItem, i), mirror->user);
}

static void
on_loaded (HzbStoreResult result, const char *body, gpointer user)
{
  HzbMirror *mirror = user;
  gboolean more = FALSE;
  guint64 revision = 0;
  g_autoptr (GArray) items = result == HZB_STORE_OK ? hzb_wire_parse_range (body, &more, &revision) : NULL;

  if (mirror->state != HZB_MIRROR_LOADING)
    return; /* it was reset meanwhile */
  if (!items)
    {
      set_state (mirror, HZB_MIRROR_EMPTY);
      mirror->next_step = hzb_time_plus (hzb_clock_now (mirror->clock), RELOAD_PAUSE_S);
      return;
    }
  if (!mirror->load_cursor)
    mirror->load_revision = revision;
  apply_all (mirror, items);
  if (items->len)
    {
      g_free (mirror->load_cursor);
      mirror->load_cursor = g_strdup (g_array_index (items, HzbItem, items->len - 1).key);
    }
  if (more && items->len)
    {
      hzb_store_range (mirror->store, mirror->prefix, mirror->load_cursor, on_loaded, mirror);
      return;
    }
  mirror->revision = mirror->load_revision;
  set_state (mirror, HZB_MIRROR_FOLLOWING);
  mirror->last_watch = hzb_clock_now (mirror->clock);
  mirror->funcs.load_end (mirror->revision, mirror->user);
  g_message ("the mirror has been read, at revision %" G_GUINT64_FORMAT, mirror->revision);
  step (mirror);
}

void
hzb_mirror_reset (HzbMirror *mirror)
{
  set_state (mirror, HZB_MIRROR_EMPTY);
  mirror->funcs.lost (mirror->user);
}

static void
on_watched (HzbStoreResult result, const char *body, gpointer user)
{
  HzbMirror *mirror = user;
  guint64 revision = 0;
  g_autoptr (GArray) items = result == HZB_STORE_OK ? hzb_wire_parse_watch (body, &revision) : NULL;

  mirror->watching = FALSE;
  if (result == HZB_STORE_ABSENT)
    hzb_mirror_reset (mirror);
  else if (!items)
    mirror->next_step = hzb_time_plus (hzb_clock_now (mirror->clock), REWATCH_PAUSE_S);
  else
    {
      apply_all (mirror, items);
      mirror->revision = MAX (mirror->revision, revision);
      mirror->last_watch = hzb_clock_now (mirror->clock);
    }
  step (mirror);
}

typedef struct
{
  HzbMirror *mirror;
  HzbSyncFunc done;
  gpointer user;
} Sync;

static void
on_synced (HzbStoreResult result, const char *body, gpointer user)
{
  g_autofree Sync *sync = user;
  HzbMirror *mirror = sync->mirror;
  guint64 revision = 0;
  g_autoptr (GArray) items = result == HZB_STORE_OK ? hzb_wire_parse_watch (body, &revision) : NULL;

  if (items)
    {
      apply_all (mirror, items);
      mirror->revision = MAX (mirror->revision, revision);
    }
  sync->done (items != NULL, sync->user);
}

/* A watch that does not wait brings all that has changed up to now. */
void
hzb_mirror_sync (HzbMirror *mirror, HzbSyncFunc done, gpointer user)
{
  Sync *sync;
  if (mirror->state != HZB_MIRROR_FOLLOWING)
    {
      done (FALSE, user);
      return;
    }
  sync = g_new0 (Sync, 1);
  sync->mirror = mirror;
  sync->done = done;
  sync->user = user;
  hzb_store_news (mirror->store, mirror->prefix, mirror->revision, on_synced, sync);
}

static void
step (HzbMirror *mirror)
{
  struct timespec now = hzb_clock_now (mirror->clock);
  if (hzb_time_before (now, mirror->next_step))
    return;
  if (mirror->state == HZB_MIRROR_EMPTY && mirror->funcs.may_load (mirror->user))
    {
      set_state (mirror, HZB_MIRROR_LOADING);
      mirror->funcs.load_begin (mirror->user);
      g_clear_pointer (&mirror->load_cursor, g_free);
      hzb_store_range (mirror->store, mirror->prefix, NULL, on_loaded, mirror);
    }
  else if (mirror->state == HZB_MIRROR_FOLLOWING && !mirror->watching && !hzb_time_before (now, mirror->next_watch))
    {
      mirror->watching = TRUE;
      mirror->next_watch = hzb_time_plus (now, mirror->watch_interval_s);
      hzb_store_watch (mirror->store, mirror->prefix, mirror->revision, HZB_MIRROR_WATCH_MS, on_watched, mirror);
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
hzb_mirror_is_fresh (const HzbMirror *mirror)
{
  return mirror->state == HZB_MIRROR_FOLLOWING
         && hzb_time_between (mirror->last_watch, hzb_clock_now (mirror->clock))
                < HZB_MIRROR_WATCH_MS / 1000.0 + FRESH_SLACK_S;
}

HzbMirror *
hzb_mirror_new (HzbStore *store, HzbClock *clock, const char *prefix, double watch_interval_s,
                const HzbMirrorFuncs *funcs, gpointer user)
{
  HzbMirror *mirror = g_new0 (HzbMirror, 1);
  mirror->store = store;
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
