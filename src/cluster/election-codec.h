/**
 * SECTION: election-codec
 * @short_description: encoding of the records that elections write. Private to this folder
 *
 * Only this module knows how the records of leadership, of the term and of the schema version are encoded.
 * record-keys.h names their keys.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbLeaderRecord: names the leader. The key-value store deletes the record when the leader's lease ends. */
typedef struct
{
  const char *node;        /**< (nullable): name of the controller */
  const char *incarnation; /**< (nullable): identifies the controller's process */
  guint64 lease;           /**< lease in the key-value store that the record is attached to */
  guint64 term;            /**< term of the leadership */
} HzbLeaderRecord;

/** hzb_leader_record_encode: Returns: (transfer full): the record as JSON */
cJSON *hzb_leader_record_encode (const HzbLeaderRecord *record);

/**
 * hzb_leader_record_decode: reads the record from JSON (nullable). The strings belong to `value`.
 *
 * Returns: the record; fields that the value lacks are NULL or 0
 */
HzbLeaderRecord hzb_leader_record_decode (const cJSON *value);

/**
 * hzb_leader_record_encode_placeholder: encodes a record of a leader that does not exist. From schema version 2 on the
 * placeholder occupies the key that processes of schema version 1 campaign for, so that none of them is elected: such a
 * process would misread newer records. `term` is the term of the leader that writes the placeholder.
 *
 * Returns: (transfer full)
 */
cJSON *hzb_leader_record_encode_placeholder (guint64 term);

/** hzb_leader_record_is_placeholder: Returns: TRUE for a record of hzb_leader_record_encode_placeholder() */
gboolean hzb_leader_record_is_placeholder (const HzbLeaderRecord *record);

/**
 * hzb_term_record_encode: encodes the highest term so far and the controller that was elected in that term.
 *
 * Returns: (transfer full)
 */
cJSON *hzb_term_record_encode (guint64 term, const char *node);

/** hzb_term_record_decode: Returns: the highest term so far; 0 if the value (nullable) states none */
guint64 hzb_term_record_decode (const cJSON *value);

/**
 * hzb_schema_version_record_encode: encodes the schema version that every controller can read.
 *
 * Returns: (transfer full)
 */
cJSON *hzb_schema_version_record_encode (guint schema_version);

/**
 * hzb_schema_version_record_decode:
 *
 * Returns: the schema version that every controller can read; 1 if the value (nullable) states none
 */
guint hzb_schema_version_record_decode (const cJSON *value);
