/* Messages about machines between the leader and its leaseholders: as the versions before wrote them, and back. */
#include "json.h"
#include "shard-exchange.h"
#include "shard-messages.h"

#include <string.h>

static const char lease_text[] =
    "{\"machine\":\"i-1\",\"addr\":\"10.1.0.1:1\",\"type\":\"small\",\"zone\":\"za\",\"spot\":true,\"session\":3,\"seq\":17,"
    "\"holds\":[{\"job\":\"run-000001\",\"task\":4,\"attempt\":18446744073709551615,\"runs\":true},{\"task\":2}]}";
static const char idle_text[] =
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
  cJSON *message = cJSON_Parse (lease_text), *idle = cJSON_Parse (idle_text);
  g_autoptr (HzbMachineLease) lease = hzb_machine_lease_decode (message), of_idle = hzb_machine_lease_decode (idle);
  const HzbHeldTask *held;
  g_autofree char *text = NULL;

  g_assert_cmpuint (lease->holds->len, ==, 2);
  held = &g_array_index (lease->holds, HzbHeldTask, 0);
  g_assert_cmpstr (held->uid, ==, "run-000001");
  g_assert_true (held->number == 4 && held->runs && lease->agent_epoch == 3 && lease->sequence == 17 && lease->spot);
  /* One that names no job is not left out: the machine is not taken for one without it. */
  g_assert_null (g_array_index (lease->holds, HzbHeldTask, 1).uid);
  g_assert_null (of_idle->holds);
  text = print_and_free (hzb_machine_lease_encode (of_idle));
  g_assert_cmpstr (text, ==, idle_text);
  cJSON_DeleteItemFromObject (message, "zone");
  g_assert_null (hzb_machine_lease_decode (message));
  cJSON_Delete (message);
  cJSON_Delete (idle);
}

static void
test_returns (void)
{
  cJSON *message = cJSON_Parse (return_text), *other = cJSON_Parse ("{\"finished\":{\"run-000001\":[3]}}");
  g_autoptr (HzbMachineReturn) returned = hzb_machine_return_decode (message);
  g_autofree char *text = print_and_free (hzb_machine_return_encode (returned));

  g_assert_cmpstr (text, ==, return_text);
  g_assert_null (hzb_machine_return_decode (other));
  cJSON_Delete (message);
  cJSON_Delete (other);
}

static void
test_recalls_and_answers (void)
{
  g_autoptr (HzbRecall) recall = hzb_recall_new ("i-1", FALSE, TRUE), back = NULL;
  g_autofree char *keep = print_and_free (hzb_recall_encode (recall)), *now = NULL;
  HzbShardAnswer answer = { .term = 4, .fencing_token = 9, .have = 2, .lease_s = 10 }, read;
  cJSON *message;

  g_assert_cmpstr (keep, ==, "{\"keep\":\"i-1\"}");
  recall->back = TRUE;
  now = print_and_free (hzb_recall_encode (recall));
  message = cJSON_Parse (now);
  back = hzb_recall_decode (message);
  g_assert_true (back && back->back && back->at_once);
  cJSON_Delete (message);
  message = cJSON_Parse ("{\"n\":4}");
  g_assert_null (hzb_recall_decode (message));
  cJSON_Delete (message);
  message = cJSON_Parse ("{\"term\":4,\"token\":9,\"have\":2,\"leaseS\":10,\"batches\":[]}");
  hzb_shard_answer_decode (message, &read);
  g_assert_true (read.term == 4 && read.fencing_token == 9 && read.have == 2 && read.lease_s == 10 && !read.end);
  hzb_shard_answer_clear (&read);
  cJSON_Delete (message);
  message = cJSON_CreateObject ();
  answer.end = TRUE;
  hzb_shard_answer_encode (&answer, message);
  g_free (now);
  now = print_and_free (message);
  g_assert_cmpstr (now, ==, "{\"term\":4,\"end\":true}");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/block-messages/leases", test_leases);
  g_test_add_func ("/block-messages/returns", test_returns);
  g_test_add_func ("/block-messages/recalls-and-answers", test_recalls_and_answers);
  return g_test_run ();
}
