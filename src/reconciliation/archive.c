#include "archive.h"

#include "json.h"

#include <string.h>
#include <zstd.h>

#define MAGIC "HZBREC"
#define HEADER_BYTES 8u
#define MOST_JOBS 4000u
#define MOST_MACHINES 8000u
#define MOST_UNPACKED (16u * 1024 * 1024) /* bytes: a larger one is none of ours */
#define LEVEL 9

static const char *const kind_names[HZB_ARCHIVE_N_KINDS] = { "starts", "stops", "reaps", "rentals" };

const char *
hzb_archive_kind_name (HzbArchiveKind kind)
{
  return kind_names[kind];
}

/* ---- building ---- */

static void
job_clear (gpointer data)
{
  g_free (((HzbArchivedJob *) data)->entry.uid);
}

static void
machine_clear (gpointer data)
{
  g_free (((HzbArchivedMachine *) data)->name);
  g_free (((HzbArchivedMachine *) data)->fate);
}

static void
task_clear (gpointer data)
{
  HzbArchivedTask *task = data;
  g_free (task->name);
  g_free (task->machine);
  g_free (task->verdict);
  g_free (task->reason);
}

GArray *
hzb_archived_machines_new (void)
{
  GArray *machines = g_array_new (FALSE, TRUE, sizeof (HzbArchivedMachine));
  g_array_set_clear_func (machines, machine_clear);
  return machines;
}

HzbArchive *
hzb_archive_new (void)
{
  HzbArchive *archive = g_new0 (HzbArchive, 1);
  archive->jobs = g_array_new (FALSE, TRUE, sizeof (HzbArchivedJob));
  g_array_set_clear_func (archive->jobs, job_clear);
  archive->machines = hzb_archived_machines_new ();
  archive->quarantine = g_array_new (FALSE, TRUE, sizeof (HzbArchivedTask));
  g_array_set_clear_func (archive->quarantine, task_clear);
  return archive;
}

void
hzb_archive_free (HzbArchive *archive)
{
  g_array_unref (archive->jobs);
  g_array_unref (archive->machines);
  g_array_unref (archive->quarantine);
  g_free (archive->reason);
  g_free (archive);
}

void
hzb_archive_add_job (HzbArchive *archive, const HzbArchivedJob *job)
{
  HzbArchivedJob copy = *job;
  if (archive->jobs->len >= MOST_JOBS)
    {
      archive->omitted_jobs++;
      return;
    }
  copy.entry.uid = g_strdup (job->entry.uid);
  g_array_append_val (archive->jobs, copy);
}

void
hzb_archive_add_machine (HzbArchive *archive, const char *name, const char *fate, double at_s)
{
  HzbArchivedMachine machine = { NULL, NULL, at_s };
  if (archive->machines->len >= MOST_MACHINES)
    {
      archive->omitted_machines++;
      return;
    }
  machine.name = g_strdup (name);
  machine.fate = g_strdup (fate);
  g_array_append_val (archive->machines, machine);
}

void
hzb_archive_add_task (HzbArchive *archive, const char *name, const char *machine, const char *verdict,
                      const char *reason)
{
  HzbArchivedTask task = { g_strdup (name), g_strdup (machine), g_strdup (verdict), g_strdup (reason) };
  g_array_append_val (archive->quarantine, task);
}

/* ---- writing ---- */

/* Times in archives have milliseconds. */
static double
rounded (double seconds)
{
  return (double) (gint64) (seconds * 1000 + (seconds < 0 ? -0.5 : 0.5)) / 1000;
}

static cJSON *
pack_job (const HzbArchivedJob *job)
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
  cJSON_AddNumberToObject (item, "atS", rounded (job->at_s));
  return item;
}

static cJSON *
pack_machine (const HzbArchivedMachine *machine)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "name", machine->name);
  cJSON_AddStringToObject (item, "fate", machine->fate);
  cJSON_AddNumberToObject (item, "atS", rounded (machine->at_s));
  return item;
}

static cJSON *
pack_task (const HzbArchivedTask *task)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "task", task->name);
  cJSON_AddStringToObject (item, "machine", task->machine);
  cJSON_AddStringToObject (item, "verdict", task->verdict);
  cJSON_AddStringToObject (item, "reason", task->reason);
  return item;
}

static cJSON *
pack_document (const HzbArchive *archive)
{
  cJSON *root = cJSON_CreateObject (), *list;

  cJSON_AddNumberToObject (root, "format", HZB_RECONCILIATION_FORMAT);
  hzb_json_add_u64 (root, "id", archive->id);
  hzb_json_add_u64 (root, "term", archive->term);
  cJSON_AddNumberToObject (root, "starts", archive->starts);
  cJSON_AddNumberToObject (root, "began", archive->began);
  cJSON_AddStringToObject (root, "reason", archive->reason ? archive->reason : "");
  cJSON_AddNumberToObject (root, "completeS", rounded (archive->complete_s));
  cJSON_AddNumberToObject (root, "omittedJobs", archive->omitted_jobs);
  cJSON_AddNumberToObject (root, "omittedMachines", archive->omitted_machines);
  list = cJSON_AddArrayToObject (root, "jobs");
  for (guint i = 0; i < archive->jobs->len; i++)
    cJSON_AddItemToArray (list, pack_job (&g_array_index (archive->jobs, HzbArchivedJob, i)));
  list = cJSON_AddArrayToObject (root, "machines");
  for (guint i = 0; i < archive->machines->len; i++)
    cJSON_AddItemToArray (list, pack_machine (&g_array_index (archive->machines, HzbArchivedMachine, i)));
  list = cJSON_AddArrayToObject (root, "quarantine");
  for (guint i = 0; i < archive->quarantine->len; i++)
    cJSON_AddItemToArray (list, pack_task (&g_array_index (archive->quarantine, HzbArchivedTask, i)));
  list = cJSON_AddObjectToObject (root, "commands");
  for (guint kind = 0; kind < HZB_ARCHIVE_N_KINDS; kind++)
    cJSON_AddItemToObject (list, kind_names[kind],
                           cJSON_CreateIntArray ((const int *) archive->commands[kind], HZB_ARCHIVE_SECONDS));
  return root;
}

GBytes *
hzb_archive_pack (const HzbArchive *archive)
{
  cJSON *root = pack_document (archive);
  char *text = cJSON_PrintUnformatted (root);
  gsize length = strlen (text), bound = ZSTD_compressBound (length), packed;
  char *out = g_malloc (HEADER_BYTES + bound + 1);
  ZSTD_CCtx *context = ZSTD_createCCtx ();

  g_snprintf (out, HEADER_BYTES + 1, MAGIC "%02u", HZB_RECONCILIATION_FORMAT);
  ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, LEVEL);
  ZSTD_CCtx_setParameter (context, ZSTD_c_checksumFlag, 1);
  packed = ZSTD_compress2 (context, out + HEADER_BYTES, bound, text, length);
  ZSTD_freeCCtx (context);
  cJSON_free (text);
  cJSON_Delete (root);
  g_assert (!ZSTD_isError (packed)); /* the bound leaves room for whatever it is */
  return g_bytes_new_take (out, HEADER_BYTES + packed);
}

/* ---- reading ---- */

static gboolean
damaged (GError **error, const char *why)
{
  g_set_error (error, HZB_RECONCILIATION_ERROR, HZB_RECONCILIATION_ERROR_DAMAGED, "the archive is damaged: %s", why);
  return FALSE;
}

static char *
text_of (const cJSON *object, const char *name)
{
  const char *text = hzb_json_text (object, name);
  return g_strdup (text ? text : "");
}

static guint
count_of (const cJSON *object, const char *name)
{
  return (guint) CLAMP (hzb_json_number (object, name, 0), 0, G_MAXINT32);
}

static gboolean
unpack_job (HzbArchive *archive, const cJSON *item)
{
  HzbArchivedJob job = { 0 };
  guint reason = count_of (item, "reason");

  if (!hzb_json_text (item, "id") || reason >= HZB_JOB_N_REASONS
      || !hzb_job_verdict_from_name (hzb_json_text (item, "verdict"), &job.entry.verdict))
    return FALSE;
  job.entry.uid = g_strdup (hzb_json_text (item, "id"));
  job.entry.reason = (HzbJobReason) reason;
  job.tasks = count_of (item, "tasks");
  job.released = count_of (item, "released");
  job.entry.found = count_of (item, "found");
  job.entry.results = count_of (item, "results");
  job.entry.restarted = count_of (item, "restarted");
  job.at_s = hzb_json_number (item, "atS", 0);
  g_array_append_val (archive->jobs, job);
  return TRUE;
}

static void
unpack_lists (HzbArchive *archive, const cJSON *root)
{
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (root, "commands");

  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "machines"))
    {
      HzbArchivedMachine machine = { text_of (item, "name"), text_of (item, "fate"),
                                     hzb_json_number (item, "atS", -1) };
      g_array_append_val (archive->machines, machine);
    }
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "quarantine"))
    {
      HzbArchivedTask task = { text_of (item, "task"), text_of (item, "machine"), text_of (item, "verdict"),
                               text_of (item, "reason") };
      g_array_append_val (archive->quarantine, task);
    }
  for (guint kind = 0; kind < HZB_ARCHIVE_N_KINDS; kind++)
    {
      guint at = 0;
      cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (list, kind_names[kind]))
        if (at < HZB_ARCHIVE_SECONDS && cJSON_IsNumber (item))
          archive->commands[kind][at++] = (guint) CLAMP (item->valuedouble, 0, G_MAXINT32);
    }
}

static HzbArchive *
unpack_document (const cJSON *root, GError **error)
{
  g_autoptr (HzbArchive) archive = hzb_archive_new ();
  const cJSON *item;

  archive->id = hzb_json_u64 (root, "id");
  archive->term = hzb_json_u64 (root, "term");
  archive->starts = count_of (root, "starts");
  archive->began = hzb_json_number (root, "began", 0);
  archive->reason = text_of (root, "reason");
  archive->complete_s = hzb_json_number (root, "completeS", 0);
  archive->omitted_jobs = count_of (root, "omittedJobs");
  archive->omitted_machines = count_of (root, "omittedMachines");
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "jobs"))
    if (!unpack_job (archive, item))
      {
        damaged (error, "a job makes no sense");
        return NULL;
      }
  unpack_lists (archive, root);
  return g_steal_pointer (&archive);
}

static gboolean
check_header (const char *data, gsize length, GError **error)
{
  guint64 format = 0;
  g_autofree char *digits = NULL;

  if (length < HEADER_BYTES || memcmp (data, MAGIC, strlen (MAGIC)) != 0)
    return damaged (error, "it does not begin as archives do");
  digits = g_strndup (data + strlen (MAGIC), HEADER_BYTES - strlen (MAGIC));
  if (!g_ascii_string_to_unsigned (digits, 10, 1, 99, &format, NULL))
    return damaged (error, "its format is not a number");
  if (format > HZB_RECONCILIATION_FORMAT)
    {
      g_set_error (error, HZB_RECONCILIATION_ERROR, HZB_RECONCILIATION_ERROR_FUTURE_FORMAT,
                   "the archive is of format %" G_GUINT64_FORMAT ", of a later version; this one reads up to %u",
                   format, HZB_RECONCILIATION_FORMAT);
      return FALSE;
    }
  return TRUE;
}

HzbArchive *
hzb_archive_unpack (GBytes *bytes, GError **error)
{
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);
  unsigned long long size;
  g_autofree char *text = NULL;
  HzbArchive *archive;
  cJSON *root;

  if (!check_header (data, length, error))
    return NULL;
  size = ZSTD_getFrameContentSize (data + HEADER_BYTES, length - HEADER_BYTES);
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > MOST_UNPACKED)
    {
      damaged (error, "its length makes no sense");
      return NULL;
    }
  text = g_malloc (size + 1);
  if (ZSTD_decompress (text, size, data + HEADER_BYTES, length - HEADER_BYTES) != size)
    {
      damaged (error, "its checksum is wrong, or a part is missing");
      return NULL;
    }
  text[size] = '\0';
  root = cJSON_Parse (text);
  if (!cJSON_IsObject (root))
    damaged (error, "it holds no document");
  archive = cJSON_IsObject (root) ? unpack_document (root, error) : NULL;
  cJSON_Delete (root);
  return archive;
}

HzbArchive *
hzb_archive_read_file (const char *path, GError **error)
{
  g_autoptr (GBytes) bytes = NULL;
  char *contents = NULL;
  gsize length = 0;
  cJSON *answer;

  if (!g_file_get_contents (path, &contents, &length, error))
    return NULL;
  answer = cJSON_ParseWithLength (contents, length);
  if (hzb_json_text (answer, "archive"))
    {
      g_free (contents);
      contents = (char *) g_base64_decode (hzb_json_text (answer, "archive"), &length);
    }
  cJSON_Delete (answer);
  bytes = g_bytes_new_take (contents, length);
  return hzb_archive_unpack (bytes, error);
}
