/* The durability of progress and job records, and the responses to users about them. */
#include "record-keys.h"
#include "sim-faults.h"

#include <string.h>

/* All tasks of a job finish during an outage of the key-value store. Guards against a leader that reports the job as
 * done before its results are durable, and against workers that drop the results by then. */
static void
test_done_confirmed_after_durable (void)
{
  Sim *sim = sim_new (14);
  SimJob *job = sim_add_job (sim, 1, "red", 4, 2, 15);
  SimMachine *machine;
  guint finished = 0;
  sim_run (sim, 15);
  g_assert_nonnull (find_machine_with_tasks (sim));
  sim->kv_outage = TRUE;
  sim_run (sim, 45);
  g_assert_false (job->confirmed_done);
  for (guint i = 0; i < sim->machines->len; i++)
    {
      machine = sim->machines->pdata[i];
      for (guint k = 0; k < machine->tasks->len; k++)
        finished += g_str_equal (((SimTask *) machine->tasks->pdata[k])->cause, "done");
    }
  g_assert_cmpuint (finished, ==, 4);
  sim->kv_outage = FALSE;
  sim_run (sim, 60);
  g_assert_true (job->confirmed_done);
  expect_all_finished (sim, "durable first", 14);
  sim_free (sim);
}

/* Many transactions are carried out late. Guards against an older flush that overwrites a newer one of the same term:
 * the fake key-value store checks that no progress record loses progress. */
static void
test_late_transactions (void)
{
  for (guint32 seed = 30; seed < 38; seed++)
    {
      Sim *sim = sim_new (seed);
      for (guint i = 0; i < 5; i++)
        sim_add_job (sim, 1 + i, i % 2 ? "red" : "blue", 25, 1, 4);
      sim_run (sim, 12);
      sim->delay_chance = 0.3;
      sim_run (sim, 40);
      sim->delay_chance = 0;
      sim_run (sim, 200);
      expect_all_finished (sim, "late transactions", seed);
      sim_free (sim);
    }
}

/* The key-value store takes few changes per second. A transaction that got 429 is sent again as a whole. Guards against
 * a new job or machine that waits until the records of all others are written. */
static void
test_low_write_rate (void)
{
  Sim *sim = sim_new (19);
  SimJob *late;
  guint before;
  for (guint i = 0; i < 24; i++)
    sim_add_job (sim, 1 + 0.1 * i, i % 2 ? "red" : "blue", 10, 1, 4)->type = "small";
  sim->kv_write_rate = 10;
  sim_run (sim, 40);
  before = sim->kv_writes;
  late = sim_add_job (sim, 40, "red", 3, 1, 2); /* urgent */
  sim_run (sim, 55);
  g_assert_true (late->confirmed_done);
  g_assert_cmpuint (sim->kv_writes - before, <, 100);
  sim_run (sim, 500);
  expect_all_finished (sim, "low write rate", 19);
  sim_free (sim);
}

static guint
count_unanswered (Sim *sim, guint node_index)
{
  guint n = 0;
  g_autofree guint *status = g_new0 (guint, sim->jobs->len);
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      HzbHttpRequest *http_request = g_new0 (HzbHttpRequest, 1);
      http_request->method = g_strdup ("GET");
      http_request->path = g_strdup_printf ("/api/jobs/%s", ((SimJob *) sim->jobs->pdata[i])->uid);
      http_request->body = g_strdup ("");
      http_request->reply = capture_status;
      http_request->impl = &status[i];
      hzb_controller_handle_request (http_request, sim->nodes[node_index].controller);
    }
  sim_run (sim, sim->now + 2);
  for (guint i = 0; i < sim->jobs->len; i++)
    n += status[i] != 200;
  return n;
}

/* After a restart of all controllers with the records of many jobs, every controller answers queries about every
 * job. */
static void
test_full_restart_answers_for_every_job (void)
{
  Sim *sim = sim_new (58);
  for (guint i = 0; i < 90; i++)
    sim_add_job (sim, 1 + 0.4 * i, i % 2 ? "red" : "blue", 2, 1, 3)->wants_cancel = i % 9 == 0;
  sim_run (sim, 45);
  crash_all_controllers (sim, NULL);
  sim_run (sim, 55);
  for (guint i = 0; i < SIM_NODES; i++)
    g_assert_cmpuint (count_unanswered (sim, i), ==, 0);
  sim_run (sim, 400);
  expect_all_finished (sim, "full restart answers for every job", 58);
  for (guint i = 0; i < SIM_NODES; i++)
    g_assert_cmpuint (count_unanswered (sim, i), ==, 0);
  sim_free (sim);
}

/* Jobs that completed long ago are moved from the replicated records to the archive, while controllers crash, and
 * one controller has to read all records again because the changes that it missed were compacted. Users still get
 * responses about these jobs to queries, repeated submissions and cancellations. */
static void
test_archive_of_completed_jobs (void)
{
  SimConfig config = sim_config_small;
  config.max_replicated_completed = 4;
  for (guint32 seed = 130; seed < 134; seed++)
    {
      Sim *sim = sim_new_with_config (seed, &config);
      guint archived = 0;
      GHashTableIter iter;
      gpointer key;
      for (guint i = 0; i < 40; i++)
        sim_add_job (sim, 1 + 2 * i, i % 2 ? "red" : "blue", 2, 1, 3)->wants_cancel = i % 4 == 3;
      for (guint i = 0; i < 5; i++)
        {
          sim_schedule (sim, g_rand_double_range (sim->rand, 20, 110), crash_random_controller, NULL);
          sim_schedule (sim, g_rand_double_range (sim->rand, 20, 110), start_all_controllers, NULL);
        }
      sim_run (sim, 60);
      if (seed % 2)
        {
          sim->nodes[1].cut_off_from_kv = TRUE; /* until many records are in the archive */
          sim_run (sim, 85);
          sim->nodes[1].cut_off_from_kv = FALSE;
          if (sim->nodes[1].controller)
            hzb_kv_replica_reset (sim->nodes[1].controller->kv_replica); /* as if the changes since were compacted */
        }
      sim_run (sim, 112);
      start_all_controllers (sim, NULL);
      sim_run (sim, 250);
      g_hash_table_iter_init (&iter, sim->kv);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        {
          archived += g_str_has_prefix (key, HZB_KEY_ARCHIVED);
          if (g_str_has_prefix (key, HZB_KEY_ARCHIVED)) /* each job has one record */
            {
              g_autofree char *other_key = g_strconcat (HZB_KEY_JOBS, (char *) key + strlen (HZB_KEY_ARCHIVED), NULL);
              g_assert_false (g_hash_table_contains (sim->kv, other_key));
            }
        }
      g_assert_cmpuint (archived, ==, 40 - config.max_replicated_completed);
      for (guint i = 0; i < SIM_NODES; i++)
        g_assert_cmpuint (g_hash_table_size (sim->nodes[i].controller->jobs->by_uid), ==,
                          config.max_replicated_completed);
      /* Users query their jobs much later, and one of them queries a job that was never submitted. */
      sim_run (sim, 300);
      expect_all_finished (sim, "archive of completed jobs", seed);
      sim_free (sim);
    }
}

/* Returns: (transfer full): a submission whose texts take 2,400 bytes in a record. */
static char *
long_submission (const char *uid)
{
  g_autoptr (GString) text = g_string_new (NULL);
  for (guint i = 0; i < 200; i++)
    g_string_append (text, "\\u0001"); /* one byte each in the request, six in a record */
  return g_strdup_printf (
      "{\"uid\":\"%s\",\"lane\":\"%s\",\"owner\":\"red\",\"shape\":\"sweep\",\"urgency\":\"normal\","
      "\"pieces\":2,\"cpus\":1,\"gpus\":0,\"ramGb\":1,\"bundle\":\"%s\",\"sizeGb\":0.5,\"samePlace\":false,"
      "\"spread\":false,\"loaners\":true,\"expectS\":5,\"snapshotEveryS\":0,\"snapshotS\":0}",
      uid, text->str, text->str);
}

/* A job with long texts, which was accepted when values could be larger, is archived. A repeated submission of the job
 * gets the job's state; a new job with the same texts is rejected. */
static void
test_idempotent_request_with_long_texts (void)
{
  Sim *sim = sim_new (70);
  g_autofree char *archived_submission = long_submission ("run-700001"),
                  *new_submission = long_submission ("run-700002");
  sim_put_record (sim, HZB_KEY_ARCHIVED "run-700001", "{\"state\":\"done\",\"n\":2}");
  sim_run (sim, 5);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      g_assert_cmpuint (user_request (sim, i, "POST", "/api/jobs", archived_submission, NULL), ==, 200);
      g_assert_nonnull (strstr (last_response_body, "done"));
      g_assert_cmpuint (user_request (sim, i, "POST", "/api/jobs", new_submission, NULL), ==, 400);
    }
  sim_free (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  g_test_add_func ("/records/done-confirmed-after-durable", test_done_confirmed_after_durable);
  g_test_add_func ("/records/late-transactions", test_late_transactions);
  g_test_add_func ("/records/low-write-rate", test_low_write_rate);
  g_test_add_func ("/records/full-restart-answers-for-every-job", test_full_restart_answers_for_every_job);
  g_test_add_func ("/records/archive-of-completed-jobs", test_archive_of_completed_jobs);
  g_test_add_func ("/records/idempotent-request-with-long-texts", test_idempotent_request_with_long_texts);
  return g_test_run ();
}
