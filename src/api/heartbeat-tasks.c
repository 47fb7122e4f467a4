/* Applies a complete heartbeat to the machine's tasks, both to those that the heartbeat lists and to those that it does
 * not. */
#include "worker-api-private.h"

/* Returns: TRUE if the heartbeat has a fencing token that no other owner has used for this machine. With such a token,
 * the worker accepts commands of this node alone. */
static gboolean
has_exclusive_fencing_token (const HzbHeartbeatExchange *exchange)
{
  return exchange->heartbeat->fencing_token >= exchange->machine->first_exclusive_fencing_token
         && exchange->heartbeat->fencing_token <= exchange->machine->fencing_token;
}

/* Returns: TRUE if the heartbeat is from a new machine. A machine in state booting was not recorded by an earlier
 * leader, since after a failover every recorded machine is unverified. If its worker has seen no fencing token either,
 * the worker has received no command, so the machine has no task. */
static gboolean
is_from_new_machine (const HzbHeartbeatExchange *exchange)
{
  return exchange->heartbeat->fencing_token == 0 && exchange->machine->state == HZB_MACHINE_BOOTING
         && exchange->machine->known_to_cloud && !exchange->heartbeat->task_statuses->len;
}

gboolean
hzb_heartbeat_is_complete (const HzbHeartbeatExchange *exchange)
{
  return has_exclusive_fencing_token (exchange) || is_from_new_machine (exchange);
}

static void
mark_verified (HzbWorkerApi *api, HzbMachine *machine)
{
  if (machine->state == HZB_MACHINE_BOOTING || machine->state == HZB_MACHINE_UNVERIFIED
      || machine->state == HZB_MACHINE_LEASE_EXPIRED)
    hzb_machine_set_state (api->dependencies.machines, machine, HZB_MACHINE_ACTIVE,
                           "its heartbeat has a fencing token of this controller");
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

/* Whether the start command of a task that the heartbeat does not list may still reach the worker. */
static gboolean
start_may_arrive (const HzbHeartbeatExchange *exchange, const HzbTask *task)
{
  return task->state == HZB_TASK_STARTING
         && hzb_sent_starts_may_arrive (exchange->machine->sent_starts, task->job->uid, task->index, task->attempt,
                                        exchange->heartbeat->fencing_token, exchange->now);
}

/* Sets each task that the heartbeat does not list to pending. Such a task is not on the machine: either the start
 * command was lost, or the task has ended. While a late copy of the start command may still arrive, the task stays, and
 * the command is repeated (hzb_dispatch_start_tasks()). The start command of a reserved task has not been sent yet, so
 * the heartbeat need not list it.
 *
 * Returns: the number of these tasks for which the previous response had a start command */
static guint
release_unreported (HzbWorkerApi *api, const HzbHeartbeatExchange *exchange)
{
  HzbMachine *machine = exchange->machine;
  guint never_started = 0;

  for (guint i = 0; i < machine->tasks->len;)
    {
      HzbTask *task = machine->tasks->pdata[i];
      gboolean listed = task->last_heartbeat_round == machine->heartbeat_count;
      if (task->state == HZB_TASK_STARTING)
        never_started++;
      if (task->state == HZB_TASK_RESERVED || listed || start_may_arrive (exchange, task))
        i++;
      else
        /* This also removes the task from machine->tasks. */
        hzb_task_set_state (api->dependencies.jobs, task, HZB_TASK_PENDING, NULL);
    }
  return never_started;
}

/* Counts the attempts that the heartbeat lists and that this node does not count as being on the machine: the next
 * heartbeat lists them again, unless they are reaped. */
static void
count_listed_others (HzbMachine *machine, guint listed)
{
  guint tracked = 0;

  for (guint i = 0; i < machine->tasks->len; i++)
    tracked += ((HzbTask *) machine->tasks->pdata[i])->last_heartbeat_round == machine->heartbeat_count;
  machine->listed_others = listed - MIN (tracked, listed);
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
  never_started = release_unreported (api, exchange);
  count_listed_others (machine, task_statuses->len);
  /* If the heartbeat lists at least one of the starting tasks, the worker has received an earlier response. */
  if (starting)
    machine->ignored_responses = never_started < starting ? 0 : machine->ignored_responses + 1;
  if (machine->tasks->len)
    machine->idle_since = exchange->now;
  if (exchange->heartbeat->notice_s >= 0)
    hzb_reclaim_notice_apply (api, exchange);
  hzb_dispatch_reset_estimates (api->dependencies.dispatch, machine, exchange->now);
}
