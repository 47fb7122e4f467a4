#include "metrics.h"

#include <gsl/gsl_histogram.h>

static const char *const kind_names[] = {
  [HZB_METRIC_HEARTBEAT] = "reports",    [HZB_METRIC_SUBMIT] = "submissions", [HZB_METRIC_STATUS] = "statusRequests",
  [HZB_METRIC_CANCEL] = "cancellations", [HZB_METRIC_OTHER] = "others",
};

/* Bounds of the histograms' buckets, in seconds. The last bucket counts all longer latencies. */
static const double bucket_bounds[] = { 0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 1e9 };
#define MAX_LATENCY_S 1e8 /* within the last bucket; longer latencies are counted as this one */

#define FIRST_STATUS_CLASS 2u /* 2xx */
#define N_STATUS_CLASSES 6u   /* the classes 0 to 5; 0 and 1 are not encoded */

struct _HzbMetrics
{
  guint64 responses[HZB_METRIC_N_KINDS][N_STATUS_CLASSES]; /* by the first digit of the status */
  gsl_histogram *latencies[HZB_METRIC_N_KINDS];            /* in seconds */
};

HzbMetrics *
hzb_metrics_new (void)
{
  HzbMetrics *metrics = g_new0 (HzbMetrics, 1);
  for (guint i = 0; i < HZB_METRIC_N_KINDS; i++)
    {
      metrics->latencies[i] = gsl_histogram_alloc (G_N_ELEMENTS (bucket_bounds) - 1);
      gsl_histogram_set_ranges (metrics->latencies[i], bucket_bounds, G_N_ELEMENTS (bucket_bounds));
    }
  return metrics;
}

void
hzb_metrics_free (HzbMetrics *metrics)
{
  for (guint i = 0; i < HZB_METRIC_N_KINDS; i++)
    gsl_histogram_free (metrics->latencies[i]);
  g_free (metrics);
}

void
hzb_metrics_record_response (HzbMetrics *metrics, HzbMetricKind kind, guint status, double seconds)
{
  metrics->responses[kind][MIN (status / 100, N_STATUS_CLASSES - 1)]++;
  gsl_histogram_increment (metrics->latencies[kind], CLAMP (seconds, 0, MAX_LATENCY_S));
}

static void
add_response_counts (cJSON *object, const guint64 *responses)
{
  for (guint digit = FIRST_STATUS_CLASS; digit < N_STATUS_CLASSES; digit++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "%uxx", digit);
      cJSON_AddNumberToObject (object, name, (double) responses[digit]);
    }
}

static cJSON *
encode_bucket (const gsl_histogram *histogram, gsize index)
{
  cJSON *bucket = cJSON_CreateObject ();
  double low, high;

  gsl_histogram_get_range (histogram, index, &low, &high);
  if (high < MAX_LATENCY_S)
    cJSON_AddNumberToObject (bucket, "belowS", high);
  else
    cJSON_AddNullToObject (bucket, "belowS"); /* the last bucket has no upper bound */
  cJSON_AddNumberToObject (bucket, "count", gsl_histogram_get (histogram, index));
  return bucket;
}

cJSON *
hzb_metrics_encode (const HzbMetrics *metrics)
{
  cJSON *root = cJSON_CreateObject ();
  for (guint i = 0; i < HZB_METRIC_N_KINDS; i++)
    {
      const gsl_histogram *histogram = metrics->latencies[i];
      cJSON *kind = cJSON_AddObjectToObject (root, kind_names[i]), *buckets;
      add_response_counts (kind, metrics->responses[i]);
      cJSON_AddNumberToObject (kind, "count", gsl_histogram_sum (histogram));
      buckets = cJSON_AddArrayToObject (kind, "latency");
      for (gsize b = 0; b < gsl_histogram_bins (histogram); b++)
        cJSON_AddItemToArray (buckets, encode_bucket (histogram, b));
    }
  return root;
}
