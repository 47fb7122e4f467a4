/**
 * SECTION: archive-store
 * @short_description: archives in the key-value store
 *
 * Controllers do not replicate archives, and a new leader does not load them: an archive is written once, and read when
 * an operator requests it. The setting reconciliation.keep says how many of the newest archives are kept.
 */
#pragma once
#include "archive.h"
#include "election.h"
#include "kv-client.h"
#include "node.h"
#include "ownership.h"

/** HzbArchiveStore: writes and reads archives. */
typedef struct _HzbArchiveStore HzbArchiveStore;

/** HzbArchiveWriteFunc: receives the result of a write. `durable`: %FALSE if the archive may not be durable; the caller
 * writes it again later */
typedef void (*HzbArchiveWriteFunc) (gboolean durable, gpointer user);

/** HzbArchiveReadFunc: receives the result of a read. `status`: HTTP status of the administration API's response (200,
 * 404 or 503). `body`: (transfer full): JSON body of the response */
typedef void (*HzbArchiveReadFunc) (guint status, char *body, gpointer user);

/** HzbArchiveStoreDependencies: modules that the store calls. The store owns none of them, and all must outlive it. */
typedef struct
{
  HzbNode *node;           /**< settings */
  HzbKvClient *kv;         /**< client of the key-value store that contains the archives */
  HzbElection *election;   /**< makes each write conditional on the leader's term */
  HzbOwnership *ownership; /**< identifies responses to requests of an earlier epoch, which are dropped */
} HzbArchiveStoreDependencies;

/** hzb_archive_store_new: `dependencies`: copied. Returns: (transfer full): the store */
HzbArchiveStore *hzb_archive_store_new (const HzbArchiveStoreDependencies *dependencies);

/** hzb_archive_store_free: no request of the store may be in flight. */
void hzb_archive_store_free (HzbArchiveStore *store);

/**
 * hzb_archive_store_write: writes the archive of a reconciliation.
 * `id`: of the reconciliation
 * `bytes`: (transfer none): the packed archive
 * `written`: called once, when the write ends; not called if the epoch of the ownership has ended by then
 * `user`: (nullable): passed to `written`
 *
 * At most one write may be in flight. A further write of the same archive is harmless.
 */
void
hzb_archive_store_write (HzbArchiveStore *store, guint64 id, GBytes *bytes, HzbArchiveWriteFunc written, gpointer user);

/** hzb_archive_store_list: reads the ids of all stored archives. `read`: called once, with the list
 * (hzb_archive_index_encode()) or an error response; `user`: (nullable): passed to `read` */
void hzb_archive_store_list (HzbArchiveStore *store, HzbArchiveReadFunc read, gpointer user);

/** hzb_archive_store_read: reads an archive. `id`: of the reconciliation; `read`: called once, with the archive
 * (hzb_archive_response_encode()) or an error response; `user`: (nullable): passed to `read` */
void hzb_archive_store_read (HzbArchiveStore *store, guint64 id, HzbArchiveReadFunc read, gpointer user);
