/**
 * @file
 * SECTION: search
 *
 * Finds the machine with the least U + h/v.
 *
 * The rule is that of M. Konovalov and R. Razumchik, "Using Inter-Arrival Times for Scheduling in Non-Observable
 * Queues", equation 5: a task goes to the machine with the least U + h/v. U is the expected workload of the machine in
 * seconds: the work that a task of this scheduling class would wait behind (estimate.h). v is the speed of the machine:
 * how many such tasks it holds at the same time. h weighs the task's own run time against its wait, in run times: 0
 * would minimise the wait, 1 the sojourn. The paper's tasks have a mean size of 1; here it is the expected run time E,
 * so h/v becomes h * E / v seconds. The time to fetch the image is added.
 *
 * There is one search for each job and run. The job's tasks are all alike, so each machine is examined once, and after
 * a task was sent only the machine that took it has another workload. The result is the same as that of examining every
 * machine for every task.
 */
#pragma once
#include "dispatch-state.h"

/** HzbSearch: a search for machines for the tasks of one job. */
typedef struct
{
  HzbDispatch *dispatch; /**< Not owned. */
  HzbJob *job;           /**< Not owned. */
  struct timespec now;   /**< Time of the search. */
  double *speeds;        /**< v by index of the type of machines; owned. */
  GArray *heap;        /**< (element-type Offer) A heap of the machines that may take a task, the best first; owned. */
  GHashTable *in_zone; /**< (nullable) Zone -> the job's tasks that are placed or queued there; NULL: zones do not
                          matter. Owned. */
  guint placed;        /**< The sum of these. */
} HzbSearch;

/** hzb_search_begin: begins a search without examining a machine. `search`: zeroed */
void hzb_search_begin (HzbSearch *search, HzbDispatch *dispatch, HzbJob *job, struct timespec now);

/** hzb_search_clear: frees what the search owns. */
void hzb_search_clear (HzbSearch *search);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HzbSearch, hzb_search_clear)

/** hzb_search_examine: examines `most` usable machines, evenly spread from a random one on, or all of them if `most` is
 * 0. */
void hzb_search_examine (HzbSearch *search, guint most);

/** hzb_search_best: Returns: (transfer none) (nullable): the best of the machines examined; NULL: none of them may take
 * a task */
HzbMachine *hzb_search_best (const HzbSearch *search);

/** hzb_search_note_sent: a task was sent to hzb_search_best(), so that its workload has changed. */
void hzb_search_note_sent (HzbSearch *search);
