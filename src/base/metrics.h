/**
 * SECTION: metrics
 * @short_description: counters and latency histograms of received requests, for the administration API
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbMetricKind: what requests are counted by. */
typedef enum
{
  HZB_METRIC_HEARTBEAT, /**< heartbeats of workers */
  HZB_METRIC_SUBMIT,    /**< submissions */
  HZB_METRIC_STATUS,    /**< questions for a job's state */
  HZB_METRIC_CANCEL,    /**< cancellations */
  HZB_METRIC_OTHER,     /**< all others */
  HZB_METRIC_N_KINDS    /**< number of kinds */
} HzbMetricKind;

/** HzbMetrics: the counters and histograms of a controller, since its start. */
typedef struct _HzbMetrics HzbMetrics;

/**
 * Makes metrics that count from 0.
 * @return (transfer full): the metrics
 */
HzbMetrics *hzb_metrics_new (void);

/**
 * Frees metrics.
 * @param metrics (transfer full)
 */
void hzb_metrics_free (HzbMetrics *metrics);

/**
 * Counts a request that was answered.
 * @param metrics the metrics
 * @param kind of the request
 * @param status of the response
 * @param seconds from the request to the response
 */
void hzb_metrics_answered (HzbMetrics *metrics, HzbMetricKind kind, guint status, double seconds);

/**
 * Encodes the metrics for the administration API.
 * @param metrics the metrics
 * @return (transfer full): an object with a member for each kind
 */
cJSON *hzb_metrics_pack (const HzbMetrics *metrics);
