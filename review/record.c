/* The record of a case, its clock and its end. */
#include "lab.h"

#include <glib-unix.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

static FILE *file;
static gint64 began_us;
static guint limit;

double
lab_now_s (void)
{
  return (double) (g_get_monotonic_time () - began_us) / 1e6;
}

void
record (const char *format, ...)
{
  va_list args;
  fprintf (file, "%8.3f  ", lab_now_s ());
  va_start (args, format);
  vfprintf (file, format, args);
  va_end (args);
  fputc ('\n', file);
  fflush (file);
}

static gboolean
on_limit (gpointer data)
{
  lab_end (NOT_RUN, "the case took too long");
}

static gboolean
on_signal (gpointer data)
{
  lab_end (NOT_RUN, "the case was told to end");
}

void
lab_begin (const char *record_path, guint limit_s)
{
  began_us = g_get_monotonic_time ();
  limit = limit_s;
  file = fopen (record_path, "w");
  if (!file)
    {
      fprintf (stderr, "can't write %s\n", record_path);
      exit (NOT_RUN);
    }
  g_timeout_add_seconds (limit_s, on_limit, NULL);
  g_unix_signal_add (SIGTERM, on_signal, NULL);
  g_unix_signal_add (SIGINT, on_signal, NULL);
}

static gboolean
on_run_end (gpointer done)
{
  *(gboolean *) done = TRUE;
  return G_SOURCE_REMOVE;
}

void
lab_run (double seconds)
{
  gboolean done = FALSE;
  g_timeout_add ((guint) (seconds * 1000), on_run_end, &done);
  while (!done)
    g_main_context_iteration (NULL, TRUE);
}

gboolean
lab_with_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

void
lab_end (int status, const char *verdict)
{
  static const char *const meanings[] = { "the rule held", "the rule was broken", "not run" };
  controllers_kill ();
  record ("RESULT %d (%s): %s", status, meanings[status], verdict);
  fclose (file);
  printf ("%s: %s\n", meanings[status], verdict);
  exit (status);
}
