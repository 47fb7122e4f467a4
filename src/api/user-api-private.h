/**
 * SECTION: user-api-private
 * @short_description: declarations shared by the source files of the user API
 */
#pragma once
#include "memory-budget.h"
#include "user-api.h"
#include "user-records-codec.h"

/** HzbPendingRequestKind: the kinds of user requests that may have to wait for their response. */
typedef enum
{
  HZB_PENDING_REQUEST_STATUS,      /**< requests the job's status */
  HZB_PENDING_REQUEST_SUBMISSION,  /**< submits a job that is known, can never run, or has an undecided acceptance */
  HZB_PENDING_REQUEST_CANCELLATION /**< requests the job's cancellation */
} HzbPendingRequestKind;

/** HZB_ADMISSION_ERROR: domain of the errors for which a submission is refused permanently. */
#define HZB_ADMISSION_ERROR (hzb_admission_error_quark ())
/** hzb_admission_error_quark: Returns: the quark of #HZB_ADMISSION_ERROR */
GQuark hzb_admission_error_quark (void);

/** HzbAdmissionError: why a submission is refused permanently, unless its job was accepted earlier. */
typedef enum
{
  HZB_ADMISSION_ERROR_MALFORMED,    /**< status 400: the submission is invalid */
  HZB_ADMISSION_ERROR_UNSCHEDULABLE /**< status 422: no team, zone or machine type allows the job to run */
} HzbAdmissionError;

/**
 * HzbPendingRequest: a request about one job that waits until the replica of the records is proven to be up to date, or
 * until every controller has acknowledged a cancellation.
 */
typedef struct
{
  HzbUserApi *api;              /**< (not owned) */
  HzbHttpRequest *http_request; /**< (not owned): must be answered exactly once */
  char *uid;                    /**< (owned): the job's id */
  HzbPendingRequestKind kind;   /**< what the user requests */
  GError *admission_error;      /**< (owned) (nullable): why the submission is refused unless its job is known */
  struct timespec deadline;     /**< monotonic time: a cancellation that is not sent by then, or, once it is
                                     recorded, not acknowledged by then, is answered with 503 */
} HzbPendingRequest;

/** HzbSubmission: a submitted job that waits for its acceptance. */
typedef struct
{
  HzbHttpRequest *http_request; /**< (not owned): must be answered exactly once */
  HzbJobSpec *spec;             /**< (owned): the job */
  char *encoded;                /**< (owned): the job's entry in the acceptance record, as JSON text */
  struct timespec deadline;     /**< monotonic time after which the user gets 503 with Retry-After */
} HzbSubmission;

/** _HzbUserApi: the queues of requests, and the calls to the key-value store that are in flight. */
struct _HzbUserApi
{
  HzbUserApiDependencies dependencies; /**< the modules that the user API calls */
  HzbUserApiCallbacks callbacks;       /**< functions of the controller */
  gpointer callbacks_user;             /**< (not owned) (nullable): user data passed to the callbacks */
  GQueue pending_requests; /**< (element-type HzbPendingRequest): wait for the next synchronisation of the replica */
  gboolean synchronising;  /**< a synchronisation of the replica is in flight, for requests taken from the queue */
  struct timespec next_synchronisation; /**< earliest time of the next synchronisation */
  GQueue unacknowledged_cancellations;  /**< (element-type HzbPendingRequest): wait until every controller has
                                             acknowledged the cancellation of their job */
  GQueue submissions;                   /**< (element-type HzbSubmission): wait to be sent to the key-value store */
  guint acceptances_in_flight;          /**< acceptance transactions that the key-value store has not answered yet */
  guint acceptances_sent;               /**< acceptance transactions sent by this process; numbers the record keys */
  HzbMemoryBudget memory_budget;        /**< memory of the unfinished jobs */
};

/* ---- user-api.c: responses ---- */

/** hzb_user_api_reply_error: responds with an error. retry_after_s: seconds; 0: no Retry-After header */
void hzb_user_api_reply_error (HzbHttpRequest *http_request, guint status, const char *text, guint retry_after_s);

/** hzb_user_api_reply_unavailable: responds with 503, a Retry-After header of 1 s, and the reason as its text. */
void hzb_user_api_reply_unavailable (HzbHttpRequest *http_request, const char *reason);

/**
 * hzb_user_api_queue_limit: Returns: how many requests of a kind may wait on this node: connection_fraction of the
 * connections that the node may have open, but no fewer than min_limit
 */
double hzb_user_api_queue_limit (const HzbUserApi *api, guint min_limit, double connection_fraction);

/* ---- pending-requests.c: responses that depend on an up-to-date replica of the records ---- */

/** hzb_pending_request_new: Returns: (transfer full): a pending request that is in no queue yet, without a deadline */
HzbPendingRequest *
hzb_pending_request_new (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbPendingRequestKind kind);

/** hzb_pending_request_free: frees a pending request whose HTTP request has been answered. */
void hzb_pending_request_free (HzbPendingRequest *request);

/** hzb_pending_request_reply_unavailable: responds with 503 and Retry-After. Takes ownership of the request. */
void hzb_pending_request_reply_unavailable (HzbPendingRequest *request, const char *reason);

/**
 * hzb_pending_requests_add:
 * Queues the request until the replica of the records is up to date, or refuses the request at once if the key-value
 * store does not answer or too many requests wait already.
 *
 * @param api the module
 * @param http_request (transfer full): answered now or later
 * @param uid the job's id
 * @param kind what the user requests
 * @param admission_error (transfer full) (nullable): why a submission is refused unless its job is known
 */
void hzb_pending_requests_add (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid,
                               HzbPendingRequestKind kind, GError *admission_error);

/**
 * hzb_pending_request_queue: queues the request; it is resolved once the replica of the records is proven to be up to
 * date. Takes ownership of the request.
 */
void hzb_pending_request_queue (HzbPendingRequest *request);

/**
 * hzb_pending_request_read_completion: reads the job's completion record from the key-value store, then resolves the
 * request. Takes ownership of the request.
 */
void hzb_pending_request_read_completion (HzbPendingRequest *request);

/**
 * hzb_pending_request_resolve: responds with what the replica of the records says of the job, or begins its
 * cancellation if that is requested; reads the archive if the replica does not have the job. The replica must be up to
 * date. Takes ownership of the request.
 */
void hzb_pending_request_resolve (HzbPendingRequest *request);

/** hzb_pending_requests_flush: starts a synchronisation of the replica for all queued requests, if one is due. */
void hzb_pending_requests_flush (HzbUserApi *api);

/* ---- cancel-requests.c ---- */

/** hzb_cancel_request_send: records the cancellation of an accepted job. Takes ownership of the request. */
void hzb_cancel_request_send (HzbPendingRequest *request);

/**
 * hzb_pending_request_reply_job_status: responds with the job's status, which must be terminal or proven to be up to
 * date. For a cancelled job, the response waits until every controller has acknowledged the cancellation. Takes
 * ownership of the request.
 */
void hzb_pending_request_reply_job_status (HzbPendingRequest *request, HzbJob *job);

/**
 * hzb_cancel_requests_tick: answers the requests whose cancellation is acknowledged by now, or whose deadline has
 * passed.
 */
void hzb_cancel_requests_tick (HzbUserApi *api);

/* ---- job-admission.c ---- */

/** hzb_job_admission_check: Returns: FALSE, with #HZB_ADMISSION_ERROR, if the job is invalid or can never run */
gboolean hzb_job_admission_check (const HzbUserApi *api, const HzbJobSpec *spec, GError **error);

/**
 * hzb_job_admission_drop_unknown_types: removes machine types that do not exist from the job's allowed types, since no
 * task could run on them and the job's record need not name them. If no allowed type exists, the list becomes empty and
 * allows no machine; a list that is NULL allows all types and stays NULL.
 */
void hzb_job_admission_drop_unknown_types (const HzbUserApi *api, HzbJobSpec *spec);

/* ---- submissions.c ---- */

/** hzb_submissions_submit: handles a submission; the request is answered now or later. */
void hzb_submissions_submit (HzbUserApi *api, HzbHttpRequest *http_request);

/** hzb_submissions_flush: sends queued submissions to the key-value store, as many as may be in flight. */
void hzb_submissions_flush (HzbUserApi *api);

/**
 * hzb_submission_free: frees a submission whose HTTP request has been answered, or belongs to a pending request now.
 */
void hzb_submission_free (HzbSubmission *submission);
