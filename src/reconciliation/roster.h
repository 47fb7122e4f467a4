/**
 * SECTION: roster
 * @short_description: which controller processes are alive, as the leader last recorded it
 *
 * The durable evidence by which a cold start is told from a change of leader. The roster travels in the flush record,
 * so that it costs a change of its own only when a process is alive that the recorded roster does not name.
 */
#pragma once
#include "node.h"
#include "peers.h"
#include "verdicts.h"

#include <cjson/cJSON.h>

/**
 * HZB_ROSTER_MOST_PROCESSES: how many processes a roster names, so that the flush record fits the smallest value.
 * Larger clusters lose nothing: one survivor among so many names is evidence enough.
 */
#define HZB_ROSTER_MOST_PROCESSES 90u

/** HzbRoster: the roster as recorded, and as it is about to be. */
typedef struct
{
  const HzbNode *node; /**< (not owned): this process */
  HzbPeers *peers;     /**< (not owned): which other processes sent a heartbeat lately */
  GPtrArray
      *recorded; /**< (nullable) (element-type utf8): processes as the key-value store has them; %NULL: none recorded */
  GPtrArray *sent;           /**< (nullable) (element-type utf8): the same, in flight */
  gboolean has_flush_record; /**< the key-value store has a flush record */
  guint64 flush_term;        /**< of the leader that wrote the flush record */
} HzbRoster;

/** hzb_roster_init: an empty roster. `node` and `peers` have to outlive it. */
void hzb_roster_init (HzbRoster *roster, const HzbNode *node, HzbPeers *peers);

/** hzb_roster_clear: forgets what is recorded and in flight, and frees it. */
void hzb_roster_clear (HzbRoster *roster);

/** hzb_roster_load: `flush_record`: the value of the flush record */
void hzb_roster_load (HzbRoster *roster, const cJSON *flush_record);

/** hzb_roster_due: Returns: whether this process, or a peer that sent a heartbeat lately, is missing from the recorded
 * roster */
gboolean hzb_roster_due (const HzbRoster *roster);

/** hzb_roster_add_to: puts the processes that are alive into a flush record that is about to be written. */
void hzb_roster_add_to (HzbRoster *roster, cJSON *flush_record);

/** hzb_roster_repeat: puts the recorded roster, if there is one, into a flush record that is about to be written. */
void hzb_roster_repeat (const HzbRoster *roster, cJSON *flush_record);

/** hzb_roster_written: `applied`: whether the flush record in flight is durable */
void hzb_roster_written (HzbRoster *roster, gboolean applied);

/** hzb_roster_collect: fills in what the roster says of the processes that are alive. */
void hzb_roster_collect (const HzbRoster *roster, HzbStartEvidence *evidence);
