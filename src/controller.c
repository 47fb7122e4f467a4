#include "controller.h"

#include <math.h>
#include <string.h>

#define WATCH_MS 2000
#define LEASE_SLACK_S 1.0 /* beyond the lease and the drift of clocks */

/* ---- the mirror ---- */

static void mirror_step (HzbController *c);

void
hzb_controller_take_item (HzbController *c, const HzbItem *item)
{
  if (g_str_has_prefix (item->key, HZB_KEY_JOBS))
    {
      const char *uid = item->key + strlen (HZB_KEY_JOBS);
      if (item->value)
        hzb_jobs_apply (c->jobs, uid, item->value, item->version);
      else
        {
          hzb_dispatch_forget (c->dispatch);
          hzb_jobs_forget (c->jobs, uid); /* its record has moved to where old ones are */
        }
    }
  else if (g_str_has_prefix (item->key, HZB_KEY_ACCEPTED))
    {
      hzb_jobs_take_acceptance (c->jobs, item->key, item->value);
      c->next_dispatch = (struct timespec){ 0 };
    }
  else if (g_str_equal (item->key, HZB_KEY_SETTINGS))
    hzb_admin_apply_settings (c, item->value, item->version);
  else
    hzb_election_item (c->election, item);
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
  if (!c->load_after)
    c->load_revision = revision;
  for (guint i = 0; i < items->len; i++)
    {
      HzbItem *item = &g_array_index (items, HzbItem, i);
      if (g_str_equal (item->key, HZB_KEY_LEADER) || g_str_equal (item->key, HZB_KEY_LEADER_2))
        c->load_saw_leader = c->load_saw_leader || hzb_json_u64 (item->value, "lease");
      hzb_controller_take_item (c, item);
      g_free (c->load_after);
      c->load_after = g_strdup (item->key);
    }
  if (more && items->len)
    {
      hzb_store_range (c->store, HZB_KEY_MIRROR, c->load_after, on_loaded, c);
      return;
    }
  if (!c->load_saw_leader)
    {
      HzbItem none = { (char *) HZB_KEY_LEADER, NULL, c->load_revision };
      hzb_election_item (c->election, &none);
    }
  hzb_dispatch_forget (c->dispatch);
  hzb_jobs_load_end (c->jobs);
  c->revision = c->load_revision;
  c->mirror = HZB_MIRROR_FOLLOWING;
  c->mirror_fresh = hzb_clock_now (c->clock);
  g_message ("the mirror has been read, at revision %" G_GUINT64_FORMAT, c->revision);
  mirror_step (c);
}

/* Too far behind: all is read anew. Who has missed so much can't tell which of the jobs that it holds are over. */
void
hzb_controller_lose_mirror (HzbController *c)
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
    hzb_controller_lose_mirror (c);
  else if (!items)
    c->mirror_next = hzb_time_plus (hzb_clock_now (c->clock), 0.3);
  else
    {
      for (guint i = 0; i < items->len; i++)
        hzb_controller_take_item (c, &g_array_index (items, HzbItem, i));
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
    hzb_controller_take_item (c, &g_array_index (items, HzbItem, i));
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
      if (c->hold != HZB_HOLD_NONE)
        return; /* what is held is given up first: a job that is over must not be taken for open because of it */
      c->mirror = HZB_MIRROR_LOADING;
      c->load_saw_leader = FALSE;
      hzb_jobs_load_begin (c->jobs);
      g_clear_pointer (&c->load_after, g_free);
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
  return !hzb_controller_store_silent (c) || (hzb_peers_any_heard (c->peers) && !hzb_peers_any_served (c->peers));
}

/* ---- holding the block ---- */

HzbHeld *
hzb_held_new (HzbController *c, gpointer data)
{
  HzbHeld *held = g_new0 (HzbHeld, 1);
  held->c = c;
  held->epoch = c->hold_epoch;
  held->data = data;
  return held;
}

static void
set_hold (HzbController *c, HzbHoldState to, const char *why)
{
  static const char *const names[] = { "none", "leased", "loading", "recovering", "full" };
  static const guint legal[] = {
    [HZB_HOLD_NONE] = 1 << HZB_HOLD_LOADING | 1 << HZB_HOLD_LEASED,
    [HZB_HOLD_LEASED] = 1 << HZB_HOLD_NONE,
    [HZB_HOLD_LOADING] = 1 << HZB_HOLD_NONE | 1 << HZB_HOLD_RECOVERING,
    [HZB_HOLD_RECOVERING] = 1 << HZB_HOLD_NONE | 1 << HZB_HOLD_FULL,
    [HZB_HOLD_FULL] = 1 << HZB_HOLD_NONE,
  };
  if (!(legal[c->hold] & 1u << to))
    {
      g_critical ("hold: illegal change %s -> %s", names[c->hold], names[to]);
      return;
    }
  g_message ("hold: %s -> %s: %s", names[c->hold], names[to], why);
  c->hold = to;
}

static void
on_hold_loaded (HzbStoreResult result, const char *body, gpointer user)
{
  g_autofree HzbHeld *held = user;
  HzbController *c = held->c;
  gboolean more = FALSE;
  guint64 revision = 0;
  g_autoptr (GArray) items = NULL;

  if (held->epoch != c->hold_epoch || c->hold != HZB_HOLD_LOADING)
    return;
  items = result == HZB_STORE_OK ? hzb_wire_parse_range (body, &more, &revision) : NULL;
  for (guint i = 0; items && i < items->len; i++)
    {
      HzbItem *item = &g_array_index (items, HzbItem, i);
      hzb_records_take (c->records, item);
      g_free (c->hold_after);
      c->hold_after = g_strdup (item->key);
    }
  if (!items || (more && items->len))
    {
      hzb_store_range (c->store, HZB_KEY_HOLDER, c->hold_after, on_hold_loaded, hzb_held_new (c, NULL));
      return;
    }
  hzb_records_loaded (c->records);
  c->hold_since = hzb_clock_now (c->clock);
  set_hold (c, HZB_HOLD_RECOVERING, "the records have been read");
}

/* Between being elected and reading what jobs there are, the mirror must have caught up with the term's
 * own record: a job that the predecessor could have started is in it then. */
static void
begin_hold (HzbController *c)
{
  c->hold_epoch++;
  c->block = hzb_block_new (c->settings, hzb_token (hzb_election_term (c->election), 0));
  hzb_leases_reset (c->leases);
  hzb_records_reset (c->records);
  hzb_rentals_reset (c->rentals);
  g_clear_pointer (&c->hold_after, g_free);
  hzb_machines_clear (c->machines);
  hzb_jobs_hold (c->jobs, c->block);
  set_hold (c, HZB_HOLD_LOADING, "elected");
  hzb_store_range (c->store, HZB_KEY_HOLDER, NULL, on_hold_loaded, hzb_held_new (c, NULL));
}

static void
end_hold (HzbController *c)
{
  c->hold_epoch++;
  set_hold (c, HZB_HOLD_NONE, "not the leader any more");
  hzb_records_reset (c->records);
  hzb_jobs_let_go (c->jobs);
  hzb_machines_clear (c->machines);
  g_clear_pointer (&c->block, hzb_block_free);
}

void
hzb_controller_begin_leased (HzbController *c, guint64 token)
{
  c->hold_epoch++;
  c->block = hzb_block_new_leased (c->settings, token);
  c->jobs->lessee = TRUE;
  c->hold_since = hzb_clock_now (c->clock);
  hzb_machines_clear (c->machines);
  hzb_lessee_clear (c->lessee);
  hzb_jobs_hold (c->jobs, c->block);
  set_hold (c, HZB_HOLD_LEASED, "the leader leased us a block");
}

void
hzb_controller_end_leased (HzbController *c, const char *why)
{
  if (c->hold != HZB_HOLD_LEASED)
    return;
  c->hold_epoch++;
  set_hold (c, HZB_HOLD_NONE, why);
  hzb_jobs_let_go (c->jobs);
  hzb_machines_clear (c->machines);
  hzb_lessee_clear (c->lessee);
  g_clear_pointer (&c->block, hzb_block_free);
}

/* ---- the end of a job ---- */

static void
on_ended (HzbStoreResult result, const char *body, gpointer user)
{
  HzbHeld *held = user;
  HzbController *c = held->c;
  g_autofree char *uid = held->data;
  HzbJob *job = hzb_jobs_find (c->jobs, uid);
  guint64 revision = 0;

  if (result == HZB_STORE_OK && job)
    {
      cJSON *value = hzb_jobs_pack_final (HZB_JOB_DONE, job->n_tasks);
      hzb_wire_parse_txn (body, &revision, NULL);
      hzb_jobs_apply (c->jobs, uid, value, revision);
      cJSON_Delete (value);
    }
  if (held->epoch == c->hold_epoch && job)
    {
      job->ending = FALSE;
      if (result == HZB_STORE_OK && job->tasks)
        {
          g_message ("job %s is done", uid);
          hzb_records_drop_job (c->records, job);
          hzb_jobs_retire (c->jobs, job);
        }
    }
  g_free (held);
}

void
hzb_controller_end_job (HzbController *c, HzbJob *job)
{
  g_autofree char *key = NULL;
  cJSON *txn;

  if (job->ending || job->state != HZB_JOB_ACCEPTED || !hzb_election_leading (c->election))
    return;
  job->ending = TRUE;
  key = g_strconcat (HZB_KEY_JOBS, job->uid, NULL);
  txn = hzb_wire_txn ();
  hzb_election_guard (c->election, txn);
  hzb_jobs_txn_if_not_over (txn, job->uid); /* it has not been cancelled */
  hzb_wire_txn_put (txn, key, hzb_jobs_pack_final (HZB_JOB_DONE, job->n_tasks), 0);
  hzb_store_txn (c->store, HZB_STORE_ACCEPT, txn, on_ended, hzb_held_new (c, g_strdup (job->uid)));
}

/* ---- over time ---- */

static void
check_leases (HzbController *c, struct timespec now)
{
  double over = c->settings->lease_s * 1.002 + LEASE_SLACK_S;

  if (!hzb_election_proven (c->election))
    return; /* a newer holder could have renewed them */
  for (guint i = 0; i < c->machines->all->len; i++)
    {
      HzbMachine *m = c->machines->all->pdata[i];
      if ((m->state == HZB_MACHINE_ACTIVE || m->state == HZB_MACHINE_DRAINING) && m->confirmed
          && hzb_time_between (m->answered, now) > over)
        {
          hzb_machine_lose_tasks (c->jobs, m);
          m->over_session = m->session;
          hzb_machine_set_state (c->machines, m, HZB_MACHINE_SILENT, "its lease is over");
        }
      else if (m->state == HZB_MACHINE_ACTIVE && hzb_time_between (m->heard, now) > 3 * c->settings->report_s
               && hzb_machine_listed (m))
        hzb_machine_empty_lists (c->jobs, m); /* others may take what waits for a quiet machine */
    }
}

/* A gang that has lost a task starts anew once all its tasks are gone: those that wait for the others are told
 * so, those that run notice it themselves. When one is done, all are, even one whose machine is lost. */
static void
tend_gang (HzbController *c, HzbJob *job)
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
tend_jobs (HzbController *c, struct timespec now)
{
  for (guint i = 0; i < c->jobs->active->len; i++)
    {
      HzbJob *job = c->jobs->active->pdata[i];
      if (job->state == HZB_JOB_ACCEPTED)
        {
          if (job->spec->gang)
            tend_gang (c, job);
          if (job->finished + job->done == job->n_tasks)
            hzb_controller_end_job (c, job);
          continue;
        }
      hzb_leases_cancelled (c->leases, job);
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

/* One line that tells an operator how the fleet stands, lent machines included. */
static void
log_summary (HzbController *c)
{
  guint up = 0, lent = 0, booting = 0, other = 0;
  double cpus = 0, spare = 0, booting_cpus = 0, running = 0, held = 0, waiting = 0;

  for (guint i = 0; i < c->machines->all->len; i++)
    {
      const HzbMachine *m = c->machines->all->pdata[i];
      if ((m->state == HZB_MACHINE_ACTIVE || m->state == HZB_MACHINE_LENT) && m->type)
        {
          up++;
          lent += m->state == HZB_MACHINE_LENT;
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
      held += job->placed * job->spec->cpus;
      running += (job->running + job->lent_running) * job->spec->cpus;
    }
  g_message ("fleet: %u up, %u of them lent (%g CPUs: %g held, %g running; %g spare), %u booting (%g CPUs), %u other; %g CPUs' "
             "worth wait; timers are %.0f ms late",
             up, lent, cpus, held, running, spare, booting, booting_cpus, other, waiting, c->dispatch->lag_s * 1e3);
}

/* A task waits only for machines that could have been told to start it: a replica, say, for no spot machine. */
static void
resolve_unknown (HzbController *c)
{
  if (c->hold != HZB_HOLD_RECOVERING && !hzb_jobs_any_unknown (c->jobs))
    return;
  for (guint block = 0; block <= c->settings->peers->len; block++)
    {
      g_autoptr (GPtrArray) unheard = hzb_machines_unheard_kinds (c->machines, block);
      for (guint i = 0; i < c->jobs->active->len; i++)
        {
          HzbJob *job = c->jobs->active->pdata[i];
          if (job->unknown && !hzb_job_may_be_unheard (job, unheard))
            hzb_job_resolve_unknown (c->jobs, job, block);
        }
      if (block == HZB_SUSPECT_OF_LEADER && c->hold == HZB_HOLD_RECOVERING && !unheard->len)
        set_hold (c, HZB_HOLD_FULL, "every machine has answered or is gone");
    }
}

static void
hold_tick (HzbController *c, struct timespec now)
{
  resolve_unknown (c);
  check_leases (c, now);
  tend_jobs (c, now);
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
hears_nobody (HzbController *c)
{
  struct timespec now = hzb_clock_now (c->clock);
  double quiet = 1.25 * c->settings->report_s + 1.5;
  guint n = 0;

  for (guint i = 0; i < c->machines->all->len; i++)
    {
      const HzbMachine *m = c->machines->all->pdata[i];
      if (!hzb_time_is_set (m->heard) || m->state == HZB_MACHINE_LENT || m->state == HZB_MACHINE_RETURNING
          || m->state == HZB_MACHINE_SILENT)
        continue;
      if (hzb_time_between (m->heard, now) < quiet)
        return FALSE;
      n += m->confirmed;
    }
  return n >= 3 && (!hzb_peers_any_lost_workers (c->peers) || hzb_peers_any_sends_workers (c->peers));
}

/* In an outage of the state service for all, a holder goes on answering workers, so that their leases live.
 * One that is refused alone, or cut off from everything, gives way to those that are not. */
static void
watch_own_standing (HzbController *c)
{
  double silence = hzb_store_silence (c->store);

  if (hzb_election_leading (c->election) && silence < 2.5 && hzb_peers_any_heard (c->peers) && c->settings->peers->len && hears_nobody (c))
    {
      c->lost_workers = hzb_clock_now (c->clock);
      hzb_election_step_down (c->election, "no worker is heard any more, while all else can be reached");
      hzb_election_stand_back (c->election, 20);
      return;
    }
  if (!hzb_election_leading (c->election) || silence < 5)
    return;
  if (hzb_peers_any_served (c->peers))
    hzb_election_step_down (c->election, "the state service refuses this node alone");
  else if (!hzb_peers_any_heard (c->peers))
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
  hzb_election_press (c->election, c->format == HZB_FORMAT && hzb_election_format (c->election) < HZB_FORMAT
                                       && hzb_peers_any_old (c->peers));
  hzb_election_tick (c->election, mirror_is_fresh (c));
  watch_own_standing (c);
  if (hzb_election_leading (c->election))
    hzb_controller_end_leased (c, "this node leads now");
  if (hzb_election_leading (c->election) && c->hold != HZB_HOLD_NONE
      && hzb_token_leader (c->block->token) != hzb_election_term (c->election))
    end_hold (c); /* elected anew before the loss was seen */
  if (hzb_election_leading (c->election) && c->hold == HZB_HOLD_NONE && c->mirror == HZB_MIRROR_FOLLOWING
      && hzb_election_leader_seen (c->election))
    begin_hold (c);
  else if (!hzb_election_leading (c->election) && c->hold > HZB_HOLD_LEASED)
    end_hold (c);
  if (c->hold == HZB_HOLD_FULL && c->format == HZB_FORMAT && hzb_election_format (c->election) < HZB_FORMAT
      && hzb_peers_all_format (c->peers, HZB_FORMAT))
    hzb_election_raise_format (c->election);
  if (hzb_election_leading (c->election))
    hzb_leases_tick (c->leases, now);
  else
    hzb_lessee_tick (c->lessee, now);
  if (c->hold == HZB_HOLD_LEASED && !hzb_time_before (now, c->next_dispatch))
    {
      c->next_dispatch = hzb_time_plus (now, 0.2);
      hzb_dispatch_run (c->dispatch, now);
    }
  if (c->hold == HZB_HOLD_LEASED && !hzb_time_before (now, c->next_plan))
    {
      c->next_plan = hzb_time_plus (now, 1);
      hzb_dispatch_consolidate (c->dispatch, now);
    }
  if (c->hold >= HZB_HOLD_RECOVERING)
    hold_tick (c, now);
  hzb_rentals_tick (c->rentals, now);
  hzb_peers_tick (c->peers, now);
  hzb_cancellations_tick (c->cancellations, now);
  hzb_api_tick (c->api);
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
        hzb_gateway_report (c, exchange);
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
    hzb_api_request (c->api, exchange);
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
  c->fleet = hzb_fleet_new (c->jobs, c->machines, settings);
  c->api = hzb_api_new (c);
  c->peers = hzb_peers_new (c);
  c->cancellations = hzb_cancellations_new (c);
  c->leases = hzb_leases_new (c);
  c->lessee = hzb_lessee_new (c);
  c->metrics = hzb_metrics_new ();
  c->lease_blocks = TRUE;
  c->format = HZB_FORMAT;
  c->incarnation = g_strdup_printf ("%08x%08x", g_rand_int (c->rand), g_rand_int (c->rand));
  c->rentals = hzb_rentals_new (c);
  c->records = hzb_records_new (c);
  return c;
}

void
hzb_controller_free (HzbController *c)
{
  hzb_api_free (c->api);
  hzb_cancellations_free (c->cancellations);
  hzb_leases_free (c->leases);
  hzb_lessee_free (c->lessee);
  hzb_peers_free (c->peers);
  hzb_records_free (c->records);
  hzb_metrics_free (c->metrics);
  g_free (c->incarnation);
  hzb_jobs_let_go (c->jobs);
  hzb_machines_clear (c->machines);
  hzb_fleet_free (c->fleet);
  hzb_dispatch_free (c->dispatch);
  hzb_jobs_free (c->jobs);
  hzb_machines_free (c->machines);
  hzb_block_free (c->block);
  hzb_election_free (c->election);
  hzb_cloud_free (c->cloud);
  hzb_store_free (c->store);
  hzb_rentals_free (c->rentals);
  g_free (c->load_after);
  g_free (c->hold_after);
  g_rand_free (c->rand);
  g_free (c);
}
