/* Reachability of a machine in both directions.
 *
 * That a heartbeat arrived shows that the machine reaches this node. It does not show that the answer reached the machine:
 * a machine whose heartbeats arrive while answers do not reach it is partitioned one way. Such a machine gets no work until
 * it shows a fencing token that was raised since, which it can only have learned from an answer. */
#include "worker-api-private.h"

/* Heartbeats in a row that show no effect of the answers before them. */
#define ONE_WAY_PARTITION_AFTER 2u

static void
mark_partitioned_one_way (HzbWorkerApi *api, HzbMachine *machine, struct timespec now)
{
  if (machine->unreachable)
    return;
  if (hzb_ownership_is_leaseholder (api->with.ownership))
    machine->unreachable = TRUE; /* it is returned to the leader, which can raise its fencing token */
  else
    hzb_machine_mark_unreachable (machine, hzb_shard_leases_next_fencing_token (api->with.shard_leases), now);
  hzb_machine_clear_run_queues (api->with.jobs, machine);
}

/* A machine begins a new agent epoch when its lease has expired, which ends all its tasks. The lease of a verified machine
 * may expire although each of its heartbeats was answered: then the answers did not reach it. */
static void
note_agent_epoch (HzbWorkerApi *api, HzbMachine *machine, const HzbWorkerHeartbeat *heartbeat, struct timespec now)
{
  if (heartbeat->agent_epoch > machine->agent_epoch && machine->agent_epoch && machine->verified)
    {
      hzb_machine_requeue_tasks (api->with.jobs, machine);
      mark_partitioned_one_way (api, machine, now);
    }
  machine->agent_epoch = heartbeat->agent_epoch;
  machine->sequence = heartbeat->sequence;
}

static void
note_address (HzbMachine *machine, const HzbWorkerHeartbeat *heartbeat)
{
  if (machine->addr && *machine->addr)
    return;
  g_free (machine->addr);
  machine->addr = g_strdup (heartbeat->addr);
}

void
hzb_reachability_note_heartbeat (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  HzbMachine *machine = exchange->machine;
  const HzbWorkerHeartbeat *heartbeat = exchange->heartbeat;

  note_agent_epoch (api, machine, heartbeat, exchange->now);
  machine->last_heartbeat = machine->last_response = exchange->now;
  note_address (machine, heartbeat);
  if (!machine->recorded)
    hzb_records_flush_if_due (api->with.records);
  /* The worker shows the fencing token that was raised for it, so an answer has reached it. */
  if (machine->unreachable && heartbeat->fencing_token == machine->fencing_token)
    {
      machine->unreachable = FALSE;
      machine->ignored_responses = 0;
    }
}

gboolean
hzb_reachability_is_suspect (const HzbMachine *machine)
{
  return machine->ignored_responses >= ONE_WAY_PARTITION_AFTER;
}

void
hzb_reachability_check (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  if (hzb_reachability_is_suspect (exchange->machine))
    mark_partitioned_one_way (api, exchange->machine, exchange->now);
}
