/* The program hazelbank: runs one controller, checks its settings, or shows the archive of a reconciliation. */
#include "archive-packing.h"
#include "controller.h"
#include "http-client.h"
#include "http-server.h"
#include "log.h"
#include "report.h"

#include <sys/resource.h>

/* Exit statuses. */
#define EXIT_STATUS_FAILURE 1
#define EXIT_STATUS_USAGE_ERROR 2

#define OTHER_DESCRIPTORS 64u /* file descriptors besides the connections to users, workers and controllers */

/* Messages that are less severe than this level are dropped. */
static GLogLevelFlags log_threshold = G_LOG_LEVEL_MESSAGE;

static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer user)
{
  if ((level & G_LOG_LEVEL_MASK) > log_threshold)
    return G_LOG_WRITER_HANDLED;
  return g_log_writer_standard_streams (level, fields, n_fields, user);
}

/* The platform sets LOG_LEVEL to error, info or debug; info is the default. */
static void
set_up_logging (void)
{
  const char *level = g_getenv ("LOG_LEVEL");
  if (g_strcmp0 (level, "error") == 0)
    log_threshold = G_LOG_LEVEL_WARNING;
  else if (g_strcmp0 (level, "debug") == 0)
    log_threshold = G_LOG_LEVEL_DEBUG;
  hzb_log_set_debug_enabled (log_threshold == G_LOG_LEVEL_DEBUG);
  /* All messages go to standard error. GLib's default writer would drop debug messages, so write_log() replaces it. */
  g_log_writer_default_set_use_stderr (TRUE);
  g_log_set_writer_func (write_log, NULL, NULL);
}

/* Raises the soft limit of file descriptors, so that this process can open as many connections as the settings say.
 * If the limit cannot be read or raised for another reason than the hard limit, the program continues. Returns: FALSE,
 * after printing an error, if the hard limit is too low */
static gboolean
raise_descriptor_limit (const HzbSettings *settings)
{
  struct rlimit limit;
  rlim_t required = (rlim_t) settings->sockets + OTHER_DESCRIPTORS;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= required)
    return TRUE;
  if (limit.rlim_max < required)
    {
      g_printerr (
          "hazelbank: cluster.resources.sockets is %u, but this process may open only %lu file descriptors: raise its "
          "hard limit (RLIMIT_NOFILE) to at least %lu\n",
          settings->sockets, (unsigned long) limit.rlim_max, (unsigned long) required);
      return FALSE;
    }
  limit.rlim_cur = required;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    g_warning (
        "the limit of file descriptors cannot be raised to %lu, so connections may be refused under load: raise the "
        "soft limit (RLIMIT_NOFILE) of this process",
        (unsigned long) required);
  return TRUE;
}

/* The options of the command line. NULL: the option is not given. The option parser allocates the strings, which are
 * kept until the process exits. */
typedef struct
{
  char *config, *features; /* paths of the settings file and the features file */
  char *archive, *html;    /* paths of the archive to show, and of the HTML page to write */
  gboolean version, check;
} Options;

/* Writes an archive of a reconciliation as text to standard output, or as an HTML page to a file. Returns: the exit
 * status */
static int
show_archive (const Options *options)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbArchive) archive = hzb_archive_read_file (options->archive, &error);
  g_autofree char *text = NULL;

  if (!archive)
    {
      g_printerr ("hazelbank: %s: %s\n", options->archive, error->message);
      return EXIT_STATUS_FAILURE;
    }
  if (!options->html)
    {
      text = hzb_archive_report_text (archive);
      g_print ("%s", text);
      return 0;
    }
  text = hzb_archive_report_html (archive);
  if (g_file_set_contents (options->html, text, -1, &error))
    return 0;
  g_printerr ("hazelbank: %s\n", error->message);
  return EXIT_STATUS_FAILURE;
}

/* Returns: (transfer full) (nullable): the settings and features; NULL, after printing an error, if one is invalid */
static HzbSettings *
load_settings (const Options *options)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbSettings) settings = hzb_settings_load (options->config, &error);

  if (!settings)
    {
      g_printerr ("hazelbank: %s: cannot load the settings:\n%s\n", options->config, error->message);
      return NULL;
    }
  if (options->features && !hzb_settings_load_features (settings, options->features, &error))
    {
      g_printerr ("hazelbank: %s: cannot load the features:\n%s\n", options->features, error->message);
      return NULL;
    }
  return g_steal_pointer (&settings);
}

static gboolean
parse_command_line (int *argc, char ***argv, Options *options, GError **error)
{
  const GOptionEntry entries[] = {
    { "config", 0, 0, G_OPTION_ARG_FILENAME, &options->config, "Settings file of the platform (TOML)", "FILE" },
    { "features", 0, 0, G_OPTION_ARG_FILENAME, &options->features, "Features file of the operator (TOML), see deploy/",
      "FILE" },
    { "check-config", 0, 0, G_OPTION_ARG_NONE, &options->check, "Check the settings and features files and exit",
      NULL },
    { "show-reconciliation", 0, 0, G_OPTION_ARG_FILENAME, &options->archive,
      "Print this archive of a reconciliation as text and exit", "FILE" },
    { "html", 0, 0, G_OPTION_ARG_FILENAME, &options->html,
      "Write the archive to this file instead, as an HTML page with plots", "FILE" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &options->version, "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- cluster scheduler");

  g_option_context_set_summary (context, "Runs one controller node until it is killed.");
  g_option_context_add_main_entries (context, entries, NULL);
  return g_option_context_parse (context, argc, argv, error);
}

static gboolean
on_tick (gpointer controller)
{
  hzb_controller_tick (controller);
  return G_SOURCE_CONTINUE;
}

/* Runs a controller until the process is killed. Returns only if the controller cannot listen:
 * EXIT_STATUS_FAILURE */
static int
run_controller (HzbSettings *settings)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbClock) clock = hzb_clock_new ();
  g_autoptr (GMainLoop) loop = NULL;
  HzbController *controller = hzb_controller_new (settings, clock, hzb_http_client_new (), g_random_int ());
  HzbHttpServer *api_server, *peer_server = NULL;

  api_server =
      hzb_http_server_new (settings->api_addr, settings->sockets, hzb_controller_handle_request, controller, &error);
  if (api_server)
    peer_server = hzb_http_server_new (settings->peer_addr, settings->sockets, hzb_controller_handle_peer_request,
                                       controller, &error);
  if (!peer_server)
    {
      g_printerr ("hazelbank: cannot listen at both %s and %s: %s\n", settings->api_addr, settings->peer_addr,
                  error->message);
      return EXIT_STATUS_FAILURE;
    }
  hzb_controller_set_http_servers (controller, api_server, peer_server);
  g_message ("hazelbank %s: node %s listens for users, workers and operators at %s, for other controllers at %s",
             HZB_VERSION, settings->node, settings->api_addr, settings->peer_addr);
  g_timeout_add (HZB_TICK_MS, on_tick, controller);
  hzb_controller_tick (controller);
  loop = g_main_loop_new (NULL, FALSE);
  g_main_loop_run (loop);
  return 0;
}

/* Loads the settings, and runs a controller with them unless --check-config is given. Returns: the exit status */
static int
run_with_settings (const Options *options)
{
  g_autoptr (HzbSettings) settings = load_settings (options);

  if (!settings)
    return EXIT_STATUS_FAILURE;
  if (options->check)
    {
      g_print ("%s: the settings are valid\n", options->config);
      return 0;
    }
  return raise_descriptor_limit (settings) ? run_controller (settings) : EXIT_STATUS_FAILURE;
}

static void
set_up_environment (void)
{
  /* Keeps GIO from loading modules and using D-Bus: the program needs neither, and they would slow down the start. */
  g_setenv ("GIO_USE_VFS", "local", TRUE);
  g_setenv ("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
  g_setenv ("GSETTINGS_BACKEND", "memory", TRUE);
}

static int
report_usage_error (const char *message)
{
  g_printerr ("hazelbank: %s\nSee hazelbank --help.\n", message);
  return EXIT_STATUS_USAGE_ERROR;
}

int
main (int argc, char **argv)
{
  Options options = { 0 };
  g_autoptr (GError) error = NULL;

  set_up_environment ();
  set_up_logging ();
  if (!parse_command_line (&argc, &argv, &options, &error))
    return report_usage_error (error->message);
  if (options.version)
    {
      g_print ("hazelbank %s\n", HZB_VERSION);
      return 0;
    }
  if (options.archive && argc == 1)
    return show_archive (&options);
  if (!options.config)
    return report_usage_error ("--config FILE is required");
  if (argc > 1)
    return report_usage_error ("unexpected arguments on the command line");
  return run_with_settings (&options);
}
