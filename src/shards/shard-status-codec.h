/**
 * @file
 * SECTION: shard-status-codec
 * The status of a shard in the administration API, and its encoding.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbShardStatus: the status of one shard. */
typedef struct
{
  const char *holder;    /**< (not owned): name of the node that holds the shard */
  guint64 fencing_token; /**< fencing token of the shard; 0: the node holds no shard */
  guint machines;  /**< number of its machines with a known type; in the leader's own shard only active machines */
  double cpus;     /**< total CPUs of these machines */
  gboolean leased; /**< the shard is leased; FALSE: it is the leader's own shard */
  guint delegated_tasks; /**< if leased: number of tasks that are delegated to its holder */
} HzbShardStatus;

/** hzb_shard_statuses_encode: Returns: (transfer full): the wire format of statuses (element-type HzbShardStatus) */
cJSON *hzb_shard_statuses_encode (const GArray *statuses);
