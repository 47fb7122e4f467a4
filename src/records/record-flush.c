/* One transaction at a time. Each raises the flush record and is conditional on the version that the one before gave
 * it, so one that comes late fails: without that an older set of results could overwrite a newer one of the same term. */
#include "job-progress.h"
#include "json.h"
#include "kv-protocol.h"
#include "record-keys.h"
#include "records-private.h"

#define FLUSH_EVERY_S 0.1    /* at the most, for what tasks wait for; the rest is written more seldom: */
#define PROGRESS_EVERY_S 1.0 /* more seldom where many pages have news: */
#define PROGRESS_PART 0.4    /* of the changes, for that */
#define REFUSED_PAUSE_S 0.5
#define CLEAN_EVERY_S 3.0
#define TXN_BYTES 52000u
#define RELEASE_STEP 64u

static void
flushed_part_free (gpointer data)
{
  HzbFlushedPart *part = data;
  g_free (part->uid);
  g_array_unref (part->finished);
  g_free (part);
}

void
hzb_flush_free (HzbFlush *flush)
{
  g_ptr_array_unref (flush->parts);
  g_ptr_array_unref (flush->machines);
  g_ptr_array_unref (flush->completed);
  g_free (flush);
}

/* ---- what is on pages ---- */

/* Version 1 reads it as we write it, or there is none about any more. */
static gboolean
writable (const HzbRecords *records, const HzbJob *job)
{
  return job->n_tasks <= records->controller->jobs->chunk
         || hzb_election_schema_version (records->controller->election) >= 2;
}

static void
put_on_pages (HzbRecords *records, HzbJob *job)
{
  if (job->on_pages || !writable (records, job))
    return;
  for (guint k = 0; k < hzb_job_chunks (records->controller->jobs, job); k++)
    {
      HzbPage *page = hzb_pages_with_room (&records->pages, FALSE, hzb_pages_part_bytes (&records->pages, job, k));
      hzb_pages_add_part (&records->pages, page, job, k);
      page->replaces_retired = page->replaces_retired || job->unsplit;
      records->any_replacement = records->any_replacement || job->unsplit;
    }
  job->on_pages = TRUE;
  job->unsplit = FALSE;
}

/* ---- writing ---- */

static void
flush_applied (HzbRecords *records, HzbFlush *flush)
{
  HzbController *controller = records->controller;
  hzb_reconciliation_roster_written (controller->reconciliation, TRUE);
  for (guint i = 0; i < flush->parts->len; i++)
    {
      HzbFlushedPart *part = flush->parts->pdata[i];
      HzbJob *job = hzb_jobs_find (controller->jobs, part->uid);
      if (!job || !job->tasks)
        continue;
      job->released = MAX (job->released, part->releasing);
      for (guint k = 0; k < part->finished->len; k++)
        {
          HzbTask *task = &job->tasks[g_array_index (part->finished, guint, k)];
          if (task->state == HZB_TASK_FINISHED)
            {
              hzb_task_set_state (controller->jobs, task, HZB_TASK_DONE, NULL);
              hzb_shard_leases_announce_durable (controller->shard_leases, task);
            }
        }
    }
  for (guint i = 0; i < flush->machines->len; i++)
    {
      HzbMachine *machine = hzb_machines_find (controller->machines, flush->machines->pdata[i]);
      if (machine)
        machine->recorded = TRUE;
    }
  for (guint i = 0; i < flush->completed->len; i++)
    hzb_jobs_apply_acceptance (controller->jobs, flush->completed->pdata[i], NULL);
}

/* Not applied, or it will never be: all of it is written again. */
static void
flush_failed (HzbRecords *records, HzbFlush *flush)
{
  HzbController *controller = records->controller;
  hzb_reconciliation_roster_written (controller->reconciliation, FALSE);
  for (guint i = 0; i < flush->parts->len; i++)
    {
      HzbJob *job = hzb_jobs_find (controller->jobs, ((HzbFlushedPart *) flush->parts->pdata[i])->uid);
      if (job)
        job->dirty = TRUE;
    }
  for (guint i = 0; i < flush->machines->len; i++)
    {
      HzbMachine *machine = hzb_machines_find (controller->machines, flush->machines->pdata[i]);
      if (machine)
        machine->recording = FALSE;
    }
  for (guint i = 0; i < flush->completed->len; i++)
    {
      HzbAcceptance *acceptance = g_hash_table_lookup (controller->jobs->acceptances, flush->completed->pdata[i]);
      if (acceptance)
        acceptance->removing = FALSE;
    }
  for (guint i = 0; i < records->pages.all->len; i++)
    {
      HzbPage *page = records->pages.all->pdata[i];
      page->stale = TRUE;
      page->replaces_retired = records->retiring && !page->retiring;
    }
  records->any_replacement = records->retiring > 0;
}

/* What became of a flush without an answer: its number is in the flush record, or not. */
static void
on_flush_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbRecords *records = ((HzbController *) epoch_call->module)->records;
  HzbFlush *flush = epoch_call->data;
  HzbKvEntry item = { 0 };

  if (!hzb_epoch_call_is_current (epoch_call))
    {
      hzb_flush_free (flush);
      g_free (epoch_call);
      return;
    }
  if (result == HZB_KV_NOT_FOUND || (result == HZB_KV_OK && hzb_kv_entry_decode (body, &item)))
    {
      records->version = item.version;
      if (item.value && hzb_json_u64 (item.value, "n") == flush->number)
        flush_applied (records, flush);
      else
        flush_failed (records, flush);
      hzb_kv_entry_clear (&item);
      hzb_flush_free (flush);
      records->flushing = FALSE;
      g_free (epoch_call);
      return;
    }
  /* Not at once: an outage may last for minutes. */
  records->unresolved = epoch_call;
  records->next = hzb_time_plus (hzb_clock_now (((HzbController *) epoch_call->module)->clock), REFUSED_PAUSE_S);
}

static void
read_flush (HzbRecords *records)
{
  hzb_kv_client_get (records->controller->kv, HZB_KV_RECORD, HZB_KEY_FLUSH, on_flush_read,
                     g_steal_pointer (&records->unresolved));
}

static void
on_flushed (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbRecords *records = ((HzbController *) epoch_call->module)->records;
  HzbFlush *flush = epoch_call->data;

  if (!hzb_epoch_call_is_current (epoch_call))
    {
      hzb_flush_free (flush);
      g_free (epoch_call);
      return;
    }
  if (result == HZB_KV_UNKNOWN || result == HZB_KV_CONFLICT)
    {
      hzb_kv_client_get (((HzbController *) epoch_call->module)->kv, HZB_KV_RECORD, HZB_KEY_FLUSH, on_flush_read,
                         epoch_call);
      return;
    }
  if (result == HZB_KV_OK)
    {
      hzb_kv_commit_decode (body, &records->version, NULL);
      flush_applied (records, flush);
      ((HzbController *) epoch_call->module)->dispatch->next_run =
          (struct timespec){ 0 }; /* what was released, and recorded, can be used */
    }
  else
    {
      flush_failed (records, flush);
      records->next = hzb_time_plus (hzb_clock_now (((HzbController *) epoch_call->module)->clock), REFUSED_PAUSE_S);
    }
  hzb_flush_free (flush);
  g_free (epoch_call);
  records->flushing = FALSE;
}

/* Little is released ahead: what is, has to be accounted for by every machine after a change of leader. */
static guint
release_step (const HzbJob *job)
{
  return job->spec->kind == HZB_JOB_GANG || job->spec->kind == HZB_JOB_SERVICE ? job->n_tasks
                                                                               : MAX (RELEASE_STEP, job->n_tasks / 32);
}

static gboolean
release_requested (const HzbJob *job)
{
  return job->state == HZB_JOB_ACCEPTED && job->release_requested && job->releasing < job->n_tasks;
}

static cJSON *
pack_progress_page (HzbRecords *records, HzbPage *page, HzbFlush *out)
{
  cJSON *value = cJSON_CreateObject ();
  for (guint i = 0; i < page->parts->len; i++)
    {
      const HzbPagePart *part = &g_array_index (page->parts, HzbPagePart, i);
      HzbJob *job = part->job;
      HzbFlushedPart *fp = g_new0 (HzbFlushedPart, 1);
      g_autofree char *name = g_strdup_printf ("%s/%u", job->uid, part->chunk);
      guint size = records->controller->jobs->chunk, first = part->chunk * size;
      if (release_requested (job))
        job->releasing = MIN (job->n_tasks, job->releasing + release_step (job));
      job->release_requested = FALSE;
      fp->uid = g_strdup (job->uid);
      fp->releasing = job->releasing;
      fp->finished = g_array_new (FALSE, FALSE, sizeof (guint));
      for (guint k = first; job->finished && k < MIN (job->n_tasks, first + size); k++)
        if (job->tasks[k].state == HZB_TASK_FINISHED)
          g_array_append_val (fp->finished, k);
      g_ptr_array_add (out->parts, fp);
      cJSON_AddItemToObject (value, name, hzb_job_pack_progress (records->controller->jobs, job, part->chunk));
    }
  return value;
}

static cJSON *
pack_machine_page (HzbRecords *records, HzbPage *page, HzbFlush *out)
{
  cJSON *value = cJSON_CreateObject ();
  for (guint i = 0; i < page->machines->len; i++)
    {
      HzbMachine *machine = page->machines->pdata[i];
      cJSON_AddItemToObject (value, machine->name,
                             hzb_machine_pack (machine, hzb_clock_wall (records->controller->clock)));
      if (machine->recorded)
        continue;
      machine->recording = TRUE;
      g_ptr_array_add (out->machines, g_strdup (machine->name));
    }
  return value;
}

/* What is on a page that is to go is on others by now, durably. */
static gboolean
may_remove_retired (const HzbRecords *records)
{
  if (records->any_replacement)
    return FALSE;
  for (guint i = 0; i < records->controller->jobs->active->len; i++)
    if (((HzbJob *) records->controller->jobs->active->pdata[i])->unsplit)
      return FALSE;
  return TRUE;
}

/* How long the page may wait, as of its last writing; below 0: it need not be written. */
static double
max_delay_s (const HzbRecords *records, const HzbPage *page, double progress_s)
{
  if (page->retiring)
    return page->exists && may_remove_retired (records) ? CLEAN_EVERY_S : -1;
  for (guint i = 0; i < page->machines->len; i++)
    {
      const HzbMachine *machine = page->machines->pdata[i];
      if (!machine->recorded && !machine->recording)
        return 0;
    }
  for (guint i = 0; i < page->parts->len; i++)
    if (release_requested (g_array_index (page->parts, HzbPagePart, i).job))
      return 0;
  if (page->replaces_retired)
    return FLUSH_EVERY_S;
  if (page->dirty)
    return progress_s;
  return page->stale || (page->exists && !page->parts->len && !page->machines->len) ? CLEAN_EVERY_S : -1;
}

/* What something waits for goes first: a release, a new machine. */
static gint
longest_unwritten (gconstpointer a, gconstpointer b)
{
  const HzbPage *x = *(HzbPage *const *) a, *y = *(HzbPage *const *) b;
  if (x->urgent != y->urgent)
    return x->urgent ? -1 : 1;
  return hzb_time_before (x->written, y->written) ? -1 : hzb_time_before (y->written, x->written);
}

static void
put_page (HzbRecords *records, HzbPage *page, HzbKvTransaction *transaction, HzbFlush *out, struct timespec now)
{
  g_autofree char *key = hzb_page_key (page);

  page->stale = page->dirty = page->replaces_retired = FALSE;
  page->written = now;
  if (!page->parts->len && !page->machines->len)
    {
      hzb_kv_transaction_delete (transaction, key);
      page->exists = FALSE;
      records->retiring -= page->retiring;
      return;
    }
  hzb_kv_transaction_put (
      transaction, key,
      page->of_machines ? pack_machine_page (records, page, out) : pack_progress_page (records, page, out), 0);
  page->exists = TRUE;
}

/* Jobs and machines with news get their places. */
static void
place_on_pages (HzbRecords *records)
{
  HzbController *controller = records->controller;

  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      HzbJob *job = controller->jobs->active->pdata[i];
      if (!job->on_pages && (job->dirty || release_requested (job) || (job->unsplit && writable (records, job))))
        put_on_pages (records, job);
    }
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      if (!machine->page && machine->agent_epoch && !machine->recorded)
        hzb_page_add_machine (hzb_pages_with_room (&records->pages, TRUE, hzb_page_machine_bytes (machine)), machine);
    }
}

/* What is news of jobs becomes news of their pages. Returns: how many pages have any. */
static guint
mark_dirty_pages (HzbRecords *records)
{
  GPtrArray *active = records->controller->jobs->active;
  guint dirty = 0;

  for (guint i = 0; i < records->pages.all->len; i++)
    {
      HzbPage *page = records->pages.all->pdata[i];
      for (guint k = 0; k < page->parts->len && !page->dirty; k++)
        page->dirty = g_array_index (page->parts, HzbPagePart, k).job->dirty;
      dirty += page->dirty;
    }
  for (guint i = 0; i < active->len; i++)
    ((HzbJob *) active->pdata[i])->dirty = FALSE;
  return dirty;
}

/* Returns: (transfer container): the pages that are to be written now, the most urgent ones first. */
static GPtrArray *
due_pages (HzbRecords *records, guint dirty, struct timespec now)
{
  double write_rps = records->controller->settings->kv_write_rps;
  double progress_s = MAX (PROGRESS_EVERY_S, dirty / (PROGRESS_PART * write_rps));
  GPtrArray *due = g_ptr_array_new ();

  records->any_replacement = FALSE; /* the flushes before have been applied, or set it again */
  for (guint i = 0; i < records->pages.all->len; i++)
    {
      const HzbPage *page = records->pages.all->pdata[i];
      records->any_replacement = records->any_replacement || page->replaces_retired;
    }
  for (guint i = 0; i < records->pages.all->len; i++)
    {
      HzbPage *page = records->pages.all->pdata[i];
      double wait = max_delay_s (records, page, progress_s);
      page->urgent = wait == 0;
      if (wait >= 0 && hzb_time_between (page->written, now) >= wait)
        g_ptr_array_add (due, page);
    }
  /* Guards against pages at the end of the row never being written while those before them always have news. */
  g_ptr_array_sort (due, longest_unwritten);
  return due;
}

static HzbFlush *
flush_new (HzbRecords *records)
{
  HzbFlush *flush = g_new0 (HzbFlush, 1);
  flush->parts = g_ptr_array_new_with_free_func (flushed_part_free);
  flush->machines = g_ptr_array_new_with_free_func (g_free);
  flush->completed = g_ptr_array_new_with_free_func (g_free);
  flush->number = ++records->flushes;
  return flush;
}

/* The transaction, with the flush record in it. */
static HzbKvTransaction *
begin_transaction (HzbRecords *records, const HzbFlush *flush)
{
  HzbController *controller = records->controller;
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();
  cJSON *value = cJSON_CreateObject ();

  hzb_election_add_condition (controller->election, transaction);
  hzb_kv_transaction_compare (transaction, HZB_KEY_FLUSH, records->version);
  hzb_json_add_u64 (value, "n", flush->number);
  hzb_json_add_u64 (value, "term", hzb_election_term (controller->election));
  hzb_json_add_u64 (value, "clear", hzb_cancellations_acknowledged_revision (controller->cancellations));
  hzb_reconciliation_add_roster (controller->reconciliation, value);
  hzb_kv_transaction_put (transaction, HZB_KEY_FLUSH, value, 0);
  return transaction;
}

static void
remove_completed_acceptances (HzbRecords *records, HzbKvTransaction *transaction, HzbFlush *flush, guint room)
{
  HzbJobs *jobs = records->controller->jobs;
  HzbAcceptance *completed;

  for (; room && (completed = hzb_jobs_completed_acceptance (jobs)); room--)
    {
      completed->removing = TRUE;
      hzb_kv_transaction_delete (transaction, completed->key);
      g_ptr_array_add (flush->completed, g_strdup (completed->key));
    }
}

static void
flush (HzbRecords *records, struct timespec now)
{
  HzbController *controller = records->controller;
  g_autoptr (GPtrArray) due = NULL;
  guint room = controller->settings->kv_txn_ops - 1; /* beside the flush record */
  gsize bytes = 0;
  gboolean clean;
  HzbFlush *out;
  HzbKvTransaction *transaction;

  place_on_pages (records);
  due = due_pages (records, mark_dirty_pages (records), now);
  clean = !hzb_time_before (now, records->next_clean) && hzb_jobs_completed_acceptance (controller->jobs);
  if (!due->len && !clean && !hzb_reconciliation_roster_due (controller->reconciliation))
    return;
  out = flush_new (records);
  transaction = begin_transaction (records, out);
  for (guint i = 0; i < due->len && room; i++, room--)
    {
      HzbPage *page = due->pdata[i];
      if (i && bytes + page->bytes > TXN_BYTES)
        break;
      bytes += page->bytes;
      put_page (records, page, transaction, out, now);
    }
  if (clean)
    {
      remove_completed_acceptances (records, transaction, out, room);
      records->next_clean = hzb_time_plus (now, CLEAN_EVERY_S);
    }
  records->flushing = TRUE;
  hzb_kv_client_commit (controller->kv, HZB_KV_RECORD, transaction, on_flushed,
                        hzb_epoch_call_new (controller->ownership, controller, out));
}

void
hzb_records_flush_soon (HzbRecords *records)
{
  HzbController *controller = records->controller;
  struct timespec now = hzb_clock_now (controller->clock);
  if (!hzb_ownership_leader_loaded (controller->ownership) || !hzb_election_leading (controller->election))
    return;
  hzb_completed_job_archive_tick (controller->completed_job_archive, now);
  if (records->unresolved && !hzb_time_before (now, records->next))
    read_flush (records);
  if (records->flushing || hzb_time_before (now, records->next))
    return;
  records->next = hzb_time_plus (now, FLUSH_EVERY_S);
  flush (records, now);
}
