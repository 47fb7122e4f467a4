/* Answers heartbeats of workers: the table of contents. Each step is in the file that worker-api-private.h names. */
#include "worker-api-private.h"

HzbWorkerApi *
hzb_worker_api_new (const HzbWorkerApiDependencies *dependencies)
{
  HzbWorkerApi *api = g_new0 (HzbWorkerApi, 1);
  api->with = *dependencies;
  return api;
}

void
hzb_worker_api_free (HzbWorkerApi *api)
{
  g_free (api);
}

/* Returns: (nullable): the leaseholder that decides about the machine, tasks and all, from now on. */
static const char *
hand_over (HzbWorkerApi *api, const HzbHeartbeatExchange *exchange)
{
  const HzbWorkerHeartbeat *heartbeat = exchange->heartbeat;

  if (!exchange->leads || heartbeat->notice_s >= 0 || heartbeat->fencing_token != exchange->machine->fencing_token)
    return NULL;
  return hzb_shard_leases_hand_over (api->with.shard_leases, exchange->machine);
}

/* No other node can have been elected, or leased the shard, up to this moment: only then may tasks be started, see
 * docs/safety.md. */
static gboolean
authority_is_certain (HzbWorkerApi *api, const HzbHeartbeatExchange *exchange)
{
  return exchange->leads ? hzb_election_is_lease_valid (api->with.election)
                         : hzb_leaseholder_lease_valid (api->with.leaseholder);
}

static void
start_tasks (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  if (!hzb_reachability_is_suspect (exchange->machine) && authority_is_certain (api, exchange))
    hzb_dispatch_start_tasks (api->with.dispatch, exchange->machine, exchange->now, exchange->commands);
}

/* The worker may still obey an earlier owner, so nothing about its tasks is concluded from this heartbeat. */
static void
apply_incomplete (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  hzb_heartbeat_stop_cancelled (api, exchange);
  if (exchange->machine->state == HZB_MACHINE_ACTIVE)
    exchange->machine->ignored_responses++; /* the worker has not seen the fencing token that it was answered under */
}

static void
answer_heartbeat (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  const char *leaseholder;

  if (!hzb_heartbeat_admit (api, exchange))
    return;
  hzb_reachability_note_heartbeat (api, exchange);
  if (hzb_heartbeat_is_complete (exchange))
    {
      hzb_heartbeat_apply (api, exchange);
      if ((leaseholder = hand_over (api, exchange)))
        {
          hzb_heartbeat_redirect (exchange, leaseholder);
          return;
        }
      start_tasks (api, exchange);
    }
  else
    apply_incomplete (api, exchange);
  hzb_reachability_check (api, exchange);
  hzb_reconciliation_note_commands (api->with.reconciliation, exchange->commands);
  hzb_heartbeat_respond (exchange, exchange->machine->fencing_token);
}

void
hzb_worker_api_heartbeat (HzbWorkerApi *api, HzbHttpRequest *http_request)
{
  HzbHeartbeatExchange exchange = { 0 };

  exchange.http_request = http_request;
  exchange.now = hzb_clock_now (api->with.node->clock);
  exchange.leads = hzb_election_is_leader (api->with.election);
  exchange.commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
  answer_heartbeat (api, &exchange);
  g_array_unref (exchange.commands);
  g_clear_pointer (&exchange.heartbeat, hzb_worker_heartbeat_free);
}
