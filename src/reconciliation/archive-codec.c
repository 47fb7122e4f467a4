#include "archive-codec.h"

#include "json.h"

#include <string.h>

void
hzb_archive_set_damaged (GError **error, const char *detail)
{
  g_set_error (error, HZB_RECONCILIATION_ERROR, HZB_RECONCILIATION_ERROR_DAMAGED, "the archive is damaged: %s", detail);
}

/* ---- encoding of the document ---- */

/* Times in archives have a resolution of 1 ms. Halves of a millisecond round away from zero, for negative times too. */
static double
round_to_ms (double seconds)
{
  return (double) (gint64) (seconds * 1000 + (seconds < 0 ? -0.5 : 0.5)) / 1000;
}

static cJSON *
encode_job (const HzbArchivedJobVerdict *job)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "id", job->entry.uid);
  cJSON_AddStringToObject (item, "verdict", hzb_job_verdict_name (job->entry.verdict));
  cJSON_AddNumberToObject (item, "reason", job->entry.reason);
  cJSON_AddNumberToObject (item, "tasks", job->tasks);
  cJSON_AddNumberToObject (item, "released", job->released);
  cJSON_AddNumberToObject (item, "found", job->entry.found);
  cJSON_AddNumberToObject (item, "results", job->entry.results);
  cJSON_AddNumberToObject (item, "restarted", job->entry.restarted);
  cJSON_AddNumberToObject (item, "atS", round_to_ms (job->at_s));
  return item;
}

static cJSON *
encode_machine (const HzbArchivedMachine *machine)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "name", machine->name);
  cJSON_AddStringToObject (item, "fate", machine->fate);
  cJSON_AddNumberToObject (item, "atS", round_to_ms (machine->at_s));
  return item;
}

static cJSON *
encode_task (const HzbArchivedTask *task)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "task", task->name);
  cJSON_AddStringToObject (item, "machine", task->machine);
  cJSON_AddStringToObject (item, "verdict", task->verdict);
  cJSON_AddStringToObject (item, "reason", task->reason);
  return item;
}

static void
encode_lists (const HzbArchive *archive, cJSON *root)
{
  cJSON *list = cJSON_AddArrayToObject (root, "jobs");

  for (guint i = 0; i < archive->jobs->len; i++)
    cJSON_AddItemToArray (list, encode_job (&g_array_index (archive->jobs, HzbArchivedJobVerdict, i)));
  list = cJSON_AddArrayToObject (root, "machines");
  for (guint i = 0; i < archive->machines->len; i++)
    cJSON_AddItemToArray (list, encode_machine (&g_array_index (archive->machines, HzbArchivedMachine, i)));
  list = cJSON_AddArrayToObject (root, "quarantine");
  for (guint i = 0; i < archive->quarantine->len; i++)
    cJSON_AddItemToArray (list, encode_task (&g_array_index (archive->quarantine, HzbArchivedTask, i)));
  list = cJSON_AddObjectToObject (root, "commands");
  for (guint kind = 0; kind < HZB_ARCHIVE_N_COMMAND_KINDS; kind++)
    cJSON_AddItemToObject (list, hzb_archive_command_kind_name ((HzbArchiveCommandKind) kind),
                           cJSON_CreateIntArray ((const int *) archive->commands[kind], HZB_ARCHIVE_SECONDS));
}

static cJSON *
encode_document (const HzbArchive *archive)
{
  cJSON *root = cJSON_CreateObject ();

  cJSON_AddNumberToObject (root, "format", HZB_RECONCILIATION_FORMAT);
  hzb_json_add_u64 (root, "id", archive->id);
  hzb_json_add_u64 (root, "term", archive->term);
  cJSON_AddNumberToObject (root, "starts", archive->cold_starts);
  cJSON_AddNumberToObject (root, "began", archive->began);
  cJSON_AddStringToObject (root, "reason", archive->reason ? archive->reason : "");
  cJSON_AddNumberToObject (root, "completeS", round_to_ms (archive->complete_s));
  cJSON_AddNumberToObject (root, "omittedJobs", archive->omitted_jobs);
  cJSON_AddNumberToObject (root, "omittedMachines", archive->omitted_machines);
  encode_lists (archive, root);
  return root;
}

char *
hzb_archive_encode (const HzbArchive *archive)
{
  return hzb_json_print (encode_document (archive));
}

/* ---- decoding of the document ---- */

/* Returns: (transfer full): the text of the member @name; "" if it is missing */
static char *
copy_text (const cJSON *object, const char *name)
{
  const char *text = hzb_json_text (object, name);
  return g_strdup (text ? text : "");
}

/* Returns: the number in the member @name, clamped to 0..G_MAXINT32; 0 if it is missing */
static guint
read_count (const cJSON *object, const char *name)
{
  return (guint) CLAMP (hzb_json_number (object, name, 0), 0, G_MAXINT32);
}

static gboolean
decode_job (HzbArchive *archive, const cJSON *item)
{
  HzbArchivedJobVerdict job = { 0 };
  guint reason = read_count (item, "reason");

  if (!hzb_json_text (item, "id") || reason >= HZB_JOB_N_REASONS
      || !hzb_job_verdict_from_name (hzb_json_text (item, "verdict"), &job.entry.verdict))
    return FALSE;
  job.entry.uid = g_strdup (hzb_json_text (item, "id"));
  job.entry.reason = (HzbJobReason) reason;
  job.tasks = read_count (item, "tasks");
  job.released = read_count (item, "released");
  job.entry.found = read_count (item, "found");
  job.entry.results = read_count (item, "results");
  job.entry.restarted = read_count (item, "restarted");
  job.at_s = hzb_json_number (item, "atS", 0);
  g_array_append_val (archive->jobs, job);
  return TRUE;
}

/* A machine without the member "atS" counts as never accounted for. */
static void
decode_machines (HzbArchive *archive, const cJSON *root)
{
  const cJSON *item;

  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "machines"))
    {
      HzbArchivedMachine machine = { copy_text (item, "name"), copy_text (item, "fate"),
                                     hzb_json_number (item, "atS", -1) };
      g_array_append_val (archive->machines, machine);
    }
}

static void
decode_quarantine (HzbArchive *archive, const cJSON *root)
{
  const cJSON *item;

  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "quarantine"))
    {
      HzbArchivedTask task = { copy_text (item, "task"), copy_text (item, "machine"), copy_text (item, "verdict"),
                               copy_text (item, "reason") };
      g_array_append_val (archive->quarantine, task);
    }
}

static void
decode_commands (HzbArchive *archive, const cJSON *root)
{
  const cJSON *item, *commands = cJSON_GetObjectItemCaseSensitive (root, "commands");

  for (guint kind = 0; kind < HZB_ARCHIVE_N_COMMAND_KINDS; kind++)
    {
      guint second = 0;
      cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (
                                    commands, hzb_archive_command_kind_name ((HzbArchiveCommandKind) kind)))
        if (second < HZB_ARCHIVE_SECONDS && cJSON_IsNumber (item))
          archive->commands[kind][second++] = (guint) CLAMP (item->valuedouble, 0, G_MAXINT32);
    }
}

static HzbArchive *
decode_document (const cJSON *root, GError **error)
{
  g_autoptr (HzbArchive) archive = hzb_archive_new ();
  const cJSON *item;

  archive->id = hzb_json_u64 (root, "id");
  archive->term = hzb_json_u64 (root, "term");
  archive->cold_starts = read_count (root, "starts");
  archive->began = hzb_json_number (root, "began", 0);
  archive->reason = copy_text (root, "reason");
  archive->complete_s = hzb_json_number (root, "completeS", 0);
  archive->omitted_jobs = read_count (root, "omittedJobs");
  archive->omitted_machines = read_count (root, "omittedMachines");
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "jobs"))
    if (!decode_job (archive, item))
      {
        hzb_archive_set_damaged (error, "the id, the verdict or the reason of a job is missing or unknown");
        return NULL;
      }
  decode_machines (archive, root);
  decode_quarantine (archive, root);
  decode_commands (archive, root);
  return g_steal_pointer (&archive);
}

HzbArchive *
hzb_archive_decode (const char *text, GError **error)
{
  cJSON *root = cJSON_Parse (text);
  HzbArchive *archive = NULL;

  if (cJSON_IsObject (root))
    archive = decode_document (root, error);
  else
    hzb_archive_set_damaged (error, "its content is not a JSON object");
  cJSON_Delete (root);
  return archive;
}

/* ---- values in the key-value store ---- */

cJSON *
hzb_archive_index_encode (const GArray *index)
{
  cJSON *value = cJSON_CreateObject (), *list;

  cJSON_AddNumberToObject (value, "format", HZB_RECONCILIATION_FORMAT);
  list = cJSON_AddArrayToObject (value, "archives");
  for (guint i = 0; i < index->len; i++)
    {
      const HzbArchiveIndexEntry *entry = &g_array_index (index, HzbArchiveIndexEntry, i);
      cJSON *item = cJSON_CreateObject ();
      hzb_json_add_u64 (item, "id", entry->id);
      cJSON_AddNumberToObject (item, "parts", entry->parts);
      cJSON_AddItemToArray (list, item);
    }
  return value;
}

GArray *
hzb_archive_index_decode (const cJSON *value)
{
  GArray *index = g_array_new (FALSE, TRUE, sizeof (HzbArchiveIndexEntry));
  const cJSON *item;

  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (value, "archives"))
    {
      HzbArchiveIndexEntry entry = { hzb_json_u64 (item, "id"),
                                     (guint) CLAMP (hzb_json_number (item, "parts", 0), 0, HZB_ARCHIVE_MAX_PARTS) };
      if (entry.id)
        g_array_append_val (index, entry);
    }
  return index;
}

cJSON *
hzb_archive_part_encode (const char *text, guint n_parts)
{
  cJSON *value = cJSON_CreateObject ();
  cJSON_AddStringToObject (value, "data", text);
  cJSON_AddNumberToObject (value, "of", n_parts);
  return value;
}

const char *
hzb_archive_part_decode (const cJSON *value, guint *n_parts)
{
  const char *text = hzb_json_text (value, "data");
  *n_parts = (guint) CLAMP (hzb_json_number (value, "of", 1), 1, HZB_ARCHIVE_MAX_PARTS);
  return text ? text : "";
}

/* ---- responses of the administration API ---- */

char *
hzb_archive_response_encode (guint64 id, const char *text)
{
  cJSON *root = cJSON_CreateObject ();
  hzb_json_add_u64 (root, "id", id);
  cJSON_AddStringToObject (root, "archive", text);
  return hzb_json_print (root);
}

char *
hzb_archive_response_decode (const char *text, gsize length, gsize *packed_length)
{
  cJSON *root = cJSON_ParseWithLength (text, length);
  const char *archive = hzb_json_text (root, "archive");
  char *packed = archive ? (char *) g_base64_decode (archive, packed_length) : NULL;

  cJSON_Delete (root);
  return packed;
}
