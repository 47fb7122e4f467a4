/**
 * SECTION: reconciliation-admin
 * @short_description: the operators' requests about reconciliations
 */
#pragma once
#include "http-request.h"

#include <cjson/cJSON.h>

typedef struct _HzbController HzbController;
typedef struct _HzbReconciliation HzbReconciliation;

/** hzb_reconciliation_pack_metrics: adds what `GET metrics` says of it, while it is switched on. */
void hzb_reconciliation_pack_metrics (HzbReconciliation *reconciliation, cJSON *metrics);

/**
 * hzb_reconciliation_admin_request:
 * @path: below the administration API's prefix
 *
 * Returns: FALSE if the path is none of these; else the exchange is answered now or later
 */
gboolean hzb_reconciliation_admin_request (HzbController *controller, HzbHttpRequest *http_request, const char *path);
