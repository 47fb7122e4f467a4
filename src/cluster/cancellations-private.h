/**
 * SECTION: cancellations-private
 * @short_description: the state that the source files of cancellations.h share
 */
#pragma once
#include "cancellations.h"

/** _HzbCancellations: the state behind cancellations.h. */
struct _HzbCancellations
{
  HzbCancellationsDependencies uses;   /**< not owned */
  HzbCancellationsCallbacks callbacks; /**< upwards */
  gpointer user;                       /**< for the callbacks */

  /* cancellation-requests.c */
  GQueue requests;              /**< PendingRequest, the one first that was sent longest ago */
  gboolean reading;             /**< a read of the flush record is in flight */
  struct timespec next_attempt; /**< when to look again for the leader's acknowledgements */

  /* cancellation-knowledge.c */
  HzbCancellationLog *log;  /**< (owned) */
  guint64 learned_revision; /**< peers have listed all cancellations up to this revision */
  gboolean self_fencing;    /**< this process answers no worker once it could have missed a cancellation; stays TRUE */
};

/**
 * hzb_cancellations_replica_has: this controller's replica has all records up to that of the job, including those of
 * elections.
 */
gboolean hzb_cancellations_replica_has (const HzbCancellations *cancellations, const HzbJob *job);

/**
 * hzb_cancellations_leader_acknowledges: on the leader: nothing of the job can be where its cancellation is not known.
 */
gboolean hzb_cancellations_leader_acknowledges (HzbCancellations *cancellations, HzbJob *job);

/**
 * hzb_cancellations_apply: a cancellation that this controller's own replica of the records may not have shown yet.
 *
 * Returns: (transfer none) (nullable): the job; NULL if it can't be
 */
HzbJob *hzb_cancellations_apply (HzbCancellations *cancellations, const HzbCancellation *cancellation);

/** hzb_cancellations_clear_requests: frees all pending requests. */
void hzb_cancellations_clear_requests (HzbCancellations *cancellations);
