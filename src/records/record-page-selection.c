/* Selects the pages that the next flush writes. The key-value store takes few changes per second, so the leader delays
 * the writing of a page for as long as its changes may wait, or until something waits for the page to be durable. */
#include "job-progress.h"
#include "records-private.h"

#define REPLACEMENT_DELAY_S 0.1     /* of a page that replaces a retiring one; it is written with the next flush */
#define PROGRESS_DELAY_S 1.0        /* minimum for progress that no start waits for; longer if many pages are dirty */
#define PROGRESS_WRITE_FRACTION 0.4 /* fraction of the key-value store's write rate that such pages may use */
#define REMOVAL_DELAY_S 3.0         /* of a page whose only changes are removals of jobs or machines */
#define NEVER_S (-1.0)              /* the delay of a page that has nothing to write */

gboolean
hzb_records_needs_release (const HzbJob *job)
{
  return job->state == HZB_JOB_ACCEPTED && job->release_requested && job->releasing < job->n_tasks;
}

/* ---- assigning pages to jobs and machines ---- */

/* Returns: whether the job's progress may be written in the layout of this version, because controllers of schema
 * version 1 can read it (the job has one part), or because none of them is running any more. */
static gboolean
is_writable (const HzbRecords *records, const HzbJob *job)
{
  return job->n_tasks <= records->modules.jobs->chunk_tasks
         || hzb_election_schema_version (records->modules.election) >= 2;
}

static void
assign_pages_to_job (HzbRecords *records, HzbJob *job)
{
  HzbPages *pages = &records->pages;

  for (guint chunk = 0; chunk < hzb_job_count_chunks (records->modules.jobs, job); chunk++)
    {
      HzbPage *page = hzb_pages_find_with_room (pages, FALSE, hzb_pages_estimate_part_bytes (pages, job, chunk));
      hzb_pages_add_part (pages, page, job, chunk);
      page->replaces_retired = page->replaces_retired || job->has_schema_1_chunks;
      records->replacements_pending = records->replacements_pending || job->has_schema_1_chunks;
    }
  job->on_pages = TRUE;
  job->has_schema_1_chunks = FALSE;
}

static void
assign_pages_to_jobs (HzbRecords *records)
{
  const GPtrArray *active = records->modules.jobs->active;

  for (guint i = 0; i < active->len; i++)
    {
      HzbJob *job = active->pdata[i];
      gboolean has_unrecorded_changes = job->dirty || hzb_records_needs_release (job) || job->has_schema_1_chunks;
      if (!job->on_pages && has_unrecorded_changes && is_writable (records, job))
        assign_pages_to_job (records, job);
    }
}

/* A machine is recorded when its worker has stated its agent epoch, and before the leader sends the first start order
 * to the worker. */
static void
assign_pages_to_machines (HzbRecords *records)
{
  const GPtrArray *machines = records->modules.machines->all;

  for (guint i = 0; i < machines->len; i++)
    {
      HzbMachine *machine = machines->pdata[i];
      if (!machine->page && machine->agent_epoch && !machine->recorded)
        hzb_page_add_machine (
            hzb_pages_find_with_room (&records->pages, TRUE, hzb_page_estimate_machine_bytes (machine)), machine);
    }
}

/* ---- unrecorded changes and their maximum delay ---- */

/* Marks the pages of jobs that have unrecorded progress as dirty, and clears the mark of the jobs. Returns: the number
 * of dirty pages. */
static guint
mark_dirty_pages (HzbRecords *records)
{
  const GPtrArray *active = records->modules.jobs->active;
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

/* A failed flush marks pages as replacements of retiring pages again, and a flush that writes a page clears its
 * mark. */
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
  const GPtrArray *active = records->modules.jobs->active;

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
      if (!machine->recorded && !machine->recording)
        return TRUE;
    }
  for (guint i = 0; i < page->parts->len; i++)
    if (hzb_records_needs_release (g_array_index (page->parts, HzbPagePart, i).job))
      return TRUE;
  return FALSE;
}

/* Returns: how long after its last writing the page may be written again, in seconds; NEVER_S: the page has nothing to
 * write. */
static double
max_delay_s (const HzbRecords *records, const HzbPage *page, double progress_delay_s)
{
  if (page->retiring)
    return page->exists && may_remove_retiring (records) ? REMOVAL_DELAY_S : NEVER_S;
  if (blocks_task_start (page))
    return 0;
  if (page->replaces_retired)
    return REPLACEMENT_DELAY_S;
  if (page->dirty)
    return progress_delay_s;
  return page->stale || (page->exists && !page->parts->len && !page->machines->len) ? REMOVAL_DELAY_S : NEVER_S;
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
select_due_pages (HzbRecords *records, double progress_delay_s, struct timespec now)
{
  GPtrArray *due = g_ptr_array_new ();

  for (guint i = 0; i < records->pages.all->len; i++)
    {
      HzbPage *page = records->pages.all->pdata[i];
      double delay_s = max_delay_s (records, page, progress_delay_s);
      page->urgent = delay_s == 0;
      if (delay_s >= 0 && hzb_time_between (page->written, now) >= delay_s)
        g_ptr_array_add (due, page);
    }
  g_ptr_array_sort (due, compare_urgency);
  return due;
}

GPtrArray *
hzb_records_choose_pages (HzbRecords *records, struct timespec now)
{
  guint dirty;

  assign_pages_to_jobs (records);
  assign_pages_to_machines (records);
  dirty = mark_dirty_pages (records);
  update_replacements_pending (records);
  return select_due_pages (
      records,
      MAX (PROGRESS_DELAY_S, dirty / (PROGRESS_WRITE_FRACTION * records->modules.node->settings->kv_write_rps)), now);
}
