/**
 * SECTION: archive-codec
 * @short_description: the JSON of archives: the document in an archive, its parts in the key-value store, and the
 * responses that contain an archive
 *
 * No other module encodes or decodes this JSON. docs/operating-cold-start.md describes the document.
 */
#pragma once
#include "archive.h"

#include <cjson/cJSON.h>

/** HZB_ARCHIVE_MAX_PARTS: maximum number of values that an archive is split into. Decoders clamp larger numbers. */
#define HZB_ARCHIVE_MAX_PARTS 9999u

/** HzbArchiveIndexEntry: an archive in the key-value store. */
typedef struct
{
  guint64 id;  /**< of the archived reconciliation */
  guint parts; /**< how many values the archive is split into */
} HzbArchiveIndexEntry;

/** hzb_archive_set_damaged: sets %HZB_RECONCILIATION_ERROR_DAMAGED. `detail`: what is wrong with the archive; the error
 * message ends with this text */
void hzb_archive_set_damaged (GError **error, const char *detail);

/** hzb_archive_encode: Returns: (transfer full): the JSON document, before compression */
char *hzb_archive_encode (const HzbArchive *archive);

/** hzb_archive_decode: `text`: the JSON document. Returns: (transfer full) (nullable): the archive; %NULL, with an
 * error, if `text` is not an archive document */
HzbArchive *hzb_archive_decode (const char *text, GError **error);

/** hzb_archive_index_encode: `index`: (element-type HzbArchiveIndexEntry). Returns: (transfer full): the value of the
 * index in the key-value store, which is also the response that lists the archives */
cJSON *hzb_archive_index_encode (const GArray *index);

/** hzb_archive_index_decode: `value`: (nullable): %NULL for an index that does not exist yet. Returns: (transfer full)
 * (element-type HzbArchiveIndexEntry): the index; empty if `value` is %NULL or lists no archives */
GArray *hzb_archive_index_decode (const cJSON *value);

/** hzb_archive_part_encode: `text`: base 64 of this part; `n_parts`: how many parts the archive has. Returns: (transfer
 * full): the value of the part in the key-value store */
cJSON *hzb_archive_part_encode (const char *text, guint n_parts);

/** hzb_archive_part_decode: `n_parts`: (out): how many parts the archive has; 1 if `value` does not say. Returns:
 * (transfer none): base 64 of this part, valid as long as `value`; empty if `value` has none */
const char *hzb_archive_part_decode (const cJSON *value, guint *n_parts);

/** hzb_archive_response_encode: `id`: of the reconciliation; `text`: the packed archive in base 64. Returns: (transfer
 * full): the response to `GET reconciliations/ID` */
char *hzb_archive_response_encode (guint64 id, const char *text);

/**
 * hzb_archive_response_decode:
 * `text`: the response to `GET reconciliations/ID`
 * `length`: of `text`, in bytes
 * `packed_length`: (out): length of the packed archive, in bytes
 *
 * Returns: (transfer full) (nullable): the packed archive; %NULL if `text` is not such a response
 */
char *hzb_archive_response_decode (const char *text, gsize length, gsize *packed_length);
