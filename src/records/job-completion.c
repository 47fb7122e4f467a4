/* The record that a job is done. It is written only if no record says that the job is over: so a job is either done or
 * cancelled, never both. */
#include "kv-protocol.h"
#include "record-keys.h"
#include "records-private.h"

static void
on_completed (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbRecords *records = epoch_call->module;
  HzbController *controller = records->controller;
  g_autofree char *uid = epoch_call->data;
  HzbJob *job = hzb_jobs_find (controller->jobs, uid);
  guint64 revision = 0;

  if (result == HZB_KV_OK && job)
    {
      cJSON *value = hzb_jobs_pack_final (HZB_JOB_DONE, job->n_tasks);
      hzb_kv_commit_decode (body, &revision, NULL);
      hzb_jobs_apply (controller->jobs, uid, value, revision);
      cJSON_Delete (value);
    }
  if (hzb_epoch_call_is_current (epoch_call) && job)
    {
      job->completing = FALSE;
      if (result == HZB_KV_OK && job->tasks)
        {
          g_message ("job %s is done", uid);
          hzb_records_drop_job (records, job);
          hzb_jobs_retire (controller->jobs, job);
        }
    }
  g_free (epoch_call);
}

void
hzb_records_complete_job (HzbRecords *records, HzbJob *job)
{
  HzbController *controller = records->controller;
  g_autofree char *key = NULL;
  HzbKvTransaction *transaction;

  if (job->completing || job->state != HZB_JOB_ACCEPTED || !hzb_election_leading (controller->election))
    return;
  job->completing = TRUE;
  key = g_strconcat (HZB_KEY_JOBS, job->uid, NULL);
  transaction = hzb_kv_transaction_new ();
  hzb_election_add_condition (controller->election, transaction);
  hzb_jobs_compare_not_terminal (transaction, job->uid); /* it has not been cancelled */
  hzb_kv_transaction_put (transaction, key, hzb_jobs_pack_final (HZB_JOB_DONE, job->n_tasks), 0);
  hzb_kv_client_commit (controller->kv, HZB_KV_ACCEPT, transaction, on_completed,
                        hzb_epoch_call_new (controller->ownership, records, g_strdup (job->uid)));
}
