/**
 * SECTION: user-protocol
 * @short_description: decodes requests of users, encodes the responses, and converts submissions to stored records
 *
 * The names of the fields that users see appear only in this module. The stored form of a submission has the same
 * fields as the submission, so the same decoder checks both.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** Maximum size of the body of a request, in bytes. */
#define HZB_MAX_BODY_BYTES (64 * 1024)
/** Maximum number of tasks of a job. */
#define HZB_MAX_TASKS 100000u

/** Error domain of invalid requests of users and of invalid heartbeats of workers. */
#define HZB_PROTOCOL_ERROR (hzb_protocol_error_quark ())
/**
 * Returns the quark of the error domain #HZB_PROTOCOL_ERROR.
 * @return the quark
 */
GQuark hzb_protocol_error_quark (void);

/** HzbProtocolError: codes of #HZB_PROTOCOL_ERROR. */
typedef enum
{
  /** The body of a request is invalid. The sender gets the text of the error in a response with HTTP status 400. */
  HZB_PROTOCOL_ERROR_MALFORMED
} HzbProtocolError;

/** HzbPriority: the priority of a job, in ascending order. */
typedef enum
{
  HZB_PRIORITY_IDLE,       /**< runs only on resources that no other job needs */
  HZB_PRIORITY_NORMAL,     /**< the usual priority */
  HZB_PRIORITY_HIGH,       /**< high priority; its value in the messages of users is "urgent" */
  HZB_PRIORITY_PRODUCTION, /**< the highest priority */
  HZB_N_PRIORITIES         /**< number of priorities */
} HzbPriority;

/** HzbJobKind: how the tasks of a job are scheduled relative to each other. */
typedef enum
{
  HZB_JOB_ARRAY,   /**< independent tasks */
  HZB_JOB_GANG,    /**< all tasks run at the same time, or none */
  HZB_JOB_SERVICE, /**< its tasks are replicas that run until the job is cancelled */
  HZB_JOB_N_KINDS  /**< number of kinds */
} HzbJobKind;

/** HzbJobSpec: a job as the user submitted it. Amounts of CPUs, GPUs and memory are per task. */
typedef struct
{
  char *uid;                    /**< the job's id, see hzb_job_uid_is_valid() (owned) */
  char *job_class;              /**< class of the job, to which service-level objectives refer (owned) */
  char *team;                   /**< name of the team whose guaranteed and maximum CPUs and GPUs apply (owned) */
  HzbJobKind kind;              /**< array, gang or service */
  HzbPriority priority;         /**< priority of the job */
  guint tasks;                  /**< number of tasks, from 1 to #HZB_MAX_TASKS */
  double cpus;                  /**< CPUs of each task */
  double gpus;                  /**< GPUs of each task */
  double memory_gb;             /**< memory of each task, in GB */
  GRefString *image;            /**< name of the image; interned, so equal names are equal pointers (owned) */
  double image_gb;              /**< size of the image, in GB */
  char **types;                 /**< names of allowed machine types, NULL-terminated (owned) (nullable); NULL: any */
  char *zone;                   /**< the only allowed zone (owned) (nullable); NULL: any */
  gboolean same_zone;           /**< whether all tasks must be in the same zone */
  gboolean spread;              /**< whether at most half of the tasks, rounded up, may be in one zone */
  gboolean spot;                /**< whether tasks may run on spot machines */
  double estimate_s;            /**< the user's estimate of a task's run time, in seconds */
  double checkpoint_interval_s; /**< seconds of progress between checkpoints; 0: tasks save no checkpoints */
  double checkpoint_duration_s; /**< seconds that a stopped task needs to save a checkpoint */
  double deadline_s;            /**< seconds after the submission by which the job should complete; 0: none */
} HzbJobSpec;

/**
 * Frees a spec.
 * @param spec (transfer full) (nullable) the spec
 */
void hzb_job_spec_free (HzbJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbJobSpec, hzb_job_spec_free)

/** Path of a submission (POST). */
extern const char hzb_path_jobs[];
/** Pattern (path-pattern.h) of the path of a job, with its id as the parameter (GET). */
extern const char hzb_path_job[];
/** Pattern of the path of a request to cancel a job, with its id as the parameter (POST). */
extern const char hzb_path_job_cancel[];
/** Path of the load balancer's readiness check: whether the controller serves users (GET). */
extern const char hzb_path_ready[];

/**
 * Checks the form of a job's id, such as run-000412.
 * @param uid (nullable) the id
 * @return whether the id has the form
 */
gboolean hzb_job_uid_is_valid (const char *uid);

/**
 * Decodes the body of a submission.
 * @param body (nullable) the request's body
 * @param length size of the body, in bytes
 * @param error (out) (optional) #HZB_PROTOCOL_ERROR_MALFORMED; its text names the first field that is missing or
 * invalid, or says that the body is too large or not a JSON object
 * @return (transfer full) (nullable): the spec; NULL on an error
 */
HzbJobSpec *hzb_job_submission_decode (const char *body, gsize length, GError **error);

/**
 * Encodes a spec into the stored form of a submission, which hzb_job_spec_decode() decodes.
 * @param spec the spec
 * @return (transfer full): the stored form
 */
cJSON *hzb_job_spec_encode (const HzbJobSpec *spec);

/**
 * Decodes the stored form of a submission.
 * @param uid the id that the job must have
 * @param value (nullable) the stored form
 * @return (transfer full) (nullable): the spec; NULL if the value is invalid or of another job
 */
HzbJobSpec *hzb_job_spec_decode (const char *uid, const cJSON *value);

/**
 * Encodes the body of a response about a job.
 * @param uid the job's id
 * @param status its state as users see it: queued, running, done or cancelled
 * @param counts whether to include the numbers of completed and running tasks
 * @param done number of completed tasks
 * @param running number of running tasks
 * @return (transfer full): the response's body
 */
char *hzb_job_status_encode (const char *uid, const char *status, gboolean counts, guint done, guint running);

/**
 * Encodes the body of an error response.
 * @param text the error message
 * @return (transfer full): the response's body
 */
char *hzb_error_response_encode (const char *text);
