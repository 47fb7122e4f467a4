/**
 * SECTION: records
 * @short_description: the leader's durable records of progress and machines
 *
 * The leader records the progress of jobs and the machines of the cluster in the key-value store, for the leader after
 * a failover. The module is used only while this node leads. Jobs and machines share records (pages, see
 * record-pages.h). A flush writes the changed pages in one transaction (record-flush.c).
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

/** HzbRecords: the pages of the leader, and the flush in flight. */
typedef struct _HzbRecords HzbRecords;

/** HzbRecordsDependencies: the modules that the records use. The records own none of them; all outlive the records. */
typedef struct
{
  const HzbNode *node;                 /**< settings and clock */
  HzbKvClient *kv;                     /**< client of the store that has the records */
  HzbJobs *jobs;                       /**< the jobs whose progress is recorded */
  HzbMachines *machines;               /**< the machines to record */
  HzbDispatch *dispatch;               /**< runs at once when a flush that tasks waited for is durable */
  HzbElection *election;               /**< leader's term, on which every transaction is conditional */
  HzbOwnership *ownership;             /**< its epoch shows whether an answer belongs to an outdated request */
  HzbCancellations *cancellations;     /**< give the acknowledged revision of cancellations for the flush record */
  HzbReconciliation *reconciliation;   /**< adds its roster of controllers to the flush record */
  HzbCompletedJobArchive *job_archive; /**< hzb_records_flush_if_due() calls its tick */
} HzbRecordsDependencies;

/** HzbRecordsCallbacks: the functions of the module that created the records. */
typedef struct
{
  /** The result of the task is durable: the leaseholder that sent the result may let its worker drop the task. */
  void (*task_durable) (HzbTask *task, gpointer user);
} HzbRecordsCallbacks;

/**
 * hzb_records_new: creates the records of a controller.
 * - `dependencies`: copied
 * - `callbacks`: copied
 * - `user`: (transfer none) (nullable): passed to `callbacks`
 *
 * Returns: (transfer full): records without pages
 */
HzbRecords *
hzb_records_new (const HzbRecordsDependencies *dependencies, const HzbRecordsCallbacks *callbacks, gpointer user);

/** hzb_records_free: frees the records. No answer to a flush may arrive afterwards. */
void hzb_records_free (HzbRecords *records);

/**
 * hzb_records_reset: drops all pages. Called when this node gains or loses leadership, after the new epoch has begun.
 */
void hzb_records_reset (HzbRecords *records);

/**
 * hzb_records_load: loads one record from the key-value store, while a new leader loads the records of the previous
 * one.
 * - `entry`: a record below %HZB_KEY_LEADER_RECORDS; records of other modules are ignored
 */
void hzb_records_load (HzbRecords *records, const HzbKvEntry *entry);

/**
 * hzb_records_load_finished: called after all records were loaded. Moves the contents of pages that are too large, or
 * that have chunks which only schema version 1 writes, to other pages.
 */
void hzb_records_load_finished (HzbRecords *records);

/**
 * hzb_records_flush_if_due: writes the pages that are due, unless a flush is in flight or this node does not lead.
 * Cheap to call often.
 */
void hzb_records_flush_if_due (HzbRecords *records);

/**
 * hzb_records_complete_job: records that the job is done. Does nothing if this node does not lead, if the job's state
 * is not accepted (such as cancelled), or if the transaction for this job is in flight already. Called when all tasks
 * of the job have finished; if the transaction fails, the caller calls again later.
 */
void hzb_records_complete_job (HzbRecords *records, HzbJob *job);

/** hzb_records_drop_job: removes the job, which needs no progress record any more, from its pages. */
void hzb_records_drop_job (HzbRecords *records, HzbJob *job);

/** hzb_records_drop_machine: removes a machine that no longer exists from its page. */
void hzb_records_drop_machine (HzbRecords *records, HzbMachine *machine);
