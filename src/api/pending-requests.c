/* Requests that wait until the replica of the records is up to date.
 *
 * The status of a job that is not terminal is sent only once the replica is proven to have everything that was recorded
 * before the request arrived. One synchronisation with the key-value store proves it for all queued requests.
 *
 * A job that is missing in the replica may be in the archive of completed jobs. Its record moves to the archive in one
 * transaction. So a job that was ever accepted is found if the replica is searched first and the archive second; in the
 * other order the record could move between the two reads. */
#include "user-api-private.h"

#include "record-keys.h"

/* Each waiting request holds a connection. So the number of waiting requests is limited to a fraction of the
 * connections that the node may have open; the limit is at least MIN_WAITING_LIMIT. */
#define MIN_WAITING_LIMIT 512u
#define MAX_WAITING_CONNECTION_FRACTION 0.5
/* A cancellation that was not sent to the key-value store in this time is not sent at all. */
#define CANCELLATION_TIMEOUT_S 3

/* The synchronisations of all nodes together use at most this fraction of the requests per second that the key-value
 * store serves. */
#define SYNCHRONISATION_RATE_FRACTION 0.5
#define MIN_SYNCHRONISATION_INTERVAL_S 0.03
#define MAX_SYNCHRONISATION_INTERVAL_S 0.8 /* users wait 2 s for a response */

static const char store_unavailable[] = "the state service can't be asked";

/* The requests that wait for one synchronisation of the replica. */
typedef struct
{
  HzbUserApi *api;
  GPtrArray *pending_requests; /* (element-type HzbPendingRequest) */
} Synchronisation;

HzbPendingRequest *
hzb_pending_request_new (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbPendingRequestKind kind)
{
  HzbPendingRequest *request = g_new0 (HzbPendingRequest, 1);
  request->api = api;
  request->http_request = http_request;
  request->uid = g_strdup (uid);
  request->kind = kind;
  return request;
}

void
hzb_pending_request_free (HzbPendingRequest *request)
{
  g_free (request->uid);
  g_clear_error (&request->admission_error);
  g_free (request);
}

void
hzb_pending_request_reply_unavailable (HzbPendingRequest *request, const char *reason)
{
  hzb_user_api_reply_unavailable (request->http_request, reason);
  hzb_pending_request_free (request);
}

/* ---- reading one record ---- */

static void
read_record (HzbPendingRequest *request, const char *prefix, HzbKvFunc callback)
{
  g_autofree char *key = g_strconcat (prefix, request->uid, NULL);
  hzb_kv_client_get (request->api->dependencies.kv, HZB_KV_READ, key, callback, request);
}

static guint
admission_error_status (const GError *admission_error)
{
  return g_error_matches (admission_error, HZB_ADMISSION_ERROR, HZB_ADMISSION_ERROR_UNSCHEDULABLE) ? 422 : 400;
}

/* Responds to a request about a job that is neither in the replica of the records nor in the archive. */
static void
reply_job_unknown (HzbPendingRequest *request)
{
  if (request->kind != HZB_PENDING_REQUEST_SUBMISSION)
    hzb_user_api_reply_error (request->http_request, 404, "no such job", 0);
  else if (request->admission_error)
    hzb_user_api_reply_error (request->http_request, admission_error_status (request->admission_error),
                              request->admission_error->message, 0);
  else
    /* The key-value store has not answered the transaction that accepts the job, and may still apply it. */
    hzb_user_api_reply_unavailable (request->http_request, "not decided");
  hzb_pending_request_free (request);
}

static void
on_archive_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbPendingRequest *request = user;
  g_autoptr (HzbArchivedJob) archived = result == HZB_KV_OK ? hzb_archived_job_decode (body) : NULL;

  if (archived)
    {
      hzb_http_request_respond (request->http_request, 200,
                                hzb_job_status_encode (request->uid, archived->status,
                                                       request->kind == HZB_PENDING_REQUEST_STATUS,
                                                       archived->done_tasks, 0),
                                0);
      hzb_pending_request_free (request);
    }
  else if (result == HZB_KV_NOT_FOUND)
    reply_job_unknown (request);
  else
    hzb_pending_request_reply_unavailable (request, store_unavailable);
}

static void
read_archive (HzbPendingRequest *request)
{
  read_record (request, HZB_KEY_ARCHIVED, on_archive_read);
}

void
hzb_pending_request_resolve (HzbPendingRequest *request)
{
  HzbJob *job = hzb_jobs_find (request->api->dependencies.jobs, request->uid);

  if (!job)
    read_archive (request);
  else if (request->kind == HZB_PENDING_REQUEST_CANCELLATION && job->state == HZB_JOB_ACCEPTED)
    hzb_cancel_request_send (request);
  else
    hzb_pending_request_reply_job_status (request, job);
}

static void
on_completion_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbPendingRequest *request = user;
  HzbUserApi *api = request->api;
  HzbKvEntry entry = { 0 };

  if (result == HZB_KV_OK && hzb_kv_entry_decode (body, &entry))
    {
      api->callbacks.apply_record (&entry, api->callbacks_user);
      hzb_kv_entry_clear (&entry);
      hzb_pending_request_resolve (request);
    }
  else if (result == HZB_KV_NOT_FOUND)
    read_archive (request);
  else
    hzb_pending_request_reply_unavailable (request, store_unavailable);
}

void
hzb_pending_request_read_completion (HzbPendingRequest *request)
{
  read_record (request, HZB_KEY_JOBS, on_completion_read);
}

/* ---- synchronisation of the replica ---- */

static void
on_synchronised (gboolean fresh, gpointer user)
{
  Synchronisation *synchronisation = user;
  HzbUserApi *api = synchronisation->api;

  api->synchronising = FALSE;
  for (guint i = 0; i < synchronisation->pending_requests->len; i++)
    {
      HzbPendingRequest *request = synchronisation->pending_requests->pdata[i];
      if (fresh)
        hzb_pending_request_resolve (request);
      else
        hzb_pending_request_reply_unavailable (request, store_unavailable);
    }
  g_ptr_array_unref (synchronisation->pending_requests);
  g_free (synchronisation);
  hzb_pending_requests_flush (api);
}

static double
synchronisation_interval_s (const HzbSettings *settings)
{
  double interval_s = settings->cluster_size / (SYNCHRONISATION_RATE_FRACTION * settings->kv_rps);
  return CLAMP (interval_s, MIN_SYNCHRONISATION_INTERVAL_S, MAX_SYNCHRONISATION_INTERVAL_S);
}

void
hzb_pending_requests_flush (HzbUserApi *api)
{
  struct timespec now = hzb_clock_now (api->dependencies.node->clock);
  Synchronisation *synchronisation;
  HzbPendingRequest *request;

  if (api->synchronising || !api->pending_requests.length || hzb_time_before (now, api->next_synchronisation))
    return;
  api->next_synchronisation = hzb_time_plus (now, synchronisation_interval_s (api->dependencies.node->settings));
  synchronisation = g_new0 (Synchronisation, 1);
  synchronisation->api = api;
  synchronisation->pending_requests = g_ptr_array_new ();
  while ((request = g_queue_pop_head (&api->pending_requests)))
    g_ptr_array_add (synchronisation->pending_requests, request);
  api->synchronising = TRUE;
  hzb_kv_replica_sync (api->dependencies.kv_replica, on_synchronised, synchronisation);
}

void
hzb_pending_request_queue (HzbPendingRequest *request)
{
  g_queue_push_tail (&request->api->pending_requests, request);
  hzb_pending_requests_flush (request->api);
}

void
hzb_pending_requests_add (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbPendingRequestKind kind,
                          GError *admission_error)
{
  g_autoptr (GError) owned_error = admission_error;
  HzbPendingRequest *request;

  if (hzb_kv_replica_store_unresponsive (api->dependencies.kv_replica))
    {
      hzb_user_api_reply_unavailable (http_request, "the state service does not answer");
      return;
    }
  if (api->pending_requests.length
      >= (guint) hzb_user_api_queue_limit (api, MIN_WAITING_LIMIT, MAX_WAITING_CONNECTION_FRACTION))
    {
      hzb_user_api_reply_error (http_request, kind == HZB_PENDING_REQUEST_SUBMISSION ? 429 : 503,
                                "too much is asked at once", 2);
      return;
    }
  request = hzb_pending_request_new (api, http_request, uid, kind);
  request->admission_error = g_steal_pointer (&owned_error);
  request->deadline = hzb_time_plus (hzb_clock_now (api->dependencies.node->clock), CANCELLATION_TIMEOUT_S);
  hzb_pending_request_queue (request);
}
