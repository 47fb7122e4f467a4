#include "search.h"

#include "rounding.h"

/* Seconds that a replica waits longer where lower work has to be stopped for it first. */
#define NO_ROOM_S 3.0

/* What a machine offers a task. */
typedef struct
{
  double cost; /* U + h/v and the fetch of the image, in seconds */
  guint at;    /* index among the usable machines: of two equal offers the earlier one is better */
  HzbMachine *machine;
} Offer;

/* ---- costs ---- */

static gboolean
replica_has_room (const HzbMachine *machine, const HzbJobSpec *spec)
{
  return machine->cpus + machine->queued_service_cpus + spec->cpus <= machine->type->cpus + HZB_ROUNDING
         && machine->memory + machine->queued_service_memory_gb + spec->memory_gb
                <= machine->type->memory_gb + HZB_ROUNDING;
}

/* A replica never ends, so how long it would run does not count, only how soon it can be there. */
static double
replica_cost (const HzbSearch *search, const HzbMachine *machine)
{
  const HzbJobSpec *spec = search->job->spec;
  double until_heartbeat =
      search->dispatch->settings->heartbeat_interval_s - hzb_time_between (machine->last_heartbeat, search->now);

  return MAX (until_heartbeat, 0) + hzb_fetch_s (machine, spec) + (replica_has_room (machine, spec) ? 0 : NO_ROOM_S);
}

static double
offer_cost (const HzbSearch *search, HzbMachine *machine)
{
  const HzbJob *job = search->job;
  HzbEstimate *estimate = &machine->estimates[job->scheduling_class];
  guint v;

  if (job->spec->kind == HZB_JOB_SERVICE)
    return replica_cost (search, machine);
  v = machine->service_cpus > 0 ? hzb_machine_speed (machine, job->spec) : (guint) search->speeds[machine->type->index];
  hzb_estimate_shift (estimate, search->now);
  return hzb_estimate_mean (estimate) + search->dispatch->h * hzb_job_mean_s (job) / MAX (v, 1)
         + hzb_fetch_s (machine, job->spec);
}

/* ---- which machines may take a task ---- */

/* The submission's `samePlace` and `spread`; tasks in run queues count, too. */
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

/* The machine has room for such a task beside replicas of services, which take theirs for good, and is not reserved for
 * these. */
static gboolean
services_leave_room (const HzbMachine *machine, const HzbJobSpec *spec)
{
  if (spec->kind == HZB_JOB_SERVICE ? !hzb_machine_takes_replica (machine, spec) : machine->reserved_for_services)
    return FALSE;
  return machine->service_cpus <= 0 || hzb_machine_speed (machine, spec) >= 1;
}

static gboolean
may_take (const HzbSearch *search, const HzbMachine *machine)
{
  const HzbJobSpec *spec = search->job->spec;

  return zone_is_open (search, machine) && services_leave_room (machine, spec) && hzb_machine_usable (machine)
         && search->speeds[machine->type->index] >= 1 && (spec->spot || !machine->spot)
         && (!spec->zone || g_str_equal (spec->zone, machine->zone))
         && !hzb_machine_avoids (machine, search->job, search->now);
}

/* ---- the heap of offers ---- */

static gboolean
is_better (const Offer *a, const Offer *b)
{
  return a->cost < b->cost || (a->cost == b->cost && a->at < b->at);
}

static void
sift_down (GArray *heap, guint at)
{
  Offer *offers = (Offer *) (gpointer) heap->data;

  for (;;)
    {
      guint best = at;
      Offer swap;
      for (guint child = 2 * at + 1; child <= 2 * at + 2 && child < heap->len; child++)
        if (is_better (&offers[child], &offers[best]))
          best = child;
      if (best == at)
        return;
      swap = offers[at];
      offers[at] = offers[best];
      offers[best] = swap;
      at = best;
    }
}

static void
drop_best (GArray *heap)
{
  g_array_index (heap, Offer, 0) = g_array_index (heap, Offer, heap->len - 1);
  g_array_set_size (heap, heap->len - 1);
  if (heap->len)
    sift_down (heap, 0);
}

/* ---- the search ---- */

static void
count_in_zone (HzbSearch *search, const HzbMachine *machine)
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
    search->speeds[i] = hzb_machine_type_speed (types->pdata[i], job->spec);
  if (!job->spec->spread && !job->spec->same_zone)
    return;
  search->in_zone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; (job->placed || job->queued) && i < job->n_tasks; i++)
    if (job->tasks[i].machine)
      count_in_zone (search, job->tasks[i].machine);
}

void
hzb_search_clear (HzbSearch *search)
{
  g_free (search->speeds);
  g_clear_pointer (&search->in_zone, g_hash_table_unref);
  g_array_unref (search->heap);
}

void
hzb_search_examine (HzbSearch *search, guint most)
{
  HzbDispatch *dispatch = search->dispatch;
  guint n = dispatch->usable->len;
  gboolean sampled = most && most < n;
  guint first = sampled ? (guint) g_rand_int_range (dispatch->rand, 0, (gint32) n) : 0;
  guint step = sampled ? n / most : 1, n_examined = sampled ? most : n;

  g_array_set_size (search->heap, 0);
  dispatch->examined += n_examined;
  for (guint i = 0; i < n_examined; i++)
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

void
hzb_search_note_sent (HzbSearch *search)
{
  Offer *best = &g_array_index (search->heap, Offer, 0);

  if (search->in_zone)
    count_in_zone (search, best->machine);
  best->cost = offer_cost (search, best->machine);
  sift_down (search->heap, 0);
  /* The job may now have its share of a zone, or the machine be full of replicas: such offers no longer hold. */
  while ((search->in_zone || search->job->spec->kind == HZB_JOB_SERVICE) && search->heap->len
         && !may_take (search, g_array_index (search->heap, Offer, 0).machine))
    drop_best (search->heap);
}
