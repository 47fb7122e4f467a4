#include "admin-codec.h"

#include "json.h"
#include "reconciliation-admin.h"

#define MAX_LISTED_JOBS 100u
#define MAX_UNRESPONSIVE_S 1e6 /* shown for a key-value store that has never answered */

/* ---- responses of every controller ---- */

static void
add_schema_versions (cJSON *root, const GArray *controllers)
{
  cJSON *versions = cJSON_AddObjectToObject (root, "formats"); /* schema version of each controller */

  for (guint i = 0; i < controllers->len; i++)
    {
      const HzbAdminController *controller = &g_array_index (controllers, HzbAdminController, i);
      if (controller->schema_version)
        cJSON_AddNumberToObject (versions, controller->node, controller->schema_version);
      else
        cJSON_AddNullToObject (versions, controller->node);
    }
}

char *
hzb_admin_leadership_encode (const HzbAdminLeadership *leadership)
{
  cJSON *root = cJSON_CreateObject ();

  cJSON_AddStringToObject (root, "node", leadership->node);
  cJSON_AddBoolToObject (root, "leads", leadership->is_leader);
  if (leadership->leader)
    cJSON_AddStringToObject (root, "leader", leadership->leader);
  else
    cJSON_AddNullToObject (root, "leader");
  hzb_json_add_u64 (root, "term", leadership->term);
  /* seconds since the key-value store last answered */
  cJSON_AddNumberToObject (root, "stateServiceSilentS", MIN (leadership->kv_unresponsive_s, MAX_UNRESPONSIVE_S));
  cJSON_AddNumberToObject (root, "format", leadership->schema_version); /* every controller reads this schema version */
  add_schema_versions (root, leadership->controllers);
  return hzb_json_print (root);
}

char *
hzb_admin_metrics_encode (const HzbAdminMetrics *metrics)
{
  cJSON *root = hzb_metrics_encode (metrics->metrics);

  if (metrics->has_http_servers)
    {
      cJSON_AddNumberToObject (root, "connections", metrics->connections);
      hzb_json_add_u64 (root, "bodiesTooLarge", metrics->bodies_too_large);
    }
  hzb_reconciliation_add_metrics (metrics->reconciliation, root);
  return hzb_json_print (root);
}

/* ---- responses of the leader only ---- */

static cJSON *
encode_machine (const HzbMachine *machine)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "name", machine->name);
  cJSON_AddStringToObject (item, "type", machine->type_name);
  cJSON_AddStringToObject (item, "zone", machine->zone);
  cJSON_AddBoolToObject (item, "spot", machine->spot);
  cJSON_AddStringToObject (item, "state", hzb_machine_state_name (machine->state));
  cJSON_AddNumberToObject (item, "tasks", machine->tasks->len);
  cJSON_AddNumberToObject (item, "listed", hzb_machine_count_queued_tasks (machine)); /* in its run queues */
  cJSON_AddNumberToObject (item, "cpusUsed", machine->cpus);
  cJSON_AddBoolToObject (item, "toBeReturned", machine->scale_in_requested);
  return item;
}

char *
hzb_admin_machines_encode (const HzbMachines *machines)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "machines");
  for (guint i = 0; i < machines->all->len; i++)
    cJSON_AddItemToArray (list, encode_machine (machines->all->pdata[i]));
  return hzb_json_print (root);
}

char *
hzb_admin_shards_encode (HzbShardLeases *shard_leases)
{
  return hzb_json_print (hzb_shard_leases_encode_status (shard_leases));
}

/* Adds the limit of a team, or null if the team has no limit. */
static void
add_limit (cJSON *item, const char *name, double limit)
{
  if (limit < HZB_NO_LIMIT)
    cJSON_AddNumberToObject (item, name, limit);
  else
    cJSON_AddNullToObject (item, name);
}

static cJSON *
encode_team (const HzbTeam *team, double cpus_used, double gpus_used)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "name", team->name);
  cJSON_AddNumberToObject (item, "cpusGuaranteed", team->cpus);
  add_limit (item, "cpusMax", team->cpus_max);
  cJSON_AddNumberToObject (item, "gpusGuaranteed", team->gpus);
  add_limit (item, "gpusMax", team->gpus_max);
  cJSON_AddNumberToObject (item, "cpusUsed", cpus_used);
  cJSON_AddNumberToObject (item, "gpusUsed", gpus_used);
  return item;
}

char *
hzb_admin_teams_encode (const HzbSettings *settings, const HzbShard *shard)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "teams");
  for (guint i = 0; i < settings->teams->len; i++)
    cJSON_AddItemToArray (list, encode_team (settings->teams->pdata[i], shard->cpus[i], shard->gpus[i]));
  return hzb_json_print (root);
}

static cJSON *
encode_job (const HzbJob *job)
{
  cJSON *item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "id", job->uid);
  cJSON_AddStringToObject (item, "status", hzb_job_status (job));
  cJSON_AddNumberToObject (item, "tasks", job->n_tasks);
  /* A controller that owns none of the job's tasks lacks their counts, and may lack the job's spec. */
  if (job->tasks)
    {
      cJSON_AddStringToObject (item, "class", job->spec->job_class);
      cJSON_AddStringToObject (item, "team", job->spec->team);
      cJSON_AddNumberToObject (item, "waiting", job->pending + job->queued);
      cJSON_AddNumberToObject (item, "placed", job->placed);
      cJSON_AddNumberToObject (item, "unknown", job->unconfirmed); /* may run on a machine that is not verified yet */
      cJSON_AddNumberToObject (item, "finished", job->finished);   /* result known, not yet durable */
      cJSON_AddNumberToObject (item, "done", job->done);           /* result durable */
      cJSON_AddNumberToObject (item, "servedAs", job->scheduling_class); /* an HzbSchedulingClass */
      cJSON_AddNumberToObject (item, "failuresInARow", job->failures);
    }
  return item;
}

char *
hzb_admin_job_encode (const HzbJob *job)
{
  return hzb_json_print (encode_job (job));
}

char *
hzb_admin_jobs_encode (const HzbJobs *jobs)
{
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "jobs");
  guint listed = MIN (jobs->active->len, MAX_LISTED_JOBS);
  for (guint i = 0; i < listed; i++)
    cJSON_AddItemToArray (list, encode_job (jobs->active->pdata[i]));
  cJSON_AddNumberToObject (root, "unfinished", jobs->active->len);
  return hzb_json_print (root);
}

char *
hzb_admin_drain_encode (const HzbMachine *machine)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddStringToObject (root, "name", machine->name);
  cJSON_AddBoolToObject (root, "toBeReturned", machine->scale_in_requested);
  return hzb_json_print (root);
}
