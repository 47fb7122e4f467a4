/* HzbPeers without a controller: two instances exchange messages, and copies of old messages are refused. */
#include "support.h"

#include "fake-transport.h"
#include "peers.h"
#include "record-keys.h"

#define HEARTBEAT_PATH "/peer/v1/word"
#define SHARD_POLL_PATH "/peer/v1/block"

/* The peers module of one controller, and its dependencies. */
typedef struct
{
  HzbNode node;
  HzbPeer peer; /* the other controller in the settings */
  FakeTransport transport;
  HzbKvClient *kv;
  HzbKvReplica *kv_replica;
  HzbElection *election;
  HzbOwnership *ownership;
  HzbJobs *jobs;
  HzbPeers *peers;
  GRand *rand;

  guint64 known_revision;    /* revision of known cancellations that heartbeats state */
  guint replies_filled;      /* number of calls of fill_reply() */
  gboolean knows_all_listed; /* result of apply_reply() */
  guint polls;               /* number of polls of leaseholders */
} Fixture;

static void
fill_heartbeat (HzbPeerHeartbeat *heartbeat, gpointer user)
{
  Fixture *fixture = user;
  heartbeat->known_cancellations_revision = fixture->known_revision;
  heartbeat->self_fenced = TRUE;
}

static void
fill_reply (const HzbPeerHeartbeat *request, HzbPeerHeartbeat *reply, gpointer user)
{
  Fixture *fixture = user;
  fixture->replies_filled++;
  reply->cancellations_up_to = fixture->known_revision;
}

static gboolean
apply_reply (const HzbPeerHeartbeat *reply, gpointer user)
{
  Fixture *fixture = user;
  return fixture->knows_all_listed;
}

static void
handle_shard_poll (HzbHttpRequest *http_request, const cJSON *message, gpointer user)
{
  Fixture *fixture = user;
  fixture->polls++;
  hzb_http_request_respond (http_request, 200, g_strdup ("{}"), 0);
}

static void
ignore (gpointer user)
{
}

static void
fixture_up (Fixture *fixture, HzbClock *clock, const char *name, const char *peer, const char *incarnation)
{
  static const HzbPeersCallbacks callbacks = { fill_heartbeat, fill_reply, apply_reply, handle_shard_poll };
  static const HzbKvReplicaCallbacks replica_callbacks = { .reset = ignore };

  *fixture = (Fixture){ .node = { .settings = test_settings (),
                                  .clock = clock,
                                  .incarnation = g_strdup (incarnation),
                                  .schema_version = HZB_SCHEMA_VERSION },
                        .peer = { .node = (char *) peer, .address = (char *) "10.0.0.9:1" },
                        .rand = g_rand_new_with_seed (1) };
  g_free (fixture->node.settings->node);
  fixture->node.settings->node = g_strdup (name);
  fixture->node.settings->cluster_size = 2;
  g_ptr_array_unref (fixture->node.settings->peers);
  fixture->node.settings->peers = g_ptr_array_new ();
  g_ptr_array_add (fixture->node.settings->peers, &fixture->peer);
  fake_transport_init (&fixture->transport, clock);
  fixture->node.transport = &fixture->transport.parent;
  fixture->kv = hzb_kv_client_new (fixture->node.transport, clock, fixture->node.settings);
  fixture->kv_replica = hzb_kv_replica_new (fixture->kv, clock, HZB_KEY_REPLICATED, 0.1, &replica_callbacks, fixture);
  fixture->election = hzb_election_new (fixture->kv, clock, fixture->node.settings, fixture->rand);
  fixture->ownership = hzb_ownership_new (clock);
  fixture->jobs = hzb_jobs_new (clock, fixture->node.settings);
  fixture->peers = hzb_peers_new (&(HzbPeersDependencies){ &fixture->node, fixture->kv, fixture->kv_replica,
                                                           fixture->election, fixture->ownership, fixture->jobs },
                                  &callbacks, fixture);
}

static void
fixture_down (Fixture *fixture)
{
  fake_transport_fail_calls (&fixture->transport, fixture->kv);
  hzb_peers_free (fixture->peers);
  hzb_jobs_free (fixture->jobs);
  hzb_ownership_free (fixture->ownership);
  hzb_election_free (fixture->election);
  hzb_kv_replica_free (fixture->kv_replica);
  hzb_kv_client_free (fixture->kv);
  hzb_settings_free (fixture->node.settings);
  g_free (fixture->node.incarnation);
  g_rand_free (fixture->rand);
}

/* The response to a request of a peer. */
typedef struct
{
  guint status;
  char *body;
} Response;

static void
store_response (HzbHttpRequest *http_request, guint status, const char *body, guint retry_after_s)
{
  Response *response = http_request->impl;
  response->status = status;
  response->body = g_strdup (body);
}

/* Delivers a request and checks the status of the response. Returns: (transfer full): the body of the response */
static char *
deliver (Fixture *to, const char *path, const char *body, guint expected_status)
{
  Response response = { 0 };
  HzbHttpRequest *http_request = g_new0 (HzbHttpRequest, 1); /* freed when it is answered */

  http_request->method = g_strdup ("POST");
  http_request->path = g_strdup (path);
  http_request->body = g_strdup (body);
  http_request->length = strlen (body);
  http_request->reply = store_response;
  http_request->impl = &response;
  hzb_peers_handle_request (to->peers, http_request);
  g_assert_cmpuint (response.status, ==, expected_status);
  return response.body;
}

/* Returns: (transfer none): the heartbeat that the fixture has sent; its reply is pending */
static FakeCall *
tick (Fixture *fixture)
{
  hzb_peers_tick (fixture->peers, hzb_clock_now (fixture->node.clock));
  g_assert_cmpuint (fixture->transport.calls.length, ==, 1);
  return g_queue_peek_head (&fixture->transport.calls);
}

static void
exchange (Fixture *from, Fixture *to)
{
  FakeCall *call = tick (from);
  g_autofree char *response = NULL;
  g_assert_cmpstr (call->path, ==, HEARTBEAT_PATH);
  response = deliver (to, call->path, call->body, 200);
  fake_answer (&from->transport, call, 200, response);
}

/* After one exchange each controller knows what the other one has stated. */
static void
test_exchange (void)
{
  HzbClock *clock = hzb_clock_new_manual ();
  struct timespec start = hzb_clock_now (clock);
  Fixture a, b;

  fixture_up (&a, clock, "a", "b", "a1");
  fixture_up (&b, clock, "b", "a", "b1");
  a.known_revision = 7;
  b.known_revision = 9;
  a.knows_all_listed = TRUE;
  g_assert_true (hzb_peers_is_unreachable (a.peers, "b"));
  g_assert_cmpuint (hzb_peers_schema_version (a.peers, "b"), ==, 1);
  exchange (&a, &b);
  g_assert_cmpuint (b.replies_filled, ==, 1);
  g_assert_false (hzb_peers_is_unreachable (a.peers, "b"));
  g_assert_cmpuint (hzb_peers_schema_version (a.peers, "b"), ==, HZB_SCHEMA_VERSION);
  g_assert_cmpstr (hzb_peers_incarnation (b.peers, "a"), ==, "a1");
  g_assert_true (hzb_peers_all_know_cancellations (b.peers, 7));
  g_assert_false (hzb_peers_all_know_cancellations (b.peers, 8));
  g_assert_cmpfloat (hzb_time_between (start, hzb_peers_current_as_of (a.peers)), ==, 0);
  hzb_clock_advance (clock, 4);
  g_assert_true (hzb_peers_is_unreachable (a.peers, "b"));
  fixture_down (&a);
  fixture_down (&b);
  hzb_clock_free (clock);
}

/* A reply does not make the controller current if it could not apply all cancellations that the reply lists. */
static void
test_incomplete_reply (void)
{
  HzbClock *clock = hzb_clock_new_manual ();
  Fixture a, b;

  fixture_up (&a, clock, "a", "b", "a1");
  fixture_up (&b, clock, "b", "a", "b1");
  a.knows_all_listed = FALSE;
  exchange (&a, &b);
  g_assert_false (hzb_time_is_set (hzb_peers_current_as_of (a.peers)));
  fixture_down (&a);
  fixture_down (&b);
  hzb_clock_free (clock);
}

/* A second copy of a message is refused, and so are older messages of the same kind, but not of another kind. Messages
 * of unknown senders and malformed messages are refused. */
static void
test_copies_are_refused (void)
{
  HzbClock *clock = hzb_clock_new_manual ();
  cJSON *first_poll, *second_poll;
  g_autofree char *first = NULL, *second = NULL, *unidentified = NULL;
  Fixture a, b;

  fixture_up (&a, clock, "a", "b", "a1");
  fixture_up (&b, clock, "b", "a", "b1");
  first_poll = hzb_peers_new_message (a.peers, HZB_PEER_SHARD_POLL);
  second_poll = hzb_peers_new_message (a.peers, HZB_PEER_SHARD_POLL);
  first = cJSON_PrintUnformatted (first_poll);
  second = cJSON_PrintUnformatted (second_poll);
  g_free (deliver (&b, SHARD_POLL_PATH, second, 200));
  g_free (deliver (&b, SHARD_POLL_PATH, second, 400));
  g_free (deliver (&b, SHARD_POLL_PATH, first, 400));
  g_assert_cmpuint (b.polls, ==, 1);
  g_free (deliver (&b, HEARTBEAT_PATH, first, 200));
  g_free (deliver (&a, HEARTBEAT_PATH, first, 400)); /* the settings of a name no peer a */
  unidentified = g_strdup ("{\"node\":\"a\",\"number\":99}");
  g_free (deliver (&b, HEARTBEAT_PATH, unidentified, 400)); /* names no process */
  g_free (deliver (&b, HEARTBEAT_PATH, "not JSON", 400));
  cJSON_Delete (first_poll);
  cJSON_Delete (second_poll);
  fixture_down (&a);
  fixture_down (&b);
  hzb_clock_free (clock);
}

/* Messages of an old process are refused after a heartbeat of a newer process of the same controller was received. */
static void
test_earlier_process (void)
{
  HzbClock *clock = hzb_clock_new_manual ();
  cJSON *message;
  g_autofree char *late = NULL;
  Fixture before, after, b;

  fixture_up (&before, clock, "a", "b", "a1");
  fixture_up (&b, clock, "b", "a", "b1");
  before.known_revision = 7;
  exchange (&before, &b);
  message = hzb_peers_new_message (before.peers, HZB_PEER_HEARTBEAT);
  late = cJSON_PrintUnformatted (message);
  cJSON_Delete (message);
  hzb_clock_advance (clock, 2);
  fixture_up (&after, clock, "a", "b", "a2");
  exchange (&after, &b);
  g_assert_cmpstr (hzb_peers_incarnation (b.peers, "a"), ==, "a2");
  g_assert_false (hzb_peers_all_know_cancellations (b.peers, 7)); /* the new process has not stated it */
  g_free (deliver (&b, HEARTBEAT_PATH, late, 400));
  g_assert_cmpstr (hzb_peers_incarnation (b.peers, "a"), ==, "a2");
  fixture_down (&before);
  fixture_down (&after);
  fixture_down (&b);
  hzb_clock_free (clock);
}

/* When every controller reads schema version 2, messages of a process that states no version are refused. */
static void
test_old_schema (void)
{
  HzbClock *clock = hzb_clock_new_manual ();
  HzbKvEntry entry = { (char *) HZB_KEY_SCHEMA_VERSION, cJSON_Parse ("{\"format\":2}"), 5 };
  Fixture b;

  fixture_up (&b, clock, "b", "a", "b1");
  g_free (deliver (&b, HEARTBEAT_PATH, "{\"node\":\"a\",\"incarnation\":\"a1\",\"number\":1}", 200));
  hzb_election_apply_record (b.election, &entry);
  g_test_expect_message (G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "*schema version 1*");
  g_free (deliver (&b, HEARTBEAT_PATH, "{\"node\":\"a\",\"incarnation\":\"a1\",\"number\":2}", 400));
  g_test_assert_expected_messages ();
  g_free (deliver (&b, HEARTBEAT_PATH, "{\"node\":\"a\",\"incarnation\":\"a1\",\"number\":3}", 400)); /* logged once */
  g_free (deliver (&b, HEARTBEAT_PATH, "{\"node\":\"a\",\"incarnation\":\"a1\",\"number\":4,\"format\":2}", 200));
  cJSON_Delete (entry.value);
  fixture_down (&b);
  hzb_clock_free (clock);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peers/exchange", test_exchange);
  g_test_add_func ("/peers/incomplete-reply", test_incomplete_reply);
  g_test_add_func ("/peers/copies-are-refused", test_copies_are_refused);
  g_test_add_func ("/peers/earlier-process", test_earlier_process);
  g_test_add_func ("/peers/old-schema", test_old_schema);
  return g_test_run ();
}
