#include "ownership.h"

struct _HzbOwnership
{
  HzbClock *clock;
  HzbOwnershipState state; /* changed by hzb_ownership_set_state() only */
  guint64 epoch;
  struct timespec start_time;
};

/* Names of the states in log lines. */
static const char *const state_names[HZB_OWNERSHIP_N_STATES] = { "none", "leaseholder", "loading", "recovering",
                                                                 "ready" };

static const guint legal_changes[HZB_OWNERSHIP_N_STATES] = {
  [HZB_OWNERSHIP_NONE] = 1 << HZB_OWNERSHIP_LOADING | 1 << HZB_OWNERSHIP_LEASEHOLDER,
  [HZB_OWNERSHIP_LEASEHOLDER] = 1 << HZB_OWNERSHIP_NONE,
  [HZB_OWNERSHIP_LOADING] = 1 << HZB_OWNERSHIP_NONE | 1 << HZB_OWNERSHIP_RECOVERING,
  [HZB_OWNERSHIP_RECOVERING] = 1 << HZB_OWNERSHIP_NONE | 1 << HZB_OWNERSHIP_READY,
  [HZB_OWNERSHIP_READY] = 1 << HZB_OWNERSHIP_NONE,
};

HzbOwnership *
hzb_ownership_new (HzbClock *clock)
{
  HzbOwnership *ownership = g_new0 (HzbOwnership, 1);
  ownership->clock = clock;
  return ownership;
}

void
hzb_ownership_free (HzbOwnership *ownership)
{
  g_free (ownership);
}

HzbOwnershipState
hzb_ownership_state (const HzbOwnership *ownership)
{
  return ownership->state;
}

gboolean
hzb_ownership_is_leaseholder (const HzbOwnership *ownership)
{
  return ownership->state == HZB_OWNERSHIP_LEASEHOLDER;
}

gboolean
hzb_ownership_is_loaded_leader (const HzbOwnership *ownership)
{
  return ownership->state >= HZB_OWNERSHIP_RECOVERING;
}

guint64
hzb_ownership_epoch (const HzbOwnership *ownership)
{
  return ownership->epoch;
}

struct timespec
hzb_ownership_start_time (const HzbOwnership *ownership)
{
  return ownership->start_time;
}

void
hzb_ownership_begin_epoch (HzbOwnership *ownership)
{
  ownership->epoch++;
}

gboolean
hzb_ownership_set_state (HzbOwnership *ownership, HzbOwnershipState to, const char *reason)
{
  HzbOwnershipState from = ownership->state;

  if (!(legal_changes[from] & 1u << to))
    {
      g_critical (
          "ownership: illegal change %s -> %s; it is ignored. This is a fault of the program: report it with this log",
          state_names[from], state_names[to]);
      return FALSE;
    }
  g_message ("ownership: %s -> %s: %s", state_names[from], state_names[to], reason);
  ownership->state = to;
  /* Scheduling starts in these two states. */
  if (to == HZB_OWNERSHIP_LEASEHOLDER || to == HZB_OWNERSHIP_RECOVERING)
    ownership->start_time = hzb_clock_now (ownership->clock);
  return TRUE;
}

void
hzb_epoch_call_init (HzbEpochCall *call, const HzbOwnership *ownership, gpointer module, gpointer data)
{
  call->ownership = ownership;
  call->epoch = ownership->epoch;
  call->module = module;
  call->data = data;
}

HzbEpochCall *
hzb_epoch_call_new (const HzbOwnership *ownership, gpointer module, gpointer data)
{
  HzbEpochCall *call = g_new0 (HzbEpochCall, 1);
  hzb_epoch_call_init (call, ownership, module, data);
  return call;
}

gboolean
hzb_epoch_call_is_current (const HzbEpochCall *call)
{
  return call->epoch == call->ownership->epoch;
}
