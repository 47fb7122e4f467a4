/**
 * SECTION: reconciliation-private
 * @short_description: what reconciliation.c (deciding), recorder.c (writing) and reconciliation-admin.c (showing) share
 */
#pragma once
#include "codec.h"
#include "reconciliation.h"
#include "roster.h"

/* How far the verdict on a job is. Allowed: open -> decided -> sent -> recorded, decided -> recorded where what it rests on
 * is durable anyway, sent -> recorded. */
typedef enum
{
  HZB_PHASE_OPEN,
  HZB_PHASE_DECIDED,
  HZB_PHASE_SENT, /* on its way to the key-value store, perhaps for the second time */
  HZB_PHASE_RECORDED
} HzbJobPhase;

typedef struct
{
  HzbVerdictEntry entry;
  guint tasks, released;
  HzbJobPhase phase; /* changed by hzb_reconciliation_set_phase() only */
  double at_s;       /* when it was durable */
} HzbTrackedJob;

/* A page of verdicts on its way. */
typedef struct
{
  char *key;
  cJSON *value;
  GPtrArray *jobs; /* HzbTrackedJob */
} HzbVerdictPage;

struct _HzbReconciliation
{
  HzbReconciliationDependencies dependencies;
  HzbReconciliationState state; /* changed by hzb_reconciliation_set_state() only */
  HzbStartReason start_reason;
  HzbRoster roster;
  HzbQuarantine *quarantine;
  HzbArchiveStore *archives;
  HzbStartPacing pacing;
  /* what the key-value store has */
  HzbReconciliationRecord record;
  guint64 record_version;
  gboolean has_record, record_durable;
  GPtrArray *page_keys; /* char* */
  guint next_page;
  /* what is decided */
  GHashTable *tracked; /* uid -> HzbTrackedJob */
  GArray *machines;    /* HzbArchivedMachine, that may have held work */
  guint open, unrecorded;
  guint verdicts[HZB_TASK_N_VERDICTS][HZB_TASK_N_REASONS];
  guint commands[HZB_ARCHIVE_N_KINDS][HZB_ARCHIVE_SECONDS];
  /* what is on its way */
  GPtrArray *in_flight; /* HzbVerdictPage */
  gboolean sending, cleaning, archiving;
  GBytes *archive;
  struct timespec began, next_scan, next_write;
};

/** hzb_reconciliation_set_state: the only place where the state changes. */
void hzb_reconciliation_set_state (HzbReconciliation *reconciliation, HzbReconciliationState to, const char *why);

/** hzb_reconciliation_set_phase: the only place where a job's phase changes; once recorded, commands may be given. */
void hzb_reconciliation_set_phase (HzbReconciliation *reconciliation, HzbTrackedJob *tracked, HzbJobPhase to);

/** hzb_recorder_write_verdicts: makes what is decided durable, one transaction at a time. */
void hzb_recorder_write_verdicts (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_recorder_finish: all verdicts are durable: writes the archive once commands are not paced any more, then cleans up. */
void hzb_recorder_finish (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_recorder_clean_up: removes the pages of verdicts, and the record last. */
void hzb_recorder_clean_up (HzbReconciliation *reconciliation, struct timespec now);
