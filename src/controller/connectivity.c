/* Decides from what this node can reach whether it steps down as leader, so that a better connected node can lead, and
 * whether it is ready to serve users. */
#include "controller-private.h"

#define KV_RESPONSIVE_S 2.5          /* the key-value store serves this node if it answered within this time */
#define KV_UNRESPONSIVE_S 5.0        /* after this time without an answer the store may be refusing only this node */
#define BACK_OFF_S 20.0              /* before a node that lost its workers campaigns again */
#define MIN_UNRESPONSIVE_MACHINES 3u /* with fewer, the loss of all workers is not assumed */

/* Returns: seconds after a worker's last heartbeat at which it has missed the next one. */
static double
heartbeat_timeout_s (const HzbSettings *settings)
{
  return 1.25 * settings->heartbeat_interval_s + 1.5;
}

static gboolean
sends_heartbeats_here (const HzbMachine *machine)
{
  return hzb_time_is_set (machine->last_heartbeat) && machine->state != HZB_MACHINE_LEASED
         && machine->state != HZB_MACHINE_RETURNING && machine->state != HZB_MACHINE_LEASE_EXPIRED;
}

/* Guards against a leader that the workers cannot reach although the other controllers can: the other controllers
 * redirect the workers back to it until every worker's lease has expired and all work is lost. It is rare that all
 * machines become unresponsive at once for another reason, and then a change of leader costs little. In a small fleet,
 * however, it happens repeatedly, and each new leader would have to wait for the workers' leases. So after one change of
 * leader for this reason, a second one requires that a peer has recently redirected workers to this node. */
static gboolean
has_lost_all_workers (HzbController *controller)
{
  struct timespec now = hzb_clock_now (controller->clock);
  double timeout_s = heartbeat_timeout_s (controller->settings);
  guint unresponsive = 0;

  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      const HzbMachine *machine = controller->machines->all->pdata[i];
      if (!sends_heartbeats_here (machine))
        continue;
      if (hzb_time_between (machine->last_heartbeat, now) < timeout_s)
        return FALSE;
      unresponsive += machine->verified;
    }
  return unresponsive >= MIN_UNRESPONSIVE_MACHINES
         && (!hzb_peers_any_lost_workers (controller->peers) || hzb_peers_any_redirects_workers (controller->peers));
}

static void
step_down_without_workers (HzbController *controller)
{
  controller->node->workers_lost_at = hzb_clock_now (controller->clock);
  hzb_election_step_down (controller->election, "no worker sends heartbeats to this node, although the key-value store "
                                                "and a peer can be reached");
  hzb_election_back_off (controller->election, BACK_OFF_S);
}

/* During an outage of the key-value store for all controllers, the leader keeps answering workers, so that their leases
 * are renewed. A leader that is the only controller without the store, or that reaches neither the store nor a peer,
 * steps down, so that another node can lead. */
void
hzb_controller_check_connectivity (HzbController *controller)
{
  double kv_unresponsive_s = hzb_kv_client_unresponsive_s (controller->kv);

  if (!hzb_election_is_leader (controller->election))
    return;
  if (kv_unresponsive_s < KV_RESPONSIVE_S && hzb_peers_any_reachable (controller->peers)
      && controller->settings->peers->len && has_lost_all_workers (controller))
    {
      step_down_without_workers (controller);
      return;
    }
  if (kv_unresponsive_s < KV_UNRESPONSIVE_S)
    return;
  if (hzb_peers_any_reaches_kv (controller->peers))
    hzb_election_step_down (controller->election, "the key-value store serves a peer but not this node");
  else if (!hzb_peers_any_reachable (controller->peers))
    hzb_election_step_down (controller->election, "neither the key-value store nor a peer can be reached");
}

/* During an outage of the key-value store for all controllers, every node serves users equally well, so this node stays
 * ready. A node that is the only one without the store, or that reaches no peer either, is not ready, since another
 * node serves users better. */
gboolean
hzb_controller_is_ready (HzbController *controller)
{
  if (!controller->machines->types || !hzb_kv_replica_revision (controller->kv_replica))
    return FALSE;
  return !hzb_kv_replica_store_unresponsive (controller->kv_replica)
         || (hzb_peers_any_reachable (controller->peers) && !hzb_peers_any_reaches_kv (controller->peers));
}
