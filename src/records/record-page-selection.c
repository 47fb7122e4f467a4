/* Selects the pages that the next flush writes. The key-value store takes few changes per second, so the leader writes
 * a page again only after a minimum interval, which depends on the kind of the page's changes. A page for which the
 * start of a task waits has no minimum interval. */
#include "job-progress.h"
#include "records-private.h"

/* Minimum intervals between two writings of a page, by the kind of its changes; see min_interval_s(). */
#define REPLACEMENT_INTERVAL_S 0.1  /* for a page with contents of a retiring page: the next flush writes the page */
#define PROGRESS_INTERVAL_S 1.0     /* for a dirty page that no task start waits for; longer if many are dirty */
#define PROGRESS_WRITE_FRACTION 0.4 /* fraction of the key-value store's write rate that dirty pages may use */
#define REMOVAL_INTERVAL_S 3.0      /* for a page whose only changes are removals of jobs or machines */
#define NEVER_S (-1.0)              /* in place of an interval: the page has nothing to write */

gboolean
hzb_records_job_needs_release (const HzbJob *job)
{
  return job->state == HZB_JOB_ACCEPTED && job->release_requested && job->releasing < job->n_tasks;
}

/* ---- assigning pages to jobs and machines ---- */

/* Returns: whether the leader may write the job's progress in the layout of this version. Controllers of schema version
 * 1 can read this layout only if the job has one chunk, so the progress of a larger job is written in this layout only
 * when no controller of schema version 1 is running any more. */
static gboolean
is_writable (const HzbRecords *records, const HzbJob *job)
{
  return job->n_tasks <= records->dependencies.jobs->chunk_tasks
         || hzb_election_schema_version (records->dependencies.election) >= 2;
}

static void
assign_pages_to_job (HzbRecords *records, HzbJob *job)
{
  HzbPages *pages = &records->pages;

  for (guint chunk_number = 0; chunk_number < hzb_job_count_chunks (records->dependencies.jobs, job); chunk_number++)
    {
      HzbPage *page =
          hzb_pages_find_with_room (pages, FALSE, hzb_pages_estimate_chunk_bytes (pages, job, chunk_number));
      hzb_pages_add_chunk (pages, page, job, chunk_number);
      page->replaces_retired = page->replaces_retired || job->has_schema_1_chunks;
      records->replacements_pending = records->replacements_pending || job->has_schema_1_chunks;
    }
  job->on_pages = TRUE;
  job->has_schema_1_chunks = FALSE;
}

static void
assign_pages_to_jobs (HzbRecords *records)
{
  const GPtrArray *active = records->dependencies.jobs->active;

  for (guint i = 0; i < active->len; i++)
    {
      HzbJob *job = active->pdata[i];
      gboolean has_unrecorded_changes = job->dirty || hzb_records_job_needs_release (job) || job->has_schema_1_chunks;
      if (!job->on_pages && has_unrecorded_changes && is_writable (records, job))
        assign_pages_to_job (records, job);
    }
}

/* A machine is recorded when its worker has stated its agent epoch, and before the leader sends the first start order
 * to the worker. */
static void
assign_pages_to_machines (HzbRecords *records)
{
  const GPtrArray *machines = records->dependencies.machines->all;

  for (guint i = 0; i < machines->len; i++)
    {
      HzbMachine *machine = machines->pdata[i];
      if (!machine->page && machine->agent_epoch && !hzb_machine_is_recorded (machine))
        hzb_page_add_machine (
            hzb_pages_find_with_room (&records->pages, TRUE, hzb_page_estimate_machine_bytes (machine)), machine);
    }
}

/* ---- unrecorded changes and the minimum interval between writings ---- */

/* Marks the pages of jobs that have unrecorded progress (HzbJob.dirty) as dirty, and then clears HzbJob.dirty of all
 * active jobs. Returns: the number of dirty pages. */
static guint
mark_dirty_pages (HzbRecords *records)
{
  const GPtrArray *active = records->dependencies.jobs->active;
  guint dirty = 0;

  for (guint i = 0; i < records->pages.all->len; i++)
    {
      HzbPage *page = records->pages.all->pdata[i];
      for (guint k = 0; k < page->chunks->len && !page->dirty; k++)
        page->dirty = g_array_index (page->chunks, HzbPageChunk, k).job->dirty;
      dirty += page->dirty;
    }
  for (guint i = 0; i < active->len; i++)
    ((HzbJob *) active->pdata[i])->dirty = FALSE;
  return dirty;
}

/* Recomputes records->replacements_pending from the replaces_retired marks of the pages: a failed flush sets the mark
 * of pages again, and a flush that writes a page clears the mark of that page. */
static void
update_replacements_pending (HzbRecords *records)
{
  records->replacements_pending = FALSE;
  for (guint i = 0; i < records->pages.all->len; i++)
    {
      const HzbPage *page = records->pages.all->pdata[i];
      records->replacements_pending = records->replacements_pending || page->replaces_retired;
    }
}

/* Returns: whether all contents of the retiring pages are durable on other pages. */
static gboolean
may_remove_retiring (const HzbRecords *records)
{
  const GPtrArray *active = records->dependencies.jobs->active;

  if (records->replacements_pending)
    return FALSE;
  for (guint i = 0; i < active->len; i++)
    if (((const HzbJob *) active->pdata[i])->has_schema_1_chunks)
      return FALSE;
  return TRUE;
}

/* Returns: whether the start of a task waits for the page. A machine gets tasks only after it has been recorded, and a
 * task starts only after it has been released. */
static gboolean
blocks_task_start (const HzbPage *page)
{
  for (guint i = 0; i < page->machines->len; i++)
    {
      const HzbMachine *machine = page->machines->pdata[i];
      if (hzb_machine_needs_record (machine))
        return TRUE;
    }
  for (guint i = 0; i < page->chunks->len; i++)
    if (hzb_records_job_needs_release (g_array_index (page->chunks, HzbPageChunk, i).job))
      return TRUE;
  return FALSE;
}

/* Returns: the minimum time between the last writing of the page and the next one, in seconds; 0 if the start of a task
 * waits for the page; NEVER_S if the page has nothing to write. Removals are to be written if the stored page still
 * names removed jobs or machines (stale), or if the page exists in the store but has become empty. */
static double
min_interval_s (const HzbRecords *records, const HzbPage *page, double progress_interval_s)
{
  if (page->retiring)
    return page->exists && may_remove_retiring (records) ? REMOVAL_INTERVAL_S : NEVER_S;
  if (blocks_task_start (page))
    return 0;
  if (page->replaces_retired)
    return REPLACEMENT_INTERVAL_S;
  if (page->dirty)
    return progress_interval_s;
  return page->stale || (page->exists && !page->chunks->len && !page->machines->len) ? REMOVAL_INTERVAL_S : NEVER_S;
}

/* ---- selection ---- */

/* Urgent pages are sorted first, and then those whose last writing is the longest ago: otherwise pages at the end of
 * the list would never be written while the pages before them always have unrecorded changes. */
static gint
compare_urgency (gconstpointer a, gconstpointer b)
{
  const HzbPage *x = *(HzbPage *const *) a, *y = *(HzbPage *const *) b;
  if (x->urgent != y->urgent)
    return x->urgent ? -1 : 1;
  return hzb_time_before (x->written, y->written) ? -1 : hzb_time_before (y->written, x->written);
}

static GPtrArray *
select_due_pages (HzbRecords *records, double progress_interval_s, struct timespec now)
{
  GPtrArray *due = g_ptr_array_new ();

  for (guint i = 0; i < records->pages.all->len; i++)
    {
      HzbPage *page = records->pages.all->pdata[i];
      double interval_s = min_interval_s (records, page, progress_interval_s);
      page->urgent = interval_s == 0;
      if (interval_s >= 0 && hzb_time_between (page->written, now) >= interval_s)
        g_ptr_array_add (due, page);
    }
  g_ptr_array_sort (due, compare_urgency);
  return due;
}

GPtrArray *
hzb_records_select_pages (HzbRecords *records, struct timespec now)
{
  guint dirty;

  assign_pages_to_jobs (records);
  assign_pages_to_machines (records);
  dirty = mark_dirty_pages (records);
  update_replacements_pending (records);
  return select_due_pages (
      records,
      MAX (PROGRESS_INTERVAL_S, dirty / (PROGRESS_WRITE_FRACTION * records->dependencies.node->settings->kv_write_rps)),
      now);
}
