#include "fleet.h"

#include "keep.h"

#include <math.h>
#include <string.h>

typedef struct
{
  struct timespec until;
  double pause;
} Refusal;

/* One job's part of what machines are needed for. */
typedef struct
{
  double work_s;  /* unit-seconds left */
  double at_once; /* units that can be in use at once */
  double within_s; /* how soon its tasks should all have started */
  double unit;     /* of one task */
} Part;

/* Work that the same machines may do. Its unit is the CPU, or the GPU where it uses any. */
typedef struct
{
  const HzbSpec *spec; /* one of its jobs: what holds it, zone and kind are the same for all */
  const char *zone;    /* the only one; NULL: any */
  char *name;
  gboolean gpus;
  gboolean services; /* room kept for replicas, on machines that the cloud doesn't take back */
  GArray *parts; /* Part */
  double memory_per_cpu;
} Need;

HzbFleet *
hzb_fleet_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings)
{
  HzbFleet *f = g_new0 (HzbFleet, 1);
  f->jobs = jobs;
  f->machines = machines;
  f->settings = settings;
  f->idle_s = 40;
  f->patience = 0.6;
  f->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
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
  g_array_unref (((Need *) data)->parts);
  g_free (data);
}

static gint
by_choice (gconstpointer a, gconstpointer b)
{
  /* What fits fewer machines is served first: what is rented for it can serve the others too. */
  const Need *x = *(Need *const *) a, *y = *(Need *const *) b;
  return (int) strlen (y->name) - (int) strlen (x->name);
}

/* Within what time from now all of a job's tasks should have been started. */
static double
start_within_s (HzbFleet *f, const HzbJob *job, struct timespec now)
{
  double slack = hzb_job_slack_s (f->settings, job, now, NULL);
  return CLAMP (f->patience * slack, 10, 150);
}

static char *
types_holding (HzbFleet *f, const HzbSpec *spec)
{
  GString *names = g_string_new (NULL);
  for (guint t = 0; f->machines->types && t < f->machines->types->len; t++)
    if (hzb_type_holds (f->machines->types->pdata[t], spec))
      g_string_append_printf (names, "%s,", ((HzbMachineType *) f->machines->types->pdata[t])->name);
  return g_string_free (names, FALSE);
}

/* All tasks of the job go to one zone: the one that has most machines for it, or else the first that could. */
static const char *
zone_for (HzbFleet *f, const HzbSpec *spec)
{
  const char *best = NULL;
  double most = -1;

  if (spec->zone || !spec->same_zone)
    return spec->zone;
  for (guint t = 0; f->machines->types && t < f->machines->types->len; t++)
    {
      const HzbMachineType *type = f->machines->types->pdata[t];
      for (guint z = 0; hzb_type_holds (type, spec) && type->zones[z]; z++)
        {
          double cpus = 0;
          for (guint k = 0; k < f->machines->all->len; k++)
            {
              const HzbMachine *m = f->machines->all->pdata[k];
              if (m->type && !m->wanted_back && g_str_equal (m->zone, type->zones[z]) && hzb_type_holds (m->type, spec))
                cpus += m->type->cpus;
            }
          if (cpus > most)
            {
              most = cpus;
              best = type->zones[z];
            }
        }
    }
  return best;
}

/* Tasks on machines that take no more: they end there, or are moved, and need no other machine until then. */
static guint
leaving (const HzbJob *job)
{
  guint n = MIN (job->lent_leaving, job->placed);
  for (guint k = 0; job->placed && k < job->n_tasks; k++)
    n += hzb_task_on_machine (&job->tasks[k]) && job->tasks[k].machine->spare;
  return MIN (n, job->placed);
}

/* Replicas never end: the room that they take is taken for good, and a little more is kept. */
static void
add_services (HzbFleet *f, GPtrArray *all)
{
  HzbKeep keep = hzb_keep_plan (f->jobs, f->machines);
  g_autofree char *types = keep.spec ? types_holding (f, keep.spec) : NULL;

  for (guint z = 0; z < keep.n_zones; z++)
    {
      Need *need = g_new0 (Need, 1);
      Part part = { 0, keep.zones[z].placed + keep.zones[z].waiting + keep.zones[z].free, 0, keep.spec->cpus };
      need->spec = keep.spec;
      need->zone = keep.zones[z].zone;
      need->name = g_strdup_printf ("%s@%s!ordinary!services", types, need->zone);
      need->services = TRUE;
      need->parts = g_array_new (FALSE, FALSE, sizeof (Part));
      if (keep.spec->cpus > 0)
        need->memory_per_cpu = keep.spec->memory_gb / keep.spec->cpus;
      g_array_append_val (need->parts, part);
      g_ptr_array_add (all, need);
    }
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
      Part part;
      double tasks, placed, at_once, unit;
      const char *zone;
      if (job->state != HZB_JOB_ACCEPTED || (hzb_time_before (now, job->not_before) && !job->placed))
        continue;
      placed = job->placed - leaving (job);
      cpus_left[job->team] -= (job->placed - placed) * spec->cpus; /* they count all the same */
      gpus_left[job->team] -= (job->placed - placed) * spec->gpus;
      tasks = job->pending + job->listed + job->unknown + placed;
      at_once = tasks;
      if (spec->cpus > 0)
        at_once = MIN (at_once, floor (cpus_left[job->team] / spec->cpus + 1e-9));
      if (spec->gpus > 0)
        at_once = MIN (at_once, floor (gpus_left[job->team] / spec->gpus + 1e-9));
      if (at_once < 1)
        continue;
      if (spec->service && spec->gpus <= 0)
        {
          cpus_left[job->team] -= at_once * spec->cpus;
          continue; /* with all services, see add_services() */
        }
      cpus_left[job->team] -= at_once * spec->cpus;
      gpus_left[job->team] -= at_once * spec->gpus;
      /* By what holds a task, not by what it names: a large task is not served by small machines. */
      types = types_holding (f, spec);
      zone = zone_for (f, spec);
      name = g_strdup_printf ("%s%s%s%s%s", types, zone ? "@" : "", zone ? zone : "",
                              spec->spot ? "" : "!ordinary", spec->gpus > 0 ? "!gpus" : "");
      for (guint k = 0; k < all->len && !need; k++)
        if (g_str_equal (((Need *) all->pdata[k])->name, name))
          need = all->pdata[k];
      if (!need)
        {
          need = g_new0 (Need, 1);
          need->spec = spec;
          need->zone = zone;
          need->name = g_steal_pointer (&name);
          need->gpus = spec->gpus > 0;
          need->parts = g_array_new (FALSE, FALSE, sizeof (Part));
          g_ptr_array_add (all, need);
        }
      unit = need->gpus ? spec->gpus : spec->cpus;
      part.unit = unit;
      part.at_once = at_once * unit;
      /* A task that runs is half over on the whole; a gang's tasks are needed together. */
      part.work_s = (tasks - placed * 0.5) * unit * hzb_job_mean_s (job);
      part.within_s = spec->gang || spec->service ? 0 : start_within_s (f, job, now);
      g_array_append_val (need->parts, part);
      if (spec->cpus > 0)
        need->memory_per_cpu = MAX (need->memory_per_cpu, spec->memory_gb / spec->cpus);
    }
  add_services (f, all);
  g_ptr_array_sort (all, by_choice);
  return all;
}

/* Units that are worth having at a price of so many times the lowest: dearer machines are taken only for
 * work that the cheap ones would leave waiting for longer. */
static double
wanted (const Need *need, double dearness)
{
  double sum = 0, slack = cbrt (MAX (dearness, 1)), least = 0;
  for (guint i = 0; i < need->parts->len; i++)
    {
      const Part *part = &g_array_index (need->parts, Part, i);
      sum += part->within_s > 0 ? MIN (part->at_once, part->work_s / (part->within_s * slack)) : part->at_once;
      least = MAX (least, part->unit);
    }
  /* However little work there is, it needs room for its largest task, at any price. */
  return MAX (sum, least);
}

/* What of a machine this work can use. */
static double
useful_units (const HzbMachineType *type, const Need *need)
{
  double cpus = type->cpus;
  if (need->gpus)
    return type->gpus;
  if (need->memory_per_cpu > 0)
    cpus = MIN (cpus, type->memory_gb / need->memory_per_cpu);
  return cpus;
}

static gboolean
kind_fits (const HzbMachineType *type, const char *zone, gboolean spot, const Need *need)
{
  return hzb_type_holds (type, need->spec) && ((need->spec->spot && !need->services) || !spot) && (!need->zone || g_str_equal (need->zone, zone));
}

static double
unit_price (const HzbMachineType *type, gboolean spot, const Need *need)
{
  double units = useful_units (type, need);
  return units > 0 ? (spot ? type->spot_price : type->price) / units : INFINITY;
}

/* Boot time is paid and brings nothing. */
static double
with_boot (const HzbMachineType *type, double price)
{
  return price * (1 + type->boot_s / 80);
}

static double
cheapest (HzbFleet *f, const Need *need, gboolean boot)
{
  double least = INFINITY;
  for (guint t = 0; t < f->machines->types->len; t++)
    {
      const HzbMachineType *type = f->machines->types->pdata[t];
      for (guint z = 0; type->zones[z]; z++)
        for (gint spot = 0; spot < 2; spot++)
          if (kind_fits (type, type->zones[z], spot, need))
            {
              double price = unit_price (type, spot, need);
              least = MIN (least, boot ? with_boot (type, price) : price);
            }
    }
  return least;
}

/* What there is for this work, and will be soon. */
static double
supply (HzbFleet *f, const Need *need, struct timespec now)
{
  double have = 0;
  for (guint k = 0; k < f->machines->all->len; k++)
    {
      const HzbMachine *m = f->machines->all->pdata[k];
      if (!m->type || m->wanted_back || m->spare || !kind_fits (m->type, m->zone, m->spot, need)
          || (m->kept && !need->services))
        continue;
      if (m->state == HZB_MACHINE_ACTIVE || m->state == HZB_MACHINE_UNHEARD || m->state == HZB_MACHINE_LENT
          || (m->state == HZB_MACHINE_BOOTING && hzb_time_between (m->rented, now) < MAX (30, 2.5 * m->type->boot_s)))
        have += useful_units (m->type, need) - (need->services || need->gpus ? 0 : m->service_cpus);
    }
  return have;
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
      double have = supply (f, need, now), least_price = cheapest (f, need, TRUE);
      g_autoptr (GHashTable) tried = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

      for (guint k = 0; k < out->len; k++)
        {
          const HzbRental *r = &g_array_index (out, HzbRental, k);
          if (kind_fits (r->type, r->zone, r->spot, need))
            have += r->count * useful_units (r->type, need);
        }
      /* Spare machines that are still here come back before anything is rented. */
      for (guint k = 0; k < f->machines->all->len && have + 1e-6 < wanted (need, 1); k++)
        {
          HzbMachine *m = f->machines->all->pdata[k];
          if (m->spare && !m->wanted_back && (m->state == HZB_MACHINE_ACTIVE || m->state == HZB_MACHINE_LENT) && m->type
              && kind_fits (m->type, m->zone, m->spot, need)
              && have + 1e-6 < wanted (need, unit_price (m->type, m->spot, need) / cheapest (f, need, FALSE)))
            {
              m->spare = FALSE;
              m->idle_since = now;
              have += useful_units (m->type, need);
            }
        }
      while (out->len < 8)
        {
          const HzbMachineType *best = NULL;
          const char *best_zone = NULL;
          gboolean best_spot = FALSE;
          double least = INFINITY, units, lack;
          HzbRental rental;
          for (guint t = 0; t < types->len; t++)
            {
              const HzbMachineType *type = types->pdata[t];
              for (guint z = 0; type->zones[z]; z++)
                for (gint spot = 0; spot < 2; spot++)
                  {
                    g_autofree char *name = offer_name (type, type->zones[z], spot);
                    const Refusal *refusal = g_hash_table_lookup (f->refused, name);
                    double cost = with_boot (type, unit_price (type, spot, need));
                    if (!kind_fits (type, type->zones[z], spot, need) || !isfinite (cost)
                        || g_hash_table_contains (tried, name) || (refusal && hzb_time_before (now, refusal->until)))
                      continue;
                    if (cost < least)
                      {
                        least = cost;
                        best = type;
                        best_zone = type->zones[z];
                        best_spot = spot;
                      }
                  }
            }
          if (!best)
            break;
          units = useful_units (best, need);
          lack = wanted (need, least / least_price) - have;
          if (lack < (have > 0 ? MIN (1, units * 0.25) : 1e-6))
            break; /* what is dearer is wanted still less */
          rental = (HzbRental){ best, best_zone, best_spot, (guint) CLAMP (ceil (lack / units - 0.25), 1, 50) };
          g_array_append_val (out, rental);
          g_hash_table_add (tried, offer_name (best, best_zone, best_spot));
          have += rental.count * units;
        }
    }
  return out;
}

typedef struct
{
  HzbMachine *m;
  double price;
} Candidate;

static gint
dearest_first (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a, *y = b;
  if (fabs (x->price - y->price) > 1e-9)
    return x->price > y->price ? -1 : 1;
  return (int) x->m->tasks->len - (int) y->m->tasks->len;
}

/* Machines beyond what is wanted take no new tasks, the dearest first; once empty they go back. Spreading work
 * evenly, as the dispatch rule does, would keep every one of them half full for as long as there is any work. */
static void
mark_spare (HzbFleet *f, struct timespec now)
{
  g_autoptr (GPtrArray) all = needs (f, now);
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  guint kinds = f->machines->types ? 2 * f->machines->types->len : 0;
  g_autofree double *have = g_new0 (double, all->len + 1), *want = g_new0 (double, all->len * kinds + 1);
  double total = 0, ease = 1 - exp (-1.0 / 12);

  if (!f->machines->types)
    return; /* a node may lead before the cloud has told it of the types */
  for (guint i = 0; i < all->len; i++)
    {
      const Need *need = all->pdata[i];
      double least = cheapest (f, need, FALSE);
      have[i] = supply (f, need, now);
      total += wanted (need, 1);
      /* There are few kinds of machines, but many machines: what is wanted is counted once a kind. */
      for (guint k = 0; k < kinds; k++)
        want[i * kinds + k] = wanted (need, unit_price (f->machines->types->pdata[k / 2], k % 2, need) / least);
    }
  f->usual += (total - f->usual) * ease; /* called once a second */
  for (guint i = 0; i < f->machines->all->len; i++)
    {
      HzbMachine *m = f->machines->all->pdata[i];
      Candidate c = { m, 0 };
      if ((m->state != HZB_MACHINE_ACTIVE && m->state != HZB_MACHINE_LENT) || m->spare || m->wanted_back || !m->type
          || m->kept || m->service_cpus > 0)
        continue;
      c.price = (m->spot ? m->type->spot_price : m->type->price) / MAX (m->type->cpus, 1e-3);
      g_array_append_val (candidates, c);
    }
  g_array_sort (candidates, dearest_first);
  for (guint k = 0; k < candidates->len; k++)
    {
      HzbMachine *m = g_array_index (candidates, Candidate, k).m;
      gboolean surplus = TRUE;
      for (guint i = 0; i < all->len && surplus; i++)
        {
          const Need *need = all->pdata[i];
          if (!kind_fits (m->type, m->zone, m->spot, need))
            continue;
          /* More than the present need if there usually is more: jobs come in lumps. */
          surplus = have[i] - useful_units (m->type, need)
                    >= want[i * kinds + 2 * m->type->index + !!m->spot] * MAX (1, f->usual / MAX (total, 1)) * 1.1 + 2;
        }
      if (!surplus)
        {
          m->surplus = 0;
          continue;
        }
      if (++m->surplus < 4)
        continue;
      g_debug ("machine %s is spare", m->name);
      m->spare = TRUE;
      for (guint i = 0; i < all->len; i++)
        if (kind_fits (m->type, m->zone, m->spot, all->pdata[i]))
          have[i] -= useful_units (m->type, all->pdata[i]);
    }
}

GPtrArray *
hzb_fleet_returns (HzbFleet *f, struct timespec now)
{
  GPtrArray *out = g_ptr_array_new ();
  HzbKeep keep = hzb_keep_plan (f->jobs, f->machines);

  hzb_keep_mark (&keep, f->jobs, f->machines);
  mark_spare (f, now);
  for (guint i = 0; i < f->machines->all->len; i++)
    {
      HzbMachine *m = f->machines->all->pdata[i];
      double age = hzb_time_between (m->rented, now), idle = hzb_time_between (m->idle_since, now);
      if (m->wanted_back || m->kept)
        continue;
      if (m->spare && hzb_machine_listed (m))
        hzb_machine_empty_lists (f->jobs, m);
      if (m->state == HZB_MACHINE_ACTIVE && m->tasks->len == 0 && hzb_machine_listed (m) == 0
          && age > 55 /* the first minute is paid in any case */ && (m->spare ? idle > 2 : idle > f->idle_s))
        g_ptr_array_add (out, m);
      else if (m->state == HZB_MACHINE_BOOTING && age > (m->type ? MAX (40, 2.2 * m->type->boot_s) : 300))
        g_ptr_array_add (out, m); /* some never come up */
    }
  return out;
}
