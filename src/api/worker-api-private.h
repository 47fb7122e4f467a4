/**
 * SECTION: worker-api-private
 * @short_description: the steps of answering a heartbeat, shared by the files of the worker API
 */
#pragma once
#include "worker-api.h"
#include "worker-protocol.h"

/** _HzbWorkerApi: has no state of its own beyond the modules that it calls. */
struct _HzbWorkerApi
{
  HzbWorkerApiDependencies with; /**< the modules that the worker API calls */
};

/** HzbHeartbeatExchange: one heartbeat while it is being answered; lives on the stack of hzb_worker_api_heartbeat(). */
typedef struct
{
  HzbHttpRequest *http_request;  /**< (not owned): the request to answer */
  HzbWorkerHeartbeat *heartbeat; /**< (owned) (nullable): its body; NULL until hzb_heartbeat_admit() has decoded it */
  HzbMachine *machine; /**< (not owned) (nullable): its sender; NULL until hzb_heartbeat_admit() has found it */
  gboolean leads;      /**< this node is the leader; otherwise it is a leaseholder */
  struct timespec now; /**< the clock's time when the heartbeat came */
  GArray *commands;    /**< (owned) (element-type HzbCommand): what the answer tells the worker to do */
} HzbHeartbeatExchange;

/* ---- heartbeat-admission.c: may this node answer, and about which machine ---- */

/**
 * hzb_heartbeat_admit: decodes the heartbeat, checks this node's authority over its sender, and finds the machine.
 *
 * Returns: FALSE if the heartbeat goes no further; it has been answered then
 */
gboolean hzb_heartbeat_admit (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/* ---- machine-reachability.c: does the machine reach this node, and do answers reach the machine ---- */

/** hzb_reachability_note_heartbeat: a newer heartbeat of the machine has come: takes its agent epoch, sequence and address. */
void hzb_reachability_note_heartbeat (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/** hzb_reachability_is_suspect: too many answers in a row show no effect, so the machine must get no start commands. */
gboolean hzb_reachability_is_suspect (const HzbMachine *machine);

/** hzb_reachability_check: marks the machine as partitioned one way if answers do not seem to reach it. */
void hzb_reachability_check (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/* ---- heartbeat-tasks.c: what a complete heartbeat says of the machine's tasks ---- */

/** hzb_heartbeat_is_complete: what the heartbeat does not list is not on the machine, see docs/safety.md. */
gboolean hzb_heartbeat_is_complete (const HzbHeartbeatExchange *exchange);

/** hzb_heartbeat_apply: brings the machine's tasks in line with a complete heartbeat, and adds the commands that follow. */
void hzb_heartbeat_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/* ---- task-status.c: one line of a heartbeat ---- */

/** hzb_task_status_apply: takes the status of one task, recorded or not. */
void hzb_task_status_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, const HzbTaskStatus *task_status);

/** hzb_task_status_is_current: the status is of the attempt that this node knows on this machine. */
gboolean hzb_task_status_is_current (const HzbHeartbeatExchange *exchange, const HzbTask *task,
                                     const HzbTaskStatus *task_status);

/** hzb_task_ran_well: the task has run for long enough to show that it can. */
gboolean hzb_task_ran_well (const HzbTask *task, struct timespec now);

/* ---- task-exit.c: a task has exited ---- */

/** hzb_task_exit_apply: takes the result, or has the task run again; reaps the exited process where nothing needs it. */
void hzb_task_exit_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task,
                          const HzbTaskStatus *task_status);

/* ---- reclaim-notice.c: the cloud takes the machine soon ---- */

/**
 * hzb_reclaim_notice_apply: drains the machine of a heartbeat that brings a reclaim notice, and stops what cannot end in time.
 */
void hzb_reclaim_notice_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/* ---- heartbeat-response.c: commands and answers ---- */

/** hzb_heartbeat_add_stop: tells the worker to stop the task, which has grace_s seconds to save a checkpoint. */
void
hzb_heartbeat_add_stop (HzbHeartbeatExchange *exchange, const char *uid, guint task, guint64 attempt, double grace_s);

/** hzb_heartbeat_add_reap: tells the worker to forget the exited task. */
void hzb_heartbeat_add_reap (HzbHeartbeatExchange *exchange, const char *uid, guint task, guint64 attempt);

/** hzb_heartbeat_stop_cancelled: adds a stop for every running task of a job that this node knows to be cancelled. */
void hzb_heartbeat_stop_cancelled (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/** hzb_heartbeat_respond: 200 with the commands, under this fencing token. */
void hzb_heartbeat_respond (HzbHeartbeatExchange *exchange, guint64 fencing_token);

/** hzb_heartbeat_redirect: 421 with the node (nullable) that decides about the machine, if one is known. */
void hzb_heartbeat_redirect (HzbHeartbeatExchange *exchange, const char *node);

/** hzb_heartbeat_refuse: an error; retry_after_s is in seconds, 0: the answer names none. */
void hzb_heartbeat_refuse (HzbHeartbeatExchange *exchange, guint status, const char *text, guint retry_after_s);
