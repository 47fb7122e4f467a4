#include "old-ends.h"

#include "controller.h"

#define MOVE_EVERY_S 1.0
#define MOVE_PART 0.15 /* of the changes that the key-value store takes */
#define CHANGES_PER_JOB 2u

struct _HzbOldEnds
{
  HzbController *controller;
  gboolean moving; /* a transaction is on its way */
  struct timespec next_move;
};

HzbOldEnds *
hzb_old_ends_new (HzbController *controller)
{
  HzbOldEnds *old_ends = g_new0 (HzbOldEnds, 1);
  old_ends->controller = controller;
  return old_ends;
}

void
hzb_old_ends_free (HzbOldEnds *old_ends)
{
  g_free (old_ends);
}

void
hzb_old_ends_reset (HzbOldEnds *old_ends)
{
  old_ends->moving = FALSE;
}

static void
on_moved (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbController *controller = epoch_call->controller;
  g_autoptr (GPtrArray) uids = epoch_call->data;
  g_autoptr (GPtrArray) failed = NULL;

  if (result == HZB_KV_CONFLICT)
    hzb_wire_parse_txn (body, NULL, &failed);
  for (guint i = 0; i < uids->len && epoch_call->epoch == controller->ownership_epoch; i++)
    {
      HzbJob *job = hzb_jobs_find (controller->jobs, uids->pdata[i]);
      if (!job)
        continue;
      /* One that changed under us (moved by an earlier leader, which the replica of the records will show) is left alone. */
      job->moving = FALSE;
      for (guint k = 0; failed && k < failed->len; k++)
        job->moving = job->moving || g_str_has_suffix (failed->pdata[k], job->uid);
    }
  if (epoch_call->epoch == controller->ownership_epoch)
    controller->old_ends->moving = FALSE;
  g_free (epoch_call);
}

/* Each is in one of the two places at any time: it moves in one transaction. */
void
hzb_old_ends_tick (HzbOldEnds *old_ends, struct timespec now)
{
  HzbController *controller = old_ends->controller;
  g_autoptr (GPtrArray) old = NULL;
  GPtrArray *uids;
  cJSON *txn;

  if (old_ends->moving || hzb_time_before (now, old_ends->next_move))
    return;
  old = hzb_jobs_ended_long_ago (controller->jobs, MAX (1, controller->settings->kv_txn_ops / CHANGES_PER_JOB));
  old_ends->next_move = hzb_time_plus (
      now, MAX (MOVE_EVERY_S, old->len * CHANGES_PER_JOB / (MOVE_PART * controller->settings->kv_write_rps)));
  if (!old->len)
    return;
  uids = g_ptr_array_new_with_free_func (g_free);
  txn = hzb_wire_txn ();
  hzb_election_add_condition (controller->election, txn);
  for (guint i = 0; i < old->len; i++)
    {
      HzbJob *job = old->pdata[i];
      g_autofree char *from = g_strconcat (HZB_KEY_JOBS, job->uid, NULL),
                      *to = g_strconcat (HZB_KEY_ENDED, job->uid, NULL);
      hzb_wire_txn_if (txn, from, job->version);
      hzb_wire_txn_put (txn, to, hzb_jobs_pack_final (job->state, job->n_tasks), 0);
      hzb_wire_txn_delete (txn, from);
      job->moving = TRUE;
      g_ptr_array_add (uids, g_strdup (job->uid));
    }
  old_ends->moving = TRUE;
  hzb_kv_client_commit (controller->kv, HZB_KV_RECORD, txn, on_moved, hzb_epoch_call_new (controller, uids));
}
