/**
 * SECTION: archive-packing
 * @short_description: the compressed form of an archive, and files that contain an archive
 *
 * A packed archive is a header of 8 bytes ("HZBREC" and the format as two decimal digits), followed by a zstd frame
 * with a checksum. The frame contains a JSON document; docs/operating-cold-start.md describes it. No decision depends
 * on an archive: if an archive is damaged, or if a later version wrote it, only showing it (--show-reconciliation)
 * fails.
 */
#pragma once
#include "archive.h"

/** hzb_archive_pack: Returns: (transfer full): the compressed form */
GBytes *hzb_archive_pack (const HzbArchive *archive);

/**
 * hzb_archive_unpack:
 * `bytes`: (transfer none): the compressed form
 *
 * Returns: (transfer full) (nullable): the archive; %NULL, with %HZB_RECONCILIATION_ERROR_DAMAGED or
 * %HZB_RECONCILIATION_ERROR_FUTURE_FORMAT, if it can't be read
 */
HzbArchive *hzb_archive_unpack (GBytes *bytes, GError **error);

/**
 * hzb_archive_read_file:
 * `path`: a file that contains a packed archive, or a response of the administration API with a packed archive
 *
 * Returns: (transfer full) (nullable): the archive; %NULL, with an error of the file system or an error of
 * hzb_archive_unpack(), if it can't be read
 */
HzbArchive *hzb_archive_read_file (const char *path, GError **error);
