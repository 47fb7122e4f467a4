/* Reads the records that earlier leaders wrote, and determines which jobs wait for a verdict. */
#include "kv-protocol.h"
#include "reconciliation-private.h"
#include "record-keys.h"

#include <string.h>

/* ---- reading records ---- */

static void
load_verdict (HzbReconciliation *reconciliation, const HzbVerdictEntry *entry)
{
  HzbTrackedJob *tracked = hzb_reconciliation_track_job (reconciliation, entry->uid);
  char *uid = tracked->entry.uid;

  if (tracked->phase == HZB_JOB_PHASE_RECORDED)
    return; /* a durable verdict does not change: the first page that names the job is used */
  tracked->entry = *entry;
  tracked->entry.uid = uid; /* stays the same string: it is the key in tracked_jobs */
  hzb_reconciliation_set_phase (reconciliation, tracked, HZB_JOB_PHASE_RECORDED);
}

static void
load_page (HzbReconciliation *reconciliation, const HzbKvEntry *item)
{
  guint number = (guint) g_ascii_strtoull (item->key + strlen (HZB_KEY_RECONCILIATION_VERDICTS), NULL, 10);
  g_autoptr (GError) error = NULL;
  g_autoptr (GArray) entries = NULL;
  guint64 id = 0;

  g_ptr_array_add (reconciliation->page_keys, g_strdup (item->key));
  reconciliation->next_page = MAX (reconciliation->next_page, number + 1);
  entries = hzb_verdict_page_decode (item->value, &id, &error);
  if (!entries)
    {
      g_warning (
          "reconciliation: can't read the page of verdicts %s: %s. Its verdicts are ignored: its jobs wait for their "
          "machines and are decided again. Keep a copy of the record and report it",
          item->key, error->message);
      return;
    }
  /* The key-value store lists the record before its pages, so the record has been read by now. A page without a record,
   * or of another reconciliation, is not used; its key is kept so that the page is removed. */
  if (reconciliation->record_state == HZB_RECORD_STATE_NONE || id != reconciliation->record.id)
    return;
  for (guint i = 0; i < entries->len; i++)
    load_verdict (reconciliation, &g_array_index (entries, HzbVerdictEntry, i));
}

static void
load_record (HzbReconciliation *reconciliation, const HzbKvEntry *item)
{
  g_autoptr (GError) error = NULL;

  reconciliation->record_version = item->version;
  if (hzb_reconciliation_record_decode (item->value, &reconciliation->record, &error))
    {
      hzb_reconciliation_set_record_state (reconciliation, HZB_RECORD_STATE_UNFINISHED);
      return;
    }
  hzb_reconciliation_set_record_state (reconciliation, HZB_RECORD_STATE_NONE);
  g_warning (
      "reconciliation: can't read the record %s: %s. The record and its verdicts are ignored, and jobs are decided "
      "again. Keep a copy of the record and report it",
      item->key, error->message);
}

void
hzb_reconciliation_load (HzbReconciliation *reconciliation, const HzbKvEntry *item)
{
  if (!hzb_reconciliation_enabled (reconciliation) || !item->value)
    return;
  if (g_str_equal (item->key, HZB_KEY_FLUSH))
    hzb_roster_load (&reconciliation->roster, item->value);
  else if (g_str_equal (item->key, HZB_KEY_RECONCILIATION_KEPT_TASKS))
    hzb_quarantine_load (reconciliation->quarantine, item);
  else if (g_str_has_prefix (item->key, HZB_KEY_RECONCILIATION_VERDICTS))
    load_page (reconciliation, item);
  else if (g_str_equal (item->key, HZB_KEY_RECONCILIATION_STATE))
    load_record (reconciliation, item);
}

/* ---- end of loading ---- */

/* A leader without reconciliation (an earlier version, or switched off) writes flush records without a roster. If such
 * a leader has led since the record was written, the recorded verdicts no longer match the state of the jobs. */
static gboolean
is_record_outdated (const HzbReconciliation *reconciliation)
{
  const HzbRoster *roster = &reconciliation->roster;
  return !roster->recorded && roster->flush_term > reconciliation->record.term;
}

static void
drop_outdated_record (HzbReconciliation *reconciliation)
{
  if (reconciliation->record_state == HZB_RECORD_STATE_UNFINISHED && is_record_outdated (reconciliation))
    {
      g_message ("reconciliation %" G_GUINT64_FORMAT
                 ": discarded the record and its verdicts: a leader of an earlier version, or with reconciliation "
                 "switched off, has led since the record was written",
                 reconciliation->record.id);
      hzb_reconciliation_set_record_state (reconciliation, HZB_RECORD_STATE_NONE);
    }
  if (reconciliation->record_state == HZB_RECORD_STATE_NONE)
    hzb_reconciliation_clear_tracked_jobs (reconciliation);
}

static void
track_active_jobs (HzbReconciliation *reconciliation)
{
  const GPtrArray *active = reconciliation->dependencies.jobs->active;

  for (guint i = 0; i < active->len; i++)
    {
      HzbJob *job = active->pdata[i];
      HzbTrackedJob *tracked = hzb_reconciliation_track_job (reconciliation, job->uid);
      tracked->tasks = job->n_tasks;
      tracked->released = job->released;
      job->awaits_verdict = tracked->phase != HZB_JOB_PHASE_RECORDED;
    }
}

void
hzb_reconciliation_finish_loading (HzbReconciliation *reconciliation)
{
  if (!hzb_reconciliation_enabled (reconciliation))
    return;
  reconciliation->began = hzb_clock_now (reconciliation->dependencies.node->clock);
  reconciliation->next_scan = reconciliation->next_write = reconciliation->began;
  drop_outdated_record (reconciliation);
  hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_DETECTING, "the leader has read all records");
  track_active_jobs (reconciliation);
}
