/**
 * SECTION: task
 * @short_description: one task of a job, on the controller that owns it
 */
#pragma once
#include "clock.h"

#include <glib.h>

typedef struct _HzbMachine HzbMachine;
typedef struct _HzbJob HzbJob;
typedef struct _HzbJobs HzbJobs;

typedef enum
{
  HZB_TASK_PENDING,     /* on no machine, in no run queue */
  HZB_TASK_QUEUED,      /* in a machine's run queue */
  HZB_TASK_UNCONFIRMED, /* may run on a machine that has not answered under our fencing token */
  HZB_TASK_OTHER_OWNER, /* in another shard (on a leaseholder only) */
  HZB_TASK_DELEGATED,   /* in a shard that is leased to another controller, which may run it (on the leader only) */
  HZB_TASK_RESERVED,    /* a place is held for it; the start order has not been sent */
  HZB_TASK_STARTING,    /* a start order was sent; no newer report yet */
  HZB_TASK_FETCHING,
  HZB_TASK_WAITING,
  HZB_TASK_RUNNING,
  HZB_TASK_CHECKPOINTING,
  HZB_TASK_FINISHED, /* its result is known, not yet durable */
  HZB_TASK_DONE,     /* durable */
  HZB_TASK_N_STATES
} HzbTaskState;

typedef struct
{
  HzbJob *job;
  HzbMachine *machine;
  guint index;
  guint8 state; /* HzbTaskState, changed by hzb_task_set_state() only */
  guint8 tries;
  guint8 leaseholder; /* 1 and up: whom it was delegated to */
  gboolean stopping : 1;
  guint seen; /* the machine's last round of reports that named it */
  guint64 attempt;
  struct timespec since;      /* in this state */
  struct timespec not_before; /* after a failure */
} HzbTask;

/**
 * hzb_task_set_state:
 * @machine: (nullable): where it is from now on
 *
 * The only place where a task changes its state, its machine, and what its team has in use.
 *
 * Returns: FALSE if the change is not allowed; it is logged, and nothing changes.
 */
gboolean hzb_task_set_state (HzbJobs *jobs, HzbTask *task, HzbTaskState to, HzbMachine *machine);

/** hzb_task_on_machine: it takes room on its machine. */
gboolean hzb_task_on_machine (const HzbTask *task);
const char *hzb_task_state_name (HzbTaskState state);

/** hzb_job_next_pending: takes off a task that may start now. Returns: (nullable) */
HzbTask *hzb_job_next_pending (HzbJob *job, struct timespec now);
