/**
 * SECTION: peer-heartbeat
 * @short_description: the heartbeat that two controllers exchange once a second, and its encoding
 *
 * Only this module knows how a heartbeat is encoded. A receiver ignores fields that its version does not know. If a
 * field is missing because the sender runs an older version, the struct member gets the default given in its comment.
 */
#pragma once
#include "cancellation-log.h"

#include <cjson/cJSON.h>
#include <glib.h>

/**
 * HZB_KV_NEVER_SERVED_S: value of `kv_unresponsive_s`, in seconds, if the key-value store never served the sender.
 */
#define HZB_KV_NEVER_SERVED_S 1e6

/** HzbTaskCounts: numbers of done and running tasks of a job, for display. */
typedef struct
{
  char *uid;     /**< uid of the job (owned) */
  guint done;    /**< completed tasks */
  guint running; /**< running tasks */
} HzbTaskCounts;

/** HzbPeerState: what a third controller has stated about itself, relayed by the sender. */
typedef struct
{
  char *node;         /**< name of the third controller (owned) */
  guint64 started_ms; /**< start time of the process that made the statement, in milliseconds since the Unix epoch */
  guint64 known_cancellations_revision; /**< that process knows all cancellations up to this revision */
  gboolean self_fenced;                 /**< see #HzbPeerHeartbeat */
} HzbPeerState;

/** HzbRelayedWatermark: a watermark in a heartbeat, with its age in place of a local time; see watermarks.h. */
typedef struct
{
  guint64 revision; /**< all controllers but one know all cancellations up to this revision */
  double age_s;     /**< these controllers have known these cancellations for at least this many seconds */
} HzbRelayedWatermark;

/** HzbPeerHeartbeat: a heartbeat, or the reply to one. */
typedef struct
{
  /** The sender is the elected leader. Default FALSE. */
  gboolean leads;
  /** Highest term that the sender knows. Default 0. */
  guint64 term;
  /** Highest schema version of records and messages that the sender can read. Default 1. */
  guint schema_version;
  /** The sender recently redirected workers to the leader. Default TRUE. */
  gboolean redirects_workers;
  /** The sender recently stepped down because no worker sent it heartbeats. Default FALSE. */
  gboolean lost_workers;
  /** Seconds since the key-value store last served the sender. Default HZB_KV_NEVER_SERVED_S. */
  double kv_unresponsive_s;
  /** The sender's replica of the records has all changes up to this revision. Default 0. */
  guint64 replicated_revision;
  /** The sender knows all cancellations up to this revision, from its replica or from peers. Default 0. */
  guint64 known_cancellations_revision;
  /**
   * The sender's replies list cancellations that the requester lacks. Not encoded: set if the message contains the
   * field of `known_cancellations_revision`, because the versions that send it also list cancellations.
   */
  gboolean lists_cancellations;
  /** The sender has promised not to answer workers whenever it may lack a cancellation. Default FALSE. */
  gboolean self_fenced;
  /** `counts` covers only some of the jobs; other heartbeats cover the rest. Default FALSE. */
  gboolean partial_counts;
  /** HzbTaskCounts of the leader's unfinished jobs; may be empty. */
  GArray *counts;

  /** HzbPeerState of the sender's peers. */
  GArray *peer_states;
  /** HzbRelayedWatermark, by ascending revision. */
  GArray *watermarks;
  /**
   * As the sender knows, every controller knows all cancellations up to this revision or has fenced itself; see
   * watermarks.h. Default 0.
   */
  guint64 fenced_revision;

  /** In replies: the cancellations (HzbCancellation) recorded after the request's `known_cancellations_revision`. */
  GArray *cancellations;
  /** In replies: `cancellations` is complete up to this revision; 0: the reply has no valid list. Default 0. */
  guint64 cancellations_up_to;
} HzbPeerHeartbeat;

/** hzb_peer_heartbeat_new: Returns: (transfer full): a heartbeat with empty lists and all other members 0 */
HzbPeerHeartbeat *hzb_peer_heartbeat_new (void);

/** hzb_peer_heartbeat_free: frees the heartbeat and its lists. */
void hzb_peer_heartbeat_free (HzbPeerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbPeerHeartbeat, hzb_peer_heartbeat_free)

/** hzb_peer_heartbeat_add_counts: appends the task counts of a job. */
void hzb_peer_heartbeat_add_counts (HzbPeerHeartbeat *heartbeat, const char *uid, guint done, guint running);

/** hzb_peer_heartbeat_add_peer_state: appends what the sender knows of a third controller. */
void hzb_peer_heartbeat_add_peer_state (HzbPeerHeartbeat *heartbeat, const char *node, guint64 started_ms,
                                        guint64 known_cancellations_revision, gboolean self_fenced);

/** hzb_peer_heartbeat_encode: adds the heartbeat's fields to a message. */
void hzb_peer_heartbeat_encode (const HzbPeerHeartbeat *heartbeat, cJSON *message);

/**
 * hzb_peer_heartbeat_decode: reads a heartbeat. Members whose field is missing or malformed get their default.
 *
 * Returns: (transfer full)
 */
HzbPeerHeartbeat *hzb_peer_heartbeat_decode (const cJSON *message);
