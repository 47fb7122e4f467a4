#include "jobs.h"

#include "record-keys.h"

/* Maximum number of terminal jobs that stay replicated. Users rarely ask about older ones, and each job takes about 600
 * bytes of memory on every controller. */
#define MAX_REPLICATED_COMPLETED 2000u

/* Number of tasks in a chunk of a job's progress: CHUNK_TASKS if the key-value store accepts values of
 * SMALL_VALUES_BELOW_KB or more, CHUNK_TASKS_SMALL_VALUES if it accepts only smaller values. */
#define CHUNK_TASKS 8192u
#define CHUNK_TASKS_SMALL_VALUES 4096u
#define SMALL_VALUES_BELOW_KB 2

static void
job_free (gpointer data)
{
  HzbJob *job = data;

  hzb_job_clear_owner_state (job);
  g_slist_free (job->acceptances);
  hzb_job_spec_free (job->spec);
  g_free (job->uid);
  g_free (job);
}

static void
acceptance_free (gpointer data)
{
  HzbAcceptance *acceptance = data;
  g_ptr_array_unref (acceptance->jobs);
  g_free (acceptance->key);
  g_free (acceptance);
}

HzbJobs *
hzb_jobs_new (HzbClock *clock, const HzbSettings *settings)
{
  HzbJobs *jobs = g_new0 (HzbJobs, 1);
  jobs->by_uid = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_free);
  jobs->acceptances = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, acceptance_free);
  jobs->active = g_ptr_array_new ();
  jobs->max_replicated_completed = MAX_REPLICATED_COMPLETED;
  jobs->chunk_tasks = settings->kv_value_kb >= SMALL_VALUES_BELOW_KB ? CHUNK_TASKS : CHUNK_TASKS_SMALL_VALUES;
  jobs->estimate_biases = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  jobs->clock = clock;
  jobs->settings = settings;
  return jobs;
}

void
hzb_jobs_free (HzbJobs *jobs)
{
  g_queue_clear (&jobs->completed);
  g_ptr_array_unref (jobs->active);
  g_hash_table_unref (jobs->estimate_biases);
  g_hash_table_unref (jobs->by_uid);
  g_hash_table_unref (jobs->acceptances);
  g_free (jobs);
}

HzbJob *
hzb_jobs_find (HzbJobs *jobs, const char *uid)
{
  return g_hash_table_lookup (jobs->by_uid, uid);
}

/* ---- acceptance records ---- */

/* Removes the record from the registry and from the jobs that it names. */
static void
drop_acceptance (HzbJobs *jobs, HzbAcceptance *acceptance)
{
  for (guint i = 0; i < acceptance->jobs->len; i++)
    {
      HzbJob *job = acceptance->jobs->pdata[i];
      job->acceptances = g_slist_remove (job->acceptances, acceptance);
      job->n_acceptances--;
    }
  g_hash_table_remove (jobs->acceptances, acceptance->key);
}

/* Removes the job from the deleted acceptance records that name it. The job is terminal, but this controller
 * has never read its completion record. */
static void
release_deleted_acceptances (HzbJobs *jobs, HzbJob *job)
{
  GSList *next;
  for (GSList *l = job->acceptances; l; l = next)
    {
      HzbAcceptance *acceptance = l->data;
      next = l->next;
      if (!acceptance->deleted)
        continue;
      job->acceptances = g_slist_delete_link (job->acceptances, l);
      g_ptr_array_remove (acceptance->jobs, job);
      job->n_acceptances--;
      if (!--acceptance->n_open)
        drop_acceptance (jobs, acceptance);
    }
}

/* Counts the job, which has become terminal, as no longer open in the acceptance records that name it, and drops the
 * deleted records that have no open job left. */
static void
close_acceptances (HzbJobs *jobs, HzbJob *job)
{
  g_autoptr (GSList) named_by = g_steal_pointer (&job->acceptances); /* drop_acceptance() changes the list */

  for (GSList *l = named_by; l; l = l->next)
    {
      HzbAcceptance *acceptance = l->data;
      if (!--acceptance->n_open && acceptance->deleted)
        drop_acceptance (jobs, acceptance);
    }
}

static void
apply_acceptance_deletion (HzbJobs *jobs, const char *key)
{
  HzbAcceptance *acceptance = g_hash_table_lookup (jobs->acceptances, key);

  /* The leader records the completions of all jobs before it deletes the record of their acceptance, but this
   * controller may read the deletion first. */
  if (acceptance && acceptance->n_open)
    acceptance->deleting = acceptance->deleted = TRUE;
  else if (acceptance)
    drop_acceptance (jobs, acceptance);
}

static HzbAcceptance *
acceptance_new (HzbJobs *jobs, const char *key)
{
  HzbAcceptance *acceptance = g_new0 (HzbAcceptance, 1);

  acceptance->key = g_strdup (key);
  acceptance->last_load = jobs->load_number;
  acceptance->jobs = g_ptr_array_new ();
  g_hash_table_insert (jobs->acceptances, acceptance->key, acceptance);
  return acceptance;
}

static void
add_to_acceptance (HzbAcceptance *acceptance, HzbJob *job)
{
  job->n_acceptances++;
  g_ptr_array_add (acceptance->jobs, job);
  /* Two controllers may have accepted the same job, and controllers may read the two acceptance records in different
   * order. So each record stays until the job is terminal. */
  if (!job->version)
    {
      job->acceptances = g_slist_prepend (job->acceptances, acceptance);
      acceptance->n_open++;
    }
}

void
hzb_jobs_apply_acceptance (HzbJobs *jobs, const char *key, const cJSON *value)
{
  HzbAcceptance *acceptance = g_hash_table_lookup (jobs->acceptances, key);
  g_autoptr (GArray) accepted = NULL;

  if (!value)
    {
      apply_acceptance_deletion (jobs, key);
      return;
    }
  if (acceptance)
    {
      acceptance->last_load = jobs->load_number;
      return;
    }
  acceptance = acceptance_new (jobs, key);
  accepted = hzb_acceptance_decode (value);
  for (guint i = 0; i < accepted->len; i++)
    {
      const HzbAcceptedJob *named = &g_array_index (accepted, HzbAcceptedJob, i);
      HzbJob *job = hzb_jobs_apply (jobs, named->uid, named->entry, 0);
      if (job)
        add_to_acceptance (acceptance, job);
    }
}

HzbAcceptance *
hzb_jobs_find_deletable_acceptance (HzbJobs *jobs)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, jobs->acceptances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbAcceptance *acceptance = value;
      if (!acceptance->n_open && !acceptance->deleting)
        return acceptance;
    }
  return NULL;
}

/* ---- job records ---- */

static HzbJob *
job_new (HzbJobs *jobs, const char *uid)
{
  HzbJob *job = g_new0 (HzbJob, 1);

  job->uid = g_strdup (uid);
  job->team = -1;
  job->last_load = jobs->load_number;
  g_hash_table_insert (jobs->by_uid, job->uid, job);
  return job;
}

static void
apply_accepted (HzbJobs *jobs, HzbJob *job, HzbJobRecord *record)
{
  job->state = HZB_JOB_ACCEPTED;
  job->accepted = record->accepted;
  job->spec = g_steal_pointer (&record->spec);
  job->n_tasks = record->n_tasks;
  job->team = hzb_settings_find_team (jobs->settings, job->spec->team);
  if (jobs->shard && !jobs->leaseholder)
    hzb_jobs_activate (jobs, job);
}

static void
apply_completed (HzbJobs *jobs, HzbJob *job, const HzbJobRecord *record, guint64 version)
{
  job->version = version;
  g_queue_push_tail (&jobs->completed, job);
  close_acceptances (jobs, job);
  job->state = record->state;
  job->n_tasks = record->n_tasks;
  if (!job->tasks)
    g_clear_pointer (&job->spec, hzb_job_spec_free);
}

HzbJob *
hzb_jobs_apply (HzbJobs *jobs, const char *uid, const cJSON *value, guint64 version)
{
  HzbJob *job = hzb_jobs_find (jobs, uid);
  g_auto (HzbJobRecord) record = { 0 };

  if (job)
    job->last_load = jobs->load_number;
  if (job && (job->version || hzb_job_record_is_acceptance (value)))
    return job;
  if (!hzb_job_record_decode (uid, value, job ? job->n_tasks : 0, &record))
    {
      g_critical ("job %s: its record in the key-value store cannot be decoded; this controller ignores the record. "
                  "Check which version of hazelbank wrote it",
                  uid);
      return NULL;
    }
  if (!job)
    job = job_new (jobs, uid);
  if (record.state == HZB_JOB_ACCEPTED)
    apply_accepted (jobs, job, &record);
  else
    apply_completed (jobs, job, &record, version);
  return job;
}

HzbJob *
hzb_jobs_apply_completion (HzbJobs *jobs, const char *uid, HzbJobState state, guint n_tasks, guint64 version)
{
  HzbJob *job = hzb_jobs_find (jobs, uid);
  const HzbJobRecord record = { .state = state, .n_tasks = n_tasks };

  g_return_val_if_fail (state != HZB_JOB_ACCEPTED, NULL);
  if (job)
    job->last_load = jobs->load_number;
  if (job && job->version)
    return job;
  if (!job)
    job = job_new (jobs, uid);
  apply_completed (jobs, job, &record, version);
  return job;
}

void
hzb_jobs_compare_not_terminal (HzbKvTransaction *transaction, const char *uid)
{
  g_autofree char *replicated = g_strconcat (HZB_KEY_JOBS, uid, NULL);
  g_autofree char *archived = g_strconcat (HZB_KEY_ARCHIVED, uid, NULL);

  hzb_kv_transaction_compare (transaction, replicated, 0);
  hzb_kv_transaction_compare (transaction, archived, 0);
}

/* ---- archiving of completed jobs ---- */

static gint
compare_versions (gconstpointer a, gconstpointer b, gpointer user)
{
  const HzbJob *x = a, *y = b;
  return x->version < y->version ? -1 : x->version > y->version;
}

GPtrArray *
hzb_jobs_list_archivable (HzbJobs *jobs, guint max_jobs)
{
  GPtrArray *archivable = g_ptr_array_new ();
  guint excess = jobs->completed.length > jobs->max_replicated_completed
                     ? jobs->completed.length - jobs->max_replicated_completed
                     : 0;

  if (!excess)
    return archivable;
  /* A full load reads the records in the order of their names, not of their completions. */
  g_queue_sort (&jobs->completed, compare_versions, NULL);
  for (GList *l = jobs->completed.head; l && excess && archivable->len < max_jobs; l = l->next, excess--)
    {
      HzbJob *job = l->data;
      /* While an acceptance record names the job, a controller that starts must find the completion among the
       * replicated records. */
      if (!job->n_acceptances && !job->tasks && !job->archiving)
        g_ptr_array_add (archivable, job);
    }
  return archivable;
}

/* A controller that loads all records in pages may read the acceptance of a job, while the completion record moves to
 * the archive before the page of completion records is read. Without the removal of such a job, this controller would
 * report it as queued permanently. A completion record moves to the archive only after all acceptance records that
 * name the job are deleted. This controller has already read those deletions, so release_deleted_acceptances() removes
 * the job from every acceptance record that this controller still keeps. */
gboolean
hzb_jobs_remove (HzbJobs *jobs, const char *uid)
{
  HzbJob *job = hzb_jobs_find (jobs, uid);

  if (!job)
    return TRUE;
  if (job->state == HZB_JOB_ACCEPTED)
    release_deleted_acceptances (jobs, job);
  if (job->tasks || job->n_acceptances)
    return FALSE;
  g_queue_remove (&jobs->completed, job);
  g_hash_table_remove (jobs->by_uid, uid);
  return TRUE;
}

/* ---- full loads ---- */

void
hzb_jobs_load_begin (HzbJobs *jobs)
{
  jobs->load_number++;
}

/* Returns: (transfer container) (element-type HzbAcceptance): the acceptance records that the full load did not
 * include, or that were deleted after the load had read them */
static GPtrArray *
list_stale_acceptances (HzbJobs *jobs)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *stale = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, jobs->acceptances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HzbAcceptance *acceptance = value;
      if (acceptance->last_load != jobs->load_number || acceptance->deleted)
        g_ptr_array_add (stale, value);
    }
  return stale;
}

/* A controller that missed too many changes loads all records again. A job that completed in the meantime, and whose
 * records are deleted, would otherwise stay accepted on this controller permanently. */
void
hzb_jobs_load_end (HzbJobs *jobs)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GPtrArray) stale = list_stale_acceptances (jobs);

  for (guint i = 0; i < stale->len; i++)
    drop_acceptance (jobs, stale->pdata[i]);
  g_hash_table_iter_init (&iter, jobs->by_uid);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbJob *job = value;
      if (job->tasks || job->n_acceptances || (job->version && job->last_load == jobs->load_number))
        continue;
      g_queue_remove (&jobs->completed, job);
      g_hash_table_iter_remove (&iter);
    }
}
