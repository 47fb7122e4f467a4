#include "search.h"

typedef struct
{
  double cost;
  guint at; /* of two equal offers the earlier machine's goes first */
  HzbMachine *machine;
} Offer;

#define NO_ROOM_S 3.0 /* lower work has to be stopped first */

/* A replica never ends, so what counts is not how long it would take but how soon it can be there. */
static double
replica_cost (const HzbSearch *search, const HzbMachine *machine)
{
  const HzbJobSpec *spec = search->job->spec;
  double until_report =
      search->dispatch->settings->heartbeat_interval_s - hzb_time_between (machine->last_heartbeat, search->now);
  gboolean room =
      machine->cpus + machine->queued_service_cpus + spec->cpus <= machine->type->cpus + 1e-6
      && machine->memory + machine->queued_service_memory + spec->memory_gb <= machine->type->memory_gb + 1e-6;
  return MAX (until_report, 0) + hzb_fetch_s (machine, spec) + (room ? 0 : NO_ROOM_S);
}

static double
offer_cost (const HzbSearch *search, HzbMachine *machine)
{
  guint v = machine->service_cpus > 0 ? hzb_machine_speed (machine, search->job->spec)
                                      : (guint) search->speeds[machine->type->index];
  HzbEstimate *estimate = &machine->estimates[search->job->scheduling_class];
  if (search->job->spec->kind == HZB_JOB_SERVICE)
    return replica_cost (search, machine);
  hzb_estimate_shift (estimate, search->now);
  return hzb_estimate_mean (estimate) + search->dispatch->h * hzb_job_mean_s (search->job) / MAX (v, 1)
         + hzb_fetch_s (machine, search->job->spec);
}

/* samePlace and spread, counting what is listed too. */
static gboolean
zone_is_open (const HzbSearch *search, const HzbMachine *machine)
{
  const HzbJob *job = search->job;
  guint here;
  if (!search->in_zone)
    return TRUE;
  here = GPOINTER_TO_UINT (g_hash_table_lookup (search->in_zone, machine->zone));
  return (!job->spec->same_zone || here == search->placed)
         && (!job->spec->spread || here + 1 <= (job->n_tasks + 1) / 2);
}

static gboolean
may_take (const HzbSearch *search, const HzbMachine *machine)
{
  const HzbJobSpec *spec = search->job->spec;
  if (!zone_is_open (search, machine)
      || (spec->kind == HZB_JOB_SERVICE ? !hzb_machine_takes_replica (machine, spec) : machine->reserved_for_services)
      || (machine->service_cpus > 0 && hzb_machine_speed (machine, spec) < 1))
    return FALSE;
  return hzb_machine_usable (machine)
         && search->speeds[machine->type->index] >= 1 /* those that hold none are skipped */
         && (spec->spot || !machine->spot) && (!spec->zone || g_str_equal (spec->zone, machine->zone))
         && !hzb_machine_avoids (machine, search->job, search->now);
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
count_zone (HzbSearch *search, const HzbMachine *machine)
{
  guint here = GPOINTER_TO_UINT (g_hash_table_lookup (search->in_zone, machine->zone));
  g_hash_table_insert (search->in_zone, g_strdup (machine->zone), GUINT_TO_POINTER (here + 1));
  search->placed++;
}

void
hzb_search_begin (HzbSearch *search, HzbDispatch *dispatch, HzbJob *job, struct timespec now)
{
  GPtrArray *types = dispatch->machines->types;
  search->dispatch = dispatch;
  search->job = job;
  search->now = now;
  search->heap = g_array_new (FALSE, FALSE, sizeof (Offer));
  search->speeds = g_new0 (double, types ? types->len + 1 : 1);
  for (guint i = 0; types && i < types->len; i++)
    search->speeds[i] = hzb_type_speed (types->pdata[i], job->spec);
  if (!job->spec->spread && !job->spec->same_zone)
    return;
  search->in_zone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; (job->placed || job->queued) && i < job->n_tasks; i++)
    if (job->tasks[i].machine)
      count_zone (search, job->tasks[i].machine);
}

void
hzb_search_look (HzbSearch *search, guint examined)
{
  HzbDispatch *dispatch = search->dispatch;
  guint n = dispatch->usable->len;
  gboolean some = examined && examined < n; /* all, if that is no more */
  guint first = some ? (guint) g_rand_int_range (dispatch->rand, 0, (gint32) n) : 0, step = some ? n / examined : 1;

  g_array_set_size (search->heap, 0);
  if (!some)
    examined = n;
  dispatch->examined += examined;
  for (guint i = 0; i < examined; i++)
    {
      Offer offer = { 0, (first + i * step) % n, NULL };
      offer.machine = dispatch->usable->pdata[offer.at];
      if (!may_take (search, offer.machine))
        continue;
      offer.cost = offer_cost (search, offer.machine);
      g_array_append_val (search->heap, offer);
    }
  for (guint i = search->heap->len / 2; i-- > 0;)
    sift_down (search->heap, i);
}

HzbMachine *
hzb_search_best (const HzbSearch *search)
{
  return search->heap->len ? g_array_index (search->heap, Offer, 0).machine : NULL;
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
    count_zone (search, best->machine);
  best->cost = offer_cost (search, best->machine);
  sift_down (search->heap, 0);
  /* A zone that has half of a job's tasks by now, or a machine that is full of replicas, takes no more. */
  while ((search->in_zone || search->job->spec->kind == HZB_JOB_SERVICE) && search->heap->len
         && !may_take (search, g_array_index (search->heap, Offer, 0).machine))
    drop_best (search);
}
