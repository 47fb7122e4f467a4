#include "peer-senders.h"

#include <string.h>

#define MAX_REPLACED 64u
#define START_SLACK_MS 1000u /* clocks for the time of day differ a little between controllers */

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

/* After the schema version was raised, a process of version 1 would misread what has been recorded since. */
static gboolean
reads_schema (HzbPeerEntry *entry, const HzbPeerEnvelope *envelope, guint lowest_schema_version)
{
  if (envelope->schema_version >= lowest_schema_version)
    return TRUE;
  if (!entry->old_schema_logged)
    g_warning (
        "refused a message of controller %s: it has schema version %u, and this cluster requires %u; upgrade that "
        "controller",
        entry->peer->node, envelope->schema_version, lowest_schema_version);
  entry->old_schema_logged = TRUE;
  return FALSE;
}

static gboolean
is_of_earlier_process (const HzbPeerSenders *senders, const HzbPeerEntry *entry, const HzbPeerEnvelope *envelope)
{
  return g_hash_table_contains (senders->replaced_incarnations, envelope->incarnation)
         || envelope->started_ms + START_SLACK_MS < entry->started_ms;
}

/* The new process has to state again what it supports and what it knows. */
static void
begin_process (HzbPeerSenders *senders, HzbPeerEntry *entry, const HzbPeerEnvelope *envelope)
{
  /* The set can be emptied safely: processes that ended so long ago are recognised by their start. */
  if (g_hash_table_size (senders->replaced_incarnations) >= MAX_REPLACED)
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
                        HzbPeerMessageKind kind, guint lowest_schema_version)
{
  HzbPeerEntry *entry = hzb_peer_table_find (table, envelope->node);

  if (!entry || !envelope->incarnation || !*envelope->incarnation)
    {
      g_message ("refused a message of controller %s: %s", envelope->node ? envelope->node : "(not named)",
                 entry ? "it does not name the sending process" : "the settings name no such peer");
      return NULL;
    }
  if (!reads_schema (entry, envelope, lowest_schema_version))
    return NULL;
  if (g_strcmp0 (entry->incarnation, envelope->incarnation) != 0)
    {
      if (is_of_earlier_process (senders, entry, envelope))
        {
          g_message ("refused a message of controller %s: it is from an earlier process", envelope->node);
          return NULL;
        }
      begin_process (senders, entry, envelope);
    }
  if (envelope->number <= entry->last_number[kind])
    {
      g_message ("refused a message of controller %s: a newer one was accepted before", envelope->node);
      return NULL;
    }
  entry->last_number[kind] = envelope->number;
  return entry;
}
