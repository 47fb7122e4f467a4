/**
 * SECTION: peers
 * @short_description: messages between controllers
 *
 * Once a second each controller exchanges a heartbeat with every other one, and answers the requests of its peers. This
 * module sends and receives heartbeats and keeps the state that they carry: which controllers are reachable, which
 * versions they run, and which cancellations they know. Other modules contribute the cancellations of this controller
 * to heartbeats and answer the polls of leaseholders; they are called through #HzbPeersCallbacks.
 *
 * A peer is "reachable" if its last heartbeat is at most 3 s old, unless a function says otherwise.
 */
#pragma once
#include "election.h"
#include "http-request.h"
#include "jobs.h"
#include "kv-replica.h"
#include "node.h"
#include "ownership.h"
#include "peer-heartbeat.h"
#include "peer-messages.h"

/** HzbPeers: opaque. */
typedef struct _HzbPeers HzbPeers;

/** HzbPeersDependencies: modules that #HzbPeers uses; none is owned, and all must outlive it. */
typedef struct
{
  const HzbNode *node;            /**< this controller */
  HzbKvClient *kv;                /**< tells how long the key-value store has been unresponsive */
  const HzbKvReplica *kv_replica; /**< provides its revision */
  HzbElection *election;          /**< is made to step down when a peer knows a newer term */
  const HzbOwnership *ownership;  /**< tells whether this controller is a leader with loaded records */
  const HzbJobs *jobs;            /**< provides the task counts */
} HzbPeersDependencies;

/** HzbPeersCallbacks: functions that the caller provides. None may be NULL. */
typedef struct
{
  /** Adds to a heartbeat which cancellations this controller knows, and whether it fences itself. */
  void (*fill_heartbeat) (HzbPeerHeartbeat *heartbeat, gpointer user);

  /** Adds to a reply the cancellations that the sender of the request lacks. */
  void (*fill_reply) (const HzbPeerHeartbeat *request, HzbPeerHeartbeat *reply, gpointer user);

  /**
   * Applies the cancellations that a reply lists.
   * Returns: TRUE if this controller now knows all cancellations up to the revision that the reply states
   */
  gboolean (*apply_reply) (const HzbPeerHeartbeat *reply, gpointer user);

  /** Answers the poll of a leaseholder. */
  void (*handle_shard_poll) (HzbHttpRequest *http_request, const cJSON *message, gpointer user);
} HzbPeersCallbacks;

/**
 * hzb_peers_new: copies both structures. `user` is passed to the callbacks and is not owned. No callback is called
 * before the first hzb_peers_tick() or hzb_peers_handle_request().
 *
 * Returns: (transfer full)
 */
HzbPeers *hzb_peers_new (const HzbPeersDependencies *dependencies, const HzbPeersCallbacks *callbacks, gpointer user);

/** hzb_peers_free: frees the structure. No heartbeat may be in flight. */
void hzb_peers_free (HzbPeers *peers);

/** hzb_peers_tick: sends the heartbeats that are due at the time `now`. */
void hzb_peers_tick (HzbPeers *peers, struct timespec now);

/** hzb_peers_any_reachable: Returns: TRUE if a peer sent a heartbeat in the last 5 s, or if there are no peers */
gboolean hzb_peers_any_reachable (HzbPeers *peers);

/** hzb_peers_any_redirects_workers: Returns: TRUE if a reachable peer has recently redirected workers to the leader */
gboolean hzb_peers_any_redirects_workers (HzbPeers *peers);

/**
 * hzb_peers_any_lost_workers:
 *
 * Returns: TRUE if a controller, this one included, recently stepped down because no worker sent it heartbeats
 */
gboolean hzb_peers_any_lost_workers (HzbPeers *peers);

/**
 * hzb_peers_any_reaches_kv:
 *
 * Returns: TRUE if the key-value store serves a reachable peer; if the store does not serve this controller, the outage
 * concerns this controller only
 */
gboolean hzb_peers_any_reaches_kv (HzbPeers *peers);

/** hzb_peers_is_unreachable: Returns: TRUE if the controller is unreachable, or if the settings name no such peer */
gboolean hzb_peers_is_unreachable (HzbPeers *peers, const char *node);

/**
 * hzb_peers_incarnation:
 *
 * Returns: (transfer none) (nullable): the incarnation of a controller's current process; NULL if the controller is
 * unreachable or unknown
 */
const char *hzb_peers_incarnation (HzbPeers *peers, const char *node);

/**
 * hzb_peers_schema_version: Returns: the schema version that the controller last stated; 1 if the controller is
 * unreachable or has stated none
 */
guint hzb_peers_schema_version (HzbPeers *peers, const char *node);

/** hzb_peers_all_support_schema: Returns: TRUE if every peer is reachable and states at least this schema version */
gboolean hzb_peers_all_support_schema (HzbPeers *peers, guint schema_version);

/** hzb_peers_any_older_schema: Returns: TRUE if a reachable peer states a lower schema version than this process */
gboolean hzb_peers_any_older_schema (HzbPeers *peers);

/**
 * hzb_peers_all_know_cancellations: if TRUE, the other controllers apply these cancellations to everything that they
 * own. A process that replaces one of them reads the records before it owns a shard.
 *
 * Returns: TRUE if every other controller has stated that it knows all cancellations up to this revision
 */
gboolean hzb_peers_all_know_cancellations (HzbPeers *peers, guint64 revision);

/**
 * hzb_peers_all_list_cancellations:
 *
 * Returns: TRUE if every peer runs a version whose replies list the cancellations that the requester lacks
 */
gboolean hzb_peers_all_list_cancellations (HzbPeers *peers);

/**
 * hzb_peers_any_lists_no_cancellations:
 *
 * Returns: TRUE if a peer has sent a heartbeat of a version whose replies list no cancellations
 */
gboolean hzb_peers_any_lists_no_cancellations (HzbPeers *peers);

/**
 * hzb_peers_current_as_of: gets the time as of which peers have told this controller all cancellations. A reply
 * counts if its sender follows the records and it listed all cancellations that this controller lacked. This controller
 * knows all cancellations that the answering peer knew at the returned time.
 *
 * Returns: when the latest heartbeat with such a reply was sent; unset if there was none
 */
struct timespec hzb_peers_current_as_of (HzbPeers *peers);

/**
 * hzb_peers_fenced_revision: Returns: the revision up to which all controllers know the cancellations, except for at
 * most one, which has learned of them too or has fenced itself. Never decreases.
 */
guint64 hzb_peers_fenced_revision (HzbPeers *peers);

/**
 * hzb_peers_last_kv_contact: stores in `at` when the key-value store last served the controller `node`, as that
 * controller stated in its last heartbeat.
 *
 * Returns: FALSE if the time is unknown; `at` is unchanged then
 */
gboolean hzb_peers_last_kv_contact (HzbPeers *peers, const char *node, struct timespec *at);

/** hzb_peers_task_counts: stores the task counts of a job from the leader's heartbeats; 0 if unknown. */
void hzb_peers_task_counts (HzbPeers *peers, const char *uid, guint *done, guint *running);

/**
 * hzb_peers_new_message: creates a message that identifies this process and has the next number. The caller adds the
 * fields of the message kind.
 *
 * Returns: (transfer full)
 */
cJSON *hzb_peers_new_message (HzbPeers *peers, HzbPeerMessageKind kind);

/** hzb_peers_handle_request: answers a heartbeat or a shard poll of another controller. */
void hzb_peers_handle_request (HzbPeers *peers, HzbHttpRequest *http_request);
