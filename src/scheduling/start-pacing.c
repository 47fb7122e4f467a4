#include "start-pacing.h"

#define BURST_S 1.0 /* the bucket holds the commands of this many seconds */

/* When timers fire this late the processor's share is used up, and commands are given at this part of the rate. */
#define LAGGING_ABOVE_S 0.25
#define LAGGING_PART 0.5

/* Parts of the bucket that are left to higher classes. */
#define GUARANTEED_LEAVES 0.2
#define OTHER_LEAVES 0.5

void
hzb_start_pacing_begin (HzbStartPacing *pacing, const HzbStartPacingLimits *limits, struct timespec now)
{
  *pacing = (HzbStartPacing){ .limits = *limits, .active = TRUE, .began = now, .filled = now };
  pacing->tokens = limits->per_s * BURST_S;
}

void
hzb_start_pacing_end (HzbStartPacing *pacing)
{
  pacing->active = FALSE;
}

static double
fill (double tokens, double per_s, double seconds)
{
  return MIN (MAX (per_s * BURST_S, 1), tokens + per_s * seconds);
}

void
hzb_start_pacing_tick (HzbStartPacing *pacing, double lag_s, struct timespec now)
{
  double seconds, part = lag_s > LAGGING_ABOVE_S ? LAGGING_PART : 1;

  if (!pacing->active)
    return;
  if (hzb_time_between (pacing->began, now) >= pacing->limits.duration_s)
    {
      hzb_start_pacing_end (pacing);
      return;
    }
  seconds = hzb_time_between (pacing->filled, now);
  pacing->filled = now;
  pacing->lag_s = lag_s;
  pacing->tokens = fill (pacing->tokens, pacing->limits.per_s * part, seconds);
  pacing->scale_out_tokens = fill (pacing->scale_out_tokens, pacing->limits.scale_outs_per_s, seconds);
}

void
hzb_start_pacing_begin_answer (HzbStartPacing *pacing)
{
  pacing->in_answer = 0;
}

gboolean
hzb_start_pacing_answer_full (const HzbStartPacing *pacing)
{
  return pacing->active && pacing->limits.per_answer && pacing->in_answer >= pacing->limits.per_answer;
}

gboolean
hzb_start_pacing_allows (const HzbStartPacing *pacing, HzbStartPacingClass class)
{
  static const double leaves[HZB_START_PACING_N_CLASSES] = { [HZB_START_PACING_OTHER] = OTHER_LEAVES,
                                                             [HZB_START_PACING_GUARANTEED] = GUARANTEED_LEAVES,
                                                             [HZB_START_PACING_URGENT] = 0 };
  double bucket = pacing->limits.per_s * BURST_S;

  if (!pacing->active)
    return TRUE;
  return pacing->tokens >= MIN (1 + leaves[class] * bucket, bucket);
}

void
hzb_start_pacing_take (HzbStartPacing *pacing)
{
  if (!pacing->active)
    return;
  pacing->tokens -= 1;
  pacing->in_answer++;
}

gboolean
hzb_start_pacing_take_scale_out (HzbStartPacing *pacing)
{
  if (!pacing->active)
    return TRUE;
  if (pacing->scale_out_tokens < 1)
    return FALSE;
  pacing->scale_out_tokens -= 1;
  return TRUE;
}
