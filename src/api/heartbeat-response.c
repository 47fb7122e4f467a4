/* The commands in the response to a heartbeat, and the responses themselves. */
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

/* The worker lists the exited attempt again in its next heartbeat, so a reap that is left out here is sent later. */
void
hzb_heartbeat_add_reap (HzbHeartbeatExchange *exchange, const char *uid, guint task, guint64 attempt)
{
  if (hzb_sent_starts_may_arrive (exchange->machine->sent_starts, uid, task, attempt,
                                  exchange->heartbeat->fencing_token, exchange->now))
    return; /* a late copy of the start would start the attempt again */
  add_command (exchange, HZB_COMMAND_REAP, uid, task, attempt, 0);
}

/* The response renews the machine's lease, even if the statuses in the heartbeat are not applied. Without these stop
 * commands a task could run for the duration of another lease after its cancellation was confirmed to the user. */
void
hzb_heartbeat_stop_cancelled (HzbWorkerApi *api, HzbHeartbeatExchange *exchange)
{
  const GArray *task_statuses = exchange->heartbeat->task_statuses;

  for (guint i = 0; i < task_statuses->len; i++)
    {
      const HzbTaskStatus *task_status = &g_array_index (task_statuses, HzbTaskStatus, i);
      const HzbJob *job = hzb_jobs_find (api->dependencies.jobs, task_status->uid);
      if (job && job->state == HZB_JOB_CANCELLED && task_status->state != HZB_TASK_STATUS_EXITED)
        hzb_heartbeat_add_stop (exchange, task_status->uid, task_status->task, task_status->attempt, 0);
    }
}

static void
note_sent_starts (HzbHeartbeatExchange *exchange, guint64 fencing_token)
{
  for (guint i = 0; i < exchange->commands->len; i++)
    {
      const HzbCommand *command = &g_array_index (exchange->commands, HzbCommand, i);
      if (command->kind == HZB_COMMAND_START)
        hzb_sent_starts_note (exchange->machine->sent_starts, command->uid, command->task, command->attempt,
                              fencing_token, exchange->now);
    }
}

void
hzb_heartbeat_respond (HzbHeartbeatExchange *exchange, guint64 fencing_token)
{
  note_sent_starts (exchange, fencing_token);
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
