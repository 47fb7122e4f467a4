/* Proof that no record names a task.
 *
 * If a transaction gets no response, the key-value store may still carry it out up to 12 s after it was sent, so a
 * record of the job may be written until then. After that time, the quarantine syncs the record replica and reads the
 * archived completion of the job: the completion record of an old job is archived, so the replica does not contain it.
 * The proof is complete if neither the replica nor the archived completions name the job. If a step fails, the proof
 * starts again. */
#include "quarantine-private.h"

#include "record-keys.h"

#define LATE_WRITE_S 12.0
#define LATE_WRITE_SLACK_S 3.0 /* allowance for clock drift */
#define MAX_READS 8u           /* maximum number of tasks in a round, each with one read */
#define ROUND_INTERVAL_S 2.0   /* minimum from the start of a round to the start of the next */

/* ---- reading the archived completion ---- */

static HzbQuarantineProof
proof_after_read (HzbQuarantine *quarantine, const HzbQuarantinedTask *entry, HzbKvResult result)
{
  /* The job's record may have arrived during the read: then the next tick adopts the task. */
  if (hzb_jobs_find (quarantine->dependencies.jobs, entry->uid))
    return HZB_PROOF_WAITING;
  if (result == HZB_KV_NOT_FOUND)
    return HZB_PROOF_ABSENT;
  return result == HZB_KV_OK ? HZB_PROOF_JOB_TERMINAL : HZB_PROOF_WAITING;
}

static void
on_archived_completion_read (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbQuarantine *quarantine = epoch_call->module;
  g_autofree char *name = epoch_call->data;
  HzbQuarantinedTask *entry;

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  quarantine->reads_in_flight--;
  entry = g_hash_table_lookup (quarantine->entries, name);
  if (entry && entry->proof == HZB_PROOF_READING)
    hzb_quarantine_set_proof (entry, proof_after_read (quarantine, entry, result));
}

static void
read_archived_completion (HzbQuarantine *quarantine, const char *name, HzbQuarantinedTask *entry)
{
  const HzbQuarantineDependencies *modules = &quarantine->dependencies;
  g_autofree char *key = g_strconcat (HZB_KEY_ARCHIVED, entry->uid, NULL);

  hzb_quarantine_set_proof (entry, HZB_PROOF_READING);
  quarantine->reads_in_flight++;
  hzb_kv_client_get (modules->kv, HZB_KV_READ, key, on_archived_completion_read,
                     hzb_epoch_call_new (modules->ownership, quarantine, g_strdup (name)));
}

/* ---- rounds: a sync of the record replica, then the reads ---- */

/* A task that does not get a read in this round waits for a later round: the sync failed, the task's job has a record
 * now, or MAX_READS reads are in flight. */
static void
on_synced (gboolean fresh, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbQuarantine *quarantine = epoch_call->module;
  GHashTableIter iter;
  gpointer name, value;

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  quarantine->syncing = FALSE;
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      HzbQuarantinedTask *entry = value;
      if (entry->proof != HZB_PROOF_SYNCING)
        continue;
      if (fresh && !hzb_jobs_find (quarantine->dependencies.jobs, entry->uid)
          && quarantine->reads_in_flight < MAX_READS)
        read_archived_completion (quarantine, name, entry);
      else
        hzb_quarantine_set_proof (entry, HZB_PROOF_WAITING);
    }
}

/* Selects at most MAX_READS tasks that are due, and changes the state of their proofs to syncing.
 * Returns: the number of selected tasks */
static guint
select_due_tasks (HzbQuarantine *quarantine, struct timespec now)
{
  GHashTableIter iter;
  gpointer value;
  guint n_selected = 0;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (n_selected < MAX_READS && g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbQuarantinedTask *entry = value;
      if (entry->proof != HZB_PROOF_WAITING
          || hzb_time_between (entry->first_seen, now) < LATE_WRITE_S + LATE_WRITE_SLACK_S)
        continue;
      hzb_quarantine_set_proof (entry, HZB_PROOF_SYNCING);
      n_selected++;
    }
  return n_selected;
}

/* A round syncs the record replica once for all its tasks. */
void
hzb_quarantine_start_proofs (HzbQuarantine *quarantine, struct timespec now)
{
  const HzbQuarantineDependencies *modules = &quarantine->dependencies;

  if (quarantine->syncing || quarantine->reads_in_flight || hzb_time_before (now, quarantine->next_proof))
    return;
  if (!select_due_tasks (quarantine, now))
    return;
  quarantine->syncing = TRUE;
  quarantine->next_proof = hzb_time_plus (now, ROUND_INTERVAL_S);
  hzb_kv_replica_sync (modules->kv_replica, on_synced, hzb_epoch_call_new (modules->ownership, quarantine, NULL));
}
