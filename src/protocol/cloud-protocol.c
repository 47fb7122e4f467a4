#include "cloud-protocol.h"

#include "json.h"

const char hzb_path_types[] = "/machine_types";
const char hzb_path_rent[] = "/hosts";
const char hzb_path_return[] = "/hosts/return";

/* Names of the fields in the cloud's messages. The wire format fixes the strings; the constants are named after the
 * terms that the code uses. The first group has the fields of the list of machine types. */
#define NAME_TYPES "flavors"
#define NAME_TYPE_NAME "sku"
#define NAME_TYPE_CPUS "cpus"
#define NAME_TYPE_GPUS "gpus"
#define NAME_TYPE_MEMORY_GB "ramGb"
#define NAME_TYPE_CACHE_GB "localGb"
#define NAME_TYPE_FETCH_GB_PER_S "pullGbPerS"
#define NAME_TYPE_PRICE "price"
#define NAME_TYPE_SPOT_PRICE "lowPrice"
#define NAME_TYPE_BOOT_S "readyS"
#define NAME_TYPE_ZONES "yards"

/* Fields of a page of the inventory and of its instances. The response to a request to rent machines and the request to
 * return machines list names of machines in NAME_INSTANCES. */
#define NAME_INSTANCES "hosts"
#define NAME_INSTANCE_NAME "uid"
#define NAME_INSTANCE_ADDR "addr"
#define NAME_INSTANCE_STATE "status"
#define NAME_INSTANCE_AGE_S "ageS"
#define NAME_MORE "hasNext"

/* Fields of a request to rent machines. An instance has NAME_TYPE, NAME_ZONE and NAME_SPOT as well. */
#define NAME_TYPE "flavor"
#define NAME_ZONE "yard"
#define NAME_SPOT "loaners"
#define NAME_REQUEST_ID "hire"
#define NAME_COUNT "count"

static const char *const instance_state_names[] = {
  [HZB_CLOUD_INSTANCE_STARTING] = "starting",
  [HZB_CLOUD_INSTANCE_RUNNING] = "running",
  [HZB_CLOUD_INSTANCE_FAILED] = "failed",
};

/* Values for a machine type whose entry lacks these fields. */
#define DEFAULT_FETCH_GB_PER_S 1
#define DEFAULT_BOOT_S 60

void
hzb_cloud_instance_free (HzbCloudInstance *instance)
{
  g_free (instance->name);
  g_free (instance->addr);
  g_free (instance->type);
  g_free (instance->zone);
  g_free (instance);
}

/* Returns: (transfer full) (nullable): the type; NULL if it has no name */
static HzbMachineType *
decode_type (const cJSON *item)
{
  const char *name = hzb_json_text (item, NAME_TYPE_NAME);
  HzbMachineType *type;

  if (!name)
    return NULL;
  type = g_new0 (HzbMachineType, 1);
  type->name = g_strdup (name);
  type->cpus = hzb_json_number (item, NAME_TYPE_CPUS, 0);
  type->gpus = hzb_json_number (item, NAME_TYPE_GPUS, 0);
  type->memory_gb = hzb_json_number (item, NAME_TYPE_MEMORY_GB, 0);
  type->cache_gb = hzb_json_number (item, NAME_TYPE_CACHE_GB, 0);
  type->fetch_gb_per_s = hzb_json_number (item, NAME_TYPE_FETCH_GB_PER_S, DEFAULT_FETCH_GB_PER_S);
  type->price = hzb_json_number (item, NAME_TYPE_PRICE, 0);
  type->spot_price = hzb_json_number (item, NAME_TYPE_SPOT_PRICE, type->price);
  type->boot_s = hzb_json_number (item, NAME_TYPE_BOOT_S, DEFAULT_BOOT_S);
  type->zones = hzb_json_string_list (cJSON_GetObjectItemCaseSensitive (item, NAME_TYPE_ZONES));
  return type;
}

GPtrArray *
hzb_machine_types_decode (const char *body)
{
  g_autoptr (cJSON) root = cJSON_Parse (body);
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (root, NAME_TYPES);
  GPtrArray *types;

  if (!cJSON_IsArray (list))
    return NULL;
  types = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_machine_type_free);
  cJSON_ArrayForEach (item, list)
    {
      HzbMachineType *type = decode_type (item);
      if (type)
        g_ptr_array_add (types, type);
    }
  return types;
}

char *
hzb_cloud_rent_encode (const char *request_id, const char *type, const char *zone, gboolean spot, guint count)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, NAME_REQUEST_ID, request_id);
  cJSON_AddStringToObject (root, NAME_TYPE, type);
  cJSON_AddStringToObject (root, NAME_ZONE, zone);
  cJSON_AddBoolToObject (root, NAME_SPOT, spot);
  cJSON_AddNumberToObject (root, NAME_COUNT, count);
  return hzb_json_print (root);
}

GPtrArray *
hzb_cloud_rent_decode (const char *body)
{
  g_autoptr (cJSON) root = cJSON_Parse (body);
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (root, NAME_INSTANCES);
  GPtrArray *names;

  if (!cJSON_IsArray (list))
    return NULL;
  names = g_ptr_array_new_with_free_func (g_free);
  cJSON_ArrayForEach (item, list)
    if (cJSON_IsString (item))
      g_ptr_array_add (names, g_strdup (item->valuestring));
  return names;
}

char *
hzb_cloud_return_encode (const GPtrArray *names)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, NAME_INSTANCES);
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

static HzbCloudInstanceState
decode_instance_state (const cJSON *item)
{
  int state = hzb_json_index_of (hzb_json_text (item, NAME_INSTANCE_STATE), instance_state_names,
                                 G_N_ELEMENTS (instance_state_names));
  return state < 0 ? HZB_CLOUD_INSTANCE_STARTING : (HzbCloudInstanceState) state;
}

/* Returns: (transfer full) (nullable): the instance; NULL if it has no name */
static HzbCloudInstance *
decode_instance (const cJSON *item)
{
  const char *name = hzb_json_text (item, NAME_INSTANCE_NAME);
  HzbCloudInstance *instance;

  if (!name)
    return NULL;
  instance = g_new0 (HzbCloudInstance, 1);
  instance->name = g_strdup (name);
  instance->addr = g_strdup (hzb_json_text (item, NAME_INSTANCE_ADDR));
  instance->type = g_strdup (hzb_json_text (item, NAME_TYPE));
  instance->zone = g_strdup (hzb_json_text (item, NAME_ZONE));
  instance->spot = hzb_json_flag (item, NAME_SPOT);
  instance->state = decode_instance_state (item);
  instance->age_s = hzb_json_number (item, NAME_INSTANCE_AGE_S, 0);
  return instance;
}

GPtrArray *
hzb_cloud_list_decode (const char *body, gboolean *more)
{
  g_autoptr (cJSON) root = cJSON_Parse (body);
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (root, NAME_INSTANCES);
  GPtrArray *instances;

  if (!cJSON_IsArray (list))
    return NULL;
  instances = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_cloud_instance_free);
  *more = hzb_json_flag (root, NAME_MORE);
  cJSON_ArrayForEach (item, list)
    {
      HzbCloudInstance *instance = decode_instance (item);
      if (instance)
        g_ptr_array_add (instances, instance);
    }
  return instances;
}
