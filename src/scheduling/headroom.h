/**
 * @file
 * SECTION: headroom
 *
 * Headroom: capacity that is kept free for replicas of services.
 *
 * A service loses capacity at once while a replica waits for a machine to boot or for other work to be preempted. So,
 * while there is a service, some on-demand machines in two zones are reserved for replicas. In each of the zones, the
 * CPUs of the largest service and of one more replica are kept free. The reservation is released while another job is
 * starved, that is, has waiting tasks of which none has started for more than 45 seconds, although its team's limit
 * allows one more to start.
 */
#pragma once
#include "machines.h"

/** HZB_HEADROOM_ZONES: maximum number of zones with headroom. */
#define HZB_HEADROOM_ZONES 2u

/** HzbHeadroomZone: the headroom of one zone, in CPUs. */
typedef struct
{
  const char *zone; /**< Name of the zone; not owned. */
  double placed;    /**< CPUs of the replicas in the zone. */
  double waiting;   /**< The zone's share of the CPUs that waiting replicas need. */
  double free;      /**< CPUs to be kept free in addition. */
} HzbHeadroomZone;

/** HzbHeadroom: the zones with headroom, and how much is wanted in each. */
typedef struct
{
  const HzbJobSpec
      *spec;     /**< (nullable) The service with the largest replicas; NULL: there is no service. Not owned. */
  guint n_zones; /**< Number of zones in use. */
  HzbHeadroomZone zones[HZB_HEADROOM_ZONES]; /**< The zones. */
} HzbHeadroom;

/** hzb_headroom_plan: computes the headroom that is wanted now. Returns: valid until jobs or machine types change */
HzbHeadroom hzb_headroom_plan (const HzbJobs *jobs, const HzbMachines *machines);

/** hzb_headroom_reserve: decides which machines are reserved for replicas. Called once a second. */
void hzb_headroom_reserve (const HzbHeadroom *headroom, HzbJobs *jobs, HzbMachines *machines);
