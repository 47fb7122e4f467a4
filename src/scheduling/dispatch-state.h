/**
 * @file
 * SECTION: dispatch-state
 *
 * What the dispatcher remembers between two runs.
 *
 * The modules that place work (search, gang, preemption, dispatch) share this state; none of them is included here. It
 * also has what each of them asks: whether a team may use more, and whether starts are paced.
 */
#pragma once
#include "machines.h"
#include "start-pacing.h"

/** HzbDispatch: the dispatcher of the owner of a shard. */
typedef struct
{
  /** `name` Collaborators, not owned
   * @{ */
  HzbJobs *jobs;               /**< The jobs to place. */
  HzbMachines *machines;       /**< The machines to place them on. */
  const HzbSettings *settings; /**< The settings. */
  GRand *rand;                 /**< Chooses samples of machines. */
  HzbStartPacing *pacing;      /**< (nullable) How fast tasks may be started after a cold start. */
  /** @} */

  /** `name` Parameters, which the admin API can change
   * @{ */
  double h;             /**< Weight of a task's own run time in the rule U + h/v, see search.h. */
  double queue_ahead_s; /**< Run queues are filled this many seconds ahead. */
  guint sample;         /**< Machines examined for one task while lagging; 0: all. */
  /** @} */

  /** `name` Load of this controller
   * @{ */
  gboolean lagging;         /**< The processor's share is used up: samples of machines replace full searches. */
  double lag_s;             /**< How late timers fire, smoothed. */
  guint examined;           /**< Candidates examined so far, for tests. */
  struct timespec next_run; /**< When the caller of hzb_dispatch_run() calls it next; unset: at once. */
  /** @} */

  /** `name` As of the last run, so that a heartbeat costs no scan of all machines or jobs
   * @{ */
  GPtrArray *waiting[HZB_N_SCHEDULING_CLASSES]; /**< (element-type HzbJob) Jobs that wait, gangs excepted, in the order
                                                   of service. */
  GPtrArray *usable;                            /**< (element-type HzbMachine) Machines that may take work. */
  GPtrArray *machines_with_queues[HZB_N_SCHEDULING_CLASSES]; /**< (element-type HzbMachine) Machines with work of the
                                                                class in their run queues. */
  guint generation;    /**< HzbMachines.generation when machines_with_queues was made. */
  gboolean gang_waits; /**< A gang waits for room. */
  double least_cpus;   /**< CPUs of the smallest waiting task: a machine with less free needs no search. */
  double *ahead_cpus;  /**< [team][scheduling class]: CPUs that waiting tasks need, which are kept from the team's lower
                          classes. */
  double *ahead_gpus;  /**< The same of GPUs. */
  /** @} */
} HzbDispatch;

/**
 * hzb_dispatch_new: all arguments are (transfer none) and outlive the dispatcher.
 *
 * Returns: (transfer full)
 */
HzbDispatch *hzb_dispatch_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings, GRand *rand);

/** hzb_dispatch_free: `dispatch`: (transfer full) */
void hzb_dispatch_free (HzbDispatch *dispatch);

/** hzb_dispatch_clear_indexes: jobs or machines may have been freed: forgets what the last run found. */
void hzb_dispatch_clear_indexes (HzbDispatch *dispatch);

/** hzb_dispatch_index_usable: finds the machines that may take work. */
void hzb_dispatch_index_usable (HzbDispatch *dispatch);

/** hzb_dispatch_index_queues: finds the machines that have work in their run queues. */
void hzb_dispatch_index_queues (HzbDispatch *dispatch);

/** hzb_dispatch_note_lag: a timer fired `late_s` seconds late, which is where a lack of processor time shows first. */
void hzb_dispatch_note_lag (HzbDispatch *dispatch, double late_s);

/**
 * hzb_dispatch_reset_estimates: a heartbeat came, so what the machine works on is known: its estimated workloads start
 * anew from that.
 */
void hzb_dispatch_reset_estimates (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now);

/** hzb_dispatch_team_may_use: whether the limit of the job's team allows one more task, besides what the team's higher
 * classes wait for. */
gboolean hzb_dispatch_team_may_use (HzbDispatch *dispatch, const HzbJob *job);

/** hzb_dispatch_note_started: one more task of the job was started, or delegated. */
void hzb_dispatch_note_started (HzbDispatch *dispatch, const HzbJob *job);

/** hzb_dispatch_pace_allows: whether the pace after a cold start allows one more task of the job to be started, or
 * delegated, now. */
gboolean hzb_dispatch_pace_allows (const HzbDispatch *dispatch, const HzbJob *job);
