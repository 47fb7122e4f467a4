/* The encoding of cancellations in messages: the exact bytes, and the decoding of malformed messages. */
#include "cancellation-messages.h"

#include "json.h"

static void
test_request (void)
{
  g_autoptr (GArray) cancellations = hzb_cancellations_array_new (), decoded = NULL;
  g_autofree char *text = NULL;
  cJSON *poll = cJSON_CreateObject ();

  hzb_cancellation_request_encode (cancellations, poll);
  g_assert_null (poll->child);
  g_assert_null (hzb_cancellation_request_decode (poll));
  hzb_cancellations_array_add (cancellations, "run-000007", 4000000123, 12);
  hzb_cancellations_array_add (cancellations, "run-000008", 5, 0);
  hzb_cancellation_request_encode (cancellations, poll);
  text = cJSON_PrintUnformatted (poll);
  cJSON_Delete (poll);
  g_assert_cmpstr (text, ==,
                   "{\"cancelled\":{\"run-000007\":{\"version\":4000000123,\"n\":12},"
                   "\"run-000008\":{\"version\":5,\"n\":0}}}");
  poll = cJSON_Parse (text);
  decoded = hzb_cancellation_request_decode (poll);
  cJSON_Delete (poll);
  g_assert_cmpuint (decoded->len, ==, 2);
  g_assert_cmpstr (g_array_index (decoded, HzbCancellation, 0).uid, ==, "run-000007");
  g_assert_cmpuint (g_array_index (decoded, HzbCancellation, 0).revision, ==, 4000000123);
  g_assert_cmpuint (g_array_index (decoded, HzbCancellation, 0).n_tasks, ==, 12);
}

/* Malformed entries are skipped, and well-formed entries are decoded. */
static void
test_malformed_request (void)
{
  cJSON *poll = cJSON_Parse ("{\"cancelled\":{\"run-000001\":{\"n\":1},\"../x\":{\"version\":3},\"run-000002\":7,"
                             "\"run-000003\":{\"version\":3}}}");
  cJSON *not_an_object = cJSON_Parse ("{\"cancelled\":[{\"version\":3}]}");
  g_autoptr (GArray) decoded = hzb_cancellation_request_decode (poll);
  g_autoptr (GArray) empty = hzb_cancellation_request_decode (not_an_object);

  g_assert_cmpuint (decoded->len, ==, 1);
  g_assert_cmpstr (g_array_index (decoded, HzbCancellation, 0).uid, ==, "run-000003");
  g_assert_cmpuint (empty->len, ==, 0);
  cJSON_Delete (poll);
  cJSON_Delete (not_an_object);
}

static void
test_response (void)
{
  char *const uids[] = { (char *) "run-000007", NULL };
  g_auto (GStrv) decoded = NULL, none = NULL;
  g_autofree char *text = NULL;
  cJSON *answer = cJSON_CreateObject ();

  none = hzb_cancellation_response_decode (answer);
  g_assert_cmpuint (g_strv_length (none), ==, 0);
  hzb_cancellation_response_encode (uids, answer);
  text = cJSON_PrintUnformatted (answer);
  g_assert_cmpstr (text, ==, "{\"heard\":[\"run-000007\"]}");
  decoded = hzb_cancellation_response_decode (answer);
  g_assert_cmpuint (g_strv_length (decoded), ==, 1);
  g_assert_cmpstr (decoded[0], ==, "run-000007");
  cJSON_Delete (answer);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cancellation-messages/request", test_request);
  g_test_add_func ("/cancellation-messages/malformed-request", test_malformed_request);
  g_test_add_func ("/cancellation-messages/response", test_response);
  return g_test_run ();
}
