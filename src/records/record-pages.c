#include "record-pages.h"
#include "record-keys.h"

#include <string.h>

#define PAGE_BYTES 12000u /* and less where values have to be smaller */
#define PAGE_VALUE_PART 0.9
/* Without their texts: */
#define PART_BYTES 120u
#define MACHINE_BYTES 85u
#define TASKS_PER_BYTE 6u /* of the bits of finished tasks, in base 64 */

static void
page_free (gpointer data)
{
  HzbPage *page = data;
  g_array_unref (page->parts);
  g_ptr_array_unref (page->machines);
  g_free (page);
}

HzbPage *
hzb_page_new (HzbPages *pages, guint number, gboolean of_machines)
{
  HzbPage *page = g_new0 (HzbPage, 1);
  page->number = number;
  page->of_machines = of_machines;
  page->parts = g_array_new (FALSE, FALSE, sizeof (HzbPagePart));
  page->machines = g_ptr_array_new ();
  pages->numbers = MAX (pages->numbers, number);
  g_ptr_array_add (pages->all, page);
  return page;
}

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
most_bytes (const HzbPages *pages)
{
  return MIN (PAGE_BYTES, (gsize) (pages->settings->kv_value_kb * 1024 * PAGE_VALUE_PART));
}

HzbPage *
hzb_pages_with_room (HzbPages *pages, gboolean of_machines, gsize bytes)
{
  gsize most = most_bytes (pages);
  for (guint i = 0; i < pages->all->len; i++)
    {
      HzbPage *page = pages->all->pdata[i];
      if (page->of_machines == of_machines && !page->retiring && page->bytes + bytes <= most)
        return page;
    }
  return hzb_page_new (pages, pages->numbers + 1, of_machines);
}

gsize
hzb_pages_part_bytes (const HzbPages *pages, const HzbJob *job, guint chunk)
{
  guint tasks = MIN (pages->jobs->chunk, job->n_tasks - chunk * pages->jobs->chunk);
  /* A service's tasks are never done. */
  return PART_BYTES + strlen (job->uid) + strlen (job->spec->team)
         + (job->spec->kind == HZB_JOB_SERVICE ? 0 : tasks / TASKS_PER_BYTE);
}

void
hzb_pages_add_part (HzbPages *pages, HzbPage *page, HzbJob *job, guint chunk)
{
  HzbPagePart part = { job, chunk, hzb_pages_part_bytes (pages, job, chunk) };
  g_array_append_val (page->parts, part);
  page->bytes += part.bytes;
}

gsize
hzb_page_machine_bytes (const HzbMachine *machine)
{
  return MACHINE_BYTES + strlen (machine->name) + strlen (machine->type_name) + strlen (machine->zone);
}

void
hzb_page_add_machine (HzbPage *page, HzbMachine *machine)
{
  g_ptr_array_add (page->machines, machine);
  page->bytes += hzb_page_machine_bytes (machine);
  machine->page = page->number;
}

void
hzb_pages_drop_job (HzbPages *pages, HzbJob *job)
{
  for (guint i = 0; job->on_pages && i < pages->all->len; i++)
    {
      HzbPage *page = pages->all->pdata[i];
      for (guint k = page->parts->len; k-- > 0;)
        if (g_array_index (page->parts, HzbPagePart, k).job == job)
          {
            page->bytes -= g_array_index (page->parts, HzbPagePart, k).bytes;
            page->stale = TRUE;
            g_array_remove_index_fast (page->parts, k);
          }
    }
  job->on_pages = FALSE;
}

void
hzb_pages_drop_machine (HzbPages *pages, HzbMachine *machine)
{
  HzbPage *page = find_page (pages, machine->page, TRUE);
  machine->page = 0;
  if (!page || !g_ptr_array_remove_fast (page->machines, machine))
    return;
  page->bytes -= hzb_page_machine_bytes (machine);
  page->stale = TRUE;
}

void
hzb_pages_init (HzbPages *pages, const HzbJobs *jobs, const HzbSettings *settings)
{
  pages->jobs = jobs;
  pages->settings = settings;
  pages->all = g_ptr_array_new_with_free_func (page_free);
  pages->numbers = 0;
}

void
hzb_pages_clear (HzbPages *pages)
{
  g_ptr_array_set_size (pages->all, 0);
  pages->numbers = 0;
}

void
hzb_pages_free_all (HzbPages *pages)
{
  g_clear_pointer (&pages->all, g_ptr_array_unref);
}
