/* Unit tests of the quarantine: the tasks that it tracks, and operators' decisions. The simulated cluster tests the
 * proofs (/cold-start/unrecorded-tasks). */
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
fixture_init (Fixture *fixture)
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
fixture_clear (Fixture *fixture)
{
  fake_transport_fail_calls (&fixture->transport, fixture->kv);
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
decide_task (Fixture *fixture, guint64 attempt, HzbTaskReason *reason)
{
  HzbTaskStatus task_status = { .uid = (char *) "run-000001", .attempt = attempt };
  return hzb_quarantine_decide_task (fixture->quarantine, fixture->machine, &task_status,
                                     hzb_clock_now (fixture->clock), reason);
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
  HzbQuarantinedTask entry = { .uid = (char *) "run-000001" };
  return hzb_quarantine_is_kept (fixture->quarantine, &entry);
}

/* The calls of the function that receives the result of a decision. */
typedef struct
{
  guint n_calls;
  HzbDecisionResult result; /* of the last call */
} DecisionOutcome;

static void
on_decision_applied (HzbDecisionResult result, gpointer user)
{
  DecisionOutcome *outcome = user;
  outcome->n_calls++;
  outcome->result = result;
}

static DecisionOutcome *
apply_decision (Fixture *fixture, HzbOperatorDecision decision, DecisionOutcome *outcome)
{
  *outcome = (DecisionOutcome){ 0 };
  hzb_quarantine_apply_decision (fixture->quarantine, "run-000001", 0, decision, on_decision_applied, outcome);
  return outcome;
}

/* Without a proof that no record names it, a task stays quarantined: a record may still arrive. */
static void
test_left_alone (void)
{
  Fixture fixture;
  HzbTaskReason reason;

  fixture_init (&fixture);
  g_assert_cmpint (decide_task (&fixture, 1, &reason), ==, HZB_TASK_VERDICT_QUARANTINE);
  g_assert_cmpint (reason, ==, HZB_TASK_REASON_ABSENCE_UNPROVEN);
  decide_task (&fixture, 1, &reason);
  g_assert_cmpuint (n_tracked (&fixture), ==, 1);
  decide_task (&fixture, 2, &reason);
  g_assert_cmpuint (n_tracked (&fixture), ==, 2); /* each attempt is tracked separately */
  /* The time for an operator's decision has no effect before the proof is complete. */
  hzb_clock_advance (fixture.clock, 1e6);
  g_assert_cmpint (decide_task (&fixture, 1, &reason), ==, HZB_TASK_VERDICT_QUARANTINE);
  g_assert_cmpint (reason, ==, HZB_TASK_REASON_ABSENCE_UNPROVEN);
  fixture_clear (&fixture);
}

/* A task that heartbeats no longer list is dropped once the lease time is over. */
static void
test_expiry (void)
{
  Fixture fixture;
  HzbTaskReason reason;

  fixture_init (&fixture);
  decide_task (&fixture, 1, &reason);
  hzb_clock_advance (fixture.clock, fixture.settings->lease_s - 2);
  hzb_quarantine_tick (fixture.quarantine, hzb_clock_now (fixture.clock));
  g_assert_cmpuint (n_tracked (&fixture), ==, 1);
  hzb_clock_advance (fixture.clock, 3);
  hzb_quarantine_tick (fixture.quarantine, hzb_clock_now (fixture.clock));
  g_assert_cmpuint (n_tracked (&fixture), ==, 0);
  fixture_clear (&fixture);
}

/* A decision about an unknown task, or to stop a task without a proof, is refused and writes nothing. */
static void
test_refused (void)
{
  Fixture fixture;
  HzbTaskReason reason;
  DecisionOutcome outcome;

  fixture_init (&fixture);
  apply_decision (&fixture, HZB_OPERATOR_KEEP, &outcome);
  g_assert_true (outcome.n_calls == 1 && outcome.result == HZB_DECISION_NOT_FOUND);
  decide_task (&fixture, 1, &reason);
  apply_decision (&fixture, HZB_OPERATOR_STOP, &outcome);
  g_assert_true (outcome.n_calls == 1 && outcome.result == HZB_DECISION_NOT_PROVEN);
  decide_task (&fixture, 1, &reason);
  g_assert_cmpint (reason, ==, HZB_TASK_REASON_ABSENCE_UNPROVEN);
  g_assert_cmpuint (fixture.transport.sent, ==, 0);
  fixture_clear (&fixture);
}

/* A task is kept only once the decision is durable. While a decision is being written, another one is refused. */
static void
test_kept (void)
{
  static const struct
  {
    guint status;
    HzbDecisionResult result;
    gboolean kept;
  } cases[] = {
    { 409, HZB_DECISION_CONFLICT, FALSE },
    { 500, HZB_DECISION_UNAVAILABLE, FALSE },
    { 200, HZB_DECISION_DONE, TRUE },
  };
  Fixture fixture;
  HzbTaskReason reason;
  DecisionOutcome outcome, second_outcome;

  fixture_init (&fixture);
  decide_task (&fixture, 1, &reason);
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      FakeCall *call;
      apply_decision (&fixture, HZB_OPERATOR_KEEP, &outcome);
      hzb_clock_advance (fixture.clock, 0.1);
      hzb_kv_client_pump (fixture.kv);
      g_assert_true (outcome.n_calls == 0 && !is_kept (&fixture));
      apply_decision (&fixture, HZB_OPERATOR_KEEP, &second_outcome);
      g_assert_true (second_outcome.n_calls == 1 && second_outcome.result == HZB_DECISION_BUSY);
      call = g_queue_peek_head (&fixture.transport.calls);
      g_assert_nonnull (call);
      g_assert_nonnull (strstr (call->body, HZB_KEY_RECONCILIATION_KEPT_TASKS));
      fake_answer (&fixture.transport, call, cases[i].status, "{\"epoch\":7}");
      g_assert_true (outcome.n_calls == 1 && outcome.result == cases[i].result);
      g_assert_cmpint (is_kept (&fixture), ==, cases[i].kept);
    }
  apply_decision (&fixture, HZB_OPERATOR_KEEP, &outcome);
  g_assert_true (outcome.n_calls == 1 && outcome.result == HZB_DECISION_DONE); /* the task is kept already */
  fixture_clear (&fixture);
}

/* A response to a write of an earlier leadership must not change the kept tasks, but the operator gets a result. */
static void
test_earlier_epoch (void)
{
  Fixture fixture;
  HzbTaskReason reason;
  DecisionOutcome outcome;

  fixture_init (&fixture);
  decide_task (&fixture, 1, &reason);
  apply_decision (&fixture, HZB_OPERATOR_KEEP, &outcome);
  hzb_clock_advance (fixture.clock, 0.1);
  hzb_kv_client_pump (fixture.kv);
  hzb_ownership_begin_epoch (fixture.ownership);
  hzb_quarantine_reset (fixture.quarantine);
  fake_answer (&fixture.transport, g_queue_peek_head (&fixture.transport.calls), 200, "{\"epoch\":7}");
  g_assert_true (outcome.n_calls == 1 && !is_kept (&fixture));
  fixture_clear (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quarantine/left-alone", test_left_alone);
  g_test_add_func ("/quarantine/unlisted-task-expires", test_expiry);
  g_test_add_func ("/quarantine/refused", test_refused);
  g_test_add_func ("/quarantine/kept", test_kept);
  g_test_add_func ("/quarantine/earlier-epoch", test_earlier_epoch);
  return g_test_run ();
}
