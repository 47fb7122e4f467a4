/* A job's record moves to the archive in one transaction that is conditional on the record's version. So the record is
 * always either among the replicated records or in the archive. */
#include "completed-job-archive.h"
#include "kv-protocol.h"
#include "record-keys.h"

#define MIN_INTERVAL_S 1.0       /* minimum time between two transactions */
#define WRITE_RATE_FRACTION 0.15 /* fraction of the key-value store's write rate that archiving may use */
#define CHANGES_PER_JOB 2u       /* one put of the job's archive key, and one deletion of the job's record key */

struct _HzbCompletedJobArchive
{
  HzbCompletedJobArchiveDependencies dependencies;
  gboolean in_flight;               /* a transaction was sent, and its answer has not arrived */
  struct timespec next_transaction; /* no transaction is sent before this time */
};

HzbCompletedJobArchive *
hzb_completed_job_archive_new (const HzbCompletedJobArchiveDependencies *dependencies)
{
  HzbCompletedJobArchive *archive = g_new0 (HzbCompletedJobArchive, 1);
  archive->dependencies = *dependencies;
  return archive;
}

void
hzb_completed_job_archive_free (HzbCompletedJobArchive *archive)
{
  g_free (archive);
}

void
hzb_completed_job_archive_reset (HzbCompletedJobArchive *archive)
{
  archive->in_flight = FALSE;
}

static gboolean
contains_key_of_job (const GPtrArray *keys, const HzbJob *job)
{
  for (guint i = 0; keys && i < keys->len; i++)
    if (g_str_has_suffix (keys->pdata[i], job->uid))
      return TRUE;
  return FALSE;
}

static void
on_moved (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *call = user;
  g_autoptr (GPtrArray) uids = call->data;
  g_autoptr (GPtrArray) failed_keys = NULL;
  HzbCompletedJobArchive *archive = call->module;

  if (!hzb_epoch_call_is_current (call))
    return;
  archive->in_flight = FALSE;
  if (result == HZB_KV_CONFLICT)
    hzb_kv_commit_decode (body, NULL, &failed_keys);
  for (guint i = 0; i < uids->len; i++)
    {
      HzbJob *job = hzb_jobs_find (archive->dependencies.jobs, uids->pdata[i]);
      /* If the comparison of a job's record failed, an earlier transaction (such as one of an earlier leader) has moved
       * the record, and the replica of the records will deliver its removal. The job stays marked as archiving, so that
       * this leader does not try again. */
      if (job)
        job->archiving = contains_key_of_job (failed_keys, job);
    }
}

static void
add_move (HzbKvTransaction *transaction, const HzbJob *job)
{
  g_autofree char *from = g_strconcat (HZB_KEY_JOBS, job->uid, NULL);
  g_autofree char *to = g_strconcat (HZB_KEY_ARCHIVED, job->uid, NULL);

  hzb_kv_transaction_compare (transaction, from, job->version);
  hzb_kv_transaction_put (transaction, to, hzb_job_completion_encode (job->state, job->n_tasks), 0);
  hzb_kv_transaction_delete (transaction, from);
}

static void
move_records (HzbCompletedJobArchive *archive, const GPtrArray *jobs)
{
  const HzbCompletedJobArchiveDependencies *dependencies = &archive->dependencies;
  GPtrArray *uids = g_ptr_array_new_with_free_func (g_free);
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();

  hzb_election_add_condition (dependencies->election, transaction);
  for (guint i = 0; i < jobs->len; i++)
    {
      HzbJob *job = jobs->pdata[i];
      add_move (transaction, job);
      job->archiving = TRUE;
      g_ptr_array_add (uids, g_strdup (job->uid));
    }
  archive->in_flight = TRUE;
  hzb_kv_client_commit (dependencies->kv, HZB_KV_RECORD, transaction, on_moved,
                        hzb_epoch_call_new (dependencies->ownership, archive, uids));
}

void
hzb_completed_job_archive_tick (HzbCompletedJobArchive *archive, struct timespec now)
{
  const HzbSettings *settings = archive->dependencies.node->settings;
  g_autoptr (GPtrArray) jobs = NULL;

  if (archive->in_flight || hzb_time_before (now, archive->next_transaction))
    return;
  jobs = hzb_jobs_list_archivable (archive->dependencies.jobs, MAX (1, settings->kv_txn_ops / CHANGES_PER_JOB));
  archive->next_transaction = hzb_time_plus (
      now, MAX (MIN_INTERVAL_S, jobs->len * CHANGES_PER_JOB / (WRITE_RATE_FRACTION * settings->kv_write_rps)));
  if (jobs->len)
    move_records (archive, jobs);
}
