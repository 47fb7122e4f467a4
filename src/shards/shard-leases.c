/* Shards that the leader leases to the other controllers: machines, and the unstarted tasks that they have room for.
 *
 * A leaseholder asks the leader twice a second; the answer renews its lease and brings, in numbered batches that are
 * repeated until they are acknowledged, machines, tasks and news of what has become durable. The question brings
 * events, numbered and repeated likewise: tasks finished, tasks given back, machines given back.
 *
 * Safety does not rest on the lease's time. A delegated task counts as running until the leaseholder gives it back or has
 * finished it. A shard that is taken back leaves its machines unverified, under a higher fencing token, and its tasks unknown:
 * they start elsewhere only once every machine that might hold them has answered under that fencing token or is gone. The
 * leaseholder starts what it was delegated on the shard's machines only, so there is nothing that this wait does not cover.
 * A leaseholder frees a task only by a newer report under its own fencing token; of an unreachable machine it concludes nothing and
 * gives it back.
 *
 * This file is the leader's part; leaseholder.c is the other side. */
#include "controller-private.h"
#include "json.h"
#include "shard-leases-private.h"
#include "user-protocol.h"

#define LEASE_S 10.0 /* as the design page starts with */
#define MISSED_S 4.0 /* the leader takes a shard back when its leaseholder has not polled for so long */

HzbShardLeases *
hzb_shard_leases_new (HzbController *controller)
{
  HzbShardLeases *shard_leases = g_new0 (HzbShardLeases, 1);
  shard_leases->controller = controller;
  shard_leases->leaseholders = g_array_new (FALSE, TRUE, sizeof (HzbLeaseholderView));
  shard_leases->cpus = g_new0 (double, controller->settings->peers->len + 1);
  for (guint i = 0; i < controller->settings->peers->len; i++)
    {
      HzbLeaseholderView leaseholder = { .shard_leases = shard_leases,
                                         .id = (guint8) (i + 1),
                                         .peer = controller->settings->peers->pdata[i] };
      leaseholder.running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      leaseholder.leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      leaseholder.kinds = g_ptr_array_new ();
      g_array_append_val (shard_leases->leaseholders, leaseholder);
    }
  return shard_leases;
}

void
hzb_shard_leases_reset (HzbShardLeases *shard_leases)
{
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      HzbLeaseholderView *leaseholder = &g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i);
      hzb_outbox_clear (&leaseholder->out);
      g_clear_pointer (&leaseholder->incarnation, g_free);
      g_hash_table_remove_all (leaseholder->running);
      g_hash_table_remove_all (leaseholder->leaving);
      leaseholder->fencing_token = leaseholder->in_number = leaseholder->acknowledged = 0;
      leaseholder->holds = FALSE;
      leaseholder->requests = leaseholder->steady_since = (struct timespec){ 0 };
    }
  shard_leases->fencing_tokens = 0;
  shard_leases->scanned_at = (struct timespec){ 0 };
}

void
hzb_shard_leases_free (HzbShardLeases *shard_leases)
{
  hzb_shard_leases_reset (shard_leases);
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      g_hash_table_unref (g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i).running);
      g_hash_table_unref (g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i).leaving);
      g_ptr_array_unref (g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i).kinds);
    }
  g_array_unref (shard_leases->leaseholders);
  g_free (shard_leases->cpus);
  g_free (shard_leases);
}

guint64
hzb_shard_leases_next_fencing_token (HzbShardLeases *shard_leases)
{
  return hzb_fencing_token (hzb_election_term (shard_leases->controller->election), ++shard_leases->fencing_tokens);
}

const char *
hzb_shard_leases_leaseholder_name (HzbShardLeases *shard_leases, const HzbMachine *machine)
{
  return machine->leaseholder ? hzb_shard_leases_leaseholder (shard_leases, machine->leaseholder)->peer->node : NULL;
}

/* A job's count of this leaseholder is no more part of the sum. */
static void
subtract_count (HzbShardLeases *shard_leases, glong member, const char *uid, guint count)
{
  HzbJob *job = hzb_jobs_find (shard_leases->controller->jobs, uid);
  if (job && G_STRUCT_MEMBER (guint, job, member) >= count)
    G_STRUCT_MEMBER (guint, job, member) -= count;
}

static void
clear_counts (HzbShardLeases *shard_leases, GHashTable *counts, glong member)
{
  GHashTableIter iter;
  gpointer uid, count;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &uid, &count))
    subtract_count (shard_leases, member, uid, GPOINTER_TO_UINT (count));
  g_hash_table_remove_all (counts);
}

/* What a leaseholder says of its tasks, by job, beside what the others say: a member of the job has the sum. What a partial message
 * does not name stays as it was. */
static void
set_counts (HzbShardLeases *shard_leases, GHashTable *counts, glong member, const cJSON *said, gboolean partial)
{
  const cJSON *item;

  if (!partial)
    clear_counts (shard_leases, counts, member);
  cJSON_ArrayForEach (item, said)
    {
      HzbJob *job = hzb_jobs_find (shard_leases->controller->jobs, item->string);
      if (!cJSON_IsNumber (item) || item->valueint < 0 || !job || !job->tasks)
        continue;
      subtract_count (shard_leases, member, item->string,
                      GPOINTER_TO_UINT (g_hash_table_lookup (counts, item->string)));
      G_STRUCT_MEMBER (guint, job, member) += (guint) item->valueint;
      g_hash_table_insert (counts, g_strdup (item->string), GUINT_TO_POINTER ((guint) item->valueint));
    }
}

/* poll: NULL, nothing of it runs or leaves any more. */
static void
set_running (HzbShardLeases *shard_leases, HzbLeaseholderView *leaseholder, const cJSON *poll)
{
  gboolean partial = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (poll, "partial"));
  set_counts (shard_leases, leaseholder->running, G_STRUCT_OFFSET (HzbJob, delegated_running),
              cJSON_GetObjectItemCaseSensitive (poll, "running"), partial);
  set_counts (shard_leases, leaseholder->leaving, G_STRUCT_OFFSET (HzbJob, delegated_leaving),
              cJSON_GetObjectItemCaseSensitive (poll, "leaving"), partial);
}

static void
reclaim_shard (HzbShardLeases *shard_leases, HzbLeaseholderView *leaseholder, const char *why)
{
  HzbController *controller = shard_leases->controller;
  guint64 fencing_token = hzb_shard_leases_next_fencing_token (shard_leases);
  guint machines = 0, tasks = 0;

  for (guint i = 0; i < controller->machines->all->len; i++)
    {
      HzbMachine *machine = controller->machines->all->pdata[i];
      if (machine->state != HZB_MACHINE_LEASED || machine->leaseholder != leaseholder->id)
        continue;
      hzb_machine_unverify (controller->machines, machine, fencing_token, why);
      machine->unconfirmed_tasks_of = leaseholder->id;
      machines++;
    }
  for (guint i = 0; i < controller->jobs->active->len; i++)
    {
      HzbJob *job = controller->jobs->active->pdata[i];
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        if (job->tasks[k].state == HZB_TASK_DELEGATED && job->tasks[k].leaseholder == leaseholder->id)
          {
            hzb_task_set_state (controller->jobs, &job->tasks[k], HZB_TASK_UNCONFIRMED, NULL);
            tasks++;
          }
    }
  set_running (shard_leases, leaseholder, NULL);
  g_message ("block of %s is taken back with %u machines and %u tasks: %s", leaseholder->peer->node, machines, tasks,
             why);
  hzb_outbox_clear (&leaseholder->out);
  leaseholder->fencing_token = leaseholder->in_number = leaseholder->acknowledged = 0;
  leaseholder->holds = FALSE;
  leaseholder->steady_since = hzb_clock_now (controller->clock);
}

void
hzb_shard_leases_announce_durable (HzbShardLeases *shard_leases, HzbTask *task)
{
  HzbLeaseholderView *leaseholder = hzb_shard_leases_leaseholder (shard_leases, task->leaseholder);
  cJSON *body;

  task->leaseholder = 0;
  if (!leaseholder || !leaseholder->fencing_token)
    return;
  body = hzb_outbox_unsent (&leaseholder->out, "durable");
  if (!body)
    {
      body = cJSON_CreateObject ();
      cJSON_AddObjectToObject (body, "durable");
      hzb_outbox_push (&leaseholder->out, body);
    }
  hzb_tasks_add (cJSON_GetObjectItemCaseSensitive (body, "durable"), task);
}

/* A leaseholder's own replica of the records may be behind, or cut off. */
void
hzb_shard_leases_announce_cancellation (HzbShardLeases *shard_leases, HzbJob *job)
{
  if (job->announced_to_leaseholders)
    return;
  job->announced_to_leaseholders = TRUE;
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      HzbLeaseholderView *leaseholder = &g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i);
      cJSON *body;
      if (!leaseholder->fencing_token)
        continue;
      body = cJSON_CreateObject ();
      cJSON_AddStringToObject (body, "cancelled", job->uid);
      hzb_outbox_push (&leaseholder->out, body);
    }
}

gboolean
hzb_shard_leases_all_acknowledged (HzbShardLeases *shard_leases, const HzbJob *job)
{
  for (guint i = 0; i < shard_leases->leaseholders->len; i++)
    {
      const HzbLeaseholderView *leaseholder = &g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i);
      if (!hzb_outbox_holds (&leaseholder->out, "cancelled", job->uid))
        continue;
      for (guint k = 0; job->placed && k < job->n_tasks; k++)
        if (job->tasks[k].state == HZB_TASK_DELEGATED && job->tasks[k].leaseholder == leaseholder->id)
          return FALSE;
    }
  return TRUE;
}

static void
task_finished (HzbTask *task, gpointer user)
{
  HzbLeaseholderView *leaseholder = user;
  HzbShardLeases *shard_leases = leaseholder->shard_leases;
  HzbController *controller = shard_leases->controller;
  if (task->state == HZB_TASK_DONE)
    {
      task->leaseholder = leaseholder->id; /* said again after a takeover: it may be reaped */
      hzb_shard_leases_announce_durable (shard_leases, task);
    }
  else if (task->state == HZB_TASK_FINISHED)
    task->leaseholder = leaseholder->id; /* of a machine that was handed over with its result */
  if (task->state != HZB_TASK_DELEGATED || task->leaseholder != leaseholder->id)
    return;
  task->job->did_well = TRUE;
  hzb_jobs_record_run_time (controller->jobs, task->job, leaseholder->ran_s);
  hzb_task_set_state (controller->jobs, task, HZB_TASK_FINISHED, NULL);
  task->job->dirty = TRUE;
  if (task->job->finished + task->job->done == task->job->n_tasks)
    hzb_records_complete_job (controller->records, task->job);
  else
    hzb_records_flush_soon (controller->records);
}

static void
task_returned (HzbTask *task, gpointer user)
{
  HzbLeaseholderView *leaseholder = user;
  if (task->state == HZB_TASK_DELEGATED && task->leaseholder == leaseholder->id)
    {
      hzb_task_set_state (leaseholder->shard_leases->controller->jobs, task, HZB_TASK_PENDING, NULL);
      task->leaseholder = 0;
    }
}

/* A machine that comes back with tasks: they are on it or nowhere, so nothing but its next report, or its end, is
 * waited for. */
static void
accept_returned_machine (HzbShardLeases *shard_leases, HzbLeaseholderView *leaseholder, HzbMachine *machine,
                         const HzbMachineReturn *returned)
{
  HzbController *controller = shard_leases->controller;

  hzb_machine_unverify (controller->machines, machine, hzb_shard_leases_next_fencing_token (shard_leases),
                        returned->why);
  machine->unconfirmed_tasks_of = HZB_UNCONFIRMED_TASKS_OF_NONE;
  machine->idle_since = hzb_clock_now (controller->clock);
  if (returned->faulty)
    machine->scale_in_requested = TRUE;
  /* The leaseholder's reports were newer than any copy of one that may still come here. */
  if (returned->agent_epoch >= machine->agent_epoch)
    {
      machine->sequence = returned->agent_epoch > machine->agent_epoch ? returned->sequence
                                                                       : MAX (machine->sequence, returned->sequence);
      machine->agent_epoch = returned->agent_epoch;
    }
  for (guint i = 0; i < returned->lost->len; i++)
    {
      const HzbHeldTask *held = &g_array_index (returned->lost, HzbHeldTask, i);
      HzbTask *task = hzb_tasks_find (controller->jobs, held->uid, held->number);
      if (!task || task->state != HZB_TASK_DELEGATED || task->leaseholder != leaseholder->id)
        continue;
      task->attempt = held->attempt;
      task->leaseholder = 0;
      hzb_task_set_state (controller->jobs, task, HZB_TASK_STARTING, machine);
    }
}

static void
handle_event (HzbShardLeases *shard_leases, HzbLeaseholderView *leaseholder, const cJSON *event)
{
  HzbController *controller = shard_leases->controller;
  g_autoptr (HzbMachineReturn) returned = hzb_machine_return_decode (event);

  leaseholder->ran_s = hzb_json_number (event, "ranS", 0);
  hzb_tasks_each (shard_leases->controller->jobs, cJSON_GetObjectItemCaseSensitive (event, "finished"), task_finished,
                  leaseholder);
  hzb_tasks_each (shard_leases->controller->jobs, cJSON_GetObjectItemCaseSensitive (event, "returned"), task_returned,
                  leaseholder);
  if (returned)
    {
      HzbMachine *machine = hzb_machines_find (controller->machines, returned->name);
      if (machine && machine->state == HZB_MACHINE_LEASED && machine->leaseholder == leaseholder->id)
        accept_returned_machine (shard_leases, leaseholder, machine, returned);
    }
}

void
hzb_shard_leases_request (HzbShardLeases *shard_leases, HzbHttpRequest *http_request, const cJSON *root)
{
  HzbController *controller = shard_leases->controller;
  const char *node = hzb_json_text (root, "node"), *incarnation = hzb_json_text (root, "incarnation");
  struct timespec now = hzb_clock_now (controller->clock);
  HzbLeaseholderView *leaseholder = NULL;
  const cJSON *event;
  cJSON *reply;
  guint64 fencing_token = hzb_json_u64 (root, "token");
  HzbShardAnswer answer = { .lease_s = LEASE_S };

  if (hzb_election_leading (controller->election))
    hzb_shards_scan (shard_leases, now);
  for (guint i = 0; node && i < shard_leases->leaseholders->len; i++)
    if (g_str_equal (g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i).peer->node, node))
      leaseholder = &g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i);
  if (!leaseholder || !incarnation || !hzb_election_leading (controller->election)
      || !hzb_ownership_leader_loaded (controller->ownership))
    {
      hzb_http_request_respond (http_request, 503, hzb_error_response_encode ("no blocks to lease here"), 0);
      return;
    }
  if (g_strcmp0 (leaseholder->incarnation, incarnation) != 0)
    {
      if (leaseholder->fencing_token)
        reclaim_shard (shard_leases, leaseholder, "its controller has started anew");
      g_free (leaseholder->incarnation);
      leaseholder->incarnation = g_strdup (incarnation);
      leaseholder->steady_since = now;
    }
  if (hzb_time_is_set (leaseholder->requests) && hzb_time_between (leaseholder->requests, now) > MISSED_S)
    leaseholder->steady_since = now;
  leaseholder->requests = now;
  if (fencing_token == leaseholder->fencing_token && fencing_token)
    leaseholder->holds = TRUE;
  else if (!fencing_token && leaseholder->holds)
    reclaim_shard (shard_leases, leaseholder, "it has let go");
  /* Guards against a leaseholder that holds the shard anew without what it was sent before (those of earlier versions could):
   * nothing in it would ever be heard of again. */
  if (fencing_token && fencing_token == leaseholder->fencing_token
      && hzb_json_u64 (root, "have") < leaseholder->acknowledged)
    reclaim_shard (shard_leases, leaseholder, "it has lost what it held");
  reply = cJSON_CreateObject ();
  answer.term = hzb_election_term (controller->election);
  hzb_cancellations_answer_request (controller->cancellations, root, reply);
  answer.end = fencing_token
               && (!leaseholder->fencing_token
                   || hzb_fencing_token_term (fencing_token) != answer.term); /* what it holds was taken back */
  if (!answer.end)
    {
      if (fencing_token)
        {
          /* An answer to an older question may have been lost: what it brought comes again. */
          leaseholder->acknowledged = MAX (leaseholder->acknowledged, hzb_json_u64 (root, "have"));
          hzb_outbox_acknowledged (&leaseholder->out, leaseholder->acknowledged);
          cJSON_ArrayForEach (event, cJSON_GetObjectItemCaseSensitive (root, "events"))
            if (hzb_json_u64 (event, "n") == leaseholder->in_number + 1)
              {
                leaseholder->in_number++;
                handle_event (shard_leases, leaseholder, event);
              }
          set_running (shard_leases, leaseholder, root);
          hzb_shards_recall_for_service (shard_leases, leaseholder);
          /* Only once it has all that was sent before, or its room would be filled twice. */
          if (!leaseholder->out.waiting.length)
            hzb_shards_delegate (shard_leases, leaseholder, hzb_json_number (root, "room", 0), now);
        }
      answer.fencing_token = leaseholder->fencing_token;
      answer.have = leaseholder->in_number;
      cJSON_AddItemToObject (reply, "batches", hzb_outbox_pack (&leaseholder->out, G_MAXSIZE));
    }
  hzb_shard_answer_encode (&answer, reply);
  {
    char *text = cJSON_PrintUnformatted (reply);
    cJSON_Delete (reply);
    hzb_http_request_respond (http_request, 200, text, 0);
  }
}

cJSON *
hzb_shard_leases_pack (HzbShardLeases *shard_leases)
{
  HzbController *controller = shard_leases->controller;
  cJSON *root = cJSON_CreateObject (), *list = cJSON_AddArrayToObject (root, "blocks");

  for (guint i = 0; i <= shard_leases->leaseholders->len; i++)
    {
      const HzbLeaseholderView *leaseholder =
          i ? &g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i - 1) : NULL;
      cJSON *shard = cJSON_CreateObject ();
      guint n = 0, delegated = 0;
      double cpus = 0;
      for (guint k = 0; k < controller->machines->all->len; k++)
        {
          const HzbMachine *machine = controller->machines->all->pdata[k];
          if (machine->type
              && (leaseholder ? machine->state == HZB_MACHINE_LEASED && machine->leaseholder == leaseholder->id
                              : machine->state == HZB_MACHINE_ACTIVE))
            {
              n++;
              cpus += machine->type->cpus;
            }
        }
      for (guint k = 0; leaseholder && k < controller->jobs->active->len; k++)
        {
          const HzbJob *job = controller->jobs->active->pdata[k];
          for (guint t = 0; job->placed && t < job->n_tasks; t++)
            delegated += job->tasks[t].state == HZB_TASK_DELEGATED && job->tasks[t].leaseholder == leaseholder->id;
        }
      cJSON_AddStringToObject (shard, "holder", leaseholder ? leaseholder->peer->node : controller->settings->node);
      hzb_json_add_u64 (shard, "token", leaseholder ? leaseholder->fencing_token : controller->shard->fencing_token);
      cJSON_AddNumberToObject (shard, "machines", n);
      cJSON_AddNumberToObject (shard, "cpus", cpus);
      if (leaseholder)
        cJSON_AddNumberToObject (shard, "tasksGranted", delegated);
      cJSON_AddItemToArray (list, shard);
    }
  return root;
}

void
hzb_shard_leases_tick (HzbShardLeases *shard_leases, struct timespec now)
{
  HzbController *controller = shard_leases->controller;

  for (guint i = 0; i < shard_leases->leaseholders->len && hzb_ownership_leader_loaded (controller->ownership); i++)
    {
      HzbLeaseholderView *leaseholder = &g_array_index (shard_leases->leaseholders, HzbLeaseholderView, i);
      if (leaseholder->fencing_token && hzb_time_between (leaseholder->requests, now) > MISSED_S)
        reclaim_shard (shard_leases, leaseholder, "its controller is silent");
    }
}
