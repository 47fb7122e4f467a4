/**
 * @file
 * SECTION: autoscaler
 *
 * How many machines of which kinds there should be.
 *
 * Decides only: provisioning asks the cloud. demand.h counts what is needed and what there is, scale-out.c rents for
 * what is lacking, and scale-in.c gives up what is too much.
 */
#pragma once
#include "machines.h"

/** HzbScaleOutRequest: machines of one kind to be rented by one call. */
typedef struct
{
  const HzbMachineType *type; /**< Not owned. */
  const char *zone;           /**< Not owned: a zone of the type. */
  gboolean spot;              /**< Spot instances. */
  guint count;                /**< How many. */
} HzbScaleOutRequest;

/** HzbAutoscaler: the autoscaler of the leader. */
typedef struct
{
  HzbJobs *jobs;               /**< Not owned. */
  HzbMachines *machines;       /**< Not owned. */
  const HzbSettings *settings; /**< Not owned. */
  GHashTable *refused;         /**< Kinds that the cloud refused lately, see hzb_autoscaler_is_refused(). */
  double idle_s;               /**< Parameter: a machine without work is kept so many seconds. */
  double patience; /**< Parameter: waiting work should start within this part of the time that its objectives leave. */
  double usual;    /**< Units wanted, smoothed over about twelve seconds, see scale-in.c. */
} HzbAutoscaler;

/**
 * hzb_autoscaler_new: all arguments are (transfer none) and outlive the autoscaler.
 *
 * Returns: (transfer full)
 */
HzbAutoscaler *hzb_autoscaler_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings);

/** hzb_autoscaler_free: `autoscaler`: (transfer full) */
void hzb_autoscaler_free (HzbAutoscaler *autoscaler);

/**
 * hzb_autoscaler_scale_out: what to rent now.
 *
 * Scale-in candidates that are needed again stop being candidates.
 *
 * Returns: (transfer full) (element-type HzbScaleOutRequest)
 */
GArray *hzb_autoscaler_scale_out (HzbAutoscaler *autoscaler, struct timespec now);

/**
 * hzb_autoscaler_scale_in: which machines to return to the cloud now. Called once a second.
 *
 * Also decides which machines are scale-in candidates, and which are reserved for services (headroom.h).
 *
 * Returns: (transfer full) (element-type HzbMachine)
 */
GPtrArray *hzb_autoscaler_scale_in (HzbAutoscaler *autoscaler, struct timespec now);

/** hzb_autoscaler_note_refused: the cloud has no such machines: the kind is not asked for again for 6 to 30 seconds. */
void hzb_autoscaler_note_refused (HzbAutoscaler *autoscaler, const HzbScaleOutRequest *rental, struct timespec now);

/** hzb_autoscaler_note_granted: the cloud has rented such machines out. */
void hzb_autoscaler_note_granted (HzbAutoscaler *autoscaler, const HzbScaleOutRequest *rental);

/** hzb_autoscaler_is_refused: whether the kind is not to be asked for now. `kind_name`: from hzb_machine_kind_name() */
gboolean hzb_autoscaler_is_refused (const HzbAutoscaler *autoscaler, const char *kind_name, struct timespec now);

/** hzb_machine_kind_name: names a kind of machines in tables. Returns: (transfer full) */
char *hzb_machine_kind_name (const HzbMachineType *type, const char *zone, gboolean spot);
