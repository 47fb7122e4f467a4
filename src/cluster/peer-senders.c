#include "peer-senders.h"

#include <string.h>

#define MAX_REPLACED_INCARNATIONS 64u
#define START_SLACK_MS 1000u /* wall clocks that start times are read from may differ by up to this time */

void
hzb_peer_senders_init (HzbPeerSenders *senders)
{
  senders->replaced_incarnations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
hzb_peer_senders_clear (HzbPeerSenders *senders)
{
  g_clear_pointer (&senders->replaced_incarnations, g_hash_table_unref);
}

/* After the schema version was raised, a process of schema version 1 would misread newer records, so its requests are
 * refused. */
static gboolean
supports_schema (HzbPeerEntry *entry, const HzbPeerEnvelope *envelope, guint min_schema_version)
{
  if (envelope->schema_version >= min_schema_version)
    return TRUE;
  if (!entry->old_schema_logged)
    g_warning ("refused a message from controller %s: it has schema version %u, and this cluster requires at least %u; "
               "upgrade that controller",
               entry->peer->node, envelope->schema_version, min_schema_version);
  entry->old_schema_logged = TRUE;
  return FALSE;
}

static gboolean
is_from_earlier_process (const HzbPeerSenders *senders, const HzbPeerEntry *entry, const HzbPeerEnvelope *envelope)
{
  return g_hash_table_contains (senders->replaced_incarnations, envelope->incarnation)
         || envelope->started_ms + START_SLACK_MS < entry->started_ms;
}

/* The new process must state again which features it supports and which cancellations it knows. */
static void
reset_for_new_process (HzbPeerSenders *senders, HzbPeerEntry *entry, const HzbPeerEnvelope *envelope)
{
  /* The set can be emptied safely, because messages of processes that ended long ago are recognised by their start
   * time. */
  if (g_hash_table_size (senders->replaced_incarnations) >= MAX_REPLACED_INCARNATIONS)
    g_hash_table_remove_all (senders->replaced_incarnations);
  if (entry->incarnation)
    g_hash_table_add (senders->replaced_incarnations, entry->incarnation);
  entry->incarnation = g_strdup (envelope->incarnation);
  entry->started_ms = MAX (envelope->started_ms, entry->started_ms);
  entry->schema_version = HZB_SCHEMA_VERSION_1;
  entry->known_revision = 0;
  entry->lists_cancellations = entry->self_fenced = FALSE;
  memset (entry->last_number, 0, sizeof entry->last_number);
}

HzbPeerEntry *
hzb_peer_senders_admit (HzbPeerSenders *senders, HzbPeerTable *table, const HzbPeerEnvelope *envelope,
                        HzbPeerMessageKind kind, guint min_schema_version)
{
  HzbPeerEntry *entry = hzb_peer_table_find (table, envelope->node);

  if (!entry || !envelope->incarnation || !*envelope->incarnation)
    {
      g_message ("refused a message from controller %s: %s", envelope->node ? envelope->node : "(no name)",
                 entry ? "the message does not identify the sending process"
                       : "the settings of this controller name no such peer");
      return NULL;
    }
  if (!supports_schema (entry, envelope, min_schema_version))
    return NULL;
  if (g_strcmp0 (entry->incarnation, envelope->incarnation) != 0)
    {
      if (is_from_earlier_process (senders, entry, envelope))
        {
          g_message ("refused a message from controller %s: an earlier process of that controller sent it",
                     envelope->node);
          return NULL;
        }
      reset_for_new_process (senders, entry, envelope);
    }
  if (envelope->number <= entry->last_number[kind])
    {
      g_message ("refused a message from controller %s: a newer message of the same kind was accepted before",
                 envelope->node);
      return NULL;
    }
  entry->last_number[kind] = envelope->number;
  return entry;
}
