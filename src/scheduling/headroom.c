#include "headroom.h"

#include <math.h>

#define OTHERS_WAIT_S 45.0

/* A machine that may be kept for such replicas: one that the cloud doesn't take back. */
static gboolean
suits (const HzbMachine *machine, const HzbJobSpec *spec, const char *zone)
{
  return machine->type && !machine->spot && !machine->scale_in_requested && !machine->unreachable
         && hzb_type_holds (machine->type, spec)
         && (machine->state == HZB_MACHINE_ACTIVE || machine->state == HZB_MACHINE_LEASED
             || machine->state == HZB_MACHINE_BOOTING || machine->state == HZB_MACHINE_UNVERIFIED)
         && (!zone || g_str_equal (zone, machine->zone));
}

static double
free_for_replicas (const HzbMachine *machine)
{
  return machine->type->cpus - machine->service_cpus - machine->queued_service_cpus;
}

/* Zones with replicas or kept machines go first, or room would be kept in ever other zones; then those with most to
 * choose from. */
static double
zone_rank (const HzbMachines *machines, const HzbJobSpec *spec, const char *zone)
{
  double rank = 0;
  for (guint i = 0; i < machines->all->len; i++)
    {
      const HzbMachine *machine = machines->all->pdata[i];
      if (!machine->type || machine->spot || !g_str_equal (machine->zone, zone) || !hzb_type_holds (machine->type, spec)
          || machine->state == HZB_MACHINE_RETURNING || machine->state == HZB_MACHINE_LEASE_EXPIRED)
        continue;
      rank += machine->type->cpus + 100 * machine->service_cpus
              + (machine->reserved_for_services ? 20 * machine->type->cpus : 0);
    }
  return rank;
}

static void
choose_zones (HzbHeadroom *headroom, const HzbMachines *machines)
{
  double ranks[HZB_HEADROOM_ZONES] = { 0 };

  for (guint t = 0; t < machines->types->len; t++)
    {
      const HzbMachineType *type = machines->types->pdata[t];
      for (guint z = 0; hzb_type_holds (type, headroom->spec) && type->zones[z]; z++)
        {
          const char *zone = type->zones[z];
          double rank = zone_rank (machines, headroom->spec, zone);
          gboolean known = FALSE;
          guint at;
          for (guint k = 0; k < headroom->n_zones; k++)
            known = known || g_str_equal (headroom->zones[k].zone, zone);
          if (known)
            continue;
          if (headroom->n_zones < HZB_HEADROOM_ZONES)
            at = headroom->n_zones++;
          else
            {
              at = 0;
              for (guint k = 1; k < HZB_HEADROOM_ZONES; k++)
                if (ranks[k] < ranks[at])
                  at = k;
              if (ranks[at] >= rank)
                continue;
            }
          headroom->zones[at].zone = zone;
          ranks[at] = rank;
        }
    }
}

HzbHeadroom
hzb_headroom_plan (const HzbJobs *jobs, const HzbMachines *machines)
{
  HzbHeadroom headroom = { 0 };
  double waiting = 0, largest = 0;

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
      headroom.zones[z].waiting = waiting / headroom.n_zones;
      headroom.zones[z].free = largest;
      for (guint i = 0; i < machines->all->len; i++)
        {
          const HzbMachine *machine = machines->all->pdata[i];
          if (machine->service_cpus > 0 && g_str_equal (machine->zone, headroom.zones[z].zone))
            headroom.zones[z].placed += machine->service_cpus;
        }
    }
  return headroom;
}

/* Guards against kept room that stands empty while other work waits and waits: replicas can have it stopped. */
static const HzbJob *
waits_long (HzbJobs *jobs)
{
  struct timespec now = hzb_clock_now (jobs->clock);
  const HzbJob *found = NULL;

  for (guint i = 0; i < jobs->active->len; i++)
    {
      HzbJob *job = jobs->active->pdata[i];
      guint begun = job->placed + job->finished + job->done;
      if (!job->spec || job->spec->kind == HZB_JOB_SERVICE || job->state != HZB_JOB_ACCEPTED)
        continue;
      if (!(job->pending || job->queued) || begun > job->begun || !hzb_time_is_set (job->waits_since)
          || !hzb_shard_fits (jobs->shard, job->team, job->spec->cpus, job->spec->gpus))
        job->waits_since = now;
      else if (hzb_time_between (job->waits_since, now) > OTHERS_WAIT_S)
        found = job;
      job->begun = begun;
    }
  return found;
}

/* The one that can serve soonest: ours, with replicas already, and with the least other work to wait for. One that still
 * boots is kept from the start, or it would be leased as soon as it is up. */
static HzbMachine *
next_to_reserve (const HzbHeadroom *headroom, HzbMachines *machines, const char *zone)
{
  HzbMachine *best = NULL;
  double least = INFINITY;
  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      double cost = (machine->state == HZB_MACHINE_LEASED   ? 1000
                     : machine->state == HZB_MACHINE_ACTIVE ? 0
                                                            : 100)
                    + machine->cpus - 100 * machine->service_cpus;
      if (machine->reserved_for_services || !suits (machine, headroom->spec, zone)
          || free_for_replicas (machine) < headroom->spec->cpus || cost >= least)
        continue;
      least = cost;
      best = machine;
    }
  return best;
}

void
hzb_headroom_reserve (const HzbHeadroom *headroom, HzbJobs *jobs, HzbMachines *machines)
{
  const HzbJob *waiting = headroom->spec ? waits_long (jobs) : NULL;

  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      gboolean zone = FALSE;
      for (guint z = 0; z < headroom->n_zones; z++)
        zone = zone || g_str_equal (machine->zone, headroom->zones[z].zone);
      if (machine->reserved_for_services
          && (!headroom->spec || waiting || !suits (machine, headroom->spec, NULL)
              || (!zone && machine->service_cpus <= 0)))
        machine->reserved_for_services = FALSE;
    }
  for (guint z = 0; z < headroom->n_zones && !waiting; z++)
    {
      double free = 0, want = headroom->zones[z].free + headroom->zones[z].waiting;
      HzbMachine *machine;
      for (guint i = 0; i < machines->all->len; i++)
        {
          machine = machines->all->pdata[i];
          if (machine->reserved_for_services && g_str_equal (machine->zone, headroom->zones[z].zone))
            free += free_for_replicas (machine);
        }
      while (free < want && (machine = next_to_reserve (headroom, machines, headroom->zones[z].zone)))
        {
          machine->reserved_for_services = TRUE;
          machine->scale_in_candidate = FALSE;
          if (machine->state == HZB_MACHINE_ACTIVE)
            hzb_machine_clear_run_queues (jobs, machine);
          free += free_for_replicas (machine);
        }
      /* More than is needed goes back to other work, with some slack so that none goes back and forth. */
      for (guint i = 0; i < machines->all->len; i++)
        {
          machine = machines->all->pdata[i];
          if (machine->reserved_for_services && g_str_equal (machine->zone, headroom->zones[z].zone)
              && machine->service_cpus + machine->queued_service_cpus <= 0 && free - machine->type->cpus >= 1.5 * want)
            {
              machine->reserved_for_services = FALSE;
              free -= machine->type->cpus;
            }
        }
    }
}
