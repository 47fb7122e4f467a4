/* Decides whether this node may answer a heartbeat, and finds the machine that sent it. The statuses of tasks are not
 * examined here.
 *
 * Only the node that owns the sender responds to a heartbeat: the leader, or the leaseholder of the machine's shard.
 * All other nodes redirect the worker. */
#include "worker-api-private.h"

/* A network partition may delay or duplicate heartbeats. Once an agent epoch has certainly ended, every heartbeat of
 * that epoch is out of date, whatever its sequence number.
 *
 * Returns: TRUE if the heartbeat is out of date */
static gboolean
is_stale (const HzbMachine *machine, const HzbWorkerHeartbeat *heartbeat)
{
  return heartbeat->agent_epoch < machine->agent_epoch
         || (heartbeat->agent_epoch == machine->agent_epoch && heartbeat->sequence <= machine->sequence)
         || heartbeat->agent_epoch <= machine->expired_agent_epoch;
}

static void
refuse_stale (HzbHeartbeatExchange *exchange)
{
  hzb_heartbeat_refuse (exchange, 503, "an older report", 0);
}

static void
redirect_to_leader (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  api->dependencies.node->redirected_at = hzb_clock_now (api->dependencies.node->clock);
  hzb_heartbeat_redirect (exchange, hzb_election_leader (api->dependencies.election));
}

static gboolean
decode_heartbeat (HzbHeartbeatExchange *exchange)
{
  g_autoptr (GError) error = NULL;

  exchange->heartbeat =
      hzb_worker_heartbeat_decode (exchange->http_request->body, exchange->http_request->length, &error);
  if (!exchange->heartbeat)
    hzb_heartbeat_refuse (exchange, 400, error->message, 0);
  return exchange->heartbeat != NULL;
}

/* ---- on a leaseholder ---- */

/* Returns: (nullable): the machine; NULL if it does not belong to the shard, the lease on the shard has expired, or the
 * worker has seen a higher fencing token than this leaseholder has; in the last case the machine goes back to the
 * leader */
static HzbMachine *
find_leased_machine (HzbWorkerApi *api, const HzbWorkerHeartbeat *heartbeat)
{
  HzbMachine *machine = hzb_leaseholder_lease_valid (api->dependencies.leaseholder)
                            ? hzb_machines_find (api->dependencies.machines, heartbeat->host)
                            : NULL;
  if (machine && heartbeat->fencing_token > machine->fencing_token)
    {
      /* The reason is part of the message to the leader, so its text must not change. */
      hzb_leaseholder_return_machine (api->dependencies.leaseholder, machine, "it has seen a newer token");
      return NULL;
    }
  return machine;
}

/* ---- on the leader ---- */

/* If the worker has seen the fencing token of a later term, another leader was elected.
 *
 * Returns: TRUE if this node has stepped down and has refused the heartbeat */
static gboolean
step_down_if_superseded (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  if (hzb_fencing_token_term (exchange->heartbeat->fencing_token) <= hzb_election_term (api->dependencies.election))
    return FALSE;
  hzb_election_step_down (api->dependencies.election, "a worker has seen the fencing token of a later term");
  hzb_heartbeat_refuse (exchange, 503, "superseded", 0);
  return TRUE;
}

/* Responds while the leader has not read its records yet. The response renews the machine's lease, so that running
 * tasks are not ended while an outage of the key-value store prevents the leader from reading its records. */
static void
respond_while_loading (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  guint64 fencing_token = hzb_fencing_token (hzb_election_term (api->dependencies.election), 0);

  hzb_heartbeat_stop_cancelled (api, exchange);
  /* The worker must not get a lower fencing token than it has already seen. */
  hzb_heartbeat_respond (exchange, MAX (fencing_token, exchange->heartbeat->fencing_token));
}

/* Returns: (nullable): the machine, added if it was not known; NULL if the cloud has confirmed that the machine is
 * gone */
static HzbMachine *
find_or_add_machine (HzbWorkerApi *api, const HzbWorkerHeartbeat *heartbeat)
{
  HzbMachine *machine = hzb_machines_find (api->dependencies.machines, heartbeat->host);

  if (!machine && hzb_provisioning_is_machine_gone (api->dependencies.provisioning, heartbeat->host))
    return NULL;
  if (!machine)
    machine = hzb_machines_add (api->dependencies.machines, heartbeat->host, heartbeat->addr, heartbeat->type,
                                heartbeat->zone, heartbeat->spot, HZB_MACHINE_BOOTING);
  if (!machine->fencing_token)
    hzb_machine_set_fencing_token (machine, api->dependencies.jobs->shard->fencing_token);
  return machine;
}

/* A machine without tasks and without a reclaim notice may be leased to another controller now.
 *
 * Returns: (nullable): the leaseholder that owns the machine, by an earlier lease or a new one; NULL: the leader owns
 * it */
static const char *
find_or_assign_leaseholder (HzbWorkerApi *api, HzbMachine *machine, const HzbWorkerHeartbeat *heartbeat)
{
  if (machine->state == HZB_MACHINE_LEASED)
    return hzb_shard_leases_leaseholder_name (api->dependencies.shard_leases, machine);
  if (heartbeat->task_statuses->len == 0 && heartbeat->notice_s < 0)
    return hzb_shard_leases_lease_idle (api->dependencies.shard_leases, machine);
  return NULL;
}

/* The leader sends the leaseholder the agent epoch and sequence number of the machine's newest heartbeat, so both are
 * updated here. The leader sends the lease of the machine only after the machine's record is durable, so the
 * records are flushed here if a flush is due. */
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
  if (!hzb_machine_is_recorded (machine))
    hzb_records_flush_if_due (api->dependencies.records);
  hzb_heartbeat_redirect (exchange, leaseholder);
}

/* Returns: (nullable): the sender, if the leader owns the machine itself; NULL if the heartbeat has been answered */
static HzbMachine *
admit_at_leader (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  const HzbWorkerHeartbeat *heartbeat = exchange->heartbeat;
  const char *leaseholder;
  HzbMachine *machine;

  if (step_down_if_superseded (api, exchange))
    return NULL;
  if (!hzb_ownership_is_loaded_leader (api->dependencies.ownership))
    {
      respond_while_loading (api, exchange);
      return NULL;
    }
  if (!(machine = find_or_add_machine (api, heartbeat)))
    {
      hzb_heartbeat_refuse (exchange, 503, "this machine was returned", 0);
      return NULL;
    }
  /* The worker of a leased machine is redirected to the leaseholder even if the heartbeat is out of date. */
  if (machine->state != HZB_MACHINE_LEASED && is_stale (machine, heartbeat))
    {
      refuse_stale (exchange);
      return NULL;
    }
  /* The worker has seen a higher fencing token of this term than the leader has on record, so the token is raised. */
  if (machine->state != HZB_MACHINE_LEASED && heartbeat->fencing_token > machine->fencing_token)
    hzb_machine_set_fencing_token (machine, hzb_shard_leases_next_fencing_token (api->dependencies.shard_leases));
  if ((leaseholder = find_or_assign_leaseholder (api, machine, heartbeat)))
    {
      redirect_to_leaseholder (api, exchange, machine, leaseholder);
      return NULL;
    }
  return machine;
}

gboolean
hzb_heartbeat_admit (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  if (!exchange->is_leader && !hzb_ownership_is_leaseholder (api->dependencies.ownership))
    {
      redirect_to_leader (api, exchange);
      return FALSE;
    }
  if (!decode_heartbeat (exchange))
    return FALSE;
  /* A controller that was paused, or that can reach only its workers, may have missed a cancellation. Such a controller
   * must not renew the lease of a machine with cancelled tasks: the other controllers rely on that. */
  if (!hzb_cancellations_may_answer_workers (api->dependencies.cancellations))
    {
      hzb_heartbeat_refuse (exchange, 503, "cancellations may have been missed here", 1);
      return FALSE;
    }
  if (exchange->is_leader)
    {
      if (!(exchange->machine = admit_at_leader (api, exchange)))
        return FALSE;
    }
  else if (!(exchange->machine = find_leased_machine (api, exchange->heartbeat)))
    {
      redirect_to_leader (api, exchange);
      return FALSE;
    }
  if (is_stale (exchange->machine, exchange->heartbeat))
    {
      refuse_stale (exchange);
      return FALSE;
    }
  return TRUE;
}
