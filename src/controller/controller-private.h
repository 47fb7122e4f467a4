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

/** HzbController: the modules are built and freed in controller-wiring.c. */
struct _HzbController
{
  HzbNode *node;           /**< what this process says of itself */
  HzbSettings *settings;   /**< not owned */
  HzbClock *clock;         /**< not owned */
  HzbTransport *transport; /**< not owned */
  GRand *rand;             /**< seeded, so that tests repeat */
  HzbMetrics *metrics;     /**< counts of requests and answers */

  HzbKvClient *kv;          /**< the client of the key-value store */
  HzbKvReplica *kv_replica; /**< the records that every controller follows */
  HzbCloudClient *cloud;    /**< the client of the cloud */

  HzbJobs *jobs;             /**< all jobs that are replicated, and tasks of those owned here */
  HzbMachines *machines;     /**< of the shard owned here */
  HzbDispatch *dispatch;     /**< which task runs where */
  HzbAutoscaler *autoscaler; /**< how many machines there should be */
  HzbShard *shard;           /**< the shard owned here, NULL: none; the same as jobs->shard */

  HzbOwnership *ownership;                       /**< whether this node owns a shard, and in which role */
  HzbElection *election;                         /**< who leads */
  HzbPeers *peers;                               /**< what is known of the other controllers */
  HzbCancellations *cancellations;               /**< when a cancellation may be confirmed */
  HzbReconciliation *reconciliation;             /**< verdicts after a cold start */
  HzbRecords *records;                           /**< what the leader keeps for the next one */
  HzbCompletedJobArchive *completed_job_archive; /**< moves records of jobs that completed long ago */
  HzbShardLeases *shard_leases;                  /**< the leader's side of leased shards */
  HzbLeaseholder *leaseholder;                   /**< the leaseholder's side */
  HzbProvisioning *provisioning;                 /**< scales the fleet out and in */

  HzbWorkerApi *worker_api; /**< answers workers */
  HzbUserApi *api;          /**< answers users */
  HzbAdmin *admin;          /**< answers operators */

  gboolean lease_shards; /**< operators' setting: FALSE keeps all machines with the leader */

  gboolean load_saw_leader;        /**< the reading of all records under way has shown who leads */
  char *owner_load_cursor;         /**< the last key read of the leader's records; NULL: none yet */
  gboolean owner_page_requested;   /**< a page of the leader's records is on its way */
  struct timespec next_owner_page; /**< not before then is a page asked for again */

  struct timespec last_tick;          /**< when the timer last fired */
  struct timespec next_consolidation; /**< of tasks, off machines that are to be scaled in */
  struct timespec next_summary;       /**< of the fleet, in the log */
};

/** The functions by which the replica of the records hands over what it shows; user data: the controller. */
extern const HzbKvReplicaCallbacks hzb_controller_replica_callbacks;

/** hzb_controller_apply_record: takes a record that is replicated, as the key-value store has it. */
void hzb_controller_apply_record (HzbController *controller, const HzbKvEntry *entry);

/** hzb_controller_check_connectivity: a leader that another node could replace with profit steps down. */
void hzb_controller_check_connectivity (HzbController *controller);

/** hzb_controller_update_ownership: begins or ends the ownership of the leader's shard, as the election says. */
void hzb_controller_update_ownership (HzbController *controller, struct timespec now);

/** hzb_controller_dispatch: places tasks now. */
void hzb_controller_dispatch (HzbController *controller, struct timespec now);

/** hzb_controller_consolidate_when_due: moves tasks off machines that are to be scaled in, once a second. */
void hzb_controller_consolidate_when_due (HzbController *controller, struct timespec now);

/** hzb_controller_begin_leased: this node owns a shard that the leader leased to it. */
void hzb_controller_begin_leased (HzbController *controller, guint64 fencing_token);

/** hzb_controller_end_leased: no more. Does nothing if it was not a leaseholder. */
void hzb_controller_end_leased (HzbController *controller, const char *why);

/** hzb_controller_recovered: every machine on record has answered the new leader, or is gone. */
void hzb_controller_recovered (HzbController *controller);

/** hzb_leader_maintenance_tick: expires workers' leases, resolves unconfirmed tasks, ends jobs, places tasks and writes records. */
void hzb_leader_maintenance_tick (HzbController *controller, struct timespec now);
