/* The leader's view of leaseholders: reclaims shards, and announces durable results and cancellations to
 * leaseholders. */
#include "shard-leases-private.h"
#include "task-table.h"

static HzbLeaseholderView *
leaseholder_view_new (HzbShardLeases *shard_leases, guint8 id, const HzbPeer *peer)
{
  HzbLeaseholderView *leaseholder = g_new0 (HzbLeaseholderView, 1);
  leaseholder->shard_leases = shard_leases;
  leaseholder->id = id;
  leaseholder->peer = peer;
  hzb_outbox_init (&leaseholder->batches, 0, (HzbOutboxEncode) hzb_shard_batch_encode,
                   (GDestroyNotify) hzb_shard_batch_free);
  leaseholder->running_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  leaseholder->recalled_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  leaseholder->machine_kinds = g_ptr_array_new ();
  return leaseholder;
}

static void
leaseholder_view_reset (HzbLeaseholderView *leaseholder)
{
  hzb_outbox_clear (&leaseholder->batches);
  g_clear_pointer (&leaseholder->incarnation, g_free);
  g_hash_table_remove_all (leaseholder->running_counts);
  g_hash_table_remove_all (leaseholder->recalled_counts);
  leaseholder->fencing_token = leaseholder->last_event_applied = leaseholder->last_batch_acknowledged = 0;
  leaseholder->lease_confirmed = FALSE;
  leaseholder->last_poll = leaseholder->steady_since = (struct timespec){ 0 };
}

static void
leaseholder_view_free (gpointer data)
{
  HzbLeaseholderView *leaseholder = data;
  leaseholder_view_reset (leaseholder);
  g_hash_table_unref (leaseholder->running_counts);
  g_hash_table_unref (leaseholder->recalled_counts);
  g_ptr_array_unref (leaseholder->machine_kinds);
  g_free (leaseholder);
}

HzbShardLeases *
hzb_shard_leases_new (const HzbShardLeasesDependencies *dependencies)
{
  HzbShardLeases *shard_leases = g_new0 (HzbShardLeases, 1);
  const GPtrArray *peers = dependencies->node->settings->peers;

  shard_leases->dependencies = *dependencies;
  shard_leases->leaseholders = g_ptr_array_new_with_free_func (leaseholder_view_free);
  shard_leases->shard_cpus = g_new0 (double, peers->len + 1);
  for (guint i = 0; i < peers->len; i++)
    g_ptr_array_add (shard_leases->leaseholders,
                     leaseholder_view_new (shard_leases, (guint8) (i + 1), peers->pdata[i]));
  return shard_leases;
}

void
hzb_shard_leases_reset (HzbShardLeases *shard_leases)
{
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    leaseholder_view_reset (shard_leases->leaseholders->pdata[i]);
  shard_leases->fencing_token_count = 0;
  shard_leases->scanned_at = (struct timespec){ 0 };
}

void
hzb_shard_leases_free (HzbShardLeases *shard_leases)
{
  g_ptr_array_unref (shard_leases->leaseholders);
  g_free (shard_leases->shard_cpus);
  g_free (shard_leases);
}

guint64
hzb_shard_leases_next_fencing_token (HzbShardLeases *shard_leases)
{
  return hzb_fencing_token (hzb_election_term (shard_leases->dependencies.election),
                            ++shard_leases->fencing_token_count);
}

const char *
hzb_shard_leases_leaseholder_name (HzbShardLeases *shard_leases, const HzbMachine *machine)
{
  const HzbLeaseholderView *leaseholder = hzb_shard_leases_leaseholder (shard_leases, machine->leaseholder);
  return leaseholder ? leaseholder->peer->node : NULL;
}

/* ---- reclaiming ---- */

static guint
unverify_machines (HzbLeaseholderView *leaseholder, guint64 fencing_token, const char *reason)
{
  HzbMachines *machines = leaseholder->shard_leases->dependencies.machines;
  guint n = 0;

  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (!hzb_shards_is_leased_to (machine, leaseholder))
        continue;
      hzb_machine_unverify (machines, machine, fencing_token, reason);
      machine->unconfirmed_tasks_owner = leaseholder->id;
      n++;
    }
  return n;
}

static guint
mark_tasks_unconfirmed (HzbLeaseholderView *leaseholder)
{
  HzbJobs *jobs = leaseholder->shard_leases->dependencies.jobs;
  guint n = 0;

  for (guint i = 0; i < jobs->active->len; i++)
    {
      HzbJob *job = jobs->active->pdata[i];
      HzbTask *task;
      /* HzbJob.placed is a number of tasks that includes the delegated ones: once it is 0, none is delegated. */
      for (guint k = 0; job->placed && (task = hzb_task_table_next (job->tasks, &k));)
        if (hzb_shards_is_delegated_to (task, leaseholder))
          {
            hzb_task_set_state (jobs, task, HZB_TASK_UNCONFIRMED, NULL);
            n++;
          }
    }
  return n;
}

void
hzb_shards_reclaim (HzbLeaseholderView *leaseholder, const char *reason)
{
  HzbShardLeases *shard_leases = leaseholder->shard_leases;
  guint64 fencing_token = hzb_shard_leases_next_fencing_token (shard_leases);
  guint machines = unverify_machines (leaseholder, fencing_token, reason);
  guint tasks = mark_tasks_unconfirmed (leaseholder);

  hzb_shards_clear_counts (leaseholder);
  g_message (
      "shard of leaseholder %s: reclaimed with %u machines and %u tasks: %s; each of these tasks may start on another "
      "machine only after all machines of the shard have sent a heartbeat to this leader or are gone",
      leaseholder->peer->node, machines, tasks, reason);
  hzb_outbox_clear (&leaseholder->batches);
  leaseholder->fencing_token = leaseholder->last_event_applied = leaseholder->last_batch_acknowledged = 0;
  leaseholder->lease_confirmed = FALSE;
  /* restarts the wait before the node may get machines again */
  leaseholder->steady_since = hzb_clock_now (shard_leases->dependencies.node->clock);
}

void
hzb_shard_leases_tick (HzbShardLeases *shard_leases, struct timespec now)
{
  if (!hzb_ownership_is_loaded_leader (shard_leases->dependencies.ownership))
    return;
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      HzbLeaseholderView *leaseholder = shard_leases->leaseholders->pdata[i];
      if (leaseholder->fencing_token && hzb_time_between (leaseholder->last_poll, now) > HZB_SHARDS_POLL_TIMEOUT_S)
        hzb_shards_reclaim (leaseholder, "the leaseholder has stopped polling");
    }
}

/* ---- announcements ---- */

/* Returns: the last batch if durable tasks can still be added to it; otherwise a new batch, which is queued */
static HzbShardBatch *
open_durable_batch (HzbLeaseholderView *leaseholder)
{
  HzbShardBatch *batch = (HzbShardBatch *) hzb_outbox_last_unsent (&leaseholder->batches);

  if (batch && batch->durable)
    return batch;
  batch = hzb_shard_batch_new ();
  batch->durable = hzb_task_groups_new ();
  hzb_shards_push (leaseholder, batch);
  return batch;
}

void
hzb_shard_leases_announce_durable (HzbShardLeases *shard_leases, HzbTask *task)
{
  HzbLeaseholderView *leaseholder = hzb_shard_leases_leaseholder (shard_leases, task->leaseholder);

  task->leaseholder = 0;
  if (leaseholder && leaseholder->fencing_token)
    hzb_task_groups_add (open_durable_batch (leaseholder)->durable, task);
}

/* Cancellations are announced because a leaseholder's own replica of the records may lag behind, or the key-value
 * store may not serve that node. */
void
hzb_shard_leases_announce_cancellation (HzbShardLeases *shard_leases, HzbJob *job)
{
  if (job->announced_to_leaseholders)
    return;
  job->announced_to_leaseholders = TRUE;
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      HzbLeaseholderView *leaseholder = shard_leases->leaseholders->pdata[i];
      HzbShardBatch *batch;
      if (!leaseholder->fencing_token)
        continue;
      batch = hzb_shard_batch_new ();
      batch->cancelled_uid = g_strdup (job->uid);
      hzb_shards_push (leaseholder, batch);
    }
}

static gboolean
has_unacknowledged_cancellation (const HzbLeaseholderView *leaseholder, const char *uid)
{
  for (const GList *l = leaseholder->batches.unacknowledged.head; l; l = l->next)
    if (g_strcmp0 (((const HzbShardBatch *) l->data)->cancelled_uid, uid) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
has_delegated_task (const HzbLeaseholderView *leaseholder, const HzbJob *job)
{
  const HzbTask *task;

  /* HzbJob.placed is a number of tasks that includes the delegated ones: if it is 0, none is delegated. */
  for (guint k = 0; job->placed && (task = hzb_task_table_next (job->tasks, &k));)
    if (hzb_shards_is_delegated_to (task, leaseholder))
      return TRUE;
  return FALSE;
}

gboolean
hzb_shard_leases_cancellation_acknowledged (HzbShardLeases *shard_leases, const HzbJob *job)
{
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      const HzbLeaseholderView *leaseholder = shard_leases->leaseholders->pdata[i];
      /* A leaseholder without a delegated task of the job need not acknowledge. */
      if (has_unacknowledged_cancellation (leaseholder, job->uid) && has_delegated_task (leaseholder, job))
        return FALSE;
    }
  return TRUE;
}
