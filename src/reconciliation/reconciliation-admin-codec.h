/**
 * SECTION: reconciliation-admin-codec
 * @short_description: the administration API's JSON about reconciliations
 *
 * The one place that knows the names in these requests and responses. Archives have their own, see archive-codec.h.
 */
#pragma once
#include "reconciliation.h"

#include <cjson/cJSON.h>

/** hzb_reconciliation_state_encode: Returns: (transfer full): the response to `GET reconciliation` */
char *hzb_reconciliation_state_encode (HzbReconciliation *reconciliation);

/** hzb_reconciliation_metrics_encode: adds what `GET metrics` says of reconciliation. */
void hzb_reconciliation_metrics_encode (HzbReconciliation *reconciliation, cJSON *metrics);

/**
 * hzb_reconciliation_decision_decode:
 * `body`: of `POST reconciliation/quarantine/JOB/NUMBER`
 * `decision`: (out): to keep or to stop the task
 *
 * Returns: whether the body is a decision
 */
gboolean hzb_reconciliation_decision_decode (const char *body, gsize length, HzbOperatorDecision *decision);

/** hzb_reconciliation_decided_encode: Returns: (transfer full): the response to a decision that holds */
char *hzb_reconciliation_decided_encode (void);
