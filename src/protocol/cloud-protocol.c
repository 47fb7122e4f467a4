#include "cloud-protocol.h"

#include "json.h"

#include <string.h>

const char hzb_path_types[] = "/machine_types";
const char hzb_path_rent[] = "/hosts";
const char hzb_path_return[] = "/hosts/return";

void
hzb_cloud_instance_free (HzbCloudInstance *instance)
{
  g_free (instance->name);
  g_free (instance->addr);
  g_free (instance->type);
  g_free (instance->zone);
  g_free (instance);
}

static GPtrArray *
unpack_types (const cJSON *value)
{
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (value, "flavors");
  GPtrArray *types;

  if (!cJSON_IsArray (list))
    return NULL;
  types = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_machine_type_free);
  cJSON_ArrayForEach (item, list)
    {
      HzbMachineType *type;
      if (!hzb_json_text (item, "sku"))
        continue;
      type = g_new0 (HzbMachineType, 1);
      type->name = g_strdup (hzb_json_text (item, "sku"));
      type->cpus = hzb_json_number (item, "cpus", 0);
      type->gpus = hzb_json_number (item, "gpus", 0);
      type->memory_gb = hzb_json_number (item, "ramGb", 0);
      type->cache_gb = hzb_json_number (item, "localGb", 0);
      type->fetch_gb_per_s = hzb_json_number (item, "pullGbPerS", 1);
      type->price = hzb_json_number (item, "price", 0);
      type->spot_price = hzb_json_number (item, "lowPrice", type->price);
      type->boot_s = hzb_json_number (item, "readyS", 60);
      type->zones = hzb_json_string_list (cJSON_GetObjectItemCaseSensitive (item, "yards"));
      g_ptr_array_add (types, type);
    }
  return types;
}

GPtrArray *
hzb_machine_types_decode (const char *body)
{
  cJSON *root = cJSON_Parse (body);
  GPtrArray *types = unpack_types (root);
  cJSON_Delete (root);
  return types;
}

char *
hzb_cloud_rent_encode (const char *request, const char *type, const char *zone, gboolean spot, guint count)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "hire", request);
  cJSON_AddStringToObject (root, "flavor", type);
  cJSON_AddStringToObject (root, "yard", zone);
  cJSON_AddBoolToObject (root, "loaners", spot);
  cJSON_AddNumberToObject (root, "count", count);
  return hzb_json_print (root);
}

GPtrArray *
hzb_cloud_names_decode (const char *body)
{
  cJSON *root = cJSON_Parse (body);
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (root, "hosts");
  GPtrArray *names = NULL;

  if (cJSON_IsArray (list))
    {
      names = g_ptr_array_new_with_free_func (g_free);
      cJSON_ArrayForEach (item, list)
        if (cJSON_IsString (item))
          g_ptr_array_add (names, g_strdup (item->valuestring));
    }
  cJSON_Delete (root);
  return names;
}

char *
hzb_cloud_return_encode (const GPtrArray *names)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "hosts");
  for (guint i = 0; i < names->len; i++)
    cJSON_AddItemToArray (list, cJSON_CreateString (names->pdata[i]));
  return hzb_json_print (root);
}

char *
hzb_cloud_list_path (const char *after, guint limit)
{
  g_autofree char *escaped = after ? g_uri_escape_string (after, NULL, FALSE) : NULL;
  return escaped ? g_strdup_printf ("/hosts?since=%s&page=%u", escaped, limit)
                 : g_strdup_printf ("/hosts?page=%u", limit);
}

GPtrArray *
hzb_cloud_list_decode (const char *body, gboolean *more)
{
  cJSON *root = cJSON_Parse (body);
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (root, "hosts");
  GPtrArray *machines = NULL;

  if (cJSON_IsArray (list))
    {
      machines = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_cloud_instance_free);
      *more = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (root, "hasNext"));
      cJSON_ArrayForEach (item, list)
        {
          HzbCloudInstance *instance;
          const char *state = hzb_json_text (item, "status");
          if (!hzb_json_text (item, "uid"))
            continue;
          instance = g_new0 (HzbCloudInstance, 1);
          instance->name = g_strdup (hzb_json_text (item, "uid"));
          instance->addr = g_strdup (hzb_json_text (item, "addr"));
          instance->type = g_strdup (hzb_json_text (item, "flavor"));
          instance->zone = g_strdup (hzb_json_text (item, "yard"));
          instance->spot = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (item, "loaners"));
          instance->state = g_strcmp0 (state, "failed") == 0    ? HZB_CLOUD_INSTANCE_FAILED
                            : g_strcmp0 (state, "running") == 0 ? HZB_CLOUD_INSTANCE_RUNNING
                                                                : HZB_CLOUD_INSTANCE_STARTING;
          instance->age_s = hzb_json_number (item, "ageS", 0);
          g_ptr_array_add (machines, instance);
        }
    }
  cJSON_Delete (root);
  return machines;
}
