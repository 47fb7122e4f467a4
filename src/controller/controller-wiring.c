/* Creates the modules of a controller. Each gets the modules that it calls, and callbacks to modules that are created
 * after it. */
#include "controller-wiring.h"

#include "controller-private.h"
#include "reconciliation-admin.h"
#include "record-keys.h"

/* The share of the key-value store's request rate that the watches of all nodes together may use. Without this limit
 * the watches could use up the rate: each change ends the watch of every node, and opening the next one counts as a
 * request. */
#define WATCH_REQUEST_FRACTION 0.25

static double
watch_interval_s (const HzbSettings *settings)
{
  return settings->cluster_size / (WATCH_REQUEST_FRACTION * settings->kv_rps);
}

HzbNode *
hzb_controller_new_node (HzbController *controller)
{
  HzbNode *node = g_new0 (HzbNode, 1);
  node->settings = controller->settings;
  node->clock = controller->clock;
  node->transport = controller->transport;
  node->schema_version = HZB_SCHEMA_VERSION;
  return node;
}

HzbKvReplica *
hzb_controller_new_kv_replica (HzbController *controller)
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

HzbPeers *
hzb_controller_new_peers (HzbController *controller)
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
  return hzb_shard_leases_cancellation_acknowledged (controller->shard_leases, job);
}

static void
poll_leader_soon (gpointer user)
{
  HzbController *controller = user;
  hzb_leaseholder_poll_soon (controller->leaseholder);
}

HzbCancellations *
hzb_controller_new_cancellations (HzbController *controller)
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

HzbReconciliation *
hzb_controller_new_reconciliation (HzbController *controller)
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

HzbCompletedJobArchive *
hzb_controller_new_completed_job_archive (HzbController *controller)
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

/* Called when a flush of the records module has made the result of a task durable. The shard leases are created after
 * the records module, but before its first flush. */
static void
announce_durable_task (HzbTask *task, gpointer user)
{
  const HzbController *controller = user;
  hzb_shard_leases_announce_durable (controller->shard_leases, task);
}

HzbRecords *
hzb_controller_new_records (HzbController *controller)
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

HzbShardLeases *
hzb_controller_new_shard_leases (HzbController *controller)
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
    .leasing_enabled = &controller->leasing_enabled,
  };
  return hzb_shard_leases_new (&dependencies);
}

static void
begin_lease (guint64 fencing_token, gpointer controller)
{
  hzb_controller_begin_shard_lease (controller, fencing_token);
}

static void
end_lease (const char *why, gpointer controller)
{
  hzb_controller_end_shard_lease (controller, why);
}

HzbLeaseholder *
hzb_controller_new_leaseholder (HzbController *controller)
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

HzbProvisioning *
hzb_controller_new_provisioning (HzbController *controller)
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

HzbWorkerApi *
hzb_controller_new_worker_api (HzbController *controller)
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
  return hzb_controller_is_ready (user);
}

static void
user_api_apply_record (const HzbKvEntry *entry, gpointer user)
{
  hzb_controller_apply_record (user, entry);
}

HzbUserApi *
hzb_controller_new_user_api (HzbController *controller)
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

HzbAdmin *
hzb_controller_new_admin (HzbController *controller)
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
    .lease_shards = &controller->leasing_enabled,
  };
  return hzb_admin_new (&dependencies, &callbacks, controller);
}
