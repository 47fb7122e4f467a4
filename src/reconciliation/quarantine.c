#include "quarantine.h"

#include "kv-protocol.h"
#include "reconciliation-codec.h"
#include "record-keys.h"
#include "worker-protocol.h"

/* A transaction without an answer may be carried out so long after it was sent, and clocks drift a little. */
#define LATE_WRITE_S 12.0
#define LATE_WRITE_SLACK_S 3.0
#define MOST_ENTRIES 4096u
#define MOST_READS 8u      /* of old ends, at a time */
#define MOST_KEPT 64u      /* tasks: the record has to fit the least value */
#define RETRY_S 2.0        /* after the key-value store could not be asked */
#define FORGET_REPORTS 4.0 /* reports that do not come, in a row: the task is not there any more */

struct _HzbQuarantine
{
  HzbQuarantineDependencies dependencies;
  GHashTable *entries; /* name -> HzbQuarantined */
  GHashTable *kept;    /* "JOB/NUMBER" */
  guint64 kept_version;
  gboolean syncing, writing;
  guint reading, overflow;
  struct timespec next_proof;
};

static const char *const proof_names[] = { "waiting", "syncing", "reading", "absent", "over" };

const char *
hzb_quarantine_proof_name (HzbQuarantineProof proof)
{
  return proof_names[proof];
}

/* Allowed: waiting -> syncing -> reading -> absent or over; syncing and reading -> waiting where nothing was learnt. */
static void
set_proof (HzbQuarantined *entry, HzbQuarantineProof to)
{
  static const guint legal[] = {
    [HZB_PROOF_WAITING] = 1 << HZB_PROOF_SYNCING,
    [HZB_PROOF_SYNCING] = 1 << HZB_PROOF_READING | 1 << HZB_PROOF_WAITING,
    [HZB_PROOF_READING] = 1 << HZB_PROOF_ABSENT | 1 << HZB_PROOF_OVER | 1 << HZB_PROOF_WAITING,
    [HZB_PROOF_ABSENT] = 0,
    [HZB_PROOF_OVER] = 0,
  };
  if (!(legal[entry->proof] & 1u << to))
    {
      g_critical ("quarantine: illegal change %s -> %s", proof_names[entry->proof], proof_names[to]);
      return;
    }
  entry->proof = to;
}

static void
entry_free (gpointer data)
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
  quarantine->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
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

void
hzb_quarantine_load (HzbQuarantine *quarantine, const HzbKvEntry *item)
{
  g_autoptr (GError) error = NULL;

  quarantine->kept_version = item->version;
  if (!hzb_kept_decode (item->value, quarantine->kept, &error))
    g_warning ("reconciliation: the record of kept tasks can't be read and counts for nothing: %s", error->message);
}

static char *
kept_name (const char *uid, guint task)
{
  return g_strdup_printf ("%s/%u", uid, task);
}

gboolean
hzb_quarantine_is_kept (const HzbQuarantine *quarantine, const HzbQuarantined *entry)
{
  g_autofree char *name = kept_name (entry->uid, entry->task);
  return g_hash_table_contains (quarantine->kept, name);
}

/* ---- verdicts ---- */

static HzbQuarantined *
find_or_add (HzbQuarantine *quarantine, const HzbMachine *machine, const HzbTaskStatus *task_status,
             struct timespec now)
{
  g_autofree char *name = g_strdup_printf ("%s/%u %" G_GUINT64_FORMAT " %s", task_status->uid, task_status->task,
                                           task_status->attempt, machine->name);
  HzbQuarantined *entry = g_hash_table_lookup (quarantine->entries, name);

  if (entry)
    return entry;
  if (g_hash_table_size (quarantine->entries) >= MOST_ENTRIES)
    {
      quarantine->overflow++;
      return NULL;
    }
  entry = g_new0 (HzbQuarantined, 1);
  entry->uid = g_strdup (task_status->uid);
  entry->machine = g_strdup (machine->name);
  entry->task = task_status->task;
  entry->attempt = task_status->attempt;
  entry->first_seen = now;
  g_message ("reconciliation: %s reports task %s/%u, which no record names: it is left alone until that is proven",
             machine->name, entry->uid, entry->task);
  g_hash_table_insert (quarantine->entries, g_steal_pointer (&name), entry);
  return entry;
}

static HzbTaskEvidence
evidence_of (const HzbQuarantine *quarantine, const HzbQuarantined *entry, struct timespec now)
{
  const HzbReconciliationSettings *settings = &quarantine->dependencies.node->settings->reconciliation;
  HzbTaskEvidence evidence = { .standing = HZB_STANDING_NOWHERE, .job_decided = TRUE };

  evidence.record = entry->proof == HZB_PROOF_ABSENT ? HZB_RECORD_ABSENT
                    : entry->proof == HZB_PROOF_OVER ? HZB_RECORD_OVER
                                                     : HZB_RECORD_ABSENT_UNPROVEN;
  evidence.shown = entry->alive ? HZB_SHOWN_ALIVE : HZB_SHOWN_ENDED;
  evidence.operator_decision = hzb_quarantine_is_kept (quarantine, entry) ? HZB_OPERATOR_KEEPS
                               : entry->stop_requested                    ? HZB_OPERATOR_STOPS
                                                                          : HZB_OPERATOR_SILENT;
  evidence.operator_time_over = hzb_time_between (entry->first_seen, now) > settings->operator_s;
  return evidence;
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

/* ---- proofs ---- */

static void
on_old_end_read (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbQuarantine *quarantine = epoch_call->module;
  g_autofree char *name = epoch_call->data;
  HzbQuarantined *entry = NULL;

  if (hzb_epoch_call_is_current (epoch_call))
    {
      quarantine->reading--;
      entry = g_hash_table_lookup (quarantine->entries, name);
    }
  g_free (epoch_call);
  if (!entry || entry->proof != HZB_PROOF_READING)
    return;
  /* It may have come while the old place was read; then it is ordinary work. */
  if (hzb_jobs_find (quarantine->dependencies.jobs, entry->uid))
    set_proof (entry, HZB_PROOF_WAITING);
  else if (result == HZB_KV_NOT_FOUND)
    set_proof (entry, HZB_PROOF_ABSENT);
  else
    set_proof (entry, result == HZB_KV_OK ? HZB_PROOF_OVER : HZB_PROOF_WAITING);
}

static void
read_old_end (HzbQuarantine *quarantine, const char *name, HzbQuarantined *entry)
{
  g_autofree char *key = g_strconcat (HZB_KEY_ARCHIVED, entry->uid, NULL);

  set_proof (entry, HZB_PROOF_READING);
  quarantine->reading++;
  hzb_kv_client_get (quarantine->dependencies.kv, HZB_KV_READ, key, on_old_end_read,
                     hzb_epoch_call_new (quarantine->dependencies.ownership, quarantine, g_strdup (name)));
}

static void
on_synced (gboolean fresh, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbQuarantine *quarantine = epoch_call->module;
  gboolean current = hzb_epoch_call_is_current (epoch_call);
  GHashTableIter iter;
  gpointer name, value;

  g_free (epoch_call);
  if (!current)
    return;
  quarantine->syncing = FALSE;
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      HzbQuarantined *entry = value;
      if (entry->proof != HZB_PROOF_SYNCING)
        continue;
      if (fresh && !hzb_jobs_find (quarantine->dependencies.jobs, entry->uid) && quarantine->reading < MOST_READS)
        read_old_end (quarantine, name, entry);
      else
        set_proof (entry, HZB_PROOF_WAITING);
    }
}

/* One request brings the replica of the records up to the moment for all that have waited long enough. */
static void
prove_some (HzbQuarantine *quarantine, struct timespec now)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  if (quarantine->syncing || quarantine->reading || hzb_time_before (now, quarantine->next_proof))
    return;
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (n < MOST_READS && g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbQuarantined *entry = value;
      if (entry->proof != HZB_PROOF_WAITING
          || hzb_time_between (entry->first_seen, now) < LATE_WRITE_S + LATE_WRITE_SLACK_S)
        continue;
      set_proof (entry, HZB_PROOF_SYNCING);
      n++;
    }
  if (!n)
    return;
  quarantine->syncing = TRUE;
  quarantine->next_proof = hzb_time_plus (now, RETRY_S);
  hzb_kv_replica_sync (quarantine->dependencies.kv_replica, on_synced,
                       hzb_epoch_call_new (quarantine->dependencies.ownership, quarantine, NULL));
}

/* Guards against a task that starts elsewhere although a machine has it: its job's acceptance was carried out late. It
 * counts as being there until the machine's next report, which is the next to show what has become of it. */
static gboolean
adopt_if_recorded (gpointer name, gpointer value, gpointer user)
{
  const HzbQuarantineDependencies *uses = &((HzbQuarantine *) user)->dependencies;
  const HzbQuarantined *entry = value;
  HzbJob *job = hzb_jobs_find (uses->jobs, entry->uid);
  HzbMachine *machine = hzb_machines_find (uses->machines, entry->machine);
  HzbTask *task;

  if (!job || job->state != HZB_JOB_ACCEPTED || !job->tasks || entry->task >= job->n_tasks)
    return FALSE;
  task = &job->tasks[entry->task];
  if (machine && machine->state == HZB_MACHINE_ACTIVE
      && (task->state == HZB_TASK_PENDING || task->state == HZB_TASK_QUEUED))
    {
      g_message ("reconciliation: the record of %s came late; task %u goes on on %s", entry->uid, entry->task,
                 entry->machine);
      if (task->state == HZB_TASK_QUEUED)
        hzb_task_set_state (uses->jobs, task, HZB_TASK_PENDING, NULL);
      task->attempt = entry->attempt;
      job->next_attempt = MAX (job->next_attempt, entry->attempt);
      hzb_task_set_state (uses->jobs, task, HZB_TASK_RUNNING, machine);
    }
  return TRUE;
}

static gboolean
is_gone (gpointer name, gpointer value, gpointer user)
{
  const HzbQuarantine *quarantine = user;
  const HzbQuarantined *entry = value;
  const HzbSettings *settings = quarantine->dependencies.node->settings;
  double silent = hzb_time_between (entry->last_seen, hzb_clock_now (quarantine->dependencies.node->clock));

  if (entry->proof == HZB_PROOF_SYNCING || entry->proof == HZB_PROOF_READING)
    return FALSE;
  return silent > MAX (settings->lease_s, FORGET_REPORTS * settings->heartbeat_interval_s);
}

void
hzb_quarantine_tick (HzbQuarantine *quarantine, struct timespec now)
{
  if (!g_hash_table_size (quarantine->entries))
    return;
  g_hash_table_foreach_remove (quarantine->entries, adopt_if_recorded, quarantine);
  g_hash_table_foreach_remove (quarantine->entries, is_gone, quarantine);
  prove_some (quarantine, now);
}

/* ---- operators ---- */

typedef struct
{
  GHashTable *kept; /* as it is once this is durable */
  HzbKeepFunc done;
  gpointer user;
} KeepCall;

static void
keep_call_free (KeepCall *call)
{
  g_hash_table_unref (call->kept);
  g_free (call);
}

static void
on_kept (HzbKvResult result, const char *body, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbQuarantine *quarantine = epoch_call->module;
  KeepCall *call = epoch_call->data;
  gboolean current = hzb_epoch_call_is_current (epoch_call);
  HzbKeepResult outcome = HZB_KEEP_UNAVAILABLE;

  g_free (epoch_call);
  if (current)
    quarantine->writing = FALSE;
  if (result == HZB_KV_OK)
    outcome = HZB_KEEP_DONE;
  else if (result == HZB_KV_CONFLICT)
    outcome = HZB_KEEP_CONFLICT;
  if (current && result == HZB_KV_OK)
    {
      hzb_kv_commit_decode (body, &quarantine->kept_version, NULL);
      g_hash_table_unref (quarantine->kept);
      quarantine->kept = g_hash_table_ref (call->kept);
    }
  call->done (outcome, call->user);
  keep_call_free (call);
}

static GHashTable *
copy_of_kept (const HzbQuarantine *quarantine)
{
  GHashTable *copy = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, quarantine->kept);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_hash_table_add (copy, g_strdup (name));
  return copy;
}

static void
write_kept (HzbQuarantine *quarantine, GHashTable *kept, HzbKeepFunc done, gpointer user)
{
  const HzbQuarantineDependencies *uses = &quarantine->dependencies;
  KeepCall *call = g_new0 (KeepCall, 1);
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();

  call->kept = kept;
  call->done = done;
  call->user = user;
  quarantine->writing = TRUE;
  hzb_election_add_condition (uses->election, transaction);
  hzb_kv_transaction_compare (transaction, HZB_KEY_RECONCILIATION_KEPT, quarantine->kept_version);
  hzb_kv_transaction_put (transaction, HZB_KEY_RECONCILIATION_KEPT, hzb_kept_encode (kept), 0);
  hzb_kv_client_commit (uses->kv, HZB_KV_RECORD, transaction, on_kept,
                        hzb_epoch_call_new (uses->ownership, quarantine, call));
}

/* All attempts of the task, on whatever machines. Returns: how many there are; *proven: no record names it, or will. */
static guint
mark_stop_requested (HzbQuarantine *quarantine, const char *uid, guint task, gboolean stop, gboolean *proven)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  *proven = TRUE;
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbQuarantined *entry = value;
      if (!g_str_equal (entry->uid, uid) || entry->task != task)
        continue;
      *proven = *proven && entry->proof >= HZB_PROOF_ABSENT;
      entry->stop_requested = stop;
      n++;
    }
  return n;
}

void
hzb_quarantine_decide (HzbQuarantine *quarantine, const char *uid, guint task, HzbOperatorDecision decision,
                       HzbKeepFunc done, gpointer user)
{
  g_autofree char *name = kept_name (uid, task);
  gboolean stop = decision == HZB_OPERATOR_STOPS, proven;
  gboolean kept = g_hash_table_contains (quarantine->kept, name);
  GHashTable *next;

  if (quarantine->writing)
    {
      done (HZB_KEEP_BUSY, user);
      return;
    }
  if (!mark_stop_requested (quarantine, uid, task, FALSE, &proven) && !kept)
    {
      done (HZB_KEEP_NOT_FOUND, user);
      return;
    }
  if (stop && !proven)
    {
      done (HZB_KEEP_NOT_PROVEN, user);
      return;
    }
  mark_stop_requested (quarantine, uid, task, stop, &proven);
  if (kept != stop)
    {
      done (HZB_KEEP_DONE, user); /* nothing durable changes */
      return;
    }
  if (!stop && g_hash_table_size (quarantine->kept) >= MOST_KEPT)
    {
      done (HZB_KEEP_TOO_MANY, user);
      return;
    }
  next = copy_of_kept (quarantine);
  if (stop)
    g_hash_table_remove (next, name);
  else
    g_hash_table_add (next, g_steal_pointer (&name));
  write_kept (quarantine, next, done, user);
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
