/**
 * SECTION: reconciliation-admin-codec
 * @short_description: the administration API's JSON about reconciliations
 *
 * All of them are encoded and decoded here, except those about archives, which are in archive-codec.h.
 */
#pragma once
#include "reconciliation.h"

#include <cjson/cJSON.h>

/** hzb_reconciliation_state_encode: Returns: (transfer full): the response to `GET reconciliation` */
char *hzb_reconciliation_state_encode (HzbReconciliation *reconciliation);

/** hzb_reconciliation_metrics_encode: adds the member "reconciliation" to `metrics`, the response to `GET metrics`. */
void hzb_reconciliation_metrics_encode (HzbReconciliation *reconciliation, cJSON *metrics);

/**
 * hzb_reconciliation_decision_decode:
 * `body`: body of `POST reconciliation/quarantine/JOB/NUMBER`
 * `length`: of `body`, in bytes
 * `decision`: (out): to keep or to stop the task; unchanged if the body is not a decision
 *
 * Returns: whether the body is a decision
 */
gboolean hzb_reconciliation_decision_decode (const char *body, gsize length, HzbOperatorDecision *decision);

/** hzb_reconciliation_decision_response_encode: Returns: (transfer full): the response to a decision that is in
 * effect */
char *hzb_reconciliation_decision_response_encode (void);
