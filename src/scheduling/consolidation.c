#include "dispatch.h"

/* A task is not moved if it is expected to end within this time, or has run for less than this time. */
#define MIN_MOVE_TIME_S 20.0

/* Only machines of whose CPUs at most this fraction is used are emptied: a fuller machine is worth its price. */
#define MAX_USED_FRACTION 0.6

/* CPUs that are free on usable machines, less those that this controller's waiting tasks need. Below 0: the machines
 * lack CPUs for the waiting tasks. */
static double
spare_cpus (const HzbDispatch *dispatch)
{
  double spare = 0;

  for (guint i = 0; i < dispatch->machines->all->len; i++)
    {
      const HzbMachine *machine = dispatch->machines->all->pdata[i];
      if (hzb_machine_is_usable (machine))
        spare += machine->type->cpus - machine->cpus;
    }
  for (guint i = 0; i < dispatch->jobs->active->len; i++)
    {
      const HzbJob *job = dispatch->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED)
        spare -= (job->pending + job->queued) * job->spec->cpus;
    }
  return spare;
}

static gboolean
is_movable (const HzbTask *task, struct timespec now)
{
  const HzbJobSpec *spec = task->job->spec;

  return spec->checkpoint_interval_s > 0 && spec->kind != HZB_JOB_GANG && task->state == HZB_TASK_RUNNING
         && hzb_time_between (task->since, now) >= MIN_MOVE_TIME_S;
}

/* CPUs of the tasks that have to move to other machines so that the machine is empty soon. Tasks that are expected to
 * end soon, are stopping already, or await a verdict are not counted. 0: no task has to move. Below 0: one of the tasks
 * cannot be moved, or is a replica, whose interruption costs more than the machine does. */
static double
cpus_to_move (const HzbMachine *machine, struct timespec now)
{
  double cpus = 0;

  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (task->job->spec->kind == HZB_JOB_SERVICE)
        return -1;
      if (hzb_task_remaining_s (task, now) < MIN_MOVE_TIME_S || task->stopping || task->job->awaits_verdict)
        continue;
      if (!is_movable (task, now))
        return -1;
      cpus += task->job->spec->cpus;
    }
  return cpus;
}

/* Marks all tasks on the machine as stopping, except those that are expected to end soon. The response to the machine's
 * next heartbeat carries the stop commands. */
static void
stop_tasks_to_move (HzbMachine *machine, struct timespec now)
{
  for (guint k = 0; k < machine->tasks->len; k++)
    {
      HzbTask *task = machine->tasks->pdata[k];
      if (hzb_task_remaining_s (task, now) >= MIN_MOVE_TIME_S)
        task->stopping = TRUE;
    }
}

void
hzb_dispatch_consolidate (HzbDispatch *dispatch, struct timespec now)
{
  double spare = spare_cpus (dispatch);

  for (guint i = 0; i < dispatch->machines->all->len && spare > 0; i++)
    {
      HzbMachine *machine = dispatch->machines->all->pdata[i];
      double cpus;
      if (machine->state != HZB_MACHINE_ACTIVE || !machine->scale_in_candidate || !machine->type
          || machine->cpus > MAX_USED_FRACTION * machine->type->cpus)
        continue;
      cpus = cpus_to_move (machine, now);
      if (cpus <= 0 || cpus > spare)
        continue;
      spare -= cpus;
      stop_tasks_to_move (machine, now);
    }
}
