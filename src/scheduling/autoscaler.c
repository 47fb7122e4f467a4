#include "autoscaler.h"

#define DEFAULT_MAX_IDLE_S 40
#define DEFAULT_START_SLACK_FRACTION 0.6

/* After the cloud has refused a kind of machines, the autoscaler does not request that kind during a pause. Each
 * further refusal in a row lengthens the pause by this factor, within the bounds below. */
#define REFUSAL_PAUSE_GROWTH 1.5
#define MIN_REFUSAL_PAUSE_S 6
#define MAX_REFUSAL_PAUSE_S 30

/* The pause in requests for one kind of machines, since the cloud last refused that kind. */
typedef struct
{
  struct timespec until; /* end of the pause */
  double pause_s;        /* length of the pause */
} Refusal;

HzbAutoscaler *
hzb_autoscaler_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings)
{
  HzbAutoscaler *autoscaler = g_new0 (HzbAutoscaler, 1);

  autoscaler->jobs = jobs;
  autoscaler->machines = machines;
  autoscaler->settings = settings;
  autoscaler->max_idle_s = DEFAULT_MAX_IDLE_S;
  autoscaler->start_slack_fraction = DEFAULT_START_SLACK_FRACTION;
  autoscaler->refusals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return autoscaler;
}

void
hzb_autoscaler_free (HzbAutoscaler *autoscaler)
{
  g_hash_table_unref (autoscaler->refusals);
  g_free (autoscaler);
}

void
hzb_autoscaler_record_refusal (HzbAutoscaler *autoscaler, const HzbMachineKind *kind, struct timespec now)
{
  g_autofree char *name = hzb_machine_kind_name (kind);
  Refusal *refusal = g_hash_table_lookup (autoscaler->refusals, name);

  if (!refusal)
    {
      refusal = g_new0 (Refusal, 1);
      g_hash_table_insert (autoscaler->refusals, g_steal_pointer (&name), refusal);
    }
  refusal->pause_s = CLAMP (refusal->pause_s * REFUSAL_PAUSE_GROWTH, MIN_REFUSAL_PAUSE_S, MAX_REFUSAL_PAUSE_S);
  refusal->until = hzb_time_plus (now, refusal->pause_s);
}

void
hzb_autoscaler_record_grant (HzbAutoscaler *autoscaler, const HzbMachineKind *kind)
{
  g_autofree char *name = hzb_machine_kind_name (kind);

  g_hash_table_remove (autoscaler->refusals, name);
}

gboolean
hzb_autoscaler_is_refused (const HzbAutoscaler *autoscaler, const HzbMachineKind *kind, struct timespec now)
{
  g_autofree char *name = hzb_machine_kind_name (kind);
  const Refusal *refusal = g_hash_table_lookup (autoscaler->refusals, name);

  return refusal && hzb_time_before (now, refusal->until);
}
