/* Each page of verdicts is written once, under a number of its own, on condition of the leader's term and that it is not
 * there yet: a transaction that is carried out late, or twice, changes nothing. */
#include "json.h"
#include "kv-protocol.h"
#include "reconciliation-private.h"
#include "record-keys.h"

#include <string.h>

#define WRITE_EVERY_S 0.2   /* verdicts that fall within it share a transaction */
#define RETRY_S 0.5         /* after the key-value store refused, or gave no answer */
#define ARCHIVE_RETRY_S 5.0 /* the archive is in nobody's way */
#define PAGE_PART 0.9       /* of what a value may have */
#define TXN_BYTES 40000u

/* ---- writing ---- */

static HzbVerdictPage *
page_new (HzbReconciliation *reconciliation)
{
  HzbVerdictPage *page = g_new0 (HzbVerdictPage, 1);
  page->key = g_strdup_printf (HZB_KEY_RECONCILIATION_VERDICTS "%06u", reconciliation->next_page++);
  page->value = hzb_verdict_page_new (reconciliation->record.id, reconciliation->record.term);
  page->jobs = g_ptr_array_new ();
  return page;
}

/* What is decided, on as many pages as one transaction takes. */
static void
fill_pages (HzbReconciliation *reconciliation)
{
  const HzbSettings *settings = reconciliation->dependencies.node->settings;
  gsize page_bytes = (gsize) (PAGE_PART * settings->kv_value_kb * 1024), bytes = 0, total = 0;
  guint room = MAX (1, settings->kv_txn_ops - 1);
  HzbVerdictPage *page = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reconciliation->tracked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbTrackedJob *tracked = value;
      gsize entry_bytes = hzb_verdict_entry_bytes (&tracked->entry);
      if (tracked->phase != HZB_PHASE_DECIDED)
        continue;
      if (page && bytes + entry_bytes > page_bytes)
        page = NULL;
      if (!page && (reconciliation->in_flight->len >= room || total + entry_bytes > TXN_BYTES))
        return;
      if (!page)
        {
          page = page_new (reconciliation);
          g_ptr_array_add (reconciliation->in_flight, page);
          bytes = 0;
        }
      hzb_verdict_page_add (page->value, &tracked->entry);
      g_ptr_array_add (page->jobs, tracked);
      hzb_reconciliation_set_phase (reconciliation, tracked, HZB_PHASE_SENT);
      bytes += entry_bytes;
      total += entry_bytes;
    }
}

static void
written (HzbReconciliation *reconciliation)
{
  for (guint i = 0; i < reconciliation->in_flight->len; i++)
    {
      HzbVerdictPage *page = reconciliation->in_flight->pdata[i];
      g_ptr_array_add (reconciliation->page_keys, g_strdup (page->key));
      for (guint k = 0; k < page->jobs->len; k++)
        hzb_reconciliation_set_phase (reconciliation, page->jobs->pdata[k], HZB_PHASE_RECORDED);
    }
  g_ptr_array_set_size (reconciliation->in_flight, 0);
  reconciliation->record_durable = TRUE;
  reconciliation->sending = FALSE;
}

static void
try_again_later (HzbReconciliation *reconciliation)
{
  reconciliation->sending = FALSE;
  reconciliation->next_write = hzb_time_plus (hzb_clock_now (reconciliation->dependencies.node->clock), RETRY_S);
}

/* Both the record and pages name the term that wrote them. */
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
  /* Until it is durable it is the record that was read: what is there now is what the next try is conditional on. */
  if (known && !reconciliation->record_durable)
    reconciliation->record_version = item.version;
  if (known && item.value && hzb_json_u64 (item.value, "term") == reconciliation->record.term)
    written (reconciliation);
  else
    try_again_later (reconciliation);
  hzb_kv_entry_clear (&item);
}

static void
on_written (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbReconciliation *reconciliation = epoch_call->module;
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  if (result == HZB_KV_OK)
    {
      if (!reconciliation->record_durable)
        hzb_kv_commit_decode (body, &reconciliation->record_version, NULL);
      written (reconciliation);
    }
  else if (result == HZB_KV_UNKNOWN || result == HZB_KV_CONFLICT)
    {
      const HzbVerdictPage *page = reconciliation->in_flight->len ? reconciliation->in_flight->pdata[0] : NULL;
      hzb_kv_client_get (uses->kv, HZB_KV_RECORD, page ? page->key : HZB_KEY_RECONCILIATION_STATE, on_written_read,
                         hzb_epoch_call_new (uses->ownership, reconciliation, NULL));
    }
  else
    try_again_later (reconciliation);
}

/* Pages that are on their way stay as they are until it is known what became of them. */
void
hzb_recorder_write_verdicts (HzbReconciliation *reconciliation, struct timespec now)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;
  HzbKvTransaction *transaction;

  if (reconciliation->sending || hzb_time_before (now, reconciliation->next_write))
    return;
  if (!reconciliation->in_flight->len && reconciliation->record_durable)
    fill_pages (reconciliation);
  if (!reconciliation->in_flight->len && reconciliation->record_durable)
    return;
  transaction = hzb_kv_transaction_new ();
  hzb_election_add_condition (uses->election, transaction);
  if (!reconciliation->record_durable)
    {
      hzb_kv_transaction_compare (transaction, HZB_KEY_RECONCILIATION_STATE, reconciliation->record_version);
      hzb_kv_transaction_put (transaction, HZB_KEY_RECONCILIATION_STATE,
                              hzb_reconciliation_record_encode (&reconciliation->record), 0);
    }
  for (guint i = 0; i < reconciliation->in_flight->len; i++)
    {
      const HzbVerdictPage *page = reconciliation->in_flight->pdata[i];
      hzb_kv_transaction_compare (transaction, page->key, 0);
      hzb_kv_transaction_put (transaction, page->key, cJSON_Duplicate (page->value, TRUE), 0);
    }
  reconciliation->sending = TRUE;
  reconciliation->next_write = hzb_time_plus (now, WRITE_EVERY_S);
  hzb_kv_client_commit (uses->kv, HZB_KV_RECORD, transaction, on_written,
                        hzb_epoch_call_new (uses->ownership, reconciliation, NULL));
}

/* ---- the end ---- */

static HzbArchive *
make_archive (HzbReconciliation *reconciliation, struct timespec now)
{
  HzbArchive *archive = hzb_archive_new ();
  g_autoptr (GPtrArray) quarantined = hzb_quarantine_list (reconciliation->quarantine);
  GHashTableIter iter;
  gpointer value;

  archive->id = reconciliation->record.id;
  archive->term = reconciliation->record.term;
  archive->starts = reconciliation->record.starts;
  archive->began = reconciliation->record.began;
  archive->reason = g_strdup (hzb_start_reason_name (reconciliation->start_reason));
  archive->complete_s = hzb_time_between (reconciliation->began, now);
  g_hash_table_iter_init (&iter, reconciliation->tracked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HzbTrackedJob *tracked = value;
      HzbArchivedJob job = { tracked->entry, tracked->tasks, tracked->released, tracked->at_s };
      hzb_archive_add_job (archive, &job);
    }
  for (guint i = 0; i < reconciliation->machines->len; i++)
    {
      const HzbArchivedMachine *machine = &g_array_index (reconciliation->machines, HzbArchivedMachine, i);
      hzb_archive_add_machine (archive, machine->name, machine->fate, machine->at_s);
    }
  for (guint i = 0; i < quarantined->len; i++)
    {
      const HzbQuarantined *entry = quarantined->pdata[i];
      g_autofree char *name = g_strdup_printf ("%s/%u", entry->uid, entry->task);
      hzb_archive_add_task (archive, name, entry->machine, hzb_task_verdict_name (entry->verdict),
                            hzb_task_reason_name (entry->reason));
    }
  memcpy (archive->commands, reconciliation->commands, sizeof archive->commands);
  return archive;
}

static void
on_archived (gboolean done, gpointer user)
{
  HzbReconciliation *reconciliation = user;
  reconciliation->archiving = FALSE;
  if (done)
    g_clear_pointer (&reconciliation->archive, g_bytes_unref);
  else
    reconciliation->next_write =
        hzb_time_plus (hzb_clock_now (reconciliation->dependencies.node->clock), ARCHIVE_RETRY_S);
  reconciliation->cleaning = done;
}

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
  reconciliation->cleaning = FALSE;
  reconciliation->record_version = 0;
  if (reconciliation->state == HZB_RECONCILIATION_RECORDED)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_COMPLETE, "the archive is written");
}

/* The last pages first, the record with the rest: until it goes, the next leader goes on. */
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
  reconciliation->sending = TRUE;
  reconciliation->next_write = hzb_time_plus (now, WRITE_EVERY_S);
  hzb_kv_client_commit (uses->kv, HZB_KV_RECORD, transaction, on_cleaned,
                        hzb_epoch_call_new (uses->ownership, reconciliation, GUINT_TO_POINTER (removed)));
}

/* Commands are counted for a minute, and the archive has them. */
static void
write_archive (HzbReconciliation *reconciliation, struct timespec now)
{
  if (reconciliation->archiving || hzb_time_before (now, reconciliation->next_write) || reconciliation->pacing.active
      || hzb_time_between (reconciliation->began, now) < HZB_ARCHIVE_SECONDS)
    return;
  if (!reconciliation->archive)
    {
      g_autoptr (HzbArchive) archive = make_archive (reconciliation, now);
      reconciliation->archive = hzb_archive_pack (archive);
    }
  reconciliation->archiving = TRUE;
  hzb_archive_store_write (reconciliation->archives, reconciliation->record.id, reconciliation->archive, on_archived,
                           reconciliation);
}

void
hzb_recorder_finish (HzbReconciliation *reconciliation, struct timespec now)
{
  if (reconciliation->cleaning)
    hzb_recorder_clean_up (reconciliation, now);
  else
    write_archive (reconciliation, now);
}
