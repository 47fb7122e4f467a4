#include "preemption.h"
#include "worker-protocol.h"

#include <math.h>

#define NEARLY_DONE_S 5.0

static gboolean
may_preempt (HzbDispatch *dispatch, const HzbJob *preemptor, const HzbTask *victim)
{
  const HzbShard *shard = dispatch->jobs->shard;
  const HzbJob *other = victim->job;
  const HzbTeam *team;

  if (other->spec->priority < preemptor->spec->priority)
    return TRUE;
  if (!preemptor->guaranteed || other->team == preemptor->team || other->guaranteed)
    return FALSE;
  team = dispatch->settings->teams->pdata[other->team];
  return shard->cpus[other->team] - other->spec->cpus >= team->cpus - 1e-6
         && shard->gpus[other->team] - other->spec->gpus >= team->gpus - 1e-6;
}

static double
preempt_after_s (HzbDispatch *dispatch, const HzbJob *job)
{
  double after = 10;
  if (job->spec->kind == HZB_JOB_SERVICE)
    return 0; /* every second that a replica is not there counts */
  for (guint i = 0; i < dispatch->settings->objectives->len; i++)
    {
      const HzbObjective *objective = dispatch->settings->objectives->pdata[i];
      if ((g_strcmp0 (objective->kind, "wait") == 0 && g_strcmp0 (objective->job_class, job->spec->job_class) == 0)
          || (g_strcmp0 (objective->kind, "guarantee") == 0 && job->guaranteed))
        after = MIN (after, objective->within_s * 0.45);
    }
  return after;
}

/* What stopping the task would cost, in seconds of its work; above 1e9: it is not to be stopped. */
static double
stop_cost (const HzbTask *task, struct timespec now)
{
  const HzbJobSpec *spec = task->job->spec;
  if (task->stopping || task->job->awaits_verdict || spec->kind == HZB_JOB_GANG || spec->kind == HZB_JOB_SERVICE
      || (task->state != HZB_TASK_RUNNING && task->state != HZB_TASK_FETCHING))
    return INFINITY;
  if (task->state == HZB_TASK_FETCHING)
    return 0;
  if (hzb_task_remaining_s (task, now) < NEARLY_DONE_S)
    return INFINITY;
  return (spec->checkpoint_interval_s > 0 ? spec->checkpoint_duration_s : hzb_time_between (task->since, now))
         * spec->cpus;
}

typedef struct
{
  double cost;
  HzbTask *task;
} Victim;

static gint
cheapest_first (gconstpointer a, gconstpointer b)
{
  const Victim *x = a, *y = b;
  return x->cost < y->cost ? -1 : x->cost > y->cost;
}

/* Urgent tasks that their own team's limit keeps waiting: lower work of the team is stopped. Its stop is sent
 * with the answer to its machine's next report. */
void
hzb_preempt_within_team (HzbDispatch *dispatch, const HzbJob *preemptor, struct timespec now)
{
  const HzbShard *shard = dispatch->jobs->shard;
  int team = preemptor->team;
  double lack, limit = shard->cpus_allowed[team];
  g_autoptr (GArray) victims = g_array_new (FALSE, FALSE, sizeof (Victim));

  if (preemptor->spec->kind == HZB_JOB_GANG
      || hzb_time_between (preemptor->since, now) < preempt_after_s (dispatch, preemptor))
    return;
  lack = shard->cpus[team] + MIN ((preemptor->pending + preemptor->queued) * preemptor->spec->cpus, limit) - limit;
  for (guint i = 0; i < dispatch->jobs->active->len && lack > 1e-6; i++)
    {
      const HzbJob *job = dispatch->jobs->active->pdata[i];
      for (guint k = 0; job->team == team && job->placed && k < job->n_tasks; k++)
        if (job->tasks[k].stopping)
          lack -= job->spec->cpus;
    }
  if (lack <= 1e-6)
    return;
  for (guint i = 0; i < dispatch->jobs->active->len; i++)
    {
      const HzbJob *job = dispatch->jobs->active->pdata[i];
      if (job->team != team || job->spec->priority >= preemptor->spec->priority)
        continue;
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        {
          Victim victim = { stop_cost (&job->tasks[k], now), &job->tasks[k] };
          if (!isfinite (victim.cost))
            continue;
          victim.cost = victim.cost / MAX (job->spec->cpus, 1e-3) + job->spec->priority * 1e4;
          g_array_append_val (victims, victim);
        }
    }
  g_array_sort (victims, cheapest_first);
  for (guint i = 0; i < victims->len && lack > 1e-6; i++)
    {
      HzbTask *task = g_array_index (victims, Victim, i).task;
      task->stopping = TRUE;
      lack -= task->job->spec->cpus;
    }
}

void
hzb_preempt_on_machine (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands)
{
  double cpus = machine->type->cpus - machine->cpus, gpus = machine->type->gpus - machine->gpus,
         memory = machine->type->memory_gb - machine->memory;
  guint examined = 0;

  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (task->stopping)
        {
          cpus += task->job->spec->cpus;
          gpus += task->job->spec->gpus;
          memory += task->job->spec->memory_gb;
        }
    }
  for (guint scheduling_class = HZB_N_SCHEDULING_CLASSES - 1; scheduling_class > HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK;
       scheduling_class--)
    for (GList *l = machine->run_queues[scheduling_class].head; l && examined < 32; l = l->next, examined++)
      {
        HzbTask *preemptor = l->data;
        const HzbJobSpec *spec = preemptor->job->spec;
        /* Over the team's limit only the team's own lower work can make room. */
        gboolean own = !hzb_shard_fits (dispatch->jobs->shard, preemptor->job->team, spec->cpus, spec->gpus);
        if (preemptor->job->state != HZB_JOB_ACCEPTED || !hzb_zone_allowed (preemptor->job, machine)
            || hzb_time_between (preemptor->job->since, now) < preempt_after_s (dispatch, preemptor->job))
          continue;
        if (own && cpus + 1e-6 >= spec->cpus)
          continue;
        while (cpus + 1e-6 < spec->cpus || gpus + 1e-6 < spec->gpus || memory + 1e-6 < spec->memory_gb)
          {
            HzbTask *victim = NULL;
            double least = INFINITY;
            HzbCommand command = { HZB_COMMAND_STOP, NULL, 0, 0, 0 };
            for (guint i = 0; i < machine->tasks->len; i++)
              {
                HzbTask *task = machine->tasks->pdata[i];
                double cost = stop_cost (task, now);
                if (!isfinite (cost) || (own && task->job->team != preemptor->job->team)
                    || !may_preempt (dispatch, preemptor->job, task))
                  continue;
                cost += task->job->spec->priority * 1e4;
                if (cost < least)
                  {
                    least = cost;
                    victim = task;
                  }
              }
            if (!victim)
              return;
            victim->stopping = TRUE;
            command.uid = victim->job->uid;
            command.task = victim->index;
            command.attempt = victim->attempt;
            command.grace_s = hzb_job_spec_grace_s (victim->job->spec);
            g_array_append_val (commands, command);
            cpus += victim->job->spec->cpus;
            gpus += victim->job->spec->gpus;
            memory += victim->job->spec->memory_gb;
          }
        cpus -= spec->cpus;
        gpus -= spec->gpus;
        memory -= spec->memory_gb;
      }
}

/* ---- emptying machines ---- */

#define MOVE_LEFT_S 20.0 /* what should be over sooner ends where it is */
#define MOVE_PART 0.6    /* of a machine: what is fuller is worth its price */

/* Room for the tasks that would have to go for the machine to be empty soon; below 0: it can't be. */
static double
would_move (const HzbMachine *machine, struct timespec now)
{
  double cpus = 0;
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (task->job->spec->kind == HZB_JOB_SERVICE)
        return -1; /* a move costs it more than the machine does */
      if (hzb_task_remaining_s (task, now) < MOVE_LEFT_S || task->stopping || task->job->awaits_verdict)
        continue;
      if (task->job->spec->checkpoint_interval_s <= 0 || task->job->spec->kind == HZB_JOB_GANG
          || task->state != HZB_TASK_RUNNING || hzb_time_between (task->since, now) < MOVE_LEFT_S)
        return -1;
      cpus += task->job->spec->cpus;
    }
  return cpus;
}

void
hzb_dispatch_consolidate (HzbDispatch *dispatch, struct timespec now)
{
  double free = 0;

  for (guint i = 0; i < dispatch->machines->all->len; i++)
    {
      const HzbMachine *machine = dispatch->machines->all->pdata[i];
      if (hzb_machine_usable (machine))
        free += machine->type->cpus - machine->cpus;
    }
  for (guint i = 0; i < dispatch->jobs->active->len; i++)
    {
      const HzbJob *job = dispatch->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED)
        free -= (job->pending + job->queued) * job->spec->cpus;
    }
  for (guint i = 0; i < dispatch->machines->all->len && free > 0; i++)
    {
      HzbMachine *machine = dispatch->machines->all->pdata[i];
      double cpus;
      if (machine->state != HZB_MACHINE_ACTIVE || !machine->scale_in_candidate || !machine->type
          || machine->cpus > MOVE_PART * machine->type->cpus)
        continue;
      cpus = would_move (machine, now);
      if (cpus <= 0 || cpus > free)
        continue;
      free -= cpus;
      for (guint k = 0; k < machine->tasks->len; k++)
        {
          HzbTask *task = machine->tasks->pdata[k];
          if (hzb_task_remaining_s (task, now) >= MOVE_LEFT_S)
            task->stopping = TRUE; /* it is told with the answer to the next report */
        }
    }
}
