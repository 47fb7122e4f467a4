/* The search for the least U + h/v, one for each job and run: a job's tasks are all alike, so the machines are looked at
 * once, and after a task was sent only the machine that took it has another workload. What is found is the same as by
 * looking at every machine for every task. */
#pragma once
#include "dispatch.h"

typedef struct
{
  HzbDispatch *dispatch;
  HzbJob *job;
  struct timespec now;
  double *speeds;      /* by type */
  GArray *heap;        /* Offer, the least first */
  GHashTable *in_zone; /* zone -> the job's tasks that are placed or listed there; NULL: it does not matter */
  guint placed;        /* in any zone */
} HzbSearch;

void hzb_search_begin (HzbSearch *search, HzbDispatch *dispatch, HzbJob *job, struct timespec now);
void hzb_search_clear (HzbSearch *search);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HzbSearch, hzb_search_clear)
void hzb_search_look (HzbSearch *search, guint examined); /* at so many usable machines, or at all (0) */
HzbMachine *hzb_search_best (const HzbSearch *search);    /* NULL: no machine may hold it */
void hzb_search_sent (HzbSearch *search);                 /* a task was sent to the best */
