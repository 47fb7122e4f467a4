/* Queries of other modules about the peers, answered from the heartbeats received so far. */
#include "peers-private.h"

#define ANY_REACHABLE_MAX_AGE_S 5.0
#define KV_RESPONSE_MAX_AGE_S 2.5 /* a controller that the key-value store serves gets responses more often than this */
#define MAX_KV_UNRESPONSIVE_S 1e5 /* above this value the time of the last contact counts as unknown */
#define RECENT_WORKER_LOSS_S 120.0

static gboolean
is_reachable (const HzbPeers *peers, const HzbPeerEntry *entry)
{
  return hzb_peer_table_unresponsive_s (&peers->table, entry) < HZB_PEER_REACHABLE_S;
}

gboolean
hzb_peers_any_reaches_kv (HzbPeers *peers)
{
  for (guint i = 0; i < peers->table.n_entries; i++)
    {
      const HzbPeerEntry *entry = &peers->table.entries[i];
      if (is_reachable (peers, entry) && entry->kv_unresponsive_s < KV_RESPONSE_MAX_AGE_S)
        return TRUE;
    }
  return FALSE;
}

gboolean
hzb_peers_is_recent (const HzbPeers *peers, struct timespec at, double seconds)
{
  return hzb_time_is_set (at) && hzb_time_between (at, hzb_clock_now (peers->dependencies.node->clock)) < seconds;
}

gboolean
hzb_peers_this_node_lost_workers (const HzbPeers *peers)
{
  return hzb_peers_is_recent (peers, peers->dependencies.node->workers_lost_at, RECENT_WORKER_LOSS_S);
}

gboolean
hzb_peers_any_lost_workers (HzbPeers *peers)
{
  gboolean any = hzb_peers_this_node_lost_workers (peers);
  for (guint i = 0; i < peers->table.n_entries && !any; i++)
    any = peers->table.entries[i].lost_workers;
  return any;
}

gboolean
hzb_peers_any_redirects_workers (HzbPeers *peers)
{
  for (guint i = 0; i < peers->table.n_entries; i++)
    {
      const HzbPeerEntry *entry = &peers->table.entries[i];
      if (is_reachable (peers, entry) && entry->redirects_workers)
        return TRUE;
    }
  return FALSE;
}

gboolean
hzb_peers_any_reachable (HzbPeers *peers)
{
  for (guint i = 0; i < peers->table.n_entries; i++)
    if (hzb_peer_table_unresponsive_s (&peers->table, &peers->table.entries[i]) < ANY_REACHABLE_MAX_AGE_S)
      return TRUE;
  return peers->table.n_entries == 0;
}

/* Returns: (nullable): the entry of a reachable peer; NULL if the peer is unreachable or unknown */
static const HzbPeerEntry *
find_reachable (HzbPeers *peers, const char *node)
{
  const HzbPeerEntry *entry = hzb_peer_table_find (&peers->table, node);
  return entry && hzb_peer_table_unresponsive_s (&peers->table, entry) <= HZB_PEER_REACHABLE_S ? entry : NULL;
}

gboolean
hzb_peers_is_unreachable (HzbPeers *peers, const char *node)
{
  return !find_reachable (peers, node);
}

const char *
hzb_peers_incarnation (HzbPeers *peers, const char *node)
{
  const HzbPeerEntry *entry = find_reachable (peers, node);
  return entry ? entry->incarnation : NULL;
}

guint
hzb_peers_schema_version (HzbPeers *peers, const char *node)
{
  const HzbPeerEntry *entry = find_reachable (peers, node);
  return entry ? entry->schema_version : HZB_SCHEMA_VERSION_1;
}

gboolean
hzb_peers_all_support_schema (HzbPeers *peers, guint schema_version)
{
  for (guint i = 0; i < peers->table.n_entries; i++)
    if (hzb_peers_schema_version (peers, peers->table.entries[i].peer->node) < schema_version)
      return FALSE;
  return TRUE;
}

gboolean
hzb_peers_any_older_schema (HzbPeers *peers)
{
  for (guint i = 0; i < peers->table.n_entries; i++)
    {
      const HzbPeerEntry *entry = &peers->table.entries[i];
      if (is_reachable (peers, entry) && entry->schema_version < peers->dependencies.node->schema_version)
        return TRUE;
    }
  return FALSE;
}

gboolean
hzb_peers_all_know_cancellations (HzbPeers *peers, guint64 revision)
{
  return hzb_peer_knowledge_all_know (&peers->knowledge, revision);
}

gboolean
hzb_peers_any_lists_no_cancellations (HzbPeers *peers)
{
  for (guint i = 0; i < peers->table.n_entries; i++)
    {
      const HzbPeerEntry *entry = &peers->table.entries[i];
      if (hzb_time_is_set (entry->last_heartbeat) && !entry->lists_cancellations)
        return TRUE;
    }
  return FALSE;
}

gboolean
hzb_peers_all_list_cancellations (HzbPeers *peers)
{
  for (guint i = 0; i < peers->table.n_entries; i++)
    if (!peers->table.entries[i].lists_cancellations)
      return FALSE;
  return TRUE;
}

struct timespec
hzb_peers_current_as_of (HzbPeers *peers)
{
  return peers->current_as_of;
}

guint64
hzb_peers_fenced_revision (HzbPeers *peers)
{
  return peers->knowledge.watermarks.fenced_revision;
}

gboolean
hzb_peers_last_kv_contact (HzbPeers *peers, const char *node, struct timespec *at)
{
  const HzbPeerEntry *entry = hzb_peer_table_find (&peers->table, node);
  if (!entry || !hzb_time_is_set (entry->last_heartbeat) || entry->kv_unresponsive_s > MAX_KV_UNRESPONSIVE_S)
    return FALSE;
  *at = hzb_time_plus (entry->last_heartbeat, -entry->kv_unresponsive_s);
  return TRUE;
}

void
hzb_peers_task_counts (HzbPeers *peers, const char *uid, guint *done, guint *running)
{
  hzb_task_count_table_get (peers->task_counts, uid, done, running);
}
