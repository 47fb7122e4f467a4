/* Whether a submitted job could ever run, with the teams, zones and machine types that there are.
 *
 * A refusal is sent only after it is proven that the job was not accepted earlier: a repeat of an accepted job must not
 * be refused, whatever has changed since (hzb_checks_add()). */
#include "user-api-private.h"

/* CPUs and GPUs are sums of decimal fractions: what exceeds a limit by less is rounding. */
#define ROUNDING 1e-9

G_DEFINE_QUARK (hzb - admission - error - quark, hzb_admission_error)

static gboolean
runs_all_tasks_at_once (const HzbJobSpec *spec)
{
  return spec->kind == HZB_JOB_GANG || spec->kind == HZB_JOB_SERVICE;
}

static gboolean
zone_is_known (const HzbSettings *settings, const char *zone)
{
  for (guint i = 0; i < settings->zones->len; i++)
    if (g_str_equal (settings->zones->pdata[i], zone))
      return TRUE;
  return FALSE;
}

static gboolean
exceeds_limit (const HzbTeam *team, const HzbJobSpec *spec)
{
  double at_once = runs_all_tasks_at_once (spec) ? spec->tasks : 1;
  return spec->cpus * at_once > team->cpus_max + ROUNDING || spec->gpus * at_once > team->gpus_max + ROUNDING;
}

static gboolean
fits_a_type (const HzbMachines *machines, const HzbJobSpec *spec)
{
  for (guint i = 0; i < machines->types->len; i++)
    {
      const HzbMachineType *type = machines->types->pdata[i];
      if (hzb_machine_type_holds (type, spec)
          && (!spec->zone || g_strv_contains ((const char *const *) type->zones, spec->zone)))
        return TRUE;
    }
  return FALSE;
}

/* Returns: (nullable): the text of the answer; NULL if the job can run */
static const char *
reason_it_never_runs (const HzbUserApi *api, const HzbJobSpec *spec)
{
  const HzbSettings *settings = api->with.node->settings;
  int team = hzb_settings_team (settings, spec->team);

  if (team < 0)
    return "owner: no such team";
  if (spec->zone && !zone_is_known (settings, spec->zone))
    return "yard: no such zone";
  if (exceeds_limit (settings->teams->pdata[team], spec))
    return "the job needs more than its team's limit";
  if (spec->same_zone && spec->spread && spec->tasks > 1)
    return "samePlace and spread exclude each other";
  if (spec->kind == HZB_JOB_GANG && spec->spread && spec->zone && spec->tasks > 1)
    return "a gang that is to be spread can't be in one zone";
  if (!fits_a_type (api->with.machines, spec))
    return "a task fits no allowed machine type";
  return NULL;
}

gboolean
hzb_job_admission_check (const HzbUserApi *api, const HzbJobSpec *spec, GError **error)
{
  const char *reason;

  if (spec->kind == HZB_JOB_SERVICE && spec->estimate_s > 0)
    {
      g_set_error_literal (error, HZB_ADMISSION_ERROR, HZB_ADMISSION_ERROR_MALFORMED,
                           "expectS: expected 0 for standing jobs");
      return FALSE;
    }
  if ((reason = reason_it_never_runs (api, spec)))
    {
      g_set_error_literal (error, HZB_ADMISSION_ERROR, HZB_ADMISSION_ERROR_NEVER_RUNS, reason);
      return FALSE;
    }
  return TRUE;
}

void
hzb_job_admission_drop_unknown_types (const HzbUserApi *api, HzbJobSpec *spec)
{
  const GPtrArray *types = api->with.machines->types;
  g_autoptr (GStrvBuilder) known = g_strv_builder_new ();

  if (!spec->types)
    return;
  for (guint i = 0; i < types->len; i++)
    {
      const HzbMachineType *type = types->pdata[i];
      if (g_strv_contains ((const char *const *) spec->types, type->name))
        g_strv_builder_add (known, type->name);
    }
  g_strfreev (spec->types);
  spec->types = g_strv_builder_end (known);
}
