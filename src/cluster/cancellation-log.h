/**
 * SECTION: cancellation-log
 * @short_description: the latest recorded cancellations, by revision
 *
 * A controller that the key-value store refuses learns of cancellations from its peers: each controller keeps the
 * latest ones that its replica of the records has shown, and lists to a peer those after a revision. The log knows from
 * which revision on it is complete, so that it never presents an incomplete list as complete.
 */
#pragma once
#include <glib.h>

/** HzbCancellation: the record that cancelled a job. */
typedef struct
{
  char *uid;        /**< of the job (owned) */
  guint64 revision; /**< of the key-value store at which the cancellation was recorded */
  guint n_tasks;    /**< how many tasks the job has */
} HzbCancellation;

/** hzb_cancellations_array_new: Returns: (transfer full): an empty array of HzbCancellation that owns its strings */
GArray *hzb_cancellations_array_new (void);

/** hzb_cancellations_array_add: appends a cancellation with a copy of the job's uid. */
void hzb_cancellations_array_add (GArray *cancellations, const char *uid, guint64 revision, guint n_tasks);

/** HzbCancellationLog: opaque. */
typedef struct _HzbCancellationLog HzbCancellationLog;

/**
 * hzb_cancellation_log_new: a log of at most `capacity` cancellations; beyond that the oldest are dropped. Until the
 * first hzb_cancellation_log_restart() it is complete for no revision and ignores what is added. Returns: (transfer
 * full)
 */
HzbCancellationLog *hzb_cancellation_log_new (guint capacity);

/** hzb_cancellation_log_free: frees the log and its entries. */
void hzb_cancellation_log_free (HzbCancellationLog *log);

/**
 * hzb_cancellation_log_restart: empties the log; from now on it is complete for what is recorded after this revision.
 */
void hzb_cancellation_log_restart (HzbCancellationLog *log, guint64 revision);

/**
 * hzb_cancellation_log_add: appends a cancellation. Revisions must not fall; a cancellation whose revision is lower
 * than the last one's, or that lies before the log's beginning, is ignored.
 */
void hzb_cancellation_log_add (HzbCancellationLog *log, const char *uid, guint64 revision, guint n_tasks);

/**
 * hzb_cancellation_log_read: appends to `into` (element-type HzbCancellation) what was recorded after the revision
 * `after`, about `most` cancellations at most; those of one revision are never separated. The caller vouches that the
 * log has everything up to revision `upto`.
 *
 * Returns: the revision up to which `into` has all cancellations after `after`; 0 if the log does not go back so far
 */
guint64
hzb_cancellation_log_read (const HzbCancellationLog *log, guint64 after, guint64 upto, guint most, GArray *into);
