#include "machines.h"

#include <math.h>
#include <string.h>

static const char *const state_names[] = { "booting",       "unverified", "active",    "leased",
                                           "lease-expired", "draining",   "returning", "gone" };

static void
machine_free (gpointer data)
{
  HzbMachine *machine = data;
  g_free (machine->name);
  g_free (machine->addr);
  g_free (machine->type_name);
  g_free (machine->zone);
  g_free (machine->last_failed_job);
  g_hash_table_unref (machine->failed_jobs);
  g_ptr_array_unref (machine->tasks);
  g_hash_table_unref (machine->images);
  g_hash_table_unref (machine->expected);
  for (guint i = 0; i < HZB_N_SCHEDULING_CLASSES; i++)
    {
      g_queue_clear (&machine->run_queues[i]);
      hzb_estimate_clear (&machine->estimates[i]);
    }
  g_free (machine);
}

HzbMachines *
hzb_machines_new (HzbClock *clock, const HzbSettings *settings)
{
  HzbMachines *machines = g_new0 (HzbMachines, 1);
  machines->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  machines->all = g_ptr_array_new_with_free_func (machine_free);
  machines->clock = clock;
  machines->settings = settings;
  return machines;
}

void
hzb_machines_free (HzbMachines *machines)
{
  g_hash_table_unref (machines->by_name);
  g_ptr_array_unref (machines->all);
  g_clear_pointer (&machines->types, g_ptr_array_unref);
  g_free (machines);
}

void
hzb_machines_clear (HzbMachines *machines)
{
  machines->generation++;
  g_hash_table_remove_all (machines->by_name);
  g_ptr_array_set_size (machines->all, 0);
}

void
hzb_machines_set_types (HzbMachines *machines, GPtrArray *types)
{
  GPtrArray *old = machines->types;
  machines->types = types;
  for (guint i = 0; i < types->len; i++)
    ((HzbMachineType *) types->pdata[i])->index = i;
  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      machine->type = hzb_machines_type (machines, machine->type_name);
    }
  g_clear_pointer (&old, g_ptr_array_unref);
}

const HzbMachineType *
hzb_machines_type (HzbMachines *machines, const char *name)
{
  for (guint i = 0; machines->types && i < machines->types->len; i++)
    if (g_strcmp0 (((HzbMachineType *) machines->types->pdata[i])->name, name) == 0)
      return machines->types->pdata[i];
  return NULL;
}

HzbMachine *
hzb_machines_find (HzbMachines *machines, const char *name)
{
  return g_hash_table_lookup (machines->by_name, name);
}

HzbMachine *
hzb_machines_add (HzbMachines *machines, const char *name, const char *addr, const char *type, const char *zone,
                  gboolean spot, HzbMachineState state)
{
  HzbMachine *machine = g_new0 (HzbMachine, 1);
  struct timespec now = hzb_clock_now (machines->clock);
  machine->name = g_strdup (name);
  machine->addr = g_strdup (addr);
  machine->type_name = g_strdup (type);
  machine->zone = g_strdup (zone);
  machine->spot = spot;
  machine->type = hzb_machines_type (machines, type);
  machine->state = state;
  machine->since = machine->rented = machine->idle_since = now;
  machine->tasks = g_ptr_array_new ();
  machine->failed_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  machine->images = g_hash_table_new_full (NULL, NULL, (GDestroyNotify) g_ref_string_release, NULL);
  machine->expected = g_hash_table_new_full (NULL, NULL, (GDestroyNotify) g_ref_string_release, NULL);
  machine->estimate_stale = TRUE;
  g_hash_table_insert (machines->by_name, machine->name, machine);
  g_ptr_array_add (machines->all, machine);
  return machine;
}

void
hzb_machines_remove (HzbMachines *machines, HzbMachine *machine)
{
  g_return_if_fail (machine->state == HZB_MACHINE_GONE && machine->tasks->len == 0);
  machines->generation++;
  g_hash_table_remove (machines->by_name, machine->name);
  g_ptr_array_remove (machines->all, machine);
}

#define B(s) (1u << HZB_MACHINE_##s)

/* The only place where a machine changes its state. */
gboolean
hzb_machine_set_state (HzbMachines *machines, HzbMachine *machine, HzbMachineState to, const char *why)
{
  static const guint legal[HZB_MACHINE_N_STATES] = {
    [HZB_MACHINE_BOOTING] = B (ACTIVE) | B (RETURNING) | B (DRAINING) | B (UNVERIFIED) | B (LEASED),
    [HZB_MACHINE_LEASED] = B (UNVERIFIED),
    [HZB_MACHINE_UNVERIFIED] = B (ACTIVE) | B (RETURNING),
    [HZB_MACHINE_ACTIVE] = B (LEASED) | B (LEASE_EXPIRED) | B (DRAINING) | B (RETURNING),
    [HZB_MACHINE_LEASE_EXPIRED] = B (ACTIVE) | B (RETURNING),
    [HZB_MACHINE_DRAINING] = B (LEASE_EXPIRED) | B (RETURNING) | B (ACTIVE),
    [HZB_MACHINE_RETURNING] = B (GONE),
    [HZB_MACHINE_GONE] = 0,
  };
  if (machine->state == to)
    return TRUE;
  if (!(legal[machine->state] & 1u << to))
    {
      g_critical ("machine %s: illegal change %s -> %s (%s)", machine->name, state_names[machine->state],
                  state_names[to], why);
      return FALSE;
    }
  g_message ("machine %s (%s%s in %s): %s -> %s: %s", machine->name, machine->type_name, machine->spot ? ", spot" : "",
             machine->zone, state_names[machine->state], state_names[to], why);
  machine->state = to;
  machine->since = hzb_clock_now (machines->clock);
  return TRUE;
}

void
hzb_machine_set_fencing_token (HzbMachine *machine, guint64 fencing_token)
{
  machine->fencing_token = machine->first_exclusive_fencing_token = fencing_token;
  machine->verified = machine->unreachable = FALSE;
  machine->ignored_answers = 0;
}

void
hzb_machine_mark_unreachable (HzbMachine *machine, guint64 fencing_token, struct timespec now)
{
  g_message ("machine %s does not seem to hear its answers", machine->name);
  machine->fencing_token = fencing_token;
  machine->unreachable = TRUE;
  machine->unreachable_since = now;
}

void
hzb_machine_unverify (HzbMachines *machines, HzbMachine *machine, guint64 fencing_token, const char *why)
{
  hzb_machine_set_fencing_token (machine, fencing_token);
  machine->recall_requested = machine->recall_at_once = FALSE;
  machine->leaseholder = 0;
  hzb_machine_set_state (machines, machine, HZB_MACHINE_UNVERIFIED, why);
}

const char *
hzb_machine_state_name (HzbMachineState state)
{
  return state_names[state];
}

const char *
hzb_machine_name (const HzbMachine *machine)
{
  return machine->name;
}

cJSON *
hzb_machine_pack (const HzbMachine *machine, struct timespec wall)
{
  cJSON *value = cJSON_CreateObject ();
  /* Its address it tells with every report. */
  cJSON_AddStringToObject (value, "type", machine->type_name);
  cJSON_AddStringToObject (value, "zone", machine->zone);
  cJSON_AddBoolToObject (value, "spot", machine->spot);
  cJSON_AddNumberToObject (value, "at", (double) wall.tv_sec);
  if (machine->drain)
    cJSON_AddTrueToObject (value, "drain");
  return value;
}

void
hzb_machine_enqueue (HzbMachine *machine, HzbTask *task)
{
  const HzbJobSpec *spec = task->job->spec;
  if (spec->kind == HZB_JOB_SERVICE)
    {
      machine->queued_service_cpus += spec->cpus;
      machine->queued_service_memory += spec->memory_gb;
    }
  g_queue_push_tail (&machine->run_queues[task->job->scheduling_class], task);
}

void
hzb_machine_dequeue (HzbMachine *machine, HzbTask *task)
{
  const HzbJobSpec *spec = task->job->spec;
  for (guint i = 0; i < HZB_N_SCHEDULING_CLASSES; i++)
    if (g_queue_remove (&machine->run_queues[i], task))
      {
        if (spec->kind == HZB_JOB_SERVICE)
          {
            machine->queued_service_cpus -= spec->cpus;
            machine->queued_service_memory -= spec->memory_gb;
          }
        return;
      }
}

void
hzb_machine_add (HzbMachine *machine, HzbTask *task)
{
  const HzbJobSpec *spec = task->job->spec;
  machine->cpus += spec->cpus;
  machine->gpus += spec->gpus;
  machine->memory += spec->memory_gb;
  if (spec->kind == HZB_JOB_SERVICE)
    {
      machine->service_cpus += spec->cpus;
      machine->service_memory += spec->memory_gb;
    }
  g_ptr_array_add (machine->tasks, task);
}

void
hzb_machine_remove (HzbMachine *machine, HzbTask *task)
{
  const HzbJobSpec *spec = task->job->spec;
  if (!g_ptr_array_remove_fast (machine->tasks, task))
    return;
  machine->cpus -= spec->cpus;
  machine->gpus -= spec->gpus;
  machine->memory -= spec->memory_gb;
  if (spec->kind == HZB_JOB_SERVICE)
    {
      machine->service_cpus -= spec->cpus;
      machine->service_memory -= spec->memory_gb;
    }
}

gboolean
hzb_machine_usable (const HzbMachine *machine)
{
  return machine->state == HZB_MACHINE_ACTIVE && machine->recorded && machine->known_to_cloud && machine->type
         && !machine->scale_in_requested && !machine->scale_in_candidate && !machine->unreachable;
}

gboolean
hzb_type_holds (const HzbMachineType *type, const HzbJobSpec *spec)
{
  return type->cpus + 1e-9 >= spec->cpus && type->gpus + 1e-9 >= spec->gpus && type->memory_gb + 1e-9 >= spec->memory_gb
         && (!spec->types || g_strv_contains ((const char *const *) spec->types, type->name));
}

guint
hzb_type_speed (const HzbMachineType *type, const HzbJobSpec *spec)
{
  double v = 1e6;
  if (!hzb_type_holds (type, spec))
    return 0;
  if (spec->cpus > 0)
    v = MIN (v, floor (type->cpus / spec->cpus + 1e-9));
  if (spec->gpus > 0)
    v = MIN (v, floor (type->gpus / spec->gpus + 1e-9));
  if (spec->memory_gb > 0)
    v = MIN (v, floor (type->memory_gb / spec->memory_gb + 1e-9));
  return (guint) v;
}

guint
hzb_machine_speed (const HzbMachine *machine, const HzbJobSpec *spec)
{
  double v = hzb_type_speed (machine->type, spec);
  if (machine->service_cpus > 1e-6 && spec->cpus > 0)
    v = MIN (v, floor ((machine->type->cpus - machine->service_cpus) / spec->cpus + 1e-9));
  if (machine->service_memory > 1e-6 && spec->memory_gb > 0)
    v = MIN (v, floor ((machine->type->memory_gb - machine->service_memory) / spec->memory_gb + 1e-9));
  return (guint) MAX (v, 0);
}

gboolean
hzb_machine_takes_replica (const HzbMachine *machine, const HzbJobSpec *spec)
{
  return machine->service_cpus + machine->queued_service_cpus + spec->cpus <= machine->type->cpus + 1e-6
         && machine->service_memory + machine->queued_service_memory + spec->memory_gb
                <= machine->type->memory_gb + 1e-6;
}

/* Guards against a job that failed once on every machine and could start nowhere any more, while the machines stood idle:
 * only work that did well there used to lift it. */
#define AVOID_S 30.0

#define FAULTY_AFTER 3u /* failures */
#define FAULTY_JOBS 3u  /* that have done well nowhere yet, and failed nowhere else */

void
hzb_machine_note_failure (HzbMachine *machine, const HzbJob *job, struct timespec now)
{
  guint failures = GPOINTER_TO_UINT (g_hash_table_lookup (machine->failed_jobs, job->uid));
  g_hash_table_insert (machine->failed_jobs, g_strdup (job->uid), GUINT_TO_POINTER (failures + 1));
  machine->last_failure = now;
  g_free (machine->last_failed_job);
  machine->last_failed_job = g_strdup (job->uid);
}

void
hzb_machine_note_success (HzbMachine *machine)
{
  g_hash_table_remove_all (machine->failed_jobs);
  g_clear_pointer (&machine->last_failed_job, g_free);
}

gboolean
hzb_machine_seems_faulty (const HzbMachine *machine, HzbJobs *jobs)
{
  GHashTableIter iter;
  gpointer uid, count;
  guint failures = 0, unproven = 0;
  gboolean any_sound = FALSE;

  g_hash_table_iter_init (&iter, machine->failed_jobs);
  while (g_hash_table_iter_next (&iter, &uid, &count))
    {
      const HzbJob *job = hzb_jobs_find (jobs, uid);
      /* Guards against jobs with a mistake, which would drive out one machine after another. */
      if (!job || (job->failed_on_several && !job->did_well))
        continue;
      failures += GPOINTER_TO_UINT (count);
      any_sound = any_sound || job->did_well;
      unproven += !job->did_well;
    }
  return failures >= FAULTY_AFTER && (any_sound || unproven >= FAULTY_JOBS);
}

gboolean
hzb_machine_avoids (const HzbMachine *machine, const HzbJob *job, struct timespec now)
{
  return machine->last_failed_job && g_str_equal (machine->last_failed_job, job->uid)
         && hzb_time_between (machine->last_failure, now) < AVOID_S;
}

/* By type, zone and kind, which is the same for every controller of every version. */
static gboolean
is_of_allowed_kind (const HzbMachine *machine, const HzbJobSpec *spec)
{
  return machine->type && hzb_type_holds (machine->type, spec) && (spec->spot || !machine->spot)
         && (!spec->zone || g_str_equal (spec->zone, machine->zone));
}

gboolean
hzb_machine_allowed (const HzbMachine *machine, const HzbJobSpec *spec)
{
  return is_of_allowed_kind (machine, spec) && (spec->kind == HZB_JOB_SERVICE || !machine->reserved_for_services);
}

gboolean
hzb_machine_has_room (const HzbMachine *machine, const HzbJobSpec *spec)
{
  return machine->cpus + spec->cpus <= machine->type->cpus + 1e-6
         && machine->gpus + spec->gpus <= machine->type->gpus + 1e-6
         && machine->memory + spec->memory_gb <= machine->type->memory_gb + 1e-6;
}

guint
hzb_machine_queued_tasks (const HzbMachine *machine)
{
  guint n = 0;
  for (guint i = 0; i < HZB_N_SCHEDULING_CLASSES; i++)
    n += machine->run_queues[i].length;
  return n;
}

void
hzb_machine_lose_tasks (HzbJobs *jobs, HzbMachine *machine)
{
  while (machine->tasks->len)
    {
      guint before = machine->tasks->len;
      hzb_task_set_state (jobs, machine->tasks->pdata[before - 1], HZB_TASK_PENDING, NULL);
      g_return_if_fail (machine->tasks->len < before);
    }
  machine->cpus = machine->gpus = machine->memory = machine->service_cpus = machine->service_memory = 0;
  hzb_machine_clear_run_queues (jobs, machine);
}

void
hzb_machine_clear_run_queues (HzbJobs *jobs, HzbMachine *machine)
{
  for (guint i = 0; i < HZB_N_SCHEDULING_CLASSES; i++)
    while (machine->run_queues[i].length)
      hzb_task_set_state (jobs, g_queue_peek_head (&machine->run_queues[i]), HZB_TASK_PENDING, NULL);
  machine->estimate_stale = TRUE;
}

static gboolean
is_unverified (const HzbMachine *machine)
{
  return machine->state == HZB_MACHINE_UNVERIFIED
         || (machine->state == HZB_MACHINE_RETURNING && !machine->verified && machine->recorded);
}

static gboolean
same_kind (const HzbMachine *a, const HzbMachine *b)
{
  return a->type == b->type && a->spot == b->spot && g_str_equal (a->zone, b->zone);
}

/* One for each kind is enough: there are few kinds, and many machines and jobs. */
void
hzb_machines_add_kind (GPtrArray *kinds, HzbMachine *machine)
{
  for (guint i = 0; i < kinds->len; i++)
    if (same_kind (machine, kinds->pdata[i]))
      return;
  g_ptr_array_add (kinds, machine);
}

static void
kinds_free (gpointer kinds)
{
  g_ptr_array_unref (kinds);
}

GPtrArray *
hzb_machines_unverified_kinds (const HzbMachines *machines, guint n_shards)
{
  GPtrArray *of_shards = g_ptr_array_new_with_free_func (kinds_free);

  for (guint i = 0; i < n_shards; i++)
    g_ptr_array_add (of_shards, g_ptr_array_new ());
  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (machine->unconfirmed_tasks_of < n_shards && is_unverified (machine))
        hzb_machines_add_kind (of_shards->pdata[machine->unconfirmed_tasks_of], machine);
    }
  return of_shards;
}

/* With 4,000 machines five times a second, with a few hundred at each turn of the timer. */
#define SURVEY_S_PER_MACHINE 5e-5

double
hzb_machines_scan_interval_s (const HzbMachines *machines)
{
  return SURVEY_S_PER_MACHINE * machines->all->len;
}

gboolean
hzb_job_may_run_on_unverified (const HzbJob *job, const GPtrArray *unverified_kinds)
{
  /* Of a job that is over the records need not say where it might run. */
  if (job->state != HZB_JOB_ACCEPTED)
    return unverified_kinds->len > 0;
  for (guint i = 0; i < unverified_kinds->len; i++)
    {
      const HzbMachine *machine = unverified_kinds->pdata[i];
      if (!machine->type || is_of_allowed_kind (machine, job->spec))
        return TRUE;
    }
  return FALSE;
}
