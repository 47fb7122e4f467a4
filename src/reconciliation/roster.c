#include "roster.h"

#include "reconciliation-codec.h"

void
hzb_roster_init (HzbRoster *roster, const HzbNode *node, HzbPeers *peers)
{
  roster->node = node;
  roster->peers = peers;
}

void
hzb_roster_clear (HzbRoster *roster)
{
  g_clear_pointer (&roster->recorded, g_ptr_array_unref);
  g_clear_pointer (&roster->sent, g_ptr_array_unref);
  roster->has_flush_record = FALSE;
  roster->flush_term = 0;
}

/* A roster names each process by the first HZB_ROSTER_NAME_CHARS characters of its incarnation. */
static gboolean
has_process (const GPtrArray *processes, const char *incarnation)
{
  for (guint i = 0; processes && incarnation && i < processes->len; i++)
    if (g_str_has_prefix (incarnation, processes->pdata[i]))
      return TRUE;
  return FALSE;
}

void
hzb_roster_load (HzbRoster *roster, const cJSON *flush_record)
{
  GPtrArray *recorded = hzb_roster_decode (flush_record, &roster->flush_term);

  roster->has_flush_record = TRUE;
  if (!recorded)
    return;
  g_clear_pointer (&roster->recorded, g_ptr_array_unref);
  roster->recorded = recorded;
}

/* Returns: the number of peers, counted from the first one in the settings, that may be put on the roster. One place is
 * reserved for this process. */
static guint
n_roster_peers (const HzbRoster *roster)
{
  return MIN (roster->node->settings->peers->len, HZB_ROSTER_MAX_PROCESSES - 1);
}

/* Returns: (nullable): NULL if the peer sent no heartbeat recently. */
static const char *
peer_incarnation (const HzbRoster *roster, guint index)
{
  const HzbPeer *peer = roster->node->settings->peers->pdata[index];
  return hzb_peers_incarnation (roster->peers, peer->node);
}

gboolean
hzb_roster_is_due (const HzbRoster *roster)
{
  const GPtrArray *processes = roster->sent ? roster->sent : roster->recorded;

  if (!has_process (processes, roster->node->incarnation))
    return TRUE;
  for (guint i = 0; i < n_roster_peers (roster); i++)
    {
      const char *incarnation = peer_incarnation (roster, i);
      if (incarnation && !has_process (processes, incarnation))
        return TRUE;
    }
  return FALSE;
}

void
hzb_roster_add_recorded_processes (const HzbRoster *roster, cJSON *flush_record)
{
  if (roster->recorded)
    hzb_roster_encode (roster->recorded, flush_record);
}

void
hzb_roster_add_alive_processes (HzbRoster *roster, cJSON *flush_record)
{
  g_clear_pointer (&roster->sent, g_ptr_array_unref);
  roster->sent = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (roster->sent, g_strndup (roster->node->incarnation, HZB_ROSTER_NAME_CHARS));
  for (guint i = 0; i < n_roster_peers (roster); i++)
    {
      const char *incarnation = peer_incarnation (roster, i);
      if (incarnation)
        g_ptr_array_add (roster->sent, g_strndup (incarnation, HZB_ROSTER_NAME_CHARS));
    }
  hzb_roster_encode (roster->sent, flush_record);
}

void
hzb_roster_complete_write (HzbRoster *roster, gboolean applied)
{
  if (applied && roster->sent)
    {
      g_clear_pointer (&roster->recorded, g_ptr_array_unref);
      roster->recorded = g_steal_pointer (&roster->sent);
    }
  g_clear_pointer (&roster->sent, g_ptr_array_unref);
}

void
hzb_roster_collect_evidence (const HzbRoster *roster, HzbStartEvidence *evidence)
{
  evidence->has_flush_record = roster->has_flush_record;
  evidence->has_roster = roster->recorded != NULL;
  evidence->self_on_roster = has_process (roster->recorded, roster->node->incarnation);
  evidence->all_peers_contacted = TRUE;
  for (guint i = 0; i < roster->node->settings->peers->len; i++)
    {
      const char *incarnation = peer_incarnation (roster, i);
      evidence->all_peers_contacted = evidence->all_peers_contacted && incarnation;
      evidence->peer_on_roster = evidence->peer_on_roster || has_process (roster->recorded, incarnation);
    }
}
