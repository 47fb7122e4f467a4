#include "settings-table-codec.h"

#include "address.h"
#include "json.h"
#include "toml-bridge.h"

#include <math.h>
#include <stdlib.h>

cJSON *
hzb_settings_file_parse (const char *text, const char *name, GError **error)
{
  char *message = NULL;
  cJSON *root = hzb_toml_parse (text, name, &message);

  if (!root)
    g_set_error (error, HZB_SETTINGS_ERROR, HZB_SETTINGS_ERROR_SYNTAX, "not TOML: %s", message);
  free (message);
  return root;
}

gboolean
hzb_settings_check_no_faults (const GString *faults, GError **error)
{
  if (faults->len)
    g_set_error (error, HZB_SETTINGS_ERROR, HZB_SETTINGS_ERROR_INVALID, "%s", faults->str);
  return faults->len == 0;
}

void
hzb_settings_add_fault (const HzbSettingsTable *table, const char *key, const char *expected)
{
  g_string_append_printf (table->faults, "%s%s%s: expected %s\n", table->dotted_key, *table->dotted_key ? "." : "", key,
                          expected);
}

gboolean
hzb_settings_open_table (const HzbSettingsTable *parent, const char *key, const char *dotted_key,
                         HzbSettingsTable *table)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (parent->json, key);
  if (!cJSON_IsObject (item))
    {
      hzb_settings_add_fault (parent, key, "a table");
      return FALSE;
    }
  *table = (HzbSettingsTable){ .json = item, .dotted_key = dotted_key, .faults = parent->faults };
  return TRUE;
}

char *
hzb_settings_get_optional_text (const HzbSettingsTable *table, const char *key)
{
  return g_strdup (hzb_json_text (table->json, key));
}

char *
hzb_settings_get_text (const HzbSettingsTable *table, const char *key)
{
  const char *text = hzb_json_text (table->json, key);
  if (text && *text)
    return g_strdup (text);
  hzb_settings_add_fault (table, key, "a text that is not empty");
  return NULL;
}

char *
hzb_settings_get_address (const HzbSettingsTable *table, const char *key)
{
  const char *text = hzb_json_text (table->json, key);
  if (text && hzb_address_split (text, NULL, NULL))
    return g_strdup (text);
  hzb_settings_add_fault (table, key, "an address such as \"10.0.0.1:8080\"");
  return NULL;
}

double
hzb_settings_get_number (const HzbSettingsTable *table, const char *key, double min, double fallback)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (table->json, key);
  char expected[64];

  if (!item && !isnan (fallback)) /* NAN: the key is required */
    return fallback;
  if (cJSON_IsNumber (item) && isfinite (item->valuedouble) && item->valuedouble >= min)
    return item->valuedouble;
  g_snprintf (expected, sizeof expected, "a number of at least %g", min);
  hzb_settings_add_fault (table, key, expected);
  return 0;
}

double
hzb_settings_get_bounded_number (const HzbSettingsTable *table, const char *key, double max, double fallback)
{
  double number = hzb_settings_get_number (table, key, 0, fallback);
  char expected[64];

  if (number <= max)
    return number;
  g_snprintf (expected, sizeof expected, "a number of at most %g", max);
  hzb_settings_add_fault (table, key, expected);
  return 0;
}

gboolean
hzb_settings_get_flag (const HzbSettingsTable *table, const char *key)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (table->json, key);
  if (item && !cJSON_IsBool (item))
    hzb_settings_add_fault (table, key, "true or false");
  return cJSON_IsTrue (item);
}

void
hzb_settings_refuse_unknown_keys (const HzbSettingsTable *table, const char *const *known)
{
  const cJSON *item;
  cJSON_ArrayForEach (item, table->json)
    if (!g_strv_contains (known, item->string))
      hzb_settings_add_fault (table, item->string, "no such key");
}
