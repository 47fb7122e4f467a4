#include "headroom.h"

#include <math.h>

/* The headroom is released once a job that is not a service has been starved for longer than this. */
#define STARVED_AFTER_S 45.0

/* A zone releases machines only if it keeps this many times the CPUs that it wants, so that no machine is reserved and
 * released repeatedly. */
#define SURPLUS_FACTOR 1.5

/* Weights of zone_rank() and reserve_cost(), expressed in CPUs. */
#define RANK_PER_SERVICE_CPU 100
#define RANK_PER_RESERVED_CPU 20
#define COST_PER_SERVICE_CPU 100
#define COST_OF_LEASED 1000
#define COST_OF_NOT_ACTIVE 100

/* ---- selection of zones ---- */

/* Returns: the rank of the zone; higher ranks are selected first. Zones with replicas or reserved machines rank first,
 * since otherwise headroom would move to other zones over time; then the zones with the most CPUs on machines that
 * fit. */
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

/* Adds the zone to the selected zones. If the maximum number is selected already, the new zone replaces the selected
 * zone with the lowest rank, provided that the new zone has a higher rank. */
static void
insert_zone (HzbHeadroom *headroom, double ranks[HZB_HEADROOM_ZONES], const char *zone, double rank)
{
  guint slot = 0;

  if (headroom->n_zones < HZB_HEADROOM_ZONES)
    slot = headroom->n_zones++;
  else
    {
      for (guint z = 1; z < HZB_HEADROOM_ZONES; z++)
        if (ranks[z] < ranks[slot])
          slot = z;
      if (ranks[slot] >= rank)
        return;
    }
  headroom->zones[slot].zone = zone;
  ranks[slot] = rank;
}

static void
select_zones (HzbHeadroom *headroom, const HzbMachines *machines)
{
  double ranks[HZB_HEADROOM_ZONES] = { 0 };

  for (guint t = 0; t < machines->types->len; t++)
    {
      const HzbMachineType *type = machines->types->pdata[t];
      for (guint z = 0; hzb_machine_type_holds (type, headroom->spec) && type->zones[z]; z++)
        if (!has_zone (headroom, type->zones[z]))
          insert_zone (headroom, ranks, type->zones[z], zone_rank (machines, headroom->spec, type->zones[z]));
    }
}

/* ---- wanted headroom ---- */

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
  double waiting = 0, largest = 0; /* CPUs of waiting replicas; CPUs of the largest service and one more replica */

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
  select_zones (&headroom, machines);
  for (guint z = 0; z < headroom.n_zones; z++)
    {
      HzbHeadroomZone *zone = &headroom.zones[z];
      zone->waiting = waiting / headroom.n_zones;
      zone->free = largest;
      zone->placed = service_cpus_in_zone (machines, zone->zone);
    }
  return headroom;
}

/* ---- reservation of machines ---- */

/* Whether the machine may be reserved for replicas with this spec: the machine is up or booting, its type holds a
 * replica, and the cloud does not reclaim the machine. */
static gboolean
is_reservable (const HzbMachine *machine, const HzbJobSpec *spec)
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
free_replica_cpus (const HzbMachine *machine)
{
  return machine->type->cpus - machine->service_cpus - machine->queued_service_cpus;
}

/* Updates HzbJob.started_tasks and HzbJob.starved_since. A job is starved while it has waiting tasks and its team's
 * limit allows one more, but no task of it starts. Returns: whether it has been starved for longer than
 * STARVED_AFTER_S */
static gboolean
update_starvation (HzbJobs *jobs, HzbJob *job, struct timespec now)
{
  guint started_tasks = job->placed + job->finished + job->done;
  gboolean starved = FALSE;

  if (!(job->pending || job->queued) || started_tasks > job->started_tasks || !hzb_time_is_set (job->starved_since)
      || !hzb_shard_fits (jobs->shard, job->team, job->spec->cpus, job->spec->gpus))
    job->starved_since = now;
  else
    starved = hzb_time_between (job->starved_since, now) > STARVED_AFTER_S;
  job->started_tasks = started_tasks;
  return starved;
}

/* Whether any job that is not a service has been starved for too long. The reservations are then released: reserved
 * machines must not stay empty permanently while other work waits, and a replica that needs the room later can preempt
 * that work. The loop examines every job, also after it has found a starved one, to update the state of each. */
static gboolean
any_other_job_starved (HzbJobs *jobs)
{
  struct timespec now = hzb_clock_now (jobs->clock);
  gboolean any_starved = FALSE;

  for (guint i = 0; i < jobs->active->len; i++)
    {
      HzbJob *job = jobs->active->pdata[i];
      if (!job->spec || job->spec->kind == HZB_JOB_SERVICE || job->state != HZB_JOB_ACCEPTED)
        continue;
      any_starved = update_starvation (jobs, job, now) || any_starved;
    }
  return any_starved;
}

/* Returns: the cost of reserving the machine. Active machines of this controller cost the least, then those that are
 * not active yet, then leased ones. Replicas on the machine lower the cost, and CPUs of other tasks, which have to end
 * first, raise it. */
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

/* Returns: (transfer none) (nullable): the machine with the lowest cost that can be reserved. Booting machines are
 * included, since otherwise they would be leased to another controller as soon as they are up. */
static HzbMachine *
find_machine_to_reserve (const HzbHeadroom *headroom, HzbMachines *machines, const char *zone)
{
  HzbMachine *best = NULL;
  double lowest_cost = INFINITY;

  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      double cost = reserve_cost (machine);
      if (machine->reserved_for_services || !is_reservable (machine, headroom->spec)
          || !g_str_equal (zone, machine->zone) || free_replica_cpus (machine) < headroom->spec->cpus
          || cost >= lowest_cost)
        continue;
      lowest_cost = cost;
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

/* Ends the reservation of machines that are no longer suitable; of all machines if @release_all. */
static void
release_unsuitable (const HzbHeadroom *headroom, HzbMachines *machines, gboolean release_all)
{
  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (machine->reserved_for_services
          && (!headroom->spec || release_all || !is_reservable (machine, headroom->spec)
              || (!has_zone (headroom, machine->zone) && machine->service_cpus <= 0)))
        machine->reserved_for_services = FALSE;
    }
}

/* Returns: CPUs that are free for replicas on the machines that are reserved in the zone */
static double
reserved_cpus (const HzbMachines *machines, const char *zone)
{
  double cpus = 0;

  for (guint i = 0; i < machines->all->len; i++)
    if (is_reserved_in (machines->all->pdata[i], zone))
      cpus += free_replica_cpus (machines->all->pdata[i]);
  return cpus;
}

/* Ends the reservation of machines without placed or queued replicas, as long as SURPLUS_FACTOR times the wanted CPUs
 * stay reserved. */
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

  while (reserved < wanted && (machine = find_machine_to_reserve (headroom, machines, zone->zone)))
    {
      reserve_machine (jobs, machine);
      reserved += free_replica_cpus (machine);
    }
  release_surplus (machines, zone->zone, reserved, wanted);
}

void
hzb_headroom_reserve (const HzbHeadroom *headroom, HzbJobs *jobs, HzbMachines *machines)
{
  gboolean release_all = headroom->spec && any_other_job_starved (jobs);

  release_unsuitable (headroom, machines, release_all);
  for (guint z = 0; z < headroom->n_zones && !release_all; z++)
    reserve_in_zone (headroom, &headroom->zones[z], jobs, machines);
}
