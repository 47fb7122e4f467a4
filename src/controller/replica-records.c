/* What the replica of the records shows, handed to the modules that keep it. */
#include "controller-private.h"
#include "json.h"
#include "record-keys.h"

#include <string.h>

static void
apply_job_record (HzbController *controller, const HzbKvEntry *entry)
{
  const char *uid = entry->key + strlen (HZB_KEY_JOBS);

  if (entry->value)
    hzb_jobs_apply (controller->jobs, uid, entry->value, entry->version);
  else
    {
      hzb_dispatch_clear_indexes (controller->dispatch);
      hzb_jobs_remove (controller->jobs, uid); /* the leader has moved the record to the archive */
    }
}

void
hzb_controller_apply_record (HzbController *controller, const HzbKvEntry *entry)
{
  if (g_str_has_prefix (entry->key, HZB_KEY_JOBS))
    apply_job_record (controller, entry);
  else if (g_str_has_prefix (entry->key, HZB_KEY_ACCEPTED))
    {
      hzb_jobs_apply_acceptance (controller->jobs, entry->key, entry->value);
      controller->dispatch->next_run = (struct timespec){ 0 };
    }
  else if (g_str_equal (entry->key, HZB_KEY_SETTINGS))
    hzb_admin_apply_settings (controller->admin, entry);
  else
    hzb_election_apply_record (controller->election, entry);
}

/* Guards against a job that completed and is taken for an unfinished one: while the records are read anew, a job without a record
 * of its completion may be one that this node owns. So the node gives up its shard before it reads. */
static gboolean
may_load (gpointer user)
{
  HzbController *controller = user;
  return hzb_ownership_state (controller->ownership) == HZB_OWNERSHIP_NONE;
}

static void
begin_load (gpointer user)
{
  HzbController *controller = user;
  controller->load_saw_leader = FALSE;
  hzb_jobs_load_begin (controller->jobs);
}

static gboolean
is_leader_record (const HzbKvEntry *entry)
{
  return g_str_equal (entry->key, HZB_KEY_LEADER_SCHEMA_1) || g_str_equal (entry->key, HZB_KEY_LEADER_SCHEMA_2);
}

/* Cancellations are logged for controllers that have not seen their records. */
static void
log_cancellation (HzbController *controller, const HzbKvEntry *entry)
{
  const HzbJob *job = NULL;

  if (entry->value && g_str_has_prefix (entry->key, HZB_KEY_JOBS))
    job = hzb_jobs_find (controller->jobs, entry->key + strlen (HZB_KEY_JOBS));
  if (job)
    hzb_cancellations_note_record (controller->cancellations, job, entry->version);
}

static void
apply_entry (const HzbKvEntry *entry, gpointer user)
{
  HzbController *controller = user;

  if (is_leader_record (entry) && hzb_json_u64 (entry->value, "lease"))
    controller->load_saw_leader = TRUE;
  hzb_controller_apply_record (controller, entry);
  log_cancellation (controller, entry);
}

static void
end_load (guint64 revision, gpointer user)
{
  HzbController *controller = user;

  if (!controller->load_saw_leader)
    {
      HzbKvEntry no_leader = { (char *) HZB_KEY_LEADER_SCHEMA_1, NULL, revision };
      hzb_election_apply_record (controller->election, &no_leader);
    }
  hzb_dispatch_clear_indexes (controller->dispatch);
  hzb_jobs_load_end (controller->jobs);
  hzb_cancellations_note_load (controller->cancellations, revision);
}

/* A node that has missed too many changes can't tell which of the jobs that it owns have completed. */
static void
lost_changes (gpointer user)
{
  HzbController *controller = user;
  static const char *const why = "its replica of the records is too far behind";

  hzb_election_step_down (controller->election, why);
  hzb_controller_end_leased (controller, why);
}

const HzbKvReplicaCallbacks hzb_controller_replica_callbacks = { may_load, begin_load, apply_entry, end_load,
                                                                 lost_changes };
