/**
 * SECTION: report
 * @short_description: reports on a reconciliation for operators, made from its archive
 */
#pragma once
#include "archive.h"

/** hzb_archive_report_text: Returns: (transfer full): a summary as plain text of several lines */
char *hzb_archive_report_text (const HzbArchive *archive);

/** hzb_archive_report_html: Returns: (transfer full): an HTML page with tables and plots, which refers to no other
 * file */
char *hzb_archive_report_html (const HzbArchive *archive);
