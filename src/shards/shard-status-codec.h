/**
 * @file
 * SECTION: shard-status-codec
 * What the administration API shows of a shard, and its encoding.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HzbShardStatus: one shard. */
typedef struct
{
  const char *holder;    /**< (not owned): the node that decides about it */
  guint64 fencing_token; /**< of the shard; 0: the node holds none */
  guint machines;        /**< in it, of a known type; of the leader's own shard the active ones */
  double cpus;           /**< of these machines */
  gboolean leased;       /**< FALSE: it is the leader's own shard */
  guint delegated_tasks; /**< of a leased shard: tasks that its holder may run */
} HzbShardStatus;

/** hzb_shard_statuses_encode: Returns: (transfer full): of an array (element-type HzbShardStatus) of shards */
cJSON *hzb_shard_statuses_encode (const GArray *statuses);
