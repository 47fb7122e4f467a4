#include "shard-poll-messages.h"

#include "cancellation-messages.h"
#include "json.h"

static const cJSON *
get_member (const cJSON *message, const char *name)
{
  return cJSON_GetObjectItemCaseSensitive (message, name);
}

/* ---- batches ---- */

HzbShardBatch *
hzb_shard_batch_new (void)
{
  return g_new0 (HzbShardBatch, 1);
}

void
hzb_shard_batch_free (HzbShardBatch *batch)
{
  g_clear_pointer (&batch->lease, hzb_machine_lease_free);
  g_clear_pointer (&batch->recall, hzb_recall_free);
  g_clear_pointer (&batch->delegated, g_array_unref);
  g_clear_pointer (&batch->durable, g_array_unref);
  g_free (batch->cancelled_uid);
  g_free (batch);
}

cJSON *
hzb_shard_batch_encode (const HzbShardBatch *batch)
{
  cJSON *message = batch->lease    ? hzb_machine_lease_encode (batch->lease)
                   : batch->recall ? hzb_recall_encode (batch->recall)
                                   : cJSON_CreateObject ();
  if (batch->delegated)
    cJSON_AddItemToObject (message, "tasks", hzb_task_groups_encode (batch->delegated));
  if (batch->durable)
    cJSON_AddItemToObject (message, "durable", hzb_task_groups_encode (batch->durable));
  if (batch->cancelled_uid)
    cJSON_AddStringToObject (message, "cancelled", batch->cancelled_uid);
  hzb_json_add_u64 (message, "n", batch->message.number);
  return message;
}

HzbShardBatch *
hzb_shard_batch_decode (const cJSON *message)
{
  HzbShardBatch *batch = hzb_shard_batch_new ();
  batch->message.number = hzb_json_u64 (message, "n");
  batch->lease = hzb_machine_lease_decode (message);
  batch->recall = hzb_recall_decode (message);
  batch->delegated = hzb_task_groups_decode (get_member (message, "tasks"));
  batch->durable = hzb_task_groups_decode (get_member (message, "durable"));
  batch->cancelled_uid = g_strdup (hzb_json_text (message, "cancelled"));
  return batch;
}

/* ---- events ---- */

HzbShardEvent *
hzb_shard_event_new (void)
{
  return g_new0 (HzbShardEvent, 1);
}

void
hzb_shard_event_free (HzbShardEvent *event)
{
  g_clear_pointer (&event->finished, g_array_unref);
  g_clear_pointer (&event->returned, g_array_unref);
  g_clear_pointer (&event->machine, hzb_machine_return_free);
  g_free (event);
}

cJSON *
hzb_shard_event_encode (const HzbShardEvent *event)
{
  cJSON *message = event->machine ? hzb_machine_return_encode (event->machine) : cJSON_CreateObject ();
  if (event->finished)
    {
      cJSON_AddItemToObject (message, "finished", hzb_task_groups_encode (event->finished));
      cJSON_AddNumberToObject (message, "ranS", event->ran_s);
    }
  if (event->returned)
    cJSON_AddItemToObject (message, "returned", hzb_task_groups_encode (event->returned));
  hzb_json_add_u64 (message, "n", event->message.number);
  return message;
}

HzbShardEvent *
hzb_shard_event_decode (const cJSON *message)
{
  HzbShardEvent *event = hzb_shard_event_new ();
  event->message.number = hzb_json_u64 (message, "n");
  event->finished = hzb_task_groups_decode (get_member (message, "finished"));
  event->ran_s = hzb_json_number (message, "ranS", 0);
  event->returned = hzb_task_groups_decode (get_member (message, "returned"));
  event->machine = hzb_machine_return_decode (message);
  return event;
}

/* ---- counts of tasks by job ---- */

static void
job_count_clear (gpointer data)
{
  g_free (((HzbJobCount *) data)->uid);
}

GArray *
hzb_job_counts_new (void)
{
  GArray *counts = g_array_new (FALSE, FALSE, sizeof (HzbJobCount));
  g_array_set_clear_func (counts, job_count_clear);
  return counts;
}

void
hzb_job_counts_add (GArray *counts, const char *uid, guint count)
{
  HzbJobCount entry = { g_strdup (uid), count };
  g_array_append_val (counts, entry);
}

static cJSON *
job_counts_encode (const GArray *counts)
{
  cJSON *message = cJSON_CreateObject ();
  for (guint i = 0; i < counts->len; i++)
    {
      const HzbJobCount *count = &g_array_index (counts, HzbJobCount, i);
      cJSON_AddNumberToObject (message, count->uid, count->count);
    }
  return message;
}

static GArray *
job_counts_decode (const cJSON *message)
{
  GArray *counts = hzb_job_counts_new ();
  const cJSON *item;
  cJSON_ArrayForEach (item, message)
    if (item->string && cJSON_IsNumber (item) && item->valueint >= 0)
      hzb_job_counts_add (counts, item->string, (guint) item->valueint);
  return counts;
}

/* ---- polls ---- */

HzbShardPoll *
hzb_shard_poll_new (void)
{
  HzbShardPoll *poll = g_new0 (HzbShardPoll, 1);
  poll->recalled_counts = hzb_job_counts_new ();
  poll->running_counts = hzb_job_counts_new ();
  return poll;
}

void
hzb_shard_poll_free (HzbShardPoll *poll)
{
  g_free (poll->node);
  g_free (poll->incarnation);
  g_clear_pointer (&poll->cancellations, g_array_unref);
  g_clear_pointer (&poll->events, g_ptr_array_unref);
  g_array_unref (poll->recalled_counts);
  g_array_unref (poll->running_counts);
  g_free (poll);
}

void
hzb_shard_poll_encode (const HzbShardPoll *poll, cJSON *message)
{
  cJSON *events;

  if (poll->cancellations)
    hzb_cancellation_request_encode (poll->cancellations, message);
  if (!poll->fencing_token)
    return;
  hzb_json_add_u64 (message, "token", poll->fencing_token);
  hzb_json_add_u64 (message, "have", poll->last_batch_applied);
  events = cJSON_AddArrayToObject (message, "events");
  for (guint i = 0; poll->events && i < poll->events->len; i++)
    cJSON_AddItemToArray (events, hzb_shard_event_encode (poll->events->pdata[i]));
  cJSON_AddNumberToObject (message, "room", poll->requested_cpus);
  cJSON_AddItemToObject (message, "leaving", job_counts_encode (poll->recalled_counts));
  cJSON_AddItemToObject (message, "running", job_counts_encode (poll->running_counts));
  if (poll->partial_counts)
    cJSON_AddTrueToObject (message, "partial");
}

HzbShardPoll *
hzb_shard_poll_decode (const cJSON *message)
{
  HzbShardPoll *poll = g_new0 (HzbShardPoll, 1);
  const cJSON *event;

  poll->node = g_strdup (hzb_json_text (message, "node"));
  poll->incarnation = g_strdup (hzb_json_text (message, "incarnation"));
  poll->cancellations = hzb_cancellation_request_decode (message);
  poll->fencing_token = hzb_json_u64 (message, "token");
  poll->last_batch_applied = hzb_json_u64 (message, "have");
  poll->events = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_shard_event_free);
  cJSON_ArrayForEach (event, get_member (message, "events"))
    g_ptr_array_add (poll->events, hzb_shard_event_decode (event));
  poll->requested_cpus = hzb_json_number (message, "room", 0);
  poll->recalled_counts = job_counts_decode (get_member (message, "leaving"));
  poll->running_counts = job_counts_decode (get_member (message, "running"));
  poll->partial_counts = cJSON_IsTrue (get_member (message, "partial"));
  return poll;
}

/* ---- answers ---- */

void
hzb_shard_answer_clear (HzbShardAnswer *answer)
{
  g_clear_pointer (&answer->acknowledged_uids, g_strfreev);
  g_clear_pointer (&answer->batches, g_ptr_array_unref);
}

/* The order of the members stays as it was in earlier versions, because behaviour traces of different versions are
 * compared byte by byte. */
void
hzb_shard_answer_encode (const HzbShardAnswer *answer, cJSON *message)
{
  cJSON *batches = answer->batches ? cJSON_CreateArray () : NULL;

  if (answer->acknowledged_uids)
    hzb_cancellation_response_encode (answer->acknowledged_uids, message);
  for (guint i = 0; batches && i < answer->batches->len; i++)
    cJSON_AddItemToArray (batches, hzb_shard_batch_encode (answer->batches->pdata[i]));
  if (batches)
    cJSON_AddItemToObject (message, "batches", batches);
  hzb_json_add_u64 (message, "term", answer->term);
  if (answer->reclaimed)
    {
      cJSON_AddTrueToObject (message, "end");
      return;
    }
  hzb_json_add_u64 (message, "token", answer->fencing_token);
  hzb_json_add_u64 (message, "have", answer->last_event_applied);
  cJSON_AddNumberToObject (message, "leaseS", answer->lease_s);
}

void
hzb_shard_answer_decode (const cJSON *message, HzbShardAnswer *answer)
{
  const cJSON *batch;

  answer->acknowledged_uids = hzb_cancellation_response_decode (message);
  answer->batches = g_ptr_array_new_with_free_func ((GDestroyNotify) hzb_shard_batch_free);
  cJSON_ArrayForEach (batch, get_member (message, "batches"))
    g_ptr_array_add (answer->batches, hzb_shard_batch_decode (batch));
  answer->term = hzb_json_u64 (message, "term");
  answer->reclaimed = cJSON_IsTrue (get_member (message, "end"));
  answer->fencing_token = hzb_json_u64 (message, "token");
  answer->last_event_applied = hzb_json_u64 (message, "have");
  answer->lease_s = hzb_json_number (message, "leaseS", 0);
}
