/* Creates the modules of a controller, each after the modules that it calls, and frees them. */
#include "controller-private.h"
#include "controller-wiring.h"

/* Returns: (transfer full): a random id of 16 hexadecimal digits, which distinguishes this process from earlier
 * processes of the same node */
static char *
new_incarnation (GRand *rand)
{
  guint32 low = g_rand_int (rand);
  guint32 high = g_rand_int (rand);
  return g_strdup_printf ("%08x%08x", high, low);
}

HzbController *
hzb_controller_new (HzbSettings *settings, HzbClock *clock, HzbTransport *transport, guint32 seed)
{
  HzbController *controller = g_new0 (HzbController, 1);

  controller->settings = settings;
  controller->clock = clock;
  controller->transport = transport;
  controller->rand = g_rand_new_with_seed (seed);
  controller->leasing_enabled = TRUE;
  controller->metrics = hzb_metrics_new ();
  controller->node = hzb_controller_new_node (controller);

  controller->kv = hzb_kv_client_new (transport, clock, settings);
  controller->kv_replica = hzb_controller_new_kv_replica (controller);
  controller->cloud = hzb_cloud_client_new (transport, clock, settings);

  controller->jobs = hzb_jobs_new (clock, settings);
  controller->machines = hzb_machines_new (clock, settings);
  controller->dispatch = hzb_dispatch_new (controller->jobs, controller->machines, settings, controller->rand);
  controller->autoscaler = hzb_autoscaler_new (controller->jobs, controller->machines, settings);

  controller->ownership = hzb_ownership_new (clock);
  controller->election = hzb_election_new (controller->kv, clock, settings, controller->rand);
  controller->node->incarnation = new_incarnation (controller->rand);
  controller->peers = hzb_controller_new_peers (controller);
  controller->cancellations = hzb_controller_new_cancellations (controller);

  controller->reconciliation = hzb_controller_new_reconciliation (controller);
  controller->dispatch->pacing = hzb_reconciliation_pacing (controller->reconciliation);
  controller->completed_job_archive = hzb_controller_new_completed_job_archive (controller);
  controller->records = hzb_controller_new_records (controller);
  controller->shard_leases = hzb_controller_new_shard_leases (controller);
  controller->leaseholder = hzb_controller_new_leaseholder (controller);
  controller->provisioning = hzb_controller_new_provisioning (controller);
  controller->worker_api = hzb_controller_new_worker_api (controller);
  controller->user_api = hzb_controller_new_user_api (controller);
  controller->admin = hzb_controller_new_admin (controller);
  return controller;
}

void
hzb_controller_free (HzbController *controller)
{
  hzb_admin_free (controller->admin);
  hzb_user_api_free (controller->user_api);
  hzb_worker_api_free (controller->worker_api);
  hzb_cancellations_free (controller->cancellations);
  hzb_shard_leases_free (controller->shard_leases);
  hzb_leaseholder_free (controller->leaseholder);
  hzb_peers_free (controller->peers);
  hzb_records_free (controller->records);
  hzb_completed_job_archive_free (controller->completed_job_archive);
  hzb_reconciliation_free (controller->reconciliation);
  hzb_metrics_free (controller->metrics);
  g_free (controller->node->incarnation);
  g_free (controller->node);
  hzb_jobs_end_ownership (controller->jobs);
  hzb_machines_clear (controller->machines);
  hzb_autoscaler_free (controller->autoscaler);
  hzb_dispatch_free (controller->dispatch);
  hzb_jobs_free (controller->jobs);
  hzb_machines_free (controller->machines);
  hzb_shard_free (controller->shard);
  hzb_election_free (controller->election);
  hzb_cloud_client_free (controller->cloud);
  hzb_kv_client_free (controller->kv);
  hzb_provisioning_free (controller->provisioning);
  hzb_kv_replica_free (controller->kv_replica);
  hzb_ownership_free (controller->ownership);
  g_free (controller->leader_records_cursor);
  g_rand_free (controller->rand);
  g_free (controller);
}

void
hzb_controller_set_http_servers (HzbController *controller, HzbHttpServer *api_server, HzbHttpServer *peer_server)
{
  hzb_admin_set_http_servers (controller->admin, api_server, peer_server);
}
