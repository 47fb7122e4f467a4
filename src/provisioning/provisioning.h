/**
 * SECTION: provisioning
 * @short_description: carries out in the cloud what the autoscaler decides
 *
 * The leader's requests to the cloud: machine types, scale-out, scale-in and the inventory. The autoscaler decides what
 * to rent and which machines to take out of use; this module sends the requests, drains machines before they are
 * returned, and compares the machines that the leader knows with the cloud's inventory.
 *
 * A machine and its tasks are taken for gone only once the cloud has confirmed it: either it answered the return, or a
 * complete inventory that was asked for late enough does not have the machine.
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

/** HzbProvisioning: the state of the requests to the cloud. */
typedef struct _HzbProvisioning HzbProvisioning;

/** HzbProvisioningDependencies: what the module works with. Nothing is owned; all have to outlive the module. */
typedef struct
{
  HzbNode *node;                     /**< settings and clock */
  HzbCloudClient *cloud;             /**< sends the requests */
  HzbElection *election;             /**< scale-out needs a lease that is provably valid */
  HzbOwnership *ownership;           /**< drops responses to requests of an earlier epoch */
  HzbJobs *jobs;                     /**< tasks of machines that are drained or gone */
  HzbMachines *machines;             /**< gets machines from the cloud, loses those that are gone */
  HzbAutoscaler *autoscaler;         /**< decides what to rent and what to take out of use */
  HzbRecords *records;               /**< drops the records of machines that are gone */
  HzbReconciliation *reconciliation; /**< holds scale-out back after a cold start */
} HzbProvisioningDependencies;

/** hzb_provisioning_new: `dependencies`: copied. Returns: (transfer full) */
HzbProvisioning *hzb_provisioning_new (const HzbProvisioningDependencies *dependencies);

/** hzb_provisioning_free: no response to a request of the module may come afterwards. */
void hzb_provisioning_free (HzbProvisioning *provisioning);

/** hzb_provisioning_reset: forgets requests in flight; called when an ownership begins. */
void hzb_provisioning_reset (HzbProvisioning *provisioning);

/** hzb_provisioning_tick: sends what is due; on a node that does not lead, only the request for machine types. */
void hzb_provisioning_tick (HzbProvisioning *provisioning, struct timespec now);

/**
 * hzb_provisioning_was_scaled_in:
 * `machine`: its name
 *
 * Returns: whether the cloud has confirmed in the last 15 minutes that the machine is gone. A heartbeat of such a
 * machine is a late copy.
 */
gboolean hzb_provisioning_was_scaled_in (HzbProvisioning *provisioning, const char *machine);
