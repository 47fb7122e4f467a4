/**
 * SECTION: user-api
 * @short_description: handles submissions, status requests and cancellations of users, on every node
 *
 * Every controller serves users, whether it is the leader or not. The status of a job that is not terminal is taken
 * from the replica of the records, once the replica is proven to have everything that was recorded before the request
 * arrived. See README.md for the order in which to read the files.
 */
#pragma once
#include "cancellations.h"
#include "election.h"
#include "http-request.h"
#include "jobs.h"
#include "kv-client.h"
#include "kv-replica.h"
#include "machines.h"
#include "node.h"
#include "peers.h"

/** HzbUserApi: the requests of users that wait for a response; one for each controller. */
typedef struct _HzbUserApi HzbUserApi;

/** HzbUserApiDependencies: the modules that the user API calls. None is owned, all must outlive it. */
typedef struct
{
  HzbNode *node;                   /**< settings, clock, and the incarnation of this process */
  HzbKvClient *kv;                 /**< stores acceptances and cancellations */
  HzbKvReplica *kv_replica;        /**< synchronises the replica of the records with the key-value store */
  HzbElection *election;           /**< the schema version that every controller reads */
  HzbPeers *peers;                 /**< the leader's task counts, for display only */
  HzbCancellations *cancellations; /**< whether every controller has acknowledged a cancellation */
  HzbJobs *jobs;                   /**< the jobs in the replica of the records */
  HzbMachines *machines;           /**< the machine types that a job may run on */
} HzbUserApiDependencies;

/** HzbUserApiCallbacks: functions of the controller that the user API calls. All must be set. */
typedef struct
{
  /** Returns TRUE if this node is ready to accept submissions. */
  gboolean (*is_ready) (gpointer user);
  /** Applies a record that was read from the key-value store, as if the replica had delivered it. */
  void (*apply_record) (const HzbKvEntry *entry, gpointer user);
} HzbUserApiCallbacks;

/**
 * hzb_user_api_new:
 * @param dependencies (transfer none) copied; the modules in it are not owned
 * @param callbacks (transfer none) copied
 * @param user (nullable) (not owned) passed to the callbacks
 *
 * @return (transfer full): free with hzb_user_api_free()
 */
HzbUserApi *
hzb_user_api_new (const HzbUserApiDependencies *dependencies, const HzbUserApiCallbacks *callbacks, gpointer user);

/** hzb_user_api_free: responds with 503 to all queued requests, and frees the module. */
void hzb_user_api_free (HzbUserApi *api);

/**
 * hzb_user_api_tick: sends queued submissions, synchronises the replica for queued requests, and answers cancellations
 * that are acknowledged by now or whose deadline has passed.
 */
void hzb_user_api_tick (HzbUserApi *api);

/**
 * hzb_user_api_request:
 * Handles one request of a user.
 *
 * @param api the module
 * @param http_request (transfer full): answered now or later, in every case
 */
void hzb_user_api_request (HzbUserApi *api, HzbHttpRequest *http_request);
