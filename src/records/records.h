/**
 * SECTION: records
 * @short_description: the leader's durable records of progress and machines
 *
 * What the leader keeps in the key-value store for the leader after it: how far jobs have come, and which machines
 * there are. Used only while this node leads. Jobs and machines share records (pages, see record-pages.h); a flush
 * writes those that have news in one transaction (record-flush.c).
 */
#pragma once
#include "cancellations.h"
#include "completed-job-archive.h"
#include "dispatch.h"
#include "election.h"
#include "jobs.h"
#include "kv-client.h"
#include "kv-protocol.h"
#include "machines.h"
#include "node.h"
#include "ownership.h"
#include "reconciliation.h"

/** HzbRecords: the pages of the leader, and the flush that is under way. */
typedef struct _HzbRecords HzbRecords;

/** HzbRecordsDependencies: the modules that the records work with. None is owned; all outlive the records. */
typedef struct
{
  const HzbNode *node;                 /**< settings and clock */
  HzbKvClient *kv;                     /**< where the records lie */
  HzbJobs *jobs;                       /**< whose progress is recorded */
  HzbMachines *machines;               /**< which are recorded */
  HzbDispatch *dispatch;               /**< is run at once when what tasks waited for is durable */
  HzbElection *election;               /**< the term, on which every transaction is conditional */
  HzbOwnership *ownership;             /**< whose epochs show which answers are late */
  HzbCancellations *cancellations;     /**< up to where they are acknowledged goes into the flush record */
  HzbReconciliation *reconciliation;   /**< keeps its roster of controllers in the flush record */
  HzbCompletedJobArchive *job_archive; /**< has its turn with each flush */
} HzbRecordsDependencies;

/** HzbRecordsCallbacks: what the records tell the modules above. */
typedef struct
{
  /** The result of the task is durable: the leaseholder that sent it may let its worker forget the task. */
  void (*task_durable) (HzbTask *task, gpointer user);
} HzbRecordsCallbacks;

/**
 * hzb_records_new:
 * - `dependencies`: copied
 * - `callbacks`: copied
 * - `user`: (transfer none) (nullable): handed to `callbacks`
 *
 * Returns: (transfer full): without pages
 */
HzbRecords *
hzb_records_new (const HzbRecordsDependencies *dependencies, const HzbRecordsCallbacks *callbacks, gpointer user);

/** hzb_records_free: no answer to a flush may come after it. */
void hzb_records_free (HzbRecords *records);

/** hzb_records_reset: drops all pages. Called when an ownership begins or ends, after its epoch has begun. */
void hzb_records_reset (HzbRecords *records);

/**
 * hzb_records_load: takes one record as the key-value store has it, while the leader reads the records of the leader
 * before.
 * - `item`: a record below %HZB_KEY_OWNER; records of other modules are ignored
 */
void hzb_records_load (HzbRecords *records, const HzbKvEntry *item);

/** hzb_records_load_finished: all records were loaded. Pages that are too large, or not ours, are laid out anew. */
void hzb_records_load_finished (HzbRecords *records);

/** hzb_records_flush_soon: writes what is due, at most one transaction at a time. Cheap to call often. */
void hzb_records_flush_soon (HzbRecords *records);

/**
 * hzb_records_complete_job: all tasks of the job have finished. Records that the job is done, unless it has been
 * cancelled or the record is on its way already; if the transaction fails, the caller calls again later.
 */
void hzb_records_complete_job (HzbRecords *records, HzbJob *job);

/** hzb_records_drop_job: the job needs no progress record any more; its pages will be written without it. */
void hzb_records_drop_job (HzbRecords *records, HzbJob *job);

/** hzb_records_drop_machine: the machine is gone; its page will be written without it. */
void hzb_records_drop_machine (HzbRecords *records, HzbMachine *machine);
