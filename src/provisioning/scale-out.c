/* Scale-out: machines are rented by idempotent requests. The name of a request consists of the leader's term and a
 * number. Terms are used once, so no two requests share a name, and a request without a response is repeated under
 * its own. */
#include "cloud-protocol.h"
#include "provisioning-private.h"

#define MOST_REPEATS 4u

/* A request in flight. */
typedef struct
{
  HzbEpochCall epoch_call;
  char *name; /* of the request */
  char *type;
  char *zone;
  gboolean spot;
  guint count; /* of machines */
  guint repeats;
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
scale_out_call_new (HzbProvisioning *provisioning, const HzbScaleOutRequest *wanted)
{
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;
  ScaleOutCall *call = g_new0 (ScaleOutCall, 1);

  hzb_epoch_call_init (&call->epoch_call, uses->ownership, provisioning, NULL);
  call->name = g_strdup_printf ("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, hzb_election_term (uses->election),
                                ++provisioning->last_request_number);
  call->type = g_strdup (wanted->type->name);
  call->zone = g_strdup (wanted->zone);
  call->spot = wanted->spot;
  call->count = wanted->count;
  return call;
}

static void on_scaled_out (guint status, const char *body, gsize length, gpointer user);

static void
send_request (HzbProvisioning *provisioning, ScaleOutCall *call)
{
  hzb_cloud_client_scale_out (provisioning->dependencies.cloud, call->name, call->type, call->zone, call->spot,
                              call->count, on_scaled_out, call);
}

/* The autoscaler asks for other machines for a while where the cloud granted less than it was asked for. */
static void
inform_autoscaler (HzbProvisioning *provisioning, const ScaleOutCall *call, guint granted, struct timespec now)
{
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;
  HzbScaleOutRequest request = { hzb_machines_find_type (uses->machines, call->type), call->zone, call->spot,
                                 call->count };

  if (!request.type)
    return;
  if (granted < call->count)
    hzb_autoscaler_record_refusal (uses->autoscaler, &request, now);
  else
    hzb_autoscaler_record_grant (uses->autoscaler, &request);
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

/* 503 and 400 are refusals. After anything else the request may have been carried out. */
static gboolean
outcome_is_unknown (guint status, const GPtrArray *names)
{
  return !names && status != 503 && status != 400;
}

static void
on_scaled_out (guint status, const char *body, gsize length, gpointer user)
{
  g_autoptr (ScaleOutCall) call = user;
  HzbProvisioning *provisioning = call->epoch_call.module;
  struct timespec now = hzb_clock_now (provisioning->dependencies.node->clock);
  g_autoptr (GPtrArray) names = status == 200 ? hzb_cloud_names_decode (body) : NULL;

  /* The machines of an earlier epoch's request are found in the cloud's inventory and by their heartbeats. */
  if (!hzb_epoch_call_is_current (&call->epoch_call))
    return;
  if (outcome_is_unknown (status, names) && call->repeats++ < MOST_REPEATS)
    {
      send_request (provisioning, g_steal_pointer (&call));
      return;
    }
  provisioning->scale_outs--;
  inform_autoscaler (provisioning, call, names ? names->len : 0, now);
  if (names)
    add_machines (provisioning, call, names);
  g_message ("asked for %u %s%s in %s: got %u", call->count, call->type, call->spot ? " (spot)" : "", call->zone,
             names ? names->len : 0);
}

void
hzb_provisioning_scale_out (HzbProvisioning *provisioning, struct timespec now)
{
  const HzbProvisioningDependencies *uses = &provisioning->dependencies;
  g_autoptr (GArray) wanted = NULL;

  if (provisioning->scale_outs || !hzb_election_is_lease_valid (uses->election) || !uses->machines->types)
    return;
  wanted = hzb_autoscaler_scale_out (uses->autoscaler, now);
  for (guint i = 0; i < wanted->len; i++)
    {
      const HzbScaleOutRequest *request = &g_array_index (wanted, HzbScaleOutRequest, i);

      /* The autoscaler asks again for what is not sent here. */
      if (!hzb_reconciliation_may_scale_out (uses->reconciliation, now))
        return;
      hzb_reconciliation_note_scale_out (uses->reconciliation, request->count);
      provisioning->scale_outs++;
      send_request (provisioning, scale_out_call_new (provisioning, request));
    }
}
