/* Scale-in: a machine that is to be returned gets no new tasks, is drained, and is then returned to the cloud. The
 * machine is gone once the cloud has responded with status 200 to the request that returns it. */
#include "provisioning-private.h"

#define EXPIRED_LEASE_GRACE_S 12.0 /* time for a worker whose lease expired to send a heartbeat again */
#define UNVERIFIED_MARGIN_S 2.0    /* added to the lease before an unverified machine is returned */
#define MAX_DRAINING_S 120.0       /* after that a machine is returned although it still has tasks */
#define MACHINES_PER_REQUEST 100u
#define RETRY_S 1.0

/* ---- requests to return machines ---- */

static void
on_scale_in_response (guint status, const char *body, gsize length, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbProvisioning *provisioning = epoch_call->module;
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;
  g_autoptr (GPtrArray) names = epoch_call->data;

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  provisioning->scale_in_requests_in_flight--;
  for (guint i = 0; status == 200 && i < names->len; i++)
    {
      HzbMachine *machine = hzb_machines_find (dependencies->machines, names->pdata[i]);
      if (machine && machine->state == HZB_MACHINE_RETURNING)
        hzb_provisioning_remove_gone_machine (provisioning, machine);
    }
  if (status != 200)
    provisioning->next_scale_in_request = hzb_time_plus (hzb_clock_now (dependencies->node->clock), RETRY_S);
}

static void
return_machines (HzbProvisioning *provisioning, struct timespec now)
{
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;
  const GPtrArray *machines = dependencies->machines->all;
  g_autoptr (GPtrArray) names = NULL;

  if (provisioning->scale_in_requests_in_flight || hzb_time_before (now, provisioning->next_scale_in_request))
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
  provisioning->scale_in_requests_in_flight++;
  hzb_cloud_client_scale_in (dependencies->cloud, names, on_scale_in_response,
                             hzb_epoch_call_new (dependencies->ownership, provisioning, g_ptr_array_ref (names)));
}

/* ---- draining ---- */

/* An unverified machine that does not respond may still run tasks. It is returned, since only the cloud can confirm
 * that the machine and its tasks are gone. */
static gboolean
unverified_for_too_long (const HzbMachine *machine, double time_in_state_s, const HzbSettings *settings)
{
  return machine->state == HZB_MACHINE_UNVERIFIED && time_in_state_s > settings->lease_s + UNVERIFIED_MARGIN_S;
}

/* In a one-way partition, the machine's heartbeats arrive but the leader's responses do not reach the machine, so the
 * leader cannot use it. The machine is kept in case the partition ends soon, and is returned once the partition has
 * lasted longer than the worker's lease and EXPIRED_LEASE_GRACE_S. */
static gboolean
unreachable_for_too_long (const HzbMachine *machine, const HzbSettings *settings, struct timespec now)
{
  return machine->unreachable
         && hzb_time_between (machine->unreachable_since, now) > settings->lease_s + EXPIRED_LEASE_GRACE_S;
}

/* An empty draining machine is returned even if no scale-in was requested, as after a reclaim notice: the machine costs
 * money until it is returned. */
static gboolean
must_be_returned (const HzbMachine *machine, double time_in_state_s, const HzbSettings *settings, struct timespec now)
{
  return unverified_for_too_long (machine, time_in_state_s, settings)
         || (machine->state == HZB_MACHINE_LEASE_EXPIRED && time_in_state_s > EXPIRED_LEASE_GRACE_S)
         || (machine->state == HZB_MACHINE_DRAINING && !machine->tasks->len)
         || unreachable_for_too_long (machine, settings, now);
}

/* Replicas of services do not end by themselves. The response to the machine's next heartbeat stops them, and they
 * start on other machines. */
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
drain_machine (HzbProvisioning *provisioning, HzbMachine *machine)
{
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;

  if (hzb_machine_count_queued_tasks (machine))
    hzb_machine_clear_run_queues (dependencies->jobs, machine);
  if (machine->state == HZB_MACHINE_ACTIVE && machine->tasks->len)
    hzb_machine_set_state (dependencies->machines, machine, HZB_MACHINE_DRAINING,
                           "to be returned to the cloud once its tasks have ended");
  if (machine->state == HZB_MACHINE_DRAINING)
    stop_service_replicas (machine);
}

static void
advance_scale_in (HzbProvisioning *provisioning, HzbMachine *machine, struct timespec now)
{
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;
  const HzbSettings *settings = dependencies->node->settings;
  double time_in_state_s = hzb_time_between (machine->since, now);

  /* The leader has to recall a leased machine from its leaseholder first. */
  if (machine->state == HZB_MACHINE_LEASED)
    return;
  if (must_be_returned (machine, time_in_state_s, settings, now))
    machine->scale_in_requested = TRUE;
  if (!machine->scale_in_requested || machine->state == HZB_MACHINE_RETURNING)
    return;
  drain_machine (provisioning, machine);
  /* An unverified machine may run tasks that are not in its list of tasks, so an empty list does not show that the
   * machine is drained. */
  if (machine->state == HZB_MACHINE_UNVERIFIED ? unverified_for_too_long (machine, time_in_state_s, settings)
                                               : machine->tasks->len == 0 || time_in_state_s > MAX_DRAINING_S)
    hzb_machine_set_state (dependencies->machines, machine, HZB_MACHINE_RETURNING, "to be returned to the cloud");
}

void
hzb_provisioning_scale_in (HzbProvisioning *provisioning, struct timespec now)
{
  const GPtrArray *machines = provisioning->dependencies.machines->all;

  for (guint i = 0; i < machines->len; i++)
    advance_scale_in (provisioning, machines->pdata[i], now);
  return_machines (provisioning, now);
}
