/**
 * SECTION: user-api-private
 * @short_description: what user-api.c (questions, cancellations) and submissions.c share
 */
#pragma once
#include "jobs.h"
#include "user-api.h"

/* What a request waits for. */
typedef enum
{
  HZB_QUESTION_STATUS,
  HZB_QUESTION_SUBMISSION, /* a submission of a job that seems known, or that can never run */
  HZB_QUESTION_CANCELLATION
} HzbQuestion;

typedef struct
{
  HzbHttpRequest *http_request;
  char *uid;
  HzbQuestion question;
  char *refusal; /* QUESTION_SUBMISSION: why it is not taken, if it is not known */
  guint refusal_status;
  struct timespec deadline;
} HzbCheck;

typedef struct
{
  HzbHttpRequest *http_request;
  HzbJobSpec *spec;
  char *packed;
  struct timespec deadline;
} HzbSubmission;

struct _HzbUserApi
{
  HzbController *controller;
  GQueue checks, submissions;   /* waiting to be sent */
  GQueue pending_cancellations; /* Check: of cancelled jobs, until every owner has acknowledged it */
  gboolean checking;
  guint accepting; /* records on their way */
  guint records;   /* of acceptances, by this process */
  struct timespec next_check;
};

typedef struct
{
  HzbUserApi *api;
  GPtrArray *entries;
  char *key; /* of a record of acceptances */
  cJSON *record;
} HzbBatch;

/** hzb_user_api_reply_unavailable: 503 with Retry-After. */
void hzb_user_api_reply_unavailable (HzbHttpRequest *http_request, const char *why);

/** hzb_user_api_reply_final: answers with the job's state, once it may be told. Takes @check. */
void hzb_user_api_reply_final (HzbUserApi *api, HzbCheck *check, HzbJob *job);

HzbCheck *hzb_user_api_check_new (HzbHttpRequest *http_request, const char *uid, HzbQuestion question);

/** hzb_user_api_queue_check: answers once the replica of the records is proven to be up to date. Takes @check. */
void hzb_user_api_queue_check (HzbUserApi *api, HzbCheck *check);

/** hzb_user_api_read_check: answers from the record of the job's end. Takes @check. */
void hzb_user_api_read_check (HzbUserApi *api, HzbCheck *check);

/**
 * hzb_user_api_add_check:
 * @refusal: (nullable): why a submission is not taken, if its job is not known
 *
 * Queues a check for the exchange, or refuses it at once if that can't be done.
 */
void hzb_user_api_add_check (HzbUserApi *api, HzbHttpRequest *http_request, const char *uid, HzbQuestion question,
                             const char *refusal, guint refusal_status);

/** hzb_user_api_failed_by: a transaction failed by the record of this job's end. */
gboolean hzb_user_api_failed_by (const GPtrArray *failed, const char *uid);

HzbBatch *hzb_user_api_batch_new (HzbUserApi *api);
void hzb_user_api_batch_free (HzbBatch *batch);

/** hzb_submissions_submit: answers the submission now or later. */
void hzb_submissions_submit (HzbUserApi *api, HzbHttpRequest *http_request);

/** hzb_submissions_flush: sends what waits to be accepted. */
void hzb_submissions_flush (HzbUserApi *api);
void hzb_submissions_free (HzbSubmission *submission);
