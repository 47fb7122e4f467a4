/**
 * SECTION: peer-table
 * @short_description: what this controller knows of each other controller. Private to this folder
 *
 * One entry for each peer that the settings name. An entry holds what the peer's heartbeats and replies said last, what
 * third controllers have relayed of the peer, which process of the peer sends, and the state of the heartbeat that was
 * sent to it.
 */
#pragma once
#include "node.h"
#include "peer-messages.h"

/** HzbPeerEntry: what is known of one peer. */
typedef struct
{
  const HzbPeer *peer; /**< name and address, from the settings */

  struct timespec last_heartbeat; /**< when the peer's last heartbeat or reply was received; unset: never */
  double kv_unresponsive_s;   /**< seconds since the key-value store last served the peer, as of its last heartbeat */
  gboolean redirects_workers; /**< the peer lately redirected workers to the leader */
  gboolean lost_workers;      /**< not long ago the peer stepped down because no worker sent it a heartbeat */
  guint schema_version;       /**< of records and messages, as the peer last stated */
  guint64 known_revision;     /**< the peer knows all cancellations up to this revision; 0: its version does not say */
  gboolean lists_cancellations; /**< see #HzbPeerHeartbeat */
  gboolean self_fenced;         /**< see #HzbPeerHeartbeat */

  guint64 relayed_started_ms;     /**< start of the process that the relayed state is of; 0: nothing was relayed */
  guint64 relayed_known_revision; /**< as `ref` known_revision, said by third controllers */
  gboolean relayed_self_fenced;   /**< as `ref` self_fenced, said by third controllers */

  char *incarnation;  /**< (nullable) (owned): the process that sent the last accepted request; NULL: none */
  guint64 started_ms; /**< when that process started, in milliseconds of the time of day */
  guint64 last_number[HZB_PEER_N_KINDS]; /**< of the last accepted request of each kind of that process */
  gboolean old_schema_logged;            /**< the refusal of the peer's schema version was logged */

  gboolean awaiting_reply;        /**< a heartbeat to the peer is in flight */
  struct timespec confirmed_sent; /**< when the last heartbeat was sent that the peer answered; unset: never */
} HzbPeerEntry;

/** HzbPeerTable: the entries, in the order of the settings. Their addresses never change. */
typedef struct
{
  HzbPeerEntry *entries; /**< (owned) */
  guint n_entries;       /**< how many peers the settings name */
  const HzbNode *node;   /**< this controller */
} HzbPeerTable;

/** HZB_PEER_REACHABLE_S: a peer whose last heartbeat is older than this many seconds is unreachable. */
#define HZB_PEER_REACHABLE_S 3.0

/** hzb_peer_table_init: an entry for each peer that the node's settings name. */
void hzb_peer_table_init (HzbPeerTable *table, const HzbNode *node);

/** hzb_peer_table_clear: frees the entries, but not the structure. */
void hzb_peer_table_clear (HzbPeerTable *table);

/** hzb_peer_table_find: Returns: (transfer none) (nullable): the entry of the controller of this name (nullable) */
HzbPeerEntry *hzb_peer_table_find (const HzbPeerTable *table, const char *node);

/** hzb_peer_table_unresponsive_s: Returns: seconds since the peer's last heartbeat; very large if there was none */
double hzb_peer_table_unresponsive_s (const HzbPeerTable *table, const HzbPeerEntry *entry);

/** hzb_peer_table_covers_cluster: Returns: FALSE if the settings name fewer peers than the cluster has controllers */
gboolean hzb_peer_table_covers_cluster (const HzbPeerTable *table);
