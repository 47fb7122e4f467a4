/* One reconciliation spans as many leaderships as it takes. Its record and the pages of verdicts lie under the owner's
 * prefix. Each page is written once, under a number of its own, on condition of the leader's term and that it is not there
 * yet: a transaction that is carried out late, or twice, changes nothing. A verdict that is durable is never made anew. */
#include "reconciliation.h"

#include "kv-protocol.h"
#include "reconciliation-private.h"
#include "record-keys.h"
#include "worker-protocol.h"

#include <string.h>

#define DETECT_S 3.0 /* peers tell each other once a second that they live */
#define LEAST_STARTS_PER_S 8.0
#define MOST_RENTALS_PER_S 2.0
#define CLOUD_PART 0.5 /* of the calls that the cloud takes */

/* ---- life ---- */

static const char *const state_names[HZB_RECONCILIATION_N_STATES] = { "none",     "detecting", "collecting", "deciding",
                                                                      "recorded", "complete",  "abandoned" };

const char *
hzb_reconciliation_state_name (HzbReconciliationState state)
{
  return state_names[state];
}

void
hzb_reconciliation_set_state (HzbReconciliation *reconciliation, HzbReconciliationState to, const char *why)
{
  static const guint legal[HZB_RECONCILIATION_N_STATES] = {
    [HZB_RECONCILIATION_NONE] = 1 << HZB_RECONCILIATION_DETECTING,
    [HZB_RECONCILIATION_DETECTING] =
        1 << HZB_RECONCILIATION_NONE | 1 << HZB_RECONCILIATION_COLLECTING | 1 << HZB_RECONCILIATION_ABANDONED,
    [HZB_RECONCILIATION_COLLECTING] = 1 << HZB_RECONCILIATION_DECIDING | 1 << HZB_RECONCILIATION_ABANDONED,
    [HZB_RECONCILIATION_DECIDING] = 1 << HZB_RECONCILIATION_RECORDED | 1 << HZB_RECONCILIATION_ABANDONED,
    [HZB_RECONCILIATION_RECORDED] = 1 << HZB_RECONCILIATION_COMPLETE | 1 << HZB_RECONCILIATION_ABANDONED,
    [HZB_RECONCILIATION_COMPLETE] = 1 << HZB_RECONCILIATION_NONE,
    [HZB_RECONCILIATION_ABANDONED] = 1 << HZB_RECONCILIATION_NONE,
  };
  if (!(legal[reconciliation->state] & 1u << to))
    {
      g_critical ("reconciliation: illegal change %s -> %s", state_names[reconciliation->state], state_names[to]);
      return;
    }
  g_message ("reconciliation: %s -> %s: %s", state_names[reconciliation->state], state_names[to], why);
  reconciliation->state = to;
}

HzbReconciliationState
hzb_reconciliation_state (const HzbReconciliation *reconciliation)
{
  return reconciliation->state;
}

HzbQuarantine *
hzb_reconciliation_quarantine (HzbReconciliation *reconciliation)
{
  return reconciliation->quarantine;
}

HzbStartPacing *
hzb_reconciliation_pacing (HzbReconciliation *reconciliation)
{
  return &reconciliation->pacing;
}

HzbArchiveStore *
hzb_reconciliation_archives (HzbReconciliation *reconciliation)
{
  return reconciliation->archives;
}

static void
tracked_free (gpointer data)
{
  g_free (((HzbTrackedJob *) data)->entry.uid);
  g_free (data);
}

static void
page_free (gpointer data)
{
  HzbVerdictPage *page = data;
  g_free (page->key);
  cJSON_Delete (page->value);
  g_ptr_array_unref (page->jobs);
  g_free (page);
}

static void
machine_clear (gpointer data)
{
  g_free (((HzbArchivedMachine *) data)->name);
  g_free (((HzbArchivedMachine *) data)->fate);
}

HzbReconciliation *
hzb_reconciliation_new (const HzbReconciliationDependencies *dependencies)
{
  HzbReconciliation *reconciliation = g_new0 (HzbReconciliation, 1);
  HzbQuarantineDependencies quarantine = {
    .node = dependencies->node,
    .kv = dependencies->kv,
    .kv_replica = dependencies->kv_replica,
    .election = dependencies->election,
    .ownership = dependencies->ownership,
    .jobs = dependencies->jobs,
    .machines = dependencies->machines,
  };
  HzbArchiveStoreDependencies archives = {
    .node = dependencies->node,
    .kv = dependencies->kv,
    .election = dependencies->election,
    .ownership = dependencies->ownership,
  };
  reconciliation->dependencies = *dependencies;
  hzb_roster_init (&reconciliation->roster, dependencies->node, dependencies->peers);
  reconciliation->quarantine = hzb_quarantine_new (&quarantine);
  reconciliation->archives = hzb_archive_store_new (&archives);
  reconciliation->page_keys = g_ptr_array_new_with_free_func (g_free);
  reconciliation->tracked = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tracked_free);
  reconciliation->machines = g_array_new (FALSE, TRUE, sizeof (HzbArchivedMachine));
  g_array_set_clear_func (reconciliation->machines, machine_clear);
  reconciliation->in_flight = g_ptr_array_new_with_free_func (page_free);
  return reconciliation;
}

void
hzb_reconciliation_free (HzbReconciliation *reconciliation)
{
  hzb_roster_clear (&reconciliation->roster);
  hzb_quarantine_free (reconciliation->quarantine);
  hzb_archive_store_free (reconciliation->archives);
  g_ptr_array_unref (reconciliation->page_keys);
  g_hash_table_unref (reconciliation->tracked);
  g_array_unref (reconciliation->machines);
  g_ptr_array_unref (reconciliation->in_flight);
  g_clear_pointer (&reconciliation->archive, g_bytes_unref);
  g_free (reconciliation);
}

void
hzb_reconciliation_reset (HzbReconciliation *reconciliation)
{
  if (reconciliation->state > HZB_RECONCILIATION_NONE && reconciliation->state < HZB_RECONCILIATION_COMPLETE)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_ABANDONED,
                                  "the leadership ended, the next leader goes on");
  if (reconciliation->state != HZB_RECONCILIATION_NONE)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_NONE, "another leadership");
  hzb_roster_clear (&reconciliation->roster);
  hzb_quarantine_reset (reconciliation->quarantine);
  hzb_start_pacing_end (&reconciliation->pacing);
  reconciliation->record = (HzbReconciliationRecord){ 0 };
  reconciliation->record_version = 0;
  reconciliation->has_record = reconciliation->record_durable = FALSE;
  g_ptr_array_set_size (reconciliation->page_keys, 0);
  reconciliation->next_page = 1;
  g_hash_table_remove_all (reconciliation->tracked);
  g_array_set_size (reconciliation->machines, 0);
  reconciliation->open = reconciliation->unrecorded = 0;
  memset (reconciliation->verdicts, 0, sizeof reconciliation->verdicts);
  memset (reconciliation->commands, 0, sizeof reconciliation->commands);
  g_ptr_array_set_size (reconciliation->in_flight, 0);
  reconciliation->sending = reconciliation->cleaning = reconciliation->archiving = FALSE;
  g_clear_pointer (&reconciliation->archive, g_bytes_unref);
}

static gboolean
enabled (const HzbReconciliation *reconciliation)
{
  return reconciliation->dependencies.node->settings->reconciliation.enabled;
}

/* ---- jobs ---- */

static HzbTrackedJob *
tracked_job (const HzbReconciliation *reconciliation, const char *uid)
{
  return g_hash_table_lookup (reconciliation->tracked, uid);
}

static HzbTrackedJob *
track (HzbReconciliation *reconciliation, const char *uid)
{
  HzbTrackedJob *tracked = tracked_job (reconciliation, uid);
  if (tracked)
    return tracked;
  tracked = g_new0 (HzbTrackedJob, 1);
  tracked->entry.uid = g_strdup (uid);
  g_hash_table_insert (reconciliation->tracked, tracked->entry.uid, tracked);
  reconciliation->open++;
  reconciliation->unrecorded++;
  return tracked;
}

void
hzb_reconciliation_set_phase (HzbReconciliation *reconciliation, HzbTrackedJob *tracked, HzbJobPhase to)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;
  HzbJob *job;

  if (to <= tracked->phase)
    {
      g_critical ("reconciliation: illegal change of job %s", tracked->entry.uid);
      return;
    }
  reconciliation->open -= tracked->phase == HZB_PHASE_OPEN;
  tracked->phase = to;
  if (to != HZB_PHASE_RECORDED)
    return;
  reconciliation->unrecorded--;
  tracked->at_s = hzb_time_between (reconciliation->began, hzb_clock_now (uses->node->clock));
  job = hzb_jobs_find (uses->jobs, tracked->entry.uid);
  if (job)
    job->awaits_verdict = FALSE;
  uses->machines->next_scan = uses->dispatch->next_run = (struct timespec){ 0 };
}

/* ---- reading ---- */

static void
load_page (HzbReconciliation *reconciliation, const HzbKvEntry *item)
{
  guint number = (guint) g_ascii_strtoull (item->key + strlen (HZB_KEY_RECONCILIATION_VERDICTS), NULL, 10);
  g_autoptr (GError) error = NULL;
  g_autoptr (GArray) entries = NULL;
  guint64 id = 0;

  g_ptr_array_add (reconciliation->page_keys, g_strdup (item->key));
  reconciliation->next_page = MAX (reconciliation->next_page, number + 1);
  entries = hzb_verdict_page_decode (item->value, &id, &error);
  if (!entries)
    {
      g_warning (
          "reconciliation: %s can't be read, its verdicts count for nothing and its jobs wait for their machines: %s",
          item->key, error->message);
      return;
    }
  /* The record comes before its pages. What belongs to no record, or to another, is only removed. */
  if (!reconciliation->has_record || id != reconciliation->record.id)
    return;
  for (guint i = 0; i < entries->len; i++)
    {
      const HzbVerdictEntry *entry = &g_array_index (entries, HzbVerdictEntry, i);
      HzbTrackedJob *tracked = track (reconciliation, entry->uid);
      char *uid = tracked->entry.uid;
      if (tracked->phase == HZB_PHASE_RECORDED)
        continue; /* the first one holds */
      tracked->entry = *entry;
      tracked->entry.uid = uid;
      hzb_reconciliation_set_phase (reconciliation, tracked, HZB_PHASE_RECORDED);
    }
}

void
hzb_reconciliation_load (HzbReconciliation *reconciliation, const HzbKvEntry *item)
{
  g_autoptr (GError) error = NULL;

  if (!enabled (reconciliation) || !item->value)
    return;
  if (g_str_equal (item->key, HZB_KEY_FLUSH))
    hzb_roster_load (&reconciliation->roster, item->value);
  else if (g_str_equal (item->key, HZB_KEY_RECONCILIATION_KEPT))
    hzb_quarantine_load (reconciliation->quarantine, item);
  else if (g_str_has_prefix (item->key, HZB_KEY_RECONCILIATION_VERDICTS))
    load_page (reconciliation, item);
  else if (g_str_equal (item->key, HZB_KEY_RECONCILIATION_STATE))
    {
      reconciliation->record_version = item->version;
      reconciliation->has_record = hzb_reconciliation_record_decode (item->value, &reconciliation->record, &error);
      if (!reconciliation->has_record)
        g_warning ("reconciliation: its record can't be read, and counts for nothing: %s", error->message);
    }
}

/* A leader that records no roster has led since: what was decided before is not what there is now. */
static gboolean
overtaken (const HzbReconciliation *reconciliation)
{
  const HzbRoster *roster = &reconciliation->roster;
  return !roster->recorded && roster->flush_term > reconciliation->record.term;
}

static void
forget_verdicts (HzbReconciliation *reconciliation)
{
  g_hash_table_remove_all (reconciliation->tracked);
  reconciliation->open = reconciliation->unrecorded = 0;
}

void
hzb_reconciliation_loaded (HzbReconciliation *reconciliation)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;

  if (!enabled (reconciliation))
    return;
  reconciliation->began = hzb_clock_now (uses->node->clock);
  reconciliation->next_scan = reconciliation->next_write = reconciliation->began;
  if (reconciliation->has_record && overtaken (reconciliation))
    {
      g_message ("reconciliation %" G_GUINT64_FORMAT " is given up: a leader without it has led since",
                 reconciliation->record.id);
      reconciliation->has_record = FALSE;
    }
  if (!reconciliation->has_record)
    forget_verdicts (reconciliation);
  hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_DETECTING, "the records have been read");
  for (guint i = 0; i < uses->jobs->active->len; i++)
    {
      HzbJob *job = uses->jobs->active->pdata[i];
      HzbTrackedJob *tracked = track (reconciliation, job->uid);
      tracked->tasks = job->n_tasks;
      tracked->released = job->released;
      job->awaits_verdict = tracked->phase != HZB_PHASE_RECORDED;
    }
}

/* ---- whether it is a cold start ---- */

static void
release_all (HzbReconciliation *reconciliation)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;
  for (guint i = 0; i < uses->jobs->active->len; i++)
    ((HzbJob *) uses->jobs->active->pdata[i])->awaits_verdict = FALSE;
  forget_verdicts (reconciliation);
  uses->machines->next_scan = uses->dispatch->next_run = (struct timespec){ 0 };
}

static void
note_machines (HzbReconciliation *reconciliation)
{
  const GPtrArray *all = reconciliation->dependencies.machines->all;
  for (guint i = 0; i < all->len; i++)
    {
      const HzbMachine *machine = all->pdata[i];
      HzbArchivedMachine archived = { NULL, NULL, -1 };
      if (!machine->recorded)
        continue;
      archived.name = g_strdup (machine->name);
      archived.fate = g_strdup ("awaited");
      g_array_append_val (reconciliation->machines, archived);
    }
}

static void
begin_pacing (HzbReconciliation *reconciliation, struct timespec now)
{
  const HzbSettings *settings = reconciliation->dependencies.node->settings;
  double machines = reconciliation->dependencies.machines->all->len;
  HzbStartPacingLimits limits = {
    .per_s = settings->reconciliation.starts_per_s > 0
                 ? settings->reconciliation.starts_per_s
                 : MAX (LEAST_STARTS_PER_S, machines / (2 * settings->heartbeat_interval_s)),
    .per_answer = settings->reconciliation.starts_per_heartbeat,
    .rentals_per_s = MIN (MOST_RENTALS_PER_S, CLOUD_PART * settings->cloud_rps),
    .duration_s = settings->reconciliation.pace_s,
  };
  hzb_start_pacing_begin (&reconciliation->pacing, &limits, now);
}

static void
begin_collecting (HzbReconciliation *reconciliation, struct timespec now)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;
  HzbReconciliationRecord *record = &reconciliation->record;
  guint64 term = hzb_election_term (uses->election);

  if (!reconciliation->has_record)
    *record = (HzbReconciliationRecord){ .id = term, .began = (double) hzb_clock_wall (uses->node->clock).tv_sec };
  record->term = term;
  record->starts++;
  reconciliation->has_record = TRUE;
  reconciliation->record_durable = FALSE;
  reconciliation->began = now;
  note_machines (reconciliation);
  begin_pacing (reconciliation, now);
  hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_COLLECTING,
                                hzb_start_reason_name (reconciliation->start_reason));
  g_message ("reconciliation %" G_GUINT64_FORMAT ": %u jobs, %u of them without a verdict; %u machines may hold tasks",
             record->id, g_hash_table_size (reconciliation->tracked), reconciliation->open,
             reconciliation->machines->len);
}

static void
detect (HzbReconciliation *reconciliation, struct timespec now)
{
  HzbStartEvidence evidence = { 0 };
  HzbStartKind kind;

  hzb_roster_collect (&reconciliation->roster, &evidence);
  evidence.unfinished = reconciliation->has_record;
  evidence.patience_over = hzb_time_between (reconciliation->began, now) >= DETECT_S;
  kind = hzb_start_decide (&evidence, &reconciliation->start_reason);
  if (kind == HZB_START_UNDECIDED)
    return;
  if (kind == HZB_START_COLD)
    {
      begin_collecting (reconciliation, now);
      return;
    }
  hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_NONE,
                                hzb_start_reason_name (reconciliation->start_reason));
  release_all (reconciliation);
}

/* ---- deciding ---- */

static gboolean
is_unverified (const HzbMachine *machine)
{
  return machine->state == HZB_MACHINE_UNVERIFIED
         || (machine->state == HZB_MACHINE_RETURNING && !machine->verified && machine->recorded);
}

static void
scan_machines (HzbReconciliation *reconciliation, struct timespec now)
{
  const HzbMachines *machines = reconciliation->dependencies.machines;
  for (guint i = 0; i < reconciliation->machines->len; i++)
    {
      HzbArchivedMachine *archived = &g_array_index (reconciliation->machines, HzbArchivedMachine, i);
      const HzbMachine *machine;
      if (archived->at_s >= 0)
        continue;
      machine = hzb_machines_find ((HzbMachines *) machines, archived->name);
      if (machine && is_unverified (machine))
        continue;
      archived->at_s = hzb_time_between (reconciliation->began, now);
      g_free (archived->fate);
      archived->fate = g_strdup (!machine                                      ? "gone"
                                 : machine->state == HZB_MACHINE_LEASE_EXPIRED ? "lease over"
                                                                               : "answered");
    }
}

static HzbJobEvidence
evidence_of (const HzbReconciliation *reconciliation, const HzbJob *job, const HzbTrackedJob *tracked,
             const GPtrArray *unverified)
{
  return (HzbJobEvidence){
    .cancelled = job->state == HZB_JOB_CANCELLED,
    .tasks = job->n_tasks,
    .released = tracked->released,
    .found = job->placed,
    .results = job->finished + job->done,
    .unconfirmed = job->unconfirmed,
    .machines_awaited = job->unconfirmed && hzb_job_may_run_on_unverified (job, unverified),
    .barrier = reconciliation->dependencies.node->settings->reconciliation.barrier && unverified->len,
  };
}

static void
decide_job (HzbReconciliation *reconciliation, HzbTrackedJob *tracked, const GPtrArray *unverified)
{
  const HzbJob *job = hzb_jobs_find (reconciliation->dependencies.jobs, tracked->entry.uid);
  HzbJobEvidence evidence = { .tasks = tracked->tasks, .results = tracked->tasks };
  HzbVerdictEntry *entry = &tracked->entry;

  /* One that is over and kept by nobody any more has ended meanwhile. */
  if (job && job->tasks)
    evidence = evidence_of (reconciliation, job, tracked, unverified);
  else if (job && job->state == HZB_JOB_CANCELLED)
    evidence.cancelled = TRUE;
  entry->verdict = hzb_job_verdict_decide (&evidence, &entry->reason);
  if (entry->verdict == HZB_JOB_VERDICT_HOLD)
    return;
  entry->found = evidence.found;
  entry->results = evidence.results;
  entry->restarted = entry->verdict == HZB_JOB_VERDICT_RESUME ? evidence.unconfirmed : 0;
  reconciliation->verdicts[HZB_TASK_VERDICT_RESTART][HZB_TASK_REASON_NOWHERE] += entry->restarted;
  g_debug ("reconciliation: job %s: %s (%s)", entry->uid, hzb_job_verdict_name (entry->verdict),
           hzb_job_reason_name (entry->reason));
  hzb_reconciliation_set_phase (reconciliation, tracked,
                                hzb_job_reason_needs_record (entry->reason) ? HZB_PHASE_DECIDED : HZB_PHASE_RECORDED);
}

static void
survey (HzbReconciliation *reconciliation, struct timespec now)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;
  g_autoptr (GPtrArray) of_shards = NULL;
  GHashTableIter iter;
  gpointer value;

  if (hzb_time_before (now, reconciliation->next_scan))
    return;
  reconciliation->next_scan = hzb_time_plus (now, hzb_machines_scan_interval_s (uses->machines));
  scan_machines (reconciliation, now);
  /* Guards against decisions before it is durable that there is something to decide: the next leader goes by the record. */
  if (!reconciliation->open || !reconciliation->record_durable)
    return;
  of_shards = hzb_machines_unverified_kinds (uses->machines, 1);
  g_hash_table_iter_init (&iter, reconciliation->tracked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((HzbTrackedJob *) value)->phase == HZB_PHASE_OPEN)
      decide_job (reconciliation, value, of_shards->pdata[HZB_UNCONFIRMED_TASKS_OF_LEADER]);
}

/* ---- over time ---- */

static void
advance (HzbReconciliation *reconciliation)
{
  if (reconciliation->state == HZB_RECONCILIATION_COLLECTING && reconciliation->record_durable && !reconciliation->open)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_DECIDING,
                                  "every machine that mattered is accounted for");
  if (reconciliation->state == HZB_RECONCILIATION_DECIDING && !reconciliation->unrecorded)
    hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_RECORDED, "every verdict is durable");
}

void
hzb_reconciliation_tick (HzbReconciliation *reconciliation, struct timespec now)
{
  if (!enabled (reconciliation))
    return;
  hzb_quarantine_tick (reconciliation->quarantine, now);
  hzb_start_pacing_tick (&reconciliation->pacing, reconciliation->dependencies.dispatch->lag_s, now);
  switch (reconciliation->state)
    {
    case HZB_RECONCILIATION_DETECTING:
      detect (reconciliation, now);
      break;
    case HZB_RECONCILIATION_COLLECTING:
    case HZB_RECONCILIATION_DECIDING:
      survey (reconciliation, now);
      hzb_recorder_write_verdicts (reconciliation, now);
      advance (reconciliation);
      break;
    case HZB_RECONCILIATION_RECORDED:
      scan_machines (reconciliation, now);
      hzb_recorder_finish (reconciliation, now);
      break;
    case HZB_RECONCILIATION_NONE:
      /* What an earlier version's leadership made meaningless. */
      if (reconciliation->page_keys->len || reconciliation->record_version)
        hzb_recorder_clean_up (reconciliation, now);
      break;
    default:
      break;
    }
}

/* ---- what others ask ---- */

gboolean
hzb_reconciliation_may_resolve (const HzbReconciliation *reconciliation, const HzbJob *job)
{
  return !job->awaits_verdict || job->state != HZB_JOB_ACCEPTED;
}

/* Guards against machines that are rented for work that the first reports show to be running. */
gboolean
hzb_reconciliation_may_scale_out (HzbReconciliation *reconciliation, struct timespec now)
{
  double heartbeat_interval_s = reconciliation->dependencies.node->settings->heartbeat_interval_s;

  if (reconciliation->state == HZB_RECONCILIATION_DETECTING)
    return FALSE;
  if (reconciliation->state == HZB_RECONCILIATION_COLLECTING
      && hzb_time_between (reconciliation->began, now) < 2 * heartbeat_interval_s + 2)
    return FALSE;
  return hzb_start_pacing_take_rental (&reconciliation->pacing);
}

HzbTaskVerdict
hzb_reconciliation_judge_unrecorded (HzbReconciliation *reconciliation, const HzbMachine *machine,
                                     const HzbTaskStatus *task_status, struct timespec now)
{
  HzbTaskReason reason;
  HzbTaskVerdict verdict = hzb_quarantine_judge (reconciliation->quarantine, machine, task_status, now, &reason);

  if (verdict == HZB_TASK_VERDICT_STOP && !hzb_start_pacing_allows (&reconciliation->pacing, HZB_START_PACING_OTHER))
    return HZB_TASK_VERDICT_AWAIT; /* with the next report */
  if (verdict == HZB_TASK_VERDICT_STOP)
    hzb_start_pacing_take (&reconciliation->pacing);
  reconciliation->verdicts[verdict][reason]++;
  return verdict;
}

static HzbTaskStanding
standing_of (const HzbTask *task, const HzbMachine *machine, guint64 attempt)
{
  if (!task)
    return HZB_STANDING_NOWHERE;
  if (task->state == HZB_TASK_DONE)
    return HZB_STANDING_DURABLE;
  if (task->state == HZB_TASK_FINISHED)
    return HZB_STANDING_RESULT;
  if (!hzb_task_on_machine (task) && task->state != HZB_TASK_DELEGATED)
    return HZB_STANDING_NOWHERE;
  return task->machine == machine && task->attempt == attempt ? HZB_STANDING_HERE : HZB_STANDING_ELSEWHERE;
}

HzbTaskVerdict
hzb_reconciliation_judge (HzbReconciliation *reconciliation, const HzbMachine *machine, const HzbJob *job,
                          const HzbTask *task, const HzbTaskStatus *task_status)
{
  HzbTaskEvidence evidence = { .job_decided = !job->awaits_verdict };
  HzbTaskReason reason;
  HzbTaskVerdict verdict;

  evidence.record = job->state == HZB_JOB_ACCEPTED ? HZB_RECORD_OPEN : HZB_RECORD_OVER;
  evidence.standing = standing_of (task, machine, task_status->attempt);
  evidence.shown = task_status->state != HZB_TASK_STATUS_EXITED ? HZB_SHOWN_ALIVE
                   : task_status->exit_cause == HZB_EXIT_DONE && job->spec && job->spec->kind != HZB_JOB_SERVICE
                       ? HZB_SHOWN_RESULT
                       : HZB_SHOWN_ENDED;
  verdict = hzb_task_verdict_decide (&evidence, &reason);
  /* What goes on is adopted once, what waits is not a verdict yet. */
  if (verdict != HZB_TASK_VERDICT_AWAIT
      && !(verdict == HZB_TASK_VERDICT_ADOPT && evidence.standing != HZB_STANDING_NOWHERE))
    reconciliation->verdicts[verdict][reason]++;
  return verdict;
}

static guint *
count_of_now (HzbReconciliation *reconciliation, HzbArchiveKind kind)
{
  double at = hzb_time_between (reconciliation->began, hzb_clock_now (reconciliation->dependencies.node->clock));
  gboolean counts = reconciliation->state >= HZB_RECONCILIATION_COLLECTING
                    && reconciliation->state < HZB_RECONCILIATION_COMPLETE && at >= 0 && at < HZB_ARCHIVE_SECONDS;
  return counts ? &reconciliation->commands[kind][(guint) at] : NULL;
}

void
hzb_reconciliation_note_commands (HzbReconciliation *reconciliation, const GArray *commands)
{
  static const HzbArchiveKind kinds[] = {
    [HZB_COMMAND_START] = HZB_ARCHIVE_STARTS,
    [HZB_COMMAND_STOP] = HZB_ARCHIVE_STOPS,
    [HZB_COMMAND_REAP] = HZB_ARCHIVE_REAPS,
  };
  for (guint i = 0; i < commands->len; i++)
    {
      guint *count = count_of_now (reconciliation, kinds[g_array_index (commands, HzbCommand, i).kind]);
      if (count)
        (*count)++;
    }
}

void
hzb_reconciliation_note_scale_out (HzbReconciliation *reconciliation, guint machines)
{
  guint *count = count_of_now (reconciliation, HZB_ARCHIVE_RENTALS);
  if (count)
    *count += machines;
}

/* ---- the roster ---- */

/* Guards against a leader that ends after it has put itself on the roster and before it is on record that it began a cold
 * start: the next one would take it for a survivor. */
static gboolean
roster_is_settled (const HzbReconciliation *reconciliation)
{
  return reconciliation->state != HZB_RECONCILIATION_DETECTING
         && (reconciliation->state != HZB_RECONCILIATION_COLLECTING || reconciliation->record_durable);
}

gboolean
hzb_reconciliation_roster_due (HzbReconciliation *reconciliation)
{
  return enabled (reconciliation) && roster_is_settled (reconciliation) && hzb_roster_due (&reconciliation->roster);
}

void
hzb_reconciliation_add_roster (HzbReconciliation *reconciliation, cJSON *flush_record)
{
  if (!enabled (reconciliation))
    return;
  if (roster_is_settled (reconciliation))
    hzb_roster_add_to (&reconciliation->roster, flush_record);
  else
    hzb_roster_repeat (&reconciliation->roster, flush_record);
}

void
hzb_reconciliation_roster_written (HzbReconciliation *reconciliation, gboolean applied)
{
  hzb_roster_written (&reconciliation->roster, applied);
}
