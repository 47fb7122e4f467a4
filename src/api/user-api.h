/**
 * SECTION: user-api
 * @short_description: submissions, status requests and cancellations of users, on every node
 *
 * Every controller serves users, whether it leads or not. An answer that is not final rests on a replica of the records that is
 * proven to be up to date at the moment of the request. See README.md for the order in which to read the files.
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

/** HzbUserApi: the requests of users that wait for an answer; one for each controller. */
typedef struct _HzbUserApi HzbUserApi;

/** HzbUserApiDependencies: the modules that the user API calls. None is owned, all must outlive it. */
typedef struct
{
  HzbNode *node;                   /**< settings, clock, and the name of this process */
  HzbKvClient *kv;                 /**< takes acceptances and cancellations */
  HzbKvReplica *kv_replica;        /**< proves that the replica of the records is up to date */
  HzbElection *election;           /**< the schema version that every controller reads */
  HzbPeers *peers;                 /**< the leader's counts of tasks, for display only */
  HzbCancellations *cancellations; /**< whether every controller knows a cancellation */
  HzbJobs *jobs;                   /**< the jobs in the replica of the records */
  HzbMachines *machines;           /**< the machine types that a job may run on */
} HzbUserApiDependencies;

/** HzbUserApiCallbacks: what the user API asks of the controller above it. */
typedef struct
{
  /** Whether users are served here as well as at any other node. */
  gboolean (*is_ready) (gpointer user);
  /** Takes a record that was read from the key-value store, as if the replica had shown it. */
  void (*apply_record) (const HzbKvEntry *entry, gpointer user);
} HzbUserApiCallbacks;

/**
 * hzb_user_api_new:
 * @param dependencies (transfer none) copied; the modules in it are not owned
 * @param callbacks (transfer none) copied
 * @param user (nullable) passed to the callbacks
 *
 * @return (transfer full): to be freed with hzb_user_api_free()
 */
HzbUserApi *
hzb_user_api_new (const HzbUserApiDependencies *dependencies, const HzbUserApiCallbacks *callbacks, gpointer user);

/** hzb_user_api_free: answers all requests that wait with 503, and frees the module. */
void hzb_user_api_free (HzbUserApi *api);

/** hzb_user_api_tick: sends what waits to be sent, and answers requests whose time is over. */
void hzb_user_api_tick (HzbUserApi *api);

/**
 * hzb_user_api_request:
 * Answers one request of a user.
 *
 * @param api the module
 * @param http_request (transfer full): answered now or later, never left without an answer
 */
void hzb_user_api_request (HzbUserApi *api, HzbHttpRequest *http_request);
