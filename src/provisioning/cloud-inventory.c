/* The cloud's inventory, read page by page. It shows machines that the leader does not know, machines that failed,
 * and, by what it lacks, machines that are gone. */
#include "cloud-protocol.h"
#include "provisioning-private.h"

#define REMEMBER_GONE_S 900.0 /* the inventory lags by seconds, but copies of heartbeats may come minutes late */
#define PAGE_INTERVAL_S 0.3
#define LEAST_LIST_INTERVAL_S 4.0
#define RESPONSE_TIMEOUT_S 10.0

/* ---- machines that are not listed ---- */

/* An inventory is at most twice the lag old, and a listed machine stays listed until it is gone. So a machine that has
 * existed for longer than that and is missing from an inventory that was asked for now is gone, with all its tasks. */
static gboolean
is_proven_gone (const HzbProvisioning *provisioning, const HzbMachine *machine, struct timespec now)
{
  const HzbSettings *settings = provisioning->dependencies.node->settings;
  double surely_listed_s = 3 * settings->list_lag_s + 5;
  gboolean just_reported;

  if (g_hash_table_contains (provisioning->listed, machine->name) || machine->state == HZB_MACHINE_RETURNING
      || machine->state == HZB_MACHINE_LEASED
      || hzb_time_between (machine->rented, provisioning->list_began) < surely_listed_s)
    return FALSE;
  /* A heartbeat that just came proves that the machine is there, whatever the inventory says. */
  just_reported = hzb_time_is_set (machine->last_heartbeat)
                  && hzb_time_between (machine->last_heartbeat, now) < 1.5 * settings->heartbeat_interval_s + 1;
  return !just_reported;
}

static void
drop_unlisted (HzbProvisioning *provisioning, struct timespec now)
{
  HzbMachines *machines = provisioning->dependencies.machines;

  for (guint i = machines->all->len; i-- > 0;)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (!is_proven_gone (provisioning, machine, now))
        continue;
      hzb_machine_set_state (machines, machine, HZB_MACHINE_RETURNING, "the cloud lists it no more");
      hzb_provisioning_machine_gone (provisioning, machine);
    }
}

static gboolean
is_long_gone (gpointer name, gpointer since, gpointer now)
{
  return hzb_time_between (*(struct timespec *) since, *(struct timespec *) now) > REMEMBER_GONE_S;
}

/* ---- pages ---- */

static void
note_failed (HzbMachines *machines, HzbMachine *machine)
{
  if (machine->state == HZB_MACHINE_RETURNING)
    return;
  machine->scale_in_requested = TRUE;
  /* The leader asks the leaseholder for a leased machine before the machine is returned. */
  if (machine->state != HZB_MACHINE_LEASED)
    hzb_machine_set_state (machines, machine, HZB_MACHINE_RETURNING, "the cloud calls it failed");
}

static void
take_instance (HzbProvisioning *provisioning, const HzbCloudInstance *instance, struct timespec now)
{
  HzbMachines *machines = provisioning->dependencies.machines;
  HzbMachine *machine = hzb_machines_find (machines, instance->name);

  /* The inventory lags: it still lists machines whose return the cloud has confirmed. */
  if (g_hash_table_contains (provisioning->gone, instance->name) || !instance->type || !instance->zone)
    return;
  if (!machine)
    {
      machine = hzb_machines_add (machines, instance->name, instance->addr, instance->type, instance->zone,
                                  instance->spot, HZB_MACHINE_BOOTING);
      machine->rented = hzb_time_plus (now, -instance->age_s);
    }
  machine->known_to_cloud = TRUE;
  if (instance->state == HZB_CLOUD_INSTANCE_FAILED)
    note_failed (machines, machine);
}

static void
take_page (HzbProvisioning *provisioning, const GPtrArray *instances, struct timespec now)
{
  for (guint i = 0; i < instances->len; i++)
    {
      const HzbCloudInstance *instance = instances->pdata[i];
      g_free (provisioning->list_after);
      provisioning->list_after = g_strdup (instance->name);
      g_hash_table_add (provisioning->listed, g_strdup (instance->name));
      take_instance (provisioning, instance, now);
    }
}

static void
on_listed (guint status, const char *body, gsize length, gpointer user)
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
    g_hash_table_remove_all (provisioning->listed);
  g_clear_pointer (&provisioning->list_after, g_free);
  if (instances)
    take_page (provisioning, instances, now);
  if (!more)
    g_clear_pointer (&provisioning->list_after, g_free);
  if (instances && !more)
    {
      drop_unlisted (provisioning, now);
      g_hash_table_foreach_remove (provisioning->gone, is_long_gone, &now);
    }
  provisioning->next_list =
      hzb_time_plus (now, more ? PAGE_INTERVAL_S : MAX (LEAST_LIST_INTERVAL_S, node->settings->list_lag_s));
}

void
hzb_provisioning_list_instances (HzbProvisioning *provisioning, struct timespec now)
{
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;

  if (provisioning->list_requested || hzb_time_before (now, provisioning->next_list))
    return;
  provisioning->list_requested = TRUE;
  if (!provisioning->list_after)
    provisioning->list_began = now;
  provisioning->next_list = hzb_time_plus (now, RESPONSE_TIMEOUT_S);
  hzb_cloud_client_list_instances (uses->cloud, provisioning->list_after, on_listed,
                                   hzb_epoch_call_new (uses->ownership, provisioning, NULL));
}
