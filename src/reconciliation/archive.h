/**
 * SECTION: archive
 * @short_description: the evidence and the verdicts of a completed reconciliation, for operators
 */
#pragma once
#include "reconciliation-codec.h"

/** HZB_ARCHIVE_SECONDS: seconds after the beginning of a reconciliation during which its commands are counted. */
#define HZB_ARCHIVE_SECONDS 60u

/** HzbArchiveCommandKind: commands that are counted for each second. */
typedef enum
{
  HZB_ARCHIVE_STARTS,         /**< commands to start a task */
  HZB_ARCHIVE_STOPS,          /**< commands to stop a task */
  HZB_ARCHIVE_REAPS,          /**< commands to drop an exited task from the worker's list */
  HZB_ARCHIVE_SCALE_OUTS,     /**< machines that the cloud was asked for */
  HZB_ARCHIVE_N_COMMAND_KINDS /**< number of kinds */
} HzbArchiveCommandKind;

/** hzb_archive_command_kind_name: Returns: (transfer none): the kind's name in archives */
const char *hzb_archive_command_kind_name (HzbArchiveCommandKind kind);

/** HzbArchivedJobVerdict: the verdict on a job. */
typedef struct
{
  HzbVerdictEntry entry; /**< the verdict; in an archive, the archive owns its `uid` */
  guint tasks;           /**< number of the job's tasks */
  guint released;        /**< as of the beginning: only tasks below this number could have been started */
  double at_s;           /**< when the verdict became durable, in seconds after the beginning */
} HzbArchivedJobVerdict;

/** HzbArchivedMachine: a machine that could have run tasks when the reconciliation began. */
typedef struct
{
  char *name;  /**< of the machine */
  char *fate;  /**< "awaited", "answered", "lease over" or "gone" */
  double at_s; /**< when the machine was accounted for, in seconds after the beginning; negative: never */
} HzbArchivedMachine;

/** HzbArchivedTask: a task that no record names. */
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
  guint starts;           /**< number of cold starts that the reconciliation spans */
  double began;           /**< when the first of them began, in seconds of Unix time */
  char *reason;           /**< (nullable): why the start was taken for a cold start; %NULL is archived as "" */
  double complete_s;      /**< seconds from the last cold start to the archive */
  guint omitted_jobs;     /**< number of jobs left out because the archive was full */
  guint omitted_machines; /**< number of machines left out because the archive was full */
  GArray *jobs;           /**< (element-type HzbArchivedJobVerdict) */
  GArray *machines;       /**< (element-type HzbArchivedMachine) */
  GArray *quarantine;     /**< (element-type HzbArchivedTask) */
  /** number of commands of each kind in each second after the beginning */
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

/** hzb_archive_add_task: adds a task that no record names. Parameters are as in #HzbArchivedTask; texts are copied */
void hzb_archive_add_task (HzbArchive *archive, const char *name, const char *machine, const char *verdict,
                           const char *reason);
