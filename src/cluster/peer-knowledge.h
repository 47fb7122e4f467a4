/**
 * SECTION: peer-knowledge
 * @short_description: which cancellations the controllers of the cluster know. Private to this folder
 *
 * A cancellation may be confirmed to users once every controller knows it, or all but one that must have fenced itself
 * since (docs/safety.md, "One controller is unavailable"). What a controller has said of itself remains true, whoever
 * repeats it and however late. So heartbeats relay it, with the watermarks, to controllers that have restarted since.
 */
#pragma once
#include "peer-heartbeat.h"
#include "peer-table.h"
#include "watermarks.h"

/** HzbPeerKnowledge: the watermarks, and the table that they are derived from. */
typedef struct
{
  HzbPeerTable *table;      /**< (not owned) */
  HzbWatermarks watermarks; /**< as seen by this controller and by others */
} HzbPeerKnowledge;

/** hzb_peer_knowledge_init: without watermarks. The table must live longer than the structure. */
void hzb_peer_knowledge_init (HzbPeerKnowledge *knowledge, HzbPeerTable *table);

/** hzb_peer_knowledge_clear: frees what the structure holds, but not the structure. */
void hzb_peer_knowledge_clear (HzbPeerKnowledge *knowledge);

/** hzb_peer_knowledge_all_know: every other controller knows all cancellations up to this revision. */
gboolean hzb_peer_knowledge_all_know (const HzbPeerKnowledge *knowledge, guint64 revision);

/**
 * hzb_peer_knowledge_advance: once a second. This controller's own replica of the records has all changes up to
 * `replicated_revision`.
 */
void hzb_peer_knowledge_advance (HzbPeerKnowledge *knowledge, struct timespec now, guint64 replicated_revision);

/** hzb_peer_knowledge_fill_heartbeat: adds to a heartbeat what this controller knows of its peers. */
void
hzb_peer_knowledge_fill_heartbeat (const HzbPeerKnowledge *knowledge, HzbPeerHeartbeat *heartbeat, struct timespec now);

/** hzb_peer_knowledge_apply_heartbeat: takes what a peer relays of third controllers. */
void hzb_peer_knowledge_apply_heartbeat (HzbPeerKnowledge *knowledge, const HzbPeerHeartbeat *heartbeat,
                                         struct timespec now);
