/* Whether a submitted job can ever run, given the configured teams and zones and the machine types of the cloud.
 *
 * This file only finds the reason for a refusal. The caller passes the reason to hzb_pending_requests_add(), which
 * refuses the job only after up-to-date records show that the job was not accepted earlier: a repeated submission of an
 * accepted job must not be refused, whatever has changed since. */
#include "user-api-private.h"

/* CPUs and GPUs are sums of decimal fractions. If a job exceeds a limit by less than this value, the excess is a
 * rounding error. */
#define ROUNDING_TOLERANCE 1e-9

G_DEFINE_QUARK (hzb - admission - error - quark, hzb_admission_error)

static gboolean
runs_tasks_concurrently (const HzbJobSpec *spec)
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
  double concurrent_tasks = runs_tasks_concurrently (spec) ? spec->tasks : 1;
  return spec->cpus * concurrent_tasks > team->cpus_max + ROUNDING_TOLERANCE
         || spec->gpus * concurrent_tasks > team->gpus_max + ROUNDING_TOLERANCE;
}

static gboolean
fits_any_machine_type (const HzbMachines *machines, const HzbJobSpec *spec)
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

/* Whether machine types that hold a task are rented out in more than one zone. */
static gboolean
fits_types_of_several_zones (const HzbMachines *machines, const HzbJobSpec *spec)
{
  const char *first_zone = NULL;

  for (guint i = 0; i < machines->types->len; i++)
    {
      const HzbMachineType *type = machines->types->pdata[i];
      for (guint z = 0; hzb_machine_type_holds (type, spec) && type->zones[z]; z++)
        {
          if (first_zone && !g_str_equal (first_zone, type->zones[z]))
            return TRUE;
          first_zone = type->zones[z];
        }
    }
  return FALSE;
}

/* Returns: (nullable): the text of the response; NULL if the job can run */
static const char *
find_unschedulable_reason (const HzbUserApi *api, const HzbJobSpec *spec)
{
  const HzbSettings *settings = api->dependencies.node->settings;
  int team = hzb_settings_find_team (settings, spec->team);

  if (team < 0)
    return "owner: no such team";
  if (spec->zone && !zone_is_known (settings, spec->zone))
    return "yard: no such zone";
  if (exceeds_limit (settings->teams->pdata[team], spec))
    return "the job needs more than its team's limit";
  if (spec->same_zone && spec->spread && spec->tasks > 1)
    return "samePlace and spread exclude each other";
  /* A job that is to be spread may have at most half of its tasks, rounded up, in one zone at a time, and the tasks of
   * a gang start together. */
  if (spec->kind == HZB_JOB_GANG && spec->spread && spec->zone && spec->tasks > 1)
    return "a gang that is to be spread can't be in one zone";
  if (!fits_any_machine_type (api->dependencies.machines, spec))
    return "a task fits no allowed machine type";
  if (spec->kind == HZB_JOB_GANG && spec->spread && spec->tasks > 1
      && !fits_types_of_several_zones (api->dependencies.machines, spec))
    return "a gang that is to be spread fits machine types of one zone only";
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
  if ((reason = find_unschedulable_reason (api, spec)))
    {
      g_set_error_literal (error, HZB_ADMISSION_ERROR, HZB_ADMISSION_ERROR_UNSCHEDULABLE, reason);
      return FALSE;
    }
  return TRUE;
}

void
hzb_job_admission_drop_unknown_types (const HzbUserApi *api, HzbJobSpec *spec)
{
  const GPtrArray *types = api->dependencies.machines->types;
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
