/* Submissions of users: whether a job can run, and its acceptance. What comes at once is accepted in one record, on condition
 * that none of its jobs is over. */
#include "controller-private.h"
#include "kv-protocol.h"
#include "record-keys.h"
#include "user-api-private.h"
#include "user-protocol.h"

#include <string.h>

#define LEAST_QUEUE 256u /* submissions that may wait on any node, and */
#define QUEUE_PART 0.25  /* of the connections that it may have: each that waits holds one */
#define MAX_BATCHES_SENT 2u
#define ACCEPT_WITHIN_S 2.5   /* or its user is told to come back */
#define RECORD_SLACK_BYTES 64 /* braces and names around what a record holds */
#define ENTRY_SLACK_BYTES 8   /* and around each job in it */

void
hzb_submissions_free (HzbSubmission *submission)
{
  hzb_job_spec_free (submission->spec);
  cJSON_free (submission->packed);
  g_free (submission);
}

/* A record of acceptances may have so many. */
static double
max_record_bytes (const HzbController *controller)
{
  return controller->settings->kv_value_kb * 1024 - RECORD_SLACK_BYTES;
}

static HzbSubmission *
submission_new (HzbController *controller, HzbHttpRequest *http_request, HzbJobSpec *spec)
{
  HzbSubmission *submission = g_new0 (HzbSubmission, 1);
  cJSON *packed = hzb_jobs_pack_accepted (spec, hzb_clock_wall (controller->clock));
  submission->http_request = http_request;
  submission->spec = spec;
  submission->packed = cJSON_PrintUnformatted (packed);
  submission->deadline = hzb_time_plus (hzb_clock_now (controller->clock), ACCEPT_WITHIN_S);
  cJSON_Delete (packed);
  return submission;
}

/* So many a transaction takes. */
static guint
conditions (HzbController *controller)
{
  return CLAMP (controller->settings->kv_txn_ops * 4, 3, 256);
}

static void
reply_accepted (HzbUserApi *api, HzbSubmission *submission)
{
  const char *uid = submission->spec->uid;
  HzbJob *job = hzb_jobs_find (api->controller->jobs, uid);

  if (job && job->state == HZB_JOB_CANCELLED)
    hzb_user_api_reply_final (api, hzb_user_api_check_new (submission->http_request, uid, HZB_QUESTION_SUBMISSION),
                              job);
  else
    hzb_http_request_respond (submission->http_request, 201,
                              hzb_job_status_encode (uid, job ? hzb_job_status (job) : "queued", FALSE, 0, 0), 0);
}

/* Either the job is over, or what became of the transaction is not known: if the job is not there, it may still come, so
 * the user is told to come back. */
static void
check_undecided (HzbUserApi *api, HzbSubmission *submission, gboolean over)
{
  HzbCheck *check = hzb_user_api_check_new (submission->http_request, submission->spec->uid, HZB_QUESTION_SUBMISSION);
  if (over)
    hzb_user_api_read_check (api, check);
  else
    hzb_user_api_queue_check (api, check);
}

static void
on_accepted (HzbKvResult result, const char *body, gpointer user)
{
  HzbBatch *batch = user;
  HzbUserApi *api = batch->api;
  HzbController *controller = api->controller;
  g_autoptr (GPtrArray) failed = NULL;
  guint64 revision = 0;

  api->accepting--;
  if (result == HZB_KV_CONFLICT)
    hzb_kv_commit_decode (body, NULL, &failed);
  /* Guards against an answer that comes after the replica of the records has shown all that became of the record: it would be back for
   * good, and its jobs with it. */
  if (result == HZB_KV_OK && hzb_kv_commit_decode (body, &revision, NULL)
      && !hzb_kv_replica_covers (controller->kv_replica, revision))
    hzb_jobs_apply_acceptance (controller->jobs, batch->key, batch->record);
  for (guint i = 0; i < batch->entries->len; i++)
    {
      HzbSubmission *submission = batch->entries->pdata[i];
      gboolean over = hzb_user_api_failed_by (failed, submission->spec->uid);
      if (result == HZB_KV_CONFLICT && !over && batch->entries->len > 1)
        {
          g_queue_push_head (&api->submissions, submission); /* another of the batch was the reason */
          continue;
        }
      if (result == HZB_KV_OK)
        reply_accepted (api, submission);
      else if (result == HZB_KV_CONFLICT || result == HZB_KV_UNKNOWN)
        check_undecided (api, submission, over);
      else
        hzb_user_api_reply_unavailable (submission->http_request, "the state service can't be asked");
      hzb_submissions_free (submission);
    }
  hzb_user_api_batch_free (batch);
  hzb_submissions_flush (api);
}

/* Takes what waits into the batch, as much as a transaction and a record hold. */
static void
fill_batch (HzbUserApi *api, HzbBatch *batch, HzbKvTransaction *transaction)
{
  HzbController *controller = api->controller;
  struct timespec now = hzb_clock_now (controller->clock);
  guint most = (conditions (controller) - 1) / 2;
  gsize bytes = 0;
  HzbSubmission *submission;

  while (batch->entries->len < most && (submission = g_queue_peek_head (&api->submissions)))
    {
      const char *uid = submission->spec->uid;
      gsize length = strlen (submission->packed) + strlen (uid) + ENTRY_SLACK_BYTES;
      if (hzb_time_before (submission->deadline, now))
        {
          g_queue_pop_head (&api->submissions);
          hzb_user_api_reply_unavailable (submission->http_request, "not decided in time");
          hzb_submissions_free (submission);
          continue;
        }
      if (cJSON_HasObjectItem (batch->record, uid)
          || (batch->entries->len && (double) (bytes + length) > max_record_bytes (controller)))
        break;
      g_queue_pop_head (&api->submissions);
      bytes += length;
      hzb_jobs_compare_not_terminal (transaction, uid); /* long since */
      cJSON_AddItemToObject (batch->record, uid, cJSON_Parse (submission->packed));
      g_ptr_array_add (batch->entries, submission);
    }
}

/* Returns: FALSE if nothing is left to be sent. */
static gboolean
send_batch (HzbUserApi *api)
{
  HzbController *controller = api->controller;
  HzbBatch *batch = hzb_user_api_batch_new (api);
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();

  batch->record = cJSON_CreateObject ();
  fill_batch (api, batch, transaction);
  if (!batch->entries->len)
    {
      hzb_kv_transaction_free (transaction);
      hzb_user_api_batch_free (batch);
      return FALSE;
    }
  batch->key = g_strdup_printf ("%s%s-%s-%u", HZB_KEY_ACCEPTED, controller->settings->node,
                                controller->node->incarnation, ++api->records);
  hzb_kv_transaction_compare (transaction, batch->key, 0);
  hzb_kv_transaction_put (transaction, batch->key, cJSON_Duplicate (batch->record, TRUE), 0);
  api->accepting++;
  hzb_kv_client_commit (controller->kv, HZB_KV_ACCEPT, transaction, on_accepted, batch);
  return TRUE;
}

void
hzb_submissions_flush (HzbUserApi *api)
{
  gboolean more = TRUE;
  while (more && api->accepting < MAX_BATCHES_SENT && api->submissions.length)
    more = send_batch (api);
}

/* NULL: it can run. */
static const char *
reason_it_never_runs (HzbController *controller, const HzbJobSpec *spec)
{
  int at = hzb_settings_team (controller->settings, spec->team);
  const HzbTeam *team;
  double times =
      spec->kind == HZB_JOB_GANG || spec->kind == HZB_JOB_SERVICE ? spec->tasks : 1; /* all of them at once */
  gboolean known_zone = spec->zone == NULL;

  if (at < 0)
    return "owner: no such team";
  team = controller->settings->teams->pdata[at];
  for (guint i = 0; i < controller->settings->zones->len && !known_zone; i++)
    known_zone = g_str_equal (controller->settings->zones->pdata[i], spec->zone);
  if (!known_zone)
    return "yard: no such zone";
  if (spec->cpus * times > team->cpus_max + 1e-9 || spec->gpus * times > team->gpus_max + 1e-9)
    return "the job needs more than its team's limit";
  if (spec->same_zone && spec->spread && spec->tasks > 1)
    return "samePlace and spread exclude each other";
  if (spec->kind == HZB_JOB_GANG && spec->spread && spec->zone && spec->tasks > 1)
    return "a gang that is to be spread can't be in one zone";
  for (guint i = 0; i < controller->machines->types->len; i++)
    {
      const HzbMachineType *type = controller->machines->types->pdata[i];
      if (hzb_type_holds (type, spec)
          && (!spec->zone || g_strv_contains ((const char *const *) type->zones, spec->zone)))
        return NULL;
    }
  return "a task fits no allowed machine type";
}

/* Types that do not exist never fit: the record need not hold them. */
static void
drop_unknown_types (HzbController *controller, HzbJobSpec *spec)
{
  g_autoptr (GStrvBuilder) known = g_strv_builder_new ();
  if (!spec->types)
    return;
  for (guint i = 0; i < controller->machines->types->len; i++)
    {
      const HzbMachineType *type = controller->machines->types->pdata[i];
      if (g_strv_contains ((const char *const *) spec->types, type->name))
        g_strv_builder_add (known, type->name);
    }
  g_strfreev (spec->types);
  spec->types = g_strv_builder_end (known);
}

void
hzb_submissions_submit (HzbUserApi *api, HzbHttpRequest *http_request)
{
  HzbController *controller = api->controller;
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbJobSpec) spec = hzb_job_spec_parse (http_request->body, http_request->length, &error);
  HzbJob *job;
  const char *refusal;
  HzbSubmission *submission;

  if (!spec)
    {
      g_message ("a submission is malformed: %s", error->message);
      hzb_http_request_respond (http_request, 400, hzb_error_response_encode (error->message), 0);
      return;
    }
  if ((job = hzb_jobs_find (controller->jobs, spec->uid)))
    {
      if (job->state != HZB_JOB_ACCEPTED)
        hzb_user_api_reply_final (api, hzb_user_api_check_new (http_request, spec->uid, HZB_QUESTION_SUBMISSION), job);
      else
        hzb_user_api_add_check (api, http_request, spec->uid, HZB_QUESTION_SUBMISSION, NULL, 0);
      return;
    }
  if (!hzb_controller_ready (controller) || !controller->machines->types
      || hzb_kv_replica_store_unresponsive (controller->kv_replica))
    {
      hzb_user_api_reply_unavailable (http_request, "not ready yet");
      return;
    }
  /* A repeat of an accepted job must not be refused, whatever has changed since; the version before took any estimate. */
  if (spec->kind == HZB_JOB_SERVICE && spec->estimate_s > 0)
    {
      hzb_user_api_add_check (api, http_request, spec->uid, HZB_QUESTION_SUBMISSION,
                              "expectS: expected 0 for standing jobs", 400);
      return;
    }
  if ((refusal = reason_it_never_runs (controller, spec)))
    {
      hzb_user_api_add_check (api, http_request, spec->uid, HZB_QUESTION_SUBMISSION, refusal, 422);
      return;
    }
  /* A version 1 would take a replica that ends for a task that is done. */
  if (spec->kind == HZB_JOB_SERVICE && hzb_election_schema_version (controller->election) < HZB_SCHEMA_VERSION)
    {
      hzb_http_request_respond (
          http_request, 503, hzb_error_response_encode ("services are taken once every controller runs this version"),
          2);
      return;
    }
  if (api->submissions.length >= MAX (LEAST_QUEUE, QUEUE_PART * controller->settings->sockets))
    {
      hzb_http_request_respond (http_request, 429, hzb_error_response_encode ("more submissions than can be taken"), 2);
      return;
    }
  drop_unknown_types (controller, spec);
  g_clear_pointer (&http_request->body, g_free); /* up to 64 KiB for as long as it waits */
  submission = submission_new (controller, http_request, g_steal_pointer (&spec));
  if ((double) strlen (submission->packed) > max_record_bytes (controller))
    {
      /* Guards against a repeat of a job that was accepted when values could be larger: it must not be refused. */
      hzb_user_api_add_check (api, http_request, submission->spec->uid, HZB_QUESTION_SUBMISSION,
                              "the job's texts are too long", 400);
      hzb_submissions_free (submission);
      return;
    }
  g_queue_push_tail (&api->submissions, submission);
  hzb_submissions_flush (api);
}
