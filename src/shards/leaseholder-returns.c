/* What the leaseholder gives back to the leader: unstarted tasks, and machines that it does not need or cannot use. */
#include "leaseholder-private.h"

#define UNSTARTED_TTL_S 6.0         /* a task that has not started for so long goes back */
#define IDLE_S 10.0                 /* a machine that has been idle for so long goes back */
#define MISSED_HEARTBEATS 3         /* a machine that has sent no heartbeat for so many intervals goes back */
#define MAX_RETURNED_PER_EVENT 800u /* tasks, up to 30 bytes each: the event has to fit a poll */
#define MAINTENANCE_INTERVAL_S 0.5  /* how often tasks that have to go back are looked for */

/* ---- machines ---- */

/* Returns: (transfer full): the return of a machine, with all tasks that may be on it; these are the leader's from now on */
static HzbMachineReturn *
give_up_machine (HzbJobs *jobs, HzbMachine *machine, const char *why)
{
  HzbMachineReturn *returned = hzb_machine_return_new (machine->name, why, machine->agent_epoch, machine->sequence);

  returned->faulty = machine->scale_in_requested && !machine->recall_requested;
  hzb_machine_clear_run_queues (jobs, machine);
  while (machine->tasks->len)
    {
      HzbTask *task = machine->tasks->pdata[machine->tasks->len - 1];
      guint before = machine->tasks->len;
      if (task->state == HZB_TASK_RESERVED)
        hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
      else
        {
          hzb_held_tasks_add (returned->lost, task);
          hzb_task_set_state (jobs, task, HZB_TASK_OTHER_OWNER, NULL);
        }
      g_return_val_if_fail (machine->tasks->len < before, returned);
    }
  return returned;
}

void
hzb_leaseholder_return_machine (HzbLeaseholder *leaseholder, HzbMachine *machine, const char *why)
{
  HzbMachines *machines = leaseholder->modules.machines;
  HzbShardEvent *event = hzb_shard_event_new ();

  event->machine = give_up_machine (leaseholder->modules.jobs, machine, why);
  hzb_leaseholder_push (leaseholder, event);
  hzb_machine_set_state (machines, machine, HZB_MACHINE_RETURNING, why);
  hzb_machine_set_state (machines, machine, HZB_MACHINE_GONE, "given back to the leader");
  hzb_machines_remove (machines, machine);
}

typedef enum
{
  STAYS,
  UNRESPONSIVE, /* the machine sends no heartbeats */
  UNREACHABLE,  /* its heartbeats do not show what it was answered: the answers seem not to arrive */
  FAULTY,       /* tasks fail on the machine, and not because of their jobs */
  RECLAIMED,    /* the cloud has announced that it takes the machine back */
  RECALLED,     /* the leader asked for it */
  IDLE,         /* the machine has had no task for a while */
  N_REASONS_TO_RETURN
} ReasonToReturn;

/* These go over the wire. */
static const char *const reason_texts[N_REASONS_TO_RETURN] = {
  [UNRESPONSIVE] = "it is silent",        [UNREACHABLE] = "it does not seem to hear its answers",
  [FAULTY] = "it fails what it starts",   [RECLAIMED] = "the cloud takes it back",
  [RECALLED] = "the leader asked for it", [IDLE] = "it has nothing to do",
};

static ReasonToReturn
reason_to_return (const HzbMachine *machine, double heartbeat_interval_s, struct timespec now)
{
  gboolean empty = machine->tasks->len == 0;

  if (hzb_time_between (machine->last_heartbeat, now) > MISSED_HEARTBEATS * heartbeat_interval_s)
    return UNRESPONSIVE;
  if (machine->unreachable)
    return UNREACHABLE;
  if (machine->scale_in_requested && empty)
    return FAULTY;
  if (machine->state == HZB_MACHINE_DRAINING && empty)
    return RECLAIMED;
  if (machine->recall_requested && (empty || (machine->recall_at_once && machine->state == HZB_MACHINE_ACTIVE)))
    return RECALLED;
  if (machine->state == HZB_MACHINE_ACTIVE && empty && hzb_machine_queued_tasks (machine) == 0
      && hzb_time_between (machine->idle_since, now) > IDLE_S)
    return IDLE;
  return STAYS;
}

static void
return_machines (HzbLeaseholder *leaseholder, struct timespec now)
{
  const GPtrArray *machines = leaseholder->modules.machines->all;
  double heartbeat_interval_s = leaseholder->modules.node->settings->heartbeat_interval_s;

  for (guint i = machines->len; i-- > 0;)
    {
      HzbMachine *machine = machines->pdata[i];
      ReasonToReturn reason = reason_to_return (machine, heartbeat_interval_s, now);
      if (reason == STAYS)
        continue;
      if (reason == RECLAIMED)
        machine->scale_in_requested = TRUE; /* so that the leader returns it to the cloud */
      hzb_leaseholder_return_machine (leaseholder, machine, reason_texts[reason]);
    }
}

/* ---- tasks ---- */

void
hzb_leaseholder_push_returned (HzbLeaseholder *leaseholder, HzbTaskGroups *tasks)
{
  HzbShardEvent *event = hzb_shard_event_new ();
  event->returned = tasks;
  hzb_leaseholder_push (leaseholder, event);
}

/* Tasks on their way back, in events that are not too large. */
typedef struct
{
  HzbLeaseholder *leaseholder;
  HzbTaskGroups *tasks; /* (nullable): of the event that is not complete yet */
  guint n;              /* of these tasks */
} ReturnedTasks;

static void
push_event (ReturnedTasks *returned)
{
  if (!returned->tasks)
    return;
  hzb_leaseholder_push_returned (returned->leaseholder, g_steal_pointer (&returned->tasks));
  returned->n = 0;
}

static void
return_task (ReturnedTasks *returned, HzbTask *task)
{
  HzbJobs *jobs = returned->leaseholder->modules.jobs;

  if (task->state == HZB_TASK_QUEUED)
    hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
  g_queue_remove (&task->job->retry, task);
  hzb_task_set_state (jobs, task, HZB_TASK_OTHER_OWNER, NULL);
  if (!returned->tasks)
    returned->tasks = hzb_task_groups_new ();
  hzb_task_groups_add (returned->tasks, task);
  if (++returned->n >= MAX_RETURNED_PER_EVENT)
    push_event (returned);
}

/* Of a terminal job all unstarted tasks go back, of others those that have waited for too long. */
static void
return_tasks_of (ReturnedTasks *returned, HzbJob *job, struct timespec now)
{
  gboolean terminal = job->state != HZB_JOB_ACCEPTED;

  for (guint k = 0; (job->pending || job->queued) && k < job->n_tasks; k++)
    {
      HzbTask *task = &job->tasks[k];
      if ((task->state == HZB_TASK_PENDING || task->state == HZB_TASK_QUEUED)
          && (terminal || hzb_time_between (task->since, now) >= UNSTARTED_TTL_S))
        return_task (returned, task);
    }
}

static void
return_unstarted_tasks (HzbLeaseholder *leaseholder, struct timespec now)
{
  HzbJobs *jobs = leaseholder->modules.jobs;
  ReturnedTasks returned = { leaseholder, NULL, 0 };

  for (guint i = 0; i < jobs->active->len; i++)
    {
      HzbJob *job = jobs->active->pdata[i];
      return_tasks_of (&returned, job, now);
      if (job->state != HZB_JOB_ACCEPTED && !job->placed && !job->pending && !job->queued)
        {
          hzb_jobs_retire (jobs, job);
          i--;
        }
    }
  push_event (&returned);
}

void
hzb_leaseholder_return_unneeded (HzbLeaseholder *leaseholder, struct timespec now)
{
  return_machines (leaseholder, now);
  if (hzb_time_before (now, leaseholder->next_maintenance))
    return;
  leaseholder->next_maintenance = hzb_time_plus (now, MAINTENANCE_INTERVAL_S);
  return_unstarted_tasks (leaseholder, now);
}
