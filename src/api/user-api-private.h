/**
 * SECTION: user-api-private
 * @short_description: what the files of the user API share
 */
#pragma once
#include "user-api.h"
#include "user-records-codec.h"

/** HzbQuestion: what a request that waits for an up-to-date replica of the records asks. */
typedef enum
{
  HZB_QUESTION_STATUS,      /**< the job's status */
  HZB_QUESTION_SUBMISSION,  /**< a submission of a job that seems known, or that can never run */
  HZB_QUESTION_CANCELLATION /**< the job's cancellation */
} HzbQuestion;

/** HZB_ADMISSION_ERROR: domain of the errors for which a submission is refused for good. */
#define HZB_ADMISSION_ERROR (hzb_admission_error_quark ())
/** hzb_admission_error_quark: Returns: the quark of #HZB_ADMISSION_ERROR */
GQuark hzb_admission_error_quark (void);

/** HzbAdmissionError: why a submission is refused for good, unless its job was accepted earlier. */
typedef enum
{
  HZB_ADMISSION_ERROR_MALFORMED, /**< answered with 400 */
  HZB_ADMISSION_ERROR_NEVER_RUNS /**< answered with 422: no machine or limit could ever take the job */
} HzbAdmissionError;

/** HzbCheck: a request that waits for an up-to-date replica of the records, or for the acknowledgement of a cancellation. */
typedef struct
{
  HzbUserApi *api;              /**< (not owned) */
  HzbHttpRequest *http_request; /**< (not owned): to be answered once */
  char *uid;                    /**< the job */
  HzbQuestion question;         /**< what is asked */
  GError *refusal;              /**< (nullable): why a submission is refused if its job is not known */
  struct timespec deadline;     /**< when the user gets 503 with Retry-After */
} HzbCheck;

/** HzbSubmission: a job that waits for its acceptance. */
typedef struct
{
  HzbHttpRequest *http_request; /**< (not owned): to be answered once */
  HzbJobSpec *spec;             /**< the job */
  char *encoded;                /**< its part of the acceptance record */
  struct timespec deadline;     /**< when the user gets 503 with Retry-After */
} HzbSubmission;

/** _HzbUserApi: requests in their queues, and the calls on their way to the key-value store. */
struct _HzbUserApi
{
  HzbUserApiDependencies with;          /**< the modules that the user API calls */
  HzbUserApiCallbacks callbacks;        /**< the controller above */
  gpointer callbacks_user;              /**< passed to them */
  GQueue checks;                        /**< HzbCheck that wait for the next synchronisation of the replica */
  gboolean synchronising;               /**< the replica is being brought up to date for the checks before those */
  struct timespec next_synchronisation; /**< not before this time */
  GQueue unacknowledged;       /**< HzbCheck of cancelled jobs, until every controller knows the cancellation */
  GQueue submissions;          /**< HzbSubmission that wait to be sent */
  guint acceptances_in_flight; /**< transactions without an answer yet */
  guint acceptances_sent;      /**< by this process; part of the next record's name */
};

/* ---- user-api.c: answers ---- */

/** hzb_user_api_reply_error: an error; retry_after_s is in seconds, 0: the answer names none. */
void hzb_user_api_reply_error (HzbHttpRequest *http_request, guint status, const char *text, guint retry_after_s);

/** hzb_user_api_reply_unavailable: 503 with Retry-After. */
void hzb_user_api_reply_unavailable (HzbHttpRequest *http_request, const char *why);

/** hzb_user_api_queue_limit: how many requests of a kind may wait: a part of the connections, but at least so many. */
double hzb_user_api_queue_limit (const HzbUserApi *api, guint least, double part);

/* ---- checks.c: answers that rest on an up-to-date replica of the records ---- */

/** hzb_check_new: Returns: (transfer full): a check that waits nowhere yet */
HzbCheck *hzb_check_new (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbQuestion question);

/** hzb_check_free: frees a check whose request has been answered. */
void hzb_check_free (HzbCheck *check);

/** hzb_check_give_up: answers with 503 and Retry-After. Takes the check. */
void hzb_check_give_up (HzbCheck *check, const char *why);

/**
 * hzb_checks_add:
 * Queues a check for the request, or refuses the request at once if it could not be answered in time.
 *
 * @param api the module
 * @param http_request (transfer full): to be answered
 * @param uid the job
 * @param question what is asked
 * @param refusal (transfer full) (nullable): why a submission is refused, if its job is not known
 */
void
hzb_checks_add (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbQuestion question, GError *refusal);

/** hzb_check_queue: answers once the replica of the records is proven to be up to date. Takes the check. */
void hzb_check_queue (HzbCheck *check);

/** hzb_check_read: answers from the record of the job's completion. Takes the check. */
void hzb_check_read (HzbCheck *check);

/** hzb_check_settle: answers by what the replica says; the replica must be up to date. Takes the check. */
void hzb_check_settle (HzbCheck *check);

/** hzb_checks_flush: brings the replica of the records up to date for all checks that wait. */
void hzb_checks_flush (HzbUserApi *api);

/* ---- cancel-requests.c ---- */

/** hzb_cancel_request_send: records the cancellation of an accepted job. Takes the check. */
void hzb_cancel_request_send (HzbCheck *check);

/**
 * hzb_check_reply_final: answers with the job's state, which is final or proven to be up to date; that of a cancelled job once
 * no controller can act without the cancellation. Takes the check.
 */
void hzb_check_reply_final (HzbCheck *check, HzbJob *job);

/** hzb_cancel_requests_tick: answers those whose cancellation is acknowledged by now, or whose time is over. */
void hzb_cancel_requests_tick (HzbUserApi *api);

/* ---- job-admission.c ---- */

/** hzb_job_admission_check: Returns: FALSE, with #HZB_ADMISSION_ERROR, if the job could never be accepted as it is */
gboolean hzb_job_admission_check (const HzbUserApi *api, const HzbJobSpec *spec, GError **error);

/** hzb_job_admission_drop_unknown_types: machine types that do not exist never fit: the record need not hold them. */
void hzb_job_admission_drop_unknown_types (const HzbUserApi *api, HzbJobSpec *spec);

/* ---- submissions.c ---- */

/** hzb_submissions_submit: answers the submission now or later. */
void hzb_submissions_submit (HzbUserApi *api, HzbHttpRequest *http_request);

/** hzb_submissions_flush: sends submissions that wait to be accepted. */
void hzb_submissions_flush (HzbUserApi *api);

/** hzb_submission_free: frees a submission whose request has been answered, or is answered by a check. */
void hzb_submission_free (HzbSubmission *submission);
