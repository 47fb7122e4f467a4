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
  HzbMetrics *machine = g_new0 (HzbMetrics, 1);
  for (guint i = 0; i < HZB_METRIC_N_KINDS; i++)
    {
      machine->seconds[i] = gsl_histogram_alloc (G_N_ELEMENTS (edges) - 1);
      gsl_histogram_set_ranges (machine->seconds[i], edges, G_N_ELEMENTS (edges));
    }
  return machine;
}

void
hzb_metrics_free (HzbMetrics *machine)
{
  for (guint i = 0; i < HZB_METRIC_N_KINDS; i++)
    gsl_histogram_free (machine->seconds[i]);
  g_free (machine);
}

void
hzb_metrics_answered (HzbMetrics *machine, HzbMetricKind kind, guint status, double seconds)
{
  machine->answers[kind][MIN (status / 100, 5)]++;
  gsl_histogram_increment (machine->seconds[kind], CLAMP (seconds, 0, 1e8));
}

cJSON *
hzb_metrics_pack (const HzbMetrics *machine)
{
  cJSON *root = cJSON_CreateObject ();
  for (guint i = 0; i < HZB_METRIC_N_KINDS; i++)
    {
      cJSON *kind = cJSON_AddObjectToObject (root, names[i]), *buckets;
      double sum = gsl_histogram_sum (machine->seconds[i]);
      for (guint d = 2; d < 6; d++)
        {
          char name[8];
          g_snprintf (name, sizeof name, "%uxx", d);
          cJSON_AddNumberToObject (kind, name, (double) machine->answers[i][d]);
        }
      cJSON_AddNumberToObject (kind, "count", sum);
      buckets = cJSON_AddArrayToObject (kind, "latency");
      for (gsize b = 0; b < gsl_histogram_bins (machine->seconds[i]); b++)
        {
          double low, high;
          cJSON *bucket = cJSON_CreateObject ();
          gsl_histogram_get_range (machine->seconds[i], b, &low, &high);
          if (high < 1e8)
            cJSON_AddNumberToObject (bucket, "belowS", high);
          else
            cJSON_AddNullToObject (bucket, "belowS");
          cJSON_AddNumberToObject (bucket, "count", gsl_histogram_get (machine->seconds[i], b));
          cJSON_AddItemToArray (buckets, bucket);
        }
    }
  return root;
}
