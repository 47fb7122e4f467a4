/* Makes verdicts durable, and removes them once they are archived.
 *
 * Each page of verdicts has a number of its own. The transaction that writes a page is conditional on the leader's term
 * and on the page not existing yet, so that it changes nothing if it is carried out late or twice. */
#include "archive-packing.h"
#include "kv-protocol.h"
#include "reconciliation-private.h"
#include "record-keys.h"

#include <string.h>

#define WRITE_INTERVAL_S 0.2   /* verdicts that are made within this time share a transaction */
#define RETRY_S 0.5            /* after the key-value store refused a transaction or did not respond */
#define ARCHIVE_RETRY_S 5.0    /* longer than RETRY_S: the archive is not urgent */
#define PAGE_FILL_FRACTION 0.9 /* of the largest allowed value */

/* A new page is begun only if its first verdict keeps the verdicts of the transaction within this size. The last page
 * is filled even if the transaction then exceeds the size. */
#define MAX_TRANSACTION_BYTES 40000u

void
hzb_recorder_reset (HzbReconciliation *reconciliation)
{
  reconciliation->record_version = 0;
  g_ptr_array_set_size (reconciliation->page_keys, 0);
  reconciliation->next_page = 1;
  g_ptr_array_set_size (reconciliation->in_flight, 0);
  reconciliation->sending = FALSE;
  reconciliation->archive_progress = HZB_ARCHIVE_UNWRITTEN;
  g_clear_pointer (&reconciliation->packed_archive, g_bytes_unref);
}

static gboolean
record_is_durable (const HzbReconciliation *reconciliation)
{
  return reconciliation->record_state == HZB_RECORD_STATE_DURABLE;
}

/* ---- pages ---- */

/* The verdicts on a page do not change while their jobs are in the phase "sent", so each attempt to write the page
 * writes the same bytes. */
static cJSON *
encode_page (const HzbReconciliation *reconciliation, const HzbVerdictPage *page)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new ();

  for (guint i = 0; i < page->jobs->len; i++)
    g_ptr_array_add (entries, &((HzbTrackedJob *) page->jobs->pdata[i])->entry);
  return hzb_verdict_page_encode (reconciliation->record.id, reconciliation->record.term, entries);
}

/* Adds an empty page to those in flight, under a number that no other page has had. */
static HzbVerdictPage *
add_page (HzbReconciliation *reconciliation)
{
  HzbVerdictPage *page = g_new0 (HzbVerdictPage, 1);
  page->key = g_strdup_printf (HZB_KEY_RECONCILIATION_VERDICTS "%06u", reconciliation->next_page++);
  page->jobs = g_ptr_array_new ();
  g_ptr_array_add (reconciliation->in_flight, page);
  return page;
}

/* Puts decided jobs on new pages, up to the limits of one transaction. */
static void
fill_pages (HzbReconciliation *reconciliation)
{
  const HzbSettings *settings = reconciliation->dependencies.node->settings;
  gsize max_page_bytes = (gsize) (PAGE_FILL_FRACTION * settings->kv_value_kb * 1024), page_bytes = 0,
        transaction_bytes = 0;
  guint max_pages = MAX (1, settings->kv_txn_ops - 1);
  HzbVerdictPage *page = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reconciliation->tracked_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbTrackedJob *tracked = value;
      gsize bytes = hzb_verdict_entry_bytes (&tracked->entry);
      if (tracked->phase != HZB_JOB_PHASE_DECIDED)
        continue;
      if (!page || page_bytes + bytes > max_page_bytes)
        {
          if (reconciliation->in_flight->len >= max_pages || transaction_bytes + bytes > MAX_TRANSACTION_BYTES)
            return;
          page = add_page (reconciliation);
          page_bytes = 0;
        }
      g_ptr_array_add (page->jobs, tracked);
      hzb_reconciliation_set_phase (reconciliation, tracked, HZB_JOB_PHASE_SENT);
      page_bytes += bytes;
      transaction_bytes += bytes;
    }
}

/* ---- writing ---- */

static void
mark_written (HzbReconciliation *reconciliation)
{
  for (guint i = 0; i < reconciliation->in_flight->len; i++)
    {
      HzbVerdictPage *page = reconciliation->in_flight->pdata[i];
      g_ptr_array_add (reconciliation->page_keys, g_strdup (page->key));
      for (guint k = 0; k < page->jobs->len; k++)
        hzb_reconciliation_set_phase (reconciliation, page->jobs->pdata[k], HZB_JOB_PHASE_RECORDED);
    }
  g_ptr_array_set_size (reconciliation->in_flight, 0);
  hzb_reconciliation_set_record_state (reconciliation, HZB_RECORD_STATE_DURABLE);
  reconciliation->sending = FALSE;
}

static void
schedule_retry (HzbReconciliation *reconciliation)
{
  reconciliation->sending = FALSE;
  reconciliation->next_write = hzb_time_plus (hzb_clock_now (reconciliation->dependencies.node->clock), RETRY_S);
}

/* Determines the outcome of a transaction from one value that it writes: its first page, or the record if it has no
 * page. Either value contains the term of the leader that wrote it. */
static void
on_outcome_read (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbReconciliation *reconciliation = epoch_call->module;
  HzbKvEntry item = { 0 };
  gboolean value_read;

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  value_read = result == HZB_KV_NOT_FOUND || (result == HZB_KV_OK && hzb_kv_entry_decode (body, &item));
  /* While the record is not durable, no page is in flight, so the value that was read is the record. The next attempt
   * to write the record is conditional on the version that was read. */
  if (value_read && !record_is_durable (reconciliation))
    reconciliation->record_version = item.version;
  if (value_read && item.value && hzb_reconciliation_value_term (item.value) == reconciliation->record.term)
    mark_written (reconciliation);
  else
    schedule_retry (reconciliation);
  hzb_kv_entry_clear (&item);
}

static void
read_outcome (HzbReconciliation *reconciliation)
{
  const HzbReconciliationDependencies *modules = &reconciliation->dependencies;
  const HzbVerdictPage *page = reconciliation->in_flight->len ? reconciliation->in_flight->pdata[0] : NULL;

  hzb_kv_client_get (modules->kv, HZB_KV_RECORD, page ? page->key : HZB_KEY_RECONCILIATION_STATE, on_outcome_read,
                     hzb_epoch_call_new (modules->ownership, reconciliation, NULL));
}

static void
on_written (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbReconciliation *reconciliation = epoch_call->module;

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  if (result == HZB_KV_OK)
    {
      if (!record_is_durable (reconciliation))
        hzb_kv_commit_decode (body, &reconciliation->record_version, NULL);
      mark_written (reconciliation);
    }
  else if (result == HZB_KV_UNKNOWN || result == HZB_KV_CONFLICT)
    read_outcome (reconciliation);
  else
    schedule_retry (reconciliation);
}

static void
add_record (const HzbReconciliation *reconciliation, HzbKvTransaction *transaction)
{
  hzb_kv_transaction_compare (transaction, HZB_KEY_RECONCILIATION_STATE, reconciliation->record_version);
  hzb_kv_transaction_put (transaction, HZB_KEY_RECONCILIATION_STATE,
                          hzb_reconciliation_record_encode (&reconciliation->record), 0);
}

static void
add_pages (const HzbReconciliation *reconciliation, HzbKvTransaction *transaction)
{
  for (guint i = 0; i < reconciliation->in_flight->len; i++)
    {
      const HzbVerdictPage *page = reconciliation->in_flight->pdata[i];
      hzb_kv_transaction_compare (transaction, page->key, 0);
      hzb_kv_transaction_put (transaction, page->key, encode_page (reconciliation, page), 0);
    }
}

/* Sends the transaction. The caller has made it conditional on the leader's term. */
static void
commit (HzbReconciliation *reconciliation, HzbKvTransaction *transaction, HzbKvFunc done, gpointer data,
        struct timespec now)
{
  const HzbReconciliationDependencies *modules = &reconciliation->dependencies;

  reconciliation->sending = TRUE;
  reconciliation->next_write = hzb_time_plus (now, WRITE_INTERVAL_S);
  hzb_kv_client_commit (modules->kv, HZB_KV_RECORD, transaction, done,
                        hzb_epoch_call_new (modules->ownership, reconciliation, data));
}

/* Pages in flight are sent again unchanged until they are known to be durable; only then are new pages filled. */
void
hzb_recorder_write_verdicts (HzbReconciliation *reconciliation, struct timespec now)
{
  HzbKvTransaction *transaction;

  if (reconciliation->sending || hzb_time_before (now, reconciliation->next_write))
    return;
  if (!reconciliation->in_flight->len && record_is_durable (reconciliation))
    fill_pages (reconciliation);
  if (!reconciliation->in_flight->len && record_is_durable (reconciliation))
    return;
  transaction = hzb_kv_transaction_new ();
  hzb_election_add_condition (reconciliation->dependencies.election, transaction);
  if (!record_is_durable (reconciliation))
    add_record (reconciliation, transaction);
  add_pages (reconciliation, transaction);
  commit (reconciliation, transaction, on_written, NULL, now);
}

/* ---- removal of the record and its pages ---- */

static void
on_removed (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbReconciliation *reconciliation = epoch_call->module;
  guint n_removed = GPOINTER_TO_UINT (epoch_call->data);

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  if (result != HZB_KV_OK)
    {
      schedule_retry (reconciliation);
      return;
    }
  reconciliation->sending = FALSE;
  g_ptr_array_set_size (reconciliation->page_keys, (gint) (reconciliation->page_keys->len - n_removed));
  if (reconciliation->page_keys->len)
    return;
  reconciliation->record_version = 0;
  if (reconciliation->state == HZB_RECONCILIATION_RECORDED)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_COMPLETE,
                                  "the archive is written and the verdicts are removed");
}

/* Removes the last pages first, and the record together with the first ones: as long as the record exists, the next
 * leader continues the reconciliation. One change of each transaction is reserved for the removal of the record. */
void
hzb_recorder_clean_up (HzbReconciliation *reconciliation, struct timespec now)
{
  const HzbReconciliationDependencies *modules = &reconciliation->dependencies;
  guint n_pages = reconciliation->page_keys->len, n_removed = MIN (n_pages, modules->node->settings->kv_txn_ops - 1);
  HzbKvTransaction *transaction;

  if (reconciliation->sending || hzb_time_before (now, reconciliation->next_write))
    return;
  transaction = hzb_kv_transaction_new ();
  hzb_election_add_condition (modules->election, transaction);
  for (guint i = 0; i < n_removed; i++)
    hzb_kv_transaction_delete (transaction, reconciliation->page_keys->pdata[n_pages - 1 - i]);
  if (n_removed == n_pages)
    hzb_kv_transaction_delete (transaction, HZB_KEY_RECONCILIATION_STATE);
  commit (reconciliation, transaction, on_removed, GUINT_TO_POINTER (n_removed), now);
}

/* ---- the archive ---- */

static void
archive_jobs (const HzbReconciliation *reconciliation, HzbArchive *archive)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reconciliation->tracked_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HzbTrackedJob *tracked = value;
      HzbArchivedJobVerdict job = { tracked->entry, tracked->tasks, tracked->released, tracked->recorded_s };
      hzb_archive_add_job (archive, &job);
    }
}

static void
archive_quarantine (const HzbReconciliation *reconciliation, HzbArchive *archive)
{
  g_autoptr (GPtrArray) quarantined = hzb_quarantine_list (reconciliation->quarantine);

  for (guint i = 0; i < quarantined->len; i++)
    {
      const HzbQuarantinedTask *entry = quarantined->pdata[i];
      g_autofree char *name = g_strdup_printf ("%s/%u", entry->uid, entry->task);
      hzb_archive_add_task (archive, name, entry->machine, hzb_task_verdict_name (entry->verdict),
                            hzb_task_reason_name (entry->reason));
    }
}

static GBytes *
build_archive (const HzbReconciliation *reconciliation, struct timespec now)
{
  const HzbReconciliationRecord *record = &reconciliation->record;
  g_autoptr (HzbArchive) archive = hzb_archive_new ();

  archive->id = record->id;
  archive->term = record->term;
  archive->cold_starts = record->cold_starts;
  archive->began = record->began;
  archive->reason = g_strdup (hzb_start_reason_name (reconciliation->start_reason));
  archive->complete_s = hzb_time_between (reconciliation->began, now);
  archive_jobs (reconciliation, archive);
  for (guint i = 0; i < reconciliation->machines->len; i++)
    {
      const HzbArchivedMachine *machine = &g_array_index (reconciliation->machines, HzbArchivedMachine, i);
      hzb_archive_add_machine (archive, machine->name, machine->fate, machine->at_s);
    }
  archive_quarantine (reconciliation, archive);
  memcpy (archive->commands, reconciliation->command_counts, sizeof archive->commands);
  return hzb_archive_pack (archive);
}

static void
on_archived (gboolean done, gpointer user)
{
  HzbReconciliation *reconciliation = user;

  reconciliation->archive_progress = done ? HZB_ARCHIVE_WRITTEN : HZB_ARCHIVE_UNWRITTEN;
  if (done)
    g_clear_pointer (&reconciliation->packed_archive, g_bytes_unref);
  else
    reconciliation->next_write =
        hzb_time_plus (hzb_clock_now (reconciliation->dependencies.node->clock), ARCHIVE_RETRY_S);
}

/* The archive is built once pacing has ended and the counts of commands in the first HZB_ARCHIVE_SECONDS seconds are
 * complete. */
static void
write_archive (HzbReconciliation *reconciliation, struct timespec now)
{
  if (hzb_time_before (now, reconciliation->next_write) || reconciliation->pacing.active
      || hzb_time_between (reconciliation->began, now) < HZB_ARCHIVE_SECONDS)
    return;
  if (!reconciliation->packed_archive)
    reconciliation->packed_archive = build_archive (reconciliation, now);
  reconciliation->archive_progress = HZB_ARCHIVE_WRITING;
  hzb_archive_store_write (reconciliation->archive_store, reconciliation->record.id, reconciliation->packed_archive,
                           on_archived, reconciliation);
}

void
hzb_recorder_finish (HzbReconciliation *reconciliation, struct timespec now)
{
  switch (reconciliation->archive_progress)
    {
    case HZB_ARCHIVE_UNWRITTEN:
      write_archive (reconciliation, now);
      break;
    case HZB_ARCHIVE_WRITING:
      break;
    case HZB_ARCHIVE_WRITTEN:
      hzb_recorder_clean_up (reconciliation, now);
      break;
    }
}
