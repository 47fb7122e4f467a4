#include "dispatch.h"

/* A task that is expected to end sooner ends where it is, and one that has just started is not moved yet. */
#define WORTH_MOVING_S 20.0

/* Only machines that are used up to this part are emptied: a fuller one is worth its price. */
#define MOST_USED_PART 0.6

/* CPUs that are free on usable machines and that no waiting task of this controller would take; below 0: too few. */
static double
candidate_cpus (const HzbDispatch *dispatch)
{
  double spare = 0;

  for (guint i = 0; i < dispatch->machines->all->len; i++)
    {
      const HzbMachine *machine = dispatch->machines->all->pdata[i];
      if (hzb_machine_usable (machine))
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
can_be_moved (const HzbTask *task, struct timespec now)
{
  const HzbJobSpec *spec = task->job->spec;

  return spec->checkpoint_interval_s > 0 && spec->kind != HZB_JOB_GANG && task->state == HZB_TASK_RUNNING
         && hzb_time_between (task->since, now) >= WORTH_MOVING_S;
}

/* CPUs that the tasks need elsewhere which have to be moved for the machine to be empty soon; below 0: one of them
 * cannot be moved, or is a replica, to which a move costs more than the machine does. */
static double
cpus_to_move (const HzbMachine *machine, struct timespec now)
{
  double cpus = 0;

  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (task->job->spec->kind == HZB_JOB_SERVICE)
        return -1;
      if (hzb_task_remaining_s (task, now) < WORTH_MOVING_S || task->stopping || task->job->awaits_verdict)
        continue;
      if (!can_be_moved (task, now))
        return -1;
      cpus += task->job->spec->cpus;
    }
  return cpus;
}

/* The stop commands go out with the answer to the machine's next heartbeat. */
static void
empty_machine (HzbMachine *machine, struct timespec now)
{
  for (guint k = 0; k < machine->tasks->len; k++)
    {
      HzbTask *task = machine->tasks->pdata[k];
      if (hzb_task_remaining_s (task, now) >= WORTH_MOVING_S)
        task->stopping = TRUE;
    }
}

void
hzb_dispatch_consolidate (HzbDispatch *dispatch, struct timespec now)
{
  double spare = candidate_cpus (dispatch);

  for (guint i = 0; i < dispatch->machines->all->len && spare > 0; i++)
    {
      HzbMachine *machine = dispatch->machines->all->pdata[i];
      double cpus;
      if (machine->state != HZB_MACHINE_ACTIVE || !machine->scale_in_candidate || !machine->type
          || machine->cpus > MOST_USED_PART * machine->type->cpus)
        continue;
      cpus = cpus_to_move (machine, now);
      if (cpus <= 0 || cpus > spare)
        continue;
      spare -= cpus;
      empty_machine (machine, now);
    }
}
