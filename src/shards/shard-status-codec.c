/* The status of all shards on the leader, and its encoding for the administration API. */
#include "shard-status-codec.h"

#include "json.h"
#include "shard-leases-private.h"
#include "task-table.h"

static void
count_machines (HzbShardStatus *status, const HzbMachines *machines, const HzbLeaseholderView *leaseholder)
{
  for (guint i = 0; i < machines->all->len; i++)
    {
      const HzbMachine *machine = machines->all->pdata[i];
      if (!machine->type
          || !(leaseholder ? hzb_shards_is_leased_to (machine, leaseholder) : machine->state == HZB_MACHINE_ACTIVE))
        continue;
      status->machines++;
      status->cpus += machine->type->cpus;
    }
}

static guint
count_delegated_tasks (const HzbJobs *jobs, const HzbLeaseholderView *leaseholder)
{
  guint n = 0;
  for (guint i = 0; i < jobs->active->len; i++)
    {
      const HzbJob *job = jobs->active->pdata[i];
      const HzbTask *task;
      for (guint k = 0; job->placed && (task = hzb_task_table_next (job->tasks, &k));)
        n += hzb_shards_is_delegated_to (task, leaseholder);
    }
  return n;
}

static HzbShardStatus
status_of_own_shard (const HzbShardLeases *shard_leases)
{
  HzbShardStatus status = { .holder = shard_leases->dependencies.node->settings->node,
                            .fencing_token = shard_leases->dependencies.jobs->shard->fencing_token };
  count_machines (&status, shard_leases->dependencies.machines, NULL);
  return status;
}

static HzbShardStatus
status_of_leased_shard (const HzbLeaseholderView *leaseholder)
{
  const HzbShardLeasesDependencies *dependencies = &leaseholder->shard_leases->dependencies;
  HzbShardStatus status = { .holder = leaseholder->peer->node,
                            .fencing_token = leaseholder->fencing_token,
                            .leased = TRUE,
                            .delegated_tasks = count_delegated_tasks (dependencies->jobs, leaseholder) };
  count_machines (&status, dependencies->machines, leaseholder);
  return status;
}

cJSON *
hzb_shard_leases_encode_status (HzbShardLeases *shard_leases)
{
  g_autoptr (GArray) statuses = g_array_new (FALSE, FALSE, sizeof (HzbShardStatus));
  HzbShardStatus status = status_of_own_shard (shard_leases);

  g_array_append_val (statuses, status);
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      status = status_of_leased_shard (shard_leases->leaseholders->pdata[i]);
      g_array_append_val (statuses, status);
    }
  return hzb_shard_statuses_encode (statuses);
}

cJSON *
hzb_shard_statuses_encode (const GArray *statuses)
{
  cJSON *message = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (message, "blocks");

  for (guint i = 0; i < statuses->len; i++)
    {
      const HzbShardStatus *status = &g_array_index (statuses, HzbShardStatus, i);
      cJSON *item = cJSON_CreateObject ();
      cJSON_AddStringToObject (item, "holder", status->holder);
      hzb_json_add_u64 (item, "token", status->fencing_token);
      cJSON_AddNumberToObject (item, "machines", status->machines);
      cJSON_AddNumberToObject (item, "cpus", status->cpus);
      if (status->leased)
        cJSON_AddNumberToObject (item, "tasksGranted", status->delegated_tasks);
      cJSON_AddItemToArray (list, item);
    }
  return message;
}
