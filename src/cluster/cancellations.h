/**
 * SECTION: cancellations
 * @short_description: decides when a cancelled job may be confirmed to users as cancelled
 *
 * A cancellation is confirmed only when no controller can act without knowing it: no controller can start a task of the
 * job, or renew the lease of a worker without stopping the job's tasks there. cancellations.c gives the argument.
 *
 * The module has four source files: the rules of acknowledgement (cancellations.c), requests to the leader
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

/** HzbCancellationsDependencies: modules that #HzbCancellations uses; none is owned, and all must outlive it. */
typedef struct
{
  const HzbNode *node;            /**< this controller */
  HzbKvClient *kv;                /**< to read the leader's flush record */
  const HzbKvReplica *kv_replica; /**< provides its revision and how old its state is */
  HzbElection *election;          /**< provides the leader and the term */
  const HzbOwnership *ownership;  /**< tells whether this controller leads and has loaded the records */
  HzbJobs *jobs;                  /**< jobs that cancellations listed by peers are applied to */
  HzbPeers *peers;                /**< tells which cancellations other controllers know */
} HzbCancellationsDependencies;

/** HzbCancellationsCallbacks: functions that the caller provides. None may be NULL. */
typedef struct
{
  /** On the leader: queues the cancellation for every leaseholder, once for each job. */
  void (*announce) (HzbJob *job, gpointer user);

  /**
   * On the leader.
   * Returns: TRUE if every leaseholder that was delegated a task of this job has acknowledged the cancellation
   */
  gboolean (*all_leaseholders_acknowledged) (const HzbJob *job, gpointer user);

  /** Called when a request for the leader is pending, so that the leader is polled soon. */
  void (*poll_leader_soon) (gpointer user);
} HzbCancellationsCallbacks;

/**
 * hzb_cancellations_new: copies both structures. `user` is passed to the callbacks and is not owned.
 *
 * Returns: (transfer full)
 */
HzbCancellations *hzb_cancellations_new (const HzbCancellationsDependencies *dependencies,
                                         const HzbCancellationsCallbacks *callbacks, gpointer user);

/** hzb_cancellations_free: frees the structure. No read of the key-value store may be in flight. */
void hzb_cancellations_free (HzbCancellations *cancellations);

/**
 * hzb_cancellations_tick: looks for acknowledgements of a leader that can't be asked: one that is unreachable, or of
 * schema version 1. Does so for pending requests, once a second at most.
 */
void hzb_cancellations_tick (HzbCancellations *cancellations, struct timespec now);

/* ---- acknowledgement ---- */

/**
 * hzb_cancellations_is_acknowledged:
 *
 * Returns: TRUE if no controller can act without the cancellation of this job any more. The result of a job never
 * changes from TRUE to FALSE.
 */
gboolean hzb_cancellations_is_acknowledged (HzbCancellations *cancellations, HzbJob *job);

/**
 * hzb_cancellations_acknowledged_revision: on the leader.
 *
 * Returns: the revision up to which the leader acknowledges all recorded cancellations; 0 if this controller is not a
 * leader that has loaded the records, or if a cancelled job has no record yet
 */
guint64 hzb_cancellations_acknowledged_revision (HzbCancellations *cancellations);

/* ---- requests to the leader ---- */

/**
 * hzb_cancellations_request: asks the leader to acknowledge the cancellation of this job. The request is sent with each
 * poll of the leader for 10 s.
 *
 * Returns: FALSE if no leader can be asked at the moment
 */
gboolean hzb_cancellations_request (HzbCancellations *cancellations, HzbJob *job);

/**
 * hzb_cancellations_next_requests: selects the requests that the next poll of the leader carries, and drops those that
 * have expired or are acknowledged.
 *
 * Returns: (transfer full) (element-type HzbCancellation): the cancellations to acknowledge; may be empty
 */
GArray *hzb_cancellations_next_requests (HzbCancellations *cancellations);

/**
 * hzb_cancellations_acknowledge: on the leader: applies the requested cancellations (element-type HzbCancellation) and
 * decides which of them it acknowledges.
 *
 * Returns: (transfer full): the uids of the jobs whose cancellation the leader acknowledges. Free with g_strfreev().
 */
char **hzb_cancellations_acknowledge (HzbCancellations *cancellations, const GArray *requested);

/**
 * hzb_cancellations_handle_response: applies the acknowledgements in a response of the leader of this term.
 * `acknowledged_uids` is a NULL-terminated array of job uids.
 */
void hzb_cancellations_handle_response (HzbCancellations *cancellations, guint64 term, char *const *acknowledged_uids);

/* ---- cancellations known to this controller ---- */

/**
 * hzb_cancellations_note_record: called when the replica of the records has received the record of a completed job,
 * which was written at this revision. Cancelled jobs are added to the log of cancellations.
 */
void hzb_cancellations_note_record (HzbCancellations *cancellations, const HzbJob *job, guint64 revision);

/** hzb_cancellations_note_load: called when the replica of the records has reloaded all records as of this revision. */
void hzb_cancellations_note_load (HzbCancellations *cancellations, guint64 revision);

/** hzb_cancellations_fill_heartbeat: see #HzbPeersCallbacks. */
void hzb_cancellations_fill_heartbeat (HzbCancellations *cancellations, HzbPeerHeartbeat *heartbeat);

/** hzb_cancellations_fill_reply: see #HzbPeersCallbacks. */
void hzb_cancellations_fill_reply (HzbCancellations *cancellations, const HzbPeerHeartbeat *request,
                                   HzbPeerHeartbeat *reply);

/** hzb_cancellations_apply_reply: see #HzbPeersCallbacks. */
gboolean hzb_cancellations_apply_reply (HzbCancellations *cancellations, const HzbPeerHeartbeat *reply);

/**
 * hzb_cancellations_may_answer_workers:
 *
 * Returns: FALSE if this controller may have missed a cancellation that other controllers rely on it to know. It is
 * self-fenced then and must not answer workers.
 */
gboolean hzb_cancellations_may_answer_workers (HzbCancellations *cancellations);
