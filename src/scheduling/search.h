/**
 * @file
 * SECTION: search
 *
 * The placement rule: searches the machine with the lowest U + h/v for a task.
 *
 * The rule is that of M. Konovalov and R. Razumchik, "Using Inter-Arrival Times for Scheduling in Non-Observable
 * Queues", equation 5: a task is sent to the machine with the lowest U + h/v. U is the expected workload of the machine
 * in seconds: the work that a task of this scheduling class would wait for (estimate.h). v is the speed of the machine:
 * the number of such tasks that the machine holds at the same time. h is the weight of the task's own run time relative
 * to its wait: 0 minimises the wait, 1 the sojourn time. Tasks in the paper have a mean size of 1; here the mean size
 * is the expected run time E, so h/v becomes h * E / v seconds. The time to fetch the image is added.
 *
 * Each run of the dispatcher makes one search for each job. All tasks of a job are alike, so each machine is examined
 * once: queueing a task changes only the workload of the machine that the task is queued on. The result is the same as
 * that of examining every machine for every task.
 */
#pragma once
#include "dispatch-state.h"

/** HzbSearch: the search for machines for the tasks of one job. */
typedef struct
{
  HzbDispatch *dispatch; /**< Not owned. */
  HzbJob *job;           /**< Not owned. */
  struct timespec now;   /**< The time of the search. */
  double *speeds;        /**< The speed v, by index of the machine type; owned. */
  GArray *heap; /**< (element-type Candidate) Min-heap by cost of the examined machines that may take a task; owned. */
  GHashTable *tasks_by_zone; /**< (nullable) Zone -> number of the job's tasks placed or queued there; owned. NULL: the
                                job has neither `samePlace` nor `spread`. */
  guint n_tasks_in_zones;    /**< Sum of the values of tasks_by_zone. */
} HzbSearch;

/** hzb_search_begin: initialises a search; no machine is examined yet. `search`: zeroed */
void hzb_search_begin (HzbSearch *search, HzbDispatch *dispatch, HzbJob *job, struct timespec now);

/** hzb_search_clear: frees the memory that the search owns, but not the search itself. */
void hzb_search_clear (HzbSearch *search);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HzbSearch, hzb_search_clear)

/** hzb_search_examine: examines `max_machines` usable machines, which are evenly spaced from a random first one, or all
 * usable machines if `max_machines` is 0. */
void hzb_search_examine (HzbSearch *search, guint max_machines);

/** hzb_search_best: Returns: (transfer none) (nullable): the machine with the lowest cost of those examined; NULL: none
 * of them may take a task */
HzbMachine *hzb_search_best (const HzbSearch *search);

/** hzb_search_note_queued: updates the search after a task was put into the run queue of hzb_search_best(), whose
 * workload has changed. */
void hzb_search_note_queued (HzbSearch *search);
