/* The program: one controller, or an archive shown to an operator. */
#include "archive-packing.h"
#include "controller.h"
#include "http-client.h"
#include "http-server.h"
#include "report.h"

#include <sys/resource.h>

/* Exit statuses. */
#define FAILED 1
#define WRONG_COMMAND_LINE 2

#define OTHER_DESCRIPTORS 64u /* beside the connections to users, workers and controllers */

/* Messages of a lower level than this are dropped. */
static GLogLevelFlags log_limit = G_LOG_LEVEL_MESSAGE;

static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer user)
{
  if ((level & G_LOG_LEVEL_MASK) > log_limit)
    return G_LOG_WRITER_HANDLED;
  return g_log_writer_standard_streams (level, fields, n_fields, user);
}

/* The platform sets LOG_LEVEL to error, info or debug. */
static void
set_up_logging (void)
{
  const char *level = g_getenv ("LOG_LEVEL");
  if (g_strcmp0 (level, "error") == 0)
    log_limit = G_LOG_LEVEL_WARNING;
  else if (g_strcmp0 (level, "debug") == 0)
    log_limit = G_LOG_LEVEL_DEBUG;
  /* All goes to standard error. A writer of our own, since GLib's would drop debug messages. */
  g_log_writer_default_set_use_stderr (TRUE);
  g_log_set_writer_func (write_log, NULL, NULL);
}

/* Returns: FALSE, with a message, if the system does not let this process have as many connections as the settings say */
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
    g_warning (
        "the limit of descriptors could not be raised to %lu: connections may be refused under load, raise the soft "
        "limit (RLIMIT_NOFILE) of this process",
        (unsigned long) need);
  return TRUE;
}

/* What the command line says. All texts are owned. */
typedef struct
{
  char *config, *features; /* the settings file and the features file */
  char *archive, *html;    /* the archive to show, and the file to write it to */
  gboolean version, check;
} Options;

/* Shows an archive of a reconciliation: as text on standard output, or as a page in a file. Returns: the exit status */
static int
show_archive (const Options *options)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbArchive) archive = hzb_archive_read_file (options->archive, &error);
  g_autofree char *text = NULL;

  if (!archive)
    {
      g_printerr ("hazelbank: %s: %s\n", options->archive, error->message);
      return FAILED;
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
  return FAILED;
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
parse_command_line (int *argc, char ***argv, Options *options, GError **error)
{
  const GOptionEntry entries[] = {
    { "config", 0, 0, G_OPTION_ARG_FILENAME, &options->config, "Settings file of the platform (TOML)", "FILE" },
    { "features", 0, 0, G_OPTION_ARG_FILENAME, &options->features, "Which features are on (TOML), see deploy/",
      "FILE" },
    { "check-config", 0, 0, G_OPTION_ARG_NONE, &options->check, "Check these files and exit", NULL },
    { "show-reconciliation", 0, 0, G_OPTION_ARG_FILENAME, &options->archive, "Show an archive as text and exit",
      "FILE" },
    { "html", 0, 0, G_OPTION_ARG_FILENAME, &options->html, "Write the archive to this file, as a page with plots",
      "FILE" },
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

/* Runs a controller until the process is killed. Returns: the exit status, if the controller can't listen */
static int
run_controller (HzbSettings *settings)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbClock) clock = hzb_clock_new ();
  g_autoptr (GMainLoop) loop = NULL;
  HzbController *controller = hzb_controller_new (settings, clock, hzb_http_client_new (), g_random_int ());
  HzbHttpServer *api_server, *peer_server = NULL;

  api_server = hzb_http_server_new (settings->api_addr, settings->sockets, hzb_controller_request, controller, &error);
  if (api_server)
    peer_server =
        hzb_http_server_new (settings->peer_addr, settings->sockets, hzb_controller_peer_request, controller, &error);
  if (!peer_server)
    {
      g_printerr ("hazelbank: can't listen: %s\n", error->message);
      return FAILED;
    }
  hzb_controller_set_http_servers (controller, api_server, peer_server);
  g_message ("hazelbank %s, node %s, users and workers at %s", HZB_VERSION, settings->node, settings->api_addr);
  g_timeout_add (HZB_TICK_MS, on_tick, controller);
  hzb_controller_tick (controller);
  loop = g_main_loop_new (NULL, FALSE);
  g_main_loop_run (loop);
  return 0;
}

/* Checks the settings, and unless that is all that was asked for runs a controller with them. Returns: the exit status */
static int
run_with_settings (const Options *options)
{
  g_autoptr (HzbSettings) settings = load_settings (options);

  if (!settings)
    return FAILED;
  if (options->check)
    {
      g_print ("%s: the settings are in order\n", options->config);
      return 0;
    }
  return raise_descriptor_limit (settings) ? run_controller (settings) : FAILED;
}

static void
set_up_environment (void)
{
  /* GIO must load no modules and not use D-Bus: nothing here needs them, and they would make the start slower. */
  g_setenv ("GIO_USE_VFS", "local", TRUE);
  g_setenv ("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
  g_setenv ("GSETTINGS_BACKEND", "memory", TRUE);
}

static int
refuse_command_line (const char *why)
{
  g_printerr ("hazelbank: %s\nSee hazelbank --help.\n", why);
  return WRONG_COMMAND_LINE;
}

int
main (int argc, char **argv)
{
  Options options = { 0 };
  g_autoptr (GError) error = NULL;

  set_up_environment ();
  set_up_logging ();
  if (!parse_command_line (&argc, &argv, &options, &error))
    return refuse_command_line (error->message);
  if (options.version)
    {
      g_print ("hazelbank %s\n", HZB_VERSION);
      return 0;
    }
  if (options.archive && argc == 1)
    return show_archive (&options);
  if (!options.config)
    return refuse_command_line ("--config FILE is needed");
  if (argc > 1)
    return refuse_command_line ("there are words left over on the command line");
  return run_with_settings (&options);
}
