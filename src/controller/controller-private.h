/**
 * SECTION: controller-private
 * @short_description: the modules of a controller
 *
 * Included by the files of this folder, and by tests that look at a module of a running controller. Other modules are given
 * what they need when they are built, see controller-wiring.c.
 */
#pragma once
#include "admin.h"
#include "autoscaler.h"
#include "cancellations.h"
#include "cloud-client.h"
#include "completed-job-archive.h"
#include "controller.h"
#include "dispatch.h"
#include "election.h"
#include "http-server.h"
#include "kv-client.h"
#include "kv-protocol.h"
#include "kv-replica.h"
#include "leader-maintenance.h"
#include "leaseholder.h"
#include "metrics.h"
#include "node.h"
#include "ownership.h"
#include "peers.h"
#include "provisioning.h"
#include "reconciliation.h"
#include "records.h"
#include "shard-leases.h"
#include "user-api.h"
#include "worker-api.h"

struct _HzbController
{
  HzbNode *node;
  HzbSettings *settings;
  HzbClock *clock;
  HzbTransport *transport;
  GRand *rand;
  HzbKvClient *kv;
  HzbCloudClient *cloud;
  HzbElection *election;
  HzbJobs *jobs;
  HzbMachines *machines;
  HzbDispatch *dispatch;
  HzbAutoscaler *autoscaler;
  HzbShard *shard;
  HzbUserApi *api;
  HzbCancellations *cancellations;
  HzbShardLeases *shard_leases;
  HzbLeaseholder *leaseholder;
  HzbRecords *records;
  HzbCompletedJobArchive *completed_job_archive;
  HzbMetrics *metrics;
  guint64 settings_version; /* of the operators' settings */
  gboolean lease_shards;
  HzbPeers *peers;
  HzbProvisioning *provisioning;
  HzbReconciliation *reconciliation;

  HzbHttpServer *api_server, *peer_server; /* NULL in tests: for what they count */

  HzbKvReplica *kv_replica;
  gboolean load_saw_leader; /* the reading of all records under way has shown who leads */

  HzbOwnership *ownership;
  char *owner_load_cursor;
  gboolean owner_page_asked;
  struct timespec next_owner_page;
  struct timespec last_tick; /* the timer's */
  struct timespec next_plan, next_summary;
};

extern const HzbKvReplicaFuncs hzb_controller_replica_funcs;

void hzb_controller_apply_record (HzbController *controller, const HzbKvEntry *item);

/** hzb_controller_begin_leased: this node owns a shard that the leader leased to it. */
void hzb_controller_begin_leased (HzbController *controller, guint64 fencing_token);

/** hzb_controller_end_leased: no more. Does nothing if it was not a leaseholder. */
void hzb_controller_end_leased (HzbController *controller, const char *why);

/** hzb_controller_recovered: every machine on record has answered the new leader, or is gone. */
void hzb_controller_recovered (HzbController *controller);
