/**
 * @file
 * SECTION: shard
 *
 * A set of machines under one owner, and what each team uses on them.
 *
 * Every machine and every task that has not ended is in one shard. The leader owns all that it has not leased to a
 * leaseholder.
 */
#pragma once
#include "settings.h"

/** HzbShard: a shard, as its owner keeps it. Arrays are indexed by team. */
typedef struct
{
  guint64 fencing_token; /**< Sent with each command, see hzb_fencing_token(). */
  guint n_teams;         /**< Number of teams in the settings. */
  double *cpus;          /**< CPUs in use, or possibly in use. */
  double *gpus;          /**< GPUs in use, or possibly in use. */
  double *cpus_allowed;  /**< CPUs that the team may use here. */
  double *gpus_allowed;  /**< GPUs that the team may use here. */
} HzbShard;

/**
 * hzb_fencing_token: the fencing token of a shard.
 * `leader_term`: the term of the leader
 * `number`: used once in the term, below 2^20
 *
 * Workers obey no fencing token below one that they have seen. A later leader's fencing tokens exceed all of an earlier
 * leader's, and a shard that passes to another owner gets a higher one.
 */
static inline guint64
hzb_fencing_token (guint64 leader_term, guint number)
{
  return leader_term << 20 | number;
}

/** hzb_fencing_token_term: the term of the leader that made the fencing token. */
static inline guint64
hzb_fencing_token_term (guint64 fencing_token)
{
  return fencing_token >> 20;
}

/** hzb_shard_new: Returns: (transfer full): a shard without use, in which each team may use up to its limit */
HzbShard *hzb_shard_new (const HzbSettings *settings, guint64 fencing_token);

/**
 * hzb_shard_new_leased: the shard of a leaseholder. It sets teams no limit: the leader counts a task against the limit
 * before it delegates it.
 *
 * Returns: (transfer full)
 */
HzbShard *hzb_shard_new_leased (const HzbSettings *settings, guint64 fencing_token);

/** hzb_shard_free: `shard`: (transfer full) (nullable) */
void hzb_shard_free (HzbShard *shard);

/** hzb_shard_fits: whether the team may use so many CPUs and GPUs more. */
gboolean hzb_shard_fits (const HzbShard *shard, int team, double cpus, double gpus);

/** hzb_shard_reserve: the team uses so many CPUs and GPUs more. */
void hzb_shard_reserve (HzbShard *shard, int team, double cpus, double gpus);

/** hzb_shard_release: the team uses so many CPUs and GPUs less. */
void hzb_shard_release (HzbShard *shard, int team, double cpus, double gpus);
