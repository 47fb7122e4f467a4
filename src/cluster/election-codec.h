/**
 * SECTION: election-codec
 * @short_description: encoding of the records that elections write. Private to this folder
 *
 * The one place that knows how the records of leadership, of the term and of the schema version are written.
 * record-keys.h names their keys.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbLeaderRecord: who leads. Attached to the leader's lease, so the record disappears with the lease. */
typedef struct
{
  const char *node;        /**< (nullable): name of the controller */
  const char *incarnation; /**< (nullable): of the controller's process */
  guint64 lease;           /**< lease of the key-value store that holds the leadership */
  guint64 term;            /**< of the leadership */
} HzbLeaderRecord;

/** hzb_leader_record_encode: Returns: (transfer full) */
cJSON *hzb_leader_record_encode (const HzbLeaderRecord *record);

/** hzb_leader_record_decode: the strings stay the value's (nullable). What the value lacks is NULL or 0. */
HzbLeaderRecord hzb_leader_record_decode (const cJSON *value);

/**
 * hzb_leader_record_encode_placeholder: a leader that does not exist. From schema version 2 on it occupies the key that
 * processes of version 1 campaign for, so that none of them is elected: it would misread what has been recorded since.
 *
 * Returns: (transfer full)
 */
cJSON *hzb_leader_record_encode_placeholder (guint64 term);

/** hzb_leader_record_is_placeholder: see hzb_leader_record_encode_placeholder(). */
gboolean hzb_leader_record_is_placeholder (const HzbLeaderRecord *record);

/**
 * hzb_term_record_encode: the highest term so far, and the controller that was elected for it.
 *
 * Returns: (transfer full)
 */
cJSON *hzb_term_record_encode (guint64 term, const char *node);

/** hzb_term_record_decode: Returns: the highest term so far; 0 if the value (nullable) states none */
guint64 hzb_term_record_decode (const cJSON *value);

/**
 * hzb_schema_version_record_encode: every controller reads this version of records.
 *
 * Returns: (transfer full)
 */
cJSON *hzb_schema_version_record_encode (guint schema_version);

/**
 * hzb_schema_version_record_decode:
 *
 * Returns: the version of records that every controller reads; 1 if the value states none
 */
guint hzb_schema_version_record_decode (const cJSON *value);
