/* A cancelled job is confirmed as cancelled only when no controller can act without knowing the cancellation.
 *
 * The durable record of the cancellation does not prove this. A leader that the key-value store refuses may assume an
 * outage for all controllers while the store still serves the others. If an outage for all controllers follows, the
 * leader can't be replaced, and it renews the leases of workers that run tasks whose cancellation it can't see, for as
 * long as the outage lasts. So a controller that is to confirm a cancellation asks the leader. The request is part of
 * the poll that leaseholders send anyway, and needs no key-value store. The leader applies the cancellation from the
 * request, since the record is durable and never changes. The leader acknowledges a cancellation when no task of the
 * job can be on a machine that has not answered under the leader's fencing token, and every leaseholder that was
 * delegated a task of the job has acknowledged the cancellation too.
 *
 * The leader's response is valid if there is no later leader. So the replica of the controller that asks must have all
 * records up to the job's, and the term of the leader that answers must be the highest term in that replica. A later
 * leader reads the record of the cancellation before it owns a shard.
 *
 * If the leader can't be reached, its acknowledgements are read from its flush record, which the leader writes anyway.
 *
 * No acknowledgement of the leader is needed if every controller knows the cancellation: each controller stops the
 * tasks of the job that it finds, and machines obey controllers only. Controllers list to each other the cancellations
 * that a peer lacks, so a controller that the key-value store refuses learns of them too. The confirmation does not
 * have to wait for a single controller that learns of no cancellations because it is stalled, or reaches neither the
 * key-value store nor a peer. Such a controller fences itself: it answers no worker while it could have missed a
 * cancellation (hzb_cancellations_may_answer_workers()). So no controller acts without the cancellation when all other
 * controllers have known it for more than HZB_FENCED_AFTER_S (hzb_peers_fenced_revision()). */
#include "cancellations-private.h"

#define LOG_CAPACITY 4096u /* cancellations; a peer that lacks older ones must read the records */

HzbCancellations *
hzb_cancellations_new (const HzbCancellationsDependencies *dependencies, const HzbCancellationsCallbacks *callbacks,
                       gpointer user)
{
  HzbCancellations *cancellations = g_new0 (HzbCancellations, 1);
  cancellations->dependencies = *dependencies;
  cancellations->callbacks = *callbacks;
  cancellations->user = user;
  cancellations->log = hzb_cancellation_log_new (LOG_CAPACITY);
  return cancellations;
}

void
hzb_cancellations_free (HzbCancellations *cancellations)
{
  hzb_cancellations_clear_requests (cancellations);
  hzb_cancellation_log_free (cancellations->log);
  g_free (cancellations);
}

gboolean
hzb_cancellations_is_replicated (const HzbCancellations *cancellations, const HzbJob *job)
{
  return job->version && hzb_kv_replica_revision (cancellations->dependencies.kv_replica) >= job->version;
}

HzbJob *
hzb_cancellations_apply (HzbCancellations *cancellations, const HzbCancellation *cancellation)
{
  return hzb_jobs_apply_completion (cancellations->dependencies.jobs, cancellation->uid, HZB_JOB_CANCELLED,
                                    cancellation->n_tasks, cancellation->revision);
}

/* A cancellation that every controller knows needs no acknowledgement of the leader. Without this rule, a cancellation
 * could remain unconfirmed while leaders keep changing: each new leader waits again for the machines that do not
 * answer, and a large fleet always has some. Machines obey controllers only. A controller that knows the cancellation
 * starts no task of the job, and answers each heartbeat that shows a task of the job with the command to stop that
 * task. So it does not matter where the job's unconfirmed tasks are. A single controller that is down, stalled or
 * partitioned does not count after HZB_FENCED_AFTER_S, because it must have stopped answering workers by then. */
static gboolean
is_known_to_every_controller (const HzbCancellations *cancellations, const HzbJob *job)
{
  HzbPeers *peers = cancellations->dependencies.peers;
  return job->state == HZB_JOB_CANCELLED && job->version
         && (hzb_peers_all_know_cancellations (peers, job->version)
             || job->version <= hzb_peers_fenced_revision (peers));
}

gboolean
hzb_cancellations_leader_acknowledges (HzbCancellations *cancellations, HzbJob *job)
{
  if (is_known_to_every_controller (cancellations, job))
    return TRUE;
  if (!hzb_ownership_is_loaded_leader (cancellations->dependencies.ownership) || job->state != HZB_JOB_CANCELLED)
    return FALSE;
  if (!job->tasks)
    return TRUE; /* no task of the job was ever released to a machine, or all tasks have ended */
  cancellations->callbacks.announce (job, cancellations->user);
  return !job->unconfirmed && cancellations->callbacks.all_leaseholders_acknowledged (job, cancellations->user);
}

gboolean
hzb_cancellations_is_acknowledged (HzbCancellations *cancellations, HzbJob *job)
{
  if (!job->cancel_acknowledged
      && (is_known_to_every_controller (cancellations, job)
          || (hzb_election_is_leader (cancellations->dependencies.election)
              && hzb_cancellations_is_replicated (cancellations, job)
              && hzb_cancellations_leader_acknowledges (cancellations, job))))
    job->cancel_acknowledged = TRUE;
  return job->cancel_acknowledged;
}

guint64
hzb_cancellations_acknowledged_revision (HzbCancellations *cancellations)
{
  const GPtrArray *active = cancellations->dependencies.jobs->active;
  guint64 acknowledged = hzb_kv_replica_revision (cancellations->dependencies.kv_replica);

  if (!hzb_ownership_is_loaded_leader (cancellations->dependencies.ownership))
    return 0;
  for (guint i = 0; i < active->len; i++)
    {
      HzbJob *job = active->pdata[i];
      if (job->state != HZB_JOB_CANCELLED)
        continue;
      if (!job->version)
        return 0;
      if (!hzb_cancellations_leader_acknowledges (cancellations, job))
        acknowledged = MIN (acknowledged, job->version - 1);
    }
  return acknowledged;
}
