/**
 * SECTION: worker-protocol
 * @short_description: decodes heartbeats of workers and encodes the commands in the responses
 *
 * The names of the fields that workers see appear only in this module.
 */
#pragma once
#include "user-protocol.h"
#include <glib.h>

/** HzbReportedTaskState: the state of a task on its machine. */
typedef enum
{
  HZB_TASK_STATUS_FETCHING,      /**< the machine fetches the task's image */
  HZB_TASK_STATUS_WAITING,       /**< a gang's task waits for the other tasks of the gang's attempt */
  HZB_TASK_STATUS_RUNNING,       /**< the task runs; a gang's task also while its gang is stopped or has lost a task */
  HZB_TASK_STATUS_CHECKPOINTING, /**< the task was stopped and saves a checkpoint */
  HZB_TASK_STATUS_EXITED         /**< the task exited, see #HzbExitCause; reported until the task is reaped */
} HzbReportedTaskState;

/** HzbExitCause: why a task exited, or why its start was refused. */
typedef enum
{
  HZB_EXIT_NONE,            /**< the task did not exit, or this version does not know the cause */
  HZB_EXIT_DONE,            /**< the task completed */
  HZB_EXIT_STOPPED,         /**< a controller stopped the task */
  HZB_EXIT_GANG_PEER_LOST,  /**< another task of the gang exited or was lost */
  HZB_EXIT_GANG_INCOMPLETE, /**< not all tasks of the gang started in time */
  HZB_EXIT_ERROR,           /**< the task failed, usually because of a faulty machine or a mistake in the submission */
  HZB_EXIT_REFUSED_FULL,    /**< start refused: the machine has too few free resources */
  HZB_EXIT_REFUSED_IN_USE,  /**< start refused: another attempt of the task is on the machine */
  HZB_EXIT_REFUSED_UNKNOWN  /**< start refused: the job or task does not exist */
} HzbExitCause;

/** HzbTaskStatus: the status of one task in a worker's heartbeat. */
typedef struct
{
  char *uid;                  /**< the job's id (owned) */
  guint task;                 /**< index of the task in the job */
  guint64 attempt;            /**< number of the attempt, assigned by a controller */
  HzbReportedTaskState state; /**< state of the task */
  HzbExitCause exit_cause;    /**< why the task exited; #HZB_EXIT_NONE if it did not */
  gboolean checkpoint_saved;  /**< whether a stopped task saved a checkpoint before it exited */
} HzbTaskStatus;

/** HzbWorkerHeartbeat: a worker's heartbeat with its status. */
typedef struct
{
  char *host;            /**< name of the machine (owned) */
  char *addr;            /**< address of the worker (owned) */
  char *type;            /**< name of the machine type (owned) */
  char *zone;            /**< zone of the machine (owned) */
  gboolean spot;         /**< whether it is a spot machine */
  guint64 agent_epoch;   /**< at least 1; increases each time the worker's lease expires */
  guint64 sequence;      /**< number of the heartbeat; the one with the higher (agent_epoch, sequence) is newer */
  guint64 fencing_token; /**< the highest fencing token that the worker has seen */
  double notice_s;       /**< seconds until the cloud reclaims the machine; negative: no reclaim notice */
  GArray *task_statuses; /**< (element-type HzbTaskStatus) status of all tasks on the machine (owned) */
} HzbWorkerHeartbeat;

/**
 * Frees a heartbeat.
 * @param heartbeat (transfer full) (nullable) the heartbeat
 */
void hzb_worker_heartbeat_free (HzbWorkerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbWorkerHeartbeat, hzb_worker_heartbeat_free)

/** HzbCommandKind: the action that a command asks a worker for. */
typedef enum
{
  HZB_COMMAND_START, /**< start an attempt of a task */
  HZB_COMMAND_STOP,  /**< stop an attempt, after a checkpoint if there is time for one */
  HZB_COMMAND_REAP   /**< drop an exited attempt from later heartbeats */
} HzbCommandKind;

/**
 * HzbCommand: a command to a worker. Commands are idempotent, except that a start after a reap restarts the attempt.
 */
typedef struct
{
  HzbCommandKind kind; /**< requested action */
  const char *uid;     /**< the job's id (not owned) */
  guint task;          /**< index of the task in the job */
  guint64 attempt;     /**< number of the attempt */
  double grace_s;      /**< for a stop only: seconds that the task gets to save a checkpoint */
} HzbCommand;

/** Path of a worker's heartbeat (POST). */
extern const char hzb_path_worker_heartbeat[];

/**
 * Decodes a worker's heartbeat. Tasks without a name, or in a state that this version does not know, are left out.
 * @param body (nullable) the request's body
 * @param length size of the body, in bytes
 * @param error (out) (optional) #HZB_PROTOCOL_ERROR_MALFORMED if the body lacks the agent epoch or the machine's name,
 * address, type or zone
 * @return (transfer full) (nullable): the heartbeat; NULL on an error
 */
HzbWorkerHeartbeat *hzb_worker_heartbeat_decode (const char *body, gsize length, GError **error);

/**
 * Encodes the response to a heartbeat. The response renews the worker's lease unless the worker has seen a higher
 * fencing token.
 * @param fencing_token fencing token of the leader or leaseholder that is responsible for the worker
 * @param commands (element-type HzbCommand) (nullable) commands, which the worker executes in this order; NULL: none
 * @return (transfer full): the response's body
 */
char *hzb_commands_encode (guint64 fencing_token, const GArray *commands);

/**
 * Encodes the response that redirects a worker to another controller.
 * @param node (nullable) name of the controller to which the worker should send its heartbeats; NULL: the worker tries
 * the next controller
 * @return (transfer full): the response's body
 */
char *hzb_worker_redirect_encode (const char *node);
