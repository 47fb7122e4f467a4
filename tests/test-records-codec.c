/* The stored form of the leader's records: it equals what earlier versions wrote, byte for byte, and is decoded to the
 * same contents. */
#include "records-codec.h"

#include <math.h>
#include <string.h>

/* Takes ownership of @value. */
static void
expect_bytes (cJSON *value, const char *expected)
{
  g_autofree char *text = cJSON_PrintUnformatted (value);
  g_assert_cmpstr (text, ==, expected);
  g_assert_cmpuint (hzb_record_bytes (value), ==, strlen (expected));
  cJSON_Delete (value);
}

static void
test_flush_record (void)
{
  const HzbFlushRecord record = { 18446744073709551615u, 7, 4711 };
  HzbFlushRecord decoded;
  cJSON *value = cJSON_Parse ("{\"n\":12,\"term\":3,\"clear\":99,\"roster\":[]}"),
        *schema_1_value = cJSON_Parse ("{\"n\":5}");

  expect_bytes (hzb_flush_record_encode (&record), "{\"n\":18446744073709551615,\"term\":7,\"clear\":4711}");
  hzb_flush_record_decode (value, &decoded);
  g_assert_cmpuint (decoded.number, ==, 12);
  g_assert_cmpuint (decoded.term, ==, 3);
  g_assert_cmpuint (decoded.acknowledged_revision, ==, 99);
  hzb_flush_record_decode (schema_1_value, &decoded); /* schema version 1 states only the number */
  g_assert_cmpuint (decoded.number, ==, 5);
  g_assert_cmpuint (decoded.term, ==, 0);
  g_assert_cmpuint (decoded.acknowledged_revision, ==, 0);
  hzb_flush_record_decode (NULL, &decoded);
  g_assert_cmpuint (decoded.number, ==, 0);
  cJSON_Delete (value);
  cJSON_Delete (schema_1_value);
}

static void
add_part (GArray *parts, const char *uid, guint chunk, HzbProgressRecord progress)
{
  HzbProgressChunk part = { .uid = g_strdup (uid), .number = chunk, .progress = progress };
  g_array_append_val (parts, part);
}

/* Schema version 2, which states the part size if the job has several parts. */
static void
test_progress_page (void)
{
  static const char stored[] =
      "{\"run-000001/0\":{\"released\":64,\"team\":\"red\",\"cpus\":0.5,\"gpus\":1,\"done\":\"AQAAgA==\"},"
      "\"run-000002/3\":{\"released\":9000,\"of\":8192}}";
  static const guchar bits[] = { 1, 0, 0, 0x80 };
  g_autoptr (GArray) parts = hzb_progress_chunks_new ();
  g_autoptr (GArray) decoded = NULL;
  const HzbProgressChunk *part;
  cJSON *page;

  add_part (parts, "run-000001", 0,
            (HzbProgressRecord){ .released = 64,
                                 .team = g_strdup ("red"),
                                 .cpus = 0.5,
                                 .gpus = 1,
                                 .finished = g_memdup2 (bits, sizeof bits),
                                 .finished_bytes = sizeof bits });
  add_part (parts, "run-000002", 3, (HzbProgressRecord){ .released = 9000, .chunk_tasks = 8192 });
  expect_bytes (hzb_progress_page_encode (parts), stored);

  page = cJSON_Parse (stored);
  decoded = hzb_progress_page_decode (page);
  cJSON_Delete (page);
  g_assert_cmpuint (decoded->len, ==, 2);
  part = &g_array_index (decoded, HzbProgressChunk, 0);
  g_assert_cmpstr (part->uid, ==, "run-000001");
  g_assert_cmpuint (part->number, ==, 0);
  g_assert_cmpuint (part->progress.released, ==, 64);
  g_assert_cmpuint (part->progress.chunk_tasks, ==, 32768); /* not stated */
  g_assert_cmpstr (part->progress.team, ==, "red");
  g_assert_cmpfloat (part->progress.cpus, ==, 0.5);
  g_assert_cmpfloat (part->progress.gpus, ==, 1);
  g_assert_cmpmem (part->progress.finished, part->progress.finished_bytes, bits, sizeof bits);
  part = &g_array_index (decoded, HzbProgressChunk, 1);
  g_assert_cmpstr (part->uid, ==, "run-000002");
  g_assert_cmpuint (part->number, ==, 3);
  g_assert_cmpuint (part->progress.released, ==, 9000);
  g_assert_cmpuint (part->progress.chunk_tasks, ==, 8192);
  g_assert_null (part->progress.team);
  g_assert_cmpuint (part->progress.finished_bytes, ==, 0);
}

/* Malformed progress is decoded as no progress. Guards against a decoded part size of 0. */
static void
test_malformed_progress (void)
{
  cJSON *page =
      cJSON_Parse ("{\"no-chunk\":{},\"run/1\":7,\"run/2\":{\"of\":0,\"done\":\"\"},\"run/3\":{\"of\":1e300}}");
  g_autoptr (GArray) decoded = hzb_progress_page_decode (page);

  cJSON_Delete (page);
  g_assert_cmpuint (decoded->len, ==, 4);
  g_assert_null (g_array_index (decoded, HzbProgressChunk, 0).uid);
  g_assert_cmpuint (g_array_index (decoded, HzbProgressChunk, 1).number, ==, 1);
  g_assert_cmpuint (g_array_index (decoded, HzbProgressChunk, 1).progress.released, ==, 0);
  g_assert_cmpuint (g_array_index (decoded, HzbProgressChunk, 2).progress.chunk_tasks, ==, 1);
  g_assert_cmpuint (g_array_index (decoded, HzbProgressChunk, 2).progress.finished_bytes, ==, 0);
  g_assert_cmpuint (g_array_index (decoded, HzbProgressChunk, 3).progress.chunk_tasks, >, 0);
}

static void
test_machine_page (void)
{
  static const char stored[] =
      "{\"m-1\":{\"type\":\"big\",\"zone\":\"za\",\"spot\":true,\"at\":1700000000},"
      "\"m-2\":{\"type\":\"small\",\"zone\":\"zb\",\"spot\":false,\"at\":1700000001,\"drain\":true}}";
  static const char schema_1[] =
      "{\"m-3\":{\"addr\":\"10.0.0.3:80\",\"type\":\"big\",\"zone\":\"za\",\"spot\":true},\"m-4\":{}}";
  g_autoptr (GArray) machines = NULL, empty = NULL, schema_1_machines = NULL;
  const HzbMachineRecord *record;
  cJSON *page = cJSON_Parse (stored);

  machines = hzb_machine_page_decode (page);
  cJSON_Delete (page);
  g_assert_cmpuint (machines->len, ==, 2);
  record = &g_array_index (machines, HzbMachineRecord, 1);
  g_assert_cmpstr (record->name, ==, "m-2");
  g_assert_null (record->address);
  g_assert_cmpstr (record->type, ==, "small");
  g_assert_cmpstr (record->zone, ==, "zb");
  g_assert_false (record->spot);
  g_assert_true (record->drain);
  g_assert_cmpfloat (record->recorded_at, ==, 1700000001);
  expect_bytes (hzb_machine_page_encode (machines), stored);

  page = cJSON_Parse (schema_1);
  schema_1_machines = hzb_machine_page_decode (page);
  cJSON_Delete (page);
  record = &g_array_index (schema_1_machines, HzbMachineRecord, 0);
  g_assert_cmpstr (record->address, ==, "10.0.0.3:80");
  g_assert_true (isnan (record->recorded_at));
  record = &g_array_index (schema_1_machines, HzbMachineRecord, 1);
  g_assert_null (record->type);
  g_assert_null (record->zone);

  empty = hzb_machine_records_new ();
  expect_bytes (hzb_machine_page_encode (empty), "{}");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/records-codec/flush-record", test_flush_record);
  g_test_add_func ("/records-codec/progress-page", test_progress_page);
  g_test_add_func ("/records-codec/odd-progress", test_malformed_progress);
  g_test_add_func ("/records-codec/machine-page", test_machine_page);
  return g_test_run ();
}
