/**
 * SECTION: reconciliation-codec
 * @short_description: the durable records of a reconciliation
 *
 * The one place that knows how they are written. All lie below HZB_KEY_OWNER; versions without reconciliation pass
 * over them. A record that can't be read is an error, never a guess.
 */
#pragma once
#include "verdicts.h"

#include <cjson/cJSON.h>

/** HZB_RECONCILIATION_FORMAT: the format of these records and of archives. A higher one is refused. */
#define HZB_RECONCILIATION_FORMAT 1u

/** HzbReconciliationError: why a record or an archive can't be read. */
typedef enum
{
  HZB_RECONCILIATION_ERROR_MALFORMED,     /**< it is not what this program or a later one writes */
  HZB_RECONCILIATION_ERROR_FUTURE_FORMAT, /**< a later version wrote it */
  HZB_RECONCILIATION_ERROR_DAMAGED        /**< an archive was changed or cut off */
} HzbReconciliationError;

/** HZB_RECONCILIATION_ERROR: the domain of these errors. */
#define HZB_RECONCILIATION_ERROR (hzb_reconciliation_error_quark ())

/** hzb_reconciliation_error_quark: Returns: the domain of these errors */
GQuark hzb_reconciliation_error_quark (void);

/** hzb_reconciliation_check_format: Returns: %FALSE, with an error, unless the value states a format that this
 * version reads */
gboolean hzb_reconciliation_check_format (const cJSON *value, GError **error);

/** hzb_reconciliation_value_term: Returns: the term of the leader that wrote a record or a page; 0 if it states none */
guint64 hzb_reconciliation_value_term (const cJSON *value);

/* ---- the record ---- */

/** HzbReconciliationRecord: a reconciliation that is under way. */
typedef struct
{
  guint64 id;   /**< the term in which it began */
  guint64 term; /**< the newest term in which a leader worked on it */
  guint starts; /**< how many cold starts it spans */
  double began; /**< seconds of the time of day */
} HzbReconciliationRecord;

/** hzb_reconciliation_record_encode: Returns: (transfer full): the value of the record */
cJSON *hzb_reconciliation_record_encode (const HzbReconciliationRecord *record);

/** hzb_reconciliation_record_decode: Returns: %FALSE, with an error, if the record can't be read */
gboolean hzb_reconciliation_record_decode (const cJSON *value, HzbReconciliationRecord *record, GError **error);

/* ---- pages of verdicts ---- */

/** HzbVerdictEntry: the verdict on one job, with what it rests on. */
typedef struct
{
  char *uid;             /**< of the job */
  HzbJobVerdict verdict; /**< its fate */
  HzbJobReason reason;   /**< the evidence that decided */
  guint found;           /**< tasks on machines that have answered */
  guint results;         /**< tasks with a result */
  guint restarted;       /**< tasks that start again */
} HzbVerdictEntry;

/** hzb_verdict_entries_new: Returns: (transfer full) (element-type HzbVerdictEntry): an empty list, which frees its
 * entries */
GArray *hzb_verdict_entries_new (void);

/** hzb_verdict_entry_bytes: Returns: how many bytes the verdict takes on a page, at most */
gsize hzb_verdict_entry_bytes (const HzbVerdictEntry *entry);

/**
 * hzb_verdict_page_encode:
 * `id`: of the reconciliation
 * `term`: of the leader
 * `entries`: (element-type HzbVerdictEntry): in the order in which they are written
 *
 * Returns: (transfer full): the value of a page
 */
cJSON *hzb_verdict_page_encode (guint64 id, guint64 term, const GPtrArray *entries);

/**
 * hzb_verdict_page_decode:
 * `id`: (out): the reconciliation that it belongs to
 *
 * Returns: (transfer full) (nullable) (element-type HzbVerdictEntry): all verdicts of the page; %NULL, with an error,
 * if any of it can't be read
 */
GArray *hzb_verdict_page_decode (const cJSON *page, guint64 *id, GError **error);

/* ---- the roster in the flush record ---- */

/** HZB_ROSTER_NAME_CHARS: how much of a process's incarnation the roster keeps: enough to tell processes apart. */
#define HZB_ROSTER_NAME_CHARS 10

/**
 * hzb_roster_encode:
 * `processes`: (element-type utf8): names of HZB_ROSTER_NAME_CHARS characters
 * `flush_record`: gets the roster
 */
void hzb_roster_encode (const GPtrArray *processes, cJSON *flush_record);

/**
 * hzb_roster_decode:
 * `term`: (out): of the leader that wrote the flush record
 *
 * Returns: (transfer full) (nullable) (element-type utf8): the recorded roster; %NULL if the flush record has none
 */
GPtrArray *hzb_roster_decode (const cJSON *flush_record, guint64 *term);

/* ---- tasks that operators want kept ---- */

/** hzb_kept_encode: `kept`: a set of "JOB/NUMBER". Returns: (transfer full): the value of their record */
cJSON *hzb_kept_encode (GHashTable *kept);

/** hzb_kept_decode: `kept`: gets the tasks. Returns: %FALSE, with an error, if the record can't be read */
gboolean hzb_kept_decode (const cJSON *value, GHashTable *kept, GError **error);
