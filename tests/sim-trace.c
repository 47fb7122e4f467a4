/* Writes the traces that sim-trace.h describes. */
#include "sim-trace.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The trace of the running test case. A process runs its test cases one after the other. */
typedef struct
{
  const char *directory;
  char *test_case; /* path of the test case; NULL: no test case has begun */
  GChecksum *checksum;
  guint64 events;
  FILE *text; /* the events in full; NULL: only the digest is written */
} Trace;

static Trace trace;

/* Returns: (transfer full): the path of a file of the test case. */
static char *
build_trace_path (const char *suffix)
{
  g_autofree char *name = g_strdelimit (g_strdup (trace.test_case + 1), "/", '.');
  g_autofree char *file = g_strconcat (name, suffix, NULL);
  return g_build_filename (trace.directory, file, NULL);
}

/* Writes the digest and ends the trace of the test case, if one has begun. */
static void
trace_finish (void)
{
  g_autofree char *path = NULL, *line = NULL;
  g_autoptr (GError) error = NULL;

  if (!trace.test_case)
    return;
  path = build_trace_path (".digest");
  line = g_strdup_printf ("%s %" G_GUINT64_FORMAT "\n", g_checksum_get_string (trace.checksum), trace.events);
  if (!g_file_set_contents (path, line, -1, &error))
    g_error ("can't write the digest of the trace: %s", error->message);
  g_checksum_free (trace.checksum);
  if (trace.text)
    fclose (trace.text);
  trace.text = NULL;
  g_clear_pointer (&trace.test_case, g_free);
}

static void
trace_begin (const char *test_case)
{
  trace.test_case = g_strdup (test_case);
  trace.checksum = g_checksum_new (G_CHECKSUM_SHA256);
  trace.events = 0;
  if (g_getenv ("HZB_SIM_TRACE_TEXT"))
    {
      g_autofree char *path = build_trace_path (".text");
      trace.text = fopen (path, "w");
      if (!trace.text)
        g_error ("can't write the text of the trace to %s", path);
    }
}

static gboolean
trace_enabled (void)
{
  static gboolean initialized;
  if (!initialized)
    {
      initialized = TRUE;
      trace.directory = g_getenv ("HZB_SIM_TRACE");
      if (trace.directory)
        atexit (trace_finish);
    }
  return trace.directory != NULL;
}

void
sim_trace (const SimTraceEvent *event)
{
  g_autofree char *line = NULL;
  const char *test_case;

  if (!trace_enabled ())
    return;
  test_case = g_test_get_path ();
  if (!*test_case)
    return; /* the process is a load tool, not a test */
  if (g_strcmp0 (test_case, trace.test_case) != 0)
    {
      trace_finish ();
      trace_begin (test_case);
    }
  line = g_strdup_printf ("%.6f %s %u %s %s %s %u %s\n", event->at, event->kind, event->node,
                          event->peer ? event->peer : "-", event->method ? event->method : "-",
                          event->path ? event->path : "-", event->status, event->body ? event->body : "-");
  g_checksum_update (trace.checksum, (const guchar *) line, (gssize) strlen (line));
  trace.events++;
  if (trace.text)
    fputs (line, trace.text);
}
