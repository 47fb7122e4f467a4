/* The quarantine by itself: what it tracks, and operators' decisions. Proofs are played in the simulated cluster
 * (/cold-start/unrecorded-tasks). */
#include "support.h"

#include "fake-transport.h"
#include "quarantine.h"
#include "record-keys.h"

typedef struct
{
  HzbSettings *settings;
  HzbClock *clock;
  FakeTransport transport;
  HzbKvClient *kv;
  GRand *rand;
  HzbElection *election;
  HzbOwnership *ownership;
  HzbJobs *jobs;
  HzbMachines *machines;
  HzbNode node;
  HzbQuarantine *quarantine;
  HzbMachine *machine;
} Fixture;

static void
fixture_up (Fixture *fixture)
{
  HzbQuarantineDependencies dependencies;

  fixture->settings = test_settings ();
  fixture->clock = hzb_clock_new_manual ();
  fixture->rand = g_rand_new_with_seed (1);
  fake_transport_init (&fixture->transport, fixture->clock);
  fixture->kv = hzb_kv_client_new (&fixture->transport.parent, fixture->clock, fixture->settings);
  fixture->election = hzb_election_new (fixture->kv, fixture->clock, fixture->settings, fixture->rand);
  fixture->ownership = hzb_ownership_new (fixture->clock);
  fixture->jobs = hzb_jobs_new (fixture->clock, fixture->settings);
  fixture->machines = hzb_machines_new (fixture->clock, fixture->settings);
  fixture->node = (HzbNode){ .settings = fixture->settings, .clock = fixture->clock };
  dependencies = (HzbQuarantineDependencies){
    .node = &fixture->node,
    .kv = fixture->kv,
    .election = fixture->election,
    .ownership = fixture->ownership,
    .jobs = fixture->jobs,
    .machines = fixture->machines,
  };
  fixture->quarantine = hzb_quarantine_new (&dependencies);
  fixture->machine =
      hzb_machines_add (fixture->machines, "i-1", "10.0.1.1:1", "small", "za", FALSE, HZB_MACHINE_BOOTING);
}

static void
fixture_down (Fixture *fixture)
{
  fake_transport_end (&fixture->transport, fixture->kv);
  hzb_quarantine_free (fixture->quarantine);
  hzb_machines_clear (fixture->machines);
  hzb_machines_free (fixture->machines);
  hzb_jobs_free (fixture->jobs);
  hzb_ownership_free (fixture->ownership);
  hzb_election_free (fixture->election);
  hzb_kv_client_free (fixture->kv);
  hzb_clock_free (fixture->clock);
  hzb_settings_free (fixture->settings);
  g_rand_free (fixture->rand);
}

static HzbTaskVerdict
judge (Fixture *fixture, guint64 attempt, HzbTaskReason *reason)
{
  HzbTaskStatus task_status = { .uid = (char *) "run-000001", .attempt = attempt };
  return hzb_quarantine_judge (fixture->quarantine, fixture->machine, &task_status, hzb_clock_now (fixture->clock),
                               reason);
}

static guint
n_tracked (Fixture *fixture)
{
  g_autoptr (GPtrArray) list = hzb_quarantine_list (fixture->quarantine);
  return list->len;
}

static gboolean
is_kept (Fixture *fixture)
{
  HzbQuarantined entry = { .uid = (char *) "run-000001" };
  return hzb_quarantine_is_kept (fixture->quarantine, &entry);
}

/* The answer that the operator got. */
typedef struct
{
  guint n;
  HzbKeepResult result;
} Outcome;

static void
on_decided (HzbKeepResult result, gpointer user)
{
  Outcome *outcome = user;
  outcome->n++;
  outcome->result = result;
}

static Outcome *
decide (Fixture *fixture, HzbOperatorDecision decision, Outcome *outcome)
{
  *outcome = (Outcome){ 0 };
  hzb_quarantine_decide (fixture->quarantine, "run-000001", 0, decision, on_decided, outcome);
  return outcome;
}

static void
test_left_alone (void)
{
  Fixture fixture;
  HzbTaskReason reason;

  fixture_up (&fixture);
  g_assert_cmpint (judge (&fixture, 1, &reason), ==, HZB_TASK_VERDICT_QUARANTINE);
  g_assert_cmpint (reason, ==, HZB_TASK_REASON_RECORD_MAY_COME);
  judge (&fixture, 1, &reason);
  g_assert_cmpuint (n_tracked (&fixture), ==, 1);
  judge (&fixture, 2, &reason);
  g_assert_cmpuint (n_tracked (&fixture), ==, 2); /* each attempt by itself */
  /* However long it lasts: without a proof no operator's time runs out. */
  hzb_clock_advance (fixture.clock, 1e6);
  g_assert_cmpint (judge (&fixture, 1, &reason), ==, HZB_TASK_VERDICT_QUARANTINE);
  g_assert_cmpint (reason, ==, HZB_TASK_REASON_RECORD_MAY_COME);
  fixture_down (&fixture);
}

static void
test_forgotten (void)
{
  Fixture fixture;
  HzbTaskReason reason;

  fixture_up (&fixture);
  judge (&fixture, 1, &reason);
  hzb_clock_advance (fixture.clock, fixture.settings->lease_s - 2);
  hzb_quarantine_tick (fixture.quarantine, hzb_clock_now (fixture.clock));
  g_assert_cmpuint (n_tracked (&fixture), ==, 1);
  hzb_clock_advance (fixture.clock, 3);
  hzb_quarantine_tick (fixture.quarantine, hzb_clock_now (fixture.clock));
  g_assert_cmpuint (n_tracked (&fixture), ==, 0);
  fixture_down (&fixture);
}

static void
test_refused (void)
{
  Fixture fixture;
  HzbTaskReason reason;
  Outcome outcome;

  fixture_up (&fixture);
  decide (&fixture, HZB_OPERATOR_KEEPS, &outcome);
  g_assert_true (outcome.n == 1 && outcome.result == HZB_KEEP_NOT_FOUND);
  judge (&fixture, 1, &reason);
  decide (&fixture, HZB_OPERATOR_STOPS, &outcome);
  g_assert_true (outcome.n == 1 && outcome.result == HZB_KEEP_NOT_PROVEN);
  judge (&fixture, 1, &reason);
  g_assert_cmpint (reason, ==, HZB_TASK_REASON_RECORD_MAY_COME);
  g_assert_cmpuint (fixture.transport.sent, ==, 0);
  fixture_down (&fixture);
}

/* Nothing is kept before the decision is durable, and one decision is recorded at a time. */
static void
test_kept (void)
{
  static const struct
  {
    guint status;
    HzbKeepResult result;
    gboolean kept;
  } cases[] = {
    { 409, HZB_KEEP_CONFLICT, FALSE },
    { 500, HZB_KEEP_UNAVAILABLE, FALSE },
    { 200, HZB_KEEP_DONE, TRUE },
  };
  Fixture fixture;
  HzbTaskReason reason;
  Outcome outcome, second;

  fixture_up (&fixture);
  judge (&fixture, 1, &reason);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      FakeCall *call;
      decide (&fixture, HZB_OPERATOR_KEEPS, &outcome);
      hzb_clock_advance (fixture.clock, 0.1);
      hzb_kv_client_pump (fixture.kv);
      g_assert_true (outcome.n == 0 && !is_kept (&fixture));
      decide (&fixture, HZB_OPERATOR_KEEPS, &second);
      g_assert_true (second.n == 1 && second.result == HZB_KEEP_BUSY);
      call = g_queue_peek_head (&fixture.transport.calls);
      g_assert_nonnull (call);
      g_assert_nonnull (strstr (call->body, HZB_KEY_RECONCILIATION_KEPT));
      fake_answer (&fixture.transport, call, cases[i].status, "{\"epoch\":7}");
      g_assert_true (outcome.n == 1 && outcome.result == cases[i].result);
      g_assert_cmpint (is_kept (&fixture), ==, cases[i].kept);
    }
  decide (&fixture, HZB_OPERATOR_KEEPS, &outcome);
  g_assert_true (outcome.n == 1 && outcome.result == HZB_KEEP_DONE); /* as it is already */
  fixture_down (&fixture);
}

/* The answer of an earlier leadership changes nothing; the operator is answered all the same. */
static void
test_earlier_epoch (void)
{
  Fixture fixture;
  HzbTaskReason reason;
  Outcome outcome;

  fixture_up (&fixture);
  judge (&fixture, 1, &reason);
  decide (&fixture, HZB_OPERATOR_KEEPS, &outcome);
  hzb_clock_advance (fixture.clock, 0.1);
  hzb_kv_client_pump (fixture.kv);
  hzb_ownership_begin_epoch (fixture.ownership);
  hzb_quarantine_reset (fixture.quarantine);
  fake_answer (&fixture.transport, g_queue_peek_head (&fixture.transport.calls), 200, "{\"epoch\":7}");
  g_assert_true (outcome.n == 1 && !is_kept (&fixture));
  fixture_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quarantine/left-alone", test_left_alone);
  g_test_add_func ("/quarantine/forgotten", test_forgotten);
  g_test_add_func ("/quarantine/refused", test_refused);
  g_test_add_func ("/quarantine/kept", test_kept);
  g_test_add_func ("/quarantine/earlier-epoch", test_earlier_epoch);
  return g_test_run ();
}
