#include "fleet.h"

#include <math.h>
#include <string.h>

typedef struct
{
  struct timespec until;
  double pause;
} Refusal;

/* Work that the same machines may do. */
typedef struct
{
  const HzbSpec *spec; /* one of its jobs: types, zone and kind are the same for all */
  char *name;
  double cpu_s, cpus; /* work left, and the most that can run at once */
  double gpu_s, gpus;
  double memory_per_cpu;
} Need;

HzbFleet *
hzb_fleet_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings)
{
  HzbFleet *f = g_new0 (HzbFleet, 1);
  f->jobs = jobs;
  f->machines = machines;
  f->settings = settings;
  f->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->horizon_s = 40;
  f->idle_s = 12;
  return f;
}

void
hzb_fleet_free (HzbFleet *f)
{
  g_hash_table_unref (f->refused);
  g_free (f);
}

static char *
offer_name (const HzbMachineType *type, const char *zone, gboolean spot)
{
  return g_strdup_printf ("%s %s %s", type->name, zone, spot ? "spot" : "ordinary");
}

void
hzb_fleet_refused (HzbFleet *f, const HzbRental *rental, struct timespec now)
{
  char *name = offer_name (rental->type, rental->zone, rental->spot);
  Refusal *refusal = g_hash_table_lookup (f->refused, name);
  if (!refusal)
    {
      refusal = g_new0 (Refusal, 1);
      g_hash_table_insert (f->refused, g_strdup (name), refusal);
    }
  refusal->pause = CLAMP (refusal->pause * 1.5, 6, 30);
  refusal->until = hzb_time_plus (now, refusal->pause);
  g_free (name);
}

void
hzb_fleet_granted (HzbFleet *f, const HzbRental *rental)
{
  g_autofree char *name = offer_name (rental->type, rental->zone, rental->spot);
  g_hash_table_remove (f->refused, name);
}

static void
need_free (gpointer data)
{
  g_free (((Need *) data)->name);
  g_free (data);
}

static gint
by_choice (gconstpointer a, gconstpointer b)
{
  /* What fits fewer machines is served first: what is rented for it can serve the others too. */
  const Need *x = *(Need *const *) a, *y = *(Need *const *) b;
  return (int) strlen (y->name) - (int) strlen (x->name);
}

static GPtrArray *
needs (HzbFleet *f, struct timespec now)
{
  GPtrArray *all = g_ptr_array_new_with_free_func (need_free);
  guint n = f->settings->teams->len;
  g_autofree double *cpus_left = g_new0 (double, n), *gpus_left = g_new0 (double, n);

  for (guint i = 0; i < n; i++)
    {
      cpus_left[i] = f->jobs->block->cpus_allowed[i];
      gpus_left[i] = f->jobs->block->gpus_allowed[i];
    }
  for (guint i = 0; i < f->jobs->active->len; i++)
    {
      HzbJob *job = f->jobs->active->pdata[i];
      const HzbSpec *spec = job->spec;
      g_autofree char *types = NULL, *name = NULL;
      Need *need = NULL;
      double tasks, at_once;
      if (job->state != HZB_JOB_ACCEPTED || (hzb_time_before (now, job->not_before) && !job->placed))
        continue;
      tasks = job->pending + job->listed + job->unknown + job->placed;
      at_once = tasks;
      if (spec->cpus > 0)
        at_once = MIN (at_once, floor (cpus_left[job->team] / spec->cpus + 1e-9));
      if (spec->gpus > 0)
        at_once = MIN (at_once, floor (gpus_left[job->team] / spec->gpus + 1e-9));
      if (at_once < 1)
        continue;
      cpus_left[job->team] -= at_once * spec->cpus;
      gpus_left[job->team] -= at_once * spec->gpus;
      types = spec->types ? g_strjoinv (",", spec->types) : g_strdup ("");
      name = g_strdup_printf ("%s%s%s%s", types, spec->zone ? "@" : "", spec->zone ? spec->zone : "", spec->spot ? "" : "!ordinary");
      for (guint k = 0; k < all->len && !need; k++)
        if (g_str_equal (((Need *) all->pdata[k])->name, name))
          need = all->pdata[k];
      if (!need)
        {
          need = g_new0 (Need, 1);
          need->spec = spec;
          need->name = g_steal_pointer (&name);
          g_ptr_array_add (all, need);
        }
      /* A task that runs is half over on the whole. */
      need->cpu_s += (tasks - job->placed * 0.5) * spec->cpus * hzb_job_mean_s (job);
      need->gpu_s += (tasks - job->placed * 0.5) * spec->gpus * hzb_job_mean_s (job);
      need->cpus += at_once * spec->cpus;
      need->gpus += at_once * spec->gpus;
      if (spec->cpus > 0)
        need->memory_per_cpu = MAX (need->memory_per_cpu, spec->memory_gb / spec->cpus);
    }
  g_ptr_array_sort (all, by_choice);
  return all;
}

/* CPUs of a type that this work can use, and the same in the need's scarcer unit. */
static double
useful_units (const HzbMachineType *type, const Need *need, gboolean gpus)
{
  double cpus = type->cpus;
  if (gpus)
    return type->gpus;
  if (need->memory_per_cpu > 0)
    cpus = MIN (cpus, type->memory_gb / need->memory_per_cpu);
  return cpus;
}

static gboolean
kind_fits (const HzbMachineType *type, const char *zone, gboolean spot, const HzbSpec *spec)
{
  return hzb_type_holds (type, spec) && (spec->spot || !spot) && (!spec->zone || g_str_equal (spec->zone, zone));
}

static const HzbRental *
add_rental (GArray *out, const HzbMachineType *type, const char *zone, gboolean spot, guint count)
{
  HzbRental rental = { type, zone, spot, count };
  g_array_append_val (out, rental);
  return &g_array_index (out, HzbRental, out->len - 1);
}

GArray *
hzb_fleet_rentals (HzbFleet *f, struct timespec now)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (HzbRental));
  g_autoptr (GPtrArray) all = needs (f, now);
  GPtrArray *types = f->machines->types;

  for (guint i = 0; types && i < all->len; i++)
    {
      const Need *need = all->pdata[i];
      gboolean gpus = need->gpu_s > 0;
      double work = gpus ? need->gpu_s : need->cpu_s, at_once = gpus ? need->gpus : need->cpus;
      double wanted = MIN (at_once, MAX (work / f->horizon_s, MIN (at_once, 1))), have = 0;
      g_autoptr (GHashTable) tried = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

      for (guint k = 0; k < f->machines->all->len; k++)
        {
          const HzbMachine *m = f->machines->all->pdata[k];
          if (!m->type || m->wanted_back || !kind_fits (m->type, m->zone, m->spot, need->spec))
            continue;
          if (m->state == HZB_MACHINE_ACTIVE || m->state == HZB_MACHINE_UNHEARD
              || (m->state == HZB_MACHINE_BOOTING
                  && hzb_time_between (m->rented, now) < MAX (30, 2.5 * m->type->boot_s)))
            have += useful_units (m->type, need, gpus);
        }
      for (guint k = 0; k < out->len; k++)
        {
          const HzbRental *r = &g_array_index (out, HzbRental, k);
          if (kind_fits (r->type, r->zone, r->spot, need->spec))
            have += r->count * useful_units (r->type, need, gpus);
        }
      while (have + 1e-6 < wanted && out->len < 6)
        {
          const HzbMachineType *best = NULL;
          const char *best_zone = NULL;
          gboolean best_spot = FALSE;
          double least = INFINITY, units;
          guint count;
          for (guint t = 0; t < types->len; t++)
            {
              const HzbMachineType *type = types->pdata[t];
              double room = useful_units (type, need, gpus);
              for (guint z = 0; type->zones[z]; z++)
                for (guint spot = 0; spot < 2; spot++)
                  {
                    g_autofree char *name = offer_name (type, type->zones[z], (gboolean) spot);
                    const Refusal *refusal = g_hash_table_lookup (f->refused, name);
                    double cost;
                    if (!kind_fits (type, type->zones[z], (gboolean) spot, need->spec) || room <= 0
                        || g_hash_table_contains (tried, name) || (refusal && hzb_time_before (now, refusal->until)))
                      continue;
                    /* Boot time is paid and brings nothing; a machine larger than the lack is partly idle. */
                    cost = (spot ? type->spot_price : type->price) * (1 + type->boot_s / (2 * f->horizon_s))
                           / MIN (room, MAX (wanted - have, 0.25 * room));
                    if (cost < least)
                      {
                        least = cost;
                        best = type;
                        best_zone = type->zones[z];
                        best_spot = (gboolean) spot;
                      }
                  }
            }
          if (!best)
            break;
          units = useful_units (best, need, gpus);
          count = (guint) CLAMP (ceil ((wanted - have) / units - 0.25), 1, 50);
          add_rental (out, best, best_zone, best_spot, count);
          g_hash_table_add (tried, offer_name (best, best_zone, best_spot));
          have += count * units;
        }
    }
  return out;
}

GPtrArray *
hzb_fleet_returns (HzbFleet *f, struct timespec now)
{
  GPtrArray *out = g_ptr_array_new ();
  gboolean waiting = FALSE;

  for (guint i = 0; i < f->jobs->active->len; i++)
    {
      const HzbJob *job = f->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED && (job->unknown || job->listed || job->spec->gang))
        waiting = TRUE;
    }
  for (guint i = 0; i < f->machines->all->len; i++)
    {
      HzbMachine *m = f->machines->all->pdata[i];
      double age = hzb_time_between (m->rented, now), idle = hzb_time_between (m->idle_since, now);
      if (m->wanted_back)
        continue;
      if (m->state == HZB_MACHINE_ACTIVE && m->tasks->len == 0 && hzb_machine_listed (m) == 0
          && idle > (waiting ? 2.5 * f->idle_s : f->idle_s) && age > 55)
        g_ptr_array_add (out, m);
      else if (m->state == HZB_MACHINE_BOOTING && m->type && age > MAX (40, 4 * m->type->boot_s))
        g_ptr_array_add (out, m); /* some never come up */
      else if (m->state == HZB_MACHINE_BOOTING && !m->type && age > 300)
        g_ptr_array_add (out, m);
    }
  return out;
}
