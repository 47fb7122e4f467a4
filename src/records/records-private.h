/**
 * SECTION: records-private
 * @short_description: what the files of HzbRecords share
 *
 * records.c reads, record-page-selection.c chooses what to write, record-flush.c writes it, record-flush-outcome.c
 * applies what became durable, and job-completion.c records that a job is done.
 */
#pragma once
#include "record-pages.h"
#include "records.h"

/** HzbFlushState: of the one transaction of pages that may be under way; see hzb_records_set_flush_state(). */
typedef enum
{
  HZB_FLUSH_IDLE,       /**< none is */
  HZB_FLUSH_COMMITTING, /**< it was sent, and its answer has not come */
  HZB_FLUSH_RESOLVING,  /**< its answer left its outcome open; the flush record, which is being read, shows it */
  HZB_FLUSH_UNRESOLVED, /**< the flush record could not be read either; it will be read again */
  HZB_FLUSH_N_STATES    /**< how many states there are */
} HzbFlushState;

/** _HzbRecords: the pages of the leader, and the flush that is under way. */
struct _HzbRecords
{
  HzbRecordsDependencies modules; /**< what the records work with */
  HzbRecordsCallbacks callbacks;  /**< what they tell the modules above */
  gpointer user;                  /**< (nullable) (not owned): handed to the callbacks */

  HzbPages pages;                /**< all pages, as they are or will be in the key-value store */
  guint retiring_pages;          /**< pages of an earlier layout that are still to be removed */
  gboolean replacements_pending; /**< some page that takes over from a retiring one is not durable yet */

  guint64 flush_version;      /**< version of the flush record, as the last transaction left it; 0: there is none */
  guint64 flush_number;       /**< of the last transaction that was sent */
  HzbFlushState flush_state;  /**< changed by hzb_records_set_flush_state() only */
  HzbEpochCall *unresolved;   /**< (nullable): the HzbFlush in state %HZB_FLUSH_UNRESOLVED, else NULL */
  struct timespec next_flush; /**< no flush before it, and no reading of an unresolved one */
  struct timespec next_clean; /**< no acceptance records are removed before it */
};

/**
 * HzbFlushedPart: what a flush writes of a part of a job's progress, so far as it has to be applied once it is durable.
 */
typedef struct
{
  char *uid;        /**< of the job, which may have gone meanwhile */
  guint releasing;  /**< the released mark that was written */
  GArray *finished; /**< (element-type guint): the tasks whose results were written for the first time */
} HzbFlushedPart;

/** HzbFlush: one transaction of pages. */
typedef struct
{
  guint64 number;         /**< as it stands in the flush record once the transaction is carried out */
  GPtrArray *parts;       /**< (element-type HzbFlushedPart) */
  GPtrArray *machines;    /**< (element-type utf8): names recorded for the first time */
  GPtrArray *acceptances; /**< (element-type utf8): keys of the acceptance records that are removed */
} HzbFlush;

/** hzb_flush_new: Returns: (transfer full): empty */
HzbFlush *hzb_flush_new (guint64 number);

/** hzb_flush_free: does not change what the flush wrote. */
void hzb_flush_free (HzbFlush *flush);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbFlush, hzb_flush_free)

/** hzb_records_set_flush_state: the one place where the state changes; it refuses, and logs, what is not allowed. */
void hzb_records_set_flush_state (HzbRecords *records, HzbFlushState to);

/** hzb_records_drop_unresolved: forgets a flush whose outcome is not known, if there is one. */
void hzb_records_drop_unresolved (HzbRecords *records);

/**
 * hzb_records_choose_pages: puts jobs and machines that have none onto pages.
 *
 * Returns: (transfer container) (element-type HzbPage): the pages that are to be written now, the most urgent ones
 * first
 */
GPtrArray *hzb_records_choose_pages (HzbRecords *records, struct timespec now);

/**
 * hzb_records_wants_release: a machine could take tasks of the job beyond its released mark, and none was asked for
 * since.
 */
gboolean hzb_records_wants_release (const HzbJob *job);

/**
 * hzb_records_on_flush_answered: the answer to a transaction of pages. `user`: an HzbEpochCall of the records with the
 * HzbFlush
 */
void hzb_records_on_flush_answered (HzbKvResult result, const char *body, gpointer user);

/** hzb_records_resolve_flush: reads the flush record, which shows what became of the unresolved flush. */
void hzb_records_resolve_flush (HzbRecords *records);
