/* What a complete heartbeat says of the machine's tasks: those that it lists, and those that it does not list. */
#include "worker-api-private.h"

/* Under a fencing token that no other owner has used for this machine, the worker obeys this node alone. */
static gboolean
was_sent_under_our_fencing_token (const HzbHeartbeatExchange *exchange)
{
  return exchange->heartbeat->fencing_token >= exchange->machine->first_exclusive_fencing_token
         && exchange->heartbeat->fencing_token <= exchange->machine->fencing_token;
}

/* A booting machine was never recorded by any leader: after a failover every recorded machine is unverified, not booting. If
 * it has seen no fencing token either, it has obeyed no one and holds no task. */
static gboolean
is_of_new_machine (const HzbHeartbeatExchange *exchange)
{
  return exchange->heartbeat->fencing_token == 0 && exchange->machine->state == HZB_MACHINE_BOOTING
         && exchange->machine->known_to_cloud && !exchange->heartbeat->task_statuses->len;
}

gboolean
hzb_heartbeat_is_complete (const HzbHeartbeatExchange *exchange)
{
  return was_sent_under_our_fencing_token (exchange) || is_of_new_machine (exchange);
}

static void
mark_verified (HzbWorkerApi *api, HzbMachine *machine)
{
  if (machine->state == HZB_MACHINE_BOOTING || machine->state == HZB_MACHINE_UNVERIFIED
      || machine->state == HZB_MACHINE_LEASE_EXPIRED)
    hzb_machine_set_state (api->with.machines, machine, HZB_MACHINE_ACTIVE, "sends heartbeats under our fencing token");
  machine->verified = TRUE;
}

static guint
count_starting (const HzbMachine *machine)
{
  guint starting = 0;
  for (guint i = 0; i < machine->tasks->len; i++)
    starting += ((HzbTask *) machine->tasks->pdata[i])->state == HZB_TASK_STARTING;
  return starting;
}

/* A task that a newer heartbeat does not show is not on the machine: either the start command was lost, or the task is
 * gone. A reservation has not been sent to the machine yet, so it is not expected there.
 *
 * Returns: for how many of those tasks the response before had a start command */
static guint
release_unreported (HzbWorkerApi *api, HzbMachine *machine)
{
  guint never_started = 0;

  for (guint i = 0; i < machine->tasks->len;)
    {
      HzbTask *task = machine->tasks->pdata[i];
      if (task->state == HZB_TASK_STARTING)
        never_started++;
      if (task->state == HZB_TASK_RESERVED || task->last_heartbeat_round == machine->heartbeat_count)
        i++;
      else
        hzb_task_set_state (api->with.jobs, task, HZB_TASK_PENDING, NULL); /* takes the task off machine->tasks */
    }
  return never_started;
}

void
hzb_heartbeat_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  HzbMachine *machine = exchange->machine;
  const GArray *task_statuses = exchange->heartbeat->task_statuses;
  guint starting, never_started;

  machine->heartbeat_count++;
  machine->quarantined = 0;
  mark_verified (api, machine);
  starting = count_starting (machine);
  for (guint i = 0; i < task_statuses->len; i++)
    hzb_task_status_apply (api, exchange, &g_array_index (task_statuses, HzbTaskStatus, i));
  never_started = release_unreported (api, machine);
  if (starting)
    machine->ignored_responses = never_started < starting ? 0 : machine->ignored_responses + 1;
  if (machine->tasks->len)
    machine->idle_since = exchange->now;
  if (exchange->heartbeat->notice_s >= 0)
    hzb_reclaim_notice_apply (api, exchange);
  hzb_dispatch_reset_estimates (api->with.dispatch, machine, exchange->now);
}
