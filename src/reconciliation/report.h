/**
 * SECTION: report
 * @short_description: an archive as an operator reads it: as text, or as a page with plots
 */
#pragma once
#include "archive.h"

/** hzb_archive_report_text: Returns: (transfer full): a summary of some lines */
char *hzb_archive_report_text (const HzbArchive *archive);

/** hzb_archive_report_html: Returns: (transfer full): a page that refers to no other file */
char *hzb_archive_report_html (const HzbArchive *archive);
