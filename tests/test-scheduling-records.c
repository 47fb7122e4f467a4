/* The stored records of jobs are compared byte for byte, since other versions read them. */
#include "job-codec.h"
#include "json.h"
#include "support.h"

static void
assert_stored (cJSON *value, const char *expected)
{
  g_autofree char *text = hzb_json_print (value); /* frees the value */
  g_assert_cmpstr (text, ==, expected);
}

/* An acceptance contains the submission as the protocol codec encodes it, and the time of acceptance in seconds,
 * rounded down to whole milliseconds. */
static void
test_acceptance (void)
{
  Bench b;
  g_autoptr (HzbJobSpec) spec = NULL;
  g_autofree char *submission = NULL, *expected = NULL;
  bench_init (&b, 1);
  spec = g_new0 (HzbJobSpec, 1);
  spec->uid = g_strdup ("run-000412");
  spec->job_class = g_strdup ("lane");
  spec->team = g_strdup ("red");
  spec->priority = HZB_PRIORITY_NORMAL;
  spec->tasks = 3;
  spec->cpus = 2;
  spec->memory_gb = 1;
  spec->image = g_ref_string_new_intern ("img");
  spec->estimate_s = 10;
  submission = hzb_json_print (hzb_job_spec_encode (spec));
  expected = g_strdup_printf ("{\"state\":\"accepted\",\"at\":1700000000.123,\"spec\":%s}", submission);
  assert_stored (hzb_job_acceptance_encode (spec, (struct timespec){ 1700000000, 123999999 }), expected);
  bench_clear (&b);
}

static void
test_completion (void)
{
  assert_stored (hzb_job_completion_encode (HZB_JOB_DONE, 3), "{\"state\":\"done\",\"n\":3}");
  assert_stored (hzb_job_completion_encode (HZB_JOB_CANCELLED, 100000), "{\"state\":\"cancelled\",\"n\":100000}");
}

static gboolean
decode (const char *text, guint known_tasks, HzbJobRecord *record)
{
  cJSON *value = cJSON_Parse (text);
  gboolean decoded = hzb_job_record_decode ("run-000412", value, known_tasks, record);
  cJSON_Delete (value);
  return decoded;
}

/* The number of tasks comes from the completion record, or from the caller if the record does not state it. */
static void
test_decode_completion (void)
{
  g_auto (HzbJobRecord) record = { 0 };
  g_assert_true (decode ("{\"state\":\"done\",\"n\":7}", 3, &record));
  g_assert_cmpint (record.state, ==, HZB_JOB_DONE);
  g_assert_cmpuint (record.n_tasks, ==, 7);
  g_assert_true (decode ("{\"state\":\"cancelled\"}", 3, &record));
  g_assert_cmpint (record.state, ==, HZB_JOB_CANCELLED);
  g_assert_cmpuint (record.n_tasks, ==, 3);
  g_assert_null (record.spec);
}

static void
test_decode_malformed (void)
{
  g_auto (HzbJobRecord) record = { 0 };
  g_assert_false (decode ("{\"state\":\"running\",\"n\":7}", 3, &record));
  g_assert_false (decode ("{\"n\":7}", 3, &record));
  g_assert_false (decode ("[]", 3, &record));
  g_assert_false (decode ("{\"state\":\"accepted\",\"at\":1}", 3, &record));
  g_assert_false (decode ("{\"state\":\"accepted\",\"at\":1,\"spec\":{}}", 3, &record));
}

/* A job's entry in an acceptance record decodes to the encoded values, and the record keeps the order of its jobs. */
static void
test_round_trip (void)
{
  Bench b;
  cJSON *record = cJSON_CreateObject ();
  g_autoptr (GArray) accepted = NULL;
  bench_init (&b, 1);
  cJSON_AddItemToObject (record, "run-000007", bench_encode_job (&b, "run-000007", "red", HZB_PRIORITY_HIGH, 5, 2, 30));
  cJSON_AddItemToObject (record, "run-000003",
                         bench_encode_job (&b, "run-000003", "blue", HZB_PRIORITY_IDLE, 1, 1, 20));
  accepted = hzb_acceptance_decode (record);
  g_assert_cmpuint (accepted->len, ==, 2);
  for (guint i = 0; i < accepted->len; i++)
    {
      const HzbAcceptedJob *job = &g_array_index (accepted, HzbAcceptedJob, i);
      g_auto (HzbJobRecord) read = { 0 };
      g_assert_cmpstr (job->uid, ==, i ? "run-000003" : "run-000007");
      g_assert_true (hzb_job_record_is_acceptance (job->entry));
      g_assert_true (hzb_job_record_decode (job->uid, job->entry, 0, &read));
      g_assert_cmpint (read.state, ==, HZB_JOB_ACCEPTED);
      g_assert_cmpuint (read.n_tasks, ==, i ? 1 : 5);
      g_assert_cmpstr (read.spec->team, ==, i ? "blue" : "red");
    }
  cJSON_Delete (record);
  bench_clear (&b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/scheduling-records/acceptance", test_acceptance);
  g_test_add_func ("/scheduling-records/completion", test_completion);
  g_test_add_func ("/scheduling-records/decode-completion", test_decode_completion);
  g_test_add_func ("/scheduling-records/decode-malformed", test_decode_malformed);
  g_test_add_func ("/scheduling-records/round-trip", test_round_trip);
  return g_test_run ();
}
