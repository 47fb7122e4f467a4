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

/* Returns: the known revision of the peer: it knows all cancellations up to this revision. Until this controller has
 * accepted a request from a peer, it uses what third controllers relay about that peer. A relayed revision may be old,
 * but it remains valid: the known revision of a process never decreases, and a process that replaces that process reads
 * the records before it owns a shard. */
static guint64
known_revision_of (const HzbPeerEntry *entry)
{
  /* `incarnation` is set when this controller accepts the first request from the peer. */
  return entry->incarnation ? entry->known_revision : entry->relayed_known_revision;
}

/* Returns: whether the peer has promised not to answer workers whenever it may lack a cancellation. A relayed promise
 * counts too: a process never revokes its promise, and its successor keeps to it before it has promised itself, unless
 * the successor has received a heartbeat from a peer of its own whose version lists no cancellations; see
 * hzb_cancellations_may_answer_workers(). */
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

/* Returns: the highest revision R such that all controllers but one know every cancellation up to R; 0 if the remaining
 * one, the peer with the lowest known revision, hasn't promised to fence itself, or if the settings don't name all
 * controllers. This controller knows the cancellations up to `replicated_revision`. */
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
      HzbRelayedWatermark relayed = { watermark->revision, hzb_time_between (watermark->since, now) };
      g_array_append_val (heartbeat->watermarks, relayed);
    }
  heartbeat->fenced_revision = knowledge->watermarks.fenced_revision;
}

/* Relayed state is ignored for a peer from which this controller has accepted a request. A statement of a newer process
 * replaces that of an earlier one, even if its revision is lower: it tells what the newer process knows. Of two
 * statements of one process the higher revision holds, because the known revision of a process never decreases. */
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
  hzb_watermarks_raise_fenced_revision (&knowledge->watermarks, heartbeat->fenced_revision);
  for (guint i = 0; i < heartbeat->watermarks->len; i++)
    {
      const HzbRelayedWatermark *received = &g_array_index (heartbeat->watermarks, HzbRelayedWatermark, i);
      hzb_watermarks_add (&knowledge->watermarks, hzb_time_plus (now, -received->age_s), received->revision);
    }
}
