#include "report.h"

#include <time.h>

/* Sizes of a plot, in pixels. A bar with the gap after it is BAR_WIDTH wide. */
#define PLOT_WIDTH 720
#define PLOT_HEIGHT 140 /* of the highest bar */
#define BAR_WIDTH (PLOT_WIDTH / (int) HZB_ARCHIVE_SECONDS)
#define BAR_GAP 2
#define LABELS_HEIGHT 20   /* of the time labels below the bars */
#define LABELS_BASELINE 14 /* from the foot of the bars to the baseline of the labels */

#define MAX_TABLE_ROWS 200u /* of the table of jobs; further jobs are in the archive only */

/* ---- contents of both reports ---- */

static char *
format_began (const HzbArchive *archive)
{
  g_autoptr (GDateTime) at = g_date_time_new_from_unix_utc ((gint64) archive->began);
  return at ? g_date_time_format (at, "%Y-%m-%d %H:%M:%S UTC") : g_strdup ("at no known time");
}

static guint
count_commands (const HzbArchive *archive, HzbArchiveCommandKind kind)
{
  guint total = 0;
  for (guint second = 0; second < HZB_ARCHIVE_SECONDS; second++)
    total += archive->commands[kind][second];
  return total;
}

static guint
max_commands_per_second (const HzbArchive *archive, HzbArchiveCommandKind kind)
{
  guint highest = 0;
  for (guint second = 0; second < HZB_ARCHIVE_SECONDS; second++)
    highest = MAX (highest, archive->commands[kind][second]);
  return highest;
}

/* @first_s, @last_s: (out): when the first and the last verdict became durable, in seconds since the last cold start
 * began; negative if there is no verdict */
static void
find_verdict_times (const HzbArchive *archive, double *first_s, double *last_s)
{
  *first_s = *last_s = -1;
  for (guint i = 0; i < archive->jobs->len; i++)
    {
      double at_s = g_array_index (archive->jobs, HzbArchivedJobVerdict, i).at_s;
      *first_s = *first_s < 0 ? at_s : MIN (*first_s, at_s);
      *last_s = MAX (*last_s, at_s);
    }
}

/* Appends a row to a table of verdicts. @jobs: number of jobs with this verdict and reason */
typedef void (*AppendRowFunc) (GString *out, const char *verdict, const char *reason, guint jobs);

static void
append_verdict_counts (const HzbArchive *archive, AppendRowFunc append_row, GString *out)
{
  guint counts[HZB_JOB_N_VERDICTS][HZB_JOB_N_REASONS] = { { 0 } };
  for (guint i = 0; i < archive->jobs->len; i++)
    {
      const HzbVerdictEntry *entry = &g_array_index (archive->jobs, HzbArchivedJobVerdict, i).entry;
      counts[entry->verdict][entry->reason]++;
    }
  for (guint verdict = 0; verdict < HZB_JOB_N_VERDICTS; verdict++)
    for (guint reason = 0; reason < HZB_JOB_N_REASONS; reason++)
      if (counts[verdict][reason])
        append_row (out, hzb_job_verdict_name ((HzbJobVerdict) verdict), hzb_job_reason_name ((HzbJobReason) reason),
                    counts[verdict][reason]);
}

/* ---- the text report ---- */

static void
append_text_row (GString *out, const char *verdict, const char *reason, guint jobs)
{
  g_string_append_printf (out, "  %-8s %-18s %6u\n", verdict, reason, jobs);
}

/* Appends what operators still have to examine: machines that were not accounted for, and quarantined tasks. */
static void
append_open_items (GString *out, const HzbArchive *archive)
{
  guint n_unaccounted = 0;
  for (guint i = 0; i < archive->machines->len; i++)
    {
      const HzbArchivedMachine *machine = &g_array_index (archive->machines, HzbArchivedMachine, i);
      if (machine->at_s < 0)
        g_string_append_printf (out, "%s  %s\n", n_unaccounted++ ? "" : "machines that were never accounted for:\n",
                                machine->name);
    }
  if (archive->quarantine->len)
    g_string_append (out, "tasks that no record names:\n");
  for (guint i = 0; i < archive->quarantine->len; i++)
    {
      const HzbArchivedTask *task = &g_array_index (archive->quarantine, HzbArchivedTask, i);
      g_string_append_printf (out, "  %s on %s: %s (%s)\n", task->name, task->machine, task->verdict, task->reason);
    }
}

char *
hzb_archive_report_text (const HzbArchive *archive)
{
  GString *out = g_string_new (NULL);
  g_autofree char *began = format_began (archive);
  double first_s, last_s;

  find_verdict_times (archive, &first_s, &last_s);
  g_string_append_printf (out, "reconciliation %" G_GUINT64_FORMAT ", %s (%s)\n", archive->id, began, archive->reason);
  g_string_append_printf (out, "cold starts: %u; archived after %.1f s, under term %" G_GUINT64_FORMAT "\n",
                          archive->cold_starts, archive->complete_s, archive->term);
  g_string_append_printf (out, "jobs: %u (%u more are not listed); machines that could hold work: %u (%u more)\n",
                          archive->jobs->len, archive->omitted_jobs, archive->machines->len, archive->omitted_machines);
  if (last_s >= 0)
    g_string_append_printf (out, "first verdict durable after %.1f s, the last after %.1f s\n", first_s, last_s);
  append_verdict_counts (archive, append_text_row, out);
  g_string_append (out, "commands in the first minute, and in the busiest second:\n");
  for (guint kind = 0; kind < HZB_ARCHIVE_N_COMMAND_KINDS; kind++)
    g_string_append_printf (out, "  %-8s %6u %6u\n", hzb_archive_command_kind_name ((HzbArchiveCommandKind) kind),
                            count_commands (archive, (HzbArchiveCommandKind) kind),
                            max_commands_per_second (archive, (HzbArchiveCommandKind) kind));
  append_open_items (out, archive);
  return g_string_free (out, FALSE);
}

/* ---- the HTML report ---- */

/* Users and the cloud choose the names of jobs and machines, which may contain markup. */
static void
append_escaped (GString *out, const char *text)
{
  g_autofree char *escaped = g_markup_escape_text (text, -1);
  g_string_append (out, escaped);
}

static void
append_html_row (GString *out, const char *verdict, const char *reason, guint jobs)
{
  g_string_append_printf (out, "<tr><td>%s</td><td>%s</td><td>%u</td></tr>\n", verdict, reason, jobs);
}

/* @values: one for each of HZB_ARCHIVE_SECONDS seconds; @highest: the largest of them */
static void
append_plot (GString *out, const char *title, const guint *values, guint highest)
{
  g_string_append_printf (out, "<h3>%s a second, at most %u</h3>\n<svg width=\"%d\" height=\"%d\" role=\"img\">\n",
                          title, highest, PLOT_WIDTH, PLOT_HEIGHT + LABELS_HEIGHT);
  for (guint second = 0; second < HZB_ARCHIVE_SECONDS; second++)
    {
      int height = highest ? (int) ((guint64) values[second] * PLOT_HEIGHT / highest) : 0;
      g_string_append_printf (out,
                              "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"#36c\"><title>second %u: %u"
                              "</title></rect>\n",
                              (int) second * BAR_WIDTH, PLOT_HEIGHT - height, BAR_WIDTH - BAR_GAP, height, second,
                              values[second]);
      if (second % 10 == 0)
        g_string_append_printf (out, "<text x=\"%d\" y=\"%d\" font-size=\"11\">%u s</text>\n", (int) second * BAR_WIDTH,
                                PLOT_HEIGHT + LABELS_BASELINE, second);
    }
  g_string_append (out, "</svg>\n");
}

static void
append_verdict_plot (GString *out, const HzbArchive *archive)
{
  guint values[HZB_ARCHIVE_SECONDS] = { 0 }, highest = 0;
  for (guint i = 0; i < archive->jobs->len; i++)
    {
      double at_s = g_array_index (archive->jobs, HzbArchivedJobVerdict, i).at_s;
      if (at_s >= 0 && at_s < HZB_ARCHIVE_SECONDS)
        {
          guint *value = &values[(guint) at_s];
          *value += 1;
          highest = MAX (highest, *value);
        }
    }
  append_plot (out, "durable verdicts", values, highest);
}

static void
append_jobs (GString *out, const HzbArchive *archive)
{
  g_string_append (out, "<h2>Jobs</h2>\n<table>\n<tr><th>job</th><th>verdict</th><th>reason</th><th>tasks</th>"
                        "<th>released</th><th>found</th><th>results</th><th>restarted</th><th>after</th></tr>\n");
  for (guint i = 0; i < MIN (archive->jobs->len, MAX_TABLE_ROWS); i++)
    {
      const HzbArchivedJobVerdict *job = &g_array_index (archive->jobs, HzbArchivedJobVerdict, i);
      g_string_append (out, "<tr><td>");
      append_escaped (out, job->entry.uid);
      g_string_append_printf (out,
                              "</td><td>%s</td><td>%s</td><td>%u</td><td>%u</td><td>%u</td><td>%u</td><td>%u</td>"
                              "<td>%.1f s</td></tr>\n",
                              hzb_job_verdict_name (job->entry.verdict), hzb_job_reason_name (job->entry.reason),
                              job->tasks, job->released, job->entry.found, job->entry.results, job->entry.restarted,
                              job->at_s);
    }
  g_string_append (out, "</table>\n");
}

static void
append_html_open_items (GString *out, const HzbArchive *archive)
{
  g_autoptr (GString) lists = g_string_new (NULL);
  append_open_items (lists, archive);
  if (!lists->len)
    return;
  g_string_append (out, "<h2>What is left to look at</h2>\n<pre>");
  append_escaped (out, lists->str);
  g_string_append (out, "</pre>\n");
}

char *
hzb_archive_report_html (const HzbArchive *archive)
{
  GString *out = g_string_new ("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                               "<title>Reconciliation</title><style>body{font-family:sans-serif;margin:2em}"
                               "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;"
                               "text-align:left}</style></head><body>\n");
  g_autofree char *began = format_began (archive);

  g_string_append_printf (out, "<h1>Reconciliation %" G_GUINT64_FORMAT "</h1>\n<p>%s, ", archive->id, began);
  append_escaped (out, archive->reason);
  g_string_append_printf (out, "; %u cold starts, %u jobs, %u machines, archived after %.1f s.</p>\n",
                          archive->cold_starts, archive->jobs->len + archive->omitted_jobs,
                          archive->machines->len + archive->omitted_machines, archive->complete_s);
  g_string_append (out, "<h2>Verdicts</h2>\n<table>\n<tr><th>verdict</th><th>reason</th><th>jobs</th></tr>\n");
  append_verdict_counts (archive, append_html_row, out);
  g_string_append (out, "</table>\n<h2>The first minute</h2>\n");
  append_verdict_plot (out, archive);
  for (guint kind = 0; kind < HZB_ARCHIVE_N_COMMAND_KINDS; kind++)
    append_plot (out, hzb_archive_command_kind_name ((HzbArchiveCommandKind) kind), archive->commands[kind],
                 max_commands_per_second (archive, (HzbArchiveCommandKind) kind));
  append_jobs (out, archive);
  append_html_open_items (out, archive);
  g_string_append (out, "</body></html>\n");
  return g_string_free (out, FALSE);
}
