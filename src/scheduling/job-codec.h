/**
 * @file
 * SECTION: job-codec
 *
 * The replicated records of jobs in the key-value store.
 *
 * There are two kinds. An acceptance record names all jobs that a controller accepted together; its value maps the
 * name of each job to an entry with the submission. A completion record says how one job ended. The stored form never
 * changes.
 */
#pragma once
#include "job.h"

#include <cjson/cJSON.h>

/** HzbJobRecord: what a record says of one job. */
typedef struct
{
  HzbJobState state;        /**< HZB_JOB_ACCEPTED: from an acceptance record; otherwise from its completion record. */
  struct timespec accepted; /**< Of an acceptance: when, time of day. */
  HzbJobSpec *spec;         /**< Of an acceptance: (transfer full): the submission; otherwise NULL. */
  guint n_tasks;            /**< Number of tasks. */
} HzbJobRecord;

/** HzbAcceptedJob: one job that an acceptance record names. Both members point into the record. */
typedef struct
{
  const char *uid;    /**< Name of the job. */
  const cJSON *entry; /**< What hzb_job_record_decode() reads. */
} HzbAcceptedJob;

/** hzb_job_record_clear: frees what the record points to. */
void hzb_job_record_clear (HzbJobRecord *record);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HzbJobRecord, hzb_job_record_clear)

/** hzb_job_record_is_acceptance: whether the value says that the job was accepted, without reading the rest. */
gboolean hzb_job_record_is_acceptance (const cJSON *value);

/**
 * hzb_job_record_decode:
 * `uid`: name of the job
 * `value`: the entry of an acceptance record, or the completion record
 * `known_tasks`: the number of tasks, if the completion record does not say it
 * `record`: (out): freed with hzb_job_record_clear()
 *
 * Returns: FALSE if `value` is neither
 */
gboolean hzb_job_record_decode (const char *uid, const cJSON *value, guint known_tasks, HzbJobRecord *record);

/**
 * hzb_acceptance_decode: the jobs that an acceptance record names, in its order.
 *
 * Returns: (transfer full) (element-type HzbAcceptedJob): valid for as long as `value` is
 */
GArray *hzb_acceptance_decode (const cJSON *value);

/**
 * hzb_job_acceptance_encode: a job's entry in an acceptance record.
 * `wall`: when the job was accepted, time of day; recorded in whole milliseconds
 *
 * Returns: (transfer full)
 */
cJSON *hzb_job_acceptance_encode (const HzbJobSpec *spec, struct timespec wall);

/**
 * hzb_job_end_encode: a job's completion record.
 * `state`: HZB_JOB_DONE or HZB_JOB_CANCELLED
 *
 * Returns: (transfer full)
 */
cJSON *hzb_job_end_encode (HzbJobState state, guint n_tasks);
