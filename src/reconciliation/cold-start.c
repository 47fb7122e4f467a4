/* Whether this leadership is a cold start, and how one begins. */
#include "reconciliation-private.h"

#define PATIENCE_S                                                                                                     \
  3.0 /* peers send a heartbeat each second: after three, the leader does not wait for an unresponsive peer */
#define LEAST_STARTS_PER_S 8.0
#define MOST_SCALE_OUTS_PER_S 2.0
#define PART_OF_CLOUD_RATE 0.5

/* After a failover no command is held back. */
static void
release_all_jobs (HzbReconciliation *reconciliation)
{
  const GPtrArray *active = reconciliation->dependencies.jobs->active;

  for (guint i = 0; i < active->len; i++)
    ((HzbJob *) active->pdata[i])->awaits_verdict = FALSE;
  hzb_reconciliation_forget_jobs (reconciliation);
  hzb_reconciliation_wake_scheduling (reconciliation);
}

/* Tasks are started only on machines that are on record, so only these may hold work. */
static void
note_machines (HzbReconciliation *reconciliation)
{
  const GPtrArray *all = reconciliation->dependencies.machines->all;

  for (guint i = 0; i < all->len; i++)
    {
      const HzbMachine *machine = all->pdata[i];
      HzbArchivedMachine archived = { .at_s = -1 };
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
  double starts_per_s = settings->reconciliation.starts_per_s;
  HzbStartPacingLimits limits = {
    .per_s =
        starts_per_s > 0 ? starts_per_s : MAX (LEAST_STARTS_PER_S, machines / (2 * settings->heartbeat_interval_s)),
    .starts_per_response = settings->reconciliation.starts_per_heartbeat,
    .scale_outs_per_s = MIN (MOST_SCALE_OUTS_PER_S, PART_OF_CLOUD_RATE * settings->cloud_rps),
    .duration_s = settings->reconciliation.pace_s,
  };
  hzb_start_pacing_begin (&reconciliation->pacing, &limits, now);
}

/* A new record, or the one of an earlier leader under this leader's term. */
static void
begin_record (HzbReconciliation *reconciliation)
{
  const HzbReconciliationDependencies *uses = &reconciliation->dependencies;
  HzbReconciliationRecord *record = &reconciliation->record;
  guint64 term = hzb_election_term (uses->election);

  if (reconciliation->record_state == HZB_RECORD_STATE_NONE)
    *record = (HzbReconciliationRecord){ .id = term, .began = (double) hzb_clock_wall (uses->node->clock).tv_sec };
  record->term = term;
  record->starts++;
  hzb_reconciliation_set_record_state (reconciliation, HZB_RECORD_STATE_UNWRITTEN);
}

static void
begin_collecting (HzbReconciliation *reconciliation, struct timespec now)
{
  begin_record (reconciliation);
  reconciliation->began = now;
  note_machines (reconciliation);
  begin_pacing (reconciliation, now);
  hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_COLLECTING,
                                hzb_start_reason_name (reconciliation->start_reason));
  g_message ("reconciliation %" G_GUINT64_FORMAT ": %u jobs, %u of them without a verdict; %u machines may hold tasks",
             reconciliation->record.id, g_hash_table_size (reconciliation->tracked), reconciliation->open,
             reconciliation->machines->len);
}

void
hzb_reconciliation_detect (HzbReconciliation *reconciliation, struct timespec now)
{
  HzbStartEvidence evidence = { 0 };

  hzb_roster_collect (&reconciliation->roster, &evidence);
  evidence.unfinished = reconciliation->record_state == HZB_RECORD_STATE_FOUND;
  evidence.patience_over = hzb_time_between (reconciliation->began, now) >= PATIENCE_S;
  switch (hzb_start_decide (&evidence, &reconciliation->start_reason))
    {
    case HZB_START_UNDECIDED:
      break;
    case HZB_START_COLD:
      begin_collecting (reconciliation, now);
      break;
    case HZB_START_CHANGE_OF_LEADER:
      hzb_reconciliation_set_state (reconciliation, HZB_RECONCILIATION_NONE,
                                    hzb_start_reason_name (reconciliation->start_reason));
      release_all_jobs (reconciliation);
      break;
    }
}
