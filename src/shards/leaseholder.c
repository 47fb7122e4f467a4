/* The life cycle of a leaseholder: the queue of events for the leader, and the end of the shard lease. */
#include "leaseholder-private.h"

/* A leaseholder releases its lease when the leader has not answered for this time: otherwise it would keep machines
 * to which the leader cannot delegate tasks. */
#define LEADER_RESPONSE_TIMEOUT_S 5.0
/* Limits the size of the events in a poll. When hundreds of machines become unresponsive at the same time, their
 * events would exceed the maximum size of a request, 64 KiB. The leader would reject each poll and acknowledge no
 * event, and the node would lose its whole shard. The limit leaves space for the rest of the poll. */
#define MAX_EVENT_BYTES (36 * 1024)

HzbLeaseholder *
hzb_leaseholder_new (const HzbLeaseholderDependencies *dependencies, const HzbLeaseholderCallbacks *callbacks)
{
  HzbLeaseholder *leaseholder = g_new0 (HzbLeaseholder, 1);
  leaseholder->dependencies = *dependencies;
  leaseholder->callbacks = *callbacks;
  hzb_outbox_init (&leaseholder->events, MAX_EVENT_BYTES, (HzbOutboxEncode) hzb_shard_event_encode,
                   (GDestroyNotify) hzb_shard_event_free);
  return leaseholder;
}

void
hzb_leaseholder_free (HzbLeaseholder *leaseholder)
{
  hzb_outbox_clear (&leaseholder->events);
  g_free (leaseholder);
}

void
hzb_leaseholder_clear (HzbLeaseholder *leaseholder)
{
  hzb_outbox_clear (&leaseholder->events);
  leaseholder->last_batch_applied = 0;
}

gboolean
hzb_leaseholder_lease_valid (HzbLeaseholder *leaseholder)
{
  return hzb_ownership_is_leaseholder (leaseholder->dependencies.ownership)
         && hzb_time_before (hzb_clock_now (leaseholder->dependencies.node->clock), leaseholder->valid_until);
}

void
hzb_leaseholder_report_finished (HzbLeaseholder *leaseholder, const HzbTask *task, double ran_s)
{
  HzbShardEvent *event = hzb_shard_event_new ();
  event->finished = hzb_task_groups_new ();
  hzb_task_groups_add (event->finished, task);
  event->ran_s = ran_s;
  hzb_leaseholder_push (leaseholder, event);
  hzb_leaseholder_poll_soon (leaseholder);
}

/* Returns: (nullable): why the shard lease ends, for the log; NULL if it continues */
static const char *
lease_end_reason (HzbLeaseholder *leaseholder, struct timespec now)
{
  if (hzb_election_leader_term (leaseholder->dependencies.election)
      != hzb_fencing_token_term (leaseholder->fencing_token))
    return "the leader's term has changed";
  if (!hzb_leaseholder_lease_valid (leaseholder))
    return "the shard lease has expired";
  if (hzb_time_between (leaseholder->last_answer, now) > LEADER_RESPONSE_TIMEOUT_S)
    return "the leader does not answer polls";
  return NULL;
}

void
hzb_leaseholder_tick (HzbLeaseholder *leaseholder, struct timespec now)
{
  if (hzb_election_is_leader (leaseholder->dependencies.election))
    return;
  if (hzb_ownership_is_leaseholder (leaseholder->dependencies.ownership))
    {
      const char *reason = lease_end_reason (leaseholder, now);
      if (reason)
        leaseholder->callbacks.end_lease (reason, leaseholder->callbacks.user);
      else
        hzb_leaseholder_return_unneeded (leaseholder, now);
    }
  hzb_leaseholder_poll_if_due (leaseholder, now);
}
