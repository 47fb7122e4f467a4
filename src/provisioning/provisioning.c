/* What the owner has to do with the cloud: types, renting, returning, and the list of what there is. */
#include "cloud-protocol.h"
#include "controller-private.h"

#include <math.h>

#define FORGET_SILENT_S 12.0
#define REMEMBER_GONE_S 900.0 /* lists lag by seconds, copies of reports may come minutes late */

struct _HzbProvisioning
{
  HzbController *controller;
  gboolean asking_types, listing;
  guint renting, returning; /* calls on their way */
  guint64 rent_number;      /* of request names, in this term */
  char *list_after;
  GHashTable *gone;   /* names given back and when (struct timespec): lists lag */
  GHashTable *listed; /* names in the pages read so far */
  struct timespec list_began, next_list, next_types, next_return, next_plan, next_scan;
};

static void
on_types (guint status, const char *body, gsize length, gpointer user)
{
  HzbController *controller = user;
  HzbProvisioning *provisioning = controller->provisioning;
  GPtrArray *types = status == 200 ? hzb_machine_types_decode (body) : NULL;

  provisioning->asking_types = FALSE;
  provisioning->next_types = hzb_time_plus (hzb_clock_now (controller->clock), types ? 60 : 1);
  if (!types)
    return;
  hzb_machines_set_types (controller->machines, types);
}

typedef struct
{
  HzbEpochCall epoch_call;
  char *request, *type, *zone;
  gboolean spot;
  guint count, tries;
} RentCall;

static void
rent_call_free (RentCall *call)
{
  g_free (call->request);
  g_free (call->type);
  g_free (call->zone);
  g_free (call);
}

static void
on_rented (guint status, const char *body, gsize length, gpointer user)
{
  RentCall *call = user;
  HzbController *controller = call->epoch_call.module;
  HzbProvisioning *provisioning = controller->provisioning;
  struct timespec now = hzb_clock_now (controller->clock);
  g_autoptr (GPtrArray) names = status == 200 ? hzb_cloud_names_decode (body) : NULL;
  HzbScaleOutRequest rental = { NULL, call->zone, call->spot, call->count };

  if (!hzb_epoch_call_is_current (&call->epoch_call))
    {
      rent_call_free (call); /* what it rented shows in the list and by its workers */
      return;
    }
  if (!names && status != 503 && status != 400 && call->tries++ < 4)
    {
      /* The same name again: if it was carried out, the answer is the same and nothing more is rented. */
      hzb_cloud_client_rent (controller->cloud, call->request, call->type, call->zone, call->spot, call->count,
                             on_rented, call);
      return;
    }
  provisioning->renting--;
  rental.type = hzb_machines_type (controller->machines, call->type);
  if (rental.type && (!names || names->len < call->count))
    hzb_autoscaler_note_refused (controller->autoscaler, &rental, now);
  else if (rental.type)
    hzb_autoscaler_note_granted (controller->autoscaler, &rental);
  for (guint i = 0; names && i < names->len; i++)
    {
      HzbMachine *machine = hzb_machines_find (controller->machines, names->pdata[i]);
      if (!machine)
        machine = hzb_machines_add (controller->machines, names->pdata[i], NULL, call->type, call->zone, call->spot,
                                    HZB_MACHINE_BOOTING);
      machine->known_to_cloud = TRUE;
    }
  g_message ("asked for %u %s%s in %s: got %u", call->count, call->type, call->spot ? " (spot)" : "", call->zone,
             names ? names->len : 0);
  rent_call_free (call);
}

static void
rent (HzbController *controller, struct timespec now)
{
  HzbProvisioning *provisioning = controller->provisioning;
  g_autoptr (GArray) rentals = NULL;

  if (provisioning->renting || !hzb_election_lease_valid (controller->election) || !controller->machines->types)
    return;
  rentals = hzb_autoscaler_scale_out (controller->autoscaler, now);
  for (guint i = 0; i < rentals->len; i++)
    {
      const HzbScaleOutRequest *rental = &g_array_index (rentals, HzbScaleOutRequest, i);
      RentCall *call;
      if (!hzb_reconciliation_may_rent (controller->reconciliation, now))
        return; /* asked for again with the next plan */
      hzb_reconciliation_note_rentals (controller->reconciliation, rental->count);
      call = g_new0 (RentCall, 1);
      hzb_epoch_call_init (&call->epoch_call, controller->ownership, controller, NULL);
      /* Terms are never used twice, so neither is a name. */
      call->request = g_strdup_printf ("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                                       hzb_election_term (controller->election), ++provisioning->rent_number);
      call->type = g_strdup (rental->type->name);
      call->zone = g_strdup (rental->zone);
      call->spot = rental->spot;
      call->count = rental->count;
      provisioning->renting++;
      hzb_cloud_client_rent (controller->cloud, call->request, call->type, call->zone, call->spot, call->count,
                             on_rented, call);
    }
}

static void
machine_is_gone (HzbController *controller, HzbMachine *machine)
{
  HzbProvisioning *provisioning = controller->provisioning;
  struct timespec *now;
  hzb_records_drop_machine (controller->records, machine);
  hzb_machine_lose_tasks (controller->jobs, machine);
  hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_GONE, "the cloud has confirmed it");
  now = g_new (struct timespec, 1);
  *now = hzb_clock_now (controller->clock);
  g_hash_table_replace (provisioning->gone, g_strdup (machine->name), now);
  hzb_machines_remove (controller->machines, machine);
}

static void
on_returned (guint status, const char *body, gsize length, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbController *controller = epoch_call->module;
  HzbProvisioning *provisioning = controller->provisioning;
  g_autoptr (GPtrArray) names = epoch_call->data;

  if (hzb_epoch_call_is_current (epoch_call))
    {
      provisioning->returning--;
      for (guint i = 0; status == 200 && i < names->len; i++)
        {
          HzbMachine *machine = hzb_machines_find (controller->machines, names->pdata[i]);
          if (machine && machine->state == HZB_MACHINE_RETURNING)
            machine_is_gone (controller, machine);
        }
      if (status != 200)
        provisioning->next_return = hzb_time_plus (hzb_clock_now (controller->clock), 1);
    }
  g_free (epoch_call);
}

/* Machines that are to go back: first they take nothing new, then they are emptied, then the cloud is told. */
static void
give_back (HzbController *controller, struct timespec now)
{
  HzbProvisioning *provisioning = controller->provisioning;
  GPtrArray *names;

  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      double in_state = hzb_time_between (machine->since, now);
      if (machine->state == HZB_MACHINE_LEASED)
        continue; /* its leaseholder is asked for it */
      if (machine->state == HZB_MACHINE_UNVERIFIED && in_state > controller->settings->lease_s + 2)
        machine->scale_in_requested = TRUE; /* silence proves nothing: only the cloud can say that it is gone */
      if (machine->state == HZB_MACHINE_LEASE_EXPIRED && in_state > FORGET_SILENT_S)
        machine->scale_in_requested = TRUE;
      /* It is paid for as long as it is there. */
      if (machine->state == HZB_MACHINE_DRAINING && !machine->tasks->len)
        machine->scale_in_requested = TRUE;
      /* A short one-way partition costs no machine; one that lasts longer than its lease makes it useless. */
      if (machine->unreachable
          && hzb_time_between (machine->unreachable_since, now) > controller->settings->lease_s + FORGET_SILENT_S)
        machine->scale_in_requested = TRUE;
      if (!machine->scale_in_requested || machine->state == HZB_MACHINE_RETURNING)
        continue;
      if (hzb_machine_queued_tasks (machine))
        hzb_machine_clear_run_queues (controller->jobs, machine);
      if (machine->state == HZB_MACHINE_ACTIVE && machine->tasks->len)
        hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_DRAINING, "to be returned");
      /* What would never end goes elsewhere; its machine tells with its next report that it is to stop. */
      for (guint k = 0; machine->service_cpus > 0 && machine->state == HZB_MACHINE_DRAINING && k < machine->tasks->len;
           k++)
        {
          HzbTask *task = machine->tasks->pdata[k];
          task->stopping = task->stopping || task->job->spec->kind == HZB_JOB_SERVICE;
        }
      if (machine->state == HZB_MACHINE_UNVERIFIED ? in_state > controller->settings->lease_s + 2
                                                   : machine->tasks->len == 0 || in_state > 120)
        hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_RETURNING, "to be returned");
    }
  if (provisioning->returning || hzb_time_before (now, provisioning->next_return))
    return;
  names = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < controller->machines->all->len && names->len < 100; i++)
    {
      const HzbMachine *machine = controller->machines->all->pdata[i];
      if (machine->state == HZB_MACHINE_RETURNING)
        g_ptr_array_add (names, g_strdup (machine->name));
    }
  if (!names->len)
    {
      g_ptr_array_unref (names);
      return;
    }
  provisioning->returning++;
  hzb_cloud_client_return (controller->cloud, names, on_returned,
                           hzb_epoch_call_new (controller->ownership, controller, names));
}

/* Once listed, a machine stays listed until it is gone, and a list is at most twice the lag old: what has been
 * there for longer than that and is not in a list that was asked for now is gone, with all that was on it. */
static void
drop_unlisted (HzbController *controller, struct timespec now)
{
  HzbProvisioning *provisioning = controller->provisioning;
  double known = 3 * controller->settings->list_lag_s + 5;

  for (guint i = controller->machines->all->len; i-- > 0;)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      if (g_hash_table_contains (provisioning->listed, machine->name) || machine->state == HZB_MACHINE_RETURNING
          || machine->state == HZB_MACHINE_LEASED
          || hzb_time_between (machine->rented, provisioning->list_began) < known)
        continue;
      /* One that has just reported is there, whatever the list says. */
      if (hzb_time_is_set (machine->last_heartbeat)
          && hzb_time_between (machine->last_heartbeat, now) < 1.5 * controller->settings->heartbeat_interval_s + 1)
        continue;
      hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_RETURNING, "the cloud lists it no more");
      machine_is_gone (controller, machine);
    }
}

static gboolean
is_long_gone (gpointer name, gpointer since, gpointer now)
{
  return hzb_time_between (*(struct timespec *) since, *(struct timespec *) now) > REMEMBER_GONE_S;
}

static void
on_listed (guint status, const char *body, gsize length, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbController *controller = epoch_call->module;
  HzbProvisioning *provisioning = controller->provisioning;
  gboolean more = FALSE;
  g_autoptr (GPtrArray) instances = status == 200 ? hzb_cloud_list_decode (body, &more) : NULL;
  struct timespec now = hzb_clock_now (controller->clock);

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  provisioning->listing = FALSE;
  if (!provisioning->list_after)
    g_hash_table_remove_all (provisioning->listed);
  g_clear_pointer (&provisioning->list_after, g_free);
  for (guint i = 0; instances && i < instances->len; i++)
    {
      const HzbCloudInstance *instance = instances->pdata[i];
      HzbMachine *machine = hzb_machines_find (controller->machines, instance->name);
      g_free (provisioning->list_after);
      provisioning->list_after = g_strdup (instance->name);
      g_hash_table_add (provisioning->listed, g_strdup (instance->name));
      if (g_hash_table_contains (provisioning->gone, instance->name) || !instance->type || !instance->zone)
        continue;
      if (!machine)
        {
          machine = hzb_machines_add (controller->machines, instance->name, instance->addr, instance->type,
                                      instance->zone, instance->spot, HZB_MACHINE_BOOTING);
          machine->rented = hzb_time_plus (now, -instance->age_s);
        }
      machine->known_to_cloud = TRUE;
      if (instance->state == HZB_CLOUD_INSTANCE_FAILED && machine->state == HZB_MACHINE_LEASED)
        machine->scale_in_requested = TRUE;
      else if (instance->state == HZB_CLOUD_INSTANCE_FAILED && machine->state != HZB_MACHINE_RETURNING)
        {
          machine->scale_in_requested = TRUE;
          hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_RETURNING, "the cloud calls it failed");
        }
    }
  if (!more)
    g_clear_pointer (&provisioning->list_after, g_free);
  if (instances && !more)
    {
      drop_unlisted (controller, now);
      g_hash_table_foreach_remove (provisioning->gone, is_long_gone, &now);
    }
  provisioning->next_list = hzb_time_plus (now, more ? 0.3 : MAX (4, controller->settings->list_lag_s));
}

void
hzb_provisioning_tick (HzbProvisioning *provisioning, struct timespec now)
{
  HzbController *controller = provisioning->controller;

  if (!provisioning->asking_types && !hzb_time_before (now, provisioning->next_types)
      && (!controller->machines->types || hzb_election_leading (controller->election)))
    {
      provisioning->asking_types = TRUE;
      hzb_cloud_client_types (controller->cloud, on_types, controller);
    }
  if (!hzb_ownership_leader_loaded (controller->ownership))
    return;
  if (!hzb_time_before (now, provisioning->next_scan))
    {
      provisioning->next_scan = hzb_time_plus (now, hzb_machines_scan_interval_s (controller->machines));
      give_back (controller, now);
    }
  if (!hzb_time_before (now, provisioning->next_plan))
    {
      provisioning->next_plan = hzb_time_plus (now, 1);
      if (hzb_election_lease_valid (controller->election))
        {
          g_autoptr (GPtrArray) back = hzb_autoscaler_scale_in (controller->autoscaler, now);
          for (guint i = 0; i < back->len; i++)
            ((HzbMachine *) back->pdata[i])->scale_in_requested = TRUE;
        }
      rent (controller, now);
    }
  if (!hzb_time_before (now, provisioning->next_list) && !provisioning->listing)
    {
      provisioning->listing = TRUE;
      if (!provisioning->list_after)
        provisioning->list_began = now;
      provisioning->next_list = hzb_time_plus (now, 10);
      hzb_cloud_client_list (controller->cloud, provisioning->list_after, on_listed,
                             hzb_epoch_call_new (controller->ownership, controller, NULL));
    }
}

void
hzb_provisioning_reset (HzbProvisioning *provisioning)
{
  provisioning->rent_number = 0;
  provisioning->renting = provisioning->returning = 0;
  provisioning->listing = FALSE;
  g_clear_pointer (&provisioning->list_after, g_free);
  provisioning->next_list = provisioning->next_return = (struct timespec){ 0 };
}

gboolean
hzb_provisioning_was_scaled_in (HzbProvisioning *provisioning, const char *machine)
{
  return g_hash_table_contains (provisioning->gone, machine);
}

HzbProvisioning *
hzb_provisioning_new (HzbController *controller)
{
  HzbProvisioning *provisioning = g_new0 (HzbProvisioning, 1);
  provisioning->controller = controller;
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
