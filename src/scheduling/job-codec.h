/**
 * @file
 * SECTION: job-codec
 *
 * The replicated records of jobs in the key-value store.
 *
 * There are two kinds of records. An acceptance record names all jobs that a controller accepted together; its value
 * maps the name of each job to an entry with the submission. A completion record states how one job ended. The stored
 * format never changes.
 */
#pragma once
#include "job.h"

#include <cjson/cJSON.h>

/** HzbJobRecord: the decoded record of one job. */
typedef struct
{
  HzbJobState state;        /**< HZB_JOB_ACCEPTED: from an acceptance record; otherwise from a completion record. */
  struct timespec accepted; /**< Acceptance only: when the job was accepted, time of day. */
  HzbJobSpec *spec;         /**< (nullable) Acceptance only: the submission; owned. NULL: a completion. */
  guint n_tasks;            /**< Number of tasks. */
} HzbJobRecord;

/** HzbAcceptedJob: one job that an acceptance record names. Both members point into the record. */
typedef struct
{
  const char *uid;    /**< Name of the job. */
  const cJSON *entry; /**< The value for hzb_job_record_decode(). */
} HzbAcceptedJob;

/** hzb_job_record_clear: frees the members of the record, not the record itself. */
void hzb_job_record_clear (HzbJobRecord *record);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HzbJobRecord, hzb_job_record_clear)

/** hzb_job_record_is_acceptance: whether the value is an entry of an acceptance record. Checks the state only. */
gboolean hzb_job_record_is_acceptance (const cJSON *value);

/**
 * hzb_job_record_decode: decodes the record of one job.
 * `uid`: name of the job
 * `value`: the entry of an acceptance record, or the completion record
 * `known_tasks`: the number of tasks, used if the completion record does not state it
 * `record`: (out): freed with hzb_job_record_clear()
 *
 * Returns: FALSE if `value` is neither kind of record
 */
gboolean hzb_job_record_decode (const char *uid, const cJSON *value, guint known_tasks, HzbJobRecord *record);

/**
 * hzb_acceptance_decode: lists the jobs that an acceptance record names, in the order of the record.
 *
 * Returns: (transfer full) (element-type HzbAcceptedJob): the elements are valid as long as `value`
 */
GArray *hzb_acceptance_decode (const cJSON *value);

/**
 * hzb_job_acceptance_encode: encodes a job's entry in an acceptance record.
 * `wall`: when the job was accepted, time of day; recorded in whole milliseconds
 *
 * Returns: (transfer full)
 */
cJSON *hzb_job_acceptance_encode (const HzbJobSpec *spec, struct timespec wall);

/**
 * hzb_job_completion_encode: encodes a job's completion record.
 * `state`: HZB_JOB_DONE or HZB_JOB_CANCELLED
 *
 * Returns: (transfer full)
 */
cJSON *hzb_job_completion_encode (HzbJobState state, guint n_tasks);
