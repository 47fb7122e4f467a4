/**
 * SECTION: user-records-codec
 * @short_description: stored records that the user API reads and writes
 *
 * The one place of the user API that knows their form. The names in them are part of the stored format: they never change.
 */
#pragma once
#include "jobs.h"
#include "kv-protocol.h"

/** HzbArchivedJob: a job that completed long ago, as its archived record has it. */
typedef struct
{
  char *status;     /**< (nullable): as users see it */
  guint done_tasks; /**< 0 unless the job is done */
} HzbArchivedJob;

/** hzb_archived_job_decode: Returns: (transfer full) (nullable): NULL if the body is not the answer to a read of one key */
HzbArchivedJob *hzb_archived_job_decode (const char *body);

/** hzb_archived_job_free: frees it. */
void hzb_archived_job_free (HzbArchivedJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbArchivedJob, hzb_archived_job_free)

/** HzbAcceptanceRecord: one record that accepts several jobs together. */
typedef struct _HzbAcceptanceRecord HzbAcceptanceRecord;

/** hzb_acceptance_record_new: Returns: (transfer full): a record of no job, under this key */
HzbAcceptanceRecord *hzb_acceptance_record_new (const char *key);

/** hzb_acceptance_record_free: frees it. */
void hzb_acceptance_record_free (HzbAcceptanceRecord *record);

/** hzb_acceptance_record_contains: the record accepts this job already. */
gboolean hzb_acceptance_record_contains (const HzbAcceptanceRecord *record, const char *uid);

/** hzb_acceptance_record_add: accepts one more job, as hzb_accepted_job_encode() has encoded it. */
void hzb_acceptance_record_add (HzbAcceptanceRecord *record, const char *uid, const char *encoded);

/** hzb_acceptance_record_put: adds the record to a transaction, on condition that its key does not exist. */
void hzb_acceptance_record_put (const HzbAcceptanceRecord *record, HzbKvTransaction *transaction);

/** hzb_acceptance_record_apply: the record is durable: the jobs in it are accepted. */
void hzb_acceptance_record_apply (const HzbAcceptanceRecord *record, HzbJobs *jobs);

/** hzb_accepted_job_encode: Returns: (transfer full): a job's part of the record; accepted is the time of day */
char *hzb_accepted_job_encode (const HzbJobSpec *spec, struct timespec accepted);

/** hzb_cancellation_record_put: adds the record that completes a job as cancelled to a transaction. */
void hzb_cancellation_record_put (const char *uid, guint n_tasks, HzbKvTransaction *transaction);
