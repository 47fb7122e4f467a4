#include "reconciliation-admin-codec.h"

#include "json.h"
#include "reconciliation-private.h"

#define RETURN_MARGIN_S 2.0 /* equals UNVERIFIED_MARGIN_S of scale-in.c */

/* ---- GET reconciliation and GET metrics ---- */

/* An awaited machine is in state unverified, or is being returned, as its tasks may run until the cloud confirms the
 * return. scale-in.c returns an unverified machine once it has been unverified for longer than lease_s plus the margin.
 *
 * Returns: seconds until an unverified machine is returned; without meaning for one that is being returned */
static double
seconds_until_return (const HzbReconciliation *reconciliation, const HzbMachine *machine)
{
  const HzbNode *node = reconciliation->dependencies.node;
  double in_state_s = hzb_time_between (machine->since, hzb_clock_now (node->clock));
  return MAX (0, node->settings->lease_s + RETURN_MARGIN_S - in_state_s);
}

static void
add_awaited_machines (const HzbReconciliation *reconciliation, cJSON *root)
{
  cJSON *list = cJSON_AddArrayToObject (root, "awaited");

  for (guint i = 0; i < reconciliation->machines->len; i++)
    {
      const HzbArchivedMachine *tracked = &g_array_index (reconciliation->machines, HzbArchivedMachine, i);
      /* at_s < 0: the machine is not accounted for yet */
      const HzbMachine *machine =
          tracked->at_s < 0 ? hzb_machines_find (reconciliation->dependencies.machines, tracked->name) : NULL;
      cJSON *item;
      if (!machine)
        continue;
      item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "name", machine->name);
      cJSON_AddStringToObject (item, "state", hzb_machine_state_name (machine->state));
      /* the time left until the return to the cloud, not the time in the state */
      cJSON_AddNumberToObject (item, "forS", seconds_until_return (reconciliation, machine));
      cJSON_AddItemToArray (list, item);
    }
}

/* Adds an object with the count of a verdict and its reason; adds nothing if the count is 0.
 * @count_name: name of the member that contains the count @n */
static void
add_verdict_count (cJSON *list, const char *verdict, const char *reason, const char *count_name, guint n)
{
  cJSON *item;

  if (!n)
    return;
  item = cJSON_CreateObject ();
  cJSON_AddStringToObject (item, "verdict", verdict);
  cJSON_AddStringToObject (item, "reason", reason);
  cJSON_AddNumberToObject (item, count_name, n);
  cJSON_AddItemToArray (list, item);
}

static void
add_job_verdicts (const HzbReconciliation *reconciliation, cJSON *root)
{
  guint counts[HZB_JOB_N_VERDICTS][HZB_JOB_N_REASONS] = { { 0 } };
  cJSON *list = cJSON_AddArrayToObject (root, "jobs");
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reconciliation->tracked_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HzbVerdictEntry *entry = &((const HzbTrackedJob *) value)->entry;
      counts[entry->verdict][entry->reason]++;
    }
  for (guint verdict = 0; verdict < HZB_JOB_N_VERDICTS; verdict++)
    for (guint reason = 0; reason < HZB_JOB_N_REASONS; reason++)
      add_verdict_count (list, hzb_job_verdict_name ((HzbJobVerdict) verdict),
                         hzb_job_reason_name ((HzbJobReason) reason), "jobs", counts[verdict][reason]);
}

static void
add_task_verdicts (const HzbReconciliation *reconciliation, cJSON *root)
{
  cJSON *list = cJSON_AddArrayToObject (root, "tasks");

  for (guint verdict = 0; verdict < HZB_TASK_N_VERDICTS; verdict++)
    for (guint reason = 0; reason < HZB_TASK_N_REASONS; reason++)
      add_verdict_count (list, hzb_task_verdict_name ((HzbTaskVerdict) verdict),
                         hzb_task_reason_name ((HzbTaskReason) reason), "times",
                         reconciliation->verdict_counts[verdict][reason]);
}

static void
add_quarantine (const HzbReconciliation *reconciliation, cJSON *root)
{
  g_autoptr (GPtrArray) entries = hzb_quarantine_list (reconciliation->quarantine);
  cJSON *list = cJSON_AddArrayToObject (root, "quarantine");

  for (guint i = 0; i < entries->len; i++)
    {
      const HzbQuarantinedTask *entry = entries->pdata[i];
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
  /* counts listings in heartbeats, not tasks: an untracked task counts again with each heartbeat that lists it */
  cJSON_AddNumberToObject (root, "notTracked", hzb_quarantine_overflow (reconciliation->quarantine));
}

char *
hzb_reconciliation_state_encode (HzbReconciliation *reconciliation)
{
  cJSON *root = cJSON_CreateObject ();
  cJSON_AddBoolToObject (root, "enabled", hzb_reconciliation_enabled (reconciliation));
  cJSON_AddStringToObject (root, "state", hzb_reconciliation_state_name (reconciliation->state));
  cJSON_AddStringToObject (root, "reason", hzb_start_reason_name (reconciliation->start_reason));
  hzb_json_add_u64 (root, "id", reconciliation->record.id);
  cJSON_AddNumberToObject (root, "starts", reconciliation->record.cold_starts);
  cJSON_AddNumberToObject (root, "undecided", reconciliation->open_jobs);
  cJSON_AddNumberToObject (root, "notDurable", reconciliation->unrecorded_jobs);
  cJSON_AddBoolToObject (root, "paced", reconciliation->pacing.active);
  add_job_verdicts (reconciliation, root);
  add_task_verdicts (reconciliation, root);
  add_awaited_machines (reconciliation, root);
  add_quarantine (reconciliation, root);
  return hzb_json_print (root);
}

void
hzb_reconciliation_metrics_encode (HzbReconciliation *reconciliation, cJSON *metrics)
{
  g_autoptr (GPtrArray) quarantined = hzb_quarantine_list (reconciliation->quarantine);
  cJSON *item = cJSON_AddObjectToObject (metrics, "reconciliation");

  cJSON_AddStringToObject (item, "state", hzb_reconciliation_state_name (reconciliation->state));
  cJSON_AddNumberToObject (item, "undecided", reconciliation->open_jobs);
  cJSON_AddNumberToObject (item, "notDurable", reconciliation->unrecorded_jobs);
  cJSON_AddNumberToObject (item, "quarantined", quarantined->len);
}

/* ---- decisions ---- */

gboolean
hzb_reconciliation_decision_decode (const char *body, gsize length, HzbOperatorDecision *decision)
{
  cJSON *root = cJSON_ParseWithLength (body, length);
  const char *text = hzb_json_text (root, "decision");
  gboolean valid = TRUE;

  if (g_strcmp0 (text, "keep") == 0)
    *decision = HZB_OPERATOR_KEEP;
  else if (g_strcmp0 (text, "stop") == 0)
    *decision = HZB_OPERATOR_STOP;
  else
    valid = FALSE;
  cJSON_Delete (root);
  return valid;
}

char *
hzb_reconciliation_decision_response_encode (void)
{
  return g_strdup ("{\"decided\":true}");
}
