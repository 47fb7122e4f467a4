#include "controller.h"

#include <math.h>
#include <string.h>

#define WATCH_MS 2000
#define LEASE_SLACK_S 1.0 /* beyond the lease and the drift of clocks */

/* ---- the mirror ---- */

static void mirror_step (HzbController *c);

void
hzb_controller_apply_record (HzbController *c, const HzbItem *item)
{
  if (g_str_has_prefix (item->key, HZB_KEY_JOBS))
    {
      const char *uid = item->key + strlen (HZB_KEY_JOBS);
      if (item->value)
        hzb_jobs_apply (c->jobs, uid, item->value, item->version);
      else
        {
          hzb_dispatch_clear_indexes (c->dispatch);
          hzb_jobs_forget (c->jobs, uid); /* its record has moved to where old ones are */
        }
    }
  else if (g_str_has_prefix (item->key, HZB_KEY_ACCEPTED))
    {
      hzb_jobs_apply_acceptance (c->jobs, item->key, item->value);
      c->next_dispatch = (struct timespec){ 0 };
    }
  else if (g_str_equal (item->key, HZB_KEY_SETTINGS))
    hzb_admin_apply_settings (c, item->value, item->version);
  else
    hzb_election_apply_record (c->election, item);
}

static void
on_loaded (HzbStoreResult result, const char *body, gpointer user)
{
  HzbController *c = user;
  gboolean more = FALSE;
  guint64 revision = 0;
  g_autoptr (GArray) items = result == HZB_STORE_OK ? hzb_wire_parse_range (body, &more, &revision) : NULL;

  if (!items)
    {
      c->mirror = HZB_MIRROR_EMPTY;
      c->mirror_next = hzb_time_plus (hzb_clock_now (c->clock), 0.4);
      return;
    }
  if (!c->mirror_load_cursor)
    c->mirror_load_revision = revision;
  for (guint i = 0; i < items->len; i++)
    {
      HzbItem *item = &g_array_index (items, HzbItem, i);
      if (g_str_equal (item->key, HZB_KEY_LEADER) || g_str_equal (item->key, HZB_KEY_LEADER_2))
        c->mirror_load_saw_leader = c->mirror_load_saw_leader || hzb_json_u64 (item->value, "lease");
      hzb_controller_apply_record (c, item);
      g_free (c->mirror_load_cursor);
      c->mirror_load_cursor = g_strdup (item->key);
    }
  if (more && items->len)
    {
      hzb_store_range (c->store, HZB_KEY_MIRROR, c->mirror_load_cursor, on_loaded, c);
      return;
    }
  if (!c->mirror_load_saw_leader)
    {
      HzbItem none = { (char *) HZB_KEY_LEADER, NULL, c->mirror_load_revision };
      hzb_election_apply_record (c->election, &none);
    }
  hzb_dispatch_clear_indexes (c->dispatch);
  hzb_jobs_load_end (c->jobs);
  c->revision = c->mirror_load_revision;
  c->mirror = HZB_MIRROR_FOLLOWING;
  c->mirror_fresh = hzb_clock_now (c->clock);
  g_message ("the mirror has been read, at revision %" G_GUINT64_FORMAT, c->revision);
  mirror_step (c);
}

/* Too far behind: all is read anew. Who has missed so much can't tell which of the jobs that it holds are over. */
void
hzb_controller_reset_mirror (HzbController *c)
{
  c->mirror = HZB_MIRROR_EMPTY;
  hzb_election_step_down (c->election, "the mirror is too far behind");
  hzb_controller_end_leased (c, "the mirror is too far behind");
}

static void
on_watched (HzbStoreResult result, const char *body, gpointer user)
{
  HzbController *c = user;
  guint64 revision = 0;
  g_autoptr (GArray) items = result == HZB_STORE_OK ? hzb_wire_parse_watch (body, &revision) : NULL;

  c->watching = FALSE;
  if (result == HZB_STORE_ABSENT)
    hzb_controller_reset_mirror (c);
  else if (!items)
    c->mirror_next = hzb_time_plus (hzb_clock_now (c->clock), 0.3);
  else
    {
      for (guint i = 0; i < items->len; i++)
        hzb_controller_apply_record (c, &g_array_index (items, HzbItem, i));
      c->revision = MAX (c->revision, revision);
      c->mirror_fresh = hzb_clock_now (c->clock);
    }
  mirror_step (c);
}

typedef struct
{
  HzbController *c;
  HzbSyncFunc done;
  gpointer user;
} Sync;

static void
on_synced (HzbStoreResult result, const char *body, gpointer user)
{
  g_autofree Sync *sync = user;
  HzbController *c = sync->c;
  guint64 revision = 0;
  g_autoptr (GArray) items = result == HZB_STORE_OK ? hzb_wire_parse_watch (body, &revision) : NULL;

  for (guint i = 0; items && i < items->len; i++)
    hzb_controller_apply_record (c, &g_array_index (items, HzbItem, i));
  if (items)
    c->revision = MAX (c->revision, revision);
  sync->done (items != NULL, sync->user);
}

/* A watch that does not wait brings all that has changed up to now. */
void
hzb_controller_sync (HzbController *c, HzbSyncFunc done, gpointer user)
{
  Sync *sync;
  if (c->mirror != HZB_MIRROR_FOLLOWING)
    {
      done (FALSE, user);
      return;
    }
  sync = g_new0 (Sync, 1);
  sync->c = c;
  sync->done = done;
  sync->user = user;
  hzb_store_news (c->store, HZB_KEY_MIRROR, c->revision, on_synced, sync);
}

static void
mirror_step (HzbController *c)
{
  if (hzb_time_before (hzb_clock_now (c->clock), c->mirror_next))
    return;
  if (c->mirror == HZB_MIRROR_EMPTY)
    {
      if (c->ownership != HZB_OWNERSHIP_NONE)
        return; /* what is held is given up first: a job that is over must not be taken for open because of it */
      c->mirror = HZB_MIRROR_LOADING;
      c->mirror_load_saw_leader = FALSE;
      hzb_jobs_load_begin (c->jobs);
      g_clear_pointer (&c->mirror_load_cursor, g_free);
      hzb_store_range (c->store, HZB_KEY_MIRROR, NULL, on_loaded, c);
    }
  else if (c->mirror == HZB_MIRROR_FOLLOWING && !c->watching)
    {
      c->watching = TRUE;
      hzb_store_watch (c->store, HZB_KEY_MIRROR, c->revision, WATCH_MS, on_watched, c);
    }
}

static gboolean
mirror_is_fresh (HzbController *c)
{
  return c->mirror == HZB_MIRROR_FOLLOWING
         && hzb_time_between (c->mirror_fresh, hzb_clock_now (c->clock)) < WATCH_MS / 1000.0 + 2;
}

/* It has not answered for longer than a watch takes: what has to be asked there is better refused at once. */
gboolean
hzb_controller_store_silent (HzbController *c)
{
  return hzb_store_silence (c->store) > WATCH_MS / 1000.0 + 1;
}

gboolean
hzb_controller_ready (HzbController *c)
{
  if (c->mirror == HZB_MIRROR_EMPTY && !c->revision)
    return FALSE;
  if (!c->machines->types || (c->mirror == HZB_MIRROR_LOADING && !c->revision))
    return FALSE;
  /* In an outage for all it makes no difference where users ask; alone, or cut off from the others as well, another
   * node serves them better. */
  return !hzb_controller_store_silent (c)
         || (hzb_peers_any_reachable (c->peers) && !hzb_peers_any_reaches_store (c->peers));
}

/* ---- holding the block ---- */

HzbEpochCall *
hzb_epoch_call_new (HzbController *c, gpointer data)
{
  HzbEpochCall *epoch_call = g_new0 (HzbEpochCall, 1);
  epoch_call->c = c;
  epoch_call->epoch = c->ownership_epoch;
  epoch_call->data = data;
  return epoch_call;
}

static void
set_ownership (HzbController *c, HzbOwnershipState to, const char *why)
{
  static const char *const names[] = { "none", "lessee", "loading", "recovering", "ready" };
  static const guint legal[] = {
    [HZB_OWNERSHIP_NONE] = 1 << HZB_OWNERSHIP_LOADING | 1 << HZB_OWNERSHIP_LESSEE,
    [HZB_OWNERSHIP_LESSEE] = 1 << HZB_OWNERSHIP_NONE,
    [HZB_OWNERSHIP_LOADING] = 1 << HZB_OWNERSHIP_NONE | 1 << HZB_OWNERSHIP_RECOVERING,
    [HZB_OWNERSHIP_RECOVERING] = 1 << HZB_OWNERSHIP_NONE | 1 << HZB_OWNERSHIP_READY,
    [HZB_OWNERSHIP_READY] = 1 << HZB_OWNERSHIP_NONE,
  };
  if (!(legal[c->ownership] & 1u << to))
    {
      g_critical ("ownership: illegal change %s -> %s", names[c->ownership], names[to]);
      return;
    }
  g_message ("ownership: %s -> %s: %s", names[c->ownership], names[to], why);
  c->ownership = to;
}

static void
on_owner_records_loaded (HzbStoreResult result, const char *body, gpointer user)
{
  g_autofree HzbEpochCall *epoch_call = user;
  HzbController *c = epoch_call->c;
  gboolean more = FALSE;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (epoch_call->epoch != c->ownership_epoch || c->ownership != HZB_OWNERSHIP_LOADING)
    return;
  items = result == HZB_STORE_OK ? hzb_wire_parse_range (body, &more, &revision) : NULL;
  for (guint i = 0; items && i < items->len; i++)
    {
      HzbItem *item = &g_array_index (items, HzbItem, i);
      hzb_records_load (c->records, item);
      g_free (c->owner_load_cursor);
      c->owner_load_cursor = g_strdup (item->key);
    }
  if (!items || (more && items->len))
    {
      hzb_store_range (c->store, HZB_KEY_OWNER, c->owner_load_cursor, on_owner_records_loaded,
                       hzb_epoch_call_new (c, NULL));
      return;
    }
  hzb_records_load_finished (c->records);
  c->owner_since = hzb_clock_now (c->clock);
  set_ownership (c, HZB_OWNERSHIP_RECOVERING, "the records have been read");
}

/* Between being elected and reading what jobs there are, the mirror must have caught up with the term's
 * own record: a job that the predecessor could have started is in it then. */
static void
begin_ownership (HzbController *c)
{
  c->ownership_epoch++;
  c->block = hzb_block_new (c->settings, hzb_token (hzb_election_term (c->election), 0));
  hzb_leases_reset (c->leases);
  hzb_records_reset (c->records);
  hzb_provisioning_reset (c->provisioning);
  g_clear_pointer (&c->owner_load_cursor, g_free);
  hzb_machines_clear (c->machines);
  hzb_jobs_begin_ownership (c->jobs, c->block);
  set_ownership (c, HZB_OWNERSHIP_LOADING, "elected");
  hzb_store_range (c->store, HZB_KEY_OWNER, NULL, on_owner_records_loaded, hzb_epoch_call_new (c, NULL));
}

static void
end_ownership (HzbController *c)
{
  c->ownership_epoch++;
  set_ownership (c, HZB_OWNERSHIP_NONE, "not the leader any more");
  hzb_records_reset (c->records);
  hzb_jobs_end_ownership (c->jobs);
  hzb_machines_clear (c->machines);
  g_clear_pointer (&c->block, hzb_block_free);
}

void
hzb_controller_begin_leased (HzbController *c, guint64 token)
{
  c->ownership_epoch++;
  c->block = hzb_block_new_leased (c->settings, token);
  c->jobs->lessee = TRUE;
  c->owner_since = hzb_clock_now (c->clock);
  hzb_machines_clear (c->machines);
  hzb_lessee_clear (c->lessee);
  hzb_jobs_begin_ownership (c->jobs, c->block);
  set_ownership (c, HZB_OWNERSHIP_LESSEE, "the leader leased us a block");
}

void
hzb_controller_end_leased (HzbController *c, const char *why)
{
  if (c->ownership != HZB_OWNERSHIP_LESSEE)
    return;
  c->ownership_epoch++;
  set_ownership (c, HZB_OWNERSHIP_NONE, why);
  hzb_jobs_end_ownership (c->jobs);
  hzb_machines_clear (c->machines);
  hzb_lessee_clear (c->lessee);
  g_clear_pointer (&c->block, hzb_block_free);
}

/* ---- the end of a job ---- */

static void
on_ended (HzbStoreResult result, const char *body, gpointer user)
{
  HzbEpochCall *epoch_call = user;
  HzbController *c = epoch_call->c;
  g_autofree char *uid = epoch_call->data;
  HzbJob *job = hzb_jobs_find (c->jobs, uid);
  guint64 revision = 0;

  if (result == HZB_STORE_OK && job)
    {
      cJSON *value = hzb_jobs_pack_final (HZB_JOB_DONE, job->n_tasks);
      hzb_wire_parse_txn (body, &revision, NULL);
      hzb_jobs_apply (c->jobs, uid, value, revision);
      cJSON_Delete (value);
    }
  if (epoch_call->epoch == c->ownership_epoch && job)
    {
      job->ending = FALSE;
      if (result == HZB_STORE_OK && job->tasks)
        {
          g_message ("job %s is done", uid);
          hzb_records_drop_job (c->records, job);
          hzb_jobs_retire (c->jobs, job);
        }
    }
  g_free (epoch_call);
}

void
hzb_controller_record_completion (HzbController *c, HzbJob *job)
{
  g_autofree char *key = NULL;
  cJSON *txn;

  if (job->ending || job->state != HZB_JOB_ACCEPTED || !hzb_election_leading (c->election))
    return;
  job->ending = TRUE;
  key = g_strconcat (HZB_KEY_JOBS, job->uid, NULL);
  txn = hzb_wire_txn ();
  hzb_election_add_condition (c->election, txn);
  hzb_jobs_txn_if_not_over (txn, job->uid); /* it has not been cancelled */
  hzb_wire_txn_put (txn, key, hzb_jobs_pack_final (HZB_JOB_DONE, job->n_tasks), 0);
  hzb_store_txn (c->store, HZB_STORE_ACCEPT, txn, on_ended, hzb_epoch_call_new (c, g_strdup (job->uid)));
}

/* ---- over time ---- */

static void
check_leases (HzbController *c, struct timespec now)
{
  double over = c->settings->lease_s * 1.002 + LEASE_SLACK_S;

  if (!hzb_election_lease_valid (c->election))
    return; /* a newer owner could have renewed them */
  for (guint i = 0; i < c->machines->all->len; i++)
    {
      HzbMachine *m = c->machines->all->pdata[i];
      if ((m->state == HZB_MACHINE_ACTIVE || m->state == HZB_MACHINE_DRAINING) && m->verified
          && hzb_time_between (m->last_answer, now) > over)
        {
          hzb_machine_lose_tasks (c->jobs, m);
          m->over_session = m->session;
          hzb_machine_set_state (c->machines, m, HZB_MACHINE_LEASE_EXPIRED, "its lease is over");
        }
      else if (m->state == HZB_MACHINE_ACTIVE && hzb_time_between (m->last_report, now) > 3 * c->settings->report_s
               && hzb_machine_listed (m))
        hzb_machine_empty_lists (c->jobs, m); /* others may take what waits for a quiet machine */
    }
}

/* A gang that has lost a task starts anew once all its tasks are gone: those that wait for the others are told
 * so, those that run notice it themselves. When one is done, all are, even one whose machine is lost. */
static void
maintain_gang (HzbController *c, HzbJob *job)
{
  gboolean over = job->finished + job->done > 0;

  if (!job->pending || job->pending == job->n_tasks)
    return;
  for (guint k = 0; k < job->n_tasks; k++)
    {
      HzbTask *task = &job->tasks[k];
      if (over && task->state == HZB_TASK_PENDING && !job->placed)
        hzb_task_set_state (c->jobs, task, HZB_TASK_FINISHED, NULL);
      else if (task->state == HZB_TASK_BOOKED)
        hzb_task_set_state (c->jobs, task, HZB_TASK_PENDING, NULL);
      else if (!over && (task->state == HZB_TASK_FETCHING || task->state == HZB_TASK_WAITING))
        task->stopping = TRUE;
    }
}

static void
maintain_jobs (HzbController *c, struct timespec now)
{
  for (guint i = 0; i < c->jobs->active->len; i++)
    {
      HzbJob *job = c->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED)
        {
          if (job->spec->gang)
            maintain_gang (c, job);
          if (job->finished + job->done == job->n_tasks)
            hzb_controller_record_completion (c, job);
          continue;
        }
      hzb_leases_announce_cancellation (c->leases, job);
      for (guint k = 0; job->listed && k < job->n_tasks; k++)
        if (job->tasks[k].state == HZB_TASK_LISTED)
          hzb_task_set_state (c->jobs, &job->tasks[k], HZB_TASK_PENDING, NULL);
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        if (job->tasks[k].state == HZB_TASK_BOOKED)
          hzb_task_set_state (c->jobs, &job->tasks[k], HZB_TASK_PENDING, NULL);
      if (!job->placed && !job->unknown && !job->ending)
        {
          hzb_records_drop_job (c->records, job);
          hzb_jobs_retire (c->jobs, job);
          i--;
        }
    }
}

/* One line that tells an operator how the fleet stands, leased machines included. */
static void
log_summary (HzbController *c)
{
  guint up = 0, leased = 0, booting = 0, other = 0;
  double cpus = 0, spare = 0, booting_cpus = 0, running = 0, epoch_call = 0, waiting = 0;

  for (guint i = 0; i < c->machines->all->len; i++)
    {
      const HzbMachine *m = c->machines->all->pdata[i];
      if ((m->state == HZB_MACHINE_ACTIVE || m->state == HZB_MACHINE_LEASED) && m->type)
        {
          up++;
          leased += m->state == HZB_MACHINE_LEASED;
          cpus += m->type->cpus;
          spare += m->spare ? m->type->cpus : 0;
        }
      else if (m->state == HZB_MACHINE_BOOTING && m->type)
        {
          booting++;
          booting_cpus += m->type->cpus;
        }
      else
        other++;
    }
  for (guint i = 0; i < c->jobs->active->len; i++)
    {
      const HzbJob *job = c->jobs->active->pdata[i];
      if (job->state != HZB_JOB_ACCEPTED)
        continue;
      waiting += (job->pending + job->listed) * job->spec->cpus;
      epoch_call += job->placed * job->spec->cpus;
      running += (job->running + job->delegated_running) * job->spec->cpus;
    }
  g_message (
      "fleet: %u up, %u of them leased (%g CPUs: %g held, %g running; %g spare), %u booting (%g CPUs), %u other; %g CPUs' "
      "worth wait; timers are %.0f ms late",
      up, leased, cpus, epoch_call, running, spare, booting, booting_cpus, other, waiting, c->dispatch->lag_s * 1e3);
}

/* A task waits only for machines that could have been told to start it: a replica, say, for no spot machine. */
static void
resolve_unknown (HzbController *c)
{
  if (c->ownership != HZB_OWNERSHIP_RECOVERING && !hzb_jobs_any_unknown (c->jobs))
    return;
  for (guint block = 0; block <= c->settings->peers->len; block++)
    {
      g_autoptr (GPtrArray) unverified = hzb_machines_unverified_kinds (c->machines, block);
      for (guint i = 0; i < c->jobs->active->len; i++)
        {
          HzbJob *job = c->jobs->active->pdata[i];
          if (job->unknown && !hzb_job_may_run_on_unverified (job, unverified))
            hzb_job_resolve_unknown (c->jobs, job, block);
        }
      if (block == HZB_UNKNOWN_TASKS_OF_LEADER && c->ownership == HZB_OWNERSHIP_RECOVERING && !unverified->len)
        set_ownership (c, HZB_OWNERSHIP_READY, "every machine has answered or is gone");
    }
}

static void
owner_tick (HzbController *c, struct timespec now)
{
  resolve_unknown (c);
  check_leases (c, now);
  maintain_jobs (c, now);
  if (!hzb_time_before (now, c->next_plan))
    {
      c->next_plan = hzb_time_plus (now, 1);
      hzb_dispatch_consolidate (c->dispatch, now);
    }
  if (!hzb_time_before (now, c->next_summary))
    {
      c->next_summary = hzb_time_plus (now, 10);
      log_summary (c);
    }
  if (!hzb_time_before (now, c->next_dispatch))
    {
      c->next_dispatch = hzb_time_plus (now, 0.2);
      hzb_dispatch_run (c->dispatch, now);
      hzb_records_flush_soon (c->records); /* of jobs that could start now */
    }
  hzb_records_flush_soon (c->records);
}

/* ---- standing ---- */

/* Guards against a leader that only the workers can't reach: they are sent back to it by all others, until every
 * lease is over and all work is lost. That all machines fall silent together for any other reason is rare, and then a change
 * of leader costs little. In a small fleet it does happen, again and again, and each leader would have to wait for their
 * leases: so after one change for this reason others must have sent workers here lately. */
static gboolean
no_worker_reports (HzbController *c)
{
  struct timespec now = hzb_clock_now (c->clock);
  double quiet = 1.25 * c->settings->report_s + 1.5;
  guint n = 0;

  for (guint i = 0; i < c->machines->all->len; i++)
    {
      const HzbMachine *m = c->machines->all->pdata[i];
      if (!hzb_time_is_set (m->last_report) || m->state == HZB_MACHINE_LEASED || m->state == HZB_MACHINE_RETURNING
          || m->state == HZB_MACHINE_LEASE_EXPIRED)
        continue;
      if (hzb_time_between (m->last_report, now) < quiet)
        return FALSE;
      n += m->verified;
    }
  return n >= 3 && (!hzb_peers_any_lost_workers (c->peers) || hzb_peers_any_sends_workers (c->peers));
}

/* In an outage of the state service for all, a owner goes on answering workers, so that their leases live.
 * One that is refused alone, or cut off from everything, gives way to those that are not. */
static void
check_own_connectivity (HzbController *c)
{
  double silence = hzb_store_silence (c->store);

  if (hzb_election_leading (c->election) && silence < 2.5 && hzb_peers_any_reachable (c->peers)
      && c->settings->peers->len && no_worker_reports (c))
    {
      c->lost_workers = hzb_clock_now (c->clock);
      hzb_election_step_down (c->election, "no worker is heard any more, while all else can be reached");
      hzb_election_back_off (c->election, 20);
      return;
    }
  if (!hzb_election_leading (c->election) || silence < 5)
    return;
  if (hzb_peers_any_reaches_store (c->peers))
    hzb_election_step_down (c->election, "the state service refuses this node alone");
  else if (!hzb_peers_any_reachable (c->peers))
    hzb_election_step_down (c->election, "neither the state service nor a peer can be reached");
}

/* ---- life ---- */

void
hzb_controller_tick (HzbController *c)
{
  struct timespec now = hzb_clock_now (c->clock);

  if (hzb_time_is_set (c->last_tick))
    hzb_dispatch_note_lag (c->dispatch, hzb_time_between (c->last_tick, now) - HZB_TICK_MS / 1000.0);
  c->last_tick = now;

  hzb_store_pump (c->store);
  hzb_cloud_pump (c->cloud);
  mirror_step (c);
  /* In a rollout the others are about to be replaced: whoever leads after them should be one that is not. */
  hzb_election_set_eager (c->election, c->format == HZB_FORMAT && hzb_election_format (c->election) < HZB_FORMAT
                                           && hzb_peers_any_older_format (c->peers));
  hzb_election_tick (c->election, mirror_is_fresh (c));
  check_own_connectivity (c);
  if (hzb_election_leading (c->election))
    hzb_controller_end_leased (c, "this node leads now");
  if (hzb_election_leading (c->election) && c->ownership != HZB_OWNERSHIP_NONE
      && hzb_token_leader (c->block->token) != hzb_election_term (c->election))
    end_ownership (c); /* elected anew before the loss was seen */
  if (hzb_election_leading (c->election) && c->ownership == HZB_OWNERSHIP_NONE && c->mirror == HZB_MIRROR_FOLLOWING
      && hzb_election_term_mirrored (c->election))
    begin_ownership (c);
  else if (!hzb_election_leading (c->election) && c->ownership > HZB_OWNERSHIP_LESSEE)
    end_ownership (c);
  if (c->ownership == HZB_OWNERSHIP_READY && c->format == HZB_FORMAT && hzb_election_format (c->election) < HZB_FORMAT
      && hzb_peers_all_have_format (c->peers, HZB_FORMAT))
    hzb_election_raise_format (c->election);
  if (hzb_election_leading (c->election))
    hzb_leases_tick (c->leases, now);
  else
    hzb_lessee_tick (c->lessee, now);
  if (c->ownership == HZB_OWNERSHIP_LESSEE && !hzb_time_before (now, c->next_dispatch))
    {
      c->next_dispatch = hzb_time_plus (now, 0.2);
      hzb_dispatch_run (c->dispatch, now);
    }
  if (c->ownership == HZB_OWNERSHIP_LESSEE && !hzb_time_before (now, c->next_plan))
    {
      c->next_plan = hzb_time_plus (now, 1);
      hzb_dispatch_consolidate (c->dispatch, now);
    }
  if (c->ownership >= HZB_OWNERSHIP_RECOVERING)
    owner_tick (c, now);
  hzb_provisioning_tick (c->provisioning, now);
  hzb_peers_tick (c->peers, now);
  hzb_cancellations_tick (c->cancellations, now);
  hzb_user_api_tick (c->api);
}

static void
on_answered (HzbExchange *exchange, guint status, gpointer user)
{
  HzbController *c = user;
  hzb_metrics_answered (c->metrics, (HzbMetricKind) exchange->kind, status,
                        hzb_time_between (exchange->began, hzb_clock_now (c->clock)));
}

static HzbMetricKind
kind_of (const HzbExchange *exchange)
{
  gboolean post = g_str_equal (exchange->method, "POST");
  if (g_str_equal (exchange->path, hzb_path_report))
    return HZB_METRIC_REPORT;
  if (!g_str_has_prefix (exchange->path, hzb_path_jobs))
    return HZB_METRIC_OTHER;
  if (g_str_has_suffix (exchange->path, hzb_path_cancel))
    return HZB_METRIC_CANCEL;
  return post ? HZB_METRIC_SUBMIT : HZB_METRIC_STATUS;
}

void
hzb_controller_request (HzbExchange *exchange, gpointer user)
{
  HzbController *c = user;

  exchange->began = hzb_clock_now (c->clock);
  exchange->kind = kind_of (exchange);
  exchange->done = on_answered;
  exchange->done_user = c;

  if (g_str_equal (exchange->path, hzb_path_report))
    {
      if (g_str_equal (exchange->method, "POST"))
        hzb_worker_api_report (c, exchange);
      else
        hzb_exchange_reply (exchange, 405, hzb_wire_error ("POST a report here"), 0);
    }
  else if (g_str_equal (exchange->path, hzb_path_ready))
    {
      if (!g_str_equal (exchange->method, "GET"))
        hzb_exchange_reply (exchange, 405, hzb_wire_error ("GET here"), 0);
      else if (hzb_controller_ready (c))
        hzb_exchange_reply (exchange, 200, g_strdup ("{\"ready\":true}"), 0);
      else
        hzb_exchange_reply (exchange, 503, hzb_wire_error ("not ready"), 1);
    }
  else if (!hzb_admin_request (c, exchange))
    hzb_user_api_request (c->api, exchange);
}

HzbController *
hzb_controller_new (HzbSettings *settings, HzbClock *clock, HzbTransport *transport, guint32 seed)
{
  HzbController *c = g_new0 (HzbController, 1);
  c->settings = settings;
  c->clock = clock;
  c->transport = transport;
  c->rand = g_rand_new_with_seed (seed);
  c->store = hzb_store_new (transport, clock, settings);
  c->cloud = hzb_cloud_new (transport, clock, settings);
  c->election = hzb_election_new (c->store, clock, settings, c->rand);
  c->jobs = hzb_jobs_new (clock, settings);
  c->machines = hzb_machines_new (clock, settings);
  c->dispatch = hzb_dispatch_new (c->jobs, c->machines, settings, c->rand);
  c->autoscaler = hzb_autoscaler_new (c->jobs, c->machines, settings);
  c->api = hzb_user_api_new (c);
  c->peers = hzb_peers_new (c);
  c->cancellations = hzb_cancellations_new (c);
  c->leases = hzb_leases_new (c);
  c->lessee = hzb_lessee_new (c);
  c->metrics = hzb_metrics_new ();
  c->lease_blocks = TRUE;
  c->format = HZB_FORMAT;
  c->incarnation = g_strdup_printf ("%08x%08x", g_rand_int (c->rand), g_rand_int (c->rand));
  c->provisioning = hzb_provisioning_new (c);
  c->records = hzb_records_new (c);
  return c;
}

void
hzb_controller_free (HzbController *c)
{
  hzb_user_api_free (c->api);
  hzb_cancellations_free (c->cancellations);
  hzb_leases_free (c->leases);
  hzb_lessee_free (c->lessee);
  hzb_peers_free (c->peers);
  hzb_records_free (c->records);
  hzb_metrics_free (c->metrics);
  g_free (c->incarnation);
  hzb_jobs_end_ownership (c->jobs);
  hzb_machines_clear (c->machines);
  hzb_autoscaler_free (c->autoscaler);
  hzb_dispatch_free (c->dispatch);
  hzb_jobs_free (c->jobs);
  hzb_machines_free (c->machines);
  hzb_block_free (c->block);
  hzb_election_free (c->election);
  hzb_cloud_free (c->cloud);
  hzb_store_free (c->store);
  hzb_provisioning_free (c->provisioning);
  g_free (c->mirror_load_cursor);
  g_free (c->owner_load_cursor);
  g_rand_free (c->rand);
  g_free (c);
}
