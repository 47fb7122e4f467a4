#include "worker-protocol.h"

#include "json.h"
#include "user-protocol.h"

#include <string.h>

const char hzb_path_worker_heartbeat[] = "/hello";

/* Names of the fields in workers' messages. The wire format fixes the strings; the constants are named after the terms
 * that the code uses. */
#define NAME_HOST "host"
#define NAME_ADDR "addr"
#define NAME_TYPE "flavor"
#define NAME_ZONE "yard"
#define NAME_SPOT "loaners"
#define NAME_AGENT_EPOCH "tenure"
#define NAME_SEQUENCE "tick"
#define NAME_FENCING_TOKEN "baton"
#define NAME_NOTICE_S "reclaimInS"
#define NAME_TASK_STATUSES "pieces"

/* Fields of a task's status; a command has the first two as well. */
#define NAME_TASK "piece"
#define NAME_ATTEMPT "try"
#define NAME_STATE "status"
#define NAME_EXIT_CAUSE "cause"
#define NAME_CHECKPOINT_SAVED "stored"

/* Fields of a response and of its commands. */
#define NAME_COMMANDS "orders"
#define NAME_COMMAND_KIND "verb"
#define NAME_GRACE_S "windDownS"
#define NAME_LEADER "steward"

static const char *const reported_state_names[] = {
  [HZB_TASK_STATUS_FETCHING] = "fetching", [HZB_TASK_STATUS_WAITING] = "gathering",
  [HZB_TASK_STATUS_RUNNING] = "running",   [HZB_TASK_STATUS_CHECKPOINTING] = "saving",
  [HZB_TASK_STATUS_EXITED] = "ended",
};

static const char *const exit_cause_names[] = {
  [HZB_EXIT_NONE] = "",
  [HZB_EXIT_DONE] = "done",
  [HZB_EXIT_STOPPED] = "stopped",
  [HZB_EXIT_GANG_PEER_LOST] = "mates_gone",
  [HZB_EXIT_GANG_INCOMPLETE] = "alone",
  [HZB_EXIT_ERROR] = "error",
  [HZB_EXIT_REFUSED_FULL] = "full",
  [HZB_EXIT_REFUSED_IN_USE] = "in_use",
  [HZB_EXIT_REFUSED_UNKNOWN] = "no_such",
};

static const char *const command_names[] = {
  [HZB_COMMAND_START] = "run",
  [HZB_COMMAND_STOP] = "kill",
  [HZB_COMMAND_REAP] = "reap",
};

#define NO_RECLAIM_NOTICE (-1.0)

void
hzb_worker_heartbeat_free (HzbWorkerHeartbeat *heartbeat)
{
  if (!heartbeat)
    return;
  g_free (heartbeat->host);
  g_free (heartbeat->addr);
  g_free (heartbeat->type);
  g_free (heartbeat->zone);
  g_array_unref (heartbeat->task_statuses);
  g_free (heartbeat);
}

static void
task_status_clear (gpointer data)
{
  g_free (((HzbTaskStatus *) data)->uid);
}

/* Splits a task's name, such as run-000412/3, into the job's id and the task's index.
 * Returns: FALSE, and sets nothing, if the name does not have this form */
static gboolean
decode_task_name (const char *name, char **uid, guint *task)
{
  const char *slash = name ? strrchr (name, '/') : NULL;
  guint64 index;

  if (!slash || !g_ascii_string_to_unsigned (slash + 1, 10, 0, G_MAXUINT32, &index, NULL))
    return FALSE;
  *uid = g_strndup (name, (gsize) (slash - name));
  *task = (guint) index;
  return TRUE;
}

/* Returns: FALSE if the item lacks a valid task name, or has a state that this version does not know */
static gboolean
decode_task_status (const cJSON *item, HzbTaskStatus *status)
{
  int state =
      hzb_json_index_of (hzb_json_text (item, NAME_STATE), reported_state_names, G_N_ELEMENTS (reported_state_names));
  int cause =
      hzb_json_index_of (hzb_json_text (item, NAME_EXIT_CAUSE), exit_cause_names, G_N_ELEMENTS (exit_cause_names));

  if (state < 0 || !decode_task_name (hzb_json_text (item, NAME_TASK), &status->uid, &status->task))
    return FALSE;
  status->attempt = hzb_json_u64 (item, NAME_ATTEMPT);
  status->state = (HzbReportedTaskState) state;
  status->exit_cause = cause < 0 ? HZB_EXIT_NONE : (HzbExitCause) cause;
  status->checkpoint_saved = hzb_json_flag (item, NAME_CHECKPOINT_SAVED);
  return TRUE;
}

/* Decodes the status of each task; invalid items are left out.
 * Returns: (transfer full) (element-type HzbTaskStatus): the statuses */
static GArray *
decode_task_statuses (const cJSON *list)
{
  GArray *statuses = g_array_new (FALSE, TRUE, sizeof (HzbTaskStatus));
  const cJSON *item;

  g_array_set_clear_func (statuses, task_status_clear);
  cJSON_ArrayForEach (item, list)
    {
      HzbTaskStatus status = { 0 };
      if (decode_task_status (item, &status))
        g_array_append_val (statuses, status);
    }
  return statuses;
}

HzbWorkerHeartbeat *
hzb_worker_heartbeat_decode (const char *body, gsize length, GError **error)
{
  g_autoptr (HzbWorkerHeartbeat) heartbeat = g_new0 (HzbWorkerHeartbeat, 1);
  g_autoptr (cJSON) root = body ? hzb_json_parse (body, length) : NULL;

  heartbeat->host = g_strdup (hzb_json_text (root, NAME_HOST));
  heartbeat->addr = g_strdup (hzb_json_text (root, NAME_ADDR));
  heartbeat->type = g_strdup (hzb_json_text (root, NAME_TYPE));
  heartbeat->zone = g_strdup (hzb_json_text (root, NAME_ZONE));
  heartbeat->spot = hzb_json_flag (root, NAME_SPOT);
  heartbeat->agent_epoch = hzb_json_u64 (root, NAME_AGENT_EPOCH);
  heartbeat->sequence = hzb_json_u64 (root, NAME_SEQUENCE);
  heartbeat->fencing_token = hzb_json_u64 (root, NAME_FENCING_TOKEN);
  heartbeat->notice_s = hzb_json_number (root, NAME_NOTICE_S, NO_RECLAIM_NOTICE);
  heartbeat->task_statuses = decode_task_statuses (cJSON_GetObjectItemCaseSensitive (root, NAME_TASK_STATUSES));
  if (!heartbeat->host || !heartbeat->addr || !heartbeat->type || !heartbeat->zone || !heartbeat->agent_epoch)
    {
      g_set_error (error, HZB_PROTOCOL_ERROR, HZB_PROTOCOL_ERROR_MALFORMED, "not a worker's report");
      return NULL;
    }
  return g_steal_pointer (&heartbeat);
}

static cJSON *
encode_command (const HzbCommand *command)
{
  cJSON *item = cJSON_CreateObject ();
  char name[64];

  g_snprintf (name, sizeof name, "%s/%u", command->uid, command->task);
  cJSON_AddStringToObject (item, NAME_COMMAND_KIND, command_names[command->kind]);
  cJSON_AddStringToObject (item, NAME_TASK, name);
  hzb_json_add_u64 (item, NAME_ATTEMPT, command->attempt);
  if (command->kind == HZB_COMMAND_STOP)
    cJSON_AddNumberToObject (item, NAME_GRACE_S, command->grace_s);
  return item;
}

char *
hzb_commands_encode (guint64 fencing_token, const GArray *commands)
{
  cJSON *root = cJSON_CreateObject (), *list;

  hzb_json_add_u64 (root, NAME_FENCING_TOKEN, fencing_token);
  list = cJSON_AddArrayToObject (root, NAME_COMMANDS);
  for (guint i = 0; commands && i < commands->len; i++)
    cJSON_AddItemToArray (list, encode_command (&g_array_index (commands, HzbCommand, i)));
  return hzb_json_print (root);
}

char *
hzb_worker_redirect_encode (const char *node)
{
  cJSON *root = cJSON_CreateObject ();
  if (node)
    cJSON_AddStringToObject (root, NAME_LEADER, node);
  return hzb_json_print (root);
}
