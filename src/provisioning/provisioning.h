/**
 * SECTION: provisioning
 * @short_description: rents machines from the cloud and returns them, as the autoscaler decides
 *
 * The module sends the leader's requests to the cloud: for machine types, for scale-out, for scale-in and for the
 * inventory. The autoscaler decides which machines to rent and which to return. This module sends the requests, drains
 * machines before it returns them, and compares the leader's registry of machines with the cloud's inventory.
 *
 * The leader treats a machine and its tasks as gone only once the cloud has confirmed that the machine is gone. The
 * cloud confirms it either by its response to the return, or by a complete inventory that was requested late enough and
 * does not list the machine.
 */
#pragma once
#include "autoscaler.h"
#include "cloud-client.h"
#include "election.h"
#include "machines.h"
#include "node.h"
#include "ownership.h"
#include "reconciliation.h"
#include "records.h"

/** HzbProvisioning: the state of the module; opaque. */
typedef struct _HzbProvisioning HzbProvisioning;

/** HzbProvisioningDependencies: the modules that provisioning calls. None is owned; all must outlive provisioning. */
typedef struct
{
  HzbNode *node;                     /**< this controller's settings and clock */
  HzbCloudClient *cloud;             /**< sends the requests */
  HzbElection *election;             /**< scale-out requires a valid leader lease */
  HzbOwnership *ownership;           /**< gives requests their epoch; responses of an earlier epoch are dropped */
  HzbJobs *jobs;                     /**< the tasks on machines that are drained or gone */
  HzbMachines *machines;             /**< rented machines are added to it, machines that are gone are removed */
  HzbAutoscaler *autoscaler;         /**< decides which machines to rent and which to return */
  HzbRecords *records;               /**< the records of machines that are gone are dropped from it */
  HzbReconciliation *reconciliation; /**< delays scale-out after a cold start */
} HzbProvisioningDependencies;

/**
 * hzb_provisioning_new:
 * `dependencies`: (transfer none): copied
 *
 * Returns: (transfer full): a module without requests; free it with hzb_provisioning_free()
 */
HzbProvisioning *hzb_provisioning_new (const HzbProvisioningDependencies *dependencies);

/** hzb_provisioning_free: frees the module. No request that the module has sent may be in flight. */
void hzb_provisioning_free (HzbProvisioning *provisioning);

/**
 * hzb_provisioning_reset: clears the state of scale-out, scale-in and inventory requests when this node begins to lead.
 * The caller first begins a new epoch of the ownership, so that responses to requests in flight are dropped.
 */
void hzb_provisioning_reset (HzbProvisioning *provisioning);

/**
 * hzb_provisioning_tick: sends the requests that are due. Called at each tick of the controller. A node that is not the
 * leader requests only the machine types.
 */
void hzb_provisioning_tick (HzbProvisioning *provisioning, struct timespec now);

/**
 * hzb_provisioning_is_machine_gone:
 * `machine`: name of the machine
 *
 * Returns: whether the cloud has confirmed in the last 15 minutes that the machine is gone. A heartbeat that names
 * such a machine is a delayed copy of an earlier heartbeat.
 */
gboolean hzb_provisioning_is_machine_gone (HzbProvisioning *provisioning, const char *machine);
