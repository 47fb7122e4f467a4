/**
 * SECTION: reconciliation-admin
 * @short_description: the administration API's requests about reconciliations
 *
 * Handles `GET reconciliation`, `POST reconciliation/quarantine/JOB/NUMBER`, `GET reconciliations` and `GET
 * reconciliations/ID`; docs/operating-cold-start.md describes them.
 */
#pragma once
#include "http-request.h"
#include "reconciliation.h"

#include <cjson/cJSON.h>

/** hzb_reconciliation_add_metrics: adds the reconciliation's part of the response to `GET metrics`, if reconciliation
 * is enabled. */
void hzb_reconciliation_add_metrics (HzbReconciliation *reconciliation, cJSON *metrics);

/**
 * hzb_reconciliation_admin_request: handles a request if its path is about reconciliations.
 * `path`: the request's path without the administration API's prefix
 *
 * Returns: %FALSE, without a response, if the path is not about reconciliations; else %TRUE: the request gets its
 * response before or after this function returns
 */
gboolean
hzb_reconciliation_admin_request (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, const char *path);
