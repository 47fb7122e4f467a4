/* Jobs and tasks. Every node keeps the durable state of jobs, from the replica of the records; the owner also keeps
 * where each task is. */
#pragma once
#include "kv-protocol.h"
#include "shard.h"
#include "task.h"
#include "user-protocol.h"

/* Progress is kept in parts of so many tasks: a part has to fit a value. A part of another size says so. */
#define HZB_CHUNK_TASKS_SCHEMA_1 32768u /* of version 1, which says none */

typedef enum
{
  HZB_JOB_ACCEPTED,
  HZB_JOB_CANCELLED,
  HZB_JOB_DONE
} HzbJobState;

/* A record of jobs that were accepted together. */
typedef struct
{
  char *key;
  guint open; /* jobs in it that are not over */
  gboolean removing;
  gboolean gone;   /* the record is removed, before the end of all its jobs has come here */
  GPtrArray *jobs; /* all that it names */
  guint load;
} HzbAcceptance;

struct _HzbJob
{
  char *uid;
  HzbJobState state;
  guint64 version;              /* of the record of its end; 0: there is none */
  GSList *acceptances;          /* while it is not over: all that name it */
  guint named;                  /* records of acceptance that name it, over or not */
  guint load;                   /* the last reading of all records that showed it */
  gboolean cancel_acknowledged; /* cancelled, and no owner can act without that */
  gboolean archiving;           /* its record is on the way to where old ones are */
  guint n_tasks;
  struct timespec accepted; /* time of day */
  HzbJobSpec *spec;         /* NULL once over, unless tasks may still be about */
  int team;

  /* the owner's part */
  HzbTask *tasks;
  guint cursor; /* tasks from here on have never been placed */
  GQueue retry; /* HzbTask, pending again */
  guint other_owner, delegated_running;
  guint delegated_leaving; /* of those, on machines that the leader asked back */
  guint pending;           /* state PENDING, below the released mark or not */
  guint queued, unconfirmed, placed, running, finished, done;
  guint released, releasing;  /* tasks below may have been started: durable, and asked for */
  gboolean dirty, completing; /* progress to be written; end being written */
  gboolean on_pages;          /* of the owner's records */
  gboolean unsplit;           /* in parts that only a version 1 writes; they can't be changed while one is about */
  gboolean release_requested; /* a machine could take more of it than is released */
  gboolean guaranteed, announced_to_leaseholders;
  gboolean
      awaits_verdict; /* after a cold start: no command is given for it until its fate is durable, see reconciliation.h */
  gboolean start_overdue;  /* nothing of it has started for long: its first task goes before others */
  guint8 scheduling_class; /* of waiting work, see hzb_scheduling_classes_update() */
  guint64 next_attempt;
  guint failures;             /* in a row, without a task of the job doing well */
  char *failed_on;            /* the first machine on which a task failed */
  gboolean failed_on_several; /* machines */
  gboolean did_well;          /* a task has ended well, or ran for a while */
  struct timespec not_before, since;
  guint begun; /* tasks, when it was last looked at: nothing more of it has begun since: */
  struct timespec waits_since;
  double mean_s; /* the best guess of a task's run time, kept by hzb_scheduling_classes_update(); 0: the owner's */
};

struct _HzbJobs
{
  GHashTable *by_uid;             /* uid -> HzbJob */
  GHashTable *acceptances;        /* key -> HzbAcceptance */
  GQueue completed;               /* HzbJob, over, about in the order of their ends */
  guint max_replicated_completed; /* so many ended jobs stay replicated */
  guint load;                     /* counts readings of all records */
  GPtrArray *active;              /* the owner's: jobs with a part of it, by age */
  HzbClock *clock;
  const HzbSettings *settings;
  HzbShard *shard;             /* NULL: not an owner */
  GHashTable *estimate_biases; /* class name -> double*, see hzb_jobs_record_run_time() */
  guint chunk;                 /* tasks of a part */
  gboolean leaseholder;        /* of the jobs only what was delegated is in the shard */
};

HzbJobs *hzb_jobs_new (HzbClock *clock, const HzbSettings *settings);
void hzb_jobs_free (HzbJobs *jobs);
HzbJob *hzb_jobs_find (HzbJobs *jobs, const char *uid);
/* A record as the key-value store has it; NULL if it makes no sense. Of a job that is over nothing changes any more. */
HzbJob *hzb_jobs_apply (HzbJobs *jobs, const char *uid, const cJSON *value, guint64 version);
void hzb_jobs_apply_acceptance (HzbJobs *jobs, const char *key, const cJSON *value); /* NULL: it is removed */
HzbAcceptance *hzb_jobs_completed_acceptance (HzbJobs *jobs); /* one whose jobs are all over; NULL: none */
/* Of the oldest that are over, beyond those that stay replicated: up to so many whose record may move away. */
GPtrArray *hzb_jobs_archivable (HzbJobs *jobs, guint most);
gboolean hzb_jobs_forget (HzbJobs *jobs, const char *uid); /* its record has moved away; FALSE: it is kept */
/* All records are read anew: what they do not show any more is dropped at the end. */
void hzb_jobs_load_begin (HzbJobs *jobs);
void hzb_jobs_load_end (HzbJobs *jobs);
/* On condition that no record says that the job is over, recent or old. */
void hzb_jobs_compare_not_terminal (HzbKvTransaction *transaction, const char *uid);
cJSON *hzb_jobs_pack_accepted (const HzbJobSpec *spec, struct timespec wall);
cJSON *hzb_jobs_pack_final (HzbJobState state, guint n_tasks);
const char *hzb_job_status (const HzbJob *job);

/* Of the owner. */
void hzb_jobs_begin_ownership (HzbJobs *jobs, HzbShard *shard);
void hzb_jobs_end_ownership (HzbJobs *jobs);
void hzb_jobs_activate (HzbJobs *jobs, HzbJob *job);
void hzb_jobs_retire (HzbJobs *jobs, HzbJob *job); /* nothing of it is anywhere any more */
/* Every machine that might hold them has answered or is gone: a job's unconfirmed tasks of a leader before us (0), or of the
 * shard of a leaseholder that was taken back (1 and up), wait again. */
void hzb_job_resolve_unconfirmed (HzbJobs *jobs, HzbJob *job, guint leaseholder);
gboolean hzb_jobs_any_unconfirmed (HzbJobs *jobs);

/* A task ran for so long. Owners' estimates of a class may all lean one way, which the paper's known distribution
 * leaves no room for: the mean run time of a job is its owner's estimate, corrected by how its class has been
 * leaning. What a job's own tasks took is not used: the short ones end first. */
void hzb_jobs_record_run_time (HzbJobs *jobs, HzbJob *job, double seconds);
double hzb_jobs_mean_s (const HzbJobs *jobs, const HzbJob *job);
