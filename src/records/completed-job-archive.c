#include "completed-job-archive.h"

#include "controller-private.h"
#include "kv-protocol.h"
#include "record-keys.h"

#define MOVE_EVERY_S 1.0
#define MOVE_PART 0.15 /* of the changes that the key-value store takes */
#define CHANGES_PER_JOB 2u

struct _HzbCompletedJobArchive
{
  HzbController *controller;
  gboolean archiving; /* a transaction is on its way */
  struct timespec next_archiving;
};

HzbCompletedJobArchive *
hzb_completed_job_archive_new (HzbController *controller)
{
  HzbCompletedJobArchive *completed_job_archive = g_new0 (HzbCompletedJobArchive, 1);
  completed_job_archive->controller = controller;
  return completed_job_archive;
}

void
hzb_completed_job_archive_free (HzbCompletedJobArchive *completed_job_archive)
{
  g_free (completed_job_archive);
}

void
hzb_completed_job_archive_reset (HzbCompletedJobArchive *completed_job_archive)
{
  completed_job_archive->archiving = FALSE;
}

static void
on_moved (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbController *controller = epoch_call->module;
  g_autoptr (GPtrArray) uids = epoch_call->data;
  g_autoptr (GPtrArray) failed = NULL;

  if (result == HZB_KV_CONFLICT)
    hzb_kv_commit_decode (body, NULL, &failed);
  for (guint i = 0; i < uids->len && hzb_epoch_call_is_current (epoch_call); i++)
    {
      HzbJob *job = hzb_jobs_find (controller->jobs, uids->pdata[i]);
      if (!job)
        continue;
      /* One that changed under us (moved by an earlier leader, which the replica of the records will show) is left alone. */
      job->archiving = FALSE;
      for (guint k = 0; failed && k < failed->len; k++)
        job->archiving = job->archiving || g_str_has_suffix (failed->pdata[k], job->uid);
    }
  if (hzb_epoch_call_is_current (epoch_call))
    controller->completed_job_archive->archiving = FALSE;
  g_free (epoch_call);
}

/* Each is in one of the two places at any time: it moves in one transaction. */
void
hzb_completed_job_archive_tick (HzbCompletedJobArchive *completed_job_archive, struct timespec now)
{
  HzbController *controller = completed_job_archive->controller;
  g_autoptr (GPtrArray) old = NULL;
  GPtrArray *uids;
  HzbKvTransaction *transaction;

  if (completed_job_archive->archiving || hzb_time_before (now, completed_job_archive->next_archiving))
    return;
  old = hzb_jobs_archivable (controller->jobs, MAX (1, controller->settings->kv_txn_ops / CHANGES_PER_JOB));
  completed_job_archive->next_archiving = hzb_time_plus (
      now, MAX (MOVE_EVERY_S, old->len * CHANGES_PER_JOB / (MOVE_PART * controller->settings->kv_write_rps)));
  if (!old->len)
    return;
  uids = g_ptr_array_new_with_free_func (g_free);
  transaction = hzb_kv_transaction_new ();
  hzb_election_add_condition (controller->election, transaction);
  for (guint i = 0; i < old->len; i++)
    {
      HzbJob *job = old->pdata[i];
      g_autofree char *from = g_strconcat (HZB_KEY_JOBS, job->uid, NULL),
                      *to = g_strconcat (HZB_KEY_ARCHIVED, job->uid, NULL);
      hzb_kv_transaction_compare (transaction, from, job->version);
      hzb_kv_transaction_put (transaction, to, hzb_jobs_pack_final (job->state, job->n_tasks), 0);
      hzb_kv_transaction_delete (transaction, from);
      job->archiving = TRUE;
      g_ptr_array_add (uids, g_strdup (job->uid));
    }
  completed_job_archive->archiving = TRUE;
  hzb_kv_client_commit (controller->kv, HZB_KV_RECORD, transaction, on_moved,
                        hzb_epoch_call_new (controller->ownership, controller, uids));
}
