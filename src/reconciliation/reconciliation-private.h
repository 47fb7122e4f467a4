/**
 * SECTION: reconciliation-private
 * @short_description: the state that the source files of reconciliation share
 *
 * reconciliation.c owns the state machines and calls the other files when they are due: reconciliation-load.c reads
 * records, cold-start.c tells a cold start from a change of leader, job-scan.c decides, recorder.c makes the
 * decisions durable, command-gate.c holds commands back, reconciliation-admin.c shows the state to operators.
 */
#pragma once
#include "reconciliation-codec.h"
#include "reconciliation.h"
#include "roster.h"

/**
 * HzbJobPhase: how far the verdict on a job is.
 *
 * Allowed: open -> decided -> sent -> recorded, and decided -> recorded and open -> recorded where the verdict rests on
 * what is durable anyway, or was read from a page.
 */
typedef enum
{
  HZB_PHASE_OPEN,    /**< no verdict yet: the job is held */
  HZB_PHASE_DECIDED, /**< a verdict that is not on any page yet */
  HZB_PHASE_SENT,    /**< on a page that was sent to the key-value store at least once */
  HZB_PHASE_RECORDED /**< durable: commands for the job may be given */
} HzbJobPhase;

/** HzbTrackedJob: a job that was active when the cold start began. */
typedef struct
{
  HzbVerdictEntry entry; /**< the verdict, once the phase is beyond open */
  guint tasks;           /**< how many the job has */
  guint released;        /**< only tasks below this mark can have been started */
  HzbJobPhase phase;     /**< changed by hzb_reconciliation_set_phase() only */
  double at_s;           /**< when the verdict became durable, in seconds after the beginning */
} HzbTrackedJob;

/** HzbVerdictPage: a page of verdicts in flight. */
typedef struct
{
  char *key;       /**< used for this page only */
  GPtrArray *jobs; /**< (element-type HzbTrackedJob), not owned */
} HzbVerdictPage;

/** HzbRecordState: the record of the reconciliation, which says that a cold start has begun. */
typedef enum
{
  HZB_RECORD_STATE_NONE,      /**< there is none */
  HZB_RECORD_STATE_FOUND,     /**< an earlier leader wrote one and did not complete */
  HZB_RECORD_STATE_UNWRITTEN, /**< this leader's is not durable yet: nothing may be decided */
  HZB_RECORD_STATE_DURABLE,   /**< this leader's is durable */
  HZB_RECORD_N_STATES         /**< how many states there are */
} HzbRecordState;

/** HzbArchiveProgress: the archive, written once all verdicts are durable. */
typedef enum
{
  HZB_ARCHIVE_UNWRITTEN, /**< not written, or the last attempt failed */
  HZB_ARCHIVE_WRITING,   /**< an attempt is in flight */
  HZB_ARCHIVE_WRITTEN    /**< durable: the verdicts may be removed */
} HzbArchiveProgress;

/** hzb_reconciliation_enabled: Returns: whether the settings switch reconciliation on */
gboolean hzb_reconciliation_enabled (const HzbReconciliation *reconciliation);

/** hzb_reconciliation_elapsed_s: Returns: seconds since the reconciliation began under this leader */
double hzb_reconciliation_elapsed_s (const HzbReconciliation *reconciliation);

/** hzb_reconciliation_set_state: the only place where the state changes; refuses what is not allowed. */
void hzb_reconciliation_set_state (HzbReconciliation *reconciliation, HzbReconciliationState to, const char *why);

/** hzb_reconciliation_set_record_state: the only place where the state of the record changes; refuses what is not
 * allowed. */
void hzb_reconciliation_set_record_state (HzbReconciliation *reconciliation, HzbRecordState to);

/** hzb_reconciliation_set_phase: the only place where a job's phase changes. Once recorded, commands may be given. */
void hzb_reconciliation_set_phase (HzbReconciliation *reconciliation, HzbTrackedJob *tracked, HzbJobPhase to);

/** hzb_reconciliation_track: Returns: (transfer none): the tracked job of this id, added with an open verdict if it
 * is new */
HzbTrackedJob *hzb_reconciliation_track (HzbReconciliation *reconciliation, const char *uid);

/** hzb_reconciliation_forget_jobs: tracks no job any more. */
void hzb_reconciliation_forget_jobs (HzbReconciliation *reconciliation);

/** hzb_reconciliation_wake_scheduling: what a verdict has released is looked at in this turn of the loop. */
void hzb_reconciliation_wake_scheduling (HzbReconciliation *reconciliation);

/** hzb_reconciliation_detect: decides whether this is a cold start, as soon as the evidence suffices. */
void hzb_reconciliation_detect (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_reconciliation_scan_machines: notes which machines are accounted for by now. */
void hzb_reconciliation_scan_machines (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_reconciliation_scan: decides about the jobs whose machines are accounted for, once the record is durable. */
void hzb_reconciliation_scan (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_recorder_reset: forgets what is written and what is in flight. */
void hzb_recorder_reset (HzbReconciliation *reconciliation);

/** hzb_recorder_write_verdicts: makes decisions durable, one transaction at a time. */
void hzb_recorder_write_verdicts (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_recorder_finish: writes the archive once commands are not paced any more, then removes the verdicts. */
void hzb_recorder_finish (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_recorder_clean_up: removes the pages of verdicts, and the record last. */
void hzb_recorder_clean_up (HzbReconciliation *reconciliation, struct timespec now);

/** HzbReconciliation: the shared state. */
struct _HzbReconciliation
{
  HzbReconciliationDependencies dependencies; /**< copied */
  HzbReconciliationState state;               /**< changed by hzb_reconciliation_set_state() only */
  HzbStartReason start_reason;                /**< why it was taken for a cold start, or not */
  struct timespec began;                      /**< when the records had been read */
  HzbRoster roster;                           /**< which processes were alive */
  HzbQuarantine *quarantine;                  /**< tasks that no record names */
  HzbArchiveStore *archives;                  /**< of completed reconciliations */
  HzbStartPacing pacing;                      /**< of commands after a cold start */

  /* The record and what is decided. */
  HzbReconciliationRecord record; /**< valid unless its state is NONE */
  HzbRecordState record_state;    /**< changed by hzb_reconciliation_set_record_state() only */
  GHashTable *tracked;            /**< uid -> HzbTrackedJob */
  guint open;                     /**< tracked jobs without a verdict */
  guint unrecorded;               /**< tracked jobs whose verdict is not durable */
  GArray *machines;               /**< (element-type HzbArchivedMachine): may have held tasks */
  struct timespec next_scan;      /**< when machines and open jobs are examined again */

  /* What was done, for operators. */
  guint verdicts[HZB_TASK_N_VERDICTS][HZB_TASK_N_REASONS];  /**< on tasks */
  guint commands[HZB_ARCHIVE_N_KINDS][HZB_ARCHIVE_SECONDS]; /**< given in each of the first seconds */

  /* recorder.c */
  guint64 record_version; /**< of the record in the key-value store; 0: it is not there */
  GPtrArray *page_keys;   /**< (element-type utf8): pages of verdicts in the key-value store */
  guint next_page;        /**< the number of the next page */
  GPtrArray *in_flight;   /**< (element-type HzbVerdictPage): sent, with unknown outcome, or to be sent again */
  gboolean sending;       /**< a transaction is in flight */
  HzbArchiveProgress archive_progress; /**< changed by recorder.c only */
  GBytes *archive;                     /**< (nullable): packed, until it is durable */
  struct timespec next_write;          /**< when the next transaction may be sent */
};
