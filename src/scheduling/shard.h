/* A shard: a set of machines under one owner and term, and what each team may use on them.
 * Every machine and every unfinished task is in one shard. So far the leader holds the only one. */
#pragma once
#include "settings.h"

typedef struct
{
  guint64 fencing_token; /* the term that is sent with each start; see hzb_fencing_token() */
  guint n_teams;
  double *cpus, *gpus;                 /* in use, or possibly in use */
  double *cpus_allowed, *gpus_allowed; /* over all shards they sum to at most the team's limit */
} HzbShard;

/* Terms of shards: the leader's term, and within it a number that is never used twice. A later leader's exceed
 * all of an earlier one's, and a shard that passes on gets a higher one. */
static inline guint64
hzb_fencing_token (guint64 leader_term, guint number)
{
  return leader_term << 20 | number;
}

static inline guint64
hzb_fencing_token_term (guint64 fencing_token)
{
  return fencing_token >> 20;
}

HzbShard *hzb_shard_new (const HzbSettings *settings, guint64 fencing_token);
/* A leaseholder's shard: what its teams may use is what was delegated, and is counted by the leader. */
HzbShard *hzb_shard_new_leased (const HzbSettings *settings, guint64 fencing_token);
void hzb_shard_free (HzbShard *shard);
gboolean hzb_shard_fits (const HzbShard *shard, int team, double cpus, double gpus);
void hzb_shard_reserve (HzbShard *shard, int team, double cpus, double gpus);
void hzb_shard_release (HzbShard *shard, int team, double cpus, double gpus);
