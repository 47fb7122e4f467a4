/* The outcome of a flush.
 *
 * If the key-value store has carried out the transaction, the contents of the flush are durable, and the leader applies
 * them in memory. If the store has refused the transaction, the leader writes all of the contents again. If there is
 * no answer, or the answer is a conflict (the flush record has changed meanwhile), the leader reads the flush record,
 * which has the flush's number if and only if the flush was carried out. If the flush was not carried out, the next
 * flush changes the flush record's version, so the earlier transaction fails even if the store executes it late. */
#include "record-keys.h"
#include "records-codec.h"
#include "records-private.h"
#include "task-table.h"

/* Pause after a refused flush, and after a failed read of the flush record. It limits the number of requests during an
 * outage of the store, which may last for minutes. */
#define RETRY_DELAY_S 0.5

/* ---- applying a durable flush ---- */

static void
apply_chunk (HzbRecords *records, const HzbFlushedChunk *chunk)
{
  HzbJobs *jobs = records->dependencies.jobs;
  HzbJob *job = hzb_jobs_find (jobs, chunk->uid);

  if (!job || !job->tasks)
    return;
  job->released = MAX (job->released, chunk->released_mark);
  for (guint i = 0; i < chunk->finished->len; i++)
    {
      HzbTask *task = hzb_task_table_get (job->tasks, g_array_index (chunk->finished, guint, i));
      if (task->state != HZB_TASK_FINISHED)
        continue;
      hzb_task_set_state (jobs, task, HZB_TASK_DONE, NULL);
      records->callbacks.task_durable (task, records->user);
    }
}

/* A change that was noted while the record was being written is not in it. */
static void
note_record_durable (HzbMachine *machine)
{
  hzb_machine_set_record_state (machine, hzb_machine_needs_record (machine) ? HZB_MACHINE_RECORD_OUTDATED
                                                                            : HZB_MACHINE_RECORD_CURRENT);
}

static void
note_record_not_written (HzbMachine *machine)
{
  if (!hzb_machine_needs_record (machine))
    hzb_machine_note_record_change (machine);
}

static void
apply_flush (HzbRecords *records, const HzbFlush *flush)
{
  const HzbRecordsDependencies *dependencies = &records->dependencies;

  hzb_reconciliation_complete_roster_write (dependencies->reconciliation, TRUE);
  for (guint i = 0; i < flush->chunks->len; i++)
    apply_chunk (records, flush->chunks->pdata[i]);
  for (guint i = 0; i < flush->machines->len; i++)
    {
      HzbMachine *machine = hzb_machines_find (dependencies->machines, flush->machines->pdata[i]);
      if (machine)
        note_record_durable (machine);
    }
  for (guint i = 0; i < flush->acceptances->len; i++)
    hzb_jobs_apply_acceptance (dependencies->jobs, flush->acceptances->pdata[i], NULL);
}

/* ---- reverting a failed flush ---- */

/* HzbFlush does not list the pages that were written, so all pages have to be written again. */
static void
mark_all_pages_stale (HzbRecords *records)
{
  for (guint i = 0; i < records->pages.all->len; i++)
    {
      HzbPage *page = records->pages.all->pdata[i];
      page->stale = TRUE;
      page->replaces_retired = records->retiring_pages && !page->retiring;
    }
  records->replacements_pending = records->retiring_pages > 0;
}

/* Resets the marks that were set on jobs, machines, acceptances and pages when the flush was sent, so that their
 * contents are written again. The flush was not carried out and never will be. */
static void
revert_flush (HzbRecords *records, const HzbFlush *flush)
{
  const HzbRecordsDependencies *dependencies = &records->dependencies;

  hzb_reconciliation_complete_roster_write (dependencies->reconciliation, FALSE);
  for (guint i = 0; i < flush->chunks->len; i++)
    {
      HzbJob *job = hzb_jobs_find (dependencies->jobs, ((const HzbFlushedChunk *) flush->chunks->pdata[i])->uid);
      if (job)
        job->dirty = TRUE;
    }
  for (guint i = 0; i < flush->machines->len; i++)
    {
      HzbMachine *machine = hzb_machines_find (dependencies->machines, flush->machines->pdata[i]);
      if (machine)
        note_record_not_written (machine);
    }
  for (guint i = 0; i < flush->acceptances->len; i++)
    {
      HzbAcceptance *acceptance = g_hash_table_lookup (dependencies->jobs->acceptances, flush->acceptances->pdata[i]);
      if (acceptance)
        acceptance->deleting = FALSE;
    }
  mark_all_pages_stale (records);
}

/* ---- determining the outcome ---- */

/* Frees @call and its flush. */
static void
drop_call (HzbEpochCall *call)
{
  hzb_flush_free (call->data);
  g_free (call);
}

/* Applies or reverts the flush. Takes ownership of @call and its flush. */
static void
end_flush (HzbRecords *records, HzbEpochCall *call, gboolean carried_out)
{
  if (carried_out)
    apply_flush (records, call->data);
  else
    revert_flush (records, call->data);
  drop_call (call);
  hzb_records_set_flush_state (records, HZB_FLUSH_IDLE);
}

static void
pause_flushes (HzbRecords *records)
{
  records->next_flush = hzb_time_plus (hzb_clock_now (records->dependencies.node->clock), RETRY_DELAY_S);
}

void
hzb_records_drop_unresolved (HzbRecords *records)
{
  g_clear_pointer (&records->unresolved, drop_call);
}

/* Decodes the answer to a read of the flush record, and stores the record's version. If there is no flush record, all
 * numbers of `record` are 0. Returns: FALSE if the flush record could not be read. */
static gboolean
decode_flush_record_answer (HzbRecords *records, HzbKvResult result, const char *body, HzbFlushRecord *record)
{
  HzbKvEntry entry = { 0 };

  if (result != HZB_KV_NOT_FOUND && !(result == HZB_KV_OK && hzb_kv_entry_decode (body, &entry)))
    return FALSE;
  records->flush_version = entry.version;
  hzb_flush_record_decode (entry.value, record);
  hzb_kv_entry_clear (&entry);
  return TRUE;
}

static void
on_flush_record_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *call = user;
  HzbRecords *records = call->module;
  const HzbFlush *flush = call->data;
  HzbFlushRecord record;

  if (!hzb_epoch_call_is_current (call))
    drop_call (call);
  else if (decode_flush_record_answer (records, result, body, &record))
    end_flush (records, call, record.number == flush->number);
  else
    {
      records->unresolved = call;
      hzb_records_set_flush_state (records, HZB_FLUSH_UNRESOLVED);
      pause_flushes (records);
    }
}

/* Takes ownership of @call and its flush. */
static void
read_flush_record (HzbRecords *records, HzbEpochCall *call)
{
  hzb_records_set_flush_state (records, HZB_FLUSH_RESOLVING);
  hzb_kv_client_get (records->dependencies.kv, HZB_KV_RECORD, HZB_KEY_FLUSH, on_flush_record_read, call);
}

void
hzb_records_resolve_flush (HzbRecords *records)
{
  read_flush_record (records, g_steal_pointer (&records->unresolved));
}

void
hzb_records_on_flush_answered (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *call = user;
  HzbRecords *records = call->module;

  if (!hzb_epoch_call_is_current (call))
    drop_call (call);
  else if (result == HZB_KV_UNKNOWN || result == HZB_KV_CONFLICT)
    read_flush_record (records, call);
  else if (result == HZB_KV_OK)
    {
      hzb_kv_commit_decode (body, &records->flush_version, NULL);
      end_flush (records, call, TRUE);
      /* Released tasks and recorded machines can be used from now on, so the dispatcher runs at once. */
      records->dependencies.dispatch->next_run = (struct timespec){ 0 };
    }
  else
    {
      end_flush (records, call, FALSE);
      pause_flushes (records);
    }
}
