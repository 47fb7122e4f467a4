/* The client of the key-value store: every request gets one callback in bounded time, and no request waits for a budget
 * that it does not use. */
#include "support.h"

#include "fake-transport.h"
#include "kv-client.h"
#include "kv-protocol.h"

#define STEP_S 0.05

typedef struct
{
  HzbSettings *settings;
  HzbClock *clock;
  FakeTransport transport;
  HzbKvClient *kv;
  GRand *rand;
} Fixture;

static void
fixture_up (Fixture *fixture, guint32 seed, double rps, double write_rps)
{
  fixture->settings = test_settings ();
  fixture->settings->kv_rps = rps;
  fixture->settings->kv_write_rps = write_rps;
  fixture->clock = hzb_clock_new_manual ();
  fake_transport_init (&fixture->transport, fixture->clock);
  fixture->kv = hzb_kv_client_new (&fixture->transport.parent, fixture->clock, fixture->settings);
  fixture->rand = g_rand_new_with_seed (seed);
}

static void
fixture_down (Fixture *fixture)
{
  fake_transport_fail_calls (&fixture->transport, fixture->kv);
  hzb_kv_client_free (fixture->kv);
  hzb_clock_free (fixture->clock);
  hzb_settings_free (fixture->settings);
  g_rand_free (fixture->rand);
}

static void
step (Fixture *fixture)
{
  hzb_clock_advance (fixture->clock, STEP_S);
  hzb_kv_client_pump (fixture->kv);
}

/* A request, and the result that its callback received. */
typedef struct
{
  guint callback_calls;
  HzbKvResult result;
  struct timespec requested_at, called_at;
  HzbClock *clock;
} Caller;

static void
on_result (HzbKvResult result, const char *body, gpointer user)
{
  Caller *caller = user;
  caller->callback_calls++;
  caller->result = result;
  caller->called_at = hzb_clock_now (caller->clock);
}

static Caller *
caller_new (Fixture *fixture, GPtrArray *callers)
{
  Caller *caller = g_new0 (Caller, 1);
  caller->clock = fixture->clock;
  caller->requested_at = hzb_clock_now (fixture->clock);
  g_ptr_array_add (callers, caller);
  return caller;
}

static void
put (Fixture *fixture, HzbKvPriority priority, Caller *caller)
{
  HzbKvTransaction *transaction = hzb_kv_transaction_new ();
  hzb_kv_transaction_put (transaction, "a/b", cJSON_CreateObject (), 0);
  hzb_kv_client_commit (fixture->kv, priority, transaction, on_result, caller);
}

static void
answer_all (Fixture *fixture)
{
  FakeCall *call;
  while ((call = g_queue_peek_head (&fixture->transport.calls)))
    fake_answer (&fixture->transport, call, 200, "{\"epoch\":5,\"news\":[]}");
}

/* For 30 s, changes are requested at a higher rate than the write budget allows. Guards against reads that wait
 * for the write budget. */
static void
test_reads_during_write_backlog (void)
{
  Fixture fixture;
  g_autoptr (GPtrArray) reads = g_ptr_array_new_with_free_func (g_free),
                        writes = g_ptr_array_new_with_free_func (g_free);
  guint changed = 0;

  fixture_up (&fixture, 1, 400, 10);
  for (guint i = 0; i < 600; i++)
    {
      if (i % 2)
        put (&fixture, HZB_KV_ACCEPT, caller_new (&fixture, writes));
      if (i % 10 == 0)
        hzb_kv_client_changes (fixture.kv, "a/", 4, on_result, caller_new (&fixture, reads));
      answer_all (&fixture);
      step (&fixture);
    }
  answer_all (&fixture);
  for (guint i = 0; i < reads->len; i++)
    {
      const Caller *caller = reads->pdata[i];
      g_assert_cmpuint (caller->callback_calls, ==, 1);
      g_assert_cmpint (caller->result, ==, HZB_KV_OK);
      g_assert_cmpfloat (hzb_time_between (caller->requested_at, caller->called_at), <, 0.3);
    }
  for (guint i = 0; i < writes->len; i++)
    {
      const Caller *caller = writes->pdata[i];
      changed += caller->callback_calls && caller->result == HZB_KV_OK;
    }
  /* The changes use the write budget: 0.6 of 10 per second, for 30 s. The upper bound adds the capacity of the
   * budget. */
  g_assert_cmpuint (changed, >=, 170);
  g_assert_cmpuint (changed, <=, 180 + 24);
  fixture_down (&fixture);
}

/* There are more acceptances than the store takes requests. Guards against reads that are starved by acceptances, and
 * against acceptances that are starved by reads. */
static void
test_low_request_rate (void)
{
  Fixture fixture;
  g_autoptr (GPtrArray) reads = g_ptr_array_new_with_free_func (g_free),
                        writes = g_ptr_array_new_with_free_func (g_free);
  guint answered = 0, changed = 0;

  fixture_up (&fixture, 2, 10, 100);
  for (guint i = 0; i < 600; i++)
    {
      put (&fixture, HZB_KV_ACCEPT, caller_new (&fixture, writes));
      if (i % 20 == 0)
        hzb_kv_client_changes (fixture.kv, "a/", 4, on_result, caller_new (&fixture, reads));
      answer_all (&fixture);
      step (&fixture);
    }
  for (guint i = 0; i < reads->len; i++)
    answered += ((Caller *) reads->pdata[i])->result == HZB_KV_OK && ((Caller *) reads->pdata[i])->callback_calls;
  for (guint i = 0; i < writes->len; i++)
    changed += ((Caller *) writes->pdata[i])->result == HZB_KV_OK && ((Caller *) writes->pdata[i])->callback_calls;
  g_assert_cmpuint (answered, >=, reads->len - 2);
  g_assert_cmpuint (changed, >=, 100);
  fixture_down (&fixture);
}

static void
random_request (Fixture *fixture, GPtrArray *callers)
{
  HzbKvPriority priority = (HzbKvPriority) g_rand_int_range (fixture->rand, 0, HZB_KV_N_PRIORITIES);
  switch (g_rand_int_range (fixture->rand, 0, 4))
    {
    case 0:
      hzb_kv_client_get (fixture->kv, priority, "a/b", on_result, caller_new (fixture, callers));
      break;
    case 1:
      hzb_kv_client_range (fixture->kv, "a/", NULL, on_result, caller_new (fixture, callers));
      break;
    case 2:
      hzb_kv_client_changes (fixture->kv, "a/", 4, on_result, caller_new (fixture, callers));
      break;
    default:
      put (fixture, priority, caller_new (fixture, callers));
      break;
    }
}

/* Answers some requests, in random order. A request that is still unanswered after its deadline ends with status 0. */
static void
random_answers (Fixture *fixture)
{
  static const guint statuses[] = { 200, 200, 404, 409, 410, 429, 429, 503, 500, 0 };
  struct timespec now = hzb_clock_now (fixture->clock);
  guint n = g_queue_get_length (&fixture->transport.calls);
  for (guint i = 0; i < n; i++)
    {
      FakeCall *call = g_queue_peek_nth (&fixture->transport.calls,
                                         (guint) g_rand_int_range (fixture->rand, 0, (gint32) n - (gint32) i));
      if (hzb_time_before (call->deadline, now))
        fake_answer (&fixture->transport, call, 0, "");
      else if (g_rand_double (fixture->rand) < 0.1)
        fake_answer (&fixture->transport, call, statuses[g_rand_int_range (fixture->rand, 0, G_N_ELEMENTS (statuses))],
                     "{}");
    }
  for (GList *l = fixture->transport.calls.head, *next; l; l = next)
    {
      next = l->next;
      if (hzb_time_before (((FakeCall *) l->data)->deadline, now))
        fake_answer (&fixture->transport, l->data, 0, "");
    }
}

/* Random requests, rates and answers. Guards against callers that never get a result: each callback is called exactly
 * once, within twice the request's timeout. */
static void
test_each_caller_is_called_back (void)
{
  for (guint32 seed = 10; seed < 40; seed++)
    {
      Fixture fixture;
      g_autoptr (GPtrArray) callers = g_ptr_array_new_with_free_func (g_free);
      fixture_up (&fixture, seed, seed % 3 ? 200 : 4, seed % 2 ? 60 : 3);
      for (guint i = 0; i < 400; i++)
        {
          for (gint32 n = g_rand_int_range (fixture.rand, 0, 5); n > 0; n--)
            random_request (&fixture, callers);
          random_answers (&fixture);
          step (&fixture);
        }
      for (guint i = 0; i < 200; i++)
        {
          random_answers (&fixture);
          step (&fixture);
        }
      for (guint i = 0; i < callers->len; i++)
        {
          const Caller *caller = callers->pdata[i];
          g_assert_cmpuint (caller->callback_calls, ==, 1);
          g_assert_cmpfloat (hzb_time_between (caller->requested_at, caller->called_at), <, 2 * 4 + 2 * STEP_S);
        }
      fixture_down (&fixture);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/kv-client/reads-beside-changes", test_reads_during_write_backlog);
  g_test_add_func ("/kv-client/few-requests", test_low_request_rate);
  g_test_add_func ("/kv-client/each-caller-is-called-back", test_each_caller_is_called_back);
  return g_test_run ();
}
