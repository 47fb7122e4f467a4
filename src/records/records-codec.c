#include "records-codec.h"
#include "jobs.h"
#include "json.h"

#include <math.h>
#include <string.h>

/* ---- the flush record ---- */

cJSON *
hzb_flush_record_encode (const HzbFlushRecord *record)
{
  cJSON *value = cJSON_CreateObject ();
  hzb_json_add_u64 (value, "n", record->number);
  hzb_json_add_u64 (value, "term", record->term);
  hzb_json_add_u64 (value, "clear", record->acknowledged_revision);
  return value;
}

void
hzb_flush_record_decode (const cJSON *value, HzbFlushRecord *record)
{
  record->number = hzb_json_u64 (value, "n");
  record->term = hzb_json_u64 (value, "term");
  record->acknowledged_revision = hzb_json_u64 (value, "clear");
}

/* ---- progress ---- */

void
hzb_progress_record_clear (HzbProgressRecord *record)
{
  g_clear_pointer (&record->team, g_free);
  g_clear_pointer (&record->finished, g_free);
}

cJSON *
hzb_progress_record_encode (const HzbProgressRecord *record)
{
  cJSON *value = cJSON_CreateObject ();

  cJSON_AddNumberToObject (value, "released", record->released);
  if (record->chunk_tasks)
    cJSON_AddNumberToObject (value, "of", record->chunk_tasks);
  if (record->team)
    {
      cJSON_AddStringToObject (value, "team", record->team);
      cJSON_AddNumberToObject (value, "cpus", record->cpus);
      cJSON_AddNumberToObject (value, "gpus", record->gpus);
    }
  if (record->finished_bytes)
    {
      g_autofree char *text = g_base64_encode (record->finished, record->finished_bytes);
      cJSON_AddStringToObject (value, "done", text);
    }
  return value;
}

void
hzb_progress_record_decode (const cJSON *value, HzbProgressRecord *record)
{
  /* A record of schema version 1, or of a job with one chunk, does not state the chunk size. */
  double chunk_tasks = hzb_json_number (value, "of", HZB_SCHEMA_1_CHUNK_TASKS);
  const char *finished = hzb_json_text (value, "done");

  *record = (HzbProgressRecord){ 0 };
  record->released = (guint) hzb_json_number (value, "released", 0);
  record->chunk_tasks = (guint) CLAMP (chunk_tasks, 1, HZB_MAX_TASKS);
  record->team = g_strdup (hzb_json_text (value, "team"));
  record->cpus = hzb_json_number (value, "cpus", 0);
  record->gpus = hzb_json_number (value, "gpus", 0);
  if (finished && *finished)
    record->finished = g_base64_decode (finished, &record->finished_bytes);
}

static void
progress_chunk_clear (gpointer data)
{
  HzbProgressChunk *chunk = data;
  g_clear_pointer (&chunk->uid, g_free);
  hzb_progress_record_clear (&chunk->progress);
}

GArray *
hzb_progress_chunks_new (void)
{
  GArray *chunks = g_array_new (FALSE, TRUE, sizeof (HzbProgressChunk));
  g_array_set_clear_func (chunks, progress_chunk_clear);
  return chunks;
}

cJSON *
hzb_progress_page_encode (const GArray *chunks)
{
  cJSON *page = cJSON_CreateObject ();
  for (guint i = 0; i < chunks->len; i++)
    {
      const HzbProgressChunk *chunk = &g_array_index (chunks, HzbProgressChunk, i);
      g_autofree char *name = g_strdup_printf ("%s/%u", chunk->uid, chunk->number);
      cJSON_AddItemToObject (page, name, hzb_progress_record_encode (&chunk->progress));
    }
  return page;
}

GArray *
hzb_progress_page_decode (const cJSON *page)
{
  GArray *chunks = hzb_progress_chunks_new ();
  const cJSON *entry;

  cJSON_ArrayForEach (entry, page)
    {
      const char *slash = strrchr (entry->string, '/');
      HzbProgressChunk chunk = { 0 };
      if (slash) /* else the name is malformed, and the uid stays NULL */
        {
          chunk.uid = g_strndup (entry->string, (gsize) (slash - entry->string));
          chunk.number = (guint) g_ascii_strtoull (slash + 1, NULL, 10);
        }
      hzb_progress_record_decode (entry, &chunk.progress);
      g_array_append_val (chunks, chunk);
    }
  return chunks;
}

/* ---- machines ---- */

static void
machine_record_clear (gpointer data)
{
  HzbMachineRecord *record = data;
  g_clear_pointer (&record->name, g_free);
  g_clear_pointer (&record->address, g_free);
  g_clear_pointer (&record->type, g_free);
  g_clear_pointer (&record->zone, g_free);
}

GArray *
hzb_machine_records_new (void)
{
  GArray *machines = g_array_new (FALSE, TRUE, sizeof (HzbMachineRecord));
  g_array_set_clear_func (machines, machine_record_clear);
  return machines;
}

/* The address is not written: a worker states its address with every heartbeat, and schema version 1 reads machine
 * records without an address. */
static cJSON *
machine_record_encode (const HzbMachineRecord *record)
{
  cJSON *value = cJSON_CreateObject ();
  cJSON_AddStringToObject (value, "type", record->type);
  cJSON_AddStringToObject (value, "zone", record->zone);
  cJSON_AddBoolToObject (value, "spot", record->spot);
  cJSON_AddNumberToObject (value, "at", record->recorded_at);
  if (record->drain)
    cJSON_AddTrueToObject (value, "drain");
  return value;
}

static gboolean
is_true (const cJSON *value, const char *name)
{
  return cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (value, name));
}

static HzbMachineRecord
machine_record_decode (const char *name, const cJSON *value)
{
  return (HzbMachineRecord){
    .name = g_strdup (name),
    .address = g_strdup (hzb_json_text (value, "addr")),
    .type = g_strdup (hzb_json_text (value, "type")),
    .zone = g_strdup (hzb_json_text (value, "zone")),
    .spot = is_true (value, "spot"),
    .drain = is_true (value, "drain"),
    .recorded_at = hzb_json_number (value, "at", NAN),
  };
}

cJSON *
hzb_machine_page_encode (const GArray *machines)
{
  cJSON *page = cJSON_CreateObject ();
  for (guint i = 0; i < machines->len; i++)
    {
      const HzbMachineRecord *record = &g_array_index (machines, HzbMachineRecord, i);
      cJSON_AddItemToObject (page, record->name, machine_record_encode (record));
    }
  return page;
}

GArray *
hzb_machine_page_decode (const cJSON *page)
{
  GArray *machines = hzb_machine_records_new ();
  const cJSON *entry;

  cJSON_ArrayForEach (entry, page)
    {
      HzbMachineRecord record = machine_record_decode (entry->string, entry);
      g_array_append_val (machines, record);
    }
  return machines;
}

gsize
hzb_record_bytes (const cJSON *value)
{
  char *text = cJSON_PrintUnformatted (value);
  gsize bytes = strlen (text);
  cJSON_free (text);
  return bytes;
}
