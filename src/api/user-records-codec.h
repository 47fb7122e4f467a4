/**
 * SECTION: user-records-codec
 * @short_description: encodes and decodes the stored records that the user API reads and writes
 *
 * Only this codec of the user API knows the format of these records. The names in them are part of the stored format,
 * so they never change.
 */
#pragma once
#include "jobs.h"
#include "kv-protocol.h"

/** HzbArchivedJob: a completed job whose record has moved to the archive. */
typedef struct
{
  char *status;     /**< (owned) (nullable): the status that users see; NULL if the record has none */
  guint done_tasks; /**< 0 unless the job is done */
} HzbArchivedJob;

/**
 * hzb_archived_job_decode: Returns: (transfer full) (nullable): NULL if the body is not the response to a read of one
 * key
 */
HzbArchivedJob *hzb_archived_job_decode (const char *body);

/** hzb_archived_job_free: frees the archived job. */
void hzb_archived_job_free (HzbArchivedJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbArchivedJob, hzb_archived_job_free)

/** HzbAcceptanceRecord: one record that accepts several jobs together. */
typedef struct _HzbAcceptanceRecord HzbAcceptanceRecord;

/** hzb_acceptance_record_new: Returns: (transfer full): a record without jobs, to be stored under this key */
HzbAcceptanceRecord *hzb_acceptance_record_new (const char *key);

/** hzb_acceptance_record_free: frees the record. */
void hzb_acceptance_record_free (HzbAcceptanceRecord *record);

/** hzb_acceptance_record_contains: Returns: TRUE if the record accepts this job already */
gboolean hzb_acceptance_record_contains (const HzbAcceptanceRecord *record, const char *uid);

/**
 * hzb_acceptance_record_add: adds a job to the record. encoded is the result of hzb_accepted_job_encode() for the job.
 */
void hzb_acceptance_record_add (HzbAcceptanceRecord *record, const char *uid, const char *encoded);

/** hzb_acceptance_record_put: adds the record to a transaction, on condition that its key does not exist. */
void hzb_acceptance_record_put (const HzbAcceptanceRecord *record, HzbKvTransaction *transaction);

/** hzb_acceptance_record_apply: enters the jobs of a durable record into the job registry as accepted. */
void hzb_acceptance_record_apply (const HzbAcceptanceRecord *record, HzbJobs *jobs);

/**
 * hzb_accepted_job_encode: Returns: (transfer full): the entry of one job in an acceptance record, as JSON text: the
 * printed result of hzb_job_acceptance_encode(); accepted_at is the wall-clock time of the acceptance
 */
char *hzb_accepted_job_encode (const HzbJobSpec *spec, struct timespec accepted_at);

/** hzb_cancellation_record_put: adds the completion record of a cancelled job to a transaction. */
void hzb_cancellation_record_put (const char *uid, guint n_tasks, HzbKvTransaction *transaction);
