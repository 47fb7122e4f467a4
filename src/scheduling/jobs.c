#include "jobs.h"

#include "json.h"
#include "kv-protocol.h"
#include "machines.h"
#include "record-keys.h"
#include "user-protocol.h"

#include <math.h>
#include <string.h>

#define MAX_REPLICATED_COMPLETED 2000u /* more than users ask about often; 600 bytes each */

static void
clear_owner_state (HzbJob *job)
{
  g_clear_pointer (&job->tasks, g_free);
  g_queue_clear (&job->retry);
  job->other_owner = job->delegated_running = job->delegated_leaving = 0;
  job->cursor = job->pending = job->queued = job->unconfirmed = job->placed = job->running = 0;
  job->finished = job->done = job->released = job->releasing = 0;
  job->dirty = job->completing = job->on_pages = job->unsplit = job->release_requested =
      job->announced_to_leaseholders = FALSE;
  job->failures = job->begun = 0;
  job->failed_on_several = job->did_well = job->awaits_verdict = FALSE;
  g_clear_pointer (&job->failed_on, g_free);
  job->waits_since = (struct timespec){ 0 };
}

static void
job_free (gpointer data)
{
  HzbJob *job = data;
  clear_owner_state (job);
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
  jobs->chunk = settings->kv_value_kb >= 2 ? 8192 : 4096;
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

const char *
hzb_job_status (const HzbJob *job)
{
  return job->state == HZB_JOB_DONE                  ? "done"
         : job->state == HZB_JOB_CANCELLED           ? "cancelled"
         : job->running + job->delegated_running > 0 ? "running"
                                                     : "queued";
}

cJSON *
hzb_jobs_pack_accepted (const HzbJobSpec *spec, struct timespec wall)
{
  cJSON *value = cJSON_CreateObject ();
  cJSON_AddStringToObject (value, "state", "accepted");
  cJSON_AddNumberToObject (value, "at", (double) wall.tv_sec + floor ((double) wall.tv_nsec / 1e6) / 1e3);
  cJSON_AddItemToObject (value, "spec", hzb_job_spec_encode (spec));
  return value;
}

cJSON *
hzb_jobs_pack_final (HzbJobState state, guint n_tasks)
{
  cJSON *value = cJSON_CreateObject ();
  cJSON_AddStringToObject (value, "state", state == HZB_JOB_DONE ? "done" : "cancelled");
  cJSON_AddNumberToObject (value, "n", n_tasks);
  return value;
}

static void
drop_acceptance (HzbJobs *jobs, HzbAcceptance *acceptance)
{
  for (guint i = 0; i < acceptance->jobs->len; i++)
    {
      HzbJob *job = acceptance->jobs->pdata[i];
      job->acceptances = g_slist_remove (job->acceptances, acceptance);
      job->named--;
    }
  g_hash_table_remove (jobs->acceptances, acceptance->key);
}

/* The job is over, and its end was never seen here: records of acceptance that are gone name it no longer. */
static void
release_gone_acceptances (HzbJobs *jobs, HzbJob *job)
{
  GSList *next;
  for (GSList *l = job->acceptances; l; l = next)
    {
      HzbAcceptance *acceptance = l->data;
      next = l->next;
      if (!acceptance->gone)
        continue;
      job->acceptances = g_slist_delete_link (job->acceptances, l);
      g_ptr_array_remove (acceptance->jobs, job);
      job->named--;
      if (!--acceptance->open)
        drop_acceptance (jobs, acceptance);
    }
}

HzbJob *
hzb_jobs_apply (HzbJobs *jobs, const char *uid, const cJSON *value, guint64 version)
{
  HzbJob *job = hzb_jobs_find (jobs, uid);
  const char *state = hzb_json_text (value, "state");
  gboolean accepted = g_strcmp0 (state, "accepted") == 0;
  g_autoptr (HzbJobSpec) spec = NULL;
  g_autoptr (GSList) named_by = NULL;

  if (job)
    job->load = jobs->load;
  if (job && (job->version || accepted))
    return job;
  if (accepted)
    {
      spec = hzb_job_spec_decode (uid, cJSON_GetObjectItemCaseSensitive (value, "spec"));
      if (!spec)
        {
          g_critical ("job %s: its record can't be read", uid);
          return NULL;
        }
    }
  else if (g_strcmp0 (state, "done") != 0 && g_strcmp0 (state, "cancelled") != 0)
    {
      g_critical ("job %s: its record can't be read", uid);
      return NULL;
    }
  if (!job)
    {
      job = g_new0 (HzbJob, 1);
      job->uid = g_strdup (uid);
      job->team = -1;
      job->load = jobs->load;
      g_hash_table_insert (jobs->by_uid, job->uid, job);
    }
  if (accepted)
    {
      double at = hzb_json_number (value, "at", 0);
      job->state = HZB_JOB_ACCEPTED;
      job->accepted = hzb_time_plus ((struct timespec){ 0 }, at);
      job->spec = g_steal_pointer (&spec);
      job->n_tasks = job->spec->tasks;
      job->team = hzb_settings_team (jobs->settings, job->spec->team);
      if (jobs->shard && !jobs->leaseholder)
        hzb_jobs_activate (jobs, job);
      return job;
    }
  job->version = version;
  g_queue_push_tail (&jobs->completed, job);
  named_by = g_steal_pointer (&job->acceptances); /* what is dropped takes itself off the list */
  for (GSList *l = named_by; l; l = l->next)
    {
      HzbAcceptance *acceptance = l->data;
      if (!--acceptance->open && acceptance->gone)
        drop_acceptance (jobs, acceptance);
    }
  job->state = g_str_equal (state, "done") ? HZB_JOB_DONE : HZB_JOB_CANCELLED;
  job->n_tasks = (guint) hzb_json_number (value, "n", job->n_tasks);
  if (!job->tasks)
    g_clear_pointer (&job->spec, hzb_job_spec_free);
  return job;
}

void
hzb_jobs_apply_acceptance (HzbJobs *jobs, const char *key, const cJSON *value)
{
  HzbAcceptance *acceptance = g_hash_table_lookup (jobs->acceptances, key);
  const cJSON *entry;

  if (!value)
    {
      /* The records of its jobs' ends come before its removal, but perhaps not to this node. */
      if (acceptance && acceptance->open)
        acceptance->removing = acceptance->gone = TRUE;
      else if (acceptance)
        drop_acceptance (jobs, acceptance);
      return;
    }
  if (acceptance)
    {
      acceptance->load = jobs->load;
      return;
    }
  acceptance = g_new0 (HzbAcceptance, 1);
  acceptance->key = g_strdup (key);
  acceptance->load = jobs->load;
  acceptance->jobs = g_ptr_array_new ();
  g_hash_table_insert (jobs->acceptances, acceptance->key, acceptance);
  cJSON_ArrayForEach (entry, value)
    {
      HzbJob *job = hzb_jobs_apply (jobs, entry->string, entry, 0);
      if (job)
        {
          job->named++;
          g_ptr_array_add (acceptance->jobs, job);
        }
      /* Guards against a job that two nodes have accepted: nodes may see the two records in different order, so
       * neither goes before the job is over. */
      if (job && !job->version)
        {
          job->acceptances = g_slist_prepend (job->acceptances, acceptance);
          acceptance->open++;
        }
    }
}

HzbAcceptance *
hzb_jobs_completed_acceptance (HzbJobs *jobs)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, jobs->acceptances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((HzbAcceptance *) value)->open && !((HzbAcceptance *) value)->removing)
      return value;
  return NULL;
}

/* ---- old ones ---- */

static gint
by_version (gconstpointer a, gconstpointer b, gpointer user)
{
  const HzbJob *x = a, *y = b;
  return x->version < y->version ? -1 : x->version > y->version;
}

GPtrArray *
hzb_jobs_archivable (HzbJobs *jobs, guint most)
{
  GPtrArray *old = g_ptr_array_new ();
  guint beyond = jobs->completed.length > jobs->max_replicated_completed
                     ? jobs->completed.length - jobs->max_replicated_completed
                     : 0;

  if (!beyond)
    return old;
  g_queue_sort (&jobs->completed, by_version, NULL); /* after a reading of all they came in the order of their names */
  for (GList *l = jobs->completed.head; l && beyond && old->len < most; l = l->next, beyond--)
    {
      HzbJob *job = l->data;
      /* While a record of acceptance names it, a node that starts must find its end beside that. */
      if (!job->named && !job->tasks && !job->archiving)
        g_ptr_array_add (old, job);
    }
  return old;
}

/* Guards against a node that reads all records in pages while they move: it has read that the job was accepted, its end has
 * moved away before the page of ends was read, and the job would be called queued here for ever. An end moves only once
 * no record of acceptance names its job, so the removal of each that this node still knows has come before. */
gboolean
hzb_jobs_forget (HzbJobs *jobs, const char *uid)
{
  HzbJob *job = hzb_jobs_find (jobs, uid);
  if (!job)
    return TRUE;
  if (job->state == HZB_JOB_ACCEPTED)
    release_gone_acceptances (jobs, job);
  if (job->tasks || job->named)
    return FALSE;
  g_queue_remove (&jobs->completed, job);
  g_hash_table_remove (jobs->by_uid, uid);
  return TRUE;
}

void
hzb_jobs_load_begin (HzbJobs *jobs)
{
  jobs->load++;
}

/* The records of acceptance that the reading did not show, or showed and then showed to be removed. */
static GPtrArray *
acceptances_not_shown (HzbJobs *jobs)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *gone = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, jobs->acceptances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HzbAcceptance *acceptance = value;
      if (acceptance->load != jobs->load || acceptance->gone)
        g_ptr_array_add (gone, value);
    }
  return gone;
}

/* Guards against a node that missed so much that it has to read all anew: a job that ended meanwhile, and whose records
 * are gone, would be called accepted here for ever. */
void
hzb_jobs_load_end (HzbJobs *jobs)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GPtrArray) gone = acceptances_not_shown (jobs);

  for (guint i = 0; i < gone->len; i++)
    drop_acceptance (jobs, gone->pdata[i]);
  g_hash_table_iter_init (&iter, jobs->by_uid);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HzbJob *job = value;
      if (job->tasks || job->named || (job->version && job->load == jobs->load))
        continue;
      g_queue_remove (&jobs->completed, job);
      g_hash_table_iter_remove (&iter);
    }
}

void
hzb_jobs_compare_not_terminal (HzbKvTransaction *transaction, const char *uid)
{
  g_autofree char *recent = g_strconcat (HZB_KEY_JOBS, uid, NULL), *old = g_strconcat (HZB_KEY_ARCHIVED, uid, NULL);
  hzb_kv_transaction_compare (transaction, recent, 0);
  hzb_kv_transaction_compare (transaction, old, 0);
}

/* ---- ownership ---- */

void
hzb_jobs_begin_ownership (HzbJobs *jobs, HzbShard *shard)
{
  GHashTableIter iter;
  gpointer value;

  jobs->shard = shard;
  if (jobs->leaseholder)
    return;
  g_hash_table_iter_init (&iter, jobs->by_uid);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((HzbJob *) value)->state == HZB_JOB_ACCEPTED)
      hzb_jobs_activate (jobs, value);
}

void
hzb_jobs_end_ownership (HzbJobs *jobs)
{
  for (guint i = 0; i < jobs->active->len; i++)
    {
      HzbJob *job = jobs->active->pdata[i];
      clear_owner_state (job);
      if (job->state != HZB_JOB_ACCEPTED)
        g_clear_pointer (&job->spec, hzb_job_spec_free);
    }
  g_ptr_array_set_size (jobs->active, 0);
  jobs->shard = NULL;
  jobs->leaseholder = FALSE;
}

static gint
by_age (gconstpointer a, gconstpointer b)
{
  const HzbJob *x = *(HzbJob *const *) a, *y = *(HzbJob *const *) b;
  if (hzb_time_before (x->accepted, y->accepted))
    return -1;
  if (hzb_time_before (y->accepted, x->accepted))
    return 1;
  return strcmp (x->uid, y->uid);
}

void
hzb_jobs_activate (HzbJobs *jobs, HzbJob *job)
{
  struct timespec now = hzb_clock_now (jobs->clock);
  double waited;

  if (job->tasks || !job->spec || job->team < 0)
    return;
  job->tasks = g_new0 (HzbTask, job->n_tasks);
  for (guint i = 0; i < job->n_tasks; i++)
    {
      job->tasks[i].job = job;
      job->tasks[i].index = i;
      job->tasks[i].since = now;
      job->tasks[i].state = jobs->leaseholder ? HZB_TASK_OTHER_OWNER : HZB_TASK_PENDING;
    }
  if (jobs->leaseholder)
    {
      job->other_owner = job->n_tasks;
      job->cursor = job->released = job->releasing = job->n_tasks;
    }
  else
    {
      job->pending = job->n_tasks;
      job->release_requested =
          job->spec->kind == HZB_JOB_GANG || job->spec->kind == HZB_JOB_SERVICE; /* which need all of them at once */
    }
  /* fencing tokens are never used twice, so neither are attempts. */
  job->next_attempt = jobs->shard->fencing_token << 17;
  waited = hzb_time_between (job->accepted, hzb_clock_wall (jobs->clock));
  job->since = hzb_time_plus (now, -CLAMP (waited, 0, 86400));
  g_message ("job %s (%s, %s): %u tasks of %g CPUs, %g GB, %g s expected, image %s", job->uid, job->spec->job_class,
             job->spec->team, job->n_tasks, job->spec->cpus, job->spec->memory_gb, job->spec->estimate_s,
             job->spec->image);
  g_ptr_array_add (jobs->active, job);
  g_ptr_array_sort (jobs->active, by_age);
}

void
hzb_jobs_retire (HzbJobs *jobs, HzbJob *job)
{
  g_ptr_array_remove (jobs->active, job);
  clear_owner_state (job);
  if (job->state != HZB_JOB_ACCEPTED)
    g_clear_pointer (&job->spec, hzb_job_spec_free);
}

gboolean
hzb_jobs_any_unconfirmed (HzbJobs *jobs)
{
  for (guint i = 0; i < jobs->active->len; i++)
    if (((HzbJob *) jobs->active->pdata[i])->unconfirmed)
      return TRUE;
  return FALSE;
}

void
hzb_job_resolve_unconfirmed (HzbJobs *jobs, HzbJob *job, guint leaseholder)
{
  for (guint k = 0; job->unconfirmed && k < job->n_tasks; k++)
    if (job->tasks[k].state == HZB_TASK_UNCONFIRMED && job->tasks[k].leaseholder == leaseholder)
      {
        hzb_task_set_state (jobs, &job->tasks[k], HZB_TASK_PENDING, NULL);
        job->tasks[k].leaseholder = 0;
      }
}

/* ---- run times ---- */

/* One job's estimate is wrong in one way for all its tasks, so a job counts as one observation; and a smaller
 * leaning can not be told from chance. */
#define BIAS_SMOOTHING 0.08
#define BIAS_THRESHOLD 0.35
#define MOST_CLASSES 200u

void
hzb_jobs_record_run_time (HzbJobs *jobs, HzbJob *job, double seconds)
{
  double *bias;

  if (!job->spec || job->spec->kind == HZB_JOB_SERVICE || seconds <= 0 || job->spec->estimate_s <= 0)
    return;
  bias = g_hash_table_lookup (jobs->estimate_biases, job->spec->job_class);
  if (!bias)
    {
      if (g_hash_table_size (jobs->estimate_biases) >= MOST_CLASSES)
        return;
      bias = g_new0 (double, 1);
      g_hash_table_insert (jobs->estimate_biases, g_strdup (job->spec->job_class), bias);
    }
  *bias += (CLAMP (log (seconds / job->spec->estimate_s), -2, 2) - *bias) * BIAS_SMOOTHING / job->n_tasks;
}

double
hzb_jobs_mean_s (const HzbJobs *jobs, const HzbJob *job)
{
  const double *bias = g_hash_table_lookup (jobs->estimate_biases, job->spec->job_class);
  return job->spec->estimate_s * (bias && fabs (*bias) > BIAS_THRESHOLD ? exp (*bias) : 1);
}
