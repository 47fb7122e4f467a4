/**
 * SECTION: heartbeat
 * @short_description: what two controllers tell each other once a second, and its encoding
 *
 * The one place that knows how a heartbeat is written. Fields that a version does not know are ignored, and those that an
 * older version does not send have the defaults named here.
 */
#pragma once
#include "cancellation-log.h"

#include <cjson/cJSON.h>
#include <glib.h>

/** HzbTaskCounts: how many tasks of a job have finished and run, for display. */
typedef struct
{
  char *uid;
  guint done, running;
} HzbTaskCounts;

/** HzbPeerState: what the sender knows of a third controller, from what that one said of itself. */
typedef struct
{
  char *node;
  guint64 born; /* of the process that said so, in milliseconds of the time of day */
  guint64 cancellations_known;
  gboolean self_fenced;
} HzbPeerState;

/** HzbWatermarkAge: for at least so long all controllers but one have known all cancellations up to the revision. */
typedef struct
{
  guint64 revision;
  double age_s;
} HzbWatermarkAge;

/** HzbPeerHeartbeat: */
typedef struct
{
  gboolean leads;
  guint64 term;             /* the highest that the sender knows */
  guint schema_version;     /* of records and messages; 1: a version that states none */
  gboolean sends_workers;   /* it lately redirected workers to the leader; TRUE for a version that does not say */
  gboolean lost_workers;    /* it stepped down since no worker reported to it, not long ago */
  double kv_unresponsive_s; /* since the key-value store last served it */
  guint64
      replicated_revision; /* its replica of the records has all changes up to this revision; 0: a version that does not say */
  /* All cancellations recorded up to here are known to the sender, by its replica of the records or by peers; 0: a version that does not say. */
  guint64 cancellations_known;
  gboolean lists_cancellations; /* its replies name what the receiver lacks; FALSE: a version that does not */
  /* It answers no worker once it could have missed a cancellation, see cancellations.h. */
  gboolean self_fenced;
  gboolean partial_counts; /* of some of the jobs only: of the others other heartbeats tell */
  GArray *counts;          /* HzbTaskCounts, of the leader's unfinished jobs; may be empty */

  GArray *peer_states;     /* HzbPeerState, of the other controllers */
  GArray *watermarks;      /* HzbWatermarkAge, rising */
  guint64 fenced_revision; /* see hzb_peers_fenced_revision() */

  /* In replies only: what the receiver lacks. */
  GArray *cancellations;       /* HzbCancellation, of what was recorded after the revision that the request stated */
  guint64 cancellations_up_to; /* and these are all up to this one; 0: nothing is said */
} HzbPeerHeartbeat;

/** hzb_peer_heartbeat_new: Returns: (transfer full): one that says nothing yet */
HzbPeerHeartbeat *hzb_peer_heartbeat_new (void);
void hzb_peer_heartbeat_free (HzbPeerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbPeerHeartbeat, hzb_peer_heartbeat_free)

/** hzb_peer_heartbeat_add_counts: counts of one more job. */
void hzb_peer_heartbeat_add_counts (HzbPeerHeartbeat *heartbeat, const char *uid, guint done, guint running);

/** hzb_peer_heartbeat_add_peer_state: what is known of one more controller. */
void hzb_peer_heartbeat_add_peer_state (HzbPeerHeartbeat *heartbeat, const char *node, guint64 born,
                                        guint64 cancellations_known, gboolean self_fenced);

/** hzb_peer_heartbeat_encode: adds the heartbeat's fields to a message. */
void hzb_peer_heartbeat_encode (const HzbPeerHeartbeat *heartbeat, cJSON *message);

/** hzb_peer_heartbeat_decode: Returns: (transfer full): what the message says; what it lacks, or says wrongly, has its default */
HzbPeerHeartbeat *hzb_peer_heartbeat_decode (const cJSON *message);
