/* Stalled controllers, bursts of status queries, large loads of teams without a guarantee, and jobs that always fail. */
#include "json.h"
#include "sim-faults.h"

#include <string.h>

/* ---- stalled controllers ---- */

/* One or two controllers stall: they accept connections and answer nothing. The others go on, and a resumed controller
 * does nothing that a later leader has not allowed. */
static void
test_stalled_controllers (void)
{
  for (guint32 seed = 600; seed < 612; seed++)
    {
      Sim *sim = sim_new (seed);
      guint leader, other, n_stalled = 1 + seed % 2;
      SimJob *meanwhile;
      for (guint i = 0; i < 10; i++)
        sim_add_job (sim, 1 + 2 * i, i % 2 ? "red" : "blue", 1 + i % 6, 1.5, 15)->wants_cancel = i % 4 == 3;
      sim_run (sim, 20);
      leader = (guint) MAX (sim_leader (sim), 0);
      other = (leader + 1) % SIM_NODES;
      sim->nodes[seed % 3 ? leader : other].paused = TRUE;
      if (n_stalled > 1)
        sim->nodes[seed % 3 ? other : leader].paused = TRUE;
      sim_run (sim, 40);
      meanwhile = sim_add_job (sim, 40, "red", 3, 1, 5);
      sim_run (sim, 85);
      g_assert_true (meanwhile->confirmed_done);
      for (guint i = 0; i < SIM_NODES; i++)
        if (sim->nodes[i].paused)
          {
            sim_resume (sim, i);
            sim_run (sim, sim->now + g_rand_double_range (sim->rand, 0, 4));
          }
      if (seed % 4 == 0)
        crash_random_controller (sim, NULL);
      sim_run (sim, sim->now + 5);
      start_all_controllers (sim, NULL);
      sim->faults_over_at = sim->now + 5;
      sim_run (sim, 330);
      expect_all_finished (sim, "stalled controllers", seed);
      sim_free (sim);
    }
}

/* ---- bursts of status queries ---- */

typedef struct
{
  Sim *sim;
  SimJob *job;
  guint *responses, *refusals;
  double sent_at;
  double *slowest;
} StatusQuery;

static void
on_response (HzbHttpRequest *http_request, guint status, const char *body, guint retry)
{
  StatusQuery *query = http_request->impl;
  cJSON *root = cJSON_Parse (body ? body : "");
  sim_user_response (query->sim, query->job, status, hzb_json_text (root, "status"));
  *query->responses += 1;
  *query->refusals += status == 503;
  *query->slowest = MAX (*query->slowest, query->sim->now - query->sent_at);
  if (status == 503)
    g_assert_cmpuint (retry, >, 0);
  cJSON_Delete (root);
  g_free (query);
}

static guint responses, refusals;
static double slowest;

static void
query_status (Sim *sim, guint node, SimJob *job)
{
  HzbHttpRequest *http_request;
  StatusQuery *query;
  if (!sim->nodes[node].controller || sim->nodes[node].paused)
    return;
  http_request = g_new0 (HzbHttpRequest, 1);
  query = g_new0 (StatusQuery, 1);
  *query = (StatusQuery){ sim, job, &responses, &refusals, sim->now, &slowest };
  http_request->method = g_strdup ("GET");
  http_request->path = g_strdup_printf ("/api/jobs/%s", job->uid);
  http_request->body = g_strdup ("");
  http_request->reply = on_response;
  http_request->impl = query;
  hzb_controller_request (http_request, sim->nodes[node].controller);
}

/* Sends so many status queries about each accepted job within one second, spread over all nodes. */
static guint
query_for_a_second (Sim *sim, guint each)
{
  guint sent = 0;
  double until = sim->now + 1;
  for (guint k = 0; k < each; k++)
    {
      for (guint i = 0; i < sim->jobs->len; i++)
        {
          SimJob *job = sim->jobs->pdata[i];
          if (!job->accepted)
            continue;
          query_status (sim, (i + k) % SIM_NODES, job);
          sent++;
        }
      sim_run (sim, sim->now + 1.0 / each);
    }
  sim_run (sim, until);
  return sent;
}

/* Ten times as many status queries cost hardly more requests to the key-value store, since one read proves freshness
 * for all queries that wait. Each is answered within the user's timeout, no response is older than an earlier one, and
 * submissions go on. */
static void
test_status_query_burst (void)
{
  for (guint32 seed = 620; seed < 624; seed++)
    {
      Sim *sim = sim_new (seed);
      guint before, few, many, sent_few = 0, sent_many = 0;
      SimJob *meanwhile;
      for (guint i = 0; i < 40; i++)
        sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 2, 1, 20)->wants_cancel = i % 5 == 0;
      sim_run (sim, 20);
      responses = refusals = 0;
      slowest = 0;
      before = sim->kv_requests;
      for (guint s = 0; s < 8; s++)
        sent_few += query_for_a_second (sim, 2);
      few = sim->kv_requests - before;
      before = sim->kv_requests;
      if (seed % 2)
        sim->nodes[(sim_leader (sim) + 1) % SIM_NODES].paused = TRUE;
      meanwhile = sim_add_job (sim, sim->now, "red", 1, 1, 3);
      for (guint s = 0; s < 8; s++)
        sent_many += query_for_a_second (sim, 20);
      many = sim->kv_requests - before;
      g_assert_cmpuint (sent_many, >, 8 * sent_few);
      g_assert_cmpuint (many, <, 8 * (guint) (0.5 * sim->config.kv_rps)); /* paced, and shared: */
      g_assert_cmpuint (8 * many, <, sent_many);
      g_assert_cmpuint (many, <, 4 * few);
      g_assert_cmpfloat (slowest, <, 2);
      g_assert_cmpuint (refusals, <, responses / 10);
      g_assert_true (meanwhile->accepted && meanwhile->accepted_at < 32);
      for (guint i = 0; i < SIM_NODES; i++)
        if (sim->nodes[i].paused)
          sim_resume (sim, i);
      sim->faults_over_at = sim->now + 10;
      sim_run (sim, 330);
      expect_all_finished (sim, "status query burst", seed);
      sim_free (sim);
    }
}

/* In an outage of the key-value store each of many status queries is refused at once. */
static void
test_status_query_burst_in_kv_outage (void)
{
  Sim *sim = sim_new (626);
  for (guint i = 0; i < 30; i++)
    sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 2, 1, 60);
  sim_run (sim, 20);
  sim->kv_outage = TRUE;
  sim_run (sim, 26);
  responses = refusals = 0;
  slowest = 0;
  for (guint s = 0; s < 5; s++)
    query_for_a_second (sim, 10);
  g_assert_cmpuint (responses, >, 1000);
  g_assert_cmpuint (refusals, ==, responses);
  g_assert_cmpfloat (slowest, <, 0.1);
  sim->kv_outage = FALSE;
  sim_run (sim, 330);
  expect_all_finished (sim, "status query burst in kv outage", 626);
  sim_free (sim);
}

/* ---- teams without a guarantee ---- */

/* Many jobs of one task each, of a team without a guarantee, cost few changes in the key-value store and take no
 * capacity from others: work of teams with a guarantee completes as early as without them. */
static void
test_many_small_jobs_without_guarantee (void)
{
  for (guint32 seed = 630; seed < 634; seed++)
    {
      double over[2] = { 0 };
      for (guint guests = 0; guests < 2; guests++)
        {
          Sim *sim = sim_new (seed);
          GPtrArray *own = g_ptr_array_new ();
          for (guint i = 0; i < 80 * guests; i++)
            sim_add_job (sim, 15 + 0.25 * i, "guest", 1, 0.5, 8)->job_class = "single";
          if (guests)
            sim_add_job (sim, 12, "guest", 150, 0.5, 10)->job_class = "sweep";
          for (guint i = 0; i < 8; i++)
            g_ptr_array_add (own, sim_add_job (sim, 20 + i, i % 2 ? "red" : "blue", 8, 1, 12));
          sim->faults_over_at = 60;
          while (sim->now < 400 && over[guests] <= 0)
            {
              gboolean all = TRUE;
              sim_run (sim, sim->now + 1);
              for (guint i = 0; i < own->len; i++)
                all = all && ((SimJob *) own->pdata[i])->confirmed_done;
              if (all)
                over[guests] = sim->now;
            }
          sim_run (sim, 420);
          g_assert_cmpuint (sim->kv_writes, <, 8 * sim->jobs->len + 200);
          expect_all_finished (sim, "many small jobs without guarantee", seed);
          g_ptr_array_unref (own);
          sim_free (sim);
        }
      g_assert_cmpfloat (over[1], <, over[0] + 30);
    }
}

/* ---- jobs that always fail ---- */

static guint quarantined; /* machines */

static void
count_quarantined (const gchar *domain, GLogLevelFlags level, const gchar *message, gpointer user)
{
  quarantined += strstr (message, "is set aside") != NULL;
}

/* Jobs that fail on every machine: no machine is quarantined, returned or rented because of them, a machine that is
 * really faulty is still found, other work goes on, and the failing jobs stay known and can be cancelled. */
static void
test_jobs_that_always_fail (void)
{
  for (guint32 seed = 640; seed < 646; seed++)
    {
      Sim *sim = sim_new (seed);
      SimMachine *faulty;
      SimJob *failing[3];
      guint rented, handler;
      quarantined = 0;
      handler = g_log_set_handler ("hazelbank", G_LOG_LEVEL_MESSAGE, count_quarantined, NULL);
      for (guint i = 0; i < 3; i++)
        {
          failing[i] = sim_add_job (sim, 18 + i, i == 2 ? "guest" : i ? "red" : "blue", 6, 1, 10);
          failing[i]->always_fails = failing[i]->wants_cancel = TRUE;
          failing[i]->cancel_at = 150;
        }
      for (guint i = 0; i < 14; i++)
        sim_add_job (sim, 1 + 5 * i, i % 2 ? "red" : "blue", 4, 1.5, 12);
      sim_run (sim, 25);
      while (!(faulty = machine_with_tasks (sim)) || faulty->terminated)
        sim_run (sim, sim->now + 0.5);
      faulty->faulty = TRUE;
      if (seed % 2)
        crash_random_controller (sim, NULL);
      sim_run (sim, sim->now + 7);
      start_all_controllers (sim, NULL);
      sim_run (sim, 110);
      g_assert_true (faulty->terminated);
      g_assert_cmpuint (quarantined, <=, 1); /* at most the faulty machine, and no sound one */
      rented = sim->machine_number;
      sim_run (sim, 148);
      g_assert_cmpuint (sim->machine_number - rented, <=, 2); /* only failing jobs are left */
      g_assert_cmpuint (sim->tasks_started, <, 14 * 4 + 120);
      for (guint i = 0; i < 3; i++)
        {
          g_autofree char *path = g_strdup_printf ("/api/jobs/%s", failing[i]->uid);
          g_assert_cmpuint (user_request (sim, i, "GET", path, "", NULL), ==, 200);
        }
      sim->faults_over_at = 150;
      sim_run (sim, 330);
      for (guint i = 0; i < 3; i++)
        g_assert_true (failing[i]->confirmed_cancelled);
      g_log_remove_handler ("hazelbank", handler);
      expect_all_finished (sim, "jobs that always fail", seed);
      sim_free (sim);
    }
}

/* In an outage no controller calls the key-value store in a tight loop: neither a leader that can't read its records,
 * nor one that does not know the outcome of its last transaction. */
static void
test_kv_request_rate_in_kv_outage (void)
{
  for (guint32 seed = 650; seed < 654; seed++)
    {
      Sim *sim = sim_new (seed);
      guint before;
      for (guint i = 0; i < 10; i++)
        sim_add_job (sim, 1 + i, i % 2 ? "red" : "blue", 6, 1.5, 25);
      sim_run (sim, 20);
      if (seed % 2)
        sim->late_transaction_chance = 1; /* no transaction gets a response */
      else
        {
          sim_crash (sim, (guint) MAX (sim_leader (sim), 0));
          while (sim_leader (sim) < 0 && sim->now < 40)
            sim_run (sim, sim->now + 0.001);
        }
      sim_run (sim, sim->now + (seed % 2 ? 2 : 0.01));
      sim->kv_outage = TRUE;
      sim_run (sim, sim->now + 1);
      before = sim->kv_requests;
      sim_run (sim, sim->now + 20);
      g_test_message ("seed %u: %u requests in 20 s", seed, sim->kv_requests - before);
      /* For each node: a watch and a lease renewal now and then, and two retries a second of whatever failed. */
      g_assert_cmpuint (sim->kv_requests - before, <, SIM_NODES * 20 * 6);
      sim->kv_outage = FALSE;
      sim->late_transaction_chance = 0;
      start_all_controllers (sim, NULL);
      sim_run (sim, sim->now + 300);
      expect_all_finished (sim, "kv request rate in kv outage", seed);
      sim_free (sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/overload/stalled-controllers", test_stalled_controllers);
  g_test_add_func ("/overload/status-query-burst", test_status_query_burst);
  g_test_add_func ("/overload/status-query-burst-in-kv-outage", test_status_query_burst_in_kv_outage);
  g_test_add_func ("/overload/kv-request-rate-in-kv-outage", test_kv_request_rate_in_kv_outage);
  g_test_add_func ("/overload/many-small-jobs-without-guarantee", test_many_small_jobs_without_guarantee);
  g_test_add_func ("/overload/jobs-that-always-fail", test_jobs_that_always_fail);
  return g_test_run ();
}
