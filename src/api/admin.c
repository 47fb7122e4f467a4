/* The administration API: the views that operators may read, and the drain of a machine. admin-codec.c encodes the
 * responses; admin-settings.c changes the operators' settings. */
#include "admin-private.h"

#include "admin-codec.h"
#include "path-pattern.h"
#include "worker-protocol.h"

#include <string.h>

#define PREFIX "/admin/v1/"
#define TENANT "tenants/main/"
#define JOB TENANT "jobs/" HZB_PATH_PARAMETER
#define MACHINE_DRAIN "machines/" HZB_PATH_PARAMETER "/drain"

HzbAdmin *
hzb_admin_new (const HzbAdminDependencies *dependencies, const HzbAdminCallbacks *callbacks, gpointer user)
{
  HzbAdmin *admin = g_new0 (HzbAdmin, 1);
  admin->dependencies = *dependencies;
  admin->callbacks = *callbacks;
  admin->callbacks_user = user;
  return admin;
}

void
hzb_admin_free (HzbAdmin *admin)
{
  g_free (admin);
}

void
hzb_admin_set_http_servers (HzbAdmin *admin, HzbHttpServer *api_server, HzbHttpServer *peer_server)
{
  admin->api_server = api_server;
  admin->peer_server = peer_server;
}

/* ---- responses ---- */

void
hzb_admin_reply (HzbHttpRequest *http_request, char *body)
{
  hzb_http_request_respond (http_request, 200, body, 0);
}

void
hzb_admin_refuse (HzbHttpRequest *http_request, guint status, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  hzb_http_request_respond (http_request, status, hzb_error_response_encode (text), status == 503 ? 1 : 0);
}

static void
redirect_to_leader (HzbAdmin *admin, HzbHttpRequest *http_request)
{
  hzb_http_request_respond (http_request, 421,
                            hzb_worker_redirect_encode (hzb_election_leader (admin->dependencies.election)), 0);
}

/* Only the leader has all machines and tasks, and only after it has read its records. */
static gboolean
is_loaded_leader (HzbAdmin *admin)
{
  return hzb_ownership_is_loaded_leader (admin->dependencies.ownership)
         && hzb_election_is_leader (admin->dependencies.election);
}

/* ---- views ---- */

static GArray *
collect_schema_versions (HzbAdmin *admin)
{
  const HzbSettings *settings = admin->dependencies.node->settings;
  GArray *controllers = g_array_new (FALSE, FALSE, sizeof (HzbAdminController));
  HzbAdminController controller = { settings->node, admin->dependencies.node->schema_version };

  g_array_append_val (controllers, controller);
  for (guint i = 0; i < settings->peers->len; i++)
    {
      controller.node = ((HzbPeer *) settings->peers->pdata[i])->node;
      controller.schema_version = hzb_peers_is_unreachable (admin->dependencies.peers, controller.node)
                                      ? 0
                                      : hzb_peers_schema_version (admin->dependencies.peers, controller.node);
      g_array_append_val (controllers, controller);
    }
  return controllers;
}

static char *
encode_leadership (HzbAdmin *admin)
{
  g_autoptr (GArray) controllers = collect_schema_versions (admin);
  const HzbAdminLeadership leadership = {
    .node = admin->dependencies.node->settings->node,
    .is_leader = hzb_election_is_leader (admin->dependencies.election),
    .leader = hzb_election_leader (admin->dependencies.election),
    .term = hzb_election_leader_term (admin->dependencies.election),
    .kv_unresponsive_s = hzb_kv_client_unresponsive_s (admin->dependencies.kv),
    .schema_version = hzb_election_schema_version (admin->dependencies.election),
    .controllers = controllers,
  };
  return hzb_admin_leadership_encode (&leadership);
}

static char *
encode_metrics (HzbAdmin *admin)
{
  HzbAdminMetrics metrics = { .metrics = admin->dependencies.metrics,
                              .reconciliation = admin->dependencies.reconciliation };

  if (admin->api_server && admin->peer_server)
    {
      metrics.has_http_servers = TRUE;
      metrics.connections = hzb_http_server_count_connections (admin->api_server);
      metrics.bodies_too_large =
          hzb_http_server_count_oversized (admin->api_server) + hzb_http_server_count_oversized (admin->peer_server);
    }
  return hzb_admin_metrics_encode (&metrics);
}

static char *
encode_machines (HzbAdmin *admin)
{
  return hzb_admin_machines_encode (admin->dependencies.machines);
}

static char *
encode_shards (HzbAdmin *admin)
{
  return hzb_admin_shards_encode (admin->dependencies.shard_leases);
}

static char *
encode_teams (HzbAdmin *admin)
{
  return hzb_admin_teams_encode (admin->dependencies.node->settings, admin->dependencies.jobs->shard);
}

static char *
encode_jobs (HzbAdmin *admin)
{
  return hzb_admin_jobs_encode (admin->dependencies.jobs);
}

typedef struct
{
  const char *path;
  char *(*encode) (HzbAdmin *admin);
  gboolean leader_only;
  void (*change) (HzbAdmin *admin, HzbHttpRequest *http_request); /* (nullable): handles PUT; NULL: PUT is refused */
} View;

static const View views[] = {
  { "leadership", encode_leadership, FALSE, NULL },
  { "metrics", encode_metrics, FALSE, NULL },
  { "settings", hzb_admin_settings_encode, FALSE, hzb_admin_settings_change },
  { "machines", encode_machines, TRUE, NULL },
  { "blocks", encode_shards, TRUE, NULL },
  { TENANT "teams", encode_teams, TRUE, NULL },
  { TENANT "jobs", encode_jobs, TRUE, NULL },
};

static void
handle_view (HzbAdmin *admin, HzbHttpRequest *http_request, const View *view)
{
  if (view->change && g_str_equal (http_request->method, "PUT"))
    view->change (admin, http_request);
  else if (!g_str_equal (http_request->method, "GET"))
    hzb_admin_refuse (http_request, 405, view->change ? "GET or PUT here" : "GET here");
  else if (view->leader_only && !is_loaded_leader (admin))
    redirect_to_leader (admin, http_request);
  else
    hzb_admin_reply (http_request, view->encode (admin));
}

/* Returns: (nullable): NULL if the path is not that of a view */
static const View *
find_view (const char *path)
{
  for (guint i = 0; i < G_N_ELEMENTS (views); i++)
    if (g_str_equal (path, views[i].path))
      return &views[i];
  return NULL;
}

/* ---- single jobs and machines ---- */

static void
handle_job (HzbAdmin *admin, HzbHttpRequest *http_request, const char *uid)
{
  const HzbJob *job = hzb_jobs_find (admin->dependencies.jobs, uid);

  if (!g_str_equal (http_request->method, "GET"))
    hzb_admin_refuse (http_request, 405, "GET here");
  else if (!job)
    hzb_admin_refuse (http_request, 404, "this node knows no such job");
  else
    hzb_admin_reply (http_request, hzb_admin_job_encode (job));
}

/* Drains the machine: it gets no new tasks and is returned to the cloud once it has no tasks. The drain is recorded, so
 * that it continues after a failover. */
static void
drain_machine (HzbAdmin *admin, HzbMachine *machine)
{
  machine->scale_in_requested = machine->drain = TRUE;
  hzb_machine_note_record_change (machine);
  hzb_records_flush_if_due (admin->dependencies.records);
  g_message (
      "machine %s is drained at an operator's request: it gets no new tasks and is returned to the cloud once it has "
      "no tasks",
      machine->name);
}

static void
handle_drain (HzbAdmin *admin, HzbHttpRequest *http_request, const char *name)
{
  HzbMachine *machine;

  if (!g_str_equal (http_request->method, "POST"))
    hzb_admin_refuse (http_request, 405, "POST here");
  else if (!is_loaded_leader (admin))
    redirect_to_leader (admin, http_request);
  else if (!(machine = hzb_machines_find (admin->dependencies.machines, name)))
    hzb_admin_refuse (http_request, 404, "%s: no such machine", name);
  else
    {
      drain_machine (admin, machine);
      hzb_admin_reply (http_request, hzb_admin_drain_encode (machine));
    }
}

/* Handles a request whose path is neither that of a view nor about reconciliations. */
static void
handle_other_path (HzbAdmin *admin, HzbHttpRequest *http_request, const char *path)
{
  g_auto (GStrv) job = hzb_path_parse (path, JOB);
  g_auto (GStrv) drained = hzb_path_parse (path, MACHINE_DRAIN);

  if (job)
    handle_job (admin, http_request, job[0]);
  else if (drained)
    handle_drain (admin, http_request, drained[0]);
  else
    hzb_admin_refuse (
        http_request, 404,
        "there are leadership, settings, metrics, machines, machines/NAME/drain, blocks, reconciliation, reconciliations, " TENANT
        "teams, " TENANT "jobs and " TENANT "jobs/ID here");
}

gboolean
hzb_admin_request (HzbAdmin *admin, HzbHttpRequest *http_request)
{
  const char *path;
  const View *view;

  if (!g_str_has_prefix (http_request->path, PREFIX))
    return FALSE;
  path = http_request->path + strlen (PREFIX);
  if ((view = find_view (path)))
    handle_view (admin, http_request, view);
  else if (!admin->callbacks.reconciliation_request (http_request, path, admin->callbacks_user))
    handle_other_path (admin, http_request, path);
  return TRUE;
}
