#include "machines.h"

/* Thresholds from which a machine counts as faulty, see hzb_machine_is_faulty(). */
#define FAULTY_MIN_FAILURES 3u
/* Unproven jobs: no task of the job has succeeded or run for a while on any machine, and tasks of the job have failed
 * on this machine only, as far as is known. */
#define FAULTY_MIN_UNPROVEN_JOBS 3u

/* Seconds between two scans of all machines, for each machine: 4,000 machines are scanned five times a second, a few
 * hundred at each timer tick. */
#define SCAN_S_PER_MACHINE 5e-5

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
  hzb_sent_starts_free (machine->sent_starts);
  g_hash_table_unref (machine->images);
  g_hash_table_unref (machine->expected_images);
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
      machine->type = hzb_machines_find_type (machines, machine->type_name);
    }
  g_clear_pointer (&old, g_ptr_array_unref);
}

const HzbMachineType *
hzb_machines_find_type (HzbMachines *machines, const char *name)
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
  machine->type = hzb_machines_find_type (machines, type);
  machine->state = state;
  machine->since = machine->rented = machine->idle_since = now;
  machine->tasks = g_ptr_array_new ();
  machine->sent_starts = hzb_sent_starts_new ();
  machine->failed_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  machine->images = g_hash_table_new_full (NULL, NULL, (GDestroyNotify) g_ref_string_release, NULL);
  machine->expected_images = g_hash_table_new_full (NULL, NULL, (GDestroyNotify) g_ref_string_release, NULL);
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

/* ---- states ---- */

#define STATE_BIT(name) (1u << HZB_MACHINE_##name)

/* For each state, the set of allowed next states. */
static const guint allowed_next[HZB_MACHINE_N_STATES] = {
  [HZB_MACHINE_BOOTING] =
      STATE_BIT (ACTIVE) | STATE_BIT (RETURNING) | STATE_BIT (DRAINING) | STATE_BIT (UNVERIFIED) | STATE_BIT (LEASED),
  [HZB_MACHINE_LEASED] = STATE_BIT (UNVERIFIED),
  [HZB_MACHINE_UNVERIFIED] = STATE_BIT (ACTIVE) | STATE_BIT (RETURNING),
  [HZB_MACHINE_ACTIVE] = STATE_BIT (LEASED) | STATE_BIT (LEASE_EXPIRED) | STATE_BIT (DRAINING) | STATE_BIT (RETURNING),
  [HZB_MACHINE_LEASE_EXPIRED] = STATE_BIT (ACTIVE) | STATE_BIT (RETURNING),
  [HZB_MACHINE_DRAINING] = STATE_BIT (LEASE_EXPIRED) | STATE_BIT (RETURNING) | STATE_BIT (ACTIVE),
  [HZB_MACHINE_RETURNING] = STATE_BIT (GONE),
  [HZB_MACHINE_GONE] = 0,
};

gboolean
hzb_machine_set_state (HzbMachines *machines, HzbMachine *machine, HzbMachineState to, const char *reason)
{
  HzbMachineState from = machine->state;

  if (from == to)
    return TRUE;
  if (!(allowed_next[from] & 1u << to))
    {
      g_critical (
          "machine %s: illegal change %s -> %s (%s); the change is refused: please report this with the log before it",
          machine->name, hzb_machine_state_name (from), hzb_machine_state_name (to), reason);
      return FALSE;
    }
  g_message ("machine %s (%s%s in %s): %s -> %s: %s", machine->name, machine->type_name, machine->spot ? ", spot" : "",
             machine->zone, hzb_machine_state_name (from), hzb_machine_state_name (to), reason);
  machine->state = to;
  machine->since = hzb_clock_now (machines->clock);
  return TRUE;
}

void
hzb_machine_unverify (HzbMachines *machines, HzbMachine *machine, guint64 fencing_token, const char *reason)
{
  hzb_machine_set_fencing_token (machine, fencing_token);
  machine->recall_requested = machine->recall_at_once = FALSE;
  machine->leaseholder = 0;
  hzb_machine_set_state (machines, machine, HZB_MACHINE_UNVERIFIED, reason);
}

/* ---- faulty machines ---- */

gboolean
hzb_machine_is_faulty (const HzbMachine *machine, HzbJobs *jobs)
{
  GHashTableIter iter;
  gpointer uid, count;
  guint failures = 0, n_unproven_jobs = 0;
  gboolean has_proven_job = FALSE;

  g_hash_table_iter_init (&iter, machine->failed_jobs);
  while (g_hash_table_iter_next (&iter, &uid, &count))
    {
      const HzbJob *job = hzb_jobs_find (jobs, uid);
      /* A job that fails on every machine is no evidence against this one. Counting it would return one machine after
       * another to the cloud. */
      if (!job || (job->failed_on_several_machines && !job->proven_runnable))
        continue;
      failures += GPOINTER_TO_UINT (count);
      has_proven_job = has_proven_job || job->proven_runnable;
      n_unproven_jobs += !job->proven_runnable;
    }
  return failures >= FAULTY_MIN_FAILURES && (has_proven_job || n_unproven_jobs >= FAULTY_MIN_UNPROVEN_JOBS);
}

/* ---- unverified machines ---- */

/* Whether the machine may hold unconfirmed tasks: no heartbeat under this owner's fencing token has arrived. A machine
 * that is being returned may run tasks until the cloud confirms that the machine is gone, unless no record of it was
 * ever durable: then it has not been sent a start command. */
static gboolean
may_hold_unconfirmed_tasks (const HzbMachine *machine)
{
  return machine->state == HZB_MACHINE_UNVERIFIED
         || (machine->state == HZB_MACHINE_RETURNING && !machine->verified && hzb_machine_was_recorded (machine));
}

/* Whether two machines are of the same kind. In this file, an array of kinds holds one machine of each kind. */
static gboolean
same_kind (const HzbMachine *a, const HzbMachine *b)
{
  return a->type == b->type && a->spot == b->spot && g_str_equal (a->zone, b->zone);
}

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
hzb_machines_list_unverified_kinds (const HzbMachines *machines, guint n_shards)
{
  GPtrArray *kinds_by_shard = g_ptr_array_new_with_free_func (kinds_free);

  for (guint i = 0; i < n_shards; i++)
    g_ptr_array_add (kinds_by_shard, g_ptr_array_new ());
  for (guint i = 0; i < machines->all->len; i++)
    {
      HzbMachine *machine = machines->all->pdata[i];
      if (machine->unconfirmed_tasks_owner < n_shards && may_hold_unconfirmed_tasks (machine))
        hzb_machines_add_kind (kinds_by_shard->pdata[machine->unconfirmed_tasks_owner], machine);
    }
  return kinds_by_shard;
}

gboolean
hzb_job_may_run_on_unverified (const HzbJob *job, const GPtrArray *unverified_kinds)
{
  /* The record of a terminal job may lack the placement constraints of the job. Without the constraints, the job
   * may run on any kind of machines. */
  if (job->state != HZB_JOB_ACCEPTED)
    return unverified_kinds->len > 0;
  for (guint i = 0; i < unverified_kinds->len; i++)
    {
      const HzbMachine *machine = unverified_kinds->pdata[i];
      if (!machine->type || hzb_machine_matches_constraints (machine, job->spec))
        return TRUE;
    }
  return FALSE;
}

double
hzb_machines_scan_interval_s (const HzbMachines *machines)
{
  return SCAN_S_PER_MACHINE * machines->all->len;
}
