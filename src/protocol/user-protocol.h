/**
 * SECTION: user-protocol
 * @short_description: what users send and get, and the durable form of a submission
 *
 * The one place that knows the names that users see. The durable form of a submission is the submission itself, so one
 * reader checks both.
 */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

/** HZB_MAX_BODY: bytes that a request may have. */
#define HZB_MAX_BODY (64 * 1024)
#define HZB_MAX_TASKS 100000u

/** HZB_PROTOCOL_ERROR: domain of errors in what users and workers send. */
#define HZB_PROTOCOL_ERROR (hzb_protocol_error_quark ())
GQuark hzb_protocol_error_quark (void);

typedef enum
{
  HZB_PROTOCOL_ERROR_MALFORMED /* the text of the error says what was expected, and where */
} HzbProtocolError;

typedef enum
{
  HZB_PRIORITY_IDLE,
  HZB_PRIORITY_NORMAL,
  HZB_PRIORITY_HIGH,
  HZB_PRIORITY_PRODUCTION,
  HZB_N_PRIORITIES
} HzbPriority;

typedef enum
{
  HZB_JOB_ARRAY,   /* independent tasks */
  HZB_JOB_GANG,    /* all tasks run at the same time, or none */
  HZB_JOB_SERVICE, /* its tasks are replicas that run until the job is cancelled */
  HZB_JOB_N_KINDS
} HzbJobKind;

/* What a user asks for. */
typedef struct
{
  char *uid, *job_class, *team;
  HzbJobKind kind;
  HzbPriority priority;
  guint tasks;
  double cpus, gpus, memory_gb;
  GRefString *image; /* interned: equal names are equal pointers */
  double image_gb;
  char **types; /* NULL: any */
  char *zone;   /* NULL: any */
  gboolean same_zone, spread, spot;
  double estimate_s, checkpoint_interval_s, checkpoint_duration_s, deadline_s; /* deadline_s 0: none */
} HzbJobSpec;

void hzb_job_spec_free (HzbJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbJobSpec, hzb_job_spec_free)

extern const char hzb_path_jobs[], hzb_path_ready[], hzb_path_cancel[];

/** hzb_job_uid_is_valid: such as run-000412. */
gboolean hzb_job_uid_is_valid (const char *uid);

/** hzb_job_spec_parse: Returns: (transfer full) (nullable): NULL, with HZB_PROTOCOL_ERROR_MALFORMED, if it lacks a field or has a wrong one */
HzbJobSpec *hzb_job_spec_parse (const char *body, gsize length, GError **error);

/** hzb_job_spec_encode: Returns: (transfer full): the durable form */
cJSON *hzb_job_spec_encode (const HzbJobSpec *spec);

/** hzb_job_spec_decode: Returns: (transfer full) (nullable): NULL if it is not the durable form of the job @uid */
HzbJobSpec *hzb_job_spec_decode (const char *uid, const cJSON *value);

/** hzb_job_status_encode: Returns: (transfer full): the body of an answer about a job; @counts: with numbers of tasks */
char *hzb_job_status_encode (const char *uid, const char *status, gboolean counts, guint done, guint running);

/** hzb_error_response_encode: Returns: (transfer full): the body of an answer that is an error */
char *hzb_error_response_encode (const char *text);
