#include "user-records-codec.h"

#include "json.h"
#include "record-keys.h"

struct _HzbAcceptanceRecord
{
  char *key;
  cJSON *value; /* id of a job -> its entry */
};

HzbArchivedJob *
hzb_archived_job_decode (const char *body)
{
  HzbKvEntry entry = { 0 };
  HzbArchivedJob *job;

  if (!hzb_kv_entry_decode (body, &entry))
    return NULL;
  job = g_new0 (HzbArchivedJob, 1);
  job->status = g_strdup (hzb_json_text (entry.value, "state"));
  if (g_strcmp0 (job->status, "done") == 0)
    job->done_tasks = (guint) hzb_json_number (entry.value, "n", 0);
  hzb_kv_entry_clear (&entry);
  return job;
}

void
hzb_archived_job_free (HzbArchivedJob *job)
{
  g_free (job->status);
  g_free (job);
}

HzbAcceptanceRecord *
hzb_acceptance_record_new (const char *key)
{
  HzbAcceptanceRecord *record = g_new0 (HzbAcceptanceRecord, 1);
  record->key = g_strdup (key);
  record->value = cJSON_CreateObject ();
  return record;
}

void
hzb_acceptance_record_free (HzbAcceptanceRecord *record)
{
  g_free (record->key);
  cJSON_Delete (record->value);
  g_free (record);
}

gboolean
hzb_acceptance_record_contains (const HzbAcceptanceRecord *record, const char *uid)
{
  return cJSON_HasObjectItem (record->value, uid);
}

void
hzb_acceptance_record_add (HzbAcceptanceRecord *record, const char *uid, const char *encoded)
{
  cJSON_AddItemToObject (record->value, uid, cJSON_Parse (encoded));
}

void
hzb_acceptance_record_put (const HzbAcceptanceRecord *record, HzbKvTransaction *transaction)
{
  hzb_kv_transaction_compare (transaction, record->key, 0);
  hzb_kv_transaction_put (transaction, record->key, cJSON_Duplicate (record->value, TRUE), 0);
}

void
hzb_acceptance_record_apply (const HzbAcceptanceRecord *record, HzbJobs *jobs)
{
  hzb_jobs_apply_acceptance (jobs, record->key, record->value);
}

/* hzb_job_acceptance_encode() gives the entry as a cJSON object; this function also prints it as text. */
char *
hzb_accepted_job_encode (const HzbJobSpec *spec, struct timespec accepted_at)
{
  return hzb_json_print (hzb_job_acceptance_encode (spec, accepted_at));
}

/* The record of a cancellation is a completion record in state cancelled. */
void
hzb_cancellation_record_put (const char *uid, guint n_tasks, HzbKvTransaction *transaction)
{
  g_autofree char *key = g_strconcat (HZB_KEY_JOBS, uid, NULL);
  hzb_kv_transaction_put (transaction, key, hzb_job_completion_encode (HZB_JOB_CANCELLED, n_tasks), 0);
}
