/* A test of real controller processes on loopback. The test runs in real time, so no assertion depends on how long a
 * step takes. */
#include "http-client.h"
#include "real-processes.h"
#include "sim-faults.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define API_PORT 18100u /* of node 0; each node has an API port and, as the next number, a port for peers */
#define KV_PORT 18120u
#define CLOUD_PORT 18121u
#define MACHINES 30u
#define JOBS 24u
#define TIMEOUT_S 240.0 /* long, because the host may be busy with other work */

static const char *program;
static HzbTransport *client;
static GPid pids[SIM_NODES];

/* ---- requests of users and workers to the processes ---- */

static void
on_reply (guint status, const char *body, gsize length, gpointer user)
{
  HzbHttpRequest *http_request = user;
  gboolean heartbeat = g_str_equal (http_request->path, "/hello");
  /* A worker must be told that its connection was refused (status 0). A user gets no response, and retries after its
   * timeout. */
  if (status || heartbeat)
    http_request->reply (http_request, status, body, 0);
  g_free (http_request->method);
  g_free (http_request->path);
  g_free (http_request);
}

static void
send_to_process (Sim *sim, guint node, HzbHttpRequest *http_request)
{
  g_autofree char *addr = g_strdup_printf ("127.0.0.1:%u", API_PORT + 2 * node);
  hzb_transport_send (client, http_request->method, addr, http_request->path, g_steal_pointer (&http_request->body),
                      4000, on_reply, http_request);
}

/* ---- controllers ---- */

static char *
write_settings (guint node, const SimConfig *config)
{
  g_autoptr (GString) text = g_string_new (NULL);

  g_string_append_printf (text,
                          "node = \"node-%u\"\nsite = \"za\"\napi_addr = \"127.0.0.1:%u\"\n"
                          "cluster_listen = \"127.0.0.1:%u\"\n",
                          node, API_PORT + 2 * node, API_PORT + 2 * node + 1);
  for (guint i = 0; i < SIM_NODES; i++)
    if (i != node)
      g_string_append_printf (text, "[[peers]]\nnode = \"node-%u\"\nsite = \"za\"\naddress = \"127.0.0.1:%u\"\n", i,
                              API_PORT + 2 * i + 1);
  g_string_append_printf (text,
                          "[external]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n[cluster]\nsize = 3\n"
                          "zones = [\"za\", \"zb\"]\nskew_ms = 5\n[cluster.workers]\nreport_s = %g\nlease_s = %g\n"
                          "cancel_s = %g\n[cluster.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = 16\ntxn_ops = %u\n"
                          "[cluster.state.next]\nvalue_kb = 2\n[cluster.cloud]\nrps = %g\nlist_lag_s = 3\n",
                          CLOUD_PORT, KV_PORT, config->heartbeat_interval_s, config->lease_s, config->cancel_s,
                          config->kv_rps, config->kv_write_rps, config->txn_ops, config->cloud_rps);
  for (guint i = 0; i < 2; i++)
    g_string_append_printf (text, "[[cluster.teams]]\nname = \"%s\"\ncpus = %g\ncpus_max = %g\n", i ? "blue" : "red",
                            config->team_guarantee, config->team_max);
  return real_write_file (text->str);
}

static void
start_controllers (Sim *sim, char *const *settings, const char *features, const char *log)
{
  for (guint i = 0; i < SIM_NODES; i++)
    {
      pids[i] = real_start (program, settings[i], features, log);
      sim->nodes[i].controller = (gpointer) sim; /* marks the process as running; never dereferenced */
    }
}

static void
kill_controllers (Sim *sim)
{
  for (guint i = 0; i < SIM_NODES; i++)
    {
      real_kill (pids[i]);
      /* Node 0 stays marked as running, because the calls to the fakes come from it. */
      sim->nodes[i].controller = i ? NULL : sim->nodes[i].controller;
    }
}

static guint
count_unfinished_jobs (const Sim *sim)
{
  guint n = 0;
  for (guint i = 0; i < sim->jobs->len; i++)
    n += !((SimJob *) sim->jobs->pdata[i])->confirmed_done;
  return n;
}

/* All three controllers are killed under load and started again. Guards against a cold start in which a task is lost or
 * runs twice, or in which the controllers do not reconcile. */
static void
test_cold_start (void)
{
  SimConfig config = sim_config_small;
  char *settings[SIM_NODES];
  g_autofree char *features = real_write_file ("[reconciliation]\nenabled = true\npace_s = 5\n");
  g_autofree char *log = real_write_file (""), *log_text = NULL;
  Sim *sim;
  double killed_at;

  config.machines = MACHINES;
  config.team_max = 4 * MACHINES;
  config.lease_s = 30; /* long, so that no lease expires because the host is busy with other work */
  config.check_interval_s = 0.1;
  config.cancel_s = 60;
  sim = real_sim_new (1300, &config);
  client = hzb_http_client_new ();
  sim->send_to_process = send_to_process;
  real_serve (sim, KV_PORT, TRUE);
  real_serve (sim, CLOUD_PORT, FALSE);
  for (guint i = 0; i < SIM_NODES; i++)
    settings[i] = write_settings (i, &config);
  for (guint i = 0; i < MACHINES; i++)
    sim_add_machine (sim, i % 3 ? "small" : "big", i % 2 ? "za" : "zb", TRUE, 2);
  start_controllers (sim, settings, features, log);
  for (guint i = 0; i < JOBS; i++)
    sim_add_job (sim, 3 + 0.1 * i, i % 2 ? "red" : "blue", 3 + i % 5, 1, 15);
  while (count_running_tasks (sim) < MACHINES && sim->now < TIMEOUT_S)
    real_run_until (sim, sim->now + 0.1);
  g_assert_cmpuint (count_running_tasks (sim), >=, MACHINES);
  killed_at = sim->now;
  kill_controllers (sim);
  real_run_until (sim, sim->now + 2);
  start_controllers (sim, settings, features, log);
  while (count_unfinished_jobs (sim) && sim->now < TIMEOUT_S)
    real_run_until (sim, sim->now + 0.1);
  g_test_message ("controllers killed at %.1f s; all %u jobs finished at %.1f s; %u tasks started", killed_at, JOBS,
                  sim->now, sim->tasks_started);
  expect_no_violation (sim, "a cold start of processes", 1300);
  g_assert_cmpuint (count_unfinished_jobs (sim), ==, 0);
  kill_controllers (sim);
  g_assert_true (g_file_get_contents (log, &log_text, NULL, NULL));
  g_assert_nonnull (strstr (log_text, "detecting -> collecting: all-ended"));
  g_assert_nonnull (strstr (log_text, "deciding -> recorded"));
  g_assert_null (strstr (log_text, "illegal change"));
  unlink (features);
  unlink (log);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      unlink (settings[i]);
      g_free (settings[i]);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_LEVEL_ERROR);
  alarm ((guint) TIMEOUT_S + 60); /* ends this process if the main loop blocks */
  if (argc != 2)
    {
      g_printerr ("usage: test-processes CONTROLLER\n");
      return 2;
    }
  program = argv[1];
  g_test_add_func ("/processes/cold-start", test_cold_start);
  return g_test_run ();
}
