/* The log of cancellations, compared with a simple model; and the encoding of heartbeats, with malformed messages too.
 * */
#include "json.h"
#include "peer-heartbeat.h"

#define CAPACITY 20u

/* The model of the log: an array of all cancellations that were ever recorded. */
typedef struct
{
  guint64 revision;
  guint number;
} Recorded;

static void
check_read (const HzbCancellationLog *log, const GArray *recorded, guint64 after, guint64 up_to, guint max_count)
{
  g_autoptr (GArray) read = hzb_cancellations_array_new ();
  guint64 complete = hzb_cancellation_log_read (log, after, up_to, max_count, read);
  guint expected = 0;

  if (!complete)
    return;
  g_assert_cmpuint (complete, >=, after);
  for (guint i = 0; i < recorded->len; i++)
    {
      const Recorded *entry = &g_array_index (recorded, Recorded, i);
      g_autofree char *uid = g_strdup_printf ("run-%06u", entry->number);
      const HzbCancellation *got;
      if (entry->revision <= after || entry->revision > complete)
        continue;
      g_assert_cmpuint (expected, <, read->len);
      got = &g_array_index (read, HzbCancellation, expected++);
      g_assert_cmpstr (got->uid, ==, uid);
      g_assert_cmpuint (got->revision, ==, entry->revision);
      g_assert_cmpuint (got->n_tasks, ==, entry->number % 7);
    }
  g_assert_cmpuint (expected, ==, read->len);
}

/* A list that the log claims to be complete has all recorded cancellations, for random sequences of add, restart and
 * read. */
static void
test_log (void)
{
  guint complete_reads = 0;
  for (guint32 seed = 1; seed <= 200; seed++)
    {
      HzbCancellationLog *log = hzb_cancellation_log_new (CAPACITY);
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      g_autoptr (GArray) recorded = g_array_new (FALSE, FALSE, sizeof (Recorded));
      g_autoptr (GArray) unread = hzb_cancellations_array_new ();
      guint64 revision = 5;

      g_assert_cmpuint (hzb_cancellation_log_read (log, 0, 5, 9, unread), ==, 0);
      hzb_cancellation_log_restart (log, revision);
      for (guint i = 0; i < 120; i++)
        {
          gboolean same_revision = g_rand_double (rand) < 0.2; /* one transaction may cancel several jobs */
          Recorded added = { revision += same_revision ? 0 : (guint64) g_rand_int_range (rand, 1, 9), i };
          g_autofree char *uid = g_strdup_printf ("run-%06u", i);
          if (same_revision && recorded->len == 0)
            continue;
          hzb_cancellation_log_add (log, uid, added.revision, i % 7);
          g_array_append_val (recorded, added);
          check_read (log, recorded, (guint64) g_rand_int_range (rand, 0, (gint32) revision + 3), revision + 1,
                      (guint) g_rand_int_range (rand, 1, 30));
          complete_reads += revision >= 8;
          if (g_rand_double (rand) < 0.01)
            hzb_cancellation_log_restart (log, revision += 2);
        }
      hzb_cancellation_log_free (log);
    }
  g_assert_cmpuint (complete_reads, >, 1000);
}

/* The log does not claim to be complete for revisions before its restart, or for entries that it dropped because it was
 * full. */
static void
test_log_incomplete_before_restart (void)
{
  HzbCancellationLog *log = hzb_cancellation_log_new (2);
  g_autoptr (GArray) read = hzb_cancellations_array_new ();

  hzb_cancellation_log_restart (log, 10);
  g_assert_cmpuint (hzb_cancellation_log_read (log, 9, 12, 5, read), ==, 0);
  g_assert_cmpuint (hzb_cancellation_log_read (log, 10, 12, 5, read), ==, 12);
  for (guint i = 0; i < 3; i++)
    hzb_cancellation_log_add (log, "run-000001", 13 + i, 1);
  g_assert_cmpuint (hzb_cancellation_log_read (log, 12, 20, 5, read), ==, 0);
  g_assert_cmpuint (read->len, ==, 0);
  g_assert_cmpuint (hzb_cancellation_log_read (log, 13, 20, 5, read), ==, 20);
  g_assert_cmpuint (read->len, ==, 2);
  hzb_cancellation_log_free (log);
}

static HzbPeerHeartbeat *
encode_and_decode (const HzbPeerHeartbeat *heartbeat)
{
  cJSON *message = cJSON_CreateObject (), *read;
  g_autofree char *text = NULL;
  HzbPeerHeartbeat *received;

  hzb_peer_heartbeat_encode (heartbeat, message);
  text = cJSON_PrintUnformatted (message);
  read = cJSON_Parse (text);
  received = hzb_peer_heartbeat_decode (read);
  cJSON_Delete (read);
  cJSON_Delete (message);
  return received;
}

static void
test_round_trip (void)
{
  g_autoptr (HzbPeerHeartbeat) heartbeat = hzb_peer_heartbeat_new (), received = NULL;
  HzbCancellation cancellation = { g_strdup ("run-000007"), 4000000123, 12 };

  heartbeat->leads = heartbeat->self_fenced = heartbeat->lost_workers = TRUE;
  heartbeat->term = 12;
  heartbeat->schema_version = 2;
  heartbeat->replicated_revision = 4000000120;
  heartbeat->known_cancellations_revision = 4000000130;
  heartbeat->cancellations_up_to = 4000000140;
  g_array_append_val (heartbeat->cancellations, cancellation);
  hzb_peer_heartbeat_add_counts (heartbeat, "run-000009", 3, 4);
  received = encode_and_decode (heartbeat);
  g_assert_true (received->leads && received->self_fenced && received->lost_workers && received->lists_cancellations);
  g_assert_false (received->redirects_workers);
  g_assert_cmpuint (received->term, ==, 12);
  g_assert_cmpuint (received->schema_version, ==, 2);
  g_assert_cmpuint (received->replicated_revision, ==, 4000000120);
  g_assert_cmpuint (received->known_cancellations_revision, ==, 4000000130);
  g_assert_cmpuint (received->cancellations_up_to, ==, 4000000140);
  g_assert_cmpuint (received->cancellations->len, ==, 1);
  g_assert_cmpstr (g_array_index (received->cancellations, HzbCancellation, 0).uid, ==, "run-000007");
  g_assert_cmpuint (g_array_index (received->cancellations, HzbCancellation, 0).revision, ==, 4000000123);
  g_assert_cmpuint (g_array_index (received->counts, HzbTaskCounts, 0).running, ==, 4);
}

static HzbPeerHeartbeat *
decode_text (const char *text)
{
  cJSON *message = cJSON_Parse (text);
  HzbPeerHeartbeat *heartbeat = hzb_peer_heartbeat_decode (message);
  cJSON_Delete (message);
  return heartbeat;
}

/* Malformed fields, and fields that an older version does not send, are decode_text as their defaults. */
static void
test_malformed (void)
{
  g_autoptr (HzbPeerHeartbeat) old = decode_text ("{\"term\":3,\"leads\":true,\"jobs\":{\"run-000001\":[1,2]}}");
  g_autoptr (HzbPeerHeartbeat) broken = decode_text (
      "{\"cancelledUpTo\":9,\"cancelled\":{\"run-000001\":{\"version\":3,\"n\":1},\"run-000002\":{\"n\":1}},"
      "\"jobs\":{\"run-000003\":[1],\"run-000004\":[-1,2],\"run-000005\":\"x\"},\"cancelledKnown\":\"x\"}");
  g_autoptr (HzbPeerHeartbeat) invalid_uid =
      decode_text ("{\"cancelledUpTo\":9,\"cancelled\":{\"../x\":{\"version\":3,\"n\":1}}}");

  g_assert_false (old->lists_cancellations || old->self_fenced);
  g_assert_true (old->redirects_workers);
  g_assert_cmpuint (old->known_cancellations_revision + old->replicated_revision + old->cancellations_up_to, ==, 0);
  g_assert_cmpuint (old->schema_version, ==, 1);
  g_assert_cmpuint (old->counts->len, ==, 1);
  g_assert_cmpuint (broken->cancellations_up_to, ==, 0);
  g_assert_cmpuint (broken->known_cancellations_revision, ==, 0);
  g_assert_cmpuint (broken->counts->len, ==, 0);
  g_assert_cmpuint (invalid_uid->cancellations_up_to, ==, 0);
  g_assert_cmpuint (invalid_uid->cancellations->len, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peer-heartbeat/cancellation-log", test_log);
  g_test_add_func ("/peer-heartbeat/log-incomplete-before-restart", test_log_incomplete_before_restart);
  g_test_add_func ("/peer-heartbeat/round-trip", test_round_trip);
  g_test_add_func ("/peer-heartbeat/malformed", test_malformed);
  return g_test_run ();
}
