/**
 * @file
 * SECTION: headroom
 *
 * Room that is kept free for services.
 *
 * A replica that waits for a machine to boot, or for other work to be stopped, is missed from the first second. So,
 * while there is a service, some ordinary machines in two zones take replicas only, and in each zone as much stays free
 * there as the largest service takes, and one more replica. The room is given up while another job waits for long
 * although its team's limit allows it.
 */
#pragma once
#include "machines.h"

/** HZB_HEADROOM_ZONES: in so many zones room is kept. */
#define HZB_HEADROOM_ZONES 2u

/** HzbHeadroomZone: the room of one zone, in CPUs. */
typedef struct
{
  const char *zone; /**< Name of the zone; not owned. */
  double placed;    /**< What replicas take that are there. */
  double waiting;   /**< The zone's share of what waiting replicas need. */
  double free;      /**< What is to be kept free beyond that. */
} HzbHeadroomZone;

/** HzbHeadroom: where how much room is wanted. */
typedef struct
{
  const HzbJobSpec
      *spec;     /**< (nullable) Of the service with the largest replicas; NULL: there is no service. Not owned. */
  guint n_zones; /**< How many of zones hold. */
  HzbHeadroomZone zones[HZB_HEADROOM_ZONES]; /**< The zones. */
} HzbHeadroom;

/** hzb_headroom_plan: what room is wanted now. Returns: valid until jobs or types of machines change */
HzbHeadroom hzb_headroom_plan (const HzbJobs *jobs, const HzbMachines *machines);

/** hzb_headroom_reserve: decides which machines take replicas only. Called once a second. */
void hzb_headroom_reserve (const HzbHeadroom *headroom, HzbJobs *jobs, HzbMachines *machines);
