/**
 * SECTION: controller-wiring
 * @short_description: creates the modules of a controller and connects them with each other
 *
 * A module gets the modules that it calls as a struct of dependencies. It reaches modules that are created after it
 * through callbacks, which look these modules up in the controller at the time of the call.
 */
#pragma once
#include "controller-private.h"

/**
 * hzb_controller_new_node:
 *
 * Returns: (transfer full): the node, without its incarnation, which hzb_controller_new() sets later
 */
HzbNode *hzb_controller_new_node (HzbController *controller);

/**
 * hzb_controller_new_kv_replica:
 *
 * Returns: (transfer full): the replica of the records, connected with the modules of `controller`
 */
HzbKvReplica *hzb_controller_new_kv_replica (HzbController *controller);

/**
 * hzb_controller_new_peers:
 *
 * Returns: (transfer full): the peers module, connected with the modules of `controller`
 */
HzbPeers *hzb_controller_new_peers (HzbController *controller);

/**
 * hzb_controller_new_cancellations:
 *
 * Returns: (transfer full): the cancellations module, connected with the modules of `controller`
 */
HzbCancellations *hzb_controller_new_cancellations (HzbController *controller);

/**
 * hzb_controller_new_reconciliation:
 *
 * Returns: (transfer full): the reconciliation module, connected with the modules of `controller`
 */
HzbReconciliation *hzb_controller_new_reconciliation (HzbController *controller);

/**
 * hzb_controller_new_completed_job_archive:
 *
 * Returns: (transfer full): the module that archives completed jobs, connected with the modules of `controller`
 */
HzbCompletedJobArchive *hzb_controller_new_completed_job_archive (HzbController *controller);

/**
 * hzb_controller_new_records:
 *
 * Returns: (transfer full): the module that keeps the leader's records, connected with the modules of `controller`
 */
HzbRecords *hzb_controller_new_records (HzbController *controller);

/**
 * hzb_controller_new_shard_leases:
 *
 * Returns: (transfer full): the shard-leases module, connected with the modules of `controller`
 */
HzbShardLeases *hzb_controller_new_shard_leases (HzbController *controller);

/**
 * hzb_controller_new_leaseholder:
 *
 * Returns: (transfer full): the leaseholder module, connected with the modules of `controller`
 */
HzbLeaseholder *hzb_controller_new_leaseholder (HzbController *controller);

/**
 * hzb_controller_new_provisioning:
 *
 * Returns: (transfer full): the provisioning module, connected with the modules of `controller`
 */
HzbProvisioning *hzb_controller_new_provisioning (HzbController *controller);

/**
 * hzb_controller_new_worker_api:
 *
 * Returns: (transfer full): the worker API, connected with the modules of `controller`
 */
HzbWorkerApi *hzb_controller_new_worker_api (HzbController *controller);

/**
 * hzb_controller_new_user_api:
 *
 * Returns: (transfer full): the user API, connected with the modules of `controller`
 */
HzbUserApi *hzb_controller_new_user_api (HzbController *controller);

/**
 * hzb_controller_new_admin:
 *
 * Returns: (transfer full): the admin API, connected with the modules of `controller`
 */
HzbAdmin *hzb_controller_new_admin (HzbController *controller);
