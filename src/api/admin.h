/**
 * SECTION: admin
 * @short_description: serves the administration API, and applies the operators' settings on this controller
 *
 * All paths begin with one versioned prefix. The path of a resource that belongs to a tenant names the tenant; there is
 * one tenant, main.
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

/**
 * HzbAdminDependencies: the modules that operators inspect and change. None is owned, all must outlive the #HzbAdmin.
 */
typedef struct
{
  HzbNode *node;                     /**< settings, clock, and the schema version that this process states */
  HzbKvClient *kv;                   /**< stores changes of the operators' settings */
  HzbElection *election;             /**< the current leader and term */
  HzbOwnership *ownership;           /**< whether the leader has read its records */
  HzbPeers *peers;                   /**< the schema versions that the other controllers state */
  HzbJobs *jobs;                     /**< the jobs shown to operators */
  HzbMachines *machines;             /**< the machines shown to operators, who may drain them */
  HzbShardLeases *shard_leases;      /**< the shards shown to operators */
  HzbRecords *records;               /**< makes the drain of a machine durable */
  HzbReconciliation *reconciliation; /**< adds its metrics to those of the controller */
  HzbMetrics *metrics;               /**< the metrics shown to operators */
  HzbDispatch *dispatch;             /**< its parameters are set by the operators' settings */
  HzbAutoscaler *autoscaler;         /**< its parameters are set by the operators' settings */
  gboolean *lease_shards; /**< set by the operators' settings; TRUE: shards are leased to other controllers */
} HzbAdminDependencies;

/** HzbAdminCallbacks: functions of the controller that the administration API calls. All must be set. */
typedef struct
{
  /**
   * Handles a request about reconciliations; path is the part after the API's prefix. Returns FALSE, without a
   * response, if the path is not about reconciliations.
   */
  gboolean (*reconciliation_request) (HzbHttpRequest *http_request, const char *path, gpointer user);
} HzbAdminCallbacks;

/**
 * hzb_admin_new:
 * @param dependencies (transfer none) copied; the modules in it are not owned
 * @param callbacks (transfer none) copied
 * @param user (nullable) (not owned) passed to the callbacks
 *
 * @return (transfer full): free with hzb_admin_free()
 */
HzbAdmin *hzb_admin_new (const HzbAdminDependencies *dependencies, const HzbAdminCallbacks *callbacks, gpointer user);

/** hzb_admin_free: frees the module. */
void hzb_admin_free (HzbAdmin *admin);

/** hzb_admin_set_http_servers: (transfer none): sets the servers whose counters the metrics include. */
void hzb_admin_set_http_servers (HzbAdmin *admin, HzbHttpServer *api_server, HzbHttpServer *peer_server);

/**
 * hzb_admin_apply_settings: applies the operators' settings that the replica of the records has delivered, unless this
 * version or a later one is in use already. An entry without a value restores the defaults.
 */
void hzb_admin_apply_settings (HzbAdmin *admin, const HzbKvEntry *entry);

/**
 * hzb_admin_request:
 * @param admin the module
 * @param http_request (transfer full): answered now or later, unless the function returns FALSE
 *
 * @return FALSE if the request is not for the administration API; the request is left to the caller then
 */
gboolean hzb_admin_request (HzbAdmin *admin, HzbHttpRequest *http_request);
