/**
 * SECTION: record-keys
 * @short_description: where the records of the service lie in the key-value store
 *
 * The names are part of the stored format: they never change.
 */
#pragma once

/* Records that every controller follows in its replica. */
#define HZB_KEY_REPLICATED "hzb/a/"
#define HZB_KEY_LEADER_SCHEMA_1 HZB_KEY_REPLICATED "leader"
#define HZB_KEY_TERM HZB_KEY_REPLICATED "term"
#define HZB_KEY_SCHEMA_VERSION HZB_KEY_REPLICATED "format"
/* From schema version 2 on leadership is recorded here. The first record keeps a leader that does not exist, so that a
 * process of version 1 which comes back never leads: it would misread what has been recorded since. */
#define HZB_KEY_LEADER_SCHEMA_2 HZB_KEY_REPLICATED "leader2"
#define HZB_KEY_SETTINGS HZB_KEY_REPLICATED "settings"
/* "main" leaves room for tenants. Many jobs are accepted in one record; how a job completed is a record of its own. */
#define HZB_KEY_ACCEPTED HZB_KEY_REPLICATED "accepted/main/"
#define HZB_KEY_JOBS HZB_KEY_REPLICATED "jobs/main/"

/* Records that only the leader reads and writes. */
#define HZB_KEY_OWNER "hzb/x/"
#define HZB_KEY_FLUSH HZB_KEY_OWNER "flush"
#define HZB_KEY_PROGRESS HZB_KEY_OWNER "progress/main/"
#define HZB_KEY_MACHINES HZB_KEY_OWNER "machines/"
#define HZB_KEY_RECONCILIATION HZB_KEY_OWNER "reconciliation/"
#define HZB_KEY_RECONCILIATION_STATE HZB_KEY_RECONCILIATION "state"
#define HZB_KEY_RECONCILIATION_VERDICTS HZB_KEY_RECONCILIATION "verdicts/"
#define HZB_KEY_RECONCILIATION_KEPT HZB_KEY_RECONCILIATION "kept"

/* Archive of jobs that completed long ago: not replicated, since a month of them would not fit a node's memory. */
#define HZB_KEY_ARCHIVED "hzb/o/ended/main/"
