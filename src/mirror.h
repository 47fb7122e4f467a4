/**
 * SECTION: mirror
 * @short_description: this node's copy of the records that every controller follows
 *
 * Reads all records under one prefix, then follows their changes with a watch. What the records mean is the business of
 * whoever made the mirror: it is handed each record, in the order of changes, through #HzbMirrorFuncs.
 */
#pragma once
#include "kv-client.h"

typedef enum
{
  HZB_MIRROR_EMPTY,    /* nothing was read yet, or too much was missed */
  HZB_MIRROR_LOADING,  /* all records are being read */
  HZB_MIRROR_FOLLOWING /* a watch brings each change */
} HzbMirrorState;

typedef struct _HzbMirror HzbMirror;

/** HzbMirrorFuncs: what the mirror's owner does. */
typedef struct
{
  gboolean (*may_load) (gpointer user); /* FALSE: not now, ask again */
  void (*load_begin) (gpointer user);
  void (*apply) (const HzbKvEntry *item, gpointer user);
  void (*load_end) (guint64 revision, gpointer user);
  void (*lost) (gpointer user); /* too much was missed: all will be read anew */
} HzbMirrorFuncs;

/** HzbSyncFunc: @fresh is FALSE if the mirror could not be brought up to this moment. */
typedef void (*HzbSyncFunc) (gboolean fresh, gpointer user);

/**
 * hzb_mirror_new:
 * @watch_interval_s: watches are opened no more often than this; what changes meanwhile comes with the next one
 */
HzbMirror *hzb_mirror_new (HzbKvClient *kv, HzbClock *clock, const char *prefix, double watch_interval_s,
                           const HzbMirrorFuncs *funcs, gpointer user);
void hzb_mirror_free (HzbMirror *mirror);

/** hzb_mirror_tick: starts whatever is to be done next: reading all, or the next watch. */
void hzb_mirror_tick (HzbMirror *mirror);

HzbMirrorState hzb_mirror_state (const HzbMirror *mirror);

/** hzb_mirror_revision: all changes up to this revision were applied; 0 before the first reading was complete. */
guint64 hzb_mirror_revision (const HzbMirror *mirror);

/**
 * hzb_mirror_covers: whatever has changed up to this revision was applied, or a page of the reading under way will show
 * what is left of it.
 */
gboolean hzb_mirror_covers (const HzbMirror *mirror, guint64 revision);

/** hzb_mirror_is_fresh: a watch has ended lately, so little can have been missed. */
gboolean hzb_mirror_is_fresh (const HzbMirror *mirror);

/**
 * hzb_mirror_current_as_of: whatever had been recorded by then is in the mirror: when the request was sent whose answer
 * brought it up to date last. Not set before the first reading was complete, or while all is read anew.
 */
struct timespec hzb_mirror_current_as_of (const HzbMirror *mirror);

/** hzb_mirror_sync: brings the mirror up to this moment, then calls @done. */
void hzb_mirror_sync (HzbMirror *mirror, HzbSyncFunc done, gpointer user);

/** hzb_mirror_reset: drops what is known; all is read anew. */
void hzb_mirror_reset (HzbMirror *mirror);

/** HZB_MIRROR_WATCH_MS: how long a watch waits for a change before it is renewed. */
#define HZB_MIRROR_WATCH_MS 2000
