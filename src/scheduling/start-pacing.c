#include "start-pacing.h"

/* A full token bucket has the tokens that are refilled in this many seconds. */
#define BURST_S 1.0

/* Timers that fire later than this show a lack of processor time. The bucket for commands (`tokens`, but not
 * `scale_out_tokens`) is then refilled at this fraction of its rate. */
#define LAGGING_ABOVE_S 0.25
#define LAGGING_RATE_FRACTION 0.5

/* Fraction of a full bucket that commands of a class have to leave to the classes above that class. */
#define RESERVE_ABOVE_GUARANTEED_FRACTION 0.2
#define RESERVE_ABOVE_OTHER_FRACTION 0.5

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

/* Returns: the tokens after a refill, at most a full bucket. A bucket can hold at least one token, because a
 * scale-out request takes a whole token, also if the rate is below one per second. */
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
  pacing->starts_in_response = 0;
}

gboolean
hzb_start_pacing_response_full (const HzbStartPacing *pacing)
{
  return pacing->active && pacing->limits.starts_per_response
         && pacing->starts_in_response >= pacing->limits.starts_per_response;
}

gboolean
hzb_start_pacing_allows (const HzbStartPacing *pacing, HzbStartPacingClass class)
{
  static const double reserve_fractions[HZB_START_PACING_N_CLASSES] = {
    [HZB_START_PACING_OTHER] = RESERVE_ABOVE_OTHER_FRACTION,
    [HZB_START_PACING_GUARANTEED] = RESERVE_ABOVE_GUARANTEED_FRACTION,
    [HZB_START_PACING_URGENT] = 0,
  };
  double bucket = pacing->limits.per_s * BURST_S;

  if (!pacing->active)
    return TRUE;
  return pacing->tokens >= MIN (1 + reserve_fractions[class] * bucket, bucket);
}

void
hzb_start_pacing_take_token (HzbStartPacing *pacing)
{
  if (!pacing->active)
    return;
  pacing->tokens -= 1;
  pacing->starts_in_response++;
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
