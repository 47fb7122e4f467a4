/**
 * SECTION: codec
 * @short_description: the durable records of a reconciliation
 *
 * The one place that knows how they are written. All lie under the owner's prefix, where versions that know none of them
 * pass over them. What can't be read is an error, never a guess.
 */
#pragma once
#include "verdicts.h"

#include <cjson/cJSON.h>

/** HZB_RECONCILIATION_FORMAT: of these records and of archives. A higher one is refused. */
#define HZB_RECONCILIATION_FORMAT 1u

typedef enum
{
  HZB_RECONCILIATION_ERROR_MALFORMED,
  HZB_RECONCILIATION_ERROR_FUTURE_FORMAT,
  HZB_RECONCILIATION_ERROR_DAMAGED
} HzbReconciliationError;

#define HZB_RECONCILIATION_ERROR (hzb_reconciliation_error_quark ())
GQuark hzb_reconciliation_error_quark (void);

/** HzbReconciliationRecord: a reconciliation that is under way. */
typedef struct
{
  guint64 id;   /* the term in which it began */
  guint64 term; /* the newest one that has worked on it */
  guint starts; /* how many cold starts it spans */
  double began; /* seconds of the time of day */
} HzbReconciliationRecord;

/** hzb_reconciliation_record_encode: Returns: (transfer full) */
cJSON *hzb_reconciliation_record_encode (const HzbReconciliationRecord *record);
gboolean hzb_reconciliation_record_decode (const cJSON *value, HzbReconciliationRecord *record, GError **error);

/** HzbVerdictEntry: the verdict on one job, with what it rests on. */
typedef struct
{
  char *uid;
  HzbJobVerdict verdict;
  HzbJobReason reason;
  guint found, results, restarted; /* tasks */
} HzbVerdictEntry;

/** hzb_verdict_entries_new: Returns: (transfer full) (element-type HzbVerdictEntry) */
GArray *hzb_verdict_entries_new (void);

/** hzb_verdict_entry_bytes: about what it takes on a page. */
gsize hzb_verdict_entry_bytes (const HzbVerdictEntry *entry);

/** hzb_verdict_page_new: a page without verdicts. Returns: (transfer full) */
cJSON *hzb_verdict_page_new (guint64 id, guint64 term);
void hzb_verdict_page_add (cJSON *page, const HzbVerdictEntry *entry);

/**
 * hzb_verdict_page_decode:
 * @id: (out): the reconciliation that it belongs to
 *
 * Returns: (transfer full) (nullable): all verdicts of the page, or none if any of it makes no sense
 */
GArray *hzb_verdict_page_decode (const cJSON *page, guint64 *id, GError **error);

/** hzb_reconciliation_value_term: Returns: the term of the leader that wrote a record or a page; 0 if it states none */
guint64 hzb_reconciliation_value_term (const cJSON *value);

/** HZB_ROSTER_NAME_CHARS: how much of a process's incarnation the roster keeps: enough to tell processes apart. */
#define HZB_ROSTER_NAME_CHARS 10

/**
 * hzb_roster_encode:
 * @processes: (element-type utf8): names of HZB_ROSTER_NAME_CHARS characters
 * @flush_record: gets the roster
 */
void hzb_roster_encode (const GPtrArray *processes, cJSON *flush_record);

/**
 * hzb_roster_decode:
 * @term: (out): of the leader that wrote the flush record
 *
 * Returns: (transfer full) (nullable) (element-type utf8): the recorded roster; %NULL if the flush record has none
 */
GPtrArray *hzb_roster_decode (const cJSON *flush_record, guint64 *term);

/** hzb_kept_encode: the tasks that an operator wants kept, as "JOB/NUMBER". Returns: (transfer full) */
cJSON *hzb_kept_encode (GHashTable *kept);
gboolean hzb_kept_decode (const cJSON *value, GHashTable *kept, GError **error);

/** hzb_reconciliation_check_format: FALSE, with an error, unless the value states a format that this version reads. */
gboolean hzb_reconciliation_check_format (const cJSON *value, GError **error);
