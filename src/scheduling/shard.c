#include "shard.h"

#include "rounding.h"

HzbShard *
hzb_shard_new (const HzbSettings *settings, guint64 fencing_token)
{
  HzbShard *shard = g_new0 (HzbShard, 1);
  shard->fencing_token = fencing_token;
  shard->n_teams = settings->teams->len;
  shard->cpus = g_new0 (double, shard->n_teams);
  shard->gpus = g_new0 (double, shard->n_teams);
  shard->cpus_allowed = g_new0 (double, shard->n_teams);
  shard->gpus_allowed = g_new0 (double, shard->n_teams);
  for (guint i = 0; i < shard->n_teams; i++)
    {
      const HzbTeam *team = settings->teams->pdata[i];
      shard->cpus_allowed[i] = team->cpus_max;
      shard->gpus_allowed[i] = team->gpus_max;
    }
  return shard;
}

HzbShard *
hzb_shard_new_leased (const HzbSettings *settings, guint64 fencing_token)
{
  HzbShard *shard = hzb_shard_new (settings, fencing_token);
  for (guint i = 0; i < shard->n_teams; i++)
    shard->cpus_allowed[i] = shard->gpus_allowed[i] = HZB_NO_LIMIT;
  return shard;
}

void
hzb_shard_free (HzbShard *shard)
{
  if (!shard)
    return;
  g_free (shard->cpus);
  g_free (shard->gpus);
  g_free (shard->cpus_allowed);
  g_free (shard->gpus_allowed);
  g_free (shard);
}

gboolean
hzb_shard_fits (const HzbShard *shard, int team, double cpus, double gpus)
{
  return shard->cpus[team] + cpus <= shard->cpus_allowed[team] + HZB_AMOUNT_TOLERANCE
         && shard->gpus[team] + gpus <= shard->gpus_allowed[team] + HZB_AMOUNT_TOLERANCE;
}

void
hzb_shard_reserve (HzbShard *shard, int team, double cpus, double gpus)
{
  shard->cpus[team] += cpus;
  shard->gpus[team] += gpus;
}

void
hzb_shard_release (HzbShard *shard, int team, double cpus, double gpus)
{
  shard->cpus[team] = MAX (0, shard->cpus[team] - cpus);
  shard->gpus[team] = MAX (0, shard->gpus[team] - gpus);
}
