/* HzbCancellations without a controller: when the leader acknowledges a cancellation, and how other controllers request
 * the acknowledgement. */
#include "support.h"

#include "cancellation-messages.h"
#include "cancellations.h"
#include "fake-transport.h"
#include "record-keys.h"

#define REVISION 50u /* revision of the replica of the records */
#define MAX_REQUESTS_PER_POLL 64u

/* One of three controllers, whose peers have not sent anything yet. */
typedef struct
{
  Bench bench;
  HzbPeer others[2];
  HzbNode node;
  FakeTransport transport;
  HzbKvClient *kv;
  HzbKvReplica *kv_replica;
  HzbElection *election;
  HzbOwnership *ownership;
  HzbPeers *peers;
  HzbCancellations *cancellations;

  gboolean leaseholders_acknowledged; /* result of all_leaseholders_acknowledged() */
  guint announced, polls_requested;   /* number of calls of announce() and poll_leader_soon() */
} Fixture;

static void
announce (HzbJob *job, gpointer user)
{
  ((Fixture *) user)->announced++;
}

static gboolean
all_leaseholders_acknowledged (const HzbJob *job, gpointer user)
{
  return ((Fixture *) user)->leaseholders_acknowledged;
}

static void
poll_leader_soon (gpointer user)
{
  ((Fixture *) user)->polls_requested++;
}

static gboolean
may_load (gpointer user)
{
  return TRUE;
}

static void
ignore_load_begin (gpointer user)
{
}

static void
ignore_load_end (guint64 revision, gpointer user)
{
}

/* Lets the replica of the records load from a key-value store without records. */
static void
load_replica (Fixture *fixture)
{
  for (guint i = 0; i < 20 && hzb_kv_replica_revision (fixture->kv_replica) < REVISION; i++)
    {
      FakeCall *call;
      hzb_clock_advance (fixture->bench.clock, 0.1);
      hzb_kv_replica_tick (fixture->kv_replica);
      hzb_kv_client_pump (fixture->kv);
      call = g_queue_peek_head (&fixture->transport.calls);
      if (call)
        fake_answer (&fixture->transport, call, 200,
                     g_str_has_prefix (call->path, "/follow") ? "{\"news\":[],\"epoch\":50}"
                                                              : "{\"rows\":[],\"hasNext\":false,\"epoch\":50}");
    }
  g_assert_cmpuint (hzb_kv_replica_revision (fixture->kv_replica), ==, REVISION);
}

static void
fixture_up (Fixture *fixture)
{
  static const HzbKvReplicaCallbacks replica_callbacks = { .may_load = may_load,
                                                           .load_begin = ignore_load_begin,
                                                           .load_end = ignore_load_end };
  static const HzbPeersCallbacks no_callbacks = { 0 };
  static const HzbCancellationsCallbacks callbacks = { announce, all_leaseholders_acknowledged, poll_leader_soon };
  HzbSettings *settings;

  *fixture = (Fixture){ .others = { { .node = (char *) "n1", .address = (char *) "10.0.0.2:1" },
                                    { .node = (char *) "n2", .address = (char *) "10.0.0.3:1" } } };
  bench_init (&fixture->bench, 1);
  settings = fixture->bench.settings;
  settings->cluster_size = 3;
  g_ptr_array_unref (settings->peers);
  settings->peers = g_ptr_array_new ();
  for (guint i = 0; i < G_N_ELEMENTS (fixture->others); i++)
    g_ptr_array_add (settings->peers, &fixture->others[i]);
  fake_transport_init (&fixture->transport, fixture->bench.clock);
  fixture->node = (HzbNode){ .settings = settings,
                             .clock = fixture->bench.clock,
                             .transport = &fixture->transport.parent,
                             .schema_version = HZB_SCHEMA_VERSION };
  fixture->kv = hzb_kv_client_new (fixture->node.transport, fixture->bench.clock, settings);
  fixture->kv_replica =
      hzb_kv_replica_new (fixture->kv, fixture->bench.clock, HZB_KEY_REPLICATED, 0.1, &replica_callbacks, fixture);
  fixture->election = hzb_election_new (fixture->kv, fixture->bench.clock, settings, fixture->bench.rand);
  fixture->ownership = hzb_ownership_new (fixture->bench.clock);
  fixture->peers = hzb_peers_new (&(HzbPeersDependencies){ &fixture->node, fixture->kv, fixture->kv_replica,
                                                           fixture->election, fixture->ownership, fixture->bench.jobs },
                                  &no_callbacks, fixture);
  fixture->cancellations = hzb_cancellations_new (
      &(HzbCancellationsDependencies){ &fixture->node, fixture->kv, fixture->kv_replica, fixture->election,
                                       fixture->ownership, fixture->bench.jobs, fixture->peers },
      &callbacks, fixture);
  load_replica (fixture);
}

static void
fixture_down (Fixture *fixture)
{
  fake_transport_fail_calls (&fixture->transport, fixture->kv);
  hzb_cancellations_free (fixture->cancellations);
  hzb_peers_free (fixture->peers);
  hzb_ownership_free (fixture->ownership);
  hzb_election_free (fixture->election);
  hzb_kv_replica_free (fixture->kv_replica);
  hzb_kv_client_free (fixture->kv);
  bench_clear (&fixture->bench);
}

/* Puts the controller into the state of a leader that has loaded the records. */
static void
become_leader (Fixture *fixture)
{
  hzb_ownership_begin_epoch (fixture->ownership);
  g_assert_true (hzb_ownership_set_state (fixture->ownership, HZB_OWNERSHIP_LOADING, "test"));
  g_assert_true (hzb_ownership_set_state (fixture->ownership, HZB_OWNERSHIP_RECOVERING, "test"));
}

static void
check_answer (Fixture *fixture, const char *poll_text, const char *expected)
{
  cJSON *poll = cJSON_Parse (poll_text), *answer = cJSON_CreateObject ();
  g_autoptr (GArray) requested = hzb_cancellation_request_decode (poll);
  g_autofree char *text = NULL;

  if (requested)
    {
      g_auto (GStrv) acknowledged_uids = hzb_cancellations_acknowledge (fixture->cancellations, requested);
      hzb_cancellation_response_encode (acknowledged_uids, answer);
    }
  text = cJSON_PrintUnformatted (answer);
  g_assert_cmpstr (text, ==, expected);
  cJSON_Delete (poll);
  cJSON_Delete (answer);
}

/* The leader applies the cancellation from the request. It acknowledges the cancellation only after every leaseholder
 * has, and only if no task of the job may be on a machine that has not answered this leader. */
static void
test_leader_waits_for_leaseholders (void)
{
  static const char poll[] = "{\"cancelled\":{\"run-001000\":{\"version\":60,\"n\":3}}}";
  Fixture fixture;
  HzbJob *job;

  fixture_up (&fixture);
  job = bench_add_job (&fixture.bench, "red", HZB_PRIORITY_NORMAL, 3, 1, 10);
  g_assert_cmpstr (job->uid, ==, "run-001000");
  g_assert_nonnull (job->tasks);
  check_answer (&fixture, poll, "{\"heard\":[]}"); /* this controller does not lead */
  g_assert_cmpint (job->state, ==, HZB_JOB_CANCELLED);
  become_leader (&fixture);
  check_answer (&fixture, poll, "{\"heard\":[]}");
  g_assert_cmpuint (fixture.announced, ==, 1);
  fixture.leaseholders_acknowledged = TRUE;
  job->unconfirmed = 1;
  check_answer (&fixture, poll, "{\"heard\":[]}"); /* a task may be on a machine that has not answered this leader */
  job->unconfirmed = 0;
  check_answer (&fixture, poll, "{\"heard\":[\"run-001000\"]}");
  check_answer (&fixture, "{}", "{}");
  fixture_down (&fixture);
}

static HzbJob *
cancelled_job (Fixture *fixture, guint number, guint64 revision)
{
  g_autofree char *uid = g_strdup_printf ("run-%06u", number);
  cJSON *record = hzb_job_completion_encode (HZB_JOB_CANCELLED, 1);
  HzbJob *job = hzb_jobs_apply (fixture->bench.jobs, uid, record, revision);
  cJSON_Delete (record);
  return job;
}

static void
respond (Fixture *fixture, guint64 term, const char *text)
{
  cJSON *answer = cJSON_Parse (text);
  g_auto (GStrv) acknowledged_uids = hzb_cancellation_response_decode (answer);
  hzb_cancellations_handle_response (fixture->cancellations, term, acknowledged_uids);
  cJSON_Delete (answer);
}

/* An acknowledgement is ignored if an earlier leader sent it, or if the replica has not received the record yet. */
static void
test_response (void)
{
  HzbKvEntry term = { (char *) HZB_KEY_TERM, cJSON_Parse ("{\"term\":4,\"node\":\"n1\"}"), 40 };
  HzbJob *replicated, *not_replicated;
  Fixture fixture;

  fixture_up (&fixture);
  hzb_election_apply_record (fixture.election, &term);
  replicated = cancelled_job (&fixture, 1, REVISION);
  not_replicated = cancelled_job (&fixture, 2, REVISION + 1);
  respond (&fixture, 3, "{\"heard\":[\"run-000001\",\"run-000002\"]}");
  g_assert_false (hzb_cancellations_is_acknowledged (fixture.cancellations, replicated));
  respond (&fixture, 4, "{\"heard\":[\"run-000001\",\"run-000002\",7]}");
  g_assert_true (hzb_cancellations_is_acknowledged (fixture.cancellations, replicated));
  g_assert_false (hzb_cancellations_is_acknowledged (fixture.cancellations, not_replicated));
  cJSON_Delete (term.value);
  fixture_down (&fixture);
}

static guint
count_requested (Fixture *fixture, const char *uid, gboolean *found)
{
  cJSON *poll = cJSON_CreateObject (), *received;
  g_autoptr (GArray) sent = hzb_cancellations_next_requests (fixture->cancellations), requested = NULL;
  g_autofree char *text = NULL;
  guint count;

  hzb_cancellation_request_encode (sent, poll);
  text = cJSON_PrintUnformatted (poll);
  received = cJSON_Parse (text);
  requested = hzb_cancellation_request_decode (received);
  count = requested ? requested->len : 0;
  *found = FALSE;
  for (guint i = 0; i < count; i++)
    *found = *found || g_str_equal (g_array_index (requested, HzbCancellation, i).uid, uid);
  cJSON_Delete (received);
  cJSON_Delete (poll);
  return count;
}

/* Requests that the leader does not acknowledge do not prevent later ones from being sent, and expire after 10 s. */
static void
test_requests_take_turns (void)
{
  Fixture fixture;
  gboolean found;

  fixture_up (&fixture);
  for (guint i = 0; i < MAX_REQUESTS_PER_POLL + 6; i++)
    g_assert_false (hzb_cancellations_request (fixture.cancellations, cancelled_job (&fixture, i, REVISION)));
  g_assert_cmpuint (fixture.polls_requested, ==, MAX_REQUESTS_PER_POLL + 6);
  g_assert_cmpuint (count_requested (&fixture, "run-000000", &found), ==, MAX_REQUESTS_PER_POLL);
  g_assert_false (found); /* the newest requests are sent first, since they were never sent before */
  g_assert_cmpuint (count_requested (&fixture, "run-000000", &found), ==, MAX_REQUESTS_PER_POLL);
  g_assert_true (found);
  hzb_clock_advance (fixture.bench.clock, 10.5);
  g_assert_cmpuint (count_requested (&fixture, "run-000000", &found), ==, 0);
  fixture_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cancellations/leader-waits-for-leaseholders", test_leader_waits_for_leaseholders);
  g_test_add_func ("/cancellations/response", test_response);
  g_test_add_func ("/cancellations/requests-take-turns", test_requests_take_turns);
  return g_test_run ();
}
