/* Stand-in of the cloud: rents machines, takes them back and lists them with a lag. */
#include "lab.h"

#include <string.h>

#define LISTED 500u

static guint port;
static const MachineType *machine_types;
static guint n_machine_types, capacity = G_MAXUINT;
static double lag_s, boot_time_s;
static gboolean outage;
static GHashTable *hires; /* name of the request -> body of the answer */

guint
cloud_port (void)
{
  return port;
}

void
cloud_set_capacity (guint n)
{
  capacity = n;
  record ("cloud: at most %u machines from now on", n);
}

void
cloud_set_outage (gboolean is_out)
{
  outage = is_out;
  record ("cloud: %s", is_out ? "outage, answers 503" : "the outage is over");
}

static void
list_types (SoupMessage *message)
{
  cJSON *out = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (out, "flavors");
  for (guint i = 0; i < n_machine_types; i++)
    {
      const MachineType *type = &machine_types[i];
      cJSON *item = cJSON_CreateObject (), *zones;
      cJSON_AddStringToObject (item, "sku", type->name);
      cJSON_AddNumberToObject (item, "cpus", type->cpus);
      cJSON_AddNumberToObject (item, "gpus", 0);
      cJSON_AddNumberToObject (item, "ramGb", type->memory_gb);
      cJSON_AddNumberToObject (item, "localGb", 200);
      cJSON_AddNumberToObject (item, "pullGbPerS", 1);
      cJSON_AddNumberToObject (item, "price", type->price);
      cJSON_AddNumberToObject (item, "lowPrice", type->spot_price);
      cJSON_AddNumberToObject (item, "readyS", type->ready_s);
      zones = cJSON_AddArrayToObject (item, "yards");
      for (guint z = 0; type->zones[z]; z++)
        cJSON_AddItemToArray (zones, cJSON_CreateString (type->zones[z]));
      cJSON_AddItemToArray (list, item);
    }
  lab_respond (message, 200, out);
}

static guint
count_machines (void)
{
  guint n = 0;
  for (guint i = 0; i < machines->len; i++)
    n += !((Machine *) machines->pdata[i])->gone;
  return n;
}

static void
rent (SoupMessage *message, const char *body)
{
  cJSON *request = cJSON_Parse (body), *out, *list;
  const char *hire = cJSON_GetStringValue (cJSON_GetObjectItem (request, "hire")),
             *flavor = cJSON_GetStringValue (cJSON_GetObjectItem (request, "flavor")),
             *yard = cJSON_GetStringValue (cJSON_GetObjectItem (request, "yard"));
  guint count = (guint) cJSON_GetNumberValue (cJSON_GetObjectItem (request, "count")), given = 0;
  const MachineType *type = NULL;

  for (guint i = 0; flavor && i < n_machine_types; i++)
    if (g_str_equal (machine_types[i].name, flavor))
      type = &machine_types[i];
  if (!hire || !type || !yard || !count || count > 50)
    {
      lab_respond (message, 400, NULL);
      cJSON_Delete (request);
      return;
    }
  if (g_hash_table_contains (hires, hire))
    {
      lab_respond (message, 200, cJSON_Parse (g_hash_table_lookup (hires, hire)));
      cJSON_Delete (request);
      return;
    }
  out = cJSON_CreateObject ();
  list = cJSON_AddArrayToObject (out, "hosts");
  for (; given < count && count_machines () < capacity; given++)
    cJSON_AddItemToArray (
        list,
        cJSON_CreateString (
            machine_add (type, yard, cJSON_IsTrue (cJSON_GetObjectItem (request, "loaners")), boot_time_s)->name));
  record ("cloud: hire %s, %u of %u %s in %s", hire, given, count, flavor, yard);
  if (given)
    {
      g_hash_table_insert (hires, g_strdup (hire), cJSON_PrintUnformatted (out));
      lab_respond (message, 200, out);
    }
  else
    {
      cJSON_Delete (out);
      out = cJSON_CreateObject ();
      cJSON_AddStringToObject (out, "error", "no capacity");
      lab_respond (message, 503, out);
    }
  cJSON_Delete (request);
}

static void
take_back (SoupMessage *message, const char *body)
{
  cJSON *request = cJSON_Parse (body);
  const cJSON *item;
  cJSON_ArrayForEach (item, cJSON_GetObjectItem (request, "hosts"))
    for (guint i = 0; i < machines->len; i++)
      {
        Machine *machine = machines->pdata[i];
        if (!machine->gone && g_str_equal (machine->name, item->valuestring))
          machine_end (machine, "returned to the cloud");
      }
  lab_respond (message, 200, NULL);
  cJSON_Delete (request);
}

static void
list_machines (SoupMessage *message, GHashTable *query)
{
  const char *since = query ? g_hash_table_lookup (query, "since") : NULL;
  double as_of = lab_now_s () - lag_s;
  cJSON *out = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (out, "hosts");
  gboolean more = FALSE;
  for (guint i = 0, n = 0; i < machines->len; i++)
    {
      const Machine *machine = machines->pdata[i];
      cJSON *item;
      if (machine->hired_at > as_of || (machine->gone && machine->gone_at < as_of)
          || (since && strcmp (machine->name, since) <= 0))
        continue;
      if (n++ == LISTED)
        {
          more = TRUE;
          break;
        }
      item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "uid", machine->name);
      cJSON_AddStringToObject (item, "addr", "127.0.0.1:9");
      cJSON_AddStringToObject (item, "flavor", machine->type->name);
      cJSON_AddStringToObject (item, "yard", machine->zone);
      cJSON_AddBoolToObject (item, "loaners", machine->spot);
      cJSON_AddStringToObject (item, "status", machine->up_at <= as_of ? "running" : "starting");
      cJSON_AddNumberToObject (item, "ageS", as_of - machine->hired_at);
      cJSON_AddItemToArray (list, item);
    }
  cJSON_AddBoolToObject (out, "hasNext", more);
  lab_respond (message, 200, out);
}

static void
on_request (SoupServer *soup, SoupMessage *message, const char *path, GHashTable *query, SoupClientContext *client,
            gpointer data)
{
  g_autoptr (SoupBuffer) body = soup_message_body_flatten (message->request_body);

  if (outage)
    lab_respond (message, 503, cJSON_Parse ("{\"error\":\"trouble\"}"));
  else if (g_str_equal (path, "/machine_types"))
    list_types (message);
  else if (g_str_equal (path, "/hosts/return"))
    take_back (message, body->data);
  else if (g_str_equal (path, "/hosts") && g_str_equal (message->method, "POST"))
    rent (message, body->data);
  else if (g_str_equal (path, "/hosts"))
    list_machines (message, query);
  else
    lab_respond (message, 400, NULL);
}

void
cloud_start (const MachineType *types, guint n_types, double list_lag_s, double boot_s)
{
  machine_types = types;
  n_machine_types = n_types;
  lag_s = list_lag_s;
  boot_time_s = boot_s;
  hires = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free);
  lab_serve (on_request, NULL, &port);
}
