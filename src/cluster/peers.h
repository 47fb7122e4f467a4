/**
 * SECTION: peers
 * @short_description: messages between controllers
 *
 * Once a second each controller exchanges a heartbeat with every other one, and answers what others ask of it. This
 * module sends and receives heartbeats, and answers from what they said: which controllers are reachable, which
 * versions they run, and which cancellations they know. What a heartbeat says of this controller's own cancellations,
 * and the polls of leaseholders, are the business of the modules above, which are called through #HzbPeersCallbacks.
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

/** HzbPeersDependencies: the modules that are used; none is owned, all must outlive the #HzbPeers. */
typedef struct
{
  const HzbNode *node;            /**< this controller */
  HzbKvClient *kv;                /**< asked how long the key-value store has been unresponsive */
  const HzbKvReplica *kv_replica; /**< asked for its revision */
  HzbElection *election;          /**< steps down when a peer knows a newer term */
  const HzbOwnership *ownership;  /**< the leader states task counts once it has loaded its records */
  const HzbJobs *jobs;            /**< for the task counts */
} HzbPeersDependencies;

/** HzbPeersCallbacks: what the modules above contribute. All are set. */
typedef struct
{
  /** Fills in which cancellations this controller knows, and whether it fences itself. */
  void (*fill_heartbeat) (HzbPeerHeartbeat *heartbeat, gpointer user);

  /** Fills in the cancellations that the sender of this request lacks. */
  void (*fill_reply) (const HzbPeerHeartbeat *request, HzbPeerHeartbeat *reply, gpointer user);

  /**
   * Takes the cancellations that a reply lists.
   * Returns: TRUE if this controller now knows all that the reply claims to list
   */
  gboolean (*apply_reply) (const HzbPeerHeartbeat *reply, gpointer user);

  /** Answers the poll of a leaseholder. */
  void (*handle_shard_poll) (HzbHttpRequest *http_request, const cJSON *message, gpointer user);
} HzbPeersCallbacks;

/**
 * hzb_peers_new: copies both structures. `user` is passed to the callbacks, which are not called before the first
 * hzb_peers_tick() or hzb_peers_handle_request().
 *
 * Returns: (transfer full)
 */
HzbPeers *hzb_peers_new (const HzbPeersDependencies *dependencies, const HzbPeersCallbacks *callbacks, gpointer user);

/** hzb_peers_free: must not be called while a heartbeat is in flight. */
void hzb_peers_free (HzbPeers *peers);

/** hzb_peers_tick: sends the heartbeats that are due. */
void hzb_peers_tick (HzbPeers *peers, struct timespec now);

/** hzb_peers_any_reachable: a peer sent a heartbeat in the last 5 s, or there are no peers. */
gboolean hzb_peers_any_reachable (HzbPeers *peers);

/** hzb_peers_any_redirects_workers: a reachable peer has lately redirected workers to the leader. */
gboolean hzb_peers_any_redirects_workers (HzbPeers *peers);

/**
 * hzb_peers_any_lost_workers: a controller, this one included, lately stepped down because no worker sent it a
 * heartbeat.
 */
gboolean hzb_peers_any_lost_workers (HzbPeers *peers);

/**
 * hzb_peers_any_reaches_kv: the key-value store serves a reachable peer, so an outage would concern this controller
 * only.
 */
gboolean hzb_peers_any_reaches_kv (HzbPeers *peers);

/** hzb_peers_unreachable: TRUE also if the settings name no such controller. */
gboolean hzb_peers_unreachable (HzbPeers *peers, const char *node);

/**
 * hzb_peers_incarnation:
 *
 * Returns: (transfer none) (nullable): the process of the reachable controller; NULL if unknown
 */
const char *hzb_peers_incarnation (HzbPeers *peers, const char *node);

/**
 * hzb_peers_schema_version: Returns: the version of records and messages that the controller last stated; 1 if it is
 * unreachable or has stated none
 */
guint hzb_peers_schema_version (HzbPeers *peers, const char *node);

/** hzb_peers_all_support_schema: every peer is reachable and states at least this schema version. */
gboolean hzb_peers_all_support_schema (HzbPeers *peers, guint schema_version);

/** hzb_peers_any_older_schema: a reachable peer states a lower schema version than this process. */
gboolean hzb_peers_any_older_schema (HzbPeers *peers);

/**
 * hzb_peers_all_know_cancellations: every other controller has said that it knows all cancellations up to this
 * revision. So whatever any of them owns, it takes these cancellations into account. A process that replaces one of
 * them reads the records before it owns anything.
 */
gboolean hzb_peers_all_know_cancellations (HzbPeers *peers, guint64 revision);

/** hzb_peers_all_list_cancellations: the replies of every peer list the cancellations that the requester lacks. */
gboolean hzb_peers_all_list_cancellations (HzbPeers *peers);

/** hzb_peers_any_lists_no_cancellations: some peer is of a version that lists no cancellations in replies. */
gboolean hzb_peers_any_lists_no_cancellations (HzbPeers *peers);

/**
 * hzb_peers_current_as_of: whatever cancellations a peer knew at that time, this controller knows too.
 *
 * Returns: when the latest heartbeat was sent whose reply came from a peer that follows the records and listed all
 * that this controller lacked; unset if there was none
 */
struct timespec hzb_peers_current_as_of (HzbPeers *peers);

/**
 * hzb_peers_fenced_revision: all controllers know the cancellations up to this revision, except for at most one, which
 * has had the time to learn of them or to fence itself. Never falls.
 */
guint64 hzb_peers_fenced_revision (HzbPeers *peers);

/**
 * hzb_peers_last_kv_contact: when the key-value store last served the controller, as that one said. Stores it in `at`.
 *
 * Returns: FALSE if that is unknown; `at` is unchanged then
 */
gboolean hzb_peers_last_kv_contact (HzbPeers *peers, const char *node, struct timespec *at);

/** hzb_peers_task_counts: how many tasks of a job are done and running, by the leader's heartbeats; 0 if unknown. */
void hzb_peers_task_counts (HzbPeers *peers, const char *uid, guint *done, guint *running);

/**
 * hzb_peers_message: a new message that identifies this process and has the next number. The caller adds what the kind
 * requires. Returns: (transfer full)
 */
cJSON *hzb_peers_message (HzbPeers *peers, HzbPeerMessageKind kind);

/** hzb_peers_handle_request: answers a request of another controller, of whatever kind. */
void hzb_peers_handle_request (HzbPeers *peers, HzbHttpRequest *http_request);
