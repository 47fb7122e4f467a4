#include "user-protocol.h"

#include "json.h"

#include <math.h>
#include <string.h>

const char hzb_path_jobs[] = "/api/jobs";
const char hzb_path_cancel[] = "/cancel";
const char hzb_path_ready[] = "/ready";

static const char *const kind_names[HZB_JOB_N_KINDS] = { "sweep", "ensemble", "standing" };
static const char *const priority_names[] = { "idle", "normal", "urgent", "production" };

GQuark
hzb_protocol_error_quark (void)
{
  return g_quark_from_static_string ("hzb-protocol-error");
}

void
hzb_job_spec_free (HzbJobSpec *spec)
{
  if (!spec)
    return;
  g_free (spec->uid);
  g_free (spec->job_class);
  g_free (spec->team);
  g_clear_pointer (&spec->image, g_ref_string_release);
  g_strfreev (spec->types);
  g_free (spec->zone);
  g_free (spec);
}

gboolean
hzb_job_uid_is_valid (const char *uid)
{
  gsize digits = 0;
  if (!uid || !g_str_has_prefix (uid, "run-"))
    return FALSE;
  for (uid += 4; g_ascii_isdigit (*uid); uid++)
    digits++;
  return *uid == '\0' && digits >= 6 && digits <= 12;
}

static gboolean
bad (GError **error, const char *field, const char *expected)
{
  g_set_error (error, HZB_PROTOCOL_ERROR, HZB_PROTOCOL_ERROR_MALFORMED, "%s: expected %s", field, expected);
  return FALSE;
}

static gboolean
take_text (const cJSON *root, const char *field, char **out, GError **error)
{
  const char *text = hzb_json_text (root, field);
  if (!text || !*text || strlen (text) > 200)
    return bad (error, field, "a text of 1 to 200 bytes");
  *out = g_strdup (text);
  return TRUE;
}

static gboolean
take_number (const cJSON *root, const char *field, double least, gboolean above, double *out, GError **error)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (root, field);
  if (!cJSON_IsNumber (item) || !isfinite (item->valuedouble) || item->valuedouble < least
      || (above && item->valuedouble <= least) || item->valuedouble > 1e9)
    return bad (error, field, above ? "a number above 0" : "a number of at least 0");
  *out = item->valuedouble;
  return TRUE;
}

static gboolean
take_flag (const cJSON *root, const char *field, gboolean *out, GError **error)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (root, field);
  if (!cJSON_IsBool (item))
    return bad (error, field, "true or false");
  *out = cJSON_IsTrue (item);
  return TRUE;
}

static gboolean
take_priority (const cJSON *root, HzbPriority *out, GError **error)
{
  const char *text = hzb_json_text (root, "urgency");
  for (guint i = 0; i < HZB_N_PRIORITIES; i++)
    if (g_strcmp0 (text, priority_names[i]) == 0)
      {
        *out = (HzbPriority) i;
        return TRUE;
      }
  return bad (error, "urgency", "production, urgent, normal or idle");
}

static gboolean
fill_spec (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  const cJSON *item;
  int kind;
  g_autofree char *image = NULL;
  double tasks = 0;

  if (!hzb_job_uid_is_valid (hzb_json_text (root, "uid")))
    return bad (error, "uid", "an id such as run-000412");
  spec->uid = g_strdup (hzb_json_text (root, "uid"));
  kind = hzb_json_index_of (hzb_json_text (root, "shape"), kind_names, HZB_JOB_N_KINDS);
  if (kind < 0)
    return bad (error, "shape", "sweep, ensemble or standing");
  spec->kind = (HzbJobKind) kind;
  if (!take_text (root, "lane", &spec->job_class, error) || !take_text (root, "owner", &spec->team, error)
      || !take_priority (root, &spec->priority, error) || !take_number (root, "pieces", 0, TRUE, &tasks, error)
      || !take_number (root, "cpus", 0, FALSE, &spec->cpus, error)
      || !take_number (root, "gpus", 0, FALSE, &spec->gpus, error)
      || !take_number (root, "ramGb", 0, FALSE, &spec->memory_gb, error) || !take_text (root, "bundle", &image, error)
      || !take_number (root, "sizeGb", 0, FALSE, &spec->image_gb, error)
      || !take_flag (root, "samePlace", &spec->same_zone, error) || !take_flag (root, "spread", &spec->spread, error)
      || !take_flag (root, "loaners", &spec->spot, error)
      || !take_number (root, "expectS", 0, spec->kind != HZB_JOB_SERVICE, &spec->estimate_s, error)
      || !take_number (root, "snapshotEveryS", 0, FALSE, &spec->checkpoint_interval_s, error)
      || !take_number (root, "snapshotS", 0, FALSE, &spec->checkpoint_duration_s, error))
    return FALSE;
  if (tasks != floor (tasks) || tasks > HZB_MAX_TASKS)
    return bad (error, "pieces", "a whole number from 1 to 100000");
  spec->tasks = (guint) tasks;
  spec->image = g_ref_string_new_intern (image);
  item = cJSON_GetObjectItemCaseSensitive (root, "flavors");
  if (item && !cJSON_IsNull (item))
    {
      const cJSON *entry;
      if (!cJSON_IsArray (item))
        return bad (error, "flavors", "a list of machine types, or null");
      cJSON_ArrayForEach (entry, item)
        if (!cJSON_IsString (entry))
          return bad (error, "flavors", "a list of machine types, or null");
      spec->types = hzb_json_string_list (item);
    }
  item = cJSON_GetObjectItemCaseSensitive (root, "yard");
  if (item && !cJSON_IsNull (item) && !take_text (root, "yard", &spec->zone, error))
    return FALSE;
  item = cJSON_GetObjectItemCaseSensitive (root, "dueS");
  if (item && !cJSON_IsNull (item) && !take_number (root, "dueS", 0, TRUE, &spec->deadline_s, error))
    return FALSE;
  return TRUE;
}

HzbJobSpec *
hzb_job_spec_parse (const char *body, gsize length, GError **error)
{
  g_autoptr (HzbJobSpec) spec = g_new0 (HzbJobSpec, 1);
  cJSON *root;
  gboolean ok;

  if (length > HZB_MAX_BODY)
    {
      g_set_error (error, HZB_PROTOCOL_ERROR, HZB_PROTOCOL_ERROR_MALFORMED, "the body is over 64 KiB");
      return NULL;
    }
  root = body ? cJSON_ParseWithLength (body, length) : NULL;
  if (!cJSON_IsObject (root))
    {
      cJSON_Delete (root);
      g_set_error (error, HZB_PROTOCOL_ERROR, HZB_PROTOCOL_ERROR_MALFORMED, "the body is not a JSON object");
      return NULL;
    }
  ok = fill_spec (spec, root, error);
  cJSON_Delete (root);
  return ok ? g_steal_pointer (&spec) : NULL;
}

char *
hzb_job_status_encode (const char *uid, const char *status, gboolean counts, guint done, guint running)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "uid", uid);
  cJSON_AddStringToObject (root, "status", status);
  if (counts)
    {
      cJSON_AddNumberToObject (root, "done", done);
      cJSON_AddNumberToObject (root, "running", running);
    }
  return hzb_json_print (root);
}

char *
hzb_error_response_encode (const char *text)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "error", text);
  return hzb_json_print (root);
}

/* The durable form is the submission itself, so one reader checks both. */
cJSON *
hzb_job_spec_encode (const HzbJobSpec *spec)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "uid", spec->uid);
  cJSON_AddStringToObject (root, "lane", spec->job_class);
  cJSON_AddStringToObject (root, "owner", spec->team);
  cJSON_AddStringToObject (root, "shape", kind_names[spec->kind]);
  cJSON_AddStringToObject (root, "urgency", priority_names[spec->priority]);
  cJSON_AddNumberToObject (root, "pieces", spec->tasks);
  cJSON_AddNumberToObject (root, "cpus", spec->cpus);
  cJSON_AddNumberToObject (root, "gpus", spec->gpus);
  cJSON_AddNumberToObject (root, "ramGb", spec->memory_gb);
  cJSON_AddStringToObject (root, "bundle", spec->image);
  cJSON_AddNumberToObject (root, "sizeGb", spec->image_gb);
  if (spec->types)
    cJSON_AddItemToObject (
        root, "flavors",
        cJSON_CreateStringArray ((const char *const *) spec->types, (int) g_strv_length (spec->types)));
  if (spec->zone)
    cJSON_AddStringToObject (root, "yard", spec->zone);
  cJSON_AddBoolToObject (root, "samePlace", spec->same_zone);
  cJSON_AddBoolToObject (root, "spread", spec->spread);
  cJSON_AddBoolToObject (root, "loaners", spec->spot);
  cJSON_AddNumberToObject (root, "expectS", spec->estimate_s);
  cJSON_AddNumberToObject (root, "snapshotEveryS", spec->checkpoint_interval_s);
  cJSON_AddNumberToObject (root, "snapshotS", spec->checkpoint_duration_s);
  if (spec->deadline_s > 0)
    cJSON_AddNumberToObject (root, "dueS", spec->deadline_s);
  return root;
}

HzbJobSpec *
hzb_job_spec_decode (const char *uid, const cJSON *value)
{
  g_autoptr (HzbJobSpec) spec = g_new0 (HzbJobSpec, 1);
  if (!fill_spec (spec, value, NULL) || !g_str_equal (spec->uid, uid))
    return NULL;
  return g_steal_pointer (&spec);
}
