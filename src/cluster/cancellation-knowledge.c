/* Tracks which cancellations this controller knows, exchanges them with its peers in heartbeats, and decides whether
 * this controller knows enough of them to answer workers. */
#include "cancellations-private.h"

#define MAX_LISTED_PER_REPLY 500u /* cancellations; each takes about 45 bytes of the reply */

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

/* Returns: the revision up to which this controller knows all cancellations, from its replica of the records or from
 * peers */
static guint64
known_revision (const HzbCancellations *cancellations)
{
  return MAX (hzb_kv_replica_revision (cancellations->dependencies.kv_replica), cancellations->peer_listed_revision);
}

static gboolean
replica_follows (const HzbCancellations *cancellations)
{
  return hzb_kv_replica_state (cancellations->dependencies.kv_replica) == HZB_KV_REPLICA_FOLLOWING;
}

/* Promises the peers that this controller will fence itself, if it has peers and each of them can list the
 * cancellations that this controller lacks. If a peer could not list them, this controller would stop answering workers
 * in an outage of the key-value store, and the workers' work would be lost. Peers rely on the promise while they can't
 * reach this controller, so the promise is never revoked.
 *
 * Returns: whether this controller has made the promise, in this call or earlier */
static gboolean
update_self_fencing (HzbCancellations *cancellations)
{
  if (!cancellations->self_fencing && cancellations->dependencies.node->settings->peers->len)
    cancellations->self_fencing = hzb_peers_all_list_cancellations (cancellations->dependencies.peers);
  return cancellations->self_fencing;
}

void
hzb_cancellations_fill_heartbeat (HzbCancellations *cancellations, HzbPeerHeartbeat *heartbeat)
{
  heartbeat->known_cancellations_revision = known_revision (cancellations);
  heartbeat->self_fenced = update_self_fencing (cancellations);
}

void
hzb_cancellations_fill_reply (HzbCancellations *cancellations, const HzbPeerHeartbeat *request, HzbPeerHeartbeat *reply)
{
  if (!request->lists_cancellations || !replica_follows (cancellations))
    return; /* a requester whose version lists no cancellations does not read listed ones either */
  reply->cancellations_up_to = hzb_cancellation_log_read (
      cancellations->log, request->known_cancellations_revision,
      hzb_kv_replica_revision (cancellations->dependencies.kv_replica), MAX_LISTED_PER_REPLY, reply->cancellations);
}

static void
apply_listed (HzbCancellations *cancellations, const GArray *listed, guint64 up_to)
{
  guint64 replicated_revision = hzb_kv_replica_revision (cancellations->dependencies.kv_replica);

  /* Listed cancellations are ignored while the replica reloads all records: this controller owns no shard then, and a
   * listed job that the reload does not show has moved to the archive of completed jobs. */
  if (!replica_follows (cancellations))
    return;
  for (guint i = 0; i < listed->len; i++)
    {
      const HzbCancellation *cancellation = &g_array_index (listed, HzbCancellation, i);
      /* A job whose record the replica has received already may have moved to the archive since.
       * hzb_cancellations_apply() must not add such a job again. */
      if (cancellation->revision > replicated_revision)
        hzb_cancellations_apply (cancellations, cancellation);
    }
  cancellations->peer_listed_revision = MAX (cancellations->peer_listed_revision, up_to);
}

gboolean
hzb_cancellations_apply_reply (HzbCancellations *cancellations, const HzbPeerHeartbeat *reply)
{
  if (!reply->cancellations_up_to)
    return FALSE;
  apply_listed (cancellations, reply->cancellations, reply->cancellations_up_to);
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
  const HzbCancellationsDependencies *deps = &cancellations->dependencies;
  struct timespec current_as_of;

  /* A controller that has made no promise answers workers without the check of the age below only if it has no peers,
   * or has received a heartbeat of a version that lists no cancellations. A controller that has received no heartbeat
   * yet fences itself, because peers may rely on the promise of its previous process. */
  if (!update_self_fencing (cancellations)
      && (!deps->node->settings->peers->len || hzb_peers_any_lists_no_cancellations (deps->peers)))
    return TRUE;
  current_as_of = later_of (hzb_kv_replica_current_as_of (deps->kv_replica), hzb_peers_current_as_of (deps->peers));
  return hzb_time_between (current_as_of, hzb_clock_now (deps->node->clock)) < HZB_CANCELLATIONS_MAX_AGE_S;
}
