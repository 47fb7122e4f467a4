/* The leaseholder returns unstarted tasks, and machines that it does not need or cannot use, to the leader. */
#include "leaseholder-private.h"
#include "task-table.h"

#define UNSTARTED_TTL_S 6.0            /* a task that has not started within this time is returned */
#define MAX_IDLE_S 10.0                /* a machine that has been idle for longer is returned */
#define MAX_MISSED_HEARTBEATS 3        /* a machine without a heartbeat for more intervals than this is returned */
#define MAX_RETURNED_PER_EVENT 800u    /* tasks of up to 30 bytes each: the event must fit into a poll */
#define UNSTARTED_CHECK_INTERVAL_S 0.5 /* interval of the check for unstarted tasks to return */

/* ---- machines ---- */

/* Removes all tasks from the machine; the tasks that may be on it belong to the leader afterwards. Returns:
 * (transfer full): the message that returns the machine to the leader and names these tasks */
static HzbMachineReturn *
detach_machine (HzbJobs *jobs, HzbMachine *machine, const char *reason)
{
  HzbMachineReturn *returned = hzb_machine_return_new (machine->name, reason, machine->agent_epoch, machine->sequence);

  returned->scale_in_requested = machine->scale_in_requested && !machine->recall_requested;
  hzb_machine_clear_run_queues (jobs, machine);
  while (machine->tasks->len)
    {
      HzbTask *task = machine->tasks->pdata[machine->tasks->len - 1];
      guint before = machine->tasks->len;
      if (task->state == HZB_TASK_RESERVED)
        hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
      else
        {
          hzb_held_tasks_add (returned->held_tasks, task);
          hzb_task_set_state (jobs, task, HZB_TASK_OTHER_OWNER, NULL);
        }
      /* prevents an endless loop if the change of state was rejected */
      g_return_val_if_fail (machine->tasks->len < before, returned);
    }
  return returned;
}

void
hzb_leaseholder_return_machine (HzbLeaseholder *leaseholder, HzbMachine *machine, const char *reason)
{
  HzbMachines *machines = leaseholder->dependencies.machines;
  HzbShardEvent *event = hzb_shard_event_new ();

  event->machine = detach_machine (leaseholder->dependencies.jobs, machine, reason);
  hzb_leaseholder_push (leaseholder, event);
  hzb_machine_set_state (machines, machine, HZB_MACHINE_RETURNING, reason);
  hzb_machine_set_state (machines, machine, HZB_MACHINE_GONE, "returned to the leader");
  hzb_machines_remove (machines, machine);
}

typedef enum
{
  NOT_RETURNED,
  UNRESPONSIVE, /* the machine sends no heartbeats */
  UNREACHABLE,  /* heartbeats of the machine do not reflect the answers to earlier ones, which seem to be lost */
  FAULTY,       /* tasks fail on the machine for reasons other than their jobs */
  RECLAIMED,    /* the cloud has announced that it reclaims the spot machine */
  RECALLED,     /* the leader has recalled the machine */
  IDLE,         /* the machine has had no task for MAX_IDLE_S */
  N_RETURN_REASONS
} ReturnReason;

/* Sent to the leader, which logs the text as the reason of the return. */
static const char *const return_reason_texts[N_RETURN_REASONS] = {
  [UNRESPONSIVE] = "it is silent",        [UNREACHABLE] = "it does not seem to hear its answers",
  [FAULTY] = "it fails what it starts",   [RECLAIMED] = "the cloud takes it back",
  [RECALLED] = "the leader asked for it", [IDLE] = "it has nothing to do",
};

static ReturnReason
return_reason (const HzbMachine *machine, double heartbeat_interval_s, struct timespec now)
{
  gboolean empty = machine->tasks->len == 0;

  if (hzb_time_between (machine->last_heartbeat, now) > MAX_MISSED_HEARTBEATS * heartbeat_interval_s)
    return UNRESPONSIVE;
  if (machine->unreachable)
    return UNREACHABLE;
  if (machine->scale_in_requested && empty)
    return FAULTY;
  if (machine->state == HZB_MACHINE_DRAINING && empty)
    return RECLAIMED;
  if (machine->recall_requested && (empty || (machine->recall_at_once && machine->state == HZB_MACHINE_ACTIVE)))
    return RECALLED;
  if (machine->state == HZB_MACHINE_ACTIVE && empty && hzb_machine_count_queued_tasks (machine) == 0
      && hzb_time_between (machine->idle_since, now) > MAX_IDLE_S)
    return IDLE;
  return NOT_RETURNED;
}

static void
return_machines (HzbLeaseholder *leaseholder, struct timespec now)
{
  const GPtrArray *machines = leaseholder->dependencies.machines->all;
  double heartbeat_interval_s = leaseholder->dependencies.node->settings->heartbeat_interval_s;

  for (guint i = machines->len; i-- > 0;)
    {
      HzbMachine *machine = machines->pdata[i];
      ReturnReason reason = return_reason (machine, heartbeat_interval_s, now);
      if (reason == NOT_RETURNED)
        continue;
      if (reason == RECLAIMED)
        machine->scale_in_requested = TRUE; /* so that the leader returns it to the cloud */
      hzb_leaseholder_return_machine (leaseholder, machine, return_reason_texts[reason]);
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

/* Unstarted tasks to return, collected in events of limited size. */
typedef struct
{
  HzbLeaseholder *leaseholder;
  HzbTaskGroups *tasks; /* (nullable): tasks of the event that is being built */
  guint n_tasks;        /* number of these tasks */
} ReturnedTasks;

static void
push_returned_tasks (ReturnedTasks *returned)
{
  if (!returned->tasks)
    return;
  hzb_leaseholder_push_returned (returned->leaseholder, g_steal_pointer (&returned->tasks));
  returned->n_tasks = 0;
}

static void
return_task (ReturnedTasks *returned, HzbTask *task)
{
  HzbJobs *jobs = returned->leaseholder->dependencies.jobs;

  if (task->state == HZB_TASK_QUEUED)
    hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
  hzb_task_set_state (jobs, task, HZB_TASK_OTHER_OWNER, NULL);
  if (!returned->tasks)
    returned->tasks = hzb_task_groups_new ();
  hzb_task_groups_add (returned->tasks, task);
  if (++returned->n_tasks >= MAX_RETURNED_PER_EVENT)
    push_returned_tasks (returned);
}

/* Returns all unstarted tasks of a terminal job, and those of other jobs that have waited for UNSTARTED_TTL_S. */
static void
return_job_tasks (ReturnedTasks *returned, HzbJob *job, struct timespec now)
{
  gboolean terminal = job->state != HZB_JOB_ACCEPTED;
  HzbTask *task;

  for (guint k = 0; (job->pending || job->queued) && (task = hzb_task_table_next (job->tasks, &k));)
    if ((task->state == HZB_TASK_PENDING || task->state == HZB_TASK_QUEUED)
        && (terminal || hzb_time_between (task->since, now) >= UNSTARTED_TTL_S))
      return_task (returned, task);
}

static void
return_unstarted_tasks (HzbLeaseholder *leaseholder, struct timespec now)
{
  HzbJobs *jobs = leaseholder->dependencies.jobs;
  ReturnedTasks returned = { leaseholder, NULL, 0 };

  for (guint i = 0; i < jobs->active->len; i++)
    {
      HzbJob *job = jobs->active->pdata[i];
      return_job_tasks (&returned, job, now);
      if (job->state != HZB_JOB_ACCEPTED && !job->placed && !job->pending && !job->queued)
        {
          hzb_jobs_deactivate (jobs, job);
          i--;
        }
    }
  push_returned_tasks (&returned);
}

void
hzb_leaseholder_return_unneeded (HzbLeaseholder *leaseholder, struct timespec now)
{
  return_machines (leaseholder, now);
  if (hzb_time_before (now, leaseholder->next_unstarted_check))
    return;
  leaseholder->next_unstarted_check = hzb_time_plus (now, UNSTARTED_CHECK_INTERVAL_S);
  return_unstarted_tasks (leaseholder, now);
}
