#include "peer-table.h"

#include "peer-heartbeat.h"

#define NO_HEARTBEAT_S 1e9

void
hzb_peer_table_init (HzbPeerTable *table, const HzbNode *node)
{
  const GPtrArray *peers = node->settings->peers;

  table->node = node;
  table->n_entries = peers->len;
  table->entries = g_new0 (HzbPeerEntry, peers->len);
  for (guint i = 0; i < peers->len; i++)
    {
      table->entries[i].peer = peers->pdata[i];
      table->entries[i].kv_unresponsive_s = HZB_KV_NEVER_SERVED_S;
    }
}

void
hzb_peer_table_clear (HzbPeerTable *table)
{
  for (guint i = 0; i < table->n_entries; i++)
    g_free (table->entries[i].incarnation);
  g_clear_pointer (&table->entries, g_free);
  table->n_entries = 0;
}

HzbPeerEntry *
hzb_peer_table_find (const HzbPeerTable *table, const char *node)
{
  for (guint i = 0; node && i < table->n_entries; i++)
    if (g_str_equal (table->entries[i].peer->node, node))
      return &table->entries[i];
  return NULL;
}

double
hzb_peer_table_unresponsive_s (const HzbPeerTable *table, const HzbPeerEntry *entry)
{
  return hzb_time_is_set (entry->last_heartbeat)
             ? hzb_time_between (entry->last_heartbeat, hzb_clock_now (table->node->clock))
             : NO_HEARTBEAT_S;
}

gboolean
hzb_peer_table_covers_cluster (const HzbPeerTable *table)
{
  return table->n_entries + 1 >= table->node->settings->cluster_size;
}
