/**
 * @file
 * SECTION: dispatch-state
 *
 * The state of the dispatcher between two runs.
 *
 * The modules that place tasks (search, gang, preemption, dispatch) share this state; this header includes none of
 * them. It also has the checks that they have in common: the limits of teams and the pacing of starts.
 */
#pragma once
#include "machines.h"
#include "start-pacing.h"

/** HzbDispatch: the dispatcher on the controller that owns a shard. */
typedef struct
{
  /** `name` Collaborators, not owned
   * @{ */
  HzbJobs *jobs;               /**< The jobs to place. */
  HzbMachines *machines;       /**< The machines to place them on. */
  const HzbSettings *settings; /**< The settings of this controller. */
  GRand *rand;                 /**< Source of randomness for samples of machines. */
  HzbStartPacing *pacing;      /**< (nullable) Limits the rate of starts after a cold start; NULL: no limit. */
  /** @} */

  /** `name` Parameters that the admin API can change
   * @{ */
  double h;             /**< Weight of a task's own run time in the placement rule U + h/v, see search.h. */
  double queue_ahead_s; /**< A run queue with more seconds of work than this gets no further tasks. */
  guint sample_size;    /**< Number of machines examined for one task while lagging; 0: all. */
  /** @} */

  /** `name` Load of this controller
   * @{ */
  gboolean lagging;         /**< This controller lacks processor time: samples of machines replace full searches. */
  double lag_s;             /**< Smoothed lateness of timers, in seconds. */
  guint n_examined;         /**< Number of candidate machines examined so far, for tests. */
  struct timespec next_run; /**< When hzb_dispatch_run() is due next, kept by its caller; unset: at once. */
  /** @} */

  /** `name` Indexes built by the last run, so that a heartbeat needs no scan of all machines or jobs
   * @{ */
  GPtrArray *waiting[HZB_N_SCHEDULING_CLASSES]; /**< (element-type HzbJob) Waiting jobs except gangs, in the order of
                                                   service; not owned. */
  GPtrArray *usable; /**< (element-type HzbMachine) Machines that may get new tasks; not owned. */
  GPtrArray *machines_with_queues[HZB_N_SCHEDULING_CLASSES]; /**< (element-type HzbMachine) Machines with tasks of
                                                                the class in their run queues; not owned. */
  guint generation;        /**< HzbMachines.generation when machines_with_queues was built. */
  gboolean gang_waits;     /**< At least one gang waits for room. */
  double min_waiting_cpus; /**< CPUs of the smallest waiting task; a machine with fewer free CPUs needs no search. */
  double *waiting_cpus_by_class; /**< [team][scheduling class]: CPUs that waiting tasks need, which are reserved within
                                    the team's limit against the team's lower classes. */
  double *waiting_gpus_by_class; /**< The same for GPUs. */
  /** @} */
} HzbDispatch;

/**
 * hzb_dispatch_new: creates a dispatcher. All arguments are (transfer none) and must outlive the dispatcher.
 *
 * Returns: (transfer full): a dispatcher with default parameters and without start pacing
 */
HzbDispatch *hzb_dispatch_new (HzbJobs *jobs, HzbMachines *machines, const HzbSettings *settings, GRand *rand);

/** hzb_dispatch_free: `dispatch`: (transfer full) */
void hzb_dispatch_free (HzbDispatch *dispatch);

/** hzb_dispatch_clear_indexes: clears the indexes of the last run, because jobs or machines may have been freed. */
void hzb_dispatch_clear_indexes (HzbDispatch *dispatch);

/** hzb_dispatch_index_usable: rebuilds the index of the machines that may get new tasks. */
void hzb_dispatch_index_usable (HzbDispatch *dispatch);

/** hzb_dispatch_index_queues: rebuilds the index of the machines with tasks in their run queues. */
void hzb_dispatch_index_queues (HzbDispatch *dispatch);

/** hzb_dispatch_note_lag: records that a timer fired `late_s` seconds late. Late timers are the first sign of a lack of
 * processor time. */
void hzb_dispatch_note_lag (HzbDispatch *dispatch, double late_s);

/**
 * hzb_dispatch_reset_estimates: resets the estimated workloads of the machine to the tasks on the machine and in its
 * run queues, as known from its latest heartbeat.
 */
void hzb_dispatch_reset_estimates (HzbDispatch *dispatch, HzbMachine *machine, struct timespec now);

/** hzb_dispatch_team_limit_allows: whether the limit of the job's team allows one more task of the job in addition to
 * the waiting tasks of the team's higher scheduling classes. */
gboolean hzb_dispatch_team_limit_allows (HzbDispatch *dispatch, const HzbJob *job);

/** hzb_dispatch_note_started: records that one more task of the job was started or delegated. */
void hzb_dispatch_note_started (HzbDispatch *dispatch, const HzbJob *job);

/** hzb_dispatch_pacing_allows: whether the start pacing after a cold start allows one more task of the job to be
 * started or delegated now. */
gboolean hzb_dispatch_pacing_allows (const HzbDispatch *dispatch, const HzbJob *job);
