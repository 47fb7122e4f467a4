#include "controller.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

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

static gboolean
on_tick (gpointer controller)
{
  hzb_controller_tick (controller);
  return G_SOURCE_CONTINUE;
}

int
main (int argc, char **argv)
{
  g_autofree char *config = NULL;
  gboolean version = FALSE, check = FALSE;
  const GOptionEntry entries[] = {
    { "config", 0, 0, G_OPTION_ARG_FILENAME, &config, "Settings file of the platform (TOML)", "FILE" },
    { "check-config", 0, 0, G_OPTION_ARG_NONE, &check, "Check the settings file and exit", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- cluster scheduler");
  g_autoptr (GError) error = NULL;
  g_autoptr (HzbSettings) settings = NULL;
  g_autoptr (HzbClock) clock = NULL;
  g_autoptr (GMainLoop) loop = NULL;
  HzbController *controller;

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
  if (version)
    {
      g_print ("hazelbank %s\n", HZB_VERSION);
      return 0;
    }
  if (!config || argc > 1)
    {
      g_printerr ("hazelbank: %s\nSee hazelbank --help.\n",
                  config ? "there are words left over on the command line" : "--config FILE is needed");
      return 2;
    }
  settings = hzb_settings_load (config, &error);
  if (!settings)
    {
      g_printerr ("hazelbank: %s: the settings can't be used:\n%s\n", config, error->message);
      return 1;
    }
  if (check)
    {
      g_print ("%s: the settings are in order\n", config);
      return 0;
    }
  clock = hzb_clock_new ();
  controller = hzb_controller_new (settings, clock, hzb_http_client_new (), g_random_int ());
  if (!hzb_http_server_new (settings->api_addr, settings->sockets, hzb_controller_request, controller, &error)
      || !hzb_http_server_new (settings->peer_addr, settings->sockets, hzb_controller_peer_request, controller, &error))
    {
      g_printerr ("hazelbank: can't listen: %s\n", error->message);
      return 1;
    }
  g_message ("hazelbank %s, node %s, users and workers at %s", HZB_VERSION, settings->node, settings->api_addr);
  g_timeout_add (HZB_TICK_MS, on_tick, controller);
  hzb_controller_tick (controller);
  loop = g_main_loop_new (NULL, FALSE);
  g_main_loop_run (loop);
  return 0;
}
