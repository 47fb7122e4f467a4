/* Rolling upgrades from version 1, and limits of the key-value store that shrink. The records of version 1 are
 * fixtures: they are what the code of version 1 writes. A process of version 1 is simulated by a node whose messages
 * lack the fields that version 1 does not send. */
#include "sim-faults.h"

#include <string.h>

/* ---- rolling upgrade from version 1 ---- */

/* Restarts a node. @version_1: TRUE: as a process of version 1; FALSE: as one of the present version */
static void
set_version_1 (Sim *sim, guint node, gboolean version_1)
{
  sim_crash (sim, node);
  sim->nodes[node].runs_version_1 = version_1;
  sim_start (sim, node);
}

/* Guards against records that version 1 would misread: while one node runs version 1, is down or has just restarted,
 * services have to be refused with 503 and no such record may be written. Afterwards services have to be accepted, and
 * a node that returns to version 1 has to be refused. */
static void
test_rolling_upgrade (void)
{
  for (guint32 seed = 420; seed < 426; seed++)
    {
      Sim *sim = sim_new (seed);
      guint retry_after_s = 0;
      HzbController *controller;
      for (guint i = 0; i < SIM_NODES; i++)
        set_version_1 (sim, i, TRUE);
      for (guint i = 0; i < 8; i++)
        sim_add_job (sim, 1 + 3 * i, i % 2 ? "red" : "blue", 5, 1.5, 20)->wants_cancel = i % 3 == 2;
      sim_run (sim, 15);
      for (guint i = 0; i < SIM_NODES; i++)
        {
          g_assert_cmpuint (submit_service (sim, 2, 50, "red", 2, 1, "0", &retry_after_s), ==, 503);
          g_assert_cmpuint (retry_after_s, >, 0);
          g_assert_cmpint (hzb_election_schema_version (sim->nodes[2].controller->election), ==, 1);
          set_version_1 (sim, i, FALSE);
          if (seed % 3 == 1 && i == 1)
            set_version_1 (sim, 2, TRUE); /* node 2 crashes before its upgrade and restarts with version 1 */
          if (seed % 3 == 2 && i == 0)
            {
              sim->kv_outage = TRUE;
              sim_run (sim, sim->now + 7);
              sim->kv_outage = FALSE;
            }
          sim_run (sim, sim->now + 6);
        }
      sim_run (sim, sim->now + 8);
      for (guint i = 0; i < SIM_NODES; i++)
        g_assert_cmpint (hzb_election_schema_version (sim->nodes[i].controller->election), ==, 2);
      g_assert_cmpuint (submit_service (sim, 1, 50, "red", 2, 1, "0", NULL), ==, 201);
      g_assert_cmpuint (user_request (sim, 0, "POST", "/api/jobs/run-000050/cancel", "", NULL), ==, 200);
      /* Failover has to work with the leader key of format 2 too. */
      crash_random_controller (sim, NULL);
      sim_run (sim, sim->now + 10);
      start_all_controllers (sim, NULL);
      sim_run (sim, sim->now + 10);
      g_assert_cmpint (sim_leader (sim), !=, -1);
      controller = sim->nodes[sim_leader (sim)].controller;
      set_version_1 (sim, (guint) (sim_leader (sim) + 1) % SIM_NODES, TRUE);
      sim_run (sim, sim->now + 5);
      g_assert_false (hzb_peers_all_support_schema (controller->peers, 2));
      set_version_1 (sim, (guint) (sim_leader (sim) + 1) % SIM_NODES, FALSE);
      sim_run (sim, sim->now + 200);
      expect_all_finished (sim, "rolling upgrade", seed);
      sim_free (sim);
    }
}

/* Guards against jobs that are lost or stuck when a rolling upgrade meets crashes, partitions, outages and
 * cancellations. Services are submitted towards the end of the upgrade, and the limits of the key-value store shrink
 * after it. */
static void
test_rolling_upgrade_with_faults (void)
{
  for (guint32 seed = 430; seed < 442; seed++)
    {
      Sim *sim = sim_new (seed);
      for (guint i = 0; i < SIM_NODES; i++)
        set_version_1 (sim, i, TRUE);
      for (guint i = 0; i < 12; i++)
        {
          SimJob *job =
              sim_add_job (sim, 1 + 4 * i, i % 2 ? "red" : "blue", (guint) g_rand_int_range (sim->rand, 1, 9), 1.5, 20);
          job->wants_cancel = i % 3 == 2;
          job->zone = i % 5 == 4 ? "zb" : NULL;
        }
      for (guint i = 0; i < 3; i++)
        add_service (sim, 30 + 8 * i, i % 2 ? "red" : "blue", 2 + i, 1, 130);
      sim_run (sim, 14);
      for (guint i = 0; i < SIM_NODES; i++)
        {
          double at = sim->now + g_rand_double_range (sim->rand, 0, 4);
          sim_schedule (sim, at, seed % 2 ? cut_off_leader_at_random : crash_random_controller, NULL);
          sim_schedule (sim, at + g_rand_double_range (sim->rand, 2, 8), heal_controllers, NULL);
          sim_schedule (sim, at + g_rand_double_range (sim->rand, 2, 8), start_all_controllers, NULL);
          if (seed % 4 == 3)
            {
              sim_schedule (sim, at, toggle_kv_outage, NULL);
              sim_schedule (sim, at + 3, toggle_kv_outage, NULL);
            }
          set_version_1 (sim, i, FALSE);
          sim_run (sim, sim->now + g_rand_double_range (sim->rand, 4, 10));
        }
      sim_run (sim, 60);
      sim->kv_max_value_bytes = 2048;
      sim->kv_max_changes = 8; /* txn_ops of the settings */
      sim_schedule (sim, 70, crash_random_controller, NULL);
      sim_schedule (sim, 76, start_all_controllers, NULL);
      sim_schedule (sim, 85, fail_random_machine, NULL);
      sim_schedule (sim, 95, crash_all_controllers, NULL);
      sim_run (sim, 110);
      start_all_controllers (sim, NULL);
      sim->kv_outage = FALSE;
      sim->faults_over_at = 125;
      sim_run (sim, 500);
      expect_all_finished (sim, "rolling upgrade with faults", seed);
      sim_free (sim);
    }
}

/* Submits two invalid services, uid and uid + 1, to a random node: they have to be refused and must not be accepted.
 * @may_wait: the node may answer 503, since in this phase of the upgrade it may be unable to decide */
static void
expect_invalid_services_refused (Sim *sim, guint uid, gboolean may_wait)
{
  guint node = (guint) g_rand_int_range (sim->rand, 0, SIM_NODES), status;
  g_autofree char *path = g_strdup_printf ("/api/jobs/run-%06u", uid + 1);
  g_assert_cmpuint (submit_service_with (sim, node, uid, "pieces", "0"), ==, 400);
  status = submit_service_with (sim, node, uid + 1, "pieces", "25"); /* exceeds the team's limit of 24 CPUs */
  g_assert_true (status == 422 || (may_wait && status == 503));
  status = user_request (sim, (node + 1) % SIM_NODES, "GET", path, "", NULL);
  g_assert_true (status == 404 || (may_wait && status == 503));
}

/* Guards against upgrades that work in one order of nodes only. The nodes are upgraded in random order, in some runs
 * two at once or one during an outage, or a node restarts with version 1 after one of version 2 has led. Meanwhile
 * users cancel jobs, repeat submissions and query the status, and one submits a service from the beginning on. */
static void
test_rolling_upgrade_in_random_order (void)
{
  for (guint32 seed = 470; seed < 486; seed++)
    {
      Sim *sim = sim_new (seed);
      guint order[SIM_NODES] = { 0, 1, 2 }, retry_after_s = 0, two_at_once = seed % 3 == 1;
      for (guint i = 0; i < SIM_NODES; i++)
        set_version_1 (sim, i, TRUE);
      for (guint i = SIM_NODES - 1; i > 0; i--)
        {
          guint other = (guint) g_rand_int_range (sim->rand, 0, (gint32) i + 1), swap = order[i];
          order[i] = order[other];
          order[other] = swap;
        }
      for (guint i = 0; i < 16; i++)
        sim_add_job (sim, 1 + 3 * i, i % 2 ? "red" : "blue", 1 + i % 7, 1.5, 15)->wants_cancel = i % 3 == 1;
      add_service (sim, 8, "red", 3, 1, 120);
      sim_run (sim, 14);
      g_assert_cmpuint (submit_service (sim, 0, 50, "blue", 2, 1, "0", &retry_after_s), ==, 503);
      g_assert_cmpuint (retry_after_s, >, 0);
      for (guint i = 0; i < SIM_NODES; i++)
        {
          sim->kv_outage = seed % 4 == 2 && i == 1;
          set_version_1 (sim, order[i], FALSE);
          if (two_at_once && i == 0)
            set_version_1 (sim, order[++i], FALSE); /* upgraded at the same time */
          sim_run (sim, sim->now + g_rand_double_range (sim->rand, 1, 5));
          sim->kv_outage = FALSE;
          sim_run (sim, sim->now + g_rand_double_range (sim->rand, 5, 9));
          expect_invalid_services_refused (sim, 60 + 10 * i, TRUE);
          if (i + 1 < SIM_NODES && seed % 2)
            {
              int leader = sim_leader (sim);
              set_version_1 (sim, order[SIM_NODES - 1], TRUE); /* back to version 1, whichever version has led */
              if (leader >= 0 && !sim->nodes[leader].runs_version_1)
                set_version_1 (sim, (guint) leader, FALSE); /* a restart, so that the node of version 1 may lead */
              sim_run (sim, sim->now + 8);
              g_assert_cmpint (hzb_election_schema_version (sim->nodes[order[0]].controller->election), ==, 1);
            }
        }
      sim_run (sim, sim->now + 12);
      expect_invalid_services_refused (sim, 95, FALSE);
      for (guint i = 0; i < SIM_NODES; i++)
        g_assert_cmpint (hzb_election_schema_version (sim->nodes[i].controller->election), ==, 2);
      sim->faults_over_at = sim->now;
      sim_run (sim, 300);
      g_assert_cmpuint (sim->deferred_services, >, 0);
      expect_all_finished (sim, "rolling upgrade in random order", seed);
      sim_free (sim);
    }
}

/* ---- limits of the key-value store and records of earlier versions ---- */

/* The moment at which the limits of the key-value store shrink. */
typedef enum
{
  SHRINK_AT_FAILOVER,    /* 3.5 to 6 s after the leader has crashed */
  SHRINK_AT_HAND_OVER,   /* once a machine with tasks is leased to another controller */
  SHRINK_DURING_UPGRADE, /* when node 2 is the only one of version 1 */
  SHRINK_AFTER_RESTART,  /* up to 3 s after a restart of all controllers */
  N_SHRINK_MOMENTS
} ShrinkMoment;

/* Guards against transactions that are refused, and work that stops, when the limits of the key-value store shrink to
 * 2 KiB and 5 changes, and its write rate to a third, during a failover, a hand-over, an upgrade or a restart.
 * Controllers have to keep within the limits that the settings announce (cluster.state.next) from their start on;
 * services, a large job and machines on many pages have to go on. */
static void
test_kv_limits_shrink (void)
{
  for (guint32 seed = 490; seed < 490 + 2 * N_SHRINK_MOMENTS; seed++)
    {
      SimConfig config = sim_config_small;
      Sim *sim;
      ShrinkMoment moment = (ShrinkMoment) (seed % N_SHRINK_MOMENTS);
      config.txn_ops = 24;
      config.next_txn_ops = 5;
      config.next_write_rps = 20;
      sim = sim_new_with_config (seed, &config);
      sim_add_job (sim, 1, "red", 900, 0.25, 5)->job_class = "large";
      for (guint i = 0; i < 24; i++)
        sim_add_job (sim, 1 + 1.5 * i, i % 2 ? "red" : "blue", 1 + i % 5, 1, 8)->wants_cancel = i % 4 == 3;
      add_service (sim, 6, "blue", 3, 1, 120);
      if (moment == SHRINK_DURING_UPGRADE)
        for (guint i = 0; i < SIM_NODES; i++)
          set_version_1 (sim, i, TRUE);
      sim_run (sim, 25);
      if (moment == SHRINK_AT_FAILOVER)
        {
          sim_crash (sim, (guint) MAX (sim_leader (sim), 0));
          sim_run (sim, 25 + g_rand_double_range (sim->rand, 3.5, 6));
        }
      else if (moment == SHRINK_AT_HAND_OVER)
        run_until_machine_is (sim, HZB_MACHINE_LEASED);
      else if (moment == SHRINK_DURING_UPGRADE)
        {
          set_version_1 (sim, 0, FALSE);
          set_version_1 (sim, 1, FALSE);
          sim_run (sim, 25 + g_rand_double_range (sim->rand, 3, 7));
        }
      else
        {
          for (guint i = 0; i < SIM_NODES; i++)
            sim_crash (sim, i);
          start_all_controllers (sim, NULL);
          sim_run (sim, 25 + g_rand_double_range (sim->rand, 0, 3));
        }
      sim->kv_max_value_bytes = 2048;
      sim->kv_max_changes = 5;
      sim->kv_write_rate = 20;
      start_all_controllers (sim, NULL);
      for (guint i = 0; i < SIM_NODES; i++)
        if (sim->nodes[i].runs_version_1)
          set_version_1 (sim, i, FALSE);
      sim_run (sim, 60);
      crash_random_controller (sim, NULL);
      sim_run (sim, 66);
      start_all_controllers (sim, NULL);
      sim->faults_over_at = 80;
      sim_run (sim, 420);
      expect_all_finished (sim, "kv limits shrink", seed);
      sim_free (sim);
    }
}

/* Guards against jobs and machines that are lost when records of version 1 exceed the new limits: these records have to
 * be read and rewritten as small pages, and a controller that starts at any moment of the rewrite has to read all of
 * them. */
static void
test_oversized_records_of_version_1 (void)
{
  for (guint32 seed = 450; seed < 454; seed++)
    {
      Sim *sim = sim_new (seed);
      g_autoptr (GString) accepted = g_string_new ("{"), progress = g_string_new ("{"), machines = g_string_new ("{");
      for (guint i = 0; i < SIM_NODES; i++)
        sim_crash (sim, i);
      for (guint i = 0; i < 40; i++)
        {
          SimJob *job = sim_add_job (sim, 1e6, i % 2 ? "red" : "blue", 4, 1, 4);
          job->submitted = job->accepted = TRUE;
          job->last_response_at = 30;
          job->finished[0] = job->finished[1] = 1;
          g_string_append_printf (
              accepted,
              "%s\"%s\":{\"state\":\"accepted\",\"at\":%u,\"spec\":{\"uid\":\"%s\",\"lane\":\"batch\",\"owner\":\"%s\","
              "\"shape\":\"sweep\",\"urgency\":\"normal\",\"pieces\":4,\"cpus\":1,\"gpus\":0,\"ramGb\":1,"
              "\"bundle\":\"img\",\"sizeGb\":0.5,\"samePlace\":false,\"spread\":false,\"loaners\":true,"
              "\"expectS\":4,\"snapshotEveryS\":0,\"snapshotS\":0}}",
              i ? "," : "", job->uid, i, job->uid, job->team);
          /* all four tasks are released, 0 and 1 are done */
          g_string_append_printf (progress,
                                  "%s\"%s/0\":{\"released\":4,\"team\":\"%s\",\"cpus\":1,\"gpus\":0,\"done\":\"Aw==\"}",
                                  i ? "," : "", job->uid, job->team);
        }
      for (guint i = 0; i < 30; i++)
        g_string_append_printf (
            machines,
            "%s\"i-9%05u\":{\"addr\":\"10.1.0.1:1\",\"type\":\"small\",\"zone\":\"za\",\"spot\":true,\"at\":5}",
            i ? "," : "", i);
      g_string_append (accepted, "}");
      g_string_append (progress, "}");
      g_string_append (machines, "}");
      sim_put_record (sim, "hzb/a/accepted/main/node-0-00000001-1", accepted->str);
      sim_put_record (sim, "hzb/a/term", "{\"term\":3,\"node\":\"node-0\"}");
      sim_put_record (sim, "hzb/x/flush", "{\"n\":17}");
      sim_put_record (sim, "hzb/x/machines/000002", machines->str);
      sim_put_record (sim, "hzb/x/progress/main/000001", progress->str);
      g_assert_cmpuint (sim_largest_record (sim, "hzb/x/progress/"), >, 2048);
      g_assert_cmpuint (sim_largest_record (sim, "hzb/x/machines/"), >, 2048);
      sim->kv_max_value_bytes = 2048;
      sim->kv_max_changes = 8;
      sim->nodes[1].runs_version_1 = seed % 2 == 1;
      start_all_controllers (sim, NULL);
      for (guint i = 0; i < sim->jobs->len; i++)
        {
          SimJob *job = sim->jobs->pdata[i];
          job->submit_at = 0;
          job->last_response_at = 1;
        }
      if (seed >= 452)
        sim_schedule (sim, 4.5, crash_all_controllers, NULL); /* during the rewrite */
      sim_run (sim, 60);
      g_assert_cmpuint (sim_largest_record (sim, "hzb/x/progress/"), <=, 2048);
      g_assert_cmpuint (sim_largest_record (sim, "hzb/x/machines/"), <=, 2048);
      sim_run (sim, 400);
      for (guint i = 0; i < sim->jobs->len; i++)
        {
          SimJob *job = sim->jobs->pdata[i];
          const HzbJob *controller_job = hzb_jobs_find (sim->nodes[0].controller->jobs, job->uid);
          g_assert_cmpint (controller_job->state, ==, HZB_JOB_DONE);
        }
      g_assert_cmpuint (sim->tasks_started, <=,
                        80 + 40); /* the two remaining tasks of each of 40 jobs, once; a crash may lose starts */
      expect_no_violation (sim, "oversized records of version 1", seed);
      sim_free (sim);
    }
}

/* Guards against records of the version in production (format 2, commit 0357c99) that this version reads wrongly.
 * The records are what its code writes: a service that it accepted with an estimate has to go on, a repeated
 * submission of the service has to be recognised, a half-completed job has to be completed, and a terminal job has
 * to stay terminal. */
static void
test_records_of_production_version (void)
{
  static const char *const records[][2] = {
    { "hzb/a/accepted/main/node-1-0a0b0c0d0e0f1011-1",
      "{\"run-100000\":{\"state\":\"accepted\",\"at\":5.25,\"spec\":{\"uid\":\"run-100000\",\"lane\":\"web\",\"owner\":\"red\","
      "\"shape\":\"standing\",\"urgency\":\"production\",\"pieces\":2,\"cpus\":1,\"gpus\":0,\"ramGb\":1,\"bundle\":\"img\","
      "\"sizeGb\":0.5,\"samePlace\":false,\"spread\":true,\"loaners\":false,\"expectS\":5,\"snapshotEveryS\":0,\"snapshotS\":0}}}" },
    { "hzb/a/jobs/main/run-000778", "{\"state\":\"cancelled\",\"n\":3}" },
    { "hzb/o/ended/main/run-000779", "{\"state\":\"done\",\"n\":4}" },
    { "hzb/a/term", "{\"term\":7,\"node\":\"node-1\"}" },
    { "hzb/a/format", "{\"format\":2}" },
    { "hzb/a/leader", "{\"node\":\"(none of version 1)\",\"term\":5}" },
    { "hzb/x/flush", "{\"n\":31,\"term\":7,\"clear\":212}" },
    { "hzb/x/machines/000002", "{\"i-900001\":{\"type\":\"big\",\"zone\":\"za\",\"spot\":false,\"at\":5}}" },
    { "hzb/x/progress/main/000001", "{\"run-100000/0\":{\"released\":2,\"team\":\"red\",\"cpus\":1,\"gpus\":0}}" },
  };
  Sim *sim = sim_new (465);
  SimJob *service = sim_add_job (sim, 1e6, "red", 2, 1, 1e9); /* run-100000; its user sends no further request */
  service->service = service->spread = service->submitted = service->accepted = TRUE;
  service->spot = FALSE;
  for (guint i = 0; i < SIM_NODES; i++)
    sim_crash (sim, i);
  for (guint i = 0; i < G_N_ELEMENTS (records); i++)
    sim_put_record (sim, records[i][0], records[i][1]);
  start_all_controllers (sim, NULL);
  sim_run (sim, 60);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      g_assert_cmpint (hzb_election_schema_version (sim->nodes[i].controller->election), ==, 2);
      g_assert_cmpuint (submit_service (sim, i, 100000, "red", 2, 1, "5", NULL), ==, 200);
      g_assert_cmpuint (submit_service (sim, i, 778, "red", 2, 1, "0", NULL), ==, 200);
      g_assert_nonnull (strstr (last_response_body, "cancelled"));
      g_assert_cmpuint (user_request (sim, i, "GET", "/api/jobs/run-000779", "", NULL), ==, 200);
      g_assert_nonnull (strstr (last_response_body, "done"));
      g_assert_cmpuint (submit_service (sim, i, 780, "red", 2, 1, "5", NULL), ==, 400);
    }
  g_assert_cmpint (sim_leader (sim), !=, -1);
  g_assert_cmpuint (sim_count_running_tasks (sim, service, NULL), ==, 2);
  g_assert_cmpuint (user_request (sim, 0, "POST", "/api/jobs/run-100000/cancel", "", NULL), ==, 200);
  service->cancel_requested = TRUE;
  sim_run (sim, sim->now + 10);
  g_assert_cmpuint (sim_count_running_tasks (sim, service, NULL), ==, 0);
  expect_no_violation (sim, "records of production version", 465);
  sim_free (sim);
}

/* Guards against controllers that loop or stop serving when the key-value store refuses their transactions as
 * malformed: it takes no values of more than 100 bytes, although the settings allow larger ones. Controllers have to go
 * on once it takes the values. */
static void
test_transactions_refused_as_malformed (void)
{
  Sim *sim = sim_new (460);
  SimJob *late_job;
  guint requests_before;
  for (guint i = 0; i < 6; i++)
    sim_add_job (sim, 1 + 0.2 * i, i % 2 ? "red" : "blue", 10, 1, 15);
  late_job = sim_add_job (sim, 12, "red", 2, 1, 5);
  sim_run (sim, 10);
  sim->kv_max_value_bytes = 100;
  sim_run (sim, 11);
  requests_before = sim->kv_requests;
  sim_run (sim, 41);
  g_assert_cmpuint (sim->kv_requests - requests_before, <, 30 * 40);
  g_assert_cmpint (sim_leader (sim), !=, -1);
  g_assert_false (late_job->accepted);
  g_assert_cmpuint (sim->violations->len, >, 0);
  for (guint i = 0; i < sim->violations->len; i++)
    g_assert_true (g_str_has_prefix (sim->violations->pdata[i], "too_large"));
  g_ptr_array_set_size (sim->violations, 0);
  sim->kv_max_value_bytes = 2048;
  sim_run (sim, 300);
  expect_all_finished (sim, "transactions refused as malformed", 460);
  sim_free (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/upgrade/rolling-upgrade", test_rolling_upgrade);
  g_test_add_func ("/upgrade/rolling-upgrade-with-faults", test_rolling_upgrade_with_faults);
  g_test_add_func ("/upgrade/rolling-upgrade-in-random-order", test_rolling_upgrade_in_random_order);
  g_test_add_func ("/upgrade/kv-limits-shrink", test_kv_limits_shrink);
  g_test_add_func ("/upgrade/records-of-production-version", test_records_of_production_version);
  g_test_add_func ("/upgrade/transactions-refused-as-malformed", test_transactions_refused_as_malformed);
  g_test_add_func ("/upgrade/oversized-records-of-version-1", test_oversized_records_of_version_1);
  return g_test_run ();
}
