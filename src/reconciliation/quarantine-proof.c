/* Proving that no record names a task.
 *
 * A transaction without a response may be carried out up to 12 s after it was sent, so a record may still come until
 * then. After that, the replica of the records is brought up to the moment, and the archived completion of the job
 * is read: an old completion record is there. Only if neither names the job, the proof is complete.
 * Whatever fails begins the proof anew. */
#include "quarantine-private.h"

#include "record-keys.h"

#define LATE_WRITE_S 12.0
#define LATE_WRITE_SLACK_S 3.0 /* clocks drift */
#define MOST_READS 8u          /* of archived completions, in one round */
#define ROUND_INTERVAL_S 2.0

/* ---- reading the archived completion ---- */

static HzbQuarantineProof
outcome_of (HzbQuarantine *quarantine, const HzbQuarantined *entry, HzbKvResult result)
{
  /* The record may have come during the read: then the task is ordinary work. */
  if (hzb_jobs_find (quarantine->dependencies.jobs, entry->uid))
    return HZB_PROOF_WAITING;
  if (result == HZB_KV_NOT_FOUND)
    return HZB_PROOF_ABSENT;
  return result == HZB_KV_OK ? HZB_PROOF_OVER : HZB_PROOF_WAITING;
}

static void
on_archived_completion_read (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbQuarantine *quarantine = epoch_call->module;
  g_autofree char *name = epoch_call->data;
  HzbQuarantined *entry;

  if (!hzb_epoch_call_is_current (epoch_call))
    return;
  quarantine->reading--;
  entry = g_hash_table_lookup (quarantine->entries, name);
  if (entry && entry->proof == HZB_PROOF_READING)
    hzb_quarantine_set_proof (entry, outcome_of (quarantine, entry, result));
}

static void
read_archived_completion (HzbQuarantine *quarantine, const char *name, HzbQuarantined *entry)
{
  const HzbQuarantineDependencies *uses = &quarantine->dependencies;
  g_autofree char *key = g_strconcat (HZB_KEY_ARCHIVED, entry->uid, NULL);

  hzb_quarantine_set_proof (entry, HZB_PROOF_READING);
  quarantine->reading++;
  hzb_kv_client_get (uses->kv, HZB_KV_READ, key, on_archived_completion_read,
                     hzb_epoch_call_new (uses->ownership, quarantine, g_strdup (name)));
}

/* ---- bringing the replica up to the moment ---- */

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
      HzbQuarantined *entry = value;
      if (entry->proof != HZB_PROOF_SYNCING)
        continue;
      if (fresh && !hzb_jobs_find (quarantine->dependencies.jobs, entry->uid) && quarantine->reading < MOST_READS)
        read_archived_completion (quarantine, name, entry);
      else
        hzb_quarantine_set_proof (entry, HZB_PROOF_WAITING);
    }
}

/* Returns: how many tasks take part in this round. */
static guint
select_due (HzbQuarantine *quarantine, struct timespec now)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (n < MOST_READS && g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbQuarantined *entry = value;
      if (entry->proof != HZB_PROOF_WAITING
          || hzb_time_between (entry->first_seen, now) < LATE_WRITE_S + LATE_WRITE_SLACK_S)
        continue;
      hzb_quarantine_set_proof (entry, HZB_PROOF_SYNCING);
      n++;
    }
  return n;
}

/* One sync of the replica serves all tasks of a round. */
void
hzb_quarantine_prove (HzbQuarantine *quarantine, struct timespec now)
{
  const HzbQuarantineDependencies *uses = &quarantine->dependencies;

  if (quarantine->syncing || quarantine->reading || hzb_time_before (now, quarantine->next_proof))
    return;
  if (!select_due (quarantine, now))
    return;
  quarantine->syncing = TRUE;
  quarantine->next_proof = hzb_time_plus (now, ROUND_INTERVAL_S);
  hzb_kv_replica_sync (uses->kv_replica, on_synced, hzb_epoch_call_new (uses->ownership, quarantine, NULL));
}
