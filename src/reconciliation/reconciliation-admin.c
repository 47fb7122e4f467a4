#include "reconciliation-admin.h"

#include "json.h"
#include "reconciliation-private.h"
#include "user-protocol.h"

#include <string.h>

#define HZB_ADMIN_QUARANTINE "reconciliation/quarantine/"
#define HZB_ADMIN_ARCHIVES "reconciliations"

/* ---- how far it is ---- */

static void
pack_awaited (const HzbReconciliation *reconciliation, cJSON *root)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;
  struct timespec now = hzb_clock_now (uses->node->clock);
  cJSON *list = cJSON_AddArrayToObject (root, "awaited");

  for (guint i = 0; i < reconciliation->machines->len; i++)
    {
      const HzbArchivedMachine *archived = &g_array_index (reconciliation->machines, HzbArchivedMachine, i);
      const HzbMachine *machine = archived->at_s < 0 ? hzb_machines_find (uses->machines, archived->name) : NULL;
      cJSON *item;
      if (!machine)
        continue;
      item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "name", machine->name);
      cJSON_AddStringToObject (item, "state", hzb_machine_state_name (machine->state));
      /* Then it is given back; until the cloud confirms that, its tasks may run. */
      cJSON_AddNumberToObject (item, "forS",
                               MAX (0, uses->node->settings->lease_s + 2 - hzb_time_between (machine->since, now)));
      cJSON_AddItemToArray (list, item);
    }
}

static void
pack_jobs (const HzbReconciliation *reconciliation, cJSON *root)
{
  guint counts[HZB_JOB_N_VERDICTS][HZB_JOB_N_REASONS] = { { 0 } };
  cJSON *list = cJSON_AddArrayToObject (root, "jobs");
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reconciliation->tracked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    counts[((HzbTrackedJob *) value)->entry.verdict][((HzbTrackedJob *) value)->entry.reason]++;
  for (guint verdict = 0; verdict < HZB_JOB_N_VERDICTS; verdict++)
    for (guint reason = 0; reason < HZB_JOB_N_REASONS; reason++)
      if (counts[verdict][reason])
        {
          cJSON *item = cJSON_CreateObject ();
          cJSON_AddStringToObject (item, "verdict", hzb_job_verdict_name ((HzbJobVerdict) verdict));
          cJSON_AddStringToObject (item, "reason", hzb_job_reason_name ((HzbJobReason) reason));
          cJSON_AddNumberToObject (item, "jobs", counts[verdict][reason]);
          cJSON_AddItemToArray (list, item);
        }
}

static void
pack_tasks (const HzbReconciliation *reconciliation, cJSON *root)
{
  cJSON *list = cJSON_AddArrayToObject (root, "tasks");
  for (guint verdict = 0; verdict < HZB_TASK_N_VERDICTS; verdict++)
    for (guint reason = 0; reason < HZB_TASK_N_REASONS; reason++)
      if (reconciliation->verdicts[verdict][reason])
        {
          cJSON *item = cJSON_CreateObject ();
          cJSON_AddStringToObject (item, "verdict", hzb_task_verdict_name ((HzbTaskVerdict) verdict));
          cJSON_AddStringToObject (item, "reason", hzb_task_reason_name ((HzbTaskReason) reason));
          cJSON_AddNumberToObject (item, "times", reconciliation->verdicts[verdict][reason]);
          cJSON_AddItemToArray (list, item);
        }
}

static void
pack_quarantine (const HzbReconciliation *reconciliation, cJSON *root)
{
  g_autoptr (GPtrArray) entries = hzb_quarantine_list (reconciliation->quarantine);
  cJSON *list = cJSON_AddArrayToObject (root, "quarantine");
  for (guint i = 0; i < entries->len; i++)
    {
      const HzbQuarantined *entry = entries->pdata[i];
      cJSON *item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "job", entry->uid);
      cJSON_AddNumberToObject (item, "task", entry->task);
      cJSON_AddStringToObject (item, "machine", entry->machine);
      cJSON_AddBoolToObject (item, "alive", entry->alive);
      cJSON_AddStringToObject (item, "proof", hzb_quarantine_proof_name (entry->proof));
      cJSON_AddStringToObject (item, "verdict", hzb_task_verdict_name (entry->verdict));
      cJSON_AddStringToObject (item, "reason", hzb_task_reason_name (entry->reason));
      cJSON_AddItemToArray (list, item);
    }
  cJSON_AddNumberToObject (root, "notTracked", hzb_quarantine_overflow (reconciliation->quarantine));
}

static cJSON *
pack_state (HzbReconciliation *reconciliation)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddBoolToObject (root, "enabled", reconciliation->dependencies.node->settings->reconciliation.enabled);
  cJSON_AddStringToObject (root, "state", hzb_reconciliation_state_name (reconciliation->state));
  cJSON_AddStringToObject (root, "reason", hzb_start_reason_name (reconciliation->start_reason));
  hzb_json_add_u64 (root, "id", reconciliation->record.id);
  cJSON_AddNumberToObject (root, "starts", reconciliation->record.starts);
  cJSON_AddNumberToObject (root, "undecided", reconciliation->open);
  cJSON_AddNumberToObject (root, "notDurable", reconciliation->unrecorded);
  cJSON_AddBoolToObject (root, "paced", reconciliation->pacing.active);
  pack_jobs (reconciliation, root);
  pack_tasks (reconciliation, root);
  pack_awaited (reconciliation, root);
  pack_quarantine (reconciliation, root);
  return root;
}

void
hzb_reconciliation_pack_metrics (HzbReconciliation *reconciliation, cJSON *metrics)
{
  g_autoptr (GPtrArray) quarantined = hzb_quarantine_list (reconciliation->quarantine);
  cJSON *item;

  if (!reconciliation->dependencies.node->settings->reconciliation.enabled)
    return;
  item = cJSON_AddObjectToObject (metrics, "reconciliation");
  cJSON_AddStringToObject (item, "state", hzb_reconciliation_state_name (reconciliation->state));
  cJSON_AddNumberToObject (item, "undecided", reconciliation->open);
  cJSON_AddNumberToObject (item, "notDurable", reconciliation->unrecorded);
  cJSON_AddNumberToObject (item, "quarantined", quarantined->len);
}

/* ---- requests ---- */

static void
refuse (HzbHttpRequest *http_request, guint status, const char *text)
{
  hzb_http_request_respond (http_request, status, hzb_error_response_encode (text), status == 503 ? 1 : 0);
}

static void
on_archive_read (guint status, char *body, gpointer user)
{
  hzb_http_request_respond (user, status, body, status == 503 ? 1 : 0);
}

static void
on_decided (HzbKeepResult result, gpointer user)
{
  static const struct
  {
    guint status;
    const char *text;
  } answers[] = {
    [HZB_KEEP_DONE] = { 200, NULL },
    [HZB_KEEP_NOT_FOUND] = { 404, "no such task is in quarantine" },
    [HZB_KEEP_NOT_PROVEN] = { 409, "it is not proven yet that no record names it: ask again in some seconds" },
    [HZB_KEEP_TOO_MANY] = { 409, "too many tasks are kept: have others stopped first" },
    [HZB_KEEP_CONFLICT] = { 409, "the decisions were changed meanwhile: look at them again" },
    [HZB_KEEP_UNAVAILABLE] = { 503, "it is not known whether the decision is durable: look at it again" },
    [HZB_KEEP_BUSY] = { 503, "another decision is being recorded" },
  };
  if (result == HZB_KEEP_DONE)
    hzb_http_request_respond (user, 200, g_strdup ("{\"decided\":true}"), 0);
  else
    refuse (user, answers[result].status, answers[result].text);
}

static gboolean
read_decision (const HzbHttpRequest *http_request, HzbOperatorDecision *decision)
{
  cJSON *root = cJSON_ParseWithLength (http_request->body, http_request->length);
  const char *text = hzb_json_text (root, "decision");
  gboolean known = TRUE;

  if (g_strcmp0 (text, "keep") == 0)
    *decision = HZB_OPERATOR_KEEPS;
  else if (g_strcmp0 (text, "stop") == 0)
    *decision = HZB_OPERATOR_STOPS;
  else
    known = FALSE;
  cJSON_Delete (root);
  return known;
}

/* quarantine/JOB/NUMBER */
static void
decide (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, const char *name)
{
  g_auto (GStrv) parts = g_strsplit (name, "/", 0);
  HzbOperatorDecision decision;
  guint64 task = 0;

  if (g_strv_length (parts) != 2 || !hzb_job_uid_is_valid (parts[0])
      || !g_ascii_string_to_unsigned (parts[1], 10, 0, HZB_MAX_TASKS, &task, NULL))
    refuse (http_request, 400, "expected quarantine/JOB/NUMBER");
  else if (!read_decision (http_request, &decision))
    refuse (http_request, 400, "expected {\"decision\": \"keep\"} or \"stop\"");
  else
    hzb_quarantine_decide (reconciliation->quarantine, parts[0], (guint) task, decision, on_decided, http_request);
}

static void
show_archive (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, const char *id_text)
{
  guint64 id = 0;
  if (!g_ascii_string_to_unsigned (id_text, 10, 1, G_MAXUINT64, &id, NULL))
    refuse (http_request, 400, "expected the id of an archive");
  else
    hzb_archive_store_read (reconciliation->archives, id, on_archive_read, http_request);
}

static void
redirect (const HzbReconciliation *reconciliation, HzbHttpRequest *http_request)
{
  hzb_http_request_respond (
      http_request, 421, hzb_worker_redirect_encode (hzb_election_leader (reconciliation->dependencies.election)), 0);
}

gboolean
hzb_reconciliation_admin_request (HzbReconciliation *reconciliation, HzbHttpRequest *http_request, const char *path)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;
  gboolean get = g_str_equal (http_request->method, "GET"), post = g_str_equal (http_request->method, "POST");
  gboolean leads = hzb_ownership_leader_loaded (uses->ownership) && hzb_election_leading (uses->election);
  gboolean state = g_str_equal (path, "reconciliation");
  gboolean quarantine = g_str_has_prefix (path, HZB_ADMIN_QUARANTINE);

  if (!state && !quarantine && !g_str_has_prefix (path, HZB_ADMIN_ARCHIVES))
    return FALSE;
  if (quarantine ? !post : !get)
    refuse (http_request, 405, quarantine ? "POST here" : "GET here");
  else if ((state || quarantine) && !leads)
    redirect (reconciliation, http_request);
  else if (state)
    {
      cJSON *root = pack_state (reconciliation);
      char *text = cJSON_PrintUnformatted (root);
      cJSON_Delete (root);
      hzb_http_request_respond (http_request, 200, text, 0);
    }
  else if (quarantine)
    decide (reconciliation, http_request, path + strlen (HZB_ADMIN_QUARANTINE));
  else if (g_str_equal (path, HZB_ADMIN_ARCHIVES))
    hzb_archive_store_list (reconciliation->archives, on_archive_read, http_request);
  else if (g_str_has_prefix (path, HZB_ADMIN_ARCHIVES "/"))
    show_archive (reconciliation, http_request, path + strlen (HZB_ADMIN_ARCHIVES "/"));
  else
    return FALSE;
  return TRUE;
}
