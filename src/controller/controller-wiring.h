/**
 * SECTION: controller-wiring
 * @short_description: what each module of a controller is given when it is built
 *
 * A module gets the modules below it as a struct of dependencies. What it needs from modules above it are callbacks, which
 * look these up in the controller when they are called: they may not exist yet when the module is built.
 */
#pragma once
#include "controller-private.h"

/** hzb_controller_new_node: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbNode *hzb_controller_new_node (HzbController *controller);

/** hzb_controller_new_kv_replica: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbKvReplica *hzb_controller_new_kv_replica (HzbController *controller);

/** hzb_controller_new_peers: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbPeers *hzb_controller_new_peers (HzbController *controller);

/** hzb_controller_new_cancellations: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbCancellations *hzb_controller_new_cancellations (HzbController *controller);

/** hzb_controller_new_reconciliation: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbReconciliation *hzb_controller_new_reconciliation (HzbController *controller);

/** hzb_controller_new_completed_job_archive: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbCompletedJobArchive *hzb_controller_new_completed_job_archive (HzbController *controller);

/** hzb_controller_new_records: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbRecords *hzb_controller_new_records (HzbController *controller);

/** hzb_controller_new_shard_leases: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbShardLeases *hzb_controller_new_shard_leases (HzbController *controller);

/** hzb_controller_new_leaseholder: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbLeaseholder *hzb_controller_new_leaseholder (HzbController *controller);

/** hzb_controller_new_provisioning: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbProvisioning *hzb_controller_new_provisioning (HzbController *controller);

/** hzb_controller_new_worker_api: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbWorkerApi *hzb_controller_new_worker_api (HzbController *controller);

/** hzb_controller_new_user_api: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbUserApi *hzb_controller_new_user_api (HzbController *controller);

/** hzb_controller_new_admin: Returns: (transfer full): the module, with the modules of `controller` that it needs */
HzbAdmin *hzb_controller_new_admin (HzbController *controller);
