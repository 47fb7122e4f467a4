/* Creates, resets and frees HzbRecords, and loads the stored records when this node becomes the leader.
 *
 * A page of schema version 1 may be larger than the limit for a value: the smaller of the present limit
 * (state.value_kb) and the announced one (state.next.value_kb). The leader moves the contents of such a page to pages
 * of its own size, and removes the large page when all of these are durable. A leader that is elected in between loads
 * both, which is safe: a task that is done on either page is done, the released mark is the highest of all, and a
 * machine on either page is recorded. A job that has chunks which only schema version 1 writes keeps its pages
 * unchanged while a controller of version 1 may be running. During this time the job starts no task beyond its released
 * mark. */
#include "records.h"
#include "job-progress.h"
#include "record-keys.h"
#include "records-codec.h"
#include "records-private.h"

#include <string.h>

#define CLOCK_SKEW_S 1.0 /* maximum difference between the wall clocks of two nodes */

HzbRecords *
hzb_records_new (const HzbRecordsDependencies *dependencies, const HzbRecordsCallbacks *callbacks, gpointer user)
{
  HzbRecords *records = g_new0 (HzbRecords, 1);
  records->dependencies = *dependencies;
  records->callbacks = *callbacks;
  records->user = user;
  hzb_pages_init (&records->pages, dependencies->jobs, dependencies->node->settings);
  return records;
}

void
hzb_records_free (HzbRecords *records)
{
  hzb_records_drop_unresolved (records);
  hzb_pages_free_all (&records->pages);
  g_free (records);
}

void
hzb_records_reset (HzbRecords *records)
{
  hzb_records_drop_unresolved (records);
  hzb_records_set_flush_state (records, HZB_FLUSH_IDLE);
  hzb_pages_clear (&records->pages);
  records->flush_version = records->flush_number = 0;
  records->replacements_pending = FALSE;
  records->retiring_pages = 0;
}

void
hzb_records_drop_job (HzbRecords *records, HzbJob *job)
{
  hzb_pages_drop_job (&records->pages, job);
}

void
hzb_records_drop_machine (HzbRecords *records, HzbMachine *machine)
{
  hzb_pages_drop_machine (&records->pages, machine);
}

/* ---- loading ---- */

/* A cancelled job's own record no longer states the resources of its tasks; its progress record does. */
static HzbJobSpec *
cancelled_job_spec_new (const char *uid, const HzbProgressRecord *progress, guint n_tasks)
{
  HzbJobSpec *spec = g_new0 (HzbJobSpec, 1);
  spec->uid = g_strdup (uid);
  spec->job_class = g_strdup ("");
  spec->image = g_ref_string_new_intern ("");
  spec->team = g_strdup (progress->team);
  spec->cpus = progress->cpus;
  spec->gpus = progress->gpus;
  spec->tasks = n_tasks;
  spec->estimate_s = 1;
  return spec;
}

static void
load_progress (HzbRecords *records, HzbPage *page, const HzbProgressChunk *chunk)
{
  HzbJobs *jobs = records->dependencies.jobs;
  HzbJob *job = chunk->uid ? hzb_jobs_find (jobs, chunk->uid) : NULL;
  gboolean has_current_layout = TRUE;

  if (!job || job->state == HZB_JOB_DONE)
    {
      page->stale = TRUE;
      return;
    }
  if (job->state == HZB_JOB_CANCELLED && !job->spec && chunk->progress.team)
    {
      job->spec = cancelled_job_spec_new (chunk->uid, &chunk->progress, job->n_tasks);
      job->team = hzb_settings_find_team (records->dependencies.node->settings, job->spec->team);
    }
  hzb_jobs_activate (jobs, job);
  if (!job->tasks)
    return;
  if (!hzb_job_apply_progress (jobs, job, chunk->number, &chunk->progress, &has_current_layout))
    page->stale = TRUE;
  else if (has_current_layout && !job->has_schema_1_chunks)
    {
      hzb_pages_add_chunk (&records->pages, page, job, chunk->number);
      job->on_pages = TRUE;
    }
  else
    {
      /* Chunks of the job that were loaded before this one may have the current layout and be on pages. They are
       * removed from the pages, because the leader assigns pages to all chunks of the job again later. */
      hzb_pages_drop_job (&records->pages, job);
      job->has_schema_1_chunks = page->retiring = TRUE;
    }
}

static void
load_machine (HzbRecords *records, HzbPage *page, const HzbMachineRecord *record)
{
  HzbMachines *machines = records->dependencies.machines;
  /* NAN if the record does not state when it was written */
  double age_s = (double) hzb_clock_wall (records->dependencies.node->clock).tv_sec - record->recorded_at;
  HzbMachine *machine;

  if (hzb_machines_find (machines, record->name) || !record->type || !record->zone)
    return;
  machine = hzb_machines_add (machines, record->name, record->address, record->type, record->zone, record->spot,
                              HZB_MACHINE_UNVERIFIED);
  hzb_machine_set_record_state (machine, HZB_MACHINE_RECORD_CURRENT);
  machine->known_to_cloud = TRUE;
  machine->drain = machine->scale_in_requested = record->drain;
  if (age_s > CLOCK_SKEW_S)
    machine->rented = hzb_time_plus (machine->rented, -(age_s - CLOCK_SKEW_S));
  hzb_page_add_machine (page, machine);
}

static void
load_page (HzbRecords *records, const HzbKvEntry *entry, gboolean of_machines)
{
  guint number = (guint) g_ascii_strtoull (strrchr (entry->key, '/') + 1, NULL, 10);
  HzbPage *page = hzb_page_new (&records->pages, number, of_machines);
  g_autoptr (GArray) members =
      of_machines ? hzb_machine_page_decode (entry->value) : hzb_progress_page_decode (entry->value);

  page->exists = TRUE;
  page->retiring = (double) hzb_record_bytes (entry->value) > records->dependencies.node->settings->kv_value_kb * 1024;
  for (guint i = 0; i < members->len; i++)
    if (of_machines)
      load_machine (records, page, &g_array_index (members, HzbMachineRecord, i));
    else
      load_progress (records, page, &g_array_index (members, HzbProgressChunk, i));
}

void
hzb_records_load (HzbRecords *records, const HzbKvEntry *entry)
{
  if (g_str_equal (entry->key, HZB_KEY_FLUSH))
    {
      HzbFlushRecord flush_record;
      hzb_flush_record_decode (entry->value, &flush_record);
      records->flush_version = entry->version;
      records->flush_number = flush_record.number;
    }
  else if (g_str_has_prefix (entry->key, HZB_KEY_MACHINES))
    load_page (records, entry, TRUE);
  else if (g_str_has_prefix (entry->key, HZB_KEY_PROGRESS))
    load_page (records, entry, FALSE);
}

/* ---- retiring pages ---- */

static void
mark_replacement (HzbRecords *records, HzbPage *page)
{
  page->replaces_retired = records->replacements_pending = TRUE;
}

/* Moves the contents of a retiring page to other pages. */
static void
move_contents (HzbRecords *records, HzbPage *retiring)
{
  HzbPages *pages = &records->pages;
  g_autoptr (GArray) chunks = g_steal_pointer (&retiring->chunks);
  g_autoptr (GPtrArray) machines = g_steal_pointer (&retiring->machines);

  hzb_page_make_empty (retiring);
  for (guint i = 0; i < chunks->len; i++)
    {
      const HzbPageChunk *chunk = &g_array_index (chunks, HzbPageChunk, i);
      HzbPage *to = hzb_pages_find_with_room (pages, FALSE, chunk->bytes);
      hzb_pages_add_chunk (pages, to, chunk->job, chunk->number);
      mark_replacement (records, to);
    }
  for (guint i = 0; i < machines->len; i++)
    {
      HzbPage *to = hzb_pages_find_with_room (pages, TRUE, hzb_page_estimate_machine_bytes (machines->pdata[i]));
      hzb_page_add_machine (to, machines->pdata[i]);
      mark_replacement (records, to);
    }
}

void
hzb_records_load_finished (HzbRecords *records)
{
  guint n_loaded = records->pages.all->len; /* move_contents() adds pages */

  for (guint i = 0; i < n_loaded; i++)
    {
      HzbPage *page = records->pages.all->pdata[i];
      if (!page->retiring)
        continue;
      records->retiring_pages++;
      move_contents (records, page);
    }
  if (records->retiring_pages)
    g_message (
        "records: %u pages have an earlier layout or are too large; their contents are being written to new pages, "
        "and nothing needs to be done",
        records->retiring_pages);
}
