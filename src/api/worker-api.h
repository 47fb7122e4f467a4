/**
 * SECTION: worker-api
 * @short_description: heartbeats of workers in, commands out
 *
 * Answers the heartbeats of the machines that this node decides about, as the leader or as the leaseholder of a shard. The
 * answer to a heartbeat is the only place from which commands are sent to a worker. worker-api.c is the table of contents;
 * README.md names the file of each step.
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

/** HzbWorkerApi: answers heartbeats; one for each controller. */
typedef struct _HzbWorkerApi HzbWorkerApi;

/** HzbWorkerApiDependencies: the modules that the worker API calls. None is owned, all must outlive it. */
typedef struct
{
  HzbNode *node;                   /**< settings, clock, and the time of the last redirect, which the worker API sets */
  HzbElection *election;           /**< whether this node leads, and who does */
  HzbOwnership *ownership;         /**< whether this node decides as leader or as leaseholder */
  HzbCancellations *cancellations; /**< whether this node is self-fenced */
  HzbJobs *jobs;                   /**< the jobs that heartbeats name */
  HzbMachines *machines;           /**< the machines that send heartbeats */
  HzbDispatch *dispatch;           /**< chooses the tasks to start */
  HzbRecords *records;             /**< makes results and new machines durable */
  HzbReconciliation *reconciliation; /**< judges tasks that no record names, after a cold start */
  HzbShardLeases *shard_leases;      /**< the leader's side of shards leased to other controllers */
  HzbLeaseholder *leaseholder;       /**< the shard that this node holds a lease on */
  HzbProvisioning *provisioning;     /**< which machines the cloud has taken back */
} HzbWorkerApiDependencies;

/**
 * hzb_worker_api_new:
 * @param dependencies (transfer none) copied; the modules in it are not owned
 *
 * @return (transfer full): to be freed with hzb_worker_api_free()
 */
HzbWorkerApi *hzb_worker_api_new (const HzbWorkerApiDependencies *dependencies);

/** hzb_worker_api_free: frees the module; no heartbeat is ever left unanswered, so nothing is cut short. */
void hzb_worker_api_free (HzbWorkerApi *api);

/**
 * hzb_worker_api_heartbeat:
 * Answers one heartbeat: 200 with the machine's fencing token and commands; 421 with the name of the node that decides about
 * the machine; 400 if the body is malformed; 503 if this node must not answer now or the heartbeat is an old one.
 *
 * @param api the module
 * @param http_request (transfer full): answered before the function returns
 */
void hzb_worker_api_heartbeat (HzbWorkerApi *api, HzbHttpRequest *http_request);
