#include "peer-knowledge.h"

void
hzb_peer_knowledge_init (HzbPeerKnowledge *knowledge, HzbPeerTable *table)
{
  knowledge->table = table;
  hzb_watermarks_init (&knowledge->watermarks, HZB_FENCED_AFTER_S);
}

void
hzb_peer_knowledge_clear (HzbPeerKnowledge *knowledge)
{
  hzb_watermarks_clear (&knowledge->watermarks);
}

/* The state of a peer that third controllers relay in their heartbeats is used until this controller accepts a request
 * of the peer itself. A relayed known revision remains valid: the known revision of a process never decreases, and a
 * process that replaces it reads the records before it owns a shard. */
static guint64
known_revision_of (const HzbPeerEntry *entry)
{
  return entry->incarnation ? entry->known_revision : entry->relayed_known_revision;
}

/* Returns: whether the peer has promised to answer no worker while it could have missed a cancellation. A relayed
 * promise counts too: a process never revokes its promise, and the process that replaces it fences itself as well until
 * it has received a heartbeat. */
static gboolean
has_promised_self_fencing (const HzbPeerEntry *entry)
{
  return entry->incarnation ? entry->self_fenced : entry->relayed_self_fenced;
}

gboolean
hzb_peer_knowledge_all_know (const HzbPeerKnowledge *knowledge, guint64 revision)
{
  const HzbPeerTable *table = knowledge->table;

  if (!hzb_peer_table_covers_cluster (table))
    return FALSE;
  for (guint i = 0; i < table->n_entries; i++)
    if (known_revision_of (&table->entries[i]) < revision)
      return FALSE;
  return TRUE;
}

/* Returns: the highest revision up to which all controllers but one know all cancellations, if the remaining one has
 * promised to fence itself; 0 if there is no such revision. This controller is one of those that know them: its replica
 * of the records has all changes up to `replicated_revision`. */
static guint64
revision_known_by_all_but_one (const HzbPeerKnowledge *knowledge, guint64 replicated_revision)
{
  const HzbPeerTable *table = knowledge->table;
  guint64 lowest = G_MAXUINT64, second_lowest = G_MAXUINT64;
  gboolean lowest_has_promised = FALSE;

  if (!hzb_peer_table_covers_cluster (table))
    return 0;
  for (guint i = 0; i < table->n_entries; i++)
    {
      guint64 known_revision = known_revision_of (&table->entries[i]);
      if (known_revision < lowest)
        {
          second_lowest = lowest;
          lowest = known_revision;
          lowest_has_promised = has_promised_self_fencing (&table->entries[i]);
        }
      else
        second_lowest = MIN (second_lowest, known_revision);
    }
  return lowest_has_promised ? MIN (second_lowest, replicated_revision) : 0;
}

void
hzb_peer_knowledge_advance (HzbPeerKnowledge *knowledge, struct timespec now, guint64 replicated_revision)
{
  hzb_watermarks_add (&knowledge->watermarks, now, revision_known_by_all_but_one (knowledge, replicated_revision));
  hzb_watermarks_advance (&knowledge->watermarks, now);
}

void
hzb_peer_knowledge_fill_heartbeat (const HzbPeerKnowledge *knowledge, HzbPeerHeartbeat *heartbeat, struct timespec now)
{
  const HzbPeerTable *table = knowledge->table;

  for (guint i = 0; i < table->n_entries; i++)
    {
      const HzbPeerEntry *entry = &table->entries[i];
      guint64 started_ms = entry->incarnation ? entry->started_ms : entry->relayed_started_ms;
      if (started_ms)
        hzb_peer_heartbeat_add_peer_state (heartbeat, entry->peer->node, started_ms, known_revision_of (entry),
                                           has_promised_self_fencing (entry));
    }
  for (const GList *l = knowledge->watermarks.marks.head; l; l = l->next)
    {
      const HzbWatermark *watermark = l->data;
      HzbWatermarkAge watermark_age = { watermark->revision, hzb_time_between (watermark->since, now) };
      g_array_append_val (heartbeat->watermarks, watermark_age);
    }
  heartbeat->fenced_revision = knowledge->watermarks.fenced_revision;
}

/* Relayed state is ignored for a peer that has sent this controller a request itself. */
static void
apply_peer_state (HzbPeerTable *table, const HzbPeerState *state)
{
  HzbPeerEntry *entry = hzb_peer_table_find (table, state->node);

  if (!entry || entry->incarnation || state->started_ms < entry->relayed_started_ms)
    return;
  entry->relayed_known_revision = state->started_ms > entry->relayed_started_ms
                                      ? state->known_cancellations_revision
                                      : MAX (entry->relayed_known_revision, state->known_cancellations_revision);
  entry->relayed_started_ms = state->started_ms;
  entry->relayed_self_fenced = state->self_fenced;
}

void
hzb_peer_knowledge_apply_heartbeat (HzbPeerKnowledge *knowledge, const HzbPeerHeartbeat *heartbeat, struct timespec now)
{
  for (guint i = 0; i < heartbeat->peer_states->len; i++)
    apply_peer_state (knowledge->table, &g_array_index (heartbeat->peer_states, HzbPeerState, i));
  hzb_watermarks_raise (&knowledge->watermarks, heartbeat->fenced_revision);
  for (guint i = 0; i < heartbeat->watermarks->len; i++)
    {
      const HzbWatermarkAge *received = &g_array_index (heartbeat->watermarks, HzbWatermarkAge, i);
      hzb_watermarks_add (&knowledge->watermarks, hzb_time_plus (now, -received->age_s), received->revision);
    }
}
