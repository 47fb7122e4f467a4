/**
 * SECTION: archive
 * @short_description: what a reconciliation found and decided, for operators
 */
#pragma once
#include "reconciliation-codec.h"

/** HZB_ARCHIVE_SECONDS: commands are counted by second for so long. */
#define HZB_ARCHIVE_SECONDS 60u

/** HzbArchiveKind: what is counted in each second. */
typedef enum
{
  HZB_ARCHIVE_STARTS,     /**< commands to start a task */
  HZB_ARCHIVE_STOPS,      /**< commands to stop a task */
  HZB_ARCHIVE_REAPS,      /**< commands to forget an exited task */
  HZB_ARCHIVE_SCALE_OUTS, /**< machines that were asked for */
  HZB_ARCHIVE_N_KINDS     /**< how many kinds there are */
} HzbArchiveKind;

/** hzb_archive_kind_name: Returns: the kind's name in archives */
const char *hzb_archive_kind_name (HzbArchiveKind kind);

/** HzbArchivedJob: the verdict on a job. */
typedef struct
{
  HzbVerdictEntry entry; /**< the verdict */
  guint tasks;           /**< how many it has */
  guint released;        /**< its mark when the reconciliation began */
  double at_s;           /**< when the verdict was durable, in seconds since the beginning */
} HzbArchivedJob;

/** HzbArchivedMachine: a machine that may have held work. */
typedef struct
{
  char *name;  /**< of the machine */
  char *fate;  /**< "awaited", "answered", "lease over" or "gone" */
  double at_s; /**< when it was accounted for, in seconds since the beginning; below 0: it was not */
} HzbArchivedMachine;

/** HzbArchivedTask: a task that no record named. */
typedef struct
{
  char *name;    /**< "JOB/NUMBER" */
  char *machine; /**< whose heartbeat showed it */
  char *verdict; /**< the last one, as text */
  char *reason;  /**< of the verdict, as text */
} HzbArchivedTask;

/** HzbArchive: a reconciliation. */
typedef struct
{
  guint64 id;                                               /**< of the reconciliation: the term in which it began */
  guint64 term;                                             /**< in which it was completed */
  guint starts;                                             /**< how many cold starts it spans */
  double began;                                             /**< seconds of the time of day */
  char *reason;                                             /**< why it was taken for a cold start */
  double complete_s;                                        /**< how long it took */
  guint omitted_jobs;                                       /**< beyond what an archive holds */
  guint omitted_machines;                                   /**< beyond what an archive holds */
  GArray *jobs;                                             /**< (element-type HzbArchivedJob) */
  GArray *machines;                                         /**< (element-type HzbArchivedMachine) */
  GArray *quarantine;                                       /**< (element-type HzbArchivedTask) */
  guint commands[HZB_ARCHIVE_N_KINDS][HZB_ARCHIVE_SECONDS]; /**< given in each of the first seconds */
} HzbArchive;

/** hzb_archived_machines_new: Returns: (transfer full) (element-type HzbArchivedMachine): an empty list */
GArray *hzb_archived_machines_new (void);

/** hzb_archive_new: Returns: (transfer full): an empty archive */
HzbArchive *hzb_archive_new (void);

/** hzb_archive_free: frees the archive and all that it holds. */
void hzb_archive_free (HzbArchive *archive);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbArchive, hzb_archive_free)

/** hzb_archive_add_job: takes a copy, or counts the job as omitted if the archive is full. */
void hzb_archive_add_job (HzbArchive *archive, const HzbArchivedJob *job);

/** hzb_archive_add_machine: adds the machine, or counts it as omitted if the archive is full. */
void hzb_archive_add_machine (HzbArchive *archive, const char *name, const char *fate, double at_s);

/** hzb_archive_add_task: adds a task that no record named. */
void hzb_archive_add_task (HzbArchive *archive, const char *name, const char *machine, const char *verdict,
                           const char *reason);
