/* Elections: late responses to requests of an earlier leadership are ignored, and the records have the expected bytes.
 * */
#include "support.h"

#include "election-codec.h"
#include "election.h"
#include "fake-transport.h"
#include "kv-client.h"
#include "kv-protocol.h"
#include "record-keys.h"

typedef struct
{
  HzbSettings *settings;
  HzbClock *clock;
  FakeTransport transport;
  HzbKvClient *kv;
  HzbElection *election;
  GRand *rand;
} Fixture;

static void
fixture_up (Fixture *fixture)
{
  fixture->settings = test_settings ();
  fixture->clock = hzb_clock_new_manual ();
  fixture->rand = g_rand_new_with_seed (1);
  fake_transport_init (&fixture->transport, fixture->clock);
  fixture->kv = hzb_kv_client_new (&fixture->transport.parent, fixture->clock, fixture->settings);
  fixture->election = hzb_election_new (fixture->kv, fixture->clock, fixture->settings, fixture->rand);
}

static void
fixture_down (Fixture *fixture)
{
  fake_transport_fail_calls (&fixture->transport, fixture->kv);
  hzb_election_free (fixture->election);
  hzb_kv_client_free (fixture->kv);
  hzb_clock_free (fixture->clock);
  hzb_settings_free (fixture->settings);
  g_rand_free (fixture->rand);
}

static void
tick_for (Fixture *fixture, double seconds)
{
  for (double at = 0; at < seconds; at += 0.05)
    {
      hzb_clock_advance (fixture->clock, 0.05);
      hzb_kv_client_pump (fixture->kv);
      hzb_election_tick (fixture->election, TRUE);
    }
}

static FakeCall *
find_call (Fixture *fixture, const char *path)
{
  for (GList *l = fixture->transport.calls.head; l; l = l->next)
    if (g_str_equal (((FakeCall *) l->data)->path, path))
      return l->data;
  return NULL;
}

static void
answer (Fixture *fixture, const char *path, guint status, const char *body)
{
  FakeCall *call = find_call (fixture, path);
  g_assert_nonnull (call);
  fake_answer (&fixture->transport, call, status, body);
}

static void
apply (Fixture *fixture, const char *key, const char *value, guint64 version)
{
  HzbKvEntry item = { (char *) key, value ? cJSON_Parse (value) : NULL, version };
  hzb_election_apply_record (fixture->election, &item);
  cJSON_Delete (item.value);
}

/* Guards against a late response to the renewal of an old lease: the lease has expired and the controller was elected
 * again before the response arrives. The response must not end the new leadership or extend its lease. */
static void
test_late_renewal (void)
{
  static const guint statuses[] = { 404, 200 };
  for (guint i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      Fixture fixture;
      fixture_up (&fixture);
      tick_for (&fixture, 0.1);
      answer (&fixture, "/leases", 200, "{\"permit\":7}");
      answer (&fixture, "/multi", 200, "{\"epoch\":5}");
      g_assert_true (hzb_election_is_leader (fixture.election));
      apply (&fixture, HZB_KEY_TERM, "{\"term\":1,\"node\":\"n0\"}", 5);
      apply (&fixture, HZB_KEY_LEADER_SCHEMA_1, "{\"node\":\"n0\",\"incarnation\":\"x\",\"lease\":7,\"term\":1}", 5);
      tick_for (&fixture, 1);
      g_assert_nonnull (find_call (&fixture, "/leases/7/renew"));
      apply (&fixture, HZB_KEY_LEADER_SCHEMA_1, NULL, 6);
      g_assert_false (hzb_election_is_leader (fixture.election));
      tick_for (&fixture, 0.9);
      answer (&fixture, "/leases", 200, "{\"permit\":8}");
      answer (&fixture, "/multi", 200, "{\"epoch\":7}");
      g_assert_true (hzb_election_is_leader (fixture.election));
      tick_for (&fixture, 1);
      g_assert_nonnull (find_call (&fixture, "/leases/8/renew"));
      answer (&fixture, "/leases/7/renew", statuses[i], "{}");
      g_assert_true (hzb_election_is_leader (fixture.election));
      /* The renewal of the new lease gets no response, so the leadership is valid only as long as the lease was
       * granted. */
      hzb_clock_advance (fixture.clock, 3.05);
      g_assert_false (hzb_election_is_lease_valid (fixture.election));
      fixture_down (&fixture);
    }
}

static void
check_bytes (cJSON *value, const char *expected)
{
  g_autofree char *text = cJSON_PrintUnformatted (value);
  g_assert_cmpstr (text, ==, expected);
  cJSON_Delete (value);
}

/* Earlier and later versions of the program must be able to read these records. */
static void
test_records (void)
{
  const HzbLeaderRecord record = { .node = "n0", .incarnation = "n0-1", .lease = 4000000123, .term = 7 };
  cJSON *placeholder = hzb_leader_record_encode_placeholder (7);
  HzbLeaderRecord read = hzb_leader_record_decode (placeholder);

  g_assert_true (hzb_leader_record_is_placeholder (&read));
  g_assert_false (hzb_leader_record_is_placeholder (&record));
  check_bytes (placeholder, "{\"node\":\"(none of version 1)\",\"term\":7}");
  check_bytes (hzb_leader_record_encode (&record),
               "{\"node\":\"n0\",\"incarnation\":\"n0-1\",\"lease\":4000000123,\"term\":7}");
  check_bytes (hzb_term_record_encode (7, "n0"), "{\"term\":7,\"node\":\"n0\"}");
  check_bytes (hzb_schema_version_record_encode (2), "{\"format\":2}");
  read = hzb_leader_record_decode (NULL);
  g_assert_null (read.node);
  g_assert_cmpuint (read.term, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/election/late-renewal", test_late_renewal);
  g_test_add_func ("/election/records", test_records);
  return g_test_run ();
}
