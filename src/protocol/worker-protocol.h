/**
 * SECTION: worker-protocol
 * @short_description: heartbeats of workers, and the commands that answer them
 *
 * The one place that knows the names that workers see.
 */
#pragma once
#include "user-protocol.h"
#include <glib.h>

typedef enum
{
  HZB_TASK_STATUS_FETCHING,
  HZB_TASK_STATUS_WAITING,
  HZB_TASK_STATUS_RUNNING,
  HZB_TASK_STATUS_CHECKPOINTING,
  HZB_TASK_STATUS_EXITED
} HzbReportedTaskState;

typedef enum
{
  HZB_EXIT_NONE,
  HZB_EXIT_DONE,
  HZB_EXIT_STOPPED,
  HZB_EXIT_GANG_PEER_LOST,
  HZB_EXIT_GANG_INCOMPLETE,
  HZB_EXIT_ERROR,
  HZB_EXIT_REFUSED_FULL,
  HZB_EXIT_REFUSED_IN_USE,
  HZB_EXIT_REFUSED_UNKNOWN
} HzbExitCause;

/* One line of a worker's heartbeat. */
typedef struct
{
  char *uid;
  guint task;
  guint64 attempt;
  HzbReportedTaskState state;
  HzbExitCause exit_cause;
  gboolean checkpoint_saved;
} HzbTaskStatus;

typedef struct
{
  char *host, *addr, *type, *zone;
  gboolean spot;
  guint64 agent_epoch, sequence, fencing_token;
  double notice_s;       /* below 0: none */
  GArray *task_statuses; /* HzbTaskStatus */
} HzbWorkerHeartbeat;

void hzb_worker_heartbeat_free (HzbWorkerHeartbeat *report);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HzbWorkerHeartbeat, hzb_worker_heartbeat_free)

typedef enum
{
  HZB_COMMAND_START,
  HZB_COMMAND_STOP,
  HZB_COMMAND_REAP
} HzbCommandKind;

typedef struct
{
  HzbCommandKind kind;
  const char *uid; /* not owned */
  guint task;
  guint64 attempt;
  double grace_s;
} HzbCommand;

extern const char hzb_path_worker_heartbeat[];

/** hzb_worker_heartbeat_decode: Returns: (transfer full) (nullable): NULL, with HZB_PROTOCOL_ERROR_MALFORMED, if it names no worker */
HzbWorkerHeartbeat *hzb_worker_heartbeat_decode (const char *body, gsize length, GError **error);

/** hzb_commands_encode: Returns: (transfer full): the answer to a heartbeat; @commands: (element-type HzbCommand) (nullable) */
char *hzb_commands_encode (guint64 fencing_token, const GArray *commands);

/** hzb_worker_redirect_encode: Returns: (transfer full): the answer that names the leader; @node: (nullable): none is known */
char *hzb_worker_redirect_encode (const char *node);
