/* The only part that knows the names used on the wire. Everything inside uses the field's terms. */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

#define HZB_MAX_BODY (64 * 1024)
#define HZB_MAX_TASKS 100000u

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

typedef struct
{
  char *name;
  double cpus, gpus, memory_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
  char **zones;
  guint index; /* in the list of types */
} HzbMachineType;

void hzb_machine_type_free (HzbMachineType *type);

typedef enum
{
  HZB_TASK_STATUS_FETCHING,
  HZB_TASK_STATUS_WAITING,
  HZB_TASK_STATUS_RUNNING,
  HZB_TASK_STATUS_CHECKPOINTING,
  HZB_TASK_STATUS_EXITED
} HzbReportedTaskState;

typedef enum
{
  HZB_EXIT_NONE,
  HZB_EXIT_DONE,
  HZB_EXIT_STOPPED,
  HZB_EXIT_GANG_PEER_LOST,
  HZB_EXIT_GANG_INCOMPLETE,
  HZB_EXIT_ERROR,
  HZB_EXIT_REFUSED_FULL,
  HZB_EXIT_REFUSED_IN_USE,
  HZB_EXIT_REFUSED_UNKNOWN
} HzbExitCause;

/* One line of a worker's heartbeat. */
typedef struct
{
  char *uid;
  guint task;
  guint64 attempt;
  HzbReportedTaskState state;
  HzbExitCause exit_cause;
  gboolean checkpoint_saved;
} HzbTaskStatus;

typedef struct
{
  char *host, *addr, *type, *zone;
  gboolean spot;
  guint64 agent_epoch, sequence, fencing_token;
  double notice_s;       /* below 0: none */
  GArray *task_statuses; /* HzbTaskStatus */
} HzbWorkerHeartbeat;

void hzb_worker_heartbeat_free (HzbWorkerHeartbeat *report);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbWorkerHeartbeat, hzb_worker_heartbeat_free)

typedef enum
{
  HZB_COMMAND_START,
  HZB_COMMAND_STOP,
  HZB_COMMAND_REAP
} HzbCommandKind;

typedef struct
{
  HzbCommandKind kind;
  const char *uid; /* not owned */
  guint task;
  guint64 attempt;
  double grace_s;
} HzbCommand;

typedef struct
{
  char *name, *addr, *type, *zone;
  gboolean spot;
  enum
  {
    HZB_CLOUD_INSTANCE_STARTING,
    HZB_CLOUD_INSTANCE_RUNNING,
    HZB_CLOUD_INSTANCE_FAILED
  } state;
  double age_s;
} HzbCloudInstance;

void hzb_cloud_instance_free (HzbCloudInstance *instance);

typedef struct
{
  char *key;
  cJSON *value; /* NULL: removed */
  guint64 version;
} HzbKvEntry;

void hzb_kv_entry_clear (HzbKvEntry *item);

#define HZB_WIRE_ERROR (hzb_wire_error_quark ())
GQuark hzb_wire_error_quark (void);

/* users */
extern const char hzb_path_jobs[], hzb_path_ready[], hzb_path_worker_heartbeat[], hzb_path_cancel[];
gboolean hzb_wire_uid_ok (const char *uid);
HzbJobSpec *hzb_wire_parse_job (const char *body, gsize length, GError **error);
char *hzb_wire_job_status (const char *uid, const char *status, gboolean counts, guint done, guint running);
char *hzb_wire_error (const char *text);
cJSON *hzb_wire_pack_spec (const HzbJobSpec *spec); /* the durable form */
HzbJobSpec *hzb_wire_unpack_spec (const char *uid, const cJSON *value);

/* workers */
HzbWorkerHeartbeat *hzb_wire_parse_worker_heartbeat (const char *body, gsize length, GError **error);
char *hzb_wire_commands (guint64 fencing_token, const GArray *commands); /* HzbCommand */
char *hzb_wire_redirect (const char *node);                              /* NULL: nobody known */

/* cloud */
extern const char hzb_path_types[], hzb_path_rent[], hzb_path_return[];
GPtrArray *hzb_wire_parse_types (const char *body); /* HzbMachineType */
char *hzb_wire_rent (const char *request, const char *type, const char *zone, gboolean spot, guint count);
GPtrArray *hzb_wire_parse_names (const char *body); /* char* */
char *hzb_wire_return (const GPtrArray *names);
char *hzb_wire_list_path (const char *after, guint limit);
GPtrArray *hzb_wire_parse_list (const char *body, gboolean *more); /* HzbCloudInstance */

/* key-value store */
extern const char hzb_path_txn[], hzb_path_leases[];
cJSON *hzb_wire_txn (void);
void hzb_wire_txn_if (cJSON *txn, const char *key, guint64 version);
void hzb_wire_txn_put (cJSON *txn, const char *key, cJSON *value, guint64 lease);
void hzb_wire_txn_delete (cJSON *txn, const char *key);
guint hzb_wire_txn_writes (const cJSON *txn);
gboolean hzb_wire_parse_txn (const char *body, guint64 *revision, GPtrArray **failed);
char *hzb_wire_get_path (const char *key);
gboolean hzb_wire_parse_item (const char *body, HzbKvEntry *item);
char *hzb_wire_range_path (const char *prefix, const char *after, guint limit);
GArray *hzb_wire_parse_range (const char *body, gboolean *more, guint64 *revision); /* HzbKvEntry */
char *hzb_wire_watch_path (const char *prefix, guint64 after, guint wait_ms);
GArray *hzb_wire_parse_watch (const char *body, guint64 *revision); /* HzbKvEntry */
char *hzb_wire_lease (guint ttl_ms);
guint64 hzb_wire_parse_lease (const char *body); /* 0: not one */
char *hzb_wire_renew_path (guint64 lease);
char *hzb_wire_end_lease_path (guint64 lease);

guint64 hzb_json_u64 (const cJSON *object, const char *name);
double hzb_json_number (const cJSON *object, const char *name, double fallback);
const char *hzb_json_text (const cJSON *object, const char *name);
void hzb_json_add_u64 (cJSON *object, const char *name, guint64 value);
