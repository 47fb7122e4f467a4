/**
 * SECTION: reconciliation-admin
 * @short_description: the operators' requests about reconciliations
 *
 * `GET reconciliation`, `POST reconciliation/quarantine/JOB/NUMBER`, `GET reconciliations` and `GET reconciliations/ID`
 * of the administration API; docs/operating-cold-start.md describes them.
 */
#pragma once
#include "http-request.h"
#include "reconciliation.h"

#include <cjson/cJSON.h>

/** hzb_reconciliation_pack_metrics: adds what `GET metrics` says of reconciliation, while it is switched on. */
void hzb_reconciliation_pack_metrics (HzbReconciliation *reconciliation, cJSON *metrics);

/**
 * hzb_reconciliation_admin_request:
 * `path`: below the administration API's prefix
 *
 * Returns: %FALSE if the path is none of these; else the request is answered, now or later
 */
gboolean
hzb_reconciliation_admin_request (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, const char *path);
