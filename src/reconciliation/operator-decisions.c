/* What operators decide about quarantined tasks. A decision to keep a task is durable, so that a next leader keeps
 * the task, too. A decision to stop a task is not: the next leader proves anew that no record names it. */
#include "quarantine-private.h"

#include "reconciliation-codec.h"
#include "record-keys.h"

#define MOST_KEPT 64u /* tasks: their record has to fit the smallest value */

void
hzb_quarantine_load (HzbQuarantine *quarantine, const HzbKvEntry *item)
{
  g_autoptr (GError) error = NULL;

  quarantine->kept_version = item->version;
  if (!hzb_kept_decode (item->value, quarantine->kept, &error))
    g_warning (
        "reconciliation: %s, the record of kept tasks, can't be read and counts for nothing: %s. Keep a copy of the "
        "record, and decide again about the tasks that GET reconciliation lists",
        item->key, error->message);
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

/* ---- recording ---- */

/* A write of the record of kept tasks in flight. */
typedef struct
{
  GHashTable *kept; /* as they are once the write is durable */
  HzbKeepFunc done;
  gpointer user;
} KeepCall;

static void
keep_call_free (KeepCall *call)
{
  g_hash_table_unref (call->kept);
  g_free (call);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (KeepCall, keep_call_free)

static HzbKeepResult
keep_result (HzbKvResult result)
{
  switch (result)
    {
    case HZB_KV_OK:
      return HZB_KEEP_DONE;
    case HZB_KV_CONFLICT:
      return HZB_KEEP_CONFLICT;
    default:
      return HZB_KEEP_UNAVAILABLE;
    }
}

/* The operator is answered in every case, also when the leadership has ended since. */
static void
on_kept (HzbKvResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbQuarantine *quarantine = epoch_call->module;
  g_autoptr (KeepCall) call = epoch_call->data;

  if (hzb_epoch_call_is_current (epoch_call))
    {
      quarantine->writing = FALSE;
      if (result == HZB_KV_OK)
        {
          hzb_kv_commit_decode (body, &quarantine->kept_version, NULL);
          g_hash_table_unref (quarantine->kept);
          quarantine->kept = g_hash_table_ref (call->kept);
        }
    }
  call->done (keep_result (result), call->user);
}

/* Takes @kept. */
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

/* Returns: (transfer full): the kept tasks, with the named one added or removed */
static GHashTable *
kept_with_change (const HzbQuarantine *quarantine, const char *name, gboolean keep)
{
  GHashTable *copy = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer kept;

  g_hash_table_iter_init (&iter, quarantine->kept);
  while (g_hash_table_iter_next (&iter, &kept, NULL))
    g_hash_table_add (copy, g_strdup (kept));
  if (keep)
    g_hash_table_add (copy, g_strdup (name));
  else
    g_hash_table_remove (copy, name);
  return copy;
}

/* ---- deciding ---- */

/* A decision is about all attempts of a task, on whatever machines. */
static void
set_stop_requested (HzbQuarantine *quarantine, const char *uid, guint task, gboolean stop)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbQuarantined *entry = value;
      if (g_str_equal (entry->uid, uid) && entry->task == task)
        entry->stop_requested = stop;
    }
}

/* Returns: how many attempts of the task are quarantined. @proven: (out): whether it is proven of all that no record
 * names them. */
static guint
find_attempts (const HzbQuarantine *quarantine, const char *uid, guint task, gboolean *proven)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  *proven = TRUE;
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HzbQuarantined *entry = value;
      if (!g_str_equal (entry->uid, uid) || entry->task != task)
        continue;
      *proven = *proven && entry->proof >= HZB_PROOF_ABSENT;
      n++;
    }
  return n;
}

void
hzb_quarantine_decide (HzbQuarantine *quarantine, const char *uid, guint task, HzbOperatorDecision decision,
                       HzbKeepFunc done, gpointer user)
{
  g_autofree char *name = kept_name (uid, task);
  gboolean keep = decision != HZB_OPERATOR_STOPS, proven;
  gboolean kept = g_hash_table_contains (quarantine->kept, name);
  guint attempts = find_attempts (quarantine, uid, task, &proven);

  if (quarantine->writing)
    {
      done (HZB_KEEP_BUSY, user);
      return;
    }
  /* A new decision revokes an earlier one to stop the task, also when the new one is refused below. */
  set_stop_requested (quarantine, uid, task, FALSE);
  if (!attempts && !kept)
    {
      done (HZB_KEEP_NOT_FOUND, user);
      return;
    }
  if (!keep && !proven)
    {
      done (HZB_KEEP_NOT_PROVEN, user);
      return;
    }
  set_stop_requested (quarantine, uid, task, !keep);
  if (kept == keep)
    done (HZB_KEEP_DONE, user); /* nothing durable changes */
  else if (keep && g_hash_table_size (quarantine->kept) >= MOST_KEPT)
    done (HZB_KEEP_TOO_MANY, user);
  else
    write_kept (quarantine, kept_with_change (quarantine, name, keep), done, user);
}
