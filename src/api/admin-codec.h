/**
 * SECTION: admin-codec
 * @short_description: the answers of the administration API
 *
 * The one place that knows the names that operators see, but for those of the settings (operator-settings-codec.h) and of
 * reconciliations (reconciliation-admin.h). Every function returns the body of an answer.
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
  const char *node;     /**< (not owned) */
  guint schema_version; /**< 0: the controller is unreachable */
} HzbAdminController;

/** HzbAdminLeadership: who leads, as this controller sees it. */
typedef struct
{
  const char *node;         /**< (not owned): this controller */
  gboolean leads;           /**< this controller is the leader */
  const char *leader;       /**< (not owned) (nullable): NULL: none is known */
  guint64 term;             /**< the leader's */
  double kv_unresponsive_s; /**< seconds since the key-value store last answered */
  guint schema_version;     /**< that every controller reads; raised once all of them state it */
  GArray *controllers;      /**< (element-type HzbAdminController): this controller first */
} HzbAdminLeadership;

/** HzbAdminMetrics: counters since the start of this process, and what is true now. */
typedef struct
{
  const HzbMetrics *metrics;         /**< requests by kind */
  gboolean has_http_servers;         /**< FALSE in tests: the next two are not shown */
  guint connections;                 /**< open ones of users, workers and operators */
  guint64 bodies_too_large;          /**< requests that were refused for it */
  HzbReconciliation *reconciliation; /**< adds what it shows of itself */
} HzbAdminMetrics;

/** hzb_admin_leadership_encode: Returns: (transfer full): the answer */
char *hzb_admin_leadership_encode (const HzbAdminLeadership *leadership);

/** hzb_admin_metrics_encode: Returns: (transfer full): the answer */
char *hzb_admin_metrics_encode (const HzbAdminMetrics *metrics);

/** hzb_admin_machines_encode: Returns: (transfer full): the answer that lists the leader's machines */
char *hzb_admin_machines_encode (const HzbMachines *machines);

/** hzb_admin_shards_encode: Returns: (transfer full): the answer that lists the shards and their leaseholders */
char *hzb_admin_shards_encode (HzbShardLeases *shard_leases);

/** hzb_admin_teams_encode: Returns: (transfer full): the answer that lists teams and what they use of the leader's shard */
char *hzb_admin_teams_encode (const HzbSettings *settings, const HzbShard *shard);

/** hzb_admin_job_encode: Returns: (transfer full): the answer about one job */
char *hzb_admin_job_encode (const HzbJob *job);

/** hzb_admin_jobs_encode: Returns: (transfer full): the answer that lists the oldest active jobs and counts them all */
char *hzb_admin_jobs_encode (const HzbJobs *jobs);

/** hzb_admin_drain_encode: Returns: (transfer full): the answer that a machine is being drained */
char *hzb_admin_drain_encode (const HzbMachine *machine);
