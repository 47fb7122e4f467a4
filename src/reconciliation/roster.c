#include "roster.h"

#include "json.h"

#define NAME_CHARS 10  /* of a process: enough to tell processes apart */
#define MOST_NAMES 90u /* so that the record fits the least value; one survivor among them is evidence enough */

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

static gboolean
names (const GPtrArray *processes, const char *incarnation)
{
  for (guint i = 0; processes && incarnation && i < processes->len; i++)
    if (g_str_has_prefix (incarnation, processes->pdata[i]))
      return TRUE;
  return FALSE;
}

void
hzb_roster_load (HzbRoster *roster, const cJSON *flush_record)
{
  const cJSON *item, *list = cJSON_GetObjectItemCaseSensitive (flush_record, "roster");

  roster->has_flush_record = TRUE;
  roster->flush_term = hzb_json_u64 (flush_record, "term");
  if (!cJSON_IsArray (list))
    return;
  roster->recorded = g_ptr_array_new_with_free_func (g_free);
  cJSON_ArrayForEach (item, list)
    if (cJSON_IsString (item) && strlen (item->valuestring) == NAME_CHARS)
      g_ptr_array_add (roster->recorded, g_strdup (item->valuestring));
}

static const char *
peer_process (const HzbRoster *roster, guint at)
{
  const HzbPeer *peer = roster->node->settings->peers->pdata[at];
  return hzb_peers_incarnation (roster->peers, peer->node);
}

gboolean
hzb_roster_due (const HzbRoster *roster)
{
  const GPtrArray *known = roster->sent ? roster->sent : roster->recorded;

  if (!names (known, roster->node->incarnation))
    return TRUE;
  for (guint i = 0; i < roster->node->settings->peers->len && i < MOST_NAMES - 1; i++)
    {
      const char *process = peer_process (roster, i);
      if (process && !names (known, process))
        return TRUE;
    }
  return FALSE;
}

static void
encode (const GPtrArray *processes, cJSON *flush_record)
{
  cJSON *list = cJSON_AddArrayToObject (flush_record, "roster");
  for (guint i = 0; i < processes->len; i++)
    cJSON_AddItemToArray (list, cJSON_CreateString (processes->pdata[i]));
}

void
hzb_roster_repeat (const HzbRoster *roster, cJSON *flush_record)
{
  if (roster->recorded)
    encode (roster->recorded, flush_record);
}

void
hzb_roster_add_to (HzbRoster *roster, cJSON *flush_record)
{
  g_clear_pointer (&roster->sent, g_ptr_array_unref);
  roster->sent = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (roster->sent, g_strndup (roster->node->incarnation, NAME_CHARS));
  for (guint i = 0; i < roster->node->settings->peers->len && i < MOST_NAMES - 1; i++)
    if (peer_process (roster, i))
      g_ptr_array_add (roster->sent, g_strndup (peer_process (roster, i), NAME_CHARS));
  encode (roster->sent, flush_record);
}

void
hzb_roster_written (HzbRoster *roster, gboolean applied)
{
  if (applied && roster->sent)
    {
      g_clear_pointer (&roster->recorded, g_ptr_array_unref);
      roster->recorded = g_steal_pointer (&roster->sent);
    }
  g_clear_pointer (&roster->sent, g_ptr_array_unref);
}

void
hzb_roster_collect (const HzbRoster *roster, HzbStartEvidence *evidence)
{
  evidence->has_flush_record = roster->has_flush_record;
  evidence->has_roster = roster->recorded != NULL;
  evidence->self_on_roster = names (roster->recorded, roster->node->incarnation);
  evidence->all_peers_heard = TRUE;
  for (guint i = 0; i < roster->node->settings->peers->len; i++)
    {
      const char *process = peer_process (roster, i);
      evidence->all_peers_heard = evidence->all_peers_heard && process;
      evidence->peer_on_roster = evidence->peer_on_roster || names (roster->recorded, process);
    }
}
