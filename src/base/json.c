#include "json.h"

#define UINT64_LIMIT 18446744073709551616.0 /* 2^64 */

guint64
hzb_json_u64 (const cJSON *object, const char *name)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);
  guint64 exact = 0;
  if (cJSON_IsRaw (item))
    return g_ascii_string_to_unsigned (item->valuestring, 10, 0, G_MAXUINT64, &exact, NULL) ? exact : 0;
  if (!cJSON_IsNumber (item) || !(item->valuedouble >= 0) || item->valuedouble >= UINT64_LIMIT)
    return 0;
  return (guint64) item->valuedouble;
}

double
hzb_json_number (const cJSON *object, const char *name, double fallback)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);
  if (cJSON_IsRaw (item))
    return g_ascii_strtod (item->valuestring, NULL);
  return cJSON_IsNumber (item) ? item->valuedouble : fallback;
}

gboolean
hzb_json_flag (const cJSON *object, const char *name)
{
  return cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (object, name));
}

const char *
hzb_json_text (const cJSON *object, const char *name)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);
  return cJSON_IsString (item) ? item->valuestring : NULL;
}

/* The number is added as raw text, because cJSON would print a large number with an exponent. */
void
hzb_json_add_u64 (cJSON *object, const char *name, guint64 value)
{
  char text[24];
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, value);
  cJSON_AddRawToObject (object, name, text);
}

char *
hzb_json_print (cJSON *root)
{
  char *text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  return text;
}

char **
hzb_json_string_list (const cJSON *array)
{
  g_autoptr (GStrvBuilder) out = g_strv_builder_new ();
  const cJSON *item;
  cJSON_ArrayForEach (item, array)
    if (cJSON_IsString (item))
      g_strv_builder_add (out, item->valuestring);
  return g_strv_builder_end (out);
}

int
hzb_json_index_of (const char *name, const char *const *names, guint n)
{
  for (guint i = 0; i < n; i++)
    if (g_strcmp0 (name, names[i]) == 0)
      return (int) i;
  return -1;
}
