/**
 * SECTION: peer-knowledge
 * @short_description: tracks which cancellations the controllers of the cluster know. Private to this folder
 *
 * A cancellation may be confirmed to users when every controller knows it, or when all controllers but one know it and
 * the remaining controller must have fenced itself since (docs/safety.md, "One controller is unavailable"). A
 * controller's statement about which cancellations it knows remains true if another controller relays it later. So each
 * heartbeat relays the statements of the sender's peers, and the watermarks: a receiver that has restarted since gets
 * them again.
 */
#pragma once
#include "peer-heartbeat.h"
#include "peer-table.h"
#include "watermarks.h"

/** HzbPeerKnowledge: the watermarks, and the peer table that this controller derives its own watermarks from. */
typedef struct
{
  HzbPeerTable *table;      /**< (not owned) */
  HzbWatermarks watermarks; /**< watermarks of this controller, and those that its peers have sent */
} HzbPeerKnowledge;

/** hzb_peer_knowledge_init: starts without watermarks. The table is not owned and must outlive the structure. */
void hzb_peer_knowledge_init (HzbPeerKnowledge *knowledge, HzbPeerTable *table);

/** hzb_peer_knowledge_clear: frees the watermarks, but not the structure. */
void hzb_peer_knowledge_clear (HzbPeerKnowledge *knowledge);

/** hzb_peer_knowledge_all_know: Returns: TRUE if every other controller knows all cancellations up to this revision */
gboolean hzb_peer_knowledge_all_know (const HzbPeerKnowledge *knowledge, guint64 revision);

/**
 * hzb_peer_knowledge_advance: to be called once a second. Adds the current watermark, and raises the fenced revision to
 * those of the watermarks that are older than the minimum age. This controller's own replica of the records has all
 * changes up to `replicated_revision`.
 */
void hzb_peer_knowledge_advance (HzbPeerKnowledge *knowledge, struct timespec now, guint64 replicated_revision);

/** hzb_peer_knowledge_fill_heartbeat: adds the states of the peers and the watermarks to a heartbeat. */
void
hzb_peer_knowledge_fill_heartbeat (const HzbPeerKnowledge *knowledge, HzbPeerHeartbeat *heartbeat, struct timespec now);

/**
 * hzb_peer_knowledge_apply_heartbeat: applies the states of third controllers and the watermarks that a peer relays in
 * a heartbeat received at `now`.
 */
void hzb_peer_knowledge_apply_heartbeat (HzbPeerKnowledge *knowledge, const HzbPeerHeartbeat *heartbeat,
                                         struct timespec now);
