/**
 * @file
 * SECTION: room
 *
 * The room that machines have for waiting tasks, machine by machine.
 *
 * A list of rooms is made for one run of the autoscaler. It has the machines that are up or booting, and can be extended
 * by machines that are about to be rented. Taking room changes the list only: nothing is reserved on a machine.
 */
#pragma once
#include "machines.h"

/** HZB_ROOM_SOON_S: tasks that are expected to end within this many seconds leave room in the views HZB_ROOM_SOON. */
#define HZB_ROOM_SOON_S 60.0

/** HzbRoomView: which tasks on a machine leave no room for others. */
typedef enum
{
  HZB_ROOM_NOW,          /**< All tasks. A leased machine has no room, since its leaseholder alone knows its tasks. */
  HZB_ROOM_SOON,         /**< Tasks that are not expected to end soon. A leased machine has no room. */
  HZB_ROOM_SOON_LEASED,  /**< As HZB_ROOM_SOON, but a leased machine counts as empty. */
  HZB_ROOM_FOR_REPLICAS, /**< Replicas of services, since a replica may be able to preempt other tasks. */
  HZB_N_ROOM_VIEWS       /**< Number of views. */
} HzbRoomView;

/** HzbResources: amounts of resources. */
typedef struct
{
  double cpus;      /**< CPUs. */
  double gpus;      /**< GPUs. */
  double memory_gb; /**< GB of memory. */
  double tasks;     /**< Tasks, of HZB_MAX_TASKS_PER_MACHINE. */
} HzbResources;

/** HzbMachineRoom: the room of one machine. */
typedef struct
{
  HzbMachine *machine;                 /**< (nullable) Not owned; NULL: the machine is yet to be rented. */
  HzbMachineKind kind;                 /**< Its kind. */
  guint zone_index;                    /**< Index of its zone in HzbRooms.zones. */
  HzbResources free[HZB_N_ROOM_VIEWS]; /**< What is free, by view. */
} HzbMachineRoom;

/** HzbRooms: the rooms of a fleet. */
typedef struct
{
  GArray *all;      /**< (element-type HzbMachineRoom) Owned. Scale-in candidates come after all other machines. */
  GPtrArray *zones; /**< (element-type utf8) The zones of all machines and machine types; strings not owned. */
} HzbRooms;

/**
 * hzb_rooms_new: lists the rooms of all machines that are up, or that are expected to finish booting.
 *
 * The list is valid until machines, tasks or machine types change.
 *
 * Returns: (transfer full)
 */
HzbRooms *hzb_rooms_new (const HzbMachines *machines, struct timespec now);

/** hzb_rooms_free: `rooms`: (transfer full) */
void hzb_rooms_free (HzbRooms *rooms);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbRooms, hzb_rooms_free)

/** hzb_rooms_add: adds `count` empty machines of the kind, which are to be rented. */
void hzb_rooms_add (HzbRooms *rooms, const HzbMachineKind *kind, guint count);

/** hzb_rooms_zone_index: Returns: the index of the zone in HzbRooms.zones, which has the zones of all kinds */
guint hzb_rooms_zone_index (const HzbRooms *rooms, const char *zone);

/** hzb_machine_room_count: Returns: how many tasks of the job the machine has room for, at most `max_tasks`; 0 if the
 * job's placement constraints exclude the machine */
guint hzb_machine_room_count (const HzbMachineRoom *room, const HzbJobSpec *spec, HzbRoomView view, guint max_tasks);

/** hzb_machine_room_take: takes the room of `n_tasks` tasks of the job, in every view. */
void hzb_machine_room_take (HzbMachineRoom *room, const HzbJobSpec *spec, guint n_tasks);
