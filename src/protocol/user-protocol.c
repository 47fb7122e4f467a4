#include "user-protocol.h"

#include "json.h"

#include <math.h>
#include <string.h>

const char hzb_path_jobs[] = "/api/jobs";
const char hzb_path_job[] = "/api/jobs/{}";
const char hzb_path_job_cancel[] = "/api/jobs/{}/cancel";
const char hzb_path_ready[] = "/ready";

/* Names of the fields in users' messages. The wire format fixes the strings; the constants are named after the terms
 * that the code uses. */
#define NAME_UID "uid"
#define NAME_JOB_CLASS "lane"
#define NAME_TEAM "owner"
#define NAME_KIND "shape"
#define NAME_PRIORITY "urgency"
#define NAME_TASKS "pieces"
#define NAME_CPUS "cpus"
#define NAME_GPUS "gpus"
#define NAME_MEMORY_GB "ramGb"
#define NAME_IMAGE "bundle"
#define NAME_IMAGE_GB "sizeGb"
#define NAME_TYPES "flavors"
#define NAME_ZONE "yard"
#define NAME_SAME_ZONE "samePlace"
#define NAME_SPREAD "spread"
#define NAME_SPOT "loaners"
#define NAME_ESTIMATE_S "expectS"
#define NAME_CHECKPOINT_INTERVAL_S "snapshotEveryS"
#define NAME_CHECKPOINT_DURATION_S "snapshotS"
#define NAME_DEADLINE_S "dueS"

/* Fields of responses. */
#define NAME_STATUS "status"
#define NAME_DONE "done"
#define NAME_RUNNING "running"
#define NAME_ERROR "error"

static const char *const kind_names[HZB_JOB_N_KINDS] = {
  [HZB_JOB_ARRAY] = "sweep",
  [HZB_JOB_GANG] = "ensemble",
  [HZB_JOB_SERVICE] = "standing",
};

static const char *const priority_names[HZB_N_PRIORITIES] = {
  [HZB_PRIORITY_IDLE] = "idle",
  [HZB_PRIORITY_NORMAL] = "normal",
  [HZB_PRIORITY_HIGH] = "urgent",
  [HZB_PRIORITY_PRODUCTION] = "production",
};

#define UID_PREFIX "run-"
#define MIN_UID_DIGITS 6
#define MAX_UID_DIGITS 12
#define MAX_TEXT_BYTES 200
#define MAX_AMOUNT 1e9 /* of any number in a submission, in the unit of its field */

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
  if (!uid || !g_str_has_prefix (uid, UID_PREFIX))
    return FALSE;
  for (uid += strlen (UID_PREFIX); g_ascii_isdigit (*uid); uid++)
    digits++;
  return *uid == '\0' && digits >= MIN_UID_DIGITS && digits <= MAX_UID_DIGITS;
}

/* ---- field decoders: each sets the error and returns FALSE if its field is missing or invalid ---- */

static gboolean
set_malformed (GError **error, const char *field, const char *expected)
{
  g_set_error (error, HZB_PROTOCOL_ERROR, HZB_PROTOCOL_ERROR_MALFORMED, "%s: expected %s", field, expected);
  return FALSE;
}

static gboolean
decode_text (const cJSON *root, const char *field, char **out, GError **error)
{
  const char *text = hzb_json_text (root, field);
  if (!text || !*text || strlen (text) > MAX_TEXT_BYTES)
    return set_malformed (error, field, "a text of 1 to 200 bytes");
  *out = g_strdup (text);
  return TRUE;
}

static gboolean
is_amount (const cJSON *item)
{
  return cJSON_IsNumber (item) && isfinite (item->valuedouble) && item->valuedouble >= 0
         && item->valuedouble <= MAX_AMOUNT;
}

static gboolean
decode_amount (const cJSON *root, const char *field, double *out, GError **error)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (root, field);
  if (!is_amount (item))
    return set_malformed (error, field, "a number of at least 0");
  *out = item->valuedouble;
  return TRUE;
}

static gboolean
decode_positive_amount (const cJSON *root, const char *field, double *out, GError **error)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (root, field);
  if (!is_amount (item) || item->valuedouble <= 0)
    return set_malformed (error, field, "a number above 0");
  *out = item->valuedouble;
  return TRUE;
}

static gboolean
decode_flag (const cJSON *root, const char *field, gboolean *out, GError **error)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (root, field);
  if (!cJSON_IsBool (item))
    return set_malformed (error, field, "true or false");
  *out = cJSON_IsTrue (item);
  return TRUE;
}

/* Returns: whether an optional field has a value; null means the same as a missing field */
static gboolean
has_value (const cJSON *root, const char *field)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (root, field);
  return item && !cJSON_IsNull (item);
}

/* ---- steps of decoding a submission: each sets the error and returns FALSE on the first invalid field ---- */

static gboolean
decode_uid (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  const char *uid = hzb_json_text (root, NAME_UID);
  if (!hzb_job_uid_is_valid (uid))
    return set_malformed (error, NAME_UID, "an id such as run-000412");
  spec->uid = g_strdup (uid);
  return TRUE;
}

static gboolean
decode_kind (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  int kind = hzb_json_index_of (hzb_json_text (root, NAME_KIND), kind_names, HZB_JOB_N_KINDS);
  if (kind < 0)
    return set_malformed (error, NAME_KIND, "sweep, ensemble or standing");
  spec->kind = (HzbJobKind) kind;
  return TRUE;
}

static gboolean
decode_priority (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  int priority = hzb_json_index_of (hzb_json_text (root, NAME_PRIORITY), priority_names, HZB_N_PRIORITIES);
  if (priority < 0)
    return set_malformed (error, NAME_PRIORITY, "production, urgent, normal or idle");
  spec->priority = (HzbPriority) priority;
  return TRUE;
}

static gboolean
decode_class_team_and_priority (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  return decode_text (root, NAME_JOB_CLASS, &spec->job_class, error)
         && decode_text (root, NAME_TEAM, &spec->team, error) && decode_priority (spec, root, error);
}

static gboolean
decode_resources (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  return decode_amount (root, NAME_CPUS, &spec->cpus, error) && decode_amount (root, NAME_GPUS, &spec->gpus, error)
         && decode_amount (root, NAME_MEMORY_GB, &spec->memory_gb, error);
}

static gboolean
decode_image (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  g_autofree char *image = NULL;
  if (!decode_text (root, NAME_IMAGE, &image, error) || !decode_amount (root, NAME_IMAGE_GB, &spec->image_gb, error))
    return FALSE;
  spec->image = g_ref_string_new_intern (image);
  return TRUE;
}

static gboolean
decode_placement_flags (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  return decode_flag (root, NAME_SAME_ZONE, &spec->same_zone, error)
         && decode_flag (root, NAME_SPREAD, &spec->spread, error) && decode_flag (root, NAME_SPOT, &spec->spot, error);
}

static gboolean
decode_durations (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  /* A service runs until it is cancelled, so its estimate may be 0. */
  gboolean (*decode_estimate) (const cJSON *, const char *, double *, GError **) =
      spec->kind == HZB_JOB_SERVICE ? decode_amount : decode_positive_amount;
  return decode_estimate (root, NAME_ESTIMATE_S, &spec->estimate_s, error)
         && decode_amount (root, NAME_CHECKPOINT_INTERVAL_S, &spec->checkpoint_interval_s, error)
         && decode_amount (root, NAME_CHECKPOINT_DURATION_S, &spec->checkpoint_duration_s, error);
}

static gboolean
set_tasks (HzbJobSpec *spec, double tasks, GError **error)
{
  if (tasks != floor (tasks) || tasks > HZB_MAX_TASKS)
    return set_malformed (error, NAME_TASKS, "a whole number from 1 to 100000");
  spec->tasks = (guint) tasks;
  return TRUE;
}

static gboolean
decode_types (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  static const char expected[] = "a list of machine types, or null";
  const cJSON *entry, *list = cJSON_GetObjectItemCaseSensitive (root, NAME_TYPES);

  if (!has_value (root, NAME_TYPES))
    return TRUE;
  if (!cJSON_IsArray (list))
    return set_malformed (error, NAME_TYPES, expected);
  cJSON_ArrayForEach (entry, list)
    if (!cJSON_IsString (entry))
      return set_malformed (error, NAME_TYPES, expected);
  spec->types = hzb_json_string_list (list);
  return TRUE;
}

static gboolean
decode_zone (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  return !has_value (root, NAME_ZONE) || decode_text (root, NAME_ZONE, &spec->zone, error);
}

static gboolean
decode_deadline (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  return !has_value (root, NAME_DEADLINE_S) || decode_positive_amount (root, NAME_DEADLINE_S, &spec->deadline_s, error);
}

/* The response to an invalid submission names the first missing or invalid field. The order of the steps determines
 * which field that is, so it must not change. */
static gboolean
decode_spec (HzbJobSpec *spec, const cJSON *root, GError **error)
{
  double tasks = 0;
  return decode_uid (spec, root, error) && decode_kind (spec, root, error) /* later steps depend on the kind */
         && decode_class_team_and_priority (spec, root, error)
         && decode_positive_amount (root, NAME_TASKS, &tasks, error) /* set_tasks () checks the range */
         && decode_resources (spec, root, error) && decode_image (spec, root, error)
         && decode_placement_flags (spec, root, error) && decode_durations (spec, root, error)
         && set_tasks (spec, tasks, error) && decode_types (spec, root, error) /* optional from here on */
         && decode_zone (spec, root, error) && decode_deadline (spec, root, error);
}

HzbJobSpec *
hzb_job_submission_decode (const char *body, gsize length, GError **error)
{
  g_autoptr (HzbJobSpec) spec = g_new0 (HzbJobSpec, 1);
  g_autoptr (cJSON) root = NULL;

  if (length > HZB_MAX_BODY_BYTES)
    {
      g_set_error (error, HZB_PROTOCOL_ERROR, HZB_PROTOCOL_ERROR_MALFORMED, "the body is over 64 KiB");
      return NULL;
    }
  root = body ? cJSON_ParseWithLength (body, length) : NULL;
  if (!cJSON_IsObject (root))
    {
      g_set_error (error, HZB_PROTOCOL_ERROR, HZB_PROTOCOL_ERROR_MALFORMED, "the body is not a JSON object");
      return NULL;
    }
  return decode_spec (spec, root, error) ? g_steal_pointer (&spec) : NULL;
}

char *
hzb_job_status_encode (const char *uid, const char *status, gboolean counts, guint done, guint running)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, NAME_UID, uid);
  cJSON_AddStringToObject (root, NAME_STATUS, status);
  if (counts)
    {
      cJSON_AddNumberToObject (root, NAME_DONE, done);
      cJSON_AddNumberToObject (root, NAME_RUNNING, running);
    }
  return hzb_json_print (root);
}

char *
hzb_error_response_encode (const char *text)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, NAME_ERROR, text);
  return hzb_json_print (root);
}

static cJSON *
encode_types (const HzbJobSpec *spec)
{
  return cJSON_CreateStringArray ((const char *const *) spec->types, (int) g_strv_length (spec->types));
}

cJSON *
hzb_job_spec_encode (const HzbJobSpec *spec)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, NAME_UID, spec->uid);
  cJSON_AddStringToObject (root, NAME_JOB_CLASS, spec->job_class);
  cJSON_AddStringToObject (root, NAME_TEAM, spec->team);
  cJSON_AddStringToObject (root, NAME_KIND, kind_names[spec->kind]);
  cJSON_AddStringToObject (root, NAME_PRIORITY, priority_names[spec->priority]);
  cJSON_AddNumberToObject (root, NAME_TASKS, spec->tasks);
  cJSON_AddNumberToObject (root, NAME_CPUS, spec->cpus);
  cJSON_AddNumberToObject (root, NAME_GPUS, spec->gpus);
  cJSON_AddNumberToObject (root, NAME_MEMORY_GB, spec->memory_gb);
  cJSON_AddStringToObject (root, NAME_IMAGE, spec->image);
  cJSON_AddNumberToObject (root, NAME_IMAGE_GB, spec->image_gb);
  if (spec->types)
    cJSON_AddItemToObject (root, NAME_TYPES, encode_types (spec));
  if (spec->zone)
    cJSON_AddStringToObject (root, NAME_ZONE, spec->zone);
  cJSON_AddBoolToObject (root, NAME_SAME_ZONE, spec->same_zone);
  cJSON_AddBoolToObject (root, NAME_SPREAD, spec->spread);
  cJSON_AddBoolToObject (root, NAME_SPOT, spec->spot);
  cJSON_AddNumberToObject (root, NAME_ESTIMATE_S, spec->estimate_s);
  cJSON_AddNumberToObject (root, NAME_CHECKPOINT_INTERVAL_S, spec->checkpoint_interval_s);
  cJSON_AddNumberToObject (root, NAME_CHECKPOINT_DURATION_S, spec->checkpoint_duration_s);
  if (spec->deadline_s > 0)
    cJSON_AddNumberToObject (root, NAME_DEADLINE_S, spec->deadline_s);
  return root;
}

HzbJobSpec *
hzb_job_spec_decode (const char *uid, const cJSON *value)
{
  g_autoptr (HzbJobSpec) spec = g_new0 (HzbJobSpec, 1);
  if (!decode_spec (spec, value, NULL) || !g_str_equal (spec->uid, uid))
    return NULL;
  return g_steal_pointer (&spec);
}
