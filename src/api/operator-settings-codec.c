#include "operator-settings-codec.h"

#include "json.h"

G_DEFINE_QUARK (hzb - admin - error - quark, hzb_admin_error)

typedef struct
{
  const char *name, *meaning;
  double least, most, usual;
  gsize offset; /* of the member of HzbOperatorSettings */
} Description;

static const Description descriptions[] = {
  { "dispatchH", "weight of h/v in the dispatch rule, 0 for waiting to 1 for sojourn", 0, 1, 0.5,
    offsetof (HzbOperatorSettings, dispatch_h) },
  { "dispatchSample", "machines looked at for one task when more is asked than can be done", 1, 1000, 8,
    offsetof (HzbOperatorSettings, dispatch_sample) },
  { "dispatchListAheadS", "seconds of work that a machine's list is filled ahead", 1, 3600, 8,
    offsetof (HzbOperatorSettings, dispatch_queue_ahead_s) },
  { "fleetIdleS", "seconds that a machine without work is kept", 0, 86400, 40,
    offsetof (HzbOperatorSettings, fleet_idle_s) },
  { "fleetPatience", "part of the time that aims leave in which waiting work should start", 0.05, 2, 0.6,
    offsetof (HzbOperatorSettings, fleet_patience) },
  { "leaseBlocks", "1: blocks are leased to the other controllers, 0: the leader keeps all", 0, 1, 1,
    offsetof (HzbOperatorSettings, lease_shards) },
};

static double
get (const HzbOperatorSettings *settings, const Description *description)
{
  return G_STRUCT_MEMBER (double, settings, description->offset);
}

static void
set (HzbOperatorSettings *settings, const Description *description, double value)
{
  G_STRUCT_MEMBER (double, settings, description->offset) = value;
}

static gboolean
in_range (const Description *description, double value)
{
  return value >= description->least && value <= description->most; /* not a number: neither */
}

static const Description *
find (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (descriptions); i++)
    if (g_strcmp0 (descriptions[i].name, name) == 0)
      return &descriptions[i];
  return NULL;
}

/* ---- the stored form ---- */

void
hzb_operator_settings_sanitize (HzbOperatorSettings *settings)
{
  for (guint i = 0; i < G_N_ELEMENTS (descriptions); i++)
    if (!in_range (&descriptions[i], get (settings, &descriptions[i])))
      set (settings, &descriptions[i], descriptions[i].usual);
}

void
hzb_operator_settings_decode (const cJSON *value, HzbOperatorSettings *settings)
{
  for (guint i = 0; i < G_N_ELEMENTS (descriptions); i++)
    set (settings, &descriptions[i], hzb_json_number (value, descriptions[i].name, descriptions[i].usual));
  /* A record of another version of this program may hold values that this version does not allow. */
  hzb_operator_settings_sanitize (settings);
}

cJSON *
hzb_operator_settings_encode (const HzbOperatorSettings *settings)
{
  cJSON *value = cJSON_CreateObject ();
  for (guint i = 0; i < G_N_ELEMENTS (descriptions); i++)
    cJSON_AddNumberToObject (value, descriptions[i].name, get (settings, &descriptions[i]));
  return value;
}

/* ---- the administration API ---- */

char *
hzb_operator_settings_encode_answer (const HzbOperatorSettings *settings, guint64 version)
{
  cJSON *root = cJSON_CreateObject (), *meaning;

  hzb_json_add_u64 (root, "version", version);
  cJSON_AddItemToObject (root, "settings", hzb_operator_settings_encode (settings));
  meaning = cJSON_AddObjectToObject (root, "meaning");
  for (guint i = 0; i < G_N_ELEMENTS (descriptions); i++)
    {
      const Description *description = &descriptions[i];
      g_autofree char *text = g_strdup_printf ("%s; %g to %g, usually %g", description->meaning, description->least,
                                               description->most, description->usual);
      cJSON_AddStringToObject (meaning, description->name, text);
    }
  return hzb_json_print (root);
}

static gboolean
decode_one (const cJSON *item, HzbOperatorSettings *settings, GError **error)
{
  const Description *description = find (item->string);

  if (!description)
    {
      g_set_error (error, HZB_ADMIN_ERROR, HZB_ADMIN_ERROR_UNKNOWN_SETTING, "%s: no such setting", item->string);
      return FALSE;
    }
  if (!cJSON_IsNumber (item) || !in_range (description, item->valuedouble))
    {
      g_set_error (error, HZB_ADMIN_ERROR, HZB_ADMIN_ERROR_OUT_OF_RANGE, "%s: expected a number from %g to %g",
                   description->name, description->least, description->most);
      return FALSE;
    }
  set (settings, description, item->valuedouble);
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
    if (!decode_one (item, &change->settings, error))
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
