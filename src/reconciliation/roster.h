/**
 * SECTION: roster
 * @short_description: the controller processes that are alive, as the leader last recorded them
 *
 * The roster is the durable evidence that tells a cold start from a failover. It is a field of the flush record, so
 * that it needs a write of its own only when a process is alive that the recorded roster does not name.
 */
#pragma once
#include "node.h"
#include "peers.h"
#include "verdicts.h"

#include <cjson/cJSON.h>

/**
 * HZB_ROSTER_MAX_PROCESSES: maximum number of processes on a roster. It bounds the size of the flush record, since the
 * key-value store limits the size of a value. A larger cluster needs no longer roster: one survivor among the
 * processes on the roster is enough evidence that a start is a failover.
 */
#define HZB_ROSTER_MAX_PROCESSES 90u

/** HzbRoster: the recorded roster, and the roster of the flush record in flight. */
typedef struct
{
  const HzbNode *node;       /**< (not owned): this process */
  HzbPeers *peers;           /**< (not owned): the other controllers, and which of them sent a heartbeat recently */
  GPtrArray *recorded;       /**< (nullable) (element-type utf8): processes on the roster in the key-value store; %NULL:
                                no roster is recorded */
  GPtrArray *sent;           /**< (nullable) (element-type utf8): processes on the roster in flight; %NULL: none is */
  gboolean has_flush_record; /**< the key-value store has a flush record */
  guint64 flush_term;        /**< term of the leader that wrote the flush record; 0: no flush record was loaded */
} HzbRoster;

/** hzb_roster_init: sets up an empty roster. `node` and `peers` are not owned and have to outlive it. */
void hzb_roster_init (HzbRoster *roster, const HzbNode *node, HzbPeers *peers);

/** hzb_roster_clear: drops and frees the recorded roster and the roster in flight. */
void hzb_roster_clear (HzbRoster *roster);

/** hzb_roster_load: reads the recorded roster. `flush_record`: the value of the flush record */
void hzb_roster_load (HzbRoster *roster, const cJSON *flush_record);

/** hzb_roster_is_due: Returns: whether this process, or a peer that sent a heartbeat recently, is missing from the
 * roster in flight, or from the recorded roster if none is in flight */
gboolean hzb_roster_is_due (const HzbRoster *roster);

/** hzb_roster_add_alive_processes: puts the names of the processes that are alive into a flush record that is about to
 * be written. */
void hzb_roster_add_alive_processes (HzbRoster *roster, cJSON *flush_record);

/** hzb_roster_add_recorded_processes: puts the recorded roster, if there is one, into a flush record that is about to
 * be written. */
void hzb_roster_add_recorded_processes (const HzbRoster *roster, cJSON *flush_record);

/** hzb_roster_complete_write: ends the write of a flush record. `applied`: whether it is durable; if so, its roster
 * becomes the recorded one; if not, the roster in flight is dropped */
void hzb_roster_complete_write (HzbRoster *roster, gboolean applied);

/** hzb_roster_collect_evidence: sets what the roster says about the processes that are alive. `evidence`: zeroed */
void hzb_roster_collect_evidence (const HzbRoster *roster, HzbStartEvidence *evidence);
