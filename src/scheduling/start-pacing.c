#include "start-pacing.h"

/* The capacity of a token bucket is what its rate adds in this many seconds, but at least one token. */
#define BURST_S 1.0

/* If timers fire late by more than this, the process lacks processor time, and the bucket for commands (`tokens`, but
 * not `scale_out_tokens`) is refilled at this fraction of its rate, which lowers its capacity too. */
#define LAGGING_ABOVE_S 0.25
#define LAGGING_RATE_FRACTION 0.5

/* A command of a class may be sent only if this fraction of a full bucket remains for higher classes, or if the
 * bucket is full, see hzb_start_pacing_allows(). */
#define RESERVE_LEFT_BY_GUARANTEED_FRACTION 0.2
#define RESERVE_LEFT_BY_OTHER_FRACTION 0.5

void
hzb_start_pacing_begin (HzbStartPacing *pacing, const HzbStartPacingLimits *limits, struct timespec now)
{
  *pacing = (HzbStartPacing){ .limits = *limits, .active = TRUE, .began = now, .refilled = now };
  pacing->tokens = limits->per_s * BURST_S;
}

void
hzb_start_pacing_end (HzbStartPacing *pacing)
{
  pacing->active = FALSE;
}

/* Returns: the tokens after a refill, at most a full bucket. Even at a rate below one per second, a bucket can hold one
 * token: otherwise a scale-out request, which needs a whole one, would never be sent. */
static double
refill (double tokens, double per_s, double seconds)
{
  return MIN (MAX (per_s * BURST_S, 1), tokens + per_s * seconds);
}

void
hzb_start_pacing_tick (HzbStartPacing *pacing, double lag_s, struct timespec now)
{
  double seconds, rate_fraction = lag_s > LAGGING_ABOVE_S ? LAGGING_RATE_FRACTION : 1;

  if (!pacing->active)
    return;
  if (hzb_time_between (pacing->began, now) >= pacing->limits.duration_s)
    {
      hzb_start_pacing_end (pacing);
      return;
    }
  seconds = hzb_time_between (pacing->refilled, now);
  pacing->refilled = now;
  pacing->lag_s = lag_s;
  pacing->tokens = refill (pacing->tokens, pacing->limits.per_s * rate_fraction, seconds);
  pacing->scale_out_tokens = refill (pacing->scale_out_tokens, pacing->limits.scale_outs_per_s, seconds);
}

void
hzb_start_pacing_begin_response (HzbStartPacing *pacing)
{
  pacing->commands_in_response = 0;
}

gboolean
hzb_start_pacing_response_full (const HzbStartPacing *pacing)
{
  return pacing->active && pacing->limits.starts_per_response
         && pacing->commands_in_response >= pacing->limits.starts_per_response;
}

gboolean
hzb_start_pacing_allows (const HzbStartPacing *pacing, HzbStartPacingClass class)
{
  static const double reserve_fractions[HZB_START_PACING_N_CLASSES] = {
    [HZB_START_PACING_OTHER] = RESERVE_LEFT_BY_OTHER_FRACTION,
    [HZB_START_PACING_GUARANTEED] = RESERVE_LEFT_BY_GUARANTEED_FRACTION,
    [HZB_START_PACING_URGENT] = 0,
  };
  double capacity = pacing->limits.per_s * BURST_S;

  if (!pacing->active)
    return TRUE;
  /* A bucket that is full at the rate without lag always suffices, also if it is below the reserve plus one token. */
  return pacing->tokens >= MIN (1 + reserve_fractions[class] * capacity, capacity);
}

void
hzb_start_pacing_take_token (HzbStartPacing *pacing)
{
  if (!pacing->active)
    return;
  pacing->tokens -= 1;
  pacing->commands_in_response++;
}

gboolean
hzb_start_pacing_take_scale_out_token (HzbStartPacing *pacing)
{
  if (!pacing->active)
    return TRUE;
  if (pacing->scale_out_tokens < 1)
    return FALSE;
  pacing->scale_out_tokens -= 1;
  return TRUE;
}
