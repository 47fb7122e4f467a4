/**
 * @file
 * SECTION: jobs
 *
 * The registry of jobs.
 *
 * Each controller keeps what the replicated records say of jobs (jobs.c). The controller that owns tasks also keeps
 * where they are, from hzb_jobs_begin_ownership() to hzb_jobs_end_ownership() (owned-jobs.c).
 */
#pragma once
#include "job-codec.h"
#include "kv-protocol.h"
#include "shard.h"

/** HZB_PROGRESS_PART_TASKS_SCHEMA_1: tasks in a part of a job's progress as schema version 1 records it, which does not state
 * the size. */
#define HZB_PROGRESS_PART_TASKS_SCHEMA_1 32768u

/** HzbAcceptance: a record of jobs that were accepted together. It can be deleted once all of them are terminal. */
typedef struct
{
  char *key;         /**< Its key in the key-value store. */
  GPtrArray *jobs;   /**< (element-type HzbJob) All jobs that it names; not owned. */
  guint open;        /**< Of these, how many are not terminal. */
  gboolean removing; /**< The transaction that deletes the record is under way, or has succeeded. */
  gboolean gone;     /**< The record is deleted, but the completion of some of its jobs has not been read. */
  guint load;        /**< HzbJobs.load of the last full reading that showed it. */
} HzbAcceptance;

/** HzbJobs: the registry. */
typedef struct
{
  /** `name` Replicated state, on every controller
   * @{ */
  GHashTable *by_uid;             /**< Name -> HzbJob. */
  GHashTable *acceptances;        /**< Key -> HzbAcceptance. */
  GQueue completed;               /**< (element-type HzbJob) Terminal jobs, roughly in order of completion. */
  guint max_replicated_completed; /**< So many terminal jobs stay replicated; older ones move to the archive. */
  guint load;                     /**< Counts full readings of all records. */
  /** @} */

  /** `name` State of the owner
   * @{ */
  HzbShard *shard;      /**< (nullable) NULL: this controller owns no tasks. Not owned. */
  gboolean leaseholder; /**< The shard is leased: of each job only the tasks that were delegated are in it. */
  GPtrArray *active;    /**< (element-type HzbJob) Jobs with tasks here, the oldest first. */
  guint chunk; /**< Tasks in a part of a job's progress: a part has to fit into one value of the key-value store. */
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
 * hzb_jobs_apply: takes in what a record says of a job. Nothing changes any more for a job whose completion is known.
 * `value`: the entry of an acceptance record, or the completion record
 * `version`: revision of the completion record
 *
 * Returns: (transfer none) (nullable): the job; NULL if the record cannot be read, which is logged
 */
HzbJob *hzb_jobs_apply (HzbJobs *jobs, const char *uid, const cJSON *value, guint64 version);

/**
 * hzb_jobs_apply_end: as hzb_jobs_apply(), for a completion record that this process wrote itself, or that a
 * peer's heartbeat named.
 * `state`: HZB_JOB_CANCELLED or HZB_JOB_DONE
 * `version`: revision of the record
 *
 * Returns: (transfer none): the job
 */
HzbJob *hzb_jobs_apply_end (HzbJobs *jobs, const char *uid, HzbJobState state, guint n_tasks, guint64 version);

/** hzb_jobs_apply_acceptance: takes in an acceptance record. `value`: (nullable): NULL: the record was deleted */
void hzb_jobs_apply_acceptance (HzbJobs *jobs, const char *key, const cJSON *value);

/** hzb_jobs_deletable_acceptance: Returns: (transfer none) (nullable): a record that can be deleted, since all of its
 * jobs are terminal */
HzbAcceptance *hzb_jobs_deletable_acceptance (HzbJobs *jobs);

/**
 * hzb_jobs_archivable: the oldest terminal jobs, beyond those that stay replicated, whose records may move to the
 * archive.
 * `most`: at most so many
 *
 * Returns: (transfer full) (element-type HzbJob)
 */
GPtrArray *hzb_jobs_archivable (HzbJobs *jobs, guint most);

/**
 * hzb_jobs_forget: the completion record of the job has moved to the archive.
 *
 * Returns: FALSE if the job is kept, since an acceptance record still names it or tasks of it are here
 */
gboolean hzb_jobs_forget (HzbJobs *jobs, const char *uid);

/** hzb_jobs_load_begin: all records are about to be read anew. */
void hzb_jobs_load_begin (HzbJobs *jobs);

/** hzb_jobs_load_end: all records have been read: what this reading did not show is dropped. */
void hzb_jobs_load_end (HzbJobs *jobs);

/** hzb_jobs_compare_not_terminal: makes the transaction conditional on no record, replicated or archived, saying that
 * the job is terminal. */
void hzb_jobs_compare_not_terminal (HzbKvTransaction *transaction, const char *uid);

/**
 * hzb_jobs_begin_ownership: this controller owns tasks from now on.
 * `shard`: (transfer none): valid until hzb_jobs_end_ownership()
 *
 * The leader activates all jobs at once. A leaseholder sets HzbJobs.leaseholder before the call and activates those
 * that are delegated to it.
 */
void hzb_jobs_begin_ownership (HzbJobs *jobs, HzbShard *shard);

/** hzb_jobs_end_ownership: forgets where the tasks of all jobs are. */
void hzb_jobs_end_ownership (HzbJobs *jobs);

/** hzb_jobs_activate: keeps track of the job's tasks from now on. Does nothing for a job that is active or whose team
 * the settings do not name. */
void hzb_jobs_activate (HzbJobs *jobs, HzbJob *job);

/** hzb_jobs_retire: forgets where the job's tasks are, once none of them is on any machine. */
void hzb_jobs_retire (HzbJobs *jobs, HzbJob *job);

/** hzb_jobs_any_unconfirmed: whether any active job has an unconfirmed task. */
gboolean hzb_jobs_any_unconfirmed (HzbJobs *jobs);

/**
 * hzb_jobs_record_run_time: a task of the job ran for so many seconds.
 *
 * Users' estimates of a job class may all be too high or too low, which the known distribution of the paper leaves no
 * room for. So the mean run time of a job is its user's estimate, corrected by how much the estimates of its class have
 * been off. What the job's own tasks took is not used by itself, since the short ones end first.
 */
void hzb_jobs_record_run_time (HzbJobs *jobs, HzbJob *job, double seconds);

/** hzb_jobs_mean_s: the expected run time of one task of the job in seconds, corrected as above. */
double hzb_jobs_mean_s (const HzbJobs *jobs, const HzbJob *job);
