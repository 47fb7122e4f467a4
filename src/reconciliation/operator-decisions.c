/* Decisions of operators about quarantined tasks. A decision to keep a task is durable, so that the next leader keeps
 * the task too. A decision to stop a task is not durable: the next leader first has to prove again that no record names
 * it. */
#include "quarantine-private.h"

#include "reconciliation-codec.h"
#include "record-keys.h"

#define MAX_KEPT_TASKS 64u /* the record of kept tasks must fit into a value even at the lowest limit of the settings */

void
hzb_quarantine_load (HzbQuarantine *quarantine, const HzbKvEntry *item)
{
  g_autoptr (GError) error = NULL;

  quarantine->kept_version = item->version;
  if (!hzb_kept_tasks_decode (item->value, quarantine->kept, &error))
    g_warning (
        "reconciliation: %s, the record of the tasks that operators keep, can't be read and is ignored, so these tasks "
        "may be stopped: %s. Save a copy of the record, then decide again about each task in the quarantine list of "
        "GET reconciliation",
        item->key, error->message);
}

/* Returns: (transfer full): "JOB/NUMBER" */
static char *
task_name (const char *uid, guint task)
{
  return g_strdup_printf ("%s/%u", uid, task);
}

gboolean
hzb_quarantine_is_kept (const HzbQuarantine *quarantine, const HzbQuarantinedTask *entry)
{
  g_autofree char *name = task_name (entry->uid, entry->task);
  return g_hash_table_contains (quarantine->kept, name);
}

/* ---- the write of the record of kept tasks ---- */

/* A write of the record of kept tasks, in flight. */
typedef struct
{
  GHashTable *kept; /* (element-type utf8): the kept tasks once the write is durable */
  HzbDecisionFunc done;
  gpointer user;
} KeptWrite;

static void
kept_write_free (KeptWrite *kept_write)
{
  g_hash_table_unref (kept_write->kept);
  g_free (kept_write);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (KeptWrite, kept_write_free)

static HzbDecisionResult
decision_result (HzbKvResult result)
{
  switch (result)
    {
    case HZB_KV_OK:
      return HZB_DECISION_DONE;
    case HZB_KV_CONFLICT:
      return HZB_DECISION_CONFLICT;
    default:
      return HZB_DECISION_UNAVAILABLE;
    }
}

/* The operator gets a response even if the leadership has ended since the write was sent. */
static void
on_kept_written (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbQuarantine *quarantine = epoch_call->module;
  g_autoptr (KeptWrite) kept_write = epoch_call->data;

  if (hzb_epoch_call_is_current (epoch_call))
    {
      quarantine->writing = FALSE;
      if (result == HZB_KV_OK)
        {
          hzb_kv_commit_decode (body, &quarantine->kept_version, NULL);
          g_hash_table_unref (quarantine->kept);
          quarantine->kept = g_hash_table_ref (kept_write->kept);
        }
    }
  kept_write->done (decision_result (result), kept_write->user);
}

/* @kept: (transfer full): the new set of kept tasks */
static void
write_kept (HzbQuarantine *quarantine, GHashTable *kept, HzbDecisionFunc done, gpointer user)
{
  const HzbQuarantineDependencies *modules = &quarantine->dependencies;
  KeptWrite *kept_write = g_new0 (KeptWrite, 1);
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();

  kept_write->kept = kept;
  kept_write->done = done;
  kept_write->user = user;
  quarantine->writing = TRUE;
  hzb_election_add_condition (modules->election, transaction);
  hzb_kv_transaction_compare (transaction, HZB_KEY_RECONCILIATION_KEPT_TASKS, quarantine->kept_version);
  hzb_kv_transaction_put (transaction, HZB_KEY_RECONCILIATION_KEPT_TASKS, hzb_kept_tasks_encode (kept), 0);
  hzb_kv_client_commit (modules->kv, HZB_KV_RECORD, transaction, on_kept_written,
                        hzb_epoch_call_new (modules->ownership, quarantine, kept_write));
}

/* Returns: (transfer full): a copy of the set of kept tasks, with the task @name added or removed */
static GHashTable *
copy_kept_with_change (const HzbQuarantine *quarantine, const char *name, gboolean keep)
{
  GHashTable *copy = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer kept_name;

  g_hash_table_iter_init (&iter, quarantine->kept);
  while (g_hash_table_iter_next (&iter, &kept_name, NULL))
    g_hash_table_add (copy, g_strdup (kept_name));
  if (keep)
    g_hash_table_add (copy, g_strdup (name));
  else
    g_hash_table_remove (copy, name);
  return copy;
}

/* ---- decisions ---- */

/* A decision applies to all attempts of the task, on all machines. */
static void
set_stop_requested (HzbQuarantine *quarantine, const char *uid, guint task, gboolean stop)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbQuarantinedTask *entry = value;
      if (g_str_equal (entry->uid, uid) && entry->task == task)
        entry->stop_requested = stop;
    }
}

/* Returns: how many attempts of the task are quarantined
 * @proven: (out): whether the proof is complete for each of them; %TRUE if there are none */
static guint
count_attempts (const HzbQuarantine *quarantine, const char *uid, guint task, gboolean *proven)
{
  GHashTableIter iter;
  gpointer value;
  guint n_attempts = 0;

  *proven = TRUE;
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HzbQuarantinedTask *entry = value;
      if (!g_str_equal (entry->uid, uid) || entry->task != task)
        continue;
      *proven = *proven && entry->proof >= HZB_PROOF_ABSENT;
      n_attempts++;
    }
  return n_attempts;
}

void
hzb_quarantine_apply_decision (HzbQuarantine *quarantine, const char *uid, guint task, HzbOperatorDecision decision,
                               HzbDecisionFunc done, gpointer user)
{
  g_autofree char *name = task_name (uid, task);
  gboolean keep = decision != HZB_OPERATOR_STOP, proven;
  gboolean already_kept = g_hash_table_contains (quarantine->kept, name);
  guint attempts = count_attempts (quarantine, uid, task, &proven);

  if (quarantine->writing)
    {
      done (HZB_DECISION_BUSY, user);
      return;
    }
  /* A new decision revokes an earlier decision to stop the task, even if the new decision is refused below. */
  set_stop_requested (quarantine, uid, task, FALSE);
  if (!attempts && !already_kept)
    {
      done (HZB_DECISION_NOT_FOUND, user);
      return;
    }
  if (!keep && !proven)
    {
      done (HZB_DECISION_NOT_PROVEN, user);
      return;
    }
  set_stop_requested (quarantine, uid, task, !keep);
  if (already_kept == keep)
    done (HZB_DECISION_DONE, user); /* the record of kept tasks does not change */
  else if (keep && g_hash_table_size (quarantine->kept) >= MAX_KEPT_TASKS)
    done (HZB_DECISION_TOO_MANY_KEPT, user);
  else
    write_kept (quarantine, copy_kept_with_change (quarantine, name, keep), done, user);
}
