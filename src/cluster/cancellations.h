/**
 * SECTION: cancellations
 * @short_description: when a cancelled job may be confirmed to users as cancelled
 *
 * A cancellation is confirmed only once no controller can act without it any more: none can start a task of the job, or
 * renew the lease of a worker without stopping what runs of the job there. cancellations.c gives the argument.
 *
 * Four concerns, a source file each: the rules of acknowledgement (cancellations.c), requests to the leader
 * (cancellation-requests.c), what this controller knows and tells its peers (cancellation-knowledge.c), and the
 * messages (cancellation-messages.h).
 */
#pragma once
#include "cancellation-messages.h"
#include "election.h"
#include "jobs.h"
#include "kv-replica.h"
#include "node.h"
#include "ownership.h"
#include "peers.h"
#include "watermarks.h"

/** HzbCancellations: opaque. */
typedef struct _HzbCancellations HzbCancellations;

/** HzbCancellationsDependencies: the modules that are used; none is owned, all must outlive the #HzbCancellations. */
typedef struct
{
  const HzbNode *node;            /**< this controller */
  HzbKvClient *kv;                /**< to read the leader's flush record */
  const HzbKvReplica *kv_replica; /**< asked for its revision and its age */
  HzbElection *election;          /**< who leads, in which term */
  const HzbOwnership *ownership;  /**< whether this controller has loaded its records as leader */
  HzbJobs *jobs;                  /**< cancellations that peers list are applied to it */
  HzbPeers *peers;                /**< what other controllers know */
} HzbCancellationsDependencies;

/** HzbCancellationsCallbacks: what the modules above do. All are set. */
typedef struct
{
  /** On the leader: queues the cancellation for every leaseholder, once for each job. */
  void (*announce) (HzbJob *job, gpointer user);

  /** On the leader: every leaseholder that was delegated a task of this job has acknowledged the cancellation. */
  gboolean (*all_leaseholders_acknowledged) (const HzbJob *job, gpointer user);

  /** A request waits for the leader: poll it soon. */
  void (*poll_leader_soon) (gpointer user);
} HzbCancellationsCallbacks;

/**
 * hzb_cancellations_new: copies both structures. `user` is passed to the callbacks.
 *
 * Returns: (transfer full)
 */
HzbCancellations *hzb_cancellations_new (const HzbCancellationsDependencies *dependencies,
                                         const HzbCancellationsCallbacks *callbacks, gpointer user);

/** hzb_cancellations_free: must not be called while a read of the key-value store is in flight. */
void hzb_cancellations_free (HzbCancellations *cancellations);

/** hzb_cancellations_tick: looks for acknowledgements of a leader that can't be asked. */
void hzb_cancellations_tick (HzbCancellations *cancellations, struct timespec now);

/* ---- acknowledgement ---- */

/**
 * hzb_cancellations_acknowledged: no controller can act without the cancellation of this job any more. Once TRUE, it
 * stays TRUE.
 */
gboolean hzb_cancellations_acknowledged (HzbCancellations *cancellations, HzbJob *job);

/**
 * hzb_cancellations_acknowledged_revision: on the leader: it acknowledges all cancellations that were recorded up to
 * this revision.
 */
guint64 hzb_cancellations_acknowledged_revision (HzbCancellations *cancellations);

/* ---- requests to the leader ---- */

/**
 * hzb_cancellations_request: asks the leader to acknowledge the cancellation of this job; the request is repeated for
 * 10 s.
 *
 * Returns: FALSE if there is no leader that can be asked just now
 */
gboolean hzb_cancellations_request (HzbCancellations *cancellations, HzbJob *job);

/**
 * hzb_cancellations_next_requests: the cancellations that the next poll asks the leader to acknowledge.
 *
 * Returns: (transfer full) (element-type HzbCancellation): empty if there is none
 */
GArray *hzb_cancellations_next_requests (HzbCancellations *cancellations);

/**
 * hzb_cancellations_acknowledge: on the leader: which of the requested cancellations (element-type HzbCancellation) it
 * acknowledges.
 *
 * Returns: (transfer full): the uids of their jobs. Free with g_strfreev().
 */
char **hzb_cancellations_acknowledge (HzbCancellations *cancellations, const GArray *requested);

/**
 * hzb_cancellations_handle_response: takes the acknowledgements in an answer of the leader of this term; `acknowledged_uids` is
 * a string array.
 */
void hzb_cancellations_handle_response (HzbCancellations *cancellations, guint64 term, char *const *acknowledged_uids);

/* ---- what this controller knows ---- */

/**
 * hzb_cancellations_note_record: the replica of the records has shown how a job completed, recorded at this revision.
 */
void hzb_cancellations_note_record (HzbCancellations *cancellations, const HzbJob *job, guint64 revision);

/** hzb_cancellations_note_load: the replica of the records has read all records anew, as of this revision. */
void hzb_cancellations_note_load (HzbCancellations *cancellations, guint64 revision);

/** hzb_cancellations_fill_heartbeat: see #HzbPeersCallbacks. */
void hzb_cancellations_fill_heartbeat (HzbCancellations *cancellations, HzbPeerHeartbeat *heartbeat);

/** hzb_cancellations_fill_reply: see #HzbPeersCallbacks. */
void hzb_cancellations_fill_reply (HzbCancellations *cancellations, const HzbPeerHeartbeat *request,
                                   HzbPeerHeartbeat *reply);

/** hzb_cancellations_apply_reply: see #HzbPeersCallbacks. */
gboolean hzb_cancellations_apply_reply (HzbCancellations *cancellations, const HzbPeerHeartbeat *reply);

/**
 * hzb_cancellations_may_answer_workers: this controller can't have missed a cancellation that others rely on. While
 * FALSE it is self-fenced and must not answer a worker.
 */
gboolean hzb_cancellations_may_answer_workers (HzbCancellations *cancellations);
