/* Scale-in: a machine that is to go takes no new task, is drained, and is then returned to the cloud. It is gone
 * once the cloud has answered the return with 200. */
#include "provisioning-private.h"

#define EXPIRED_LEASE_S 12.0   /* a machine whose lease expired has so long to send a heartbeat again */
#define UNVERIFIED_SLACK_S 2.0 /* beyond the lease, before an unverified machine is returned */
#define MOST_DRAINING_S 120.0  /* then the machine is returned with the tasks that are left on it */
#define MACHINES_PER_REQUEST 100u
#define RETRY_S 1.0

/* ---- returning ---- */

static void
on_scaled_in (guint status, const char *body, gsize length, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbProvisioning *provisioning = epoch_call->module;
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;
  g_autoptr (GPtrArray) names = epoch_call->data;

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  provisioning->scale_ins--;
  for (guint i = 0; status == 200 && i < names->len; i++)
    {
      HzbMachine *machine = hzb_machines_find (uses->machines, names->pdata[i]);
      if (machine && machine->state == HZB_MACHINE_RETURNING)
        hzb_provisioning_machine_gone (provisioning, machine);
    }
  if (status != 200)
    provisioning->next_scale_in = hzb_time_plus (hzb_clock_now (uses->node->clock), RETRY_S);
}

static void
return_machines (HzbProvisioning *provisioning, struct timespec now)
{
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;
  const GPtrArray *machines = uses->machines->all;
  g_autoptr (GPtrArray) names = NULL;

  if (provisioning->scale_ins || hzb_time_before (now, provisioning->next_scale_in))
    return;
  names = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < machines->len && names->len < MACHINES_PER_REQUEST; i++)
    {
      const HzbMachine *machine = machines->pdata[i];
      if (machine->state == HZB_MACHINE_RETURNING)
        g_ptr_array_add (names, g_strdup (machine->name));
    }
  if (!names->len)
    return;
  provisioning->scale_ins++;
  hzb_cloud_client_scale_in (uses->cloud, names, on_scaled_in,
                             hzb_epoch_call_new (uses->ownership, provisioning, g_ptr_array_ref (names)));
}

/* ---- draining ---- */

/* An unverified machine that stays unresponsive may still run tasks; only the cloud knows that a machine is gone. */
static gboolean
unverified_for_too_long (const HzbMachine *machine, double in_state_s, const HzbSettings *settings)
{
  return machine->state == HZB_MACHINE_UNVERIFIED && in_state_s > settings->lease_s + UNVERIFIED_SLACK_S;
}

/* A one-way partition that ends within the lease costs no machine. A machine that the leader's responses do
 * not reach for longer is useless. */
static gboolean
unreachable_for_too_long (const HzbMachine *machine, const HzbSettings *settings, struct timespec now)
{
  return machine->unreachable
         && hzb_time_between (machine->unreachable_since, now) > settings->lease_s + EXPIRED_LEASE_S;
}

static gboolean
has_to_go (const HzbMachine *machine, double in_state_s, const HzbSettings *settings, struct timespec now)
{
  return unverified_for_too_long (machine, in_state_s, settings)
         || (machine->state == HZB_MACHINE_LEASE_EXPIRED && in_state_s > EXPIRED_LEASE_S)
         || (machine->state == HZB_MACHINE_DRAINING && !machine->tasks->len) /* paid for as long as it is there */
         || unreachable_for_too_long (machine, settings, now);
}

/* Replicas of services never end by themselves: they are stopped with the machine's next heartbeat, and start
 * elsewhere. */
static void
stop_service_replicas (HzbMachine *machine)
{
  for (guint i = 0; machine->service_cpus > 0 && i < machine->tasks->len; i++)
    {
      HzbTask *task = machine->tasks->pdata[i];
      task->stopping = task->stopping || task->job->spec->kind == HZB_JOB_SERVICE;
    }
}

static void
drain (HzbProvisioning *provisioning, HzbMachine *machine)
{
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;

  if (hzb_machine_count_queued_tasks (machine))
    hzb_machine_clear_run_queues (uses->jobs, machine);
  if (machine->state == HZB_MACHINE_ACTIVE && machine->tasks->len)
    hzb_machine_set_state (uses->machines, machine, HZB_MACHINE_DRAINING, "to be returned");
  if (machine->state == HZB_MACHINE_DRAINING)
    stop_service_replicas (machine);
}

static void
advance_scale_in (HzbProvisioning *provisioning, HzbMachine *machine, struct timespec now)
{
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;
  const HzbSettings *settings = uses->node->settings;
  double in_state_s = hzb_time_between (machine->since, now);

  /* The leader asks the leaseholder for a leased machine first. */
  if (machine->state == HZB_MACHINE_LEASED)
    return;
  if (has_to_go (machine, in_state_s, settings, now))
    machine->scale_in_requested = TRUE;
  if (!machine->scale_in_requested || machine->state == HZB_MACHINE_RETURNING)
    return;
  drain (provisioning, machine);
  if (machine->state == HZB_MACHINE_UNVERIFIED ? unverified_for_too_long (machine, in_state_s, settings)
                                               : machine->tasks->len == 0 || in_state_s > MOST_DRAINING_S)
    hzb_machine_set_state (uses->machines, machine, HZB_MACHINE_RETURNING, "to be returned");
}

void
hzb_provisioning_scale_in (HzbProvisioning *provisioning, struct timespec now)
{
  const GPtrArray *machines = provisioning->dependencies.machines->all;

  for (guint i = 0; i < machines->len; i++)
    advance_scale_in (provisioning, machines->pdata[i], now);
  return_machines (provisioning, now);
}
