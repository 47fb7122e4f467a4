/**
 * SECTION: metrics
 * @short_description: counters and latency histograms of received requests, for the administration API
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbMetricKind: the kinds of requests that are counted separately. */
typedef enum
{
  HZB_METRIC_HEARTBEAT, /**< heartbeats of workers */
  HZB_METRIC_SUBMIT,    /**< submissions of jobs */
  HZB_METRIC_STATUS,    /**< requests for a job's state */
  HZB_METRIC_CANCEL,    /**< cancellations of jobs */
  HZB_METRIC_OTHER,     /**< all other requests */
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
 * @param metrics (transfer full) the metrics
 */
void hzb_metrics_free (HzbMetrics *metrics);

/**
 * Counts a response and its latency.
 * @param metrics the metrics
 * @param kind kind of the request
 * @param status HTTP status of the response
 * @param seconds time from the request to the response, in seconds
 */
void hzb_metrics_record_response (HzbMetrics *metrics, HzbMetricKind kind, guint status, double seconds);

/**
 * Encodes the metrics for the administration API.
 * @param metrics the metrics
 * @return (transfer full): an object with a member for each kind of request
 */
cJSON *hzb_metrics_encode (const HzbMetrics *metrics);
