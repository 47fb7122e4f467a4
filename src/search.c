#include "search.h"

#define FETCH_WEIGHT 2.0

double
hzb_fetch_s (const HzbMachine *m, const HzbSpec *spec)
{
  double alone = spec->image_gb / MAX (m->type->fetch_gb_per_s, 1e-3);
  if (g_hash_table_contains (m->images, spec->image))
    return 0;
  if (g_hash_table_contains (m->expected, spec->image))
    return 0.5 * alone;
  /* A machine fetches once for all tasks of the image, and fetches share the rate: images that are kept
   * together cost less than the wait of the one task says. */
  return FETCH_WEIGHT * alone * (1 + g_hash_table_size (m->expected));
}

typedef struct
{
  double cost;
  guint at; /* of two equal offers the earlier machine's goes first */
  HzbMachine *m;
} Offer;

#define NO_ROOM_S 3.0 /* lower work has to be stopped first */

/* A replica never ends, so what counts is not how long it would take but how soon it can be there. */
static double
replica_cost (const HzbSearch *search, const HzbMachine *m)
{
  const HzbSpec *spec = search->job->spec;
  double until_report = search->d->settings->report_s - hzb_time_between (m->last_report, search->now);
  gboolean room = m->cpus + m->listed_service_cpus + spec->cpus <= m->type->cpus + 1e-6
                  && m->memory + m->listed_service_memory + spec->memory_gb <= m->type->memory_gb + 1e-6;
  return MAX (until_report, 0) + hzb_fetch_s (m, spec) + (room ? 0 : NO_ROOM_S);
}

static double
offer_cost (const HzbSearch *search, HzbMachine *m)
{
  guint v = m->service_cpus > 0 ? hzb_machine_speed (m, search->job->spec) : (guint) search->speeds[m->type->index];
  HzbEstimate *estimate = &m->estimates[search->job->level];
  if (search->job->spec->service)
    return replica_cost (search, m);
  hzb_estimate_shift (estimate, search->now);
  return hzb_estimate_mean (estimate) + search->d->h * hzb_job_mean_s (search->job) / MAX (v, 1)
         + hzb_fetch_s (m, search->job->spec);
}

/* samePlace and spread, counting what is listed too. */
static gboolean
zone_is_open (const HzbSearch *search, const HzbMachine *m)
{
  const HzbJob *job = search->job;
  guint here;
  if (!search->in_zone)
    return TRUE;
  here = GPOINTER_TO_UINT (g_hash_table_lookup (search->in_zone, m->zone));
  return (!job->spec->same_zone || here == search->placed)
         && (!job->spec->spread || here + 1 <= (job->n_tasks + 1) / 2);
}

static gboolean
may_take (const HzbSearch *search, const HzbMachine *m)
{
  const HzbSpec *spec = search->job->spec;
  if (!zone_is_open (search, m) || (spec->service ? !hzb_machine_takes_replica (m, spec) : m->reserved)
      || (m->service_cpus > 0 && hzb_machine_speed (m, spec) < 1))
    return FALSE;
  return hzb_machine_usable (m) && search->speeds[m->type->index] >= 1 /* those that hold none are skipped */
         && (spec->spot || !m->spot) && (!spec->zone || g_str_equal (spec->zone, m->zone))
         && !hzb_machine_avoids (m, search->job, search->now);
}

static gboolean
goes_first (const Offer *a, const Offer *b)
{
  return a->cost < b->cost || (a->cost == b->cost && a->at < b->at);
}

static void
sift_down (GArray *heap, guint at)
{
  Offer *offers = (Offer *) (gpointer) heap->data;
  for (;;)
    {
      guint least = at;
      for (guint child = 2 * at + 1; child <= 2 * at + 2 && child < heap->len; child++)
        if (goes_first (&offers[child], &offers[least]))
          least = child;
      if (least == at)
        return;
      Offer swap = offers[at];
      offers[at] = offers[least];
      offers[least] = swap;
      at = least;
    }
}

void
hzb_search_clear (HzbSearch *search)
{
  g_free (search->speeds);
  g_clear_pointer (&search->in_zone, g_hash_table_unref);
  g_array_unref (search->heap);
}

static void
count_zone (HzbSearch *search, const HzbMachine *m)
{
  guint here = GPOINTER_TO_UINT (g_hash_table_lookup (search->in_zone, m->zone));
  g_hash_table_insert (search->in_zone, g_strdup (m->zone), GUINT_TO_POINTER (here + 1));
  search->placed++;
}

void
hzb_search_begin (HzbSearch *search, HzbDispatch *d, HzbJob *job, struct timespec now)
{
  GPtrArray *types = d->machines->types;
  search->d = d;
  search->job = job;
  search->now = now;
  search->heap = g_array_new (FALSE, FALSE, sizeof (Offer));
  search->speeds = g_new0 (double, types ? types->len + 1 : 1);
  for (guint i = 0; types && i < types->len; i++)
    search->speeds[i] = hzb_type_speed (types->pdata[i], job->spec);
  if (!job->spec->spread && !job->spec->same_zone)
    return;
  search->in_zone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; (job->placed || job->listed) && i < job->n_tasks; i++)
    if (job->tasks[i].machine)
      count_zone (search, job->tasks[i].machine);
}

void
hzb_search_look (HzbSearch *search, guint examined)
{
  HzbDispatch *d = search->d;
  guint n = d->usable->len;
  gboolean some = examined && examined < n; /* all, if that is no more */
  guint first = some ? (guint) g_rand_int_range (d->rand, 0, (gint32) n) : 0, step = some ? n / examined : 1;

  g_array_set_size (search->heap, 0);
  if (!some)
    examined = n;
  d->examined += examined;
  for (guint i = 0; i < examined; i++)
    {
      Offer offer = { 0, (first + i * step) % n, NULL };
      offer.m = d->usable->pdata[offer.at];
      if (!may_take (search, offer.m))
        continue;
      offer.cost = offer_cost (search, offer.m);
      g_array_append_val (search->heap, offer);
    }
  for (guint i = search->heap->len / 2; i-- > 0;)
    sift_down (search->heap, i);
}

HzbMachine *
hzb_search_best (const HzbSearch *search)
{
  return search->heap->len ? g_array_index (search->heap, Offer, 0).m : NULL;
}

static void
drop_best (HzbSearch *search)
{
  g_array_index (search->heap, Offer, 0) = g_array_index (search->heap, Offer, search->heap->len - 1);
  g_array_set_size (search->heap, search->heap->len - 1);
  if (search->heap->len)
    sift_down (search->heap, 0);
}

void
hzb_search_sent (HzbSearch *search)
{
  Offer *best = &g_array_index (search->heap, Offer, 0);
  if (search->in_zone)
    count_zone (search, best->m);
  best->cost = offer_cost (search, best->m);
  sift_down (search->heap, 0);
  /* A zone that has half of a job's tasks by now, or a machine that is full of replicas, takes no more. */
  while ((search->in_zone || search->job->spec->service) && search->heap->len
         && !may_take (search, g_array_index (search->heap, Offer, 0).m))
    drop_best (search);
}
