/* Writes the record that a job is done. The transaction fails if a record already says that the job is terminal, so a
 * job is never recorded both as done and as cancelled. */
#include "record-keys.h"
#include "records-private.h"

/* Applies the recorded completion to the job in memory. The replica of the records delivers the same record, but
 * possibly later than the answer to the transaction. */
static void
apply_done (HzbJobs *jobs, const HzbJob *job, const char *body)
{
  guint64 revision = 0;

  hzb_kv_commit_decode (body, &revision, NULL);
  hzb_jobs_apply_completion (jobs, job->uid, HZB_JOB_DONE, job->n_tasks, revision);
}

static void
on_completed (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *call = user;
  g_autofree char *uid = call->data;
  HzbRecords *records = call->module;
  HzbJobs *jobs = records->dependencies.jobs;
  HzbJob *job = hzb_jobs_find (jobs, uid);

  if (!job)
    return;
  /* The record is valid whichever node leads, so it is applied even if this node's leadership has ended. */
  if (result == HZB_KV_OK)
    apply_done (jobs, job, body);
  if (!hzb_epoch_call_is_current (call))
    return;
  job->completing = FALSE;
  if (result != HZB_KV_OK || !job->tasks)
    return;
  g_message ("job %s is done: all of its %u tasks have finished", uid, job->n_tasks);
  hzb_records_drop_job (records, job);
  hzb_jobs_deactivate (jobs, job);
}

void
hzb_records_complete_job (HzbRecords *records, HzbJob *job)
{
  const HzbRecordsDependencies *dependencies = &records->dependencies;
  g_autofree char *key = NULL;
  HzbKvTransaction *transaction;

  if (job->completing || job->state != HZB_JOB_ACCEPTED || !hzb_election_is_leader (dependencies->election))
    return;
  job->completing = TRUE;
  key = g_strconcat (HZB_KEY_JOBS, job->uid, NULL);
  transaction = hzb_kv_transaction_new ();
  hzb_election_add_condition (dependencies->election, transaction);
  hzb_jobs_compare_not_terminal (transaction, job->uid); /* fails if the job has been cancelled */
  hzb_kv_transaction_put (transaction, key, hzb_job_completion_encode (HZB_JOB_DONE, job->n_tasks), 0);
  hzb_kv_client_commit (dependencies->kv, HZB_KV_ACCEPT, transaction, on_completed,
                        hzb_epoch_call_new (dependencies->ownership, records, g_strdup (job->uid)));
}
