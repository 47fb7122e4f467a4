/* Room kept for services. A replica that has to wait for a machine to boot, or for other work to be stopped, is missed
 * from the first second, so some ordinary machines in two zones take replicas only, and a few places stay free there. */
#pragma once
#include "machines.h"

#define HZB_HEADROOM_ZONES 2u

typedef struct
{
  const HzbJobSpec *spec; /* of the service with the largest replicas; NULL: there is no service */
  guint n_zones;
  struct
  {
    const char *zone;
    double placed, waiting, free; /* CPUs: of replicas there, of those that wait, and to be kept free beyond */
  } zones[HZB_HEADROOM_ZONES];
} HzbHeadroom;

HzbHeadroom hzb_headroom_plan (const HzbJobs *jobs, const HzbMachines *machines);
/* Which machines take replicas only; once a second. */
void hzb_headroom_reserve (const HzbHeadroom *headroom, HzbJobs *jobs, HzbMachines *machines);
