/**
 * @file
 * SECTION: sent-starts
 *
 * The start commands that were sent to one machine lately.
 *
 * A late copy of a response to a heartbeat may reach the worker, which takes a response until 4 seconds after it sent the
 * heartbeat, and drops one whose fencing token is lower than the highest that it has seen. The worker ignores the start
 * of an attempt that it lists, but would start an attempt again after it was told to reap it. So the attempt is reaped,
 * and a task that the worker does not list is started elsewhere, only once no copy of its start can be taken any more.
 */
#pragma once
#include "clock.h"

/** HzbSentStarts: the start commands of one machine. */
typedef struct _HzbSentStarts HzbSentStarts;

/** hzb_sent_starts_new: Returns: (transfer full) */
HzbSentStarts *hzb_sent_starts_new (void);

/** hzb_sent_starts_free: `starts`: (transfer full) */
void hzb_sent_starts_free (HzbSentStarts *starts);

/**
 * hzb_sent_starts_note: notes a start command, and forgets those of which no copy can be taken any more.
 * `fencing_token`: of the response
 * `now`: when the response was sent
 */
void hzb_sent_starts_note (HzbSentStarts *starts, const char *uid, guint task, guint64 attempt, guint64 fencing_token,
                           struct timespec now);

/**
 * hzb_sent_starts_may_arrive: whether the worker may still take a copy of the start of this attempt.
 * `seen_fencing_token`: the highest fencing token that the worker has seen, from its last heartbeat
 */
gboolean hzb_sent_starts_may_arrive (const HzbSentStarts *starts, const char *uid, guint task, guint64 attempt,
                                     guint64 seen_fencing_token, struct timespec now);
