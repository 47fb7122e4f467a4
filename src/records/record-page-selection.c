/* Which pages the next flush writes. The key-value store takes few changes, so a page waits until something needs it to
 * be durable, and for as long as its news may wait. */
#include "job-progress.h"
#include "records-private.h"

#define REPLACEMENT_DELAY_S 0.1 /* of a page that takes over from a retiring one: with the next flush */
#define PROGRESS_DELAY_S                                                                                               \
  1.0                     /* of a page with progress that no start waits for, and longer where many pages have some: */
#define PROGRESS_PART 0.4 /* of the changes that the key-value store takes, for such pages */
#define CLEAN_DELAY_S 3.0 /* of a page that only names what is gone */
#define NEVER_S (-1.0)

gboolean
hzb_records_wants_release (const HzbJob *job)
{
  return job->state == HZB_JOB_ACCEPTED && job->release_requested && job->releasing < job->n_tasks;
}

/* ---- putting jobs and machines on pages ---- */

/* A controller of schema version 1 reads the job's progress as this version writes it, or none is running any more. */
static gboolean
is_writable (const HzbRecords *records, const HzbJob *job)
{
  return job->n_tasks <= records->modules.jobs->chunk || hzb_election_schema_version (records->modules.election) >= 2;
}

static void
place_job (HzbRecords *records, HzbJob *job)
{
  HzbPages *pages = &records->pages;

  for (guint chunk = 0; chunk < hzb_job_chunks (records->modules.jobs, job); chunk++)
    {
      HzbPage *page = hzb_pages_with_room (pages, FALSE, hzb_pages_part_bytes (pages, job, chunk));
      hzb_pages_add_part (pages, page, job, chunk);
      page->replaces_retired = page->replaces_retired || job->has_schema_1_parts;
      records->replacements_pending = records->replacements_pending || job->has_schema_1_parts;
    }
  job->on_pages = TRUE;
  job->has_schema_1_parts = FALSE;
}

static void
place_jobs (HzbRecords *records)
{
  const GPtrArray *active = records->modules.jobs->active;

  for (guint i = 0; i < active->len; i++)
    {
      HzbJob *job = active->pdata[i];
      gboolean has_news = job->dirty || hzb_records_wants_release (job) || job->has_schema_1_parts;
      if (!job->on_pages && has_news && is_writable (records, job))
        place_job (records, job);
    }
}

/* A machine is recorded once its worker has said which agent epoch it is in, and before the first start order goes
 * there. */
static void
place_machines (HzbRecords *records)
{
  const GPtrArray *machines = records->modules.machines->all;

  for (guint i = 0; i < machines->len; i++)
    {
      HzbMachine *machine = machines->pdata[i];
      if (!machine->page && machine->agent_epoch && !machine->recorded)
        hzb_page_add_machine (hzb_pages_with_room (&records->pages, TRUE, hzb_page_machine_bytes (machine)), machine);
    }
}

/* ---- which pages have news, and how long these may wait ---- */

/* What is news of jobs becomes news of their pages. Returns: how many pages have any. */
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

/* A page may take over from a retiring one again since a flush failed, and none does once all of them are durable. */
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

/* Everything that retiring pages name is durable on other pages. */
static gboolean
may_remove_retiring (const HzbRecords *records)
{
  const GPtrArray *active = records->modules.jobs->active;

  if (records->replacements_pending)
    return FALSE;
  for (guint i = 0; i < active->len; i++)
    if (((const HzbJob *) active->pdata[i])->has_schema_1_parts)
      return FALSE;
  return TRUE;
}

/* A start waits for the page: a machine takes tasks once it is on record, and a task starts once it is released. */
static gboolean
is_awaited (const HzbPage *page)
{
  for (guint i = 0; i < page->machines->len; i++)
    {
      const HzbMachine *machine = page->machines->pdata[i];
      if (!machine->recorded && !machine->recording)
        return TRUE;
    }
  for (guint i = 0; i < page->parts->len; i++)
    if (hzb_records_wants_release (g_array_index (page->parts, HzbPagePart, i).job))
      return TRUE;
  return FALSE;
}

/* How long the page may wait, as of its last writing; NEVER_S: there is nothing to write. */
static double
max_delay_s (const HzbRecords *records, const HzbPage *page, double progress_s)
{
  if (page->retiring)
    return page->exists && may_remove_retiring (records) ? CLEAN_DELAY_S : NEVER_S;
  if (is_awaited (page))
    return 0;
  if (page->replaces_retired)
    return REPLACEMENT_DELAY_S;
  if (page->dirty)
    return progress_s;
  return page->stale || (page->exists && !page->parts->len && !page->machines->len) ? CLEAN_DELAY_S : NEVER_S;
}

/* ---- choosing ---- */

/* Urgent pages go first. Among the others the longest unwritten goes first: else pages at the end of the list would
 * never be written while those before them always have news. */
static gint
compare_urgency (gconstpointer a, gconstpointer b)
{
  const HzbPage *x = *(HzbPage *const *) a, *y = *(HzbPage *const *) b;
  if (x->urgent != y->urgent)
    return x->urgent ? -1 : 1;
  return hzb_time_before (x->written, y->written) ? -1 : hzb_time_before (y->written, x->written);
}

static GPtrArray *
due_pages (HzbRecords *records, double progress_s, struct timespec now)
{
  GPtrArray *due = g_ptr_array_new ();

  for (guint i = 0; i < records->pages.all->len; i++)
    {
      HzbPage *page = records->pages.all->pdata[i];
      double delay_s = max_delay_s (records, page, progress_s);
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

  place_jobs (records);
  place_machines (records);
  dirty = mark_dirty_pages (records);
  update_replacements_pending (records);
  return due_pages (
      records, MAX (PROGRESS_DELAY_S, dirty / (PROGRESS_PART * records->modules.node->settings->kv_write_rps)), now);
}
