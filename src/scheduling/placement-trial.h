/**
 * @file
 * SECTION: placement-trial
 *
 * The trial of one waiting job on the list of rooms: where it could be placed, and what would have to be rented for it.
 *
 * Used by placement-check.c only, which decides which jobs are tried.
 */
#pragma once
#include "placement-check.h"

/** HzbPlacementTrial: a job that is tried. */
typedef struct
{
  HzbPlacementCheck *check; /**< Not owned. */
  HzbJob *job;              /**< Not owned. */
  HzbRoomView view;         /**< Which room counts. */
  gboolean uses_candidates; /**< Whether scale-in candidates count, which are then kept. */
  guint wanted;             /**< Tasks for which room is counted. */
  guint required;           /**< Of these, the tasks that need room now; machines are requested for them. */
  guint *allowed; /**< By zone: how many tasks the zone may take. An array for all zones, all 0 at first; not owned. */
  guint *found; /**< By zone: how many tasks it may take and has room for, at most `wanted`. An array like `allowed`. */
} HzbPlacementTrial;

/** hzb_placement_trial_begin: counts the room for the wanted tasks. For a job with `samePlace` it also chooses the zone. */
void hzb_placement_trial_begin (HzbPlacementTrial *trial);

/** hzb_placement_trial_missing: Returns: how many of the required tasks have no room */
guint hzb_placement_trial_missing (const HzbPlacementTrial *trial);

/**
 * hzb_placement_trial_plan_requests: plans requests for the required tasks without room, from the cheapest kinds that were
 * not refused lately. If one request for all tasks of a zone would be too large, later runs request the rest.
 *
 * Returns: (transfer full) (element-type HzbScaleOutRequest) (nullable): NULL if no kinds can be requested that would
 * hold all of these tasks
 */
GArray *hzb_placement_trial_plan_requests (const HzbPlacementTrial *trial);

/** hzb_placement_trial_take_room: takes the room that the required tasks will use, so that jobs that are tried later do not
 * count it. The machines are held, and scale-in candidates among them are kept. */
void hzb_placement_trial_take_room (HzbPlacementTrial *trial);
