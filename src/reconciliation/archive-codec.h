/**
 * SECTION: archive-codec
 * @short_description: the JSON of archives: the document in an archive, its parts in the key-value store, and responses
 * with them
 *
 * The one place that knows these names; docs/operating-cold-start.md describes the document.
 */
#pragma once
#include "archive.h"

#include <cjson/cJSON.h>

/** HZB_ARCHIVE_MOST_PARTS: values over which an archive may be spread; more are not believed. */
#define HZB_ARCHIVE_MOST_PARTS 9999u

/** HzbArchiveIndexEntry: an archive that the key-value store keeps. */
typedef struct
{
  guint64 id;  /**< of the reconciliation */
  guint parts; /**< values that hold the archive */
} HzbArchiveIndexEntry;

/** hzb_archive_set_damaged: sets HZB_RECONCILIATION_ERROR_DAMAGED. */
void hzb_archive_set_damaged (GError **error, const char *why);

/** hzb_archive_encode: Returns: (transfer full): the document in the archive */
char *hzb_archive_encode (const HzbArchive *archive);

/** hzb_archive_decode: Returns: (transfer full) (nullable): %NULL, with an error, if the text is not such a document */
HzbArchive *hzb_archive_decode (const char *text, GError **error);

/** hzb_archive_index_encode: `index`: (element-type HzbArchiveIndexEntry). Returns: (transfer full) */
cJSON *hzb_archive_index_encode (const GArray *index);

/** hzb_archive_index_decode: `value`: (nullable). Returns: (transfer full) (element-type HzbArchiveIndexEntry) */
GArray *hzb_archive_index_decode (const cJSON *value);

/** hzb_archive_part_encode: `text`: of this part; `of`: how many parts there are. Returns: (transfer full) */
cJSON *hzb_archive_part_encode (const char *text, guint of);

/** hzb_archive_part_decode: `of`: (out): how many parts there are. Returns: (transfer none): the text of this part */
const char *hzb_archive_part_decode (const cJSON *value, guint *of);

/** hzb_archive_response_encode: `text`: the packed archive in base 64. Returns: (transfer full): the response with it */
char *hzb_archive_response_encode (guint64 id, const char *text);

/**
 * hzb_archive_response_decode:
 * `packed_length`: (out): in bytes
 *
 * Returns: (transfer full) (nullable): the packed archive; %NULL if `text` is not such a response
 */
char *hzb_archive_response_decode (const char *text, gsize length, gsize *packed_length);
