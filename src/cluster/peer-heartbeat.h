/**
 * SECTION: peer-heartbeat
 * @short_description: what two controllers tell each other once a second, and its encoding
 *
 * The one place that knows how a heartbeat is written. A receiver ignores fields that its version does not know. For a
 * field that a sender of an older version does not send, the receiver assumes the default that is named at the member.
 */
#pragma once
#include "cancellation-log.h"

#include <cjson/cJSON.h>
#include <glib.h>

/** HZB_KV_NEVER_SERVED_S: what a controller states in seconds that the key-value store never served. */
#define HZB_KV_NEVER_SERVED_S 1e6

/** HzbTaskCounts: how many tasks of a job are done and running, for display. */
typedef struct
{
  char *uid;     /**< of the job (owned) */
  guint done;    /**< tasks that completed */
  guint running; /**< tasks that run now */
} HzbTaskCounts;

/** HzbPeerState: what the sender knows of a third controller, from what that one has said of itself. */
typedef struct
{
  char *node;                  /**< name of the third controller (owned) */
  guint64 started_ms;          /**< when the process that said so started, in milliseconds of the time of day */
  guint64 cancellations_known; /**< that process knew all cancellations up to this revision */
  gboolean self_fenced;        /**< see #HzbPeerHeartbeat */
} HzbPeerState;

/** HzbWatermarkAge: a watermark as it is sent, see watermarks.h. */
typedef struct
{
  guint64 revision; /**< all controllers but one know all cancellations up to this revision */
  double age_s;     /**< for at least so many seconds */
} HzbWatermarkAge;

/** HzbPeerHeartbeat: a heartbeat, or the reply to one. */
typedef struct
{
  /** The sender is the elected leader. Default FALSE. */
  gboolean leads;
  /** Highest term that the sender knows. Default 0. */
  guint64 term;
  /** Of records and messages. Default 1. */
  guint schema_version;
  /** The sender lately redirected workers to the leader. Default TRUE. */
  gboolean redirects_workers;
  /** Not long ago the sender stepped down because no worker sent it a heartbeat. Default FALSE. */
  gboolean lost_workers;
  /** Seconds since the key-value store last served the sender. Default HZB_KV_NEVER_SERVED_S. */
  double kv_unresponsive_s;
  /** The sender's replica of the records has all changes up to this revision. Default 0. */
  guint64 replicated_revision;
  /** The sender knows all cancellations up to this revision, by its replica of the records or by peers. Default 0. */
  guint64 cancellations_known;
  /** The sender's replies list what the receiver lacks. FALSE for versions that state no `ref` cancellations_known. */
  gboolean lists_cancellations;
  /** The sender answers no worker once it could have missed a cancellation. Default FALSE. */
  gboolean self_fenced;
  /** `ref` counts covers some of the jobs only; other heartbeats cover the others. */
  gboolean partial_counts;
  /** HzbTaskCounts of the leader's unfinished jobs; may be empty. */
  GArray *counts;

  /** HzbPeerState of the other controllers. */
  GArray *peer_states;
  /** HzbWatermarkAge, by rising revision. */
  GArray *watermarks;
  /** See hzb_peers_fenced_revision(). */
  guint64 fenced_revision;

  /** In replies: HzbCancellation of what was recorded after the revision that the request stated. */
  GArray *cancellations;
  /** In replies: `ref` cancellations is complete up to this revision; 0: the reply says nothing. */
  guint64 cancellations_up_to;
} HzbPeerHeartbeat;

/** hzb_peer_heartbeat_new: Returns: (transfer full): a heartbeat with empty lists, and 0 everywhere else */
HzbPeerHeartbeat *hzb_peer_heartbeat_new (void);

/** hzb_peer_heartbeat_free: frees the heartbeat and its lists. */
void hzb_peer_heartbeat_free (HzbPeerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbPeerHeartbeat, hzb_peer_heartbeat_free)

/** hzb_peer_heartbeat_add_counts: appends the task counts of a job. */
void hzb_peer_heartbeat_add_counts (HzbPeerHeartbeat *heartbeat, const char *uid, guint done, guint running);

/** hzb_peer_heartbeat_add_peer_state: appends what the sender knows of a third controller. */
void hzb_peer_heartbeat_add_peer_state (HzbPeerHeartbeat *heartbeat, const char *node, guint64 started_ms,
                                        guint64 cancellations_known, gboolean self_fenced);

/** hzb_peer_heartbeat_encode: adds the heartbeat's fields to a message. */
void hzb_peer_heartbeat_encode (const HzbPeerHeartbeat *heartbeat, cJSON *message);

/**
 * hzb_peer_heartbeat_decode: reads a heartbeat. A field that is missing or malformed has its default.
 *
 * Returns: (transfer full)
 */
HzbPeerHeartbeat *hzb_peer_heartbeat_decode (const cJSON *message);
