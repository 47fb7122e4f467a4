#include "shard-messages.h"

#include "json.h"

/* ---- tasks on machines that move to another shard ---- */

static void
held_task_clear (gpointer data)
{
  g_free (((HzbHeldTask *) data)->uid);
}

GArray *
hzb_held_tasks_new (void)
{
  GArray *held_tasks = g_array_new (FALSE, TRUE, sizeof (HzbHeldTask));
  g_array_set_clear_func (held_tasks, held_task_clear);
  return held_tasks;
}

void
hzb_held_tasks_add (GArray *held_tasks, const HzbTask *task)
{
  HzbHeldTask entry = { g_strdup (task->job->uid), (int) task->index, task->attempt, task->state == HZB_TASK_RUNNING };
  g_array_append_val (held_tasks, entry);
}

static cJSON *
held_tasks_encode (const GArray *held_tasks)
{
  cJSON *list = cJSON_CreateArray ();
  for (guint i = 0; i < held_tasks->len; i++)
    {
      const HzbHeldTask *task = &g_array_index (held_tasks, HzbHeldTask, i);
      cJSON *item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "job", task->uid);
      cJSON_AddNumberToObject (item, "task", task->number);
      hzb_json_add_u64 (item, "attempt", task->attempt);
      cJSON_AddBoolToObject (item, "runs", task->running);
      cJSON_AddItemToArray (list, item);
    }
  return list;
}

/* An entry that names no job is kept as an unknown task. If it were left out, the receiver would assume that the
 * machine holds fewer tasks than it may hold. */
static GArray *
held_tasks_decode (const cJSON *list)
{
  GArray *held_tasks = hzb_held_tasks_new ();
  const cJSON *item;
  cJSON_ArrayForEach (item, list)
    {
      HzbHeldTask task = { g_strdup (hzb_json_text (item, "job")), (int) hzb_json_number (item, "task", -1),
                           hzb_json_u64 (item, "attempt"),
                           cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (item, "runs")) };
      g_array_append_val (held_tasks, task);
    }
  return held_tasks;
}

/* ---- leases ---- */

void
hzb_machine_lease_free (HzbMachineLease *lease)
{
  g_free (lease->name);
  g_free (lease->addr);
  g_free (lease->type);
  g_free (lease->zone);
  g_clear_pointer (&lease->held_tasks, g_array_unref);
  g_free (lease);
}

HzbMachineLease *
hzb_machine_lease_new (const HzbMachine *machine)
{
  HzbMachineLease *lease = g_new0 (HzbMachineLease, 1);
  lease->name = g_strdup (machine->name);
  lease->addr = g_strdup (machine->addr);
  lease->type = g_strdup (machine->type_name);
  lease->zone = g_strdup (machine->zone);
  lease->spot = machine->spot;
  lease->agent_epoch = machine->agent_epoch;
  lease->sequence = machine->sequence;
  return lease;
}

cJSON *
hzb_machine_lease_encode (const HzbMachineLease *lease)
{
  cJSON *message = cJSON_CreateObject ();
  cJSON_AddStringToObject (message, "machine", lease->name);
  cJSON_AddStringToObject (message, "addr", lease->addr ? lease->addr : "");
  cJSON_AddStringToObject (message, "type", lease->type);
  cJSON_AddStringToObject (message, "zone", lease->zone);
  cJSON_AddBoolToObject (message, "spot", lease->spot);
  hzb_json_add_u64 (message, "session", lease->agent_epoch);
  hzb_json_add_u64 (message, "seq", lease->sequence);
  if (lease->held_tasks)
    cJSON_AddItemToObject (message, "holds", held_tasks_encode (lease->held_tasks));
  return message;
}

HzbMachineLease *
hzb_machine_lease_decode (const cJSON *message)
{
  const cJSON *holds = cJSON_GetObjectItemCaseSensitive (message, "holds");
  HzbMachineLease *lease;

  if (!hzb_json_text (message, "machine") || !hzb_json_text (message, "type") || !hzb_json_text (message, "zone"))
    return NULL;
  lease = g_new0 (HzbMachineLease, 1);
  lease->name = g_strdup (hzb_json_text (message, "machine"));
  lease->addr = g_strdup (hzb_json_text (message, "addr"));
  lease->type = g_strdup (hzb_json_text (message, "type"));
  lease->zone = g_strdup (hzb_json_text (message, "zone"));
  lease->spot = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (message, "spot"));
  lease->agent_epoch = hzb_json_u64 (message, "session");
  lease->sequence = hzb_json_u64 (message, "seq");
  lease->held_tasks = holds ? held_tasks_decode (holds) : NULL;
  return lease;
}

/* ---- returns ---- */

void
hzb_machine_return_free (HzbMachineReturn *returned)
{
  g_free (returned->name);
  g_free (returned->reason);
  g_array_unref (returned->held_tasks);
  g_free (returned);
}

HzbMachineReturn *
hzb_machine_return_new (const char *name, const char *reason, guint64 agent_epoch, guint64 sequence)
{
  HzbMachineReturn *returned = g_new0 (HzbMachineReturn, 1);
  returned->name = g_strdup (name);
  returned->reason = g_strdup (reason);
  returned->agent_epoch = agent_epoch;
  returned->sequence = sequence;
  returned->held_tasks = hzb_held_tasks_new ();
  return returned;
}

cJSON *
hzb_machine_return_encode (const HzbMachineReturn *returned)
{
  cJSON *message = cJSON_CreateObject ();
  cJSON_AddStringToObject (message, "machine", returned->name);
  cJSON_AddStringToObject (message, "why", returned->reason);
  cJSON_AddBoolToObject (message, "sick", returned->scale_in_requested);
  hzb_json_add_u64 (message, "session", returned->agent_epoch);
  hzb_json_add_u64 (message, "seq", returned->sequence);
  cJSON_AddItemToObject (message, "lost", held_tasks_encode (returned->held_tasks));
  return message;
}

HzbMachineReturn *
hzb_machine_return_decode (const cJSON *message)
{
  const char *name = hzb_json_text (message, "machine");
  HzbMachineReturn *returned;

  if (!name)
    return NULL;
  returned = hzb_machine_return_new (name, hzb_json_text (message, "why"), hzb_json_u64 (message, "session"),
                                     hzb_json_u64 (message, "seq"));
  returned->scale_in_requested = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (message, "sick"));
  g_array_unref (returned->held_tasks);
  returned->held_tasks = held_tasks_decode (cJSON_GetObjectItemCaseSensitive (message, "lost"));
  return returned;
}

/* ---- recalls ---- */

HzbRecall *
hzb_recall_new (const char *machine, gboolean requested, gboolean at_once)
{
  HzbRecall *recall = g_new0 (HzbRecall, 1);
  recall->machine = g_strdup (machine);
  recall->requested = requested;
  recall->at_once = at_once;
  return recall;
}

void
hzb_recall_free (HzbRecall *recall)
{
  g_free (recall->machine);
  g_free (recall);
}

cJSON *
hzb_recall_encode (const HzbRecall *recall)
{
  cJSON *message = cJSON_CreateObject ();
  cJSON_AddStringToObject (message, recall->requested ? "back" : "keep", recall->machine);
  if (recall->requested && recall->at_once)
    cJSON_AddTrueToObject (message, "now");
  return message;
}

HzbRecall *
hzb_recall_decode (const cJSON *message)
{
  const char *back = hzb_json_text (message, "back"), *keep = hzb_json_text (message, "keep");

  if (back)
    return hzb_recall_new (back, TRUE, cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (message, "now")));
  return keep ? hzb_recall_new (keep, FALSE, FALSE) : NULL;
}
