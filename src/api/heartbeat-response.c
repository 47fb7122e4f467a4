/* Commands and answers to a heartbeat. */
#include "worker-api-private.h"

static void
add_command (HzbHeartbeatExchange *exchange, HzbCommandKind kind, const char *uid, guint task, guint64 attempt,
             double grace_s)
{
  HzbCommand command = { kind, uid, task, attempt, grace_s };
  g_array_append_val (exchange->commands, command);
}

void
hzb_heartbeat_add_stop (HzbHeartbeatExchange *exchange, const char *uid, guint task, guint64 attempt, double grace_s)
{
  add_command (exchange, HZB_COMMAND_STOP, uid, task, attempt, grace_s);
}

void
hzb_heartbeat_add_reap (HzbHeartbeatExchange *exchange, const char *uid, guint task, guint64 attempt)
{
  add_command (exchange, HZB_COMMAND_REAP, uid, task, attempt, 0);
}

/* The answer renews the machine's lease even where nothing is concluded from the heartbeat. Without these stops a task whose
 * cancellation has been confirmed to its user could run on for another lease. */
void
hzb_heartbeat_stop_cancelled (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  const GArray *task_statuses = exchange->heartbeat->task_statuses;

  for (guint i = 0; i < task_statuses->len; i++)
    {
      const HzbTaskStatus *task_status = &g_array_index (task_statuses, HzbTaskStatus, i);
      const HzbJob *job = hzb_jobs_find (api->with.jobs, task_status->uid);
      if (job && job->state == HZB_JOB_CANCELLED && task_status->state != HZB_TASK_STATUS_EXITED)
        hzb_heartbeat_add_stop (exchange, task_status->uid, task_status->task, task_status->attempt, 0);
    }
}

void
hzb_heartbeat_respond (HzbHeartbeatExchange *exchange, guint64 fencing_token)
{
  hzb_http_request_respond (exchange->http_request, 200, hzb_commands_encode (fencing_token, exchange->commands), 0);
}

void
hzb_heartbeat_redirect (HzbHeartbeatExchange *exchange, const char *node)
{
  hzb_http_request_respond (exchange->http_request, 421, hzb_worker_redirect_encode (node), 0);
}

void
hzb_heartbeat_refuse (HzbHeartbeatExchange *exchange, guint status, const char *text, guint retry_after_s)
{
  hzb_http_request_respond (exchange->http_request, status, hzb_error_response_encode (text), retry_after_s);
}
