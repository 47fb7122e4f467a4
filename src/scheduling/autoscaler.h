/**
 * @file
 * SECTION: autoscaler
 *
 * The autoscaler: decides how many machines of which kinds to rent and to return.
 *
 * The autoscaler only decides; provisioning sends the requests to the cloud. demand.h computes demand and supply,
 * scale-out.c requests machines where supply is short, and scale-in.c returns surplus machines. A kind of machines is a
 * machine type in one zone, either spot or on-demand.
 */
#pragma once
#include "machines.h"

/** HzbScaleOutRequest: machines of one kind to be rented by one call to the cloud. */
typedef struct
{
  HzbMachineKind kind; /**< What to rent. */
  guint count;         /**< Number of machines. */
} HzbScaleOutRequest;

/** HzbPlacementPass: the two passes over the waiting jobs in which the autoscaler checks that the machines can hold them,
 * see placement-check.h. */
typedef enum
{
  HZB_PLACEMENT_PASS_ZONES,  /**< Jobs for which it matters in which zones machines are rented. */
  HZB_PLACEMENT_PASS_OTHERS, /**< All other jobs. */
  HZB_N_PLACEMENT_PASSES     /**< Number of passes. */
} HzbPlacementPass;

/** HzbAutoscaler: the autoscaler of the leader. */
typedef struct
{
  HzbJobs *jobs;               /**< Not owned. */
  HzbMachines *machines;       /**< Not owned. */
  const HzbSettings *settings; /**< Not owned. */
  GHashTable *refusals;        /**< Name of a kind -> private record of the refusal; owned. */
  double max_idle_s;           /**< Parameter: seconds that a machine without work is kept. */
  double start_slack_fraction; /**< Parameter: waiting work should start within this fraction of the time that its
                                  objectives leave. */
  double smoothed_units;       /**< Units (CPUs or GPUs, see demand.h) that all demands together want, smoothed over
                                  about twelve seconds, see scale-in.c. */
  guint first_job_to_try[HZB_N_PLACEMENT_PASSES]; /**< Index in HzbJobs.active at which the next check of placements
                                                     begins, see placement-check.h. */
} HzbAutoscaler;

/**
 * hzb_autoscaler_new: creates an autoscaler. All arguments are (transfer none) and outlive it.
 *
 * Returns: (transfer full)
 */
HzbAutoscaler *hzb_autoscaler_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings);

/** hzb_autoscaler_free: `autoscaler`: (transfer full) */
void hzb_autoscaler_free (HzbAutoscaler *autoscaler);

/**
 * hzb_autoscaler_scale_out: decides which machines to rent now.
 *
 * Scale-in candidates that are needed again stop being candidates.
 *
 * Returns: (transfer full) (element-type HzbScaleOutRequest)
 */
GArray *hzb_autoscaler_scale_out (HzbAutoscaler *autoscaler, struct timespec now);

/**
 * hzb_autoscaler_scale_in: decides which machines to return to the cloud now. Called once a second.
 *
 * Also updates which machines are scale-in candidates, and which are reserved for services (headroom.h).
 *
 * Returns: (transfer full) (element-type HzbMachine)
 */
GPtrArray *hzb_autoscaler_scale_in (HzbAutoscaler *autoscaler, struct timespec now);

/** hzb_autoscaler_record_refusal: records that the cloud refused a request for lack of machines of this kind. The
 * autoscaler does not request this kind again for 6 to 30 seconds. */
void hzb_autoscaler_record_refusal (HzbAutoscaler *autoscaler, const HzbMachineKind *kind, struct timespec now);

/** hzb_autoscaler_record_grant: records that the cloud granted a request, which ends the pause for this kind. */
void hzb_autoscaler_record_grant (HzbAutoscaler *autoscaler, const HzbMachineKind *kind);

/** hzb_autoscaler_is_refused: whether the kind is not to be requested now, since the cloud refused it lately. */
gboolean hzb_autoscaler_is_refused (const HzbAutoscaler *autoscaler, const HzbMachineKind *kind, struct timespec now);
