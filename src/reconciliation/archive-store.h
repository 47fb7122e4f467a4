/**
 * SECTION: archive-store
 * @short_description: archives in the key-value store
 *
 * Outside of what controllers replica and of what a new leader reads: an archive is written once and read when an operator
 * asks for it. The newest ones are kept, as many as the settings say.
 */
#pragma once
#include "archive.h"
#include "election.h"
#include "kv-client.h"
#include "node.h"
#include "ownership.h"

typedef struct _HzbArchiveStore HzbArchiveStore;

/** HzbArchiveWritten: @done is FALSE if it could not be written for now; the caller tries again later. */
typedef void (*HzbArchiveWritten) (gboolean done, gpointer user);

/** HzbArchiveRead: @status is of the administration API (200, 404, 503). @body: (transfer full): its answer */
typedef void (*HzbArchiveRead) (guint status, char *body, gpointer user);

/** HzbArchiveStoreDependencies: what the module works with. Nothing is owned; all have to outlive the module. */
typedef struct
{
  HzbNode *node;           /**< settings */
  HzbKvClient *kv;         /**< where archives are kept */
  HzbElection *election;   /**< archives are written on condition of the leader's term */
  HzbOwnership *ownership; /**< drops responses to requests of an earlier epoch */
} HzbArchiveStoreDependencies;

/** hzb_archive_store_new: @dependencies: copied. Returns: (transfer full) */
HzbArchiveStore *hzb_archive_store_new (const HzbArchiveStoreDependencies *dependencies);
void hzb_archive_store_free (HzbArchiveStore *store);

/** hzb_archive_store_write: takes over the archive of one reconciliation. One at a time; writing it again is harmless. */
void
hzb_archive_store_write (HzbArchiveStore *store, guint64 id, GBytes *bytes, HzbArchiveWritten written, gpointer user);

/** hzb_archive_store_list: the ids of what is kept, as JSON. */
void hzb_archive_store_list (HzbArchiveStore *store, HzbArchiveRead read, gpointer user);

/** hzb_archive_store_read: one archive, in base 64, as JSON. */
void hzb_archive_store_read (HzbArchiveStore *store, guint64 id, HzbArchiveRead read, gpointer user);
