/* The state machines of a reconciliation. A reconciliation can span several leaderships: its record and its pages of
 * verdicts are stored below HZB_KEY_LEADER_RECORDS, and the next leader continues from them. A durable verdict never
 * changes. */
#include "reconciliation-private.h"

#include <string.h>

/* ---- states ---- */

static const char *const state_names[HZB_RECONCILIATION_N_STATES] = {
  [HZB_RECONCILIATION_NONE] = "none",
  [HZB_RECONCILIATION_DETECTING] = "detecting",
  [HZB_RECONCILIATION_COLLECTING] = "collecting",
  [HZB_RECONCILIATION_DECIDING] = "deciding",
  [HZB_RECONCILIATION_RECORDED] = "recorded",
  [HZB_RECONCILIATION_COMPLETE] = "complete",
  [HZB_RECONCILIATION_ABANDONED] = "abandoned",
};

const char *
hzb_reconciliation_state_name (HzbReconciliationState state)
{
  return state_names[state];
}

static gboolean
counts_are_consistent (const HzbReconciliation *reconciliation)
{
  return reconciliation->open_jobs <= reconciliation->unrecorded_jobs
         && reconciliation->unrecorded_jobs <= g_hash_table_size (reconciliation->tracked_jobs);
}

/* In the state "collecting", this leader has prepared its record, which may not be durable yet. From "deciding" on, the
 * record is durable and every job is decided. From "recorded" on, every verdict is durable. */
static gboolean
progress_matches_state (const HzbReconciliation *reconciliation)
{
  HzbReconciliationState state = reconciliation->state;

  if (state < HZB_RECONCILIATION_COLLECTING || state > HZB_RECONCILIATION_COMPLETE)
    return TRUE; /* no cold start is being reconciled */
  if (state == HZB_RECONCILIATION_COLLECTING)
    return reconciliation->record_state >= HZB_RECORD_STATE_UNWRITTEN;
  return reconciliation->record_state == HZB_RECORD_STATE_DURABLE && !reconciliation->open_jobs
         && (state == HZB_RECONCILIATION_DECIDING || !reconciliation->unrecorded_jobs);
}

/* Called after each change of the state. */
static void
check_invariants (const HzbReconciliation *reconciliation)
{
  g_return_if_fail (counts_are_consistent (reconciliation));
  g_return_if_fail (progress_matches_state (reconciliation));
}

#define TO(state) (1u << HZB_RECONCILIATION_##state)

void
hzb_reconciliation_set_state (HzbReconciliation *reconciliation, HzbReconciliationState to, const char *reason)
{
  static const guint legal[HZB_RECONCILIATION_N_STATES] = {
    [HZB_RECONCILIATION_NONE] = TO (DETECTING),
    [HZB_RECONCILIATION_DETECTING] = TO (NONE) | TO (COLLECTING) | TO (ABANDONED),
    [HZB_RECONCILIATION_COLLECTING] = TO (DECIDING) | TO (ABANDONED),
    [HZB_RECONCILIATION_DECIDING] = TO (RECORDED) | TO (ABANDONED),
    [HZB_RECONCILIATION_RECORDED] = TO (COMPLETE) | TO (ABANDONED),
    [HZB_RECONCILIATION_COMPLETE] = TO (NONE),
    [HZB_RECONCILIATION_ABANDONED] = TO (NONE),
  };
  if (!(legal[reconciliation->state] & 1u << to))
    {
      g_critical ("reconciliation: illegal change %s -> %s; the state stays as it is. This is a fault of the program: "
                  "report it with this log",
                  state_names[reconciliation->state], state_names[to]);
      return;
    }
  g_message ("reconciliation: %s -> %s: %s", state_names[reconciliation->state], state_names[to], reason);
  reconciliation->state = to;
  check_invariants (reconciliation);
}

#undef TO

HzbReconciliationState
hzb_reconciliation_state (const HzbReconciliation *reconciliation)
{
  return reconciliation->state;
}

#define TO(state) (1u << HZB_RECORD_STATE_##state)

void
hzb_reconciliation_set_record_state (HzbReconciliation *reconciliation, HzbRecordState to)
{
  static const guint legal[HZB_RECORD_N_STATES] = {
    [HZB_RECORD_STATE_NONE] = TO (NONE) | TO (UNFINISHED) | TO (UNWRITTEN),
    [HZB_RECORD_STATE_UNFINISHED] = TO (UNFINISHED) | TO (NONE) | TO (UNWRITTEN),
    [HZB_RECORD_STATE_UNWRITTEN] = TO (DURABLE) | TO (NONE),
    [HZB_RECORD_STATE_DURABLE] = TO (DURABLE) | TO (NONE),
  };
  g_return_if_fail (legal[reconciliation->record_state] & 1u << to);
  reconciliation->record_state = to;
}

#undef TO

gboolean
hzb_reconciliation_enabled (const HzbReconciliation *reconciliation)
{
  return reconciliation->dependencies.node->settings->reconciliation.enabled;
}

double
hzb_reconciliation_elapsed_s (const HzbReconciliation *reconciliation)
{
  return hzb_time_between (reconciliation->began, hzb_clock_now (reconciliation->dependencies.node->clock));
}

/* ---- tracked jobs ---- */

static void
tracked_job_free (gpointer data)
{
  HzbTrackedJob *tracked = data;
  g_free (tracked->entry.uid);
  g_free (tracked);
}

HzbTrackedJob *
hzb_reconciliation_track_job (HzbReconciliation *reconciliation, const char *uid)
{
  HzbTrackedJob *tracked = g_hash_table_lookup (reconciliation->tracked_jobs, uid);

  if (tracked)
    return tracked;
  tracked = g_new0 (HzbTrackedJob, 1);
  tracked->entry.uid = g_strdup (uid);
  g_hash_table_insert (reconciliation->tracked_jobs, tracked->entry.uid, tracked);
  reconciliation->open_jobs++;
  reconciliation->unrecorded_jobs++;
  return tracked;
}

void
hzb_reconciliation_clear_tracked_jobs (HzbReconciliation *reconciliation)
{
  g_hash_table_remove_all (reconciliation->tracked_jobs);
  reconciliation->open_jobs = reconciliation->unrecorded_jobs = 0;
}

void
hzb_reconciliation_wake_scheduling (HzbReconciliation *reconciliation)
{
  reconciliation->dependencies.machines->next_scan = (struct timespec){ 0 };
  reconciliation->dependencies.dispatch->next_run = (struct timespec){ 0 };
}

void
hzb_reconciliation_set_phase (HzbReconciliation *reconciliation, HzbTrackedJob *tracked, HzbJobPhase to)
{
  HzbJob *job;

  if (to <= tracked->phase)
    {
      g_critical ("reconciliation: illegal change of the verdict on job %s; it stays as it is. This is a fault of the "
                  "program: report it with this log",
                  tracked->entry.uid);
      return;
    }
  if (tracked->phase == HZB_JOB_PHASE_OPEN)
    reconciliation->open_jobs--;
  tracked->phase = to;
  if (to != HZB_JOB_PHASE_RECORDED)
    return;
  reconciliation->unrecorded_jobs--;
  tracked->recorded_s = hzb_reconciliation_elapsed_s (reconciliation);
  job = hzb_jobs_find (reconciliation->dependencies.jobs, tracked->entry.uid);
  if (job)
    job->awaits_verdict = FALSE;
  hzb_reconciliation_wake_scheduling (reconciliation);
}

/* ---- creation, release and reset ---- */

static HzbQuarantine *
new_quarantine (const HzbReconciliationDependencies *modules)
{
  HzbQuarantineDependencies dependencies = {
    .node = modules->node,
    .kv = modules->kv,
    .kv_replica = modules->kv_replica,
    .election = modules->election,
    .ownership = modules->ownership,
    .jobs = modules->jobs,
    .machines = modules->machines,
  };
  return hzb_quarantine_new (&dependencies);
}

static HzbArchiveStore *
new_archive_store (const HzbReconciliationDependencies *modules)
{
  HzbArchiveStoreDependencies dependencies = {
    .node = modules->node,
    .kv = modules->kv,
    .election = modules->election,
    .ownership = modules->ownership,
  };
  return hzb_archive_store_new (&dependencies);
}

static void
verdict_page_free (gpointer data)
{
  HzbVerdictPage *page = data;
  g_free (page->key);
  g_ptr_array_unref (page->jobs);
  g_free (page);
}

HzbReconciliation *
hzb_reconciliation_new (const HzbReconciliationDependencies *dependencies)
{
  HzbReconciliation *reconciliation = g_new0 (HzbReconciliation, 1);
  reconciliation->dependencies = *dependencies;
  hzb_roster_init (&reconciliation->roster, dependencies->node, dependencies->peers);
  reconciliation->quarantine = new_quarantine (dependencies);
  reconciliation->archive_store = new_archive_store (dependencies);
  reconciliation->page_keys = g_ptr_array_new_with_free_func (g_free);
  reconciliation->tracked_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tracked_job_free);
  reconciliation->machines = hzb_archived_machines_new ();
  reconciliation->in_flight = g_ptr_array_new_with_free_func (verdict_page_free);
  return reconciliation;
}

void
hzb_reconciliation_free (HzbReconciliation *reconciliation)
{
  hzb_roster_clear (&reconciliation->roster);
  hzb_quarantine_free (reconciliation->quarantine);
  hzb_archive_store_free (reconciliation->archive_store);
  g_ptr_array_unref (reconciliation->page_keys);
  g_hash_table_unref (reconciliation->tracked_jobs);
  g_array_unref (reconciliation->machines);
  g_ptr_array_unref (reconciliation->in_flight);
  g_clear_pointer (&reconciliation->packed_archive, g_bytes_unref);
  g_free (reconciliation);
}

void
hzb_reconciliation_reset (HzbReconciliation *reconciliation)
{
  if (reconciliation->state > HZB_RECONCILIATION_NONE && reconciliation->state < HZB_RECONCILIATION_COMPLETE)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_ABANDONED,
                                  "this leadership ended; the next leader continues the reconciliation");
  if (reconciliation->state != HZB_RECONCILIATION_NONE)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_NONE, "a leadership of this node began or ended");
  hzb_roster_clear (&reconciliation->roster);
  hzb_quarantine_reset (reconciliation->quarantine);
  hzb_start_pacing_end (&reconciliation->pacing);
  reconciliation->record = (HzbReconciliationRecord){ 0 };
  hzb_reconciliation_set_record_state (reconciliation, HZB_RECORD_STATE_NONE);
  hzb_reconciliation_clear_tracked_jobs (reconciliation);
  g_array_set_size (reconciliation->machines, 0);
  memset (reconciliation->verdict_counts, 0, sizeof reconciliation->verdict_counts);
  memset (reconciliation->command_counts, 0, sizeof reconciliation->command_counts);
  hzb_recorder_reset (reconciliation);
}

/* ---- periodic work ---- */

static void
advance_state (HzbReconciliation *reconciliation)
{
  if (reconciliation->state == HZB_RECONCILIATION_COLLECTING && reconciliation->record_state == HZB_RECORD_STATE_DURABLE
      && !reconciliation->open_jobs)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_DECIDING,
                                  "every machine that can affect a verdict is accounted for");
  if (reconciliation->state == HZB_RECONCILIATION_DECIDING && !reconciliation->unrecorded_jobs)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_RECORDED, "every verdict is durable");
}

/* Records of an earlier reconciliation may be left in the key-value store although no reconciliation is running: that
 * reconciliation was discarded as outdated, or its records are unreadable. */
static void
remove_leftovers (HzbReconciliation *reconciliation, struct timespec now)
{
  if (reconciliation->page_keys->len || reconciliation->record_version)
    hzb_recorder_clean_up (reconciliation, now);
}

void
hzb_reconciliation_tick (HzbReconciliation *reconciliation, struct timespec now)
{
  if (!hzb_reconciliation_enabled (reconciliation))
    return;
  hzb_quarantine_tick (reconciliation->quarantine, now);
  hzb_start_pacing_tick (&reconciliation->pacing, reconciliation->dependencies.dispatch->lag_s, now);
  switch (reconciliation->state)
    {
    case HZB_RECONCILIATION_NONE:
      remove_leftovers (reconciliation, now);
      break;
    case HZB_RECONCILIATION_DETECTING:
      hzb_reconciliation_detect_cold_start (reconciliation, now);
      break;
    case HZB_RECONCILIATION_COLLECTING:
    case HZB_RECONCILIATION_DECIDING:
      hzb_reconciliation_scan_jobs (reconciliation, now);
      hzb_recorder_write_verdicts (reconciliation, now);
      advance_state (reconciliation);
      break;
    case HZB_RECONCILIATION_RECORDED:
      hzb_reconciliation_scan_machines (reconciliation, now);
      hzb_recorder_finish (reconciliation, now);
      break;
    default:
      break;
    }
}

/* ---- pacing and roster for other modules ---- */

HzbStartPacing *
hzb_reconciliation_pacing (HzbReconciliation *reconciliation)
{
  return &reconciliation->pacing;
}

/* In a cold start, the leader may put its process on the roster only when the record of the cold start is durable.
 * Otherwise, if its leadership ended before the record was durable, the next leader would find the process on the
 * roster, conclude that a controller of the last leadership has survived, and treat the start as a failover. */
static gboolean
may_change_roster (const HzbReconciliation *reconciliation)
{
  return reconciliation->state != HZB_RECONCILIATION_DETECTING
         && (reconciliation->state != HZB_RECONCILIATION_COLLECTING
             || reconciliation->record_state == HZB_RECORD_STATE_DURABLE);
}

gboolean
hzb_reconciliation_is_roster_due (HzbReconciliation *reconciliation)
{
  return hzb_reconciliation_enabled (reconciliation) && may_change_roster (reconciliation)
         && hzb_roster_is_due (&reconciliation->roster);
}

void
hzb_reconciliation_add_roster (HzbReconciliation *reconciliation, cJSON *flush_record)
{
  if (!hzb_reconciliation_enabled (reconciliation))
    return;
  if (may_change_roster (reconciliation))
    hzb_roster_add_alive_processes (&reconciliation->roster, flush_record);
  else
    hzb_roster_add_recorded_processes (&reconciliation->roster, flush_record);
}

void
hzb_reconciliation_complete_roster_write (HzbReconciliation *reconciliation, gboolean applied)
{
  hzb_roster_complete_write (&reconciliation->roster, applied);
}
