#include "search.h"

#include "rounding.h"
#include "task-table.h"

/* Additional seconds that a replica waits on a machine where other tasks have to be preempted for it. */
#define PREEMPTION_DELAY_S 3.0

/* A machine that may take a task of the job. */
typedef struct
{
  double cost; /* U + h/v and the fetch of the image, in seconds */
  guint index; /* index in HzbDispatch.usable; of two candidates with equal costs the lower index is preferred */
  HzbMachine *machine;
} Candidate;

/* ---- costs ---- */

static gboolean
replica_has_room (const HzbMachine *machine, const HzbJobSpec *spec)
{
  return machine->cpus + machine->queued_service_cpus + spec->cpus <= machine->type->cpus + HZB_AMOUNT_TOLERANCE
         && machine->memory_gb + machine->queued_service_memory_gb + spec->memory_gb
                <= machine->type->memory_gb + HZB_AMOUNT_TOLERANCE;
}

/* A replica does not end, so its cost is not its run time but the expected time until it runs, in seconds. */
static double
replica_cost (const HzbSearch *search, const HzbMachine *machine)
{
  const HzbJobSpec *spec = search->job->spec;
  double until_heartbeat =
      search->dispatch->settings->heartbeat_interval_s - hzb_time_between (machine->last_heartbeat, search->now);

  return MAX (until_heartbeat, 0) + hzb_machine_image_fetch_s (machine, spec)
         + (replica_has_room (machine, spec) ? 0 : PREEMPTION_DELAY_S);
}

static double
candidate_cost (const HzbSearch *search, HzbMachine *machine)
{
  const HzbJob *job = search->job;
  HzbEstimate *estimate = &machine->estimates[job->scheduling_class];
  guint v;

  if (job->spec->kind == HZB_JOB_SERVICE)
    return replica_cost (search, machine);
  v = machine->service_cpus > 0 ? hzb_machine_speed (machine, job->spec) : (guint) search->speeds[machine->type->index];
  hzb_estimate_shift (estimate, search->now);
  return hzb_estimate_mean (estimate) + search->dispatch->h * hzb_job_mean_s (job) / MAX (v, 1)
         + hzb_machine_image_fetch_s (machine, job->spec);
}

/* ---- candidate filter ---- */

/* Whether the submission's `samePlace` and `spread` allow a task in the machine's zone. With `spread`, a zone gets at
 * most half of the tasks, rounded up. Queued tasks count, too. */
static gboolean
zone_is_eligible (const HzbSearch *search, const HzbMachine *machine)
{
  const HzbJob *job = search->job;
  guint n_in_zone;

  if (!search->tasks_by_zone)
    return TRUE;
  n_in_zone = GPOINTER_TO_UINT (g_hash_table_lookup (search->tasks_by_zone, machine->zone));
  return (!job->spec->same_zone || n_in_zone == search->n_tasks_in_zones)
         && (!job->spec->spread || n_in_zone + 1 <= (job->n_tasks + 1) / 2);
}

/* Whether a task fits beside the service replicas on the machine, which do not end by themselves, and the machine is
 * not reserved for services. A replica must also fit beside queued replicas, and may use a reserved machine. */
static gboolean
fits_beside_services (const HzbMachine *machine, const HzbJobSpec *spec)
{
  if (spec->kind == HZB_JOB_SERVICE ? !hzb_machine_fits_replica (machine, spec) : machine->reserved_for_services)
    return FALSE;
  return machine->service_cpus <= 0 || hzb_machine_speed (machine, spec) >= 1;
}

static gboolean
is_candidate (const HzbSearch *search, const HzbMachine *machine)
{
  const HzbJobSpec *spec = search->job->spec;

  return zone_is_eligible (search, machine) && fits_beside_services (machine, spec) && hzb_machine_is_usable (machine)
         && search->speeds[machine->type->index] >= 1 && (spec->spot || !machine->spot)
         && (!spec->zone || g_str_equal (spec->zone, machine->zone))
         && !hzb_machine_avoids_job (machine, search->job, search->now);
}

/* ---- candidate heap ---- */

static gboolean
costs_less (const Candidate *a, const Candidate *b)
{
  return a->cost < b->cost || (a->cost == b->cost && a->index < b->index);
}

static void
sift_down (GArray *heap, guint index)
{
  Candidate *candidates = (Candidate *) (gpointer) heap->data;

  for (;;)
    {
      guint best = index;
      Candidate swap;
      for (guint child = 2 * index + 1; child <= 2 * index + 2 && child < heap->len; child++)
        if (costs_less (&candidates[child], &candidates[best]))
          best = child;
      if (best == index)
        return;
      swap = candidates[index];
      candidates[index] = candidates[best];
      candidates[best] = swap;
      index = best;
    }
}

static void
remove_best (GArray *heap)
{
  g_array_index (heap, Candidate, 0) = g_array_index (heap, Candidate, heap->len - 1);
  g_array_set_size (heap, heap->len - 1);
  if (heap->len)
    sift_down (heap, 0);
}

/* ---- search ---- */

static void
count_in_zone (HzbSearch *search, const HzbMachine *machine)
{
  guint n_in_zone = GPOINTER_TO_UINT (g_hash_table_lookup (search->tasks_by_zone, machine->zone));

  g_hash_table_insert (search->tasks_by_zone, g_strdup (machine->zone), GUINT_TO_POINTER (n_in_zone + 1));
  search->n_tasks_in_zones++;
}

void
hzb_search_begin (HzbSearch *search, HzbDispatch *dispatch, HzbJob *job, struct timespec now)
{
  GPtrArray *types = dispatch->machines->types;
  const HzbTask *task;

  search->dispatch = dispatch;
  search->job = job;
  search->now = now;
  search->heap = g_array_new (FALSE, FALSE, sizeof (Candidate));
  search->speeds = g_new0 (double, types ? types->len + 1 : 1);
  for (guint i = 0; types && i < types->len; i++)
    search->speeds[i] = hzb_machine_type_speed (types->pdata[i], job->spec);
  if (!job->spec->spread && !job->spec->same_zone)
    return;
  search->tasks_by_zone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; (job->placed || job->queued) && (task = hzb_task_table_next (job->tasks, &i));)
    if (task->machine)
      count_in_zone (search, task->machine);
}

void
hzb_search_clear (HzbSearch *search)
{
  g_free (search->speeds);
  g_clear_pointer (&search->tasks_by_zone, g_hash_table_unref);
  g_array_unref (search->heap);
}

void
hzb_search_examine (HzbSearch *search, guint max_machines)
{
  HzbDispatch *dispatch = search->dispatch;
  guint n = dispatch->usable->len;
  gboolean sampled = max_machines && max_machines < n;
  guint first = sampled ? (guint) g_rand_int_range (dispatch->rand, 0, (gint32) n) : 0;
  guint step = sampled ? n / max_machines : 1, n_examined = sampled ? max_machines : n;

  g_array_set_size (search->heap, 0);
  dispatch->n_examined += n_examined;
  for (guint i = 0; i < n_examined; i++)
    {
      Candidate candidate = { 0, (first + i * step) % n, NULL };
      candidate.machine = dispatch->usable->pdata[candidate.index];
      if (!is_candidate (search, candidate.machine))
        continue;
      candidate.cost = candidate_cost (search, candidate.machine);
      g_array_append_val (search->heap, candidate);
    }
  for (guint i = search->heap->len / 2; i-- > 0;)
    sift_down (search->heap, i);
}

HzbMachine *
hzb_search_best (const HzbSearch *search)
{
  return search->heap->len ? g_array_index (search->heap, Candidate, 0).machine : NULL;
}

void
hzb_search_note_queued (HzbSearch *search)
{
  Candidate *best = &g_array_index (search->heap, Candidate, 0);

  if (search->tasks_by_zone)
    count_in_zone (search, best->machine);
  best->cost = candidate_cost (search, best->machine);
  sift_down (search->heap, 0);
  /* Removes candidates that became ineligible: the job may have reached its limit for a zone, or the machine may have
   * no room for another replica. */
  while ((search->tasks_by_zone || search->job->spec->kind == HZB_JOB_SERVICE) && search->heap->len
         && !is_candidate (search, g_array_index (search->heap, Candidate, 0).machine))
    remove_best (search->heap);
}
