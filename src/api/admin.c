/* The operators' side, under one versioned prefix, in the look of the user API. What belongs to a tenant has the
 * tenant in its path; there is one so far. */
#include "controller-private.h"
#include "json.h"
#include "kv-protocol.h"
#include "reconciliation-admin.h"
#include "record-keys.h"
#include "user-protocol.h"

#include <math.h>
#include <string.h>

#define PREFIX "/admin/v1/"
#define TENANT "tenants/main/"

static void
reply_json (HzbHttpRequest *http_request, guint status, cJSON *root)
{
  char *text = cJSON_PrintUnformatted (root);
  cJSON_Delete (root);
  hzb_http_request_respond (http_request, status, text, 0);
}

static void
refuse (HzbHttpRequest *http_request, guint status, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  hzb_http_request_respond (http_request, status, hzb_error_response_encode (text), status == 503 ? 1 : 0);
}

/* ---- settings ---- */

/* Operators' settings: kept in the key-value store, replicated by every node and applied there at once. */
typedef struct
{
  const char *name, *meaning;
  double least, most, usual;
} Setting;

static const Setting settings[] = {
  { "dispatchH", "weight of h/v in the dispatch rule, 0 for waiting to 1 for sojourn", 0, 1, 0.5 },
  { "dispatchSample", "machines looked at for one task when more is asked than can be done", 1, 1000, 8 },
  { "dispatchListAheadS", "seconds of work that a machine's list is filled ahead", 1, 3600, 8 },
  { "fleetIdleS", "seconds that a machine without work is kept", 0, 86400, 40 },
  { "fleetPatience", "part of the time that aims leave in which waiting work should start", 0.05, 2, 0.6 },
  { "leaseBlocks", "1: blocks are leased to the other controllers, 0: the leader keeps all", 0, 1, 1 },
};

void
hzb_admin_apply_settings (HzbController *controller, const cJSON *value, guint64 version)
{
  double v[G_N_ELEMENTS (settings)];

  if (version <= controller->settings_version)
    return;
  controller->settings_version = version;
  for (guint i = 0; i < G_N_ELEMENTS (settings); i++)
    {
      v[i] = hzb_json_number (value, settings[i].name, settings[i].usual);
      /* A record of another version of this program may hold what this one does not know. */
      if (!(v[i] >= settings[i].least && v[i] <= settings[i].most))
        v[i] = settings[i].usual;
    }
  controller->dispatch->h = v[0];
  controller->dispatch->sample = (guint) v[1];
  controller->dispatch->queue_ahead_s = v[2];
  controller->autoscaler->idle_s = v[3];
  controller->autoscaler->patience = v[4];
  controller->lease_shards = v[5] >= 0.5;
  if (value)
    g_message ("the operators' settings of revision %" G_GUINT64_FORMAT " apply", version);
}

static cJSON *
pack_settings (HzbController *controller)
{
  const double v[G_N_ELEMENTS (settings)] = {
    controller->dispatch->h,        controller->dispatch->sample,     controller->dispatch->queue_ahead_s,
    controller->autoscaler->idle_s, controller->autoscaler->patience, controller->lease_shards
  };
  cJSON *root = cJSON_CreateObject (), *list;
  hzb_json_add_u64 (root, "version", controller->settings_version);
  list = cJSON_AddObjectToObject (root, "settings");
  for (guint i = 0; i < G_N_ELEMENTS (settings); i++)
    cJSON_AddNumberToObject (list, settings[i].name, v[i]);
  list = cJSON_AddObjectToObject (root, "meaning");
  for (guint i = 0; i < G_N_ELEMENTS (settings); i++)
    {
      g_autofree char *text = g_strdup_printf ("%s; %g to %g, usually %g", settings[i].meaning, settings[i].least,
                                               settings[i].most, settings[i].usual);
      cJSON_AddStringToObject (list, settings[i].name, text);
    }
  return root;
}

typedef struct
{
  HzbController *controller;
  HzbHttpRequest *http_request;
  cJSON *value;
} Change;

static void
on_changed (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree Change *change = user;
  guint64 revision = 0;

  if (result == HZB_KV_OK)
    {
      hzb_kv_commit_decode (body, &revision, NULL);
      hzb_admin_apply_settings (change->controller, change->value, revision);
      reply_json (change->http_request, 200, pack_settings (change->controller));
    }
  else if (result == HZB_KV_CONFLICT)
    refuse (change->http_request, 409, "the settings have been changed meanwhile: read them again");
  else
    refuse (change->http_request, 503,
            result == HZB_KV_UNKNOWN ? "it is not known whether the change was made: read the settings"
                                     : "the state service can't be asked");
  cJSON_Delete (change->value);
}

static void
change_settings (HzbController *controller, HzbHttpRequest *http_request)
{
  cJSON *root = cJSON_ParseWithLength (http_request->body, http_request->length);
  const cJSON *demanded_units = cJSON_GetObjectItemCaseSensitive (root, "settings"), *item;
  const cJSON *version = cJSON_GetObjectItemCaseSensitive (root, "version");
  cJSON *packed = pack_settings (controller), *value = cJSON_DetachItemFromObject (packed, "settings");
  HzbKvTransaction *transaction;
  g_autofree char *fault = NULL;
  Change *change;

  cJSON_Delete (packed);
  if (!cJSON_IsObject (demanded_units) || !cJSON_IsNumber (version))
    fault = g_strdup ("expected {\"version\": the one read, \"settings\": {…}}");
  cJSON_ArrayForEach (item, demanded_units)
    {
      const Setting *known = NULL;
      for (guint i = 0; i < G_N_ELEMENTS (settings); i++)
        if (g_strcmp0 (settings[i].name, item->string) == 0)
          known = &settings[i];
      if (fault)
        break;
      if (!known)
        fault = g_strdup_printf ("%s: no such setting", item->string);
      else if (!cJSON_IsNumber (item) || !(item->valuedouble >= known->least && item->valuedouble <= known->most))
        fault = g_strdup_printf ("%s: expected a number from %g to %g", known->name, known->least, known->most);
      else
        cJSON_ReplaceItemInObjectCaseSensitive (value, known->name, cJSON_CreateNumber (item->valuedouble));
    }
  if (!fault && hzb_json_u64 (root, "version") != controller->settings_version)
    {
      refuse (http_request, 409, "version: the settings are at %" G_GUINT64_FORMAT ": read them again",
              controller->settings_version);
      cJSON_Delete (value);
    }
  else if (fault)
    {
      refuse (http_request, 400, "%s", fault);
      cJSON_Delete (value);
    }
  else
    {
      change = g_new0 (Change, 1);
      change->controller = controller;
      change->http_request = http_request;
      change->value = value;
      transaction = hzb_kv_transaction_new ();
      hzb_kv_transaction_compare (transaction, HZB_KEY_SETTINGS, controller->settings_version);
      hzb_kv_transaction_put (transaction, HZB_KEY_SETTINGS, cJSON_Duplicate (value, TRUE), 0);
      hzb_kv_client_commit (controller->kv, HZB_KV_ACCEPT, transaction, on_changed, change);
    }
  cJSON_Delete (root);
}

/* ---- reading ---- */

static cJSON *
leadership (HzbController *controller)
{
  cJSON *root = cJSON_CreateObject (), *formats;
  const char *leader = hzb_election_leader (controller->election);
  cJSON_AddStringToObject (root, "node", controller->settings->node);
  cJSON_AddBoolToObject (root, "leads", hzb_election_leading (controller->election));
  if (leader)
    cJSON_AddStringToObject (root, "leader", leader);
  else
    cJSON_AddNullToObject (root, "leader");
  hzb_json_add_u64 (root, "term", hzb_election_leader_term (controller->election));
  cJSON_AddNumberToObject (root, "stateServiceSilentS", MIN (hzb_kv_client_unresponsive_s (controller->kv), 1e6));
  /* During an upgrade: 2 once every controller has said so, and what each says now. */
  cJSON_AddNumberToObject (root, "format", hzb_election_schema_version (controller->election));
  formats = cJSON_AddObjectToObject (root, "formats");
  cJSON_AddNumberToObject (formats, controller->settings->node, controller->node->schema_version);
  for (guint i = 0; i < controller->settings->peers->len; i++)
    {
      const char *node = ((HzbPeer *) controller->settings->peers->pdata[i])->node;
      if (hzb_peers_unreachable (controller->peers, node))
        cJSON_AddNullToObject (formats, node);
      else
        cJSON_AddNumberToObject (formats, node, hzb_peers_schema_version (controller->peers, node));
    }
  return root;
}

static cJSON *
machines (HzbController *controller)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "machines");
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      const HzbMachine *machine = controller->machines->all->pdata[i];
      cJSON *item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "name", machine->name);
      cJSON_AddStringToObject (item, "type", machine->type_name);
      cJSON_AddStringToObject (item, "zone", machine->zone);
      cJSON_AddBoolToObject (item, "spot", machine->spot);
      cJSON_AddStringToObject (item, "state", hzb_machine_state_name (machine->state));
      cJSON_AddNumberToObject (item, "tasks", machine->tasks->len);
      cJSON_AddNumberToObject (item, "listed", hzb_machine_queued_tasks (machine));
      cJSON_AddNumberToObject (item, "cpusUsed", machine->cpus);
      cJSON_AddBoolToObject (item, "toBeReturned", machine->scale_in_requested);
      cJSON_AddItemToArray (list, item);
    }
  return root;
}

/* null: the team has no limit. */
static void
add_limit (cJSON *item, const char *name, double limit)
{
  if (limit < HZB_NO_LIMIT)
    cJSON_AddNumberToObject (item, name, limit);
  else
    cJSON_AddNullToObject (item, name);
}

static cJSON *
teams (HzbController *controller)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "teams");
  for (guint i = 0; i < controller->settings->teams->len; i++)
    {
      const HzbTeam *team = controller->settings->teams->pdata[i];
      cJSON *item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "name", team->name);
      cJSON_AddNumberToObject (item, "cpusGuaranteed", team->cpus);
      add_limit (item, "cpusMax", team->cpus_max);
      cJSON_AddNumberToObject (item, "gpusGuaranteed", team->gpus);
      add_limit (item, "gpusMax", team->gpus_max);
      cJSON_AddNumberToObject (item, "cpusUsed", controller->shard->cpus[i]);
      cJSON_AddNumberToObject (item, "gpusUsed", controller->shard->gpus[i]);
      cJSON_AddItemToArray (list, item);
    }
  return root;
}

static cJSON *
pack_job (const HzbJob *job)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "id", job->uid);
  cJSON_AddStringToObject (item, "status", hzb_job_status (job));
  cJSON_AddNumberToObject (item, "tasks", job->n_tasks);
  if (job->tasks)
    {
      cJSON_AddStringToObject (item, "class", job->spec->job_class);
      cJSON_AddStringToObject (item, "team", job->spec->team);
      cJSON_AddNumberToObject (item, "waiting", job->pending + job->queued);
      cJSON_AddNumberToObject (item, "placed", job->placed);
      cJSON_AddNumberToObject (item, "unknown", job->unconfirmed);
      cJSON_AddNumberToObject (item, "finished", job->finished);
      cJSON_AddNumberToObject (item, "done", job->done);
      cJSON_AddNumberToObject (item, "servedAs", job->scheduling_class);
      cJSON_AddNumberToObject (item, "failuresInARow", job->failures);
    }
  return item;
}

static cJSON *
jobs (HzbController *controller)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "jobs");
  guint n = MIN (controller->jobs->active->len, 100);
  for (guint i = 0; i < n; i++)
    cJSON_AddItemToArray (list, pack_job (controller->jobs->active->pdata[i]));
  cJSON_AddNumberToObject (root, "unfinished", controller->jobs->active->len);
  return root;
}

/* ---- requests ---- */

typedef cJSON *(*View) (HzbController *controller);

static void
drain (HzbController *controller, HzbHttpRequest *http_request, const char *name)
{
  HzbMachine *machine = hzb_machines_find (controller->machines, name);
  cJSON *root;
  if (!machine)
    {
      refuse (http_request, 404, "%s: no such machine", name);
      return;
    }
  /* It takes no new tasks and goes back once it is empty; on record, so that a new leader does the same. */
  machine->scale_in_requested = machine->drain = TRUE;
  machine->recorded = machine->recording = FALSE;
  hzb_records_flush_soon (controller->records);
  g_message ("machine %s: an operator wants it drained", machine->name);
  root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "name", machine->name);
  cJSON_AddBoolToObject (root, "toBeReturned", TRUE);
  reply_json (http_request, 200, root);
}

static cJSON *
metrics (HzbController *controller)
{
  cJSON *root = hzb_metrics_pack (controller->metrics);
  if (controller->api_server && controller->peer_server)
    {
      cJSON_AddNumberToObject (root, "connections", hzb_http_server_connections (controller->api_server));
      hzb_json_add_u64 (root, "bodiesTooLarge",
                        hzb_http_server_too_large (controller->api_server)
                            + hzb_http_server_too_large (controller->peer_server));
    }
  hzb_reconciliation_pack_metrics (controller->reconciliation, root);
  return root;
}

static cJSON *
shards (HzbController *controller)
{
  return hzb_shard_leases_pack (controller->shard_leases);
}

gboolean
hzb_admin_request (HzbController *controller, HzbHttpRequest *http_request)
{
  static const struct
  {
    const char *path;
    View view;
    gboolean holder; /* only the leader knows */
  } views[] = {
    { "leadership", leadership, FALSE }, { "metrics", metrics, FALSE }, { "settings", pack_settings, FALSE },
    { "machines", machines, TRUE },      { "blocks", shards, TRUE },    { TENANT "teams", teams, TRUE },
    { TENANT "jobs", jobs, TRUE },
  };
  const char *what = http_request->path + strlen (PREFIX);
  gboolean get = g_str_equal (http_request->method, "GET");
  gboolean holds = hzb_ownership_leader_loaded (controller->ownership) && hzb_election_leading (controller->election);

  if (!g_str_has_prefix (http_request->path, PREFIX))
    return FALSE;
  for (guint i = 0; i < G_N_ELEMENTS (views); i++)
    if (g_str_equal (what, views[i].path))
      {
        if (g_str_equal (http_request->method, "PUT") && views[i].view == pack_settings)
          change_settings (controller, http_request);
        else if (!get)
          refuse (http_request, 405, views[i].view == pack_settings ? "GET or PUT here" : "GET here");
        else if (views[i].holder && !holds)
          hzb_http_request_respond (http_request, 421,
                                    hzb_worker_redirect_encode (hzb_election_leader (controller->election)), 0);
        else
          reply_json (http_request, 200, views[i].view (controller));
        return TRUE;
      }
  if (hzb_reconciliation_admin_request (controller->reconciliation, http_request, what))
    return TRUE;
  if (g_str_has_prefix (what, TENANT "jobs/"))
    {
      const HzbJob *job = hzb_jobs_find (controller->jobs, what + strlen (TENANT "jobs/"));
      if (!get)
        refuse (http_request, 405, "GET here");
      else if (!job)
        refuse (http_request, 404, "this node knows no such job");
      else
        reply_json (http_request, 200, pack_job (job));
    }
  else if (g_str_has_prefix (what, "machines/") && g_str_has_suffix (what, "/drain"))
    {
      g_autofree char *name = g_strndup (what + strlen ("machines/"), strlen (what) - strlen ("machines//drain"));
      if (!g_str_equal (http_request->method, "POST"))
        refuse (http_request, 405, "POST here");
      else if (!holds)
        hzb_http_request_respond (http_request, 421,
                                  hzb_worker_redirect_encode (hzb_election_leader (controller->election)), 0);
      else
        drain (controller, http_request, name);
    }
  else
    refuse (
        http_request, 404,
        "there are leadership, settings, metrics, machines, machines/NAME/drain, blocks, reconciliation, reconciliations, " TENANT
        "teams, " TENANT "jobs and " TENANT "jobs/ID here");
  return TRUE;
}
