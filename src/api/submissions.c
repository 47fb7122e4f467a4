/* Submissions of users and their acceptance.
 *
 * Submissions that arrive at about the same time are accepted together by one record. The transaction that creates the
 * record is conditional on none of their jobs being terminal. A user gets 201 only after that transaction has
 * succeeded. */
#include "user-api-private.h"

#include "record-keys.h"
#include "user-protocol.h"

#include <string.h>

/* Each waiting submission holds a connection. So the number of waiting submissions is limited to a fraction of the
 * connections that the node may have open; the limit is at least MIN_WAITING_LIMIT. */
#define MIN_WAITING_LIMIT 256u
#define MAX_WAITING_CONNECTION_FRACTION 0.25
#define MAX_ACCEPTANCES_IN_FLIGHT 2u
#define ACCEPTANCE_TIMEOUT_S 2.5 /* after this time in the queue the user gets 503 with Retry-After */
#define RECORD_OVERHEAD_BYTES 64 /* braces and names around the jobs in a record */
#define JOB_OVERHEAD_BYTES 8     /* quotes and separators around each job in a record */
/* A transaction may have kv_txn_ops changes (puts and deletes) and this many times that number of comparisons. */
#define COMPARISONS_PER_CHANGE 4
#define MIN_COMPARISONS 3u      /* needed for a record with one job */
#define MAX_COMPARISONS 256u    /* limit of this program, also if the key-value store allows more */
#define MEMORY_RETRY_AFTER_S 10 /* memory is freed as jobs complete */
#define BYTES_PER_MB (1024.0 * 1024.0)

/* One acceptance record with its submissions, from its creation until the key-value store has answered. */
typedef struct
{
  HzbUserApi *api;
  GPtrArray *submissions; /* (element-type HzbSubmission) */
  HzbAcceptanceRecord *record;
  HzbKvTransaction *transaction; /* NULL once it has been sent */
} Acceptance;

/* ---- one submission ---- */

static HzbSubmission *
submission_new (HzbUserApi *api, HzbHttpRequest *http_request, HzbJobSpec *spec)
{
  HzbClock *clock = api->dependencies.node->clock;
  HzbSubmission *submission = g_new0 (HzbSubmission, 1);

  submission->http_request = http_request;
  submission->spec = spec;
  submission->encoded = hzb_accepted_job_encode (spec, hzb_clock_wall (clock));
  submission->deadline = hzb_time_plus (hzb_clock_now (clock), ACCEPTANCE_TIMEOUT_S);
  return submission;
}

void
hzb_submission_free (HzbSubmission *submission)
{
  hzb_job_spec_free (submission->spec);
  g_free (submission->encoded);
  g_free (submission);
}

/* ---- limits of the key-value store ---- */

static double
max_record_bytes (const HzbUserApi *api)
{
  return api->dependencies.node->settings->kv_value_kb * 1024 - RECORD_OVERHEAD_BYTES;
}

/* Each job needs two comparisons (it has no completion record, neither replicated nor archived), and the acceptance
 * record needs one (its key does not exist). */
static guint
max_jobs_in_record (const HzbUserApi *api)
{
  guint comparisons =
      CLAMP (api->dependencies.node->settings->kv_txn_ops * COMPARISONS_PER_CHANGE, MIN_COMPARISONS, MAX_COMPARISONS);
  return (comparisons - 1) / 2;
}

/* ---- acceptance ---- */

static Acceptance *
acceptance_new (HzbUserApi *api)
{
  Acceptance *acceptance = g_new0 (Acceptance, 1);
  g_autofree char *key = g_strdup_printf ("%s%s-%s-%u", HZB_KEY_ACCEPTED, api->dependencies.node->settings->node,
                                          api->dependencies.node->incarnation, api->acceptances_sent + 1);
  acceptance->api = api;
  acceptance->submissions = g_ptr_array_new ();
  acceptance->record = hzb_acceptance_record_new (key);
  acceptance->transaction = hzb_kv_transaction_new ();
  return acceptance;
}

static void
acceptance_free (Acceptance *acceptance)
{
  g_ptr_array_unref (acceptance->submissions);
  hzb_acceptance_record_free (acceptance->record);
  g_clear_pointer (&acceptance->transaction, hzb_kv_transaction_free);
  g_free (acceptance);
}

static void
reply_accepted (HzbUserApi *api, HzbSubmission *submission)
{
  const char *uid = submission->spec->uid;
  HzbJob *job = hzb_jobs_find (api->dependencies.jobs, uid);

  if (job && job->state == HZB_JOB_CANCELLED)
    hzb_pending_request_reply_job_status (
        hzb_pending_request_new (api, submission->http_request, uid, HZB_PENDING_REQUEST_SUBMISSION), job);
  else
    hzb_http_request_respond (submission->http_request, 201,
                              hzb_job_status_encode (uid, job ? hzb_job_status (job) : "queued", FALSE, 0, 0), 0);
}

/* Resolves a submission by looking up its job.
 *
 * @terminal: TRUE: the transaction failed because the job is terminal, so the job's completion record is read. FALSE:
 * the transaction failed for another reason, or its outcome is unknown; the replica is brought up to date, and the
 * archive is read if the replica does not have the job. In both cases the user gets 503 with Retry-After if the job is
 * not found: after an unknown outcome the key-value store may still apply the transaction. */
static void
resolve_by_lookup (HzbUserApi *api, HzbSubmission *submission, gboolean terminal)
{
  HzbPendingRequest *request =
      hzb_pending_request_new (api, submission->http_request, submission->spec->uid, HZB_PENDING_REQUEST_SUBMISSION);
  if (terminal)
    hzb_pending_request_read_completion (request);
  else
    hzb_pending_request_queue (request);
}

/* Returns: TRUE if the completion record of this job is among the keys whose comparison failed */
static gboolean
has_completion_key (const GPtrArray *failed_keys, const char *uid)
{
  for (guint i = 0; failed_keys && i < failed_keys->len; i++)
    {
      const char *key = failed_keys->pdata[i], *slash = strrchr (key, '/');
      if (slash && g_str_equal (slash + 1, uid))
        return TRUE;
    }
  return FALSE;
}

/* Answers a submission by the outcome of its transaction, or puts the submission back into the queue.
 *
 * @submission: (transfer full) */
static void
complete_submission (Acceptance *acceptance, HzbSubmission *submission, HzbKvResult result,
                     const GPtrArray *failed_keys)
{
  HzbUserApi *api = acceptance->api;
  gboolean terminal = has_completion_key (failed_keys, submission->spec->uid);

  if (result == HZB_KV_CONFLICT && !terminal && acceptance->submissions->len > 1)
    {
      /* Another job of the record made the transaction fail: this submission goes into the next record. */
      g_queue_push_head (&api->submissions, submission);
      return;
    }
  if (result == HZB_KV_OK)
    reply_accepted (api, submission);
  else if (result == HZB_KV_CONFLICT || result == HZB_KV_UNKNOWN)
    resolve_by_lookup (api, submission, terminal);
  else
    hzb_user_api_reply_unavailable (submission->http_request, "the state service can't be asked");
  hzb_submission_free (submission);
}

static void
on_acceptance_committed (HzbKvResult result, const char *body, gpointer user)
{
  Acceptance *acceptance = user;
  HzbUserApi *api = acceptance->api;
  g_autoptr (GPtrArray) failed_keys = NULL;
  guint64 revision = 0;

  api->acceptances_in_flight--;
  if (result == HZB_KV_CONFLICT)
    hzb_kv_commit_decode (body, NULL, &failed_keys);
  /* The answer may arrive after the replica has already added the record to the job registry and removed it again.
   * Adding it once more would leave it there permanently, since no second removal comes. */
  if (result == HZB_KV_OK && hzb_kv_commit_decode (body, &revision, NULL)
      && !hzb_kv_replica_covers (api->dependencies.kv_replica, revision))
    hzb_acceptance_record_apply (acceptance->record, api->dependencies.jobs);
  for (guint i = 0; i < acceptance->submissions->len; i++)
    complete_submission (acceptance, acceptance->submissions->pdata[i], result, failed_keys);
  acceptance_free (acceptance);
  hzb_submissions_flush (api);
}

static void
add_submission (Acceptance *acceptance, HzbSubmission *submission)
{
  /* The job may have been accepted long ago and have completed since. */
  hzb_jobs_compare_not_terminal (acceptance->transaction, submission->spec->uid);
  hzb_acceptance_record_add (acceptance->record, submission->spec->uid, submission->encoded);
  g_ptr_array_add (acceptance->submissions, submission);
}

/* Moves queued submissions into the acceptance, as many as a transaction and a record can hold. */
static void
fill_acceptance (HzbUserApi *api, Acceptance *acceptance)
{
  struct timespec now = hzb_clock_now (api->dependencies.node->clock);
  guint max_jobs = max_jobs_in_record (api);
  gsize bytes = 0;
  HzbSubmission *submission;

  while (acceptance->submissions->len < max_jobs && (submission = g_queue_peek_head (&api->submissions)))
    {
      const char *uid = submission->spec->uid;
      gsize length = strlen (submission->encoded) + strlen (uid) + JOB_OVERHEAD_BYTES;

      if (hzb_time_before (submission->deadline, now))
        {
          g_queue_pop_head (&api->submissions);
          hzb_user_api_reply_unavailable (submission->http_request, "not decided in time");
          hzb_submission_free (submission);
          continue;
        }
      if (hzb_acceptance_record_contains (acceptance->record, uid)
          || (acceptance->submissions->len && (double) (bytes + length) > max_record_bytes (api)))
        break;
      g_queue_pop_head (&api->submissions);
      bytes += length;
      add_submission (acceptance, submission);
    }
}

/* Returns: FALSE if no submission is left to send */
static gboolean
send_acceptance (HzbUserApi *api)
{
  Acceptance *acceptance = acceptance_new (api);

  fill_acceptance (api, acceptance);
  if (!acceptance->submissions->len)
    {
      acceptance_free (acceptance);
      return FALSE;
    }
  hzb_acceptance_record_put (acceptance->record, acceptance->transaction);
  api->acceptances_sent++;
  api->acceptances_in_flight++;
  hzb_kv_client_commit (api->dependencies.kv, HZB_KV_ACCEPT, g_steal_pointer (&acceptance->transaction),
                        on_acceptance_committed, acceptance);
  return TRUE;
}

void
hzb_submissions_flush (HzbUserApi *api)
{
  gboolean more = TRUE;
  while (more && api->acceptances_in_flight < MAX_ACCEPTANCES_IN_FLIGHT && api->submissions.length)
    more = send_acceptance (api);
}

/* ---- new submissions ---- */

/* Submissions are idempotent: a repeated submission is answered with the status of the known job. */
static void
reply_to_repeated_submission (HzbUserApi *api, HzbHttpRequest *http_request, HzbJob *job)
{
  if (job->state != HZB_JOB_ACCEPTED)
    hzb_pending_request_reply_job_status (
        hzb_pending_request_new (api, http_request, job->uid, HZB_PENDING_REQUEST_SUBMISSION), job);
  else
    hzb_pending_requests_add (api, http_request, job->uid, HZB_PENDING_REQUEST_SUBMISSION, NULL);
}

static gboolean
is_ready (const HzbUserApi *api)
{
  return api->callbacks.is_ready (api->callbacks_user) && api->dependencies.machines->types
         && !hzb_kv_replica_store_unresponsive (api->dependencies.kv_replica);
}

/* Returns: TRUE if the request was answered with an error, since the job cannot be accepted now but may be later */
static gboolean
refuse_temporarily (HzbUserApi *api, HzbHttpRequest *http_request, const HzbJobSpec *spec)
{
  /* A controller of schema version 1 would treat the exit of a service replica as the completion of a task. */
  if (spec->kind == HZB_JOB_SERVICE && hzb_election_schema_version (api->dependencies.election) < HZB_SCHEMA_VERSION)
    {
      hzb_user_api_reply_error (http_request, 503, "services are taken once every controller runs this version", 2);
      return TRUE;
    }
  if (api->submissions.length >= hzb_user_api_queue_limit (api, MIN_WAITING_LIMIT, MAX_WAITING_CONNECTION_FRACTION))
    {
      hzb_user_api_reply_error (http_request, 429, "more submissions than can be taken", 2);
      return TRUE;
    }
  if (!hzb_memory_budget_take (&api->memory_budget, api->dependencies.jobs, spec->tasks))
    {
      g_message ("job %s: %u tasks are refused for now with status 503: the unfinished jobs take up to %.1f MB of this "
                 "process's memory; smaller jobs are still accepted",
                 spec->uid, spec->tasks, (double) api->memory_budget.used_bytes / BYTES_PER_MB);
      hzb_user_api_reply_error (http_request, 503, "too many tasks of unfinished jobs for the memory of a controller",
                                MEMORY_RETRY_AFTER_S);
      return TRUE;
    }
  return FALSE;
}

/* @spec: (transfer full) */
static void
queue_submission (HzbUserApi *api, HzbHttpRequest *http_request, HzbJobSpec *spec)
{
  HzbSubmission *submission;

  hzb_job_admission_drop_unknown_types (api, spec);
  g_clear_pointer (&http_request->body, g_free); /* up to 64 KiB, not needed while the submission waits */
  submission = submission_new (api, http_request, spec);
  if ((double) strlen (submission->encoded) > max_record_bytes (api))
    {
      /* The job may have been accepted when the key-value store allowed larger values, so it is looked up first. */
      hzb_pending_requests_add (
          api, http_request, spec->uid, HZB_PENDING_REQUEST_SUBMISSION,
          g_error_new_literal (HZB_ADMISSION_ERROR, HZB_ADMISSION_ERROR_MALFORMED, "the job's texts are too long"));
      hzb_submission_free (submission);
      return;
    }
  g_queue_push_tail (&api->submissions, submission);
  hzb_submissions_flush (api);
}

void
hzb_submissions_submit (HzbUserApi *api, HzbHttpRequest *http_request)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbJobSpec) spec = hzb_job_submission_decode (http_request->body, http_request->length, &error);
  HzbJob *job;

  if (!spec)
    {
      g_message ("submission refused with status 400; the user has to correct the request: %s", error->message);
      hzb_user_api_reply_error (http_request, 400, error->message, 0);
    }
  else if ((job = hzb_jobs_find (api->dependencies.jobs, spec->uid)))
    reply_to_repeated_submission (api, http_request, job);
  else if (!is_ready (api))
    hzb_user_api_reply_unavailable (http_request, "not ready yet");
  else if (!hzb_job_admission_check (api, spec, &error))
    hzb_pending_requests_add (api, http_request, spec->uid, HZB_PENDING_REQUEST_SUBMISSION, g_steal_pointer (&error));
  else if (!refuse_temporarily (api, http_request, spec))
    queue_submission (api, http_request, g_steal_pointer (&spec));
}
