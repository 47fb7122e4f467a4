#include "archive-packing.h"

#include "archive-codec.h"

#include <string.h>
#include <zstd.h>

#define MAGIC "HZBREC"
#define HEADER_BYTES 8u
#define MAX_UNPACKED_BYTES (16u * 1024 * 1024) /* a larger archive counts as damaged: this program writes none */
#define COMPRESSION_LEVEL 9

GBytes *
hzb_archive_pack (const HzbArchive *archive)
{
  g_autofree char *text = hzb_archive_encode (archive);
  gsize length = strlen (text), bound = ZSTD_compressBound (length), frame_length;
  char *packed = g_malloc (HEADER_BYTES + bound + 1);
  ZSTD_CCtx *context = ZSTD_createCCtx ();

  g_snprintf (packed, HEADER_BYTES + 1, MAGIC "%02u", HZB_RECONCILIATION_FORMAT);
  ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
  ZSTD_CCtx_setParameter (context, ZSTD_c_checksumFlag, 1);
  frame_length = ZSTD_compress2 (context, packed + HEADER_BYTES, bound, text, length);
  ZSTD_freeCCtx (context);
  g_assert (!ZSTD_isError (frame_length)); /* ZSTD_compressBound() is enough for any text of this length */
  return g_bytes_new_take (packed, HEADER_BYTES + frame_length);
}

/* ---- unpacking ---- */

static gboolean
check_header (const char *data, gsize length, GError **error)
{
  guint64 format = 0;
  g_autofree char *digits = NULL;

  if (length < HEADER_BYTES || memcmp (data, MAGIC, strlen (MAGIC)) != 0)
    {
      hzb_archive_set_damaged (error, "it does not begin with " MAGIC);
      return FALSE;
    }
  digits = g_strndup (data + strlen (MAGIC), HEADER_BYTES - strlen (MAGIC));
  if (!g_ascii_string_to_unsigned (digits, 10, 1, 99, &format, NULL))
    {
      hzb_archive_set_damaged (error, "the format in its header is not a number from 01 to 99");
      return FALSE;
    }
  if (format > HZB_RECONCILIATION_FORMAT)
    {
      g_set_error (error, HZB_RECONCILIATION_ERROR, HZB_RECONCILIATION_ERROR_FUTURE_FORMAT,
                   "the archive has format %" G_GUINT64_FORMAT
                   ", which a later version wrote; this version reads formats up to %u",
                   format, HZB_RECONCILIATION_FORMAT);
      return FALSE;
    }
  return TRUE;
}

/* Returns: (transfer full) (nullable): the decompressed text; NULL, with an error, if the frame is damaged */
static char *
decompress (const char *frame, gsize length, GError **error)
{
  unsigned long long size = ZSTD_getFrameContentSize (frame, length);
  g_autofree char *text = NULL;

  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > MAX_UNPACKED_BYTES)
    {
      hzb_archive_set_damaged (error, "its zstd frame is invalid, or states no length or one above 16 MiB");
      return NULL;
    }
  text = g_malloc (size + 1);
  if (ZSTD_decompress (text, size, frame, length) != size)
    {
      hzb_archive_set_damaged (error, "its checksum is wrong, or it is truncated");
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
