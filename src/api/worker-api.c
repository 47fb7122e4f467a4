/* Handles heartbeats of workers in steps, from the admission of a heartbeat to the response. worker-api-private.h lists
 * the steps with their source files. */
#include "worker-api-private.h"

HzbWorkerApi *
hzb_worker_api_new (const HzbWorkerApiDependencies *dependencies)
{
  HzbWorkerApi *api = g_new0 (HzbWorkerApi, 1);
  api->dependencies = *dependencies;
  return api;
}

void
hzb_worker_api_free (HzbWorkerApi *api)
{
  g_free (api);
}

/* An overloaded leader may lease the machine, with its tasks, to another controller.
 *
 * Returns: (nullable): the leaseholder that owns the machine from now on; NULL: this node remains the owner */
static const char *
hand_over_machine (HzbWorkerApi *api, const HzbHeartbeatExchange *exchange)
{
  const HzbWorkerHeartbeat *heartbeat = exchange->heartbeat;

  /* notice_s >= 0: the cloud is about to reclaim the machine */
  if (!exchange->is_leader || heartbeat->notice_s >= 0 || heartbeat->fencing_token != exchange->machine->fencing_token)
    return NULL;
  return hzb_shard_leases_hand_over (api->dependencies.shard_leases, exchange->machine);
}

/* Returns: TRUE if this node's lease is still valid: then no other node can be the leader yet, or, on a leaseholder,
 * hold this shard yet. Tasks may be started only then, see docs/safety.md. */
static gboolean
holds_valid_lease (HzbWorkerApi *api, const HzbHeartbeatExchange *exchange)
{
  return exchange->is_leader ? hzb_election_is_lease_valid (api->dependencies.election)
                             : hzb_leaseholder_lease_valid (api->dependencies.leaseholder);
}

static void
start_tasks (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  if (!hzb_reachability_is_suspect (exchange->machine) && holds_valid_lease (api, exchange))
    hzb_dispatch_start_tasks (api->dependencies.dispatch, exchange->machine, exchange->now, exchange->commands);
}

/* An incomplete heartbeat may lack tasks, since the worker may still be accepting an earlier owner's commands. So its
 * task statuses are not applied. */
static void
handle_incomplete_heartbeat (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  hzb_heartbeat_stop_cancelled (api, exchange);
  /* The heartbeat bears an older fencing token than the machine's current one. */
  if (exchange->machine->state == HZB_MACHINE_ACTIVE)
    exchange->machine->ignored_responses++;
}

static void
handle_heartbeat (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  const char *leaseholder;

  if (!hzb_heartbeat_admit (api, exchange))
    return;
  hzb_reachability_record_heartbeat (api, exchange);
  if (hzb_heartbeat_is_complete (exchange))
    {
      hzb_heartbeat_apply (api, exchange);
      if ((leaseholder = hand_over_machine (api, exchange)))
        {
          hzb_heartbeat_redirect (exchange, leaseholder);
          return;
        }
      start_tasks (api, exchange);
    }
  else
    handle_incomplete_heartbeat (api, exchange);
  hzb_reachability_mark_if_suspect (api, exchange);
  hzb_reconciliation_count_commands (api->dependencies.reconciliation, exchange->commands);
  hzb_heartbeat_respond (exchange, exchange->machine->fencing_token);
}

void
hzb_worker_api_heartbeat (HzbWorkerApi *api, HzbHttpRequest *http_request)
{
  HzbHeartbeatExchange exchange = { 0 };

  exchange.http_request = http_request;
  exchange.now = hzb_clock_now (api->dependencies.node->clock);
  exchange.is_leader = hzb_election_is_leader (api->dependencies.election);
  exchange.commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
  handle_heartbeat (api, &exchange);
  g_array_unref (exchange.commands);
  g_clear_pointer (&exchange.heartbeat, hzb_worker_heartbeat_free);
}
