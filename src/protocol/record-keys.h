/**
 * SECTION: record-keys
 * @short_description: the keys of the service's records in the key-value store
 *
 * The names are part of the stored format: they never change.
 */
#pragma once

/** Prefix of the records that every controller follows in its replica. */
#define HZB_KEY_REPLICATED "hzb/a/"
/**
 * The record of leadership in schema version 1. From schema version 2 on it names a leader that does not exist, so
 * that a controller of version 1 which comes back never leads: it would misread what was recorded since.
 */
#define HZB_KEY_LEADER_SCHEMA_1 HZB_KEY_REPLICATED "leader"
/** The highest term of a leader so far. */
#define HZB_KEY_TERM HZB_KEY_REPLICATED "term"
/** The schema version that records may be written in. */
#define HZB_KEY_SCHEMA_VERSION HZB_KEY_REPLICATED "format"
/** The record of leadership from schema version 2 on. */
#define HZB_KEY_LEADER_SCHEMA_2 HZB_KEY_REPLICATED "leader2"
/** Settings that operators changed while the service ran. */
#define HZB_KEY_SETTINGS HZB_KEY_REPLICATED "settings"
/** Prefix of the records of accepted jobs, many jobs in each. "main" leaves room for tenants. */
#define HZB_KEY_ACCEPTED HZB_KEY_REPLICATED "accepted/main/"
/** Prefix of the records of how a job completed, one for each job. */
#define HZB_KEY_JOBS HZB_KEY_REPLICATED "jobs/main/"

/** Prefix of the records that only the leader reads and writes. */
#define HZB_KEY_OWNER "hzb/x/"
/** The record that each flush of the leader compares and puts. */
#define HZB_KEY_FLUSH HZB_KEY_OWNER "flush"
/** Prefix of the records of jobs' progress. */
#define HZB_KEY_PROGRESS HZB_KEY_OWNER "progress/main/"
/** Prefix of the records of machines. */
#define HZB_KEY_MACHINES HZB_KEY_OWNER "machines/"
/** Prefix of the records of reconciliation after a cold start. */
#define HZB_KEY_RECONCILIATION HZB_KEY_OWNER "reconciliation/"
/** The state of the reconciliation under way. */
#define HZB_KEY_RECONCILIATION_STATE HZB_KEY_RECONCILIATION "state"
/** Prefix of the records of verdicts on tasks. */
#define HZB_KEY_RECONCILIATION_VERDICTS HZB_KEY_RECONCILIATION "verdicts/"
/** Archives of earlier reconciliations. */
#define HZB_KEY_RECONCILIATION_KEPT HZB_KEY_RECONCILIATION "kept"

/** Prefix of the archive of completed jobs. Not replicated: a month of jobs would not fit a controller's memory. */
#define HZB_KEY_ARCHIVED "hzb/o/ended/main/"
