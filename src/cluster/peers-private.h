/**
 * SECTION: peers-private
 * @short_description: the state that the source files of peers.h share
 */
#pragma once
#include "peer-knowledge.h"
#include "peer-senders.h"
#include "peer-table.h"
#include "peers.h"
#include "task-count-table.h"

/** _HzbPeers: the state behind peers.h. */
struct _HzbPeers
{
  HzbPeersDependencies dependencies; /**< modules that are used, none owned */
  HzbPeersCallbacks callbacks;       /**< functions of the caller */
  gpointer user;                     /**< passed to the callbacks */
  HzbPeerTable table;                /**< the state of each peer */
  HzbPeerSenders senders;            /**< decides which requests are accepted */
  HzbPeerKnowledge knowledge;        /**< tracks which cancellations the peers know */
  HzbTaskCountTable *task_counts;    /**< (owned): from the leader's heartbeats */
  guint64 highest_known_term;        /**< highest term in the heartbeats of all peers */
  guint64 started_ms;                /**< when this process started, in milliseconds since the Unix epoch */
  guint64 last_message_number;       /**< number of this process's last message to a peer */
  struct timespec next_heartbeat;    /**< when the next heartbeats are due */
  struct timespec current_as_of;     /**< see hzb_peers_current_as_of() */
};

/** hzb_peers_is_recent: Returns: TRUE if `at` is set and less than the given seconds ago */
gboolean hzb_peers_is_recent (const HzbPeers *peers, struct timespec at, double seconds);

/**
 * hzb_peers_this_node_lost_workers:
 *
 * Returns: TRUE if this controller stepped down in the last 120 s because no worker sent it heartbeats
 */
gboolean hzb_peers_this_node_lost_workers (const HzbPeers *peers);
