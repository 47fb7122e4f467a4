/**
 * SECTION: cancellation-log
 * @short_description: the latest cancellations on record, in the order of their revisions
 *
 * A controller that the key-value store does not serve learns of cancellations from its peers: each keeps the latest ones that
 * its replica of the records has shown, and tells what came after a revision. The log knows from which revision on it is complete.
 */
#pragma once
#include <glib.h>

/** HzbCancellation: that a job is cancelled, as recorded. */
typedef struct
{
  char *uid;
  guint64 revision; /* of the record */
  guint n_tasks;
} HzbCancellation;

/** hzb_cancellations_array_new: Returns: (transfer full): an empty array of #HzbCancellation that owns its texts */
GArray *hzb_cancellations_array_new (void);

typedef struct _HzbCancellationLog HzbCancellationLog;

/** hzb_cancellation_log_new: keeps at most @capacity cancellations; the oldest go first. */
HzbCancellationLog *hzb_cancellation_log_new (guint capacity);
void hzb_cancellation_log_free (HzbCancellationLog *log);

/** hzb_cancellation_log_restart: what was recorded up to this revision is not in the log. */
void hzb_cancellation_log_restart (HzbCancellationLog *log, guint64 revision);

/** hzb_cancellation_log_add: one more, in the order of revisions; one that is not newer than the last is ignored. */
void hzb_cancellation_log_add (HzbCancellationLog *log, const char *uid, guint64 revision, guint n_tasks);

/**
 * hzb_cancellation_log_read:
 * @after: the first revision that is not asked for
 * @most: about how many to return; those of one revision stay together
 * @upto: the log was complete up to this revision when it was read
 * @into: (element-type HzbCancellation): what came after @after is added
 *
 * Returns: up to which revision @into has all that came after @after; 0 if the log does not go back so far
 */
guint64
hzb_cancellation_log_read (const HzbCancellationLog *log, guint64 after, guint64 upto, guint most, GArray *into);
