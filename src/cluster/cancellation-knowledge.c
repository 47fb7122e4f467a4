/* Which cancellations this controller knows, what it tells its peers of them, and whether it knows enough to answer
 * workers. */
#include "cancellations-private.h"

#define MAX_LISTED_PER_REPLY 500u /* some 45 bytes each */

void
hzb_cancellations_note_record (HzbCancellations *cancellations, const HzbJob *job, guint64 revision)
{
  if (job->state == HZB_JOB_CANCELLED)
    hzb_cancellation_log_add (cancellations->log, job->uid, revision, job->n_tasks);
}

void
hzb_cancellations_note_load (HzbCancellations *cancellations, guint64 revision)
{
  hzb_cancellation_log_restart (cancellations->log, revision);
}

/* This controller knows all cancellations up to this revision, by its replica of the records or by peers. */
static guint64
known_revision (const HzbCancellations *cancellations)
{
  return MAX (hzb_kv_replica_revision (cancellations->uses.kv_replica), cancellations->learned_revision);
}

static gboolean
replica_follows (const HzbCancellations *cancellations)
{
  return hzb_kv_replica_state (cancellations->uses.kv_replica) == HZB_KV_REPLICA_FOLLOWING;
}

/* Peers rely on the promise of this controller to fence itself while they can't reach it, so it is never taken back. It
 * is not made before every peer can list what this controller lacks. Otherwise work would be lost in an outage of the
 * key-value store. */
static gboolean
fences_itself (HzbCancellations *cancellations)
{
  if (!cancellations->self_fencing && cancellations->uses.node->settings->peers->len)
    cancellations->self_fencing = hzb_peers_all_list_cancellations (cancellations->uses.peers);
  return cancellations->self_fencing;
}

void
hzb_cancellations_fill_heartbeat (HzbCancellations *cancellations, HzbPeerHeartbeat *heartbeat)
{
  heartbeat->cancellations_known = known_revision (cancellations);
  heartbeat->self_fenced = fences_itself (cancellations);
}

void
hzb_cancellations_fill_reply (HzbCancellations *cancellations, const HzbPeerHeartbeat *request, HzbPeerHeartbeat *reply)
{
  if (!request->lists_cancellations || !replica_follows (cancellations))
    return; /* a version that lists no cancellations takes none either */
  reply->cancellations_up_to = hzb_cancellation_log_read (cancellations->log, request->cancellations_known,
                                                          hzb_kv_replica_revision (cancellations->uses.kv_replica),
                                                          MAX_LISTED_PER_REPLY, reply->cancellations);
}

static void
learn (HzbCancellations *cancellations, const GArray *listed, guint64 up_to)
{
  guint64 replicated_revision = hzb_kv_replica_revision (cancellations->uses.kv_replica);

  /* While the replica reads all records anew, this controller owns nothing, and what the reading does not show has
   * moved to the archive of completed jobs. */
  if (!replica_follows (cancellations))
    return;
  for (guint i = 0; i < listed->len; i++)
    {
      const HzbCancellation *cancellation = &g_array_index (listed, HzbCancellation, i);
      /* A record that the replica has shown by now may have moved to the archive since: it must not be made again. */
      if (cancellation->revision > replicated_revision)
        hzb_cancellations_apply (cancellations, cancellation);
    }
  cancellations->learned_revision = MAX (cancellations->learned_revision, up_to);
}

gboolean
hzb_cancellations_apply_reply (HzbCancellations *cancellations, const HzbPeerHeartbeat *reply)
{
  if (!reply->cancellations_up_to)
    return FALSE;
  learn (cancellations, reply->cancellations, reply->cancellations_up_to);
  return known_revision (cancellations) >= reply->cancellations_up_to;
}

/* The later of two points in time. */
static struct timespec
later_of (struct timespec a, struct timespec b)
{
  return hzb_time_before (a, b) ? b : a;
}

gboolean
hzb_cancellations_may_answer_workers (HzbCancellations *cancellations)
{
  const HzbCancellationsDependencies *uses = &cancellations->uses;
  struct timespec current_as_of;

  /* A controller that has received no heartbeat yet fences itself too: peers may rely on the promise of the process
   * before. */
  if (!fences_itself (cancellations)
      && (!uses->node->settings->peers->len || hzb_peers_any_lists_no_cancellations (uses->peers)))
    return TRUE;
  current_as_of = later_of (hzb_kv_replica_current_as_of (uses->kv_replica), hzb_peers_current_as_of (uses->peers));
  return hzb_time_between (current_as_of, hzb_clock_now (uses->node->clock)) < HZB_CANCELLATIONS_MAX_AGE_S;
}
