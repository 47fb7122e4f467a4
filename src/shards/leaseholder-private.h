/**
 * @file
 * SECTION: leaseholder-private
 * What the files of the leaseholder's side share.
 *
 * leaseholder.c decides when the lease ends, leaseholder-poll.c polls the leader, leaseholder-answer.c applies the
 * leader's answer, and leaseholder-returns.c gives back what the node does not need.
 */
#pragma once
#include "leaseholder.h"
#include "shard-poll-messages.h"

/** _HzbLeaseholder: the module's state. */
struct _HzbLeaseholder
{
  HzbLeaseholderDependencies modules; /**< what it works with */
  HzbLeaseholderCallbacks callbacks;  /**< calls upwards */
  gboolean polling;                   /**< a poll is on its way */
  HzbEpochCall poll;         /**< the poll that was sent last, with the epoch of the ownership in which it was sent */
  guint64 fencing_token;     /**< of the shard that is, or was last, held */
  guint64 batches_taken;     /**< the leader's batches up to this number were applied */
  HzbOutbox events;          /**< (element-type HzbShardEvent): what the leader has not acknowledged */
  guint next_counted;        /**< the active job with which the next partial counts begin */
  struct timespec last_poll; /**< when it was sent */
  struct timespec next_poll; /**< none is sent before */
  struct timespec next_maintenance; /**< tasks that may have to go back are not looked for before */
  struct timespec last_answer;      /**< when the leader last answered while a shard was held */
  struct timespec valid_until;      /**< when the lease expires */
};

/** hzb_leaseholder_push: queues event (transfer full) for the leader. */
static inline void
hzb_leaseholder_push (HzbLeaseholder *leaseholder, HzbShardEvent *event)
{
  hzb_outbox_push (&leaseholder->events, &event->message);
}

/** hzb_leaseholder_poll_if_due: polls the leader, unless a poll is on its way or the next one is not due yet. */
void hzb_leaseholder_poll_if_due (HzbLeaseholder *leaseholder, struct timespec now);

/** hzb_leaseholder_apply_answer: applies the leader's answer to the poll that was sent last. */
void hzb_leaseholder_apply_answer (HzbLeaseholder *leaseholder, const HzbShardAnswer *answer);

/** hzb_leaseholder_return_unneeded: gives back machines and tasks with which this node can do nothing. */
void hzb_leaseholder_return_unneeded (HzbLeaseholder *leaseholder, struct timespec now);

/** hzb_leaseholder_push_returned: queues that tasks (transfer full), which were never started here, go back to the leader. */
void hzb_leaseholder_push_returned (HzbLeaseholder *leaseholder, HzbTaskGroups *tasks);
