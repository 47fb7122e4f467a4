#include "controller-private.h"
#include "json.h"
#include "kv-protocol.h"
#include "record-keys.h"
#include "user-protocol.h"
#include "worker-protocol.h"

#include <math.h>
#include <string.h>

#define OWNER_PAGE_PAUSE_S 0.4 /* after a page of the owner's records that did not come */

/* ---- the replica of the records ---- */

void
hzb_controller_apply_record (HzbController *controller, const HzbKvEntry *item)
{
  if (g_str_has_prefix (item->key, HZB_KEY_JOBS))
    {
      const char *uid = item->key + strlen (HZB_KEY_JOBS);
      if (item->value)
        hzb_jobs_apply (controller->jobs, uid, item->value, item->version);
      else
        {
          hzb_dispatch_clear_indexes (controller->dispatch);
          hzb_jobs_forget (controller->jobs, uid); /* its record has moved to where old ones are */
        }
    }
  else if (g_str_has_prefix (item->key, HZB_KEY_ACCEPTED))
    {
      hzb_jobs_apply_acceptance (controller->jobs, item->key, item->value);
      controller->dispatch->next_run = (struct timespec){ 0 };
    }
  else if (g_str_equal (item->key, HZB_KEY_SETTINGS))
    hzb_admin_apply_settings (controller->admin, item);
  else
    hzb_election_apply_record (controller->election, item);
}

/* What is owned is given up first: a job that is over must not be taken for open because of it. */
static gboolean
kv_replica_may_load (gpointer user)
{
  return hzb_ownership_state (((HzbController *) user)->ownership) == HZB_OWNERSHIP_NONE;
}

static void
kv_replica_load_begin (gpointer user)
{
  HzbController *controller = user;
  controller->load_saw_leader = FALSE;
  hzb_jobs_load_begin (controller->jobs);
}

static void
note_job_end (HzbController *controller, const HzbKvEntry *item)
{
  const HzbJob *job = NULL;
  if (item->value && g_str_has_prefix (item->key, HZB_KEY_JOBS))
    job = hzb_jobs_find (controller->jobs, item->key + strlen (HZB_KEY_JOBS));
  if (job)
    hzb_cancellations_note_record (controller->cancellations, job, item->version);
}

static void
kv_replica_apply (const HzbKvEntry *item, gpointer user)
{
  HzbController *controller = user;
  if (g_str_equal (item->key, HZB_KEY_LEADER_SCHEMA_1) || g_str_equal (item->key, HZB_KEY_LEADER_SCHEMA_2))
    controller->load_saw_leader = controller->load_saw_leader || hzb_json_u64 (item->value, "lease");
  hzb_controller_apply_record (controller, item);
  note_job_end (controller, item);
}

static void
kv_replica_load_end (guint64 revision, gpointer user)
{
  HzbController *controller = user;
  if (!controller->load_saw_leader)
    {
      HzbKvEntry none = { (char *) HZB_KEY_LEADER_SCHEMA_1, NULL, revision };
      hzb_election_apply_record (controller->election, &none);
    }
  hzb_dispatch_clear_indexes (controller->dispatch);
  hzb_jobs_load_end (controller->jobs);
  hzb_cancellations_note_reading (controller->cancellations, revision);
}

/* A node that has missed so much can't tell which of the jobs that it owns are over. */
static void
kv_replica_lost (gpointer user)
{
  HzbController *controller = user;
  hzb_election_step_down (controller->election, "the mirror is too far behind");
  hzb_controller_end_leased (controller, "the mirror is too far behind");
}

const HzbKvReplicaFuncs hzb_controller_replica_funcs = { kv_replica_may_load, kv_replica_load_begin, kv_replica_apply,
                                                         kv_replica_load_end, kv_replica_lost };

gboolean
hzb_controller_ready (HzbController *controller)
{
  if (!controller->machines->types || !hzb_kv_replica_revision (controller->kv_replica))
    return FALSE;
  /* In an outage for all it makes no difference where users ask; alone, or cut off from the others as well, another
   * node serves them better. */
  return !hzb_kv_replica_store_unresponsive (controller->kv_replica)
         || (hzb_peers_any_reachable (controller->peers) && !hzb_peers_any_reaches_kv (controller->peers));
}

/* ---- ownership ---- */

static void on_owner_records_loaded (HzbKvResult result, const char *body, gpointer user);

static void
ask_for_owner_page (HzbController *controller)
{
  controller->owner_page_asked = TRUE;
  hzb_kv_client_range (controller->kv, HZB_KEY_OWNER, controller->owner_load_cursor, on_owner_records_loaded,
                       hzb_epoch_call_new (controller->ownership, controller, NULL));
}

static void
on_owner_records_loaded (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbController *controller = epoch_call->module;
  gboolean more = FALSE;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (!hzb_epoch_call_is_current (epoch_call) || hzb_ownership_state (controller->ownership) != HZB_OWNERSHIP_LOADING)
    return;
  controller->owner_page_asked = FALSE;
  items = result == HZB_KV_OK ? hzb_kv_range_decode (body, &more, &revision) : NULL;
  if (!items)
    {
      /* Guards against a leader that asks again at once, all the time, while the key-value store refuses it. */
      controller->next_owner_page = hzb_time_plus (hzb_clock_now (controller->clock), OWNER_PAGE_PAUSE_S);
      return;
    }
  for (guint i = 0; i < items->len; i++)
    {
      HzbKvEntry *item = &g_array_index (items, HzbKvEntry, i);
      hzb_records_load (controller->records, item);
      hzb_reconciliation_load (controller->reconciliation, item);
      g_free (controller->owner_load_cursor);
      controller->owner_load_cursor = g_strdup (item->key);
    }
  if (more && items->len)
    {
      ask_for_owner_page (controller);
      return;
    }
  hzb_records_load_finished (controller->records);
  hzb_reconciliation_loaded (controller->reconciliation);
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_RECOVERING, "the records have been read");
}

void
hzb_controller_recovered (HzbController *controller)
{
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_READY, "every machine has answered or is gone");
}

/* Between being elected and reading what jobs there are, the replica of the records must have caught up with the term's
 * own record: a job that the predecessor could have started is in it then. */
static void
begin_ownership (HzbController *controller)
{
  hzb_ownership_begin_epoch (controller->ownership);
  controller->shard =
      hzb_shard_new (controller->settings, hzb_fencing_token (hzb_election_term (controller->election), 0));
  hzb_shard_leases_reset (controller->shard_leases);
  hzb_records_reset (controller->records);
  hzb_reconciliation_reset (controller->reconciliation);
  hzb_completed_job_archive_reset (controller->completed_job_archive);
  hzb_provisioning_reset (controller->provisioning);
  g_clear_pointer (&controller->owner_load_cursor, g_free);
  hzb_machines_clear (controller->machines);
  hzb_jobs_begin_ownership (controller->jobs, controller->shard);
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_LOADING, "elected");
  ask_for_owner_page (controller);
}

static void
end_ownership (HzbController *controller)
{
  hzb_ownership_begin_epoch (controller->ownership);
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_NONE, "not the leader any more");
  hzb_records_reset (controller->records);
  hzb_reconciliation_reset (controller->reconciliation);
  hzb_completed_job_archive_reset (controller->completed_job_archive);
  hzb_jobs_end_ownership (controller->jobs);
  hzb_machines_clear (controller->machines);
  g_clear_pointer (&controller->shard, hzb_shard_free);
}

void
hzb_controller_begin_leased (HzbController *controller, guint64 fencing_token)
{
  hzb_ownership_begin_epoch (controller->ownership);
  controller->shard = hzb_shard_new_leased (controller->settings, fencing_token);
  controller->jobs->leaseholder = TRUE;
  hzb_machines_clear (controller->machines);
  hzb_leaseholder_clear (controller->leaseholder);
  hzb_jobs_begin_ownership (controller->jobs, controller->shard);
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_LEASEHOLDER, "the leader leased us a block");
}

void
hzb_controller_end_leased (HzbController *controller, const char *why)
{
  if (!hzb_ownership_is_leaseholder (controller->ownership))
    return;
  hzb_ownership_begin_epoch (controller->ownership);
  hzb_ownership_set_state (controller->ownership, HZB_OWNERSHIP_NONE, why);
  hzb_jobs_end_ownership (controller->jobs);
  hzb_machines_clear (controller->machines);
  hzb_leaseholder_clear (controller->leaseholder);
  g_clear_pointer (&controller->shard, hzb_shard_free);
}

/* ---- connectivity ---- */

/* Guards against a leader that only the workers can't reach: they are sent back to it by all others, until every
 * lease is over and all work is lost. That all machines fall silent together for any other reason is rare, and then a change
 * of leader costs little. In a small fleet it does happen, again and again, and each leader would have to wait for their
 * leases: so after one change for this reason others must have sent workers here lately. */
static gboolean
no_worker_heartbeats (HzbController *controller)
{
  struct timespec now = hzb_clock_now (controller->clock);
  double quiet = 1.25 * controller->settings->heartbeat_interval_s + 1.5;
  guint n = 0;

  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      const HzbMachine *machine = controller->machines->all->pdata[i];
      if (!hzb_time_is_set (machine->last_heartbeat) || machine->state == HZB_MACHINE_LEASED
          || machine->state == HZB_MACHINE_RETURNING || machine->state == HZB_MACHINE_LEASE_EXPIRED)
        continue;
      if (hzb_time_between (machine->last_heartbeat, now) < quiet)
        return FALSE;
      n += machine->verified;
    }
  return n >= 3 && (!hzb_peers_any_lost_workers (controller->peers) || hzb_peers_any_sends_workers (controller->peers));
}

/* In an outage of the key-value store for all, an owner goes on answering workers, so that their leases live.
 * One that is refused alone, or cut off from everything, steps down, so that one that is not can lead. */
static void
check_own_connectivity (HzbController *controller)
{
  double silence = hzb_kv_client_unresponsive_s (controller->kv);

  if (hzb_election_leading (controller->election) && silence < 2.5 && hzb_peers_any_reachable (controller->peers)
      && controller->settings->peers->len && no_worker_heartbeats (controller))
    {
      controller->node->workers_lost_at = hzb_clock_now (controller->clock);
      hzb_election_step_down (controller->election, "no worker reports any more, while all else can be reached");
      hzb_election_back_off (controller->election, 20);
      return;
    }
  if (!hzb_election_leading (controller->election) || silence < 5)
    return;
  if (hzb_peers_any_reaches_kv (controller->peers))
    hzb_election_step_down (controller->election, "the state service refuses this node alone");
  else if (!hzb_peers_any_reachable (controller->peers))
    hzb_election_step_down (controller->election, "neither the state service nor a peer can be reached");
}

/* ---- life ---- */

void
hzb_controller_tick (HzbController *controller)
{
  struct timespec now = hzb_clock_now (controller->clock);

  if (hzb_time_is_set (controller->last_tick))
    hzb_dispatch_note_lag (controller->dispatch, hzb_time_between (controller->last_tick, now) - HZB_TICK_MS / 1000.0);
  controller->last_tick = now;

  hzb_kv_client_pump (controller->kv);
  hzb_cloud_client_pump (controller->cloud);
  hzb_kv_replica_tick (controller->kv_replica);
  /* In a rollout the others are about to be replaced: whoever leads after them should be one that is not. */
  hzb_election_set_eager (controller->election,
                          controller->node->schema_version == HZB_SCHEMA_VERSION
                              && hzb_election_schema_version (controller->election) < HZB_SCHEMA_VERSION
                              && hzb_peers_any_older_schema (controller->peers));
  hzb_election_tick (controller->election, hzb_kv_replica_is_fresh (controller->kv_replica));
  check_own_connectivity (controller);
  if (hzb_election_leading (controller->election))
    hzb_controller_end_leased (controller, "this node leads now");
  if (hzb_election_leading (controller->election) && hzb_ownership_state (controller->ownership) != HZB_OWNERSHIP_NONE
      && hzb_fencing_token_term (controller->shard->fencing_token) != hzb_election_term (controller->election))
    end_ownership (controller); /* elected anew before the loss was seen */
  if (hzb_election_leading (controller->election) && hzb_ownership_state (controller->ownership) == HZB_OWNERSHIP_NONE
      && hzb_kv_replica_state (controller->kv_replica) == HZB_KV_REPLICA_FOLLOWING
      && hzb_election_term_replicated (controller->election))
    begin_ownership (controller);
  else if (!hzb_election_leading (controller->election)
           && hzb_ownership_state (controller->ownership) > HZB_OWNERSHIP_LEASEHOLDER)
    end_ownership (controller);
  if (hzb_ownership_state (controller->ownership) == HZB_OWNERSHIP_LOADING && !controller->owner_page_asked
      && !hzb_time_before (now, controller->next_owner_page))
    ask_for_owner_page (controller);
  if (hzb_ownership_state (controller->ownership) == HZB_OWNERSHIP_READY
      && controller->node->schema_version == HZB_SCHEMA_VERSION
      && hzb_election_schema_version (controller->election) < HZB_SCHEMA_VERSION
      && hzb_peers_all_support_schema (controller->peers, HZB_SCHEMA_VERSION))
    hzb_election_raise_schema_version (controller->election);
  if (hzb_election_leading (controller->election))
    hzb_shard_leases_tick (controller->shard_leases, now);
  else
    hzb_leaseholder_tick (controller->leaseholder, now);
  if (hzb_ownership_is_leaseholder (controller->ownership) && !hzb_time_before (now, controller->dispatch->next_run))
    {
      controller->dispatch->next_run = hzb_time_plus (now, 0.2);
      hzb_dispatch_run (controller->dispatch, now);
    }
  if (hzb_ownership_is_leaseholder (controller->ownership) && !hzb_time_before (now, controller->next_plan))
    {
      controller->next_plan = hzb_time_plus (now, 1);
      hzb_dispatch_consolidate (controller->dispatch, now);
    }
  if (hzb_ownership_state (controller->ownership) >= HZB_OWNERSHIP_RECOVERING)
    hzb_leader_maintenance_tick (controller, now);
  hzb_provisioning_tick (controller->provisioning, now);
  hzb_peers_tick (controller->peers, now);
  hzb_cancellations_tick (controller->cancellations, now);
  hzb_user_api_tick (controller->api);
}

static void
on_answered (HzbHttpRequest *http_request, guint status, gpointer user)
{
  HzbController *controller = user;
  hzb_metrics_answered (controller->metrics, (HzbMetricKind) http_request->kind, status,
                        hzb_time_between (http_request->began, hzb_clock_now (controller->clock)));
}

static HzbMetricKind
kind_of (const HzbHttpRequest *http_request)
{
  gboolean post = g_str_equal (http_request->method, "POST");
  if (g_str_equal (http_request->path, hzb_path_worker_heartbeat))
    return HZB_METRIC_HEARTBEAT;
  if (!g_str_has_prefix (http_request->path, hzb_path_jobs))
    return HZB_METRIC_OTHER;
  if (g_str_has_suffix (http_request->path, hzb_path_cancel))
    return HZB_METRIC_CANCEL;
  return post ? HZB_METRIC_SUBMIT : HZB_METRIC_STATUS;
}

void
hzb_controller_request (HzbHttpRequest *http_request, gpointer data)
{
  HzbController *controller = data;

  http_request->began = hzb_clock_now (controller->clock);
  http_request->kind = kind_of (http_request);
  http_request->done = on_answered;
  http_request->done_user = controller;

  if (g_str_equal (http_request->path, hzb_path_worker_heartbeat))
    {
      if (g_str_equal (http_request->method, "POST"))
        hzb_worker_api_heartbeat (controller->worker_api, http_request);
      else
        hzb_http_request_respond (http_request, 405, hzb_error_response_encode ("POST a report here"), 0);
    }
  else if (g_str_equal (http_request->path, hzb_path_ready))
    {
      if (!g_str_equal (http_request->method, "GET"))
        hzb_http_request_respond (http_request, 405, hzb_error_response_encode ("GET here"), 0);
      else if (hzb_controller_ready (controller))
        hzb_http_request_respond (http_request, 200, g_strdup ("{\"ready\":true}"), 0);
      else
        hzb_http_request_respond (http_request, 503, hzb_error_response_encode ("not ready"), 1);
    }
  else if (!hzb_admin_request (controller->admin, http_request))
    hzb_user_api_request (controller->api, http_request);
}

void
hzb_controller_peer_request (HzbHttpRequest *http_request, gpointer data)
{
  HzbController *controller = data;
  hzb_peers_handle_request (controller->peers, http_request);
}
