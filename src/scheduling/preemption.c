#include "preemption.h"

#include "rounding.h"
#include "worker-protocol.h"

#include <math.h>

/* A task that is expected to end sooner is left to end. */
#define NEARLY_DONE_S 5.0

/* Seconds that a job waits before it preempts. Where a service-level objective allows less, it is this part of what the
 * objective allows. */
#define PREEMPT_AFTER_S 10
#define PREEMPT_AFTER_PART 0.45

/* The lowest priority is stopped first: between two priorities lies more than any cost of stopping a task. */
#define COST_OF_PRIORITY 1e4

#define LEAST_CPUS 1e-3 /* guards a division */

/* Tasks in a machine's run queues that are examined for one heartbeat. */
#define MOST_PREEMPTORS 32u

/* ---- who may be stopped for whom ---- */

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
  /* The other team has at least what it is guaranteed also without the victim. */
  team = dispatch->settings->teams->pdata[other->team];
  return shard->cpus[other->team] - other->spec->cpus >= team->cpus - HZB_ROUNDING
         && shard->gpus[other->team] - other->spec->gpus >= team->gpus - HZB_ROUNDING;
}

/* The objective says how soon such a job should start. */
static gboolean
limits_wait_of (const HzbObjective *objective, const HzbJob *job)
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
    return 0; /* A missing replica counts from the first second. */
  for (guint i = 0; i < dispatch->settings->objectives->len; i++)
    {
      const HzbObjective *objective = dispatch->settings->objectives->pdata[i];
      if (limits_wait_of (objective, job))
        after = MIN (after, objective->within_s * PREEMPT_AFTER_PART);
    }
  return after;
}

static gboolean
has_waited_long_enough (const HzbDispatch *dispatch, const HzbJob *job, struct timespec now)
{
  return hzb_time_between (job->since, now) >= preempt_after_s (dispatch, job);
}

/* The work that is lost if the task is stopped, in CPU-seconds; INFINITY: it must not be stopped. */
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

/* ---- within a team's limit ---- */

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

/* CPUs by which the team exceeds its limit with the preemptor's waiting tasks, without those already being stopped. */
static double
cpus_lacking (const HzbDispatch *dispatch, const HzbJob *preemptor)
{
  const HzbShard *shard = dispatch->jobs->shard;
  int team = preemptor->team;
  double limit = shard->cpus_allowed[team];
  double lack =
      shard->cpus[team] + MIN ((preemptor->pending + preemptor->queued) * preemptor->spec->cpus, limit) - limit;

  for (guint i = 0; i < dispatch->jobs->active->len && lack > HZB_ROUNDING; i++)
    {
      const HzbJob *job = dispatch->jobs->active->pdata[i];
      for (guint k = 0; job->team == team && job->placed && k < job->n_tasks; k++)
        if (job->tasks[k].stopping)
          lack -= job->spec->cpus;
    }
  return lack;
}

static void
add_victims_of_job (GArray *victims, const HzbJob *job, struct timespec now)
{
  for (guint k = 0; job->placed && k < job->n_tasks; k++)
    {
      Victim victim = { stop_cost (&job->tasks[k], now), &job->tasks[k] };
      if (!isfinite (victim.cost))
        continue;
      victim.cost = victim.cost / MAX (job->spec->cpus, LEAST_CPUS) + job->spec->priority * COST_OF_PRIORITY;
      g_array_append_val (victims, victim);
    }
}

/* Returns: (transfer full) (element-type Victim): lower work of the preemptor's team, the cheapest to stop first */
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
  g_array_sort (victims, cheapest_first);
  return victims;
}

void
hzb_preempt_within_team (HzbDispatch *dispatch, const HzbJob *preemptor, struct timespec now)
{
  double lack;
  g_autoptr (GArray) victims = NULL;

  if (preemptor->spec->kind == HZB_JOB_GANG || !has_waited_long_enough (dispatch, preemptor, now))
    return;
  lack = cpus_lacking (dispatch, preemptor);
  if (lack <= HZB_ROUNDING)
    return;
  victims = victims_within_team (dispatch, preemptor, now);
  for (guint i = 0; i < victims->len && lack > HZB_ROUNDING; i++)
    {
      HzbTask *task = g_array_index (victims, Victim, i).task;
      task->stopping = TRUE;
      lack -= task->job->spec->cpus;
    }
}

/* ---- on one machine ---- */

/* Room on a machine once all tasks that are being stopped there have ended. */
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
take_room_for (Room *room, const HzbJobSpec *spec)
{
  room->cpus -= spec->cpus;
  room->gpus -= spec->gpus;
  room->memory_gb -= spec->memory_gb;
}

static gboolean
room_lacks (const Room *room, const HzbJobSpec *spec)
{
  return room->cpus + HZB_ROUNDING < spec->cpus || room->gpus + HZB_ROUNDING < spec->gpus
         || room->memory_gb + HZB_ROUNDING < spec->memory_gb;
}

static Room
room_on (const HzbMachine *machine)
{
  Room room = { machine->type->cpus - machine->cpus, machine->type->gpus - machine->gpus,
                machine->type->memory_gb - machine->memory };

  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (task->stopping)
        add_room_of (&room, task->job->spec);
    }
  return room;
}

/* Returns: (transfer none) (nullable): the task whose stop costs least */
static HzbTask *
cheapest_victim (const HzbDispatch *dispatch, const HzbMachine *machine, const HzbJob *preemptor,
                 gboolean own_team_only, struct timespec now)
{
  HzbTask *victim = NULL;
  double least = INFINITY;

  for (guint i = 0; i < machine->tasks->len; i++)
    {
      HzbTask *task = machine->tasks->pdata[i];
      double cost = stop_cost (task, now);
      if (!isfinite (cost) || (own_team_only && task->job->team != preemptor->team)
          || !may_preempt (dispatch, preemptor, task))
        continue;
      cost += task->job->spec->priority * COST_OF_PRIORITY;
      if (cost < least)
        {
          least = cost;
          victim = task;
        }
    }
  return victim;
}

static void
stop (HzbTask *task, GArray *commands)
{
  HzbCommand command = { HZB_COMMAND_STOP, task->job->uid, task->index, task->attempt,
                         hzb_job_spec_grace_s (task->job->spec) };

  task->stopping = TRUE;
  g_array_append_val (commands, command);
}

/* Makes room for one task. Returns: FALSE if too little may be stopped */
static gboolean
make_room (const HzbDispatch *dispatch, HzbMachine *machine, const HzbJob *preemptor, gboolean own_team_only,
           Room *room, struct timespec now, GArray *commands)
{
  while (room_lacks (room, preemptor->spec))
    {
      HzbTask *victim = cheapest_victim (dispatch, machine, preemptor, own_team_only, now);
      if (!victim)
        return FALSE;
      stop (victim, commands);
      add_room_of (room, victim->job->spec);
    }
  take_room_for (room, preemptor->spec);
  return TRUE;
}

/* Returns: FALSE if too little on the machine may be stopped, so that the search for room there ends */
static gboolean
preempt_for (const HzbDispatch *dispatch, HzbMachine *machine, const HzbJob *preemptor, Room *room, struct timespec now,
             GArray *commands)
{
  const HzbJobSpec *spec = preemptor->spec;
  /* Beyond the team's limit only lower work of the team itself can make room. */
  gboolean own_team_only = !hzb_shard_fits (dispatch->jobs->shard, preemptor->team, spec->cpus, spec->gpus);

  if (preemptor->state != HZB_JOB_ACCEPTED || !hzb_zone_allowed (preemptor, machine)
      || !has_waited_long_enough (dispatch, preemptor, now)
      || (own_team_only && room->cpus + HZB_ROUNDING >= spec->cpus))
    return TRUE;
  return make_room (dispatch, machine, preemptor, own_team_only, room, now, commands);
}

void
hzb_preempt_on_machine (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands)
{
  Room room = room_on (machine);
  guint examined = 0;

  for (guint scheduling_class = HZB_N_SCHEDULING_CLASSES - 1; scheduling_class > HZB_SCHEDULING_CLASS_OBJECTIVE_AT_RISK;
       scheduling_class--)
    for (GList *l = machine->run_queues[scheduling_class].head; l && examined < MOST_PREEMPTORS;
         l = l->next, examined++)
      {
        const HzbTask *task = l->data;
        if (!preempt_for (dispatch, machine, task->job, &room, now, commands))
          return;
      }
}
