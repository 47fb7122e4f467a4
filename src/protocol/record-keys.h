/**
 * SECTION: record-keys
 * @short_description: the keys of the service's records in the key-value store
 *
 * The keys are part of the stored format and never change.
 */
#pragma once

/** Prefix of the replicated records: every controller keeps a copy of them in memory. */
#define HZB_KEY_REPLICATED "hzb/a/"
/**
 * The record of leadership in schema version 1. From schema version 2 on, this record names a leader that does not
 * exist, so that a returning controller of version 1 never becomes leader: it would misread the newer records.
 */
#define HZB_KEY_LEADER_SCHEMA_1 HZB_KEY_REPLICATED "leader"
/** The record of the highest term that any leader has had. */
#define HZB_KEY_TERM HZB_KEY_REPLICATED "term"
/** The record of the schema version that every controller reads; controllers write records in no newer version. */
#define HZB_KEY_SCHEMA_VERSION HZB_KEY_REPLICATED "format"
/** The record of leadership from schema version 2 on. */
#define HZB_KEY_LEADER_SCHEMA_2 HZB_KEY_REPLICATED "leader2"
/** The record of the settings that operators changed while the service ran. */
#define HZB_KEY_SETTINGS HZB_KEY_REPLICATED "settings"
/**
 * Prefix of the records of accepted jobs; each record holds many jobs. In this and other keys, the segment "main" names
 * the tenant. There is only one tenant; the segment allows adding others.
 */
#define HZB_KEY_ACCEPTED HZB_KEY_REPLICATED "accepted/main/"
/** Prefix of the records of completed jobs, one record for each job. */
#define HZB_KEY_JOBS HZB_KEY_REPLICATED "jobs/main/"

/** Prefix of the records that only the leader writes. They are not replicated to the other controllers. */
#define HZB_KEY_LEADER_RECORDS "hzb/x/"
/**
 * The flush record, see HzbFlushRecord (records-codec.h). Each flush, the transaction in which the leader writes its
 * records, compares the version of the flush record and puts a new one. Controllers that can't reach the leader read
 * the leader's acknowledgements of cancellations from it.
 */
#define HZB_KEY_FLUSH HZB_KEY_LEADER_RECORDS "flush"
/** Prefix of the records of the progress of jobs. */
#define HZB_KEY_PROGRESS HZB_KEY_LEADER_RECORDS "progress/main/"
/** Prefix of the records of machines. */
#define HZB_KEY_MACHINES HZB_KEY_LEADER_RECORDS "machines/"
/** Prefix of the records of reconciliation after a cold start. */
#define HZB_KEY_RECONCILIATION HZB_KEY_LEADER_RECORDS "reconciliation/"
/** The record of the state of the current reconciliation. */
#define HZB_KEY_RECONCILIATION_STATE HZB_KEY_RECONCILIATION "state"
/** Prefix of the pages of the reconciliation's verdicts on jobs. */
#define HZB_KEY_RECONCILIATION_VERDICTS HZB_KEY_RECONCILIATION "verdicts/"
/** The record of the tasks that no other record names and that operators decided to keep. */
#define HZB_KEY_RECONCILIATION_KEPT_TASKS HZB_KEY_RECONCILIATION "kept"

/**
 * Prefix of the archive of completed jobs. The archive is not replicated, because the jobs of a month do not fit into a
 * controller's memory.
 */
#define HZB_KEY_ARCHIVED "hzb/o/ended/main/"
