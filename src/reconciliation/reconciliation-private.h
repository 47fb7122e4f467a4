/**
 * SECTION: reconciliation-private
 * @short_description: the state that the source files of reconciliation share
 *
 * reconciliation.c owns the state machines and calls the other files: reconciliation-load.c reads records, cold-start.c
 * tells a cold start from a failover, job-scan.c decides about jobs, recorder.c writes the verdicts, command-gate.c
 * withholds commands, reconciliation-admin.c shows the state to operators.
 */
#pragma once
#include "reconciliation-codec.h"
#include "reconciliation.h"
#include "roster.h"

/**
 * HzbJobPhase: the progress of the verdict on a job.
 *
 * Allowed: open -> decided -> sent -> recorded. Also decided -> recorded and open -> recorded, for a verdict that rests
 * on durable evidence only or that was read from a page.
 */
typedef enum
{
  HZB_JOB_PHASE_OPEN,    /**< no verdict yet: commands for the job are withheld */
  HZB_JOB_PHASE_DECIDED, /**< the verdict is not on any page yet */
  HZB_JOB_PHASE_SENT,    /**< the verdict is on a page that was sent to the key-value store at least once */
  HZB_JOB_PHASE_RECORDED /**< the verdict is durable: commands for the job may be sent */
} HzbJobPhase;

/** HzbTrackedJob: a job that was active when the cold start began. */
typedef struct
{
  HzbVerdictEntry entry; /**< the verdict; only its uid is valid while the phase is open */
  guint tasks;           /**< number of tasks of the job */
  guint released;        /**< only tasks below this number can have been started */
  HzbJobPhase phase;     /**< changed by hzb_reconciliation_set_phase() only */
  double recorded_s;     /**< when the verdict became durable, in seconds since the reconciliation began */
} HzbTrackedJob;

/** HzbVerdictPage: a page of verdicts whose write is not known to be durable. */
typedef struct
{
  char *key;       /**< (owned): key of the page, never used for another page */
  GPtrArray *jobs; /**< (element-type HzbTrackedJob): the jobs on the page, not owned */
} HzbVerdictPage;

/** HzbRecordState: the state of the record which says that a cold start has begun. */
typedef enum
{
  HZB_RECORD_STATE_NONE,       /**< there is no record */
  HZB_RECORD_STATE_UNFINISHED, /**< an earlier leader wrote a record and did not complete its reconciliation */
  HZB_RECORD_STATE_UNWRITTEN,  /**< this leader's record is not durable yet: no job may be decided */
  HZB_RECORD_STATE_DURABLE,    /**< this leader's record is durable */
  HZB_RECORD_N_STATES          /**< number of states */
} HzbRecordState;

/** HzbArchiveProgress: the progress of the archive, which is written once all verdicts are durable. */
typedef enum
{
  HZB_ARCHIVE_UNWRITTEN, /**< not written yet, or the last attempt failed */
  HZB_ARCHIVE_WRITING,   /**< an attempt is in flight */
  HZB_ARCHIVE_WRITTEN    /**< the archive is durable: the verdicts may be removed */
} HzbArchiveProgress;

/** hzb_reconciliation_enabled: Returns: whether the settings switch reconciliation on */
gboolean hzb_reconciliation_enabled (const HzbReconciliation *reconciliation);

/** hzb_reconciliation_elapsed_s: Returns: seconds since the reconciliation began under this leader */
double hzb_reconciliation_elapsed_s (const HzbReconciliation *reconciliation);

/** hzb_reconciliation_set_state: changes and logs the state; the only function that does. An illegal transition is
 * logged and refused. `reason`: for the log */
void hzb_reconciliation_set_state (HzbReconciliation *reconciliation, HzbReconciliationState to, const char *reason);

/** hzb_reconciliation_set_record_state: changes the state of the record; the only function that does. An illegal
 * transition is logged and refused. */
void hzb_reconciliation_set_record_state (HzbReconciliation *reconciliation, HzbRecordState to);

/** hzb_reconciliation_set_phase: changes a job's phase; the only function that does. An illegal transition is logged
 * and refused. From the phase "recorded" on, commands for the job may be sent. */
void hzb_reconciliation_set_phase (HzbReconciliation *reconciliation, HzbTrackedJob *tracked, HzbJobPhase to);

/** hzb_reconciliation_track_job: Returns: (transfer none): the tracked job with this uid; a new one, with an open
 * verdict, if the job is not tracked yet */
HzbTrackedJob *hzb_reconciliation_track_job (HzbReconciliation *reconciliation, const char *uid);

/** hzb_reconciliation_clear_tracked_jobs: stops tracking all jobs. */
void hzb_reconciliation_clear_tracked_jobs (HzbReconciliation *reconciliation);

/** hzb_reconciliation_wake_scheduling: makes the machine scan and the dispatcher due at once, for the jobs whose
 * commands are no longer withheld. */
void hzb_reconciliation_wake_scheduling (HzbReconciliation *reconciliation);

/** hzb_reconciliation_detect_cold_start: decides whether this is a cold start, as soon as the evidence suffices. */
void hzb_reconciliation_detect_cold_start (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_reconciliation_scan_machines: updates which machines are accounted for. */
void hzb_reconciliation_scan_machines (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_reconciliation_scan_jobs: scans the machines, then decides the jobs whose machines are accounted for. Decides
 * no job before the record is durable. Does nothing until the next scan is due. */
void hzb_reconciliation_scan_jobs (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_recorder_reset: drops the recorder's state, including what is in flight. */
void hzb_recorder_reset (HzbReconciliation *reconciliation);

/** hzb_recorder_write_verdicts: writes the record and new verdicts, one transaction at a time. */
void hzb_recorder_write_verdicts (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_recorder_finish: writes the archive once commands are no longer paced, then removes the verdicts. */
void hzb_recorder_finish (HzbReconciliation *reconciliation, struct timespec now);

/** hzb_recorder_clean_up: removes the pages of verdicts, and the record in the last transaction. */
void hzb_recorder_clean_up (HzbReconciliation *reconciliation, struct timespec now);

/** HzbReconciliation: the state shared by the source files. */
struct _HzbReconciliation
{
  HzbReconciliationDependencies dependencies; /**< a copy of the struct passed to hzb_reconciliation_new() */
  HzbReconciliationState state;               /**< changed by hzb_reconciliation_set_state() only */
  HzbStartReason start_reason;                /**< why this start is or is not a cold start */
  struct timespec began;                      /**< when all records had been read; in a cold start, when collecting
                                                   began */
  HzbRoster roster;                           /**< the controller processes that are alive */
  HzbQuarantine *quarantine;                  /**< (owned): tasks that no record names */
  HzbArchiveStore *archive_store;             /**< (owned): archives of completed reconciliations */
  HzbStartPacing pacing;                      /**< pacing of commands after a cold start */

  /* The record and the verdicts. */
  HzbReconciliationRecord record; /**< valid unless record_state is HZB_RECORD_STATE_NONE */
  HzbRecordState record_state;    /**< changed by hzb_reconciliation_set_record_state() only */
  GHashTable *tracked_jobs;       /**< uid -> HzbTrackedJob */
  guint open_jobs;                /**< number of tracked jobs without a verdict */
  guint unrecorded_jobs;          /**< number of tracked jobs whose verdict is not durable */
  GArray *machines;               /**< (element-type HzbArchivedMachine): machines that may hold tasks */
  struct timespec next_scan;      /**< when machines and open jobs are scanned again */

  /* Counts for operators. */
  guint verdict_counts[HZB_TASK_N_VERDICTS][HZB_TASK_N_REASONS];          /**< verdicts on tasks */
  guint command_counts[HZB_ARCHIVE_N_COMMAND_KINDS][HZB_ARCHIVE_SECONDS]; /**< as HzbArchive.commands */

  /* State of recorder.c. */
  guint64 record_version; /**< version of the record in the key-value store; 0: the store has no record */
  GPtrArray *page_keys;   /**< (element-type utf8): keys of the pages of verdicts in the key-value store */
  guint next_page;        /**< number of the next page */
  GPtrArray *in_flight; /**< (element-type HzbVerdictPage): pages in flight, of unknown outcome, or to be sent again */
  gboolean sending;     /**< a transaction, or the read of its outcome, is in flight */
  HzbArchiveProgress archive_progress; /**< changed by recorder.c only */
  GBytes *packed_archive;              /**< (nullable): the packed archive, kept until it is durable */
  struct timespec next_write;          /**< when the next transaction may be sent */
};
