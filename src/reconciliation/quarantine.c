/* The quarantine's entries, and the verdicts on them. */
#include "quarantine-private.h"
#include "task-table.h"

#define MAX_ENTRIES 4096u
#define EXPIRY_HEARTBEATS 4.0 /* minimum heartbeat intervals before an unlisted task is dropped */

/* ---- the state of a proof ---- */

static const char *const proof_names[HZB_PROOF_N_STATES] = {
  [HZB_PROOF_WAITING] = "waiting", [HZB_PROOF_SYNCING] = "syncing",   [HZB_PROOF_READING] = "reading",
  [HZB_PROOF_ABSENT] = "absent",   [HZB_PROOF_JOB_TERMINAL] = "over",
};

const char *
hzb_quarantine_proof_name (HzbQuarantineProof proof)
{
  return proof_names[proof];
}

void
hzb_quarantine_set_proof (HzbQuarantinedTask *entry, HzbQuarantineProof to)
{
  static const guint allowed[HZB_PROOF_N_STATES] = {
    [HZB_PROOF_WAITING] = 1 << HZB_PROOF_SYNCING,
    [HZB_PROOF_SYNCING] = 1 << HZB_PROOF_READING | 1 << HZB_PROOF_WAITING,
    [HZB_PROOF_READING] = 1 << HZB_PROOF_ABSENT | 1 << HZB_PROOF_JOB_TERMINAL | 1 << HZB_PROOF_WAITING,
    [HZB_PROOF_ABSENT] = 0,
    [HZB_PROOF_JOB_TERMINAL] = 0,
  };
  if (!(allowed[entry->proof] & 1u << to))
    {
      g_critical (
          "quarantine: illegal change %s -> %s for task %s/%u; the proof stays as it is. This is a fault of the "
          "program: report it with this log",
          proof_names[entry->proof], proof_names[to], entry->uid, entry->task);
      return;
    }
  entry->proof = to;
}

/* ---- allocation and reset ---- */

static void
quarantined_task_free (gpointer data)
{
  HzbQuarantinedTask *entry = data;
  g_free (entry->uid);
  g_free (entry->machine);
  g_free (entry);
}

HzbQuarantine *
hzb_quarantine_new (const HzbQuarantineDependencies *dependencies)
{
  HzbQuarantine *quarantine = g_new0 (HzbQuarantine, 1);
  quarantine->dependencies = *dependencies;
  quarantine->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, quarantined_task_free);
  quarantine->kept = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return quarantine;
}

void
hzb_quarantine_free (HzbQuarantine *quarantine)
{
  g_hash_table_unref (quarantine->entries);
  g_hash_table_unref (quarantine->kept);
  g_free (quarantine);
}

void
hzb_quarantine_reset (HzbQuarantine *quarantine)
{
  g_hash_table_remove_all (quarantine->entries);
  g_hash_table_remove_all (quarantine->kept);
  quarantine->kept_version = 0;
  quarantine->syncing = quarantine->writing = FALSE;
  quarantine->reads_in_flight = quarantine->overflow = 0;
}

/* ---- entries ---- */

/* Returns: (transfer full): the key of the entry in the hash table; each attempt of a task on each machine has one */
static char *
entry_name (const HzbMachine *machine, const HzbTaskStatus *task_status)
{
  return g_strdup_printf ("%s/%u %" G_GUINT64_FORMAT " %s", task_status->uid, task_status->task, task_status->attempt,
                          machine->name);
}

static HzbQuarantinedTask *
quarantined_task_new (const HzbMachine *machine, const HzbTaskStatus *task_status, struct timespec now)
{
  HzbQuarantinedTask *entry = g_new0 (HzbQuarantinedTask, 1);
  entry->uid = g_strdup (task_status->uid);
  entry->machine = g_strdup (machine->name);
  entry->task = task_status->task;
  entry->attempt = task_status->attempt;
  entry->first_seen = now;
  return entry;
}

/* Returns: (nullable) (transfer none): the entry; NULL if the task has none and the quarantine is full */
static HzbQuarantinedTask *
find_or_add_entry (HzbQuarantine *quarantine, const HzbMachine *machine, const HzbTaskStatus *task_status,
                   struct timespec now)
{
  g_autofree char *name = entry_name (machine, task_status);
  HzbQuarantinedTask *entry = g_hash_table_lookup (quarantine->entries, name);

  if (entry)
    return entry;
  if (g_hash_table_size (quarantine->entries) >= MAX_ENTRIES)
    {
      quarantine->overflow++;
      return NULL;
    }
  entry = quarantined_task_new (machine, task_status, now);
  g_message (
      "reconciliation: machine %s lists task %s/%u, which no record names: the task is quarantined. Decide about it "
      "with POST reconciliation/quarantine/JOB/NUMBER; without a decision, the leader stops it once it is proven that "
      "no record names it and reconciliation.operator_s is over",
      machine->name, entry->uid, entry->task);
  g_hash_table_insert (quarantine->entries, g_steal_pointer (&name), entry);
  return entry;
}

static gint
compare_by_task (gconstpointer a, gconstpointer b)
{
  const HzbQuarantinedTask *x = *(HzbQuarantinedTask *const *) a, *y = *(HzbQuarantinedTask *const *) b;
  int order = g_strcmp0 (x->uid, y->uid);
  return order ? order : (x->task > y->task) - (x->task < y->task);
}

GPtrArray *
hzb_quarantine_list (HzbQuarantine *quarantine)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (list, value);
  g_ptr_array_sort (list, compare_by_task);
  return list;
}

guint
hzb_quarantine_overflow (const HzbQuarantine *quarantine)
{
  return quarantine->overflow;
}

/* ---- verdicts ---- */

static HzbRecordEvidence
record_evidence (HzbQuarantineProof proof)
{
  switch (proof)
    {
    case HZB_PROOF_ABSENT:
      return HZB_RECORD_ABSENT;
    case HZB_PROOF_JOB_TERMINAL:
      return HZB_RECORD_TERMINAL;
    default:
      return HZB_RECORD_ABSENT_UNPROVEN;
    }
}

static HzbOperatorDecision
operator_decision (const HzbQuarantine *quarantine, const HzbQuarantinedTask *entry)
{
  if (hzb_quarantine_is_kept (quarantine, entry))
    return HZB_OPERATOR_KEEP;
  return entry->stop_requested ? HZB_OPERATOR_STOP : HZB_OPERATOR_UNDECIDED;
}

static HzbTaskEvidence
collect_evidence (const HzbQuarantine *quarantine, const HzbQuarantinedTask *entry, struct timespec now)
{
  double operator_s = quarantine->dependencies.node->settings->reconciliation.operator_timeout_s;

  return (HzbTaskEvidence){
    .record = record_evidence (entry->proof),
    .known = HZB_KNOWN_UNPLACED,
    .reported = entry->alive ? HZB_REPORTED_ALIVE : HZB_REPORTED_ENDED,
    .job_decided = TRUE,
    .operator_decision = operator_decision (quarantine, entry),
    .operator_wait_over = hzb_time_between (entry->first_seen, now) > operator_s,
  };
}

HzbTaskVerdict
hzb_quarantine_decide_task (HzbQuarantine *quarantine, const HzbMachine *machine, const HzbTaskStatus *task_status,
                            struct timespec now, HzbTaskReason *reason)
{
  HzbQuarantinedTask *entry = find_or_add_entry (quarantine, machine, task_status, now);
  HzbTaskEvidence evidence;
  HzbTaskReason previous_reason;

  if (!entry)
    {
      *reason = HZB_TASK_REASON_ABSENCE_UNPROVEN;
      return HZB_TASK_VERDICT_QUARANTINE;
    }
  previous_reason = entry->reason;
  entry->last_seen = now;
  entry->alive = task_status->state != HZB_TASK_STATUS_EXITED;
  evidence = collect_evidence (quarantine, entry, now);
  entry->verdict = hzb_task_verdict_decide (&evidence, &entry->reason);
  if (entry->reason != previous_reason)
    g_message ("reconciliation: quarantined task %s/%u on machine %s: verdict %s (%s)", entry->uid, entry->task,
               entry->machine, hzb_task_verdict_name (entry->verdict), hzb_task_reason_name (entry->reason));
  *reason = entry->reason;
  return entry->verdict;
}

/* ---- late records and expiry ---- */

/* Records the task as running on the machine of the entry. The machine's next heartbeat corrects this if the task has
 * ended since. */
static void
adopt (HzbQuarantine *quarantine, const HzbQuarantinedTask *entry, HzbTask *task, HzbMachine *machine)
{
  HzbJobs *jobs = quarantine->dependencies.jobs;
  HzbJob *job = task->job;

  g_message ("reconciliation: the record of job %s arrived late; its quarantined task %u is adopted and continues "
             "on machine %s",
             entry->uid, entry->task, entry->machine);
  if (task->state == HZB_TASK_QUEUED)
    hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
  task->attempt = entry->attempt;
  job->last_attempt = MAX (job->last_attempt, entry->attempt);
  hzb_task_set_state (jobs, task, HZB_TASK_RUNNING, machine);
}

/* Adopts the task if the record of its job has arrived since the task was quarantined: the key-value store may carry
 * out a transaction that accepts a job late. Without the adoption, the task would be started on another machine
 * although a machine already runs it.
 * Returns: whether the entry is to be removed: the job is accepted and not terminal and has this task, even if the task
 * can't be adopted */
static gboolean
adopt_if_recorded (gpointer name, gpointer value, gpointer user)
{
  HzbQuarantine *quarantine = user;
  const HzbQuarantinedTask *entry = value;
  HzbJob *job = hzb_jobs_find (quarantine->dependencies.jobs, entry->uid);
  HzbMachine *machine = hzb_machines_find (quarantine->dependencies.machines, entry->machine);
  HzbTask *task;

  if (!job || job->state != HZB_JOB_ACCEPTED || !job->tasks || entry->task >= job->n_tasks)
    return FALSE;
  task = hzb_task_table_get (job->tasks, entry->task);
  if (machine && machine->state == HZB_MACHINE_ACTIVE
      && (task->state == HZB_TASK_PENDING || task->state == HZB_TASK_QUEUED))
    adopt (quarantine, entry, task, machine);
  return TRUE;
}

/* Returns: whether the task is to be dropped because the last heartbeat that listed it is too old; FALSE while a step
 * of its proof is in flight */
static gboolean
is_expired (gpointer name, gpointer value, gpointer user)
{
  const HzbQuarantine *quarantine = user;
  const HzbQuarantinedTask *entry = value;
  const HzbNode *node = quarantine->dependencies.node;
  double unlisted_s = hzb_time_between (entry->last_seen, hzb_clock_now (node->clock));

  if (entry->proof == HZB_PROOF_SYNCING || entry->proof == HZB_PROOF_READING)
    return FALSE;
  return unlisted_s > MAX (node->settings->lease_s, EXPIRY_HEARTBEATS * node->settings->heartbeat_interval_s);
}

void
hzb_quarantine_tick (HzbQuarantine *quarantine, struct timespec now)
{
  if (!g_hash_table_size (quarantine->entries))
    return;
  g_hash_table_foreach_remove (quarantine->entries, adopt_if_recorded, quarantine);
  g_hash_table_foreach_remove (quarantine->entries, is_expired, quarantine);
  hzb_quarantine_start_proofs (quarantine, now);
}
