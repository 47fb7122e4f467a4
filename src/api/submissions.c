/* Submissions of users and their acceptance. Submissions that come at about the same time are accepted by one record, on
 * condition that none of their jobs is terminal. A user gets 201 only after the transaction that creates the record. */
#include "user-api-private.h"

#include "record-keys.h"
#include "user-protocol.h"

#include <string.h>

/* Submissions that may wait on any node, and as part of the connections that the node may have: each holds one. */
#define LEAST_WAITING 256u
#define WAITING_PART 0.25
#define MAX_ACCEPTANCES_IN_FLIGHT 2u
#define ACCEPT_WITHIN_S 2.5   /* or the user gets 503 with Retry-After */
#define RECORD_SLACK_BYTES 64 /* braces and names around the jobs in a record */
#define JOB_SLACK_BYTES 8     /* and around each job */
/* The key-value store takes so many comparisons in a transaction for each change that it takes. */
#define COMPARISONS_PER_CHANGE 4
#define MIN_COMPARISONS 3u   /* for a record with one job */
#define MAX_COMPARISONS 256u /* however many the key-value store takes */

/* Submissions that one record accepts, on its way to the key-value store. */
typedef struct
{
  HzbUserApi *api;
  GPtrArray *submissions; /* HzbSubmission */
  HzbAcceptanceRecord *record;
  HzbKvTransaction *transaction; /* NULL once it was sent */
} Acceptance;

/* ---- one submission ---- */

static HzbSubmission *
submission_new (HzbUserApi *api, HzbHttpRequest *http_request, HzbJobSpec *spec)
{
  HzbClock *clock = api->with.node->clock;
  HzbSubmission *submission = g_new0 (HzbSubmission, 1);

  submission->http_request = http_request;
  submission->spec = spec;
  submission->encoded = hzb_accepted_job_encode (spec, hzb_clock_wall (clock));
  submission->deadline = hzb_time_plus (hzb_clock_now (clock), ACCEPT_WITHIN_S);
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
  return api->with.node->settings->kv_value_kb * 1024 - RECORD_SLACK_BYTES;
}

/* Each job needs two comparisons, and the record one. */
static guint
max_jobs_in_record (const HzbUserApi *api)
{
  guint comparisons =
      CLAMP (api->with.node->settings->kv_txn_ops * COMPARISONS_PER_CHANGE, MIN_COMPARISONS, MAX_COMPARISONS);
  return (comparisons - 1) / 2;
}

/* ---- acceptance ---- */

static Acceptance *
acceptance_new (HzbUserApi *api)
{
  Acceptance *acceptance = g_new0 (Acceptance, 1);
  g_autofree char *key = g_strdup_printf ("%s%s-%s-%u", HZB_KEY_ACCEPTED, api->with.node->settings->node,
                                          api->with.node->incarnation, api->acceptances_sent + 1);
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
  HzbJob *job = hzb_jobs_find (api->with.jobs, uid);

  if (job && job->state == HZB_JOB_CANCELLED)
    hzb_check_reply_final (hzb_check_new (api, submission->http_request, uid, HZB_QUESTION_SUBMISSION), job);
  else
    hzb_http_request_respond (submission->http_request, 201,
                              hzb_job_status_encode (uid, job ? hzb_job_status (job) : "queued", FALSE, 0, 0), 0);
}

/* Either the job is terminal, or what became of the transaction is not known. In the second case the key-value store may still
 * carry out the transaction, so the user gets 503 with Retry-After if the job does not show. */
static void
check_undecided (HzbUserApi *api, HzbSubmission *submission, gboolean terminal)
{
  HzbCheck *check = hzb_check_new (api, submission->http_request, submission->spec->uid, HZB_QUESTION_SUBMISSION);
  if (terminal)
    hzb_check_read (check);
  else
    hzb_check_queue (check);
}

/* A transaction failed because of the record of this job's completion. */
static gboolean
is_terminal_by (const GPtrArray *failed_keys, const char *uid)
{
  for (guint i = 0; failed_keys && i < failed_keys->len; i++)
    {
      const char *key = failed_keys->pdata[i], *slash = strrchr (key, '/');
      if (slash && g_str_equal (slash + 1, uid))
        return TRUE;
    }
  return FALSE;
}

/* @submission: (transfer full) */
static void
settle_submission (Acceptance *acceptance, HzbSubmission *submission, HzbKvResult result, const GPtrArray *failed_keys)
{
  HzbUserApi *api = acceptance->api;
  gboolean terminal = is_terminal_by (failed_keys, submission->spec->uid);

  if (result == HZB_KV_CONFLICT && !terminal && acceptance->submissions->len > 1)
    {
      /* Another job of the record was the cause: this one goes with the next record. */
      g_queue_push_head (&api->submissions, submission);
      return;
    }
  if (result == HZB_KV_OK)
    reply_accepted (api, submission);
  else if (result == HZB_KV_CONFLICT || result == HZB_KV_UNKNOWN)
    check_undecided (api, submission, terminal);
  else
    hzb_user_api_reply_unavailable (submission->http_request, "the state service can't be asked");
  hzb_submission_free (submission);
}

static void
on_accepted (HzbKvResult result, const char *body, gpointer user)
{
  Acceptance *acceptance = user;
  HzbUserApi *api = acceptance->api;
  g_autoptr (GPtrArray) failed_keys = NULL;
  guint64 revision = 0;

  api->acceptances_in_flight--;
  if (result == HZB_KV_CONFLICT)
    hzb_kv_commit_decode (body, NULL, &failed_keys);
  /* The answer may come after the replica has shown the record and its removal. Applying the record then would bring it, and
   * its jobs, back for good. */
  if (result == HZB_KV_OK && hzb_kv_commit_decode (body, &revision, NULL)
      && !hzb_kv_replica_covers (api->with.kv_replica, revision))
    hzb_acceptance_record_apply (acceptance->record, api->with.jobs);
  for (guint i = 0; i < acceptance->submissions->len; i++)
    settle_submission (acceptance, acceptance->submissions->pdata[i], result, failed_keys);
  acceptance_free (acceptance);
  hzb_submissions_flush (api);
}

static void
add_submission (Acceptance *acceptance, HzbSubmission *submission)
{
  hzb_jobs_compare_not_terminal (acceptance->transaction,
                                 submission->spec->uid); /* it may have been accepted long ago */
  hzb_acceptance_record_add (acceptance->record, submission->spec->uid, submission->encoded);
  g_ptr_array_add (acceptance->submissions, submission);
}

/* Takes submissions that wait, as many as a transaction and a record hold. */
static void
fill_acceptance (HzbUserApi *api, Acceptance *acceptance)
{
  struct timespec now = hzb_clock_now (api->with.node->clock);
  guint most = max_jobs_in_record (api);
  gsize bytes = 0;
  HzbSubmission *submission;

  while (acceptance->submissions->len < most && (submission = g_queue_peek_head (&api->submissions)))
    {
      const char *uid = submission->spec->uid;
      gsize length = strlen (submission->encoded) + strlen (uid) + JOB_SLACK_BYTES;

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

/* Returns: FALSE if no submission is left to be sent */
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
  hzb_kv_client_commit (api->with.kv, HZB_KV_ACCEPT, g_steal_pointer (&acceptance->transaction), on_accepted,
                        acceptance);
  return TRUE;
}

void
hzb_submissions_flush (HzbUserApi *api)
{
  gboolean more = TRUE;
  while (more && api->acceptances_in_flight < MAX_ACCEPTANCES_IN_FLIGHT && api->submissions.length)
    more = send_acceptance (api);
}

/* ---- a submission comes ---- */

/* An idempotent request: the job is known already, whatever has become of it. */
static void
answer_repeat (HzbUserApi *api, HzbHttpRequest *http_request, HzbJob *job)
{
  if (job->state != HZB_JOB_ACCEPTED)
    hzb_check_reply_final (hzb_check_new (api, http_request, job->uid, HZB_QUESTION_SUBMISSION), job);
  else
    hzb_checks_add (api, http_request, job->uid, HZB_QUESTION_SUBMISSION, NULL);
}

static gboolean
is_ready (const HzbUserApi *api)
{
  return api->callbacks.is_ready (api->callbacks_user) && api->with.machines->types
         && !hzb_kv_replica_store_unresponsive (api->with.kv_replica);
}

/* Returns: TRUE if the request was answered: the job could be accepted, but not now */
static gboolean
refuse_for_now (HzbUserApi *api, HzbHttpRequest *http_request, const HzbJobSpec *spec)
{
  /* A controller of schema version 1 would take a replica of a service that exits for a task that is done. */
  if (spec->kind == HZB_JOB_SERVICE && hzb_election_schema_version (api->with.election) < HZB_SCHEMA_VERSION)
    {
      hzb_user_api_reply_error (http_request, 503, "services are taken once every controller runs this version", 2);
      return TRUE;
    }
  if (api->submissions.length >= hzb_user_api_queue_limit (api, LEAST_WAITING, WAITING_PART))
    {
      hzb_user_api_reply_error (http_request, 429, "more submissions than can be taken", 2);
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
  g_clear_pointer (&http_request->body, g_free); /* up to 64 KiB, for as long as the submission waits */
  submission = submission_new (api, http_request, spec);
  if ((double) strlen (submission->encoded) > max_record_bytes (api))
    {
      /* A check, since the job may have been accepted when the key-value store took larger values. */
      hzb_checks_add (
          api, http_request, spec->uid, HZB_QUESTION_SUBMISSION,
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
  g_autoptr (HzbJobSpec) spec = hzb_job_spec_parse (http_request->body, http_request->length, &error);
  HzbJob *job;

  if (!spec)
    {
      g_message ("a submission was refused with 400, its sender has to correct it: %s", error->message);
      hzb_user_api_reply_error (http_request, 400, error->message, 0);
    }
  else if ((job = hzb_jobs_find (api->with.jobs, spec->uid)))
    answer_repeat (api, http_request, job);
  else if (!is_ready (api))
    hzb_user_api_reply_unavailable (http_request, "not ready yet");
  else if (!hzb_job_admission_check (api, spec, &error))
    hzb_checks_add (api, http_request, spec->uid, HZB_QUESTION_SUBMISSION, g_steal_pointer (&error));
  else if (!refuse_for_now (api, http_request, spec))
    queue_submission (api, http_request, g_steal_pointer (&spec));
}
