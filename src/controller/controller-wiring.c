/* Builds the modules of a controller and gives each what it needs. */
#include "controller-private.h"
#include "reconciliation-admin.h"
#include "record-keys.h"

/* Guards against watches that use up the requests of the key-value store: each change ends the watch of every node, and
 * opening the next one counts as a request. */
#define WATCH_PART 0.25 /* of the requests that the key-value store takes, for the watches of all nodes */

static double
watch_interval_s (const HzbSettings *settings)
{
  return settings->size / (WATCH_PART * settings->kv_rps);
}

/* ---- the modules, from the ground up: each is given what it needs by the function of its name ---- */

static HzbNode *
new_node (HzbController *controller)
{
  HzbNode *node = g_new0 (HzbNode, 1);
  node->settings = controller->settings;
  node->clock = controller->clock;
  node->transport = controller->transport;
  node->schema_version = HZB_SCHEMA_VERSION;
  return node;
}

static HzbKvReplica *
new_kv_replica (HzbController *controller)
{
  return hzb_kv_replica_new (controller->kv, controller->clock, HZB_KEY_REPLICATED,
                             watch_interval_s (controller->settings), &hzb_controller_replica_callbacks, controller);
}

static void
fill_heartbeat (HzbPeerHeartbeat *heartbeat, gpointer user)
{
  HzbController *controller = user;
  hzb_cancellations_fill_heartbeat (controller->cancellations, heartbeat);
}

static void
fill_heartbeat_reply (const HzbPeerHeartbeat *request, HzbPeerHeartbeat *reply, gpointer user)
{
  HzbController *controller = user;
  hzb_cancellations_fill_reply (controller->cancellations, request, reply);
}

static gboolean
apply_heartbeat_reply (const HzbPeerHeartbeat *reply, gpointer user)
{
  HzbController *controller = user;
  return hzb_cancellations_apply_reply (controller->cancellations, reply);
}

static void
handle_shard_poll (HzbHttpRequest *http_request, const cJSON *message, gpointer user)
{
  HzbController *controller = user;
  hzb_shard_leases_handle_poll (controller->shard_leases, http_request, message);
}

static HzbPeers *
new_peers (HzbController *controller)
{
  static const HzbPeersCallbacks callbacks = { .fill_heartbeat = fill_heartbeat,
                                               .fill_reply = fill_heartbeat_reply,
                                               .apply_reply = apply_heartbeat_reply,
                                               .handle_shard_poll = handle_shard_poll };
  const HzbPeersDependencies dependencies = { .node = controller->node,
                                              .kv = controller->kv,
                                              .kv_replica = controller->kv_replica,
                                              .election = controller->election,
                                              .ownership = controller->ownership,
                                              .jobs = controller->jobs };
  return hzb_peers_new (&dependencies, &callbacks, controller);
}

static void
announce_cancellation (HzbJob *job, gpointer user)
{
  HzbController *controller = user;
  hzb_shard_leases_announce_cancellation (controller->shard_leases, job);
}

static gboolean
all_leaseholders_acknowledged (const HzbJob *job, gpointer user)
{
  HzbController *controller = user;
  return hzb_shard_leases_all_acknowledged (controller->shard_leases, job);
}

static void
poll_leader_soon (gpointer user)
{
  HzbController *controller = user;
  hzb_leaseholder_poll_soon (controller->leaseholder);
}

static HzbCancellations *
new_cancellations (HzbController *controller)
{
  static const HzbCancellationsCallbacks callbacks = { .announce = announce_cancellation,
                                                       .all_leaseholders_acknowledged = all_leaseholders_acknowledged,
                                                       .poll_leader_soon = poll_leader_soon };
  const HzbCancellationsDependencies dependencies = { .node = controller->node,
                                                      .kv = controller->kv,
                                                      .kv_replica = controller->kv_replica,
                                                      .election = controller->election,
                                                      .ownership = controller->ownership,
                                                      .jobs = controller->jobs,
                                                      .peers = controller->peers };
  return hzb_cancellations_new (&dependencies, &callbacks, controller);
}

static HzbReconciliation *
new_reconciliation (HzbController *controller)
{
  HzbReconciliationDependencies dependencies = {
    .node = controller->node,
    .kv = controller->kv,
    .kv_replica = controller->kv_replica,
    .election = controller->election,
    .ownership = controller->ownership,
    .peers = controller->peers,
    .jobs = controller->jobs,
    .machines = controller->machines,
    .dispatch = controller->dispatch,
  };
  return hzb_reconciliation_new (&dependencies);
}

static HzbCompletedJobArchive *
new_completed_job_archive (HzbController *controller)
{
  const HzbCompletedJobArchiveDependencies dependencies = {
    .node = controller->node,
    .kv = controller->kv,
    .jobs = controller->jobs,
    .election = controller->election,
    .ownership = controller->ownership,
  };
  return hzb_completed_job_archive_new (&dependencies);
}

/* The shard leases are built after the records, and exist by the time of the first flush. */
static void
announce_durable_task (HzbTask *task, gpointer user)
{
  const HzbController *controller = user;
  hzb_shard_leases_announce_durable (controller->shard_leases, task);
}

static HzbRecords *
new_records (HzbController *controller)
{
  const HzbRecordsDependencies dependencies = {
    .node = controller->node,
    .kv = controller->kv,
    .jobs = controller->jobs,
    .machines = controller->machines,
    .dispatch = controller->dispatch,
    .election = controller->election,
    .ownership = controller->ownership,
    .cancellations = controller->cancellations,
    .reconciliation = controller->reconciliation,
    .job_archive = controller->completed_job_archive,
  };
  const HzbRecordsCallbacks callbacks = { .task_durable = announce_durable_task };
  return hzb_records_new (&dependencies, &callbacks, controller);
}

static HzbShardLeases *
new_shard_leases (HzbController *controller)
{
  HzbShardLeasesDependencies dependencies = {
    .node = controller->node,
    .election = controller->election,
    .ownership = controller->ownership,
    .cancellations = controller->cancellations,
    .jobs = controller->jobs,
    .machines = controller->machines,
    .dispatch = controller->dispatch,
    .records = controller->records,
    .leasing_enabled = &controller->lease_shards,
  };
  return hzb_shard_leases_new (&dependencies);
}

static void
begin_lease (guint64 fencing_token, gpointer controller)
{
  hzb_controller_begin_leased (controller, fencing_token);
}

static void
end_lease (const char *why, gpointer controller)
{
  hzb_controller_end_leased (controller, why);
}

static HzbLeaseholder *
new_leaseholder (HzbController *controller)
{
  HzbLeaseholderDependencies dependencies = {
    .node = controller->node,
    .election = controller->election,
    .ownership = controller->ownership,
    .kv_replica = controller->kv_replica,
    .peers = controller->peers,
    .cancellations = controller->cancellations,
    .jobs = controller->jobs,
    .machines = controller->machines,
    .dispatch = controller->dispatch,
  };
  HzbLeaseholderCallbacks callbacks = { .begin_lease = begin_lease, .end_lease = end_lease, .user = controller };
  return hzb_leaseholder_new (&dependencies, &callbacks);
}

static HzbProvisioning *
new_provisioning (HzbController *controller)
{
  HzbProvisioningDependencies dependencies = {
    .node = controller->node,
    .cloud = controller->cloud,
    .election = controller->election,
    .ownership = controller->ownership,
    .jobs = controller->jobs,
    .machines = controller->machines,
    .autoscaler = controller->autoscaler,
    .records = controller->records,
    .reconciliation = controller->reconciliation,
  };
  return hzb_provisioning_new (&dependencies);
}

static HzbWorkerApi *
new_worker_api (HzbController *controller)
{
  const HzbWorkerApiDependencies dependencies = {
    .node = controller->node,
    .election = controller->election,
    .ownership = controller->ownership,
    .cancellations = controller->cancellations,
    .jobs = controller->jobs,
    .machines = controller->machines,
    .dispatch = controller->dispatch,
    .records = controller->records,
    .reconciliation = controller->reconciliation,
    .shard_leases = controller->shard_leases,
    .leaseholder = controller->leaseholder,
    .provisioning = controller->provisioning,
  };
  return hzb_worker_api_new (&dependencies);
}

static gboolean
user_api_is_ready (gpointer user)
{
  return hzb_controller_ready (user);
}

static void
user_api_apply_record (const HzbKvEntry *entry, gpointer user)
{
  hzb_controller_apply_record (user, entry);
}

static HzbUserApi *
new_user_api (HzbController *controller)
{
  static const HzbUserApiCallbacks callbacks = { user_api_is_ready, user_api_apply_record };
  const HzbUserApiDependencies dependencies = {
    .node = controller->node,
    .kv = controller->kv,
    .kv_replica = controller->kv_replica,
    .election = controller->election,
    .peers = controller->peers,
    .cancellations = controller->cancellations,
    .jobs = controller->jobs,
    .machines = controller->machines,
  };
  return hzb_user_api_new (&dependencies, &callbacks, controller);
}

static gboolean
admin_reconciliation_request (HzbHttpRequest *http_request, const char *path, gpointer user)
{
  HzbController *controller = user;
  return hzb_reconciliation_admin_request (controller->reconciliation, http_request, path);
}

static HzbAdmin *
new_admin (HzbController *controller)
{
  static const HzbAdminCallbacks callbacks = { admin_reconciliation_request };
  const HzbAdminDependencies dependencies = {
    .node = controller->node,
    .kv = controller->kv,
    .election = controller->election,
    .ownership = controller->ownership,
    .peers = controller->peers,
    .jobs = controller->jobs,
    .machines = controller->machines,
    .shard_leases = controller->shard_leases,
    .records = controller->records,
    .reconciliation = controller->reconciliation,
    .metrics = controller->metrics,
    .dispatch = controller->dispatch,
    .autoscaler = controller->autoscaler,
    .lease_shards = &controller->lease_shards,
  };
  return hzb_admin_new (&dependencies, &callbacks, controller);
}

/* Names this process: another one of the same node has another. */
static char *
new_incarnation (GRand *rand)
{
  guint32 low = g_rand_int (rand);
  guint32 high = g_rand_int (rand);
  return g_strdup_printf ("%08x%08x", high, low);
}

HzbController *
hzb_controller_new (HzbSettings *settings, HzbClock *clock, HzbTransport *transport, guint32 seed)
{
  HzbController *controller = g_new0 (HzbController, 1);

  controller->settings = settings;
  controller->clock = clock;
  controller->transport = transport;
  controller->rand = g_rand_new_with_seed (seed);
  controller->lease_shards = TRUE;
  controller->metrics = hzb_metrics_new ();
  controller->node = new_node (controller);

  controller->kv = hzb_kv_client_new (transport, clock, settings);
  controller->kv_replica = new_kv_replica (controller);
  controller->cloud = hzb_cloud_client_new (transport, clock, settings);

  controller->jobs = hzb_jobs_new (clock, settings);
  controller->machines = hzb_machines_new (clock, settings);
  controller->dispatch = hzb_dispatch_new (controller->jobs, controller->machines, settings, controller->rand);
  controller->autoscaler = hzb_autoscaler_new (controller->jobs, controller->machines, settings);

  controller->ownership = hzb_ownership_new (clock);
  controller->election = hzb_election_new (controller->kv, clock, settings, controller->rand);
  controller->node->incarnation = new_incarnation (controller->rand);
  controller->peers = new_peers (controller);
  controller->cancellations = new_cancellations (controller);

  controller->reconciliation = new_reconciliation (controller);
  controller->dispatch->pacing = hzb_reconciliation_pacing (controller->reconciliation);
  controller->completed_job_archive = new_completed_job_archive (controller);
  controller->records = new_records (controller);
  controller->shard_leases = new_shard_leases (controller);
  controller->leaseholder = new_leaseholder (controller);
  controller->provisioning = new_provisioning (controller);
  controller->worker_api = new_worker_api (controller);
  controller->api = new_user_api (controller);
  controller->admin = new_admin (controller);
  return controller;
}

void
hzb_controller_free (HzbController *controller)
{
  hzb_admin_free (controller->admin);
  hzb_user_api_free (controller->api);
  hzb_worker_api_free (controller->worker_api);
  hzb_cancellations_free (controller->cancellations);
  hzb_shard_leases_free (controller->shard_leases);
  hzb_leaseholder_free (controller->leaseholder);
  hzb_peers_free (controller->peers);
  hzb_records_free (controller->records);
  hzb_completed_job_archive_free (controller->completed_job_archive);
  hzb_reconciliation_free (controller->reconciliation);
  hzb_metrics_free (controller->metrics);
  g_free (controller->node->incarnation);
  g_free (controller->node);
  hzb_jobs_end_ownership (controller->jobs);
  hzb_machines_clear (controller->machines);
  hzb_autoscaler_free (controller->autoscaler);
  hzb_dispatch_free (controller->dispatch);
  hzb_jobs_free (controller->jobs);
  hzb_machines_free (controller->machines);
  hzb_shard_free (controller->shard);
  hzb_election_free (controller->election);
  hzb_cloud_client_free (controller->cloud);
  hzb_kv_client_free (controller->kv);
  hzb_provisioning_free (controller->provisioning);
  hzb_kv_replica_free (controller->kv_replica);
  hzb_ownership_free (controller->ownership);
  g_free (controller->owner_load_cursor);
  g_rand_free (controller->rand);
  g_free (controller);
}

void
hzb_controller_set_http_servers (HzbController *controller, HzbHttpServer *api_server, HzbHttpServer *peer_server)
{
  hzb_admin_set_http_servers (controller->admin, api_server, peer_server);
}
