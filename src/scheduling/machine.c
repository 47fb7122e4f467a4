#include "machine.h"

#include "rounding.h"
#include "task-table.h"

/* Cost of one second of fetching an image, relative to one second of waiting for the machine: during the fetch, a task
 * occupies room on the machine, but makes no progress. */
#define FETCH_WEIGHT 2.0

/* Fraction of the fetch time that counts for an image that another task is already expected to fetch. */
#define EXPECTED_FETCH_FRACTION 0.5

#define MIN_FETCH_GB_PER_S 1e-3 /* guards a division */

/* A booting machine is expected to finish until it has taken this many times the boot time of its type, and at least the
 * minimum. */
#define BOOT_ALLOWANCE_FACTOR 2.5
#define MIN_BOOT_ALLOWANCE_S 30

/* Seconds for which a machine avoids the job that failed on it last. The time is limited so that a job that has failed
 * once on every machine can still start, even if no other task succeeds on those machines. */
#define AVOID_FAILED_JOB_S 30.0

static const char *const state_names[HZB_MACHINE_N_STATES] = {
  [HZB_MACHINE_BOOTING] = "booting",
  [HZB_MACHINE_UNVERIFIED] = "unverified",
  [HZB_MACHINE_ACTIVE] = "active",
  [HZB_MACHINE_LEASED] = "leased",
  [HZB_MACHINE_LEASE_EXPIRED] = "lease-expired",
  [HZB_MACHINE_DRAINING] = "draining",
  [HZB_MACHINE_RETURNING] = "returning",
  [HZB_MACHINE_GONE] = "gone",
};

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

void
hzb_machine_set_fencing_token (HzbMachine *machine, guint64 fencing_token)
{
  /* No other owner sends commands under this fencing token or a later one. */
  machine->fencing_token = machine->first_exclusive_fencing_token = fencing_token;
  machine->verified = machine->unreachable = FALSE;
  machine->ignored_responses = 0;
}

void
hzb_machine_mark_unreachable (HzbMachine *machine, guint64 fencing_token, struct timespec now)
{
  g_message ("machine %s: its heartbeats arrive, but the responses do not seem to reach its worker; the machine "
             "gets no work until a heartbeat shows a new fencing token. If this persists, check the network from the "
             "controllers to this machine",
             machine->name);
  machine->fencing_token = fencing_token;
  machine->unreachable = TRUE;
  machine->unreachable_since = now;
}

/* ---- tasks and used resources ---- */

void
hzb_machine_enqueue (HzbMachine *machine, HzbTask *task)
{
  const HzbJobSpec *spec = task->job->spec;

  if (spec->kind == HZB_JOB_SERVICE)
    {
      machine->queued_service_cpus += spec->cpus;
      machine->queued_service_memory_gb += spec->memory_gb;
    }
  g_queue_push_tail (&machine->run_queues[task->job->scheduling_class], task);
}

void
hzb_machine_dequeue (HzbMachine *machine, HzbTask *task)
{
  const HzbJobSpec *spec = task->job->spec;

  /* The job's scheduling class may have changed since the task was queued, so every run queue is searched. */
  for (guint i = 0; i < HZB_N_SCHEDULING_CLASSES; i++)
    if (g_queue_remove (&machine->run_queues[i], task))
      {
        if (spec->kind == HZB_JOB_SERVICE)
          {
            machine->queued_service_cpus -= spec->cpus;
            machine->queued_service_memory_gb -= spec->memory_gb;
          }
        return;
      }
}

void
hzb_machine_add_task (HzbMachine *machine, HzbTask *task)
{
  const HzbJobSpec *spec = task->job->spec;

  machine->cpus += spec->cpus;
  machine->gpus += spec->gpus;
  machine->memory_gb += spec->memory_gb;
  if (spec->kind == HZB_JOB_SERVICE)
    {
      machine->service_cpus += spec->cpus;
      machine->service_memory_gb += spec->memory_gb;
    }
  g_ptr_array_add (machine->tasks, task);
}

void
hzb_machine_remove_task (HzbMachine *machine, HzbTask *task)
{
  const HzbJobSpec *spec = task->job->spec;

  if (!g_ptr_array_remove_fast (machine->tasks, task))
    return;
  machine->cpus -= spec->cpus;
  machine->gpus -= spec->gpus;
  machine->memory_gb -= spec->memory_gb;
  if (spec->kind == HZB_JOB_SERVICE)
    {
      machine->service_cpus -= spec->cpus;
      machine->service_memory_gb -= spec->memory_gb;
    }
}

guint
hzb_machine_count_queued_tasks (const HzbMachine *machine)
{
  guint n = 0;
  for (guint i = 0; i < HZB_N_SCHEDULING_CLASSES; i++)
    n += machine->run_queues[i].length;
  return n;
}

gboolean
hzb_machine_has_room_for (const HzbMachine *machine, const HzbJobSpec *spec, guint n_tasks)
{
  return machine->tasks->len + machine->listed_others + n_tasks <= HZB_MAX_TASKS_PER_MACHINE
         && machine->cpus + spec->cpus * n_tasks <= machine->type->cpus + HZB_AMOUNT_TOLERANCE
         && machine->gpus + spec->gpus * n_tasks <= machine->type->gpus + HZB_AMOUNT_TOLERANCE
         && machine->memory_gb + spec->memory_gb * n_tasks <= machine->type->memory_gb + HZB_AMOUNT_TOLERANCE;
}

gboolean
hzb_machine_has_room (const HzbMachine *machine, const HzbJobSpec *spec)
{
  return hzb_machine_has_room_for (machine, spec, 1);
}

gboolean
hzb_machine_fits_replica (const HzbMachine *machine, const HzbJobSpec *spec)
{
  /* Only replicas count: other tasks end by themselves, or may be preempted for the replica. */
  return machine->service_cpus + machine->queued_service_cpus + spec->cpus <= machine->type->cpus + HZB_AMOUNT_TOLERANCE
         && machine->service_memory_gb + machine->queued_service_memory_gb + spec->memory_gb
                <= machine->type->memory_gb + HZB_AMOUNT_TOLERANCE;
}

/* ---- placement constraints and speed ---- */

gboolean
hzb_machine_is_up_or_booting (const HzbMachine *machine, struct timespec now)
{
  switch (machine->state)
    {
    case HZB_MACHINE_ACTIVE:
    case HZB_MACHINE_UNVERIFIED:
    case HZB_MACHINE_LEASED:
      return TRUE;
    case HZB_MACHINE_BOOTING:
      return hzb_time_between (machine->rented, now)
             < MAX (MIN_BOOT_ALLOWANCE_S, BOOT_ALLOWANCE_FACTOR * (machine->type ? machine->type->boot_s : 0));
    default:
      return FALSE;
    }
}

/* ---- record ---- */

#define RECORD(name) (1u << HZB_MACHINE_RECORD_##name)

/* For each state, the set of states that may follow. Once a record was durable, HZB_MACHINE_RECORD_NONE and
 * HZB_MACHINE_RECORD_WRITING never return: the machine may have been sent start commands since. */
static const guint allowed_record_changes[HZB_MACHINE_RECORD_N_STATES] = {
  [HZB_MACHINE_RECORD_NONE] = RECORD (WRITING) | RECORD (CURRENT) | RECORD (OUTDATED),
  [HZB_MACHINE_RECORD_WRITING] = RECORD (NONE) | RECORD (CURRENT),
  [HZB_MACHINE_RECORD_CURRENT] = RECORD (OUTDATED),
  [HZB_MACHINE_RECORD_OUTDATED] = RECORD (REWRITING),
  [HZB_MACHINE_RECORD_REWRITING] = RECORD (OUTDATED) | RECORD (CURRENT),
};

void
hzb_machine_set_record_state (HzbMachine *machine, HzbMachineRecordState to)
{
  if (machine->record_state == to)
    return;
  if (!(allowed_record_changes[machine->record_state] & 1u << to))
    {
      g_critical ("machine %s: illegal change of its record %d -> %d; the state stays: please report this with the log "
                  "before it",
                  machine->name, machine->record_state, to);
      return;
    }
  machine->record_state = to;
}

/* A first record that is being written lacks the change, so it counts as not written; a later flush writes both. */
void
hzb_machine_note_record_change (HzbMachine *machine)
{
  if (hzb_machine_was_recorded (machine))
    hzb_machine_set_record_state (machine, HZB_MACHINE_RECORD_OUTDATED);
  else
    hzb_machine_set_record_state (machine, HZB_MACHINE_RECORD_NONE);
}

gboolean
hzb_machine_is_recorded (const HzbMachine *machine)
{
  return machine->record_state == HZB_MACHINE_RECORD_CURRENT;
}

gboolean
hzb_machine_was_recorded (const HzbMachine *machine)
{
  return machine->record_state >= HZB_MACHINE_RECORD_CURRENT;
}

gboolean
hzb_machine_needs_record (const HzbMachine *machine)
{
  return machine->record_state == HZB_MACHINE_RECORD_NONE || machine->record_state == HZB_MACHINE_RECORD_OUTDATED;
}

gboolean
hzb_machine_is_usable (const HzbMachine *machine)
{
  return machine->state == HZB_MACHINE_ACTIVE && hzb_machine_is_recorded (machine) && machine->known_to_cloud
         && machine->type && !machine->scale_in_requested && !machine->scale_in_candidate && !machine->unreachable;
}

guint
hzb_machine_speed (const HzbMachine *machine, const HzbJobSpec *spec)
{
  double speed = hzb_machine_type_speed (machine->type, spec);

  if (machine->service_cpus > HZB_AMOUNT_TOLERANCE && spec->cpus > 0)
    speed = MIN (speed, hzb_quotient_floor (machine->type->cpus - machine->service_cpus, spec->cpus));
  if (machine->service_memory_gb > HZB_AMOUNT_TOLERANCE && spec->memory_gb > 0)
    speed = MIN (speed, hzb_quotient_floor (machine->type->memory_gb - machine->service_memory_gb, spec->memory_gb));
  return (guint) MAX (speed, 0);
}

gboolean
hzb_machine_matches_constraints (const HzbMachine *machine, const HzbJobSpec *spec)
{
  HzbMachineKind kind = { machine->type, machine->zone, machine->spot };

  return machine->type && hzb_machine_kind_matches_constraints (&kind, spec);
}

gboolean
hzb_machine_is_eligible (const HzbMachine *machine, const HzbJobSpec *spec)
{
  return hzb_machine_matches_constraints (machine, spec)
         && (spec->kind == HZB_JOB_SERVICE || !machine->reserved_for_services);
}

gboolean
hzb_machine_zone_is_eligible (const HzbJob *job, const HzbMachine *machine)
{
  guint n_in_zone = 0;
  const HzbTask *task;

  if (!job->spec->same_zone && !job->spec->spread)
    return TRUE;
  /* The zone of an unconfirmed task is not known. For `samePlace`, the task may be in another zone, so no zone is
   * eligible. For `spread`, the task may be in this zone and counts there. */
  if (job->unconfirmed && job->spec->same_zone)
    return FALSE;
  n_in_zone = job->unconfirmed;
  for (guint i = 0; (task = hzb_task_table_next (job->tasks, &i));)
    {
      if (!hzb_task_on_machine (task))
        continue;
      if (g_str_equal (task->machine->zone, machine->zone))
        n_in_zone++;
      else if (job->spec->same_zone)
        return FALSE;
    }
  /* With `spread`, a zone gets at most half of the tasks, rounded up. */
  return !job->spec->spread || n_in_zone + 1 <= (job->n_tasks + 1) / 2;
}

double
hzb_machine_image_fetch_s (const HzbMachine *machine, const HzbJobSpec *spec)
{
  double unshared_s = spec->image_gb / MAX (machine->type->fetch_gb_per_s, MIN_FETCH_GB_PER_S);

  if (g_hash_table_contains (machine->images, spec->image))
    return 0;
  if (g_hash_table_contains (machine->expected_images, spec->image))
    return EXPECTED_FETCH_FRACTION * unshared_s;
  /* Concurrent fetches share the machine's bandwidth, so each expected fetch slows this one down. */
  return FETCH_WEIGHT * unshared_s * (1 + g_hash_table_size (machine->expected_images));
}

/* ---- task failures ---- */

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
hzb_machine_avoids_job (const HzbMachine *machine, const HzbJob *job, struct timespec now)
{
  return machine->last_failed_job && g_str_equal (machine->last_failed_job, job->uid)
         && hzb_time_between (machine->last_failure, now) < AVOID_FAILED_JOB_S;
}
