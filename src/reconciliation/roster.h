/**
 * SECTION: roster
 * @short_description: which controller processes are alive, as the leader last recorded it
 *
 * The durable evidence by which a cold start is told from a change of leader. It travels in the flush record, so that it
 * costs a change of its own only when a process is alive that the recorded roster does not name.
 */
#pragma once
#include "node.h"
#include "peers.h"
#include "verdicts.h"

#include <cjson/cJSON.h>

typedef struct
{
  const HzbNode *node; /* (not owned) */
  HzbPeers *peers;     /* (not owned) */
  GPtrArray *recorded; /* char*, processes as the key-value store has them; NULL: none is recorded */
  GPtrArray *sent;     /* the same, on its way */
  gboolean has_flush_record;
  guint64 flush_term; /* of the leader that wrote the flush record */
} HzbRoster;

void hzb_roster_init (HzbRoster *roster, const HzbNode *node, HzbPeers *peers);
void hzb_roster_clear (HzbRoster *roster);

/** hzb_roster_load: @flush_record: the value of the flush record */
void hzb_roster_load (HzbRoster *roster, const cJSON *flush_record);

/** hzb_roster_due: this process, or a peer that was heard, is not on the recorded roster. */
gboolean hzb_roster_due (const HzbRoster *roster);
void hzb_roster_add_to (HzbRoster *roster, cJSON *flush_record);

/** hzb_roster_repeat: the recorded roster stays as it is. */
void hzb_roster_repeat (const HzbRoster *roster, cJSON *flush_record);
void hzb_roster_written (HzbRoster *roster, gboolean applied);

/** hzb_roster_collect: fills in what it says of the processes that are alive. */
void hzb_roster_collect (const HzbRoster *roster, HzbStartEvidence *evidence);
