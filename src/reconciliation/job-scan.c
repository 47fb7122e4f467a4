/* The periodic scan: updates which machines are accounted for, and decides the jobs that no longer wait
 * for a machine. */
#include "reconciliation-private.h"

/* ---- machines ---- */

/* Returns: whether the machine may still hold tasks that the leader does not know of. A machine that is being returned
 * may run tasks until the cloud confirms that the machine is gone. */
static gboolean
is_awaited (const HzbMachine *machine)
{
  return machine->state == HZB_MACHINE_UNVERIFIED
         || (machine->state == HZB_MACHINE_RETURNING && !machine->verified && hzb_machine_was_recorded (machine));
}

/* Returns: the fate of a machine that is accounted for, as the archive names it. @machine: (nullable): NULL if the
 * leader no longer knows the machine */
static const char *
machine_fate (const HzbMachine *machine)
{
  if (!machine)
    return "gone";
  return machine->state == HZB_MACHINE_LEASE_EXPIRED ? "lease over" : "answered";
}

void
hzb_reconciliation_scan_machines (HzbReconciliation *reconciliation, struct timespec now)
{
  HzbMachines *machines = reconciliation->dependencies.machines;

  for (guint i = 0; i < reconciliation->machines->len; i++)
    {
      HzbArchivedMachine *tracked = &g_array_index (reconciliation->machines, HzbArchivedMachine, i);
      const HzbMachine *machine;
      if (tracked->at_s >= 0)
        continue;
      machine = hzb_machines_find (machines, tracked->name);
      if (machine && is_awaited (machine))
        continue;
      tracked->at_s = hzb_time_between (reconciliation->began, now);
      g_free (tracked->fate);
      tracked->fate = g_strdup (machine_fate (machine));
    }
}

/* ---- jobs ---- */

static HzbJobEvidence
active_job_evidence (const HzbReconciliation *reconciliation, const HzbJob *job, const HzbTrackedJob *tracked,
                     const GPtrArray *unverified_kinds)
{
  /* With this setting, no job with released tasks resumes before all machines are accounted for. */
  gboolean barrier_enabled = reconciliation->dependencies.node->settings->reconciliation.barrier;

  return (HzbJobEvidence){
    .cancelled = job->state == HZB_JOB_CANCELLED,
    .tasks = job->n_tasks,
    .released = tracked->released,
    .placed = job->placed,
    .results = job->finished + job->done, /* results that are not durable yet, and durable results */
    .unconfirmed = job->unconfirmed,
    .machines_awaited = job->unconfirmed && hzb_job_may_run_on_unverified (job, unverified_kinds),
    .barrier = barrier_enabled && unverified_kinds->len,
  };
}

/* A tracked job whose tasks are no longer in memory became terminal after the records were read. @job: (nullable): NULL
 * if the job itself is no longer in memory */
static HzbJobEvidence
terminal_job_evidence (const HzbJob *job, const HzbTrackedJob *tracked)
{
  return (HzbJobEvidence){
    .cancelled = job && job->state == HZB_JOB_CANCELLED,
    .tasks = tracked->tasks,
    .results = tracked->tasks,
  };
}

static void
decide_job (HzbReconciliation *reconciliation, HzbTrackedJob *tracked, const GPtrArray *unverified_kinds)
{
  const HzbJob *job = hzb_jobs_find (reconciliation->dependencies.jobs, tracked->entry.uid);
  HzbJobEvidence evidence = job && job->tasks ? active_job_evidence (reconciliation, job, tracked, unverified_kinds)
                                              : terminal_job_evidence (job, tracked);
  HzbVerdictEntry *entry = &tracked->entry;

  entry->verdict = hzb_job_verdict_decide (&evidence, &entry->reason);
  if (entry->verdict == HZB_JOB_VERDICT_HOLD)
    return;
  entry->found = evidence.placed;
  entry->results = evidence.results;
  entry->restarted = entry->verdict == HZB_JOB_VERDICT_RESUME ? evidence.unconfirmed : 0;
  reconciliation->verdict_counts[HZB_TASK_VERDICT_RESTART][HZB_TASK_REASON_NOWHERE] += entry->restarted;
  g_debug ("reconciliation: verdict on job %s: %s (%s)", entry->uid, hzb_job_verdict_name (entry->verdict),
           hzb_job_reason_name (entry->reason));
  hzb_reconciliation_set_phase (reconciliation, tracked,
                                hzb_job_reason_needs_record (entry->reason) ? HZB_JOB_PHASE_DECIDED
                                                                            : HZB_JOB_PHASE_RECORDED);
}

static void
decide_jobs (HzbReconciliation *reconciliation)
{
  /* Lists only machines on which an earlier leader may have started tasks, not those of reclaimed shards. */
  g_autoptr (GPtrArray) kinds_by_shard =
      hzb_machines_list_unverified_kinds (reconciliation->dependencies.machines, HZB_UNCONFIRMED_TASKS_OF_LEADER + 1);
  const GPtrArray *unverified_kinds = kinds_by_shard->pdata[HZB_UNCONFIRMED_TASKS_OF_LEADER];
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reconciliation->tracked_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((HzbTrackedJob *) value)->phase == HZB_JOB_PHASE_OPEN)
      decide_job (reconciliation, value, unverified_kinds);
}

void
hzb_reconciliation_scan_jobs (HzbReconciliation *reconciliation, struct timespec now)
{
  if (hzb_time_before (now, reconciliation->next_scan))
    return;
  reconciliation->next_scan = hzb_time_plus (now, hzb_machines_scan_interval_s (reconciliation->dependencies.machines));
  hzb_reconciliation_scan_machines (reconciliation, now);
  /* No job is decided before the record is durable: if this leadership ended without the record, the next leader would
   * not know of the cold start. */
  if (reconciliation->open_jobs && reconciliation->record_state == HZB_RECORD_STATE_DURABLE)
    decide_jobs (reconciliation);
}
