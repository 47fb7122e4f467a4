/* Scale-out: the leader rents machines with idempotent requests. The name of a request consists of the leader's term
 * and a number. Each term has only one leader, so no two requests have the same name. A request whose outcome is
 * unknown is repeated under its name. */
#include "cloud-protocol.h"
#include "provisioning-private.h"

#define MAX_REPEATS 4u /* of a request whose outcome is unknown */

/* A request to rent machines that is in flight. */
typedef struct
{
  HzbEpochCall epoch_call;
  char *name; /* of the request, the same in each repetition */
  char *type;
  char *zone;
  gboolean spot;
  guint count;   /* number of machines */
  guint repeats; /* how often the request was repeated */
} ScaleOutCall;

static void
scale_out_call_free (ScaleOutCall *call)
{
  g_free (call->name);
  g_free (call->type);
  g_free (call->zone);
  g_free (call);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (ScaleOutCall, scale_out_call_free)

static ScaleOutCall *
scale_out_call_new (HzbProvisioning *provisioning, const HzbScaleOutRequest *request)
{
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;
  ScaleOutCall *call = g_new0 (ScaleOutCall, 1);

  hzb_epoch_call_init (&call->epoch_call, dependencies->ownership, provisioning, NULL);
  call->name = g_strdup_printf ("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                                hzb_election_term (dependencies->election), ++provisioning->last_request_number);
  call->type = g_strdup (request->kind.type->name);
  call->zone = g_strdup (request->kind.zone);
  call->spot = request->kind.spot;
  call->count = request->count;
  return call;
}

static void on_scale_out_response (guint status, const char *body, gsize length, gpointer user);

static void
send_request (HzbProvisioning *provisioning, ScaleOutCall *call)
{
  hzb_cloud_client_scale_out (provisioning->dependencies.cloud, call->name, call->type, call->zone, call->spot,
                              call->count, on_scale_out_response, call);
}

/* If the cloud rented out fewer machines than requested, the autoscaler requests other kinds of machines (type, zone
 * and spot) for a while. */
static void
inform_autoscaler (HzbProvisioning *provisioning, const ScaleOutCall *call, guint granted, struct timespec now)
{
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;
  HzbMachineKind kind = { hzb_machines_find_type (dependencies->machines, call->type), call->zone, call->spot };

  if (!kind.type)
    return;
  if (granted < call->count)
    hzb_autoscaler_record_refusal (dependencies->autoscaler, &kind, now);
  else
    hzb_autoscaler_record_grant (dependencies->autoscaler, &kind);
}

static void
add_machines (HzbProvisioning *provisioning, const ScaleOutCall *call, const GPtrArray *names)
{
  HzbMachines *machines = provisioning->dependencies.machines;

  for (guint i = 0; i < names->len; i++)
    {
      HzbMachine *machine = hzb_machines_find (machines, names->pdata[i]);
      if (!machine)
        machine =
            hzb_machines_add (machines, names->pdata[i], NULL, call->type, call->zone, call->spot, HZB_MACHINE_BOOTING);
      machine->known_to_cloud = TRUE;
    }
}

/* With status 503 or 400 the cloud has refused the request. After any other failure, such as no response, the cloud may
 * have rented the machines. */
static gboolean
outcome_is_unknown (guint status, const GPtrArray *names)
{
  return !names && status != 503 && status != 400;
}

static void
on_scale_out_response (guint status, const char *body, gsize length, gpointer user)
{
  g_autoptr (ScaleOutCall) call = user;
  HzbProvisioning *provisioning = call->epoch_call.module;
  struct timespec now = hzb_clock_now (provisioning->dependencies.node->clock);
  g_autoptr (GPtrArray) names = status == 200 ? hzb_cloud_rent_decode (body) : NULL;

  /* If this node's ownership has begun a new epoch since the request was sent, the leader learns of the rented machines
   * from the cloud's inventory and from their heartbeats. */
  if (!hzb_epoch_call_is_current (&call->epoch_call))
    return;
  if (outcome_is_unknown (status, names) && call->repeats++ < MAX_REPEATS)
    {
      send_request (provisioning, g_steal_pointer (&call));
      return;
    }
  provisioning->scale_out_requests_in_flight--;
  inform_autoscaler (provisioning, call, names ? names->len : 0, now);
  if (names)
    add_machines (provisioning, call, names);
  g_message (
      "scale-out request %s: the cloud rented out %u of %u machines of type %s%s in zone %s (HTTP status %u, 0: no "
      "response)",
      call->name, names ? names->len : 0, call->count, call->type, call->spot ? " (spot)" : "", call->zone, status);
}

void
hzb_provisioning_scale_out (HzbProvisioning *provisioning, struct timespec now)
{
  const HzbProvisioningDependencies *dependencies = &provisioning->dependencies;
  g_autoptr (GArray) requests = NULL;

  if (provisioning->scale_out_requests_in_flight || !hzb_election_is_lease_valid (dependencies->election)
      || !dependencies->machines->types)
    return;
  requests = hzb_autoscaler_scale_out (dependencies->autoscaler, now);
  for (guint i = 0; i < requests->len; i++)
    {
      const HzbScaleOutRequest *request = &g_array_index (requests, HzbScaleOutRequest, i);

      /* Reconciliation may delay scale-out, as after a cold start. The autoscaler will request the remaining machines
       * again. */
      if (!hzb_reconciliation_may_scale_out (dependencies->reconciliation, now))
        return;
      hzb_reconciliation_count_scale_out (dependencies->reconciliation, request->count);
      provisioning->scale_out_requests_in_flight++;
      send_request (provisioning, scale_out_call_new (provisioning, request));
    }
}
