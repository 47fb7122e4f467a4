/**
 * @file
 * SECTION: shard
 *
 * A shard: a set of machines with one owner, and the resources that each team uses on them.
 *
 * Every machine and every task that has not ended belongs to exactly one shard. The leader owns the machines and tasks
 * that are not leased to a leaseholder.
 */
#pragma once
#include "settings.h"

/** HzbShard: the resources that each team uses in a shard and the limits of the team there, as counted by the owner of
 * the shard. Arrays are indexed by team and owned. */
typedef struct
{
  guint64 fencing_token; /**< Fencing token sent with each command, see hzb_fencing_token(). */
  guint n_teams;         /**< Number of teams in the settings. */
  double *cpus;          /**< CPUs of the team's tasks that run or may be running, delegated tasks included. */
  double *gpus;          /**< GPUs of the same tasks. */
  double *cpus_allowed;  /**< Limit of the team for `cpus`. */
  double *gpus_allowed;  /**< Limit of the team for `gpus`. */
} HzbShard;

/**
 * hzb_fencing_token: composes the fencing token of a shard.
 * `leader_term`: the term of the leader
 * `number`: a number below 2^20 that is used only once in the term
 *
 * Workers reject commands with a fencing token below the highest one that they have seen. The fencing tokens of a later
 * leader are higher than all those of an earlier leader, and a shard that passes to another owner gets a higher one.
 *
 * Returns: the fencing token
 */
static inline guint64
hzb_fencing_token (guint64 leader_term, guint number)
{
  return leader_term << 20 | number;
}

/** hzb_fencing_token_term: Returns: the term of the leader that issued the fencing token */
static inline guint64
hzb_fencing_token_term (guint64 fencing_token)
{
  return fencing_token >> 20;
}

/** hzb_shard_new: Returns: (transfer full): a shard without used resources, with the limits of teams from the
 * settings */
HzbShard *hzb_shard_new (const HzbSettings *settings, guint64 fencing_token);

/**
 * hzb_shard_new_leased: creates the shard of a leaseholder. Teams have no limits in it, because the leader counts each
 * task against the limit of its team before delegating the task.
 *
 * Returns: (transfer full): a shard without used resources
 */
HzbShard *hzb_shard_new_leased (const HzbSettings *settings, guint64 fencing_token);

/** hzb_shard_free: `shard`: (transfer full) (nullable) */
void hzb_shard_free (HzbShard *shard);

/** hzb_shard_fits: whether the limits of the team allow the use of `cpus` more CPUs and `gpus` more GPUs. */
gboolean hzb_shard_fits (const HzbShard *shard, int team, double cpus, double gpus);

/** hzb_shard_reserve: adds `cpus` CPUs and `gpus` GPUs to those that the team uses. The limits are not checked. */
void hzb_shard_reserve (HzbShard *shard, int team, double cpus, double gpus);

/** hzb_shard_release: subtracts `cpus` CPUs and `gpus` GPUs from those that the team uses. */
void hzb_shard_release (HzbShard *shard, int team, double cpus, double gpus);
