/* What to rent and what to return. Decides only; the controller asks the cloud. */
#pragma once
#include "dispatch.h"

typedef struct
{
  const HzbMachineType *type;
  const char *zone; /* of the type */
  gboolean spot;
  guint count;
} HzbScaleOutRequest;

typedef struct
{
  HzbJobs *jobs;
  HzbMachines *machines;
  const HzbSettings *settings;
  GHashTable *refused; /* "type zone kind" -> HzbRefusal */
  double idle_s;       /* a machine without work is kept this long */
  double patience;     /* part of the time that aims leave in which waiting work should start */
  double usual;        /* units wanted, smoothed */
} HzbAutoscaler;

HzbAutoscaler *hzb_autoscaler_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings);
void hzb_autoscaler_free (HzbAutoscaler *autoscaler);
GArray *hzb_autoscaler_scale_out (HzbAutoscaler *autoscaler, struct timespec now); /* HzbScaleOutRequest */
GPtrArray *
hzb_autoscaler_scale_in (HzbAutoscaler *autoscaler, struct timespec now); /* HzbMachine, to be taken out of use */
void hzb_autoscaler_note_refused (HzbAutoscaler *autoscaler, const HzbScaleOutRequest *rental, struct timespec now);
void hzb_autoscaler_note_granted (HzbAutoscaler *autoscaler, const HzbScaleOutRequest *rental);
