/* Begins and ends this node's ownership of a shard, as leader or as leaseholder. */
#include "controller-private.h"
#include "record-keys.h"

#define LEADER_RECORDS_RETRY_S 0.4 /* pause before the next request for a page that could not be read */

/* ---- load of the previous leader's records ---- */

static void on_leader_records (HzbKvResult result, const char *body, gpointer user);

static void
request_leader_records (HzbController *controller)
{
  controller->leader_records_requested = TRUE;
  hzb_kv_client_range (controller->kv, HZB_KEY_LEADER_RECORDS, controller->leader_records_cursor, on_leader_records,
                       hzb_epoch_call_new (controller->ownership, controller, NULL));
}

static void
apply_leader_records (HzbController *controller, const GArray *entries)
{
  for (guint i = 0; i < entries->len; i++)
    {
      HzbKvEntry *entry = &g_array_index (entries, HzbKvEntry, i);
      hzb_records_load (controller->records, entry);
      hzb_reconciliation_load (controller->reconciliation, entry);
      g_free (controller->leader_records_cursor);
      controller->leader_records_cursor = g_strdup (entry->key);
    }
}

static void
finish_leader_records_load (HzbController *controller)
{
  hzb_records_load_finished (controller->records);
  hzb_reconciliation_finish_loading (controller->reconciliation);
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_RECOVERING,
                           "the records of the previous leader have been read");
}

static void
on_leader_records (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbController *controller = epoch_call->module;
  g_autoptr (GArray) entries = NULL;
  gboolean more = FALSE;
  guint64 revision = 0;

  if (!hzb_epoch_call_is_current (epoch_call) || hzb_ownership_state (controller->ownership) != HZB_OWNERSHIP_LOADING)
    return;
  controller->leader_records_requested = FALSE;
  entries = result == HZB_KV_OK ? hzb_kv_range_decode (body, &more, &revision) : NULL;
  if (!entries)
    {
      /* The pause keeps this node from repeating the request continuously while the key-value store refuses it. */
      controller->next_leader_records_request =
          hzb_time_plus (hzb_clock_now (controller->clock), LEADER_RECORDS_RETRY_S);
      return;
    }
  apply_leader_records (controller, entries);
  if (more && entries->len)
    request_leader_records (controller);
  else
    finish_leader_records_load (controller);
}

/* ---- ownership as leader ---- */

static void
begin_leadership (HzbController *controller)
{
  hzb_ownership_begin_epoch (controller->ownership);
  controller->shard =
      hzb_shard_new (controller->settings, hzb_fencing_token (hzb_election_term (controller->election), 0));
  hzb_shard_leases_reset (controller->shard_leases);
  hzb_records_reset (controller->records);
  hzb_reconciliation_reset (controller->reconciliation);
  hzb_completed_job_archive_reset (controller->completed_job_archive);
  hzb_provisioning_reset (controller->provisioning);
  g_clear_pointer (&controller->leader_records_cursor, g_free);
  hzb_machines_clear (controller->machines);
  hzb_jobs_begin_ownership (controller->jobs, controller->shard);
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_LOADING, "elected");
  request_leader_records (controller);
}

static void
end_leadership (HzbController *controller)
{
  hzb_ownership_begin_epoch (controller->ownership);
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_NONE, "this node is no longer the leader");
  hzb_records_reset (controller->records);
  hzb_reconciliation_reset (controller->reconciliation);
  hzb_completed_job_archive_reset (controller->completed_job_archive);
  hzb_jobs_end_ownership (controller->jobs);
  hzb_machines_clear (controller->machines);
  g_clear_pointer (&controller->shard, hzb_shard_free);
}

/* Returns: whether the shard still belongs to an earlier term of this node. This happens if this node is elected again
 * before it has noticed that it lost the leadership. */
static gboolean
shard_is_of_earlier_term (const HzbController *controller)
{
  return hzb_ownership_state (controller->ownership) != HZB_OWNERSHIP_NONE
         && hzb_fencing_token_term (controller->shard->fencing_token) != hzb_election_term (controller->election);
}

/* After its election, this node must not read the previous leader's records until the replica on this node has caught
 * up with the record of the new term: the replica then shows every job that the previous leader could have started. */
static gboolean
may_begin_leadership (const HzbController *controller)
{
  return hzb_ownership_state (controller->ownership) == HZB_OWNERSHIP_NONE
         && hzb_kv_replica_state (controller->kv_replica) == HZB_KV_REPLICA_FOLLOWING
         && hzb_election_is_term_replicated (controller->election);
}

void
hzb_controller_update_ownership (HzbController *controller, struct timespec now)
{
  gboolean leading = hzb_election_is_leader (controller->election);

  if (leading)
    hzb_controller_end_shard_lease (controller, "this node was elected leader");
  if (leading && shard_is_of_earlier_term (controller))
    end_leadership (controller);
  /* The ownership states after HZB_OWNERSHIP_LEASEHOLDER are those of a leader. */
  if (leading && may_begin_leadership (controller))
    begin_leadership (controller);
  else if (!leading && hzb_ownership_state (controller->ownership) > HZB_OWNERSHIP_LEASEHOLDER)
    end_leadership (controller);
  if (hzb_ownership_state (controller->ownership) == HZB_OWNERSHIP_LOADING && !controller->leader_records_requested
      && !hzb_time_before (now, controller->next_leader_records_request))
    request_leader_records (controller);
}

void
hzb_controller_finish_recovery (HzbController *controller)
{
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_READY,
                           "every machine on record has sent a heartbeat under this term or is gone");
}

/* ---- ownership as leaseholder ---- */

void
hzb_controller_begin_shard_lease (HzbController *controller, guint64 fencing_token)
{
  hzb_ownership_begin_epoch (controller->ownership);
  controller->shard = hzb_shard_new_leased (controller->settings, fencing_token);
  controller->jobs->leaseholder = TRUE;
  hzb_machines_clear (controller->machines);
  hzb_leaseholder_clear (controller->leaseholder);
  hzb_jobs_begin_ownership (controller->jobs, controller->shard);
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_LEASEHOLDER,
                           "the leader has leased a shard to this node");
}

void
hzb_controller_end_shard_lease (HzbController *controller, const char *reason)
{
  if (!hzb_ownership_is_leaseholder (controller->ownership))
    return;
  hzb_ownership_begin_epoch (controller->ownership);
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_NONE, reason);
  hzb_jobs_end_ownership (controller->jobs);
  hzb_machines_clear (controller->machines);
  hzb_leaseholder_clear (controller->leaseholder);
  g_clear_pointer (&controller->shard, hzb_shard_free);
}
