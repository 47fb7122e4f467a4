/* Reads the cloud's inventory page by page. The leader adds listed machines that it does not know, returns machines
 * that the cloud lists as failed, and removes machines that a complete inventory does not list. */
#include "cloud-protocol.h"
#include "provisioning-private.h"

/* How long names of gone machines are kept: the inventory lags only by seconds, but the network may deliver copies of a
 * machine's heartbeats minutes late. */
#define GONE_MACHINE_RETENTION_S 900.0
#define PAGE_INTERVAL_S 0.3
#define MIN_LIST_INTERVAL_S 4.0
#define RESPONSE_TIMEOUT_S 10.0

/* ---- machines that the inventory does not list ---- */

/* An inventory is at most twice the lag old (HzbSettings.list_lag_s), and the cloud lists a machine until it is gone.
 * So a machine that was rented longer ago than that when the inventory was requested, and that the inventory does not
 * list, is gone with all its tasks. The minimum age adds a margin of one lag and 5 s. */
static gboolean
is_proven_gone (const HzbProvisioning *provisioning, const HzbMachine *machine, struct timespec now)
{
  const HzbSettings *settings = provisioning->dependencies.node->settings;
  double min_age_s = 3 * settings->list_lag_s + 5;
  gboolean sent_recent_heartbeat;

  if (g_hash_table_contains (provisioning->listed_names, machine->name) || machine->state == HZB_MACHINE_RETURNING
      || machine->state == HZB_MACHINE_LEASED
      || hzb_time_between (machine->rented, provisioning->list_started) < min_age_s)
    return FALSE;
  /* A recent heartbeat proves that the machine still exists, whatever the inventory says. */
  sent_recent_heartbeat = hzb_time_is_set (machine->last_heartbeat)
                          && hzb_time_between (machine->last_heartbeat, now) < 1.5 * settings->heartbeat_interval_s + 1;
  return !sent_recent_heartbeat;
}

static void
remove_unlisted_machines (HzbProvisioning *provisioning, struct timespec now)
{
  HzbMachines *machines = provisioning->dependencies.machines;

  for (guint i = machines->all->len; i-- > 0;)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (!is_proven_gone (provisioning, machine, now))
        continue;
      hzb_machine_set_state (machines, machine, HZB_MACHINE_RETURNING, "the cloud's inventory no longer lists it");
      hzb_provisioning_remove_gone_machine (provisioning, machine);
    }
}

static gboolean
retention_has_expired (gpointer name, gpointer gone_since, gpointer now)
{
  return hzb_time_between (*(struct timespec *) gone_since, *(struct timespec *) now) > GONE_MACHINE_RETENTION_S;
}

/* ---- pages of the inventory ---- */

static void
return_failed_machine (HzbMachines *machines, HzbMachine *machine)
{
  if (machine->state == HZB_MACHINE_RETURNING)
    return;
  machine->scale_in_requested = TRUE;
  /* The leader has to recall a leased machine from its leaseholder before it can return the machine to the cloud. */
  if (machine->state != HZB_MACHINE_LEASED)
    hzb_machine_set_state (machines, machine, HZB_MACHINE_RETURNING, "the cloud's inventory lists it as failed");
}

static void
apply_instance (HzbProvisioning *provisioning, const HzbCloudInstance *instance, struct timespec now)
{
  HzbMachines *machines = provisioning->dependencies.machines;
  HzbMachine *machine = hzb_machines_find (machines, instance->name);

  /* The inventory lags: it may still list machines that the cloud has confirmed to be gone. An instance without a type
   * or a zone is ignored as well. */
  if (g_hash_table_contains (provisioning->gone_machines, instance->name) || !instance->type || !instance->zone)
    return;
  if (!machine)
    {
      machine = hzb_machines_add (machines, instance->name, instance->addr, instance->type, instance->zone,
                                  instance->spot, HZB_MACHINE_BOOTING);
      machine->rented = hzb_time_plus (now, -instance->age_s);
    }
  machine->known_to_cloud = TRUE;
  if (instance->state == HZB_CLOUD_INSTANCE_FAILED)
    return_failed_machine (machines, machine);
}

static void
apply_page (HzbProvisioning *provisioning, const GPtrArray *instances, struct timespec now)
{
  for (guint i = 0; i < instances->len; i++)
    {
      const HzbCloudInstance *instance = instances->pdata[i];
      g_free (provisioning->list_after);
      provisioning->list_after = g_strdup (instance->name);
      g_hash_table_add (provisioning->listed_names, g_strdup (instance->name));
      apply_instance (provisioning, instance, now);
    }
}

static void
on_inventory_page (guint status, const char *body, gsize length, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbProvisioning *provisioning = epoch_call->module;
  const HzbNode *node = provisioning->dependencies.node;
  gboolean more = FALSE;
  g_autoptr (GPtrArray) instances = status == 200 ? hzb_cloud_list_decode (body, &more) : NULL;
  struct timespec now = hzb_clock_now (node->clock);

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  provisioning->list_requested = FALSE;
  if (!provisioning->list_after)
    g_hash_table_remove_all (provisioning->listed_names);
  /* If the page could not be read, the next request is for the first page of a new inventory. */
  g_clear_pointer (&provisioning->list_after, g_free);
  if (instances)
    apply_page (provisioning, instances, now);
  if (!more)
    g_clear_pointer (&provisioning->list_after, g_free);
  if (instances && !more)
    {
      remove_unlisted_machines (provisioning, now);
      g_hash_table_foreach_remove (provisioning->gone_machines, retention_has_expired, &now);
    }
  provisioning->next_list =
      hzb_time_plus (now, more ? PAGE_INTERVAL_S : MAX (MIN_LIST_INTERVAL_S, node->settings->list_lag_s));
}

void
hzb_provisioning_list_instances (HzbProvisioning *provisioning, struct timespec now)
{
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;

  if (provisioning->list_requested || hzb_time_before (now, provisioning->next_list))
    return;
  provisioning->list_requested = TRUE;
  if (!provisioning->list_after)
    provisioning->list_started = now;
  provisioning->next_list = hzb_time_plus (now, RESPONSE_TIMEOUT_S);
  hzb_cloud_client_list_instances (dependencies->cloud, provisioning->list_after, on_inventory_page,
                                   hzb_epoch_call_new (dependencies->ownership, provisioning, NULL));
}
