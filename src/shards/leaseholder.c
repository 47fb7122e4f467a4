/* This node's part as a leaseholder: the shard that the leader has leased to it. lease.c says how leasing goes. */
#include "controller-private.h"
#include "json.h"
#include "outbox.h"
#include "shard-messages.h"

#include <string.h>

#define POLL_INTERVAL_S 0.4
#define POLL_SOON_INTERVAL_S 0.25 /* with news; a question costs both sides as much as a worker's heartbeat */
#define POLL_TIMEOUT_MS 1500
#define LEASE_ABANDON_S 5.0 /* it lets go when the leader has not answered for so long: it sits on no machines */
/* Of the shard's CPUs: tasks requested beyond its free room, so that no slot waits for the next answer. */
#define PREFETCH_PART 0.12
#define UNSTARTED_TTL_S 6.0 /* an unstarted task goes back to the leader after this */
#define IDLE_S 10.0         /* and an idle machine */
/* Guards against a poll that is larger than a request may be: it would be refused each time, nothing in it acknowledged,
 * and the whole shard lost, when hundreds of machines fall silent together. With what else goes along, below 64 KiB. */
#define MAX_EVENT_BYTES (36 * 1024)
/* Jobs whose counts go with a poll, up to 25 bytes each in two lists. Of more the next polls tell, in turn. */
#define COUNTS_PER_POLL 350u
#define RETURNED_PER_EVENT 800u /* tasks, up to 30 bytes each */
#define MAINTAIN_EVERY_S 0.5    /* tasks that may have to go back are looked for so often */

struct _HzbLeaseholder
{
  HzbController *controller;
  gboolean polling;
  guint64 polled_epoch; /* the ownership in which the poll on its way was sent */
  guint64 fencing_token, in_number;
  HzbOutbox out;
  guint next_counted; /* of the jobs whose counts are told in turn */
  struct timespec requests, next_poll, next_maintenance, last_answer, valid_until;
};

HzbLeaseholder *
hzb_leaseholder_new (HzbController *controller)
{
  HzbLeaseholder *leaseholder = g_new0 (HzbLeaseholder, 1);
  leaseholder->controller = controller;
  return leaseholder;
}

void
hzb_leaseholder_free (HzbLeaseholder *leaseholder)
{
  hzb_outbox_clear (&leaseholder->out);
  g_free (leaseholder);
}

gboolean
hzb_leaseholder_valid (HzbLeaseholder *leaseholder)
{
  return hzb_ownership_is_leaseholder (leaseholder->controller->ownership)
         && hzb_time_before (hzb_clock_now (leaseholder->controller->clock), leaseholder->valid_until);
}

static void
poll_soon (HzbLeaseholder *leaseholder)
{
  struct timespec soon = hzb_time_plus (leaseholder->requests, POLL_SOON_INTERVAL_S);
  if (hzb_time_before (soon, leaseholder->next_poll))
    leaseholder->next_poll = soon;
}

void
hzb_leaseholder_poll_soon (HzbLeaseholder *leaseholder)
{
  poll_soon (leaseholder);
}

void
hzb_leaseholder_report_finished (HzbLeaseholder *leaseholder, const HzbTask *task, double ran_s)
{
  cJSON *body = cJSON_CreateObject ();
  hzb_tasks_add (cJSON_AddObjectToObject (body, "finished"), task);
  cJSON_AddNumberToObject (body, "ranS", ran_s);
  hzb_outbox_push (&leaseholder->out, body);
  poll_soon (leaseholder);
}

void
hzb_leaseholder_return_machine (HzbLeaseholder *leaseholder, HzbMachine *machine, const char *why)
{
  HzbController *controller = leaseholder->controller;
  g_autoptr (HzbMachineReturn) returned =
      hzb_machine_return_new (machine->name, why, machine->agent_epoch, machine->sequence);

  returned->faulty = machine->scale_in_requested && !machine->recall_requested;
  hzb_machine_clear_run_queues (controller->jobs, machine);
  while (machine->tasks->len)
    {
      HzbTask *task = machine->tasks->pdata[machine->tasks->len - 1];
      guint before = machine->tasks->len;
      if (task->state == HZB_TASK_RESERVED)
        hzb_task_set_state (controller->jobs, task, HZB_TASK_PENDING, NULL);
      else
        {
          hzb_held_tasks_add (returned->lost, task);
          hzb_task_set_state (controller->jobs, task, HZB_TASK_OTHER_OWNER, NULL);
        }
      g_return_if_fail (machine->tasks->len < before);
    }
  hzb_outbox_push (&leaseholder->out, hzb_machine_return_encode (returned));
  hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_RETURNING, why);
  hzb_machine_set_state (controller->machines, machine, HZB_MACHINE_GONE, "from this block, back to the leader");
  hzb_machines_remove (controller->machines, machine);
}

static void
task_delegated (HzbTask *task, gpointer jobs)
{
  if (task->state == HZB_TASK_OTHER_OWNER)
    hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
}

static void
task_durable (HzbTask *task, gpointer jobs)
{
  if (task->state == HZB_TASK_FINISHED)
    hzb_task_set_state (jobs, task, HZB_TASK_DONE, NULL);
}

/* Every task that may be on the machine is of a job that is known here, and nowhere else in the shard. */
static gboolean
knows_all_held (HzbLeaseholder *leaseholder, const HzbMachineLease *lease)
{
  HzbJobs *jobs = leaseholder->controller->jobs;
  gboolean known = TRUE;

  for (guint i = 0; lease->holds && i < lease->holds->len; i++)
    {
      const HzbHeldTask *held = &g_array_index (lease->holds, HzbHeldTask, i);
      HzbJob *job = held->uid ? hzb_jobs_find (jobs, held->uid) : NULL;
      const HzbTask *task;
      if (job && job->state == HZB_JOB_ACCEPTED)
        hzb_jobs_activate (jobs, job);
      task = hzb_tasks_find (jobs, held->uid, held->number);
      known = known && task && task->state == HZB_TASK_OTHER_OWNER;
    }
  return known;
}

/* It holds a task of a job that is not in this node's replica yet, or over: back it goes, as it came. */
static void
refuse_machine (HzbLeaseholder *leaseholder, HzbMachineLease *lease)
{
  g_autoptr (HzbMachineReturn) returned = hzb_machine_return_new (
      lease->name, "it holds tasks of jobs that are not known here", lease->agent_epoch, lease->sequence);
  g_array_unref (returned->lost);
  returned->lost = g_array_ref (lease->holds);
  hzb_outbox_push (&leaseholder->out, hzb_machine_return_encode (returned));
}

static void
put_on_machine (HzbLeaseholder *leaseholder, const HzbHeldTask *held, HzbMachine *machine)
{
  HzbJobs *jobs = leaseholder->controller->jobs;
  HzbTask *task = hzb_tasks_find (jobs, held->uid, held->number);

  hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
  g_queue_remove (&task->job->retry, task);
  task->attempt = held->attempt;
  hzb_task_set_state (jobs, task, held->runs ? HZB_TASK_RUNNING : HZB_TASK_FETCHING, machine);
}

/* A machine, with the tasks that may be on it. Nothing is concluded from it until it has reported under our fencing token. */
static void
receive_machine (HzbLeaseholder *leaseholder, HzbMachineLease *lease)
{
  HzbController *controller = leaseholder->controller;
  HzbMachine *machine;

  if (!knows_all_held (leaseholder, lease))
    {
      refuse_machine (leaseholder, lease);
      return;
    }
  machine = hzb_machines_add (controller->machines, lease->name, lease->addr, lease->type, lease->zone, lease->spot,
                              lease->holds ? HZB_MACHINE_UNVERIFIED : HZB_MACHINE_BOOTING);
  machine->recorded = machine->known_to_cloud = TRUE;
  hzb_machine_set_fencing_token (machine, leaseholder->fencing_token);
  machine->agent_epoch = lease->agent_epoch;
  machine->sequence = lease->sequence;
  machine->last_heartbeat = hzb_clock_now (controller->clock);
  for (guint i = 0; lease->holds && i < lease->holds->len; i++)
    put_on_machine (leaseholder, &g_array_index (lease->holds, HzbHeldTask, i), machine);
}

/* Tasks that the leader delegates. Those of jobs that are not in this node's replica yet, or over, go back. */
static void
receive_tasks (HzbLeaseholder *leaseholder, const cJSON *groups)
{
  HzbController *controller = leaseholder->controller;
  cJSON *unknown = NULL;
  const cJSON *group;

  cJSON_ArrayForEach (group, groups)
    {
      HzbJob *job = hzb_jobs_find (controller->jobs, group->string);
      if (job && job->state == HZB_JOB_ACCEPTED)
        hzb_jobs_activate (controller->jobs, job);
      if (job && job->tasks)
        continue;
      if (!unknown)
        unknown = cJSON_CreateObject ();
      cJSON_AddItemToObject (unknown, group->string, cJSON_Duplicate (group, TRUE));
    }
  if (unknown)
    {
      cJSON *body = cJSON_CreateObject ();
      cJSON_AddItemToObject (body, "returned", unknown);
      hzb_outbox_push (&leaseholder->out, body);
    }
  hzb_tasks_each (controller->jobs, groups, task_delegated, controller->jobs);
}

static void
apply_recall (HzbLeaseholder *leaseholder, const HzbRecall *recall)
{
  HzbMachine *machine = hzb_machines_find (leaseholder->controller->machines, recall->machine);
  if (!machine)
    return;
  machine->recall_requested = machine->scale_in_candidate = recall->back;
  machine->recall_at_once = recall->at_once;
}

static void
apply_batch (HzbLeaseholder *leaseholder, const cJSON *batch)
{
  HzbController *controller = leaseholder->controller;
  const cJSON *tasks = cJSON_GetObjectItemCaseSensitive (batch, "tasks");
  g_autoptr (HzbMachineLease) lease = hzb_machine_lease_decode (batch);
  HzbRecall recall;
  HzbJob *cancelled =
      hzb_json_text (batch, "cancelled") ? hzb_jobs_find (controller->jobs, hzb_json_text (batch, "cancelled")) : NULL;

  if (cancelled && cancelled->state == HZB_JOB_ACCEPTED)
    cancelled->state = HZB_JOB_CANCELLED; /* as its record is, which this node may not have seen yet */
  if (tasks)
    receive_tasks (leaseholder, tasks);
  hzb_tasks_each (controller->jobs, cJSON_GetObjectItemCaseSensitive (batch, "durable"), task_durable,
                  controller->jobs);
  if (lease && !hzb_machines_find (controller->machines, lease->name))
    receive_machine (leaseholder, lease);
  if (hzb_recall_decode (batch, &recall))
    apply_recall (leaseholder, &recall);
}

/* The shard's term was raised: nothing is concluded from its machines until they have reported under it. */
static void
raise_fencing_token (HzbLeaseholder *leaseholder, guint64 fencing_token)
{
  HzbController *controller = leaseholder->controller;
  leaseholder->fencing_token = controller->shard->fencing_token = fencing_token;
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      hzb_machine_set_fencing_token (machine, fencing_token);
    }
}

/* The answer is to a poll of the ownership that is, and from the leader that is. */
static gboolean
answer_counts (const HzbLeaseholder *leaseholder, const HzbShardAnswer *answer)
{
  const HzbController *controller = leaseholder->controller;
  /* Guards against an answer to a poll of before this node let go of its shard: it would hold the shard again without what
   * it had been sent before, and the leader would go on believing that all of it is in good hands. */
  return leaseholder->polled_epoch == hzb_ownership_epoch (controller->ownership)
         && !hzb_election_leading (controller->election)
         && answer->term == hzb_election_leader_term (controller->election);
}

static void
apply_batches (HzbLeaseholder *leaseholder, const cJSON *batches)
{
  HzbController *controller = leaseholder->controller;
  const cJSON *batch;

  cJSON_ArrayForEach (batch, batches)
    if (hzb_json_u64 (batch, "n") == leaseholder->in_number + 1)
      {
        leaseholder->in_number++;
        apply_batch (leaseholder, batch);
      }
  if (!cJSON_GetArraySize (batches))
    return;
  hzb_dispatch_run (controller->dispatch, hzb_clock_now (controller->clock));
  poll_soon (leaseholder);
}

static void
apply_answer (HzbLeaseholder *leaseholder, const HzbShardAnswer *answer, const cJSON *batches)
{
  HzbController *controller = leaseholder->controller;

  if (answer->end)
    {
      hzb_controller_end_leased (controller, "the leader took the block back");
      return;
    }
  if (!answer->fencing_token)
    return;
  if (hzb_ownership_state (controller->ownership) == HZB_OWNERSHIP_NONE
      && hzb_kv_replica_state (controller->kv_replica) == HZB_KV_REPLICA_FOLLOWING)
    {
      leaseholder->fencing_token = answer->fencing_token;
      hzb_controller_begin_leased (controller, answer->fencing_token);
    }
  else if (!hzb_ownership_is_leaseholder (controller->ownership))
    return;
  else if (answer->fencing_token > leaseholder->fencing_token)
    raise_fencing_token (leaseholder, answer->fencing_token);
  leaseholder->last_answer = hzb_clock_now (controller->clock);
  /* From when it was asked for: after standing still the answer may be old. */
  leaseholder->valid_until = hzb_time_plus (leaseholder->requests, answer->lease_s);
  hzb_outbox_acknowledged (&leaseholder->out, answer->have);
  apply_batches (leaseholder, batches);
}

static void
on_answer (guint status, const char *body, gsize length, gpointer user)
{
  HzbLeaseholder *leaseholder = user;
  cJSON *root = status == 200 ? cJSON_ParseWithLength (body, length) : NULL;
  HzbShardAnswer answer;

  leaseholder->polling = FALSE;
  if (!root)
    return;
  hzb_shard_answer_decode (root, &answer);
  hzb_cancellations_handle_response (leaseholder->controller->cancellations, answer.term, root);
  if (answer_counts (leaseholder, &answer))
    apply_answer (leaseholder, &answer, cJSON_GetObjectItemCaseSensitive (root, "batches"));
  cJSON_Delete (root);
}

/* CPUs' worth of tasks that the shard could start now, and a little beyond. */
static double
room (HzbController *controller)
{
  double free = 0, all = 0, queued = 0;
  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      const HzbMachine *machine = controller->machines->all->pdata[i];
      if (!hzb_machine_usable (machine))
        continue;
      free += MAX (0, machine->type->cpus - machine->cpus);
      all += machine->type->cpus;
    }
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      const HzbJob *job = controller->jobs->active->pdata[i];
      queued += (job->queued + job->pending) * job->spec->cpus;
    }
  return free + PREFETCH_PART * all - queued;
}

/* How many tasks of each job are on machines that the leader asked back. Returns: (transfer full): HzbJob -> count */
static GHashTable *
count_leaving (const HzbController *controller)
{
  GHashTable *counts = g_hash_table_new (NULL, NULL);

  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      const HzbMachine *machine = controller->machines->all->pdata[i];
      for (guint k = 0; machine->recall_requested && k < machine->tasks->len; k++)
        {
          HzbJob *job = ((HzbTask *) machine->tasks->pdata[k])->job;
          guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, job));
          g_hash_table_insert (counts, job, GUINT_TO_POINTER (count + 1));
        }
    }
  return counts;
}

/* How many tasks of each job run in the shard, and are about to leave it. All jobs if they fit; of more some with each poll,
 * in turn, and then those of which nothing runs are named too, since what is not named stays as it was. */
static void
pack_counts (HzbLeaseholder *leaseholder, cJSON *message)
{
  const HzbController *controller = leaseholder->controller;
  const GPtrArray *jobs = controller->jobs->active;
  g_autoptr (GHashTable) leaving_counts = count_leaving (controller);
  cJSON *leaving = cJSON_AddObjectToObject (message, "leaving"),
        *running = cJSON_AddObjectToObject (message, "running");
  gboolean partial = jobs->len > COUNTS_PER_POLL;
  guint first = partial ? leaseholder->next_counted % jobs->len : 0;

  for (guint i = 0; i < MIN (jobs->len, COUNTS_PER_POLL); i++)
    {
      const HzbJob *job = jobs->pdata[(first + i) % jobs->len];
      guint leave = GPOINTER_TO_UINT (g_hash_table_lookup (leaving_counts, job));
      if (leave || partial)
        cJSON_AddNumberToObject (leaving, job->uid, leave);
      if (job->running || partial)
        cJSON_AddNumberToObject (running, job->uid, job->running);
    }
  if (partial)
    cJSON_AddTrueToObject (message, "partial");
  leaseholder->next_counted = first + COUNTS_PER_POLL;
}

static void
poll_leader (HzbLeaseholder *leaseholder, struct timespec now)
{
  HzbController *controller = leaseholder->controller;
  const char *leader = hzb_election_leader (controller->election), *addr = NULL;
  cJSON *root;

  for (guint i = 0; leader && i < controller->settings->peers->len; i++)
    if (g_str_equal (((HzbPeer *) controller->settings->peers->pdata[i])->node, leader))
      addr = ((HzbPeer *) controller->settings->peers->pdata[i])->address;
  if (!addr || hzb_kv_replica_state (controller->kv_replica) != HZB_KV_REPLICA_FOLLOWING)
    return;
  leaseholder->polling = TRUE;
  leaseholder->polled_epoch = hzb_ownership_epoch (controller->ownership);
  leaseholder->requests = now;
  root = hzb_peers_message (controller->peers, HZB_PEER_SHARD_POLL);
  hzb_cancellations_add_request (controller->cancellations, root);
  if (hzb_ownership_is_leaseholder (controller->ownership))
    {
      hzb_json_add_u64 (root, "token", leaseholder->fencing_token);
      hzb_json_add_u64 (root, "have", leaseholder->in_number);
      cJSON_AddItemToObject (root, "events", hzb_outbox_pack (&leaseholder->out, MAX_EVENT_BYTES));
      cJSON_AddNumberToObject (root, "room", hzb_leaseholder_valid (leaseholder) ? room (controller) : 0);
      pack_counts (leaseholder, root);
    }
  hzb_send (controller->transport, "POST", addr, "/peer/v1/block", cJSON_PrintUnformatted (root), POLL_TIMEOUT_MS,
            on_answer, leaseholder);
  cJSON_Delete (root);
}

/* Tasks on their way back, in messages that are not too large. */
typedef struct
{
  HzbLeaseholder *leaseholder;
  cJSON *groups; /* NULL: none yet */
  guint tasks;
} ReturnedTasks;

static void
push_returned (ReturnedTasks *returned)
{
  cJSON *body;
  if (!returned->groups)
    return;
  body = cJSON_CreateObject ();
  cJSON_AddItemToObject (body, "returned", returned->groups);
  hzb_outbox_push (&returned->leaseholder->out, body);
  returned->groups = NULL;
  returned->tasks = 0;
}

static void
return_task (ReturnedTasks *returned, HzbTask *task)
{
  HzbJobs *jobs = returned->leaseholder->controller->jobs;

  if (task->state == HZB_TASK_QUEUED)
    hzb_task_set_state (jobs, task, HZB_TASK_PENDING, NULL);
  g_queue_remove (&task->job->retry, task);
  hzb_task_set_state (jobs, task, HZB_TASK_OTHER_OWNER, NULL);
  if (!returned->groups)
    returned->groups = cJSON_CreateObject ();
  hzb_tasks_add (returned->groups, task);
  if (++returned->tasks >= RETURNED_PER_EVENT)
    push_returned (returned);
}

/* Tasks that have not started for a while, and those of jobs that are over, go back. */
static void
return_unstarted_tasks (HzbLeaseholder *leaseholder, struct timespec now)
{
  HzbController *controller = leaseholder->controller;
  ReturnedTasks returned = { leaseholder, NULL, 0 };

  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      HzbJob *job = controller->jobs->active->pdata[i];
      gboolean over = job->state != HZB_JOB_ACCEPTED;
      for (guint k = 0; (job->pending || job->queued) && k < job->n_tasks; k++)
        {
          HzbTask *task = &job->tasks[k];
          if ((task->state == HZB_TASK_PENDING || task->state == HZB_TASK_QUEUED)
              && (over || hzb_time_between (task->since, now) >= UNSTARTED_TTL_S))
            return_task (&returned, task);
        }
      if (over && !job->placed && !job->pending && !job->queued)
        {
          hzb_jobs_retire (controller->jobs, job);
          i--;
        }
    }
  push_returned (&returned);
}

static void
maintain_machines (HzbLeaseholder *leaseholder, struct timespec now)
{
  HzbController *controller = leaseholder->controller;
  for (guint i = controller->machines->all->len; i-- > 0;)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      double quiet = hzb_time_between (machine->last_heartbeat, now);
      if (quiet > 3 * controller->settings->heartbeat_interval_s)
        hzb_leaseholder_return_machine (leaseholder, machine, "it is silent");
      else if (machine->unreachable)
        hzb_leaseholder_return_machine (leaseholder, machine, "it does not seem to hear its answers");
      else if (machine->scale_in_requested && machine->tasks->len == 0)
        hzb_leaseholder_return_machine (leaseholder, machine, "it fails what it starts");
      else if (machine->state == HZB_MACHINE_DRAINING && machine->tasks->len == 0)
        {
          machine->scale_in_requested = TRUE;
          hzb_leaseholder_return_machine (leaseholder, machine, "the cloud takes it back");
        }
      else if (machine->recall_requested
               && (machine->tasks->len == 0 || (machine->recall_at_once && machine->state == HZB_MACHINE_ACTIVE)))
        hzb_leaseholder_return_machine (leaseholder, machine, "the leader asked for it");
      else if (machine->state == HZB_MACHINE_ACTIVE && machine->tasks->len == 0
               && hzb_machine_queued_tasks (machine) == 0 && hzb_time_between (machine->idle_since, now) > IDLE_S)
        hzb_leaseholder_return_machine (leaseholder, machine, "it has nothing to do");
    }
}

void
hzb_leaseholder_tick (HzbLeaseholder *leaseholder, struct timespec now)
{
  HzbController *controller = leaseholder->controller;

  if (hzb_election_leading (controller->election))
    return;
  if (hzb_ownership_is_leaseholder (controller->ownership)
      && (hzb_election_leader_term (controller->election) != hzb_fencing_token_term (leaseholder->fencing_token)))
    hzb_controller_end_leased (controller, "another leads");
  if (hzb_ownership_is_leaseholder (controller->ownership) && !hzb_leaseholder_valid (leaseholder))
    hzb_controller_end_leased (controller, "the lease is over");
  if (hzb_ownership_is_leaseholder (controller->ownership)
      && hzb_time_between (leaseholder->last_answer, now) > LEASE_ABANDON_S)
    hzb_controller_end_leased (controller, "the leader does not answer");
  if (hzb_ownership_is_leaseholder (controller->ownership))
    {
      maintain_machines (leaseholder, now);
      if (!hzb_time_before (now, leaseholder->next_maintenance))
        {
          leaseholder->next_maintenance = hzb_time_plus (now, MAINTAIN_EVERY_S);
          return_unstarted_tasks (leaseholder, now);
        }
    }
  if (hzb_election_leader (controller->election) && !leaseholder->polling
      && !hzb_time_before (now, leaseholder->next_poll))
    {
      leaseholder->next_poll = hzb_time_plus (now, POLL_INTERVAL_S);
      poll_leader (leaseholder, now);
    }
}

/* Called when ownership as a leaseholder begins or ends. */
void
hzb_leaseholder_clear (HzbLeaseholder *leaseholder)
{
  hzb_outbox_clear (&leaseholder->out);
  leaseholder->in_number = 0;
}
