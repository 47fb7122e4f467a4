/**
 * SECTION: archive
 * @short_description: the evidence and the verdicts of a completed reconciliation, for operators
 */
#pragma once
#include "reconciliation-codec.h"

/** HZB_ARCHIVE_SECONDS: number of seconds, from the beginning of the last cold start, in which commands are
 * counted. */
#define HZB_ARCHIVE_SECONDS 60u

/** HzbArchiveCommandKind: what an archive counts for each second. */
typedef enum
{
  HZB_ARCHIVE_STARTS,         /**< commands to start a task */
  HZB_ARCHIVE_STOPS,          /**< commands to stop a task */
  HZB_ARCHIVE_REAPS,          /**< commands to drop an exited task from the worker's list */
  HZB_ARCHIVE_SCALE_OUTS,     /**< machines requested from the cloud: n for a request for n machines */
  HZB_ARCHIVE_N_COMMAND_KINDS /**< number of kinds */
} HzbArchiveCommandKind;

/** hzb_archive_command_kind_name: Returns: (transfer none): the kind's name in archives */
const char *hzb_archive_command_kind_name (HzbArchiveCommandKind kind);

/** HzbArchivedJobVerdict: the verdict on a job. */
typedef struct
{
  HzbVerdictEntry entry; /**< the verdict; in an archive, the archive owns its `uid` */
  guint tasks;           /**< number of the job's tasks */
  guint released;        /**< the job's released mark as it stood when the leader had loaded all records: only tasks
                              with a lower number could have been started before that */
  double at_s;           /**< when the verdict became durable, in seconds since the last cold start began; without
                              meaning if an earlier leader recorded the verdict */
} HzbArchivedJobVerdict;

/** HzbArchivedMachine: a machine that could have run tasks when the reconciliation began. */
typedef struct
{
  char *name;  /**< of the machine */
  char *fate;  /**< "awaited": it may still hold tasks that the leader does not know of; "lease over": the lease of its
                    worker has expired, so no task runs on it; "gone": the leader no longer knows the machine;
                    "answered": any other machine; as a rule, a heartbeat with a fencing token of this leader has
                    arrived */
  double at_s; /**< when its fate stopped being "awaited", in seconds since the last cold start began; negative: it is
                    still "awaited" */
} HzbArchivedMachine;

/** HzbArchivedTask: a task that was quarantined when the archive was built: a heartbeat listed the task, and no record
 * in the key-value store is known to name it. */
typedef struct
{
  char *name;    /**< "JOB/NUMBER" */
  char *machine; /**< name of the machine whose heartbeat listed the task */
  char *verdict; /**< name of the last verdict */
  char *reason;  /**< name of the last verdict's reason */
} HzbArchivedTask;

/** HzbArchive: the archive of a reconciliation. */
typedef struct
{
  guint64 id;             /**< of the reconciliation: the term in which it began */
  guint64 term;           /**< in which the reconciliation was completed */
  guint cold_starts;      /**< number of cold starts that the reconciliation spans */
  double began;           /**< when the first of them began, in seconds of Unix time */
  char *reason;           /**< (nullable): the evidence that the last start was a cold start; %NULL is archived as "" */
  double complete_s;      /**< seconds from the beginning of the last cold start until the archive was built */
  guint omitted_jobs;     /**< number of jobs left out because the archive was full */
  guint omitted_machines; /**< number of machines left out because the archive was full */
  GArray *jobs;           /**< (element-type HzbArchivedJobVerdict) */
  GArray *machines;       /**< (element-type HzbArchivedMachine) */
  GArray *quarantine;     /**< (element-type HzbArchivedTask): the quarantined tasks */
  /** counts of each kind in each second since the last cold start began */
  guint commands[HZB_ARCHIVE_N_COMMAND_KINDS][HZB_ARCHIVE_SECONDS];
} HzbArchive;

/** hzb_archived_machines_new: Returns: (transfer full) (element-type HzbArchivedMachine): an empty list, which frees
 * the texts of its elements */
GArray *hzb_archived_machines_new (void);

/** hzb_archive_new: Returns: (transfer full): an empty archive */
HzbArchive *hzb_archive_new (void);

/** hzb_archive_free: frees the archive and all lists and texts in it. */
void hzb_archive_free (HzbArchive *archive);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbArchive, hzb_archive_free)

/** hzb_archive_add_job: adds a copy of `job`, or counts the job as omitted if the archive is full. */
void hzb_archive_add_job (HzbArchive *archive, const HzbArchivedJobVerdict *job);

/** hzb_archive_add_machine: adds the machine, or counts it as omitted if the archive is full. `fate` and `at_s`: as in
 * #HzbArchivedMachine; texts are copied */
void hzb_archive_add_machine (HzbArchive *archive, const char *name, const char *fate, double at_s);

/** hzb_archive_add_task: adds a quarantined task. Parameters are as in #HzbArchivedTask; texts are copied */
void hzb_archive_add_task (HzbArchive *archive, const char *name, const char *machine, const char *verdict,
                           const char *reason);
