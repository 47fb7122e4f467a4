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
  HzbPeersDependencies uses;      /**< not owned */
  HzbPeersCallbacks callbacks;    /**< upwards */
  gpointer user;                  /**< for the callbacks */
  HzbPeerTable table;             /**< what is known of each peer */
  HzbPeerSenders senders;         /**< which requests are accepted */
  HzbPeerKnowledge knowledge;     /**< which cancellations the peers know */
  HzbTaskCountTable *task_counts; /**< (owned): by the leader's heartbeats */
  guint64 highest_known_term;     /**< by the heartbeats of all peers */
  guint64 started_ms;             /**< when this process started, in milliseconds of the time of day */
  guint64 number;                 /**< of this process's last message */
  struct timespec next_heartbeat; /**< when heartbeats are due */
  struct timespec current_as_of;  /**< see hzb_peers_current_as_of() */
};

/** hzb_peers_happened_lately: `at` is set, and less than so many seconds ago. */
gboolean hzb_peers_happened_lately (const HzbPeers *peers, struct timespec at, double seconds);

/** hzb_peers_this_node_lost_workers: not long ago this controller stepped down because no worker sent it a heartbeat.
 * */
gboolean hzb_peers_this_node_lost_workers (const HzbPeers *peers);
