/**
 * SECTION: cancellation-messages
 * @short_description: encoding of what controllers tell each other about cancellations
 *
 * The one place that knows how a list of cancellations is written in a message: in the reply to a heartbeat, and in the
 * request for acknowledgements that a leaseholder sends with its poll of the leader. Also decodes the part of the
 * leader's flush record that concerns cancellations.
 */
#pragma once
#include "cancellation-log.h"

#include <cjson/cJSON.h>

/** hzb_cancellations_encode: Returns: (transfer full): a JSON object with a member for each cancellation */
cJSON *hzb_cancellations_encode (const GArray *cancellations);

/**
 * hzb_cancellations_decode: appends the cancellations of a JSON object (nullable) to an array of HzbCancellation. A
 * malformed member is left out.
 *
 * Returns: TRUE if every member was well-formed
 */
gboolean hzb_cancellations_decode (const cJSON *list, GArray *into);

/**
 * hzb_cancellation_request_encode: adds to a leaseholder's poll the cancellations (element-type HzbCancellation) that
 * the leader is asked to acknowledge. An empty array adds nothing.
 */
void hzb_cancellation_request_encode (const GArray *cancellations, cJSON *poll);

/**
 * hzb_cancellation_request_decode: the cancellations that a leaseholder's poll asks the leader to acknowledge.
 *
 * Returns: (transfer full) (nullable) (element-type HzbCancellation): NULL if the poll has no such request
 */
GArray *hzb_cancellation_request_decode (const cJSON *poll);

/**
 * hzb_cancellation_response_encode: adds to the leader's answer the uids of the jobs whose cancellation it
 * acknowledges.
 */
void hzb_cancellation_response_encode (char *const *acknowledged_uids, cJSON *answer);

/**
 * hzb_cancellation_response_decode: the uids of the jobs whose cancellation the leader's answer acknowledges.
 *
 * Returns: (transfer full): a string array; empty if the answer acknowledges none. Free with g_strfreev().
 */
char **hzb_cancellation_response_decode (const cJSON *answer);

/** HzbFlushedCancellations: what a leader has written in its flush record about cancellations. */
typedef struct
{
  guint64 term;                  /**< of the leader; 0: written by a process of schema version 1, which states none */
  guint64 acknowledged_revision; /**< the leader acknowledges all cancellations up to this revision */
} HzbFlushedCancellations;

/** hzb_flushed_cancellations_decode: reads the flush record. What the record lacks is 0. */
HzbFlushedCancellations hzb_flushed_cancellations_decode (const cJSON *flush_record);
