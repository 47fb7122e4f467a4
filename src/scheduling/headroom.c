#include "headroom.h"

#include <math.h>

/* Another job that has waited this long in vain has the room given up. */
#define OTHERS_WAIT_S 45.0

/* A zone gives up machines only if it has this many times the room it wants, so that no machine goes back and forth. */
#define SURPLUS_FACTOR 1.5

/* Weights of zone_rank() and reserve_cost(), in CPUs. */
#define RANK_PER_SERVICE_CPU 100
#define RANK_PER_RESERVED_CPU 20
#define COST_PER_SERVICE_CPU 100
#define COST_OF_LEASED 1000
#define COST_OF_NOT_ACTIVE 100

/* ---- which zones ---- */

/* Zones with replicas or reserved machines go first, or room would be kept in ever other zones; then those with the
 * most machines to choose from. */
static double
zone_rank (const HzbMachines *machines, const HzbJobSpec *spec, const char *zone)
{
  double rank = 0;

  for (guint i = 0; i < machines->all->len; i++)
    {
      const HzbMachine *machine = machines->all->pdata[i];
      if (!machine->type || machine->spot || !g_str_equal (machine->zone, zone)
          || !hzb_machine_type_holds (machine->type, spec) || machine->state == HZB_MACHINE_RETURNING
          || machine->state == HZB_MACHINE_LEASE_EXPIRED)
        continue;
      rank += machine->type->cpus + RANK_PER_SERVICE_CPU * machine->service_cpus
              + (machine->reserved_for_services ? RANK_PER_RESERVED_CPU * machine->type->cpus : 0);
    }
  return rank;
}

static gboolean
has_zone (const HzbHeadroom *headroom, const char *zone)
{
  for (guint z = 0; z < headroom->n_zones; z++)
    if (g_str_equal (headroom->zones[z].zone, zone))
      return TRUE;
  return FALSE;
}

/* Adds the zone, in place of the one with the lowest rank if that is lower. */
static void
offer_zone (HzbHeadroom *headroom, double ranks[HZB_HEADROOM_ZONES], const char *zone, double rank)
{
  guint at = 0;

  if (headroom->n_zones < HZB_HEADROOM_ZONES)
    at = headroom->n_zones++;
  else
    {
      for (guint z = 1; z < HZB_HEADROOM_ZONES; z++)
        if (ranks[z] < ranks[at])
          at = z;
      if (ranks[at] >= rank)
        return;
    }
  headroom->zones[at].zone = zone;
  ranks[at] = rank;
}

static void
choose_zones (HzbHeadroom *headroom, const HzbMachines *machines)
{
  double ranks[HZB_HEADROOM_ZONES] = { 0 };

  for (guint t = 0; t < machines->types->len; t++)
    {
      const HzbMachineType *type = machines->types->pdata[t];
      for (guint z = 0; hzb_machine_type_holds (type, headroom->spec) && type->zones[z]; z++)
        if (!has_zone (headroom, type->zones[z]))
          offer_zone (headroom, ranks, type->zones[z], zone_rank (machines, headroom->spec, type->zones[z]));
    }
}

/* ---- how much room ---- */

static double
service_cpus_in_zone (const HzbMachines *machines, const char *zone)
{
  double cpus = 0;

  for (guint i = 0; i < machines->all->len; i++)
    {
      const HzbMachine *machine = machines->all->pdata[i];
      if (machine->service_cpus > 0 && g_str_equal (machine->zone, zone))
        cpus += machine->service_cpus;
    }
  return cpus;
}

HzbHeadroom
hzb_headroom_plan (const HzbJobs *jobs, const HzbMachines *machines)
{
  HzbHeadroom headroom = { 0 };
  double waiting = 0, largest = 0; /* CPUs: of replicas that wait; of the largest service and one more replica */

  for (guint i = 0; i < jobs->active->len; i++)
    {
      const HzbJob *job = jobs->active->pdata[i];
      const HzbJobSpec *spec = job->spec;
      if (!spec || spec->kind != HZB_JOB_SERVICE || job->state != HZB_JOB_ACCEPTED || spec->gpus > 0)
        continue;
      waiting += (job->pending + job->queued + job->unconfirmed) * spec->cpus;
      largest = MAX (largest, (job->n_tasks + 1) * spec->cpus);
      if (!headroom.spec || spec->cpus > headroom.spec->cpus)
        headroom.spec = spec;
    }
  if (!headroom.spec || !machines->types)
    return (HzbHeadroom){ 0 };
  choose_zones (&headroom, machines);
  for (guint z = 0; z < headroom.n_zones; z++)
    {
      HzbHeadroomZone *zone = &headroom.zones[z];
      zone->waiting = waiting / headroom.n_zones;
      zone->free = largest;
      zone->placed = service_cpus_in_zone (machines, zone->zone);
    }
  return headroom;
}

/* ---- which machines ---- */

/* The machine may be reserved for such replicas: it can hold one, and the cloud does not take it back. */
static gboolean
suits (const HzbMachine *machine, const HzbJobSpec *spec)
{
  return machine->type && !machine->spot && !machine->scale_in_requested && !machine->unreachable
         && hzb_machine_type_holds (machine->type, spec)
         && (machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_LEASED
             || machine->state == HZB_MACHINE_BOOTING || machine->state == HZB_MACHINE_UNVERIFIED);
}

static gboolean
is_reserved_in (const HzbMachine *machine, const char *zone)
{
  return machine->reserved_for_services && g_str_equal (machine->zone, zone);
}

static double
free_for_replicas (const HzbMachine *machine)
{
  return machine->type->cpus - machine->service_cpus - machine->queued_service_cpus;
}

/* Keeps HzbJob.begun and HzbJob.waits_since. Returns: whether the job has waited long although its team's limit allows
 * more */
static gboolean
waits_in_vain (HzbJobs *jobs, HzbJob *job, struct timespec now)
{
  guint begun = job->placed + job->finished + job->done;
  gboolean in_vain = FALSE;

  if (!(job->pending || job->queued) || begun > job->begun || !hzb_time_is_set (job->waits_since)
      || !hzb_shard_fits (jobs->shard, job->team, job->spec->cpus, job->spec->gpus))
    job->waits_since = now;
  else
    in_vain = hzb_time_between (job->waits_since, now) > OTHERS_WAIT_S;
  job->begun = begun;
  return in_vain;
}

/* Room must not stay empty for good while other work waits: a replica that needs it later can preempt that work.
 * Examines every job, also after one was found, since each is kept track of. */
static gboolean
any_other_job_waits_in_vain (HzbJobs *jobs)
{
  struct timespec now = hzb_clock_now (jobs->clock);
  gboolean any = FALSE;

  for (guint i = 0; i < jobs->active->len; i++)
    {
      HzbJob *job = jobs->active->pdata[i];
      if (!job->spec || job->spec->kind == HZB_JOB_SERVICE || job->state != HZB_JOB_ACCEPTED)
        continue;
      any = waits_in_vain (jobs, job, now) || any;
    }
  return any;
}

/* Lower is better: machines of this controller's own first, with replicas already, and with the least other work to
 * wait for. */
static double
reserve_cost (const HzbMachine *machine)
{
  double cost = COST_OF_NOT_ACTIVE;

  if (machine->state == HZB_MACHINE_LEASED)
    cost = COST_OF_LEASED;
  else if (machine->state == HZB_MACHINE_ACTIVE)
    cost = 0;
  return cost + machine->cpus - COST_PER_SERVICE_CPU * machine->service_cpus;
}

/* Returns: (transfer none) (nullable): the machine that can serve soonest. Machines that still boot count, too: they
 * would be leased to another controller as soon as they are up. */
static HzbMachine *
next_to_reserve (const HzbHeadroom *headroom, HzbMachines *machines, const char *zone)
{
  HzbMachine *best = NULL;
  double least = INFINITY;

  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      double cost = reserve_cost (machine);
      if (machine->reserved_for_services || !suits (machine, headroom->spec) || !g_str_equal (zone, machine->zone)
          || free_for_replicas (machine) < headroom->spec->cpus || cost >= least)
        continue;
      least = cost;
      best = machine;
    }
  return best;
}

static void
reserve_machine (HzbJobs *jobs, HzbMachine *machine)
{
  machine->reserved_for_services = TRUE;
  machine->scale_in_candidate = FALSE;
  if (machine->state == HZB_MACHINE_ACTIVE)
    hzb_machine_clear_run_queues (jobs, machine);
}

/* Machines that no longer serve the purpose go back to other work; all of them if @give_up. */
static void
release_unsuitable (const HzbHeadroom *headroom, HzbMachines *machines, gboolean give_up)
{
  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (machine->reserved_for_services
          && (!headroom->spec || give_up || !suits (machine, headroom->spec)
              || (!has_zone (headroom, machine->zone) && machine->service_cpus <= 0)))
        machine->reserved_for_services = FALSE;
    }
}

/* Returns: CPUs for replicas on the machines that are reserved in the zone */
static double
reserved_cpus (const HzbMachines *machines, const char *zone)
{
  double cpus = 0;

  for (guint i = 0; i < machines->all->len; i++)
    if (is_reserved_in (machines->all->pdata[i], zone))
      cpus += free_for_replicas (machines->all->pdata[i]);
  return cpus;
}

/* Empty machines beyond what is wanted go back to other work. */
static void
release_surplus (HzbMachines *machines, const char *zone, double reserved, double wanted)
{
  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (is_reserved_in (machine, zone) && machine->service_cpus + machine->queued_service_cpus <= 0
          && reserved - machine->type->cpus >= SURPLUS_FACTOR * wanted)
        {
          machine->reserved_for_services = FALSE;
          reserved -= machine->type->cpus;
        }
    }
}

static void
reserve_in_zone (const HzbHeadroom *headroom, const HzbHeadroomZone *zone, HzbJobs *jobs, HzbMachines *machines)
{
  double wanted = zone->free + zone->waiting, reserved = reserved_cpus (machines, zone->zone);
  HzbMachine *machine;

  while (reserved < wanted && (machine = next_to_reserve (headroom, machines, zone->zone)))
    {
      reserve_machine (jobs, machine);
      reserved += free_for_replicas (machine);
    }
  release_surplus (machines, zone->zone, reserved, wanted);
}

void
hzb_headroom_reserve (const HzbHeadroom *headroom, HzbJobs *jobs, HzbMachines *machines)
{
  gboolean give_up = headroom->spec && any_other_job_waits_in_vain (jobs);

  release_unsuitable (headroom, machines, give_up);
  for (guint z = 0; z < headroom->n_zones && !give_up; z++)
    reserve_in_zone (headroom, &headroom->zones[z], jobs, machines);
}
