/* A block: a set of machines under one holder and term, and what each team may use on them.
 * Every machine and every unfinished task is in one block. So far the leader holds the only one. */
#pragma once
#include "settings.h"

typedef struct
{
  guint64 term;
  guint n_teams;
  double *cpus, *gpus;                 /* in use, or possibly in use */
  double *cpus_allowed, *gpus_allowed; /* over all blocks they sum to at most the team's limit */
} HzbBlock;

HzbBlock *hzb_block_new (const HzbSettings *settings, guint64 term);
void hzb_block_free (HzbBlock *block);
gboolean hzb_block_fits (const HzbBlock *block, int team, double cpus, double gpus);
void hzb_block_hold (HzbBlock *block, int team, double cpus, double gpus);
void hzb_block_release (HzbBlock *block, int team, double cpus, double gpus);
