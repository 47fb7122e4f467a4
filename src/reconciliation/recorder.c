/* Makes verdicts durable, and removes them once they are archived.
 *
 * Each page of verdicts is written once, under a number of its own, on condition of the leader's term and that the
 * page is not there yet. So a transaction that is carried out late, or twice, changes nothing. */
#include "archive-packing.h"
#include "kv-protocol.h"
#include "reconciliation-private.h"
#include "record-keys.h"

#include <string.h>

#define WRITE_INTERVAL_S 0.2 /* verdicts made within it share a transaction */
#define RETRY_S 0.5          /* after the key-value store refused, or gave no answer */
#define ARCHIVE_RETRY_S 5.0  /* the archive is not urgent */
#define PART_OF_VALUE 0.9    /* how much of the largest value a page may fill */
#define TRANSACTION_BYTES 40000u

void
hzb_recorder_reset (HzbReconciliation *reconciliation)
{
  reconciliation->record_version = 0;
  g_ptr_array_set_size (reconciliation->page_keys, 0);
  reconciliation->next_page = 1;
  g_ptr_array_set_size (reconciliation->in_flight, 0);
  reconciliation->sending = FALSE;
  reconciliation->archive_progress = HZB_ARCHIVE_UNWRITTEN;
  g_clear_pointer (&reconciliation->archive, g_bytes_unref);
}

static gboolean
record_is_durable (const HzbReconciliation *reconciliation)
{
  return reconciliation->record_state == HZB_RECORD_STATE_DURABLE;
}

/* ---- pages ---- */

/* The verdicts on a page do not change while their jobs are in the phase "sent", so each attempt writes the same
 * bytes. */
static cJSON *
page_encode (const HzbReconciliation *reconciliation, const HzbVerdictPage *page)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new ();

  for (guint i = 0; i < page->jobs->len; i++)
    g_ptr_array_add (entries, &((HzbTrackedJob *) page->jobs->pdata[i])->entry);
  return hzb_verdict_page_encode (reconciliation->record.id, reconciliation->record.term, entries);
}

/* The number of a page is used once. */
static HzbVerdictPage *
add_page (HzbReconciliation *reconciliation)
{
  HzbVerdictPage *page = g_new0 (HzbVerdictPage, 1);
  page->key = g_strdup_printf (HZB_KEY_RECONCILIATION_VERDICTS "%06u", reconciliation->next_page++);
  page->jobs = g_ptr_array_new ();
  g_ptr_array_add (reconciliation->in_flight, page);
  return page;
}

/* Puts decided jobs on as many pages as one transaction takes. */
static void
fill_pages (HzbReconciliation *reconciliation)
{
  const HzbSettings *settings = reconciliation->dependencies.node->settings;
  gsize most_on_page = (gsize) (PART_OF_VALUE * settings->kv_value_kb * 1024), on_page = 0, in_transaction = 0;
  guint most_pages = MAX (1, settings->kv_txn_ops - 1);
  HzbVerdictPage *page = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reconciliation->tracked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbTrackedJob *tracked = value;
      gsize bytes = hzb_verdict_entry_bytes (&tracked->entry);
      if (tracked->phase != HZB_PHASE_DECIDED)
        continue;
      if (!page || on_page + bytes > most_on_page)
        {
          if (reconciliation->in_flight->len >= most_pages || in_transaction + bytes > TRANSACTION_BYTES)
            return;
          page = add_page (reconciliation);
          on_page = 0;
        }
      g_ptr_array_add (page->jobs, tracked);
      hzb_reconciliation_set_phase (reconciliation, tracked, HZB_PHASE_SENT);
      on_page += bytes;
      in_transaction += bytes;
    }
}

/* ---- writing ---- */

static void
note_written (HzbReconciliation *reconciliation)
{
  for (guint i = 0; i < reconciliation->in_flight->len; i++)
    {
      HzbVerdictPage *page = reconciliation->in_flight->pdata[i];
      g_ptr_array_add (reconciliation->page_keys, g_strdup (page->key));
      for (guint k = 0; k < page->jobs->len; k++)
        hzb_reconciliation_set_phase (reconciliation, page->jobs->pdata[k], HZB_PHASE_RECORDED);
    }
  g_ptr_array_set_size (reconciliation->in_flight, 0);
  hzb_reconciliation_set_record_state (reconciliation, HZB_RECORD_STATE_DURABLE);
  reconciliation->sending = FALSE;
}

static void
try_again_later (HzbReconciliation *reconciliation)
{
  reconciliation->sending = FALSE;
  reconciliation->next_write = hzb_time_plus (hzb_clock_now (reconciliation->dependencies.node->clock), RETRY_S);
}

/* The outcome of a transaction is read from the first thing that it wrote: the record and pages name the term that
 * wrote them. */
static void
on_written_read (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbReconciliation *reconciliation = epoch_call->module;
  HzbKvEntry item = { 0 };
  gboolean known;

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  known = result == HZB_KV_NOT_FOUND || (result == HZB_KV_OK && hzb_kv_entry_decode (body, &item));
  /* While the record is not durable it is what was read: the next attempt is conditional on the version that is
   * there now. */
  if (known && !record_is_durable (reconciliation))
    reconciliation->record_version = item.version;
  if (known && item.value && hzb_reconciliation_value_term (item.value) == reconciliation->record.term)
    note_written (reconciliation);
  else
    try_again_later (reconciliation);
  hzb_kv_entry_clear (&item);
}

static void
read_outcome (HzbReconciliation *reconciliation)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;
  const HzbVerdictPage *page = reconciliation->in_flight->len ? reconciliation->in_flight->pdata[0] : NULL;

  hzb_kv_client_get (uses->kv, HZB_KV_RECORD, page ? page->key : HZB_KEY_RECONCILIATION_STATE, on_written_read,
                     hzb_epoch_call_new (uses->ownership, reconciliation, NULL));
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
      note_written (reconciliation);
    }
  else if (result == HZB_KV_UNKNOWN || result == HZB_KV_CONFLICT)
    read_outcome (reconciliation);
  else
    try_again_later (reconciliation);
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
      hzb_kv_transaction_put (transaction, page->key, page_encode (reconciliation, page), 0);
    }
}

/* Commits on condition of the leader's term. */
static void
commit (HzbReconciliation *reconciliation, HzbKvTransaction *transaction, HzbKvFunc done, gpointer data,
        struct timespec now)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;

  reconciliation->sending = TRUE;
  reconciliation->next_write = hzb_time_plus (now, WRITE_INTERVAL_S);
  hzb_kv_client_commit (uses->kv, HZB_KV_RECORD, transaction, done,
                        hzb_epoch_call_new (uses->ownership, reconciliation, data));
}

/* Pages in flight stay as they are until their outcome is known. */
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

/* ---- removing the verdicts ---- */

static void
on_cleaned (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbReconciliation *reconciliation = epoch_call->module;
  guint removed = GPOINTER_TO_UINT (epoch_call->data);

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  if (result != HZB_KV_OK)
    {
      try_again_later (reconciliation);
      return;
    }
  reconciliation->sending = FALSE;
  g_ptr_array_set_size (reconciliation->page_keys, (gint) (reconciliation->page_keys->len - removed));
  if (reconciliation->page_keys->len)
    return;
  reconciliation->record_version = 0;
  if (reconciliation->state == HZB_RECONCILIATION_RECORDED)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_COMPLETE, "the archive is written");
}

/* The last pages go first, and the record goes with the rest: as long as the record is there, a next leader goes on. */
void
hzb_recorder_clean_up (HzbReconciliation *reconciliation, struct timespec now)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;
  guint left = reconciliation->page_keys->len, removed = MIN (left, uses->node->settings->kv_txn_ops - 1);
  HzbKvTransaction *transaction;

  if (reconciliation->sending || hzb_time_before (now, reconciliation->next_write))
    return;
  transaction = hzb_kv_transaction_new ();
  hzb_election_add_condition (uses->election, transaction);
  for (guint i = 0; i < removed; i++)
    hzb_kv_transaction_delete (transaction, reconciliation->page_keys->pdata[left - 1 - i]);
  if (removed == left)
    hzb_kv_transaction_delete (transaction, HZB_KEY_RECONCILIATION_STATE);
  commit (reconciliation, transaction, on_cleaned, GUINT_TO_POINTER (removed), now);
}

/* ---- the archive ---- */

static void
archive_jobs (const HzbReconciliation *reconciliation, HzbArchive *archive)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reconciliation->tracked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HzbTrackedJob *tracked = value;
      HzbArchivedJob job = { tracked->entry, tracked->tasks, tracked->released, tracked->at_s };
      hzb_archive_add_job (archive, &job);
    }
}

static void
archive_quarantine (const HzbReconciliation *reconciliation, HzbArchive *archive)
{
  g_autoptr (GPtrArray) quarantined = hzb_quarantine_list (reconciliation->quarantine);

  for (guint i = 0; i < quarantined->len; i++)
    {
      const HzbQuarantined *entry = quarantined->pdata[i];
      g_autofree char *name = g_strdup_printf ("%s/%u", entry->uid, entry->task);
      hzb_archive_add_task (archive, name, entry->machine, hzb_task_verdict_name (entry->verdict),
                            hzb_task_reason_name (entry->reason));
    }
}

static GBytes *
make_archive (const HzbReconciliation *reconciliation, struct timespec now)
{
  const HzbReconciliationRecord *record = &reconciliation->record;
  g_autoptr (HzbArchive) archive = hzb_archive_new ();

  archive->id = record->id;
  archive->term = record->term;
  archive->starts = record->starts;
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
  memcpy (archive->commands, reconciliation->commands, sizeof archive->commands);
  return hzb_archive_pack (archive);
}

static void
on_archived (gboolean done, gpointer user)
{
  HzbReconciliation *reconciliation = user;

  reconciliation->archive_progress = done ? HZB_ARCHIVE_WRITTEN : HZB_ARCHIVE_UNWRITTEN;
  if (done)
    g_clear_pointer (&reconciliation->archive, g_bytes_unref);
  else
    reconciliation->next_write =
        hzb_time_plus (hzb_clock_now (reconciliation->dependencies.node->clock), ARCHIVE_RETRY_S);
}

/* The archive waits for the counts of commands in the first minute, and for the end of pacing. */
static void
write_archive (HzbReconciliation *reconciliation, struct timespec now)
{
  if (hzb_time_before (now, reconciliation->next_write) || reconciliation->pacing.active
      || hzb_time_between (reconciliation->began, now) < HZB_ARCHIVE_SECONDS)
    return;
  if (!reconciliation->archive)
    reconciliation->archive = make_archive (reconciliation, now);
  reconciliation->archive_progress = HZB_ARCHIVE_WRITING;
  hzb_archive_store_write (reconciliation->archives, reconciliation->record.id, reconciliation->archive, on_archived,
                           reconciliation);
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
