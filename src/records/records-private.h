/**
 * SECTION: records-private
 * @short_description: internals shared by the files of HzbRecords
 *
 * records.c loads the records, record-page-selection.c selects the pages to write, record-flush.c writes them,
 * record-flush-outcome.c applies or reverts a flush after its outcome is known, and job-completion.c records that a job
 * is done.
 */
#pragma once
#include "record-pages.h"
#include "records.h"

/** HzbFlushState: the state of the flush. At most one flush is in flight. Set by hzb_records_set_flush_state(). */
typedef enum
{
  HZB_FLUSH_IDLE,       /**< no flush is in flight */
  HZB_FLUSH_COMMITTING, /**< the transaction was sent, and its answer has not arrived */
  HZB_FLUSH_RESOLVING,  /**< the answer did not show the outcome; the flush record, which shows it, is being read */
  HZB_FLUSH_UNRESOLVED, /**< the flush record could not be read; it will be read again */
  HZB_FLUSH_N_STATES    /**< number of states */
} HzbFlushState;

/** _HzbRecords: the pages of the leader, and the flush in flight. */
struct _HzbRecords
{
  HzbRecordsDependencies dependencies; /**< the modules that the records use */
  HzbRecordsCallbacks callbacks;       /**< functions of the module that created the records */
  gpointer user;                       /**< (nullable) (not owned): passed to the callbacks */

  HzbPages pages;                /**< all pages that are in the key-value store or will be written to it */
  guint retiring_pages;          /**< number of retiring pages, which are still to be removed */
  gboolean replacements_pending; /**< at least one page that replaces a retiring page is not durable yet */

  guint64 flush_version;      /**< version of the flush record after the last flush; 0: there is no flush record */
  guint64 flush_number;       /**< number of the last flush that was sent */
  HzbFlushState flush_state;  /**< changed by hzb_records_set_flush_state() only */
  HzbEpochCall *unresolved;   /**< (nullable): call with the unresolved HzbFlush; NULL unless %HZB_FLUSH_UNRESOLVED */
  struct timespec next_flush; /**< no flush is sent, and no unresolved flush is resolved, before this time */
  struct timespec next_acceptance_removal; /**< no acceptance records are removed before this time */
};

/**
 * HzbFlushedChunk: the contents of a written chunk of a job's progress that are applied to the job when the flush is
 * durable.
 */
typedef struct
{
  char *uid;           /**< of the job, which may have been removed meanwhile */
  guint released_mark; /**< the released mark that was written */
  GArray *finished;    /**< (element-type guint): numbers of the finished tasks that are to become done */
} HzbFlushedChunk;

/** HzbFlush: the contents of one flush that are applied in memory if it is carried out, and reverted otherwise. */
typedef struct
{
  guint64 number;         /**< the number that the flush's transaction writes into the flush record */
  GPtrArray *chunks;      /**< (element-type HzbFlushedChunk) */
  GPtrArray *machines;    /**< (element-type utf8): names of machines that are recorded for the first time */
  GPtrArray *acceptances; /**< (element-type utf8): keys of the acceptance records that are removed */
} HzbFlush;

/**
 * hzb_flush_new: creates the description of a flush.
 * - `number`: number of the flush
 *
 * Returns: (transfer full): a flush without contents
 */
HzbFlush *hzb_flush_new (guint64 number);

/** hzb_flush_free: frees the description of the flush. Does not apply or revert the flush. */
void hzb_flush_free (HzbFlush *flush);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbFlush, hzb_flush_free)

/** hzb_records_set_flush_state: changes the state; no other function does. Refuses and logs a transition that is not
 * allowed. */
void hzb_records_set_flush_state (HzbRecords *records, HzbFlushState to);

/** hzb_records_drop_unresolved: frees the unresolved flush, if there is one. */
void hzb_records_drop_unresolved (HzbRecords *records);

/**
 * hzb_records_select_pages: assigns pages to jobs and machines that have none, and selects the pages to write.
 *
 * Returns: (transfer container) (element-type HzbPage): the pages that are due at `now`, urgent pages first
 */
GPtrArray *hzb_records_select_pages (HzbRecords *records, struct timespec now);

/**
 * hzb_records_job_needs_release: Returns: whether the next flush with the job's progress raises the job's released
 * mark. This is so if the job is accepted, the machines have capacity for tasks beyond the mark
 * (HzbJob.release_requested, which the flush clears), and the mark is below the number of the job's tasks.
 */
gboolean hzb_records_job_needs_release (const HzbJob *job);

/**
 * hzb_records_on_flush_answered: handles the answer to a flush.
 * - `result`: outcome of the request
 * - `body`: (transfer none): of the answer
 * - `user`: (transfer full): an HzbEpochCall of the records with the HzbFlush
 */
void hzb_records_on_flush_answered (HzbKvResult result, const char *body, gpointer user);

/** hzb_records_resolve_flush: reads the flush record, which shows whether the unresolved flush was carried out. */
void hzb_records_resolve_flush (HzbRecords *records);
