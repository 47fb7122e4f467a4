/* This node as a leaseholder: what it sends to the leader, and when its shard lease ends. */
#include "leaseholder-private.h"

/* The node gives its lease up when the leader has not answered for so long, so that it does not keep machines which the leader
 * cannot give work. */
#define LEASE_ABANDON_S 5.0
/* Guards against a poll that is larger than a request may be. The leader would refuse such a poll each time and
 * acknowledge no event, and the node would lose its whole shard, when hundreds of machines become unresponsive together. With
 * the rest of the poll these bytes stay below 64 KiB. */
#define MAX_EVENT_BYTES (36 * 1024)

HzbLeaseholder *
hzb_leaseholder_new (const HzbLeaseholderDependencies *dependencies, const HzbLeaseholderCallbacks *callbacks)
{
  HzbLeaseholder *leaseholder = g_new0 (HzbLeaseholder, 1);
  leaseholder->modules = *dependencies;
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
  leaseholder->batches_taken = 0;
}

gboolean
hzb_leaseholder_valid (HzbLeaseholder *leaseholder)
{
  return hzb_ownership_is_leaseholder (leaseholder->modules.ownership)
         && hzb_time_before (hzb_clock_now (leaseholder->modules.node->clock), leaseholder->valid_until);
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

/* Returns: (nullable): why the shard lease ends, for the log; NULL while it lasts */
static const char *
reason_to_end_lease (HzbLeaseholder *leaseholder, struct timespec now)
{
  if (hzb_election_leader_term (leaseholder->modules.election) != hzb_fencing_token_term (leaseholder->fencing_token))
    return "another node leads";
  if (!hzb_leaseholder_valid (leaseholder))
    return "the lease has expired";
  if (hzb_time_between (leaseholder->last_answer, now) > LEASE_ABANDON_S)
    return "the leader does not answer";
  return NULL;
}

void
hzb_leaseholder_tick (HzbLeaseholder *leaseholder, struct timespec now)
{
  if (hzb_election_leading (leaseholder->modules.election))
    return;
  if (hzb_ownership_is_leaseholder (leaseholder->modules.ownership))
    {
      const char *why = reason_to_end_lease (leaseholder, now);
      if (why)
        leaseholder->callbacks.end_lease (why, leaseholder->callbacks.user);
      else
        hzb_leaseholder_return_unneeded (leaseholder, now);
    }
  hzb_leaseholder_poll_if_due (leaseholder, now);
}
