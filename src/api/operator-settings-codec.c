#include "operator-settings-codec.h"

#include "json.h"

G_DEFINE_QUARK (hzb - admin - error - quark, hzb_admin_error)

typedef struct
{
  const char *name;    /* name in the stored form and in the administration API */
  const char *meaning; /* text that the administration API shows */
  double minimum, maximum, default_value;
  gsize offset; /* offset of the member in HzbOperatorSettings */
} SettingDescription;

static const SettingDescription setting_descriptions[] = {
  { "dispatchH", "weight of h/v in the dispatch rule, 0 for waiting to 1 for sojourn", 0, 1, 0.5,
    offsetof (HzbOperatorSettings, dispatch_h) },
  { "dispatchSample", "machines looked at for one task when more is asked than can be done", 1, 1000, 8,
    offsetof (HzbOperatorSettings, dispatch_sample) },
  { "dispatchListAheadS", "seconds of work that a machine's list is filled ahead", 1, 3600, 8,
    offsetof (HzbOperatorSettings, dispatch_queue_ahead_s) },
  { "fleetIdleS", "seconds that a machine without work is kept", 0, 86400, 40,
    offsetof (HzbOperatorSettings, fleet_idle_s) },
  { "fleetPatience", "part of the time that aims leave in which waiting work should start", 0.05, 2, 0.6,
    offsetof (HzbOperatorSettings, fleet_slack_fraction) },
  { "leaseBlocks", "1: blocks are leased to the other controllers, 0: the leader keeps all", 0, 1, 1,
    offsetof (HzbOperatorSettings, lease_shards) },
};

static double
get_value (const HzbOperatorSettings *settings, const SettingDescription *description)
{
  return G_STRUCT_MEMBER (double, settings, description->offset);
}

static void
set_value (HzbOperatorSettings *settings, const SettingDescription *description, double value)
{
  G_STRUCT_MEMBER (double, settings, description->offset) = value;
}

static gboolean
is_in_range (const SettingDescription *description, double value)
{
  return value >= description->minimum && value <= description->maximum; /* both comparisons are false for NaN */
}

static const SettingDescription *
find_description (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (setting_descriptions); i++)
    if (g_strcmp0 (setting_descriptions[i].name, name) == 0)
      return &setting_descriptions[i];
  return NULL;
}

/* ---- stored form ---- */

void
hzb_operator_settings_sanitize (HzbOperatorSettings *settings)
{
  for (guint i = 0; i < G_N_ELEMENTS (setting_descriptions); i++)
    if (!is_in_range (&setting_descriptions[i], get_value (settings, &setting_descriptions[i])))
      set_value (settings, &setting_descriptions[i], setting_descriptions[i].default_value);
}

void
hzb_operator_settings_decode (const cJSON *value, HzbOperatorSettings *settings)
{
  for (guint i = 0; i < G_N_ELEMENTS (setting_descriptions); i++)
    set_value (settings, &setting_descriptions[i],
               hzb_json_number (value, setting_descriptions[i].name, setting_descriptions[i].default_value));
  /* A record that was written by another version of this program may hold values that are out of range here. */
  hzb_operator_settings_sanitize (settings);
}

cJSON *
hzb_operator_settings_encode (const HzbOperatorSettings *settings)
{
  cJSON *value = cJSON_CreateObject ();
  for (guint i = 0; i < G_N_ELEMENTS (setting_descriptions); i++)
    cJSON_AddNumberToObject (value, setting_descriptions[i].name, get_value (settings, &setting_descriptions[i]));
  return value;
}

/* ---- administration API ---- */

char *
hzb_operator_settings_encode_response (const HzbOperatorSettings *settings, guint64 version)
{
  cJSON *root = cJSON_CreateObject (), *meaning;

  hzb_json_add_u64 (root, "version", version);
  cJSON_AddItemToObject (root, "settings", hzb_operator_settings_encode (settings));
  meaning = cJSON_AddObjectToObject (root, "meaning");
  for (guint i = 0; i < G_N_ELEMENTS (setting_descriptions); i++)
    {
      const SettingDescription *description = &setting_descriptions[i];
      g_autofree char *text = g_strdup_printf ("%s; %g to %g, usually %g", description->meaning, description->minimum,
                                               description->maximum, description->default_value);
      cJSON_AddStringToObject (meaning, description->name, text);
    }
  return hzb_json_print (root);
}

static gboolean
decode_setting (const cJSON *item, HzbOperatorSettings *settings, GError **error)
{
  const SettingDescription *description = find_description (item->string);

  if (!description)
    {
      g_set_error (error, HZB_ADMIN_ERROR, HZB_ADMIN_ERROR_UNKNOWN_SETTING, "%s: no such setting", item->string);
      return FALSE;
    }
  if (!cJSON_IsNumber (item) || !is_in_range (description, item->valuedouble))
    {
      g_set_error (error, HZB_ADMIN_ERROR, HZB_ADMIN_ERROR_OUT_OF_RANGE, "%s: expected a number from %g to %g",
                   description->name, description->minimum, description->maximum);
      return FALSE;
    }
  set_value (settings, description, item->valuedouble);
  return TRUE;
}

static gboolean
decode_change (const cJSON *root, HzbSettingsChange *change, GError **error)
{
  const cJSON *settings = cJSON_GetObjectItemCaseSensitive (root, "settings"), *item;

  if (!cJSON_IsObject (settings) || !cJSON_IsNumber (cJSON_GetObjectItemCaseSensitive (root, "version")))
    {
      g_set_error_literal (error, HZB_ADMIN_ERROR, HZB_ADMIN_ERROR_MALFORMED,
                           "expected {\"version\": the one read, \"settings\": {…}}");
      return FALSE;
    }
  cJSON_ArrayForEach (item, settings)
    if (!decode_setting (item, &change->settings, error))
      return FALSE;
  change->version = hzb_json_u64 (root, "version");
  return TRUE;
}

gboolean
hzb_settings_change_decode (const char *body, gsize length, const HzbOperatorSettings *current,
                            HzbSettingsChange *change, GError **error)
{
  cJSON *root = cJSON_ParseWithLength (body, length);
  gboolean valid;

  change->settings = *current;
  valid = decode_change (root, change, error);
  cJSON_Delete (root);
  return valid;
}
