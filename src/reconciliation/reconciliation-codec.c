#include "reconciliation-codec.h"

#include "json.h"
#include "user-protocol.h"

/* Upper bound of the bytes that the JSON of a verdict takes on a page, without the job's uid. */
#define ENTRY_OVERHEAD_BYTES 48u

/* Positions in the array that encodes a verdict on a page. An array is shorter than an object, so a page holds more
 * verdicts. */
enum
{
  ROW_VERDICT,
  ROW_REASON,
  ROW_FOUND,
  ROW_RESULTS,
  ROW_RESTARTED,
  ROW_LENGTH
};

GQuark
hzb_reconciliation_error_quark (void)
{
  return g_quark_from_static_string ("hzb-reconciliation-error");
}

/* Returns: FALSE, with an error */
static gboolean
set_malformed (GError **error, const char *description)
{
  g_set_error (error, HZB_RECONCILIATION_ERROR, HZB_RECONCILIATION_ERROR_MALFORMED, "%s", description);
  return FALSE;
}

gboolean
hzb_reconciliation_check_format (const cJSON *value, GError **error)
{
  double format = hzb_json_number (value, "format", 0);

  if (format > HZB_RECONCILIATION_FORMAT)
    {
      g_set_error (error, HZB_RECONCILIATION_ERROR, HZB_RECONCILIATION_ERROR_FUTURE_FORMAT,
                   "a later version wrote it, in format %g; this version reads formats up to %u", format,
                   HZB_RECONCILIATION_FORMAT);
      return FALSE;
    }
  return format == HZB_RECONCILIATION_FORMAT || set_malformed (error, "it states no valid format");
}

guint64
hzb_reconciliation_value_term (const cJSON *value)
{
  return hzb_json_u64 (value, "term");
}

/* ---- the reconciliation record ---- */

cJSON *
hzb_reconciliation_record_encode (const HzbReconciliationRecord *record)
{
  cJSON *value = cJSON_CreateObject ();
  cJSON_AddNumberToObject (value, "format", HZB_RECONCILIATION_FORMAT);
  hzb_json_add_u64 (value, "id", record->id);
  hzb_json_add_u64 (value, "term", record->term);
  cJSON_AddNumberToObject (value, "starts", record->cold_starts);
  cJSON_AddNumberToObject (value, "began", record->began);
  return value;
}

gboolean
hzb_reconciliation_record_decode (const cJSON *value, HzbReconciliationRecord *record, GError **error)
{
  if (!hzb_reconciliation_check_format (value, error))
    return FALSE;
  record->id = hzb_json_u64 (value, "id");
  record->term = hzb_json_u64 (value, "term");
  record->cold_starts = (guint) CLAMP (hzb_json_number (value, "starts", 0), 0, G_MAXINT32);
  record->began = hzb_json_number (value, "began", 0);
  if (!record->id || record->term < record->id || !record->cold_starts)
    return set_malformed (error, "its id, its term or its number of starts is missing or invalid");
  return TRUE;
}

/* ---- pages of verdicts ---- */

static void
entry_clear (gpointer data)
{
  g_free (((HzbVerdictEntry *) data)->uid);
}

GArray *
hzb_verdict_entries_new (void)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (HzbVerdictEntry));
  g_array_set_clear_func (entries, entry_clear);
  return entries;
}

gsize
hzb_verdict_entry_bytes (const HzbVerdictEntry *entry)
{
  return strlen (entry->uid) + ENTRY_OVERHEAD_BYTES;
}

static void
add_row (cJSON *jobs, const HzbVerdictEntry *entry)
{
  cJSON *row = cJSON_AddArrayToObject (jobs, entry->uid);
  cJSON_AddItemToArray (row, cJSON_CreateString (hzb_job_verdict_name (entry->verdict)));
  cJSON_AddItemToArray (row, cJSON_CreateNumber (entry->reason));
  cJSON_AddItemToArray (row, cJSON_CreateNumber (entry->found));
  cJSON_AddItemToArray (row, cJSON_CreateNumber (entry->results));
  cJSON_AddItemToArray (row, cJSON_CreateNumber (entry->restarted));
}

cJSON *
hzb_verdict_page_encode (guint64 id, guint64 term, const GPtrArray *entries)
{
  cJSON *page = cJSON_CreateObject (), *jobs;

  cJSON_AddNumberToObject (page, "format", HZB_RECONCILIATION_FORMAT);
  hzb_json_add_u64 (page, "id", id);
  hzb_json_add_u64 (page, "term", term);
  jobs = cJSON_AddObjectToObject (page, "jobs");
  for (guint i = 0; i < entries->len; i++)
    add_row (jobs, entries->pdata[i]);
  return page;
}

static gboolean
decode_row_integer (const cJSON *row, int position, double max, guint *integer)
{
  const cJSON *item = cJSON_GetArrayItem (row, position);
  if (!cJSON_IsNumber (item) || !(item->valuedouble >= 0 && item->valuedouble <= max))
    return FALSE;
  *integer = (guint) item->valuedouble;
  return TRUE;
}

static gboolean
decode_entry (const cJSON *row, HzbVerdictEntry *entry)
{
  guint reason;

  if (cJSON_GetArraySize (row) != ROW_LENGTH
      || !hzb_job_verdict_from_name (cJSON_GetStringValue (cJSON_GetArrayItem (row, ROW_VERDICT)), &entry->verdict)
      || entry->verdict == HZB_JOB_VERDICT_HOLD || !decode_row_integer (row, ROW_REASON, HZB_JOB_N_REASONS - 1, &reason)
      || !decode_row_integer (row, ROW_FOUND, HZB_MAX_TASKS, &entry->found)
      || !decode_row_integer (row, ROW_RESULTS, HZB_MAX_TASKS, &entry->results)
      || !decode_row_integer (row, ROW_RESTARTED, HZB_MAX_TASKS, &entry->restarted))
    return FALSE;
  entry->reason = (HzbJobReason) reason;
  entry->uid = g_strdup (row->string);
  return TRUE;
}

GArray *
hzb_verdict_page_decode (const cJSON *page, guint64 *id, GError **error)
{
  const cJSON *row, *jobs = cJSON_GetObjectItemCaseSensitive (page, "jobs");
  g_autoptr (GArray) entries = NULL;

  if (!hzb_reconciliation_check_format (page, error))
    return NULL;
  *id = hzb_json_u64 (page, "id");
  if (!*id || !cJSON_IsObject (jobs))
    {
      set_malformed (error, "its id or its list of jobs is missing");
      return NULL;
    }
  entries = hzb_verdict_entries_new ();
  cJSON_ArrayForEach (row, jobs)
    {
      HzbVerdictEntry entry = { 0 };
      if (!decode_entry (row, &entry))
        {
          set_malformed (error, "one of its verdicts is invalid");
          return NULL;
        }
      g_array_append_val (entries, entry);
    }
  return g_steal_pointer (&entries);
}

/* ---- the roster ---- */

void
hzb_roster_encode (const GPtrArray *processes, cJSON *flush_record)
{
  cJSON *list = cJSON_AddArrayToObject (flush_record, "roster");
  for (guint i = 0; i < processes->len; i++)
    cJSON_AddItemToArray (list, cJSON_CreateString (processes->pdata[i]));
}

GPtrArray *
hzb_roster_decode (const cJSON *flush_record, guint64 *term)
{
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (flush_record, "roster");
  GPtrArray *processes;

  *term = hzb_json_u64 (flush_record, "term");
  if (!cJSON_IsArray (list))
    return NULL;
  processes = g_ptr_array_new_with_free_func (g_free);
  cJSON_ArrayForEach (item, list)
    if (cJSON_IsString (item) && strlen (item->valuestring) == HZB_ROSTER_NAME_CHARS)
      g_ptr_array_add (processes, g_strdup (item->valuestring));
  return processes;
}

/* ---- tasks that operators keep ---- */

cJSON *
hzb_kept_tasks_encode (GHashTable *kept)
{
  cJSON *value = cJSON_CreateObject (), *list;
  g_autoptr (GList) names = g_list_sort (g_hash_table_get_keys (kept), (GCompareFunc) strcmp);
  cJSON_AddNumberToObject (value, "format", HZB_RECONCILIATION_FORMAT);
  list = cJSON_AddArrayToObject (value, "tasks");
  for (GList *l = names; l; l = l->next)
    cJSON_AddItemToArray (list, cJSON_CreateString (l->data));
  return value;
}

gboolean
hzb_kept_tasks_decode (const cJSON *value, GHashTable *kept, GError **error)
{
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (value, "tasks");

  if (!hzb_reconciliation_check_format (value, error))
    return FALSE;
  if (!cJSON_IsArray (list))
    return set_malformed (error, "its list of tasks is missing");
  cJSON_ArrayForEach (item, list)
    if (cJSON_IsString (item))
      g_hash_table_add (kept, g_strdup (item->valuestring));
  return TRUE;
}
