/**
 * SECTION: user-protocol
 * @short_description: what users send and get, and the durable form of a submission
 *
 * The one place that knows the names that users see. The durable form of a submission is the submission itself, so one
 * decoder checks both.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** Bytes that the body of a request may have. */
#define HZB_MAX_BODY (64 * 1024)
/** Tasks that a job may have. */
#define HZB_MAX_TASKS 100000u

/** Domain of errors in what users and workers send. */
#define HZB_PROTOCOL_ERROR (hzb_protocol_error_quark ())
/**
 * Behind #HZB_PROTOCOL_ERROR.
 * @return the domain
 */
GQuark hzb_protocol_error_quark (void);

/** HzbProtocolError: codes of #HZB_PROTOCOL_ERROR. */
typedef enum
{
  HZB_PROTOCOL_ERROR_MALFORMED /**< the message says what was expected, and where; users get it with status 400 */
} HzbProtocolError;

/** HzbPriority: in ascending order. */
typedef enum
{
  HZB_PRIORITY_IDLE,       /**< runs on what nothing else needs */
  HZB_PRIORITY_NORMAL,     /**< the usual one */
  HZB_PRIORITY_HIGH,       /**< "urgent" to users */
  HZB_PRIORITY_PRODUCTION, /**< the highest one */
  HZB_N_PRIORITIES         /**< number of priorities */
} HzbPriority;

/** HzbJobKind: what a job's tasks have to do with each other. */
typedef enum
{
  HZB_JOB_ARRAY,   /**< independent tasks */
  HZB_JOB_GANG,    /**< all tasks run at the same time, or none */
  HZB_JOB_SERVICE, /**< its tasks are replicas that run until the job is cancelled */
  HZB_JOB_N_KINDS  /**< number of kinds */
} HzbJobKind;

/** HzbJobSpec: what a user asks for. Amounts are for each task. */
typedef struct
{
  char *uid;                    /**< the job's id, see hzb_job_uid_is_valid() (owned) */
  char *job_class;              /**< the class of jobs that the objectives in the settings speak of (owned) */
  char *team;                   /**< whose guarantee and limit apply (owned) */
  HzbJobKind kind;              /**< array, gang or service */
  HzbPriority priority;         /**< its priority */
  guint tasks;                  /**< number of tasks, from 1 to #HZB_MAX_TASKS */
  double cpus;                  /**< CPUs */
  double gpus;                  /**< GPUs */
  double memory_gb;             /**< memory, in GB */
  GRefString *image;            /**< interned: equal names are equal pointers (owned) */
  double image_gb;              /**< size of the image, in GB */
  char **types;                 /**< allowed machine types, ends with NULL (owned) (nullable); NULL: any */
  char *zone;                   /**< the only allowed zone (owned) (nullable); NULL: any */
  gboolean same_zone;           /**< all tasks must be in the same zone */
  gboolean spread;              /**< at most half of the tasks, rounded up, may be in one zone */
  gboolean spot;                /**< may use spot machines */
  double estimate_s;            /**< the user's estimate of a task's run time, in seconds */
  double checkpoint_interval_s; /**< seconds of progress between checkpoints; 0: a task never saves any */
  double checkpoint_duration_s; /**< seconds that a task needs to save a checkpoint when it is stopped */
  double deadline_s;            /**< seconds from the submission in which the job should complete; 0: no deadline */
} HzbJobSpec;

/**
 * Frees a spec.
 * @param spec (transfer full) (nullable)
 */
void hzb_job_spec_free (HzbJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbJobSpec, hzb_job_spec_free)

/** Path of a submission (POST), and with "/" and a job's id behind it the path of the job (GET). */
extern const char hzb_path_jobs[];
/** Path by which the load balancer asks whether a controller serves users (GET). */
extern const char hzb_path_ready[];
/** End of the path of a cancellation, behind the path of the job (POST). */
extern const char hzb_path_cancel[];

/**
 * Checks the form of a job's id, such as run-000412.
 * @param uid (nullable) the id
 * @return whether it has the form
 */
gboolean hzb_job_uid_is_valid (const char *uid);

/**
 * Decodes the body of a submission.
 * @param body (nullable) the request's body
 * @param length its bytes
 * @param error (out) (optional) #HZB_PROTOCOL_ERROR_MALFORMED; the message names the first field that is missing or
 * invalid
 * @return (transfer full) (nullable): NULL on an error
 */
HzbJobSpec *hzb_job_spec_parse (const char *body, gsize length, GError **error);

/**
 * Encodes the durable form of a submission.
 * @param spec the spec
 * @return (transfer full): the durable form
 */
cJSON *hzb_job_spec_encode (const HzbJobSpec *spec);

/**
 * Decodes the durable form of a submission.
 * @param uid the id that the job must have
 * @param value (nullable) the durable form
 * @return (transfer full) (nullable): NULL if it is not the durable form of that job
 */
HzbJobSpec *hzb_job_spec_decode (const char *uid, const cJSON *value);

/**
 * Encodes the body of a response about a job.
 * @param uid the job's id
 * @param status its state as users see it: queued, running, done or cancelled
 * @param counts whether the numbers of tasks are part of the response
 * @param done number of completed tasks
 * @param running number of running tasks
 * @return (transfer full): the response's body
 */
char *hzb_job_status_encode (const char *uid, const char *status, gboolean counts, guint done, guint running);

/**
 * Encodes the body of an error response.
 * @param text what the user is told
 * @return (transfer full): the response's body
 */
char *hzb_error_response_encode (const char *text);
