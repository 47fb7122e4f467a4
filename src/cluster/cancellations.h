/**
 * SECTION: cancellations
 * @short_description: decides when a cancelled job may be confirmed to users as cancelled
 *
 * A cancellation is confirmed only when no controller can act without knowing it: no controller can start a task of the
 * job, or renew the lease of a worker without stopping the job's tasks there. cancellations.c gives the argument.
 *
 * The module has three source files: the rules of acknowledgement (cancellations.c), requests to the leader
 * (cancellation-requests.c), and the cancellations that this controller knows and lists to its peers
 * (cancellation-knowledge.c). cancellation-messages.h encodes the messages.
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
  HzbKvClient *kv;                /**< to read the flush record; see hzb_cancellations_tick() */
  const HzbKvReplica *kv_replica; /**< provides its revision and how old its state is */
  HzbElection *election;          /**< provides the leader and the term */
  const HzbOwnership *ownership;  /**< tells whether this controller leads and has loaded the records */
  HzbJobs *jobs;                  /**< the jobs; cancellations that peers list or request are applied to them */
  HzbPeers *peers;                /**< tells which cancellations other controllers know */
} HzbCancellationsDependencies;

/** HzbCancellationsCallbacks: functions that the caller provides. None may be NULL. */
typedef struct
{
  /**
   * On the leader: queues the cancellation of the job for every leaseholder. Called repeatedly for the same job; the
   * callback queues only at the first call.
   */
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
 * hzb_cancellations_tick: looks for other evidence if the leader can't be asked to acknowledge the cancellations of
 * pending requests. If the leader is unreachable, this controller reads the leader's flush record: the leader writes it
 * together with other records, and it states the revision up to which the leader acknowledges cancellations. If the
 * leader is of schema version 1, which sends no acknowledgements, this controller determines whether the leader has
 * received the cancellations. Does nothing on the leader, or if the last search was less than 1 s ago.
 */
void hzb_cancellations_tick (HzbCancellations *cancellations, struct timespec now);

/* ---- acknowledgement ---- */

/**
 * hzb_cancellations_is_acknowledged:
 *
 * Returns: TRUE if no controller can act any more without knowing the cancellation of this job. Once this function has
 * returned TRUE for a job, it never returns FALSE for that job again.
 */
gboolean hzb_cancellations_is_acknowledged (HzbCancellations *cancellations, HzbJob *job);

/**
 * hzb_cancellations_acknowledged_revision:
 *
 * Returns: on a leader that has loaded the records: the revision up to which it acknowledges all recorded
 * cancellations, or 0 if a cancelled job has no record yet. On any other controller: 0
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
 * hzb_cancellations_handle_response: applies the acknowledgements in a response. `term` is the term of the leader that
 * sent the response; the response is ignored if there is a later leader, or if this controller leads.
 * `acknowledged_uids` is a NULL-terminated array of job uids.
 */
void hzb_cancellations_handle_response (HzbCancellations *cancellations, guint64 term, char *const *acknowledged_uids);

/* ---- cancellations known to this controller ---- */

/**
 * hzb_cancellations_note_record: called when the replica of the records has received the record of a completed job,
 * which was written at this revision. If the job was cancelled, adds its cancellation to the #HzbCancellationLog, from
 * which this controller lists cancellations to its peers.
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
 * Returns: FALSE if this controller must not answer workers, because it may have missed a cancellation and other
 * controllers may rely on its promise to fence itself in this case
 */
gboolean hzb_cancellations_may_answer_workers (HzbCancellations *cancellations);
