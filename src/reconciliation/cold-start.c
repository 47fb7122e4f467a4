/* Detects whether this leadership is a cold start, and begins the reconciliation if it is. */
#include "reconciliation-private.h"

/* Maximum wait for heartbeats of all peers. Peers send a heartbeat each second, so a peer that is unresponsive during
 * the whole wait has missed three. */
#define PEER_WAIT_S 3.0
#define MIN_STARTS_PER_S 8.0     /* start commands: minimum of the default rate, which grows with the fleet */
#define MAX_SCALE_OUTS_PER_S 2.0 /* scale-out requests to the cloud */
#define CLOUD_RATE_FRACTION 0.5  /* maximum fraction of the setting cloud_rps that scale-out requests may use */

/* Ends the withholding of commands for all jobs, and stops tracking the jobs: after a failover, no job needs a
 * verdict. */
static void
release_all_jobs (HzbReconciliation *reconciliation)
{
  const GPtrArray *active = reconciliation->dependencies.jobs->active;

  for (guint i = 0; i < active->len; i++)
    ((HzbJob *) active->pdata[i])->awaits_verdict = FALSE;
  hzb_reconciliation_clear_tracked_jobs (reconciliation);
  hzb_reconciliation_wake_scheduling (reconciliation);
}

/* Adds each machine that has a durable record to the machines to account for, with the fate "awaited". A start command
 * is sent only to a machine that has a durable record, so no other machine can hold a task. */
static void
collect_recorded_machines (HzbReconciliation *reconciliation)
{
  const GPtrArray *all = reconciliation->dependencies.machines->all;

  for (guint i = 0; i < all->len; i++)
    {
      const HzbMachine *machine = all->pdata[i];
      HzbArchivedMachine tracked = { .at_s = -1 }; /* not accounted for yet */
      if (!hzb_machine_was_recorded (machine))
        continue;
      tracked.name = g_strdup (machine->name);
      tracked.fate = g_strdup ("awaited");
      g_array_append_val (reconciliation->machines, tracked);
    }
}

/* If the setting starts_per_s is 0, the rate allows as many starts in two heartbeat intervals as there are machines,
 * and at least MIN_STARTS_PER_S per second. */
static void
begin_pacing (HzbReconciliation *reconciliation, struct timespec now)
{
  const HzbSettings *settings = reconciliation->dependencies.node->settings;
  double machines = reconciliation->dependencies.machines->all->len;
  double starts_per_s = settings->reconciliation.starts_per_s;
  HzbStartPacingLimits limits = {
    .per_s = starts_per_s > 0 ? starts_per_s : MAX (MIN_STARTS_PER_S, machines / (2 * settings->heartbeat_interval_s)),
    .starts_per_response = settings->reconciliation.starts_per_heartbeat,
    .scale_outs_per_s = MIN (MAX_SCALE_OUTS_PER_S, CLOUD_RATE_FRACTION * settings->cloud_rps),
    .duration_s = settings->reconciliation.pace_s,
  };
  hzb_start_pacing_begin (&reconciliation->pacing, &limits, now);
}

/* Prepares the reconciliation record that this leader will write. If an earlier leader left an unfinished record, this
 * leader continues it: the record keeps its id and gets the term of this leader. */
static void
begin_record (HzbReconciliation *reconciliation)
{
  const HzbReconciliationDependencies *modules = &reconciliation->dependencies;
  HzbReconciliationRecord *record = &reconciliation->record;
  guint64 term = hzb_election_term (modules->election);

  if (reconciliation->record_state == HZB_RECORD_STATE_NONE)
    *record = (HzbReconciliationRecord){ .id = term, .began = (double) hzb_clock_wall (modules->node->clock).tv_sec };
  record->term = term;
  record->cold_starts++;
  hzb_reconciliation_set_record_state (reconciliation, HZB_RECORD_STATE_UNWRITTEN);
}

static void
begin_collecting (HzbReconciliation *reconciliation, struct timespec now)
{
  begin_record (reconciliation);
  reconciliation->began = now;
  collect_recorded_machines (reconciliation);
  begin_pacing (reconciliation, now);
  hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_COLLECTING,
                                hzb_start_reason_name (reconciliation->start_reason));
  g_message ("reconciliation %" G_GUINT64_FORMAT
             ": tracking %u jobs, %u of them without a verdict; %u machines may hold tasks",
             reconciliation->record.id, g_hash_table_size (reconciliation->tracked_jobs), reconciliation->open_jobs,
             reconciliation->machines->len);
}

void
hzb_reconciliation_detect_cold_start (HzbReconciliation *reconciliation, struct timespec now)
{
  HzbStartEvidence evidence = { 0 };

  hzb_roster_collect_evidence (&reconciliation->roster, &evidence);
  evidence.unfinished = reconciliation->record_state == HZB_RECORD_STATE_UNFINISHED;
  /* Until collecting begins, reconciliation->began is the time when all records had been read. */
  evidence.peer_wait_over = hzb_time_between (reconciliation->began, now) >= PEER_WAIT_S;
  switch (hzb_start_decide (&evidence, &reconciliation->start_reason))
    {
    case HZB_START_UNDECIDED:
      break;
    case HZB_START_COLD:
      begin_collecting (reconciliation, now);
      break;
    case HZB_START_FAILOVER:
      hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_NONE,
                                    hzb_start_reason_name (reconciliation->start_reason));
      release_all_jobs (reconciliation);
      break;
    }
}
