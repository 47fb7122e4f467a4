/* A cancelled job is confirmed as cancelled only once no controller can act without its cancellation.
 *
 * The record alone does not prove that. A leader that the key-value store refuses may take this for an outage that
 * concerns every controller, while the others are still served; an outage for all that begins a moment later keeps it
 * from being replaced. Such a leader would go on renewing the leases of workers with tasks whose cancellation it can't
 * see, for as long as the outage lasts. So a controller that is to confirm a cancellation asks the leader, with the
 * poll that leaseholders send anyway; that needs no key-value store. The leader takes the cancellation from the request
 * (the record is durable and never changes). The leader acknowledges a cancellation once no task of the job may be on a
 * machine that has not answered under the leader's fencing token, and every leaseholder that was delegated a task of
 * the job has acknowledged the cancellation too.
 *
 * The leader's answer holds if there is no later leader. So the replica of the controller that asks must have all
 * records up to the job's, and the term of the leader that answers must be the highest in there. A later leader reads
 * the record before it owns anything.
 *
 * Where the leader can't be reached, its acknowledgements are read from its flush record, which it writes anyway.
 *
 * None of this is needed where every controller knows the cancellation: each controller stops what it finds of the job,
 * and machines obey controllers only. Controllers list to each other the cancellations that a peer lacks, so that a
 * controller that the key-value store refuses learns of them too. A controller that learns of nothing, because it is
 * stalled or reaches neither the key-value store nor a peer, does not have to be waited for: it fences itself, which
 * means that it answers no worker once it could have missed a cancellation (hzb_cancellations_may_answer_workers()). So
 * some seconds after all others knew, none acts without the cancellation (hzb_peers_fenced_revision()). */
#include "cancellations-private.h"

#define LOG_CAPACITY 4096u /* a peer that lacks older cancellations reads the records */

HzbCancellations *
hzb_cancellations_new (const HzbCancellationsDependencies *dependencies, const HzbCancellationsCallbacks *callbacks,
                       gpointer user)
{
  HzbCancellations *cancellations = g_new0 (HzbCancellations, 1);
  cancellations->uses = *dependencies;
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
hzb_cancellations_replica_has (const HzbCancellations *cancellations, const HzbJob *job)
{
  return job->version && hzb_kv_replica_revision (cancellations->uses.kv_replica) >= job->version;
}

HzbJob *
hzb_cancellations_apply (HzbCancellations *cancellations, const HzbCancellation *cancellation)
{
  return hzb_jobs_apply_end (cancellations->uses.jobs, cancellation->uid, HZB_JOB_CANCELLED, cancellation->n_tasks,
                             cancellation->revision);
}

/* Without this rule, a cancellation could remain unconfirmed for as long as leaders change: each new leader waits anew
 * for the machines that do not answer, and in a large fleet there always are some. A machine obeys controllers only.
 * Each controller that knows the cancellation starts nothing of the job, and answers each heartbeat that shows a task
 * of the job with the command to stop it. So it does not matter where the job's unconfirmed tasks are. One controller
 * that is down, stalled or partitioned does not count once it must have stopped answering workers. */
static gboolean
known_to_every_controller (const HzbCancellations *cancellations, const HzbJob *job)
{
  HzbPeers *peers = cancellations->uses.peers;
  return job->state == HZB_JOB_CANCELLED && job->version
         && (hzb_peers_all_know_cancellations (peers, job->version)
             || job->version <= hzb_peers_fenced_revision (peers));
}

gboolean
hzb_cancellations_leader_acknowledges (HzbCancellations *cancellations, HzbJob *job)
{
  if (known_to_every_controller (cancellations, job))
    return TRUE;
  if (!hzb_ownership_leader_loaded (cancellations->uses.ownership) || job->state != HZB_JOB_CANCELLED)
    return FALSE;
  if (!job->tasks)
    return TRUE; /* no task of the job was ever released to a machine, or all are gone */
  cancellations->callbacks.announce (job, cancellations->user);
  return !job->unconfirmed && cancellations->callbacks.all_leaseholders_acknowledged (job, cancellations->user);
}

gboolean
hzb_cancellations_acknowledged (HzbCancellations *cancellations, HzbJob *job)
{
  if (!job->cancel_acknowledged
      && (known_to_every_controller (cancellations, job)
          || (hzb_election_leading (cancellations->uses.election) && hzb_cancellations_replica_has (cancellations, job)
              && hzb_cancellations_leader_acknowledges (cancellations, job))))
    job->cancel_acknowledged = TRUE;
  return job->cancel_acknowledged;
}

guint64
hzb_cancellations_acknowledged_revision (HzbCancellations *cancellations)
{
  const GPtrArray *active = cancellations->uses.jobs->active;
  guint64 acknowledged = hzb_kv_replica_revision (cancellations->uses.kv_replica);

  if (!hzb_ownership_leader_loaded (cancellations->uses.ownership))
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
