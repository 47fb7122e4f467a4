#include "provisioning-private.h"

#include "cloud-protocol.h"

#define TYPES_INTERVAL_S 60.0
#define TYPES_RETRY_S 1.0
#define SCALE_INTERVAL_S 1.0

/* ---- machine types ---- */

static void
on_types (guint status, const char *body, gsize length, gpointer user)
{
  HzbProvisioning *provisioning = user;
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;
  GPtrArray *types = status == 200 ? hzb_machine_types_decode (body) : NULL;

  provisioning->types_requested = FALSE;
  provisioning->next_types =
      hzb_time_plus (hzb_clock_now (uses->node->clock), types ? TYPES_INTERVAL_S : TYPES_RETRY_S);
  if (types)
    hzb_machines_set_types (uses->machines, types);
}

/* Every node asks once; only the leader, which rents, keeps its list up to date. */
static void
list_types (HzbProvisioning *provisioning, struct timespec now)
{
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;

  if (provisioning->types_requested || hzb_time_before (now, provisioning->next_types))
    return;
  if (uses->machines->types && !hzb_election_is_leader (uses->election))
    return;
  provisioning->types_requested = TRUE;
  hzb_cloud_client_list_types (uses->cloud, on_types, provisioning);
}

/* ---- over time ---- */

static void
take_out_of_use (HzbProvisioning *provisioning, struct timespec now)
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
  list_types (provisioning, now);
  if (!hzb_ownership_leader_loaded (provisioning->dependencies.ownership))
    return;
  if (!hzb_time_before (now, provisioning->next_scan))
    {
      provisioning->next_scan = hzb_time_plus (now, hzb_machines_scan_interval_s (provisioning->dependencies.machines));
      hzb_provisioning_scale_in (provisioning, now);
    }
  if (!hzb_time_before (now, provisioning->next_scale))
    {
      provisioning->next_scale = hzb_time_plus (now, SCALE_INTERVAL_S);
      take_out_of_use (provisioning, now);
      hzb_provisioning_scale_out (provisioning, now);
    }
  hzb_provisioning_list_instances (provisioning, now);
}

void
hzb_provisioning_machine_gone (HzbProvisioning *provisioning, HzbMachine *machine)
{
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;
  struct timespec *at = NULL;

  hzb_records_drop_machine (uses->records, machine);
  hzb_machine_requeue_tasks (uses->jobs, machine);
  hzb_machine_set_state (uses->machines, machine, HZB_MACHINE_GONE, "the cloud has confirmed it");
  at = g_new (struct timespec, 1);
  *at = hzb_clock_now (uses->node->clock);
  g_hash_table_replace (provisioning->gone, g_strdup (machine->name), at);
  hzb_machines_remove (uses->machines, machine);
}

gboolean
hzb_provisioning_was_scaled_in (HzbProvisioning *provisioning, const char *machine)
{
  return g_hash_table_contains (provisioning->gone, machine);
}

/* ---- life ---- */

HzbProvisioning *
hzb_provisioning_new (const HzbProvisioningDependencies *dependencies)
{
  HzbProvisioning *provisioning = g_new0 (HzbProvisioning, 1);
  provisioning->dependencies = *dependencies;
  provisioning->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  provisioning->gone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return provisioning;
}

void
hzb_provisioning_free (HzbProvisioning *provisioning)
{
  g_hash_table_unref (provisioning->gone);
  g_hash_table_unref (provisioning->listed);
  g_free (provisioning->list_after);
  g_free (provisioning);
}

void
hzb_provisioning_reset (HzbProvisioning *provisioning)
{
  provisioning->last_request_number = 0;
  provisioning->scale_outs = provisioning->scale_ins = 0;
  provisioning->list_requested = FALSE;
  g_clear_pointer (&provisioning->list_after, g_free);
  provisioning->next_list = provisioning->next_scale_in = (struct timespec){ 0 };
}
