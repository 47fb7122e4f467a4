#include "archive.h"

#include "archive-codec.h"

#include <string.h>
#include <zstd.h>

#define MAGIC "HZBREC"
#define HEADER_BYTES 8u
#define MOST_JOBS 4000u
#define MOST_MACHINES 8000u
#define MOST_UNPACKED_BYTES (16u * 1024 * 1024) /* no archive that this program wrote is larger */
#define COMPRESSION_LEVEL 9

static const char *const kind_names[HZB_ARCHIVE_N_KINDS] = {
  [HZB_ARCHIVE_STARTS] = "starts",
  [HZB_ARCHIVE_STOPS] = "stops",
  [HZB_ARCHIVE_REAPS] = "reaps",
  [HZB_ARCHIVE_SCALE_OUTS] = "rentals",
};

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

GBytes *
hzb_archive_pack (const HzbArchive *archive)
{
  g_autofree char *text = hzb_archive_encode (archive);
  gsize length = strlen (text), bound = ZSTD_compressBound (length), packed;
  char *out = g_malloc (HEADER_BYTES + bound + 1);
  ZSTD_CCtx *context = ZSTD_createCCtx ();

  g_snprintf (out, HEADER_BYTES + 1, MAGIC "%02u", HZB_RECONCILIATION_FORMAT);
  ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
  ZSTD_CCtx_setParameter (context, ZSTD_c_checksumFlag, 1);
  packed = ZSTD_compress2 (context, out + HEADER_BYTES, bound, text, length);
  ZSTD_freeCCtx (context);
  g_assert (!ZSTD_isError (packed)); /* the bound leaves room for any text */
  return g_bytes_new_take (out, HEADER_BYTES + packed);
}

/* ---- reading ---- */

static gboolean
check_header (const char *data, gsize length, GError **error)
{
  guint64 format = 0;
  g_autofree char *digits = NULL;

  if (length < HEADER_BYTES || memcmp (data, MAGIC, strlen (MAGIC)) != 0)
    {
      hzb_archive_set_damaged (error, "it does not begin as archives do");
      return FALSE;
    }
  digits = g_strndup (data + strlen (MAGIC), HEADER_BYTES - strlen (MAGIC));
  if (!g_ascii_string_to_unsigned (digits, 10, 1, 99, &format, NULL))
    {
      hzb_archive_set_damaged (error, "its format is not a number");
      return FALSE;
    }
  if (format > HZB_RECONCILIATION_FORMAT)
    {
      g_set_error (error, HZB_RECONCILIATION_ERROR, HZB_RECONCILIATION_ERROR_FUTURE_FORMAT,
                   "the archive is of format %" G_GUINT64_FORMAT ", of a later version; this one reads up to %u",
                   format, HZB_RECONCILIATION_FORMAT);
      return FALSE;
    }
  return TRUE;
}

/* Returns: (transfer full) (nullable): the text in a zstd frame; NULL, with an error, if the frame is damaged */
static char *
decompress (const char *frame, gsize length, GError **error)
{
  unsigned long long size = ZSTD_getFrameContentSize (frame, length);
  g_autofree char *text = NULL;

  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > MOST_UNPACKED_BYTES)
    {
      hzb_archive_set_damaged (error, "its length makes no sense");
      return NULL;
    }
  text = g_malloc (size + 1);
  if (ZSTD_decompress (text, size, frame, length) != size)
    {
      hzb_archive_set_damaged (error, "its checksum is wrong, or a part is missing");
      return NULL;
    }
  text[size] = '\0';
  return g_steal_pointer (&text);
}

HzbArchive *
hzb_archive_unpack (GBytes *bytes, GError **error)
{
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);
  g_autofree char *text = NULL;

  if (!check_header (data, length, error))
    return NULL;
  text = decompress (data + HEADER_BYTES, length - HEADER_BYTES, error);
  return text ? hzb_archive_decode (text, error) : NULL;
}

HzbArchive *
hzb_archive_read_file (const char *path, GError **error)
{
  g_autoptr (GBytes) bytes = NULL;
  g_autofree char *contents = NULL;
  char *packed;
  gsize length = 0, packed_length = 0;

  if (!g_file_get_contents (path, &contents, &length, error))
    return NULL;
  packed = hzb_archive_response_decode (contents, length, &packed_length);
  if (packed)
    bytes = g_bytes_new_take (packed, packed_length);
  else
    bytes = g_bytes_new_take (g_steal_pointer (&contents), length);
  return hzb_archive_unpack (bytes, error);
}
