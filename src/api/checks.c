/* Answers that are not final: each is given only once the replica of the records is proven to have everything that was recorded
 * before the request came. One request to the key-value store proves it for all requests that wait.
 *
 * A job that the replica does not know may be in the archive of completed jobs. A record moves there in one transaction, so a
 * job that was ever accepted is found if the replica is looked at first and the archive second, never the other way round. */
#include "user-api-private.h"

#include "record-keys.h"

/* Requests that may wait on any node, and as part of the connections that the node may have: each holds one. */
#define LEAST_WAITING 512u
#define WAITING_PART 0.5
#define DECIDE_WITHIN_S 3 /* a cancellation that was not sent by then is not sent at all */

/* All nodes together use no more than this part of the requests that the key-value store takes. */
#define SYNCHRONISATION_PART 0.5
#define MIN_SYNCHRONISATION_INTERVAL_S 0.03
#define MAX_SYNCHRONISATION_INTERVAL_S 0.8 /* users wait 2 s for an answer */

static const char store_unavailable[] = "the state service can't be asked";

/* The checks that one synchronisation of the replica answers. */
typedef struct
{
  HzbUserApi *api;
  GPtrArray *checks;
} Synchronisation;

HzbCheck *
hzb_check_new (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbQuestion question)
{
  HzbCheck *check = g_new0 (HzbCheck, 1);
  check->api = api;
  check->http_request = http_request;
  check->uid = g_strdup (uid);
  check->question = question;
  return check;
}

void
hzb_check_free (HzbCheck *check)
{
  g_free (check->uid);
  g_clear_error (&check->refusal);
  g_free (check);
}

void
hzb_check_give_up (HzbCheck *check, const char *why)
{
  hzb_user_api_reply_unavailable (check->http_request, why);
  hzb_check_free (check);
}

/* ---- reading one record ---- */

static void
read_record (HzbCheck *check, const char *prefix, HzbKvFunc done)
{
  g_autofree char *key = g_strconcat (prefix, check->uid, NULL);
  hzb_kv_client_get (check->api->with.kv, HZB_KV_READ, key, done, check);
}

static guint
status_of_refusal (const GError *refusal)
{
  return g_error_matches (refusal, HZB_ADMISSION_ERROR, HZB_ADMISSION_ERROR_NEVER_RUNS) ? 422 : 400;
}

/* Neither the replica of the records nor the archive has the job. */
static void
settle_unknown (HzbCheck *check)
{
  if (check->question != HZB_QUESTION_SUBMISSION)
    hzb_user_api_reply_error (check->http_request, 404, "no such job", 0);
  else if (check->refusal)
    hzb_user_api_reply_error (check->http_request, status_of_refusal (check->refusal), check->refusal->message, 0);
  else
    /* The transaction that accepts the job got no answer: the key-value store may still carry it out. */
    hzb_user_api_reply_unavailable (check->http_request, "not decided");
  hzb_check_free (check);
}

static void
on_archive_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbCheck *check = user;
  g_autoptr (HzbArchivedJob) archived = result == HZB_KV_OK ? hzb_archived_job_decode (body) : NULL;

  if (archived)
    {
      hzb_http_request_respond (check->http_request, 200,
                                hzb_job_status_encode (check->uid, archived->status,
                                                       check->question == HZB_QUESTION_STATUS, archived->done_tasks, 0),
                                0);
      hzb_check_free (check);
    }
  else if (result == HZB_KV_NOT_FOUND)
    settle_unknown (check);
  else
    hzb_check_give_up (check, store_unavailable);
}

static void
read_archive (HzbCheck *check)
{
  read_record (check, HZB_KEY_ARCHIVED, on_archive_read);
}

void
hzb_check_settle (HzbCheck *check)
{
  HzbJob *job = hzb_jobs_find (check->api->with.jobs, check->uid);

  if (!job)
    read_archive (check);
  else if (check->question == HZB_QUESTION_CANCELLATION && job->state == HZB_JOB_ACCEPTED)
    hzb_cancel_request_send (check);
  else
    hzb_check_reply_final (check, job);
}

static void
on_completion_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbCheck *check = user;
  HzbUserApi *api = check->api;
  HzbKvEntry entry = { 0 };

  if (result == HZB_KV_OK && hzb_kv_entry_decode (body, &entry))
    {
      api->callbacks.apply_record (&entry, api->callbacks_user);
      hzb_kv_entry_clear (&entry);
      hzb_check_settle (check);
    }
  else if (result == HZB_KV_NOT_FOUND)
    read_archive (check);
  else
    hzb_check_give_up (check, store_unavailable);
}

void
hzb_check_read (HzbCheck *check)
{
  read_record (check, HZB_KEY_JOBS, on_completion_read);
}

/* ---- synchronising the replica ---- */

static void
on_synchronised (gboolean fresh, gpointer user)
{
  Synchronisation *synchronisation = user;
  HzbUserApi *api = synchronisation->api;

  api->synchronising = FALSE;
  for (guint i = 0; i < synchronisation->checks->len; i++)
    {
      HzbCheck *check = synchronisation->checks->pdata[i];
      if (fresh)
        hzb_check_settle (check);
      else
        hzb_check_give_up (check, store_unavailable);
    }
  g_ptr_array_unref (synchronisation->checks);
  g_free (synchronisation);
  hzb_checks_flush (api);
}

static double
synchronisation_interval_s (const HzbSettings *settings)
{
  double for_all_nodes_s = settings->size / (SYNCHRONISATION_PART * settings->kv_rps);
  return CLAMP (for_all_nodes_s, MIN_SYNCHRONISATION_INTERVAL_S, MAX_SYNCHRONISATION_INTERVAL_S);
}

void
hzb_checks_flush (HzbUserApi *api)
{
  struct timespec now = hzb_clock_now (api->with.node->clock);
  Synchronisation *synchronisation;
  HzbCheck *check;

  if (api->synchronising || !api->checks.length || hzb_time_before (now, api->next_synchronisation))
    return;
  api->next_synchronisation = hzb_time_plus (now, synchronisation_interval_s (api->with.node->settings));
  synchronisation = g_new0 (Synchronisation, 1);
  synchronisation->api = api;
  synchronisation->checks = g_ptr_array_new ();
  while ((check = g_queue_pop_head (&api->checks)))
    g_ptr_array_add (synchronisation->checks, check);
  api->synchronising = TRUE;
  hzb_kv_replica_sync (api->with.kv_replica, on_synchronised, synchronisation);
}

void
hzb_check_queue (HzbCheck *check)
{
  g_queue_push_tail (&check->api->checks, check);
  hzb_checks_flush (check->api);
}

void
hzb_checks_add (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbQuestion question, GError *refusal)
{
  g_autoptr (GError) owned_refusal = refusal;
  HzbCheck *check;

  if (hzb_kv_replica_store_unresponsive (api->with.kv_replica))
    {
      hzb_user_api_reply_unavailable (http_request, "the state service does not answer");
      return;
    }
  if (api->checks.length >= (guint) hzb_user_api_queue_limit (api, LEAST_WAITING, WAITING_PART))
    {
      hzb_user_api_reply_error (http_request, question == HZB_QUESTION_SUBMISSION ? 429 : 503,
                                "too much is asked at once", 2);
      return;
    }
  check = hzb_check_new (api, http_request, uid, question);
  check->refusal = g_steal_pointer (&owned_refusal);
  check->deadline = hzb_time_plus (hzb_clock_now (api->with.node->clock), DECIDE_WITHIN_S);
  hzb_check_queue (check);
}
