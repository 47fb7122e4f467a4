#include "settings.h"

#include "toml-bridge.h"

#include <math.h>
#include <stdlib.h>

#define MOST_PEERS 250u   /* an owner is told apart by a byte */
#define OTHER_SOCKETS 16u /* to the key-value store and the cloud, and from the load balancer */
#define MOST_TXN_OPS 1e6  /* no transaction of ours comes near */

GQuark
hzb_settings_error_quark (void)
{
  return g_quark_from_static_string ("hzb-settings-error");
}

static void
fault (GString *faults, const char *table, const char *key, const char *expected)
{
  g_string_append_printf (faults, "%s%s%s: expected %s\n", table, *table ? "." : "", key, expected);
}

static char *
text_at (const cJSON *table, const char *where, const char *key, GString *faults)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (table, key);
  if (cJSON_IsString (item) && *item->valuestring)
    return g_strdup (item->valuestring);
  fault (faults, where, key, "a text that is not empty");
  return NULL;
}

static char *
addr_at (const cJSON *table, const char *where, const char *key, GString *faults)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (table, key);
  if (cJSON_IsString (item) && hzb_split_addr (item->valuestring, NULL, NULL))
    return g_strdup (item->valuestring);
  fault (faults, where, key, "an address such as \"10.0.0.1:8080\"");
  return NULL;
}

static double
number_at (const cJSON *table, const char *where, const char *key, double least, double fallback, GString *faults)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (table, key);
  char expected[64];
  if (!item && !isnan (fallback))
    return fallback;
  if (cJSON_IsNumber (item) && isfinite (item->valuedouble) && item->valuedouble >= least)
    return item->valuedouble;
  g_snprintf (expected, sizeof expected, "a number of at least %g", least);
  fault (faults, where, key, expected);
  return 0;
}

/* A team's limit; 0, or none named, means that the team has none. */
static double
limit_at (const cJSON *team, const char *key, GString *faults)
{
  double limit = number_at (team, "cluster.teams", key, 0, 0, faults);
  return limit > 0 ? limit : HZB_NO_LIMIT;
}

static const cJSON *
table_at (const cJSON *table, const char *where, const char *key, GString *faults)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (table, key);
  if (cJSON_IsObject (item))
    return item;
  fault (faults, where, key, "a table");
  return NULL;
}

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
  g_free (((HzbTeam *) data)->name);
  g_free (data);
}

static void
objective_free (gpointer data)
{
  HzbObjective *objective = data;
  g_free (objective->kind);
  g_free (objective->job_class);
  g_free (objective);
}

/* The key-value store's limits fall to these without notice, some time after a start: what is written keeps to the lesser
 * of both from the beginning. A key that is absent does not change. */
static void
read_next_limits (HzbSettings *settings, const cJSON *state, GString *faults)
{
  const cJSON *next = cJSON_GetObjectItemCaseSensitive (state, "next");

  if (!next)
    return;
  if (!cJSON_IsObject (next))
    {
      fault (faults, "cluster.state", "next", "a table");
      return;
    }
  settings->kv_rps = MIN (settings->kv_rps, number_at (next, "cluster.state.next", "rps", 1, settings->kv_rps, faults));
  settings->kv_write_rps = MIN (settings->kv_write_rps,
                                number_at (next, "cluster.state.next", "write_rps", 1, settings->kv_write_rps, faults));
  settings->kv_value_kb =
      MIN (settings->kv_value_kb, number_at (next, "cluster.state.next", "value_kb", 1, settings->kv_value_kb, faults));
  settings->kv_txn_ops = (guint) MIN (
      settings->kv_txn_ops, number_at (next, "cluster.state.next", "txn_ops", 3, settings->kv_txn_ops, faults));
}

static void
read_cluster (HzbSettings *settings, const cJSON *cluster, GString *faults)
{
  const cJSON *item, *table;

  settings->size = (guint) MIN (number_at (cluster, "cluster", "size", 1, NAN, faults), G_MAXUINT16);
  settings->skew_ms = number_at (cluster, "cluster", "skew_ms", 0, 0, faults);
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (cluster, "zones"))
    if (cJSON_IsString (item))
      g_ptr_array_add (settings->zones, g_strdup (item->valuestring));
    else
      fault (faults, "cluster", "zones", "a list of texts");
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (cluster, "teams"))
    {
      HzbTeam *team = g_new0 (HzbTeam, 1);
      team->name = text_at (item, "cluster.teams", "name", faults);
      team->cpus = number_at (item, "cluster.teams", "cpus", 0, 0, faults);
      team->gpus = number_at (item, "cluster.teams", "gpus", 0, 0, faults);
      team->cpus_max = limit_at (item, "cpus_max", faults);
      team->gpus_max = limit_at (item, "gpus_max", faults);
      g_ptr_array_add (settings->teams, team);
    }
  if (settings->teams->len == 0)
    fault (faults, "cluster", "teams", "at least one team");
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (cluster, "objectives"))
    {
      HzbObjective *objective = g_new0 (HzbObjective, 1);
      const cJSON *job_class = cJSON_GetObjectItemCaseSensitive (item, "class");
      objective->kind = text_at (item, "cluster.objectives", "kind", faults);
      objective->job_class = cJSON_IsString (job_class) ? g_strdup (job_class->valuestring) : NULL;
      objective->within_s = number_at (item, "cluster.objectives", "within_s", 0, 0, faults);
      objective->share = number_at (item, "cluster.objectives", "share", 0, 0, faults);
      objective->times = number_at (item, "cluster.objectives", "times", 0, 0, faults);
      g_ptr_array_add (settings->objectives, objective);
    }
  if ((table = table_at (cluster, "cluster", "workers", faults)))
    {
      settings->heartbeat_interval_s = number_at (table, "cluster.workers", "report_s", 0.1, NAN, faults);
      settings->lease_s = number_at (table, "cluster.workers", "lease_s", 1, NAN, faults);
      settings->gang_wait_s = number_at (table, "cluster.workers", "gang_wait_s", 0, 30, faults);
      settings->gang_peer_s = number_at (table, "cluster.workers", "gang_peer_s", 0, 5, faults);
      settings->cancel_s = number_at (table, "cluster.workers", "cancel_s", 1, NAN, faults);
    }
  if ((table = table_at (cluster, "cluster", "state", faults)))
    {
      settings->kv_rps = number_at (table, "cluster.state", "rps", 1, NAN, faults);
      settings->kv_write_rps = number_at (table, "cluster.state", "write_rps", 1, NAN, faults);
      settings->kv_value_kb = number_at (table, "cluster.state", "value_kb", 1, NAN, faults);
      settings->kv_txn_ops = (guint) MIN (number_at (table, "cluster.state", "txn_ops", 3, NAN, faults), MOST_TXN_OPS);
      read_next_limits (settings, table, faults);
    }
  if ((table = table_at (cluster, "cluster", "cloud", faults)))
    {
      settings->cloud_rps = number_at (table, "cluster.cloud", "rps", 0.1, NAN, faults);
      settings->list_lag_s = number_at (table, "cluster.cloud", "list_lag_s", 0, 5, faults);
    }
  if ((table = cJSON_GetObjectItemCaseSensitive (cluster, "resources")))
    {
      settings->cpu_share = number_at (table, "cluster.resources", "cpu_share", 0, 1, faults);
      settings->mem_mb = number_at (table, "cluster.resources", "mem_mb", 0, 0, faults);
      settings->sockets = (guint) MIN (number_at (table, "cluster.resources", "sockets", 16, 1024, faults), G_MAXINT32);
    }
}

/* Whom this node exchanges messages with: each once, and not itself. */
static void
check_peers (const HzbSettings *settings, GString *faults)
{
  if (settings->peers->len > MOST_PEERS)
    fault (faults, "", "peers", "at most 250 other controllers");
  for (guint i = 0; i < settings->peers->len; i++)
    {
      const HzbPeer *peer = settings->peers->pdata[i];
      if (g_strcmp0 (peer->node, settings->node) == 0)
        fault (faults, "peers", "node", "another name than this node's own");
      for (guint k = 0; k < i; k++)
        {
          const HzbPeer *other = settings->peers->pdata[k];
          if (g_strcmp0 (peer->node, other->node) == 0)
            fault (faults, "peers", "node", "a name that no other peer has");
          if (g_strcmp0 (peer->address, other->address) == 0)
            fault (faults, "peers", "address", "an address that no other peer has");
        }
    }
}

/* Beside the workers': to each other controller, to the key-value store and the cloud, from the load balancer. */
static void
check_sockets (const HzbSettings *settings, GString *faults)
{
  char expected[96];
  guint least = OTHER_SOCKETS + 2 * settings->peers->len;
  if (settings->sockets >= least)
    return;
  g_snprintf (expected, sizeof expected, "at least %u, and one more for each machine that reports here", least);
  fault (faults, "cluster.resources", "sockets", expected);
}

HzbSettings *
hzb_settings_parse (const char *text, const char *name, GError **error)
{
  char *message = NULL;
  cJSON *root = hzb_toml_parse (text, name, &message);
  g_autoptr (HzbSettings) settings = g_new0 (HzbSettings, 1);
  g_autoptr (GString) faults = g_string_new (NULL);
  const cJSON *item, *table;

  settings->peers = g_ptr_array_new_with_free_func (peer_free);
  settings->zones = g_ptr_array_new_with_free_func (g_free);
  settings->teams = g_ptr_array_new_with_free_func (team_free);
  settings->objectives = g_ptr_array_new_with_free_func (objective_free);
  if (!root)
    {
      g_set_error (error, HZB_SETTINGS_ERROR, 1, "not TOML: %s", message);
      free (message);
      return NULL;
    }
  settings->node = text_at (root, "", "node", faults);
  settings->zone = text_at (root, "", "site", faults);
  settings->api_addr = addr_at (root, "", "api_addr", faults);
  settings->peer_addr = addr_at (root, "", "cluster_listen", faults);
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "peers"))
    {
      HzbPeer *peer = g_new0 (HzbPeer, 1);
      const cJSON *zone = cJSON_GetObjectItemCaseSensitive (item, "site");
      peer->node = text_at (item, "peers", "node", faults);
      peer->zone = cJSON_IsString (zone) ? g_strdup (zone->valuestring) : NULL;
      peer->address = addr_at (item, "peers", "address", faults);
      g_ptr_array_add (settings->peers, peer);
    }
  if ((table = table_at (root, "", "external", faults)))
    {
      settings->cloud_addr = addr_at (table, "external", "cloud", faults);
      settings->kv_addr = addr_at (table, "external", "state", faults);
    }
  if ((table = table_at (root, "", "cluster", faults)))
    read_cluster (settings, table, faults);
  cJSON_Delete (root);
  check_peers (settings, faults);
  if (settings->sockets)
    check_sockets (settings, faults);
  if (faults->len)
    {
      g_set_error (error, HZB_SETTINGS_ERROR, 2, "%s", faults->str);
      return NULL;
    }
  return g_steal_pointer (&settings);
}

HzbSettings *
hzb_settings_load (const char *path, GError **error)
{
  g_autofree char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, error))
    return NULL;
  return hzb_settings_parse (text, path, error);
}

/* ---- features ---- */

#define LONGEST_PACE_S 300.0
#define MOST_STARTS 1e5
#define MOST_ARCHIVES 24.0

static const HzbReconciliationSettings usual_reconciliation = {
  .operator_s = 120, .pace_s = 60, .starts_per_heartbeat = 4, .keep = 8
};

static void
refuse_unknown_keys (const cJSON *table, const char *where, const char *const *known, GString *faults)
{
  const cJSON *item;
  cJSON_ArrayForEach (item, table)
    if (!g_strv_contains (known, item->string))
      fault (faults, where, item->string, "no such key");
}

static gboolean
flag_at (const cJSON *table, const char *where, const char *key, GString *faults)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (table, key);
  if (item && !cJSON_IsBool (item))
    fault (faults, where, key, "true or false");
  return cJSON_IsTrue (item);
}

static double
bounded_at (const cJSON *table, const char *where, const char *key, double most, double fallback, GString *faults)
{
  double number = number_at (table, where, key, 0, fallback, faults);
  char expected[64];
  if (number <= most)
    return number;
  g_snprintf (expected, sizeof expected, "a number of at most %g", most);
  fault (faults, where, key, expected);
  return 0;
}

static void
read_reconciliation (HzbReconciliationSettings *reconciliation, const cJSON *table, GString *faults)
{
  static const char *const known[] = { "enabled",      "barrier",           "operator_s", "pace_s",
                                       "starts_per_s", "starts_per_report", "keep",       NULL };
  const char *where = "reconciliation";

  if (!cJSON_IsObject (table))
    {
      fault (faults, "", where, "a table");
      return;
    }
  refuse_unknown_keys (table, where, known, faults);
  reconciliation->enabled = flag_at (table, where, "enabled", faults);
  reconciliation->barrier = flag_at (table, where, "barrier", faults);
  reconciliation->operator_s = bounded_at (table, where, "operator_s", 86400, usual_reconciliation.operator_s, faults);
  reconciliation->pace_s = bounded_at (table, where, "pace_s", LONGEST_PACE_S, usual_reconciliation.pace_s, faults);
  reconciliation->starts_per_s = bounded_at (table, where, "starts_per_s", MOST_STARTS, 0, faults);
  reconciliation->starts_per_heartbeat = (guint) bounded_at (table, where, "starts_per_report", MOST_STARTS,
                                                             usual_reconciliation.starts_per_heartbeat, faults);
  reconciliation->keep = (guint) bounded_at (table, where, "keep", MOST_ARCHIVES, usual_reconciliation.keep, faults);
}

gboolean
hzb_settings_parse_features (HzbSettings *settings, const char *text, const char *name, GError **error)
{
  static const char *const known[] = { "reconciliation", NULL };
  char *message = NULL;
  cJSON *root = hzb_toml_parse (text, name, &message);
  const cJSON *table = cJSON_GetObjectItemCaseSensitive (root, "reconciliation");
  g_autoptr (GString) faults = g_string_new (NULL);

  if (!root)
    {
      g_set_error (error, HZB_SETTINGS_ERROR, 1, "not TOML: %s", message);
      free (message);
      return FALSE;
    }
  refuse_unknown_keys (root, "", known, faults);
  if (table)
    read_reconciliation (&settings->reconciliation, table, faults);
  cJSON_Delete (root);
  if (faults->len)
    g_set_error (error, HZB_SETTINGS_ERROR, 2, "%s", faults->str);
  return !faults->len;
}

gboolean
hzb_settings_load_features (HzbSettings *settings, const char *path, GError **error)
{
  g_autofree char *text = NULL;
  return g_file_get_contents (path, &text, NULL, error) && hzb_settings_parse_features (settings, text, path, error);
}

void
hzb_settings_free (HzbSettings *settings)
{
  if (!settings)
    return;
  g_free (settings->node);
  g_free (settings->zone);
  g_free (settings->api_addr);
  g_free (settings->peer_addr);
  g_free (settings->cloud_addr);
  g_free (settings->kv_addr);
  g_ptr_array_unref (settings->peers);
  g_ptr_array_unref (settings->zones);
  g_ptr_array_unref (settings->teams);
  g_ptr_array_unref (settings->objectives);
  g_free (settings);
}

int
hzb_settings_team (const HzbSettings *settings, const char *name)
{
  for (guint i = 0; i < settings->teams->len; i++)
    if (g_str_equal (((HzbTeam *) settings->teams->pdata[i])->name, name))
      return (int) i;
  return -1;
}

gboolean
hzb_split_addr (const char *addr, char **host, guint16 *port)
{
  const char *colon = strrchr (addr, ':');
  guint64 number = 0;
  g_autofree char *front = NULL;

  if (!colon || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &number, NULL))
    return FALSE;
  front = g_strndup (addr, (gsize) (colon - addr));
  if (!g_hostname_is_ip_address (front))
    return FALSE;
  if (host)
    *host = g_steal_pointer (&front);
  if (port)
    *port = (guint16) number;
  return TRUE;
}
