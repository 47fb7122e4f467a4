/**
 * @file
 * SECTION: jobs
 *
 * The registry of jobs.
 *
 * Each controller keeps the state of all jobs according to the replicated records (jobs.c). The controller that owns
 * tasks also keeps the state of each task, from hzb_jobs_begin_ownership() to hzb_jobs_end_ownership() (owned-jobs.c).
 */
#pragma once
#include "job-codec.h"
#include "kv-protocol.h"
#include "shard.h"

/** HZB_SCHEMA_1_CHUNK_TASKS: tasks in a chunk of a job's progress as schema version 1 records it. Such a record does
 * not state the size of its chunks. */
#define HZB_SCHEMA_1_CHUNK_TASKS 32768u

/** HzbAcceptance: a record of jobs that were accepted together. It can be deleted once all of them are terminal. */
typedef struct
{
  char *key;         /**< Its key in the key-value store. */
  GPtrArray *jobs;   /**< (element-type HzbJob) All jobs that it names; not owned. */
  guint n_open;      /**< Of these, the number that are not terminal. */
  gboolean deleting; /**< The transaction that deletes the record is in progress, or has succeeded. */
  gboolean deleted;  /**< The record is deleted, but the completion of some of its jobs has not been read. */
  guint last_load;   /**< HzbJobs.load_number of the last full load that included it. */
} HzbAcceptance;

/** HzbJobs: the registry. */
typedef struct
{
  /** `name` Replicated state, on every controller
   * @{ */
  GHashTable *by_uid;             /**< Name -> HzbJob. */
  GHashTable *acceptances;        /**< Key -> HzbAcceptance. */
  GQueue completed;               /**< (element-type HzbJob) Terminal jobs, roughly in order of completion. */
  guint max_replicated_completed; /**< Number of terminal jobs that stay replicated; older ones move to the archive. */
  guint load_number;              /**< Number of full loads of all records so far. */
  /** @} */

  /** `name` State of the owner
   * @{ */
  HzbShard *shard;      /**< (nullable) NULL: this controller owns no tasks. Not owned. */
  gboolean leaseholder; /**< The shard is leased: it contains only the tasks that were delegated. */
  GPtrArray *active;    /**< (element-type HzbJob) Jobs whose tasks are tracked here, the oldest first; not owned. */
  guint chunk_tasks;    /**< Tasks in a chunk of a job's progress; a chunk has to fit into one value of the key-value
                           store. */
  GHashTable *estimate_biases; /**< Job class -> double, see hzb_jobs_record_run_time(). */
  /** @} */

  HzbClock *clock;             /**< Not owned. */
  const HzbSettings *settings; /**< Not owned. */
} HzbJobs;

/**
 * hzb_jobs_new:
 * `clock`: (transfer none): outlives the registry
 * `settings`: (transfer none): outlives the registry
 *
 * Returns: (transfer full): an empty registry
 */
HzbJobs *hzb_jobs_new (HzbClock *clock, const HzbSettings *settings);

/** hzb_jobs_free: `jobs`: (transfer full) */
void hzb_jobs_free (HzbJobs *jobs);

/** hzb_jobs_find: Returns: (transfer none) (nullable): the job of that name */
HzbJob *hzb_jobs_find (HzbJobs *jobs, const char *uid);

/**
 * hzb_jobs_apply: updates a job from a record, or adds the job. A job whose completion record is known no longer
 * changes.
 * `value`: the entry of an acceptance record, or the completion record
 * `version`: revision of the completion record; 0 for the entry of an acceptance record
 *
 * Returns: (transfer none) (nullable): the job; NULL if the record cannot be read, which is logged
 */
HzbJob *hzb_jobs_apply (HzbJobs *jobs, const char *uid, const cJSON *value, guint64 version);

/**
 * hzb_jobs_apply_completion: as hzb_jobs_apply(), for a completion record that this process wrote itself, or that a
 * peer's heartbeat named.
 * `state`: HZB_JOB_CANCELLED or HZB_JOB_DONE
 * `version`: revision of the record
 *
 * Returns: (transfer none): the job
 */
HzbJob *hzb_jobs_apply_completion (HzbJobs *jobs, const char *uid, HzbJobState state, guint n_tasks, guint64 version);

/** hzb_jobs_apply_acceptance: updates the registry from an acceptance record. `value`: (nullable): NULL: the record was
 * deleted */
void hzb_jobs_apply_acceptance (HzbJobs *jobs, const char *key, const cJSON *value);

/** hzb_jobs_find_deletable_acceptance: Returns: (transfer none) (nullable): a record that can be deleted, since all of
 * its jobs are terminal */
HzbAcceptance *hzb_jobs_find_deletable_acceptance (HzbJobs *jobs);

/**
 * hzb_jobs_list_archivable: the oldest terminal jobs, beyond those that stay replicated, whose records may move to the
 * archive.
 * `max_jobs`: maximum number of jobs to return
 *
 * Returns: (transfer container) (element-type HzbJob): the jobs, which stay in the registry
 */
GPtrArray *hzb_jobs_list_archivable (HzbJobs *jobs, guint max_jobs);

/**
 * hzb_jobs_remove: removes a job whose completion record has moved to the archive.
 *
 * Returns: FALSE if the job is kept, since an acceptance record still names it or this controller tracks its tasks;
 * TRUE if the job was removed, or is not in the registry
 */
gboolean hzb_jobs_remove (HzbJobs *jobs, const char *uid);

/** hzb_jobs_load_begin: starts a full load; the caller is about to read all records. */
void hzb_jobs_load_begin (HzbJobs *jobs);

/** hzb_jobs_load_end: ends a full load, in which all records were read, and drops the jobs and acceptance records that
 * it did not include. */
void hzb_jobs_load_end (HzbJobs *jobs);

/** hzb_jobs_compare_not_terminal: makes the transaction conditional on the absence of a completion record of the job,
 * replicated or archived. */
void hzb_jobs_compare_not_terminal (HzbKvTransaction *transaction, const char *uid);

/**
 * hzb_jobs_begin_ownership: this controller owns tasks from now on.
 * `shard`: (transfer none): valid until hzb_jobs_end_ownership()
 *
 * On the leader, this call activates all accepted jobs. A leaseholder sets HzbJobs.leaseholder before the call and
 * activates the jobs that are delegated to it.
 */
void hzb_jobs_begin_ownership (HzbJobs *jobs, HzbShard *shard);

/** hzb_jobs_end_ownership: stops tracking the tasks of all jobs and detaches the shard. */
void hzb_jobs_end_ownership (HzbJobs *jobs);

/** hzb_jobs_activate: starts tracking the job's tasks. Does nothing for a job that is active or whose team the settings
 * do not name. */
void hzb_jobs_activate (HzbJobs *jobs, HzbJob *job);

/** hzb_jobs_deactivate: stops tracking the job's tasks. The caller ensures that none of them is on a machine. */
void hzb_jobs_deactivate (HzbJobs *jobs, HzbJob *job);

/**
 * hzb_jobs_compact_tasks: frees the HzbTasks of tasks that are at rest by now, see task-table.h. Called when no function
 * of the caller holds an HzbTask.
 */
void hzb_jobs_compact_tasks (HzbJobs *jobs);

/** hzb_jobs_any_unconfirmed: whether any active job has an unconfirmed task. */
gboolean hzb_jobs_any_unconfirmed (HzbJobs *jobs);

/**
 * hzb_jobs_record_run_time: records that a task of the job ran for `seconds`.
 *
 * Users' estimates of a job class may all be too high or too low, while the paper (estimate.h) assumes a known
 * distribution of service times. So the mean run time of a job is its user's estimate, corrected by the average error
 * of the estimates of its class. The run times of the job's own tasks are not used directly, since the short tasks
 * end first.
 */
void hzb_jobs_record_run_time (HzbJobs *jobs, HzbJob *job, double seconds);

/** hzb_jobs_expected_run_time_s: the expected run time of one task of the job in seconds, with the correction of
 * hzb_jobs_record_run_time(). */
double hzb_jobs_expected_run_time_s (const HzbJobs *jobs, const HzbJob *job);
