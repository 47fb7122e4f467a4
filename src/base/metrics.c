#include "metrics.h"

#include <gsl/gsl_histogram.h>

static const char *const names[] = { "reports", "submissions", "statusRequests", "cancellations", "others" };

/* Upper edges of the buckets in seconds. */
static const double edges[] = { 0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 1e9 };

struct _HzbMetrics
{
  guint64 answers[HZB_METRIC_N_KINDS][6]; /* by the status's first digit */
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
  metrics->answers[kind][MIN (status / 100, 5)]++;
  gsl_histogram_increment (metrics->seconds[kind], CLAMP (seconds, 0, 1e8));
}

cJSON *
hzb_metrics_pack (const HzbMetrics *metrics)
{
  cJSON *root = cJSON_CreateObject ();
  for (guint i = 0; i < HZB_METRIC_N_KINDS; i++)
    {
      cJSON *kind = cJSON_AddObjectToObject (root, names[i]), *buckets;
      double sum = gsl_histogram_sum (metrics->seconds[i]);
      for (guint d = 2; d < 6; d++)
        {
          char name[8];
          g_snprintf (name, sizeof name, "%uxx", d);
          cJSON_AddNumberToObject (kind, name, (double) metrics->answers[i][d]);
        }
      cJSON_AddNumberToObject (kind, "count", sum);
      buckets = cJSON_AddArrayToObject (kind, "latency");
      for (gsize b = 0; b < gsl_histogram_bins (metrics->seconds[i]); b++)
        {
          double low, high;
          cJSON *bucket = cJSON_CreateObject ();
          gsl_histogram_get_range (metrics->seconds[i], b, &low, &high);
          if (high < 1e8)
            cJSON_AddNumberToObject (bucket, "belowS", high);
          else
            cJSON_AddNullToObject (bucket, "belowS");
          cJSON_AddNumberToObject (bucket, "count", gsl_histogram_get (metrics->seconds[i], b));
          cJSON_AddItemToArray (buckets, bucket);
        }
    }
  return root;
}
