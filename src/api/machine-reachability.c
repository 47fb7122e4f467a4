/* Reachability of a machine in both directions.
 *
 * A heartbeat that arrives shows that the machine can reach this node. It does not show that responses reach the
 * machine: a machine whose heartbeats arrive while responses do not reach it is partitioned one way. The leader raises
 * the fencing token of such a machine and marks the machine as unreachable. The machine gets no work until a heartbeat
 * has the raised token, which the worker can only have from a response. A leaseholder returns such a machine to the
 * leader. */
#include "worker-api-private.h"

/* A one-way partition is suspected after this many consecutive heartbeats that show no effect of earlier responses:
 * without the machine's fencing token, or with none of the tasks that were to start. worker-api.c and heartbeat-tasks.c
 * count these heartbeats in HzbMachine.ignored_responses. */
#define ONE_WAY_PARTITION_HEARTBEATS 2u

static void
mark_partitioned_one_way (HzbWorkerApi *api, HzbMachine *machine, struct timespec now)
{
  if (machine->unreachable)
    return;
  if (hzb_ownership_is_leaseholder (api->dependencies.ownership))
    /* hzb_leaseholder_tick() returns an unreachable machine to the leader, which can raise the machine's fencing
     * token. */
    machine->unreachable = TRUE;
  else
    hzb_machine_mark_unreachable (machine, hzb_shard_leases_next_fencing_token (api->dependencies.shard_leases), now);
  hzb_machine_clear_run_queues (api->dependencies.jobs, machine);
}

/* When the lease of a worker expires, the worker ends all tasks on its machine and begins a new agent epoch. This node
 * answers the heartbeats that arrive, so if the lease of a verified machine expires, the responses are assumed not to
 * have reached the machine. The loss of heartbeats on their way to this node has the same effect and is not told
 * apart. */
static void
update_agent_epoch (HzbWorkerApi *api, HzbMachine *machine, const HzbWorkerHeartbeat *heartbeat, struct timespec now)
{
  if (heartbeat->agent_epoch > machine->agent_epoch && machine->agent_epoch && machine->verified)
    {
      hzb_machine_requeue_tasks (api->dependencies.jobs, machine);
      mark_partitioned_one_way (api, machine, now);
    }
  machine->agent_epoch = heartbeat->agent_epoch;
  machine->sequence = heartbeat->sequence;
}

static void
set_address_if_unknown (HzbMachine *machine, const HzbWorkerHeartbeat *heartbeat)
{
  if (machine->addr && *machine->addr)
    return;
  g_free (machine->addr);
  machine->addr = g_strdup (heartbeat->addr);
}

void
hzb_reachability_record_heartbeat (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  HzbMachine *machine = exchange->machine;
  const HzbWorkerHeartbeat *heartbeat = exchange->heartbeat;

  update_agent_epoch (api, machine, heartbeat, exchange->now);
  /* The response to this heartbeat, which is sent later in the same call, may renew the worker's lease. */
  machine->last_heartbeat = machine->last_response = exchange->now;
  set_address_if_unknown (machine, heartbeat);
  /* A machine gets tasks only after its record is durable. */
  if (!hzb_machine_is_recorded (machine))
    hzb_records_flush_if_due (api->dependencies.records);
  /* If the heartbeat has the fencing token that was raised for this machine, a response has reached the worker. */
  if (machine->unreachable && heartbeat->fencing_token == machine->fencing_token)
    {
      machine->unreachable = FALSE;
      machine->ignored_responses = 0;
    }
}

gboolean
hzb_reachability_is_suspect (const HzbMachine *machine)
{
  return machine->ignored_responses >= ONE_WAY_PARTITION_HEARTBEATS;
}

void
hzb_reachability_mark_if_suspect (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  if (hzb_reachability_is_suspect (exchange->machine))
    mark_partitioned_one_way (api, exchange->machine, exchange->now);
}
