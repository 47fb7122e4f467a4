#include "record-pages.h"
#include "record-keys.h"

#include <string.h>

/* Maximum size of a page. A page is written as a whole, so the change of a single job on a larger page would cause too
 * many bytes to be written. */
#define PAGE_BYTES 12000u
/* Fraction of the key-value store's maximum size of a value that a page may fill: sizes of pages are only estimates. */
#define PAGE_VALUE_FRACTION 0.9
/* Estimated size of an entry without its texts (uid and team of a chunk; name, type and zone of a machine). */
#define CHUNK_BYTES 120u
#define MACHINE_BYTES 85u
#define TASKS_PER_BYTE 6u /* base 64 stores the bits of six tasks in a character */

static void
page_free (gpointer data)
{
  HzbPage *page = data;
  g_array_unref (page->chunks);
  g_ptr_array_unref (page->machines);
  g_free (page);
}

void
hzb_page_make_empty (HzbPage *page)
{
  page->chunks = g_array_new (FALSE, FALSE, sizeof (HzbPageChunk));
  page->machines = g_ptr_array_new ();
  page->bytes = 0;
}

HzbPage *
hzb_page_new (HzbPages *pages, guint number, gboolean of_machines)
{
  HzbPage *page = g_new0 (HzbPage, 1);
  page->number = number;
  page->of_machines = of_machines;
  hzb_page_make_empty (page);
  pages->max_number = MAX (pages->max_number, number);
  g_ptr_array_add (pages->all, page);
  return page;
}

/* Returns: (nullable) (transfer none): the page. NULL: there is none, or `number` is 0, which stands for no page. */
static HzbPage *
find_page (HzbPages *pages, guint number, gboolean of_machines)
{
  for (guint i = 0; number && i < pages->all->len; i++)
    {
      HzbPage *page = pages->all->pdata[i];
      if (page->number == number && page->of_machines == of_machines)
        return page;
    }
  return NULL;
}

char *
hzb_page_key (const HzbPage *page)
{
  return g_strdup_printf ("%s%06u", page->of_machines ? HZB_KEY_MACHINES : HZB_KEY_PROGRESS, page->number);
}

static gsize
max_page_bytes (const HzbPages *pages)
{
  return MIN (PAGE_BYTES, (gsize) (pages->settings->kv_value_kb * 1024 * PAGE_VALUE_FRACTION));
}

HzbPage *
hzb_pages_find_with_room (HzbPages *pages, gboolean of_machines, gsize bytes)
{
  gsize max_bytes = max_page_bytes (pages);

  for (guint i = 0; i < pages->all->len; i++)
    {
      HzbPage *page = pages->all->pdata[i];
      if (page->of_machines == of_machines && !page->retiring && page->bytes + bytes <= max_bytes)
        return page;
    }
  return hzb_page_new (pages, pages->max_number + 1, of_machines);
}

gsize
hzb_pages_estimate_chunk_bytes (const HzbPages *pages, const HzbJob *job, guint chunk_number)
{
  guint tasks = MIN (pages->jobs->chunk_tasks, job->n_tasks - chunk_number * pages->jobs->chunk_tasks);
  /* No task of a service is ever done, so its record has no bits. */
  return CHUNK_BYTES + strlen (job->uid) + strlen (job->spec->team)
         + (job->spec->kind == HZB_JOB_SERVICE ? 0 : tasks / TASKS_PER_BYTE);
}

void
hzb_pages_add_chunk (HzbPages *pages, HzbPage *page, HzbJob *job, guint chunk_number)
{
  HzbPageChunk chunk = { job, chunk_number, hzb_pages_estimate_chunk_bytes (pages, job, chunk_number) };
  g_array_append_val (page->chunks, chunk);
  page->bytes += chunk.bytes;
}

gsize
hzb_page_estimate_machine_bytes (const HzbMachine *machine)
{
  return MACHINE_BYTES + strlen (machine->name) + strlen (machine->type_name) + strlen (machine->zone);
}

void
hzb_page_add_machine (HzbPage *page, HzbMachine *machine)
{
  g_ptr_array_add (page->machines, machine);
  page->bytes += hzb_page_estimate_machine_bytes (machine);
  machine->page = page->number;
}

static void
drop_job_chunks (HzbPage *page, const HzbJob *job)
{
  for (guint i = page->chunks->len; i-- > 0;)
    {
      const HzbPageChunk *chunk = &g_array_index (page->chunks, HzbPageChunk, i);
      if (chunk->job != job)
        continue;
      page->bytes -= chunk->bytes;
      page->stale = TRUE;
      g_array_remove_index_fast (page->chunks, i);
    }
}

void
hzb_pages_drop_job (HzbPages *pages, HzbJob *job)
{
  for (guint i = 0; job->on_pages && i < pages->all->len; i++)
    drop_job_chunks (pages->all->pdata[i], job);
  job->on_pages = FALSE;
}

void
hzb_pages_drop_machine (HzbPages *pages, HzbMachine *machine)
{
  HzbPage *page = find_page (pages, machine->page, TRUE);
  machine->page = 0;
  if (!page || !g_ptr_array_remove_fast (page->machines, machine))
    return;
  page->bytes -= hzb_page_estimate_machine_bytes (machine);
  page->stale = TRUE;
}

void
hzb_pages_init (HzbPages *pages, const HzbJobs *jobs, const HzbSettings *settings)
{
  pages->jobs = jobs;
  pages->settings = settings;
  pages->all = g_ptr_array_new_with_free_func (page_free);
  pages->max_number = 0;
}

void
hzb_pages_clear (HzbPages *pages)
{
  g_ptr_array_set_size (pages->all, 0);
  pages->max_number = 0;
}

void
hzb_pages_free_all (HzbPages *pages)
{
  g_clear_pointer (&pages->all, g_ptr_array_unref);
}
