#include "controller.h"
#include "report.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

/* LOG_LEVEL is the platform's: error, info or debug. */
static GLogLevelFlags log_limit = G_LOG_LEVEL_MESSAGE;

static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer user)
{
  if ((level & G_LOG_LEVEL_MASK) > log_limit)
    return G_LOG_WRITER_HANDLED;
  return g_log_writer_standard_streams (level, fields, n_fields, user);
}

static void
set_up_logging (void)
{
  const char *level = g_getenv ("LOG_LEVEL");
  if (g_strcmp0 (level, "error") == 0)
    log_limit = G_LOG_LEVEL_WARNING;
  else if (g_strcmp0 (level, "debug") == 0)
    log_limit = G_LOG_LEVEL_DEBUG;
  /* Everything goes to standard error; GLib would hold back debug lines of its own accord. */
  g_log_writer_default_set_use_stderr (TRUE);
  g_log_set_writer_func (write_log, NULL, NULL);
}

#define OTHER_DESCRIPTORS 64u /* beyond connections of users, workers and controllers */

/* Returns: FALSE, with a message, if the system does not let this process have as many connections as the settings say. */
static gboolean
raise_descriptor_limit (const HzbSettings *settings)
{
  struct rlimit limit;
  rlim_t need = (rlim_t) settings->sockets + OTHER_DESCRIPTORS;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= need)
    return TRUE;
  if (limit.rlim_max < need)
    {
      g_printerr (
          "hazelbank: cluster.resources.sockets is %u, and this process may have %lu descriptors: raise the hard limit "
          "(RLIMIT_NOFILE) to %lu or more\n",
          settings->sockets, (unsigned long) limit.rlim_max, (unsigned long) need);
      return FALSE;
    }
  limit.rlim_cur = need;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    g_warning ("the limit of descriptors could not be raised to %lu", (unsigned long) need);
  return TRUE;
}

/* What the command line says. */
typedef struct
{
  char *config, *features, *archive, *html;
  gboolean version, check;
} Options;

/* An archive for an operator: text on standard output, or a page in a file. Returns: the exit status. */
static int
show_archive (const Options *options)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbArchive) archive = hzb_archive_read_file (options->archive, &error);
  g_autofree char *text = NULL;

  if (!archive)
    {
      g_printerr ("hazelbank: %s: %s\n", options->archive, error->message);
      return 1;
    }
  if (!options->html)
    {
      text = hzb_report_text (archive);
      g_print ("%s", text);
      return 0;
    }
  text = hzb_report_html (archive);
  if (g_file_set_contents (options->html, text, -1, &error))
    return 0;
  g_printerr ("hazelbank: %s\n", error->message);
  return 1;
}

/* Returns: (transfer full) (nullable): the settings with the features that are on; NULL, with a message, if they are wrong */
static HzbSettings *
load_settings (const Options *options)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbSettings) settings = hzb_settings_load (options->config, &error);

  if (!settings)
    {
      g_printerr ("hazelbank: %s: the settings can't be used:\n%s\n", options->config, error->message);
      return NULL;
    }
  if (options->features && !hzb_settings_load_features (settings, options->features, &error))
    {
      g_printerr ("hazelbank: %s: the features can't be used:\n%s\n", options->features, error->message);
      return NULL;
    }
  return g_steal_pointer (&settings);
}

static gboolean
on_tick (gpointer controller)
{
  hzb_controller_tick (controller);
  return G_SOURCE_CONTINUE;
}

int
main (int argc, char **argv)
{
  Options options = { 0 };
  const GOptionEntry entries[] = {
    { "config", 0, 0, G_OPTION_ARG_FILENAME, &options.config, "Settings file of the platform (TOML)", "FILE" },
    { "features", 0, 0, G_OPTION_ARG_FILENAME, &options.features, "Which features are on (TOML), see deploy/", "FILE" },
    { "check-config", 0, 0, G_OPTION_ARG_NONE, &options.check, "Check these files and exit", NULL },
    { "show-reconciliation", 0, 0, G_OPTION_ARG_FILENAME, &options.archive, "Show an archive as text and exit",
      "FILE" },
    { "html", 0, 0, G_OPTION_ARG_FILENAME, &options.html, "Write the archive to this file, as a page with plots",
      "FILE" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &options.version, "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- cluster scheduler");
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbSettings) settings = NULL;
  g_autoptr (HzbClock) clock = NULL;
  g_autoptr (GMainLoop) loop = NULL;
  HzbController *controller;
  HzbHttpServer *api_server = NULL, *peer_server = NULL;

  /* No GIO modules, no D-Bus: nothing here needs them and they cost start-up time. */
  g_setenv ("GIO_USE_VFS", "local", TRUE);
  g_setenv ("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
  g_setenv ("GSETTINGS_BACKEND", "memory", TRUE);
  set_up_logging ();
  g_option_context_set_summary (context, "Runs one controller node until it is killed.");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      g_printerr ("hazelbank: %s\nSee hazelbank --help.\n", error->message);
      return 2;
    }
  if (options.version)
    {
      g_print ("hazelbank %s\n", HZB_VERSION);
      return 0;
    }
  if (options.archive && argc == 1)
    return show_archive (&options);
  if (!options.config || argc > 1)
    {
      g_printerr ("hazelbank: %s\nSee hazelbank --help.\n",
                  options.config ? "there are words left over on the command line" : "--config FILE is needed");
      return 2;
    }
  settings = load_settings (&options);
  if (!settings)
    return 1;
  if (options.check)
    {
      g_print ("%s: the settings are in order\n", options.config);
      return 0;
    }
  if (!raise_descriptor_limit (settings))
    return 1;
  clock = hzb_clock_new ();
  controller = hzb_controller_new (settings, clock, hzb_http_client_new (), g_random_int ());
  api_server = hzb_http_server_new (settings->api_addr, settings->sockets, hzb_controller_request, controller, &error);
  if (api_server)
    peer_server =
        hzb_http_server_new (settings->peer_addr, settings->sockets, hzb_controller_peer_request, controller, &error);
  if (!peer_server)
    {
      g_printerr ("hazelbank: can't listen: %s\n", error->message);
      return 1;
    }
  hzb_controller_set_http_servers (controller, api_server, peer_server);
  g_message ("hazelbank %s, node %s, users and workers at %s", HZB_VERSION, settings->node, settings->api_addr);
  g_timeout_add (HZB_TICK_MS, on_tick, controller);
  hzb_controller_tick (controller);
  loop = g_main_loop_new (NULL, FALSE);
  g_main_loop_run (loop);
  return 0;
}
