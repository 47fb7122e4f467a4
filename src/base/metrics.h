/* Counters and latency histograms, for the administration API. */
#pragma once
#include "clock.h"

#include <cjson/cJSON.h>

typedef enum
{
  HZB_METRIC_HEARTBEAT,
  HZB_METRIC_SUBMIT,
  HZB_METRIC_STATUS,
  HZB_METRIC_CANCEL,
  HZB_METRIC_OTHER,
  HZB_METRIC_N_KINDS
} HzbMetricKind;

typedef struct _HzbMetrics HzbMetrics;

HzbMetrics *hzb_metrics_new (void);
void hzb_metrics_free (HzbMetrics *metrics);
void hzb_metrics_answered (HzbMetrics *metrics, HzbMetricKind kind, guint status, double seconds);
cJSON *hzb_metrics_pack (const HzbMetrics *metrics);
