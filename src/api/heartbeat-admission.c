/* Whether this node may answer a heartbeat, and about which machine. Nothing is concluded about tasks here.
 *
 * A heartbeat is answered only by the node that decides about its sender: the leader, or the leaseholder of the machine's
 * shard. All others redirect the worker. */
#include "worker-api-private.h"

/* Whether the heartbeat is out of date: a network partition may delay heartbeats or bring copies of them. Once an agent
 * epoch has ended for certain, every heartbeat of that epoch is out of date, whatever its sequence number. */
static gboolean
is_late (const HzbMachine *machine, const HzbWorkerHeartbeat *heartbeat)
{
  return heartbeat->agent_epoch < machine->agent_epoch
         || (heartbeat->agent_epoch == machine->agent_epoch && heartbeat->sequence <= machine->sequence)
         || heartbeat->agent_epoch <= machine->expired_agent_epoch;
}

static void
refuse_late (HzbHeartbeatExchange *exchange)
{
  hzb_heartbeat_refuse (exchange, 503, "an older report", 0);
}

static void
redirect_to_leader (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  api->with.node->redirected_at = hzb_clock_now (api->with.node->clock);
  hzb_heartbeat_redirect (exchange, hzb_election_leader (api->with.election));
}

static gboolean
decode (HzbHeartbeatExchange *exchange)
{
  g_autoptr (GError) error = NULL;

  exchange->heartbeat =
      hzb_worker_heartbeat_decode (exchange->http_request->body, exchange->http_request->length, &error);
  if (!exchange->heartbeat)
    hzb_heartbeat_refuse (exchange, 400, error->message, 0);
  return exchange->heartbeat != NULL;
}

/* ---- on a leaseholder ---- */

/* Returns: (nullable): the machine, if it belongs to the shard and the lease on the shard has not expired. */
static HzbMachine *
find_leased_machine (HzbWorkerApi *api, const HzbWorkerHeartbeat *heartbeat)
{
  HzbMachine *machine = hzb_leaseholder_lease_valid (api->with.leaseholder)
                            ? hzb_machines_find (api->with.machines, heartbeat->host)
                            : NULL;
  if (machine && heartbeat->fencing_token > machine->fencing_token)
    {
      /* The reason is part of the message to the leader, so its text stays. */
      hzb_leaseholder_return_machine (api->with.leaseholder, machine, "it has seen a newer token");
      return NULL;
    }
  return machine;
}

/* ---- on the leader ---- */

/* A worker that has seen the fencing token of a later term proves that another leader was elected. */
static gboolean
step_down_if_superseded (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  if (hzb_fencing_token_term (exchange->heartbeat->fencing_token) <= hzb_election_term (api->with.election))
    return FALSE;
  hzb_election_step_down (api->with.election, "a worker has seen the fencing token of a later term");
  hzb_heartbeat_refuse (exchange, 503, "superseded", 0);
  return TRUE;
}

/* The leader has not read its records yet. Its answer renews the machine's lease, so that running tasks survive for as long
 * as an outage of the key-value store keeps the leader from reading. */
static void
answer_while_loading (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  guint64 fencing_token = hzb_fencing_token (hzb_election_term (api->with.election), 0);

  hzb_heartbeat_stop_cancelled (api, exchange);
  /* A fencing token that the worker has already seen is not lowered. */
  hzb_heartbeat_respond (exchange, MAX (fencing_token, exchange->heartbeat->fencing_token));
}

/* Returns: (nullable): the machine, added if it was not known; NULL if the cloud has confirmed that it is gone. */
static HzbMachine *
find_or_add_machine (HzbWorkerApi *api, const HzbWorkerHeartbeat *heartbeat)
{
  HzbMachine *machine = hzb_machines_find (api->with.machines, heartbeat->host);

  if (!machine && hzb_provisioning_was_scaled_in (api->with.provisioning, heartbeat->host))
    return NULL;
  if (!machine)
    machine = hzb_machines_add (api->with.machines, heartbeat->host, heartbeat->addr, heartbeat->type, heartbeat->zone,
                                heartbeat->spot, HZB_MACHINE_BOOTING);
  if (!machine->fencing_token)
    hzb_machine_set_fencing_token (machine, api->with.jobs->shard->fencing_token);
  return machine;
}

/* Returns: (nullable): the leaseholder that decides about the machine, by an earlier lease or by one that begins now. */
static const char *
leaseholder_of (HzbWorkerApi *api, HzbMachine *machine, const HzbWorkerHeartbeat *heartbeat)
{
  if (machine->state == HZB_MACHINE_LEASED)
    return hzb_shard_leases_leaseholder_name (api->with.shard_leases, machine);
  if (heartbeat->task_statuses->len == 0 && heartbeat->notice_s < 0)
    return hzb_shard_leases_lease_idle (api->with.shard_leases, machine);
  return NULL;
}

/* The leaseholder learns from the leader which heartbeat of the machine was the newest, and learns of the machine only once
 * the machine is on record. */
static void
redirect_to_leaseholder (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbMachine *machine,
                         const char *leaseholder)
{
  const HzbWorkerHeartbeat *heartbeat = exchange->heartbeat;

  if (heartbeat->agent_epoch > machine->agent_epoch
      || (heartbeat->agent_epoch == machine->agent_epoch && heartbeat->sequence > machine->sequence))
    {
      machine->agent_epoch = heartbeat->agent_epoch;
      machine->sequence = heartbeat->sequence;
    }
  if (!machine->recorded)
    hzb_records_flush_if_due (api->with.records);
  hzb_heartbeat_redirect (exchange, leaseholder);
}

/* Returns: (nullable): the sender, if the leader itself decides about it; NULL if the heartbeat has been answered. */
static HzbMachine *
admit_at_leader (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  const HzbWorkerHeartbeat *heartbeat = exchange->heartbeat;
  const char *leaseholder;
  HzbMachine *machine;

  if (step_down_if_superseded (api, exchange))
    return NULL;
  if (!hzb_ownership_leader_loaded (api->with.ownership))
    {
      answer_while_loading (api, exchange);
      return NULL;
    }
  if (!(machine = find_or_add_machine (api, heartbeat)))
    {
      hzb_heartbeat_refuse (exchange, 503, "this machine was returned", 0);
      return NULL;
    }
  /* The worker of a leased machine is redirected to the leaseholder, whichever of its heartbeats this is. */
  if (machine->state != HZB_MACHINE_LEASED && is_late (machine, heartbeat))
    {
      refuse_late (exchange);
      return NULL;
    }
  /* The worker has seen a fencing token of this term that the leader no longer knows of: the leader's must not be lower. */
  if (machine->state != HZB_MACHINE_LEASED && heartbeat->fencing_token > machine->fencing_token)
    hzb_machine_set_fencing_token (machine, hzb_shard_leases_next_fencing_token (api->with.shard_leases));
  if ((leaseholder = leaseholder_of (api, machine, heartbeat)))
    {
      redirect_to_leaseholder (api, exchange, machine, leaseholder);
      return NULL;
    }
  return machine;
}

gboolean
hzb_heartbeat_admit (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  if (!exchange->leads && !hzb_ownership_is_leaseholder (api->with.ownership))
    {
      redirect_to_leader (api, exchange);
      return FALSE;
    }
  if (!decode (exchange))
    return FALSE;
  /* A controller that was paused, or that reaches only its workers, may have missed a cancellation. The other
   * controllers rely on it to renew no lease of cancelled work meanwhile. */
  if (!hzb_cancellations_may_answer_workers (api->with.cancellations))
    {
      hzb_heartbeat_refuse (exchange, 503, "cancellations may have been missed here", 1);
      return FALSE;
    }
  if (exchange->leads)
    {
      if (!(exchange->machine = admit_at_leader (api, exchange)))
        return FALSE;
    }
  else if (!(exchange->machine = find_leased_machine (api, exchange->heartbeat)))
    {
      redirect_to_leader (api, exchange);
      return FALSE;
    }
  if (is_late (exchange->machine, exchange->heartbeat))
    {
      refuse_late (exchange);
      return FALSE;
    }
  return TRUE;
}
