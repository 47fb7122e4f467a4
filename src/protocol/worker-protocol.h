/**
 * SECTION: worker-protocol
 * @short_description: heartbeats of workers, and the commands in the responses to them
 *
 * The one place that knows the names that workers see.
 */
#pragma once
#include "user-protocol.h"
#include <glib.h>

/** HzbReportedTaskState: the state of a task on its machine. */
typedef enum
{
  HZB_TASK_STATUS_FETCHING,      /**< the machine fetches the task's image */
  HZB_TASK_STATUS_WAITING,       /**< gang task: waits for the other tasks of its attempt */
  HZB_TASK_STATUS_RUNNING,       /**< runs; a gang's task also while its gang is being stopped or lost a task */
  HZB_TASK_STATUS_CHECKPOINTING, /**< was stopped and saves a checkpoint */
  HZB_TASK_STATUS_EXITED         /**< exited, see #HzbExitCause; shown by each heartbeat until it is reaped */
} HzbReportedTaskState;

/** HzbExitCause: why a task exited, or why its start was refused. */
typedef enum
{
  HZB_EXIT_NONE,            /**< it did not exit, or for a cause that this version does not know */
  HZB_EXIT_DONE,            /**< it completed */
  HZB_EXIT_STOPPED,         /**< a controller stopped it */
  HZB_EXIT_GANG_PEER_LOST,  /**< another task of its gang is gone */
  HZB_EXIT_GANG_INCOMPLETE, /**< its gang was not complete in time */
  HZB_EXIT_ERROR,           /**< it failed: mostly the machine is faulty, or the submission has a mistake */
  HZB_EXIT_REFUSED_FULL,    /**< refused: the machine has not enough free resources */
  HZB_EXIT_REFUSED_IN_USE,  /**< refused: another attempt of the task is on the machine */
  HZB_EXIT_REFUSED_UNKNOWN  /**< refused: no such job or task */
} HzbExitCause;

/** HzbTaskStatus: what a worker's heartbeat says of one task. */
typedef struct
{
  char *uid;                  /**< the job's id (owned) */
  guint task;                 /**< index in the job */
  guint64 attempt;            /**< number of the attempt that the controllers gave the task */
  HzbReportedTaskState state; /**< its state */
  HzbExitCause exit_cause;    /**< of a task that exited */
  gboolean checkpoint_saved;  /**< of a task that was stopped: its progress was saved */
} HzbTaskStatus;

/** HzbWorkerHeartbeat: a worker's heartbeat with its status. */
typedef struct
{
  char *host;            /**< name of the machine (owned) */
  char *addr;            /**< address of the worker (owned) */
  char *type;            /**< name of the machine type (owned) */
  char *zone;            /**< zone of the machine (owned) */
  gboolean spot;         /**< a spot machine */
  guint64 agent_epoch;   /**< from 1 on; increases each time the worker's lease expires */
  guint64 sequence;      /**< the heartbeat with the higher (agent_epoch, sequence) is the newer one */
  guint64 fencing_token; /**< the highest token that the worker has seen */
  double notice_s;       /**< seconds until the cloud takes the machine back; below 0: no notice */
  GArray *task_statuses; /**< (element-type HzbTaskStatus) all tasks on the machine (owned) */
} HzbWorkerHeartbeat;

/**
 * Frees a heartbeat.
 * @param heartbeat (transfer full) (nullable)
 */
void hzb_worker_heartbeat_free (HzbWorkerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbWorkerHeartbeat, hzb_worker_heartbeat_free)

/** HzbCommandKind: what the response tells the worker to do. */
typedef enum
{
  HZB_COMMAND_START, /**< start an attempt of a task */
  HZB_COMMAND_STOP,  /**< stop it, after a checkpoint if there is time for one */
  HZB_COMMAND_REAP   /**< forget it, once it exited */
} HzbCommandKind;

/** HzbCommand: a command to a worker. All can be repeated, but a start after a reap starts the attempt once more. */
typedef struct
{
  HzbCommandKind kind; /**< what to do */
  const char *uid;     /**< the job's id (not owned) */
  guint task;          /**< index in the job */
  guint64 attempt;     /**< number of the attempt */
  double grace_s;      /**< of a stop: seconds for a checkpoint */
} HzbCommand;

/** Path of a worker's heartbeat (POST). */
extern const char hzb_path_worker_heartbeat[];

/**
 * Decodes a worker's heartbeat. Tasks without a name, or in a state that this version does not know, are left out.
 * @param body (nullable) the request's body
 * @param length its bytes
 * @param error (out) (optional) #HZB_PROTOCOL_ERROR_MALFORMED if the body does not say which machine it is about
 * @return (transfer full) (nullable): NULL on an error
 */
HzbWorkerHeartbeat *hzb_worker_heartbeat_decode (const char *body, gsize length, GError **error);

/**
 * Encodes the response to a heartbeat. It renews the worker's lease unless the worker has seen a higher fencing token.
 * @param fencing_token of the leader or leaseholder that commands the worker
 * @param commands (element-type HzbCommand) (nullable) carried out in their order
 * @return (transfer full): the response's body
 */
char *hzb_commands_encode (guint64 fencing_token, const GArray *commands);

/**
 * Encodes the response that sends a worker to another controller.
 * @param node (nullable) the controller that the worker should send its heartbeats to; NULL: the worker tries the
 * next one
 * @return (transfer full): the response's body
 */
char *hzb_worker_redirect_encode (const char *node);
