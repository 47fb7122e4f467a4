/* Ties the parts together: the replica of the records of durable records, leadership, and what an owner does over time. */
#pragma once
#include "admin.h"
#include "autoscaler.h"
#include "cancellations.h"
#include "cloud-client.h"
#include "completed-job-archive.h"
#include "dispatch.h"
#include "election.h"
#include "http.h"
#include "kv-client.h"
#include "kv-protocol.h"
#include "kv-replica.h"
#include "leader-maintenance.h"
#include "leaseholder.h"
#include "metrics.h"
#include "peers.h"
#include "provisioning.h"
#include "reconciliation.h"
#include "records.h"
#include "shard-leases.h"
#include "user-api.h"
#include "worker-api.h"

#define HZB_KEY_REPLICATED "hzb/a/"
#define HZB_KEY_OWNER "hzb/x/"
#define HZB_KEY_FLUSH "hzb/x/flush"
#define HZB_KEY_SETTINGS "hzb/a/settings"

#define HZB_TICK_MS 50

/* Of records and messages. 1: the version before; it says none. 2: cancellations are acknowledged by the owner, and
 * services can be accepted. Nothing that a version 1 would misread is written while one may be about. */
#define HZB_SCHEMA_VERSION 2

/* What this node does as owner of the shard. */
typedef enum
{
  HZB_OWNERSHIP_NONE,
  HZB_OWNERSHIP_LEASEHOLDER, /* holds a shard that the leader leased to it */
  HZB_OWNERSHIP_LOADING,     /* elected, reads progress and machines */
  HZB_OWNERSHIP_RECOVERING,  /* some machines have not answered under our term */
  HZB_OWNERSHIP_READY
} HzbOwnershipState;

struct _HzbController
{
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
  char *incarnation;
  guint schema_version; /* of records and messages, that this process says it reads */
  HzbPeers *peers;
  HzbProvisioning *provisioning;
  HzbReconciliation *reconciliation;

  HzbHttpServer *api_server, *peer_server; /* NULL in tests: for what they count */

  HzbKvReplica *kv_replica;
  gboolean load_saw_leader; /* the reading of all records under way has shown who leads */

  HzbOwnershipState ownership;
  guint64 ownership_epoch; /* told apart: answers to an earlier ownership are dropped */
  char *owner_load_cursor;
  gboolean owner_page_asked;
  struct timespec next_owner_page;
  struct timespec last_tick;    /* the timer's */
  struct timespec lost_workers; /* when this node last stepped down because no worker reported */
  struct timespec redirected;   /* when a worker was last sent to the leader from here */
  struct timespec owner_since, next_scan, next_plan, next_dispatch, next_summary;
};

HzbController *hzb_controller_new (HzbSettings *settings, HzbClock *clock, HzbTransport *transport, guint32 seed);
void hzb_controller_free (HzbController *controller);
void hzb_controller_tick (HzbController *controller);
void hzb_controller_request (HzbHttpRequest *http_request, gpointer data); /* users and workers */
gboolean hzb_controller_ready (HzbController *controller);
gboolean hzb_controller_kv_unresponsive (HzbController *controller);
void hzb_controller_apply_record (HzbController *controller, const HzbKvEntry *item);
void hzb_controller_record_completion (HzbController *controller, HzbJob *job); /* all its tasks have finished */

/* What an answer belongs to: of an earlier ownership it is dropped. */
typedef struct
{
  HzbController *controller;
  guint64 epoch;
  gpointer data;
} HzbEpochCall;

HzbEpochCall *hzb_epoch_call_new (HzbController *controller, gpointer data);

/** hzb_controller_begin_leased: this node owns a shard that the leader leased to it. */
void hzb_controller_begin_leased (HzbController *controller, guint64 fencing_token);

/** hzb_controller_end_leased: no more. Does nothing if it was not a leaseholder. */
void hzb_controller_end_leased (HzbController *controller, const char *why);

/** hzb_controller_recovered: every machine on record has answered the new leader, or is gone. */
void hzb_controller_recovered (HzbController *controller);
