#include "placement-check.h"

#include "demand.h"

#include <math.h>
#include <string.h>

/* Rooms that one pass examines at most, so that the cost of a run does not grow with machines times jobs. */
#define MAX_ROOMS_PER_PASS 20000u

/* Shapes of arrays that one run tells apart at most; arrays of further shapes are tried one by one. */
#define MAX_SHAPES 64u

/* For replicas a spot machine is rented only if no other kind can be had, since the cloud may reclaim it. */
#define REPLICA_SPOT_PRICE_FACTOR 1e3

/* A job that is tried. */
typedef struct
{
  HzbPlacementCheck *check;
  HzbJob *job;
  HzbRoomView view;
  guint wanted;   /* tasks for which room is counted */
  guint required; /* of these, the tasks that need room now; machines are requested for them */
  guint *allowed; /* by zone: how many tasks the zone may take */
  guint *found;   /* by zone: how many tasks it may take and has room for, at most `wanted` */
} Trial;

void
hzb_placement_check_init (HzbPlacementCheck *check, HzbAutoscaler *autoscaler, const GArray *kinds, GArray *requests,
                          struct timespec now)
{
  const GPtrArray *machines = autoscaler->machines->all;
  guint n_teams = autoscaler->settings->teams->len;

  *check = (HzbPlacementCheck){ .autoscaler = autoscaler, .now = now, .kinds = kinds, .requests = requests };
  check->arrays_tried = g_ptr_array_new ();
  check->cpus = g_new0 (double, n_teams);
  check->gpus = g_new0 (double, n_teams);
  for (guint i = 0; i < machines->len; i++)
    ((HzbMachine *) machines->pdata[i])->held_for_waiting_job = FALSE;
}

void
hzb_placement_check_clear (HzbPlacementCheck *check)
{
  g_clear_pointer (&check->rooms, hzb_rooms_free);
  g_clear_pointer (&check->arrays_tried, g_ptr_array_unref);
  g_clear_pointer (&check->cpus, g_free);
  g_clear_pointer (&check->gpus, g_free);
}

/* ---- which jobs are tried ---- */

static HzbPlacementPass
pass_of (const HzbJobSpec *spec)
{
  return spec->kind != HZB_JOB_SERVICE && (spec->same_zone || (spec->spread && spec->kind == HZB_JOB_GANG))
             ? HZB_PLACEMENT_PASS_ZONES
             : HZB_PLACEMENT_PASS_OTHERS;
}

/* Whether tasks of the job wait and no back-off, verdict or unconfirmed task keeps them from starting. */
static gboolean
may_start_tasks (const HzbJob *job, struct timespec now)
{
  if (job->state != HZB_JOB_ACCEPTED || job->awaits_verdict || !(job->pending || job->queued)
      || hzb_time_before (now, job->not_before) || (job->unconfirmed && job->spec->same_zone))
    return FALSE;
  if (job->spec->kind == HZB_JOB_GANG)
    return job->pending == job->n_tasks;
  /* A job that has failed, and of which no task has succeeded or run for a while, runs one task at a time. */
  return !(job->failures && !job->proven_runnable && job->placed + job->queued);
}

static gboolean
team_limit_allows (const HzbPlacementCheck *check, const HzbJob *job, guint n_tasks)
{
  const HzbJobSpec *spec = job->spec;

  return hzb_shard_fits (check->autoscaler->jobs->shard, job->team, check->cpus[job->team] + n_tasks * spec->cpus,
                         check->gpus[job->team] + n_tasks * spec->gpus);
}

/* Returns: the number of tasks that need room at the same time so that the job goes on */
static guint
count_required (const HzbPlacementCheck *check, const HzbJob *job)
{
  guint n_tasks = 1;

  if (job->spec->kind == HZB_JOB_GANG)
    n_tasks = job->n_tasks;
  else if (job->spec->kind == HZB_JOB_SERVICE)
    n_tasks = job->pending + job->queued;
  if (team_limit_allows (check, job, n_tasks))
    return n_tasks;
  /* The replicas of a service start one by one. */
  return job->spec->kind == HZB_JOB_SERVICE && n_tasks && team_limit_allows (check, job, 1) ? 1 : 0;
}

static gboolean
same_shape (const HzbJobSpec *a, const HzbJobSpec *b)
{
  return a->cpus == b->cpus && a->gpus == b->gpus && a->memory_gb == b->memory_gb && a->spot == b->spot
         && g_strcmp0 (a->zone, b->zone) == 0
         && (a->types && b->types ? g_strv_equal ((const char *const *) a->types, (const char *const *) b->types)
                                  : a->types == b->types);
}

/* Whether an array of the same shape was tried in this run. If not, the spec is noted as tried. */
static gboolean
was_tried (HzbPlacementCheck *check, const HzbJobSpec *spec)
{
  if (spec->kind != HZB_JOB_ARRAY || spec->same_zone || spec->spread)
    return FALSE;
  for (guint i = 0; i < check->arrays_tried->len; i++)
    if (same_shape (check->arrays_tried->pdata[i], spec))
      return TRUE;
  if (check->arrays_tried->len < MAX_SHAPES)
    g_ptr_array_add (check->arrays_tried, (gpointer) spec);
  return FALSE;
}

/* Returns: whether the job has waited for so long that only room that is free now counts */
static gboolean
is_overdue (const HzbPlacementCheck *check, const HzbJob *job)
{
  double waited = hzb_time_is_set (job->starved_since) ? hzb_time_between (job->starved_since, check->now) : 0;
  double start_within = hzb_demand_start_within_s (check->autoscaler, job, check->now);

  return waited >= MAX (start_within, HZB_ROOM_SOON_S);
}

/* ---- what zones may take ---- */

/* Lowers what the zones may take by the tasks that are on machines. Queued tasks may still move to another zone. */
static void
apply_placed_tasks (Trial *trial)
{
  const HzbJob *job = trial->job;
  const HzbRooms *rooms = trial->check->rooms;

  for (guint k = 0; k < job->n_tasks; k++)
    {
      const HzbTask *task = &job->tasks[k];
      guint zone;
      if (!hzb_task_on_machine (task))
        continue;
      zone = hzb_rooms_zone_index (rooms, task->machine->zone);
      if (job->spec->spread && trial->allowed[zone])
        trial->allowed[zone]--;
      if (!job->spec->same_zone)
        continue;
      for (guint other = 0; other < rooms->zones->len; other++)
        trial->allowed[other] = other == zone ? trial->allowed[other] : 0;
      return; /* All tasks are in that zone. */
    }
}

static void
compute_allowed (Trial *trial)
{
  const HzbJob *job = trial->job;
  guint limit = trial->wanted;

  if (job->spec->spread)
    limit = (job->n_tasks + 1) / 2 - MIN (job->unconfirmed, (job->n_tasks + 1) / 2);
  for (guint zone = 0; zone < trial->check->rooms->zones->len; zone++)
    trial->allowed[zone] = limit;
  if ((job->spec->spread || job->spec->same_zone) && job->placed)
    apply_placed_tasks (trial);
}

/* ---- the room that machines have ---- */

static guint
total_found (const Trial *trial)
{
  guint total = 0;

  for (guint zone = 0; zone < trial->check->rooms->zones->len; zone++)
    total = trial->job->spec->same_zone ? MAX (total, trial->found[zone]) : total + trial->found[zone];
  return MIN (total, trial->wanted);
}

/* Counts an examined room, or the trial of a job, against the bound of the pass. */
static void
count_examined (HzbPlacementCheck *check)
{
  check->rooms_left -= MIN (check->rooms_left, 1);
}

static void
count_found (Trial *trial)
{
  HzbPlacementCheck *check = trial->check;
  const GArray *all = check->rooms->all;

  for (guint i = 0; i < all->len && total_found (trial) < trial->wanted; i++)
    {
      const HzbMachineRoom *room = &g_array_index (all, HzbMachineRoom, i);
      guint zone = room->zone_index, limit = MIN (trial->allowed[zone], trial->wanted);
      count_examined (check);
      trial->found[zone] += hzb_machine_room_count (room, trial->job->spec, trial->view, limit - trial->found[zone]);
    }
}

/* Keeps a scale-in candidate, and holds the machine until the job is placed. */
static void
hold_machine (const Trial *trial, HzbMachine *machine)
{
  machine->held_for_waiting_job = TRUE;
  if (!machine->scale_in_candidate)
    return;
  machine->scale_in_candidate = FALSE;
  machine->idle_since = trial->check->now;
}

/* Takes the room that the required tasks will use, so that jobs that are tried later do not count it. */
static void
take_room (Trial *trial)
{
  const GArray *all = trial->check->rooms->all;
  guint left = trial->required;

  for (guint i = 0; i < all->len && left; i++)
    {
      HzbMachineRoom *room = &g_array_index (all, HzbMachineRoom, i);
      guint n_tasks =
          hzb_machine_room_count (room, trial->job->spec, trial->view, MIN (left, trial->allowed[room->zone_index]));
      count_examined (trial->check);
      if (!n_tasks)
        continue;
      hzb_machine_room_take (room, trial->job->spec, n_tasks);
      trial->allowed[room->zone_index] -= n_tasks;
      left -= n_tasks;
      if (room->machine)
        hold_machine (trial, room->machine);
    }
}

/* ---- what has to be rented ---- */

/* Returns: the price per hour of machines of the kind for @n_tasks tasks, boot time included; INFINITY: the kind cannot
 * be requested for the job now */
static double
price_of_tasks (const Trial *trial, const HzbMachineKind *kind, guint n_tasks)
{
  const HzbJobSpec *spec = trial->job->spec;
  double price = kind->spot ? kind->type->spot_price : kind->type->price;
  guint per_machine = hzb_machine_type_speed (kind->type, spec);

  if (!per_machine || !hzb_machine_kind_matches_constraints (kind, spec)
      || hzb_autoscaler_is_refused (trial->check->autoscaler, kind, trial->check->now))
    return INFINITY;
  if (spec->kind == HZB_JOB_SERVICE && kind->spot)
    price *= REPLICA_SPOT_PRICE_FACTOR;
  return hzb_demand_price_with_boot (kind->type, price) * ceil ((double) n_tasks / per_machine);
}

/* Finds the kind with the lowest price per task. @planned: by zone, tasks for which machines are already planned.
 * @n_tasks: (out): how many of the missing tasks the zone may take. Returns: (nullable): NULL: there is no such kind */
static const HzbMachineKind *
find_cheapest_kind (const Trial *trial, const guint *planned, guint missing, guint *n_tasks)
{
  const HzbMachineKind *best = NULL;
  double lowest = INFINITY;

  for (guint i = 0; i < trial->check->kinds->len; i++)
    {
      const HzbMachineKind *kind = &g_array_index (trial->check->kinds, HzbMachineKind, i);
      guint zone = hzb_rooms_zone_index (trial->check->rooms, kind->zone);
      guint n = MIN (missing, trial->allowed[zone] - MIN (trial->allowed[zone], trial->found[zone] + planned[zone]));
      double price = n ? price_of_tasks (trial, kind, n) / n : INFINITY;
      if (price >= lowest)
        continue;
      lowest = price;
      best = kind;
      *n_tasks = n;
    }
  return best;
}

/* Plans requests for the required tasks without room. If one request for all tasks of a zone would be too large, later
 * runs request the rest. Returns: (transfer full) (element-type HzbScaleOutRequest) (nullable): NULL if no kinds can be
 * requested that would hold all of these tasks */
static GArray *
plan_requests (const Trial *trial)
{
  g_autoptr (GArray) requests = g_array_new (FALSE, FALSE, sizeof (HzbScaleOutRequest));
  g_autofree guint *planned = g_new0 (guint, trial->check->rooms->zones->len);
  guint missing = trial->required - MIN (trial->required, total_found (trial));

  while (missing)
    {
      guint n_tasks = 0;
      const HzbMachineKind *kind = find_cheapest_kind (trial, planned, missing, &n_tasks);
      HzbScaleOutRequest request;
      if (!kind)
        return NULL;
      request = (HzbScaleOutRequest){ *kind, 0 };
      request.count = (guint) MIN (ceil ((double) n_tasks / hzb_machine_type_speed (kind->type, trial->job->spec)),
                                   HZB_MAX_MACHINES_PER_REQUEST);
      g_array_append_val (requests, request);
      planned[hzb_rooms_zone_index (trial->check->rooms, kind->zone)] += n_tasks;
      missing -= n_tasks;
    }
  return g_steal_pointer (&requests);
}

/* Returns: FALSE if the run may make no more requests */
static gboolean
append_requests (Trial *trial, const GArray *requests)
{
  HzbPlacementCheck *check = trial->check;

  for (guint i = 0; i < requests->len; i++)
    {
      const HzbScaleOutRequest *request = &g_array_index (requests, HzbScaleOutRequest, i);
      if (check->requests->len >= HZB_MAX_SCALE_OUT_REQUESTS)
        return FALSE;
      g_message ("job %s: the machines cannot hold %u of the tasks that have to start; %u machines of type %s%s are "
                 "requested in zone %s",
                 trial->job->uid, trial->required - MIN (trial->required, total_found (trial)), request->count,
                 request->kind.type->name, request->kind.spot ? " (spot)" : "", request->kind.zone);
      g_array_append_val (check->requests, *request);
      hzb_rooms_add (check->rooms, &request->kind, request->count);
      check->requests_counted++;
    }
  return TRUE;
}

/* ---- the zone of a job with `samePlace` ---- */

/* Returns: the price of the machines that the zone lacks; INFINITY: no kind that could be requested would do */
static double
price_of_zone (const Trial *trial, guint zone)
{
  guint missing = trial->required - MIN (trial->required, trial->found[zone]);
  double lowest = INFINITY;

  if (!missing)
    return 0;
  if (!trial->allowed[zone])
    return INFINITY;
  for (guint i = 0; i < trial->check->kinds->len; i++)
    {
      const HzbMachineKind *kind = &g_array_index (trial->check->kinds, HzbMachineKind, i);
      if (hzb_rooms_zone_index (trial->check->rooms, kind->zone) == zone)
        lowest = MIN (lowest, price_of_tasks (trial, kind, missing));
    }
  return lowest;
}

/* Allows one zone only: the one where the missing machines cost the least and, of several, the one with the most
 * room. */
static void
choose_zone (Trial *trial)
{
  const GPtrArray *zones = trial->check->rooms->zones;
  guint best = 0;
  double lowest = INFINITY;

  for (guint zone = 0; zone < zones->len; zone++)
    {
      double price = price_of_zone (trial, zone);
      if (price > lowest || (price == lowest && trial->found[zone] <= trial->found[best]))
        continue;
      lowest = price;
      best = zone;
    }
  for (guint zone = 0; zone < zones->len; zone++)
    if (zone != best)
      trial->allowed[zone] = trial->found[zone] = 0;
  trial->job->planned_zone = g_intern_string (zones->pdata[best]);
}

/* ---- the run ---- */

static void
try_job (HzbPlacementCheck *check, HzbJob *job, guint wanted, guint required)
{
  guint n_zones = check->rooms->zones->len;
  g_autofree guint *allowed = g_new0 (guint, n_zones + 1), *found = g_new0 (guint, n_zones + 1);
  Trial trial = { check, job, HZB_ROOM_SOON, wanted, required, allowed, found };
  g_autoptr (GArray) requests = NULL;

  if (is_overdue (check, job))
    trial.view = HZB_ROOM_NOW;
  else if (job->spec->kind == HZB_JOB_SERVICE)
    trial.view = HZB_ROOM_FOR_REPLICAS;
  count_examined (check);
  compute_allowed (&trial);
  count_found (&trial);
  if (job->spec->same_zone)
    choose_zone (&trial);
  requests = plan_requests (&trial);
  if (requests && append_requests (&trial, requests))
    take_room (&trial);
}

/* Tries the job, if a task of it may start now within its team's limit. */
static void
examine_job (HzbPlacementCheck *check, HzbJob *job)
{
  const HzbJobSpec *spec = job->spec;
  guint required = may_start_tasks (job, check->now) ? count_required (check, job) : 0;

  if (!required || was_tried (check, spec))
    return;
  /* The zone of an array with `samePlace` is chosen for all of its tasks. */
  try_job (check, job, spec->same_zone ? MAX (required, job->pending + job->queued) : required, required);
  check->cpus[job->team] += required * spec->cpus;
  check->gpus[job->team] += required * spec->gpus;
}

/* Lists the rooms when the first job needs them, and adds the machines that were requested since. */
static void
update_rooms (HzbPlacementCheck *check)
{
  if (!check->rooms)
    check->rooms = hzb_rooms_new (check->autoscaler->machines, check->now);
  for (; check->requests_counted < check->requests->len; check->requests_counted++)
    {
      const HzbScaleOutRequest *request = &g_array_index (check->requests, HzbScaleOutRequest, check->requests_counted);
      hzb_rooms_add (check->rooms, &request->kind, request->count);
    }
}

void
hzb_placement_check_run (HzbPlacementCheck *check, HzbPlacementPass pass)
{
  const GPtrArray *jobs = check->autoscaler->jobs->active;
  guint *first = &check->autoscaler->first_job_to_try[pass], i;

  check->rooms_left = MAX_ROOMS_PER_PASS;
  for (i = 0; i < jobs->len && check->rooms_left; i++)
    {
      HzbJob *job = jobs->pdata[(*first + i) % jobs->len];
      if (job->state != HZB_JOB_ACCEPTED || !(job->pending || job->queued) || pass_of (job->spec) != pass)
        continue;
      update_rooms (check);
      examine_job (check, job);
    }
  *first = i < jobs->len ? (*first + i) % jobs->len : 0;
}
