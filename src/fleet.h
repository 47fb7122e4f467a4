/* What to rent and what to return. Decides only; the controller asks the cloud. */
#pragma once
#include "dispatch.h"

typedef struct
{
  const HzbMachineType *type;
  const char *zone; /* of the type */
  gboolean spot;
  guint count;
} HzbRental;

typedef struct
{
  HzbJobs *jobs;
  HzbMachines *machines;
  const HzbSettings *settings;
  GHashTable *refused; /* "type zone kind" -> HzbRefusal */
  double idle_s;       /* a machine without work is kept this long */
  double patience;        /* part of the time that aims leave in which waiting work should start */
  double usual;        /* units wanted, smoothed */
} HzbFleet;

HzbFleet *hzb_fleet_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings);
void hzb_fleet_free (HzbFleet *fleet);
GArray *hzb_fleet_rentals (HzbFleet *fleet, struct timespec now);     /* HzbRental */
GPtrArray *hzb_fleet_returns (HzbFleet *fleet, struct timespec now);  /* HzbMachine, to be taken out of use */
void hzb_fleet_refused (HzbFleet *fleet, const HzbRental *rental, struct timespec now);
void hzb_fleet_granted (HzbFleet *fleet, const HzbRental *rental);
