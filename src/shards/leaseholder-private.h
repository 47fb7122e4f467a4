/**
 * @file
 * SECTION: leaseholder-private
 * The leaseholder's state, and the functions that are shared by the files of the leaseholder side.
 *
 * leaseholder.c decides when the lease ends, leaseholder-poll.c polls the leader, leaseholder-answer.c applies the
 * leader's answer, and leaseholder-returns.c returns unstarted tasks, and machines that the node does not
 * need or cannot use.
 */
#pragma once
#include "leaseholder.h"
#include "shard-poll-messages.h"

/** _HzbLeaseholder: the state of the leaseholder. */
struct _HzbLeaseholder
{
  HzbLeaseholderDependencies dependencies; /**< the modules that the leaseholder uses */
  HzbLeaseholderCallbacks callbacks;       /**< callbacks to the controller */
  gboolean poll_in_flight;                 /**< a poll was sent and its answer has not arrived */
  HzbEpochCall poll_call; /**< the poll that was sent last; its answer is dropped if a new ownership epoch has begun */
  guint64 fencing_token;  /**< fencing token of the shard that this node holds, or held last */
  guint64 last_batch_applied; /**< number of the leader's last batch that was applied; 0: none */
  HzbOutbox events;           /**< (element-type HzbShardEvent): the events that the leader has not acknowledged */
  /**
   * if there are too many active jobs for one poll: where in HzbJobs.active the next poll begins, modulo the array's
   * length. The next poll carries the task counts of the jobs from there on.
   */
  guint next_counted_job;
  struct timespec last_poll;            /**< when the last poll was sent */
  struct timespec next_poll;            /**< the earliest time of the next poll */
  struct timespec next_unstarted_check; /**< the earliest time of the next check for unstarted tasks to return */
  struct timespec last_answer;          /**< when the leader last answered while this node held a shard */
  struct timespec valid_until;          /**< when the lease expires */
};

/** hzb_leaseholder_push: queues event (transfer full) for the leader. */
static inline void
hzb_leaseholder_push (HzbLeaseholder *leaseholder, HzbShardEvent *event)
{
  hzb_outbox_push (&leaseholder->events, &event->message);
}

/** hzb_leaseholder_poll_if_due: polls the leader, unless a poll is in flight or the next poll is not due yet. */
void hzb_leaseholder_poll_if_due (HzbLeaseholder *leaseholder, struct timespec now);

/** hzb_leaseholder_apply_answer: applies the leader's answer to the poll that was sent last. */
void hzb_leaseholder_apply_answer (HzbLeaseholder *leaseholder, const HzbShardAnswer *answer);

/**
 * hzb_leaseholder_return_unneeded: returns to the leader the machines that the leader has recalled or that this node
 * does not need or cannot use, and the unstarted tasks that have waited for too long or whose job is terminal.
 */
void hzb_leaseholder_return_unneeded (HzbLeaseholder *leaseholder, struct timespec now);

/** hzb_leaseholder_push_returned: queues the return of tasks (transfer full) that this node has never started. */
void hzb_leaseholder_push_returned (HzbLeaseholder *leaseholder, HzbTaskGroups *tasks);
