/* What the owner keeps in the key-value store for the next one: how far jobs have come, and which machines there are, on
 * pages (record-pages.h).
 *
 * A page of version 1 may be larger than a value will be allowed to be. What it names is put on pages of our size; once
 * all of these are written the large one goes. Until then both are read, and that is safe: a task done on either is
 * done, the mark of what may have been started is the highest of any, and a machine on either is on record. A job whose
 * parts only version 1 writes stays where it is, unchanged, and starts nothing more, while a version 1 may be about. */
#include "job-progress.h"
#include "json.h"
#include "kv-protocol.h"
#include "record-keys.h"
#include "records-private.h"

#include <string.h>

HzbRecords *
hzb_records_new (HzbController *controller)
{
  HzbRecords *records = g_new0 (HzbRecords, 1);
  records->controller = controller;
  hzb_pages_init (&records->pages, controller->jobs, controller->settings);
  return records;
}

static void
drop_unresolved (HzbRecords *records)
{
  if (!records->unresolved)
    return;
  hzb_flush_free (records->unresolved->data);
  g_clear_pointer (&records->unresolved, g_free);
}

void
hzb_records_free (HzbRecords *records)
{
  drop_unresolved (records);
  hzb_pages_free_all (&records->pages);
  g_free (records);
}

void
hzb_records_reset (HzbRecords *records)
{
  drop_unresolved (records);
  hzb_pages_clear (&records->pages);
  records->version = records->flushes = 0;
  records->flushing = records->any_replacement = FALSE;
  records->retiring = 0;
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

/* ---- reading ---- */

/* What a cancelled job's own record no longer says is beside its progress. */
static HzbJobSpec *
spec_of_remains (const char *uid, const cJSON *value, guint n)
{
  HzbJobSpec *spec = g_new0 (HzbJobSpec, 1);
  spec->uid = g_strdup (uid);
  spec->job_class = g_strdup ("");
  spec->image = g_ref_string_new_intern ("");
  spec->team = g_strdup (hzb_json_text (value, "team"));
  spec->cpus = hzb_json_number (value, "cpus", 0);
  spec->gpus = hzb_json_number (value, "gpus", 0);
  spec->tasks = n;
  spec->estimate_s = 1;
  return spec;
}

static void
load_progress (HzbRecords *records, HzbPage *page, const cJSON *value)
{
  HzbController *controller = records->controller;
  const char *slash = strrchr (value->string, '/');
  g_autofree char *uid = slash ? g_strndup (value->string, (gsize) (slash - value->string)) : NULL;
  HzbJob *job = uid ? hzb_jobs_find (controller->jobs, uid) : NULL;
  guint chunk = slash ? (guint) g_ascii_strtoull (slash + 1, NULL, 10) : 0;
  gboolean ours = TRUE;

  if (!job || job->state == HZB_JOB_DONE)
    {
      page->stale = TRUE;
      return;
    }
  if (job->state == HZB_JOB_CANCELLED && !job->spec && hzb_json_text (value, "team"))
    {
      job->spec = spec_of_remains (uid, value, job->n_tasks);
      job->team = hzb_settings_team (controller->settings, job->spec->team);
    }
  hzb_jobs_activate (controller->jobs, job);
  if (!job->tasks)
    return;
  if (!hzb_job_read_progress (controller->jobs, job, chunk, value, &ours))
    page->stale = TRUE;
  else if (ours && !job->unsplit)
    {
      hzb_pages_add_part (&records->pages, page, job, chunk);
      job->on_pages = TRUE;
    }
  else
    {
      hzb_pages_drop_job (&records->pages, job); /* of several parts some may be ours already */
      job->unsplit = page->retiring = TRUE;
    }
}

static void
load_machine (HzbRecords *records, HzbPage *page, const cJSON *value)
{
  HzbController *controller = records->controller;
  const char *type = hzb_json_text (value, "type"), *zone = hzb_json_text (value, "zone");
  double age = (double) hzb_clock_wall (controller->clock).tv_sec - hzb_json_number (value, "at", 1e15);
  HzbMachine *machine;

  if (hzb_machines_find (controller->machines, value->string) || !type || !zone)
    return;
  machine = hzb_machines_add (controller->machines, value->string, hzb_json_text (value, "addr"), type, zone,
                              cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (value, "spot")), HZB_MACHINE_UNVERIFIED);
  machine->recorded = machine->known_to_cloud = TRUE;
  machine->drain = machine->scale_in_requested = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (value, "drain"));
  if (age > 1)
    machine->rented = hzb_time_plus (machine->rented, -(age - 1)); /* times of day differ a little */
  hzb_page_add_machine (page, machine);
}

void
hzb_records_load (HzbRecords *records, const HzbKvEntry *item)
{
  gboolean of_machines = g_str_has_prefix (item->key, HZB_KEY_MACHINES);
  const cJSON *entry;
  char *text;
  HzbPage *page;

  if (g_str_equal (item->key, HZB_KEY_FLUSH))
    {
      records->version = item->version;
      records->flushes = hzb_json_u64 (item->value, "n");
      return;
    }
  if (!of_machines && !g_str_has_prefix (item->key, HZB_KEY_PROGRESS))
    return;
  page = hzb_page_new (&records->pages, (guint) g_ascii_strtoull (strrchr (item->key, '/') + 1, NULL, 10), of_machines);
  page->exists = TRUE;
  text = cJSON_PrintUnformatted (item->value);
  page->retiring = (double) strlen (text) > records->controller->settings->kv_value_kb * 1024;
  cJSON_free (text);
  cJSON_ArrayForEach (entry, item->value)
    if (of_machines)
      load_machine (records, page, entry);
    else
      load_progress (records, page, entry);
}

/* All has been read: what stands on pages that are to go is put on others. */
void
hzb_records_load_finished (HzbRecords *records)
{
  guint read = records->pages.all->len;

  for (guint i = 0; i < read; i++)
    {
      HzbPage *page = records->pages.all->pdata[i];
      g_autoptr (GArray) parts = page->retiring ? page->parts : NULL;
      g_autoptr (GPtrArray) machines = page->retiring ? page->machines : NULL;
      if (!page->retiring)
        continue;
      records->retiring++;
      page->parts = g_array_new (FALSE, FALSE, sizeof (HzbPagePart));
      page->machines = g_ptr_array_new ();
      page->bytes = 0;
      for (guint k = 0; k < parts->len; k++)
        {
          const HzbPagePart *part = &g_array_index (parts, HzbPagePart, k);
          HzbPage *to = hzb_pages_with_room (&records->pages, FALSE, part->bytes);
          hzb_pages_add_part (&records->pages, to, part->job, part->chunk);
          to->replaces_retired = records->any_replacement = TRUE;
        }
      for (guint k = 0; k < machines->len; k++)
        {
          HzbPage *to = hzb_pages_with_room (&records->pages, TRUE, hzb_page_machine_bytes (machines->pdata[k]));
          hzb_page_add_machine (to, machines->pdata[k]);
          to->replaces_retired = records->any_replacement = TRUE;
        }
    }
  if (records->retiring)
    g_message ("records: %u pages are to be written anew", records->retiring);
}
