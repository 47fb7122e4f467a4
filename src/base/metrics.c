#include "metrics.h"

#include <gsl/gsl_histogram.h>

static const char *const kind_names[] = {
  [HZB_METRIC_HEARTBEAT] = "reports",    [HZB_METRIC_SUBMIT] = "submissions", [HZB_METRIC_STATUS] = "statusRequests",
  [HZB_METRIC_CANCEL] = "cancellations", [HZB_METRIC_OTHER] = "others",
};

/* Edges of the histograms' buckets, in seconds. The last bucket has all that took longer. */
static const double edges[] = { 0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 1e9 };
#define MOST_SECONDS 1e8 /* falls into the last bucket */

#define FIRST_STATUS_CLASS 2u /* 2xx */
#define STATUS_CLASSES 6u     /* up to 5xx */

struct _HzbMetrics
{
  guint64 responses[HZB_METRIC_N_KINDS][STATUS_CLASSES]; /* by the first digit of the status */
  gsl_histogram *seconds[HZB_METRIC_N_KINDS];
};

HzbMetrics *
hzb_metrics_new (void)
{
  HzbMetrics *metrics = g_new0 (HzbMetrics, 1);
  for (guint i = 0; i < HZB_METRIC_N_KINDS; i++)
    {
      metrics->seconds[i] = gsl_histogram_alloc (G_N_ELEMENTS (edges) - 1);
      gsl_histogram_set_ranges (metrics->seconds[i], edges, G_N_ELEMENTS (edges));
    }
  return metrics;
}

void
hzb_metrics_free (HzbMetrics *metrics)
{
  for (guint i = 0; i < HZB_METRIC_N_KINDS; i++)
    gsl_histogram_free (metrics->seconds[i]);
  g_free (metrics);
}

void
hzb_metrics_answered (HzbMetrics *metrics, HzbMetricKind kind, guint status, double seconds)
{
  metrics->responses[kind][MIN (status / 100, STATUS_CLASSES - 1)]++;
  gsl_histogram_increment (metrics->seconds[kind], CLAMP (seconds, 0, MOST_SECONDS));
}

static void
add_response_counts (cJSON *object, const guint64 *responses)
{
  for (guint digit = FIRST_STATUS_CLASS; digit < STATUS_CLASSES; digit++)
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
  if (high < MOST_SECONDS)
    cJSON_AddNumberToObject (bucket, "belowS", high);
  else
    cJSON_AddNullToObject (bucket, "belowS");
  cJSON_AddNumberToObject (bucket, "count", gsl_histogram_get (histogram, index));
  return bucket;
}

cJSON *
hzb_metrics_pack (const HzbMetrics *metrics)
{
  cJSON *root = cJSON_CreateObject ();
  for (guint i = 0; i < HZB_METRIC_N_KINDS; i++)
    {
      const gsl_histogram *histogram = metrics->seconds[i];
      cJSON *kind = cJSON_AddObjectToObject (root, kind_names[i]), *buckets;
      add_response_counts (kind, metrics->responses[i]);
      cJSON_AddNumberToObject (kind, "count", gsl_histogram_sum (histogram));
      buckets = cJSON_AddArrayToObject (kind, "latency");
      for (gsize b = 0; b < gsl_histogram_bins (histogram); b++)
        cJSON_AddItemToArray (buckets, encode_bucket (histogram, b));
    }
  return root;
}
