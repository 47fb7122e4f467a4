/* Writes the pages, one transaction at a time.
 *
 * Each transaction raises the number in the flush record, and is conditional on the version that the previous
 * transaction gave that record. So a transaction that is executed late, or a second time, fails. Without this condition
 * the pages of an older transaction could overwrite those of a newer one of the same term. record-flush-outcome.c
 * determines the outcome of each transaction. */
#include "job-progress.h"
#include "record-keys.h"
#include "records-codec.h"
#include "records-private.h"
#include "task-table.h"

#define FLUSH_INTERVAL_S 0.1 /* minimum time between flushes, and so between writings of a page that tasks wait for */
#define ACCEPTANCE_REMOVAL_INTERVAL_S 3.0 /* minimum time between removals of acceptance records */
/* Maximum size of the pages in a transaction of several pages. The key-value store accepts requests of up to 64 KiB,
 * which include more than the pages. */
#define TRANSACTION_BYTES 52000u
#define MIN_RELEASE_STEP 64u /* minimum number of tasks that are released at once */
#define RELEASE_STEPS 32u    /* number of steps in which a large job is released */

/* ---- the contents of a flush ---- */

static void
flushed_chunk_free (gpointer data)
{
  HzbFlushedChunk *chunk = data;
  g_free (chunk->uid);
  g_array_unref (chunk->finished);
  g_free (chunk);
}

HzbFlush *
hzb_flush_new (guint64 number)
{
  HzbFlush *flush = g_new0 (HzbFlush, 1);
  flush->number = number;
  flush->chunks = g_ptr_array_new_with_free_func (flushed_chunk_free);
  flush->machines = g_ptr_array_new_with_free_func (g_free);
  flush->acceptances = g_ptr_array_new_with_free_func (g_free);
  return flush;
}

void
hzb_flush_free (HzbFlush *flush)
{
  g_ptr_array_unref (flush->chunks);
  g_ptr_array_unref (flush->machines);
  g_ptr_array_unref (flush->acceptances);
  g_free (flush);
}

/* ---- the state of the flush ---- */

void
hzb_records_set_flush_state (HzbRecords *records, HzbFlushState to)
{
  static const guint allowed_transitions[HZB_FLUSH_N_STATES] = {
    [HZB_FLUSH_IDLE] = 1 << HZB_FLUSH_IDLE | 1 << HZB_FLUSH_COMMITTING,
    [HZB_FLUSH_COMMITTING] = 1 << HZB_FLUSH_IDLE | 1 << HZB_FLUSH_RESOLVING,
    [HZB_FLUSH_RESOLVING] = 1 << HZB_FLUSH_IDLE | 1 << HZB_FLUSH_UNRESOLVED,
    [HZB_FLUSH_UNRESOLVED] = 1 << HZB_FLUSH_IDLE | 1 << HZB_FLUSH_RESOLVING,
  };
  g_return_if_fail (allowed_transitions[records->flush_state] & 1u << to);
  records->flush_state = to;
}

/* ---- adding pages to a transaction ---- */

/* Returns: the number of tasks to release at once. Few tasks are released ahead of their start, since after a failover
 * every machine has to account for each released task. A gang is released as a whole because its tasks start together,
 * and a service because it has few tasks. */
static guint
release_step (const HzbJob *job)
{
  return job->spec->kind == HZB_JOB_GANG || job->spec->kind == HZB_JOB_SERVICE
             ? job->n_tasks
             : MAX (MIN_RELEASE_STEP, job->n_tasks / RELEASE_STEPS);
}

/* Raises the released mark that the flush is about to write, if the job needs it. */
static void
raise_releasing_mark (HzbJob *job)
{
  if (hzb_records_job_needs_release (job))
    job->releasing = MIN (job->n_tasks, job->releasing + release_step (job));
  job->release_requested = FALSE;
}

/* Returns: (transfer full): the contents of the chunk that are applied to the job when the chunk is durable. */
static HzbFlushedChunk *
flushed_chunk_new (const HzbJobs *jobs, const HzbJob *job, guint chunk_number)
{
  HzbFlushedChunk *flushed = g_new0 (HzbFlushedChunk, 1);
  guint first = chunk_number * jobs->chunk_tasks, end = first + jobs->chunk_tasks;
  const HzbTask *task;

  flushed->uid = g_strdup (job->uid);
  flushed->released_mark = job->releasing;
  flushed->finished = g_array_new (FALSE, FALSE, sizeof (guint));
  for (guint i = first; job->finished && (task = hzb_task_table_next (job->tasks, &i)) && task->index < end;)
    if (task->state == HZB_TASK_FINISHED)
      g_array_append_val (flushed->finished, task->index);
  return flushed;
}

static cJSON *
pack_progress_page (const HzbRecords *records, const HzbPage *page, HzbFlush *flush)
{
  const HzbJobs *jobs = records->dependencies.jobs;
  g_autoptr (GArray) entries = hzb_progress_chunks_new ();

  for (guint i = 0; i < page->chunks->len; i++)
    {
      const HzbPageChunk *chunk = &g_array_index (page->chunks, HzbPageChunk, i);
      HzbProgressChunk entry = { .uid = g_strdup (chunk->job->uid), .number = chunk->number };
      raise_releasing_mark (chunk->job);
      g_ptr_array_add (flush->chunks, flushed_chunk_new (jobs, chunk->job, chunk->number));
      hzb_job_pack_progress (jobs, chunk->job, chunk->number, &entry.progress);
      g_array_append_val (entries, entry);
    }
  return hzb_progress_page_encode (entries);
}

static cJSON *
pack_machine_page (const HzbRecords *records, const HzbPage *page, HzbFlush *flush)
{
  double wall_s = (double) hzb_clock_wall (records->dependencies.node->clock).tv_sec;
  g_autoptr (GArray) entries = hzb_machine_records_new ();

  for (guint i = 0; i < page->machines->len; i++)
    {
      HzbMachine *machine = page->machines->pdata[i];
      HzbMachineRecord entry = {
        .name = g_strdup (machine->name),
        .type = g_strdup (machine->type_name),
        .zone = g_strdup (machine->zone),
        .spot = machine->spot,
        .drain = machine->drain,
        .recorded_at = wall_s,
      };
      g_array_append_val (entries, entry);
      if (hzb_machine_is_recorded (machine))
        continue;
      if (hzb_machine_needs_record (machine))
        hzb_machine_set_record_state (machine, hzb_machine_was_recorded (machine) ? HZB_MACHINE_RECORD_REWRITING
                                                                                  : HZB_MACHINE_RECORD_WRITING);
      g_ptr_array_add (flush->machines, g_strdup (machine->name));
    }
  return hzb_machine_page_encode (entries);
}

/* Adds the page to the transaction: its current contents, or its removal if it is empty. */
static void
put_page (HzbRecords *records, HzbPage *page, HzbKvTransaction *transaction, HzbFlush *flush, struct timespec now)
{
  g_autofree char *key = hzb_page_key (page);

  page->stale = page->dirty = page->replaces_retired = FALSE;
  page->written = now;
  page->exists = page->chunks->len || page->machines->len;
  if (page->exists)
    hzb_kv_transaction_put (
        transaction, key,
        page->of_machines ? pack_machine_page (records, page, flush) : pack_progress_page (records, page, flush), 0);
  else
    {
      hzb_kv_transaction_delete (transaction, key);
      records->retiring_pages -= page->retiring;
    }
}

/* Returns: the number of changes that the transaction can still take. */
static guint
put_pages (HzbRecords *records, const GPtrArray *due, HzbKvTransaction *transaction, HzbFlush *flush,
           struct timespec now)
{
  guint remaining_changes = records->dependencies.node->settings->kv_txn_ops - 1; /* one change is the flush record */
  gsize bytes = 0;

  for (guint i = 0; i < due->len && remaining_changes; i++, remaining_changes--)
    {
      HzbPage *page = due->pdata[i];
      if (i && bytes + page->bytes > TRANSACTION_BYTES)
        break;
      bytes += page->bytes;
      put_page (records, page, transaction, flush, now);
    }
  return remaining_changes;
}

/* ---- acceptance records ---- */

/* Returns: whether the next flush may remove acceptance records. An acceptance record is removed after all of its jobs
 * have become terminal, by a flush whose pages do not use up the changes that a transaction may have. */
static gboolean
acceptances_due (const HzbRecords *records, struct timespec now)
{
  return !hzb_time_before (now, records->next_acceptance_removal)
         && hzb_jobs_find_deletable_acceptance (records->dependencies.jobs);
}

static void
remove_completed_acceptances (HzbRecords *records, HzbKvTransaction *transaction, HzbFlush *flush,
                              guint remaining_changes)
{
  HzbAcceptance *completed;

  for (; remaining_changes && (completed = hzb_jobs_find_deletable_acceptance (records->dependencies.jobs));
       remaining_changes--)
    {
      completed->deleting = TRUE;
      hzb_kv_transaction_delete (transaction, completed->key);
      g_ptr_array_add (flush->acceptances, g_strdup (completed->key));
    }
}

/* ---- the flush ---- */

/* Returns: (transfer full): a transaction that writes the flush record with the roster of controllers, and is
 * conditional on this node's leadership and on the flush record's version. */
static HzbKvTransaction *
begin_transaction (const HzbRecords *records, const HzbFlush *flush)
{
  const HzbRecordsDependencies *dependencies = &records->dependencies;
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();
  HzbFlushRecord record = {
    .number = flush->number,
    .term = hzb_election_term (dependencies->election),
    .acknowledged_revision = hzb_cancellations_acknowledged_revision (dependencies->cancellations),
  };
  cJSON *value = hzb_flush_record_encode (&record);

  hzb_election_add_condition (dependencies->election, transaction);
  hzb_kv_transaction_compare (transaction, HZB_KEY_FLUSH, records->flush_version);
  hzb_reconciliation_add_roster (dependencies->reconciliation, value);
  hzb_kv_transaction_put (transaction, HZB_KEY_FLUSH, value, 0);
  return transaction;
}

static void
commit (HzbRecords *records, HzbKvTransaction *transaction, HzbFlush *flush)
{
  hzb_records_set_flush_state (records, HZB_FLUSH_COMMITTING);
  hzb_kv_client_commit (records->dependencies.kv, HZB_KV_RECORD, transaction, hzb_records_on_flush_answered,
                        hzb_epoch_call_new (records->dependencies.ownership, records, flush));
}

static void
flush_pages (HzbRecords *records, struct timespec now)
{
  g_autoptr (GPtrArray) due = hzb_records_select_pages (records, now);
  gboolean remove_acceptances = acceptances_due (records, now);
  HzbKvTransaction *transaction;
  HzbFlush *flush;
  guint remaining_changes;

  if (!due->len && !remove_acceptances && !hzb_reconciliation_is_roster_due (records->dependencies.reconciliation))
    return;
  flush = hzb_flush_new (++records->flush_number);
  transaction = begin_transaction (records, flush);
  remaining_changes = put_pages (records, due, transaction, flush, now);
  if (remove_acceptances)
    {
      remove_completed_acceptances (records, transaction, flush, remaining_changes);
      records->next_acceptance_removal = hzb_time_plus (now, ACCEPTANCE_REMOVAL_INTERVAL_S);
    }
  commit (records, transaction, flush);
}

void
hzb_records_flush_if_due (HzbRecords *records)
{
  const HzbRecordsDependencies *dependencies = &records->dependencies;
  struct timespec now = hzb_clock_now (dependencies->node->clock);

  if (!hzb_ownership_is_loaded_leader (dependencies->ownership) || !hzb_election_is_leader (dependencies->election))
    return;
  hzb_completed_job_archive_tick (dependencies->job_archive, now);
  if (hzb_time_before (now, records->next_flush))
    return;
  if (records->flush_state == HZB_FLUSH_UNRESOLVED)
    hzb_records_resolve_flush (records);
  if (records->flush_state != HZB_FLUSH_IDLE)
    return;
  records->next_flush = hzb_time_plus (now, FLUSH_INTERVAL_S);
  flush_pages (records, now);
}
