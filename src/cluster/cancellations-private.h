/**
 * SECTION: cancellations-private
 * @short_description: the state that the source files of cancellations.h share
 */
#pragma once
#include "cancellations.h"

/** _HzbCancellations: the state behind cancellations.h. */
struct _HzbCancellations
{
  HzbCancellationsDependencies dependencies; /**< modules that are used, none owned */
  HzbCancellationsCallbacks callbacks;       /**< functions of the caller */
  gpointer user;                             /**< passed to the callbacks */

  /* cancellation-requests.c */
  GQueue requests;                     /**< PendingRequest, least recently sent first */
  gboolean reading_flush_record;       /**< a read of the flush record is in flight */
  struct timespec next_evidence_check; /**< earliest time at which hzb_cancellations_tick() looks for evidence again */

  /* cancellation-knowledge.c */
  HzbCancellationLog *log;      /**< (owned): cancellations that the replica of the records has received */
  guint64 peer_listed_revision; /**< peers have listed all cancellations up to this revision */
  gboolean self_fencing;        /**< this process promised its peers to fence itself; never reset */
};

/**
 * hzb_cancellations_is_replicated:
 *
 * Returns: TRUE if this controller's replica has all records up to the one that completed the job, including the
 * records of elections
 */
gboolean hzb_cancellations_is_replicated (const HzbCancellations *cancellations, const HzbJob *job);

/**
 * hzb_cancellations_leader_acknowledges: on the leader: announces the cancellation to the leaseholders if tasks of the
 * job are left.
 *
 * Returns: TRUE if every controller knows the cancellation (one of them may have fenced itself instead), or if every
 * machine and leaseholder that can have a task of the job knows the cancellation
 */
gboolean hzb_cancellations_leader_acknowledges (HzbCancellations *cancellations, HzbJob *job);

/**
 * hzb_cancellations_apply: cancels the job of a cancellation that this controller's own replica of the records may not
 * have received yet.
 *
 * Returns: (transfer none) (nullable): the job; NULL if the cancellation can't be applied
 */
HzbJob *hzb_cancellations_apply (HzbCancellations *cancellations, const HzbCancellation *cancellation);

/** hzb_cancellations_clear_requests: frees all pending requests. */
void hzb_cancellations_clear_requests (HzbCancellations *cancellations);
