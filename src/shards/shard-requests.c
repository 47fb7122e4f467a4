/* The leader answers the polls of leaseholders. */
#include "json.h"
#include "shard-leases-private.h"
#include "user-protocol.h"

#define LEASE_S 10.0 /* how long a lease lasts from when the poll was sent; the design page names this value */

/* Returns: (nullable): NULL if no other node has that name */
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

/* A leaseholder that restarted knows nothing of the shard that its earlier process held. */
static void
note_incarnation (HzbLeaseholderView *leaseholder, const char *incarnation, struct timespec now)
{
  if (g_strcmp0 (leaseholder->incarnation, incarnation) == 0)
    return;
  if (leaseholder->fencing_token)
    hzb_shards_reclaim (leaseholder, "the leaseholder restarted");
  g_free (leaseholder->incarnation);
  leaseholder->incarnation = g_strdup (incarnation);
  leaseholder->steady_since = now;
}

static void
note_poll_time (HzbLeaseholderView *leaseholder, struct timespec now)
{
  if (hzb_time_is_set (leaseholder->last_poll)
      && hzb_time_between (leaseholder->last_poll, now) > HZB_SHARDS_MISSED_POLLS_S)
    leaseholder->steady_since = now;
  leaseholder->last_poll = now;
}

/* Compares what the leaseholder says it holds with what was leased to it. */
static void
reclaim_if_given_up (HzbLeaseholderView *leaseholder, const HzbShardPoll *poll)
{
  if (!poll->fencing_token)
    {
      if (leaseholder->holds)
        hzb_shards_reclaim (leaseholder, "the leaseholder gave its lease up");
      return;
    }
  if (poll->fencing_token != leaseholder->fencing_token)
    return;
  leaseholder->holds = TRUE;
  /* A leaseholder that restarted, or runs schema version 1, may renew the lease without the machines and tasks that were
   * already sent to it. Reclaim the shard: otherwise those tasks would never be reported again. */
  if (poll->have < leaseholder->acknowledged)
    hzb_shards_reclaim (leaseholder, "the leaseholder lost what it had acknowledged");
}

static void
apply_events (HzbLeaseholderView *leaseholder, const GPtrArray *events)
{
  for (guint i = 0; i < events->len; i++)
    {
      const HzbShardEvent *event = events->pdata[i];
      if (event->message.number != leaseholder->events_taken + 1)
        continue; /* the leaseholder repeats the event, since the answer that acknowledged it was lost */
      leaseholder->events_taken++;
      hzb_shards_apply_event (leaseholder, event);
    }
}

/* Applies what a leaseholder that holds its shard reports, and delegates tasks to it for the room that it states. */
static void
apply_poll (HzbLeaseholderView *leaseholder, const HzbShardPoll *poll, struct timespec now)
{
  /* Batches that the poll does not acknowledge are sent again: the answer that carried them may have been lost. */
  leaseholder->acknowledged = MAX (leaseholder->acknowledged, poll->have);
  hzb_outbox_acknowledge (&leaseholder->batches, leaseholder->acknowledged);
  apply_events (leaseholder, poll->events);
  hzb_shards_apply_counts (leaseholder, poll);
  hzb_shards_recall_for_service (leaseholder);
  /* The room that the poll states does not consider batches that the leaseholder has not taken yet. Delegating before it has
   * would fill the same room twice. */
  if (!leaseholder->batches.waiting.length)
    hzb_shards_delegate (leaseholder, poll->room_cpus, now);
}

/* The leaseholder polls under a fencing token whose shard was reclaimed, or which an earlier leader gave out. */
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
  const HzbShardLeasesDependencies *modules = &leaseholder->shard_leases->modules;
  g_auto (HzbShardAnswer) answer = { .term = hzb_election_term (modules->election), .lease_s = LEASE_S };

  if (poll->cancellations)
    answer.acknowledged_uids = hzb_cancellations_acknowledge (modules->cancellations, poll->cancellations);
  answer.end = holds_reclaimed_shard (leaseholder, poll, answer.term);
  if (!answer.end)
    {
      if (poll->fencing_token)
        apply_poll (leaseholder, poll, now);
      answer.fencing_token = leaseholder->fencing_token;
      answer.have = leaseholder->events_taken;
      answer.batches = hzb_outbox_send (&leaseholder->batches);
    }
  respond (http_request, &answer);
}

void
hzb_shard_leases_handle_poll (HzbShardLeases *shard_leases, HzbHttpRequest *http_request, const cJSON *root)
{
  const HzbShardLeasesDependencies *modules = &shard_leases->modules;
  g_autoptr (HzbShardPoll) poll = hzb_shard_poll_decode (root);
  HzbLeaseholderView *leaseholder = find_leaseholder (shard_leases, poll->node);
  struct timespec now = hzb_clock_now (modules->node->clock);

  if (hzb_election_leading (modules->election))
    hzb_shards_scan (shard_leases, now);
  if (!leaseholder || !poll->incarnation || !hzb_election_leading (modules->election)
      || !hzb_ownership_leader_loaded (modules->ownership))
    {
      hzb_http_request_respond (http_request, 503, hzb_error_response_encode ("no blocks to lease here"), 0);
      return;
    }
  note_incarnation (leaseholder, poll->incarnation, now);
  note_poll_time (leaseholder, now);
  reclaim_if_given_up (leaseholder, poll);
  answer_poll (leaseholder, http_request, poll, now);
}
