#include "autoscaler.h"

#define DEFAULT_IDLE_S 40
#define DEFAULT_PATIENCE 0.6

/* Pause after a refusal: it grows with each one that follows. */
#define PAUSE_GROWTH 1.5
#define LEAST_PAUSE_S 6
#define MOST_PAUSE_S 30

typedef struct
{
  struct timespec until;
  double pause_s;
} Refusal;

HzbAutoscaler *
hzb_autoscaler_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings)
{
  HzbAutoscaler *autoscaler = g_new0 (HzbAutoscaler, 1);

  autoscaler->jobs = jobs;
  autoscaler->machines = machines;
  autoscaler->settings = settings;
  autoscaler->idle_s = DEFAULT_IDLE_S;
  autoscaler->patience = DEFAULT_PATIENCE;
  autoscaler->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return autoscaler;
}

void
hzb_autoscaler_free (HzbAutoscaler *autoscaler)
{
  g_hash_table_unref (autoscaler->refused);
  g_free (autoscaler);
}

char *
hzb_machine_kind_name (const HzbMachineType *type, const char *zone, gboolean spot)
{
  return g_strdup_printf ("%s %s %s", type->name, zone, spot ? "spot" : "ordinary");
}

void
hzb_autoscaler_note_refused (HzbAutoscaler *autoscaler, const HzbScaleOutRequest *rental, struct timespec now)
{
  g_autofree char *name = hzb_machine_kind_name (rental->type, rental->zone, rental->spot);
  Refusal *refusal = g_hash_table_lookup (autoscaler->refused, name);

  if (!refusal)
    {
      refusal = g_new0 (Refusal, 1);
      g_hash_table_insert (autoscaler->refused, g_steal_pointer (&name), refusal);
    }
  refusal->pause_s = CLAMP (refusal->pause_s * PAUSE_GROWTH, LEAST_PAUSE_S, MOST_PAUSE_S);
  refusal->until = hzb_time_plus (now, refusal->pause_s);
}

void
hzb_autoscaler_note_granted (HzbAutoscaler *autoscaler, const HzbScaleOutRequest *rental)
{
  g_autofree char *name = hzb_machine_kind_name (rental->type, rental->zone, rental->spot);

  g_hash_table_remove (autoscaler->refused, name);
}

gboolean
hzb_autoscaler_is_refused (const HzbAutoscaler *autoscaler, const char *kind_name, struct timespec now)
{
  const Refusal *refusal = g_hash_table_lookup (autoscaler->refused, kind_name);

  return refusal && hzb_time_before (now, refusal->until);
}
