/**
 * SECTION: peer-senders
 * @short_description: which requests of peers are accepted. Private to this folder
 *
 * Copies of old messages may arrive late, also from a process that has ended since. A request is accepted only if it
 * comes from the newest process of a known peer, and if its number exceeds those of all earlier requests of its kind
 * from that process.
 */
#pragma once
#include "peer-table.h"

/** HzbPeerSenders: remembers the processes that others have replaced. */
typedef struct
{
  GHashTable *replaced_incarnations; /**< set of incarnations (owned) */
} HzbPeerSenders;

/** hzb_peer_senders_init: with no replaced process. */
void hzb_peer_senders_init (HzbPeerSenders *senders);

/** hzb_peer_senders_clear: frees what the structure holds, but not the structure. */
void hzb_peer_senders_clear (HzbPeerSenders *senders);

/**
 * hzb_peer_senders_admit: decides about a request and notes its number. If the request is the first of a new process,
 * what the table holds of the peer's process before is reset. A refusal is logged.
 *
 * A request whose schema version is lower than `lowest_schema_version` is refused.
 *
 * Returns: (transfer none) (nullable): the sender's entry; NULL if the request is refused
 */
HzbPeerEntry *hzb_peer_senders_admit (HzbPeerSenders *senders, HzbPeerTable *table, const HzbPeerEnvelope *envelope,
                                      HzbPeerMessageKind kind, guint lowest_schema_version);
