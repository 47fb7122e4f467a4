/* Tasks that no record names: which there are, and the verdict on each. */
#include "quarantine-private.h"

#define MOST_ENTRIES 4096u
#define FORGET_HEARTBEATS 4.0 /* missed in a row: then the task is not there any more */

/* ---- the state of a proof ---- */

static const char *const proof_names[HZB_PROOF_N_STATES] = {
  [HZB_PROOF_WAITING] = "waiting", [HZB_PROOF_SYNCING] = "syncing", [HZB_PROOF_READING] = "reading",
  [HZB_PROOF_ABSENT] = "absent",   [HZB_PROOF_OVER] = "over",
};

const char *
hzb_quarantine_proof_name (HzbQuarantineProof proof)
{
  return proof_names[proof];
}

void
hzb_quarantine_set_proof (HzbQuarantined *entry, HzbQuarantineProof to)
{
  static const guint legal[HZB_PROOF_N_STATES] = {
    [HZB_PROOF_WAITING] = 1 << HZB_PROOF_SYNCING,
    [HZB_PROOF_SYNCING] = 1 << HZB_PROOF_READING | 1 << HZB_PROOF_WAITING,
    [HZB_PROOF_READING] = 1 << HZB_PROOF_ABSENT | 1 << HZB_PROOF_OVER | 1 << HZB_PROOF_WAITING,
    [HZB_PROOF_ABSENT] = 0,
    [HZB_PROOF_OVER] = 0,
  };
  if (!(legal[entry->proof] & 1u << to))
    {
      g_critical (
          "quarantine: illegal change %s -> %s for task %s/%u; the proof stays as it is. This is a fault of the "
          "program: report it with this log",
          proof_names[entry->proof], proof_names[to], entry->uid, entry->task);
      return;
    }
  entry->proof = to;
}

/* ---- life ---- */

static void
quarantined_free (gpointer data)
{
  HzbQuarantined *entry = data;
  g_free (entry->uid);
  g_free (entry->machine);
  g_free (entry);
}

HzbQuarantine *
hzb_quarantine_new (const HzbQuarantineDependencies *dependencies)
{
  HzbQuarantine *quarantine = g_new0 (HzbQuarantine, 1);
  quarantine->dependencies = *dependencies;
  quarantine->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, quarantined_free);
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
  quarantine->reading = quarantine->overflow = 0;
}

/* ---- entries ---- */

/* Each attempt of a task on each machine is an entry of its own. */
static char *
entry_name (const HzbMachine *machine, const HzbTaskStatus *task_status)
{
  return g_strdup_printf ("%s/%u %" G_GUINT64_FORMAT " %s", task_status->uid, task_status->task, task_status->attempt,
                          machine->name);
}

static HzbQuarantined *
quarantined_new (const HzbMachine *machine, const HzbTaskStatus *task_status, struct timespec now)
{
  HzbQuarantined *entry = g_new0 (HzbQuarantined, 1);
  entry->uid = g_strdup (task_status->uid);
  entry->machine = g_strdup (machine->name);
  entry->task = task_status->task;
  entry->attempt = task_status->attempt;
  entry->first_seen = now;
  return entry;
}

/* Returns: (nullable): NULL if there is no room; such a task is left alone. */
static HzbQuarantined *
find_or_add (HzbQuarantine *quarantine, const HzbMachine *machine, const HzbTaskStatus *task_status,
             struct timespec now)
{
  g_autofree char *name = entry_name (machine, task_status);
  HzbQuarantined *entry = g_hash_table_lookup (quarantine->entries, name);

  if (entry)
    return entry;
  if (g_hash_table_size (quarantine->entries) >= MOST_ENTRIES)
    {
      quarantine->overflow++;
      return NULL;
    }
  entry = quarantined_new (machine, task_status, now);
  g_message ("reconciliation: machine %s shows task %s/%u, which no record names: the task is quarantined until that "
             "is proven",
             machine->name, entry->uid, entry->task);
  g_hash_table_insert (quarantine->entries, g_steal_pointer (&name), entry);
  return entry;
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  const HzbQuarantined *x = *(HzbQuarantined *const *) a, *y = *(HzbQuarantined *const *) b;
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
  g_ptr_array_sort (list, by_name);
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
    case HZB_PROOF_OVER:
      return HZB_RECORD_OVER;
    default:
      return HZB_RECORD_ABSENT_UNPROVEN;
    }
}

static HzbOperatorDecision
operator_decision (const HzbQuarantine *quarantine, const HzbQuarantined *entry)
{
  if (hzb_quarantine_is_kept (quarantine, entry))
    return HZB_OPERATOR_KEEPS;
  return entry->stop_requested ? HZB_OPERATOR_STOPS : HZB_OPERATOR_UNDECIDED;
}

static HzbTaskEvidence
evidence_of (const HzbQuarantine *quarantine, const HzbQuarantined *entry, struct timespec now)
{
  double operator_s = quarantine->dependencies.node->settings->reconciliation.operator_s;

  return (HzbTaskEvidence){
    .record = record_evidence (entry->proof),
    .standing = HZB_STANDING_NOWHERE,
    .shown = entry->alive ? HZB_SHOWN_ALIVE : HZB_SHOWN_ENDED,
    .job_decided = TRUE,
    .operator_decision = operator_decision (quarantine, entry),
    .operator_time_over = hzb_time_between (entry->first_seen, now) > operator_s,
  };
}

HzbTaskVerdict
hzb_quarantine_judge (HzbQuarantine *quarantine, const HzbMachine *machine, const HzbTaskStatus *task_status,
                      struct timespec now, HzbTaskReason *reason)
{
  HzbQuarantined *entry = find_or_add (quarantine, machine, task_status, now);
  HzbTaskEvidence evidence;
  HzbTaskReason before;

  if (!entry)
    {
      *reason = HZB_TASK_REASON_RECORD_MAY_COME;
      return HZB_TASK_VERDICT_QUARANTINE;
    }
  before = entry->reason;
  entry->last_seen = now;
  entry->alive = task_status->state != HZB_TASK_STATUS_EXITED;
  evidence = evidence_of (quarantine, entry, now);
  entry->verdict = hzb_task_verdict_decide (&evidence, &entry->reason);
  if (entry->reason != before)
    g_message ("reconciliation: task %s/%u on %s: %s (%s)", entry->uid, entry->task, entry->machine,
               hzb_task_verdict_name (entry->verdict), hzb_task_reason_name (entry->reason));
  *reason = entry->reason;
  return entry->verdict;
}

/* ---- over time ---- */

/* The task counts as running where it was seen, until the machine's next heartbeat shows what has become of it. */
static void
adopt (HzbQuarantine *quarantine, const HzbQuarantined *entry, HzbTask *task, HzbMachine *machine)
{
  HzbJobs *jobs = quarantine->dependencies.jobs;
  HzbJob *job = task->job;

  g_message ("reconciliation: the record of %s came late; task %u goes on on %s", entry->uid, entry->task,
             entry->machine);
  if (task->state == HZB_TASK_QUEUED)
    hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
  task->attempt = entry->attempt;
  job->last_attempt = MAX (job->last_attempt, entry->attempt);
  hzb_task_set_state (jobs, task, HZB_TASK_RUNNING, machine);
}

/* A transaction that accepts a job may be carried out late. Without the adoption the job's tasks would start
 * elsewhere although a machine already runs one of them. */
static gboolean
adopt_if_recorded (gpointer name, gpointer value, gpointer user)
{
  HzbQuarantine *quarantine = user;
  const HzbQuarantined *entry = value;
  HzbJob *job = hzb_jobs_find (quarantine->dependencies.jobs, entry->uid);
  HzbMachine *machine = hzb_machines_find (quarantine->dependencies.machines, entry->machine);
  HzbTask *task;

  if (!job || job->state != HZB_JOB_ACCEPTED || !job->tasks || entry->task >= job->n_tasks)
    return FALSE;
  task = &job->tasks[entry->task];
  if (machine && machine->state == HZB_MACHINE_ACTIVE
      && (task->state == HZB_TASK_PENDING || task->state == HZB_TASK_QUEUED))
    adopt (quarantine, entry, task, machine);
  return TRUE;
}

static gboolean
is_gone (gpointer name, gpointer value, gpointer user)
{
  const HzbQuarantine *quarantine = user;
  const HzbQuarantined *entry = value;
  const HzbNode *node = quarantine->dependencies.node;
  double silent_s = hzb_time_between (entry->last_seen, hzb_clock_now (node->clock));

  if (entry->proof == HZB_PROOF_SYNCING || entry->proof == HZB_PROOF_READING)
    return FALSE;
  return silent_s > MAX (node->settings->lease_s, FORGET_HEARTBEATS * node->settings->heartbeat_interval_s);
}

void
hzb_quarantine_tick (HzbQuarantine *quarantine, struct timespec now)
{
  if (!g_hash_table_size (quarantine->entries))
    return;
  g_hash_table_foreach_remove (quarantine->entries, adopt_if_recorded, quarantine);
  g_hash_table_foreach_remove (quarantine->entries, is_gone, quarantine);
  hzb_quarantine_prove (quarantine, now);
}
