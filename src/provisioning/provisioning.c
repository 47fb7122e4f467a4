#include "provisioning-private.h"

#include "cloud-protocol.h"

#define MACHINE_TYPES_INTERVAL_S 60.0 /* between requests for the list of machine types */
#define MACHINE_TYPES_RETRY_S 1.0     /* pause after a failed request for the list of machine types */
#define AUTOSCALER_INTERVAL_S 1.0

/* ---- machine types ---- */

static void
on_types (guint status, const char *body, gsize length, gpointer user)
{
  HzbProvisioning *provisioning = user;
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;
  GPtrArray *types = status == 200 ? hzb_machine_types_decode (body) : NULL;

  provisioning->types_requested = FALSE;
  provisioning->next_types = hzb_time_plus (hzb_clock_now (dependencies->node->clock),
                                            types ? MACHINE_TYPES_INTERVAL_S : MACHINE_TYPES_RETRY_S);
  if (types)
    hzb_machines_set_types (dependencies->machines, types);
}

/* Every node needs the list of machine types once. Only the leader, which rents machines, requests it again
 * periodically. */
static void
request_types_if_due (HzbProvisioning *provisioning, struct timespec now)
{
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;

  if (provisioning->types_requested || hzb_time_before (now, provisioning->next_types))
    return;
  if (dependencies->machines->types && !hzb_election_is_leader (dependencies->election))
    return;
  provisioning->types_requested = TRUE;
  hzb_cloud_client_list_types (dependencies->cloud, on_types, provisioning);
}

/* ---- periodic work ---- */

static void
select_for_scale_in (HzbProvisioning *provisioning, struct timespec now)
{
  g_autoptr (GPtrArray) candidates = NULL;

  if (!hzb_election_is_lease_valid (provisioning->dependencies.election))
    return;
  candidates = hzb_autoscaler_scale_in (provisioning->dependencies.autoscaler, now);
  for (guint i = 0; i < candidates->len; i++)
    ((HzbMachine *) candidates->pdata[i])->scale_in_requested = TRUE;
}

void
hzb_provisioning_tick (HzbProvisioning *provisioning, struct timespec now)
{
  request_types_if_due (provisioning, now);
  if (!hzb_ownership_is_loaded_leader (provisioning->dependencies.ownership))
    return;
  if (!hzb_time_before (now, provisioning->next_scan))
    {
      provisioning->next_scan = hzb_time_plus (now, hzb_machines_scan_interval_s (provisioning->dependencies.machines));
      hzb_provisioning_scale_in (provisioning, now);
    }
  if (!hzb_time_before (now, provisioning->next_autoscaler_run))
    {
      provisioning->next_autoscaler_run = hzb_time_plus (now, AUTOSCALER_INTERVAL_S);
      select_for_scale_in (provisioning, now);
      hzb_provisioning_scale_out (provisioning, now);
    }
  hzb_provisioning_list_instances (provisioning, now);
}

void
hzb_provisioning_remove_gone_machine (HzbProvisioning *provisioning, HzbMachine *machine)
{
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;
  struct timespec *gone_since = NULL;

  hzb_records_drop_machine (dependencies->records, machine);
  hzb_machine_requeue_tasks (dependencies->jobs, machine);
  hzb_machine_set_state (dependencies->machines, machine, HZB_MACHINE_GONE, "the cloud has confirmed that it is gone");
  gone_since = g_new (struct timespec, 1);
  *gone_since = hzb_clock_now (dependencies->node->clock);
  g_hash_table_replace (provisioning->gone_machines, g_strdup (machine->name), gone_since);
  hzb_machines_remove (dependencies->machines, machine);
}

gboolean
hzb_provisioning_is_machine_gone (HzbProvisioning *provisioning, const char *machine)
{
  return g_hash_table_contains (provisioning->gone_machines, machine);
}

/* ---- life cycle ---- */

HzbProvisioning *
hzb_provisioning_new (const HzbProvisioningDependencies *dependencies)
{
  HzbProvisioning *provisioning = g_new0 (HzbProvisioning, 1);
  provisioning->dependencies = *dependencies;
  provisioning->listed_names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  provisioning->gone_machines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return provisioning;
}

void
hzb_provisioning_free (HzbProvisioning *provisioning)
{
  g_hash_table_unref (provisioning->gone_machines);
  g_hash_table_unref (provisioning->listed_names);
  g_free (provisioning->list_after);
  g_free (provisioning);
}

void
hzb_provisioning_reset (HzbProvisioning *provisioning)
{
  provisioning->last_request_number = 0;
  provisioning->scale_out_requests_in_flight = provisioning->scale_in_requests_in_flight = 0;
  provisioning->list_requested = FALSE;
  g_clear_pointer (&provisioning->list_after, g_free);
  provisioning->next_list = provisioning->next_scale_in_request = (struct timespec){ 0 };
}
