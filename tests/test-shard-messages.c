/* Encoding and decoding of the messages between the leader and its leaseholders. The wire format must stay the same
 * as in earlier versions. */
#include "json.h"
#include "shard-messages.h"
#include "shard-poll-messages.h"
#include "shard-status-codec.h"

#include <string.h>

static const char lease_text[] =
    "{\"machine\":\"i-1\",\"addr\":\"10.1.0.1:1\",\"type\":\"small\",\"zone\":\"za\",\"spot\":true,\"session\":3,\"seq\":17,"
    "\"holds\":[{\"job\":\"run-000001\",\"task\":4,\"attempt\":18446744073709551615,\"runs\":true},{\"task\":2}]}";
static const char idle_lease_text[] =
    "{\"machine\":\"i-1\",\"addr\":\"\",\"type\":\"small\",\"zone\":\"za\",\"spot\":false,\"session\":3,\"seq\":17}";
static const char return_text[] =
    "{\"machine\":\"i-1\",\"why\":\"it is silent\",\"sick\":true,\"session\":3,\"seq\":18,"
    "\"lost\":[{\"job\":\"run-000001\",\"task\":4,\"attempt\":5,\"runs\":false}]}";

static char *
print_and_free (cJSON *message)
{
  char *text = cJSON_PrintUnformatted (message);
  cJSON_Delete (message);
  return text;
}

static void
test_leases (void)
{
  cJSON *message = cJSON_Parse (lease_text), *idle_message = cJSON_Parse (idle_lease_text);
  g_autoptr (HzbMachineLease) lease = hzb_machine_lease_decode (message),
                              idle_lease = hzb_machine_lease_decode (idle_message);
  const HzbHeldTask *held;
  g_autofree char *text = NULL;

  g_assert_cmpuint (lease->held_tasks->len, ==, 2);
  held = &g_array_index (lease->held_tasks, HzbHeldTask, 0);
  g_assert_cmpstr (held->uid, ==, "run-000001");
  g_assert_true (held->number == 4 && held->running && lease->agent_epoch == 3 && lease->sequence == 17 && lease->spot);
  /* An entry that names no job is kept, so that the machine is not assumed to hold fewer tasks than it may hold. */
  g_assert_null (g_array_index (lease->held_tasks, HzbHeldTask, 1).uid);
  g_assert_null (idle_lease->held_tasks);
  text = print_and_free (hzb_machine_lease_encode (idle_lease));
  g_assert_cmpstr (text, ==, idle_lease_text);
  cJSON_DeleteItemFromObject (message, "zone");
  g_assert_null (hzb_machine_lease_decode (message));
  cJSON_Delete (message);
  cJSON_Delete (idle_message);
}

static void
test_returns (void)
{
  cJSON *message = cJSON_Parse (return_text), *unrelated = cJSON_Parse ("{\"finished\":{\"run-000001\":[3]}}");
  g_autoptr (HzbMachineReturn) returned = hzb_machine_return_decode (message);
  g_autofree char *text = print_and_free (hzb_machine_return_encode (returned));

  g_assert_cmpstr (text, ==, return_text);
  g_assert_null (hzb_machine_return_decode (unrelated));
  cJSON_Delete (message);
  cJSON_Delete (unrelated);
}

static void
test_recalls_and_answers (void)
{
  g_autoptr (HzbRecall) recall = hzb_recall_new ("i-1", FALSE, TRUE), decoded_recall = NULL;
  g_autofree char *withdrawal_text = print_and_free (hzb_recall_encode (recall)), *text = NULL;
  HzbShardAnswer answer = { .term = 4, .fencing_token = 9, .last_event_applied = 2, .lease_s = 10 }, decoded;
  cJSON *message;

  g_assert_cmpstr (withdrawal_text, ==, "{\"keep\":\"i-1\"}");
  recall->requested = TRUE;
  text = print_and_free (hzb_recall_encode (recall));
  message = cJSON_Parse (text);
  decoded_recall = hzb_recall_decode (message);
  g_assert_true (decoded_recall && decoded_recall->requested && decoded_recall->at_once);
  cJSON_Delete (message);
  message = cJSON_Parse ("{\"n\":4}");
  g_assert_null (hzb_recall_decode (message));
  cJSON_Delete (message);
  message = cJSON_Parse ("{\"term\":4,\"token\":9,\"have\":2,\"leaseS\":10,\"batches\":[]}");
  hzb_shard_answer_decode (message, &decoded);
  g_assert_true (decoded.term == 4 && decoded.fencing_token == 9 && decoded.last_event_applied == 2
                 && decoded.lease_s == 10 && !decoded.reclaimed);
  hzb_shard_answer_clear (&decoded);
  cJSON_Delete (message);
  message = cJSON_CreateObject ();
  answer.reclaimed = TRUE;
  hzb_shard_answer_encode (&answer, message);
  g_free (text);
  text = print_and_free (message);
  g_assert_cmpstr (text, ==, "{\"term\":4,\"end\":true}");
}

/* ---- polls and answers ---- */

static const char poll_text[] =
    "{\"node\":\"b\",\"incarnation\":\"0a1b\",\"cancelled\":{\"run-000007\":{\"version\":12,\"n\":3}},\"token\":4194305,"
    "\"have\":2,\"events\":[{\"finished\":{\"run-000001\":[3]},\"ranS\":1.5,\"n\":1},"
    "{\"returned\":{\"run-000001\":[4,5],\"run-000002\":[0]},\"n\":2},"
    "{\"machine\":\"i-1\",\"why\":\"it is silent\",\"sick\":false,\"session\":3,\"seq\":18,\"lost\":[],\"n\":3}],"
    "\"room\":2.5,\"leaving\":{},\"running\":{\"run-000001\":7},\"partial\":true}";
static const char answer_text[] =
    "{\"heard\":[\"run-000007\"],\"batches\":["
    "{\"machine\":\"i-2\",\"addr\":\"\",\"type\":\"small\",\"zone\":\"za\",\"spot\":false,\"session\":0,\"seq\":0,\"n\":4},"
    "{\"tasks\":{\"run-000002\":[1,2]},\"n\":5},{\"durable\":{\"run-000001\":[3]},\"n\":6},"
    "{\"back\":\"i-2\",\"now\":true,\"n\":7},{\"cancelled\":\"run-000002\",\"n\":8}],"
    "\"term\":4,\"token\":4194305,\"have\":3,\"leaseS\":10}";

/* Returns: (transfer full): a message as hzb_peers_new_message() creates it on node b */
static cJSON *
new_node_b_message (void)
{
  cJSON *message = cJSON_CreateObject ();
  cJSON_AddStringToObject (message, "node", "b");
  cJSON_AddStringToObject (message, "incarnation", "0a1b");
  return message;
}

static void
test_polls (void)
{
  cJSON *message = cJSON_Parse (poll_text), *reencoded = new_node_b_message ();
  g_autoptr (HzbShardPoll) poll = hzb_shard_poll_decode (message);
  const HzbShardEvent *finished = poll->events->pdata[0], *returned = poll->events->pdata[1];
  const HzbTaskGroup *group = &g_array_index (returned->returned, HzbTaskGroup, 0);
  g_autofree char *text = NULL;

  g_assert_cmpstr (poll->node, ==, "b");
  g_assert_cmpstr (poll->incarnation, ==, "0a1b");
  g_assert_true (poll->fencing_token == 4194305 && poll->last_batch_applied == 2 && poll->requested_cpus == 2.5
                 && poll->partial_counts);
  g_assert_cmpuint (poll->events->len, ==, 3);
  g_assert_true (finished->message.number == 1 && finished->ran_s == 1.5 && finished->finished && !finished->returned
                 && !finished->machine);
  g_assert_cmpstr (group->uid, ==, "run-000001");
  g_assert_true (group->numbers->len == 2 && g_array_index (group->numbers, gint, 1) == 5);
  g_assert_nonnull (((HzbShardEvent *) poll->events->pdata[2])->machine);
  g_assert_true (poll->recalled_counts->len == 0 && poll->running_counts->len == 1
                 && g_array_index (poll->running_counts, HzbJobCount, 0).count == 7);
  cJSON_Delete (message); /* a decoded poll does not refer to the message */
  hzb_shard_poll_encode (poll, reencoded);
  text = print_and_free (reencoded);
  g_assert_cmpstr (text, ==, poll_text);
}

/* The poll of a node that holds no shard has no members of a shard, even if they are set. */
static void
test_polls_without_shard (void)
{
  g_autoptr (HzbShardPoll) poll = hzb_shard_poll_new ();
  cJSON *message = new_node_b_message ();
  g_autofree char *text = NULL;

  poll->last_batch_applied = 3;
  hzb_shard_poll_encode (poll, message);
  text = print_and_free (message);
  g_assert_cmpstr (text, ==, "{\"node\":\"b\",\"incarnation\":\"0a1b\"}");
}

/* Malformed values in a poll are ignored, and the valid ones are decoded. */
static void
test_malformed_polls (void)
{
  cJSON *message =
      cJSON_Parse ("{\"events\":[{\"n\":1,\"finished\":{\"run-000001\":[\"3\",4]}},7],"
                   "\"running\":{\"run-000001\":-1,\"run-000002\":\"2\",\"run-000003\":2},\"leaving\":[1]}");
  g_autoptr (HzbShardPoll) poll = hzb_shard_poll_decode (message);
  const HzbShardEvent *event = poll->events->pdata[0];

  g_assert_true (!poll->node && !poll->incarnation && !poll->cancellations && !poll->partial_counts);
  g_assert_cmpuint (poll->events->len, ==, 2);
  g_assert_cmpuint (g_array_index (event->finished, HzbTaskGroup, 0).numbers->len, ==, 1);
  g_assert_cmpuint (poll->running_counts->len, ==, 1);
  g_assert_cmpstr (g_array_index (poll->running_counts, HzbJobCount, 0).uid, ==, "run-000003");
  g_assert_cmpuint (poll->recalled_counts->len, ==, 0);
  cJSON_Delete (message);
}

static void
test_answers (void)
{
  cJSON *message = cJSON_Parse (answer_text), *reencoded = cJSON_CreateObject ();
  HzbShardAnswer answer;
  const HzbShardBatch *batch;
  g_autofree char *text = NULL;

  hzb_shard_answer_decode (message, &answer);
  cJSON_Delete (message);
  g_assert_cmpuint (answer.batches->len, ==, 5);
  batch = answer.batches->pdata[0];
  g_assert_true (batch->lease && !batch->delegated && !batch->durable && !batch->recall && !batch->cancelled_uid);
  batch = answer.batches->pdata[3];
  g_assert_true (batch->recall->requested && batch->recall->at_once && batch->message.number == 7);
  batch = answer.batches->pdata[4];
  g_assert_cmpstr (batch->cancelled_uid, ==, "run-000002");
  hzb_shard_answer_encode (&answer, reencoded);
  text = print_and_free (reencoded);
  g_assert_cmpstr (text, ==, answer_text);
  hzb_shard_answer_clear (&answer);
}

/* ---- the administration API ---- */

static void
test_status (void)
{
  const HzbShardStatus own = { .holder = "a", .fencing_token = 4194304, .machines = 2, .cpus = 12 },
                       leased = { .holder = "b", .leased = TRUE, .delegated_tasks = 3 };
  g_autoptr (GArray) statuses = g_array_new (FALSE, FALSE, sizeof (HzbShardStatus));
  g_autofree char *text = NULL;

  g_array_append_val (statuses, own);
  g_array_append_val (statuses, leased);
  text = print_and_free (hzb_shard_statuses_encode (statuses));
  g_assert_cmpstr (text, ==,
                   "{\"blocks\":[{\"holder\":\"a\",\"token\":4194304,\"machines\":2,\"cpus\":12},"
                   "{\"holder\":\"b\",\"token\":0,\"machines\":0,\"cpus\":0,\"tasksGranted\":3}]}");
}

/* ---- the outbox ---- */

static HzbShardBatch *
cancellation_batch (const char *uid)
{
  HzbShardBatch *batch = hzb_shard_batch_new ();
  batch->cancelled_uid = g_strdup (uid);
  return batch;
}

/* The outbox sends as many messages as fit the size limit, at least one, and repeats messages that are not
 * acknowledged. */
static void
test_outbox (void)
{
  static const char first_message[] = "{\"cancelled\":\"run-000001\",\"n\":1}";
  HzbOutbox outbox;

  hzb_outbox_init (&outbox, 2 * sizeof first_message, (HzbOutboxEncode) hzb_shard_batch_encode,
                   (GDestroyNotify) hzb_shard_batch_free);
  for (guint i = 0; i < 3; i++)
    hzb_outbox_push (&outbox, &cancellation_batch ("run-000001")->message);
  g_assert_true (hzb_outbox_last_unsent (&outbox)->number == 3);
  for (guint round = 0; round < 2; round++)
    {
      g_autoptr (GPtrArray) sent = hzb_outbox_prepare_send (&outbox);
      g_assert_cmpuint (sent->len, ==, 2);
      g_assert_true (((HzbOutboxMessage *) sent->pdata[0])->number == 1);
    }
  hzb_outbox_acknowledge (&outbox, 2);
  g_assert_cmpuint (outbox.unacknowledged.length, ==, 1);
  outbox.max_bytes = 1;
  {
    g_autoptr (GPtrArray) sent = hzb_outbox_prepare_send (&outbox);
    g_assert_cmpuint (sent->len, ==, 1);
  }
  g_assert_null (hzb_outbox_last_unsent (&outbox));
  hzb_outbox_clear (&outbox);
  hzb_outbox_push (&outbox, &cancellation_batch ("run-000002")->message);
  g_assert_true (hzb_outbox_last_unsent (&outbox)->number == 1);
  hzb_outbox_clear (&outbox);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shard-messages/leases", test_leases);
  g_test_add_func ("/shard-messages/returns", test_returns);
  g_test_add_func ("/shard-messages/recalls-and-answers", test_recalls_and_answers);
  g_test_add_func ("/shard-messages/polls", test_polls);
  g_test_add_func ("/shard-messages/polls-without-shard", test_polls_without_shard);
  g_test_add_func ("/shard-messages/malformed-polls", test_malformed_polls);
  g_test_add_func ("/shard-messages/answers", test_answers);
  g_test_add_func ("/shard-messages/status", test_status);
  g_test_add_func ("/shard-messages/outbox", test_outbox);
  return g_test_run ();
}
