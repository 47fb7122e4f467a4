/* Reachability of a machine in both directions.
 *
 * A heartbeat that arrives shows that the machine can reach this node. It does not show that responses reach the
 * machine: a machine whose heartbeats arrive while responses do not reach it is partitioned one way. Such a machine
 * gets no work until its heartbeat has a fencing token that was raised since, which the worker can only have from a
 * response. */
#include "worker-api-private.h"

/* A one-way partition is suspected after this many consecutive heartbeats that show no effect of earlier responses. */
#define ONE_WAY_PARTITION_HEARTBEATS 2u

static void
mark_partitioned_one_way (HzbWorkerApi *api, HzbMachine *machine, struct timespec now)
{
  if (machine->unreachable)
    return;
  if (hzb_ownership_is_leaseholder (api->dependencies.ownership))
    machine->unreachable = TRUE; /* the machine is returned to the leader, which can raise its fencing token */
  else
    hzb_machine_mark_unreachable (machine, hzb_shard_leases_next_fencing_token (api->dependencies.shard_leases), now);
  hzb_machine_clear_run_queues (api->dependencies.jobs, machine);
}

/* A worker begins a new agent epoch after its lease has expired, which ends all tasks on the machine. If the lease of a
 * verified machine has expired although every heartbeat was answered, the responses did not reach the machine. */
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
  machine->last_heartbeat = machine->last_response = exchange->now;
  set_address_if_unknown (machine, heartbeat);
  if (!machine->recorded)
    hzb_records_flush_if_due (api->dependencies.records);
  /* The heartbeat has the fencing token that was raised for this machine, so a response has reached the worker. */
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
hzb_reachability_check (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  if (hzb_reachability_is_suspect (exchange->machine))
    mark_partitioned_one_way (api, exchange->machine, exchange->now);
}
