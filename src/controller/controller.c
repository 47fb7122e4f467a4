/* The periodic work of a controller, in the order in which each tick does it. */
#include "controller-private.h"

#define DISPATCH_INTERVAL_S 0.2
#define CONSOLIDATION_INTERVAL_S 1.0

/* A timer that fires late is the first sign that this node has too little processor time. */
static void
note_timer_lag (HzbController *controller, struct timespec now)
{
  if (hzb_time_is_set (controller->last_tick))
    hzb_dispatch_note_lag (controller->dispatch, hzb_time_between (controller->last_tick, now) - HZB_TICK_MS / 1000.0);
  controller->last_tick = now;
}

/* During a rolling upgrade a controller of the new version should lead, since those of the old version are about to be
 * replaced. In tests of upgrades a node may state an older schema version than HZB_SCHEMA_VERSION. */
static gboolean
is_upgraded_before_peers (const HzbController *controller)
{
  return controller->node->schema_version == HZB_SCHEMA_VERSION
         && hzb_election_schema_version (controller->election) < HZB_SCHEMA_VERSION
         && hzb_peers_any_older_schema (controller->peers);
}

static gboolean
may_raise_schema_version (const HzbController *controller)
{
  return hzb_ownership_state (controller->ownership) == HZB_OWNERSHIP_READY
         && controller->node->schema_version == HZB_SCHEMA_VERSION
         && hzb_election_schema_version (controller->election) < HZB_SCHEMA_VERSION
         && hzb_peers_all_support_schema (controller->peers, HZB_SCHEMA_VERSION);
}

void
hzb_controller_dispatch (HzbController *controller, struct timespec now)
{
  controller->dispatch->next_run = hzb_time_plus (now, DISPATCH_INTERVAL_S);
  hzb_dispatch_run (controller->dispatch, now);
}

void
hzb_controller_consolidate_when_due (HzbController *controller, struct timespec now)
{
  if (hzb_time_before (now, controller->next_consolidation))
    return;
  controller->next_consolidation = hzb_time_plus (now, CONSOLIDATION_INTERVAL_S);
  hzb_dispatch_consolidate (controller->dispatch, now);
}

static void
tick_as_leaseholder (HzbController *controller, struct timespec now)
{
  if (!hzb_time_before (now, controller->dispatch->next_run))
    hzb_controller_dispatch (controller, now);
  hzb_controller_consolidate_when_due (controller, now);
}

void
hzb_controller_tick (HzbController *controller)
{
  struct timespec now = hzb_clock_now (controller->clock);

  note_timer_lag (controller, now);
  hzb_kv_client_pump (controller->kv);
  hzb_cloud_client_pump (controller->cloud);
  hzb_kv_replica_tick (controller->kv_replica);

  hzb_election_set_preferred (controller->election, is_upgraded_before_peers (controller));
  hzb_election_tick (controller->election, hzb_kv_replica_is_fresh (controller->kv_replica));
  hzb_controller_check_connectivity (controller);
  hzb_controller_update_ownership (controller, now);
  if (may_raise_schema_version (controller))
    hzb_election_raise_schema_version (controller->election);

  if (hzb_election_is_leader (controller->election))
    hzb_shard_leases_tick (controller->shard_leases, now);
  else
    hzb_leaseholder_tick (controller->leaseholder, now);
  if (hzb_ownership_is_leaseholder (controller->ownership))
    tick_as_leaseholder (controller, now);
  if (hzb_ownership_is_loaded_leader (controller->ownership))
    hzb_leader_maintenance_tick (controller, now);

  hzb_provisioning_tick (controller->provisioning, now);
  hzb_peers_tick (controller->peers, now);
  hzb_cancellations_tick (controller->cancellations, now);
  hzb_user_api_tick (controller->user_api);
  hzb_jobs_compact_tasks (controller->jobs);
}
