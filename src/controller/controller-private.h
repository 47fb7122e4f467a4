/**
 * SECTION: controller-private
 * @short_description: the modules of a controller, and the functions that the files of this folder share
 *
 * Included by the files of this folder, and by tests that examine a module of a running controller. The modules
 * themselves do not include this header: controller-wiring.c passes them the modules that they call.
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

/** HzbController: all modules of a controller. controller-lifecycle.c creates and frees them. */
struct _HzbController
{
  HzbNode *node;           /**< this process: its settings, its incarnation and its schema version */
  HzbSettings *settings;   /**< not owned */
  HzbClock *clock;         /**< not owned */
  HzbTransport *transport; /**< not owned */
  GRand *rand;             /**< random numbers; hzb_controller_new() takes the seed, so that tests are reproducible */
  HzbMetrics *metrics;     /**< counters and latencies of received requests */

  HzbKvClient *kv;          /**< the client of the key-value store */
  HzbKvReplica *kv_replica; /**< the replica of the records that every controller follows */
  HzbCloudClient *cloud;    /**< the client of the cloud */

  HzbJobs *jobs;             /**< all replicated jobs, and the tasks that this controller owns */
  HzbMachines *machines;     /**< the machines of the shard that this controller owns */
  HzbDispatch *dispatch;     /**< decides which task starts on which machine */
  HzbAutoscaler *autoscaler; /**< decides how many machines of which kinds to rent */
  HzbShard *shard;           /**< (nullable) the shard that this controller owns, the same as jobs->shard; NULL: none */

  HzbOwnership *ownership;                       /**< whether this node owns a shard, as leader or as leaseholder */
  HzbElection *election;                         /**< which controller leads, and in which term */
  HzbPeers *peers;                               /**< messages from and to the other controllers */
  HzbCancellations *cancellations;               /**< whether a cancellation may be confirmed to its user */
  HzbReconciliation *reconciliation;             /**< verdicts about jobs after a cold start */
  HzbRecords *records;                           /**< the leader's durable records, which the next leader reads */
  HzbCompletedJobArchive *completed_job_archive; /**< moves records of old completed jobs to the archive */
  HzbShardLeases *shard_leases;                  /**< on the leader: the shards that are leased to other controllers */
  HzbLeaseholder *leaseholder;                   /**< on a leaseholder: the shard that the leader has leased to it */
  HzbProvisioning *provisioning;                 /**< rents machines from the cloud and returns them */

  HzbWorkerApi *worker_api; /**< answers workers */
  HzbUserApi *user_api;     /**< answers users */
  HzbAdmin *admin;          /**< answers operators */

  gboolean leasing_enabled; /**< setting of the admin API; FALSE: the leader leases no shards and keeps all machines */

  gboolean load_shows_leader;        /**< the current load of the replica has read a record of a leader with a lease */
  char *leader_records_cursor;       /**< key of the leader's record that was read last; NULL: none has been read */
  gboolean leader_records_requested; /**< a request for a page of the leader's records is in flight */
  struct timespec next_leader_records_request; /**< earliest time of the next request after a failed request */

  struct timespec last_tick;          /**< when hzb_controller_tick() was last called */
  struct timespec next_consolidation; /**< when hzb_dispatch_consolidate() is called next */
  struct timespec next_summary;       /**< when the summary of the fleet is logged next */
};

/** hzb_controller_replica_callbacks: callbacks of the replica of the records; their user data is the controller. */
extern const HzbKvReplicaCallbacks hzb_controller_replica_callbacks;

/**
 * hzb_controller_apply_record: passes a replicated record to the module that keeps it.
 * `entry`: (transfer none): the record as the key-value store has it; without a value if it was deleted
 */
void hzb_controller_apply_record (HzbController *controller, const HzbKvEntry *entry);

/** hzb_controller_check_connectivity: makes the leader step down if another node can serve the cluster better. */
void hzb_controller_check_connectivity (HzbController *controller);

/**
 * hzb_controller_update_ownership: begins the ownership of the leader's shard after this node was elected, and ends it
 * after this node lost the leadership.
 */
void hzb_controller_update_ownership (HzbController *controller, struct timespec now);

/** hzb_controller_dispatch: runs the dispatcher now, and schedules its next run. */
void hzb_controller_dispatch (HzbController *controller, struct timespec now);

/** hzb_controller_consolidate_when_due: moves tasks off half-empty scale-in candidates, once a second. */
void hzb_controller_consolidate_when_due (HzbController *controller, struct timespec now);

/**
 * hzb_controller_begin_shard_lease: makes this node the leaseholder of a shard that the leader has leased to it.
 * `fencing_token`: the fencing token of the shard
 */
void hzb_controller_begin_shard_lease (HzbController *controller, guint64 fencing_token);

/**
 * hzb_controller_end_shard_lease: ends the ownership of the leased shard. Does nothing if this node is not a
 * leaseholder.
 * `reason`: the reason that is logged
 */
void hzb_controller_end_shard_lease (HzbController *controller, const char *reason);

/**
 * hzb_controller_finish_recovery: ends the leader's recovery. Called once every machine on record has sent a heartbeat
 * under this leader's term, or is gone.
 */
void hzb_controller_finish_recovery (HzbController *controller);

/**
 * hzb_leader_maintenance_tick: the leader's periodic work on its jobs and machines: expires workers' leases, resolves
 * unconfirmed tasks, completes jobs, places tasks and writes records.
 */
void hzb_leader_maintenance_tick (HzbController *controller, struct timespec now);
