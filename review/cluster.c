/* The controllers as processes, and requests of users. */
#include "lab.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROGRAM "target/hazelbank" /* `run` of the deploy file: target/hazelbank --config FILE */

const Deployment *deployment;
guint api_ports[MAX_CONTROLLERS];
const char *const controller_names[MAX_CONTROLLERS] = { "hazelnode-0", "hazelnode-1", "hazelnode-2", "hazelnode-3",
                                                        "hazelnode-4" };
Link *peer_links[MAX_CONTROLLERS][MAX_CONTROLLERS], *kv_links[MAX_CONTROLLERS], *cloud_links[MAX_CONTROLLERS];
static guint peer_ports[MAX_CONTROLLERS];
static GPid pids[MAX_CONTROLLERS];
static int ended_status[MAX_CONTROLLERS];
static gboolean ended[MAX_CONTROLLERS];
static char *folder;

/* Returns: a port that was free a moment ago */
static guint
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  guint port = 0;
  if (bind (fd, (struct sockaddr *) &address, size) == 0 && getsockname (fd, (struct sockaddr *) &address, &size) == 0)
    port = ntohs (address.sin_port);
  close (fd);
  return port;
}

static char *
settings_text (guint node)
{
  const Deployment *d = deployment;
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "node = \"%s\"\nsite = \"%s\"\napi_addr = \"127.0.0.1:%u\"\ncluster_listen = "
                          "\"127.0.0.1:%u\"\n",
                          controller_names[node], d->sites[node], api_ports[node], peer_ports[node]);
  for (guint i = 0; i < d->controllers; i++)
    if (i != node)
      g_string_append_printf (text, "\n[[peers]]\nnode = \"%s\"\nsite = \"%s\"\naddress = \"127.0.0.1:%u\"\n",
                              controller_names[i], d->sites[i],
                              d->with_links ? link_port (peer_links[node][i]) : peer_ports[i]);
  g_string_append_printf (text, "\n[external]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n",
                          d->with_links ? link_port (cloud_links[node]) : cloud_port (),
                          d->with_links ? link_port (kv_links[node]) : kv_store_port ());
  g_string_append_printf (text, "\n[cluster]\nsize = %u\nskew_ms = %.1f\nzones = [", d->controllers, d->skew_ms);
  for (guint i = 0; d->zones[i]; i++)
    g_string_append_printf (text, "%s\"%s\"", i ? ", " : "", d->zones[i]);
  g_string_append (text, "]\n");
  for (guint i = 0; i < d->n_teams; i++)
    g_string_append_printf (text,
                            "\n[[cluster.teams]]\nname = \"%s\"\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = "
                            "0.0\n",
                            d->teams[i].name, d->teams[i].cpus, d->teams[i].cpus_max);
  g_string_append_printf (text,
                          "\n[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = "
                          "%.1f\ncancel_s = %.1f\n",
                          d->report_s, d->lease_s, d->gang_wait_s, d->gang_peer_s, d->cancel_s);
  g_string_append_printf (text, "\n[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %u\n",
                          d->kv_rps, d->kv_write_rps, d->value_kb, d->txn_ops);
  g_string_append_printf (text, "\n[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", d->cloud_rps, d->list_lag_s);
  g_string_append_printf (text, "\n[cluster.resources]\ncpu_share = %.2f\nmem_mb = %.1f\nsockets = %u\n", d->cpu_share,
                          d->mem_mb, d->sockets);
  return g_string_free (text, FALSE);
}

/* Runs in the child: the log goes to a file, and the process ends with this one. */
static void
set_up_child (gpointer log)
{
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (fd >= 0)
    dup2 (fd, STDERR_FILENO);
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

void
controller_start (guint node)
{
  g_autofree char *name = g_strdup_printf ("%s.toml", controller_names[node]),
                  *log_name = g_strdup_printf ("%s.log", controller_names[node]),
                  *path = g_build_filename (folder, name, NULL), *log = g_build_filename (folder, log_name, NULL),
                  *text = settings_text (node);
  char *const arguments[] = { (char *) PROGRAM, (char *) "--config", path, NULL };
  g_autoptr (GError) error = NULL;

  if (!g_file_set_contents (path, text, -1, &error)
      || !g_spawn_async (NULL, (char **) arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL,
                         set_up_child, log, &pids[node], &error))
    lab_end (NOT_RUN, error->message);
  ended[node] = FALSE;
  record ("%s: started with %s --config FILE (process %d)", controller_names[node], PROGRAM, (int) pids[node]);
}

static void
make_links (void)
{
  for (guint i = 0; i < deployment->controllers; i++)
    {
      kv_links[i] = link_new (kv_store_port ());
      cloud_links[i] = link_new (cloud_port ());
      for (guint k = 0; k < deployment->controllers; k++)
        if (k != i)
          peer_links[i][k] = link_new (peer_ports[k]);
    }
}

void
controllers_prepare (const Deployment *settings)
{
  g_autoptr (GError) error = NULL;
  deployment = settings;
  folder = g_dir_make_tmp ("hazelbank-review-XXXXXX", &error);
  if (!folder)
    lab_end (NOT_RUN, error->message);
  for (guint i = 0; i < settings->controllers; i++)
    {
      api_ports[i] = free_port ();
      peer_ports[i] = free_port ();
    }
  if (settings->with_links)
    make_links ();
}

void
controllers_start (const Deployment *settings)
{
  controllers_prepare (settings);
  for (guint i = 0; i < settings->controllers; i++)
    controller_start (i);
}

gboolean
controller_has_ended (guint node, char **how)
{
  if (pids[node] && !ended[node] && waitpid (pids[node], &ended_status[node], WNOHANG) == pids[node])
    ended[node] = TRUE;
  if (!pids[node])
    return FALSE;
  if (ended[node] && how)
    *how = WIFSIGNALED (ended_status[node])
               ? g_strdup_printf ("ended by signal %d (%s)", WTERMSIG (ended_status[node]),
                                  strsignal (WTERMSIG (ended_status[node])))
               : g_strdup_printf ("ended with status %d", WEXITSTATUS (ended_status[node]));
  return ended[node];
}

/* Appends the end of a controller's log to the record. */
static void
record_log (guint node)
{
  g_autofree char *log_name = g_strdup_printf ("%s.log", controller_names[node]),
                  *log = g_build_filename (folder, log_name, NULL), *text = NULL;
  g_auto (GStrv) lines = NULL;
  guint n;

  if (!g_file_get_contents (log, &text, NULL, NULL))
    return;
  lines = g_strsplit (text, "\n", 0);
  n = g_strv_length (lines);
  for (guint i = n > 12 ? n - 12 : 0; i < n; i++)
    if (*lines[i])
      record ("log of %s: %.240s", controller_names[node], lines[i]);
}

static void
remove_folder (void)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;
  while (dir && (name = g_dir_read_name (dir)))
    {
      g_autofree char *path = g_build_filename (folder, name, NULL);
      g_unlink (path);
    }
  g_clear_pointer (&dir, g_dir_close);
  g_rmdir (folder);
}

void
controllers_kill (void)
{
  for (guint i = 0; deployment && i < deployment->controllers; i++)
    {
      if (pids[i] && !controller_has_ended (i, NULL))
        {
          kill (pids[i], SIGKILL);
          while (waitpid (pids[i], &ended_status[i], 0) < 0 && errno == EINTR)
            ;
          ended[i] = TRUE;
        }
      if (folder)
        record_log (i);
    }
  if (folder)
    remove_folder ();
}

typedef struct
{
  guint status;
  char *body;
  gboolean over;
} Probe;

static void
on_probed (guint status, const char *body, gsize length, gpointer data)
{
  Probe *probe = data;
  probe->status = status;
  probe->body = g_strndup (body, length);
  probe->over = TRUE;
}

static guint
probe (guint node, const char *path, cJSON **answer)
{
  Probe state = { 0 };
  lab_send (api_ports[node], "GET", path, NULL, 1, on_probed, &state);
  while (!state.over)
    g_main_context_iteration (NULL, TRUE);
  if (answer)
    *answer = cJSON_Parse (state.body);
  g_free (state.body);
  return state.status;
}

gboolean
controllers_wait_ready (double timeout_s)
{
  double until = lab_now_s () + timeout_s;
  while (lab_now_s () < until)
    {
      guint ready = 0;
      for (guint i = 0; i < deployment->controllers; i++)
        ready += probe (i, "/ready", NULL) == 200;
      if (ready == deployment->controllers && controller_leader () >= 0)
        {
          record ("every controller is ready; %s leads", controller_names[controller_leader ()]);
          return TRUE;
        }
      lab_run (0.2);
    }
  return FALSE;
}

int
controller_leader (void)
{
  for (guint i = 0; i < deployment->controllers; i++)
    {
      cJSON *answer = NULL;
      gboolean leads =
          probe (i, "/admin/v1/leadership", &answer) == 200 && cJSON_IsTrue (cJSON_GetObjectItem (answer, "leads"));
      cJSON_Delete (answer);
      if (leads)
        return (int) i;
    }
  return -1;
}

guint
user_submit (guint controller, const char *body, double timeout_s)
{
  double until = lab_now_s () + timeout_s;
  guint status = 0;
  while (lab_now_s () < until)
    {
      status = lab_user_request (controller, "POST", "/api/jobs", body, 5, NULL);
      if (status == 200 || status == 201 || status == 400 || status == 422)
        return status;
      lab_run (1);
      controller = (controller + 1) % deployment->controllers;
    }
  return status;
}

char *
text_with (const char *text, const char *from, const char *to)
{
  const char *found = strstr (text, from);
  g_autofree char *before = g_strndup (text, found ? (gsize) (found - text) : strlen (text));
  return found ? g_strconcat (before, to, found + strlen (from), NULL) : g_steal_pointer (&before);
}

char *
submission_new (const Job *job, const char *lane, const char *owner, const char *shape, const char *urgency,
                double size_gb, double expect_s)
{
  cJSON *root = cJSON_CreateObject ();
  char *text, *copy;
  cJSON_AddStringToObject (root, "uid", job->uid);
  cJSON_AddStringToObject (root, "lane", lane);
  cJSON_AddStringToObject (root, "owner", owner);
  cJSON_AddStringToObject (root, "shape", shape);
  cJSON_AddStringToObject (root, "urgency", urgency);
  cJSON_AddNumberToObject (root, "pieces", job->pieces);
  cJSON_AddNumberToObject (root, "cpus", job->cpus);
  cJSON_AddNumberToObject (root, "gpus", 0);
  cJSON_AddNumberToObject (root, "ramGb", job->memory_gb);
  cJSON_AddStringToObject (root, "bundle", "img-1");
  cJSON_AddNumberToObject (root, "sizeGb", size_gb);
  cJSON_AddNullToObject (root, "flavors");
  cJSON_AddNullToObject (root, "yard");
  cJSON_AddBoolToObject (root, "samePlace", FALSE);
  cJSON_AddBoolToObject (root, "spread", FALSE);
  cJSON_AddBoolToObject (root, "loaners", TRUE);
  cJSON_AddNumberToObject (root, "expectS", expect_s);
  cJSON_AddNumberToObject (root, "snapshotEveryS", 0);
  cJSON_AddNumberToObject (root, "snapshotS", 0);
  cJSON_AddNullToObject (root, "dueS");
  text = cJSON_PrintUnformatted (root);
  copy = g_strdup (text);
  free (text);
  cJSON_Delete (root);
  return copy;
}
