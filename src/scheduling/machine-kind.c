#include "machine-kind.h"

#include "rounding.h"

GArray *
hzb_machine_kinds_new (const GPtrArray *types)
{
  GArray *kinds = g_array_new (FALSE, FALSE, sizeof (HzbMachineKind));

  for (guint t = 0; types && t < types->len; t++)
    {
      const HzbMachineType *type = types->pdata[t];
      for (guint z = 0; type->zones[z]; z++)
        for (gint spot = 0; spot < 2; spot++)
          {
            HzbMachineKind kind = { type, type->zones[z], spot };
            g_array_append_val (kinds, kind);
          }
    }
  return kinds;
}

char *
hzb_machine_kind_name (const HzbMachineKind *kind)
{
  return g_strdup_printf ("%s %s %s", kind->type->name, kind->zone, kind->spot ? "spot" : "ordinary");
}

gboolean
hzb_machine_type_holds (const HzbMachineType *type, const HzbJobSpec *spec)
{
  return type->cpus + HZB_QUOTIENT_TOLERANCE >= spec->cpus && type->gpus + HZB_QUOTIENT_TOLERANCE >= spec->gpus
         && type->memory_gb + HZB_QUOTIENT_TOLERANCE >= spec->memory_gb
         && (!spec->types || g_strv_contains ((const char *const *) spec->types, type->name));
}

guint
hzb_machine_type_speed (const HzbMachineType *type, const HzbJobSpec *spec)
{
  double speed = HZB_MAX_TASKS_PER_MACHINE;

  if (!hzb_machine_type_holds (type, spec))
    return 0;
  if (spec->cpus > 0)
    speed = MIN (speed, hzb_quotient_floor (type->cpus, spec->cpus));
  if (spec->gpus > 0)
    speed = MIN (speed, hzb_quotient_floor (type->gpus, spec->gpus));
  if (spec->memory_gb > 0)
    speed = MIN (speed, hzb_quotient_floor (type->memory_gb, spec->memory_gb));
  return (guint) speed;
}

gboolean
hzb_machine_kind_matches_constraints (const HzbMachineKind *kind, const HzbJobSpec *spec)
{
  return hzb_machine_type_holds (kind->type, spec) && (spec->spot || !kind->spot)
         && (!spec->zone || g_str_equal (spec->zone, kind->zone));
}
