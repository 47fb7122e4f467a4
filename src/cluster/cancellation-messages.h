/**
 * SECTION: cancellation-messages
 * @short_description: encoding of cancellations in the messages between controllers
 *
 * Only this module knows how a list of cancellations is encoded in a message: in the reply to a heartbeat, and in the
 * request for acknowledgements that a leaseholder sends with its poll of the leader. It also decodes the fields of the
 * leader's flush record that concern cancellations.
 */
#pragma once
#include "cancellation-log.h"

#include <cjson/cJSON.h>

/** hzb_cancellations_encode: Returns: (transfer full): a JSON object with one member for each HzbCancellation */
cJSON *hzb_cancellations_encode (const GArray *cancellations);

/**
 * hzb_cancellations_decode: appends the cancellations of a JSON object (nullable) to an array of HzbCancellation. A
 * malformed member is left out.
 *
 * Returns: TRUE if every member was well-formed
 */
gboolean hzb_cancellations_decode (const cJSON *list, GArray *cancellations);

/**
 * hzb_cancellation_request_encode: adds to a leaseholder's poll the cancellations (element-type HzbCancellation) that
 * the leader is asked to acknowledge. An empty array adds nothing.
 */
void hzb_cancellation_request_encode (const GArray *cancellations, cJSON *poll);

/**
 * hzb_cancellation_request_decode: reads the request for acknowledgements from a leaseholder's poll.
 *
 * Returns: (transfer full) (nullable) (element-type HzbCancellation): the cancellations that the leader is asked to
 * acknowledge; NULL if the poll has no such request
 */
GArray *hzb_cancellation_request_decode (const cJSON *poll);

/**
 * hzb_cancellation_response_encode: adds to the leader's response to a poll the uids (NULL-terminated) of the jobs
 * whose cancellation the leader acknowledges.
 */
void hzb_cancellation_response_encode (char *const *acknowledged_uids, cJSON *response);

/**
 * hzb_cancellation_response_decode: reads the uids of the jobs whose cancellation the leader's response acknowledges.
 *
 * Returns: (transfer full): a string array; empty if the response acknowledges none. Free with g_strfreev().
 */
char **hzb_cancellation_response_decode (const cJSON *response);

/** HzbFlushedCancellations: the fields of a leader's flush record that concern cancellations. */
typedef struct
{
  guint64 term; /**< term of the leader; 0: a process of schema version 1 wrote the record, without a term */
  guint64 acknowledged_revision; /**< the leader acknowledges all cancellations up to this revision */
} HzbFlushedCancellations;

/** hzb_flushed_cancellations_decode: reads the flush record (nullable). Fields that the record lacks are 0. */
HzbFlushedCancellations hzb_flushed_cancellations_decode (const cJSON *flush_record);
