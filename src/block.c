#include "block.h"

#define ROUNDING 1e-6

HzbBlock *
hzb_block_new (const HzbSettings *settings, guint64 token)
{
  HzbBlock *block = g_new0 (HzbBlock, 1);
  block->token = token;
  block->n_teams = settings->teams->len;
  block->cpus = g_new0 (double, block->n_teams);
  block->gpus = g_new0 (double, block->n_teams);
  block->cpus_allowed = g_new0 (double, block->n_teams);
  block->gpus_allowed = g_new0 (double, block->n_teams);
  for (guint i = 0; i < block->n_teams; i++)
    {
      const HzbTeam *team = settings->teams->pdata[i];
      block->cpus_allowed[i] = team->cpus_max;
      block->gpus_allowed[i] = team->gpus_max;
    }
  return block;
}

HzbBlock *
hzb_block_new_leased (const HzbSettings *settings, guint64 token)
{
  HzbBlock *block = hzb_block_new (settings, token);
  for (guint i = 0; i < block->n_teams; i++)
    block->cpus_allowed[i] = block->gpus_allowed[i] = 1e12;
  return block;
}

void
hzb_block_free (HzbBlock *block)
{
  if (!block)
    return;
  g_free (block->cpus);
  g_free (block->gpus);
  g_free (block->cpus_allowed);
  g_free (block->gpus_allowed);
  g_free (block);
}

gboolean
hzb_block_fits (const HzbBlock *block, int team, double cpus, double gpus)
{
  return block->cpus[team] + cpus <= block->cpus_allowed[team] + ROUNDING
         && block->gpus[team] + gpus <= block->gpus_allowed[team] + ROUNDING;
}

void
hzb_block_reserve (HzbBlock *block, int team, double cpus, double gpus)
{
  block->cpus[team] += cpus;
  block->gpus[team] += gpus;
}

void
hzb_block_release (HzbBlock *block, int team, double cpus, double gpus)
{
  block->cpus[team] = MAX (0, block->cpus[team] - cpus);
  block->gpus[team] = MAX (0, block->gpus[team] - gpus);
}
