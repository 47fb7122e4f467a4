/**
 * @file
 * SECTION: placement-check
 *
 * Checks that the machines can hold each waiting job by the rules that will place it, and requests what is missing.
 *
 * Demand and supply (demand.h) are sums of units. Sums can match although a job cannot be placed: its tasks do not divide
 * a machine, a gang has to be spread over zones or to be in one, the room is scattered over machines, or it is taken by
 * tasks that do not end. So each waiting job is tried on a list of the room of each machine (room.h):
 *
 * - a gang needs room for all of its tasks at the same time, a service for all waiting replicas, and an array for one
 *   task, since each task that ends leaves its room to the next one;
 * - room that tasks leave soon counts; for a gang or a service that has waited for long, only room that is free now;
 *   leased machines count at first;
 * - a zone limits how many tasks it takes, as `samePlace` and `spread` ask;
 * - what is missing is requested from the cheapest kinds that the cloud did not refuse lately; for a gang, only if the
 *   cloud may grant all of it.
 *
 * Machines that will run a waiting gang or service are not returned, see HzbMachine.held_for_waiting_job. The number of
 * rooms that one run examines is bounded. Arrays of the same shape are tried once; jobs beyond the bound are tried in the
 * next run.
 */
#pragma once
#include "autoscaler.h"
#include "room.h"

/** HZB_MAX_SCALE_OUT_REQUESTS: calls to the cloud for which one run of the autoscaler asks at most; the next run waits for
 * their responses. */
#define HZB_MAX_SCALE_OUT_REQUESTS 8u

/** HZB_MAX_MACHINES_PER_REQUEST: the maximum that the cloud accepts in one call. */
#define HZB_MAX_MACHINES_PER_REQUEST 50u

/** HzbPlacementCheck: the state of the check during one run of the autoscaler. All fields are private. */
typedef struct
{
  HzbAutoscaler *autoscaler; /**< Not owned. */
  struct timespec now;       /**< The current time. */
  const GArray *kinds;       /**< (element-type HzbMachineKind) Not owned. */
  GArray *requests;          /**< (element-type HzbScaleOutRequest) All requests of the run; not owned. */
  guint requests_counted;    /**< Number of requests that are in `rooms`. */
  HzbRooms *rooms;           /**< (nullable) Owned; NULL: no job had to be tried yet. */
  /** (element-type HzbJobSpec) By view: one spec of each shape of arrays that was tried. Owned; the specs are not. */
  GPtrArray *arrays_tried[HZB_N_ROOM_VIEWS];
  double *cpus;     /**< By team: CPUs that the jobs tried so far will use; owned. */
  double *gpus;     /**< By team: GPUs of the same jobs; owned. */
  guint rooms_left; /**< How many more rooms the current pass may examine. */
} HzbPlacementCheck;

/**
 * hzb_placement_check_init: begins the check of one run, and releases all machines that were held for waiting jobs.
 * `kinds`: (element-type HzbMachineKind): all kinds of machines
 * `requests`: (element-type HzbScaleOutRequest): the requests of the run; the check appends to it
 */
void hzb_placement_check_init (HzbPlacementCheck *check, HzbAutoscaler *autoscaler, const GArray *kinds,
                               GArray *requests, struct timespec now);

/** hzb_placement_check_clear: frees the memory that the check owns. */
void hzb_placement_check_clear (HzbPlacementCheck *check);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HzbPlacementCheck, hzb_placement_check_clear)

/**
 * hzb_placement_check_run: tries waiting jobs, and requests machines for those that the machines cannot hold.
 * `pass`: HZB_PLACEMENT_PASS_ZONES before the demands are collected, since it chooses the zones of jobs with `samePlace`
 * (HzbJob.planned_zone); HZB_PLACEMENT_PASS_OTHERS after the demands were met, so that machines requested for them count
 */
void hzb_placement_check_run (HzbPlacementCheck *check, HzbPlacementPass pass);
