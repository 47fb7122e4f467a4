/**
 * SECTION: admin-codec
 * @short_description: encodes the response bodies of the administration API
 *
 * The only file that knows the field names of these bodies, except for those of the settings
 * (operator-settings-codec.h) and of reconciliations (reconciliation-admin.h). Every function returns a JSON text.
 */
#pragma once
#include "jobs.h"
#include "machines.h"
#include "metrics.h"
#include "reconciliation.h"
#include "shard-leases.h"

/** HzbAdminController: the schema version that a controller states. */
typedef struct
{
  const char *node;     /**< (not owned): the controller's name */
  guint schema_version; /**< schema version that the controller last stated; 0: the controller is unreachable */
} HzbAdminController;

/** HzbAdminLeadership: the elected leader, as this controller knows it. */
typedef struct
{
  const char *node;         /**< (not owned): this controller's name */
  gboolean is_leader;       /**< this controller is the leader */
  const char *leader;       /**< (not owned) (nullable): the leader's name; NULL: no leader is known */
  guint64 term;             /**< the leader's term */
  double kv_unresponsive_s; /**< seconds since the key-value store last answered */
  guint schema_version; /**< the version that every controller reads; raised once all controllers state a newer one */
  GArray *controllers;  /**< (element-type HzbAdminController): all controllers, this controller first */
} HzbAdminLeadership;

/** HzbAdminMetrics: counters since the start of this process, and current values. */
typedef struct
{
  const HzbMetrics *metrics;         /**< (not owned): requests by kind */
  gboolean has_http_servers;         /**< FALSE (in tests): the next two members are not encoded */
  guint connections;                 /**< open connections of users, workers and operators */
  guint64 bodies_too_large;          /**< requests that were refused because their body was too large */
  HzbReconciliation *reconciliation; /**< (not owned): adds its own metrics */
} HzbAdminMetrics;

/** hzb_admin_leadership_encode: Returns: (transfer full): the response body */
char *hzb_admin_leadership_encode (const HzbAdminLeadership *leadership);

/** hzb_admin_metrics_encode: Returns: (transfer full): the response body */
char *hzb_admin_metrics_encode (const HzbAdminMetrics *metrics);

/** hzb_admin_machines_encode: Returns: (transfer full): the response body that lists the leader's machines */
char *hzb_admin_machines_encode (const HzbMachines *machines);

/** hzb_admin_shards_encode: Returns: (transfer full): the response body that lists the shards and their leaseholders */
char *hzb_admin_shards_encode (HzbShardLeases *shard_leases);

/**
 * hzb_admin_teams_encode: Returns: (transfer full): the response body that lists the teams with their quotas and with
 * the CPUs and GPUs that each team uses in the leader's shard
 */
char *hzb_admin_teams_encode (const HzbSettings *settings, const HzbShard *shard);

/** hzb_admin_job_encode: Returns: (transfer full): the response body with the status of one job */
char *hzb_admin_job_encode (const HzbJob *job);

/**
 * hzb_admin_jobs_encode: Returns: (transfer full): the response body that lists the 100 oldest active jobs and gives
 * the number of all active jobs
 */
char *hzb_admin_jobs_encode (const HzbJobs *jobs);

/** hzb_admin_drain_encode: Returns: (transfer full): the response body that confirms the drain of a machine */
char *hzb_admin_drain_encode (const HzbMachine *machine);
