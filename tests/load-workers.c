/* Load tool: one real controller process on loopback, with fakes of the key-value store and the cloud over HTTP, and a
 * given number of worker connections. It measures the latency of heartbeats in the steady state and after the controller
 * was killed and restarted, and then ends. It is run by hand and is not part of the tests:
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
#define RESPONSE_TIMEOUT_S 4.0 /* the timeout of a worker */
#define RETRY_S 1.0
#define TIMER_INTERVAL_MS 5
#define MAX_SECONDS 300

/* A worker that runs no tasks, with its connection. */
typedef struct
{
  int fd; /* -1: not connected */
  char name[16];
  guint sequence; /* of the last heartbeat */
  guint64 fencing_token;
  gboolean awaits_response, accepted; /* accepted: the worker got a 200 in this measurement */
  double next_heartbeat_s, sent_s;    /* when to send the next heartbeat; when the last one was sent */
  guint refused, max_refused;         /* consecutive n_accepted other than 200: now, and the maximum */
  char input[4096];
  gsize n_read; /* bytes in @input */
} Worker;

static Sim *sim;
static GArray *workers;                     /* Worker */
static GArray *latencies;                   /* double; in seconds */
static guint n_accepted, n_refused, n_lost; /* heartbeats of this measurement that got a 200, another status, nothing */
static int epoll_fd;

/* ---- workers ---- */

static void
close_worker (Worker *worker, double retry_s)
{
  if (worker->fd >= 0)
    close (worker->fd);
  worker->fd = -1;
  worker->awaits_response = FALSE;
  worker->n_read = 0;
  worker->next_heartbeat_s = real_now_s () + retry_s;
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
      || epoll_ctl (epoll_fd, EPOLL_CTL_ADD, worker->fd, &event) != 0)
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
      worker->name, ++worker->sequence, worker->fencing_token);
  request = g_strdup_printf ("POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s", strlen (body), body);
  sent = send (worker->fd, request, strlen (request), MSG_NOSIGNAL);
  if (sent != (gssize) strlen (request))
    {
      worker->next_heartbeat_s = real_now_s () + 0.02; /* the connection may not be established yet */
      if (errno != EAGAIN && errno != ENOTCONN)
        {
          n_lost++;
          close_worker (worker, RETRY_S);
        }
      return;
    }
  worker->awaits_response = TRUE;
  worker->sent_s = real_now_s ();
}

/* Handles a response. Adopts its fencing token without the checks of a real worker, because these workers run no
 * tasks. */
static void
handle_response (Worker *worker, const char *body)
{
  guint status = (guint) g_ascii_strtoull (worker->input + strlen ("HTTP/1.1 "), NULL, 10);
  double latency = real_now_s () - worker->sent_s;
  cJSON *root = cJSON_Parse (body);

  g_array_append_val (latencies, latency);
  worker->fencing_token = MAX (worker->fencing_token, hzb_json_u64 (root, "baton"));
  cJSON_Delete (root);
  n_accepted += status == 200;
  n_refused += status != 200;
  worker->refused = status == 200 ? 0 : worker->refused + 1;
  worker->max_refused = MAX (worker->max_refused, worker->refused);
  worker->accepted = worker->accepted || status == 200;
  worker->awaits_response = FALSE;
  worker->n_read = 0;
  if (status == 200)
    worker->next_heartbeat_s = real_now_s () + HEARTBEAT_INTERVAL_S * g_random_double_range (0.75, 1.25);
  else
    close_worker (worker, RETRY_S);
}

static void
read_response (Worker *worker)
{
  gssize received = recv (worker->fd, worker->input + worker->n_read, sizeof worker->input - 1 - worker->n_read, 0);
  const char *body, *length;

  if (received < 0 && errno == EAGAIN)
    return;
  if (received <= 0)
    {
      n_lost += worker->awaits_response;
      close_worker (worker, RETRY_S);
      return;
    }
  worker->n_read += (gsize) received;
  worker->input[worker->n_read] = '\0';
  body = strstr (worker->input, "\r\n\r\n");
  length = strstr (worker->input, "Content-Length: ");
  if (body && length && strlen (body + 4) >= g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10))
    handle_response (worker, body + 4);
}

/* Reads the n_accepted that have arrived, and sends the heartbeats that are due. */
static gboolean
update_workers (gpointer data)
{
  struct epoll_event ready[512];
  int n;
  while ((n = epoll_wait (epoll_fd, ready, G_N_ELEMENTS (ready), 0)) > 0)
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
          n_lost++;
          close_worker (worker, RETRY_S);
        }
      else if (!worker->awaits_response && real_now_s () >= worker->next_heartbeat_s)
        send_heartbeat (worker);
    }
  return G_SOURCE_CONTINUE;
}

/* ---- controller ---- */

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

/* Reads the processor time that a process has used, in seconds, and its resident memory; 0 if the process has ended. */
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
run_until (double until_s)
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

/* Returns: the latency that this fraction of the heartbeats do not exceed, in milliseconds. */
static double
percentile (double fraction)
{
  g_array_sort (latencies, compare_doubles);
  return latencies->len ? 1e3 * g_array_index (latencies, double, (guint) (fraction * (latencies->len - 1))) : 0;
}

/* Measures for some seconds and prints the figures. Returns: seconds until every worker has got a 200, or -1. */
static double
measure (const char *phase, GPid pid, double seconds)
{
  double started_s = real_now_s (), all_accepted_s = -1, cpu_before_s, cpu_after_s, memory_mib;
  guint max_refused = 0;

  n_accepted = n_refused = n_lost = 0;
  g_array_set_size (latencies, 0);
  for (guint i = 0; i < workers->len; i++)
    {
      Worker *worker = &g_array_index (workers, Worker, i);
      worker->accepted = FALSE;
      worker->refused = worker->max_refused = 0;
    }
  read_usage (pid, &cpu_before_s, &memory_mib);
  while (real_now_s () < started_s + seconds)
    {
      guint accepted = 0;
      run_until (real_now_s () + 0.1);
      for (guint i = 0; all_accepted_s < 0 && i < workers->len; i++)
        accepted += g_array_index (workers, Worker, i).accepted;
      if (all_accepted_s < 0 && accepted == workers->len)
        all_accepted_s = real_now_s () - started_s;
    }
  for (guint i = 0; i < workers->len; i++)
    max_refused = MAX (max_refused, g_array_index (workers, Worker, i).max_refused);
  read_usage (pid, &cpu_after_s, &memory_mib);
  g_print (
      "%s: %.0f s, %u workers: %u heartbeats accepted (%.0f per second), %u refused (at most %u in a row), "
      "%u without response; latency p50 %.1f ms, p99 %.1f ms, max %.1f ms; all workers accepted after %.1f s (-1: not "
      "all); processor %.3f of a core, %.2f ms per heartbeat; memory %.1f MiB\n",
      phase, seconds, workers->len, n_accepted, n_accepted / seconds, n_refused, max_refused, n_lost, percentile (0.5),
      percentile (0.99), percentile (1), all_accepted_s, (cpu_after_s - cpu_before_s) / seconds,
      n_accepted ? 1e3 * (cpu_after_s - cpu_before_s) / n_accepted : 0, memory_mib);
  return all_accepted_s;
}

int
main (int argc, char **argv)
{
  g_autofree char *program = NULL, *settings = NULL;
  gint machines = 4000, seconds = 30;
  const GOptionEntry entries[] = {
    { "controller", 0, 0, G_OPTION_ARG_FILENAME, &program, "Path of the controller program", "FILE" },
    { "machines", 0, 0, G_OPTION_ARG_INT, &machines, "Number of worker connections", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "Duration of each of the two measurements, in seconds", "S" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context =
      g_option_context_new ("- load one controller with the heartbeats of many workers");
  g_autoptr (GError) error = NULL;
  struct rlimit limit = { (rlim_t) machines + 500, (rlim_t) machines + 500 };
  SimConfig config = sim_config_large;
  GPid pid;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || !program || machines < 1 || machines > 20000
      || seconds < 1 || seconds > MAX_SECONDS)
    {
      g_printerr ("load-workers: %s\n",
                  error ? error->message : "expected --controller FILE, --machines 1 to 20000 and --seconds 1 to 300");
      return 2;
    }
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    g_printerr (
        "load-workers: can't raise the limit of open file descriptors; some workers may be unable to connect\n");
  alarm ((guint) (2 * seconds + 60)); /* ends this process if the main loop blocks */
  config.machines = (guint) machines;
  config.check_interval_s = MAX_SECONDS;
  sim = real_sim_new (1, &config);
  workers = g_array_sized_new (FALSE, TRUE, sizeof (Worker), (guint) machines);
  latencies = g_array_new (FALSE, FALSE, sizeof (double));
  epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  for (gint i = 0; i < machines; i++)
    {
      SimMachine *machine = sim_add_machine (sim, "small", "za", TRUE, 1e9);
      Worker worker = { .fd = -1 };
      machine->up = TRUE;
      machine->listed_at = 0;
      g_strlcpy (worker.name, machine->name, sizeof worker.name);
      worker.next_heartbeat_s = 2 + g_random_double_range (0, 2);
      g_array_append_val (workers, worker);
    }
  real_serve (sim, KV_PORT, TRUE);
  real_serve (sim, CLOUD_PORT, FALSE);
  g_timeout_add (TIMER_INTERVAL_MS, update_workers, NULL);
  settings = write_settings ((guint) machines);
  pid = real_start (program, settings, NULL, NULL);
  run_until (10);
  measure ("steady state", pid, seconds);
  real_kill (pid);
  pid = real_start (program, settings, NULL, NULL);
  measure ("after a restart of the controller", pid, seconds);
  real_kill (pid);
  unlink (settings);
  return 0;
}
