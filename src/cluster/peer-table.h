/**
 * SECTION: peer-table
 * @short_description: the state of each other controller, as known to this one. Private to this folder
 *
 * The table has one entry for each peer that the settings name. An entry holds the state from the peer's last heartbeat
 * or reply, the state that third controllers have relayed, the sending process of the peer, and the state of the
 * heartbeat that was sent to the peer.
 */
#pragma once
#include "node.h"
#include "peer-messages.h"

/** HzbPeerEntry: the state of one peer. */
typedef struct
{
  const HzbPeer *peer; /**< name and address, from the settings */

  struct timespec last_heartbeat; /**< when the peer's last heartbeat or reply was received; unset: never */
  double kv_unresponsive_s;     /**< seconds since the key-value store last served the peer, as of its last heartbeat */
  gboolean redirects_workers;   /**< the peer recently redirected workers to the leader */
  gboolean lost_workers;        /**< the peer recently stepped down because no worker sent it heartbeats */
  guint schema_version;         /**< schema version that the peer last stated */
  guint64 known_revision;       /**< the peer knows all cancellations up to this revision; 0: its version states none */
  gboolean lists_cancellations; /**< see #HzbPeerHeartbeat */
  gboolean self_fenced;         /**< see #HzbPeerHeartbeat */

  guint64 relayed_started_ms;     /**< start of the process that stated the relayed state; 0: none was relayed */
  guint64 relayed_known_revision; /**< as `known_revision`, relayed by third controllers */
  gboolean relayed_self_fenced;   /**< as `self_fenced`, relayed by third controllers */

  char *incarnation;  /**< (nullable) (owned): the process that sent the last accepted request; NULL: none */
  guint64 started_ms; /**< when that process started, in milliseconds since the Unix epoch */
  guint64 last_number[HZB_PEER_N_KINDS]; /**< number of that process's last accepted request of each kind */
  gboolean old_schema_logged;            /**< the refusal of the peer's schema version was logged */

  gboolean awaiting_reply;        /**< a heartbeat to the peer is in flight */
  struct timespec confirmed_sent; /**< when the last heartbeat that the peer answered was sent; unset: never */
} HzbPeerEntry;

/** HzbPeerTable: the entries of all peers, in the order of the settings. The addresses of entries never change. */
typedef struct
{
  HzbPeerEntry *entries; /**< (owned) */
  guint n_entries;       /**< number of peers that the settings name */
  const HzbNode *node;   /**< (not owned): this controller */
} HzbPeerTable;

/** HZB_PEER_REACHABLE_S: a peer whose last heartbeat is older than this many seconds is unreachable. */
#define HZB_PEER_REACHABLE_S 3.0

/** hzb_peer_table_init: adds an entry for each peer that the node's settings name. The node is not owned. */
void hzb_peer_table_init (HzbPeerTable *table, const HzbNode *node);

/** hzb_peer_table_clear: frees the entries, but not the structure. */
void hzb_peer_table_clear (HzbPeerTable *table);

/** hzb_peer_table_find: Returns: (transfer none) (nullable): the entry of the controller `node` (nullable) */
HzbPeerEntry *hzb_peer_table_find (const HzbPeerTable *table, const char *node);

/** hzb_peer_table_unresponsive_s: Returns: seconds since the peer's last heartbeat; 1e9 if there was none */
double hzb_peer_table_unresponsive_s (const HzbPeerTable *table, const HzbPeerEntry *entry);

/**
 * hzb_peer_table_covers_cluster:
 *
 * Returns: TRUE if the settings name all other controllers; FALSE if they name fewer peers than the cluster has
 */
gboolean hzb_peer_table_covers_cluster (const HzbPeerTable *table);
