/**
 * SECTION: archive-packing
 * @short_description: the compressed form of an archive, and files that hold one
 *
 * A packed archive is a header of 8 bytes ("HZBREC" and the format as two decimal digits) and a zstd frame with a
 * checksum, which holds a JSON document; docs/operating-cold-start.md describes it. No decision rests on an archive: a
 * damaged one, or one of a later version, is an error for whoever wants to see it, and nothing else.
 */
#pragma once
#include "archive.h"

/** hzb_archive_pack: Returns: (transfer full): the compressed form */
GBytes *hzb_archive_pack (const HzbArchive *archive);

/**
 * hzb_archive_unpack: Returns: (transfer full) (nullable): %NULL, with HZB_RECONCILIATION_ERROR_DAMAGED or
 * HZB_RECONCILIATION_ERROR_FUTURE_FORMAT, if the archive can't be read
 */
HzbArchive *hzb_archive_unpack (GBytes *bytes, GError **error);

/**
 * hzb_archive_read_file:
 * `path`: of a packed archive, or of a response of the administration API that holds one
 *
 * Returns: (transfer full) (nullable): %NULL, with an error of the file system or as of hzb_archive_unpack()
 */
HzbArchive *hzb_archive_read_file (const char *path, GError **error);
