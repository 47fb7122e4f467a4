/**
 * SECTION: reconciliation-admin
 * @short_description: the operators' requests about reconciliations
 */
#pragma once
#include "http.h"

typedef struct _HzbController HzbController;

/**
 * hzb_reconciliation_admin_request:
 * @path: below the administration API's prefix
 *
 * Returns: FALSE if the path is none of these; else the exchange is answered now or later
 */
gboolean hzb_reconciliation_admin_request (HzbController *controller, HzbExchange *exchange, const char *path);
