/* When a leader steps down because another node would serve better, and whether users are served well here. */
#include "controller-private.h"

#define KV_REACHED_S 2.5 /* the store has answered so lately that it serves this node */
#define KV_LOST_S 5.0    /* the store has not answered for so long that it may refuse this node alone */
#define BACK_OFF_S 20.0  /* before a node that lost its workers stands for election again */
#define LEAST_UNRESPONSIVE_MACHINES 3u

/* So long after its last heartbeat a worker has missed one. */
static double
missed_heartbeat_s (const HzbSettings *settings)
{
  return 1.25 * settings->heartbeat_interval_s + 1.5;
}

static gboolean
sends_heartbeats_here (const HzbMachine *machine)
{
  return hzb_time_is_set (machine->last_heartbeat) && machine->state != HZB_MACHINE_LEASED
         && machine->state != HZB_MACHINE_RETURNING && machine->state != HZB_MACHINE_LEASE_EXPIRED;
}

/* Guards against a leader that only the workers can't reach: all other nodes redirect the workers back to it, until every worker's
 * lease has expired and all work is lost. All machines seldom become unresponsive at once for another reason, and then a change
 * of leader costs little. In a small fleet it does happen, again and again, and each new leader would have to wait for the workers'
 * leases: so after one change for this reason, another one needs a peer that has redirected workers here lately. */
static gboolean
has_lost_all_workers (HzbController *controller)
{
  struct timespec now = hzb_clock_now (controller->clock);
  double missed_s = missed_heartbeat_s (controller->settings);
  guint unresponsive = 0;

  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      const HzbMachine *machine = controller->machines->all->pdata[i];
      if (!sends_heartbeats_here (machine))
        continue;
      if (hzb_time_between (machine->last_heartbeat, now) < missed_s)
        return FALSE;
      unresponsive += machine->verified;
    }
  return unresponsive >= LEAST_UNRESPONSIVE_MACHINES
         && (!hzb_peers_any_lost_workers (controller->peers) || hzb_peers_any_redirects_workers (controller->peers));
}

static void
step_down_without_workers (HzbController *controller)
{
  controller->node->workers_lost_at = hzb_clock_now (controller->clock);
  hzb_election_step_down (controller->election, "no worker's heartbeat comes any more, while all else can be reached");
  hzb_election_back_off (controller->election, BACK_OFF_S);
}

/* In an outage of the key-value store for all, a leader goes on answering workers, so that their leases are renewed. A leader that
 * the store refuses alone, or that is cut off from store and peers, steps down, so that another node can lead. */
void
hzb_controller_check_connectivity (HzbController *controller)
{
  double kv_unresponsive_s = hzb_kv_client_unresponsive_s (controller->kv);

  if (!hzb_election_is_leader (controller->election))
    return;
  if (kv_unresponsive_s < KV_REACHED_S && hzb_peers_any_reachable (controller->peers)
      && controller->settings->peers->len && has_lost_all_workers (controller))
    {
      step_down_without_workers (controller);
      return;
    }
  if (kv_unresponsive_s < KV_LOST_S)
    return;
  if (hzb_peers_any_reaches_kv (controller->peers))
    hzb_election_step_down (controller->election, "the key-value store refuses this node alone");
  else if (!hzb_peers_any_reachable (controller->peers))
    hzb_election_step_down (controller->election, "neither the key-value store nor a peer can be reached");
}

/* In an outage of the key-value store for all it makes no difference which node a user asks. A node that is refused alone, or cut
 * off from its peers as well, says that it is not ready, since another one serves users better. */
gboolean
hzb_controller_ready (HzbController *controller)
{
  if (!controller->machines->types || !hzb_kv_replica_revision (controller->kv_replica))
    return FALSE;
  return !hzb_kv_replica_store_unresponsive (controller->kv_replica)
         || (hzb_peers_any_reachable (controller->peers) && !hzb_peers_any_reaches_kv (controller->peers));
}
