/**
 * SECTION: peer-senders
 * @short_description: decides which requests of peers are accepted. Private to this folder
 *
 * Copies of old messages may arrive late, even from a process that has ended since. A request is accepted only if the
 * newest process of a known peer sent it, and if its number exceeds the numbers of all earlier requests of its kind
 * from that process.
 */
#pragma once
#include "peer-table.h"

/** HzbPeerSenders: stores the processes of peers that newer processes have replaced. */
typedef struct
{
  GHashTable *replaced_incarnations; /**< set of incarnations (owned), of all peers */
} HzbPeerSenders;

/** hzb_peer_senders_init: starts with no replaced process. */
void hzb_peer_senders_init (HzbPeerSenders *senders);

/** hzb_peer_senders_clear: frees the set, but not the structure. */
void hzb_peer_senders_clear (HzbPeerSenders *senders);

/**
 * hzb_peer_senders_admit: accepts or refuses a request, and stores the number of an accepted one. The first request of
 * a new process resets what the table holds about the peer's previous process. A request whose schema version is lower
 * than `min_schema_version` is refused. Refusals are logged; that of an old schema version only once for each peer.
 *
 * Returns: (transfer none) (nullable): the sender's entry; NULL if the request is refused
 */
HzbPeerEntry *hzb_peer_senders_admit (HzbPeerSenders *senders, HzbPeerTable *table, const HzbPeerEnvelope *envelope,
                                      HzbPeerMessageKind kind, guint min_schema_version);
