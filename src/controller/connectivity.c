/* Decides from what this node can reach whether it steps down as leader, so that a better connected node can lead, and
 * whether it is ready to serve users. */
#include "controller-private.h"

#define KV_RESPONSIVE_S 2.5   /* the key-value store serves this node if it answered within this time */
#define KV_UNRESPONSIVE_S 5.0 /* after this time without an answer the store may be refusing only this node */
#define BACK_OFF_S 20.0       /* pause in campaigning of a leader that stepped down because it lost all workers */
#define MIN_UNRESPONSIVE_MACHINES 3u /* with fewer, the loss of all workers is not assumed */

/* A heartbeat counts as missed after this number of heartbeat intervals plus this margin. */
#define HEARTBEAT_INTERVALS 1.25
#define HEARTBEAT_MARGIN_S 1.5

/* Returns: the time in seconds since a worker's last heartbeat after which its next heartbeat counts as missed. */
static double
heartbeat_timeout_s (const HzbSettings *settings)
{
  return HEARTBEAT_INTERVALS * settings->heartbeat_interval_s + HEARTBEAT_MARGIN_S;
}

/* Returns: whether this node should receive heartbeats of the machine's worker. The worker of a leased machine sends
 * them to the leaseholder; a machine that is being returned, or whose worker's lease has expired, may have stopped. */
static gboolean
is_heartbeat_expected (const HzbMachine *machine)
{
  return hzb_time_is_set (machine->last_heartbeat) && machine->state != HZB_MACHINE_LEASED
         && machine->state != HZB_MACHINE_RETURNING && machine->state != HZB_MACHINE_LEASE_EXPIRED;
}

/* Detects a leader that the other controllers can reach but the workers cannot. The other controllers redirect the
 * workers back to this leader, until every worker's lease has expired and all work is lost. All machines rarely become
 * unresponsive at once for another reason, and a change of leader then costs little. In a small fleet, however, such
 * false alarms recur, and each new leader would have to wait for the workers' leases. After one change of leader for
 * this reason, a second change therefore requires that a peer has recently redirected workers to this node. Only
 * machines that have sent a heartbeat under this leader's fencing token count as unresponsive. */
static gboolean
has_lost_all_workers (HzbController *controller)
{
  struct timespec now = hzb_clock_now (controller->clock);
  double timeout_s = heartbeat_timeout_s (controller->settings);
  guint unresponsive = 0;

  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      const HzbMachine *machine = controller->machines->all->pdata[i];
      if (!is_heartbeat_expected (machine))
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

/* While the key-value store serves no controller, the leader keeps answering workers, so that their leases are renewed.
 * The leader steps down, so that another node can lead, if the store serves a peer but not this node, or if this node
 * reaches neither the store nor a peer. A leader that has lost all its workers steps down too. */
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

/* While the key-value store serves no controller, every node serves users equally well, so this node stays ready. This
 * node is not ready if the store serves a peer but not this node, or if this node reaches neither the store nor a peer,
 * because another node then serves users better. It is not ready either before it has the machine types and a loaded
 * replica of the records. */
gboolean
hzb_controller_is_ready (HzbController *controller)
{
  if (!controller->machines->types || !hzb_kv_replica_revision (controller->kv_replica))
    return FALSE;
  return !hzb_kv_replica_store_unresponsive (controller->kv_replica)
         || (hzb_peers_any_reachable (controller->peers) && !hzb_peers_any_reaches_kv (controller->peers));
}
