/**
 * SECTION: cancellation-log
 * @short_description: the latest recorded cancellations, by revision
 *
 * A controller that the key-value store refuses learns of cancellations from its peers: each controller keeps the
 * latest cancellations that its replica of the records has received, and lists to a peer those after a given revision.
 * The log stores the revision after which it is complete, so it never presents an incomplete list as complete.
 */
#pragma once
#include <glib.h>

/** HzbCancellation: the cancellation of a job, as it was recorded. */
typedef struct
{
  char *uid;        /**< uid of the job (owned) */
  guint64 revision; /**< revision of the key-value store at which the cancellation was recorded */
  guint n_tasks;    /**< number of tasks of the job */
} HzbCancellation;

/** hzb_cancellations_array_new: Returns: (transfer full): an empty array of HzbCancellation that owns its strings */
GArray *hzb_cancellations_array_new (void);

/** hzb_cancellations_array_add: appends a cancellation with a copy of the job's uid. */
void hzb_cancellations_array_add (GArray *cancellations, const char *uid, guint64 revision, guint n_tasks);

/** HzbCancellationLog: opaque. */
typedef struct _HzbCancellationLog HzbCancellationLog;

/**
 * hzb_cancellation_log_new: creates a log of at most `capacity` cancellations; when it is full, the oldest are dropped.
 * Until the first hzb_cancellation_log_restart() the log is complete for no revision and ignores what is added.
 *
 * Returns: (transfer full)
 */
HzbCancellationLog *hzb_cancellation_log_new (guint capacity);

/** hzb_cancellation_log_free: frees the log and its entries. */
void hzb_cancellation_log_free (HzbCancellationLog *log);

/**
 * hzb_cancellation_log_restart: empties the log. From now on the log is complete for cancellations that are recorded
 * after this revision.
 */
void hzb_cancellation_log_restart (HzbCancellationLog *log, guint64 revision);

/**
 * hzb_cancellation_log_add: appends a cancellation with a copy of the uid. Cancellations are added in the order of
 * their revisions. A cancellation is ignored if its revision is lower than that of the last entry, or if its revision
 * is not higher than that of the restart or of the last dropped entry.
 */
void hzb_cancellation_log_add (HzbCancellationLog *log, const char *uid, guint64 revision, guint n_tasks);

/**
 * hzb_cancellation_log_read: appends to `into` (element-type HzbCancellation) the cancellations that were recorded
 * after revision `after`. Stops after `max_count` elements of `into`, but only between two revisions: all cancellations
 * of one revision are appended together. The caller guarantees that the log has all cancellations up to revision
 * `up_to`.
 *
 * Returns: the revision up to which `into` has all cancellations after `after`; 0 if the log does not go back to
 * `after`
 */
guint64
hzb_cancellation_log_read (const HzbCancellationLog *log, guint64 after, guint64 up_to, guint max_count, GArray *into);
