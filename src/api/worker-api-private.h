/**
 * SECTION: worker-api-private
 * @short_description: the steps of handling a heartbeat, shared by the source files of the worker API
 */
#pragma once
#include "worker-api.h"
#include "worker-protocol.h"

/** _HzbWorkerApi: has no state of its own beyond the modules that it calls. */
struct _HzbWorkerApi
{
  HzbWorkerApiDependencies dependencies; /**< the modules that the worker API calls */
};

/** HzbHeartbeatExchange: one heartbeat and its response; lives on the stack of hzb_worker_api_heartbeat(). */
typedef struct
{
  HzbHttpRequest *http_request;  /**< (not owned): the request to answer */
  HzbWorkerHeartbeat *heartbeat; /**< (owned) (nullable): the decoded body; NULL before hzb_heartbeat_admit() */
  HzbMachine *machine; /**< (not owned) (nullable): the sender; NULL until hzb_heartbeat_admit() has found it */
  gboolean is_leader;  /**< this node is the leader; FALSE after hzb_heartbeat_admit(): it is a leaseholder */
  struct timespec now; /**< monotonic time at which the heartbeat arrived */
  GArray *commands;    /**< (owned) (element-type HzbCommand): the commands in the response */
} HzbHeartbeatExchange;

/* ---- heartbeat-admission.c: ownership of the sender ---- */

/**
 * hzb_heartbeat_admit: decodes the heartbeat, checks that this node owns the sender and may answer it, and finds the
 * machine.
 *
 * Returns: FALSE if the heartbeat is not to be processed further; the function has responded to it then
 */
gboolean hzb_heartbeat_admit (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/* ---- machine-reachability.c: reachability in both directions ---- */

/** hzb_reachability_record_heartbeat: stores the agent epoch, sequence number and address of a newer heartbeat. */
void hzb_reachability_record_heartbeat (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/**
 * hzb_reachability_is_suspect: Returns: TRUE if the machine has ignored too many responses in a row; the machine must
 * not get start commands then
 */
gboolean hzb_reachability_is_suspect (const HzbMachine *machine);

/** hzb_reachability_mark_if_suspect: marks the machine as partitioned one way if responses do not seem to reach it. */
void hzb_reachability_mark_if_suspect (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/* ---- heartbeat-tasks.c: the tasks in a complete heartbeat ---- */

/**
 * hzb_heartbeat_is_complete: Returns: TRUE if a task that the heartbeat does not list is certainly not on the machine,
 * see docs/safety.md
 */
gboolean hzb_heartbeat_is_complete (const HzbHeartbeatExchange *exchange);

/** hzb_heartbeat_apply: reconciles the machine's tasks with a complete heartbeat, and adds the resulting commands. */
void hzb_heartbeat_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/* ---- task-status.c: the status of one task ---- */

/** hzb_task_status_apply: applies the status of one task, which may be without a record. */
void hzb_task_status_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, const HzbTaskStatus *task_status);

/** hzb_task_status_is_current: Returns: TRUE if the status is of the attempt that this node tracks on this machine */
gboolean hzb_task_status_is_current (const HzbHeartbeatExchange *exchange, const HzbTask *task,
                                     const HzbTaskStatus *task_status);

/**
 * hzb_task_started_successfully: for running tasks. Returns: TRUE if the task has been in its state for more than 5 s
 */
gboolean hzb_task_started_successfully (const HzbTask *task, struct timespec now);

/* ---- task-exit.c: the exit of a task ---- */

/**
 * hzb_task_exit_apply: accepts the result of an exited task, or makes the task pending again; adds a reap command where
 * the worker need not keep the exited task any longer.
 */
void hzb_task_exit_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange, HzbTask *task,
                          const HzbTaskStatus *task_status);

/* ---- reclaim-notice.c: the cloud's notice that it reclaims a machine ---- */

/**
 * hzb_reclaim_notice_apply: drains the machine of a heartbeat that has a reclaim notice, and stops the tasks that
 * cannot end before the cloud reclaims the machine.
 */
void hzb_reclaim_notice_apply (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/* ---- heartbeat-response.c: commands and responses ---- */

/** hzb_heartbeat_add_stop: adds a command that stops the task; the task has grace_s seconds to save a checkpoint. */
void
hzb_heartbeat_add_stop (HzbHeartbeatExchange *exchange, const char *uid, guint task, guint64 attempt, double grace_s);

/** hzb_heartbeat_add_reap: adds a command that has the worker drop the exited task and its result, unless a late copy of
 * the task's start may still arrive. */
void hzb_heartbeat_add_reap (HzbHeartbeatExchange *exchange, const char *uid, guint task, guint64 attempt);

/** hzb_heartbeat_stop_cancelled: adds a stop command for every listed, not yet exited task of a cancelled job. */
void hzb_heartbeat_stop_cancelled (HzbWorkerApi *api, HzbHeartbeatExchange *exchange);

/** hzb_heartbeat_respond: responds with 200, this fencing token and the commands. */
void hzb_heartbeat_respond (HzbHeartbeatExchange *exchange, guint64 fencing_token);

/** hzb_heartbeat_redirect: responds with 421 and the node that owns the machine. node (nullable): NULL: not known */
void hzb_heartbeat_redirect (HzbHeartbeatExchange *exchange, const char *node);

/** hzb_heartbeat_refuse: responds with an error. retry_after_s: seconds; 0: the response has no Retry-After header */
void hzb_heartbeat_refuse (HzbHeartbeatExchange *exchange, guint status, const char *text, guint retry_after_s);
