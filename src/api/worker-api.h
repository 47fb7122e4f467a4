/**
 * SECTION: worker-api
 * @short_description: handles the heartbeats of workers and sends them commands
 *
 * This node responds to the heartbeats of the machines that it owns, as the leader or as the leaseholder of a shard.
 * Workers get commands only in the responses to their heartbeats. worker-api.c handles each heartbeat in steps, from
 * its admission to its response; worker-api-private.h lists the steps with their source files.
 */
#pragma once
#include "cancellations.h"
#include "dispatch.h"
#include "election.h"
#include "http-request.h"
#include "leaseholder.h"
#include "node.h"
#include "ownership.h"
#include "provisioning.h"
#include "reconciliation.h"
#include "records.h"
#include "shard-leases.h"

/** HzbWorkerApi: handles heartbeats; one for each controller. */
typedef struct _HzbWorkerApi HzbWorkerApi;

/** HzbWorkerApiDependencies: the modules that the worker API calls. None is owned, all must outlive it. */
typedef struct
{
  HzbNode *node;                   /**< settings, clock, and the time of the last redirect, which the worker API sets */
  HzbElection *election;           /**< whether this node is the leader, and the name of the leader */
  HzbOwnership *ownership;         /**< whether this node owns a shard, as leader or as leaseholder */
  HzbCancellations *cancellations; /**< whether this node is self-fenced, since it may have missed a cancellation */
  HzbJobs *jobs;                   /**< the jobs of the tasks that heartbeats list */
  HzbMachines *machines;           /**< the machines that send heartbeats */
  HzbDispatch *dispatch;           /**< chooses the tasks to start */
  HzbRecords *records;             /**< makes results and new machines durable */
  HzbReconciliation *reconciliation; /**< after a cold start, and for tasks without a record: whether to stop or reap */
  HzbShardLeases *shard_leases;      /**< on the leader: the shards leased to other controllers */
  HzbLeaseholder *leaseholder;       /**< on a leaseholder: the shard that is leased to this node */
  HzbProvisioning *provisioning;     /**< which machines were returned to the cloud */
} HzbWorkerApiDependencies;

/**
 * hzb_worker_api_new:
 * @param dependencies (transfer none) copied; the modules in it are not owned
 *
 * @return (transfer full): free with hzb_worker_api_free()
 */
HzbWorkerApi *hzb_worker_api_new (const HzbWorkerApiDependencies *dependencies);

/** hzb_worker_api_free: frees the module. Every heartbeat is answered synchronously, so no request can be pending. */
void hzb_worker_api_free (HzbWorkerApi *api);

/**
 * hzb_worker_api_heartbeat:
 * Responds to one heartbeat: 200 with the machine's fencing token and commands; 421 with the name of the node that owns
 * the machine; 400 if the body is malformed; 503 if the heartbeat is not newer than the last one from the machine, if
 * its agent epoch has ended, if the machine was returned to the cloud, if this node is self-fenced, or if the worker
 * has seen the fencing token of a later term than this leader's.
 *
 * @param api the module
 * @param http_request (transfer full): answered before the function returns
 */
void hzb_worker_api_heartbeat (HzbWorkerApi *api, HzbHttpRequest *http_request);
