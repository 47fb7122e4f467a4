/* Load tool: one real controller process on loopback, with fakes of the key-value store and the cloud behind HTTP, and as many
 * connections of workers as asked for. It measures how heartbeats are answered at rest and after the controller was killed and
 * started again, and stops by itself. Not part of the tests:
 *
 *     target/tests/load-workers --controller target/hazelbank --machines 4000 --seconds 30
 */
#include "json.h"
#include "real-processes.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define API_PORT 18080
#define PEER_PORT 18081
#define KV_PORT 18082
#define CLOUD_PORT 18083
#define HEARTBEAT_INTERVAL_S 5.0
#define RESPONSE_TIMEOUT_S 4.0 /* a worker's timeout */
#define RETRY_S 1.0
#define TURN_MS 5
#define MOST_SECONDS 300

typedef struct
{
  int fd;
  char name[16];
  guint tick;
  guint64 fencing_token;
  gboolean awaits_response, answered; /* answered: the worker got a 200 since the last restart */
  double next_s, sent_s;
  guint refused, most_refused; /* in a row */
  char input[4096];
  gsize read;
} Worker;

static Sim *sim;
static GArray *workers; /* Worker */
static GArray *latencies;
static guint responses, refusals, losses;
static int events;

/* ---- workers ---- */

static void
close_worker (Worker *worker, double retry_s)
{
  if (worker->fd >= 0)
    close (worker->fd);
  worker->fd = -1;
  worker->awaits_response = FALSE;
  worker->read = 0;
  worker->next_s = real_now_s () + retry_s;
}

static gboolean
connect_worker (Worker *worker)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (API_PORT) };
  struct epoll_event event = { .events = EPOLLIN | EPOLLRDHUP,
                               .data.u64 = (guint64) (worker - (Worker *) (gpointer) workers->data) };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  worker->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (worker->fd < 0
      || (connect (worker->fd, (struct sockaddr *) &address, sizeof address) != 0 && errno != EINPROGRESS)
      || epoll_ctl (events, EPOLL_CTL_ADD, worker->fd, &event) != 0)
    {
      close_worker (worker, RETRY_S);
      return FALSE;
    }
  return TRUE;
}

static void
send_heartbeat (Worker *worker)
{
  g_autofree char *body = NULL, *request = NULL;
  gssize sent;

  if (worker->fd < 0 && !connect_worker (worker))
    return;
  body = g_strdup_printf (
      "{\"host\":\"%s\",\"addr\":\"127.0.0.1:1\",\"flavor\":\"small\",\"yard\":\"za\",\"loaners\":true,\"tenure\":1,"
      "\"tick\":%u,\"baton\":%" G_GUINT64_FORMAT ",\"pieces\":[]}",
      worker->name, ++worker->tick, worker->fencing_token);
  request = g_strdup_printf ("POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s", strlen (body), body);
  sent = send (worker->fd, request, strlen (request), MSG_NOSIGNAL);
  if (sent != (gssize) strlen (request))
    {
      worker->next_s = real_now_s () + 0.02; /* the connection is not established yet */
      if (errno != EAGAIN && errno != ENOTCONN)
        {
          losses++;
          close_worker (worker, RETRY_S);
        }
      return;
    }
  worker->awaits_response = TRUE;
  worker->sent_s = real_now_s ();
}

/* Takes the fencing token without the checks of a real worker: these workers run no tasks. */
static void
take_response (Worker *worker, const char *body)
{
  guint status = (guint) g_ascii_strtoull (worker->input + strlen ("HTTP/1.1 "), NULL, 10);
  double latency = real_now_s () - worker->sent_s;
  cJSON *root = cJSON_Parse (body);

  g_array_append_val (latencies, latency);
  worker->fencing_token = MAX (worker->fencing_token, hzb_json_u64 (root, "baton"));
  cJSON_Delete (root);
  responses += status == 200;
  refusals += status != 200;
  worker->refused = status == 200 ? 0 : worker->refused + 1;
  worker->most_refused = MAX (worker->most_refused, worker->refused);
  worker->answered = worker->answered || status == 200;
  worker->awaits_response = FALSE;
  worker->read = 0;
  if (status == 200)
    worker->next_s = real_now_s () + HEARTBEAT_INTERVAL_S * g_random_double_range (0.75, 1.25);
  else
    close_worker (worker, RETRY_S);
}

static void
read_response (Worker *worker)
{
  gssize got = recv (worker->fd, worker->input + worker->read, sizeof worker->input - 1 - worker->read, 0);
  const char *body, *length;

  if (got < 0 && errno == EAGAIN)
    return;
  if (got <= 0)
    {
      losses += worker->awaits_response;
      close_worker (worker, RETRY_S);
      return;
    }
  worker->read += (gsize) got;
  worker->input[worker->read] = '\0';
  body = strstr (worker->input, "\r\n\r\n");
  length = strstr (worker->input, "Content-Length: ");
  if (body && length && strlen (body + 4) >= g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10))
    take_response (worker, body + 4);
}

static gboolean
on_workers (gpointer data)
{
  struct epoll_event ready[512];
  int n;
  while ((n = epoll_wait (events, ready, G_N_ELEMENTS (ready), 0)) > 0)
    for (int i = 0; i < n; i++)
      {
        Worker *worker = &g_array_index (workers, Worker, ready[i].data.u64);
        if (worker->fd >= 0)
          read_response (worker);
      }
  for (guint i = 0; i < workers->len; i++)
    {
      Worker *worker = &g_array_index (workers, Worker, i);
      if (worker->awaits_response && real_now_s () - worker->sent_s > RESPONSE_TIMEOUT_S)
        {
          losses++;
          close_worker (worker, RETRY_S);
        }
      else if (!worker->awaits_response && real_now_s () >= worker->next_s)
        send_heartbeat (worker);
    }
  return G_SOURCE_CONTINUE;
}

/* ---- the controller ---- */

static char *
write_settings (guint machines)
{
  g_autofree char *text = g_strdup_printf (
      "node = \"n0\"\nsite = \"za\"\napi_addr = \"127.0.0.1:%u\"\ncluster_listen = \"127.0.0.1:%u\"\n[external]\n"
      "cloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n[cluster]\nsize = 1\nzones = [\"za\", \"zb\"]\n"
      "[[cluster.teams]]\nname = \"red\"\ncpus = 100\n[cluster.workers]\nreport_s = %g\nlease_s = 26.5\ncancel_s = 46.5\n"
      "[cluster.state]\nrps = 800\nwrite_rps = 70\nvalue_kb = 16\ntxn_ops = 16\n[cluster.cloud]\nrps = 15\nlist_lag_s = 3\n"
      "[cluster.resources]\nsockets = %u\n",
      API_PORT, PEER_PORT, CLOUD_PORT, KV_PORT, HEARTBEAT_INTERVAL_S, machines + 200);
  return real_write_file (text);
}

/* Seconds of processor time and MiB of resident memory. */
static void
read_usage (GPid pid, double *cpu_s, double *memory_mib)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/stat", (int) pid), *text = NULL;
  g_auto (GStrv) fields = NULL;
  *cpu_s = *memory_mib = 0;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return;
  fields = g_strsplit (strrchr (text, ')') + 2, " ", 0);
  *cpu_s = (g_ascii_strtod (fields[11], NULL) + g_ascii_strtod (fields[12], NULL)) / (double) sysconf (_SC_CLK_TCK);
  *memory_mib = g_ascii_strtod (fields[21], NULL) * (double) sysconf (_SC_PAGESIZE) / 1048576;
}

static void
turn_until (double until_s)
{
  while (real_now_s () < until_s)
    g_main_context_iteration (NULL, TRUE);
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  const double *x = a, *y = b;
  return *x < *y ? -1 : *x > *y;
}

static double
percentile (double part)
{
  g_array_sort (latencies, compare_doubles);
  return latencies->len ? 1e3 * g_array_index (latencies, double, (guint) (part * (latencies->len - 1))) : 0;
}

/* Returns: seconds until every worker has got a 200, or -1. */
static double
measure (const char *what, GPid pid, double seconds)
{
  double began = real_now_s (), all = -1, before, after, memory;
  guint most_refused = 0;

  responses = refusals = losses = 0;
  g_array_set_size (latencies, 0);
  for (guint i = 0; i < workers->len; i++)
    {
      Worker *worker = &g_array_index (workers, Worker, i);
      worker->answered = FALSE;
      worker->refused = worker->most_refused = 0;
    }
  read_usage (pid, &before, &memory);
  while (real_now_s () < began + seconds)
    {
      guint answered = 0;
      turn_until (real_now_s () + 0.1);
      for (guint i = 0; all < 0 && i < workers->len; i++)
        answered += g_array_index (workers, Worker, i).answered;
      if (all < 0 && answered == workers->len)
        all = real_now_s () - began;
    }
  for (guint i = 0; i < workers->len; i++)
    most_refused = MAX (most_refused, g_array_index (workers, Worker, i).most_refused);
  read_usage (pid, &after, &memory);
  g_print (
      "%s: %.0f s, %u workers: %u heartbeats answered (%.0f a second), %u refused (%u in a row at most), %u without response; p50 "
      "%.1f ms, p99 %.1f ms, most %.1f ms; all answered after %.1f s; processor %.3f of a core, %.2f ms a heartbeat, %.1f MiB\n",
      what, seconds, workers->len, responses, responses / seconds, refusals, most_refused, losses, percentile (0.5),
      percentile (0.99), percentile (1), all, (after - before) / seconds,
      responses ? 1e3 * (after - before) / responses : 0, memory);
  return all;
}

int
main (int argc, char **argv)
{
  g_autofree char *program = NULL, *settings = NULL;
  gint machines = 4000, seconds = 30;
  const GOptionEntry entries[] = {
    { "controller", 0, 0, G_OPTION_ARG_FILENAME, &program, "The controller to load", "FILE" },
    { "machines", 0, 0, G_OPTION_ARG_INT, &machines, "Connections of workers", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "How long each of the two measurements takes", "S" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- many workers for one controller");
  g_autoptr (GError) error = NULL;
  struct rlimit limit = { (rlim_t) machines + 500, (rlim_t) machines + 500 };
  SimConfig config = sim_config_large;
  GPid pid;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || !program || machines < 1 || machines > 20000
      || seconds < 1 || seconds > MOST_SECONDS)
    {
      g_printerr ("load-workers: %s\n",
                  error ? error->message : "--controller FILE, 1 to 20000 machines, 1 to 300 seconds");
      return 2;
    }
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    g_printerr ("load-workers: the limit of descriptors stays as it is\n");
  alarm ((guint) (2 * seconds + 60)); /* ends this process if something blocks for ever */
  config.machines = (guint) machines;
  config.check_interval_s = MOST_SECONDS;
  sim = real_sim_new (1, &config);
  workers = g_array_sized_new (FALSE, TRUE, sizeof (Worker), (guint) machines);
  latencies = g_array_new (FALSE, FALSE, sizeof (double));
  events = epoll_create1 (EPOLL_CLOEXEC);
  for (gint i = 0; i < machines; i++)
    {
      SimMachine *machine = sim_add_machine (sim, "small", "za", TRUE, 1e9);
      Worker worker = { .fd = -1 };
      machine->up = TRUE;
      machine->listed_at = 0;
      g_strlcpy (worker.name, machine->name, sizeof worker.name);
      worker.next_s = 2 + g_random_double_range (0, 2);
      g_array_append_val (workers, worker);
    }
  real_serve (sim, KV_PORT, TRUE);
  real_serve (sim, CLOUD_PORT, FALSE);
  g_timeout_add (TURN_MS, on_workers, NULL);
  settings = write_settings ((guint) machines);
  pid = real_start (program, settings, NULL, NULL);
  turn_until (10);
  measure ("at rest", pid, seconds);
  real_kill (pid);
  pid = real_start (program, settings, NULL, NULL);
  measure ("after it was killed and started again", pid, seconds);
  real_kill (pid);
  unlink (settings);
  return 0;
}
