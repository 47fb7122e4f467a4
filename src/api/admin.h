/**
 * SECTION: admin
 * @short_description: the administration API, and the operators' settings on this controller
 *
 * All paths are below one versioned prefix. What belongs to a tenant has the tenant in its path; so far there is one tenant.
 */
#pragma once
#include "autoscaler.h"
#include "dispatch.h"
#include "election.h"
#include "http-request.h"
#include "http-server.h"
#include "kv-client.h"
#include "metrics.h"
#include "node.h"
#include "ownership.h"
#include "peers.h"
#include "reconciliation.h"
#include "records.h"
#include "shard-leases.h"

/** HzbAdmin: the administration API; one for each controller. */
typedef struct _HzbAdmin HzbAdmin;

/** HzbAdminDependencies: the modules that operators look at and change. None is owned, all must outlive it. */
typedef struct
{
  HzbNode *node;                     /**< settings, clock, and the schema version that this process states */
  HzbKvClient *kv;                   /**< takes changes of the operators' settings */
  HzbElection *election;             /**< who leads */
  HzbOwnership *ownership;           /**< whether the leader has read its records */
  HzbPeers *peers;                   /**< the schema versions that other controllers state */
  HzbJobs *jobs;                     /**< shown */
  HzbMachines *machines;             /**< shown, and drained */
  HzbShardLeases *shard_leases;      /**< shown */
  HzbRecords *records;               /**< makes a drain durable */
  HzbReconciliation *reconciliation; /**< shown among the metrics */
  HzbMetrics *metrics;               /**< shown */
  HzbDispatch *dispatch;             /**< its settings are the operators' */
  HzbAutoscaler *autoscaler;         /**< its settings are the operators' */
  gboolean *lease_shards;            /**< an operators' setting: shards are leased to the other controllers */
} HzbAdminDependencies;

/** HzbAdminCallbacks: what the administration API asks of the controller above it. */
typedef struct
{
  /** Answers a request about reconciliations, by its path below the API's prefix. FALSE if the path is none of these. */
  gboolean (*reconciliation_request) (HzbHttpRequest *http_request, const char *path, gpointer user);
} HzbAdminCallbacks;

/**
 * hzb_admin_new:
 * @param dependencies (transfer none) copied; the modules in it are not owned
 * @param callbacks (transfer none) copied
 * @param user (nullable) passed to the callbacks
 *
 * @return (transfer full): to be freed with hzb_admin_free()
 */
HzbAdmin *hzb_admin_new (const HzbAdminDependencies *dependencies, const HzbAdminCallbacks *callbacks, gpointer user);

/** hzb_admin_free: frees the module. */
void hzb_admin_free (HzbAdmin *admin);

/** hzb_admin_set_http_servers: (transfer none): their counts are shown among the metrics. */
void hzb_admin_set_http_servers (HzbAdmin *admin, HzbHttpServer *api_server, HzbHttpServer *peer_server);

/** hzb_admin_apply_settings: the replica of the records shows the operators' settings: they apply from now on. */
void hzb_admin_apply_settings (HzbAdmin *admin, const HzbKvEntry *entry);

/**
 * hzb_admin_request:
 * @param admin the module
 * @param http_request (transfer full): answered now or later, unless the function returns FALSE
 *
 * @return FALSE if the path is not one of the administration API's
 */
gboolean hzb_admin_request (HzbAdmin *admin, HzbHttpRequest *http_request);
