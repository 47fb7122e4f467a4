/* Passes the records that this node replicates from the key-value store to the modules that keep them. */
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
      /* The leader has moved the job's record to the archive. The dispatcher's indexes may refer to the job, which may
       * be freed here. */
      hzb_dispatch_clear_indexes (controller->dispatch);
      hzb_jobs_remove (controller->jobs, uid);
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

/* A load reads all records again. Until it ends, a job that this node owns may have a completion record that the load
 * has not read yet, and this node would treat the completed job as unfinished. So a load must wait until this node has
 * given up its shard. */
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
  controller->load_shows_leader = FALSE;
  hzb_jobs_load_begin (controller->jobs);
}

static gboolean
is_leader_record (const HzbKvEntry *entry)
{
  return g_str_equal (entry->key, HZB_KEY_LEADER_SCHEMA_1) || g_str_equal (entry->key, HZB_KEY_LEADER_SCHEMA_2);
}

/* Passes the job of a record to the cancellations module, which adds a cancelled job to its log. From the log, peers
 * learn of cancellations whose records they have not read. */
static void
note_job_record (HzbController *controller, const HzbKvEntry *entry)
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
    controller->load_shows_leader = TRUE;
  hzb_controller_apply_record (controller, entry);
  note_job_record (controller, entry);
}

static void
end_load (guint64 revision, gpointer user)
{
  HzbController *controller = user;

  if (!controller->load_shows_leader)
    {
      /* The election treats the leader records of both schema versions alike when they are deleted. */
      HzbKvEntry no_leader = { (char *) HZB_KEY_LEADER_SCHEMA_1, NULL, revision };
      hzb_election_apply_record (controller->election, &no_leader);
    }
  hzb_dispatch_clear_indexes (controller->dispatch); /* they may refer to jobs that the end of the load frees */
  hzb_jobs_load_end (controller->jobs);
  hzb_cancellations_note_load (controller->cancellations, revision);
}

/* The replica has missed changes, so this node does not know which of the jobs that it owns have completed. It gives up
 * its shard. */
static void
handle_lost_changes (gpointer user)
{
  HzbController *controller = user;
  static const char *const why = "the replica of the records has missed changes and must be loaded again";

  hzb_election_step_down (controller->election, why);
  hzb_controller_end_shard_lease (controller, why);
}

const HzbKvReplicaCallbacks hzb_controller_replica_callbacks = { may_load, begin_load, apply_entry, end_load,
                                                                 handle_lost_changes };
