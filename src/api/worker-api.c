/* The workers' side: reports in, commands out. */
#include "controller-private.h"
#include "user-protocol.h"
#include "worker-protocol.h"

#include <math.h>
#include <string.h>

#define DOES_WELL_AFTER_S 5.0 /* a task that runs for so long */
#define ONE_WAY_PARTITION_AFTER 2u
#define QUICK_END_PAUSE_S 0.5
#define QUICK_END_MOST_S 30.0
/* Estimates are often wrong: only a task that should need this many times what is left is given up. */
#define HOPELESS_FACTOR 1.3

static void
command (GArray *commands, HzbCommandKind kind, const char *uid, guint task, guint64 attempt, double grace_s)
{
  HzbCommand o = { kind, uid, task, attempt, grace_s };
  g_array_append_val (commands, o);
}

static void
task_failed (HzbController *controller, HzbMachine *machine, HzbTask *task, HzbExitCause cause, gboolean ran_well,
             struct timespec now)
{
  HzbJob *job = task->job;

  if (cause == HZB_EXIT_ERROR)
    {
      gboolean service = job->spec->kind == HZB_JOB_SERVICE, same = g_strcmp0 (machine->last_failed_job, job->uid) == 0;
      task->tries = (guint8) MIN (task->tries + 1, 10);
      if (!job->failed_on)
        job->failed_on = g_strdup (machine->name);
      job->failed_on_several = job->failed_on_several || !g_str_equal (job->failed_on, machine->name);
      /* That its tasks run for a while shows nothing of a job whose tasks fail after that. */
      job->did_well = job->did_well && (!ran_well || job->done + job->finished > 0);
      hzb_machine_note_failure (machine, job, now);
      if (hzb_machine_seems_faulty (machine, controller->jobs))
        {
          if (!machine->scale_in_requested)
            g_message ("machine %s fails what it starts and is set aside", machine->name);
          machine->scale_in_requested = TRUE;
        }
      /* One machine that fails all replicas of a service says no more of the service than one that fails one. */
      else if (!job->did_well && !(service && same))
        {
          job->failures++;
          job->not_before = hzb_time_plus (now, MIN (60, 1 << MIN (job->failures, 6)));
        }
      /* A replica is sound until its service fails everywhere: it is tried elsewhere at once. */
      task->not_before = hzb_time_plus (now, service ? 0.2 : MIN (60, 1 << MIN (task->tries, 6)) * 0.5);
    }
  else if (cause == HZB_EXIT_REFUSED_FULL || cause == HZB_EXIT_REFUSED_UNKNOWN || cause == HZB_EXIT_REFUSED_IN_USE)
    {
      g_message ("task %s/%u was refused by %s (%d)", job->uid, task->index, machine->name, cause);
      task->not_before = hzb_time_plus (now, 1);
    }
}

/* Guards against replicas that end by themselves as soon as they run, which would be started at every heartbeat. One that
 * ran well is back at once. */
static void
replica_ended (HzbTask *replica, gboolean ran_well, struct timespec now)
{
  replica->tries = ran_well ? 0 : (guint8) MIN (replica->tries + 1, 10);
  replica->not_before =
      hzb_time_plus (now, ran_well ? 0 : MIN (QUICK_END_MOST_S, QUICK_END_PAUSE_S * (1 << MIN (replica->tries, 6))));
}

static HzbTaskState
task_state_of (HzbReportedTaskState state)
{
  return state == HZB_TASK_STATUS_FETCHING        ? HZB_TASK_FETCHING
         : state == HZB_TASK_STATUS_WAITING       ? HZB_TASK_WAITING
         : state == HZB_TASK_STATUS_CHECKPOINTING ? HZB_TASK_CHECKPOINTING
                                                  : HZB_TASK_RUNNING;
}

static void
handle_exited (HzbController *controller, HzbMachine *machine, HzbTask *task, const HzbTaskStatus *task_status,
               struct timespec now, GArray *commands)
{
  HzbJob *job = task->job;
  gboolean here = hzb_task_on_machine (task) && task->machine == machine && task->attempt == task_status->attempt;

  /* A replica that ends, for whatever cause, has no result: it runs again. */
  if (task_status->exit_cause == HZB_EXIT_DONE && job->spec->kind != HZB_JOB_SERVICE)
    {
      if (task->state == HZB_TASK_DONE)
        command (commands, HZB_COMMAND_REAP, job->uid, task->index, task_status->attempt, 0);
      else if (here || task->state == HZB_TASK_UNCONFIRMED || task->state == HZB_TASK_PENDING
               || task->state == HZB_TASK_QUEUED || task->state == HZB_TASK_OTHER_OWNER)
        {
          double ran = here && task->state == HZB_TASK_RUNNING ? hzb_time_between (task->since, now) : 0;
          if (task->state == HZB_TASK_QUEUED || task->state == HZB_TASK_OTHER_OWNER)
            hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
          hzb_jobs_record_run_time (controller->jobs, job, ran);
          hzb_task_set_state (controller->jobs, task, HZB_TASK_FINISHED, NULL);
          job->dirty = TRUE;
          job->failures = 0;
          job->did_well = TRUE;
          hzb_machine_note_success (machine);
          if (hzb_ownership_is_leaseholder (controller->ownership))
            hzb_leaseholder_report_finished (controller->leaseholder, task, ran);
          else if (job->finished + job->done == job->n_tasks)
            hzb_records_complete_job (controller->records, job);
          else
            hzb_records_flush_soon (controller->records);
        }
      /* Otherwise it is kept there until it is durable, or until the other attempt is over. */
      return;
    }
  if (here)
    {
      gboolean ran_well = task->state == HZB_TASK_RUNNING && hzb_time_between (task->since, now) > DOES_WELL_AFTER_S;
      hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
      task_failed (controller, machine, task, task_status->exit_cause, ran_well, now);
      if (task_status->exit_cause == HZB_EXIT_DONE)
        replica_ended (task, ran_well, now);
    }
  command (commands, HZB_COMMAND_REAP, job->uid, task->index, task_status->attempt, 0);
}

#define NOBODYS_AFTER_S 15.0 /* the replica of the records may be a moment behind */

/* A task that no record here names. */
static void
apply_unrecorded (HzbController *controller, HzbMachine *machine, const HzbTaskStatus *task_status, struct timespec now,
                  GArray *commands)
{
  gboolean over = hzb_time_between (hzb_ownership_since (controller->ownership), now) > NOBODYS_AFTER_S;

  if (controller->settings->reconciliation.enabled && !hzb_ownership_is_leaseholder (controller->ownership))
    {
      HzbTaskVerdict verdict =
          hzb_reconciliation_judge_unrecorded (controller->reconciliation, machine, task_status, now);
      over = verdict == HZB_TASK_VERDICT_STOP || verdict == HZB_TASK_VERDICT_REAP;
      machine->quarantined += !over;
    }
  if (over)
    command (commands, task_status->state == HZB_TASK_STATUS_EXITED ? HZB_COMMAND_REAP : HZB_COMMAND_STOP,
             task_status->uid, task_status->task, task_status->attempt, 0);
}

static HzbTask *
reported_task (const HzbJob *job, const HzbTaskStatus *task_status)
{
  return job && job->tasks && task_status->task < job->n_tasks ? &job->tasks[task_status->task] : NULL;
}

static void
apply_recorded (HzbController *controller, HzbMachine *machine, const HzbTaskStatus *task_status, struct timespec now,
                GArray *commands)
{
  HzbJob *job = hzb_jobs_find (controller->jobs, task_status->uid);
  HzbTask *task = reported_task (job, task_status);
  HzbTaskState state = task_state_of (task_status->state);
  gboolean over = job->state != HZB_JOB_ACCEPTED;

  if (task && hzb_task_on_machine (task) && task->machine == machine && task->attempt == task_status->attempt)
    task->seen = machine->round;
  if (task_status->state == HZB_TASK_STATUS_EXITED)
    {
      if (task && !over)
        handle_exited (controller, machine, task, task_status, now, commands);
      else
        {
          if (task && hzb_task_on_machine (task) && task->machine == machine && task->attempt == task_status->attempt)
            hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
          command (commands, HZB_COMMAND_REAP, job->uid, task_status->task, task_status->attempt, 0);
        }
      return;
    }
  if (task
      && (task->state == HZB_TASK_UNCONFIRMED || task->state == HZB_TASK_PENDING || task->state == HZB_TASK_QUEUED))
    {
      /* Found where an earlier owner had started it. */
      if (task->state == HZB_TASK_QUEUED)
        hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
      task->attempt = task_status->attempt;
      job->next_attempt = MAX (job->next_attempt, task_status->attempt);
      hzb_task_set_state (controller->jobs, task, state, machine);
      task->seen = machine->round;
    }
  else if (task && (task->state == HZB_TASK_OTHER_OWNER || task->state == HZB_TASK_DELEGATED))
    {
      g_critical ("task %s/%u is on %s although it is in another block", job->uid, task_status->task, machine->name);
      return;
    }
  else if (task && hzb_task_on_machine (task) && task->machine == machine)
    {
      if (task->attempt != task_status->attempt && task->seen != machine->round)
        task->attempt = task_status->attempt; /* ours was refused: this one is still here */
      task->seen = machine->round;
      if (task->attempt == task_status->attempt)
        hzb_task_set_state (controller->jobs, task, state, machine);
    }
  else if (task)
    {
      g_critical ("task %s/%u is on %s although it is %s%s%s", job->uid, task_status->task, machine->name,
                  hzb_task_state_name (task->state), task->machine ? " on " : "",
                  task->machine ? task->machine->name : "");
      command (commands, HZB_COMMAND_STOP, job->uid, task_status->task, task_status->attempt, 0);
      return;
    }
  if (job->spec && task_status->state != HZB_TASK_STATUS_FETCHING
      && !g_hash_table_contains (machine->images, job->spec->image))
    g_hash_table_add (machine->images, g_ref_string_acquire (job->spec->image));
  if (task_status->state == HZB_TASK_STATUS_RUNNING && task)
    {
      if (hzb_time_between (task->since, now) > DOES_WELL_AFTER_S)
        {
          job->did_well = TRUE;
          job->failures = 0;
          hzb_machine_note_success (machine);
        }
    }
  if (over)
    command (commands, HZB_COMMAND_STOP, job->uid, task_status->task, task_status->attempt, 0);
  else if (task && task->stopping && state != HZB_TASK_CHECKPOINTING)
    command (commands, HZB_COMMAND_STOP, job->uid, task_status->task, task_status->attempt,
             hzb_job_spec_grace_s (job->spec));
}

static void
apply_task_status (HzbController *controller, HzbMachine *machine, const HzbTaskStatus *task_status,
                   struct timespec now, GArray *commands)
{
  HzbJob *job = hzb_jobs_find (controller->jobs, task_status->uid);
  gboolean over = job && job->state != HZB_JOB_ACCEPTED;
  guint given = commands->len;
  HzbTaskVerdict verdict;

  if (job && !over && !job->tasks && hzb_ownership_is_leaseholder (controller->ownership))
    hzb_jobs_activate (controller->jobs, job); /* a result that came with a machine that was handed over */
  if (!job || (!reported_task (job, task_status) && !over))
    {
      apply_unrecorded (controller, machine, task_status, now, commands);
      return;
    }
  if (!job->awaits_verdict)
    {
      apply_recorded (controller, machine, task_status, now, commands);
      return;
    }
  verdict = hzb_reconciliation_judge (controller->reconciliation, machine, job, reported_task (job, task_status),
                                      task_status);
  apply_recorded (controller, machine, task_status, now, commands);
  /* No command before the job's fate is durable: the worker shows the task again with its next heartbeat. */
  if (verdict != HZB_TASK_VERDICT_STOP && verdict != HZB_TASK_VERDICT_REAP)
    g_array_set_size (commands, given);
}

/* The cloud takes the machine soon: nothing new goes there, what can save does so in time, and what can neither save
 * nor end before then is stopped, so that it starts elsewhere at once. */
static void
handle_reclaim_notice (HzbController *controller, HzbMachine *machine, double notice_s, struct timespec now,
                       GArray *commands)
{
  if (machine->state == HZB_MACHINE_ACTIVE)
    {
      hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_DRAINING, "the cloud takes it back");
      machine->notice_at = hzb_time_plus (now, notice_s);
      hzb_machine_clear_run_queues (controller->jobs, machine);
    }
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      HzbTask *task = machine->tasks->pdata[i];
      const HzbJobSpec *spec = task->job->spec;
      gboolean runs = task->state == HZB_TASK_RUNNING;
      double left = spec->kind == HZB_JOB_SERVICE
                        ? INFINITY
                        : hzb_job_mean_s (task->job) - (runs ? hzb_time_between (task->since, now) : 0);
      if (task->stopping || (!runs && task->state != HZB_TASK_FETCHING) || task->job->state != HZB_JOB_ACCEPTED
          || task->job->awaits_verdict)
        continue;
      if (spec->kind == HZB_JOB_GANG)
        {
          /* An orderly stop: every task is told with the answer to its machine's next heartbeat. */
          for (guint k = 0; runs && spec->checkpoint_interval_s > 0 && left > notice_s && k < task->job->n_tasks; k++)
            if (hzb_task_on_machine (&task->job->tasks[k]))
              task->job->tasks[k].stopping = TRUE;
          continue;
        }
      /* What should end by itself before then runs on. */
      if (runs && spec->checkpoint_interval_s > 0 ? left <= notice_s - spec->checkpoint_duration_s - 1
                                                  : left <= HOPELESS_FACTOR * notice_s)
        continue;
      task->stopping = TRUE;
      command (commands, HZB_COMMAND_STOP, task->job->uid, task->index, task->attempt, hzb_job_spec_grace_s (spec));
    }
}

/* Guards against a machine whose reports arrive while no answer reaches it: that a report came, and was answered, does
 * not show that the answer did. It has to show a fencing token that was not used before, until then it gets no work. */
static void
mark_unreachable (HzbController *controller, HzbMachine *machine, struct timespec now)
{
  if (machine->unreachable)
    return;
  if (hzb_ownership_is_leaseholder (controller->ownership))
    machine->unreachable = TRUE; /* it goes back to the leader, who can raise its fencing token */
  else
    hzb_machine_mark_unreachable (machine, hzb_shard_leases_next_fencing_token (controller->shard_leases), now);
  hzb_machine_clear_run_queues (controller->jobs, machine);
}

static void
apply_report (HzbController *controller, HzbMachine *machine, const HzbWorkerHeartbeat *heartbeat, struct timespec now,
              GArray *commands)
{
  guint starts = 0, missing = 0;

  machine->round++;
  machine->quarantined = 0;
  if (machine->state == HZB_MACHINE_UNVERIFIED || machine->state == HZB_MACHINE_BOOTING
      || machine->state == HZB_MACHINE_LEASE_EXPIRED)
    hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_ACTIVE, "reports under our token");
  machine->verified = TRUE;
  for (guint i = 0; i < machine->tasks->len; i++)
    starts += ((HzbTask *) machine->tasks->pdata[i])->state == HZB_TASK_STARTING;
  for (guint i = 0; i < heartbeat->task_statuses->len; i++)
    apply_task_status (controller, machine, &g_array_index (heartbeat->task_statuses, HzbTaskStatus, i), now, commands);
  /* What a newer report does not show is not there, whether its start was lost or it is forgotten. */
  for (guint i = 0; i < machine->tasks->len;)
    {
      HzbTask *task = machine->tasks->pdata[i];
      if (task->state == HZB_TASK_STARTING)
        missing++;
      if (task->state == HZB_TASK_RESERVED || task->seen == machine->round)
        i++;
      else
        hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
    }
  if (starts)
    machine->ignored_answers = missing < starts ? 0 : machine->ignored_answers + 1;
  if (machine->tasks->len)
    machine->idle_since = now;
  if (heartbeat->notice_s >= 0)
    handle_reclaim_notice (controller, machine, heartbeat->notice_s, now, commands);
  hzb_dispatch_reset_estimates (controller->dispatch, machine, now);
}

static void
redirect (HzbController *controller, HzbHttpRequest *http_request)
{
  controller->node->redirected_at = hzb_clock_now (controller->clock);
  hzb_http_request_respond (http_request, 421, hzb_worker_redirect_encode (hzb_election_leader (controller->election)),
                            0);
}

/* Guards against reports that a cut held back, and copies of reports: what they say is as old as they are. Once a
 * agent epoch is over for certain, nothing of it is news, whatever its number. */
static gboolean
is_late (const HzbMachine *machine, const HzbWorkerHeartbeat *heartbeat)
{
  return heartbeat->agent_epoch < machine->agent_epoch
         || (heartbeat->agent_epoch == machine->agent_epoch && heartbeat->sequence <= machine->sequence)
         || heartbeat->agent_epoch <= machine->expired_agent_epoch;
}

static void
refuse_late (HzbHttpRequest *http_request)
{
  hzb_http_request_respond (http_request, 503, hzb_error_response_encode ("an older report"), 0);
}

/* On a leaseholder: the machine, if it is in the shard and the shard is still ours. */
static HzbMachine *
leased_machine (HzbController *controller, const HzbWorkerHeartbeat *heartbeat)
{
  HzbMachine *machine = hzb_leaseholder_valid (controller->leaseholder)
                            ? hzb_machines_find (controller->machines, heartbeat->host)
                            : NULL;
  if (machine && heartbeat->fencing_token > machine->fencing_token)
    {
      hzb_leaseholder_return_machine (controller->leaseholder, machine, "it has seen a newer token");
      return NULL;
    }
  return machine;
}

/* Nothing is concluded from the heartbeat, but its answer renews the machine's lease. Guards against work that is called cancelled
 * and runs on for another lease: of a job that this node knows to be cancelled, every task is stopped. */
static void
stop_cancelled (HzbController *controller, const HzbWorkerHeartbeat *heartbeat, GArray *commands)
{
  for (guint i = 0; i < heartbeat->task_statuses->len; i++)
    {
      const HzbTaskStatus *task_status = &g_array_index (heartbeat->task_statuses, HzbTaskStatus, i);
      const HzbJob *job = hzb_jobs_find (controller->jobs, task_status->uid);
      if (job && job->state == HZB_JOB_CANCELLED && task_status->state != HZB_TASK_STATUS_EXITED)
        command (commands, HZB_COMMAND_STOP, task_status->uid, task_status->task, task_status->attempt, 0);
    }
}

/* A leader that has not read its records yet: the leases of its machines should live meanwhile, for as long as an outage keeps
 * the records from being read. */
static void
answer_while_loading (HzbController *controller, const HzbWorkerHeartbeat *heartbeat, HzbHttpRequest *http_request)
{
  g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
  guint64 fencing_token = hzb_fencing_token (hzb_election_term (controller->election), 0);

  stop_cancelled (controller, heartbeat, commands);
  /* A fencing token that the worker has seen already is not lowered. */
  hzb_http_request_respond (http_request, 200,
                            hzb_commands_encode (MAX (fencing_token, heartbeat->fencing_token), commands), 0);
}

/* On the leader: its machines, and those nobody expected. NULL: the exchange has been answered. */
static HzbMachine *
own_machine (HzbController *controller, const HzbWorkerHeartbeat *heartbeat, HzbHttpRequest *http_request)
{
  guint64 term = hzb_election_term (controller->election);
  const char *leaseholder = NULL;
  HzbMachine *machine;

  if (hzb_fencing_token_term (heartbeat->fencing_token) > term)
    {
      hzb_election_step_down (controller->election, "a worker has seen a newer token");
      hzb_http_request_respond (http_request, 503, hzb_error_response_encode ("superseded"), 0);
      return NULL;
    }
  if (!hzb_ownership_leader_loaded (controller->ownership))
    {
      answer_while_loading (controller, heartbeat, http_request);
      return NULL;
    }
  machine = hzb_machines_find (controller->machines, heartbeat->host);
  if (!machine && hzb_provisioning_was_scaled_in (controller->provisioning, heartbeat->host))
    {
      hzb_http_request_respond (http_request, 503, hzb_error_response_encode ("this machine was returned"), 0);
      return NULL;
    }
  if (!machine)
    machine = hzb_machines_add (controller->machines, heartbeat->host, heartbeat->addr, heartbeat->type,
                                heartbeat->zone, heartbeat->spot, HZB_MACHINE_BOOTING);
  if (!machine->fencing_token)
    hzb_machine_set_fencing_token (machine, controller->shard->fencing_token);
  if (is_late (machine, heartbeat) && machine->state != HZB_MACHINE_LEASED)
    {
      refuse_late (http_request);
      return NULL;
    }
  /* A fencing token that a worker has seen beyond what we know of: ours for it must not be lower. */
  if (heartbeat->fencing_token > machine->fencing_token && machine->state != HZB_MACHINE_LEASED)
    hzb_machine_set_fencing_token (machine, hzb_shard_leases_next_fencing_token (controller->shard_leases));
  if (machine->state == HZB_MACHINE_LEASED)
    leaseholder = hzb_shard_leases_leaseholder_name (controller->shard_leases, machine);
  else if (heartbeat->task_statuses->len == 0 && heartbeat->notice_s < 0)
    leaseholder = hzb_shard_leases_lease_idle (controller->shard_leases, machine);
  if (leaseholder)
    {
      /* The leaseholder is told how far its reports have come, and only once it is on record. */
      if (heartbeat->agent_epoch > machine->agent_epoch
          || (heartbeat->agent_epoch == machine->agent_epoch && heartbeat->sequence > machine->sequence))
        {
          machine->agent_epoch = heartbeat->agent_epoch;
          machine->sequence = heartbeat->sequence;
        }
      if (!machine->recorded)
        hzb_records_flush_soon (controller->records);
      hzb_http_request_respond (http_request, 421, hzb_worker_redirect_encode (leaseholder), 0);
      return NULL;
    }
  return machine;
}

void
hzb_worker_api_heartbeat (HzbController *controller, HzbHttpRequest *http_request)
{
  struct timespec now = hzb_clock_now (controller->clock);
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbWorkerHeartbeat) heartbeat = NULL;
  g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (HzbCommand));
  gboolean leads = hzb_election_leading (controller->election);
  const char *leaseholder;
  HzbMachine *machine = NULL;

  if (!leads && !hzb_ownership_is_leaseholder (controller->ownership))
    {
      redirect (controller, http_request);
      return;
    }
  heartbeat = hzb_worker_heartbeat_decode (http_request->body, http_request->length, &error);
  if (!heartbeat)
    {
      hzb_http_request_respond (http_request, 400, hzb_error_response_encode (error->message), 0);
      return;
    }
  /* Guards against a controller that stood still, or reaches its workers only: others rely on it that it renews no lease of
   * work that was cancelled meanwhile. */
  if (!hzb_cancellations_may_answer_workers (controller->cancellations))
    {
      hzb_http_request_respond (http_request, 503,
                                hzb_error_response_encode ("cancellations may have been missed here"), 1);
      return;
    }
  if (!leads && !(machine = leased_machine (controller, heartbeat)))
    {
      redirect (controller, http_request);
      return;
    }
  if (leads && !(machine = own_machine (controller, heartbeat, http_request)))
    return;
  if (is_late (machine, heartbeat))
    {
      refuse_late (http_request);
      return;
    }
  if (heartbeat->agent_epoch > machine->agent_epoch && machine->agent_epoch && machine->verified)
    {
      /* Its lease ended, and with it all its tasks; perhaps although every report was answered. */
      hzb_machine_lose_tasks (controller->jobs, machine);
      mark_unreachable (controller, machine, now);
    }
  machine->agent_epoch = heartbeat->agent_epoch;
  machine->sequence = heartbeat->sequence;
  machine->last_heartbeat = machine->last_answer = now;
  if (!machine->addr || !*machine->addr)
    {
      g_free (machine->addr);
      machine->addr = g_strdup (heartbeat->addr);
    }
  if (!machine->recorded)
    hzb_records_flush_soon (controller->records);
  if (machine->unreachable && heartbeat->fencing_token == machine->fencing_token)
    {
      machine->unreachable = FALSE;
      machine->ignored_answers = 0;
    }
  /* A machine that nobody has ever recorded, and that has seen no fencing token, holds nothing and obeys nobody yet: its
   * report is as good as one under ours. (After a takeover every recorded machine is unverified, not booting.) */
  if ((heartbeat->fencing_token >= machine->first_exclusive_fencing_token
       && heartbeat->fencing_token <= machine->fencing_token)
      || (heartbeat->fencing_token == 0 && machine->state == HZB_MACHINE_BOOTING && machine->known_to_cloud
          && !heartbeat->task_statuses->len))
    {
      apply_report (controller, machine, heartbeat, now, commands);
      if (leads && heartbeat->notice_s < 0 && heartbeat->fencing_token == machine->fencing_token
          && (leaseholder = hzb_shard_leases_hand_over (controller->shard_leases, machine)))
        {
          hzb_http_request_respond (http_request, 421, hzb_worker_redirect_encode (leaseholder), 0);
          return;
        }
      /* Starts only while nobody else can have been elected, or the lease is good; see docs/safety.md. */
      if (machine->ignored_answers < ONE_WAY_PARTITION_AFTER
          && (leads ? hzb_election_lease_valid (controller->election)
                    : hzb_leaseholder_valid (controller->leaseholder)))
        hzb_dispatch_start_tasks (controller->dispatch, machine, now, commands);
    }
  else
    {
      stop_cancelled (controller, heartbeat, commands);
      if (machine->state == HZB_MACHINE_ACTIVE)
        machine->ignored_answers++; /* it has not seen the fencing token that it was answered under */
    }
  if (machine->ignored_answers >= ONE_WAY_PARTITION_AFTER)
    mark_unreachable (controller, machine, now);
  hzb_reconciliation_note_commands (controller->reconciliation, commands);
  hzb_http_request_respond (http_request, 200, hzb_commands_encode (machine->fencing_token, commands), 0);
}
