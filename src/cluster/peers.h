/**
 * SECTION: peers
 * @short_description: messages between controllers
 *
 * Once a second each controller exchanges a heartbeat with every other one. Each message names its sender's process and
 * a number, so that late copies are refused (peers.c).
 */
#pragma once
#include "http-request.h"
#include <cjson/cJSON.h>

typedef struct _HzbController HzbController;
typedef struct _HzbPeers HzbPeers;

/** HzbPeerKind: messages are numbered by kind, and only the newest of a kind is taken. */
typedef enum
{
  HZB_PEER_HEARTBEAT,
  HZB_PEER_SHARD_POLL, /* a leaseholder polls the leader */
  HZB_PEER_N_KINDS
} HzbPeerKind;

HzbPeers *hzb_peers_new (HzbController *controller);
void hzb_peers_free (HzbPeers *peers);

/** hzb_peers_tick: sends heartbeats that are due. */
void hzb_peers_tick (HzbPeers *peers, struct timespec now);

/** hzb_peers_any_reachable: a peer sent a heartbeat in the last seconds, or there are no peers. */
gboolean hzb_peers_any_reachable (HzbPeers *peers);

/** hzb_peers_any_sends_workers: a reachable peer has lately redirected workers to the leader. */
gboolean hzb_peers_any_sends_workers (HzbPeers *peers);

/** hzb_peers_any_lost_workers: a node, this one included, lately stepped down because no worker reported to it. */
gboolean hzb_peers_any_lost_workers (HzbPeers *peers);

/** hzb_peers_any_reaches_kv: a reachable peer is served by the key-value store, so an outage would be ours alone. */
gboolean hzb_peers_any_reaches_kv (HzbPeers *peers);

/** hzb_peers_unreachable: no heartbeat of this node lately, or there is no node of that name. */
gboolean hzb_peers_unreachable (HzbPeers *peers, const char *node);

/** hzb_peers_incarnation: Returns: (nullable): which process of the node was heard lately */
const char *hzb_peers_incarnation (HzbPeers *peers, const char *node);

/** hzb_peers_schema_version: the format of records and messages that the node last stated; 1 if it is unreachable or stated none. */
guint hzb_peers_schema_version (HzbPeers *peers, const char *node);

/** hzb_peers_all_support_schema: every other node is reachable and states at least this format. */
gboolean hzb_peers_all_support_schema (HzbPeers *peers, guint schema_version);

/** hzb_peers_any_older_schema: a reachable peer states a lower format than this process. */
gboolean hzb_peers_any_older_schema (HzbPeers *peers);

/**
 * hzb_peers_all_know_cancellations: every other controller has said that it knows all cancellations up to this revision, by
 * its replica of the records or by peers, so whatever any of them owns, it decides with these in view. A process that takes the place of one
 * of them reads them before it owns anything.
 */
gboolean hzb_peers_all_know_cancellations (HzbPeers *peers, guint64 revision);

/**
 * hzb_peers_all_list_cancellations: every other controller is of a version whose replies to heartbeats name the
 * cancellations that the asker lacks.
 */
gboolean hzb_peers_all_list_cancellations (HzbPeers *peers);

/** hzb_peers_any_lists_no_cancellations: some controller that was heard is of a version whose replies name none. */
gboolean hzb_peers_any_lists_no_cancellations (HzbPeers *peers);

/**
 * hzb_peers_current_as_of: whatever cancellations a peer knew by then are known here: when the heartbeat was sent that a peer
 * which follows the records answered last, naming all that this node lacked. Not set if there was none.
 */
struct timespec hzb_peers_current_as_of (HzbPeers *peers);

/**
 * hzb_peers_fenced_revision: all controllers know the cancellations up to this revision, but for at most one, and that one
 * has had the time to learn of them or to stop answering workers. Never falls.
 */
guint64 hzb_peers_fenced_revision (HzbPeers *peers);

/** hzb_peers_last_kv_contact: when the key-value store last served the node, as it said. Returns: FALSE if unknown. */
gboolean hzb_peers_last_kv_contact (HzbPeers *peers, const char *node, struct timespec *at);

/** hzb_peers_task_counts: how many of a job's tasks are done and running, from the leader's last heartbeat. */
void hzb_peers_task_counts (HzbPeers *peers, const char *uid, guint *done, guint *running);

/** hzb_peers_message: a new message that identifies this process. Returns: (transfer full) */
cJSON *hzb_peers_message (HzbPeers *peers, HzbPeerKind kind);

/** hzb_peers_handle_request: answers a request of another controller, of whatever kind. */
void hzb_peers_handle_request (HzbPeers *peers, HzbHttpRequest *http_request);
