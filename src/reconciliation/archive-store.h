/**
 * SECTION: archive-store
 * @short_description: archives in the key-value store
 *
 * Archives lie outside of what controllers replicate and of what a new leader reads: an archive is written once, and
 * read when an operator asks for it. The newest archives are kept, as many as the settings say.
 */
#pragma once
#include "archive.h"
#include "election.h"
#include "kv-client.h"
#include "node.h"
#include "ownership.h"

/** HzbArchiveStore: writes and reads archives. */
typedef struct _HzbArchiveStore HzbArchiveStore;

/** HzbArchiveWritten: `done` is %FALSE if the archive could not be written for now; the caller tries again later. */
typedef void (*HzbArchiveWritten) (gboolean done, gpointer user);

/** HzbArchiveRead: `status`: of the administration API (200, 404, 503). `body`: (transfer full): its response */
typedef void (*HzbArchiveRead) (guint status, char *body, gpointer user);

/** HzbArchiveStoreDependencies: what the module works with. Nothing is owned; all have to outlive the module. */
typedef struct
{
  HzbNode *node;           /**< settings */
  HzbKvClient *kv;         /**< where archives are kept */
  HzbElection *election;   /**< archives are written on condition of the leader's term */
  HzbOwnership *ownership; /**< drops responses to requests of an earlier epoch */
} HzbArchiveStoreDependencies;

/** hzb_archive_store_new: `dependencies`: copied. Returns: (transfer full) */
HzbArchiveStore *hzb_archive_store_new (const HzbArchiveStoreDependencies *dependencies);

/** hzb_archive_store_free: no response to a request of the module may come afterwards. */
void hzb_archive_store_free (HzbArchiveStore *store);

/**
 * hzb_archive_store_write:
 * `id`: of the reconciliation
 * `bytes`: (transfer none): the packed archive
 * `written`: called once, unless the epoch ends before
 *
 * Writes the archive of a reconciliation. One is written at a time; writing the same one again is harmless.
 */
void
hzb_archive_store_write (HzbArchiveStore *store, guint64 id, GBytes *bytes, HzbArchiveWritten written, gpointer user);

/** hzb_archive_store_list: the ids of the archives that are kept, as JSON. `read` is called once. */
void hzb_archive_store_list (HzbArchiveStore *store, HzbArchiveRead read, gpointer user);

/** hzb_archive_store_read: one archive, in base 64, as JSON. `read` is called once. */
void hzb_archive_store_read (HzbArchiveStore *store, guint64 id, HzbArchiveRead read, gpointer user);
