#include "placement-trial.h"

#include "demand.h"
#include "task-table.h"

#include <math.h>

/* For replicas a spot machine is rented only if no other kind can be had, since the cloud may reclaim it. */
#define REPLICA_SPOT_PRICE_FACTOR 1e3

/* ---- what zones may take ---- */

/* Lowers what the zones may take by the tasks that are on machines. Queued tasks may still move to another zone. */
static void
apply_placed_tasks (HzbPlacementTrial *trial)
{
  const HzbJob *job = trial->job;
  const HzbRooms *rooms = trial->check->rooms;

  const HzbTask *task;

  for (guint k = 0; (task = hzb_task_table_next (job->tasks, &k));)
    {
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
compute_allowed (HzbPlacementTrial *trial)
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
total_found (const HzbPlacementTrial *trial)
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

/* Returns: how many tasks of the job the machine has room for, at most @max_tasks */
static guint
count_in_room (const HzbPlacementTrial *trial, const HzbMachineRoom *room, guint max_tasks)
{
  count_examined (trial->check);
  if (room->machine && room->machine->scale_in_candidate && !trial->uses_candidates)
    return 0;
  return hzb_machine_room_count (room, trial->job->spec, trial->view, max_tasks);
}

static void
count_found (HzbPlacementTrial *trial)
{
  HzbPlacementCheck *check = trial->check;
  const GArray *all = check->rooms->all;

  for (guint i = 0; i < all->len && total_found (trial) < trial->wanted; i++)
    {
      const HzbMachineRoom *room = &g_array_index (all, HzbMachineRoom, i);
      guint zone = room->zone_index, limit = MIN (trial->allowed[zone], trial->wanted);
      trial->found[zone] += count_in_room (trial, room, limit - trial->found[zone]);
    }
}

guint
hzb_placement_trial_missing (const HzbPlacementTrial *trial)
{
  return trial->required - MIN (trial->required, total_found (trial));
}

/* Keeps a scale-in candidate. A machine that will run a gang or a service is held, since all of their machines are needed
 * at the same time; an array starts as soon as there is room for one task. */
static void
hold_machine (const HzbPlacementTrial *trial, HzbMachine *machine)
{
  machine->held_for_waiting_job = machine->held_for_waiting_job || trial->job->spec->kind != HZB_JOB_ARRAY;
  if (!machine->scale_in_candidate)
    return;
  machine->scale_in_candidate = FALSE;
  machine->idle_since = trial->check->now;
}

void
hzb_placement_trial_take_room (HzbPlacementTrial *trial)
{
  const GArray *all = trial->check->rooms->all;
  guint left = trial->required;

  for (guint i = 0; i < all->len && left; i++)
    {
      HzbMachineRoom *room = &g_array_index (all, HzbMachineRoom, i);
      guint n_tasks = count_in_room (trial, room, MIN (left, trial->allowed[room->zone_index]));
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
price_of_tasks (const HzbPlacementTrial *trial, const HzbMachineKind *kind, guint n_tasks)
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
find_cheapest_kind (const HzbPlacementTrial *trial, const guint *planned, guint missing, guint *n_tasks)
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

GArray *
hzb_placement_trial_plan_requests (const HzbPlacementTrial *trial)
{
  g_autoptr (GArray) requests = g_array_new (FALSE, FALSE, sizeof (HzbScaleOutRequest));
  g_autofree guint *planned = g_new0 (guint, trial->check->rooms->zones->len);
  guint missing = hzb_placement_trial_missing (trial);

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

/* ---- the zone of a job with `samePlace` ---- */

/* Returns: the price of the machines that the zone lacks; INFINITY: no kind that could be requested would do */
static double
price_of_zone (const HzbPlacementTrial *trial, guint zone)
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
choose_zone (HzbPlacementTrial *trial)
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

void
hzb_placement_trial_begin (HzbPlacementTrial *trial)
{
  count_examined (trial->check);
  compute_allowed (trial);
  count_found (trial);
  if (trial->job->spec->same_zone)
    choose_zone (trial);
}
