#include "preemption.h"

#include "rounding.h"
#include "task-table.h"
#include "worker-protocol.h"

#include <math.h>

/* A task that is expected to end within this time is not preempted. */
#define NEARLY_DONE_S 5.0

/* A job may preempt other tasks after it has waited for PREEMPT_AFTER_S seconds, or for PREEMPT_AFTER_FRACTION of the
 * wait that a service-level objective allows it, whichever is shorter. */
#define PREEMPT_AFTER_S 10
#define PREEMPT_AFTER_FRACTION 0.45

/* Added to the cost of stopping a task, once for each priority level of the task, so that tasks of the lowest priority
 * are stopped first unless the costs differ by more than this. The unit is that of the cost: CPU-seconds among the
 * tasks on one machine, seconds within a team. */
#define COST_PER_PRIORITY 1e4

#define MIN_CPUS 1e-3 /* guards a division */

/* Maximum number of tasks in a machine's run queues that are examined for one heartbeat. */
#define MAX_PREEMPTORS 32u

/* ---- preemption rules and costs ---- */

static gboolean
may_preempt (const HzbDispatch *dispatch, const HzbJob *preemptor, const HzbTask *victim)
{
  const HzbShard *shard = dispatch->jobs->shard;
  const HzbJob *other = victim->job;
  const HzbTeam *team;

  if (other->spec->priority < preemptor->spec->priority)
    return TRUE;
  if (!preemptor->guaranteed || other->team == preemptor->team || other->guaranteed)
    return FALSE;
  /* Without the victim, the other team must still use at least its guarantee. */
  team = dispatch->settings->teams->pdata[other->team];
  return shard->cpus[other->team] - other->spec->cpus >= team->cpus - HZB_AMOUNT_TOLERANCE
         && shard->gpus[other->team] - other->spec->gpus >= team->gpus - HZB_AMOUNT_TOLERANCE;
}

/* Whether the objective limits how long the job may wait for its start. */
static gboolean
objective_limits_wait (const HzbObjective *objective, const HzbJob *job)
{
  if (g_strcmp0 (objective->kind, "wait") == 0)
    return g_strcmp0 (objective->job_class, job->spec->job_class) == 0;
  return g_strcmp0 (objective->kind, "guarantee") == 0 && job->guaranteed;
}

static double
preempt_after_s (const HzbDispatch *dispatch, const HzbJob *job)
{
  double after = PREEMPT_AFTER_S;

  if (job->spec->kind == HZB_JOB_SERVICE)
    return 0; /* a missing replica counts against its service from the first second */
  for (guint i = 0; i < dispatch->settings->objectives->len; i++)
    {
      const HzbObjective *objective = dispatch->settings->objectives->pdata[i];
      if (objective_limits_wait (objective, job))
        after = MIN (after, objective->within_s * PREEMPT_AFTER_FRACTION);
    }
  return after;
}

static gboolean
has_waited_long_enough (const HzbDispatch *dispatch, const HzbJob *job, struct timespec now)
{
  return hzb_time_between (job->since, now) >= preempt_after_s (dispatch, job);
}

/* The work that is lost if the task is stopped, in CPU-seconds; INFINITY: the task must not be stopped. */
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

/* ---- preemption within a team's limit ---- */

/* A task that may be stopped, and the cost of stopping it. */
typedef struct
{
  double cost; /* stop_cost() per CPU, in seconds, plus COST_PER_PRIORITY for each priority level */
  HzbTask *task;
} Victim;

static gint
compare_victims (gconstpointer a, gconstpointer b)
{
  const Victim *x = a, *y = b;
  return x->cost < y->cost ? -1 : x->cost > y->cost;
}

/* CPUs by which the team would exceed its limit if the preemptor's waiting tasks ran too, less the CPUs of tasks that
 * are already being stopped. Of the waiting tasks, at most as many CPUs as the limit allows are counted. */
static double
missing_cpus (const HzbDispatch *dispatch, const HzbJob *preemptor)
{
  const HzbShard *shard = dispatch->jobs->shard;
  int team = preemptor->team;
  double limit = shard->cpus_allowed[team];
  double missing =
      shard->cpus[team] + MIN ((preemptor->pending + preemptor->queued) * preemptor->spec->cpus, limit) - limit;

  for (guint i = 0; i < dispatch->jobs->active->len && missing > HZB_AMOUNT_TOLERANCE; i++)
    {
      const HzbJob *job = dispatch->jobs->active->pdata[i];
      const HzbTask *task;
      for (guint k = 0; job->team == team && job->placed && (task = hzb_task_table_next (job->tasks, &k));)
        if (task->stopping)
          missing -= job->spec->cpus;
    }
  return missing;
}

static void
add_victims_of_job (GArray *victims, const HzbJob *job, struct timespec now)
{
  HzbTask *task;

  for (guint k = 0; job->placed && (task = hzb_task_table_next (job->tasks, &k));)
    {
      Victim victim = { stop_cost (task, now), task };
      if (!isfinite (victim.cost))
        continue;
      victim.cost = victim.cost / MAX (job->spec->cpus, MIN_CPUS) + job->spec->priority * COST_PER_PRIORITY;
      g_array_append_val (victims, victim);
    }
}

/* Returns: (transfer full) (element-type Victim): tasks of the preemptor's team that have a lower priority, by
 * ascending cost */
static GArray *
victims_within_team (const HzbDispatch *dispatch, const HzbJob *preemptor, struct timespec now)
{
  GArray *victims = g_array_new (FALSE, FALSE, sizeof (Victim));

  for (guint i = 0; i < dispatch->jobs->active->len; i++)
    {
      const HzbJob *job = dispatch->jobs->active->pdata[i];
      if (job->team == preemptor->team && job->spec->priority < preemptor->spec->priority)
        add_victims_of_job (victims, job, now);
    }
  g_array_sort (victims, compare_victims);
  return victims;
}

void
hzb_preempt_within_team (HzbDispatch *dispatch, const HzbJob *preemptor, struct timespec now)
{
  double missing;
  g_autoptr (GArray) victims = NULL;

  if (preemptor->spec->kind == HZB_JOB_GANG || !has_waited_long_enough (dispatch, preemptor, now))
    return;
  missing = missing_cpus (dispatch, preemptor);
  if (missing <= HZB_AMOUNT_TOLERANCE)
    return;
  victims = victims_within_team (dispatch, preemptor, now);
  for (guint i = 0; i < victims->len && missing > HZB_AMOUNT_TOLERANCE; i++)
    {
      HzbTask *task = g_array_index (victims, Victim, i).task;
      task->stopping = TRUE;
      missing -= task->job->spec->cpus;
    }
}

/* ---- preemption on one machine ---- */

/* Free resources of a machine once all tasks that are being stopped there have ended. */
typedef struct
{
  double cpus, gpus, memory_gb;
} Room;

static void
add_room_of (Room *room, const HzbJobSpec *spec)
{
  room->cpus += spec->cpus;
  room->gpus += spec->gpus;
  room->memory_gb += spec->memory_gb;
}

static void
subtract_room_of (Room *room, const HzbJobSpec *spec)
{
  room->cpus -= spec->cpus;
  room->gpus -= spec->gpus;
  room->memory_gb -= spec->memory_gb;
}

static gboolean
lacks_room_for (const Room *room, const HzbJobSpec *spec)
{
  return room->cpus + HZB_AMOUNT_TOLERANCE < spec->cpus || room->gpus + HZB_AMOUNT_TOLERANCE < spec->gpus
         || room->memory_gb + HZB_AMOUNT_TOLERANCE < spec->memory_gb;
}

static Room
room_after_stops (const HzbMachine *machine)
{
  Room room = { machine->type->cpus - machine->cpus, machine->type->gpus - machine->gpus,
                machine->type->memory_gb - machine->memory_gb };

  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (task->stopping)
        add_room_of (&room, task->job->spec);
    }
  return room;
}

/* Returns: (transfer none) (nullable): the task with the lowest stop cost; NULL: no task may be stopped */
static HzbTask *
cheapest_victim (const HzbDispatch *dispatch, const HzbMachine *machine, const HzbJob *preemptor,
                 gboolean own_team_only, struct timespec now)
{
  HzbTask *victim = NULL;
  double min_cost = INFINITY;

  for (guint i = 0; i < machine->tasks->len; i++)
    {
      HzbTask *task = machine->tasks->pdata[i];
      double cost = stop_cost (task, now);
      if (!isfinite (cost) || (own_team_only && task->job->team != preemptor->team)
          || !may_preempt (dispatch, preemptor, task))
        continue;
      cost += task->job->spec->priority * COST_PER_PRIORITY;
      if (cost < min_cost)
        {
          min_cost = cost;
          victim = task;
        }
    }
  return victim;
}

static void
stop_task (HzbTask *task, GArray *commands)
{
  HzbCommand command = { HZB_COMMAND_STOP, task->job->uid, task->index, task->attempt,
                         hzb_job_spec_grace_s (task->job->spec) };

  task->stopping = TRUE;
  g_array_append_val (commands, command);
}

/* Stops tasks until one task of the preemptor fits. Returns: FALSE if the tasks that may be stopped free too little */
static gboolean
make_room (const HzbDispatch *dispatch, HzbMachine *machine, const HzbJob *preemptor, gboolean own_team_only,
           Room *room, struct timespec now, GArray *commands)
{
  while (lacks_room_for (room, preemptor->spec))
    {
      HzbTask *victim = cheapest_victim (dispatch, machine, preemptor, own_team_only, now);
      if (!victim)
        return FALSE;
      stop_task (victim, commands);
      add_room_of (room, victim->job->spec);
    }
  subtract_room_of (room, preemptor->spec);
  return TRUE;
}

/* Returns: FALSE if the tasks that may be stopped on the machine free too little, so that no further preemptor is
 * examined */
static gboolean
preempt_for_job (const HzbDispatch *dispatch, HzbMachine *machine, const HzbJob *preemptor, Room *room,
                 struct timespec now, GArray *commands)
{
  const HzbJobSpec *spec = preemptor->spec;
  /* If the team's limit is used up, only stopping tasks of the same team helps. */
  gboolean own_team_only = !hzb_shard_fits (dispatch->jobs->shard, preemptor->team, spec->cpus, spec->gpus);

  if (preemptor->state != HZB_JOB_ACCEPTED || !hzb_machine_zone_is_eligible (preemptor, machine)
      || !has_waited_long_enough (dispatch, preemptor, now)
      || (own_team_only && room->cpus + HZB_AMOUNT_TOLERANCE >= spec->cpus))
    return TRUE;
  return make_room (dispatch, machine, preemptor, own_team_only, room, now, commands);
}

void
hzb_preempt_on_machine (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands)
{
  Room room = room_after_stops (machine);
  guint examined = 0;

  for (guint scheduling_class = HZB_N_SCHEDULING_CLASSES - 1; scheduling_class > HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK;
       scheduling_class--)
    for (GList *l = machine->run_queues[scheduling_class].head; l && examined < MAX_PREEMPTORS; l = l->next, examined++)
      {
        const HzbTask *task = l->data;
        if (!preempt_for_job (dispatch, machine, task->job, &room, now, commands))
          return;
      }
}
