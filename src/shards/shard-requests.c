/* The leader answers the polls of leaseholders, and renews their leases. */
#include "json.h"
#include "shard-leases-private.h"
#include "user-protocol.h"

/* Counted from when the poll was sent. The design documentation states this duration as well. */
#define SHARD_LEASE_S 10.0

/* Returns: (nullable): the view of the node with this name; NULL if node is NULL or no other node has the name */
static HzbLeaseholderView *
find_leaseholder (HzbShardLeases *shard_leases, const char *node)
{
  for (guint i = 0; node && i < shard_leases->leaseholders->len; i++)
    {
      HzbLeaseholderView *leaseholder = shard_leases->leaseholders->pdata[i];
      if (g_str_equal (leaseholder->peer->node, node))
        return leaseholder;
    }
  return NULL;
}

/* Reclaims the shard if the leaseholder has restarted, because the new process does not have the state of the shard. */
static void
update_incarnation (HzbLeaseholderView *leaseholder, const char *incarnation, struct timespec now)
{
  if (g_strcmp0 (leaseholder->incarnation, incarnation) == 0)
    return;
  if (leaseholder->fencing_token)
    hzb_shards_reclaim (leaseholder, "the leaseholder has restarted");
  g_free (leaseholder->incarnation);
  leaseholder->incarnation = g_strdup (incarnation);
  leaseholder->steady_since = now;
}

/* Records the time of a poll. After a pause of more than HZB_SHARDS_POLL_TIMEOUT_S, the time for which the node has
 * polled without interruption is counted from this poll. */
static void
update_poll_time (HzbLeaseholderView *leaseholder, struct timespec now)
{
  if (hzb_time_is_set (leaseholder->last_poll)
      && hzb_time_between (leaseholder->last_poll, now) > HZB_SHARDS_POLL_TIMEOUT_S)
    leaseholder->steady_since = now;
  leaseholder->last_poll = now;
}

/* Compares the shard that the poll states with the leased shard. Reclaims the shard if the leaseholder has released
 * it, or has lost batches that it acknowledged earlier. */
static void
reclaim_if_not_held (HzbLeaseholderView *leaseholder, const HzbShardPoll *poll)
{
  if (!poll->fencing_token)
    {
      if (leaseholder->lease_confirmed)
        hzb_shards_reclaim (leaseholder, "the leaseholder has released its lease");
      return;
    }
  if (poll->fencing_token != leaseholder->fencing_token)
    return;
  leaseholder->lease_confirmed = TRUE;
  /* A leaseholder that has restarted, or that runs schema version 1, may renew the lease without the machines and
   * tasks that were already sent to it. Without a reclaim these tasks would never be reported again. */
  if (poll->last_batch_applied < leaseholder->last_batch_acknowledged)
    hzb_shards_reclaim (leaseholder, "the leaseholder has lost machines or tasks that it had acknowledged");
}

static void
apply_events (HzbLeaseholderView *leaseholder, const GPtrArray *events)
{
  for (guint i = 0; i < events->len; i++)
    {
      const HzbShardEvent *event = events->pdata[i];
      if (event->message.number != leaseholder->last_event_applied + 1)
        continue; /* the leaseholder repeats the event until it receives the acknowledgement */
      leaseholder->last_event_applied++;
      hzb_shards_apply_event (leaseholder, event);
    }
}

/* Applies the poll of a leaseholder that holds its shard, and delegates tasks for the CPUs that the poll requests. */
static void
apply_poll (HzbLeaseholderView *leaseholder, const HzbShardPoll *poll, struct timespec now)
{
  /* Batches that the poll does not acknowledge are sent again: the answer that carried them may have been lost. */
  leaseholder->last_batch_acknowledged = MAX (leaseholder->last_batch_acknowledged, poll->last_batch_applied);
  hzb_outbox_acknowledge (&leaseholder->batches, leaseholder->last_batch_acknowledged);
  apply_events (leaseholder, poll->events);
  hzb_shards_apply_counts (leaseholder, poll);
  hzb_shards_recall_for_service (leaseholder);
  /* The requested CPUs do not account for batches that the leaseholder has not applied yet. Delegating before it has
   * applied them would fill the same CPUs twice. */
  if (!leaseholder->batches.unacknowledged.length)
    hzb_shards_delegate (leaseholder, poll->requested_cpus, now);
}

/* Returns: whether the poll has the fencing token of a shard that was reclaimed, or that an earlier leader leased */
static gboolean
holds_reclaimed_shard (const HzbLeaseholderView *leaseholder, const HzbShardPoll *poll, guint64 term)
{
  return poll->fencing_token && (!leaseholder->fencing_token || hzb_fencing_token_term (poll->fencing_token) != term);
}

static void
respond (HzbHttpRequest *http_request, const HzbShardAnswer *answer)
{
  cJSON *message = cJSON_CreateObject ();
  hzb_shard_answer_encode (answer, message);
  hzb_http_request_respond (http_request, 200, hzb_json_print (message), 0);
}

static void
answer_poll (HzbLeaseholderView *leaseholder, HzbHttpRequest *http_request, const HzbShardPoll *poll,
             struct timespec now)
{
  const HzbShardLeasesDependencies *dependencies = &leaseholder->shard_leases->dependencies;
  g_auto (HzbShardAnswer) answer = { .term = hzb_election_term (dependencies->election), .lease_s = SHARD_LEASE_S };

  if (poll->cancellations)
    answer.acknowledged_uids = hzb_cancellations_acknowledge (dependencies->cancellations, poll->cancellations);
  answer.reclaimed = holds_reclaimed_shard (leaseholder, poll, answer.term);
  if (!answer.reclaimed)
    {
      if (poll->fencing_token)
        apply_poll (leaseholder, poll, now);
      answer.fencing_token = leaseholder->fencing_token;
      answer.last_event_applied = leaseholder->last_event_applied;
      answer.batches = hzb_outbox_prepare_send (&leaseholder->batches);
    }
  respond (http_request, &answer);
}

void
hzb_shard_leases_handle_poll (HzbShardLeases *shard_leases, HzbHttpRequest *http_request, const cJSON *root)
{
  const HzbShardLeasesDependencies *dependencies = &shard_leases->dependencies;
  g_autoptr (HzbShardPoll) poll = hzb_shard_poll_decode (root);
  HzbLeaseholderView *leaseholder = find_leaseholder (shard_leases, poll->node);
  struct timespec now = hzb_clock_now (dependencies->node->clock);

  if (hzb_election_is_leader (dependencies->election))
    hzb_shards_scan (shard_leases, now);
  if (!leaseholder || !poll->incarnation || !hzb_election_is_leader (dependencies->election)
      || !hzb_ownership_is_loaded_leader (dependencies->ownership))
    {
      hzb_http_request_respond (http_request, 503, hzb_error_response_encode ("no blocks to lease here"), 0);
      return;
    }
  update_incarnation (leaseholder, poll->incarnation, now);
  update_poll_time (leaseholder, now);
  reclaim_if_not_held (leaseholder, poll);
  answer_poll (leaseholder, http_request, poll, now);
}
