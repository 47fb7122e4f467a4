#include "fleet-summary.h"

/* A warning is logged if the number of machines that are not leased to other controllers exceeds this fraction of the
 * connections that this node may have open. */
#define SOCKET_WARNING_FRACTION 0.9

/* Numbers of machines, and sums of the CPUs of machines and tasks, over all shards. */
typedef struct
{
  guint up, leased, booting, other;                      /* machines; up includes leased */
  double up_cpus, scale_in_candidate_cpus, booting_cpus; /* CPUs of machines; up includes scale-in candidates */
  double held_cpus, running_cpus, waiting_cpus; /* CPUs of tasks; held: placed tasks, which include the running tasks */
} FleetSummary;

static void
add_machine (FleetSummary *summary, const HzbMachine *machine)
{
  if ((machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_LEASED) && machine->type)
    {
      summary->up++;
      summary->leased += machine->state == HZB_MACHINE_LEASED;
      summary->up_cpus += machine->type->cpus;
      summary->scale_in_candidate_cpus += machine->scale_in_candidate ? machine->type->cpus : 0;
    }
  else if (machine->state == HZB_MACHINE_BOOTING && machine->type)
    {
      summary->booting++;
      summary->booting_cpus += machine->type->cpus;
    }
  else
    summary->other++;
}

static void
add_job (FleetSummary *summary, const HzbJob *job)
{
  if (job->state != HZB_JOB_ACCEPTED)
    return;
  summary->waiting_cpus += (job->pending + job->queued) * job->spec->cpus;
  summary->held_cpus += job->placed * job->spec->cpus;
  summary->running_cpus += (job->running + job->delegated_running) * job->spec->cpus;
}

/* A node without free sockets refuses connections of workers, which then look like unresponsive machines. The warning
 * names the real cause before that happens. */
static void
warn_if_sockets_run_short (const HzbSettings *settings, const FleetSummary *summary)
{
  guint unleased_machines = summary->up - summary->leased + summary->booting + summary->other;
  if (unleased_machines > SOCKET_WARNING_FRACTION * settings->sockets)
    g_warning (
        "%u machines send heartbeats to this node, which may open %u connections (cluster.resources.sockets): raise "
        "this limit or add controllers, or connections of workers will be refused",
        unleased_machines, settings->sockets);
}

void
hzb_fleet_summary_log (const HzbMachines *machines, const HzbJobs *jobs, const HzbDispatch *dispatch,
                       const HzbSettings *settings)
{
  FleetSummary summary = { 0 };

  for (guint i = 0; i < machines->all->len; i++)
    add_machine (&summary, machines->all->pdata[i]);
  for (guint i = 0; i < jobs->active->len; i++)
    add_job (&summary, jobs->active->pdata[i]);
  g_message (
      "fleet: %u machines up, %u of them leased to other controllers (%g CPUs: %g held by tasks, %g running tasks; %g on "
      "scale-in candidates), %u booting (%g CPUs), %u other; tasks for %g CPUs wait; timers are %.0f ms late",
      summary.up, summary.leased, summary.up_cpus, summary.held_cpus, summary.running_cpus,
      summary.scale_in_candidate_cpus, summary.booting, summary.booting_cpus, summary.other, summary.waiting_cpus,
      dispatch->lag_s * 1e3);
  if (settings->sockets)
    warn_if_sockets_run_short (settings, &summary);
}
