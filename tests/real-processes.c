/* Starts and kills controller processes, and serves the fakes over HTTP. */
#include "real-processes.h"

#define SOUP_VERSION_MIN_REQUIRED SOUP_VERSION_2_70
#include <errno.h>
#include <fcntl.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define TIMER_INTERVAL_MS 5

static gint64 started_us; /* monotonic time of real_sim_new() */

double
real_now_s (void)
{
  return (double) (g_get_monotonic_time () - started_us) / 1e6;
}

/* Runs the events of the fakes that are due. */
static gboolean
on_timer (gpointer sim)
{
  sim_run (sim, real_now_s ());
  return G_SOURCE_CONTINUE;
}

Sim *
real_sim_new (guint32 seed, const SimConfig *config)
{
  Sim *sim = sim_new_with_config (seed, config);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_crash (sim, i);
  g_sequence_remove_range (g_sequence_get_begin_iter (sim->events), g_sequence_get_end_iter (sim->events));
  /* Marks node 0 as running: on_fake_request() leaves the node and incarnation of each call at 0, and the simulation
   * drops the response to a call unless its node runs in that incarnation. The pointer is never dereferenced. */
  sim->nodes[0].controller = (gpointer) sim;
  sim->nodes[0].incarnation = 0;
  started_us = g_get_monotonic_time ();
  g_timeout_add (TIMER_INTERVAL_MS, on_timer, sim);
  return sim;
}

/* ---- fakes over HTTP ---- */

/* An HTTP request that waits for the response of a fake. As the data of a request handler: which fake the handler
 * serves; server and message are NULL. */
typedef struct
{
  Sim *sim;
  gboolean is_kv; /* TRUE: to the key-value store; FALSE: to the cloud */
  SoupServer *server;
  SoupMessage *message;
} FakeRequest;

static void
on_fake_response (guint status, const char *body, gsize length, gpointer user)
{
  FakeRequest *request = user;
  soup_message_set_status (request->message, status);
  soup_message_set_response (request->message, "application/json", SOUP_MEMORY_COPY, body, length);
  soup_server_unpause_message (request->server, request->message);
  g_object_unref (request->message);
  g_free (request);
}

static void
on_fake_request (SoupServer *server, SoupMessage *message, const char *path, GHashTable *query,
                 SoupClientContext *client, gpointer data)
{
  SimCall *call = g_new0 (SimCall, 1);
  FakeRequest *request = g_memdup2 (data, sizeof *request);
  g_autoptr (SoupBuffer) body = soup_message_body_flatten (message->request_body);

  request->server = server;
  request->message = g_object_ref (message);
  call->method = g_strdup (message->method);
  call->addr = g_strdup (request->is_kv ? SIM_KV_ADDRESS : SIM_CLOUD_ADDRESS);
  call->path = soup_uri_to_string (soup_message_get_uri (message), TRUE);
  call->body = g_strndup (body->data, body->length);
  call->done = on_fake_response;
  call->user = request;
  call->refs = 1;
  soup_server_pause_message (server, message);
  if (request->is_kv)
    sim_kv_store_request (request->sim, call);
  else
    sim_cloud_request (request->sim, call);
}

void
real_serve (Sim *sim, guint port, gboolean is_kv)
{
  g_autoptr (GError) error = NULL;
  SoupServer *server = soup_server_new (NULL, NULL);
  FakeRequest *handler_data = g_new0 (FakeRequest, 1);

  handler_data->sim = sim;
  handler_data->is_kv = is_kv;
  soup_server_add_handler (server, NULL, on_fake_request, handler_data, g_free);
  if (!soup_server_listen_local (server, port, SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    g_error ("can't listen on port %u: %s", port, error->message);
}

/* ---- controllers ---- */

/* Runs in the child before it executes the controller: redirects standard error to the log, and makes the kernel kill
 * the controller when its parent, the process that called real_start(), ends for any reason. */
static void
set_up_child (gpointer log)
{
  int file = log ? open (log, O_WRONLY | O_CREAT | O_APPEND, 0600) : open ("/dev/null", O_WRONLY);
  if (file >= 0)
    dup2 (file, STDERR_FILENO);
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

GPid
real_start (const char *program, const char *settings, const char *features, const char *log)
{
  g_autoptr (GError) error = NULL;
  const char *const without_features[] = { program, "--config", settings, NULL };
  const char *const with_features[] = { program, "--features", features, "--config", settings, NULL };
  GPid pid;

  if (!g_spawn_async (NULL, (char **) (features ? with_features : without_features), NULL,
                      G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL, set_up_child, (gpointer) log, &pid,
                      &error))
    g_error ("can't start %s: %s", program, error->message);
  return pid;
}

void
real_kill (GPid pid)
{
  kill (pid, SIGKILL);
  while (waitpid (pid, NULL, 0) < 0 && errno == EINTR)
    ;
}

char *
real_write_file (const char *text)
{
  char *path = g_build_filename (g_get_tmp_dir (), "hazelbank-real-XXXXXX", NULL);
  g_autoptr (GError) error = NULL;
  close (g_mkstemp (path));
  if (!g_file_set_contents (path, text, -1, &error))
    g_error ("can't write a temporary file: %s", error->message);
  return path;
}

void
real_run_until (Sim *sim, double until_s)
{
  while (sim->now < until_s)
    g_main_context_iteration (NULL, TRUE);
}
