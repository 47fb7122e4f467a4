/* Decodes the platform's settings file. */
#include "json.h"
#include "settings-table-codec.h"

#include <math.h>

#define MAX_PEERS 250u       /* the id of a controller is one byte */
#define RESERVED_SOCKETS 16u /* to the key-value store and the cloud, and from the load balancer */
#define MAX_TXN_OPS 1e6      /* far above the size of any transaction of this service */
#define DEFAULT_SOCKETS 1024
#define REQUIRED NAN /* fallback of a required number */

static void
peer_free (gpointer data)
{
  HzbPeer *peer = data;
  g_free (peer->node);
  g_free (peer->zone);
  g_free (peer->address);
  g_free (peer);
}

static void
team_free (gpointer data)
{
  HzbTeam *team = data;
  g_free (team->name);
  g_free (team);
}

static void
objective_free (gpointer data)
{
  HzbObjective *objective = data;
  g_free (objective->kind);
  g_free (objective->job_class);
  g_free (objective);
}

static HzbSettings *
settings_new (void)
{
  HzbSettings *settings = g_new0 (HzbSettings, 1);
  settings->peers = g_ptr_array_new_with_free_func (peer_free);
  settings->zones = g_ptr_array_new_with_free_func (g_free);
  settings->teams = g_ptr_array_new_with_free_func (team_free);
  settings->objectives = g_ptr_array_new_with_free_func (objective_free);
  return settings;
}

/* ---- list entries: each function decodes one entry ---- */

static gpointer
decode_peer (const HzbSettingsTable *entry)
{
  HzbPeer *peer = g_new0 (HzbPeer, 1);
  peer->node = hzb_settings_get_text (entry, "node");
  peer->zone = hzb_settings_get_optional_text (entry, "site");
  peer->address = hzb_settings_get_address (entry, "address");
  return peer;
}

/* Decodes a limit of a team. A missing limit and 0 mean that the team has no limit. */
static double
decode_limit (const HzbSettingsTable *team, const char *key)
{
  double limit = hzb_settings_get_number (team, key, 0, 0);
  return limit > 0 ? limit : HZB_NO_LIMIT;
}

static gpointer
decode_team (const HzbSettingsTable *entry)
{
  HzbTeam *team = g_new0 (HzbTeam, 1);
  team->name = hzb_settings_get_text (entry, "name");
  team->cpus = hzb_settings_get_number (entry, "cpus", 0, 0);
  team->gpus = hzb_settings_get_number (entry, "gpus", 0, 0);
  team->cpus_max = decode_limit (entry, "cpus_max");
  team->gpus_max = decode_limit (entry, "gpus_max");
  return team;
}

static gpointer
decode_objective (const HzbSettingsTable *entry)
{
  HzbObjective *objective = g_new0 (HzbObjective, 1);
  objective->kind = hzb_settings_get_text (entry, "kind");
  objective->job_class = hzb_settings_get_optional_text (entry, "class");
  objective->within_s = hzb_settings_get_number (entry, "within_s", 0, 0);
  objective->required_ratio = hzb_settings_get_number (entry, "share", 0, 0);
  objective->deadline_factor = hzb_settings_get_number (entry, "times", 0, 0);
  return objective;
}

static void
decode_list (GPtrArray *list, const HzbSettingsTable *parent, const char *key, const char *dotted_key,
             gpointer (*decode) (const HzbSettingsTable *entry))
{
  const cJSON *item;
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (parent->json, key))
    {
      HzbSettingsTable entry = { .json = item, .dotted_key = dotted_key, .faults = parent->faults };
      g_ptr_array_add (list, decode (&entry));
    }
}

static void
decode_zones (GPtrArray *zones, const HzbSettingsTable *cluster)
{
  const cJSON *item;
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (cluster->json, "zones"))
    if (cJSON_IsString (item))
      g_ptr_array_add (zones, g_strdup (item->valuestring));
    else
      hzb_settings_add_fault (cluster, "zones", "a list of texts");
}

/* ---- tables: each function decodes one table ---- */

static void
decode_workers (HzbSettings *settings, const HzbSettingsTable *workers)
{
  settings->heartbeat_interval_s = hzb_settings_get_number (workers, "report_s", 0.1, REQUIRED);
  settings->lease_s = hzb_settings_get_number (workers, "lease_s", 1, REQUIRED);
  settings->gang_wait_s = hzb_settings_get_number (workers, "gang_wait_s", 0, 30);
  settings->gang_peer_s = hzb_settings_get_number (workers, "gang_peer_s", 0, 5);
  settings->cancel_s = hzb_settings_get_number (workers, "cancel_s", 1, REQUIRED);
}

/* The table `next` announces lower limits of the key-value store. The store applies them some time after the start, and
 * gives no notice when it does. The service therefore keeps to the lower limit from the start. A limit whose key is
 * missing does not change.
 * MIN evaluates its argument twice, so an invalid value is listed as two faults. */
static void
decode_announced_limits (HzbSettings *settings, const HzbSettingsTable *kv)
{
  HzbSettingsTable next;

  if (!cJSON_GetObjectItemCaseSensitive (kv->json, "next")
      || !hzb_settings_open_table (kv, "next", "cluster.state.next", &next))
    return;
  settings->kv_rps = MIN (settings->kv_rps, hzb_settings_get_number (&next, "rps", 1, settings->kv_rps));
  settings->kv_write_rps =
      MIN (settings->kv_write_rps, hzb_settings_get_number (&next, "write_rps", 1, settings->kv_write_rps));
  settings->kv_value_kb =
      MIN (settings->kv_value_kb, hzb_settings_get_number (&next, "value_kb", 1, settings->kv_value_kb));
  settings->kv_txn_ops =
      (guint) MIN (settings->kv_txn_ops, hzb_settings_get_number (&next, "txn_ops", 3, settings->kv_txn_ops));
}

static void
decode_kv (HzbSettings *settings, const HzbSettingsTable *kv)
{
  settings->kv_rps = hzb_settings_get_number (kv, "rps", 1, REQUIRED);
  settings->kv_write_rps = hzb_settings_get_number (kv, "write_rps", 1, REQUIRED);
  settings->kv_value_kb = hzb_settings_get_number (kv, "value_kb", 1, REQUIRED);
  settings->kv_txn_ops = (guint) MIN (hzb_settings_get_number (kv, "txn_ops", 3, REQUIRED), MAX_TXN_OPS);
  decode_announced_limits (settings, kv);
}

static void
decode_cloud (HzbSettings *settings, const HzbSettingsTable *cloud)
{
  settings->cloud_rps = hzb_settings_get_number (cloud, "rps", 0.1, REQUIRED);
  settings->list_lag_s = hzb_settings_get_number (cloud, "list_lag_s", 0, 5);
}

/* The table is optional. */
static void
decode_resources (HzbSettings *settings, const HzbSettingsTable *cluster)
{
  HzbSettingsTable resources = { .json = cJSON_GetObjectItemCaseSensitive (cluster->json, "resources"),
                                 .dotted_key = "cluster.resources",
                                 .faults = cluster->faults };
  if (!resources.json)
    return;
  settings->cpu_share = hzb_settings_get_number (&resources, "cpu_share", 0, 1);
  settings->mem_mb = hzb_settings_get_number (&resources, "mem_mb", 0, 0);
  settings->sockets = (guint) MIN (hzb_settings_get_number (&resources, "sockets", 16, DEFAULT_SOCKETS), G_MAXINT32);
}

static void
decode_cluster (HzbSettings *settings, const HzbSettingsTable *cluster)
{
  HzbSettingsTable table;

  settings->cluster_size = (guint) MIN (hzb_settings_get_number (cluster, "size", 1, REQUIRED), G_MAXUINT16);
  settings->skew_ms = hzb_settings_get_number (cluster, "skew_ms", 0, 0);
  decode_zones (settings->zones, cluster);
  decode_list (settings->teams, cluster, "teams", "cluster.teams", decode_team);
  if (settings->teams->len == 0)
    hzb_settings_add_fault (cluster, "teams", "at least one team");
  decode_list (settings->objectives, cluster, "objectives", "cluster.objectives", decode_objective);
  if (hzb_settings_open_table (cluster, "workers", "cluster.workers", &table))
    decode_workers (settings, &table);
  if (hzb_settings_open_table (cluster, "state", "cluster.state", &table))
    decode_kv (settings, &table);
  if (hzb_settings_open_table (cluster, "cloud", "cluster.cloud", &table))
    decode_cloud (settings, &table);
  decode_resources (settings, cluster);
}

static void
decode_file (HzbSettings *settings, const HzbSettingsTable *file)
{
  HzbSettingsTable table;

  settings->node = hzb_settings_get_text (file, "node");
  settings->zone = hzb_settings_get_text (file, "site");
  settings->api_addr = hzb_settings_get_address (file, "api_addr");
  settings->peer_addr = hzb_settings_get_address (file, "cluster_listen");
  decode_list (settings->peers, file, "peers", "peers", decode_peer);
  if (hzb_settings_open_table (file, "external", "external", &table))
    {
      settings->cloud_addr = hzb_settings_get_address (&table, "cloud");
      settings->kv_addr = hzb_settings_get_address (&table, "state");
    }
  if (hzb_settings_open_table (file, "cluster", "cluster", &table))
    decode_cluster (settings, &table);
}

/* ---- checks across tables ---- */

static void
check_peer_is_unique (const HzbSettings *settings, guint index, const HzbSettingsTable *peers)
{
  const HzbPeer *peer = settings->peers->pdata[index];

  if (g_strcmp0 (peer->node, settings->node) == 0)
    hzb_settings_add_fault (peers, "node", "another name than this node's own");
  for (guint i = 0; i < index; i++)
    {
      const HzbPeer *other = settings->peers->pdata[i];
      if (g_strcmp0 (peer->node, other->node) == 0)
        hzb_settings_add_fault (peers, "node", "a name that no other peer has");
      if (g_strcmp0 (peer->address, other->address) == 0)
        hzb_settings_add_fault (peers, "address", "an address that no other peer has");
    }
}

/* Each peer must be listed once, and this controller must not be among its peers. */
static void
check_peers (const HzbSettings *settings, const HzbSettingsTable *file)
{
  HzbSettingsTable peers = { .dotted_key = "peers", .faults = file->faults };

  if (settings->peers->len > MAX_PEERS)
    hzb_settings_add_fault (file, "peers", "at most 250 other controllers");
  for (guint i = 0; i < settings->peers->len; i++)
    check_peer_is_unique (settings, i, &peers);
}

/* Besides the connections of the workers, the controller needs one connection to and one from each peer, and
 * RESERVED_SOCKETS others. */
static void
check_sockets (const HzbSettings *settings, const HzbSettingsTable *file)
{
  HzbSettingsTable resources = { .dotted_key = "cluster.resources", .faults = file->faults };
  guint min = RESERVED_SOCKETS + 2 * settings->peers->len;
  char expected[96];

  if (!settings->sockets || settings->sockets >= min)
    return;
  g_snprintf (expected, sizeof expected, "at least %u, and one more for each machine that reports here", min);
  hzb_settings_add_fault (&resources, "sockets", expected);
}

HzbSettings *
hzb_settings_parse (const char *text, const char *name, GError **error)
{
  g_autoptr (cJSON) root = hzb_settings_file_parse (text, name, error);
  g_autoptr (HzbSettings) settings = settings_new ();
  g_autoptr (GString) faults = g_string_new (NULL);
  HzbSettingsTable file = { .json = root, .dotted_key = "", .faults = faults };

  if (!root)
    return NULL;
  decode_file (settings, &file);
  check_peers (settings, &file);
  check_sockets (settings, &file);
  return hzb_settings_check_no_faults (faults, error) ? g_steal_pointer (&settings) : NULL;
}
