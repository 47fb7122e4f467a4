/* The periodic scan: which machines are accounted for, and what that decides about jobs. */
#include "reconciliation-private.h"

/* ---- machines ---- */

/* A machine that is being returned may still run tasks until the cloud confirms that it is gone. */
static gboolean
is_awaited (const HzbMachine *machine)
{
  return machine->state == HZB_MACHINE_UNVERIFIED
         || (machine->state == HZB_MACHINE_RETURNING && !machine->verified && machine->recorded);
}

static const char *
fate_of (const HzbMachine *machine)
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
      HzbArchivedMachine *archived = &g_array_index (reconciliation->machines, HzbArchivedMachine, i);
      const HzbMachine *machine;
      if (archived->at_s >= 0)
        continue;
      machine = hzb_machines_find (machines, archived->name);
      if (machine && is_awaited (machine))
        continue;
      archived->at_s = hzb_time_between (reconciliation->began, now);
      g_free (archived->fate);
      archived->fate = g_strdup (fate_of (machine));
    }
}

/* ---- jobs ---- */

static HzbJobEvidence
evidence_of_active (const HzbReconciliation *reconciliation, const HzbJob *job, const HzbTrackedJob *tracked,
                    const GPtrArray *unverified)
{
  gboolean barrier = reconciliation->dependencies.node->settings->reconciliation.barrier;

  return (HzbJobEvidence){
    .cancelled = job->state == HZB_JOB_CANCELLED,
    .tasks = job->n_tasks,
    .released = tracked->released,
    .found = job->placed,
    .results = job->finished + job->done,
    .unconfirmed = job->unconfirmed,
    .machines_awaited = job->unconfirmed && hzb_job_may_run_on_unverified (job, unverified),
    .barrier = barrier && unverified->len,
  };
}

/* A job that is terminal, and of which no task is kept in memory, became terminal after the records were read. */
static HzbJobEvidence
evidence_of_terminal (const HzbJob *job, const HzbTrackedJob *tracked)
{
  return (HzbJobEvidence){
    .cancelled = job && job->state == HZB_JOB_CANCELLED,
    .tasks = tracked->tasks,
    .results = tracked->tasks,
  };
}

static void
decide_job (HzbReconciliation *reconciliation, HzbTrackedJob *tracked, const GPtrArray *unverified)
{
  const HzbJob *job = hzb_jobs_find (reconciliation->dependencies.jobs, tracked->entry.uid);
  HzbJobEvidence evidence = job && job->tasks ? evidence_of_active (reconciliation, job, tracked, unverified)
                                              : evidence_of_terminal (job, tracked);
  HzbVerdictEntry *entry = &tracked->entry;

  entry->verdict = hzb_job_verdict_decide (&evidence, &entry->reason);
  if (entry->verdict == HZB_JOB_VERDICT_HOLD)
    return;
  entry->found = evidence.found;
  entry->results = evidence.results;
  entry->restarted = entry->verdict == HZB_JOB_VERDICT_RESUME ? evidence.unconfirmed : 0;
  reconciliation->verdicts[HZB_TASK_VERDICT_RESTART][HZB_TASK_REASON_NOWHERE] += entry->restarted;
  g_debug ("reconciliation: job %s: %s (%s)", entry->uid, hzb_job_verdict_name (entry->verdict),
           hzb_job_reason_name (entry->reason));
  hzb_reconciliation_set_phase (reconciliation, tracked,
                                hzb_job_reason_needs_record (entry->reason) ? HZB_PHASE_DECIDED : HZB_PHASE_RECORDED);
}

static void
decide_jobs (HzbReconciliation *reconciliation)
{
  g_autoptr (GPtrArray) kinds_of_shards = hzb_machines_list_unverified_kinds (reconciliation->dependencies.machines, 1);
  const GPtrArray *unverified = kinds_of_shards->pdata[HZB_UNCONFIRMED_TASKS_OF_LEADER];
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reconciliation->tracked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((HzbTrackedJob *) value)->phase == HZB_PHASE_OPEN)
      decide_job (reconciliation, value, unverified);
}

void
hzb_reconciliation_scan (HzbReconciliation *reconciliation, struct timespec now)
{
  if (hzb_time_before (now, reconciliation->next_scan))
    return;
  reconciliation->next_scan = hzb_time_plus (now, hzb_machines_scan_interval_s (reconciliation->dependencies.machines));
  hzb_reconciliation_scan_machines (reconciliation, now);
  /* Nothing is decided before the record is durable: if this leader ended, the next one would not know of the cold
   * start. */
  if (reconciliation->open && reconciliation->record_state == HZB_RECORD_STATE_DURABLE)
    decide_jobs (reconciliation);
}
