#include "worker-protocol.h"

#include "json.h"
#include "user-protocol.h"

#include <string.h>

const char hzb_path_worker_heartbeat[] = "/hello";

static const char *const reported_state_names[] = { "fetching", "gathering", "running", "saving", "ended" };
static const char *const exit_cause_names[] = { "",      "done", "stopped", "mates_gone", "alone",
                                                "error", "full", "in_use",  "no_such" };

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

HzbWorkerHeartbeat *
hzb_worker_heartbeat_decode (const char *body, gsize length, GError **error)
{
  g_autoptr (HzbWorkerHeartbeat) heartbeat = g_new0 (HzbWorkerHeartbeat, 1);
  cJSON *root = body ? cJSON_ParseWithLength (body, length) : NULL;
  const cJSON *item;

  heartbeat->task_statuses = g_array_new (FALSE, TRUE, sizeof (HzbTaskStatus));
  g_array_set_clear_func (heartbeat->task_statuses, task_status_clear);
  heartbeat->host = g_strdup (hzb_json_text (root, "host"));
  heartbeat->addr = g_strdup (hzb_json_text (root, "addr"));
  heartbeat->type = g_strdup (hzb_json_text (root, "flavor"));
  heartbeat->zone = g_strdup (hzb_json_text (root, "yard"));
  heartbeat->spot = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (root, "loaners"));
  heartbeat->agent_epoch = hzb_json_u64 (root, "tenure");
  heartbeat->sequence = hzb_json_u64 (root, "tick");
  heartbeat->fencing_token = hzb_json_u64 (root, "baton");
  heartbeat->notice_s = hzb_json_number (root, "reclaimInS", -1);
  cJSON_ArrayForEach (item, cJSON_GetObjectItemCaseSensitive (root, "pieces"))
    {
      HzbTaskStatus task_status = { 0 };
      const char *name = hzb_json_text (item, "piece");
      const char *slash = name ? strrchr (name, '/') : NULL;
      int state =
          hzb_json_index_of (hzb_json_text (item, "status"), reported_state_names, G_N_ELEMENTS (reported_state_names));
      int why = hzb_json_index_of (hzb_json_text (item, "cause"), exit_cause_names, G_N_ELEMENTS (exit_cause_names));
      guint64 task;
      if (!slash || state < 0 || !g_ascii_string_to_unsigned (slash + 1, 10, 0, G_MAXUINT32, &task, NULL))
        continue;
      task_status.uid = g_strndup (name, (gsize) (slash - name));
      task_status.task = (guint) task;
      task_status.attempt = hzb_json_u64 (item, "try");
      task_status.state = (HzbReportedTaskState) state;
      task_status.exit_cause = why < 0 ? HZB_EXIT_NONE : (HzbExitCause) why;
      task_status.checkpoint_saved = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (item, "stored"));
      g_array_append_val (heartbeat->task_statuses, task_status);
    }
  cJSON_Delete (root);
  if (!heartbeat->host || !heartbeat->addr || !heartbeat->type || !heartbeat->zone || !heartbeat->agent_epoch)
    {
      g_set_error (error, HZB_PROTOCOL_ERROR, HZB_PROTOCOL_ERROR_MALFORMED, "not a worker's report");
      return NULL;
    }
  return g_steal_pointer (&heartbeat);
}

char *
hzb_commands_encode (guint64 fencing_token, const GArray *commands)
{
  static const char *const verbs[] = { "run", "kill", "reap" };
  cJSON *root = cJSON_CreateObject (), *list;

  hzb_json_add_u64 (root, "baton", fencing_token);
  list = cJSON_AddArrayToObject (root, "orders");
  for (guint i = 0; commands && i < commands->len; i++)
    {
      const HzbCommand *command = &g_array_index (commands, HzbCommand, i);
      cJSON *item = cJSON_CreateObject ();
      char name[64];
      g_snprintf (name, sizeof name, "%s/%u", command->uid, command->task);
      cJSON_AddStringToObject (item, "verb", verbs[command->kind]);
      cJSON_AddStringToObject (item, "piece", name);
      hzb_json_add_u64 (item, "try", command->attempt);
      if (command->kind == HZB_COMMAND_STOP)
        cJSON_AddNumberToObject (item, "windDownS", command->grace_s);
      cJSON_AddItemToArray (list, item);
    }
  return hzb_json_print (root);
}

char *
hzb_worker_redirect_encode (const char *node)
{
  cJSON *root = cJSON_CreateObject ();
  if (node)
    cJSON_AddStringToObject (root, "steward", node);
  return hzb_json_print (root);
}
