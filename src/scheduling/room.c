#include "room.h"

#include "rounding.h"

/* ---- what is free on one machine ---- */

static HzbResources
resources_of_type (const HzbMachineType *type)
{
  return (HzbResources){ type->cpus, type->gpus, type->memory_gb, HZB_MAX_TASKS_PER_MACHINE };
}

static void
subtract_tasks (HzbResources *resources, const HzbJobSpec *spec, guint n_tasks)
{
  resources->cpus -= spec->cpus * n_tasks;
  resources->gpus -= spec->gpus * n_tasks;
  resources->memory_gb -= spec->memory_gb * n_tasks;
  resources->tasks -= n_tasks;
}

static HzbResources
free_now (const HzbMachine *machine)
{
  const HzbMachineType *type = machine->type;

  if (machine->state == HZB_MACHINE_LEASED)
    return (HzbResources){ 0 };
  return (HzbResources){ type->cpus - machine->cpus, type->gpus - machine->gpus, type->memory_gb - machine->memory_gb,
                         (double) HZB_MAX_TASKS_PER_MACHINE - machine->tasks->len - machine->listed_others };
}

/* Whether the task keeps its resources for longer than HZB_ROOM_SOON_S, as far as is known. A task that has run for that
 * much longer than expected may run on for any time. */
static gboolean
stays_on_machine (const HzbTask *task, struct timespec now)
{
  double overrun_s = hzb_time_between (task->since, now) - hzb_job_mean_s (task->job);

  if (task->stopping)
    return FALSE;
  return task->job->spec->kind == HZB_JOB_SERVICE || hzb_task_remaining_s (task, now) > HZB_ROOM_SOON_S
         || (task->state == HZB_TASK_RUNNING && overrun_s > HZB_ROOM_SOON_S);
}

static HzbResources
free_soon (const HzbMachine *machine, struct timespec now)
{
  HzbResources resources = resources_of_type (machine->type);

  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const HzbTask *task = machine->tasks->pdata[i];
      if (stays_on_machine (task, now))
        subtract_tasks (&resources, task->job->spec, 1);
    }
  return resources;
}

static HzbResources
free_for_replicas (const HzbMachine *machine)
{
  const HzbMachineType *type = machine->type;

  return (HzbResources){ type->cpus - machine->service_cpus, type->gpus - machine->gpus,
                         type->memory_gb - machine->service_memory_gb, HZB_MAX_TASKS_PER_MACHINE };
}

/* ---- the list of rooms ---- */

/* Whether the machine takes tasks, or will take them once it is up or has sent a heartbeat to this owner. A scale-in
 * candidate would take tasks again if it were kept. */
static gboolean
may_take_tasks (const HzbMachine *machine, struct timespec now)
{
  return machine->type && !machine->scale_in_requested && !machine->unreachable
         && hzb_machine_is_up_or_booting (machine, now);
}

static void
add_zone (HzbRooms *rooms, const char *zone)
{
  if (!g_ptr_array_find_with_equal_func (rooms->zones, zone, g_str_equal, NULL))
    g_ptr_array_add (rooms->zones, (gpointer) zone);
}

static void
add_zones_of_types (HzbRooms *rooms, const GPtrArray *types)
{
  for (guint t = 0; t < types->len; t++)
    {
      const HzbMachineType *type = types->pdata[t];
      for (guint z = 0; type->zones[z]; z++)
        add_zone (rooms, type->zones[z]);
    }
}

static void
add_machine (HzbRooms *rooms, HzbMachine *machine, struct timespec now)
{
  HzbMachineRoom room = { .machine = machine, .kind = { machine->type, machine->zone, machine->spot } };

  add_zone (rooms, machine->zone);
  room.zone_index = hzb_rooms_zone_index (rooms, machine->zone);
  room.free[HZB_ROOM_NOW] = free_now (machine);
  room.free[HZB_ROOM_SOON_LEASED] = free_soon (machine, now);
  if (machine->state != HZB_MACHINE_LEASED)
    room.free[HZB_ROOM_SOON] = room.free[HZB_ROOM_SOON_LEASED];
  room.free[HZB_ROOM_FOR_REPLICAS] = free_for_replicas (machine);
  g_array_append_val (rooms->all, room);
}

static void
add_machines (HzbRooms *rooms, const HzbMachines *machines, gboolean candidates, struct timespec now)
{
  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (!machine->scale_in_candidate == !candidates && may_take_tasks (machine, now))
        add_machine (rooms, machine, now);
    }
}

HzbRooms *
hzb_rooms_new (const HzbMachines *machines, struct timespec now)
{
  HzbRooms *rooms = g_new0 (HzbRooms, 1);

  rooms->all = g_array_new (FALSE, FALSE, sizeof (HzbMachineRoom));
  rooms->zones = g_ptr_array_new ();
  add_zones_of_types (rooms, machines->types);
  add_machines (rooms, machines, FALSE, now);
  add_machines (rooms, machines, TRUE, now);
  return rooms;
}

void
hzb_rooms_free (HzbRooms *rooms)
{
  g_array_unref (rooms->all);
  g_ptr_array_unref (rooms->zones);
  g_free (rooms);
}

void
hzb_rooms_add (HzbRooms *rooms, const HzbMachineKind *kind, guint count)
{
  HzbMachineRoom room = { .kind = *kind, .zone_index = hzb_rooms_zone_index (rooms, kind->zone) };

  for (guint view = 0; view < HZB_N_ROOM_VIEWS; view++)
    room.free[view] = resources_of_type (kind->type);
  for (guint i = 0; i < count; i++)
    g_array_append_val (rooms->all, room);
}

guint
hzb_rooms_zone_index (const HzbRooms *rooms, const char *zone)
{
  guint index = 0;

  if (!g_ptr_array_find_with_equal_func (rooms->zones, zone, g_str_equal, &index))
    g_return_val_if_reached (0);
  return index;
}

/* ---- use of the room ---- */

/* Returns: how many tasks fit if each needs @per_task of what is free, at most @n_tasks */
static double
limit_by_resource (double n_tasks, double free, double per_task)
{
  return per_task > 0 ? MIN (n_tasks, hzb_quotient_floor (free + HZB_AMOUNT_TOLERANCE, per_task)) : n_tasks;
}

guint
hzb_machine_room_count (const HzbMachineRoom *room, const HzbJobSpec *spec, HzbRoomView view, guint max_tasks)
{
  const HzbResources *free = &room->free[view];
  double n_tasks = max_tasks;

  if (room->machine ? !hzb_machine_is_eligible (room->machine, spec)
                    : !hzb_machine_kind_matches_constraints (&room->kind, spec))
    return 0;
  n_tasks = limit_by_resource (n_tasks, free->cpus, spec->cpus);
  n_tasks = limit_by_resource (n_tasks, free->gpus, spec->gpus);
  n_tasks = limit_by_resource (n_tasks, free->memory_gb, spec->memory_gb);
  n_tasks = MIN (n_tasks, free->tasks);
  return (guint) MAX (n_tasks, 0);
}

void
hzb_machine_room_take (HzbMachineRoom *room, const HzbJobSpec *spec, guint n_tasks)
{
  for (guint view = 0; view < HZB_N_ROOM_VIEWS; view++)
    subtract_tasks (&room->free[view], spec, n_tasks);
}
