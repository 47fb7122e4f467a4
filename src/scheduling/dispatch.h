/* What runs where. Tasks go to the machine with the least U + h/v and wait in its first-come list;
 * a machine's report is answered with the starts that fit. No I/O, no clock of its own. */
#pragma once
#include "machines.h"
#include "start-pacing.h"

typedef struct
{
  HzbJobs *jobs;
  HzbMachines *machines;
  const HzbSettings *settings;
  GRand *rand;
  double h;
  double queue_ahead_s;            /* lists are filled this far ahead */
  guint sample;                    /* machines looked at for one task when lagging; 0: all */
  gboolean lagging;                /* more is asked than can be done: samples in place of full searches */
  double lag_s;                    /* how late timers fire, smoothed */
  double *ahead_cpus, *ahead_gpus; /* [team][level]: what waits and goes first */
  /* As of the last run, so that a report costs no look at every machine or job: */
  GPtrArray *waiting[HZB_N_SCHEDULING_CLASSES];              /* HzbJob, in the order of service */
  GPtrArray *usable;                                         /* HzbMachine that may take work */
  GPtrArray *machines_with_queues[HZB_N_SCHEDULING_CLASSES]; /* HzbMachine that have such work in their lists */
  guint generation; /* of the machines, when machines with lists were indexed */
  gboolean gang_waits;
  double least_cpus;        /* of a waiting task: a machine with less than that free needs no look */
  guint examined;           /* machines looked at so far, for tests */
  HzbStartPacing *pacing;   /* (nullable): how fast tasks may be started after a cold start */
  struct timespec next_run; /* of hzb_dispatch_run(), as its caller keeps it; unset: at once */
} HzbDispatch;

HzbDispatch *hzb_dispatch_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings, GRand *rand);
void hzb_dispatch_free (HzbDispatch *dispatch);

/* The rule: the least U + h/v among machines that may hold the task; NULL if there is none. */
HzbMachine *hzb_dispatch_choose (HzbDispatch *dispatch, HzbJob *job, struct timespec now);
/* Waiting tasks to lists, gangs to places. */
void hzb_dispatch_run (HzbDispatch *dispatch, struct timespec now);
/* Jobs or machines may be no more: what was found by the last run is dropped. */
void hzb_dispatch_clear_indexes (HzbDispatch *dispatch);
/* A report came: the distribution goes back to the booked work. */
void hzb_dispatch_reset_estimates (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now);
/* Commands for a machine that has just reported. */
void hzb_dispatch_start_tasks (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now, GArray *commands);
/* A timer fired this much late: what the processor's share does not cover shows there first. */
void hzb_dispatch_note_lag (HzbDispatch *dispatch, double late_s);
/* Tasks that can save leave machines that are to go back and are half empty, where others have room for them. */
void hzb_dispatch_consolidate (HzbDispatch *dispatch, struct timespec now);
/* One more task of the job may be started: its team's limit allows it, besides what goes first. */
gboolean hzb_dispatch_team_may_use (HzbDispatch *dispatch, const HzbJob *job);
void hzb_dispatch_note_started (HzbDispatch *dispatch, const HzbJob *job); /* one more was */

/** hzb_dispatch_pace_allows: after a cold start, one more task of the job may be started, or delegated, now. */
gboolean hzb_dispatch_pace_allows (const HzbDispatch *dispatch, const HzbJob *job);
