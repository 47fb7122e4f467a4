/**
 * SECTION: reconciliation-codec
 * @short_description: the durable records of a reconciliation
 *
 * This codec is the only place that knows how these records are written. Their keys begin with
 * HZB_KEY_LEADER_RECORDS, so a new leader loads them with its other records; a leader whose version has no
 * reconciliation ignores them. A record with an invalid format, id or verdict can't be read: decoding fails instead of
 * using a default. Names of a wrong length on a roster, and list entries that are not strings, are skipped.
 */
#pragma once
#include "verdicts.h"

#include <cjson/cJSON.h>

/** HZB_RECONCILIATION_FORMAT: format of these records and of archives. A record of a higher format is an error. */
#define HZB_RECONCILIATION_FORMAT 1u

/** HzbReconciliationError: why a record or an archive can't be read. */
typedef enum
{
  HZB_RECONCILIATION_ERROR_MALFORMED,     /**< its format is invalid, or a required field is missing or invalid */
  HZB_RECONCILIATION_ERROR_FUTURE_FORMAT, /**< a later version wrote the record or the archive */
  HZB_RECONCILIATION_ERROR_DAMAGED        /**< the archive was changed or truncated */
} HzbReconciliationError;

/** HZB_RECONCILIATION_ERROR: domain of these errors. */
#define HZB_RECONCILIATION_ERROR (hzb_reconciliation_error_quark ())

/** hzb_reconciliation_error_quark: Returns: the domain #HZB_RECONCILIATION_ERROR */
GQuark hzb_reconciliation_error_quark (void);

/** hzb_reconciliation_check_format: Returns: %TRUE if the value states a format that this version reads; else %FALSE,
 * with an error */
gboolean hzb_reconciliation_check_format (const cJSON *value, GError **error);

/** hzb_reconciliation_value_term: `value`: a reconciliation record or a page of verdicts. Returns: the term of the
 * leader that wrote it; 0 if it states no term */
guint64 hzb_reconciliation_value_term (const cJSON *value);

/* ---- the reconciliation record ---- */

/** HzbReconciliationRecord: a reconciliation that is not complete. */
typedef struct
{
  guint64 id;        /**< the term in which the reconciliation began */
  guint64 term;      /**< the newest term in which a leader worked on it */
  guint cold_starts; /**< number of cold starts that the reconciliation spans */
  double began;      /**< when the first of them began, in seconds of Unix time */
} HzbReconciliationRecord;

/** hzb_reconciliation_record_encode: Returns: (transfer full): the value of the record */
cJSON *hzb_reconciliation_record_encode (const HzbReconciliationRecord *record);

/** hzb_reconciliation_record_decode: `record`: (out). Returns: %FALSE, with an error, if the record can't be read */
gboolean hzb_reconciliation_record_decode (const cJSON *value, HzbReconciliationRecord *record, GError **error);

/* ---- pages of verdicts ---- */

/** HzbVerdictEntry: the verdict on a job, with the evidence for it. */
typedef struct
{
  char *uid;             /**< of the job */
  HzbJobVerdict verdict; /**< what happens to the job */
  HzbJobReason reason;   /**< the evidence that decided */
  guint found;           /**< number of tasks found on machines that have answered, as HzbJobEvidence.placed */
  guint results;         /**< number of tasks with a result */
  guint restarted;       /**< number of tasks that start again */
} HzbVerdictEntry;

/** hzb_verdict_entries_new: Returns: (transfer full) (element-type HzbVerdictEntry): an empty list, which frees the
 * `uid` of its entries */
GArray *hzb_verdict_entries_new (void);

/** hzb_verdict_entry_bytes: Returns: an upper bound of the bytes that the verdict takes on a page */
gsize hzb_verdict_entry_bytes (const HzbVerdictEntry *entry);

/**
 * hzb_verdict_page_encode:
 * `id`: of the reconciliation
 * `term`: of the leader that writes the page
 * `entries`: (element-type HzbVerdictEntry): written in this order
 *
 * Returns: (transfer full): the value of the page
 */
cJSON *hzb_verdict_page_encode (guint64 id, guint64 term, const GPtrArray *entries);

/**
 * hzb_verdict_page_decode:
 * `page`: the value of the page
 * `id`: (out): of the reconciliation to which the page belongs
 *
 * Returns: (transfer full) (nullable) (element-type HzbVerdictEntry): all verdicts of the page; %NULL, with an error,
 * if any of them can't be read
 */
GArray *hzb_verdict_page_decode (const cJSON *page, guint64 *id, GError **error);

/* ---- the roster in the flush record ---- */

/** HZB_ROSTER_NAME_CHARS: length of the prefix of a process's incarnation by which the roster names the process. The
 * prefix is long enough to tell processes apart. */
#define HZB_ROSTER_NAME_CHARS 10

/**
 * hzb_roster_encode: adds a roster to a flush record.
 * `processes`: (element-type utf8): names of HZB_ROSTER_NAME_CHARS characters
 * `flush_record`: the value to which the roster is added
 */
void hzb_roster_encode (const GPtrArray *processes, cJSON *flush_record);

/**
 * hzb_roster_decode:
 * `flush_record`: the value of the flush record
 * `term`: (out): of the leader that wrote the flush record
 *
 * Returns: (transfer full) (nullable) (element-type utf8): the recorded roster; %NULL if the flush record has no roster
 */
GPtrArray *hzb_roster_decode (const cJSON *flush_record, guint64 *term);

/* ---- tasks that operators keep ---- */

/** hzb_kept_tasks_encode: `kept`: (element-type utf8): a set of "JOB/NUMBER". Returns: (transfer full): the value of
 * the record of kept tasks */
cJSON *hzb_kept_tasks_encode (GHashTable *kept);

/** hzb_kept_tasks_decode: `kept`: (element-type utf8): a set of "JOB/NUMBER", to which the tasks are added. Returns:
 * %FALSE, with an error, if the record can't be read */
gboolean hzb_kept_tasks_decode (const cJSON *value, GHashTable *kept, GError **error);
